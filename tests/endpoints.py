"""An endpoint that answers by script, and shows the bytes it was sent."""

import asyncio
import re
import socket
import struct
import threading
import time

LENGTH = re.compile(rb'\r\ncontent-length: (\d+)', re.IGNORECASE)

# With it a socket is reset when it is closed.
LINGER_0 = struct.pack('ii', 1, 0)


class ScriptedEndpoint:
    """Listen on an address; note requests and answer by a function.

    ``answer`` takes a request's bytes and its number and returns the
    pieces to be written; ``RESET`` and ``CLOSE`` end the connection.
    """

    RESET = object()
    CLOSE = object()
    STALL = object()

    def __init__(self, answer):
        self.answer = answer
        self.requests = []
        self.gone = asyncio.Event()
        self.address = ''
        self._server = None
        self._writers = set()

    async def start(self, ip='127.0.0.1'):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'
        return self

    def stop_listening(self):
        """End as a process does: break all off, refuse new ones."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def listen_again(self):
        """Be back at the same address."""
        ip, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def close(self):
        self.stop_listening()

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
            self.gone.set()
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
            # Until the other side closes.
            await reader.read()
            self.gone.set()
            return False
        writer.write(piece)
        await writer.drain()
        # Let each piece be a packet of its own.
        await asyncio.sleep(0.01)
        return True


class ScriptedEngine:
    """An engine whose ``_answer`` yields the pieces of each answer."""

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
    """Write an answer and reset the connection in one go, in a thread.

    The loop of the one who reads is held up meanwhile, so that it finds
    the bytes and the reset together.
    """

    HOLD_S = 0.3

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
        held = threading.Event()

        def hold():
            held.set()
            time.sleep(self.HOLD_S)

        self._loop.call_soon_threadsafe(hold)
        held.wait()
        opened.sendall(self._answer(request))
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
        opened.close()

    async def close(self):
        self._listening.close()


async def read_request(reader):
    """Return a request's bytes, head and body."""
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
    """Return a header's value of a request's bytes, None without it."""
    pattern = rb'(?im)^' + name.encode() + rb': ?(.*?)\r$'
    found = re.search(pattern, request)
    return None if found is None else found.group(1).decode()


def echo(request, name):
    """Return the header by which an answer names its request."""
    return f'{name}: {header(request, name)}\r\n'.encode()


async def ask(address, request, timeout_s=20):
    """Send bytes and return what comes until the other side closes.

    An answer that is broken off by a reset ends with ``RESET``.
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
