"""Bytes that arrive before a request are never its response."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest

from tests import endpoints
from tests import loops
from tests import nodes
from wrenspoke.transport import errors
from wrenspoke.transport import exchange
from wrenspoke.transport import web

STALL = endpoints.ScriptedEndpoint.STALL
TIMEOUT_MS = 5_000
OWN = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown'
SURPLUS = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale'


event_loop_policy = loops.event_loop_policy


class ThreadedEndpoint:
    """Responds in a thread, and sends surplus bytes on request."""

    def __init__(self, extra=b''):
        self._extra = extra
        self._listening = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listening.getsockname()[1]}'
        self._accepted = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                opened, _address = self._listening.accept()
            except OSError:
                return
            self._accepted.append(opened)
            threading.Thread(
                target=self._serve, args=(opened,), daemon=True
            ).start()

    def _serve(self, opened):
        # Either side may have closed the connection.
        with contextlib.suppress(OSError):
            while opened.recv(65536):
                opened.sendall(OWN[:-1])
                # Its head is read by itself, most of the time.
                time.sleep(0.05)
                opened.sendall(OWN[-1:] + self._extra)

    @property
    def accepted_count(self):
        return len(self._accepted)

    def send_surplus(self):
        """Send it; loopback delivers it to the peer's kernel at once."""
        self._accepted[0].sendall(SURPLUS)

    def close(self):
        self._listening.close()
        for opened in self._accepted:
            opened.close()


async def read(client, address, body):
    method = 'POST' if body else 'GET'
    async with client.send_verbatim(
        method, address, '/', [], body, lambda: True
    ) as response:
        return await web.read_body(response, 1 << 20)


@pytest.mark.parametrize('body', [None, b'body'], ids=['GET', 'POST'])
async def test_bytes_that_are_not_read_yet_are_no_response(body):
    """Guards against a connection taken before the event loop reads it."""
    endpoint = ThreadedEndpoint()
    client = web.HttpClient(TIMEOUT_MS)
    assert await read(client, endpoint.address, body) == b'own'
    endpoint.send_surplus()
    assert await read(client, endpoint.address, body) == b'own'
    await client.close()
    endpoint.close()


@pytest.mark.parametrize(
    'extra, connections',
    [(b'', 1), (SURPLUS, 3), (SURPLUS[:10], 3), (b'what is this\r\n', 3)],
    ids=['nothing', 'response', 'half a head', 'no response'],
)
async def test_connection_with_bytes_behind_a_response_is_not_reused(
    extra, connections
):
    endpoint = ThreadedEndpoint(extra)
    client = web.HttpClient(TIMEOUT_MS)
    for _call in range(3):
        assert await read(client, endpoint.address, None) == b'own'
    assert endpoint.accepted_count == connections
    await client.close()
    endpoint.close()


async def test_idle_connection_whose_peer_speaks_first_is_closed():
    closed = asyncio.Event()

    async def greet(reader, writer):
        writer.write(SURPLUS)
        await reader.read()
        closed.set()
        writer.close()

    server = await asyncio.start_server(greet, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = web.HttpClient(TIMEOUT_MS)
    await client.open_idle(f'127.0.0.1:{port}')
    await nodes.until(closed.is_set)
    assert client.count_idle(f'127.0.0.1:{port}', 0) == 0
    await client.close()
    server.close()


CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    'before', [b'', b'3\r\nown\r\n'], ids=['first', 'next']
)
@pytest.mark.parametrize(
    'malformed',
    [b'zz\r\n', b'\r\n', b'\0', b'3\r\nownX\r\n', b'0\r\n\0: x\r\n\r\n'],
    ids=['size', 'no size', 'zero byte', 'end of a chunk', 'trailer'],
)
async def test_body_fails_at_its_first_malformed_bytes(malformed, before):
    """Guards against a reader that waits on a connection that was closed."""
    endpoint = await endpoints.ScriptedEndpoint(
        lambda sent, number: [CHUNKED + before, malformed, STALL]
    ).start()
    client = web.HttpClient(TIMEOUT_MS)
    with pytest.raises(errors.MaybeSentError, match='cut short'):
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            await read(client, endpoint.address, None)
    await nodes.until(endpoint.peer_closed.is_set)
    await client.close()
    await endpoint.close()


async def test_request_is_not_written_after_its_call_ended():
    """Guards against a request that an endpoint gets whole once given up."""
    body = b'x' * (16 << 20)
    ended = asyncio.Event()
    received = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        size_bytes = 0
        await ended.wait()
        try:
            while chunk := await reader.read(1 << 20):
                size_bytes += len(chunk)
        except ConnectionError:
            pass
        received.set_result(size_bytes)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = web.HttpClient(TIMEOUT_MS)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            async with client.send(
                'POST', f'http://127.0.0.1:{port}/', {}, body
            ):
                pass
    ended.set()
    assert await received < len(body)
    await client.close()
    server.close()


class FakeTransport(asyncio.Transport):
    """Transport that records whether it was aborted."""

    def __init__(self):
        super().__init__()
        self.aborted = False

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True

    def get_extra_info(self, name, default=None):
        return default


async def test_request_is_not_begun_after_unsolicited_bytes():
    """aiohttp writes a body in a task of its own, so bytes may come before."""
    handler = exchange.ExchangeHandler(asyncio.get_running_loop())
    transport = FakeTransport()
    handler.connection_made(transport)
    handler.data_received(SURPLUS)
    assert transport.aborted
    with pytest.raises(errors.UnsolicitedBytesError):
        handler.begin_request()
