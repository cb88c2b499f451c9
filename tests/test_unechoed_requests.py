"""Responses of endpoints that echo no request id belong to their request."""

import asyncio

import msgspec
import pytest

from tests import endpoints
from tests import loops
from tests import test_dispatch
from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import dispatch
from wrenspoke.state import configuration
from wrenspoke.transport import web

event_loop_policy = loops.event_loop_policy


class RepeatingEndpoint(endpoints.ScriptedEndpoint):
    """Repeats each response as the next request arrives on its connection."""

    async def _serve(self, reader, writer):
        late = b''
        try:
            while True:
                self.requests.append(await endpoints.read_request(reader))
                own = self.answer(len(self.requests))
                writer.write(late + own)
                late = own
        except (asyncio.IncompleteReadError, ConnectionError):
            self.peer_closed.set()
        finally:
            writer.close()


def respond(number):
    """Return a whole response whose body is the number of the request."""
    return b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d' % number


@pytest.mark.parametrize(
    'purpose, method, body',
    [
        (dispatch.Purpose.FIRST, 'GET', None),
        (dispatch.Purpose.FIRST, 'POST', b'body'),
        (dispatch.Purpose.RETRY, 'POST', b'body'),
        (dispatch.Purpose.RESUME, 'POST', b'body'),
        (dispatch.Purpose.CANCEL, 'POST', b'body'),
        (dispatch.Purpose.LOAD, 'GET', None),
        (dispatch.Purpose.ORDER, 'POST', b'body'),
    ],
)
async def test_late_response_is_no_answer_to_the_next_request(
    purpose, method, body
):
    """Guards against a caller that gets the answer to another's request."""
    engine = await RepeatingEndpoint(respond).start()
    found = configuration.Endpoint(
        'e',
        's',
        'north',
        'hall',
        f'http://{engine.address}',
        echoes_request_id=False,
    )
    known = replica.Replica()
    known.current = configuration.Configuration(endpoints={'e': found})
    known.serving = True
    clock = clocks.Clock()
    client = web.HttpClient(1_000)
    dispatcher = dispatch.Dispatcher('h', 'north', known, client, clock)
    head = None
    if purpose in dispatch.WORK:
        head = msgspec.structs.replace(
            test_dispatch.HEAD, deadline_ms=clock.mono_ms() + 60_000
        )
    for number in range(1, 4):
        send = dispatch.Send(
            purpose, 'e', method, '/', body, head, test_dispatch.slot(found)
        )
        async with dispatcher.send(send) as response:
            assert await response.read_all(100) == b'%d' % number
    await client.close()
    await engine.close()
