"""Every reader takes a response with a malformed head for none at all."""

import asyncio
import types

import pytest
import structlog

from tests import endpoints
from tests import nodes
from tests import response_heads
from tests import response_readers
from tests import test_endpoints
from tests import test_engine_loads
from tests import test_far as far
from tests import test_framing as framing
from tests import test_late_reports
from tests import test_passing as passing
from tests import test_truncated as truncated
from wrenspoke import caller as callers
from wrenspoke.coordination.agreement import execution
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import engine_loads
from wrenspoke.coordination.membership import host_list_poller
from wrenspoke.coordination.serving import outlier_detection
from wrenspoke.coordination.serving import warmup_probe
from wrenspoke import operator as operators
from wrenspoke.protocol import headers
from wrenspoke.protocol import kept_answers
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import passthrough_api
from wrenspoke.standin import engine
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web

ID = passing.ID
TIMEOUT_MS = 5_000
# Longer than any read here takes.
TRY_MS = 60_000
MIB = 1 << 20
JSON = 'Content-Type: application/json'
EVENTS = 'Content-Type: text/event-stream'
NOT_RUN = 'Wrenspoke-Not-Run: 1'
# The bound of a failure's text, its quotation marks and escapes included.
TEXT_LIMIT_CHARACTERS = 1_000

event_loop_policy = passing.event_loop_policy
system = passing.system
far_system = far.system
regions = framing.regions

sampled = pytest.mark.parametrize('name', response_heads.SAMPLES)


@pytest.fixture(autouse=True)
def long_timeouts(monkeypatch):
    """Let no poll or probe end with its timeout on a busy machine."""
    monkeypatch.setattr(engine_loads, 'REPORT_TIMEOUT_MS', TIMEOUT_MS)
    monkeypatch.setattr(host_list_poller, 'LIST_INTERVAL_MS', TIMEOUT_MS)
    monkeypatch.setattr(warmup_probe, 'PROBE_TIMEOUT_MS', TIMEOUT_MS)


def response(sent, body, *lines, status='200 OK'):
    """Return a well-formed response with a length, for any reader."""
    echoed = endpoints.header(sent, headers.ECHOED_REQUEST_ID) or ''
    head = [
        f'HTTP/1.1 {status}',
        f'Content-Length: {len(body)}',
        f'{headers.ECHOED_REQUEST_ID}: {echoed}',
        f'{headers.OUTCOME}: whole',
        *lines,
    ]
    return '\r\n'.join(head).encode() + b'\r\n\r\n' + body


async def read_directory(url):
    caller = callers.Caller([url])
    try:
        return await caller.refresh() == ['h2']
    except callers.CallerError:
        return False
    finally:
        await caller.close()


async def read_answer(url):
    caller = callers.Caller([url])
    result = await caller.call('GET', 's', '/')
    await caller.close()
    assert result.outcome == 'whole' or (result.status, result.body) == (
        0,
        b'',
    )
    return result.outcome == 'whole'


async def read_refusal(url):
    """A refused request is not marked as a resend."""
    caller = callers.Caller([url, url])
    result = await caller.call('GET', 's', '/')
    await caller.close()
    return result.outcome == 'not_run'


async def read_stream(url):
    caller = callers.Caller([url])
    result = await caller.chat({'messages': []})
    await caller.close()
    return result.outcome == 'whole'


async def read_operator_answer(url):
    client = operators.OperatorClient([url], 'token', TRY_MS)
    try:
        answer = await client._send_to_host('GET', f'{url}/status', None)
        return answer.body == {'leader': 'c1'}
    except transport_errors.TransportError:
        return False
    finally:
        await client.close()


async def read_runs(url):
    return bool(await response_readers.collect_runs(url))


async def read_host_list(url):
    return bool(await response_readers.fetch_hosts(url))


async def read_load(url):
    return bool(await response_readers.poll_load(url, TIMEOUT_MS))


async def read_report(url):
    hosts = [test_engine_loads.record(1)]
    polling = test_engine_loads.engine_loads_of('h1', hosts, [])
    polling._client = web.HttpClient(TIMEOUT_MS)
    polling._reader = test_late_reports.TextReader()
    registration = types.SimpleNamespace(
        endpoint='e1', address=url.removeprefix('http://'), born_ms=0
    )
    found = await polling._poll_engine(
        types.SimpleNamespace(registration=registration)
    )
    await polling._client.close()
    return found == b'1 2 3'


async def read_state(url):
    try:
        await response_readers.read_engine_state(url, TIMEOUT_MS)
    except execution.OrderFailedError:
        return False
    return True


async def probe_health(url):
    return await response_readers.probe_endpoint(url) is not None


class KeptReply(truncated.WholeReply):
    """Records the response that a host forwards."""

    def __init__(self):
        self.body = None

    async def send_response(self, _status, _fields, body, _outcome):
        self.body = body


async def forward(url):
    reply = KeptReply()
    try:
        await response_readers.forward_call(url, TRY_MS, reply)
    except errors.RequestEndedError as error:
        assert error.ending.outcome is outcomes.Outcome.UNKNOWN
    return reply.body == b'whole'


async def read_call_answer(url):
    async with truncated.dispatching(url) as dispatcher:
        try:
            async with dispatcher.send(truncated.chat()) as answer:
                return await answer.read_all(MIB) == truncated.WHOLE
        except errors.MaybeSentError:
            return False


async def read_overload(url):
    """A refusal frees a call to be sent elsewhere without a retry."""
    async with truncated.dispatching(url) as dispatcher:
        try:
            async with dispatcher.send(truncated.chat()):
                raise AssertionError('a refusal was taken for an answer')
        except errors.OverloadedError:
            return True
        except errors.MaybeSentError:
            return False


async def ask_for_rest(url):
    client = web.HttpClient(TIMEOUT_MS)
    exchange = response_readers.new_exchange(client)
    found = await exchange._ask(response_readers.host_record(url))
    await exchange._stack.aclose()
    await client.close()
    return found is not None or exchange._is_recalled


class RestReply:
    """Records the rest of an answer that a host passes on."""

    def __init__(self):
        self.recalled = None
        self.body = b''

    async def send_head(self, _status, _fields):
        pass

    async def write(self, data):
        self.body += data

    async def end(self):
        pass


async def pass_rest_on(url):
    client = web.HttpClient(TIMEOUT_MS)
    forwarder = response_readers.new_take_up_forwarder(client, url)
    reply = RestReply()
    found = await forwarder.forward(kept_answers.TakeUp('h1', 't1', 0), reply)
    await client.close()
    assert bool(reply.body) is found
    return found or reply.recalled is not None


TAKEN_UP = f'{passthrough_api.TAKEN_UP_HEADER}: t1'
RECALLED = f'{passthrough_api.RECALLED_HEADER}: t1'
DIRECTORY = b'{"hosts": [{"url": "h2"}]}'
LISTED = b'{"hosts": [{"address": "a", "state": "leaving"}]}'
LOAD = b'{"running": 1, "waiting": 2}'
STATE = b'{"models": [], "adapters": [], "role": "both"}'
# What reads a response, and the response that it accepts.
READERS = {
    'directory': (read_directory, DIRECTORY, JSON),
    'answer to a caller': (read_answer, b'whole'),
    'stream to a caller': (
        read_stream,
        truncated.EVENT + truncated.DONE,
        EVENTS,
    ),
    'answer to an operator': (
        read_operator_answer,
        b'{"leader": "c1"}',
        JSON,
    ),
    'runs': (read_runs, b'{"runs": {"r1": 1}}', JSON),
    'host list': (read_host_list, LISTED, JSON),
    'load': (read_load, LOAD, JSON),
    'engine report': (read_report, b'1 2 3'),
    'engine state': (read_state, STATE, JSON),
    'health': (probe_health, b'', 'Wrenspoke-Instance: e'),
    'answer of another region': (forward, b'whole'),
    'answer to a chat': (read_call_answer, truncated.WHOLE, JSON),
    'rest of a kept answer': (ask_for_rest, b'rest', TAKEN_UP),
    'rest passed on': (pass_rest_on, b'rest', TAKEN_UP),
}
REFUSED = f'{passthrough_api.REFUSED_HEADER}: unknown_answer'
# What acts on a refusal, its status and what else it has.
REFUSALS = {
    'refusal of a request': (
        read_refusal,
        '503 Full',
        f'{headers.OUTCOME}: not_run',
    ),
    'refusal of a chat': (read_overload, '503 Full'),
    'recall': (ask_for_rest, '410 Gone', REFUSED, RECALLED),
    'recall passed on': (pass_rest_on, '410 Gone', REFUSED, RECALLED),
}


async def is_accepted(read, make):
    """Return whether a reader accepts a response; its connections end."""
    endpoint = await endpoints.ScriptedEndpoint(
        lambda sent, _number: [make(sent), endpoints.ScriptedEndpoint.STALL]
    ).start()
    try:
        async with asyncio.timeout(nodes.WAIT_S):
            accepted = await read(f'http://{endpoint.address}')
        assert endpoint.requests
        await nodes.until(endpoint.peer_closed.is_set)
        return accepted
    finally:
        await endpoint.close()


@pytest.mark.parametrize('name', [None, *response_heads.SAMPLES])
@pytest.mark.parametrize('reader', READERS)
async def test_reader_accepts_no_malformed_head(reader, name):
    """Guards against readers that act on a malformed response."""
    read, body, *lines = READERS[reader]

    def make(sent):
        data = response(sent, body, *lines)
        return response_heads.MALFORMED[name](data) if name else data

    assert await is_accepted(read, make) is (name is None)


@pytest.mark.parametrize('name', [None, *response_heads.SAMPLES])
@pytest.mark.parametrize('reader', REFUSALS)
async def test_refusal_with_a_malformed_head_proves_nothing(reader, name):
    """Guards against a second run of a request that was not refused."""
    read, status, *lines = REFUSALS[reader]

    def make(sent):
        data = response(sent, b'', *lines, status=status)
        data = data.replace(b'Outcome: whole\r\n', b'Absent: whole\r\n')
        return response_heads.MALFORMED[name](data) if name else data

    assert await is_accepted(read, make) is (name is None)


# Calls that pass through.
KINDS = {
    'once': passing.route(passing.ONCE, attempts_limit=2),
    'repeatable': passing.route(passing.REPEATABLE, attempts_limit=2),
    'stream': passing.route(passing.STREAM, attempts_limit=2),
    'resumable stream': passing.route(
        passing.STREAM, attempts_limit=2, resumable=True
    ),
}
REPEATED = ['repeatable', 'resumable stream']


def event_stream(sent, name):
    """Return the pieces of a whole stream in one of the framings."""
    return framing.framed(sent, name, framing.FIRST_EVENT, 'text/event-stream')


def malform(name, pieces):
    """Return pieces whose first one, the head, is malformed."""
    head, *rest = pieces
    return [response_heads.MALFORMED[name](head), *rest]


def assert_is_own_502(got, request_id='q1'):
    """Assert that a response is the gateway's, and has nothing else."""
    status, body, is_whole = framing.conclude(got)
    assert (status, is_whole) == (502, True), got
    assert got.startswith(b'HTTP/1.1 502 Bad Gateway\r\n'), got
    assert b'"reason"' in body and b'data:' not in got, got
    assert b'X-Extra' not in got and b'Retry-After' not in got, got
    assert f'{ID}: {request_id}\r\n'.encode() in got, got


def behind_interim(pieces):
    """Return pieces with an interim response in front of them."""
    return [b'HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n', *pieces]


def in_bytes(pieces):
    """Return pieces with the head in packets of one byte."""
    head, *rest = pieces
    return [*(head[at : at + 1] for at in range(len(head))), *rest]


ARRIVALS = {
    'whole': list,
    'in bytes': in_bytes,
    'behind an interim response': behind_interim,
}


@pytest.mark.parametrize('body', ['length', 'chunks', 'connection'])
@sampled
@pytest.mark.parametrize('kind', KINDS)
async def test_caller_gets_no_malformed_response(system, kind, name, body):
    """Guards against malformed responses that reach callers."""
    await system.put(KINDS[kind])
    endpoint = await system.add(
        'e',
        lambda sent, _number: [
            *malform(name, event_stream(sent, body)),
            passing.STALL,
        ],
    )
    with structlog.testing.capture_logs() as lines:
        assert_is_own_502(await system.ask(passing.request()))
    assert len(endpoint.requests) == 1
    await nodes.until(endpoint.peer_closed.is_set)
    (failed,) = [line for line in lines if line['event'] == 'try_failed']
    assert (failed['request'], failed['place']) == ('q1', 'e')
    kind_of_line = 'status' if name.startswith('status') else 'field'
    assert f'invalid {kind_of_line} line' in failed['cause']
    assert failed['cause'].isprintable()
    assert len(failed['cause']) < TEXT_LIMIT_CHARACTERS


@pytest.mark.parametrize('arrival', ARRIVALS)
@sampled
async def test_malformed_response_on_a_used_connection_reaches_no_caller(
    system, name, arrival
):
    """Guards against a check of the first response of a connection only."""
    await system.put(KINDS['once'])

    def script(sent, number):
        own = passing.answer(sent)
        if number != 2:
            return [own]
        return ARRIVALS[arrival](malform(name, [own]))

    endpoint = await system.add('e', script)
    for number in range(1, 5):
        got = await system.ask(passing.request(request_id=f'q{number}'))
        if number == 2:
            assert_is_own_502(got, 'q2')
            await nodes.until(endpoint.peer_closed.is_set)
        else:
            assert got.endswith(b'whole'), got
    assert len(endpoint.requests) == 4


@sampled
@pytest.mark.parametrize('kind', KINDS)
async def test_call_is_sent_again_only_if_it_may_be_repeated(
    system, kind, name
):
    """Guards against second runs, and against calls that give up early."""
    await system.put(KINDS[kind])
    runs = []

    def script(sent, _number):
        runs.append(endpoints.header(sent, ID))
        pieces = event_stream(sent, 'length')
        return malform(name, pieces) if len(runs) == 1 else pieces

    for endpoint in ('e1', 'e2'):
        await system.add(endpoint, script)
    got = await system.ask(passing.request())
    if kind in REPEATED:
        assert framing.conclude(got) == (200, framing.FIRST_EVENT, True)
        assert runs == ['q1', 'q1']
    else:
        assert_is_own_502(got)
        assert runs == ['q1']


REFUSING = {
    '503': ('503 Full', NOT_RUN),
    '429': ('429 Busy', NOT_RUN),
    '421': ('421 Other',),
    '408': ('408 Late', NOT_RUN),
    '503 of a host': (
        '503 Full',
        f'{passthrough_api.REFUSED_HEADER}: unsent',
    ),
}


@pytest.mark.parametrize('status', REFUSING)
@pytest.mark.parametrize(
    'name', [name for name in response_heads.SAMPLES if 'line' in name]
)
@pytest.mark.parametrize('kind', KINDS)
async def test_nothing_of_a_malformed_refusal_counts(
    system, kind, name, status
):
    """Guards against untrue refusals, and endpoints that are left unused.

    Neither its status nor its fields count: no Retry-After, limit or leave.
    """
    await system.put(KINDS[kind])
    refusal, *lines = REFUSING[status]
    lines += [
        'Retry-After: 600',
        f'{headers.LIMIT}: 1',
        f'{headers.LEAVING}: 1',
    ]

    def script(sent, number):
        extra = ''.join(f'{line}\r\n' for line in lines).encode()
        data = passing.answer(sent, status=refusal, extra=extra)
        if number == 1:
            return [response_heads.MALFORMED[name](data)]
        return event_stream(sent, 'length')

    endpoint = await system.add('e', script)
    assert_is_own_502(await system.ask(passing.request()))
    for number in range(2, 6):
        got = await system.ask(passing.request(request_id=f'q{number}'))
        assert framing.conclude(got) == (200, framing.FIRST_EVENT, True)
    assert len(endpoint.requests) == 5
    held = system.controls[0].registrar.registry.entries
    assert held['e'].takes_work


@pytest.mark.parametrize('line', response_heads.LINES[::3], ids=repr)
@pytest.mark.parametrize('kind', ['once', 'stream'])
async def test_malformed_trailer_reaches_no_caller(system, kind, line):
    """Guards against trailers that are taken for fields of the response."""
    await system.put(KINDS[kind])

    def script(sent, _number):
        head, event, end = event_stream(sent, 'chunks')
        trailers = end.removesuffix(b'\r\n') + line + b'\r\n\r\n'
        return [head, event, trailers]

    await system.add('e', script)
    got = await system.ask(passing.request())
    assert b'Extra' not in got, got
    if not got.startswith(b'HTTP/1.1 200 '):
        assert_is_own_502(got)


@sampled
async def test_malformed_responses_count_as_failures_of_their_endpoint(
    system, name
):
    """Guards against an endpoint that goes on to get its share of calls."""
    await system.put(KINDS['once'])
    endpoint = await system.add(
        'e', lambda sent, _number: malform(name, [passing.answer(sent)])
    )
    detector = system.entries[0]._outlier_detector
    for number in range(outlier_detection.CONSECUTIVE_FAILURES_LIMIT):
        assert not detector.ejected_until_ms(endpoint.address)
        got = await system.ask(passing.request(request_id=f'q{number}'))
        assert_is_own_502(got, f'q{number}')
    assert detector.ejected_until_ms(endpoint.address)


async def test_unusual_responses_reach_callers(system):
    """Guards against responses that are taken for malformed ones."""
    await system.put(KINDS['once'])
    token = "!#$%&'*+-.^_`|~09AZaz"
    extra = f'{token}: b\r\nX-Folded: b\r\n c\r\n'.encode()
    statuses = [200, 226, 299, 399, 418, 499, 555, 599]

    def script(sent, number):
        status = str(statuses[number - 1])
        interim = b'HTTP/1.1 102\r\n\r\nHTTP/1.1 103 Early\r\n\r\n'
        return [interim + passing.answer(sent, status=status, extra=extra)]

    await system.add('e', script)
    for number, status in enumerate(statuses):
        got = await system.ask(passing.request(request_id=f'q{number}'))
        assert got.startswith(f'HTTP/1.1 {status} '.encode()), got
        assert f'\r\n{token}: b\r\n'.encode() in got, got
        assert b'\r\nX-Folded: b c\r\n' in got, got
        assert got.endswith(b'whole'), got


@sampled
@pytest.mark.parametrize('kind', ['once', 'stream'])
async def test_malformed_response_behind_a_hop_reaches_no_caller(
    regions, kind, name
):
    await regions.put(KINDS[kind])
    endpoint = await regions.add(
        'e',
        lambda sent, _number: malform(name, event_stream(sent, 'length')),
    )
    await far.wait_for_pongs(regions)
    assert_is_own_502(
        await endpoints.send_raw(regions.north, passing.request())
    )
    assert len(endpoint.requests) == 1


@sampled
@pytest.mark.parametrize(
    'status, lines',
    [
        ('200 OK', []),
        ('503 Full', [f'{passthrough_api.REFUSED_HEADER}: unsent']),
    ],
    ids=['answer', 'refusal'],
)
async def test_malformed_response_of_a_host_reaches_no_caller(
    far_system, monkeypatch, status, lines, name
):
    """Guards against hosts that believe what another host did not send."""
    await far_system.put(KINDS['once'])
    await far_system.add('e', 'south-hall')
    await far.wait_for_pongs(far_system)

    def script(sent, _number):
        extra = ''.join(f'{line}\r\n' for line in lines).encode()
        return malform(
            name, [passing.answer(sent, status=status, extra=extra)]
        )

    host = await endpoints.ScriptedEndpoint(script).start()
    client = far_system.entries[0]._hosts_client
    send = client.send_verbatim

    def send_to_host(method, _address, *arguments, **named):
        return send(method, host.address, *arguments, **named)

    monkeypatch.setattr(client, 'send_verbatim', send_to_host)
    assert_is_own_502(
        await endpoints.send_raw(far_system.north, passing.request())
    )
    assert len(host.requests) == 1
    await host.close()


@sampled
@pytest.mark.parametrize('is_stream', [True, False])
async def test_chat_is_sent_again_after_a_malformed_response(
    tmp_path, is_stream, name
):
    """The whole way: caller, entry host, engine."""
    words = ''.join(engine.answer_words(test_endpoints.MESSAGES, 16))
    answered = []

    def script(sent, _number):
        if sent.startswith(b'GET /load '):
            return [response(sent, LOAD, JSON)]
        if not sent.startswith(b'POST '):
            return [response(sent, b'', status='404 Not Found')]
        answered.append(sent)
        text = '{"choices":[{"%s":{"content":"%s"}}]}'
        delta = 'delta' if is_stream else 'message'
        body = (text % (delta, words)).encode()
        if is_stream:
            body = b'data: ' + body + b'\n\ndata: [DONE]\n\n'
        data = response(sent, body, EVENTS if is_stream else JSON)
        if len(answered) == 1:
            data = response_heads.MALFORMED[name](data)
        return [data]

    async with truncated.scripted_engines(tmp_path, script) as caller:
        result = await caller.chat(test_endpoints.chat_body(is_stream))
    assert (result.outcome, result.text) == ('whole', words)
    assert len(answered) == 2
