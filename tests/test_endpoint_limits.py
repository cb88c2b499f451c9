"""Hosts of a region together respect the rate limit an engine advertises.

Guards against limits in response headers being ignored by either interface,
and against limits that are only enforced by each host on its own.
"""

import asyncio
import contextlib
import itertools
import time

import aiohttp

from tests import endpoints
from tests import fleet
from tests import nodes
from tests import test_passing
from wrenspoke.coordination.limiting import endpoint_limits
from wrenspoke.protocol import headers
from wrenspoke.state import routes

WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
# A host has to respect a limit this long after it first forwarded one.
NOTICE_S = 0.5
CALLS_PER_S = 40
LIMIT = '1.2'
CHAT = {
    'model': fleet.MODEL,
    'messages': [{'role': 'user', 'content': 'which bay is free'}],
    'max_tokens': 2,
}


def allowed(rate_per_s):
    """Return how many requests are allowed in a window."""
    return OVERSHOOT * rate_per_s * WINDOW_S + SLACK


def max_in_window(arrivals_s, since_s=0.0):
    """Return the most arrivals in any window that starts after a time."""
    counted = sorted(at_s for at_s in arrivals_s if at_s >= since_s)
    return max(
        (
            sum(begun_s <= at_s <= begun_s + WINDOW_S for at_s in counted)
            for begun_s in counted
        ),
        default=0,
    )


async def send_steadily(ask, hosts, for_s):
    """Send requests to hosts in turn at a fixed rate; return all answers."""
    asked = []
    end_s = time.monotonic() + for_s
    for number in itertools.count():
        if time.monotonic() >= end_s:
            break
        asked.append(asyncio.ensure_future(ask(number % hosts, number)))
        await asyncio.sleep(1 / CALLS_PER_S)
    return await asyncio.gather(*asked)


class LimitedEngine(endpoints.ScriptedEngine):
    """Engine that advertises a limit and records when requests arrive."""

    def __init__(self, text=None):
        super().__init__()
        self.text = text
        self.arrivals_s = []

    def _answer(self, sent, _number):
        self.arrivals_s.append(time.monotonic())
        extra = b''
        if self.text is not None:
            extra = f'{headers.LIMIT}: {self.text}\r\n'.encode()
        yield test_passing.answer(sent, extra=extra)


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
            return await endpoints.send_raw(address, sent)

        system.ask = ask
        yield system
    for engine in engines:
        await engine.close()


async def test_passthrough_respects_advertised_limit(tmp_path):
    async with passing_system(tmp_path) as system:
        limited = system.engines[0]

        async def is_told():
            """Return whether every host has forwarded the limit."""
            for host in range(3):
                answer = await system.ask(host, f'told{host}')
                if headers.LIMIT.encode() in answer:
                    told.add(host)
            return len(told) == 3

        told = set()
        await fleet.until(is_told, 'hosts that were told')
        await asyncio.sleep(NOTICE_S)
        since_s = time.monotonic()
        answers = await send_steadily(system.ask, 3, 2 * WINDOW_S)
        assert all(answer.endswith(b'whole') for answer in answers)
        most = max_in_window(limited.arrivals_s, since_s)
        assert most <= allowed(float(LIMIT))
        # The limit is used up.
        assert most >= 0.5 * float(LIMIT) * WINDOW_S


async def test_chats_respect_advertised_limit(tmp_path):
    made = fleet.deployment(regions=('north',), entries=3, engines=3)
    async with fleet.running(tmp_path, made) as running:
        engine = 'north-chat-1'
        await running.faults(engine, limit_text=LIMIT)
        hosts = ['north-1', 'north-2', 'north-3']
        callers = [running.caller(host) for host in hosts]

        async def ask(host, _number):
            return await callers[host].chat(CHAT)

        async def is_told():
            """Return whether every host has logged the limit."""
            for host in range(3):
                await ask(host, 0)
            return all(
                f'endpoint_limit_changed host={host} endpoint={engine}'
                in running.log(host)
                for host in hosts
            )

        await fleet.until(is_told, 'hosts that were told')
        await asyncio.sleep(NOTICE_S)
        since_s = time.monotonic()
        answers = await send_steadily(ask, 3, 2 * WINDOW_S)
        assert {answer.outcome for answer in answers} == {'whole'}
        found = await running.runs(engine)
        most = max_in_window(found['arrivals_s'], since_s)
        assert most <= allowed(float(LIMIT))
        assert most >= 0.5 * float(LIMIT) * WINDOW_S


async def wait_for_limits(system, host=0):
    """Send requests until a host has the limits of all limited engines."""
    entry = system.entries[host]
    named = [one for one in system.engines if one.text is not None]

    async def is_known():
        await system.ask(host, 'hear')
        return len(entry._gate.limits.active()) == len(named)

    await fleet.until(is_known, 'limits')


async def wait_for_rate(system, rate_per_s):
    """Send requests to a host until it has a limit with the given rate."""
    limits = system.entries[0]._gate.limits

    async def is_known():
        await system.ask(0, 'hear')
        return any(one.rate_per_s == rate_per_s for one in limits.active())

    await fleet.until(is_known, 'a rate')


def retry_after_s(answer):
    """Return the Retry-After time of an answer, in seconds."""
    return float(endpoints.header(answer, 'Retry-After'))


async def test_call_is_refused_when_all_limits_are_used_up(tmp_path):
    """Refused calls are not run, and get staggered Retry-After times."""
    async with passing_system(tmp_path) as system:
        for engine in system.engines:
            engine.text = '0.5'
        await wait_for_limits(system)
        ran = sum(len(engine.arrivals_s) for engine in system.engines)
        answers = await asyncio.gather(
            *(system.ask(0, f'q{number}') for number in range(30))
        )
        refused = [one for one in answers if b' 503 ' in one.split(b'\r\n')[0]]
        ran = sum(len(engine.arrivals_s) for engine in system.engines) - ran
        assert len(refused) + ran == 30
        assert len(refused) >= 24
        # This host's third of three limits of half a request per second.
        waits_s = sorted(map(retry_after_s, refused))
        assert waits_s[0] > 0
        assert waits_s[-1] > waits_s[0] + 5
        assert waits_s[-1] <= 15


async def test_expired_permit_sends_nothing(tmp_path, monkeypatch):
    """A permit may expire while connecting; another engine serves then."""
    async with passing_system(tmp_path) as system:
        limited = system.engines[0]
        limited.text = '1000'
        await wait_for_rate(system, 1000)
        monkeypatch.setattr(endpoint_limits, 'PERMIT_TTL_MS', -1)
        sent = len(limited.arrivals_s)
        for number in range(40):
            answer = await system.ask(0, number)
            assert answer.endswith(b'whole')
        assert len(limited.arrivals_s) == sent


async def test_offers_exclude_limited_endpoints(tmp_path):
    """Calls of other regions are routed to unlimited engines."""
    async with passing_system(tmp_path) as system:
        await wait_for_limits(system)
        [offer] = system.entries[0]._selector.build_offers()
        assert offer.endpoints == 2
        for engine in system.engines:
            engine.text = '1000'
        await wait_for_limits(system)
        [offer] = system.entries[0]._selector.build_offers()
        assert offer.endpoints > 0


async def test_malformed_limit_is_ignored(tmp_path):
    async with passing_system(tmp_path) as system:
        for text in ('', 'nan', '-3', '1e9', 'x, 2', '9' * 400, '1.2\t;'):
            system.engines[0].text = text
            for number in range(6):
                answer = await system.ask(0, number)
                assert answer.endswith(b'whole')
            assert system.entries[0]._gate.limits.active() == []


async def test_engine_is_fully_used_after_limit_removal(tmp_path):
    async with passing_system(tmp_path) as system:
        await wait_for_limits(system)
        engine = system.engines[0]
        engine.text = None
        entries = system.entries

        async def is_over():
            await system.ask(0, 'over')
            return not any(e._gate.limits.active() for e in entries)

        await fleet.until(is_over, 'the end of the limit')
        sent = len(engine.arrivals_s)
        await asyncio.gather(*(system.ask(n % 3, n) for n in range(30)))
        assert len(engine.arrivals_s) - sent >= 4


async def test_urgent_chat_is_refused_past_its_deadline(
    tmp_path,
):
    """The advertised limit decides, not the estimated wait."""
    made = fleet.deployment(regions=('north',), entries=1, engines=1)
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('north-1')
        await running.faults('north-chat-1', limit_text='0')
        assert (await caller.chat(CHAT)).outcome == 'whole'
        urgent = {
            headers.PRIORITY: 'high',
            headers.DEADLINE_MS: '1500',
        }
        found = await caller.chat(CHAT, urgent)
        assert (found.outcome, found.reason) == ('not_run', 'overload')
        assert b'would wait past its deadline' in found.body
        assert int(found.headers[headers.RETRY_AFTER]) >= 1


async def test_broken_chat_is_resumed_at_an_engine_with_a_limit(tmp_path):
    """The rest of a stream counts as a request, and is sent first."""
    made = fleet.deployment(regions=('north',), entries=1, engines=1)
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('north-1')
        await running.faults('north-chat-1', limit_text='2')
        assert (await caller.chat(CHAT)).outcome == 'whole'
        await running.faults(
            'north-chat-1',
            limit_text='2',
            break_after_events=3,
            break_times=1,
        )
        found = await caller.chat({**CHAT, 'max_tokens': 8, 'stream': True})
        assert found.outcome == 'whole'
        runs = await running.runs('north-chat-1')
        assert len(runs['arrivals_s']) == 3


async def test_limits_are_exported_as_metrics(tmp_path):
    made = fleet.deployment(regions=('north',), entries=1, engines=1)
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('north-1')
        await running.faults('north-chat-1', limit_text='0.5')
        await asyncio.gather(*(caller.chat(CHAT) for _number in range(4)))
        await asyncio.gather(*(caller.chat(CHAT) for _number in range(4)))
        async with aiohttp.ClientSession() as session:
            async with session.get(running.url('north-1') + '/metrics') as got:
                text = await got.text()
                assert got.status == 200
        [rate] = [
            line
            for line in text.splitlines()
            if line.startswith('wrenspoke_endpoint_limit_per_s{')
        ]
        assert 'endpoint="north-chat-1"' in rate
        assert rate.endswith(' 0.5')
        assert 'wrenspoke_endpoint_limit_refused_total{' in text
