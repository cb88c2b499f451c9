"""Refusals of hosts name the request that they respond to."""

import types
from unittest import mock

import aiohttp
import msgspec
import pytest

from tests import endpoints
from tests import loops
from tests import test_far as far
from tests import test_passing as passing
from wrenspoke.coordination import errors
from wrenspoke.coordination.serving import sending
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import kept_answers
from wrenspoke.protocol import passthrough_api

ID = far.ID
DIALECT = dialects.Dialect()
REFUSED = {passthrough_api.REFUSED_HEADER: 'gave_up'}
NOT_RUN = {DIALECT.not_run: '1'}
OWN, FOREIGN = {ID: 'q1'}, {ID: 'q0'}
HOST = sending.Destination('10.0.0.1:1', 'south', host='south-1')

event_loop_policy = loops.event_loop_policy
system = far.system


def hop(system, **changes):
    """Return the header of a call that another host forwards."""
    index = system.entries[1].replica.current.index
    found = passthrough_api.Hop('elsewhere', 'r/a/', 's', index, 1)
    found = msgspec.structs.replace(found, **changes)
    return {passthrough_api.HOP_HEADER: msgspec.json.encode(found).decode()}


async def send_to_host(system, fields):
    """Return the status and the headers of a host's response."""
    node = system.entries[1].node
    async with aiohttp.ClientSession() as session:
        async with session.get(
            f'http://{node.ip}:{node.passing_port}/a/x',
            headers={'Host': 'h.example', ID: 'q1', **fields},
        ) as response:
            return response.status, response.headers


@pytest.mark.parametrize(
    'changes, refused',
    [
        ({}, 'unsent'),
        ({'token': 't1'}, 'unsent'),
        ({'index': 10**6}, 'no_configuration'),
        ({'index': 10**6, 'token': 't1'}, 'no_configuration'),
    ],
)
async def test_refusal_of_a_host_names_the_request(system, changes, refused):
    """Guards against refusals that can't be told from another request's."""
    await system.put(far.route())
    status, fields = await send_to_host(system, hop(system, **changes))
    assert (status, fields[passthrough_api.REFUSED_HEADER]) == (503, refused)
    assert fields.getall(ID) == ['q1']


@pytest.mark.parametrize(
    'fields',
    [
        {passthrough_api.HOP_HEADER: 'malformed'},
        {passthrough_api.TAKE_UP_HEADER: 'malformed'},
        {},
    ],
)
async def test_malformed_request_of_a_host_is_named(system, fields):
    """Guards against refusals that can't be told from another request's."""
    status, found = await send_to_host(system, fields)
    assert status == 400
    assert found.getall(ID) == ['q1']


async def test_unknown_answer_is_refused_by_its_token(system):
    """Guards against refusals that can't be told from another answer's."""
    take_up = kept_answers.TakeUp('south-1', 't1', 0, passed_on=True)
    text = msgspec.json.encode(take_up).decode()
    status, fields = await send_to_host(
        system, {passthrough_api.TAKE_UP_HEADER: text}
    )
    assert status == passthrough_api.GONE
    assert fields[passthrough_api.TAKE_UP_HEADER] == 't1'


async def test_answer_keeps_the_id_that_its_endpoint_echoed(system):
    await system.put(far.route())
    await system.add('e2', 'south-hall')
    status, fields = await send_to_host(system, hop(system))
    assert (status, fields.getall(ID)) == (200, ['q1'])


async def test_refusals_of_a_host_are_believed_on_a_kept_connection(system):
    """Guards against a 502 for a call that no endpoint was sent."""
    await system.put(far.route(homes=('south',)))
    await far.wait_for_pongs(system)
    for number in range(4):
        got = await endpoints.send_raw(
            system.north, passing.request(request_id=f'q{number}')
        )
        assert got.startswith(b'HTTP/1.1 503 '), got


def sender():
    return sending.Sender(DIALECT, *[None] * 7)


@pytest.mark.parametrize(
    'fields, request_count, own',
    [
        ({**REFUSED, **OWN}, 1, True),
        ({**REFUSED, **OWN}, 2, True),
        ({**REFUSED, **FOREIGN}, 1, False),
        (REFUSED, 1, True),
        (REFUSED, 2, False),
        (NOT_RUN, 1, False),
        ({}, 1, False),
    ],
)
def test_response_of_a_host_is_own_by_its_request_id(
    fields, request_count, own
):
    """Guards against refusals left over from another request."""
    call = mock.Mock(request='q1')
    protocol = mock.Mock(request_count=request_count)
    found = types.SimpleNamespace(
        status=503, headers=fields, _protocol=protocol, connection=None
    )
    assert sender()._is_own(call, HOST, found) is own


def test_refusal_of_one_endpoint_is_no_verdict_of_a_host():
    """Guards against an untrue refusal, as another endpoint may have run it.

    Hosts send refusals of their own, which count the runs.
    """
    found = types.SimpleNamespace(status=503, headers={**NOT_RUN, **OWN})
    with pytest.raises(errors.MaybeSentError, match='south-1'):
        sender()._classify_response(HOST, found)
    found.headers.update(REFUSED)
    verdict = sender()._classify_response(HOST, found)
    assert verdict is sending.Verdict.ANSWERED
