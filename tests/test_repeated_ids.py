"""Requests with the id of one that was refused before."""

import collections

import pytest

from tests import loops
from tests import test_passing as passing
from tests import test_unnamed_refusals as unnamed

NAMED = f'{passing.ID}: q1\r\n'.encode()

event_loop_policy = loops.event_loop_policy
system = passing.system


@pytest.mark.parametrize('arrival', unnamed.ARRIVALS)
@pytest.mark.parametrize('status', ['503 Full', '429 Busy'])
@pytest.mark.parametrize('kind', unnamed.ROUTES)
async def test_repeated_refusal_meets_no_request_with_its_id(
    system, kind, status, arrival
):
    """Guards against a request that ran and is told that it did not.

    A caller that was refused sends its request again under the same id, and
    the endpoint repeats its refusal on the kept connection.
    """
    await system.put(unnamed.ROUTES[kind])
    runs = collections.Counter()
    endpoint = await unnamed.RepeatingEndpoint(
        unnamed.refusal(status, unnamed.NOT_RUN + NAMED),
        unnamed.ARRIVALS[arrival],
        runs,
    ).start()
    await system.register('e', endpoint)
    got = await system.ask(unnamed.request('q1'))
    assert got.startswith(b'HTTP/1.1 503 '), got
    got = await system.ask(unnamed.request('q1'))
    assert b'whole' in got, got
    assert runs['q1'] == 1
    await endpoint.close()
