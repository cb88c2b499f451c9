"""A stop waits until the sockets of callers have taken complete responses."""

import asyncio
import signal

import aiohttp.web
import pytest
import structlog

from tests import endpoints
from tests import nodes
from tests import test_planned_stop
from tests import test_stop_soak
from wrenspoke import shutdown
from wrenspoke.transport import web

# More than the buffers of sockets and connections hold together.
BODY = b'data: %s\n\n' % (b'x' * 992) * 8_000
PIECE_BYTES = 16_384
# Of a reader that takes longer than the leave delay, and less than the grace.
PAUSE_S = 0.15


async def read_all(sock, pause_s=0):
    """Read from a socket until it ends, with a pause after each piece."""
    loop = asyncio.get_running_loop()
    got = bytearray()
    while piece := await loop.sock_recv(sock, PIECE_BYTES):
        got += piece
        await asyncio.sleep(pause_s)
    return got


async def test_slow_reader_gets_the_whole_answer_of_a_stopped_host(tmp_path):
    """Guards against the last bytes of an answer ending with the process."""
    async with test_stop_soak.running(tmp_path, buffers=True) as (system, _):
        host = system.entries[0]
        sock = await endpoints.connect_slow(host.address('callers'))
        await asyncio.get_running_loop().sock_sendall(
            sock,
            b'GET /large/x HTTP/1.1\r\nHost: h.example\r\n'
            b'Request-Id: q1\r\nDeadline-Ms: 30000\r\n\r\n',
        )
        got = await asyncio.get_running_loop().sock_recv(sock, PIECE_BYTES)
        host.send(signal.SIGTERM)
        got += await read_all(sock, PAUSE_S)
        sock.close()
        assert got.startswith(b'HTTP/1.1 200 ')
        assert got.count(b'\ndata: ') == test_stop_soak.EVENTS
        assert got.endswith(b'\r\n0\r\n\r\n')
        assert await host.wait() == 0


@pytest.mark.parametrize(
    'kind, attribute',
    [
        ('entry node', '_caller_server'),
        ('entry node', '_host_server'),
        ('entry daemon', '_web'),
    ],
)
async def test_stop_waits_for_unsent_bytes(
    tmp_path, monkeypatch, kind, attribute
):
    """Guards against answers whose last bytes end with the process."""
    async with test_planned_stop.running_daemon(kind, tmp_path) as daemon:
        unsent = [1, 1, 1, 0]
        monkeypatch.setattr(
            getattr(daemon, attribute), 'unsent_bytes', lambda: unsent.pop(0)
        )
        monkeypatch.setattr(web.LowLevelServer, 'unsent_bytes', lambda _: 0)
        stop = shutdown.Shutdown(daemon.clock, 3_600_000)
        with structlog.testing.capture_logs() as logs:
            await daemon.drain(stop)
        [step] = [log for log in logs if log.get('step') == 'finish_sending']
        assert step['completed'] and not unsent


@pytest.mark.parametrize('kind', ['entry node', 'entry daemon'])
async def test_stop_waits_no_longer_than_its_grace(
    tmp_path, monkeypatch, kind
):
    """Guards against a caller that reads nothing and holds a stop up."""
    async with test_planned_stop.running_daemon(kind, tmp_path) as daemon:
        for server in (web.LowLevelServer, web.HttpServer):
            monkeypatch.setattr(server, 'unsent_bytes', lambda _server: 1)
        grace_ms = shutdown.CLOSE_MARGIN_MS + 500
        with structlog.testing.capture_logs() as logs:
            await daemon.drain(shutdown.Shutdown(daemon.clock, grace_ms))
        [step] = [log for log in logs if log.get('step') == 'finish_sending']
        assert not step['completed']


@pytest.mark.parametrize('kind', ['application', 'low level'])
@pytest.mark.parametrize('delimits', [False, True])
async def test_unread_response_is_logged_and_never_looks_whole(kind, delimits):
    """Guards against a cut body that looks like a whole one."""
    [port] = web.free_ports(1)

    async def handle(request):
        if delimits:
            web.set_close_mode(request, web.RESET_ON_CLOSE)
            web.set_close_mode(request, web.ORDERLY_CLOSE)
        return aiohttp.web.Response(body=BODY)

    if kind == 'application':
        application = aiohttp.web.Application()
        application.router.add_get('/', handle)
        server = web.HttpServer(application)
        await server.start('127.0.0.1', port)
    else:
        server = web.LowLevelServer(handle, 60_000)
        await server.start(f'127.0.0.1:{port}')
    sock = await endpoints.connect_slow(f'127.0.0.1:{port}')
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(sock, b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    await nodes.until(server.unsent_bytes)
    with structlog.testing.capture_logs() as logs:
        await server.close()
    [cut] = [log for log in logs if log['event'] == 'response_cut']
    assert cut['unsent_bytes'] > 0
    if delimits:
        with pytest.raises(ConnectionResetError):
            await read_all(sock)
    else:
        # This process goes on, and with it what the connection holds.
        assert len(await read_all(sock)) > len(BODY)
    sock.close()
