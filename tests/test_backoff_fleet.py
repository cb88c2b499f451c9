"""Hosts of a simulated region respect the backoffs that engines advertise.

No host may send more than two requests during a backoff, except for its first
half second. Engines are used again soon after, and an engine that refuses one
host keeps serving the others.
"""

import itertools
import os

import pytest

from tests import backoff_fleet

BEGUN_MS = 4_000
ENDED_MS = 14_000
PLAY_MS = 22_000
SIZES = [(1, 20), (3, 40), (20, 80), (60, 240), (200, 800)]


def refusing(refuses, engines=1, fault=None):
    """Return a scenario in which some engines refuse requests for 10 s."""

    async def happen(fleet):
        await fleet.wait_ms(BEGUN_MS)
        for engine in fleet.engines[:engines]:
            engine.refuses = lambda host: refuses(fleet, host)
        if fault is not None:
            await fault(fleet)
        now_ms = backoff_fleet.group.LoopClock().mono_ms()
        await fleet.wait_ms(ENDED_MS - now_ms)
        for engine in fleet.engines:
            engine.refuses = lambda host: False

    return happen


def all_hosts(_fleet, _host):
    return True


def first_host(fleet, host):
    return host == fleet.names[0]


def some_requests(fleet, _host):
    return fleet.random.random() < 0.3


def max_over_engines(fleet):
    return max(engine.max_requests_in_backoff() for engine in fleet.engines)


@pytest.mark.parametrize('refuses', [all_hosts, first_host, some_requests])
@pytest.mark.parametrize('hosts, calls_per_s', SIZES)
def test_backoff_is_respected(hosts, calls_per_s, refuses):
    fleet = backoff_fleet.simulate(
        refusing(refuses), hosts, calls_per_s, PLAY_MS
    )
    assert max_over_engines(fleet) <= backoff_fleet.MAX_SENDS
    # The three other engines have capacity.
    assert fleet.refused_share() == 0
    engine = fleet.engines[0]
    fair = calls_per_s / len(fleet.engines)
    # The engine is used again after the last backoff.
    assert engine.count(ENDED_MS + 4_000, PLAY_MS) >= 0.6 * fair * 4


@pytest.mark.parametrize('hosts, calls_per_s', SIZES[1:])
def test_engine_that_refuses_one_host_serves_the_others(hosts, calls_per_s):
    fleet = backoff_fleet.simulate(
        refusing(first_host), hosts, calls_per_s, PLAY_MS
    )
    others = (hosts - 1) / hosts
    expected = others * calls_per_s / 4 * (ENDED_MS - BEGUN_MS) / 1_000
    assert fleet.engines[0].count(BEGUN_MS, ENDED_MS) >= 0.7 * expected


@pytest.mark.parametrize('hosts, calls_per_s', SIZES[2:])
def test_hosts_of_a_large_region_learn_from_each_other(hosts, calls_per_s):
    """Without gossip each host is refused at least three times in 10 s."""
    fleet = backoff_fleet.simulate(
        refusing(all_hosts), hosts, calls_per_s, PLAY_MS
    )
    assert fleet.refusals <= hosts


@pytest.mark.parametrize('hosts, calls_per_s', SIZES)
def test_all_engines_rest_and_return(hosts, calls_per_s):
    fleet = backoff_fleet.simulate(
        refusing(all_hosts, engines=4), hosts, calls_per_s, PLAY_MS
    )
    assert max_over_engines(fleet) <= backoff_fleet.MAX_SENDS
    late = [one for one in fleet.results if one.at_ms >= ENDED_MS + 4_500]
    assert sum(one.served for one in late) >= 0.9 * len(late)


async def lose_messages(fleet):
    fleet.network.lost_share = 0.3
    await fleet.wait_ms(8_000)
    fleet.network.lost_share = 0.0


async def freeze_hosts(fleet):
    for number in range(3):
        name = fleet.names[number % len(fleet.names)]
        fleet.hosts[name].frozen = True
        fleet.network.cut_off(name)
        await fleet.wait_ms(2_000)
        fleet.network.heal()
        fleet.hosts[name].frozen = False


async def restart_hosts(fleet):
    for name in fleet.names[:5]:
        fleet.restarted_ms.setdefault(name, []).append(
            backoff_fleet.group.LoopClock().mono_ms()
        )
        await fleet.restart_host(name)
        await fleet.wait_ms(1_000)


async def change_roster(fleet):
    for number in range(8):
        name = fleet.names[number % len(fleet.names)]
        for other in fleet.names:
            fleet.hide_from_rosters(name, other)
            await fleet.wait_ms(50)
        fleet.restore_rosters()
        await fleet.wait_ms(300)


async def change_times(fleet):
    """Vary the advertised backoffs, and let engines refuse in turn."""
    for number, backoff_ms in enumerate((5_000, 700, 100, 60_000, 1_500)):
        engine = fleet.engines[number % len(fleet.engines)]
        engine.backoff_ms = backoff_ms
        engine.refuses = lambda host: fleet.random.random() < 0.7
        await fleet.wait_ms(1_200)


FAULTS = [
    lose_messages,
    freeze_hosts,
    restart_hosts,
    change_roster,
    change_times,
]


def check_backoffs(fleet):
    """Check all backoffs, except those of hosts restarted during one."""

    def restarted(host, since_ms, at_ms):
        found = fleet.restarted_ms.get(host, [])
        return any(since_ms <= one <= at_ms for one in found)

    found = max(
        engine.max_requests_in_backoff(restarted) for engine in fleet.engines
    )
    assert found <= backoff_fleet.MAX_SENDS


@pytest.mark.parametrize('refuses', [all_hosts, some_requests])
@pytest.mark.parametrize('fault', FAULTS)
def test_faults_do_not_break_backoff(fault, refuses):
    happen = refusing(refuses, fault=fault)
    check_backoffs(backoff_fleet.simulate(happen, 9, 60, PLAY_MS))


SEEDS = int(os.environ.get('WRENSPOKE_SOAK_SEEDS', 4))


# Covers calls of a host that is restarted while it sends them.
KEPT_SEEDS = [145]


@pytest.mark.parametrize('seed', [*range(SEEDS), *KEPT_SEEDS])
def test_overlapping_faults_do_not_break_backoff(seed):
    pairs = list(itertools.permutations(FAULTS, 3))
    chosen = pairs[seed * 7 % len(pairs)]

    async def fault(fleet):
        tasks = []
        for one in chosen:
            tasks.append(backoff_fleet.asyncio.ensure_future(one(fleet)))
            await fleet.wait_ms(fleet.random.uniform(0, 3_000))
        await backoff_fleet.asyncio.gather(*tasks)

    refuses = (all_hosts, some_requests, first_host)[seed % 3]
    happen = refusing(refuses, engines=1 + seed % 4, fault=fault)
    check_backoffs(backoff_fleet.simulate(happen, 6, 60, PLAY_MS, seed))
