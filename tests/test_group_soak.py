"""Control group under random, overlapping faults, generated from a seed.

``WRENSPOKE_SOAK_SEEDS`` sets the number of seeds.
"""

import asyncio
import contextlib
import os
import random

import pytest

from tests import group
from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.state import entries
from wrenspoke.state import routes

SEEDS = int(os.environ.get('WRENSPOKE_SOAK_SEEDS', 20))
STEPS = 14
# Time without faults until a started replacement host is admitted, so that
# the group may lose another disk.
RECOVERY_MS = 4_000
SETTLE_TIMEOUT_MS = 30_000
POLL_INTERVAL_MS = 50
CHANGE_INTERVAL_MS = 400
CHANGE_TIMEOUT_MS = 3_000
FAULTS = {}


def fault(function):
    """Register a fault."""
    FAULTS[function.__name__] = function
    return function


class Soak:
    """Runs faults and changes for one seed, and checks the invariants."""

    def __init__(self, seed, hosts, tolerated_losses=1, faults=FAULTS):
        self.random = random.Random(f'soak {seed}')
        names = [f'host{number}' for number in range(hosts)]
        self.faults = faults
        self.system = group.Group(seed, names[:3], tolerated_losses)
        self.learners = names[3:]
        self.stopped_hosts = set()
        self.host_numbers = iter(range(hosts, 1_000))
        self.disturbed_ms = 0
        self.acknowledged = 0
        self.proposed = 0
        self.event_log = []

    def now_ms(self):
        return int(asyncio.get_running_loop().time() * 1000)

    def record_event(self, *what):
        self.event_log.append((self.now_ms(), *what))

    @property
    def may_lose_disk(self):
        """Whether the group can tolerate the loss of a disk now."""
        return (
            not self.stopped_hosts
            and not self.system.network.is_cut
            and self.now_ms() - self.disturbed_ms >= RECOVERY_MS
        )

    def mark_disturbed(self):
        self.disturbed_ms = self.now_ms()

    def pick_host(self):
        """Return a random running host, favouring the leader."""
        leading = [host.name for host in self.system.lease_holders()]
        names = sorted(self.system.running)
        if leading and self.random.random() < 0.3:
            return leading[0]
        return self.random.choice(names) if names else None

    async def pause(self, least_ms, most_ms):
        await self.system.sleep_ms(self.random.uniform(least_ms, most_ms))

    async def simulate(self):
        await self.system.bootstrap()
        for name in self.learners:
            self.system.start(name)
        loop = asyncio.get_running_loop()
        background = [
            loop.create_task(self.propose_changes()),
            loop.create_task(self.check_leases()),
        ]
        happening = []
        for _number in range(STEPS):
            await self.pause(0, 5_000)
            name = self.random.choice(sorted(self.faults))
            happening.append(loop.create_task(self.faults[name](self)))
        await asyncio.gather(*happening)
        changing, looking = background
        changing.cancel()
        self.record_event('settle')
        leader = await self.system.wait_for_leader(SETTLE_TIMEOUT_MS)
        held = leader.voter.state.configuration.routes.version
        assert held >= self.acknowledged
        self.system.acknowledged = self.proposed
        await self.system.commit_change(SETTLE_TIMEOUT_MS)
        await self.system.wait_until(self.is_spread, SETTLE_TIMEOUT_MS)
        looking.cancel()
        for task in background:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.system.close()

    def is_spread(self):
        """Return whether each region has one of the voters."""
        for host in self.system.lease_holders():
            deciding = host.voter.committed_electorate
            if deciding.before:
                return False
            where = {self.system.location(name) for name in deciding.voters}
            return (
                len(where) == group.REGIONS
                and len(deciding.voters) == self.system.limits.voters_limit
            )
        return False

    async def propose_changes(self):
        while True:
            await self.system.sleep_ms(CHANGE_INTERVAL_MS)
            leader = next(iter(self.system.lease_holders()), None)
            if leader is None:
                continue
            self.proposed += 1
            version = self.proposed
            table = routes.RouteTable(version=version, digest=str(version))
            try:
                async with clocks.timeout_ms(CHANGE_TIMEOUT_MS):
                    await leader.voter.propose(entries.ReplaceRoutes(table))
            except (errors.NotLeaderError, TimeoutError):
                continue
            self.acknowledged = version
            await self.on_acknowledged()

    async def on_acknowledged(self):
        """Do nothing; runs at the moment of each acknowledgement."""

    async def check_leases(self):
        while True:
            await self.system.sleep_ms(POLL_INTERVAL_MS)
            leading = self.system.lease_holders()
            assert len(leading) <= 1, [host.name for host in leading]
            for host in leading:
                held = host.voter.state.configuration.routes.version
                assert held >= self.acknowledged, (host.name, held)

    async def restart_stopped_host(self, name):
        self.system.start(name)
        self.stopped_hosts.discard(name)
        self.mark_disturbed()


@fault
async def kill(soak):
    """Kill a process, and start it again."""
    name = soak.pick_host()
    if name is None:
        return
    power = soak.random.random() < 0.5
    soak.record_event('kill', name, power)
    soak.stopped_hosts.add(name)
    await soak.system.stop_host(name, power)
    await soak.pause(100, 6_000)
    await soak.restart_stopped_host(name)


@fault
async def restart_all(soak):
    """Cut the power of all hosts, and start them again."""
    soak.record_event('restart_all')
    soak.mark_disturbed()
    await soak.system.restart_all()


@fault
async def cut_all(soak):
    """Partition all hosts from each other for a while."""
    soak.record_event('cut_all')
    soak.system.network.cut_all()
    await soak.pause(500, 10_000)
    soak.system.network.heal()
    soak.mark_disturbed()


@fault
async def cut_one(soak):
    """Partition one host from all others for a while."""
    name = soak.pick_host()
    if name is None:
        return
    soak.record_event('cut_one', name)
    soak.system.network.cut_off(name)
    await soak.pause(500, 10_000)
    soak.system.network.heal()
    soak.mark_disturbed()


@fault
async def cut_pair(soak):
    """Partition two hosts from each other for a while."""
    one, other = soak.pick_host(), soak.pick_host()
    if one is None or one == other:
        return
    soak.record_event('cut_pair', one, other)
    soak.system.network.cut(one, other)
    await soak.pause(500, 10_000)
    soak.system.network.heal()
    soak.mark_disturbed()


@fault
async def wipe(soak):
    """Wipe a disk, possibly while all other hosts lose power."""
    name = soak.pick_host()
    if name is None or not soak.may_lose_disk:
        return
    with_power = soak.random.random() < 0.5
    soak.record_event('wipe', name, with_power)
    soak.stopped_hosts.add(name)
    await soak.system.stop_host(name)
    soak.system.disks[name].wipe()
    if with_power:
        await soak.system.restart_all()
    await soak.pause(100, 1_500)
    await soak.restart_stopped_host(name)


@fault
async def replace(soak):
    """Replace a host by an empty one with another name."""
    name = soak.pick_host()
    if name is None or not soak.may_lose_disk:
        return
    new = f'host{next(soak.host_numbers)}'
    soak.system.locations[new] = soak.system.location(name)
    soak.record_event('replace', name, new)
    soak.stopped_hosts.add(new)
    await soak.system.delete_host(name)
    seeds = [seed for seed in soak.system.seeds if seed != name]
    await soak.pause(100, 1_500)
    soak.system.seeds = [*seeds, new][-3:]
    await soak.restart_stopped_host(new)


@pytest.mark.parametrize('hosts', [3, 6])
@pytest.mark.parametrize('seed', range(SEEDS))
def test_group_recovers_from_overlapping_faults(seed, hosts):
    """Checks for one lease at a time, no lost change and a final leader."""
    soak = Soak(seed, hosts)
    try:
        group.run(soak.simulate())
    finally:
        for line in soak.event_log:
            print(*line)
