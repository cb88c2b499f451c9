"""Measure the overhead of an entry host against direct calls.

    python -m benches.overhead [--count N] [--seconds S]

Calls the same stand-in alternately directly and through one entry host, then
measures the maximum throughput of that host, its CPU time per request and its
memory.
"""

import argparse
import asyncio
import json
import pathlib
import tempfile
import time

from hdrh import histogram

from benches import processes
from tests import fleet
from wrenspoke import ids
from wrenspoke import logs
from wrenspoke.protocol import headers
from wrenspoke.transport import web

WORKERS = 32


async def call(client: web.HttpClient, url: str, echo: bool) -> float:
    """Send one request and return its duration in milliseconds."""
    sent = {headers.REQUEST: ids.new_random_id()}
    if echo:
        sent[headers.ECHOED_REQUEST_ID] = 'direct'
    started = time.perf_counter()
    async with client.send('GET', url, sent) as found:
        await web.read_body(found, 1 << 20)
        assert found.status == 200, found.status
    return (time.perf_counter() - started) * 1000


def percentiles(times_ms: list[float]) -> dict[str, float]:
    """Return percentiles in milliseconds, at microsecond resolution."""
    recorded = histogram.HdrHistogram(1, 60_000_000, 3)
    for time_ms in times_ms:
        recorded.record_value(max(1, int(time_ms * 1000)))
    return {
        f'p{p}_ms': recorded.get_value_at_percentile(p) / 1000
        for p in (50, 99)
    }


async def latency(client, direct: str, through: str, count: int) -> dict:
    """Return latency percentiles of alternating calls to both URLs."""
    times = {'direct': [], 'through': []}
    for _number in range(count):
        times['direct'].append(await call(client, direct, True))
        times['through'].append(await call(client, through, False))
    return {name: percentiles(found) for name, found in times.items()}


async def throughput(client, url: str, seconds: float, pid: int) -> dict:
    """Return the throughput and CPU cost of closed-loop workers."""
    end = time.perf_counter() + seconds
    cpu = processes.cpu_s(pid)
    times = []

    async def work():
        while time.perf_counter() < end:
            times.append(await call(client, url, False))

    started = time.perf_counter()
    await asyncio.gather(*(work() for _number in range(WORKERS)))
    taken_s = time.perf_counter() - started
    used_s = processes.cpu_s(pid) - cpu
    return {
        'requests_per_s': round(len(times) / taken_s, 1),
        'cpu_ms_per_request': round(1000 * used_s / len(times), 3),
        'requests_per_core_s': round(len(times) / used_s, 1),
        **percentiles(times),
    }


async def main() -> None:
    """Run the benchmark and print its result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=2000)
    parser.add_argument('--seconds', type=float, default=5.0)
    arguments = parser.parse_args()
    logs.configure('error')
    made = fleet.deployment(regions=('north',))
    with tempfile.TemporaryDirectory() as name:
        async with fleet.running(pathlib.Path(name), made) as running:
            client = web.HttpClient(1000)
            pid = running.processes['north-1'].pid
            direct = running.endpoint_url('north-records-1') + '/map'
            through = running.url('north-1') + '/services/records/map'
            found = {
                'latency': await latency(
                    client, direct, through, arguments.count
                ),
                'throughput': await throughput(
                    client, through, arguments.seconds, pid
                ),
                'memory_mb': round(processes.memory_mb(pid), 1),
            }
            await client.close()
            print(json.dumps(found, indent=2))


if __name__ == '__main__':
    asyncio.run(main())
