"""Cancelling a request during connection setup is safe for others."""

import asyncio
import gc
import os

import aiohappyeyeballs
import pytest

from tests import loops
from wrenspoke.transport import errors
from wrenspoke.transport import web

CONNECT_TIMEOUT_MS = 5_000


event_loop_policy = loops.event_loop_policy


@pytest.fixture
async def address():
    """Accept connections and never respond."""
    opened = []

    async def accept(_reader, writer):
        opened.append(writer)

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    yield f'127.0.0.1:{port}'
    for writer in opened:
        writer.close()
    server.close()


async def test_cancelled_connect_closes_descriptor_once(address, monkeypatch):
    """A second close could hit another connection's descriptor."""
    start = aiohappyeyeballs.start_connection
    client = web.HttpClient(CONNECT_TIMEOUT_MS)
    seen = {}

    async def ask():
        async with client.send_verbatim('GET', address, '/', [], None):
            pass

    async def cancel_next(*arguments, **named):
        made = await start(*arguments, **named)
        seen['number'] = made.fileno()
        asyncio.get_running_loop().call_soon(seen['asking'].cancel)
        return made

    monkeypatch.setattr(aiohappyeyeballs, 'start_connection', cancel_next)
    seen['asking'] = asking = asyncio.ensure_future(ask())
    kept = None
    try:
        await asking
    except asyncio.CancelledError as error:
        # The traceback keeps the socket alive, as that of a logged error does.
        kept = error
    await asyncio.sleep(0.01)
    taken = [os.open(os.devnull, os.O_RDONLY)]
    while taken[-1] < seen['number']:
        taken.append(os.open(os.devnull, os.O_RDONLY))
    del kept, asking
    seen.clear()
    for _round in range(2):
        await asyncio.sleep(0.01)
        gc.collect()
    for number in taken:
        os.fstat(number)
        os.close(number)
    await client.close()


async def test_connection_of_cancelled_request_is_closed(address, monkeypatch):
    start = aiohappyeyeballs.start_connection
    client = web.HttpClient(CONNECT_TIMEOUT_MS)
    go_on = asyncio.Event()

    async def start_late(*arguments, **named):
        made = await start(*arguments, **named)
        await go_on.wait()
        return made

    monkeypatch.setattr(aiohappyeyeballs, 'start_connection', start_late)
    loop = asyncio.get_running_loop()
    create = loop.create_connection
    made = []

    async def note(*arguments, **named):
        found = await create(*arguments, **named)
        made.append(found[0])
        return found

    connector = client._pooled.connector
    monkeypatch.setattr(connector, '_loop', _Loop(loop, note), raising=True)

    async def ask():
        async with client.send_verbatim('GET', address, '/', [], None):
            pass

    asking = asyncio.ensure_future(ask())
    await asyncio.sleep(0.05)
    asking.cancel()
    with pytest.raises(asyncio.CancelledError):
        await asking
    go_on.set()
    async with asyncio.timeout(30):
        while not (made and made[0].is_closing()):
            await asyncio.sleep(0.01)
    monkeypatch.undo()
    await client.close()


class _Loop:
    """Wraps a loop and replaces how it creates connections."""

    def __init__(self, loop, create, connect=None):
        self._wrapped = loop
        self.create_connection = create
        self.sock_connect = connect or loop.sock_connect

    def __getattr__(self, name):
        return getattr(self._wrapped, name)


async def test_connect_timeout_closes_socket(address, monkeypatch):
    """The socket is closed when the connect timeout expires."""
    client = web.HttpClient(connect_timeout_ms=50)
    loop = asyncio.get_running_loop()
    opened = []

    async def never(made, _address):
        opened.append(made)
        await asyncio.Event().wait()

    monkeypatch.setattr(
        aiohappyeyeballs.impl.asyncio,
        'get_running_loop',
        lambda: _Loop(loop, loop.create_connection, never),
    )
    monkeypatch.setattr(
        client._pooled.connector,
        '_loop',
        _Loop(loop, loop.create_connection, never),
    )
    with pytest.raises(errors.NotSentError):
        async with client.send_verbatim('GET', address, '/', [], None):
            pass
    monkeypatch.undo()
    async with asyncio.timeout(30):
        while opened[0].fileno() != -1:
            await asyncio.sleep(0.01)
    await client.close()


async def test_refused_connection_raises_not_sent():
    client = web.HttpClient(CONNECT_TIMEOUT_MS)
    [port] = web.free_ports(1)
    with pytest.raises(errors.NotSentError):
        async with client.send_verbatim(
            'GET', f'127.0.0.1:{port}', '/', [], None
        ):
            pass
    await client.close()
