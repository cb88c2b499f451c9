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
from tests import test_truncated as truncated
from wrenspoke import caller as callers
from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import execution
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import host_list_poller
from wrenspoke.coordination.membership import load_poller
from wrenspoke.coordination.serving import streams
from wrenspoke import load
from wrenspoke import operator as operators
from wrenspoke.protocol import headers
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
    'body with a length': (body_of(JSON, SIZED), b'['),
    'chunks': (body_of(JSON, CHUNKED), b'1\r\n[\r\n'),
    'body up to a close': (body_of(JSON), b'['),
}
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
    endpoint = types.SimpleNamespace(endpoint='e', url=url)
    deployment = types.SimpleNamespace(endpoints=[endpoint])
    assert await load.collect_runs(deployment) == {}


async def read_host_list(url, monkeypatch):
    monkeypatch.setattr(host_list_poller, 'LIST_INTERVAL_MS', TIMEOUT_MS)
    client = web.HttpClient(TIMEOUT_MS)
    poller = host_list_poller.HostListPoller(
        url, 'h', client, None, None, clocks.Clock()
    )
    assert await poller._fetch_hosts() == []
    await client.close()


async def read_load(url, monkeypatch):
    reports = []
    settings = types.SimpleNamespace(load_poll_interval_ms=TIMEOUT_MS)
    table = types.SimpleNamespace(add_report=reports.append)
    async with truncated.dispatching(url) as dispatcher:
        poller = load_poller.LoadPoller(
            settings,
            'north',
            'hall',
            dispatcher,
            None,
            None,
            table,
            None,
            clocks.Clock(),
        )
        await poller._poll_load('e')
    assert reports == []


async def read_state(url, monkeypatch):
    control = types.SimpleNamespace(order_timeout_ms=TIMEOUT_MS)
    deployment = types.SimpleNamespace(control=control, with_role=lambda _: ())
    async with truncated.dispatching(url) as dispatcher:
        executor = execution.Executor(
            'h', deployment, None, dispatcher, clocks.Clock()
        )
        with pytest.raises(execution.OrderFailedError):
            await executor._read_engine_state('e')


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
}


@pytest.mark.parametrize('pace', PACES)
@pytest.mark.parametrize('response', RESPONSES)
@pytest.mark.parametrize('name', READERS)
async def test_reader_ends_a_response_without_end(
    monkeypatch, name, response, pace
):
    """Guards against readers that hang, or hold all that they are sent."""
    read, limit_bytes = READERS[name]
    async with endless(RESPONSES[response], pace) as endpoint:
        async with asyncio.timeout(nodes.WAIT_S):
            await read(f'http://{endpoint.address}', monkeypatch)
        await nodes.until(lambda: not endpoint.open_count)
        assert endpoint.requests
        per_request = endpoint.written_bytes / len(endpoint.requests)
        assert per_request <= limit_bytes + SLACK_BYTES


@pytest.mark.parametrize('pace', PACES)
@pytest.mark.parametrize('response', STREAMS)
async def test_caller_ends_a_stream_without_end(monkeypatch, response, pace):
    """Guards against callers that wait for an event for good."""
    async with endless(STREAMS[response], pace) as endpoint:
        async with asyncio.timeout(nodes.WAIT_S):
            await read_stream(f'http://{endpoint.address}', monkeypatch)
        await nodes.until(lambda: not endpoint.open_count)
        assert endpoint.requests


@pytest.mark.parametrize('pace', PACES)
@pytest.mark.parametrize('response', STREAMS)
async def test_relayed_stream_without_end_stalls(response, pace):
    """Guards against bytes that are no event, and keep a stream alive."""
    transcript = streams.Transcript(b'{}', 0)
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
