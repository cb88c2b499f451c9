"""Compare strategies to back off from engines that send Retry-After.

    python -m benches.endpoint_backoffs [--seeds N]

Hosts of one region with four engines receive calls for 24 s of simulated time
(``tests.backoff_fleet``). For 10 s, one engine rejects all requests, those of
one host, or three in ten, or all engines reject all, with a Retry-After of
3 s. The columns of a row: rejected requests; the fraction of calls that no
engine served; the engine's load relative to its fair share during the fault
and in the first, second and fourth second after it; the highest such load in
any 100 ms of the 6 s after it; messages per second of all hosts.
"""

import argparse
import statistics

import structlog
import tqdm

from tests import backoff_fleet
from tests import test_backoff_fleet

MS_PER_S = 1_000
BEGUN_MS = test_backoff_fleet.BEGUN_MS
ENDED_MS = test_backoff_fleet.ENDED_MS
PLAY_MS = 24_000
SETTLED_MS = 500
BURST_MS = 100
SIZES = [(3, 40), (9, 60), (20, 80), (60, 240), (200, 800)]
WAYS = {
    'each host alone': backoff_fleet.NoGossipHost,
    'first refusal': backoff_fleet.SingleRefusalHost,
    'two hosts agree': backoff_fleet.BackoffHost,
}
REFUSALS = {
    'all requests': (test_backoff_fleet.all_hosts, 1),
    'one host': (test_backoff_fleet.first_host, 1),
    'three in ten': (test_backoff_fleet.some_requests, 1),
    'all, all engines': (test_backoff_fleet.all_hosts, 4),
}


def play(made, name, hosts, calls_per_s, seed):
    """Return the figures of one strategy in one simulation."""
    refuses, engines = REFUSALS[name]
    fleet = backoff_fleet.simulate(
        test_backoff_fleet.refusing(refuses, engines),
        hosts,
        calls_per_s,
        PLAY_MS,
        seed,
        made,
    )
    engine = fleet.engines[0]

    def share(since_ms, until_ms):
        """Return the engine's calls relative to its fair share."""
        fair = calls_per_s / len(fleet.engines)
        got = engine.count(since_ms, until_ms)
        return got / (fair * (until_ms - since_ms) / MS_PER_S)

    bursts = [
        share(since_ms, since_ms + BURST_MS)
        for since_ms in range(ENDED_MS, ENDED_MS + 6_000, BURST_MS // 2)
    ]
    return (
        fleet.refusals,
        fleet.refused_share(BEGUN_MS),
        share(BEGUN_MS + SETTLED_MS, ENDED_MS),
        share(ENDED_MS, ENDED_MS + 1_000),
        share(ENDED_MS + 1_000, ENDED_MS + 2_000),
        share(ENDED_MS + 3_000, ENDED_MS + 4_000),
        max(bursts),
        fleet.messages_sent() / PLAY_MS * MS_PER_S,
    )


def main() -> None:
    """Print a row for each size, kind of rejection and strategy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=2)
    seeds = range(1, parser.parse_args().seeds + 1)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    cases = [
        (*size, refused, way)
        for size in SIZES
        for refused in REFUSALS
        for way in WAYS
    ]
    for hosts, calls_per_s, refused, way in tqdm.tqdm(cases, disable=None):
        found = [
            play(WAYS[way], refused, hosts, calls_per_s, seed)
            for seed in seeds
        ]
        mean = [statistics.mean(column) for column in zip(*found)]
        tqdm.tqdm.write(
            f'| {hosts} | {refused} | {way} | {mean[0]:.0f} | '
            f'{mean[1]:.3f} | {mean[2]:.2f} | {mean[3]:.2f}, '
            f'{mean[4]:.2f}, {mean[5]:.2f} | {mean[6]:.1f} | '
            f'{mean[7]:.0f} |'
        )


if __name__ == '__main__':
    main()
