"""A request that crashes engines must not be resent without limit.

Each copy has another request id and reaches another host, so that a single
host cannot detect the repetition by itself.
"""

import asyncio
import contextlib

import pytest

from tests import endpoints
from tests import fleet
from tests import nodes
from tests import test_passing
from wrenspoke.state import routes

# Three crashes up to the threshold, and three more before all hosts hold it.
MAX_SENDS = 6
COPIES = 10
# Time for hosts to exchange reports; real callers resend later.
RESEND_INTERVAL_S = 0.3
FATAL = b'fatal prompt'
FATAL_CHAT = {
    'model': fleet.MODEL,
    'messages': [{'role': 'user', 'content': FATAL.decode()}],
}
RESET = endpoints.ScriptedEndpoint.RESET


class CrashingEngine:
    """Engine that crashes on a fatal body and drops all connections.

    ``restart`` brings it back at the same address.
    """

    def __init__(self, ends):
        self._crashes = ends
        self._endpoint = endpoints.ScriptedEndpoint(self._answer)
        self.crashed = False

    @property
    def address(self):
        return self._endpoint.address

    @property
    def requests(self):
        return self._endpoint.requests

    async def start(self):
        await self._endpoint.start()
        return self

    def _answer(self, sent, _number):
        if FATAL not in sent:
            yield test_passing.answer(sent)
            return
        self._crashes.append(sent)
        self.crashed = True
        self._endpoint.abort_all()
        yield RESET

    async def restart(self):
        if self.crashed:
            self.crashed = False
            await self._endpoint.listen_at_same_address()

    async def close(self):
        await self._endpoint.close()


@contextlib.asynccontextmanager
async def running_system(
    folder, kind=routes.RouteKind.REPEATABLE, engine_type=CrashingEngine
):
    """Run a system of two regions, each with two hosts and four engines."""
    ends, engines = [], []
    async with nodes.running(folder, controls=3) as system:
        await system.start_entry()
        for _number in range(2):
            await system.start_entry('south-hall')
        for hall in ('north-hall', 'south-hall'):
            for number in range(4):
                engine = await engine_type(ends).start()
                engines.append(engine)
                await system.register(
                    f'{hall}-{number}', engine, data_centre=hall
                )
        await system.put(test_passing.route(kind, attempts_limit=2))
        system.ends, system.engines = ends, engines
        yield system
    for engine in engines:
        await engine.close()


async def send_to_entry_host(system, host, body, name, headers=()):
    """Send a request to an entry host and return the raw response."""
    sent = test_passing.request(
        'POST /a/x HTTP/1.1',
        [f'Content-Length: {len(body)}', *headers],
        body,
        name,
    )
    address = system.entries[host].node.callers_address
    return await endpoints.send_raw(address, sent)


@pytest.mark.parametrize(
    'kind', [routes.RouteKind.REPEATABLE, routes.RouteKind.ONCE]
)
async def test_request_that_crashes_engines_is_not_retried_forever(
    tmp_path, kind
):
    async with running_system(tmp_path, kind) as system:
        for number in range(COPIES):
            await send_to_entry_host(
                system, number % 4, FATAL, f'fatal{number}'
            )
            await asyncio.gather(*(one.restart() for one in system.engines))
            await asyncio.sleep(RESEND_INTERVAL_S)
        assert len(system.ends) <= MAX_SENDS


@pytest.mark.parametrize('controls', [0, 3])
async def test_chat_that_crashes_engines_is_not_retried_forever(
    tmp_path, controls
):
    made = fleet.deployment(engines=4, controls=controls)
    async with fleet.running(tmp_path, made) as running:
        await running.engine_faults(
            fatal_text=FATAL.decode(), back_after_ms=50
        )
        callers = [running.caller('north-1'), running.caller('south-1')]
        for number in range(COPIES):
            await callers[number % 2].chat(FATAL_CHAT)
            await running.wait_standins()
        assert await running.engine_crash_count() <= MAX_SENDS
