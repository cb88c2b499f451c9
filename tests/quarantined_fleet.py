"""Simulated fleet that quarantines fatal requests, in virtual time.

Entry hosts in three regions run requests that crash their endpoints. Control
hosts aggregate the crash reports, and a leader chosen by the test commits the
decisions. Entry hosts receive them from the control hosts of their region.
"""

import asyncio
import collections
import itertools
import random

from tests import group
from tests import membership_fleet
from tests import team_limit_fleet
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import crash_aggregator
from wrenspoke.coordination.quarantine import crash_reporter
from wrenspoke.coordination.quarantine import guard
from wrenspoke.protocol import fingerprints
from wrenspoke.protocol import messages
from wrenspoke.state import replicated

REGIONS = team_limit_fleet.REGIONS
CONTROLS = 6
MS_PER_S = 1_000
# Time to reach a majority of control hosts in other regions.
COMMIT_S = 0.16
# Interval at which committed decisions reach control and entry hosts.
REPLICATION_INTERVAL_S = 0.2
CRASH_DELAY_S = 0.1


class FakeVoter:
    """Voter whose leadership the test sets."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name
        self.has_lease = False

    @property
    def has_leader(self):
        leader = self._fleet.leader
        if leader is None:
            return False
        return self._fleet.network.is_connected(leader, self._name)

    async def propose(self, entry):
        await asyncio.sleep(COMMIT_S)
        if not self.has_lease:
            raise errors.NotLeaderError(None, may_be_accepted=True)
        return self._fleet.commit(entry)


class ControlHost:
    """Control host that aggregates crash reports."""

    def __init__(self, fleet, name):
        self.name = name
        self.peers = membership_fleet.CountingPeers(name, fleet.network)
        fleet.network.hosts[name] = self.peers
        self.replica = replica.Replica()
        self.voter = FakeVoter(fleet, name)
        self._fleet = fleet
        self._aggregator = crash_aggregator.CrashAggregator(
            self.voter,
            self.replica,
            self._entry_hosts,
            self.peers,
            group.LoopClock(),
        )
        self._aggregator.start()

    def _entry_hosts(self, everywhere):
        region = team_limit_fleet.region_of(self.name)
        return [
            name
            for name in self._fleet.hosts
            if everywhere or team_limit_fleet.region_of(name) == region
        ]

    async def close(self):
        await self.peers.close()
        await self._aggregator.close()


class EntryHost:
    """Entry host that sends requests unless its guard holds them."""

    def __init__(self, fleet, name):
        self.name = name
        self.region = team_limit_fleet.region_of(name)
        self.clock = group.LoopClock()
        self.began_ms = self.clock.mono_ms()
        self.peers = membership_fleet.CountingPeers(name, fleet.network)
        fleet.network.hosts[name] = self.peers
        self.replica = replica.Replica()
        self._fleet = fleet
        self.guard = guard.Guard(
            self.replica,
            crash_reporter.CrashReporter(
                lambda: list(fleet.controls), self.peers, self.clock
            ),
            self.peers,
            lambda _endpoint: False,
            self.clock,
            fleet.is_refused,
        )

    async def send(self, digest, endpoint, fatal=True):
        """Run a request at an endpoint; return False if it is held."""
        fingerprint = fingerprints.Fingerprint(digest)
        number = next(self._fleet.requests)
        await self.guard.request_trials(fingerprint, f'q{number}')
        if self.guard.remaining_hold_ms(fingerprint) is not None:
            return False
        run = self.guard.start_run(fingerprint, endpoint, endpoint)
        await asyncio.sleep(CRASH_DELAY_S)
        if not fatal:
            self.guard.mark_succeeded(run)
            return True
        self._fleet.crashed_endpoints.add(endpoint)
        await self.guard.handle_broken_run(run)
        return True

    async def close(self):
        await self.peers.close()
        await self.guard.close()


class LossyNetwork(team_limit_fleet.RegionalNetwork):
    """Network that drops ``lost_share`` of the messages."""

    lost_share = 0.0

    async def transmit(self, one, other):
        arrived = await super().transmit(one, other)
        return arrived and self._random.random() >= self.lost_share


class Fleet:
    """Entry hosts, control hosts and their shared log."""

    def __init__(self, hosts, seed=1):
        self.random = random.Random(seed)
        self.network = LossyNetwork(seed)
        self.state = replicated.ReplicatedState()
        self.log = replica.Replica()
        self.names = [
            f'10.{n % REGIONS}.{n // 200}.{n % 200}:1' for n in range(hosts)
        ]
        self.controls = {}
        self.hosts = {}
        self.crashed_endpoints = set()
        self.endpoints = (f'e{number}' for number in itertools.count())
        self.requests = itertools.count()
        self._replication_task = None
        self._isolated_region = None

    async def start(self):
        for number in range(CONTROLS):
            name = f'10.{number % REGIONS}.250.{number}:1'
            self.controls[name] = ControlHost(self, name)
        self.set_leader(next(iter(self.controls)))
        for name in self.names:
            self.hosts[name] = EntryHost(self, name)
        self._replication_task = asyncio.ensure_future(
            self._replicate_decisions()
        )
        return self

    def set_leader(self, name):
        """Make one control host leader, or none."""
        for control in self.controls.values():
            control.voter.has_lease = control.name == name

    @property
    def leader(self):
        """Return the name of the leader, None without one."""
        for control in self.controls.values():
            if control.voter.has_lease:
                return control.name
        return None

    def commit(self, entry):
        """Apply an entry and return the result."""
        index = self.state.index + 1
        applied = self.state.apply(index, entry)
        self.log.apply_delta(
            messages.ConfigurationDelta(
                index, changes=[(index, applied.change)]
            )
        )
        return applied

    async def is_refused(self, address, _timeout_ms):
        """Return whether an endpoint has crashed."""
        return address in self.crashed_endpoints

    async def _replicate_decisions(self):
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            leader = self.leader
            for control in self.controls.values():
                if leader and self.network.is_connected(leader, control.name):
                    self._advance_replica(control, self.log)
            for host in self.hosts.values():
                for control in self._regional_controls(host):
                    if self.network.is_connected(control.name, host.name):
                        self._advance_replica(host, control.replica)

    def _regional_controls(self, host):
        return [
            control
            for control in self.controls.values()
            if team_limit_fleet.region_of(control.name) == host.region
        ]

    @staticmethod
    def _advance_replica(who, known):
        delta = known.delta_since(who.replica.current.index)
        if delta.index > who.replica.current.index:
            who.replica.apply_delta(delta)

    async def restart_host(self, name):
        """Restart an entry host, which loses its state."""
        await self.hosts[name].close()
        self.hosts[name] = EntryHost(self, name)

    async def restart_control(self, name):
        """Restart a control host, which keeps only committed decisions."""
        before = self.controls[name]
        await before.close()
        made = self.controls[name] = ControlHost(self, name)
        made.voter.has_lease = before.voter.has_lease
        self._advance_replica(made, self.log)

    def isolate_region(self, region):
        """Partition one region from the others."""
        self._isolated_region = region
        for one in self.network.hosts:
            for other in self.network.hosts:
                if team_limit_fleet.region_of(one) == region:
                    if team_limit_fleet.region_of(other) != region:
                        self.network.cut(one, other)

    def heal(self):
        """Heal all partitions."""
        self._isolated_region = None
        self.network.heal()

    def reconnect_host(self, name):
        """Reconnect a partitioned host, except across a region partition."""
        for other in self.network.hosts:
            if team_limit_fleet.region_of(other) != team_limit_fleet.region_of(
                name
            ):
                if self._isolated_region in (
                    team_limit_fleet.region_of(other),
                    team_limit_fleet.region_of(name),
                ):
                    continue
            self.network.reconnect(name, other)

    def hosts_holding(self, digest):
        """Return the names of the entry hosts that hold a request."""
        return [
            host.name
            for host in self.hosts.values()
            if host.guard.remaining_hold_ms(fingerprints.Fingerprint(digest))
            is not None
        ]

    def sent_totals(self):
        """Return the messages and bytes sent, by message type."""
        total = collections.defaultdict(membership_fleet.SentCount)
        for one in [*self.hosts.values(), *self.controls.values()]:
            for kind, counted in one.peers.sent.items():
                if isinstance(kind, str):
                    total[kind].messages += counted.messages
                    total[kind].bytes += counted.bytes
        return total

    async def wait_ms(self, delay_ms):
        await asyncio.sleep(delay_ms / MS_PER_S)

    async def close(self):
        self._replication_task.cancel()
        for one in [*self.hosts.values(), *self.controls.values()]:
            await one.close()
