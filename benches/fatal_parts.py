"""Compare ways to find the prompt part that crashes engines.

    python -m benches.fatal_parts [--hosts N ...] [--seeds N] [WAY ...]

Runs the simulated fleets of ``tests.part_fleet`` for 20 s: sound calls from
the start, two calls a second with a fatal part from 4 s on. Each row is a way,
each column a fault. A cell has the engines that the part crashed, the calls
with it that were sent late, and the sound calls refused of 10 000. The first
two columns are without a fatal part.
"""

import argparse
import asyncio
import collections.abc
import contextlib
import dataclasses
import logging
import unittest.mock

import structlog

from tests import group
from tests import part_fleet
from tests import test_part_fleet
from wrenspoke.coordination.quarantine import crash_aggregator
from wrenspoke.coordination.quarantine import crash_history
from wrenspoke.coordination.quarantine import guard
from wrenspoke.coordination.quarantine import run_tracker
from wrenspoke.protocol import fingerprints

FOR_S = 20
FATAL_AFTER_S = 4
TEN_THOUSAND = 10_000

Patches = list[unittest.mock._patch]
Way = collections.abc.Callable[[], Patches]
WAYS: dict[str, Way] = {}


def way(name: str) -> collections.abc.Callable[[Way], Way]:
    """Return a decorator that registers the patches of a way."""

    def register(function: Way) -> Way:
        WAYS[name] = function
        return function

    return register


@way('as it is')
def _unchanged() -> Patches:
    return []


@way('whole requests only')
def _whole_requests_only() -> Patches:
    def first_only(self):
        return (self.request,)

    return [
        unittest.mock.patch.object(
            fingerprints.Fingerprint, 'digests', property(first_only)
        )
    ]


def _by_count(threshold: int) -> Patches:
    def find_culprits(self, crash):
        return [
            digest
            for digest in crash.digests
            if self.crash_count(digest) >= threshold
        ]

    return [
        unittest.mock.patch.object(
            crash_history.CrashHistory, 'find_culprits', find_culprits
        )
    ]


@way('each digest with 3 crashes')
def _each_with_three() -> Patches:
    return _by_count(3)


@way('each digest with 5 crashes')
def _each_with_five() -> Patches:
    return _by_count(5)


@way('culprits explain nothing')
def _unexplained() -> Patches:
    return [
        unittest.mock.patch.object(
            crash_history.CrashHistory,
            '_is_explained',
            lambda _self, _crash, _digest: False,
        )
    ]


@way('entry hosts not asked')
def _not_asked() -> Patches:
    async def find_nothing(_self, _digests, everywhere=False):
        await asyncio.sleep(0)

    return [
        unittest.mock.patch.object(
            crash_aggregator.CrashAggregator, '_find_successes', find_nothing
        )
    ]


@way('only whole answers clear')
def _only_whole_answers() -> Patches:
    return [unittest.mock.patch.object(run_tracker, 'BEGIN_WINDOW_MS', 10**9)]


@way('reports not waited for')
def _not_settled() -> Patches:
    return [
        unittest.mock.patch.object(crash_aggregator, 'SETTLE_MS', 0),
        unittest.mock.patch.object(guard, 'SETTLE_MS', 0),
    ]


@way('all control hosts at once')
def _all_at_once() -> Patches:
    return [
        unittest.mock.patch.object(crash_aggregator, 'FOLLOWER_DELAY_MS', 0)
    ]


@way('not sent on after a crash')
def _not_sent_on() -> Patches:
    return [unittest.mock.patch.object(part_fleet, 'ATTEMPTS', 1)]


@way('parts of four callers apart')
def _by_caller() -> Patches:
    return [unittest.mock.patch.object(part_fleet, 'CALLERS', 4)]


@dataclasses.dataclass(frozen=True)
class Fault:
    """Faults of a column; ``crash_share`` of the engines every 4 s."""

    fatal: bool = True
    crash_share: float = 0.0
    random: bool = False


FAULTS = {
    'none': Fault(fatal=False),
    'crashes only': Fault(fatal=False, crash_share=0.3),
    'fatal': Fault(),
    'fatal, crashes': Fault(crash_share=0.3),
    'fatal, cuts and restarts': Fault(random=True),
}


async def _run(hosts: int, seed: int, fault: Fault) -> part_fleet.PartFleet:
    fleet = await part_fleet.PartFleet(hosts, seed).start()
    others = []
    if fault.crash_share:
        others.append(fleet.crash_by_itself(FOR_S, 4, fault.crash_share))
    if fault.random:
        series = test_part_fleet.PartFaultSeries(fleet)
        others.append(series.simulate(FOR_S * part_fleet.MS_PER_S))
    await test_part_fleet.run_calls(
        fleet,
        FOR_S,
        *others,
        fatal=fault.fatal,
        fatal_after_s=FATAL_AFTER_S,
    )
    await fleet.close()
    return fleet


def cell(hosts: int, seeds: int, fault: Fault) -> str:
    """Return the mean crashes, late sends and refused sound calls."""
    crashes = late = refused = calls = 0
    for seed in range(seeds):
        fleet: list[part_fleet.PartFleet] = []

        async def run(found=fleet, seed=seed):
            found.append(await _run(hosts, seed, fault))

        group.run(run())
        outcomes = fleet[0].sound_outcomes()
        crashes += len(fleet[0].fatal_crashes_ms)
        late += fleet[0].late_sends()
        refused += outcomes['refused']
        calls += outcomes.total()
    share = refused * TEN_THOUSAND / calls
    return f'{crashes / seeds:.1f}, {late / seeds:.1f}, {share:.1f}'


def compare(hosts: int, seeds: int, names: list[str]) -> None:
    """Print a row for each way with a column for each fault."""
    print(f'| {hosts} hosts | ' + ' | '.join(FAULTS) + ' |')
    print('| --- |' + ' --- |' * len(FAULTS))
    for name in names or list(WAYS):
        with contextlib.ExitStack() as stack:
            for patch in WAYS[name]():
                stack.enter_context(patch)
            cells = [cell(hosts, seeds, fault) for fault in FAULTS.values()]
        print(f'| {name} | ' + ' | '.join(cells) + ' |', flush=True)
    print()


def main() -> None:
    """Parse the arguments and print a table for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('way', nargs='*', choices=[[], *WAYS])
    parser.add_argument('--hosts', type=int, nargs='+', default=[20])
    parser.add_argument('--seeds', type=int, default=5)
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    for hosts in arguments.hosts:
        compare(hosts, arguments.seeds, arguments.way)


if __name__ == '__main__':
    main()
