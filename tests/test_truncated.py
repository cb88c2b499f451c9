"""The end of a connection is not taken for the end of a message."""

import asyncio

import pytest

from tests import endpoints
from tests import test_passing
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import sse

CLOSE = endpoints.ScriptedEndpoint.CLOSE

event_loop_policy = test_passing.event_loop_policy
system = test_passing.system


async def pieces_of(data, step_bytes):
    """Yield bytes as they arrive from a connection that then ends."""
    for start in range(0, len(data), step_bytes):
        yield data[start : start + step_bytes]


@pytest.mark.parametrize(
    'data, count, is_whole',
    [
        (b'', 0, True),
        (b'data: a\n\n', 1, True),
        (b'data: a\r\n\r\n', 1, True),
        (b'data: a\n\r\n', 1, True),
        (b'data: a\n\n\n: ping\n', 1, True),
        (b'data: a\n\n: pi', 1, False),
        (b'data: a\n\nid', 1, False),
        (b'data: a\n', 0, False),
        (b'data: a\n\ndata: [DONE]', 1, False),
        (b'data: a\n\ndata: [DONE]\n', 1, False),
        (b'data: a\r\n\r', 0, False),
    ],
)
@pytest.mark.parametrize('step_bytes', [1, 3, 100])
async def test_end_of_a_stream_inside_an_event_is_an_error(
    data, count, is_whole, step_bytes
):
    """Guards against truncated events that are dropped without a trace."""
    events = []
    error = None
    try:
        async for event in sse.decode(pieces_of(data, step_bytes)):
            events.append(event)
    except protocol_errors.MalformedMessageError as raised:
        error = raised
    assert len(events) == count
    assert (error is None) is is_whole


@pytest.mark.parametrize(
    'method, status', [('HEAD', '200 OK'), ('GET', '204 No Content')]
)
async def test_response_without_a_body_is_not_taken_for_a_truncated_one(
    system, method, status
):
    """Guards against bodies that are expected where there never is one."""
    await system.put(test_passing.route(test_passing.STREAM))
    head = f'HTTP/1.1 {status}\r\nContent-Type: text/event-stream\r\n'.encode()
    endpoint = await system.add(
        'e',
        lambda sent, _number: [
            head + endpoints.echo_header(sent, test_passing.ID) + b'\r\n',
            CLOSE,
        ],
    )
    got = await system.ask(test_passing.request(f'{method} /a/x HTTP/1.1'))
    assert len(endpoint.requests) == 1
    assert got.startswith(f'HTTP/1.1 {status}\r\n'.encode())


@pytest.mark.parametrize(
    'headers, body',
    [
        (['Content-Length: 10'], b'half'),
        (['Content-Length: 10'], b''),
        (['Transfer-Encoding: chunked'], b'4\r\nhalf\r\n'),
        (['Transfer-Encoding: chunked'], b'4\r\nhalf\r\n0\r\n'),
    ],
    ids=['length', 'nothing', 'chunks', 'last chunk cut'],
)
async def test_truncated_request_reaches_no_endpoint(system, headers, body):
    """Guards against requests that are run with a part of their body."""
    await system.put(test_passing.route(test_passing.REPEATABLE))
    endpoint = await system.add(
        'e', lambda sent, _number: [test_passing.answer(sent)]
    )
    cut = test_passing.request('POST /a/x HTTP/1.1', headers, body)
    address = system.entries[0].node.callers_address
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(cut)
    writer.write_eof()
    got = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    assert b' 200 ' not in got
    await system.ask(test_passing.request(request_id='q2'))
    assert [
        endpoints.header(one, test_passing.ID) for one in endpoint.requests
    ] == ['q2']
