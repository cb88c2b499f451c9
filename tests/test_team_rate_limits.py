"""Leases of team rate limits never exceed the limit in total."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from tests import fleet
from wrenspoke.coordination.serving import team_rate_limits
from wrenspoke.protocol import headers

HOSTS = ('a', 'b', 'c')


class FakeClock:
    """Clock that a test advances."""

    def __init__(self):
        self.now_ms = 1

    def mono_ms(self):
        return self.now_ms


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    asks=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(HOSTS),
            strategies.floats(0, 100),
            strategies.integers(0, 3000),
        ),
        max_size=30,
    )
)
def test_leases_never_add_up_to_more_than_the_whole(asks):
    clock = FakeClock()
    lender = team_rate_limits.RateLeaseManager(clock)
    held = {}
    for host, wanted, later_ms in asks:
        clock.now_ms += later_ms
        rate = lender.grant('blue', host, wanted, 30.0)
        held[host] = (rate, clock.now_ms + team_rate_limits.LEASE_MS)
        live = [r for r, until in held.values() if until > clock.now_ms]
        assert sum(live) <= 30.0 + 1e-6


def test_host_that_asks_alone_gets_the_whole():
    clock = FakeClock()
    lender = team_rate_limits.RateLeaseManager(clock)
    for host in HOSTS:
        lender.grant('blue', host, 5.0, 30.0)
    clock.now_ms += team_rate_limits.LEASE_MS + 1
    assert lender.grant('blue', 'a', 50.0, 30.0) == 30.0


@pytest.mark.parametrize(
    'rate, burst, count, admitted',
    [(1.0, 4, 3, 4), (10.0, 10, 2, 10)],
)
def test_bucket_admits_its_burst(rate, burst, count, admitted):
    bucket = team_rate_limits.TeamTokenBucket(rate, burst, burst, 0)
    taken = [bucket.take_token(0) for _number in range(admitted * count)]
    assert taken.count(0) == admitted
    wait_ms = max(taken)
    assert bucket.take_token(wait_ms + 1) == 0


async def test_team_over_its_limit_gets_retry_after(tmp_path):
    made = fleet.deployment(regions=('north',), entries=2)
    made['limits'] = [{'team': 'blue', 'requests_per_s': 2, 'burst': 6}]
    async with fleet.running(tmp_path, made) as running:
        results = await asyncio.gather(
            *(
                running.caller('north-1').call(
                    'GET', 'records', '/map', {headers.TEAM: team}
                )
                for team in ['blue'] * 10 + ['red'] * 10
            )
        )
        blue, red = results[:10], results[10:]
        assert {one.outcome for one in red} == {'whole'}
        refused = [one for one in blue if one.outcome == 'not_run']
        assert refused
        for one in refused:
            assert (one.status, one.reason) == (429, 'team_limit')
            assert int(one.headers['Retry-After']) >= 1
