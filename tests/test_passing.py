"""Passed-through requests: forwarded bytes, retries, and final responses."""

import asyncio

import pytest

from tests import endpoints
from tests import loops
from tests import nodes
from wrenspoke.state import registry
from wrenspoke.state import routes

RESET = endpoints.ScriptedEndpoint.RESET
CLOSE = endpoints.ScriptedEndpoint.CLOSE
STALL = endpoints.ScriptedEndpoint.STALL
ID = 'Wrenspoke-Request-Id'
ONCE = routes.RouteKind.ONCE
REPEATABLE = routes.RouteKind.REPEATABLE
STREAM = routes.RouteKind.STREAM


event_loop_policy = loops.event_loop_policy


def route(kind=ONCE, prefix='/a/', **changes):
    """Return a route to the one service."""
    fields = {'timeout_ms': 5_000, 'target_ms': 500, **changes}
    return routes.Route(
        f'r{prefix}',
        'h.example',
        prefix,
        kind,
        (routes.Target('s'),),
        **fields,
    )


def request(line='GET /a/x HTTP/1.1', headers=(), body=b'', request_id='q1'):
    """Return a request's bytes, with ``Connection: close``."""
    head = [
        line,
        'Host: h.example',
        f'{ID}: {request_id}',
        *headers,
        'Connection: close',
    ]
    return '\r\n'.join(head).encode() + b'\r\n\r\n' + body


def answer(sent, body=b'whole', status='200 OK', extra=b''):
    """Return the bytes of a whole response."""
    return (
        f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n'.encode()
        + endpoints.echo_header(sent, ID)
        + extra
        + b'\r\n'
        + body
    )


def chunked(sent, *pieces):
    """Return a stream's head and its chunks, without the last chunk."""
    head = (
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n'
        + endpoints.echo_header(sent, ID)
        + b'\r\n'
    )
    return [head, *(b'%x\r\n%s\r\n' % (len(p), p) for p in pieces)]


END = b'0\r\n\r\n'


@pytest.fixture
async def system(tmp_path):
    """Run one control and one entry host, with scripted endpoints."""
    made = []
    async with nodes.running(tmp_path) as running:

        async def add(name, script, **changes):
            endpoint = await endpoints.ScriptedEndpoint(script).start()
            made.append(endpoint)
            await running.register(name, endpoint, **changes)
            return endpoint

        running.add = add
        running.ask = lambda sent: endpoints.send_raw(
            running.entries[0].node.callers_address, sent
        )
        yield running
    for endpoint in made:
        await endpoint.close()


@pytest.mark.parametrize(
    'line, headers, body, seen',
    [
        ('GET /a/x HTTP/1.1', [], b'', b''),
        ('GET /a/%7Ex%2F..//y?q=%20&q HTTP/1.1', [], b'', b''),
        ('DELETE /a/x?b=+ HTTP/1.1', ['X-Odd: a, b ;c'], b'', b''),
        ('POST /a/x HTTP/1.1', ['Content-Length: 3'], b'\0\r\n', b'\0\r\n'),
        (
            'POST /a/x HTTP/1.1',
            ['Transfer-Encoding: chunked', 'Content-Type: a/b'],
            b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
            b'abc',
        ),
        (
            'PUT /a/x HTTP/1.1',
            ['Content-Encoding: gzip', 'Content-Length: 4'],
            b'\x1f\x8bxx',
            b'\x1f\x8bxx',
        ),
        (
            'POST /a/x HTTP/1.1',
            ['Expect: 100-continue', 'Content-Length: 2'],
            b'ok',
            b'ok',
        ),
    ],
    ids=['get', 'odd path', 'odd headers', 'sized', 'chunked', 'gzip', '100'],
)
async def test_endpoint_gets_what_the_caller_wrote(
    system, line, headers, body, seen
):
    await system.put(route())
    endpoint = await system.add('e', lambda sent, _number: [answer(sent)])
    got = await system.ask(request(line, headers, body))
    assert got.endswith(b'whole')
    [sent] = endpoint.requests
    head, _, sent_body = sent.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    assert lines[0] == line
    assert sent_body == seen
    kept = [h for h in headers if not _of_the_connection(h)]
    expected = {'Host: h.example', f'{ID}: q1', *kept}
    added = {one for one in lines[1:] if one not in expected}
    names = {one.partition(':')[0].lower() for one in added}
    assert expected <= set(lines[1:])
    assert names <= {
        'content-length',
        'wrenspoke-deadline-ms',
        'wrenspoke-endpoint',
    }


TARGETS = {
    'empty query': b'/a/x?',
    'empty query of the prefix': b'/a/?',
    'two question marks': b'/a/x??',
    'empty query, encoded hash': b'/a/x?%23',
    'encoded hash': b'/a/x%23y?',
    'slashes': b'/a//x///y',
    'parameters': b'/a/x;a=1;b',
    'dots': b'/a/x/../y/./z',
    'percent signs': b'/a/%7e%7E%2f%2F%c3%C3',
    'broken percent signs': b'/a/%zz%2',
    'unusual characters': b'/a/x|y^z`"{}[]\\',
    '8 KiB': b'/a/' + b'x' * (8 * 1024 - 20),
}


@pytest.mark.parametrize('name', TARGETS)
async def test_target_reaches_the_endpoint_as_it_was_written(system, name):
    """Guards against a query mark, or any byte, that a library drops."""
    await system.put(route())
    endpoint = await system.add('e', lambda sent, _number: [answer(sent)])
    target = TARGETS[name]
    sent = request().replace(b'/a/x', target, 1)
    got = await system.ask(sent)
    assert got.endswith(b'whole'), got
    [received] = endpoint.requests
    assert received.split(b'\r\n')[0] == b'GET %s HTTP/1.1' % target


async def test_target_with_other_than_ascii_bytes_is_refused(system):
    """RFC 9112 allows none; the endpoint must not get altered ones."""
    await system.put(route())
    endpoint = await system.add('e', lambda sent, _number: [answer(sent)])
    sent = request().replace(b'/a/x', b'/a/\xc3\xa9\xff?\xfe', 1)
    assert (await system.ask(sent)).startswith(b'HTTP/1.0 400 ')
    assert not endpoint.requests


def _of_the_connection(line):
    name = line.partition(':')[0].lower()
    return name in ('content-length', 'transfer-encoding', 'expect')


async def test_gateway_headers_from_callers_are_dropped(system):
    await system.put(route())
    endpoint = await system.add('e', lambda sent, _number: [answer(sent)])
    forged = [
        'Wrenspoke-Endpoint: other',
        'Wrenspoke-Endpoint-Priority: 0',
        'Wrenspoke-Hop: {}',
        'X-Mine: 1',
    ]
    headers = [*forged, 'Connection: X-Mine']
    await system.ask(request(headers=headers))
    [sent] = endpoint.requests
    assert endpoints.header(sent, 'Wrenspoke-Endpoint') == 'e'
    for name in ('Wrenspoke-Endpoint-Priority', 'Wrenspoke-Hop', 'X-Mine'):
        assert endpoints.header(sent, name) is None


@pytest.mark.parametrize(
    'kind, attempts, status, sends',
    [
        (REPEATABLE, 2, 200, 2),
        (REPEATABLE, 1, 500, 1),
        (ONCE, 2, 500, 1),
    ],
)
async def test_failure_is_tried_again_where_it_may_be(
    system, kind, attempts, status, sends
):
    """A failure that is not retried is forwarded as it is."""
    await system.put(route(kind, attempts_limit=attempts))
    count = []

    def script(sent, _number):
        count.append(1)
        if len(count) == 1:
            return [answer(sent, b'mine', '500 No', b'X-Stamp: e\r\n')]
        return [answer(sent)]

    await system.add('e1', script)
    await system.add('e2', script)
    got = await system.ask(request())
    assert got.startswith(f'HTTP/1.1 {status} '.encode())
    assert len(count) == sends
    if status == 500:
        assert b'X-Stamp: e' in got and got.endswith(b'mine')


BROKEN = {
    'reset before the head': lambda sent: [RESET],
    'closed before the head': lambda sent: [CLOSE],
    'no answer at all': lambda sent: [b'what is this\r\n\r\n', CLOSE],
    'cut short': lambda sent: [answer(sent)[:-2], CLOSE],
    'reset in the body': lambda sent: [answer(sent)[:-2], RESET],
    'no length and reset': lambda sent: [
        b'HTTP/1.1 200 OK\r\n' + endpoints.echo_header(sent, ID) + b'\r\nwho',
        RESET,
    ],
    "another request's": lambda sent: [
        answer(sent).replace(b': q1', b': q0'),
    ],
    'nameless': lambda sent: [answer(sent).replace(b': q1', b':')],
}


@pytest.mark.parametrize('name', BROKEN)
@pytest.mark.parametrize('kind', [ONCE, REPEATABLE])
async def test_broken_answer_is_never_passed_as_whole(system, name, kind):
    """Calls that must run once only are not retried, nor reported as unrun."""
    await system.put(route(kind, attempts_limit=2))
    count = []

    def script(sent, _number):
        count.append(1)
        if len(count) == 1:
            return BROKEN[name](sent)
        return [answer(sent)]

    await system.add('e1', script)
    await system.add('e2', script)
    got = await system.ask(request())
    if kind is REPEATABLE:
        assert got.endswith(b'whole') and len(count) == 2
    else:
        assert got.startswith(b'HTTP/1.1 502 ') and len(count) == 1


async def test_reset_after_the_last_bytes_is_an_incomplete_body(system):
    """libuv reports such a reset as an end of file."""
    await system.put(route())
    endpoint = endpoints.ResettingEndpoint(
        lambda sent: (
            b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
            + endpoints.echo_header(sent, ID)
            + b'\r\nwho'
        )
    )
    await system.register('e', endpoint)
    got = await system.ask(request())
    await endpoint.close()
    assert got.startswith(b'HTTP/1.1 502 '), got


async def test_answer_without_length_that_ends_is_whole(system):
    await system.put(route())
    await system.add(
        'e',
        lambda sent, _number: [
            b'HTTP/1.1 200 OK\r\n'
            + endpoints.echo_header(sent, ID)
            + b'\r\nwhole',
            CLOSE,
        ],
    )
    got = await system.ask(request())
    assert got.startswith(b'HTTP/1.1 200 ') and b'whole' in got


async def test_surplus_response_is_not_matched_to_the_next_request(system):
    """Bytes after a response must not be taken for the next one."""
    await system.put(route(REPEATABLE, attempts_limit=2))
    await system.add(
        'e',
        lambda sent, number: (
            [answer(sent) + answer(sent, b'stale').replace(b': q1', b': q9')]
            if number == 1
            else [answer(sent, b'second')]
        ),
    )
    assert (await system.ask(request())).endswith(b'whole')
    await asyncio.sleep(0.1)
    got = await system.ask(request(request_id='q2'))
    assert b'stale' not in got


async def test_misdirected_endpoint_is_deregistered(system):
    """One 421 response removes the endpoint from all hosts."""
    await system.put(route())
    other = await system.add(
        'e1', lambda sent, _number: [answer(sent, b'', '421 Other')]
    )
    await system.add('e2', lambda sent, _number: [answer(sent)])
    for number in range(12):
        got = await system.ask(request(request_id=f'q{number}'))
        assert got.endswith(b'whole')
    assert len(other.requests) == 1
    held = system.controls[0].registrar.registry.entries
    await nodes.until(lambda: not held['e1'].takes_work)


async def test_not_run_response_is_retried_elsewhere(system):
    await system.put(route(ONCE))
    count = []

    def script(sent, _number):
        count.append(1)
        if len(count) == 1:
            extra = b'Wrenspoke-Not-Run: 1\r\n'
            return [answer(sent, b'', '503 Full', extra)]
        return [answer(sent)]

    await system.add('e1', script)
    await system.add('e2', script)
    assert (await system.ask(request())).endswith(b'whole')
    assert len(count) == 2


@pytest.mark.parametrize(
    'line, host, status',
    [
        ('GET /b/x HTTP/1.1', 'h.example', 404),
        ('GET /a HTTP/1.1', 'h.example', 404),
        ('GET /a/x HTTP/1.1', 'other.example', 404),
        ('GET /a/x HTTP/1.1', 'H.EXAMPLE:80', 503),
    ],
)
async def test_request_without_route_is_not_found(system, line, host, status):
    """There is no endpoint either, so requests with a route get a 503."""
    await system.put(route())
    sent = request(line).replace(b'h.example', host.encode())
    got = await system.ask(sent)
    assert got.startswith(f'HTTP/1.1 {status} '.encode())
    assert (b'Retry-After' in got) is (status == 503)


@pytest.mark.parametrize(
    'sent, status',
    [
        (b'GET /a/x HTTP/1.1\r\nHost: h.example\r\n\r\n', 400),
        (request(headers=[f'{ID}: q2']), 400),
        (request(headers=['Wrenspoke-Deadline-Ms: soon']), 400),
        (request('GET a/x HTTP/1.1'), 400),
        (request('POST /a/x HTTP/1.1', ['Content-Length: 99999999']), 413),
        (
            request(
                'POST /a/x HTTP/1.1',
                ['Content-Length: 3', 'Transfer-Encoding: chunked'],
                b'0\r\n\r\nGET /a/smuggled HTTP/1.1\r\n\r\n',
            ),
            400,
        ),
        (request('POST /a/x HTTP/1.1', ['Content-Length: 3, 4']), 400),
        (b'nonsense\r\n\r\n', 400),
    ],
    ids=[
        'no id',
        'two ids',
        'deadline',
        'path',
        'too large',
        'two framings',
        'two lengths',
        'nonsense',
    ],
)
async def test_malformed_request_is_refused_and_closed(system, sent, status):
    await system.put(route())
    endpoint = await system.add('e', lambda sent, _number: [answer(sent)])
    got = await system.ask(sent)
    assert got.split(b' ')[1] == str(status).encode(), got[:80]
    assert endpoint.requests == []


async def test_timeout_is_not_reported_as_unexecuted(system):
    await system.put(route(timeout_ms=300))
    await system.add('e', lambda sent, _number: [STALL])
    got = await system.ask(request())
    assert got.startswith(b'HTTP/1.1 504 ')


async def test_call_waits_until_a_host_that_starts_can_serve(system):
    await system.put(route())
    await system.add('e', lambda sent, _number: [answer(sent)])
    [entry] = system.entries
    entry.replica.suspend_serving()
    asked = asyncio.ensure_future(system.ask(request()))
    await nodes.until(lambda: entry.passthrough.in_flight or asked.done())
    entry.replica.start_serving()
    got = await asked
    assert got.endswith(b'whole')


async def test_endpoint_is_told_what_time_is_left(system):
    await system.put(route(timeout_ms=800))
    endpoint = await system.add('e', lambda sent, _number: [answer(sent)])
    await system.ask(request(headers=['Wrenspoke-Deadline-Ms: 60000']))
    left = endpoints.header(endpoint.requests[0], 'Wrenspoke-Deadline-Ms')
    assert 0 < int(left) <= 800


@pytest.mark.parametrize('kind', [ONCE, STREAM])
async def test_caller_disconnect_cancels_the_upstream_request(system, kind):
    await system.put(route(kind))
    endpoint = await system.add(
        'e', lambda sent, _number: [*chunked(sent, b'id: 1\n\n'), STALL]
    )
    address = system.entries[0].node.callers_address
    ip, _, port = address.rpartition(':')
    _reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(request())
    await nodes.until(lambda: endpoint.requests)
    writer.close()
    async with asyncio.timeout(nodes.WAIT_S):
        await endpoint.peer_closed.wait()


async def test_stream_flows_piece_by_piece(system):
    await system.put(route(STREAM))
    more = asyncio.Event()

    def script(sent, _number):
        return [*chunked(sent, b'id: 1\ndata: a\n\n'), STALL]

    await system.add('e', script)
    address = system.entries[0].node.callers_address
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(request())
    async with asyncio.timeout(nodes.WAIT_S):
        await reader.readuntil(b'id: 1\ndata: a\n\n')
    more.set()
    writer.close()


@pytest.mark.parametrize('resumable', [True, False])
async def test_broken_stream_is_resumed_or_aborted(system, resumable):
    """No event is lost, duplicated or cut; a broken stream has no end."""
    await system.put(route(STREAM, resumable=resumable, attempts_limit=2))
    count = []

    def script(sent, _number):
        count.append(sent)
        if len(count) == 1:
            return [*chunked(sent, b'id: 1\n\n', b'id: 2\n\nid: 3\nda'), RESET]
        return [*chunked(sent, b'id: 3\ndata: c\n\n'), END]

    await system.add('e1', script)
    await system.add('e2', script)
    got = await system.ask(request())
    if resumable:
        assert endpoints.header(count[1], 'Last-Event-ID') == '2'
        events = b''.join(got.split(b'\r\n')).count(b'id: ')
        assert events == 3 and got.endswith(END)
    else:
        assert len(count) == 1 and not got.endswith(END)


def unframed(sent, *pieces, kind='text/event-stream'):
    """Return a response that only the end of its connection delimits."""
    head = (
        f'HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\n'.encode()
        + endpoints.echo_header(sent, ID)
        + b'\r\n'
    )
    return [head, *pieces]


FIRST_EVENT = b'id: 1\ndata: a\n\n'
PARTIAL_EVENTS = {
    'in a field': b'id: 2\nda',
    'after a field': b'id: 2\ndata: b\n',
    'in a field name': b'id',
    'in the last line end': b'id: 2\r\ndata: b\r\n\r',
}
FRAMINGS = {
    'connection': lambda sent, *pieces: [*unframed(sent, *pieces), CLOSE],
    'chunks': lambda sent, *pieces: [*chunked(sent, *pieces), END],
    'length': lambda sent, *pieces: [
        answer(
            sent,
            b''.join(pieces),
            extra=b'Content-Type: text/event-stream\r\n',
        )
    ],
}


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('piece', PARTIAL_EVENTS)
@pytest.mark.parametrize('whole', [b'', FIRST_EVENT], ids=['none', 'one'])
async def test_stream_that_ends_inside_an_event_is_not_complete(
    system, framing, piece, whole
):
    """Guards against truncated streams that reach callers as complete."""
    await system.put(route(STREAM))
    pieces = [part for part in (whole, PARTIAL_EVENTS[piece]) if part]
    await system.add(
        'e', lambda sent, _number: FRAMINGS[framing](sent, *pieces)
    )
    got = await system.ask(request())
    assert not got.endswith(END), got
    assert whole in got


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('piece', PARTIAL_EVENTS)
@pytest.mark.parametrize('whole', [b'', FIRST_EVENT], ids=['none', 'one'])
async def test_stream_that_ends_inside_an_event_is_resumed(
    system, framing, piece, whole
):
    """Guards against truncated streams that are ended instead of resumed."""
    await system.put(route(STREAM, resumable=True, attempts_limit=2))
    count = []

    def script(sent, _number):
        count.append(sent)
        if len(count) == 1:
            pieces = [part for part in (whole, PARTIAL_EVENTS[piece]) if part]
            return FRAMINGS[framing](sent, *pieces)
        return [*chunked(sent, b'id: 2\ndata: b\n\n'), END]

    await system.add('e1', script)
    await system.add('e2', script)
    got = await system.ask(request())
    assert len(count) == 2
    last = endpoints.header(count[1], 'Last-Event-ID')
    assert last == ('1' if whole else None)
    assert got.count(b'id: 2') == 1 and got.count(b'data: a') == len(whole[:1])
    assert got.endswith(END)


@pytest.mark.parametrize(
    'last',
    [
        b'id: 2\ndata: b\n\n',
        b'id: 2\r\ndata: b\r\n\r\n',
        b'id: 2\rdata: b\r\r',
        b'id: 2\ndata: b\n\r\n',
        b'id: 2\r\ndata: b\r\n\n',
        b'id: 2\ndata: b\n\n\n\r\n',
        b'id: 2\ndata: b\n\n: end of stream\n',
    ],
    ids=['lf', 'crlf', 'cr', 'lf crlf', 'crlf lf', 'blank lines', 'comment'],
)
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('resumable', [True, False])
async def test_stream_that_ends_between_events_is_complete(
    system, framing, last, resumable
):
    """Guards against whole streams that callers get as broken off."""
    await system.put(route(STREAM, resumable=resumable, attempts_limit=2))
    endpoint = await system.add(
        'e', lambda sent, _number: FRAMINGS[framing](sent, FIRST_EVENT, last)
    )
    got = await system.ask(request())
    assert len(endpoint.requests) == 1
    assert got.endswith(END) and got.count(b'data: ') == 2


@pytest.mark.parametrize('resumable', [True, False])
async def test_stream_without_any_event_or_length_is_not_complete(
    system, resumable
):
    """Guards against crashes after the head that look like empty streams."""
    await system.put(route(STREAM, resumable=resumable, attempts_limit=2))
    count = []

    def script(sent, _number):
        count.append(sent)
        if len(count) == 1:
            return [*unframed(sent), CLOSE]
        return [*chunked(sent, FIRST_EVENT), END]

    await system.add('e1', script)
    await system.add('e2', script)
    got = await system.ask(request())
    if resumable:
        assert FIRST_EVENT in got and got.endswith(END)
    else:
        assert got.startswith(b'HTTP/1.1 502 ') and len(count) == 1


@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_broken_stream_is_visibly_broken_for_every_caller(
    system, version
):
    """Guards against HTTP/1.0 callers that take a broken stream for whole.

    They get no chunks, so that only a reset shows that the body is cut.
    """
    await system.put(route(STREAM))
    await system.add(
        'e',
        lambda sent, _number: [*unframed(sent, FIRST_EVENT, b'id'), CLOSE],
    )
    got = await system.ask(request(f'GET /a/x HTTP/{version}'))
    assert got.startswith(b'HTTP/1.1 200 ') or version == '1.0'
    assert got.endswith(b'RESET') or (
        version == '1.1' and not got.endswith(END)
    )


@pytest.mark.parametrize(
    'state',
    [registry.RegistrationState.DRAINING, registry.RegistrationState.GONE],
)
async def test_endpoint_that_leaves_gets_nothing_new(system, state):
    await system.put(route())
    leaving = await system.add('e1', lambda sent, _number: [answer(sent)])
    staying = await system.add('e2', lambda sent, _number: [answer(sent)])
    await system.register('e1', leaving, state=state)
    for number in range(8):
        await system.ask(request(request_id=f'q{number}'))
    assert (len(leaving.requests), len(staying.requests)) == (0, 8)


async def test_evacuated_data_centre_gets_nothing(system):
    await system.put(route())
    endpoint = await system.add('e', lambda sent, _number: [answer(sent)])
    leader = await system.leader()
    await leader.decisions.set_evacuation('north-hall', True)
    held = system.entries[0].replica
    await nodes.until(lambda: held.current.evacuated)
    assert (await system.ask(request())).startswith(b'HTTP/1.1 503 ')
    assert endpoint.requests == []


@pytest.mark.parametrize(
    'warmup_per_s, health, at_once',
    [
        (0.0, b'', True),
        (2.0, b'', False),
        (2.0, b'Wrenspoke-Instance: e\r\n', True),
        (2.0, b'Wrenspoke-Instance: other\r\n', False),
        (
            2.0,
            b'Wrenspoke-Instance: e\r\nWrenspoke-Warmup-Ms: 60000\r\n',
            False,
        ),
    ],
    ids=['never cold', 'unknown', 'warm', 'of another', 'cold'],
)
async def test_restored_endpoint_is_used_at_once_only_if_warm(
    system, warmup_per_s, health, at_once
):
    """A cold endpoint gets requests from one host, at its warmup rate."""

    def script(sent, _number):
        if sent.startswith(b'GET /health '):
            return [answer(sent, extra=health)]
        return [answer(sent)]

    await system.put(route(), warmup_per_s=warmup_per_s)
    await system.add('e', script)
    await evacuate_and_restore(system)
    served = 0
    for number in range(5):
        got = await system.ask(request(request_id=f'q{number}'))
        served += got.endswith(b'whole')
    assert (served == 5) is at_once


async def evacuate_and_restore(system):
    """Evacuate the data centre and restore it, as seen by the entry host."""
    leader = await system.leader()
    [entry] = system.entries
    for evacuated in (True, False):
        await leader.decisions.set_evacuation('north-hall', evacuated)
        current = entry.replica
        await nodes.until(
            lambda: ('north-hall' in current.current.evacuated) is evacuated
        )
        await system.ask(request())
    warmth = entry._warmup_probe
    await nodes.until(lambda: not warmth._tasks._tasks)


async def test_restored_endpoint_is_used_again_without_a_status(system):
    """It counts as cold for a limited time if its status is unknown."""
    await system.put(route(), warmup_per_s=2.0)
    await system.add('e', lambda sent, _number: [answer(sent)])
    await evacuate_and_restore(system)
    async with asyncio.timeout(nodes.WAIT_S):
        served = 0
        while served < 5:
            got = await system.ask(request())
            served = served + 1 if got.endswith(b'whole') else 0


async def test_cold_endpoint_without_warmup_rate_gets_nothing(system):
    await system.put(route())
    endpoint = await system.add(
        'e', lambda sent, _number: [answer(sent)], warmup_left_ms=60_000
    )
    table = system.entries[0].replica.current.routes
    assert table.services['s'].warmup_per_s == 0
    for number in range(5):
        await system.ask(request(request_id=f'q{number}'))
    assert endpoint.requests == []


@pytest.mark.parametrize(
    'warmup_left_ms, least_s, most_s',
    [(None, 0.5, 0.75), (8_000, 5.0, 12.0)],
    ids=['nothing known', 'cold for a while'],
)
async def test_caller_without_endpoint_gets_retry_after(
    system, warmup_left_ms, least_s, most_s
):
    await system.put(route(), warmup_per_s=0.1)
    if warmup_left_ms is not None:
        await system.add(
            'e',
            lambda sent, _number: [answer(sent)],
            warmup_left_ms=warmup_left_ms,
        )
        await system.ask(request(request_id='first'))
    got = await system.ask(request())
    assert got.startswith(b'HTTP/1.1 503 ')
    wait_s = float(endpoints.header(got, 'Retry-After'))
    assert least_s <= wait_s <= most_s


async def test_draining_host_refuses_new_and_completes_open_requests(system):
    await system.put(route())
    go_on = asyncio.Event()

    def script(sent, _number):
        go_on.set()
        return [b'', b'', b'', answer(sent)]

    await system.add('e', script)
    asked = asyncio.create_task(system.ask(request()))
    await go_on.wait()
    entry = system.entries[0]
    draining = asyncio.create_task(entry.drain())
    assert (await asked).endswith(b'whole')
    await nodes.until(lambda: entry.passthrough.closed)
    assert not entry.passthrough.ready
    got = await system.ask(request(request_id='q2'))
    assert got.startswith(b'HTTP/1.1 503 ')
    assert b'Connection: close' in got
    await draining
