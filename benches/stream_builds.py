"""Compare ways to know the build of the engine that serves a stream.

    python -m benches.stream_builds [TABLE ...] [--seeds N] [--hosts N ...]
        [--jobs N]

Simulated hosts of three regions (``tests.stream_build_fleet``). The tables:

* ``cost``: what it costs to tell the builds, while no fault occurs. Messages
  that others carry along stand behind a plus sign. The processor time is
  that of the model, beyond a run in which nothing is told.
* ``known``: the share of take-ups whose build is known after a fault, in the
  stream's region and in others, and how long take-ups wait.
* ``uneven``: both, with six, three and one in ten hosts in the regions.
* ``unknown``: streams that nobody knows, by kind of day.
* ``faults``: the same by kind of fault, on days with several builds.
* ``rendezvous``: the processor time to draw the keepers of a stream.
"""

import argparse
import collections
import concurrent.futures
import statistics
import timeit
import tracemalloc

import tqdm

from tests import stream_build_fleet as fleet
from wrenspoke.coordination.serving import routing

SIZES = (20, 60, 200)
UNEVEN_SHARES = (0.6, 0.3, 0.1)
UNEVEN_SCENARIOS = (
    'no fault',
    'data centre restarted',
    'region restarted',
    '60% killed',
)
KEPT_MS = (30_000, 60_000)
SAMPLE_RECORDS = 100_000
DAYS = 40
MAX_WRONG_PER_DAY = 2

TABLES = fleet.Registry()
table = TABLES.register


def even_sizes(hosts):
    """Return the sizes of three regions with about as many hosts each."""
    return [len(range(number, hosts, 3)) for number in range(3)]


def uneven_sizes(hosts):
    """Return the sizes of a large, a middle and a small region."""
    return [round(hosts * share) for share in UNEVEN_SHARES]


def simulate(name, scenario, sizes, seeds):
    """Return the results of a strategy in a scenario, one for each seed."""
    return [
        fleet.simulate(fleet.STRATEGIES[name], scenario, sizes, seed)
        for seed in seeds
    ]


def simulate_cases(sizes, cases, seeds, jobs):
    """Return the results of strategies in scenarios, in the order of cases."""
    with concurrent.futures.ProcessPoolExecutor(jobs) as executor:
        running = [
            executor.submit(simulate, name, scenario, sizes, seeds)
            for scenario, name in cases
        ]
        for one in tqdm.tqdm(running, disable=None):
            yield one.result()


def row(*cells):
    """Print a row of a table."""
    tqdm.tqdm.write('| ' + ' | '.join(str(cell) for cell in cells) + ' |')


def record_bytes():
    """Return the memory of the build of one stream."""
    tracemalloc.start()
    kept = {}
    for number in range(SAMPLE_RECORDS):
        kept[f'{number:016x}'] = ('v1.1', number + SAMPLE_RECORDS)
    size_bytes = tracemalloc.get_traced_memory()[0] / len(kept)
    tracemalloc.stop()
    return size_bytes


def mean(values):
    """Return the mean of some numbers."""
    return statistics.mean(list(values))


def cost_cells(results, idle_cpu_ms):
    """Return the cells of what the builds cost."""

    def per_stream(count):
        return mean(count(one) / one.streams for one in results)

    fault_s = fleet.FAULT_MS / fleet.MS_PER_S
    kept = mean(one.records for one in results) / fleet.FAULT_MS
    memory = [
        f'{kept * kept_ms * record_bytes() / 1e6:.2f}' for kept_ms in KEPT_MS
    ]
    return (
        f'{per_stream(lambda one: one.told.local.messages):.2f} + '
        f'{per_stream(lambda one: one.told.local.carried):.2f}, '
        f'{per_stream(lambda one: one.told.local.bytes):.0f}',
        f'{per_stream(lambda one: one.told.remote.messages):.2f}, '
        f'{per_stream(lambda one: one.told.remote.bytes):.0f}',
        f'{mean(one.busiest_messages for one in results) / fault_s:.0f}',
        f'{mean(one.busiest_bytes for one in results) / fault_s / 1e3:.1f}',
        ', '.join(memory),
        f'{1e3 * (per_stream(lambda one: one.told_cpu_ms) - idle_cpu_ms):.0f}',
    )


def print_costs(sizes, seeds):
    """Print the costs of all strategies, which a fleet of a size has."""
    found = {
        name: simulate(name, 'no fault', sizes, seeds)
        for name in fleet.STRATEGIES
    }
    idle_cpu_ms = mean(one.told_cpu_ms / one.streams for one in found['ask'])
    for name, results in found.items():
        row(sum(sizes), name, *cost_cells(results, idle_cpu_ms))


COST_HEAD = (
    'hosts',
    'way',
    'messages and bytes a stream within the region',
    'between regions',
    'messages a second at the busiest host',
    'kB a second there',
    'MB of memory for 30, 60 s',
    'us a stream',
)


@table('cost')
def cost(hosts, seeds, _jobs):
    """Print what it costs to tell the builds."""
    row(*COST_HEAD)
    for count in hosts:
        print_costs(even_sizes(count), seeds)


def percentile(values, share):
    """Return the value below which a share of sorted values lies."""
    if not values:
        return '-'
    return f'{values[min(int(len(values) * share), len(values) - 1)]:.0f}'


def print_known(sizes, scenarios, seeds, jobs):
    """Print the shares of known builds in a fleet of a size."""
    cases = [(at, name) for at in scenarios for name in fleet.STRATEGIES]
    found = simulate_cases(sizes, cases, seeds, jobs)
    for (scenario, name), results in zip(cases, found):
        take_ups = [one for result in results for one in result.take_ups]
        shares = []
        for side in fleet.Side:
            known = [
                one.build is not None for one in take_ups if one.side is side
            ]
            shares.append(f'{mean(known):.3f}' if known else '-')
        waits_ms = {
            known: sorted(
                wait_ms
                for result in results
                for wait_ms in result.waits_ms(known)
            )
            for known in (True, False)
        }
        count = max(len(take_ups), 1)
        local = sum(one.asked.local.messages for one in results) / count
        remote = sum(one.asked.remote.messages for one in results) / count
        row(
            sum(sizes),
            scenario,
            name,
            len(take_ups),
            ', '.join(shares),
            f'{percentile(waits_ms[True], 0.5)}, '
            f'{percentile(waits_ms[True], 0.99)}',
            percentile(waits_ms[False], 0.99),
            f'{local:.1f}, {remote:.1f}',
        )


KNOWN_HEAD = (
    'hosts',
    'fault',
    'way',
    'take-ups',
    'known in the region, elsewhere',
    'wait of a known one, ms: half, 99%',
    'of an unknown one',
    'messages of a take-up within regions, between',
)


@table('known')
def known(hosts, seeds, jobs):
    """Print the share of known builds after each fault."""
    row(*KNOWN_HEAD)
    for count in hosts:
        print_known(even_sizes(count), fleet.SCENARIOS, seeds, jobs)


@table('uneven')
def uneven(hosts, seeds, jobs):
    """Print costs and shares in regions of different sizes."""
    row(*COST_HEAD)
    for count in hosts:
        print_costs(uneven_sizes(count), seeds)
    row(*KNOWN_HEAD)
    for count in hosts:
        print_known(uneven_sizes(count), UNEVEN_SCENARIOS, seeds, jobs)


def play_days(kind, name, kept_ms):
    """Return the outcomes by fault of several days of a kind."""
    return [
        fleet.play_day(kind, name, seed, kept_ms)
        for seed in range(1, DAYS + 1)
    ]


@table('unknown')
def unknown(_hosts, _seeds, _jobs):
    """Print what becomes of streams that nobody knows, by kind of day."""
    row(
        'day',
        'inference',
        'builds kept, s',
        'right, wrong, refused a day',
        'days with over two wrong',
        'most wrong on a day',
        'faults at which under half go on',
    )
    for kind in fleet.DAYS:
        for name in fleet.INFERENCES:
            for kept_ms in KEPT_MS:
                days = play_days(kind, name, kept_ms)
                totals = collections.Counter()
                for day in days:
                    for _fault, outcomes in day:
                        totals.update(outcomes)
                wrong = [
                    sum(
                        outcomes[fleet.Outcome.WRONG]
                        for _fault, outcomes in day
                    )
                    for day in days
                ]
                refused = [
                    outcomes[fleet.Outcome.REFUSED] > outcomes.total() / 2
                    for day in days
                    for _fault, outcomes in day
                ]
                row(
                    kind,
                    name,
                    kept_ms // fleet.MS_PER_S,
                    ', '.join(
                        f'{totals[outcome] / DAYS:.1f}'
                        for outcome in fleet.Outcome
                    ),
                    sum(count > MAX_WRONG_PER_DAY for count in wrong),
                    max(wrong),
                    f'{mean(refused):.2f}',
                )


@table('faults')
def faults(_hosts, _seeds, _jobs):
    """Print the shares of right and wrong ones by kind of fault."""
    row('builds', 'inference', *fleet.FAULTS)
    several = [kind for kind in fleet.DAYS if kind != 'one build']
    for label, kinds in (('one', ['one build']), ('several', several)):
        for name in fleet.INFERENCES:
            totals = collections.defaultdict(collections.Counter)
            for kind in kinds:
                for day in play_days(kind, name, KEPT_MS[-1]):
                    for fault, outcomes in day:
                        totals[fault].update(outcomes)
            cells = []
            for fault in fleet.FAULTS:
                found = totals[fault]
                right = found[fleet.Outcome.RIGHT] / found.total()
                wrong = found[fleet.Outcome.WRONG] / found.total()
                cells.append(f'{right:.2f}, {wrong:.3f}')
            row(label, name, *cells)


@table('rendezvous')
def rendezvous(hosts, _seeds, _jobs):
    """Print the time to draw the keepers of a stream."""
    row('hosts of the region', 'us')
    for count in hosts:
        names = [f'10.128.{n}.{n}:7000' for n in range(max(count // 3, 1))]
        draws = 500
        spent_s = timeit.timeit(
            lambda: routing.rendezvous('0123456789abcdef', names),
            number=draws,
            timer=fleet.time.process_time,
        )
        row(len(names), f'{spent_s / draws * 1e6:.1f}')


def main() -> None:
    """Print the tables that are named, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--hosts', type=int, nargs='+', default=SIZES)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('tables', nargs='*', metavar='TABLE')
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    for name in arguments.tables or TABLES:
        TABLES[name](arguments.hosts, seeds, arguments.jobs)


if __name__ == '__main__':
    main()
