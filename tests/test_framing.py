"""Broken-off and whole answers, as their callers conclude from the framing."""

import asyncio
import gzip
import re

import pytest

from tests import endpoints
from tests import nodes
from tests import test_far
from tests import test_passing
from wrenspoke.coordination.serving import event_tracker
from wrenspoke.transport import errors
from wrenspoke.transport import web

event_loop_policy = test_passing.event_loop_policy
system = test_passing.system

ID = test_passing.ID
ONCE = test_passing.ONCE
REPEATABLE = test_passing.REPEATABLE
STREAM = test_passing.STREAM
RESET = test_passing.RESET
CLOSE = test_passing.CLOSE
STALL = test_passing.STALL
END = test_passing.END
FIRST_EVENT = test_passing.FIRST_EVENT
SECOND_EVENT = b'id: 2\ndata: b\n\n'
FRAMINGS = test_passing.FRAMINGS
route = test_passing.route
request = test_passing.request
chunked = test_passing.chunked
unframed = test_passing.unframed

LIMIT_BYTES = event_tracker.EVENT_BUFFER_LIMIT_BYTES
CHUNK = re.compile(rb'([0-9a-fA-F]+)\r\n')
JSON = b'{"choices": [{"text": "a"}]}'


def conclude(got):
    """Return the status and body of a response, and whether it is whole.

    The framing alone counts, as it does for a caller.
    """
    is_reset = got.endswith(b'RESET')
    head, _, body = got.removesuffix(b'RESET').partition(b'\r\n\r\n')
    if not head:
        return None, b'', False
    status = int(head.split(b' ')[1])
    if re.search(rb'(?i)\r\ntransfer-encoding: chunked', head):
        body, is_whole = dechunk(body)
        return status, body, is_whole
    found = re.search(rb'(?i)\r\ncontent-length: (\d+)', head)
    if found is not None:
        return status, body, len(body) == int(found.group(1))
    return status, body, not is_reset


def dechunk(data):
    """Return the bytes of the chunks, and whether the last chunk came."""
    body = b''
    while found := CHUNK.match(data):
        size = int(found.group(1), 16)
        if not size:
            return body, data[found.end() :] == b'\r\n'
        start = found.end()
        body += data[start : start + size]
        data = data[start + size + 2 :]
    return body, False


def head(sent, status='200 OK', *fields):
    """Return the head of a response with the fields."""
    lines = ''.join(f'{field}\r\n' for field in fields)
    return (
        f'HTTP/1.1 {status}\r\n{lines}'.encode()
        + endpoints.echo_header(sent, ID)
        + b'\r\n'
    )


def framed(sent, framing, body, kind, *fields):
    """Return the pieces of a whole response."""
    fields = (f'Content-Type: {kind}', *fields)
    if framing == 'length':
        return [
            head(sent, '200 OK', f'Content-Length: {len(body)}', *fields)
            + body
        ]
    if framing == 'chunks':
        return [
            head(sent, '200 OK', 'Transfer-Encoding: chunked', *fields),
            b'%x\r\n%s\r\n' % (len(body), body),
            END,
        ]
    return [head(sent, '200 OK', *fields), body, CLOSE]


@pytest.mark.parametrize('framing', ['length', 'chunks', 'connection'])
@pytest.mark.parametrize(
    'kind, body',
    [
        ('application/json', JSON),
        ('text/plain; charset=utf-8', b'a\nb'),
    ],
    ids=['json', 'text'],
)
@pytest.mark.parametrize('resumable', [True, False])
async def test_answer_that_is_no_event_stream_is_passed_whole(
    system, framing, kind, body, resumable
):
    """Guards against bodies without events that count as broken off."""
    await system.put(route(STREAM, resumable=resumable, attempts_limit=1))
    await system.add(
        'e', lambda sent, _number: framed(sent, framing, body, kind)
    )
    assert conclude(await system.ask(request())) == (200, body, True)


@pytest.mark.parametrize('framing', ['length', 'chunks'])
async def test_compressed_stream_is_passed_whole(system, framing):
    """Guards against compressed events that count as broken off."""
    body = gzip.compress(FIRST_EVENT + SECOND_EVENT)
    await system.put(route(STREAM))
    await system.add(
        'e',
        lambda sent, _number: framed(
            sent, framing, body, 'text/event-stream', 'Content-Encoding: gzip'
        ),
    )
    headers = ['Accept-Encoding: gzip']
    got = await system.ask(request(headers=headers))
    assert conclude(got) == (200, body, True)


@pytest.mark.parametrize(
    'line, status, fields, ending',
    [
        ('HEAD /a/x HTTP/1.1', '200 OK', [], CLOSE),
        ('HEAD /a/x HTTP/1.1', '200 OK', ['Content-Length: 9'], b''),
        ('HEAD /a/x HTTP/1.1', '200 OK', ['Transfer-Encoding: chunked'], b''),
        ('GET /a/x HTTP/1.1', '204 No Content', [], b''),
        ('GET /a/x HTTP/1.1', '304 Not Modified', [], b''),
        ('GET /a/x HTTP/1.1', '200 OK', ['Content-Length: 0'], b''),
    ],
    ids=['HEAD', 'HEAD length', 'HEAD chunked', '204', '304', 'empty'],
)
@pytest.mark.parametrize('kind', [STREAM, ONCE])
async def test_answer_that_has_no_body_is_passed(
    system, kind, line, status, fields, ending
):
    """Guards against bodies that can't exist and count as broken off."""
    await system.put(route(kind))
    await system.add(
        'e', lambda sent, _number: [head(sent, status, *fields), ending]
    )
    got = await system.ask(request(line))
    assert got.startswith(f'HTTP/1.1 {status[:3]} '.encode()), got


@pytest.mark.parametrize(
    'body',
    [
        b': ping\n',
        b': ping\r\n\r\n: ping\r\n',
        FIRST_EVENT + b': ping\n: ping\n',
        b'\n\n' + FIRST_EVENT + b'\n',
        b'\xef\xbb\xbf' + FIRST_EVENT,
        b'\xef\xbb\xbf: ping\n' + FIRST_EVENT,
        b'\xef\xbb\xbf: ping\n',
        b'id: 1\rdata: a\r\r',
    ],
    ids=[
        'comment',
        'comments',
        'comments after',
        'blank lines',
        'mark',
        'mark and comment before',
        'mark and comment alone',
        'cr',
    ],
)
@pytest.mark.parametrize('framing', ['length', 'chunks', 'connection'])
async def test_whole_stream_of_any_layout_is_complete(system, framing, body):
    """Guards against layouts of the standard that count as broken off."""
    await system.put(route(STREAM))
    await system.add(
        'e',
        lambda sent, _number: framed(sent, framing, body, 'text/event-stream'),
    )
    assert conclude(await system.ask(request())) == (200, body, True)


@pytest.mark.parametrize(
    'data',
    [
        b'id: 2\ndata: ' + b'x' * LIMIT_BYTES,
        b'id: 2\ndata: ' + b'x' * LIMIT_BYTES + b'\n',
        b'id: 2\ndata: x\n' + b': ping\n' * (LIMIT_BYTES // 7 + 1),
    ],
    ids=['in a line', 'after a line', 'after comments'],
)
@pytest.mark.parametrize('whole_only', [True, False])
@pytest.mark.parametrize('step_bytes', [65_536, LIMIT_BYTES * 2])
def test_large_event_that_is_cut_is_detected(data, whole_only, step_bytes):
    """Guards against cut events that outgrew the buffer and look whole."""
    tracker = event_tracker.EventTracker(whole_only)
    tracker.feed(FIRST_EVENT)
    for start in range(0, len(data), step_bytes):
        tracker.feed(data[start : start + step_bytes])
    assert tracker.is_inside_event


@pytest.mark.parametrize('step_bytes', [65_536, LIMIT_BYTES * 4])
def test_large_event_is_recorded(step_bytes):
    """Guards against resuming before a large event that was forwarded."""
    tracker = event_tracker.EventTracker(whole_only=True)
    data = b'id: 2\ndata: ' + b'x' * (LIMIT_BYTES * 2) + b'\n\n'
    for start in range(0, len(data), step_bytes):
        tracker.feed(data[start : start + step_bytes])
    assert (tracker.last_id, tracker.is_inside_event) == ('2', False)


@pytest.mark.parametrize('cut', [CLOSE, RESET], ids=['fin', 'reset'])
async def test_large_event_that_is_cut_is_not_joined(system, cut):
    """Guards against a part of an event that its repetition follows."""
    await system.put(route(STREAM, resumable=True, attempts_limit=2))
    large = b'id: 2\ndata: ' + b'x' * (LIMIT_BYTES * 2)
    count = []

    def script(sent, _number):
        count.append(sent)
        if len(count) == 1:
            return [*unframed(sent, FIRST_EVENT, large), cut]
        return [*chunked(sent, SECOND_EVENT), END]

    await system.add('e1', script)
    await system.add('e2', script)
    _status, body, is_whole = conclude(await system.ask(request()))
    assert not is_whole or body == FIRST_EVENT + SECOND_EVENT, len(body)


@pytest.mark.parametrize(
    'data, last_id',
    [
        (b'data: a\nid: 1\n\n', '1'),
        (b'data: a\r\nid: 1\r\n\r\n', '1'),
        (b'data: a\rid: 1\r\r', '1'),
        (b'\xef\xbb\xbfid: 1\ndata: a\n\n', '1'),
        (b'id: 1\n\nid: 2\ndata: a\n', '1'),
        (b'id: 1\n\ndata: b\n\n', '1'),
    ],
    ids=['lf', 'crlf', 'cr', 'mark', 'partial', 'nameless'],
)
@pytest.mark.parametrize('step_bytes', [1, 2, 100])
def test_last_event_is_known(data, last_id, step_bytes):
    """Guards against streams that are resumed before their last event."""
    tracker = event_tracker.EventTracker(whole_only=True)
    for start in range(0, len(data), step_bytes):
        tracker.feed(data[start : start + step_bytes])
    assert tracker.last_id == last_id


PARTIAL = b'id: 2\nda'
RESUMED_ENDS = {
    'inside an event': lambda sent: [*unframed(sent, PARTIAL), CLOSE],
    'before the body': lambda sent: [*unframed(sent), CLOSE],
    'with a reset': lambda sent: [*unframed(sent, SECOND_EVENT), RESET],
    'without the last chunk': lambda sent: [
        *chunked(sent, SECOND_EVENT),
        CLOSE,
    ],
    'with json': lambda sent: framed(sent, 'length', JSON, 'application/json'),
    'with a failure': lambda sent: [
        head(sent, '500 No', 'Content-Length: 2') + b'no'
    ],
}


@pytest.mark.parametrize('name', RESUMED_ENDS)
async def test_resumed_stream_that_ends_badly_is_not_complete(system, name):
    """Guards against a second break that ends the answer well."""
    await system.put(route(STREAM, resumable=True, attempts_limit=2))
    count = []

    def script(sent, _number):
        count.append(sent)
        if len(count) == 1:
            return [*unframed(sent, FIRST_EVENT, PARTIAL), CLOSE]
        return RESUMED_ENDS[name](sent)

    await system.add('e1', script)
    await system.add('e2', script)
    _status, body, is_whole = conclude(await system.ask(request()))
    assert len(count) == 2 and not is_whole, body


@pytest.mark.parametrize('kind', [STREAM, ONCE, REPEATABLE])
@pytest.mark.parametrize('status', ['500 No', '404 No'])
@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_reset_failure_is_not_passed_as_whole(
    system, kind, status, version
):
    """Guards against cut bodies of failures, retained ones included."""
    await system.put(route(kind, attempts_limit=2))
    await system.add(
        'e',
        lambda sent, _number: [
            head(sent, status, 'Content-Type: application/json'),
            b'{"err',
            RESET,
        ],
    )
    got = await system.ask(request(f'GET /a/x HTTP/{version}'))
    _status, body, is_whole = conclude(got)
    assert not (is_whole and body == b'{"err'), got


BROKEN_STREAMS = {
    'fin': lambda sent: [*unframed(sent, FIRST_EVENT, PARTIAL), CLOSE],
    'reset': lambda sent: [*unframed(sent, FIRST_EVENT), RESET],
    'chunks': lambda sent: [*chunked(sent, FIRST_EVENT), CLOSE],
    'chunks end': lambda sent: [*chunked(sent, FIRST_EVENT, PARTIAL), END],
    'length': lambda sent: [
        head(sent, '200 OK', 'Content-Length: 99') + FIRST_EVENT,
        CLOSE,
    ],
    'silence': lambda sent: [*unframed(sent, FIRST_EVENT), STALL],
}


@pytest.fixture
async def regions(tmp_path):
    """Run an entry host in each region; the endpoints are in the south."""
    made = []
    async with nodes.running(tmp_path) as running:
        await running.start_entry('south-hall')

        async def add(name, script):
            endpoint = await endpoints.ScriptedEndpoint(script).start()
            made.append(endpoint)
            await running.register(name, endpoint, data_centre='south-hall')
            return endpoint

        running.add = add
        running.north = running.entries[0].node.callers_address
        yield running
    for endpoint in made:
        await endpoint.close()


@pytest.mark.parametrize('name', BROKEN_STREAMS)
@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_broken_stream_is_broken_behind_a_hop(regions, name, version):
    """Guards against a first host that ends what the second broke off."""
    await regions.put(route(STREAM, timeout_ms=1_500))
    endpoint = await regions.add(
        'e', lambda sent, _number: BROKEN_STREAMS[name](sent)
    )
    await test_far.wait_for_pongs(regions)
    got = await endpoints.send_raw(
        regions.north, request(f'GET /a/x HTTP/{version}')
    )
    assert len(endpoint.requests) == 1
    assert not conclude(got)[2], got


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('stopped', [0, 1], ids=['first', 'second'])
async def test_stream_of_a_host_that_stops_is_not_complete(
    regions, version, stopped
):
    """Guards against a host's end that looks like the stream's end."""
    await regions.put(route(STREAM))
    await regions.add(
        'e', lambda sent, _number: BROKEN_STREAMS['silence'](sent)
    )
    await test_far.wait_for_pongs(regions)
    got = await received_until_stop(
        regions.north,
        request(f'GET /a/x HTTP/{version}'),
        regions.entries[stopped],
    )
    assert FIRST_EVENT in got
    assert not conclude(got)[2], got


async def received_until_stop(address, sent, entry):
    """Return what a caller gets whose host stops after the first event."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(sent)
    got = b''
    try:
        async with asyncio.timeout(nodes.WAIT_S):
            got += await reader.readuntil(b'data: a\n\n')
            stopping = asyncio.ensure_future(entry.close())
            while chunk := await reader.read(65536):
                got += chunk
            await stopping
    except ConnectionError:
        got += b'RESET'
        await stopping
    writer.close()
    return got


async def test_body_of_a_closed_client_is_not_complete():
    """Guards against our own close that looks like the end of a body."""
    endpoint = await endpoints.ScriptedEndpoint(
        lambda sent, _number: [*unframed(sent, FIRST_EVENT), STALL]
    ).start()
    client = web.HttpClient(1_000)
    with pytest.raises(errors.MaybeSentError):
        async with (
            asyncio.timeout(nodes.WAIT_S),
            client.send_verbatim(
                'GET', endpoint.address, '/a/x', [(ID, 'q1')], None
            ) as response,
        ):
            async for _chunk in web.read_chunks(response):
                await client.close()
    await endpoint.close()


@pytest.mark.parametrize('cut', [RESET, CLOSE], ids=['reset', 'fin'])
async def test_end_that_comes_while_reading_is_paused(cut):
    """Guards against a reset that is seen late and looks like an end."""
    piece = b'x' * 65_536
    endpoint = await endpoints.ScriptedEndpoint(
        lambda sent, _number: [*unframed(sent, piece * 64), cut]
    ).start()
    client = web.HttpClient(1_000)
    size_bytes = 0
    is_whole = False
    async with (
        asyncio.timeout(nodes.WAIT_S),
        client.send_verbatim(
            'GET', endpoint.address, '/a/x', [(ID, 'q1')], None
        ) as response,
    ):
        try:
            async for chunk in web.read_chunks(response):
                size_bytes += len(chunk)
                await asyncio.sleep(0.05)
            is_whole = True
        except errors.MaybeSentError:
            pass
    await client.close()
    await endpoint.close()
    assert is_whole is (cut is CLOSE)
    assert not is_whole or size_bytes == len(piece) * 64


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('resumable', [True, False])
async def test_stream_at_its_timeout_is_not_complete(
    system, version, resumable
):
    """Guards against a stream out of time that is ended well."""
    await system.put(route(STREAM, timeout_ms=500, resumable=resumable))
    await system.add(
        'e', lambda sent, _number: [*unframed(sent, FIRST_EVENT), STALL]
    )
    got = await system.ask(request(f'GET /a/x HTTP/{version}'))
    assert FIRST_EVENT in got
    assert not conclude(got)[2], got


LARGE_STREAM = b''.join(
    b'id: %d\ndata: %s\n\n' % (number, b'x' * 65_000) for number in range(256)
)


@pytest.mark.parametrize('framing', ['length', 'chunks', 'connection'])
@pytest.mark.parametrize('kind', [STREAM, ONCE])
@pytest.mark.parametrize(
    'timeout_ms', [60_000, 600], ids=['in time', 'cut by the timeout']
)
async def test_slow_caller_gets_all_or_a_broken_answer(
    system, framing, kind, timeout_ms
):
    """Guards against ends that overtake the bytes still to be forwarded."""
    body = LARGE_STREAM if kind is STREAM else LARGE_STREAM[: 7 * 1024**2]
    await system.put(route(kind, timeout_ms=timeout_ms))
    await system.add(
        'e',
        lambda sent, _number: framed(sent, framing, body, 'text/event-stream'),
    )
    address = system.entries[0].node.callers_address
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(request())
    await asyncio.sleep(1)
    got = b''
    try:
        async with asyncio.timeout(nodes.WAIT_S):
            while chunk := await reader.read(1024**2):
                got += chunk
    except ConnectionError:
        got += b'RESET'
    writer.close()
    _status, passed, is_whole = conclude(got)
    assert not is_whole or passed == body, len(passed)
    assert is_whole or timeout_ms < 1_000, len(passed)
