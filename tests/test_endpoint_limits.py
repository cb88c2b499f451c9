"""An incident: an engine that named its limit was sent as much as before.

Seen: an engine said in its answers that it takes 1.2 requests a second from
all hosts together. Six seconds later it still got 25 in 4 s from hosts that
had passed such answers on; 12 are allowed.

How: the hosts of its region went on choosing it, as it turned nothing away
and was no slower than the others. None of the sends was a repeat.

Cause: what an endpoint says of itself in an answer was passed on to the
caller and read by nobody; and what hosts send to an endpoint was bound at
each host by itself, by nothing in sum.

Proof: engines that name their limit beside others that have room, asked by
turns at all hosts of a region. Before the repair they get as much as the
others, by both ways in; every call is served all the same with it.
"""

import asyncio
import contextlib
import itertools
import time

from tests import endpoints
from tests import fleet
from tests import nodes
from tests import test_passing
from wrenspoke.protocol import headers
from wrenspoke.state import routes

WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
# A host counts so long after it first passed a limit on.
TOLD_S = 0.5
CALLS_PER_S = 40
LIMIT = '1.2'
CHAT = {
    'model': fleet.MODEL,
    'messages': [{'role': 'user', 'content': 'which bay is free'}],
    'max_tokens': 2,
}


def allowed(rate_per_s):
    """Return how many requests a window may hold."""
    return OVERSHOOT * rate_per_s * WINDOW_S + SLACK


def most_in_a_window(arrivals_s, since_s=0.0):
    """Return the most arrivals in any window that begins after a time."""
    counted = sorted(at_s for at_s in arrivals_s if at_s >= since_s)
    return max(
        (
            sum(begun_s <= at_s <= begun_s + WINDOW_S for at_s in counted)
            for begun_s in counted
        ),
        default=0,
    )


async def press(ask, hosts, for_s):
    """Ask by turns at some hosts, at a steady pace; return all answers."""
    asked = []
    end_s = time.monotonic() + for_s
    for number in itertools.count():
        if time.monotonic() >= end_s:
            break
        asked.append(asyncio.ensure_future(ask(number % hosts, number)))
        await asyncio.sleep(1 / CALLS_PER_S)
    return await asyncio.gather(*asked)


class LimitedEngine:
    """Name a limit in each answer, and note when requests arrive."""

    def __init__(self, text=None):
        self.text = text
        self.arrivals_s = []
        self._endpoint = endpoints.ScriptedEndpoint(self._answer)

    @property
    def address(self):
        return self._endpoint.address

    async def start(self):
        await self._endpoint.start()
        return self

    def _answer(self, sent, _number):
        self.arrivals_s.append(time.monotonic())
        extra = b''
        if self.text is not None:
            extra = f'{headers.LIMIT}: {self.text}\r\n'.encode()
        yield test_passing.answer(sent, extra=extra)

    async def close(self):
        await self._endpoint.close()


@contextlib.asynccontextmanager
async def passing_system(folder):
    """Run a region of three hosts and three engines; the first is limited."""
    engines = []
    async with nodes.running(folder, entries=3) as system:
        for number in range(3):
            engine = await LimitedEngine(
                LIMIT if number == 0 else None
            ).start()
            engines.append(engine)
            await system.register(f'e{number}', engine)
        await system.put(test_passing.route(routes.RouteKind.REPEATABLE))
        system.engines = engines

        async def ask(host, number):
            sent = test_passing.request(request_id=f'q{number}')
            address = system.entries[host].node.callers_address
            return await endpoints.ask(address, sent)

        system.ask = ask
        yield system
    for engine in engines:
        await engine.close()


async def test_passed_calls_keep_to_what_an_engine_says(tmp_path):
    async with passing_system(tmp_path) as system:
        limited = system.engines[0]

        async def is_told():
            """Every host has passed an answer on that names the limit."""
            for host in range(3):
                answer = await system.ask(host, f'told{host}')
                if headers.LIMIT.encode() in answer:
                    told.add(host)
            return len(told) == 3

        told = set()
        await fleet.until(is_told, 'hosts that were told')
        await asyncio.sleep(TOLD_S)
        since_s = time.monotonic()
        answers = await press(system.ask, 3, 2 * WINDOW_S)
        assert all(answer.endswith(b'whole') for answer in answers)
        most = most_in_a_window(limited.arrivals_s, since_s)
        assert most <= allowed(float(LIMIT))
        # It is used for what it takes.
        assert most >= 0.5 * float(LIMIT) * WINDOW_S


async def test_chats_keep_to_what_an_engine_says(tmp_path):
    made = fleet.deployment(regions=('north',), entries=3, engines=3)
    async with fleet.running(tmp_path, made) as running:
        engine = 'north-chat-1'
        await running.faults(engine, limit_text=LIMIT)
        hosts = ['north-1', 'north-2', 'north-3']
        callers = [running.caller(host) for host in hosts]

        async def ask(host, _number):
            return await callers[host].chat(CHAT)

        async def is_told():
            """Every host has heard what the engine says."""
            for host in range(3):
                await ask(host, 0)
            return all(
                f'endpoint_limit_named host={host} endpoint={engine}'
                in running.log(host)
                for host in hosts
            )

        await fleet.until(is_told, 'hosts that were told')
        await asyncio.sleep(TOLD_S)
        since_s = time.monotonic()
        answers = await press(ask, 3, 2 * WINDOW_S)
        assert {answer.outcome for answer in answers} == {'whole'}
        found = await running.runs(engine)
        most = most_in_a_window(found['arrivals_s'], since_s)
        assert most <= allowed(float(LIMIT))
        assert most >= 0.5 * float(LIMIT) * WINDOW_S
