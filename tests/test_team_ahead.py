"""Teams' calls wait for no distant leader while there is room.

Shares are renewed before their tokens run out, and a call of a team that is
over its limit is refused at once.
"""

import pytest

from tests import group
from tests import team_limit_fleet
from tests import test_team_limits
from wrenspoke.coordination.limiting import ahead_shares
from wrenspoke.coordination.limiting import allocator
from wrenspoke.coordination.limiting import renewal_progress
from wrenspoke.coordination.limiting import team_buckets
from wrenspoke.protocol import limiting
from wrenspoke.state import teams

# One message to the bucket owner of the region, and its answer.
WITHIN_REGION_MS = 5
FAR_ROUND_TRIP_MS = 160


class AheadHost(team_limit_fleet.Host):
    """Host that holds shares in advance."""

    def __init__(self, fleet, name):
        super().__init__(fleet, name)
        table = teams.TeamTable(b's', (teams.Team('t', limit=fleet.limit),))
        self.team_buckets._ahead = ahead_shares.AheadShares(
            name,
            team_limit_fleet.REGIONS,
            3,
            lambda key: fleet.order(key, name),
            lambda: table,
        )


def simulate(make, play):
    """Return a fleet in which ``play`` ran, 8 s after the election."""
    held = {}

    async def run():
        fleet = team_limit_fleet.Fleet(6, test_team_limits.LARGE, 1, make)
        await fleet.start()
        await fleet.wait_ms(8_000)
        await play(fleet)
        await fleet.close()
        held['fleet'] = fleet

    group.run(run())
    return held['fleet']


async def ask_at_each_host(fleet):
    for name in fleet.names:
        await fleet._ask(name, 1_000)


def renewals(fleet):
    return sum(
        host.peers.sent['ask_shares'].messages for host in fleet.hosts.values()
    )


def test_first_calls_of_a_team_wait_for_no_leader():
    fleet = simulate(AheadHost, ask_at_each_host)
    assert all(one.admitted for one in fleet.results)
    assert max(one.took_ms for one in fleet.results) < WITHIN_REGION_MS


def test_first_call_without_a_share_waits_for_the_leader_and_is_admitted():
    fleet = simulate(team_limit_fleet.Host, ask_at_each_host)
    assert all(one.admitted for one in fleet.results)
    assert max(one.took_ms for one in fleet.results) >= FAR_ROUND_TRIP_MS


def test_idle_shares_leave_the_limit_to_a_region_that_needs_it():
    """At four times the limit in one region, the others hold nothing."""

    async def peak(fleet):
        def only_first(region, _since_ms):
            return 1.0 if region == 0 else 0.0

        await fleet.run_calls(4 * fleet.limit.rate_per_s, 12_000, only_first)

    fleet = simulate(AheadHost, peak)
    held = [
        bucket.share
        for name, host in fleet.hosts.items()
        if team_limit_fleet.region_of(name) != 0
        for bucket in host.team_buckets._buckets.values()
    ]
    assert sum(held) == 0.0
    assert fleet.max_window_tokens() <= fleet.bound


@pytest.mark.parametrize('used', [0.55, 4.0], ids=['usual', 'hot'])
@pytest.mark.parametrize(
    'fault', test_team_limits.FAULTS, ids=lambda one: one.__name__
)
def test_shares_in_advance_stay_within_the_bound(fault, used, monkeypatch):
    monkeypatch.setattr(
        team_limit_fleet.Fleet.__init__, '__defaults__', (1, AheadHost)
    )
    fleet = test_team_limits.simulate(
        30,
        test_team_limits.SMALL,
        fault,
        test_team_limits.rotating_peaks,
        used,
    )
    assert fleet.max_window_tokens() <= fleet.bound


def test_teams_over_their_limit_are_refused_at_once():
    async def peak(fleet):
        await fleet.run_calls(4 * fleet.limit.rate_per_s, 12_000)

    fleet = simulate(team_limit_fleet.Host, peak)
    refused = [one for one in fleet.results if not one.admitted]
    quick = [one for one in refused if one.took_ms < 20]
    assert len(refused) > 1_000
    assert len(quick) > 0.97 * len(refused)


def test_cut_off_region_refuses_at_once_without_a_share():
    async def cut(fleet):
        for name in fleet.network.hosts:
            for other in fleet.network.hosts:
                if team_limit_fleet.region_of(
                    name
                ) == 2 and team_limit_fleet.region_of(other) in (0, 1):
                    fleet.network.cut(name, other)
        # The first call notices that the leader does not answer.
        for _number in range(6):
            await fleet._ask(fleet.names[2], 1_000)
            await fleet.wait_ms(300)

    fleet = simulate(team_limit_fleet.Host, cut)
    assert not any(one.admitted for one in fleet.results)
    assert fleet.results[0].took_ms > 20
    assert all(one.took_ms < 20 for one in fleet.results[-2:])


@pytest.mark.parametrize(
    'unallocated, unallocated_ms, level_ms, amount_ms, refused',
    [
        (None, 0.0, 0.0, 5_000.0, False),
        (0.0, 0.0, 100.0, 150.0, False),
        (0.0, 0.0, 100.0, 1_000.0, True),
        (0.0, 900.0, 100.0, 1_000.0, False),
        (0.9, 0.0, 0.0, 300.0, False),
        (0.9, 0.0, 0.0, 900.0, True),
    ],
    ids=[
        'older leader tells nothing',
        'soon refilled',
        'all is used up',
        'tokens that no host holds',
        'parts that no host holds',
        'larger than all parts give soon',
    ],
)
def test_room_of_the_whole_team(
    unallocated, unallocated_ms, level_ms, amount_ms, refused
):
    bucket = team_buckets.TeamBucket(
        0, depth_ms=2_000.0, demand=team_buckets.Demand(0)
    )
    granted = limiting.ShareGrant(
        't', 0.2, level_ms, unallocated, unallocated_ms
    )
    bucket.apply_grant(granted, 0.2, 0, 0)
    assert bucket.has_no_room(amount_ms, 0) is refused
    # What is known expires.
    assert not bucket.has_no_room(amount_ms, team_buckets.ROOM_EXPIRY_MS + 1)


def test_leader_reports_what_no_host_holds():
    parts = allocator.TeamAllocation(0)
    asked = test_team_limits.asked(0.0, 0.5)
    granted = parts.grant('a', asked, True, 2_000)
    assert granted.unallocated == pytest.approx(0.5)
    assert granted.unallocated_ms == pytest.approx(1_000)


class FakeClock:
    now_ms = 0

    def mono_ms(self):
        return self.now_ms


@pytest.mark.parametrize(
    'elapsed_ms, remaining_ms',
    [(0, 200), (150, 50), (199, 1), (300, 300)],
    ids=['started', 'under way', 'due', 'overdue'],
)
def test_expected_end_of_a_renewal(elapsed_ms, remaining_ms):
    clock = FakeClock()
    progress = renewal_progress.RenewalProgress(clock)
    for _number in range(50):
        progress.begin()
        clock.now_ms += 200
        progress.end(renewal_progress.Outcome.ANSWERED)
    progress.begin()
    clock.now_ms += elapsed_ms
    assert progress.remaining_ms() == pytest.approx(remaining_ms, abs=1)


def test_share_tokens_are_not_held_for_too_many_teams():
    limit = teams.TeamLimit(100, 100, teams.LimitUnit.TOKENS, 1)
    table = teams.TeamTable(
        b's',
        (teams.Team('a', limit=limit), teams.Team('b'), teams.Team('c')),
    )

    def owned(max_shares):
        return ahead_shares.AheadShares(
            'h', 3, max_shares, lambda _key: ['h'], lambda: table
        ).owned_teams()

    assert owned(9) == ['a']
    assert owned(8) == []
