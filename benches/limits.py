"""Compare strategies to enforce a team's rate limit across hosts.

    python -m benches.limits [--seeds N]

Hosts of three regions receive calls of one team for 34 s of simulated time
(``tests.team_limit_fleet``). Each row is a pattern, a size, a limit and a
strategy: the fraction refused of the tokens requested below the limit, the
highest excess of a window over its bound, messages per second of a host, and
the mean wait of an admitted call.
"""

import argparse
import statistics

import structlog
import tqdm

from tests import group
from tests import team_limit_fleet
from tests import test_team_limits
from wrenspoke.coordination.serving import team_rate_limits

MS_PER_S = 1_000
FILLED_SHARE = 0.85
RATE_PER_S = test_team_limits.LARGE
SMALL_PER_S = test_team_limits.SMALL


class FixedParts:
    """Gives each host a fixed, equal share of the limit."""

    def __init__(self, fleet, name):
        limit = fleet.limit
        hosts = len(fleet.names)
        burst = (
            limit.burst
            + FILLED_SHARE * team_limit_fleet.BOUNDS.max_overshoot(limit)
        )
        self.clock = group.LoopClock()
        self.peers = team_limit_fleet.membership_fleet.CountingPeers(
            name, fleet.network
        )
        self._rate_per_s = limit.rate_per_s / hosts
        self._burst = self._level = burst / hosts
        self._filled_ms = self.clock.mono_ms()

    async def admit(self, amount):
        now_ms = self.clock.mono_ms()
        grown = (now_ms - self._filled_ms) * self._rate_per_s / MS_PER_S
        self._level = min(self._level + grown, self._burst)
        self._filled_ms = now_ms
        if self._level < amount:
            return False
        self._level -= amount
        return True

    async def close(self):
        await self.peers.close()


class RegionalLeases(FixedParts):
    """Leases a region's fixed share to its hosts by demand."""

    lenders = {}

    def __init__(self, fleet, name):
        super().__init__(fleet, name)
        region = (id(fleet), team_limit_fleet.region_of(name))
        self._lender = self.lenders.setdefault(
            region, team_rate_limits.RateLeaseManager(self.clock)
        )
        self._name = name
        self._whole_per_s = fleet.limit.rate_per_s / team_limit_fleet.REGIONS
        # The burst scales with the leased rate.
        self._depth_s = self._burst / self._rate_per_s
        self._asked = 0.0
        self._asked_ms = self.clock.mono_ms()

    async def admit(self, amount):
        self._asked += amount
        now_ms = self.clock.mono_ms()
        if now_ms - self._asked_ms >= team_rate_limits.RENEW_MS:
            passed_s = (now_ms - self._asked_ms) / MS_PER_S
            wanted_per_s = self._asked / passed_s
            self._asked, self._asked_ms = 0.0, now_ms
            self._rate_per_s = self._lender.grant(
                't', self._name, wanted_per_s, self._whole_per_s
            )
            self._burst = self._rate_per_s * self._depth_s
            self.peers.sent['ask_leases'].messages += 1
        return await super().admit(amount)


class Reports:
    """Reported spending of all hosts."""

    def __init__(self):
        self.spent = []


class MergedReports(FixedParts):
    """Admits by reported spending, with a bound on unreported spending.

    Every host reports every 700 ms; reports arrive after 160 ms. Between two
    reports, a host spends at most its share of the permitted overshoot.
    """

    reports = {}
    INTERVAL_MS = 700
    LAG_MS = 160

    def __init__(self, fleet, name):
        super().__init__(fleet, name)
        self._fleet = fleet
        self._reported_spends = self.reports.setdefault(id(fleet), [])
        self._own = []
        self._unseen = 0.0
        self._reported_ms = self.clock.mono_ms()
        spare = team_limit_fleet.BOUNDS.max_overshoot(fleet.limit)
        self._unseen_part = FILLED_SHARE * spare / len(fleet.names)

    async def admit(self, amount):
        now_ms = self.clock.mono_ms()
        if now_ms - self._reported_ms >= self.INTERVAL_MS:
            self._reported_spends.extend((now_ms, one) for one in self._own)
            self._own, self._unseen = [], 0.0
            self._reported_ms = now_ms
            self.peers.sent['report'].messages += 1
        since_ms = now_ms - team_limit_fleet.WINDOW_MS
        seen = sum(
            spent
            for at_ms, spent in self._reported_spends
            if since_ms <= at_ms <= now_ms - self.LAG_MS
        )
        limit = self._fleet.limit
        window_s = team_limit_fleet.WINDOW_MS / MS_PER_S
        allowed = limit.rate_per_s * window_s + limit.burst
        if seen + self._unseen + amount > allowed:
            return False
        if self._unseen + amount > self._unseen_part:
            return False
        self._unseen += amount
        self._own.append(amount)
        return True


WAYS = {
    'fixed parts': FixedParts,
    'regional leases': RegionalLeases,
    'merged reports': MergedReports,
    'shares by demand': team_limit_fleet.Host,
}
PATTERNS = {
    'steady': {},
    'peaks in turn': {'share_of': test_team_limits.rotating_peaks},
    'hot': {'share_of': test_team_limits.rotating_peaks, 'used': 4.0},
    'region cut off': {
        'share_of': test_team_limits.rotating_peaks,
        'fault': test_team_limits.partition_region,
    },
    'all hosts restart': {
        'share_of': test_team_limits.rotating_peaks,
        'fault': test_team_limits.restart,
    },
}


def play(way, hosts, rate_per_s, pattern, seed):
    """Return the figures of one simulation."""
    made = team_limit_fleet.Fleet.__init__.__defaults__
    team_limit_fleet.Fleet.__init__.__defaults__ = (seed, WAYS[way])
    try:
        fleet = test_team_limits.simulate(
            hosts, rate_per_s, seed=seed, **PATTERNS[pattern]
        )
    finally:
        team_limit_fleet.Fleet.__init__.__defaults__ = made
    admitted = [one.took_ms for one in fleet.results if one.admitted]
    over = fleet.max_window_tokens() / fleet.bound - 1.0
    return (
        fleet.refused_share(),
        over,
        fleet.messages_per_host() / 34.0,
        statistics.fmean(admitted or [0]),
    )


def main() -> None:
    """Print a table of strategies by pattern, size and limit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=2)
    found = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    rows = [
        (pattern, hosts, rate_per_s, way)
        for pattern in PATTERNS
        for hosts in (20, 60, 200)
        for rate_per_s in (SMALL_PER_S, RATE_PER_S)
        for way in WAYS
    ]
    print('| pattern | hosts | limit | way | refused | over | msg/s | ms |')
    print('| --- | --- | --- | --- | --- | --- | --- | --- |')
    for pattern, hosts, rate_per_s, way in tqdm.tqdm(rows):
        figures = [
            play(way, hosts, rate_per_s, pattern, seed)
            for seed in range(found.seeds)
        ]
        refused = statistics.fmean(one[0] for one in figures)
        over = max(one[1] for one in figures)
        sent = statistics.fmean(one[2] for one in figures)
        took_ms = statistics.fmean(one[3] for one in figures)
        print(
            f'| {pattern} | {hosts} | {rate_per_s} | {way} | {refused:.3f} '
            f'| {over:+.2f} | {sent:.1f} | {took_ms:.0f} |',
            flush=True,
        )


if __name__ == '__main__':
    main()
