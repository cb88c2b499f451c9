"""Hosts respect the Retry-After and the leaving header of engines.

Guards against sending more requests to an engine that refuses them, as it is
fast and idle, and against retries being spent on such refusals.
"""

import asyncio
import collections
import contextlib
import time

import aiohttp

from tests import endpoints
from tests import fleet
from tests import nodes
from tests import test_endpoint_limits
from tests import test_passing
from wrenspoke.protocol import headers
from wrenspoke.state import routes

BACKOFF_S = 3.0
# A host may send requests for this long after a refusal, and two after that.
GRACE_S = 0.5
MAX_SENDS = 2
# A host may send requests for this long after an engine announced its leave.
DRAIN_S = 4.0
HOST = 'X-Host'
CHAT = test_endpoint_limits.CHAT


def max_sends_in_backoff(arrivals, rest_s=BACKOFF_S):
    """Return the most requests one host sent within any of its backoffs.

    ``arrivals`` are the host and the time of each refused request, in s.
    """
    times_s = collections.defaultdict(list)
    for host, at_s in arrivals:
        times_s[host].append(at_s)
    return max(
        (
            sum(at_s + GRACE_S < later_s < at_s + rest_s for later_s in found)
            for found in times_s.values()
            for at_s in found
        ),
        default=0,
    )


class AdvertisingEngine(endpoints.ScriptedEngine):
    """Engine that refuses requests or announces its leave as configured."""

    def __init__(self):
        super().__init__()
        self.retry_after = None
        self.leaving = None
        self.status = '503 Service Unavailable'
        # The host and time of each request, and whether it was refused.
        self.arrivals = []

    def _answer(self, sent, _number):
        refused = self.retry_after is not None
        host = endpoints.header(sent, HOST)
        self.arrivals.append((host, time.monotonic(), refused))
        extra = b''
        if self.leaving is not None:
            extra += f'{headers.LEAVING}: {self.leaving}\r\n'.encode()
        if refused:
            extra += f'{headers.RETRY_AFTER}: {self.retry_after}\r\n'.encode()
            extra += b'Wrenspoke-Not-Run: 1\r\n'
            yield test_passing.answer(
                sent, status=self.status, body=b'', extra=extra
            )
            return
        yield test_passing.answer(sent, extra=extra)

    def refused(self):
        """Return the host and time of each refused request."""
        return [
            (host, at_s) for host, at_s, refused in self.arrivals if refused
        ]


@contextlib.asynccontextmanager
async def passing_system(folder, entries=3, engines=3):
    """Run a region of some hosts and engines."""
    made = []
    async with nodes.running(folder, entries=entries) as system:
        for number in range(engines):
            engine = await AdvertisingEngine().start()
            made.append(engine)
            await system.register(f'e{number}', engine)
        await system.put(test_passing.route(routes.RouteKind.REPEATABLE))
        system.engines = made

        async def ask(host, number, **changes):
            sent = test_passing.request(
                request_id=f'q{number}',
                headers=[f'{HOST}: {host}'],
                **changes,
            )
            address = system.entries[host].node.callers_address
            return await endpoints.send_raw(address, sent)

        system.ask = ask
        yield system
    for engine in made:
        await engine.close()


async def test_passthrough_respects_backoff(tmp_path):
    async with passing_system(tmp_path) as system:
        engine = system.engines[0]
        engine.retry_after = '3'
        answers = await test_endpoint_limits.send_steadily(
            system.ask, 3, 2 * BACKOFF_S
        )
        assert engine.refused()
        assert max_sends_in_backoff(engine.refused()) <= MAX_SENDS
        assert all(answer.endswith(b'whole') for answer in answers)
        # The engine is fully used again soon after.
        engine.retry_after = None
        await asyncio.sleep(BACKOFF_S)
        begun_s = time.monotonic()
        await test_endpoint_limits.send_steadily(system.ask, 3, 2.0)
        served = sum(at_s >= begun_s for _host, at_s, _ in engine.arrivals)
        assert served >= 10


async def test_chats_respect_backoff(tmp_path):
    made = fleet.deployment(regions=('north',), entries=1, engines=3)
    async with fleet.running(tmp_path, made) as running:
        engine = 'north-chat-1'
        caller = running.caller('north-1')

        async def ask(_host, _number):
            return await caller.chat(CHAT)

        # Every engine has been measured, so none is preferred as unknown.
        await test_endpoint_limits.send_steadily(ask, 1, 1.0)
        await running.faults(engine, retry_after_text='3')
        since_s = time.monotonic()
        answers = await test_endpoint_limits.send_steadily(
            ask, 1, 2 * BACKOFF_S
        )
        found = await running.runs(engine)
        refused = [
            ('north-1', at_s) for at_s in found['arrivals_s'] if at_s > since_s
        ]
        assert refused
        assert max_sends_in_backoff(refused) <= MAX_SENDS
        assert {answer.outcome for answer in answers} == {'whole'}


async def test_passthrough_avoids_leaving_engine(tmp_path):
    """An engine announces it in responses only, and keeps serving."""
    async with passing_system(tmp_path) as system:
        engine = system.engines[0]
        engine.leaving = '1'
        told_s = {}

        async def ask(host, number):
            answer = await system.ask(host, number)
            if headers.LEAVING.encode() in answer:
                told_s.setdefault(str(host), time.monotonic())
            return answer

        answers = await test_endpoint_limits.send_steadily(ask, 3, DRAIN_S + 2)
        assert told_s
        late = [
            (host, at_s)
            for host, at_s, _refused in engine.arrivals
            if host in told_s and at_s > told_s[host] + DRAIN_S
        ]
        assert late == []
        assert all(answer.endswith(b'whole') for answer in answers)


async def test_malformed_retry_after_is_ignored(tmp_path):
    made = fleet.deployment(regions=('north',), entries=1, engines=2)
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('north-1')
        for text in ('\u00b2', '-1', 'nan', 'soon', '9' * 400, 'Mon, 1'):
            await running.faults('north-chat-1', retry_after_text=text)
            for _number in range(4):
                assert (await caller.chat(CHAT)).outcome == 'whole'


async def test_backoff_refusal_spends_no_retry(
    tmp_path,
):
    made = fleet.deployment(
        regions=('north',),
        entries=1,
        engines=4,
        entry={'retry_burst': 1, 'retry_ratio': 0.0},
    )
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('north-1')

        async def ask(_host, _number):
            return await caller.chat(CHAT)

        await test_endpoint_limits.send_steadily(ask, 1, 1.0)
        refusing = ['north-chat-1', 'north-chat-2']
        for engine in refusing:
            await running.faults(engine, retry_after_text='5')
        answers = await test_endpoint_limits.send_steadily(ask, 1, 2.0)
        assert {answer.outcome for answer in answers} == {'whole'}


async def test_call_is_refused_when_all_engines_back_off(tmp_path):
    """The call is not run, and may retry when the first backoff ends."""
    async with passing_system(tmp_path) as system:
        for engine, text in zip(system.engines, ('9', '5', '7')):
            engine.retry_after = text
        await asyncio.gather(*(system.ask(0, n) for n in range(9)))
        sent = sum(len(engine.arrivals) for engine in system.engines)
        begun_s = time.monotonic()
        answers = [await system.ask(0, f'late{n}') for n in range(5)]
        took_s = time.monotonic() - begun_s
        for answer in answers:
            assert answer.startswith(b'HTTP/1.1 503')
            wait_s = test_endpoint_limits.retry_after_s(answer)
            assert 5 - took_s - 1 <= wait_s <= 1.5 * 5
        after = sum(len(engine.arrivals) for engine in system.engines)
        assert after == sent


async def test_chat_is_refused_when_all_engines_back_off(tmp_path):
    made = fleet.deployment(regions=('north',), entries=1, engines=2)
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('north-1')
        await running.engine_faults(retry_after_text='5')
        for _number in range(3):
            await caller.chat(CHAT)
        waits_s = {}
        for priority in ('high', 'normal', 'low'):
            begun_s = time.monotonic()
            found = await caller.chat(CHAT, {headers.PRIORITY: priority})
            waits_s[priority] = int(found.headers[headers.RETRY_AFTER])
            assert (found.outcome, found.reason) == ('not_run', 'overload')
            # Well before the caller's deadline of 8 s.
            assert time.monotonic() - begun_s < 4
        assert waits_s['high'] <= waits_s['normal'] <= waits_s['low']


async def test_streams_complete_at_leaving_engine(tmp_path):
    made = fleet.deployment(regions=('north',), entries=1, engines=2)
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('north-1')
        body = {**CHAT, 'max_tokens': 60, 'stream': True}
        streams = [asyncio.ensure_future(caller.chat(body)) for _ in range(6)]
        await asyncio.sleep(0.1)
        await running.faults('north-chat-1', leaving_text='1')
        assert {(await one).outcome for one in streams} == {'whole'}

        async def is_known():
            """Return whether a load poll has received the announcement."""
            return 'endpoint_leaving ' in running.log('north-1')

        await fleet.until(is_known, 'the leave')
        before = await running.runs('north-chat-1')
        logged = len(running.log('north-1'))
        for _number in range(12):
            assert (await caller.chat(CHAT)).outcome == 'whole'
        after = await running.runs('north-chat-1')
        assert after['runs'] == before['runs']
        # The engine is not chosen and then rejected by a later check either.
        for line in running.log('north-1')[logged:].splitlines():
            assert 'event=placed' not in line or 'north-chat-1' not in line


async def test_chats_wait_for_an_engine_that_returns(tmp_path):
    """One call is sent first, and the others during the ramp-up."""
    made = fleet.deployment(regions=('north',), entries=1, engines=1)
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('north-1')
        await running.engine_faults(retry_after_text='0.5')
        assert (await caller.chat(CHAT)).outcome == 'not_run'
        await running.engine_faults()
        await asyncio.sleep(0.6)
        answers = await asyncio.gather(*(caller.chat(CHAT) for _ in range(8)))
        assert {answer.outcome for answer in answers} == {'whole'}


async def test_queued_chat_is_refused_when_all_engines_back_off(tmp_path):
    made = fleet.deployment(regions=('north',), entries=1, engines=1)
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('north-1')
        slow = {'slow_factor': 20.0}
        await running.engine_faults(**slow)
        long = {**CHAT, 'max_tokens': 30}
        waiting = [asyncio.ensure_future(caller.chat(long)) for _ in range(24)]

        async def is_full():
            """Return whether all slots are taken, so that calls queue."""
            found = await running.runs('north-chat-1')
            return len(found['arrivals_s']) >= 8

        await fleet.until(is_full, 'a full engine')
        await running.engine_faults(retry_after_text='20', **slow)
        found = await asyncio.gather(*waiting)
        refused = [one for one in found if one.outcome != 'whole']
        assert refused
        for one in refused:
            assert one.outcome == 'not_run'
            assert int(one.headers[headers.RETRY_AFTER]) >= 10


async def test_backoffs_and_leaves_are_exported_as_metrics(tmp_path):
    made = fleet.deployment(regions=('north',), entries=1, engines=1)
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('north-1')

        async def metrics():
            async with aiohttp.ClientSession() as session:
                url = running.url('north-1') + '/metrics'
                async with session.get(url) as got:
                    assert got.status == 200
                    lines = (await got.text()).splitlines()
            return {
                line.partition('{')[0]: float(line.rpartition(' ')[2])
                for line in lines
                if 'endpoint="north-chat-1"' in line
            }

        await running.engine_faults(retry_after_text='1', leaving_text='1')
        await caller.chat(CHAT)
        found = await metrics()
        assert 0 < found['wrenspoke_endpoint_backoff_s'] <= 1
        assert found['wrenspoke_endpoint_backoff_refused_total'] == 1
        assert found['wrenspoke_endpoint_leaving'] == 1

        async def is_over():
            return not (await metrics())['wrenspoke_endpoint_backoff_s']

        await fleet.until(is_over, 'the end of the backoff')
