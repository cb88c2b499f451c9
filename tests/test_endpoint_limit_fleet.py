"""Advertised limits of engines are respected over all hosts, and used up.

In any 4 s an engine gets at most 1.5 times its limit plus 5 requests.
"""

import collections
import itertools
import os

import pytest

from tests import endpoint_limit_fleet
from tests import group
from wrenspoke.coordination.limiting import endpoint_buckets

CALLS_PER_S = 40
NAMED_MS = 1_000
PLAY_MS = 30_000
SETTLED_MS = 8_000


def simulate(
    hosts=9,
    rate_per_s=1.2,
    fault=None,
    limited=1,
    calls_per_s=CALLS_PER_S,
    seed=1,
    make=endpoint_limit_fleet.SimulatedHost,
    rank_of=lambda: 10,
):
    """Return a fleet after calls to engines, the first ones with a limit."""
    held = {}

    async def run():
        fleet = endpoint_limit_fleet.Fleet(hosts, seed=seed, make=make)

        async def happen():
            await fleet.wait_ms(NAMED_MS)
            for engine in fleet.engines[:limited]:
                engine.advertise_rate(rate_per_s)
            if fault is not None:
                await fleet.wait_ms(SETTLED_MS)
                await fault(fleet)

        calls = fleet.run_calls(calls_per_s, PLAY_MS, rank_of)
        await group.asyncio.gather(calls, happen())
        await fleet.close()
        held['fleet'] = fleet

    group.run(run())
    return held['fleet']


RATES = [0, 0.01, 0.5, 1.2, 3.3, 10]


@pytest.mark.parametrize('rate_per_s', RATES)
@pytest.mark.parametrize('hosts', [1, 3, 20, 60, 200])
def test_limit_is_kept_and_used(hosts, rate_per_s):
    fleet = simulate(hosts, rate_per_s)
    engine = fleet.engines[0]
    assert engine.limit_ratio() <= 1.0
    # The other engines are unlimited.
    assert fleet.refused_share() == 0.0
    if rate_per_s >= endpoint_buckets.MIN_RATE_PER_S:
        assert engine.used_share(SETTLED_MS, PLAY_MS) >= 0.8
    # Two messages per permit, one per response, and gossip to every host each
    # second.
    sent = fleet.messages_sent() / PLAY_MS * endpoint_limit_fleet.MS_PER_S
    assert sent <= 6 * (rate_per_s + hosts + 1)


def lose_owner(fleet):
    """Stop the bucket owner for good."""

    async def happen():
        name = owner_of(fleet)
        fleet.hosts[name].frozen = True
        fleet.network.cut_off(name)
        await fleet.wait_ms(endpoint_limit_fleet.ROSTER_LEASE_MS)
        for other in fleet.names:
            fleet.hide_from_rosters(name, other)

    return happen()


def freeze_owner(fleet):
    """Suspend the bucket owner for a while, three times."""

    async def happen():
        for _number in range(3):
            name = owner_of(fleet)
            fleet.hosts[name].frozen = True
            fleet.network.cut_off(name)
            await fleet.wait_ms(2_500)
            fleet.network.heal()
            fleet.hosts[name].frozen = False
            await fleet.wait_ms(2_500)

    return happen()


def restart_owner(fleet):
    async def happen():
        for _number in range(3):
            await fleet.restart_host(owner_of(fleet))
            await fleet.wait_ms(3_000)

    return happen()


def restart_all(fleet):
    async def happen():
        for name in list(fleet.names):
            await fleet.restart_host(name)

    return happen()


def change_owners(fleet):
    """Change the owner every second, on one roster after another."""

    async def happen():
        for _number in range(8):
            name = owner_of(fleet)
            for other in fleet.names:
                fleet.hide_from_rosters(name, other)
                await fleet.wait_ms(100)
            fleet.restore_rosters()
            await fleet.wait_ms(500)

    return happen()


def lose_messages(fleet):
    async def happen():
        fleet.network.lost_share = 0.2
        await fleet.wait_ms(10_000)
        fleet.network.lost_share = 0.0

    return happen()


def partition_in_halves(fleet):
    """Split the hosts into two halves that both reach the engine."""

    async def happen():
        half = fleet.names[::2]
        pairs = [(a, b) for a in half for b in fleet.names if b not in half]
        for one, other in pairs:
            fleet.network.cut(one, other)
        await fleet.wait_ms(endpoint_limit_fleet.ROSTER_LEASE_MS)
        for one, other in pairs:
            fleet.hide_from_rosters(one, other)
        await fleet.wait_ms(5_000)
        fleet.network.heal()
        fleet.restore_rosters()

    return happen()


def hide_owner_from_half(fleet):
    """Cut half of the hosts off from the owner, which keeps running."""

    async def happen():
        name = owner_of(fleet)
        others = [other for other in fleet.names if other != name]
        for other in others[::2]:
            fleet.network.cut(name, other)
        await fleet.wait_ms(10_000)
        fleet.network.heal()

    return happen()


def owner_of(fleet):
    """Return the owner of the first engine's bucket, on the first roster."""
    life = fleet.engines[0].life
    name = fleet.names[0]
    return fleet.hosts[name].askers.rendezvous_order(life.endpoint)[0]


FAULTS = [lose_owner, freeze_owner, restart_owner, change_owners]
FAULTS += [
    lose_messages,
    restart_all,
    partition_in_halves,
    hide_owner_from_half,
]


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('rate_per_s', [0, 1.2, 3.3, 10])
@pytest.mark.parametrize('fault', FAULTS, ids=lambda one: one.__name__)
def test_faults_do_not_exceed_engine_limit(fault, rate_per_s, seed):
    fleet = simulate(9, rate_per_s, fault, seed=seed)
    engine = fleet.engines[0]
    # Restarted hosts count once they have received the limit themselves.
    assert engine.limit_ratio(notified_only=fault is restart_all) <= 1.0
    assert fleet.refused_share() == 0.0
    if rate_per_s:
        assert engine.used_share(SETTLED_MS, PLAY_MS) >= 0.5


def change_to(*rates_per_s):
    """Return a fault: the engine advertises other rates, one by one."""

    def begin(fleet):
        async def happen():
            for rate_per_s in rates_per_s:
                fleet.engines[0].advertise_rate(rate_per_s)
                await fleet.wait_ms(7_000)

        return happen()

    return begin


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    'rates_per_s',
    [(0.6,), (5,), (0, 3.3), (3.3, 0.6, 10), (None, 1.2), (None, None)],
    ids=repr,
)
def test_limit_that_changes_is_kept(rates_per_s, seed):
    fleet = simulate(9, 2.4, change_to(*rates_per_s), seed=seed)
    engine = fleet.engines[0]
    assert engine.limit_ratio() <= 1.0
    assert fleet.refused_share() == 0.0
    last = rates_per_s[-1]
    known = {
        host.limits.rate_per_s(engine.life) for host in fleet.hosts.values()
    }
    assert known == {last}
    if last is not None:
        assert engine.used_share(PLAY_MS - 5_000, PLAY_MS) >= 0.7


@pytest.mark.parametrize('rate_per_s, most_ms', [(0, 9_000), (1.2, 7_000)])
def test_all_hosts_detect_limit_removal(rate_per_s, most_ms):
    """An engine with a limit of 0 is probed every four seconds.

    Responses to earlier requests may still advertise the limit for four
    seconds.
    """
    fleet = simulate(20, rate_per_s, change_to(None))
    engine = fleet.engines[0]
    since_ms, _rate = engine.rates[-1]
    after = [one for one in engine.arrivals if one.at_ms > since_ms + most_ms]
    took_ms = PLAY_MS - since_ms - most_ms
    third = CALLS_PER_S / 3 * took_ms / endpoint_limit_fleet.MS_PER_S
    assert len(after) >= 0.7 * third


def test_urgent_calls_go_first_where_all_engines_are_limited():
    """Urgent calls are served first at six times the total limit."""
    ranks = itertools.cycle([0, 10, 10, 10])
    fleet = simulate(
        9, 3.3, limited=3, calls_per_s=60, rank_of=lambda: next(ranks)
    )
    served = collections.Counter()
    asked = collections.Counter()
    for one in fleet.results:
        if one.at_ms > SETTLED_MS:
            asked[one.rank] += 1
            served[one.rank] += one.served
    urgent, others = (served[rank] / asked[rank] for rank in (0, 10))
    assert urgent > 3 * others
    for engine in fleet.engines:
        assert engine.limit_ratio() <= 1.0
        assert engine.used_share(SETTLED_MS, PLAY_MS) >= 0.8
    # Refused calls do not wait.
    assert max(one.took_ms for one in fleet.results if not one.served) < 1_000


def test_limit_removal_reaches_host_that_missed_gossip():
    """A host without calls of its own is included."""

    async def end_unheard(fleet):
        host = fleet.hosts[fleet.names[-1]]
        host.frozen = True
        fleet.network.cut_off(host.name)
        fleet.engines[0].advertise_rate(None)
        await fleet.wait_ms(7_000)
        fleet.network.heal()
        await fleet.wait_ms(1_200)
        assert host.limits.rate_per_s(fleet.engines[0].life) is None

    simulate(9, 1.2, end_unheard)


def test_restarted_host_receives_limits():
    """Owned limits are gossiped every second, also without a change."""

    async def restart(fleet):
        # The change is not gossiped any more.
        await fleet.wait_ms(endpoint_buckets.CHANGE_GOSSIP_MS)
        await fleet.restart_host(fleet.names[-1])
        host = fleet.hosts[fleet.names[-1]]
        # No call arrives there, so the host gets no responses.
        host.frozen = True
        await fleet.wait_ms(1_200)
        assert host.limits.rate_per_s(fleet.engines[0].life) == 1.2

    simulate(9, 1.2, restart)


SOAK_SEEDS = int(os.environ.get('WRENSPOKE_SOAK_SEEDS', 12))
SERIES_MS = 12_000


def random_faults(fleet):
    """Run random faults and rate changes at random times, overlapping."""
    drawn = fleet.random

    async def begin(happens):
        await fleet.wait_ms(drawn.uniform(0, SERIES_MS))
        await happens(fleet)

    kinds = [*FAULTS, change_to(drawn.choice(RATES)), change_to(None, 1.2)]
    chosen = [drawn.choice(kinds) for _number in range(4)]
    return group.asyncio.gather(*map(begin, chosen))


@pytest.mark.parametrize('seed', range(SOAK_SEEDS))
def test_random_faults_do_not_exceed_engine_limit(seed):
    rate_per_s = RATES[seed % len(RATES)]
    fleet = simulate(9, rate_per_s, random_faults, seed=seed)
    assert fleet.engines[0].limit_ratio(notified_only=True) <= 1.0
    assert fleet.refused_share() == 0.0
