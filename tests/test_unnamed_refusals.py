"""Refusals without a request id prove something on new connections only.

Later on a connection they may be left over from any request before.
"""

import asyncio
import collections

import pytest

from tests import endpoints
from tests import loops
from tests import test_passing as passing
from wrenspoke.state import routes

ID = passing.ID
NOT_RUN = b'Wrenspoke-Not-Run: 1\r\n'
EVENTS = b'Content-Type: text/event-stream\r\n'
ANSWER = b'id: 1\ndata: whole\n\n'

event_loop_policy = loops.event_loop_policy
system = passing.system


def refusal(status, extra=NOT_RUN):
    """Return the bytes of a refusal that names no request."""
    head = f'HTTP/1.1 {status}\r\nContent-Length: 4\r\n'.encode()
    return head + extra + b'\r\nfull'


REFUSALS = {
    '503 not run': refusal('503 Full'),
    '429 not run': refusal('429 Busy'),
    '421 not run': refusal('421 Other'),
    '421': refusal('421 Other', b''),
}
# After a 421 of its own an endpoint is sent no other request.
BUSY = ['503 not run', '429 not run']
# The packets in which a refusal comes before the next response.
ARRIVALS = {
    'apart': lambda extra, own: [extra, own],
    'joined': lambda extra, own: [extra + own],
}
ROUTES = {
    'once': passing.route(routes.RouteKind.ONCE, attempts_limit=2),
    'repeatable': passing.route(routes.RouteKind.REPEATABLE, attempts_limit=2),
    'resumable stream': passing.route(
        routes.RouteKind.STREAM, attempts_limit=2, resumable=True
    ),
}


def answer(sent):
    return passing.answer(sent, ANSWER, extra=EVENTS)


def request(request_id):
    return passing.request(
        'POST /a/x HTTP/1.1', ['Content-Length: 4'], b'body', request_id
    )


async def ask_until(system, is_done):
    """Send requests until one is dealt with as awaited; return its response.

    :raises AssertionError: another one got no answer, or none was
    """
    for number in range(8):
        got = await system.ask(request(f'q{number}'))
        if is_done():
            return got
        assert b'whole' in got, got
    raise AssertionError('no connection was used again')


async def assert_all_answered(system):
    """Assert that requests are answered, and that no endpoint has gone."""
    for number in range(4):
        got = await system.ask(request(f'later{number}'))
        assert b'whole' in got, got
    held = system.controls[0].registrar.registry.entries
    assert held and all(found.takes_work for found in held.values())


@pytest.mark.parametrize('arrival', ARRIVALS)
@pytest.mark.parametrize('name', REFUSALS)
@pytest.mark.parametrize('kind', ROUTES)
async def test_late_unnamed_refusal_decides_nothing_about_the_next_request(
    system, kind, name, arrival
):
    """Guards against a second run, an untrue refusal and a lost endpoint."""
    await system.put(ROUTES[kind])
    runs = collections.Counter()
    late = []

    def run(sent, number):
        request_id = endpoints.header(sent, ID)
        runs[request_id] += 1
        if number == 1 or late:
            return [answer(sent)]
        late.append(request_id)
        return ARRIVALS[arrival](REFUSALS[name], answer(sent))

    for endpoint in ('e1', 'e2'):
        await system.add(endpoint, run)
    got = await ask_until(system, lambda: late)
    if ROUTES[kind].repeatable:
        assert b'whole' in got
        assert runs[late[0]] == 2
    else:
        assert got.startswith(b'HTTP/1.1 502 '), got
        assert runs[late[0]] == 1
    await assert_all_answered(system)


class RepeatingEndpoint(endpoints.ScriptedEndpoint):
    """Refuses its first request, and again as another follows it.

    That is sent on the same connection, in front of the answer.
    """

    def __init__(self, refused, arrive, runs):
        super().__init__(None)
        self._refused = refused
        self._arrive = arrive
        self._runs = runs

    async def _serve(self, reader, writer):
        late = b''
        try:
            while True:
                sent = await endpoints.read_request(reader)
                self.requests.append(sent)
                pieces = [answer(sent)]
                if late:
                    pieces = self._arrive(late, answer(sent))
                    late = b''
                if len(self.requests) == 1:
                    late = self._refused
                    pieces = [late]
                else:
                    self._runs[endpoints.header(sent, ID)] += 1
                for piece in pieces:
                    await self._write(piece, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.peer_closed.set()
        finally:
            writer.close()


@pytest.mark.parametrize('arrival', ARRIVALS)
@pytest.mark.parametrize('name', BUSY)
@pytest.mark.parametrize('kind', ROUTES)
async def test_repeated_unnamed_refusal_meets_no_other_request(
    system, kind, name, arrival
):
    """Guards against a copy in the place of the response to a later request.

    The first one is true, and no other request uses its connection.
    """
    await system.put(ROUTES[kind])
    runs = collections.Counter()
    repeating = await RepeatingEndpoint(
        REFUSALS[name], ARRIVALS[arrival], runs
    ).start()

    def run(sent, _number):
        runs[endpoints.header(sent, ID)] += 1
        return [answer(sent)]

    await system.register('e1', repeating)
    got = await system.ask(request('first'))
    assert got.startswith(b'HTTP/1.1 503 '), got
    await assert_all_answered(system)
    await system.add('e2', run)
    await assert_all_answered(system)
    assert not runs['first']
    assert repeating.peer_closed.is_set()
    await repeating.close()
