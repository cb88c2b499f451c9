"""TCP keepalive detects dead connections on both sides."""

import asyncio
import socket

from aiohttp import web as aiohttp_web
import pytest

from wrenspoke.transport import web

# Dead connections must be detected before callers time out.
MAX_DETECTION_MS = 3_000


def detection_time_ms(opened):
    """Return the time after which the kernel closes a dead connection."""
    assert opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)

    def option(name):
        return opened.getsockopt(socket.IPPROTO_TCP, name)

    probes_s = option(socket.TCP_KEEPINTVL) * option(socket.TCP_KEEPCNT)
    idle_ms = (option(socket.TCP_KEEPIDLE) + probes_s) * 1_000
    return max(idle_ms, option(socket.TCP_USER_TIMEOUT))


@pytest.mark.parametrize('side', ['sender', 'receiver'])
async def test_silent_connection_is_found(side):
    seen = {}
    looked_at = asyncio.Event()

    async def handle(request):
        accepted = request.transport.get_extra_info('socket')
        seen['receiver'] = detection_time_ms(accepted)
        answer = aiohttp_web.StreamResponse()
        await answer.prepare(request)
        await looked_at.wait()
        return answer

    [port] = web.free_ports(1)
    address = f'127.0.0.1:{port}'
    server = web.LowLevelServer(handle, 1_000)
    await server.start(address)
    client = web.HttpClient(1_000)
    try:
        async with client.send_verbatim(
            'GET', address, '/', [], None
        ) as answer:
            sender = answer.connection.transport.get_extra_info('socket')
            seen['sender'] = detection_time_ms(sender)
            looked_at.set()
            await answer.read()
    finally:
        await client.close()
        await server.close()
    assert seen[side] <= MAX_DETECTION_MS
