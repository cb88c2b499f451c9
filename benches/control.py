"""Measure the propagation of changes and the cost of idle daemons.

    python -m benches.control [--changes N] [--idle-seconds S]

Runs three control hosts and nine entry hosts in three regions at the default
intervals. Prints the time until all entry hosts have applied a change, from
its confirmation and from the kill of a leader just before it, and the CPU
time, link bytes and memory of each host without requests.
"""

import argparse
import asyncio
import json
import pathlib
import statistics
import tempfile
import time

from benches import processes
from tests import fleet
from wrenspoke import caller as callers
from wrenspoke import logs
from wrenspoke import settings
from wrenspoke.transport import web

POLL_S = 0.01
REGIONS = ('north', 'centre', 'south')


def deployment() -> dict:
    """Return a deployment of nine entry hosts at default intervals."""
    made = fleet.deployment(regions=REGIONS, entries=3, engines=2, controls=3)
    for section in ('entry', 'control', 'ledger'):
        made[section] = {}
    return made


async def in_force_ms(running, entries, index: int) -> float:
    """Return the time until every entry host has an index, in ms."""
    started = time.perf_counter()
    waiting = dict(entries)
    while waiting:
        for host, caller in list(waiting.items()):
            status = await caller.get('/status')
            if status['index'] >= index:
                del waiting[host]
        await asyncio.sleep(POLL_S)
    return (time.perf_counter() - started) * 1000


async def change(operator, number: int) -> tuple[int, float]:
    """Make one change; return its index and the time to confirm, in ms."""
    limit = {'team': 'blue', 'requests_per_s': number + 1, 'burst': 5}
    planned = await operator.plan(
        2 * number, {'type': 'change_limit', 'limit': limit}
    )
    plan = planned.body['answer']['plan']
    started = time.perf_counter()
    confirmed = await operator.confirm(2 * number + 1, plan)
    taken_ms = (time.perf_counter() - started) * 1000
    return confirmed.body['answer']['index'], taken_ms


def summary(times_ms: list[float]) -> dict[str, float]:
    """Return the count, median and maximum of some durations."""
    return {
        'count': len(times_ms),
        'p50_ms': round(statistics.median(times_ms), 1),
        'max_ms': round(max(times_ms), 1),
    }


async def link_bytes(running, host: str) -> int:
    """Return the bytes that an entry host has sent and received on links."""
    client = web.HttpClient(1000)
    try:
        url = running.url(host) + '/metrics'
        async with client.send('GET', url, {}) as found:
            body = (await web.read_body(found, 1 << 20)).decode()
    finally:
        await client.close()
    return sum(
        int(float(line.split()[-1]))
        for line in body.splitlines()
        if line.startswith('wrenspoke_link_')
    )


async def idle(running, seconds: float) -> dict:
    """Return CPU, memory and link traffic of each host without requests."""
    entries = [host.host for host in running.settings.with_role('entry')]
    names = entries + ['control-1', 'control-2', 'control-3']
    cpu = {
        name: processes.cpu_s(running.processes[name].pid) for name in names
    }
    sent = {name: await link_bytes(running, name) for name in entries}
    await asyncio.sleep(seconds)
    found = {}
    for name in names:
        pid = running.processes[name].pid
        used_s = processes.cpu_s(pid) - cpu[name]
        found[name] = {
            'cpu_percent': round(100 * used_s / seconds, 2),
            'memory_mb': round(processes.memory_mb(pid), 1),
        }
        if name in sent:
            grown = await link_bytes(running, name) - sent[name]
            found[name]['link_bytes_per_s'] = round(grown / seconds, 1)
    return found


async def main() -> None:
    """Run the benchmark and print its result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=20)
    parser.add_argument('--elections', type=int, default=3)
    parser.add_argument('--idle-seconds', type=float, default=20.0)
    arguments = parser.parse_args()
    logs.configure('error')
    with tempfile.TemporaryDirectory() as name:
        async with fleet.running(pathlib.Path(name), deployment()) as running:
            await running.wait_voters(3)
            print(json.dumps(await measure(running, arguments), indent=2))


async def measure(running, arguments: argparse.Namespace) -> dict:
    """Return the figures of idle hosts, changes and elections."""
    found = {'idle': await idle(running, arguments.idle_seconds)}
    entries = {
        host.host: callers.Caller([running.url(host.host)])
        for host in running.settings.with_role('entry')
    }
    operator = running.operator()
    steady, confirms = [], []
    for number in range(arguments.changes):
        index, taken_ms = await change(operator, number)
        confirms.append(taken_ms)
        steady.append(await in_force_ms(running, entries, index))
    after = []
    for number in range(arguments.elections):
        leader = await running.leader()
        running.kill(leader)
        started = time.perf_counter()
        index, _taken_ms = await change(operator, arguments.changes + number)
        await in_force_ms(running, entries, index)
        after.append((time.perf_counter() - started) * 1000)
        running.start_control(leader)
        await running.wait_voters(3)
        await asyncio.sleep(settings.ControlSettings().election_timeout_ms
                            / 1000)  # fmt: skip
    for caller in entries.values():
        await caller.close()
    found['confirm'] = summary(confirms)
    found['in_force_steady'] = summary(steady)
    found['kill_of_leader_to_in_force'] = summary(after)
    return found


if __name__ == '__main__':
    asyncio.run(main())
