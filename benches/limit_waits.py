"""Measure how long calls wait for their team's limit, and refusals take.

    python -m benches.limit_waits [--seeds N] [--ahead]

Hosts of three regions receive calls of one team for 34 s of simulated time,
as in ``benches.limits``. Each row is a pattern, a size and a limit: the
fraction refused of the tokens requested, the mean wait of an admitted call,
the part of these that waited over 20 ms, the number of refusals, their mean
time and the part of them that took over 20 ms. With ``--ahead`` hosts hold
shares in advance.
"""

import argparse
import statistics

import structlog

from benches import limits
from tests import team_limit_fleet
from tests import test_team_ahead
from tests import test_team_limits

QUICK_MS = 20
HOSTS = (20, 60)
PATTERNS = {
    **limits.PATTERNS,
    'near the limit': {
        'share_of': test_team_limits.rotating_peaks,
        'used': 0.85,
    },
    'a third over it': {
        'share_of': test_team_limits.rotating_peaks,
        'used': 1.3,
    },
    'leaders lost': {
        'share_of': test_team_limits.rotating_peaks,
        'fault': test_team_limits.lose_leaders,
    },
}


def slow_part(results):
    """Return the part of calls that took longer than a quick answer."""
    slow = sum(one.took_ms > QUICK_MS for one in results)
    return slow / max(len(results), 1)


def row(pattern, hosts, rate_per_s, seeds):
    """Return the figures of one pattern, size and limit."""
    fleets = [
        test_team_limits.simulate(
            hosts, rate_per_s, seed=seed, **PATTERNS[pattern]
        )
        for seed in range(seeds)
    ]
    calls = [one for fleet in fleets for one in fleet.results]
    admitted = [one for one in calls if one.admitted]
    refused = [one for one in calls if not one.admitted]
    part = statistics.fmean(fleet.refused_share() for fleet in fleets)
    took_ms = statistics.fmean(one.took_ms for one in admitted)
    refused_ms = statistics.fmean([one.took_ms for one in refused] or [0])
    return (
        f'| {pattern} | {hosts} | {rate_per_s} | {part:.4f} | {took_ms:.1f} '
        f'| {slow_part(admitted):.3f} | {len(refused)} | {refused_ms:.1f} '
        f'| {slow_part(refused):.3f} |'
    )


def main() -> None:
    """Print a table of waits by pattern, size and limit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=2)
    parser.add_argument('--ahead', action='store_true')
    found = parser.parse_args()
    if found.ahead:
        team_limit_fleet.Fleet.__init__.__defaults__ = (
            1,
            test_team_ahead.AheadHost,
        )
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    print(
        '| pattern | hosts | limit | refused | wait ms | over 20 ms '
        '| refusals | ms | over 20 ms |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- | --- | --- |')
    for pattern in PATTERNS:
        for hosts in HOSTS:
            for rate_per_s in (limits.SMALL_PER_S, limits.RATE_PER_S):
                print(
                    row(pattern, hosts, rate_per_s, found.seeds), flush=True
                )


if __name__ == '__main__':
    main()
