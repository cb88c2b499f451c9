"""Records of the builds that began streams, over a simulated network."""

import asyncio

import pytest

from tests import group
from wrenspoke.coordination.serving import routing
from wrenspoke.coordination.serving import stream_builds
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import resuming

REGIONS = ('north', 'south', 'west')
STREAMS = 60
TTL_MS = 20_000
SETTLE_S = 5.0


class Remotes:
    """Hosts of other regions as one host sees them."""

    def __init__(self, fleet, region):
        self._fleet = fleet
        self._region = region

    def regions(self):
        return [one for one in REGIONS if one != self._region]

    def reachable(self, region):
        return [
            discovery_messages.HostRecord(
                name, region, 'hall', '', '', '', 0, False
            )
            for name in self._fleet.names[region]
        ]

    def ranked_hosts(self, region):
        return self.reachable(region)

    def unreachable_regions(self):
        return []


class Fleet:
    """Hosts of three regions with the real stores."""

    def __init__(self, hosts_per_region, seed=1):
        self.network = group.Network(seed)
        self.names = {
            region: [f'{region}-{n}' for n in range(hosts_per_region)]
            for region in REGIONS
        }
        self.stores = {}
        for region, names in self.names.items():
            for name in names:
                self.start(region, name)

    def start(self, region, name):
        """Start a host, or start it again without its state."""
        peers = group.Peers(name, self.network)
        self.network.hosts[name] = peers
        store = stream_builds.BuildStore(
            name,
            lambda key: routing.rendezvous(key, self.names[region]),
            Remotes(self, region),
            peers,
            group.LoopClock(),
        )
        self.stores[name] = store

    async def stop(self, name):
        """Stop a host; others still list it."""
        await self.stores.pop(name).close()
        await self.network.hosts.pop(name).close()

    async def close(self):
        for name in list(self.stores):
            await self.stop(name)

    async def find(self, name, request):
        """Return the build as a host finds it, None if unknown."""
        store = self.stores[name]
        return (
            store.records.find(request)
            or await store.find_in_region(request)
            or await store.find_in_other_regions(request)
        )


def begin_streams(fleet, writer):
    """Record streams of two builds at a host; return their builds."""
    builds = {}
    for number in range(STREAMS):
        builds[f'r{number}'] = f'v1.{number % 2}'
    for request, build in builds.items():
        fleet.stores[writer].store(
            resuming.StreamBuild(request, build, TTL_MS)
        )
    return builds


async def _no_mishap(_fleet):
    return


async def _writer_killed(fleet):
    await fleet.stop('north-0')


async def _writer_and_another_killed(fleet):
    await fleet.stop('north-0')
    await fleet.stop('north-1')


async def _region_restarted(fleet):
    for name in fleet.names['north']:
        await fleet.stop(name)
    for name in fleet.names['north']:
        fleet.start('north', name)


async def _writer_cut_off(fleet):
    fleet.network.cut_off('north-0')


MISHAPS = {
    'none': _no_mishap,
    'writer killed': _writer_killed,
    'writer and another host killed': _writer_and_another_killed,
    'all hosts of the region restarted': _region_restarted,
    'writer cut off': _writer_cut_off,
}


@pytest.mark.parametrize('hosts_per_region', [3, 12])
@pytest.mark.parametrize('mishap', MISHAPS)
@pytest.mark.parametrize('asked', ['north-2', 'south-1'])
def test_build_is_known_after_a_mishap(mishap, hosts_per_region, asked):
    """Guards against take-ups at a host that can't know the build."""

    async def run():
        fleet = Fleet(hosts_per_region)
        builds = begin_streams(fleet, 'north-0')
        await asyncio.sleep(SETTLE_S)
        await MISHAPS[mishap](fleet)
        found = await asyncio.gather(
            *(fleet.find(asked, request) for request in builds)
        )
        await fleet.close()
        assert dict(zip(builds, found)) == builds

    group.run(run())


def test_build_is_stored_at_a_substitute_of_a_silent_keeper():
    """Guards against records that are lost with a host that is down."""

    async def run():
        fleet = Fleet(6)
        await fleet.stop('north-3')
        await fleet.stop('north-4')
        builds = begin_streams(fleet, 'north-0')
        await asyncio.sleep(SETTLE_S)
        await fleet.stop('north-0')
        store = fleet.stores['north-1']
        found = {
            request: store.records.find(request)
            or await store.find_in_region(request)
            for request in builds
        }
        await fleet.close()
        assert found == builds

    group.run(run())


def test_unknown_build_is_reported_as_unknown():
    """Guards against a host that guesses a build."""

    async def run():
        fleet = Fleet(3)
        begin_streams(fleet, 'north-0')
        await asyncio.sleep(SETTLE_S)
        assert await fleet.find('south-1', 'other') is None
        await fleet.close()

    group.run(run())


@pytest.mark.parametrize(
    'said, build',
    [
        ('a', 'a'),
        ('aa', 'a'),
        ('ab', None),
        ('aba', None),
        ('abb', None),
    ],
)
def test_request_with_two_builds_has_none(said, build):
    """Guards against one of two builds that is taken for the right one."""

    async def run():
        records = stream_builds.BuildRecords(group.LoopClock())
        for one in said:
            records.store(resuming.StreamBuild('r', one, TTL_MS))
        assert records.find('r') == build

    group.run(run())


def test_records_are_bounded_in_time_and_number():
    """Guards against memory that grows with the streams that were served."""

    async def run():
        records = stream_builds.BuildRecords(group.LoopClock(), limit=100)
        for number in range(250):
            records.store(resuming.StreamBuild(f'r{number}', 'a', TTL_MS))
        assert len(records) == 100
        assert records.dropped_count == 150
        assert records.find('r0') is None and records.find('r249') == 'a'
        await asyncio.sleep(TTL_MS / 1_000 + 1)
        assert records.find('r249') is None
        records.store(resuming.StreamBuild('new', 'a', TTL_MS))
        assert len(records) == 1

    group.run(run())


def test_resuming_a_stream_renews_its_record():
    """Guards against third take-ups that come after the first record."""

    async def run():
        records = stream_builds.BuildRecords(group.LoopClock())
        records.store(resuming.StreamBuild('r', 'a', TTL_MS))
        for _number in range(3):
            await asyncio.sleep(TTL_MS * 0.75 / 1_000)
            assert records.find('r') == 'a'
            records.store(resuming.StreamBuild('r', 'a', TTL_MS))

    group.run(run())


def test_other_regions_are_drawn_by_size_and_request():
    """Guards against small regions that store most."""

    async def run():
        fleet = Fleet(1)
        fleet.names['south'] = [f'south-{n}' for n in range(9)]
        store = fleet.stores['north-0']
        first = [store._draw_regions(f'r{n}')[0] for n in range(1_000)]
        again = [store._draw_regions(f'r{n}')[0] for n in range(1_000)]
        assert first == again
        assert 850 <= first.count('south') <= 950
        await fleet.close()

    group.run(run())
