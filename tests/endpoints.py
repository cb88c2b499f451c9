"""Scripted HTTP endpoints that record the raw requests they receive."""

import asyncio
import re
import socket
import struct
import threading
import time

LENGTH = re.compile(rb'\r\ncontent-length: (\d+)', re.IGNORECASE)

# SO_LINGER value with which close() sends a reset.
LINGER_0 = struct.pack('ii', 1, 0)
SLOW_BUFFER_BYTES = 8_192


class ScriptedEndpoint:
    """Server that records requests and responds by a function.

    ``answer`` takes the bytes and number of a request and returns the pieces
    to write. ``RESET`` and ``CLOSE`` end the connection; ``STALL`` writes
    nothing more until the peer closes it.
    """

    RESET = object()
    CLOSE = object()
    STALL = object()

    def __init__(self, answer):
        self.answer = answer
        self.requests = []
        self.peer_closed = asyncio.Event()
        self.address = ''
        self._server = None
        self._writers = set()

    async def start(self, ip='127.0.0.1'):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'
        return self

    def abort_all(self):
        """Abort every connection and refuse new ones, as a killed process."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def end_all(self):
        """End every connection in order and refuse new ones."""
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def listen_at_same_address(self):
        """Listen again at the same address."""
        ip, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def close(self):
        self.abort_all()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                self.requests.append(request)
                number = len(self.requests)
                for piece in self.answer(request, number):
                    if not await self._write(piece, reader, writer):
                        return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.peer_closed.set()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _write(self, piece, reader, writer):
        if piece is self.RESET:
            opened = writer.get_extra_info('socket')
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
            writer.transport.abort()
            return False
        if piece is self.CLOSE:
            return False
        if piece is self.STALL:
            # Returns when the peer closes the connection.
            await reader.read()
            self.peer_closed.set()
            return False
        writer.write(piece)
        await writer.drain()
        # Sends each piece as a separate packet.
        await asyncio.sleep(0.01)
        return True


class EndlessEndpoint(ScriptedEndpoint):
    """Endpoint whose responses have no end.

    It writes ``head``, which may be a function of the request, and then
    ``unit`` again and again, as fast as its peer takes it, or one each
    ``pause_s``. ``written_bytes`` is what it wrote to all connections. At
    ``limit_bytes`` it writes no more, and keeps the connection.
    """

    PIECE_BYTES = 16 * 1024
    SEND_BUFFER_BYTES = 16 * 1024

    def __init__(self, head, unit, limit_bytes=32 << 20, pause_s=0.0):
        super().__init__(None)
        self._head = head
        self._piece = unit
        if not pause_s:
            self._piece *= max(1, self.PIECE_BYTES // len(unit))
        self._limit_bytes = limit_bytes
        self._pause_s = pause_s
        self.written_bytes = 0
        self.open_count = 0

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.open_count += 1
        opened = writer.get_extra_info('socket')
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, self.SEND_BUFFER_BYTES
        )
        writer.transport.set_write_buffer_limits(self.PIECE_BYTES)
        try:
            request = await read_request(reader)
            self.requests.append(request)
            head = self._head
            await self._send(writer, head(request) if callable(head) else head)
            # Sends the head as a separate packet.
            await asyncio.sleep(0.01)
            while self.written_bytes < self._limit_bytes:
                await self._send(writer, self._piece)
                await asyncio.sleep(self._pause_s)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_count -= 1
            self.peer_closed.set()
            self._writers.discard(writer)
            writer.close()

    async def _send(self, writer, piece):
        if writer.transport.is_closing():
            raise ConnectionResetError
        writer.write(piece)
        self.written_bytes += len(piece)
        await writer.drain()


class ScriptedEngine:
    """Engine whose ``_answer`` yields the pieces of each response."""

    def __init__(self):
        self._endpoint = ScriptedEndpoint(self._answer)

    @property
    def address(self):
        return self._endpoint.address

    async def start(self):
        await self._endpoint.start()
        return self

    def _answer(self, sent, number):
        raise NotImplementedError

    async def close(self):
        await self._endpoint.close()


class ResettingEndpoint:
    """Writes a response and resets the connection at once, in a thread.

    The event loop of the reader is blocked meanwhile, so that it receives
    the bytes and the reset together.
    """

    BLOCK_LOOP_S = 0.3

    def __init__(self, answer):
        self._answer = answer
        self._loop = asyncio.get_running_loop()
        self._listening = socket.create_server(('127.0.0.1', 0))
        port = self._listening.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        opened, _address = self._listening.accept()
        request = opened.recv(65536)
        loop_blocked = threading.Event()

        def block_loop():
            loop_blocked.set()
            time.sleep(self.BLOCK_LOOP_S)

        self._loop.call_soon_threadsafe(block_loop)
        loop_blocked.wait()
        opened.sendall(self._answer(request))
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
        opened.close()

    async def close(self):
        self._listening.close()


async def read_request(reader):
    """Return the bytes of a request, head and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    found = LENGTH.search(head)
    if found is not None:
        return head + await reader.readexactly(int(found.group(1)))
    if b'chunked' not in head.lower():
        return head
    body = b''
    while not body.endswith(b'0\r\n\r\n'):
        body += await reader.readuntil(b'\r\n')
    return head + body


def header(request, name):
    """Return the value of a header of a request, None if missing."""
    pattern = rb'(?im)^' + name.encode() + rb': ?(.*?)\r$'
    found = re.search(pattern, request)
    return None if found is None else found.group(1).decode()


def echo_header(request, name):
    """Return the header line that echoes a request id in a response."""
    return f'{name}: {header(request, name)}\r\n'.encode()


async def send_raw(address, request, timeout_s=20):
    """Send bytes and return everything received until the peer closes.

    If the connection is reset, ``RESET`` is appended.
    """
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(request)
    answer = b''
    try:
        async with asyncio.timeout(timeout_s):
            while chunk := await reader.read(65536):
                answer += chunk
    except ConnectionError:
        answer += b'RESET'
    finally:
        writer.close()
    return answer


async def connect_slow(address):
    """Return a socket that takes few bytes ahead of its reader."""
    ip, _, port = address.rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
    sock.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
    except OSError:
        sock.close()
        raise
    return sock
