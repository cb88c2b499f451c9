"""Drawn series of overlapping faults while streams begin and go on.

Simulated time. Hosts of three regions with the real stores are killed,
started again, cut off and healed while callers begin streams and take them up
at any host. A build may be unknown, but never another than that of the first
event.
"""

import asyncio
import os
import random

import pytest

from tests import group
from tests import test_build_store
from wrenspoke.protocol import resuming

SEEDS = int(os.environ.get('WRENSPOKE_SOAK_SEEDS', 6))
HOSTS_PER_REGION = 4
STREAMS = 150
FAULTS = 40
BUILDS = ('v1', 'v2', 'v3')
TTL_MS = 60_000


class Soak:
    """Runs streams and faults over a fleet, and compares the builds."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = test_build_store.Fleet(HOSTS_PER_REGION, seed)
        self.wrong = []
        self.known = 0
        self.asked = 0
        self.cut = set()

    def running_host(self):
        """Return a host that runs, None without one."""
        names = sorted(self.fleet.stores)
        return self.random.choice(names) if names else None

    async def wait_ms(self, least_ms, most_ms):
        await asyncio.sleep(self.random.uniform(least_ms, most_ms) / 1_000)

    async def run_stream(self, number):
        """Begin a stream, and take it up again."""
        await self.wait_ms(0, 20_000)
        request = f'r{number}'
        writer = self.running_host()
        if writer is None:
            return
        store = self.fleet.stores[writer]
        await self.wait_ms(100, 400)
        if self.fleet.stores.get(writer) is not store:
            return
        build = self.random.choice(BUILDS)
        store.store(resuming.StreamBuild(request, build, TTL_MS))
        for _number in range(self.random.choice((1, 1, 2, 3))):
            await self.wait_ms(50, 2_000)
            await self.take_up(request, build)

    async def take_up(self, request, build):
        host = self.running_host()
        if host is None:
            return
        found = await self.fleet.find(host, request)
        self.asked += 1
        self.known += found is not None
        if found not in (None, build):
            self.wrong.append((request, host, build, found))
        # A host that resumes a stream tells the build again.
        if found is not None and host in self.fleet.stores:
            self.fleet.stores[host].store(
                resuming.StreamBuild(request, found, TTL_MS)
            )

    async def run_faults(self):
        for _number in range(FAULTS):
            await self.wait_ms(50, 1_000)
            fault = self.random.choice((self.kill, self.restart, self.cut_off))
            await fault()

    async def kill(self):
        host = self.running_host()
        if host is not None:
            await self.fleet.stop(host)

    async def restart(self):
        for region, names in self.fleet.names.items():
            for name in names:
                if name not in self.fleet.stores:
                    self.fleet.start(region, name)
        self.fleet.network.heal()

    async def cut_off(self):
        host = self.running_host()
        if host is not None:
            self.fleet.network.cut_off(host)

    async def run(self):
        await asyncio.gather(
            self.run_faults(),
            *(self.run_stream(number) for number in range(STREAMS)),
        )
        await self.fleet.close()


@pytest.mark.parametrize('seed', range(SEEDS))
def test_no_stream_goes_on_at_another_build(seed):
    """Guards against a build that another stream or attempt has left."""
    found = {}

    async def run():
        soak = found['soak'] = Soak(seed)
        await soak.run()

    group.run(run())
    soak = found['soak']
    assert soak.wrong == []
    assert soak.asked > STREAMS / 2
    assert soak.known > soak.asked / 2
