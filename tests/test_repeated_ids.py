"""Requests with the id of an earlier one on the same connection."""

import collections

import pytest

from tests import endpoints
from tests import loops
from tests import test_passing as passing
from wrenspoke.state import routes

ID = passing.ID
NOT_RUN = b'Wrenspoke-Not-Run: 1\r\n'

event_loop_policy = loops.event_loop_policy
system = passing.system


def refusal(request_id):
    return (
        b'HTTP/1.1 503 Full\r\nContent-Length: 4\r\n'
        + f'{ID}: {request_id}\r\n'.encode()
        + NOT_RUN
        + b'\r\nfull'
    )


@pytest.mark.parametrize('joined', [False, True], ids=['apart', 'joined'])
@pytest.mark.parametrize(
    'kind', [routes.RouteKind.ONCE, routes.RouteKind.REPEATABLE]
)
async def test_late_refusal_of_an_earlier_request_with_the_same_id(
    system, kind, joined
):
    """Guards against a request that ran and is told that it did not.

    A caller that was refused sends its request again under the same id, and
    the endpoint repeats its refusal on the kept connection.
    """
    await system.put(passing.route(kind))
    runs = collections.Counter()

    def script(sent, number):
        request_id = endpoints.header(sent, ID)
        own = passing.answer(sent)
        if number == 1:
            return [refusal(request_id)]
        runs[request_id] += 1
        if number == 2:
            late = refusal(request_id)
            return [late + own] if joined else [late, own]
        return [own]

    await system.add('e', script)
    got = await system.ask(passing.request())
    assert got.startswith(b'HTTP/1.1 503 '), got
    got = await system.ask(passing.request())
    assert runs['q1'] == 1
    assert not got.startswith(b'HTTP/1.1 503 '), got
