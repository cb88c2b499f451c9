"""Responses without end are cut off, and what is kept of them is bounded."""

import asyncio
import gc
import tracemalloc

import pytest
import structlog

from tests import endpoints
from tests import loops
from tests import nodes
from wrenspoke.transport import errors
from wrenspoke.transport import failure_text
from wrenspoke.transport import response_parser
from wrenspoke.transport import web

# More than a whole head and the buffers of both sockets.
TAKEN_LIMIT_BYTES = 4 << 20
KEPT_LIMIT_BYTES = 4 << 20
TIMEOUT_S = 5
SOCKET_BUFFER_BYTES = 64 * 1024

STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = STATUS + b'Transfer-Encoding: chunked\r\n\r\n'
ONE_CHUNK = CHUNKED + b'2\r\nwh\r\n'

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
BODIES = {
    'chunk size': (CHUNKED, b'0'),
    'chunk size behind a chunk': (ONE_CHUNK, b'0'),
    'chunk extension': (CHUNKED + b'5;', b'x'),
    'chunk extension value': (CHUNKED + b'5;a=', b'x'),
    'quoted chunk extension': (CHUNKED + b'5;a="', b'x'),
    'spaces behind a chunk size': (CHUNKED + b'5', b' '),
    'trailers': (ONE_CHUNK + b'0\r\n', b'A: x\r\n'),
    'long trailers': (
        ONE_CHUNK + b'0\r\n',
        b'A: %s\r\n' % (b'x' * 8000),
    ),
    'spaces in a trailer': (ONE_CHUNK + b'0\r\nA:', b' '),
    'trailer value': (ONE_CHUNK + b'0\r\nA: ', b'x'),
    'line ends behind a chunk': (ONE_CHUNK, b'\r\n'),
    'extensions of small chunks': (
        CHUNKED,
        b'1;%s\r\nx\r\n' % (b'x' * 8000),
    ),
}


async def read(client, address, method='GET'):
    """Return the body of a response."""
    async with client.send_verbatim(
        method, address, '/', [], None
    ) as response:
        return await web.read_body(response, 1 << 20)


async def read_failure(endpoint):
    """Return the error of a read, and the maximum memory kept for it."""
    client = web.HttpClient(1_000, socket_buffer_bytes=SOCKET_BUFFER_BYTES)
    gc.collect()
    tracemalloc.start()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            with pytest.raises(errors.MaybeSentError) as caught:
                await read(client, endpoint.address)
        await nodes.until(endpoint.peer_closed.is_set)
        return caught.value, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        await client.close()
        await endpoint.close()


@pytest.mark.parametrize('form', HEADS)
async def test_head_without_end_is_malformed(form):
    """Guards against bytes read and kept until the deadline."""
    endpoint = endpoints.EndlessEndpoint(*HEADS[form], TAKEN_LIMIT_BYTES)
    await endpoint.start()
    _error, kept_bytes = await read_failure(endpoint)
    assert endpoint.written_bytes < TAKEN_LIMIT_BYTES
    assert kept_bytes < KEPT_LIMIT_BYTES


@pytest.mark.parametrize('form', BODIES)
async def test_chunked_framing_without_end_is_truncated(form):
    """Guards against framing that is read until the deadline."""
    endpoint = endpoints.EndlessEndpoint(*BODIES[form], TAKEN_LIMIT_BYTES)
    await endpoint.start()
    error, kept_bytes = await read_failure(endpoint)
    assert str(error) == 'answer was cut short'
    assert endpoint.written_bytes < TAKEN_LIMIT_BYTES
    assert kept_bytes < KEPT_LIMIT_BYTES


@pytest.mark.parametrize('pause_s', [None, 0, 0.001], ids='{} s'.format)
@pytest.mark.parametrize('extension', [b'', b';%s' % (b'x' * 60)])
@pytest.mark.parametrize(
    'chunk_bytes, count', [(1, 30_000), (50, 5_000), (300_000, 10)]
)
async def test_long_chunked_body_is_whole(
    chunk_bytes, count, extension, pause_s
):
    """Guards against a bound on framing that cuts off a legitimate body.

    A reader that pauses stops the parser in the midst of what arrived.
    """
    chunk = b'x' * chunk_bytes
    framed = b'%x%s\r\n%s\r\n' % (chunk_bytes, extension, chunk)
    body = framed * count + b'0\r\nA: trailer\r\n\r\n'
    endpoint = endpoints.ScriptedEndpoint(lambda _s, _n: [CHUNKED, body])
    await endpoint.start()
    client = web.HttpClient(1_000, read_buffer_bytes=4_096)
    size_bytes = 0
    async with client.send_verbatim(
        'GET', endpoint.address, '/', [], None
    ) as response:
        async for piece in web.read_chunks(response):
            size_bytes += len(piece)
            if pause_s is not None:
                await asyncio.sleep(pause_s)
    assert size_bytes == chunk_bytes * count
    await client.close()
    await endpoint.close()


# Complete responses, with the method of their requests.
COMPLETE = {
    'length': ('GET', STATUS + b'Content-Length: 5\r\n\r\nwhole'),
    'chunked': ('GET', CHUNKED + b'5\r\nwhole\r\n0\r\n\r\n'),
    'no body': ('GET', b'HTTP/1.1 204 No\r\n\r\n'),
    'empty': ('GET', STATUS + b'Content-Length: 0\r\n\r\n'),
    'head': ('HEAD', STATUS + b'Content-Length: 5\r\n\r\n'),
    'head of chunks': ('HEAD', CHUNKED),
}
BEHIND = {
    'zero bytes': b'\0',
    'blank lines': b'\r\n',
    'responses': STATUS + b'Content-Length: 5\r\n\r\nwhole',
    '103s': b'HTTP/1.1 103 Early\r\n\r\n',
}


@pytest.mark.parametrize('joined', [False, True], ids=['later', 'joined'])
@pytest.mark.parametrize('unit', BEHIND.values(), ids=BEHIND)
@pytest.mark.parametrize('method, whole', COMPLETE.values(), ids=COMPLETE)
async def test_bytes_behind_a_response_end_the_connection(
    method, whole, unit, joined
):
    """Guards against an idle connection that is read without end."""
    head = whole + unit if joined else whole
    endpoint = endpoints.EndlessEndpoint(head, unit, TAKEN_LIMIT_BYTES)
    await endpoint.start()
    client = web.HttpClient(1_000, socket_buffer_bytes=SOCKET_BUFFER_BYTES)
    with structlog.testing.capture_logs() as lines:
        body = await read(client, endpoint.address, method)
        await nodes.until(endpoint.peer_closed.is_set)
    assert len(lines) <= 1
    assert body == (b'whole' if b'whole' in whole else b'')
    assert endpoint.written_bytes < TAKEN_LIMIT_BYTES
    assert client.count_idle(endpoint.address, 0) == 0
    await client.close()
    await endpoint.close()


FORMS = {**HEADS, **BODIES, 'body': (STATUS + b'\r\n', b'x')}


@pytest.mark.parametrize('form', FORMS)
async def test_drip_is_closed_with_its_reader(form):
    """Guards against a connection that outlives the deadline of its call.

    Bytes that come slowly hold a connection as long as its reader waits.
    """
    head, unit = FORMS[form]
    endpoint = endpoints.EndlessEndpoint(head, unit, pause_s=0.02)
    await endpoint.start()
    client = web.HttpClient(1_000)
    tasks = asyncio.all_tasks()
    earlier = {id(head): head for head in kept_heads()}
    with pytest.raises((TimeoutError, errors.MaybeSentError)):
        async with asyncio.timeout(0.3):
            await read(client, endpoint.address)
    await nodes.until(lambda: endpoint.open_count == 0)
    assert not any(kept_heads(earlier))
    assert asyncio.all_tasks() == tasks
    await client.close()
    await endpoint.close()


def kept_heads(earlier=()):
    """Return what parsers still keep of heads, but for those before."""
    heads = [
        found._head
        for found in gc.get_objects()
        if isinstance(found, response_parser.PrefixParser)
    ]
    return [head for head in heads if id(head) not in earlier]


@pytest.mark.parametrize('way', ['send', 'send_verbatim'])
@pytest.mark.parametrize('form', HEADS)
async def test_text_of_a_failure_is_bounded(form, way):
    """Guards against bytes of an endpoint in logs and error responses.

    Headers of the request are no part of it either.
    """
    endpoint = endpoints.EndlessEndpoint(*HEADS[form], TAKEN_LIMIT_BYTES)
    await endpoint.start()
    client = web.HttpClient(1_000)
    fields = [('Authorization', 'hidden')]
    calls = {
        'send': lambda: client.send(
            'GET', f'http://{endpoint.address}/', dict(fields)
        ),
        'send_verbatim': lambda: client.send_verbatim(
            'GET', endpoint.address, '/', fields, None
        ),
    }
    with structlog.testing.capture_logs() as lines:
        with pytest.raises(errors.MaybeSentError) as caught:
            async with calls[way]():
                pass
    text = str(caught.value)
    assert len(text) < 2 * failure_text.TEXT_LIMIT_CHARACTERS
    assert text.isprintable()
    assert 'hidden' not in text
    assert not lines
    await client.close()
    await endpoint.close()
