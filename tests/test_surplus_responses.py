"""Surplus responses on kept connections belong to no later request.

An endpoint sends a response a second time: while its connection is idle, or
late, in the place of the response to the next request.
"""

import pytest

from tests import endpoints
from tests import loops
from tests import nodes
from tests import test_passing as passing
from wrenspoke.protocol import headers
from wrenspoke.state import routes

ID = passing.ID
ONCE = routes.RouteKind.ONCE
REPEATABLE = routes.RouteKind.REPEATABLE
KINDS = [ONCE, REPEATABLE]
NOT_RUN = b'Wrenspoke-Not-Run: 1\r\n'

event_loop_policy = loops.event_loop_policy
system = passing.system


def response(
    status, request_id='q1', extra=b'', body=b'surplus', chunked=False
):
    """Return the bytes of a response that names a request, if any."""
    lines = [f'HTTP/1.1 {status}']
    if request_id is not None:
        lines.append(f'{ID}: {request_id}')
    framing, content = f'Content-Length: {len(body)}', body
    if chunked:
        framing = 'Transfer-Encoding: chunked'
        content = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    head = '\r\n'.join([*lines, framing]).encode() + b'\r\n'
    return head + extra + b'\r\n' + content


SURPLUS = {
    '503 not run': response('503 Full', extra=NOT_RUN),
    '429 not run': response(
        '429 Busy', extra=NOT_RUN + b'Retry-After: 3\r\n', body=b''
    ),
    '421 not run': response('421 Other', extra=NOT_RUN),
    '421': response('421 Other', body=b''),
    '200': response('200 OK'),
    '200 chunked': response('200 OK', chunked=True),
    '204': b'HTTP/1.1 204 No\r\n%s: q1\r\n\r\n' % ID.encode(),
    '500': response('500 No'),
    '101': b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n',
    'no response': b'what is this\r\n\r\n',
}
# How the surplus bytes reach an idle connection: the pieces that follow the
# request, each in a packet of its own.
ARRIVALS = {
    'after the response': lambda own, extra: [own, extra],
    'with its last bytes': lambda own, extra: [own + extra],
    'in pieces': lambda own, extra: [own, extra[:9], extra[9:]],
    'half a head with its last bytes': lambda own, extra: [
        own + extra[:12],
        extra[12:],
    ],
    'half a head and no more': lambda own, extra: [own + extra[:12]],
    'behind a last chunk': lambda own, extra: [_chunked(own) + extra],
    'after a last chunk': lambda own, extra: [_chunked(own), extra],
}


def _chunked(own):
    head, _, body = own.partition(b'\r\n\r\n')
    head = head.replace(
        b'Content-Length: %d' % len(body), b'Transfer-Encoding: chunked'
    )
    return b'%s\r\n\r\n%x\r\n%s\r\n0\r\n\r\n' % (head, len(body), body)


@pytest.mark.parametrize('arrival', ARRIVALS)
@pytest.mark.parametrize('surplus', SURPLUS)
@pytest.mark.parametrize('kind', KINDS)
async def test_surplus_on_an_idle_connection_is_never_noticed(
    system, kind, surplus, arrival
):
    """Guards against a connection that stays one response behind."""
    await system.put(passing.route(kind, attempts_limit=2))

    def script(sent, number):
        own = passing.answer(sent)
        if number > 1:
            return [own]
        return ARRIVALS[arrival](own, SURPLUS[surplus])

    endpoint = await system.add('e', script)
    assert (await system.ask(passing.request())).endswith(b'whole')
    await nodes.until(endpoint.peer_closed.is_set)
    for number in range(2, 5):
        got = await system.ask(passing.request(request_id=f'q{number}'))
        assert got.startswith(b'HTTP/1.1 200 '), got
        assert got.endswith(b'whole')
    assert len(endpoint.requests) == 4


# Surplus responses that are complete, and so may stand in another's place.
COMPLETE = [name for name in SURPLUS if name not in ('101', 'no response')]


@pytest.mark.parametrize('joined', [False, True], ids=['apart', 'joined'])
@pytest.mark.parametrize('surplus', COMPLETE)
@pytest.mark.parametrize('kind', KINDS)
async def test_late_surplus_decides_nothing_about_the_next_request(
    system, kind, surplus, joined
):
    """Guards against a request that runs again, or is refused though it ran.

    Its outcome is unknown; only a repeatable request is sent again.
    """
    await system.put(passing.route(kind, attempts_limit=2))
    runs = []
    faulty = []

    def script(name):
        def run(sent, number):
            request_id = endpoints.header(sent, ID)
            runs.append((request_id, name))
            own = passing.answer(sent)
            if request_id == 'q2' and not faulty:
                faulty.append(name)
                if joined:
                    return [SURPLUS[surplus] + own]
                return [SURPLUS[surplus], own]
            return [own]

        return run

    for name in ('e1', 'e2'):
        await system.add(name, script(name))
    assert (await system.ask(passing.request())).endswith(b'whole')
    got = await system.ask(passing.request(request_id='q2'))
    sent_to = [name for request_id, name in runs if request_id == 'q2']
    if kind is ONCE:
        assert got.startswith(b'HTTP/1.1 502 '), got
        assert len(sent_to) == 1
    else:
        assert got.endswith(b'whole')
        assert len(sent_to) == 2
    for number in range(3, 8):
        got = await system.ask(passing.request(request_id=f'q{number}'))
        assert got.endswith(b'whole'), got


@pytest.mark.parametrize('surplus', ['421 not run', '421'])
async def test_late_surplus_421_does_not_withdraw_the_endpoint(
    system, surplus
):
    """Guards against the loss of the only endpoint, which is the right one."""
    await system.put(passing.route(ONCE))

    def script(sent, number):
        own = passing.answer(sent)
        return [SURPLUS[surplus], own] if number == 2 else [own]

    endpoint = await system.add('e', script)
    await system.ask(passing.request())
    got = await system.ask(passing.request(request_id='q2'))
    assert got.startswith(b'HTTP/1.1 502 '), got
    for number in range(3, 6):
        got = await system.ask(passing.request(request_id=f'q{number}'))
        assert got.endswith(b'whole'), got
    assert len(endpoint.requests) == 5
    held = system.controls[0].registrar.registry.entries
    assert held['e'].takes_work


@pytest.mark.parametrize(
    'refusal',
    [
        response('503 Full', None, NOT_RUN),
        response('429 Busy', None, NOT_RUN),
        response('421 Other', None, NOT_RUN),
        response('421 Other', None, b'Wrenspoke-Instance: another\r\n'),
    ],
    ids=['503', '429', '421 not run', '421'],
)
@pytest.mark.parametrize('kind', KINDS)
async def test_refusal_without_an_id_proves_that_nothing_ran(
    system, kind, refusal
):
    await system.put(passing.route(kind))
    sends = []

    def script(sent, number):
        sends.append(number)
        return [refusal] if len(sends) == 1 else [passing.answer(sent)]

    await system.add('e1', script)
    await system.add('e2', script)
    got = await system.ask(passing.request())
    assert got.endswith(b'whole')
    assert len(sends) == 2


async def test_late_surplus_421_that_names_the_called_instance_is_foreign(
    system,
):
    """Without a request id the instance shows whose refusal it is."""
    await system.put(passing.route(ONCE))
    surplus = response('421 Other', None, b'Wrenspoke-Instance: e\r\n')

    def script(sent, number):
        own = passing.answer(sent)
        return [surplus, own] if number == 2 else [own]

    endpoint = await system.add('e', script)
    await system.ask(passing.request())
    got = await system.ask(passing.request(request_id='q2'))
    assert got.startswith(b'HTTP/1.1 502 '), got
    got = await system.ask(passing.request(request_id='q3'))
    assert got.endswith(b'whole'), got
    assert len(endpoint.requests) == 3


async def test_headers_of_a_late_surplus_response_are_not_acted_upon(system):
    """Guards against backoffs and limits read from another's response."""
    await system.put(passing.route(ONCE))
    extra = (
        f'Retry-After: 60\r\n{headers.LIMIT}: 1\r\n{headers.LEAVING}: 1\r\n'
    ).encode()
    surplus = response('503 Full', extra=NOT_RUN + extra)

    def script(sent, number):
        own = passing.answer(sent)
        return [surplus, own] if number == 2 else [own]

    endpoint = await system.add('e', script)
    await system.ask(passing.request())
    await system.ask(passing.request(request_id='q2'))
    for number in range(3, 6):
        got = await system.ask(passing.request(request_id=f'q{number}'))
        assert got.endswith(b'whole'), got
    assert len(endpoint.requests) == 5
