"""Broadcasts of sent calls: delivery, delay, and messages per host.

Simulates regions where each host sends four calls a second, with one engine
for every two hosts.
"""

import asyncio

import pytest

from tests import group
from tests import membership_fleet
from tests import test_registry
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import roster
from wrenspoke.coordination.serving import sent_call_broadcast
from wrenspoke.protocol import capacity
from wrenspoke.protocol import dialect as dialects

CALLS_PER_S = 4
SIMULATED_MS = 5_000
PARTS = (dialects.PromptPart('a1b2c3d4', 6_300), dialects.PromptPart('x', 9))


class TellingPeers(membership_fleet.CountingPeers):
    """Delivers and counts one-way messages as well."""

    async def send_oneway(self, host, message):
        body = self._encoder.encode(message)
        self._count(host, body)
        asyncio.ensure_future(self._hand_over(host, body))
        return len(body)

    async def _hand_over(self, host, body):
        if await self._network.transmit(self.host, host):
            there = self._network.hosts[host]
            message = there._decoder.decode(body)
            await there._handlers[type(message)](self.host, message)


class Host:
    """Host that broadcasts its calls and records those received."""

    def __init__(self, fleet, name):
        self.peers = TellingPeers(name, fleet.network)
        fleet.network.hosts[name] = self.peers
        clock = group.LoopClock()
        known = roster.Roster(10**9, clock)
        for other in fleet.names:
            known.merge_record(test_registry.record(other, data_centre='hall'))
        asking = region_pollers.RegionPollers('north', name, known, self.peers)
        asking.engine_count = len(fleet.names) // 2
        self.told = sent_call_broadcast.SentCallBroadcaster(
            name, asking, self.peers, clock
        )
        self.heard = []
        self.told.subscribe(self.heard.append)
        self.told.start()


class Fleet:
    """Hosts of one region."""

    def __init__(self, hosts):
        self.network = group.Network(1, latency_ms=1, jitter_ms=1)
        self.names = [f'10.1.{n // 200}.{n % 200}:1' for n in range(hosts)]
        self.hosts = [Host(self, name) for name in self.names]

    async def send_calls(self):
        """Send calls from all hosts at a constant rate; return the count."""
        calls = 0
        interval_ms = 1_000 / CALLS_PER_S / len(self.hosts)
        while calls * interval_ms < SIMULATED_MS:
            host = self.hosts[calls % len(self.hosts)]
            engine = f'e{calls % (len(self.hosts) // 2)}'
            host.told.publish(engine, 100, PARTS)
            calls += 1
            await asyncio.sleep(interval_ms / 1_000)
        await asyncio.sleep(1)
        return calls

    async def close(self):
        for host in self.hosts:
            await host.told.close()


@pytest.mark.parametrize('hosts', [10, 20, 60, 200])
def test_each_call_reaches_every_host_once_and_in_time(hosts):
    async def play():
        fleet = Fleet(hosts)
        calls = await fleet.send_calls()
        for host in fleet.hosts:
            own = calls / hosts
            assert abs(len(host.heard) - (calls - own)) <= 1
            ages_ms = [sent.age_ms for sent in host.heard]
            interval_ms = min(
                sent_call_broadcast.BROADCAST_INTERVAL_MS
                * host.told._pollers.collectors_count,
                sent_call_broadcast.MAX_BROADCAST_INTERVAL_MS,
            )
            assert max(ages_ms) <= interval_ms + 20
            assert host.heard[0].parts == [('a1b2c3d4', 6_300)]
        await fleet.close()

    group.run(play())


@pytest.mark.parametrize('hosts', [10, 20, 60, 200])
def test_no_host_sends_more_as_the_region_grows(hosts):
    """Counts messages, not bytes, which grow with the region's calls."""

    async def play():
        fleet = Fleet(hosts)
        await fleet.send_calls()
        for host in fleet.hosts:
            sent = host.peers.sent
            told = (
                sent['ReportSentCalls'].messages
                + sent['RegionGossip'].messages
            )
            # Its own calls, and relays of 40 broadcasts a second.
            parts = 2 * 40 * hosts**0.5
            assert told / (SIMULATED_MS / 1_000) < CALLS_PER_S + parts
        whole = sum(
            host.peers.sent['RegionGossip'].messages for host in fleet.hosts
        )
        assert whole / hosts / (SIMULATED_MS / 1_000) < 45
        await fleet.close()

    group.run(play())


def test_lost_collector_does_not_block_senders():
    """Without the collecting host nothing is received, and none is blocked."""

    async def play():
        fleet = Fleet(10)
        collector = fleet.hosts[0].told._pollers.collector('e0')
        fleet.network.cut_off(collector)
        await fleet.send_calls()
        heard = [
            len(host.heard)
            for name, host in zip(fleet.names, fleet.hosts, strict=True)
            if name != collector
        ]
        assert not any(heard)
        await fleet.close()

    group.run(play())


class CountingClock(group.LoopClock):
    """Counts how often somebody sleeps."""

    def __init__(self):
        super().__init__()
        self.sleeps = 0

    async def sleep_ms(self, delay_ms):
        self.sleeps += 1
        await super().sleep_ms(delay_ms)


def test_host_without_calls_does_not_wake_up():
    """Hosts of a quiet region must not each wake up 40 times a second."""

    async def run():
        fleet = Fleet(20)
        clocks = []
        for host in fleet.hosts:
            clocks.append(CountingClock())
            host.told._clock = clocks[-1]
        await asyncio.sleep(5)
        before = sum(clock.sleeps for clock in clocks)
        fleet.hosts[0].told.publish('e1', 100, PARTS)
        await asyncio.sleep(1)
        assert all(host.heard for host in fleet.hosts[1:])
        after = sum(clock.sleeps for clock in clocks)
        assert (before, after) == (0, 2)

    group.run(run())


def test_lone_call_is_broadcast_at_once():
    """It needs not wait for an interval that has passed already."""

    async def run():
        fleet = Fleet(20)
        await asyncio.sleep(1)
        fleet.hosts[3].told.publish('e1', 100, PARTS)
        await asyncio.sleep(1)
        [sent] = fleet.hosts[7].heard
        assert sent.age_ms <= sent_call_broadcast.BATCH_DELAY_MS + 4

    group.run(run())


PROFILE = capacity.EngineProfile('e0', 1, 0.05, 30.0, 1.0)


class LateProfiles:
    """Has a profile due once it was looked for often enough."""

    def __init__(self, looks):
        self._looks = looks
        self.announced = []

    def take_observations(self, _collects):
        return []

    def overdue(self, _delay_ms):
        return []

    def take_due(self, _collects, _collectors, _is_carried):
        self._looks -= 1
        return [PROFILE] if self._looks == 0 else []

    def announce(self, profiles):
        self.announced += profiles


def test_profiles_become_due_without_a_call_or_an_observation():
    """A profile may wait for others to go along, or for its refresh."""

    async def run():
        fleet = Fleet(2)
        told = fleet.hosts[0].told
        await told.close()
        told._profiles = LateProfiles(3)
        told.start()
        await asyncio.sleep(3)
        assert told._profiles.announced == [PROFILE]

    group.run(run())
