"""How long a group of control hosts is without a lease, simulated.

    python -m benches.elections [--seeds N]

Groups of three run in time of their own (``tests.group``), a fifth of a
second's round trip apart. Prints milliseconds until a host holds a lease,
after the leader is lost and after all hosts lose power.
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
# So that hosts are at another step of their beats with each seed.
STEP_MS = 7

FaultInjector = collections.abc.Callable[
    [group.Group], collections.abc.Awaitable
]
FAULT_INJECTORS: dict[str, FaultInjector] = {}


def register_fault(
    name: str,
) -> collections.abc.Callable[[FaultInjector], FaultInjector]:
    """Return a decorator that registers a mishap under a name."""

    def register(function: FaultInjector) -> FaultInjector:
        FAULT_INJECTORS[name] = function
        return function

    return register


@register_fault('leader lost')
async def lose_leader(system: group.Group) -> None:
    """End the host that leads."""
    leader = await system.wait_for_leader()
    await system.stop_host(leader.name)


@register_fault('power lost')
async def lose_power(system: group.Group) -> None:
    """Restart all hosts without what was not synced."""
    await system.restart_all()


def measure(seed: int, happen: FaultInjector) -> float:
    """Return for how long nobody held a lease, in milliseconds."""
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
    """Print a line a mishap."""
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
