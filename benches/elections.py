"""Measure how long a simulated group of control hosts has no lease.

    python -m benches.elections [--seeds N]

Groups of three run in simulated time (``tests.group``) with a round trip of
up to 200 ms. Prints the milliseconds until a host holds a lease, after the
leader fails and after all hosts lose power.
"""

import argparse
import asyncio
import collections.abc
import logging

import structlog

from tests import group

SHARES = (0.5, 0.9, 0.99)
SETTLE_MS = 3_000
MS_PER_S = 1000
# Varies the phase of the heartbeats between seeds.
STEP_MS = 7

FaultInjector = collections.abc.Callable[
    [group.Group], collections.abc.Awaitable
]
FAULT_INJECTORS: dict[str, FaultInjector] = {}


def register_fault(
    name: str,
) -> collections.abc.Callable[[FaultInjector], FaultInjector]:
    """Return a decorator that registers a fault under a name."""

    def register(function: FaultInjector) -> FaultInjector:
        FAULT_INJECTORS[name] = function
        return function

    return register


@register_fault('leader lost')
async def lose_leader(system: group.Group) -> None:
    """Stop the leader."""
    leader = await system.wait_for_leader()
    await system.stop_host(leader.name)


@register_fault('power lost')
async def lose_power(system: group.Group) -> None:
    """Restart all hosts, discarding writes that were not synced."""
    await system.restart_all()


def measure(seed: int, happen: FaultInjector) -> float:
    """Return the time without a lease after a fault, in milliseconds."""
    took = []

    async def play() -> None:
        system = group.Group(seed)
        await system.bootstrap()
        await system.sleep_ms(SETTLE_MS + STEP_MS * seed)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await happen(system)
        await system.wait_for_leader()
        took.append((loop.time() - began_s) * MS_PER_S)
        await system.close()

    group.run(play())
    return took[0]


def main() -> None:
    """Print one line for each fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=400)
    seeds = parser.parse_args().seeds
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    for name, happen in FAULT_INJECTORS.items():
        took = sorted(measure(seed, happen) for seed in range(seeds))
        found = [round(took[int(len(took) * share)]) for share in SHARES]
        print(f'{name}: p50, p90, p99 {found} ms, longest {took[-1]:.0f} ms')


if __name__ == '__main__':
    main()
