"""The end of a connection is not taken for the end of a message."""

import asyncio
import contextlib
import types

import msgspec
import pytest

from tests import endpoints
from tests import fleet
from tests import test_adapter
from tests import test_dispatch
from tests import test_endpoints
from tests import test_passing
from tests import test_storage
from wrenspoke import caller as callers
from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import execution
from wrenspoke.coordination import errors as coordination_errors
from wrenspoke.coordination.membership import host_list_poller
from wrenspoke.coordination.membership import loads
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import dispatch
from wrenspoke.coordination.serving import forwarding
from wrenspoke.coordination.serving import streams
from wrenspoke import operator as operators
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import hops
from wrenspoke.protocol import requests
from wrenspoke.protocol import sse
from wrenspoke import settings
from wrenspoke.standin import engine
from wrenspoke.state import configuration
from wrenspoke.state import disk
from wrenspoke.state import errors as state_errors
from wrenspoke.state import storage
from wrenspoke.transport import links
from wrenspoke.transport import web

CLOSE = endpoints.ScriptedEndpoint.CLOSE
RESET = endpoints.ScriptedEndpoint.RESET

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
    'sent, body',
    [
        (['Content-Length: 10'], b'half'),
        (['Content-Length: 10'], b''),
        (['Transfer-Encoding: chunked'], b'4\r\nhalf\r\n'),
        (['Transfer-Encoding: chunked'], b'4\r\nhalf\r\n0\r\n'),
    ],
    ids=['length', 'nothing', 'chunks', 'last chunk cut'],
)
async def test_truncated_request_reaches_no_endpoint(system, sent, body):
    """Guards against requests that are run with a part of their body."""
    await system.put(test_passing.route(test_passing.REPEATABLE))
    endpoint = await system.add(
        'e', lambda sent, _number: [test_passing.answer(sent)]
    )
    cut = test_passing.request('POST /a/x HTTP/1.1', sent, body)
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


JSON = 'application/json'
CHAT = requests.RequestKind.CHAT
PLAIN = requests.RequestKind.PLAIN
WHOLE = '{"choices":[{"message":{"content":"Ja, Grüße"}}]}'.encode()
EVENT = b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'
DONE = b'data: [DONE]\n\n'


def unframed(sent, kind, *pieces, status='200 OK'):
    """Return a response with neither a length nor chunks."""
    head = (
        f'HTTP/1.1 {status}\r\nContent-Type: {kind}\r\n'.encode()
        + endpoints.echo_header(sent, headers.ECHOED_REQUEST_ID)
        + b'\r\n'
    )
    return [head, *pieces]


@contextlib.asynccontextmanager
async def dispatching(url):
    """Yield a dispatcher that knows one endpoint."""
    known = replica.Replica()
    known.current = configuration.Configuration(
        endpoints={'e': _configured(url)}
    )
    known.serving = True
    client = web.HttpClient(1_000)
    try:
        yield dispatch.Dispatcher('h', 'north', known, client, clocks.Clock())
    finally:
        await client.close()


def _configured(url):
    return configuration.Endpoint('e', 's', 'north', 'hall', url)


def chat(kind=CHAT, method='POST'):
    """Return work for the endpoint."""
    head = requests.RequestHead(
        'r1', kind, method, '/', 's', clocks.Clock().mono_ms() + 5_000
    )
    return dispatch.Send(
        dispatch.Purpose.FIRST,
        'e',
        method,
        '/',
        b'{}',
        head,
        test_dispatch.slot(_configured('')),
    )


@contextlib.asynccontextmanager
async def sent_to(script, kind=CHAT, method='POST'):
    """Send work to a configured endpoint, and yield the response."""
    engine = await endpoints.ScriptedEndpoint(script).start()
    try:
        async with (
            dispatching(f'http://{engine.address}') as dispatcher,
            dispatcher.send(chat(kind, method)) as answer,
        ):
            yield answer
    finally:
        await engine.close()


# Kind of the request, status, content type, body, whether it is whole.
UNFRAMED = [
    (CHAT, '200 OK', JSON, WHOLE, True),
    (CHAT, '200 OK', 'application/json; charset=utf-8', WHOLE + b'\n', True),
    (CHAT, '200 OK', JSON, WHOLE[:-1], False),
    (CHAT, '200 OK', JSON, WHOLE[:40], False),
    (CHAT, '200 OK', JSON, b'', False),
    (CHAT, '200 OK', JSON, b'12', False),
    (CHAT, '200 OK', 'text/plain', b'Ja', False),
    (CHAT, '500 Error', 'text/plain', b'fault', True),
    (PLAIN, '200 OK', JSON, WHOLE, True),
    (PLAIN, '200 OK', JSON, WHOLE[:-1], False),
    (PLAIN, '200 OK', 'application/problem+json', WHOLE[:-1], False),
    (PLAIN, '200 OK', 'text/event-stream', EVENT, True),
    (PLAIN, '200 OK', 'text/event-stream', EVENT[:-1], False),
    (PLAIN, '200 OK', 'text/event-stream', b'data:' + bytes(1 << 20), False),
    (PLAIN, '200 OK', 'text/plain', b'lift 3', True),
    (PLAIN, '200 OK', 'text/plain', b'', False),
    (PLAIN, '204 No Content', 'text/plain', b'', True),
]


@pytest.mark.parametrize(
    'kind, status, content_type, body, is_whole',
    UNFRAMED,
    ids=[
        f'{row[0].value} {row[1]} {row[2]} {len(row[3])}' for row in UNFRAMED
    ],
)
async def test_response_without_length_is_whole_if_it_shows_its_end(
    kind, status, content_type, body, is_whole
):
    """Guards against refusing such responses, and against taking them all."""
    pieces = [body[:5], body[5:]] if body else []
    try:
        async with sent_to(
            lambda sent, _number: [
                *unframed(sent, content_type, *pieces, status=status),
                CLOSE,
            ],
            kind,
        ) as answer:
            got = await answer.read_all(1 << 22)
    except coordination_errors.MaybeSentError:
        got = None
    assert got == (body if is_whole else None)


@pytest.mark.parametrize('kind', [CHAT, PLAIN])
async def test_reset_response_without_length_is_not_whole(kind):
    """Guards against resets behind bytes that look whole."""
    with pytest.raises(coordination_errors.MaybeSentError):
        async with sent_to(
            lambda sent, _number: [*unframed(sent, JSON, WHOLE), RESET], kind
        ) as answer:
            await answer.read_all(1_000)


class FakeReply:
    """Counts the events of a stream."""

    def __init__(self):
        self.sent = []

    async def send_event(self, event):
        self.sent.append(event)


@pytest.mark.parametrize(
    'pieces, count, is_whole',
    [
        ((EVENT, DONE), 2, True),
        ((EVENT, EVENT[:9], EVENT[9:], DONE), 3, True),
        ((DONE,), 1, True),
        ((), 0, False),
        ((EVENT,), 1, False),
        ((EVENT, EVENT[:-1]), 1, False),
        ((EVENT, DONE[:-1]), 1, False),
        ((EVENT, DONE[:-2]), 1, False),
    ],
)
async def test_stream_without_length_is_whole_if_it_has_its_end_mark(
    pieces, count, is_whole
):
    transcript = streams.Transcript(b'{}', 0, 1_000)
    reply = FakeReply()
    try:
        async with sent_to(
            lambda sent, _number: [
                *unframed(sent, 'text/event-stream', *pieces),
                CLOSE,
            ]
        ) as answer:
            await streams.relay_events(
                answer.chunks(), transcript, reply, 2_000, 2_000, lambda: None
            )
        ended = True
    except coordination_errors.MaybeSentError:
        ended = False
    assert len(reply.sent) == count
    assert (ended, transcript.finished) == (is_whole, is_whole)


@contextlib.asynccontextmanager
async def scripted_engines(tmp_path, script):
    """Run an entry host before two engines, and yield a caller of it."""
    made = fleet.deployment(regions=('north',), engines=2, plains=0)
    started = fleet.Fleet(tmp_path, made)
    engines = []
    try:
        for found in made['endpoints']:
            scripted = endpoints.ScriptedEndpoint(script)
            scripted.address = found['url'].removeprefix('http://')
            await scripted.listen_at_same_address()
            engines.append(scripted)
        started.start_entry('north-1')
        await started.wait_serving()
        yield started.caller('north-1')
    finally:
        await started.close()
        for scripted in engines:
            await scripted.close()


@pytest.mark.parametrize('is_stream', [True, False])
async def test_engine_that_frames_by_its_connection_serves_chats(
    tmp_path, is_stream
):
    """The whole way: caller, entry host, engine; the first answer is cut."""
    words = ''.join(engine.answer_words(test_endpoints.MESSAGES, 16))
    answered = []

    def script(sent, _number):
        if sent.startswith(b'GET /load '):
            return [*unframed(sent, JSON, b'{"running":0,"waiting":0}'), CLOSE]
        if not sent.startswith(b'POST '):
            return [*unframed(sent, JSON, status='404 Not Found'), CLOSE]
        answered.append(sent)
        if b'continue_final_message' in sent:
            return [*unframed(sent, 'text/event-stream', DONE), CLOSE]
        kind = 'text/event-stream' if is_stream else JSON
        delta = 'delta' if is_stream else 'message'
        body = msgspec.json.encode({'choices': [{delta: {'content': words}}]})
        if is_stream:
            body = b'data: ' + body + b'\n\ndata: [DONE]\n\n'
        cut = body[:-2] if len(answered) == 1 else body
        return [*unframed(sent, kind, cut[:20], cut[20:]), CLOSE]

    async with scripted_engines(tmp_path, script) as caller:
        chat = test_endpoints.chat_body(is_stream)
        first = await caller.chat(chat)
        second = await caller.chat(chat)
    assert first.outcome == second.outcome == 'whole', (first, second)
    assert first.text == second.text == words
    assert len(answered) == 3


def declared(sent, body, *lines):
    """Return a response with a length, as hosts send it."""
    head = [f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}', *lines]
    return ['\r\n'.join(head).encode() + b'\r\n\r\n' + body]


@contextlib.asynccontextmanager
async def hosts_answering(*scripts):
    """Run scripted hosts, and yield their URLs."""
    started = [
        await endpoints.ScriptedEndpoint(script).start() for script in scripts
    ]
    try:
        yield [f'http://{one.address}' for one in started]
    finally:
        for one in started:
            await one.close()


# What the first host sends of an answer before its connection ends.
CUT_ANSWERS = {
    'nothing': b'',
    'a part': b'{"hosts":[{"url":',
    'a number': b'12',
}


@pytest.mark.parametrize('cut', CUT_ANSWERS)
async def test_truncated_answer_to_an_operator_is_asked_for_again(cut):
    """Guards against a part of an answer that is shown as the answer."""
    async with hosts_answering(
        lambda sent, _number: [*unframed(sent, JSON, CUT_ANSWERS[cut]), CLOSE],
        lambda sent, _number: declared(sent, b'{"leader":"c2"}'),
    ) as urls:
        client = operators.OperatorClient(urls, 'token', 3_000)
        try:
            found = await client.show('/status')
        finally:
            await client.close()
    assert (found.status, found.body) == (200, {'leader': 'c2'})


@pytest.mark.parametrize('cut', CUT_ANSWERS)
async def test_truncated_directory_is_fetched_from_another_host(cut):
    """Guards against a caller that gives up, or drops its hosts."""
    async with hosts_answering(
        lambda sent, _number: [*unframed(sent, JSON, CUT_ANSWERS[cut]), CLOSE],
        lambda sent, _number: declared(sent, b'{"hosts":[{"url":"h2"}]}'),
    ) as urls:
        caller = callers.Caller(urls)
        try:
            assert await caller.refresh() == ['h2']
        finally:
            await caller.close()


async def test_truncated_answer_to_a_caller_is_not_whole():
    """Guards against answers whose framing was lost behind their host."""
    outcome = f'{headers.OUTCOME}: whole'

    def cut(sent, _number):
        head, *pieces = unframed(sent, 'text/plain', b'lift')
        head = head.replace(b'\r\n\r\n', f'\r\n{outcome}\r\n\r\n'.encode())
        return [head, *pieces, CLOSE]

    async with hosts_answering(
        cut, lambda sent, _number: declared(sent, b'lift 3', outcome)
    ) as urls:
        caller = callers.Caller(urls)
        try:
            result = await caller.call('GET', 'records', '/map')
        finally:
            await caller.close()
    assert (result.outcome, result.body) == ('whole', b'lift 3')
    assert result.hosts == urls


class OneRegion:
    """Members and reachability of a region whose hosts are all up."""

    def __init__(self, hosts):
        self._hosts = hosts
        self.failed = []

    def entry_hosts_in(self, _region):
        return self._hosts

    async def reachable(self, hosts):
        return hosts

    def watch_host(self, _host, _on_lost):
        return contextlib.nullcontext()

    def record_request_failure(self, host):
        self.failed.append(host)


def new_forwarder(deployment, region, client, clock):
    """Return a host's forwarder to the one region of a deployment."""
    return forwarding.Forwarder(
        'north-1',
        settings.parse(msgspec.json.encode(deployment)),
        region,
        region,
        client,
        hops.HopSigner('test', b'k' * 32),
        types.SimpleNamespace(record=lambda *_values, **_fields: None),
        clock,
    )


class WholeReply:
    """Records a response that is sent to the caller."""

    started = False

    async def send_response(self, status, _found, body, outcome):
        self.sent = (status, body, outcome.value)


async def test_truncated_answer_of_another_region_is_not_forwarded(tmp_path):
    """Guards against answers whose framing was lost between regions."""
    outcome = f'{headers.OUTCOME}: whole'

    def cut(sent, _number):
        head, *pieces = unframed(sent, 'text/plain', b'lift')
        head = head.replace(b'\r\n\r\n', f'\r\n{outcome}\r\n\r\n'.encode())
        return [head, *pieces, CLOSE]

    made = fleet.deployment(regions=('south',), entries=2)
    async with hosts_answering(
        cut, lambda sent, _number: declared(sent, b'lift 3', outcome)
    ) as urls:
        for host, url in zip(made['hosts'], urls):
            host['http_port'] = int(url.rpartition(':')[2])
        region = OneRegion(['south-1', 'south-2'])
        client = web.HttpClient(1_000)
        clock = clocks.Clock()
        forwarder = new_forwarder(made, region, client, clock)
        head = requests.RequestHead(
            'r1', PLAIN, 'GET', '/map', 'records', clock.mono_ms() + 5_000
        )
        reply = WholeReply()
        await forwarder.forward(head, b'', 'south', reply)
        await client.close()
    assert reply.sent == (200, b'lift 3', 'whole')
    assert region.failed == ['south-1']


# Decoders of the answers that hosts poll for, and a whole answer of each.
POLLED = [
    (
        lambda body: test_adapter.reports.EngineReports().read('e', body),
        b'{"queued":1,"running":12,"kvUsed":41000,"kvTotal":90000}',
    ),
    (
        lambda body: msgspec.json.decode(body, type=loads.EngineLoad),
        b'{"running":1,"waiting":0,"age_ms":5}',
    ),
    (
        lambda body: msgspec.json.decode(body, type=execution.EngineState),
        b'{"models":["m"],"fence":12,"running":12}',
    ),
    (
        lambda body: msgspec.json.decode(body, type=host_list_poller.HostList),
        b'{"hosts":[{"address":"10.0.0.1","state":"leaving"}]}',
    ),
]


@pytest.mark.parametrize(
    'decode, whole', POLLED, ids=['report', 'load', 'state', 'host list']
)
def test_no_part_of_a_polled_answer_can_be_decoded(decode, whole):
    """Pollers read answers up to a close: their decoders find the end."""
    decode(whole)
    for size_bytes in range(len(whole)):
        with pytest.raises((msgspec.DecodeError, state_errors.StateError)):
            decode(whole[:size_bytes])


def test_no_part_of_a_link_message_can_be_decoded():
    """Messages have a length, and their decoder finds the end as well."""
    made = links.Links(links.Identity('test', 'h1'), [], clocks.Clock(), None)
    frame = made._encode_envelope(1, b'body' * 1_000, 1_000)
    assert made._decode_envelope(frame, None) is not None
    for size_bytes in range(len(frame)):
        assert made._decode_envelope(frame[:size_bytes], None) is None


@pytest.mark.parametrize('count', [1, 3])
def test_no_part_of_a_journal_record_is_read(tmp_path, count):
    """Guards against a torn append that is taken for a shorter one."""
    opened = disk.Disk(tmp_path)
    kept = storage.Storage(opened)
    kept.save_meta()
    kept.append([test_storage.entry(1)])
    first = opened.read(storage.LOG)
    kept.append([test_storage.entry(2 + step) for step in range(count)])
    whole = opened.read(storage.LOG)
    for size_bytes in range(len(first), len(whole)):
        opened.replace(storage.LOG, whole[:size_bytes])
        assert storage.Storage(opened).last_index == 1
        assert opened.read(storage.LOG) == first


@pytest.mark.parametrize('name', [storage.META, storage.SNAPSHOT])
def test_no_part_of_a_replaced_file_is_read(tmp_path, name):
    opened = disk.Disk(tmp_path)
    kept = storage.Storage(opened)
    kept.save_meta()
    kept.append([test_storage.entry(1)])
    kept.save_snapshot(storage.Snapshot(1, 1, {}, b'state'))
    whole = opened.read(name)
    for size_bytes in range(len(whole)):
        opened.replace(name, whole[:size_bytes])
        with pytest.raises(state_errors.CorruptLogError):
            storage.Storage(opened)


@pytest.mark.parametrize(
    'lines, framing',
    [
        ([], 'connection'),
        (['Content-Length: 14'], 'length'),
        (['Transfer-Encoding: Chunked'], 'chunked'),
        (['Transfer-Encoding: gzip, chunked'], 'chunked'),
        (['Transfer-Encoding: gzip', 'Transfer-Encoding: chunked'], 'chunked'),
        (['Transfer-Encoding: gzip'], 'connection'),
        (['Transfer-Encoding: notchunked'], 'connection'),
        (['Transfer-Encoding: chunked, gzip'], 'connection'),
        (
            ['Transfer-Encoding: chunked', 'Transfer-Encoding: gzip'],
            'connection',
        ),
    ],
    ids=lambda value: ' '.join(value) if isinstance(value, list) else value,
)
async def test_framing_is_that_by_which_the_body_is_read(lines, framing):
    """Guards against bodies read up to a close that count as declared."""
    body = b'4\r\nlift\r\n0\r\n\r\n'
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines]).encode() + b'\r\n\r\n'
    async with hosts_answering(
        lambda _sent, _number: [head + body, CLOSE]
    ) as urls:
        client = web.HttpClient(1_000)
        async with client.send('GET', urls[0], {}) as response:
            assert web.body_framing(response).value == framing
            got = await web.read_body(response, 100)
        await client.close()
    assert got == (b'lift' if framing == 'chunked' else body)
