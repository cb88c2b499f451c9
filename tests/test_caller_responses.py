"""Callers compare the request id of each response with their own."""

import pytest

from tests import endpoints
from tests import loops
from wrenspoke import caller as callers
from wrenspoke.protocol import headers

event_loop_policy = loops.event_loop_policy


def respond(status, outcome, request_id):
    """Return a host's response that names a request, if any."""
    lines = [
        f'HTTP/1.1 {status}',
        'Content-Length: 4',
        f'{headers.OUTCOME}: {outcome}',
    ]
    if request_id is not None:
        lines.append(f'{headers.REQUEST}: {request_id}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\nbody'


async def call(first, second):
    """Call two hosts in turn; return the result and the second's request."""
    made = [
        await endpoints.ScriptedEndpoint(lambda _sent, _n, r=r: [r]).start()
        for r in (first, second)
    ]
    caller = callers.Caller([f'http://{one.address}' for one in made])
    result = await caller.call('POST', 's', '/', {headers.REQUEST: 'q1'})
    await caller.close()
    for one in made:
        await one.close()
    return result, made[1].requests


@pytest.mark.parametrize(
    'named, attempt', [('q1', '1'), (None, '1'), ('q0', '2')]
)
async def test_refusal_of_another_request_is_no_proof(named, attempt):
    """Guards against a resend that is not marked as one, and runs again."""
    result, sent = await call(
        respond('503 Full', 'not_run', named), respond('200 OK', 'whole', 'q1')
    )
    assert result.outcome == 'whole'
    assert endpoints.header(sent[0], headers.ATTEMPT) == attempt


@pytest.mark.parametrize(
    'status, outcome',
    [('200 OK', 'whole'), ('503 Full', 'not_run'), ('429 Busy', 'not_run')],
)
async def test_response_to_another_request_is_no_result(status, outcome):
    """Guards against another's answer, and an untrue refusal."""
    foreign = respond(status, outcome, 'q0')
    result, sent = await call(foreign, foreign)
    assert result.outcome == 'lost'
    assert result.body == b''
    assert len(sent) == 1
