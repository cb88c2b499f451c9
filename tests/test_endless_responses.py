"""Responses without end are cut off, and what is kept of them is bounded."""

import asyncio
import gc
import tracemalloc

import pytest

from tests import endpoints
from tests import loops
from tests import nodes
from wrenspoke.transport import errors
from wrenspoke.transport import web

# More than a whole head and the buffers of both sockets.
TAKEN_LIMIT_BYTES = 4 << 20
KEPT_LIMIT_BYTES = 4 << 20
TIMEOUT_S = 5
SOCKET_BUFFER_BYTES = 64 * 1024

STATUS = b'HTTP/1.1 200 OK\r\n'

event_loop_policy = loops.event_loop_policy

# What is written first, and what is written again and again.
HEADS = {
    'blank lines': (b'', b'\r\n'),
    'line feeds': (b'', b'\n'),
    '100s': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    '103s': (b'', b'HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n'),
    'status line': (b'HTTP/1.1 200 ', b'x'),
    'version': (b'HTTP/1.', b'1'),
    'header name': (STATUS, b'x'),
    'header value': (STATUS + b'A: ', b'x'),
    'spaces before a value': (STATUS + b'A:', b' '),
    'headers': (STATUS, b'A: x\r\n'),
    'long headers': (STATUS, b'A: %s\r\n' % (b'x' * 8000)),
    'headers of a 103': (b'HTTP/1.1 103 Early\r\n', b'A: x\r\n'),
    'no response': (b'', b'\0'),
}


async def read(client, address):
    """Return the body of a response."""
    async with client.send_verbatim('GET', address, '/', [], None) as response:
        return await web.read_body(response, 1 << 20)


async def read_failure(endpoint):
    """Return the maximum memory kept for a read that fails."""
    client = web.HttpClient(1_000, socket_buffer_bytes=SOCKET_BUFFER_BYTES)
    gc.collect()
    tracemalloc.start()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            with pytest.raises(errors.MaybeSentError):
                await read(client, endpoint.address)
        await nodes.until(endpoint.peer_closed.is_set)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        await client.close()
        await endpoint.close()


@pytest.mark.parametrize('form', HEADS)
async def test_head_without_end_is_malformed(form):
    """Guards against bytes read and kept until the deadline."""
    endpoint = endpoints.EndlessEndpoint(*HEADS[form], TAKEN_LIMIT_BYTES)
    await endpoint.start()
    kept_bytes = await read_failure(endpoint)
    assert endpoint.written_bytes < TAKEN_LIMIT_BYTES
    assert kept_bytes < KEPT_LIMIT_BYTES
