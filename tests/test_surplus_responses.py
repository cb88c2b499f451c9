"""Surplus responses on kept connections belong to no later request.

An endpoint sends a response a second time, while its connection is idle.
"""

import pytest

from tests import nodes
from tests import test_passing as passing
from wrenspoke.state import routes

ID = passing.ID
ONCE = routes.RouteKind.ONCE
REPEATABLE = routes.RouteKind.REPEATABLE
KINDS = [ONCE, REPEATABLE]
NOT_RUN = b'Wrenspoke-Not-Run: 1\r\n'

event_loop_policy = passing.event_loop_policy
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
