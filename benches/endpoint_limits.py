"""Compare strategies to enforce the rate limits that engines advertise.

    python -m benches.endpoint_limits [--seeds N]

Hosts of one region with three engines receive calls for 30 s of simulated
time (``tests.endpoint_limit_fleet``); one engine advertises a limit, or all
do. Each line is a size, a limit and a strategy: the highest ratio of requests
to the limit in any 4 s, the fraction of the limits that was used, the fraction
of calls that was refused, messages per second of all hosts, and the median and
99th percentile of the time until a call was sent or refused. The last lines
are the times until all hosts have applied the removal of a limit.
"""

import argparse
import statistics

import structlog
import tqdm

from tests import endpoint_limit_fleet
from tests import group
from tests import test_endpoint_limit_fleet
from wrenspoke.coordination.limiting import endpoint_buckets
from wrenspoke.coordination.serving import team_rate_limits

MS_PER_S = 1_000
RENEW_MS = 500
LOOK_MS = 5
SETTLED_MS = test_endpoint_limit_fleet.SETTLED_MS
PLAY_MS = test_endpoint_limit_fleet.PLAY_MS
WAYS = {}


def register_strategy(name):
    """Return a decorator that registers a strategy under a name."""

    def register(made):
        WAYS[name] = made
        return made

    return register


register_strategy('leave for each call')(endpoint_limit_fleet.SimulatedHost)


class SendPermit:
    """Permit that a host issues to itself, without a bucket owner."""

    def __init__(self, host, engine):
        self._host = host
        self._engine = engine

    def is_valid(self):
        return True

    def on_response(self, texts, _proved):
        rate_per_s = float(texts[0]) if texts else None
        # The best case: a limit propagates to all hosts without delay.
        for host in self._host.fleet.hosts.values():
            host.rates[self._engine.life] = rate_per_s


@register_strategy('equal parts')
class EqualParts:
    """Gives each host an equal share of each limit."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.clock = group.LoopClock()
        self.peers = endpoint_limit_fleet.Peers(name, fleet.network)
        self.frozen = False
        self.first_limit_ms = {}
        self.rates = {}
        self.buckets = {}
        self.alone_until_ms = {}

    def may_choose(self, engine):
        until_ms = self.alone_until_ms.get(engine.life, 0)
        return self.clock.mono_ms() >= until_ms

    def part_per_s(self, engine, rate_per_s):
        """Return this host's share of an engine's limit, in requests/s."""
        return rate_per_s / len(self.fleet.names)

    async def admit(self, engine, _rank=0):
        rate_per_s = self.rates.get(engine.life)
        if rate_per_s is None:
            return SendPermit(self, engine)
        now_ms = self.clock.mono_ms()
        bucket = self.buckets.get(engine.life)
        if bucket is None:
            bucket = team_rate_limits.TeamTokenBucket(0.0, 1.0, 0.0, now_ms)
            self.buckets[engine.life] = bucket
        rate_per_s = max(rate_per_s, endpoint_buckets.MIN_RATE_PER_S)
        bucket.request_count += 1
        bucket.rate_per_s = self.part_per_s(engine, rate_per_s)
        wait_ms = bucket.take_token(now_ms)
        if not wait_ms:
            return SendPermit(self, engine)
        self.alone_until_ms[engine.life] = now_ms + min(wait_ms, MS_PER_S)
        return None

    async def close(self):
        await self.peers.close()


@register_strategy('parts leased by demand')
class LeasedParts(EqualParts):
    """Leases shares of a limit from one host by local demand."""

    def __init__(self, fleet, name):
        super().__init__(fleet, name)
        self.lender = team_rate_limits.RateLeaseManager(self.clock)
        self.leased = {}
        self.renewed_ms = {}

    def part_per_s(self, engine, rate_per_s):
        now_ms = self.clock.mono_ms()
        renewed_ms = self.renewed_ms.get(engine.life, -RENEW_MS)
        if now_ms - renewed_ms >= RENEW_MS:
            bucket = self.buckets[engine.life]
            wanted_per_s = (
                bucket.request_count / (now_ms - renewed_ms) * MS_PER_S
            )
            bucket.request_count = 0
            self.renewed_ms[engine.life] = now_ms
            self.leased[engine.life] = self._lease(
                engine, wanted_per_s, rate_per_s
            )
        return self.leased[engine.life]

    def _lease(self, engine, wanted_per_s, rate_per_s):
        lender = self.fleet.hosts[self.fleet.names[0]].lender
        # A request and its response.
        self.peers.sent['leases'].messages += 2
        return lender.grant(
            engine.life.endpoint, self.name, wanted_per_s, rate_per_s
        )


def play(made, hosts, rate_per_s, limited, seed):
    """Return the figures of one strategy at one size."""
    fleet = test_endpoint_limit_fleet.simulate(
        hosts, rate_per_s, limited=limited, seed=seed, make=made
    )
    engines = fleet.engines[:limited]
    took_ms = sorted(one.took_ms for one in fleet.results)
    return (
        max(engine.limit_ratio() for engine in engines),
        statistics.mean(
            engine.used_share(SETTLED_MS, PLAY_MS) for engine in engines
        ),
        fleet.refused_share(SETTLED_MS),
        fleet.messages_sent() / PLAY_MS * MS_PER_S,
        took_ms[len(took_ms) // 2],
        took_ms[len(took_ms) * 99 // 100],
    )


def removal_delay_ms(hosts, rate_per_s, seed):
    """Return the time until all hosts apply the removal of a limit."""
    found = []

    async def end(fleet):
        engine = fleet.engines[0]
        engine.advertise_rate(None)
        ended_ms = group.LoopClock().mono_ms()
        while any(
            host.limits.rate_per_s(engine.life) is not None
            for host in fleet.hosts.values()
        ):
            await fleet.wait_ms(LOOK_MS)
        found.append(group.LoopClock().mono_ms() - ended_ms)

    test_endpoint_limit_fleet.simulate(hosts, rate_per_s, end, seed=seed)
    return found[0]


def main() -> None:
    """Print a line for each size, limit and strategy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    seeds = range(parser.parse_args().seeds)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    cases = [
        (hosts, rate_per_s, limited, name)
        for limited in (1, 3)
        for hosts in (20, 60, 200)
        for rate_per_s in (1.2, 3.3, 10)
        for name in WAYS
    ]
    for hosts, rate_per_s, limited, name in tqdm.tqdm(cases, disable=None):
        found = [
            play(WAYS[name], hosts, rate_per_s, limited, seed)
            for seed in seeds
        ]
        means = [statistics.mean(column) for column in zip(*found)]
        most = max(column[0] for column in found)
        tqdm.tqdm.write(
            f'{limited} limited, {hosts:3} hosts, {rate_per_s:4} a second, '
            f'{name:22}: most {most:.2f}, used {means[1]:.2f}, '
            f'refused {means[2]:.3f}, messages/s {means[3]:.0f}, '
            f'ms {means[4]:.0f} and {means[5]:.0f}'
        )
    for hosts in (20, 60, 200):
        for rate_per_s in (0, 1.2, 3.3, 10):
            took_ms = [
                removal_delay_ms(hosts, rate_per_s, seed) for seed in seeds
            ]
            tqdm.tqdm.write(
                f'{hosts:3} hosts, {rate_per_s:4} a second: end known after '
                f'{min(took_ms)} to {max(took_ms)} ms'
            )


if __name__ == '__main__':
    main()
