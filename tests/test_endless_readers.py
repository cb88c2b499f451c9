"""Every reader of an endpoint or a host ends a response that has no end.

The bytes come as fast as the reader takes them, or one at a time.
"""

import asyncio
import contextlib
import types

import pytest

from tests import endpoints
from tests import loops
from tests import nodes
from tests import response_readers
from tests import test_truncated as truncated
from wrenspoke import caller as callers
from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import execution
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import host_list_poller
from wrenspoke.coordination.membership import load_poller
from wrenspoke.coordination.serving import streams
from wrenspoke.coordination.serving import take_up
from wrenspoke.coordination.serving import warmup_probe
from wrenspoke import operator as operators
from wrenspoke.protocol import headers
from wrenspoke.protocol import kept_answers
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import passthrough_api
from wrenspoke.protocol import sse
from wrenspoke.transport import web

MIB = 1 << 20
PAUSE_S = 0.02
TIMEOUT_MS = 300
# What the kernel and a connection hold beside what a reader takes.
SLACK_BYTES = 8 * MIB

event_loop_policy = loops.event_loop_policy


def head_of(kind, *fields):
    """Return a function that makes a response's head for any reader."""

    def make(sent):
        echoed = endpoints.header(sent, headers.ECHOED_REQUEST_ID) or ''
        lines = [
            'HTTP/1.1 200 OK',
            f'Content-Type: {kind}',
            f'{headers.ECHOED_REQUEST_ID}: {echoed}',
            f'{headers.OUTCOME}: whole',
            f'{passthrough_api.TAKEN_UP_HEADER}: t1',
            *fields,
        ]
        return '\r\n'.join(lines).encode() + b'\r\n'

    return make


def body_of(kind, *fields):
    return lambda sent: head_of(kind, *fields)(sent) + b'\r\n'


JSON = 'application/json'
STREAM = sse.CONTENT_TYPE
SIZED = f'Content-Length: {1 << 40}'
CHUNKED = 'Transfer-Encoding: chunked'
# The head of a response, and what is repeated behind it.
RESPONSES = {
    'status line': (b'HTTP/1.1 200 ', b'O'),
    'header': (b'HTTP/1.1 200 OK\r\nX: ', b'x'),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X: x\r\n'),
    'blank lines': (b'', b'\r\n'),
    'interim responses': (b'', b'HTTP/1.1 103 Early\r\n\r\n'),
    'body with a length': (body_of(JSON, SIZED), b'['),
    'chunks': (body_of(JSON, CHUNKED), b'1\r\n[\r\n'),
    'chunk size': (body_of(JSON, CHUNKED), b'0'),
    'body up to a close': (body_of(JSON), b'['),
}
HEADS = [
    'status line',
    'header',
    'headers',
    'blank lines',
    'interim responses',
]
STREAMS = {
    'event': (body_of(STREAM), b'data: x\n'),
    'line of an event': (body_of(STREAM), b'x'),
    'comments': (body_of(STREAM), b': x\n'),
    'comments and blank lines': (body_of(STREAM), b':\n\n'),
}
PACES = {'fast': 0.0, 'drip': PAUSE_S}


@contextlib.asynccontextmanager
async def endless(response, pace):
    """Run an endpoint whose response has no end."""
    endpoint = endpoints.EndlessEndpoint(*response, pause_s=PACES[pace])
    await endpoint.start()
    try:
        yield endpoint
    finally:
        await endpoint.close()


async def read_directory(url, monkeypatch):
    monkeypatch.setattr(callers, 'GET_TIMEOUT_MS', TIMEOUT_MS)
    caller = callers.Caller([url])
    with pytest.raises(callers.CallerError):
        await caller.refresh()
    await caller.close()


async def read_answer(url, monkeypatch):
    monkeypatch.setattr(callers, 'DEADLINE_GRACE_MS', 0)
    caller = callers.Caller([url])
    sent = {headers.DEADLINE_MS: str(TIMEOUT_MS)}
    result = await caller.call('GET', 's', '/', sent)
    await caller.close()
    assert (result.outcome, result.body) == ('lost', b'')


async def read_stream(url, monkeypatch):
    monkeypatch.setattr(callers, 'DEADLINE_GRACE_MS', 0)
    caller = callers.Caller([url])
    sent = {headers.DEADLINE_MS: str(TIMEOUT_MS)}
    result = await caller.chat({'messages': []}, sent)
    await caller.close()
    assert (result.outcome, result.events) == ('lost', 0)


async def read_operator_answer(url, monkeypatch):
    client = operators.OperatorClient([url], 'token', TIMEOUT_MS)
    with pytest.raises(operators.OperatorError):
        await client.show('/status')
    await client.close()


async def read_runs(url, monkeypatch):
    monkeypatch.setattr(callers, 'GET_TIMEOUT_MS', TIMEOUT_MS)
    assert await response_readers.collect_runs(url) == {}


async def read_host_list(url, monkeypatch):
    monkeypatch.setattr(host_list_poller, 'LIST_INTERVAL_MS', TIMEOUT_MS)
    assert await response_readers.fetch_hosts(url) == []


async def read_load(url, monkeypatch):
    assert await response_readers.poll_load(url, TIMEOUT_MS) == []


async def read_state(url, monkeypatch):
    with pytest.raises(execution.OrderFailedError):
        await response_readers.read_engine_state(url, TIMEOUT_MS)


async def probe_health(url, monkeypatch):
    assert await response_readers.probe_endpoint(url) is None


async def forward(url, monkeypatch):
    with pytest.raises(errors.RequestEndedError) as ended:
        await response_readers.forward_call(
            url, TIMEOUT_MS, truncated.WholeReply()
        )
    assert ended.value.ending.outcome is outcomes.Outcome.UNKNOWN


async def read_call_answer(url, monkeypatch):
    async with truncated.dispatching(url) as dispatcher:
        with pytest.raises((errors.MaybeSentError, TimeoutError)):
            async with clocks.timeout_ms(TIMEOUT_MS):
                async with dispatcher.send(truncated.chat()) as answer:
                    await answer.read_all(MIB)


# What reads a response, and how many bytes of a body it accepts.
READERS = {
    'directory': (read_directory, callers.ANSWER_LIMIT_BYTES),
    'answer to a caller': (read_answer, callers.ANSWER_LIMIT_BYTES),
    'answer to an operator': (
        read_operator_answer,
        operators.ANSWER_LIMIT_BYTES,
    ),
    'runs': (read_runs, callers.ANSWER_LIMIT_BYTES),
    'host list': (read_host_list, host_list_poller.LIST_LIMIT_BYTES),
    'load': (read_load, load_poller.ANSWER_LIMIT_BYTES),
    'engine state': (read_state, execution.ANSWER_LIMIT_BYTES),
    'health': (probe_health, warmup_probe.BODY_LIMIT_BYTES),
    'answer of another region': (forward, 64 * MIB),
    'answer to a chat': (read_call_answer, MIB),
}


async def read_once(endpoint, read, monkeypatch):
    """Read until the endpoint has had a request, and its connections ended.

    On a busy machine a time-out may pass before a request is sent.
    """
    async with asyncio.timeout(nodes.WAIT_S):
        while not endpoint.requests:
            await read(f'http://{endpoint.address}', monkeypatch)
    await nodes.until(lambda: not endpoint.open_count)


@pytest.mark.parametrize('pace', PACES)
@pytest.mark.parametrize('response', RESPONSES)
@pytest.mark.parametrize('name', READERS)
async def test_reader_ends_a_response_without_end(
    monkeypatch, name, response, pace
):
    """Guards against readers that hang, or hold all that they are sent."""
    read, limit_bytes = READERS[name]
    async with endless(RESPONSES[response], pace) as endpoint:
        await read_once(endpoint, read, monkeypatch)
        per_request = endpoint.written_bytes / len(endpoint.requests)
        assert per_request <= limit_bytes + SLACK_BYTES


async def ask_for_rest(url, monkeypatch):
    monkeypatch.setattr(take_up, 'PATH_LIMIT_MS', TIMEOUT_MS)
    client = web.HttpClient(1_000)
    exchange = response_readers.new_exchange(client)
    assert await exchange._ask(response_readers.host_record(url)) is None
    await client.close()


async def pass_rest_on(url, monkeypatch):
    monkeypatch.setattr(take_up, 'PATH_LIMIT_MS', TIMEOUT_MS)
    client = web.HttpClient(1_000)
    forwarder = response_readers.new_take_up_forwarder(client, url)
    reply = types.SimpleNamespace(recalled=None)
    found = await forwarder.forward(kept_answers.TakeUp('h1', 't1', 0), reply)
    assert (found, reply.recalled) == (False, None)
    await client.close()


@pytest.mark.parametrize('pace', PACES)
@pytest.mark.parametrize('response', HEADS)
@pytest.mark.parametrize('read', [ask_for_rest, pass_rest_on])
async def test_request_for_a_kept_answer_ends(
    monkeypatch, read, response, pace
):
    """Guards against heads without end of hosts that keep an answer."""
    async with endless(RESPONSES[response], pace) as endpoint:
        await read_once(endpoint, read, monkeypatch)


@pytest.mark.parametrize('pace', PACES)
@pytest.mark.parametrize('response', STREAMS)
async def test_caller_ends_a_stream_without_end(monkeypatch, response, pace):
    """Guards against callers that wait for an event for good."""
    async with endless(STREAMS[response], pace) as endpoint:
        await read_once(endpoint, read_stream, monkeypatch)


@pytest.mark.parametrize('pace', PACES)
@pytest.mark.parametrize('response', STREAMS)
async def test_relayed_stream_without_end_stalls(response, pace):
    """Guards against bytes that are no event, and keep a stream alive."""
    transcript = streams.Transcript(b'{}', 0, MIB)
    reply = truncated.FakeReply()
    async with endless(STREAMS[response], pace) as endpoint:
        async with truncated.dispatching(
            f'http://{endpoint.address}'
        ) as dispatcher:
            with pytest.raises(errors.MaybeSentError):
                async with dispatcher.send(truncated.chat()) as answer:
                    await streams.relay_events(
                        answer.chunks(),
                        transcript,
                        reply,
                        TIMEOUT_MS,
                        TIMEOUT_MS,
                        lambda: None,
                    )
            await nodes.until(lambda: not endpoint.open_count)
    assert reply.sent == []


TEXT = b'data: {"choices":[{"delta":{"content":"%s"}}]}\n\n' % (b'x' * 1_000)


async def test_text_of_a_relayed_stream_is_bounded():
    """Guards against streams whose whole text is kept up to a deadline."""
    transcript = streams.Transcript(b'{}', 0, MIB)
    reply = truncated.FakeReply()
    async with endless((body_of(STREAM), TEXT), 'fast') as endpoint:
        async with truncated.dispatching(
            f'http://{endpoint.address}'
        ) as dispatcher:
            with pytest.raises(errors.RequestEndedError) as ended:
                async with dispatcher.send(truncated.chat()) as answer:
                    await streams.relay_events(
                        answer.chunks(),
                        transcript,
                        reply,
                        5_000,
                        5_000,
                        lambda: None,
                    )
            await nodes.until(lambda: not endpoint.open_count)
    assert ended.value.ending.outcome is outcomes.Outcome.UNKNOWN
    assert len(reply.sent) == MIB // 1_000
