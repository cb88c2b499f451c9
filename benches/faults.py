"""Run mixed requests under host and network faults; check the history.

    python -m benches.faults [--rate R] [--seconds S] [--history FILE]

Runs nine entry hosts in three regions, three control hosts, six engines and
three plain services. During the load, random entry hosts are killed and
restarted or suspended and resumed, and random regions are partitioned and
healed, in turn. Prints the report with the number of violations.
"""

import argparse
import asyncio
import json
import pathlib
import random
import tempfile

from tests import fleet
from wrenspoke import history
from wrenspoke import load
from wrenspoke import logs

REGIONS = ('north', 'centre', 'south')
FREEZE_S = 4.0
CUT_S = 5.0
PAUSE_S = 1.0
INDEX_POLL_S = 0.2


def deployment() -> dict:
    """Return a deployment of nine entry hosts with short intervals."""
    return fleet.deployment(
        regions=REGIONS, entries=3, engines=2, plains=1, controls=3
    )


async def inject_faults(running, seed: int, until: asyncio.Event) -> list[str]:
    """Kill, suspend and partition in turn; return the faults injected."""
    chance = random.Random(seed)
    entries = [host.host for host in running.settings.with_role('entry')]
    done = []
    while not until.is_set():
        victim = chance.choice(entries)
        done.append(f'kill {victim}')
        running.kill(victim)
        await asyncio.sleep(PAUSE_S)
        running.start_entry(victim)
        await asyncio.sleep(2 * PAUSE_S)
        victim = chance.choice(entries)
        done.append(f'freeze {victim}')
        running.freeze(victim)
        await asyncio.sleep(FREEZE_S)
        running.thaw(victim)
        await asyncio.sleep(2 * PAUSE_S)
        region = chance.choice(REGIONS)
        done.append(f'cut {region}')
        inside = [
            host.host
            for host in running.settings.hosts
            if host.region == region
        ]
        running.isolate(*inside)
        await asyncio.sleep(CUT_S)
        running.heal()
        await asyncio.sleep(2 * PAUSE_S)
    return done


async def watch_indexes(running, seen: list, until: asyncio.Event) -> None:
    """Append the configuration index of each serving host to ``seen``."""
    entries = [host.host for host in running.settings.with_role('entry')]
    while not until.is_set():
        for host in entries:
            status = await running.status(host)
            if status and status['serving']:
                seen.append((host, status['index']))
        await asyncio.sleep(INDEX_POLL_S)


async def change_limits(running, until: asyncio.Event) -> int:
    """Make changes until the event is set; return their number."""
    operator = running.operator()
    count = 0
    while not until.is_set():
        limit = {'team': 'blue', 'requests_per_s': 1 + count, 'burst': 5}
        planned = await operator.plan(
            2 * count, {'type': 'change_limit', 'limit': limit}
        )
        plan = planned.body['answer']['plan']
        await operator.confirm(2 * count + 1, plan)
        count += 1
        await asyncio.sleep(PAUSE_S)
    return count


async def measure(
    folder: pathlib.Path, plan: load.Plan, seed: int
) -> tuple[dict, list[history.RequestRecord]]:
    """Run the load with all faults; return the report and the history."""
    async with fleet.running(folder, deployment(), relays=True) as running:
        await running.wait_voters(3)
        ended = asyncio.Event()
        seen: list[tuple[str, int]] = []
        others = [
            asyncio.create_task(inject_faults(running, seed, ended)),
            asyncio.create_task(watch_indexes(running, seen, ended)),
            asyncio.create_task(change_limits(running, ended)),
        ]
        asked = await load.LoadGenerator(running.settings, plan).run()
        ended.set()
        done, _none, changes = await asyncio.gather(*others)
        runs = await load.collect_runs(running.settings)
        found = load.report(running.settings, asked, runs)
        found['faults'] = done
        found['changes_accepted'] = changes
        found['unhandled_errors'] = sum(
            running.log(host.host).count('event=unhandled_error')
            for host in running.settings.hosts
        )
        found['index_went_back'] = len(history.find_index_regressions(seen))
        return found, asked


async def main() -> None:
    """Run the benchmark and print its report as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', type=float, default=120.0)
    parser.add_argument('--seconds', type=float, default=90.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--history', type=pathlib.Path)
    arguments = parser.parse_args()
    logs.configure('error')
    plan = load.Plan(
        rate_per_s=arguments.rate,
        duration_ms=int(arguments.seconds * 1000),
        seed=arguments.seed,
        deadline_ms=5_000,
    )
    with tempfile.TemporaryDirectory() as name:
        found, asked = await measure(pathlib.Path(name), plan, arguments.seed)
    if arguments.history:
        history.write(arguments.history, asked)
    print(json.dumps(found, indent=2))


if __name__ == '__main__':
    asyncio.run(main())
