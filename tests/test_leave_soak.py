"""Endpoints leave under random, overlapping faults, generated from a seed.

Virtual time; disks take some ms to sync. ``WRENSPOKE_SOAK_SEEDS`` sets the
number of seeds.
"""

import asyncio
import os
import random

import pytest

from tests import group
from tests import membership_fleet
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import registrar
from wrenspoke.coordination.membership import registry_snapshot
from wrenspoke.coordination.membership import replica
from wrenspoke.state import registry

SEEDS = int(os.environ.get('WRENSPOKE_SOAK_SEEDS', 10))
ENDPOINTS = 24
STEPS = 10
RENEWAL_INTERVAL_MS = 1_200
# Time without faults after which a host that lost its disk has caught up.
RECOVERY_MS = 4_000
# Longest sync of a disk, at times above what a reply waits for it.
MAX_SYNC_MS = [40, 40, 600]
MS_PER_S = 1_000
READY = registry.RegistrationState.READY
DRAINING = registry.RegistrationState.DRAINING
FAULTS = {}


def fault(function):
    """Register a fault."""
    FAULTS[function.__name__] = function
    return function


class Host(membership_fleet.ControlHost):
    """A control host that keeps its registry on a simulated disk."""

    def __init__(self, name, seeds, disk, network, leave_copies):
        clock = group.LoopClock()
        self.name = name
        self.peers = group.Peers(name, network)
        network.hosts[name] = self.peers
        self.group = control_group.ControlGroup(name, seeds, clock)
        self.registrar = registrar.Registrar(
            f'region-{name}',
            membership_fleet.LeadingVoter(),
            self.group,
            replica.Replica(),
            self.peers,
            clock,
            data_disk=disk,
            leave_copies=leave_copies,
        )
        self.snapshot = registry_snapshot.RegistrySnapshot(
            disk, self.registrar.registry, self.registrar.leaves, clock
        )
        self.snapshot.start()
        self.registrar.start()

    async def close(self):
        await self.snapshot.close()
        await super().close()


class Soak:
    """Runs endpoints and faults for one seed, and checks what has left."""

    def __init__(self, seed, hosts, losses):
        self.random = random.Random(f'leaves {seed}')
        random.seed(seed)
        self.network = group.Network(seed)
        self.hosts = [f'host{number}' for number in range(hosts)]
        self.losses = losses
        self.disks = {name: group.MemoryDisk() for name in self.hosts}
        self.running = {}
        self.left = set()
        self.strikes = []
        self.struck = 0
        self.calm_since_ms = 0
        self.stopped = set()
        self.has_all_disks = False
        self.event_log = []
        self.tasks = set()

    def now_ms(self):
        return int(asyncio.get_running_loop().time() * MS_PER_S)

    def record_event(self, *what):
        self.event_log.append((self.now_ms(), *what))

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        return task

    async def pause(self, least_ms, most_ms):
        delay_ms = self.random.uniform(least_ms, most_ms)
        await asyncio.sleep(delay_ms / MS_PER_S)

    def start(self, name):
        self.running[name] = Host(
            name,
            self.hosts,
            self.disks[name],
            self.network,
            self.losses + 1,
        )
        self.stopped.discard(name)
        self.calm_since_ms = self.now_ms()

    async def stop(self, name):
        host = self.running.pop(name)
        del self.network.hosts[name]
        self.stopped.add(name)
        await host.close()

    async def sync(self, write, *arguments):
        """Write after a delay, in place of a thread."""
        await self.pause(1, self.random.choice(MAX_SYNC_MS))
        return write(*arguments)

    async def report(self, name, state, number):
        """Send a report as an endpoint does; return whether it is saved."""
        if not self.running:
            return False
        host = self.running[self.random.choice(sorted(self.running))]
        if state is None:
            host.registrar.withdraw(name)
        else:
            address = f'10.9.9.9:{name}'
            host.registrar.register(
                registry.Registration(
                    name, 's', address, 'hall', 4, state, number
                )
            )
        saved = await host.registrar.wait_replicated(name)
        return saved and self.running.get(host.name) is host

    async def run_endpoint(self, name):
        """Register, renew, drain or not, deregister; a report comes late."""
        number = 0
        ready_until_ms = self.now_ms() + self.random.uniform(2_000, 40_000)
        while self.now_ms() < ready_until_ms:
            number += 1
            self.spawn(self.report(name, READY, number))
            await asyncio.sleep(RENEWAL_INTERVAL_MS / MS_PER_S)
        if self.random.random() < 0.4:
            await self.leave(name, DRAINING, number + 1)
            await self.pause(500, 3_000)
        await self.leave(name, None, 0)
        await self.pause(0, 3_000)
        await self.report(name, READY, number)

    async def leave(self, name, state, number):
        if await self.report(name, state, number):
            self.record_event('left', name, state)
            self.left.add(name)
            await self.strike(name)

    async def strike(self, name):
        """Run the faults that wait for an acknowledgement."""
        strikes, self.strikes = self.strikes, []
        for found in strikes:
            await found(name)

    async def watch_disks(self):
        """Note when a lost disk has been replaced and a calm time is over."""
        while True:
            await asyncio.sleep(0.05)
            if self.stopped or self.network.is_cut:
                self.calm_since_ms = self.now_ms()
            if self.now_ms() - self.calm_since_ms >= RECOVERY_MS:
                self.has_all_disks = True

    def pick_victims(self, endpoint):
        """Return hosts, most often those whose log holds a leave."""
        address = f'10.9.9.9:{endpoint}'.encode()
        chosen = self.random.sample(self.hosts, len(self.hosts))
        if self.random.random() < 0.7:
            chosen.sort(
                key=lambda host: (
                    address not in self.disks[host].synced.get('leaves', b'')
                )
            )
        return chosen[: self.losses]

    async def lose(self, endpoint):
        """Empty disks as all hosts lose power, if that is tolerated."""
        if not self.has_all_disks or not self.running:
            return
        self.has_all_disks = False
        self.struck += 1
        stopped = sorted(self.running)
        for name in stopped:
            await self.stop(name)
        victims = self.pick_victims(endpoint)
        self.record_event('lose', *victims)
        for name in victims:
            self.disks[name].wipe()
        for name in self.random.sample(stopped, len(stopped)):
            await self.pause(0, 1_500)
            self.start(name)

    async def simulate(self):
        for name in self.hosts:
            self.start(name)
        watching = self.spawn(self.watch_disks())
        endpoints = [
            self.spawn(self.run_endpoint(f'{number:02}'))
            for number in range(ENDPOINTS)
        ]
        happening = []
        for _number in range(STEPS):
            await self.pause(0, 6_000)
            kind = self.random.choice(sorted(FAULTS))
            happening.append(self.spawn(FAULTS[kind](self)))
        await asyncio.gather(*happening, *endpoints)
        await asyncio.sleep(RECOVERY_MS / MS_PER_S)
        for host in self.running.values():
            held = host.registrar.registry.entries
            for name in self.left:
                assert not (name in held and held[name].takes_work), name
        watching.cancel()
        for host in list(self.running.values()):
            await host.close()


@fault
async def lose_as_acknowledged(soak):
    """Lose disks and power as the next leave is acknowledged."""
    soak.strikes.append(soak.lose)


@fault
async def lose_in_series(soak):
    """Lose disks and power at two leaves, after a calm time between."""
    for _number in range(2):
        soak.strikes.append(soak.lose)
        await soak.pause(RECOVERY_MS, 3 * RECOVERY_MS)


@fault
async def kill(soak):
    """Kill a process, and start it again."""
    if not soak.running:
        return
    name = soak.random.choice(sorted(soak.running))
    soak.record_event('kill', name)
    await soak.stop(name)
    await soak.pause(100, 3_000)
    if name not in soak.running:
        soak.start(name)


@fault
async def cut_one(soak):
    """Partition one host from the others for a while."""
    soak.record_event('cut_one')
    soak.network.cut_off(soak.random.choice(soak.hosts))
    await soak.pause(500, 4_000)
    soak.network.heal()


@pytest.mark.parametrize('hosts, losses', [(3, 1), (5, 2)], ids=['3-1', '5-2'])
@pytest.mark.parametrize('seed', range(SEEDS))
def test_acknowledged_leaves_outlive_power_and_disks(
    seed, hosts, losses, monkeypatch
):
    """Guards against requests at endpoints that have left."""
    soak = Soak(seed, hosts, losses)
    monkeypatch.setattr(asyncio, 'to_thread', soak.sync)
    try:
        group.run(soak.simulate())
    finally:
        for line in soak.event_log:
            print(*line)
