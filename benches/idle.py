"""Measure the cost of many idle connections to one entry host.

python -m benches.idle [--count N]

Also sends one chat while the connections are open.
"""

import argparse
import asyncio
import json
import pathlib
import tempfile

from benches import processes
from tests import fleet
from wrenspoke import logs

TOGETHER = 100
WATCHED_S = 5.0
CHAT = {'messages': [{'role': 'user', 'content': 'x'}], 'stream': True}


async def main() -> None:
    """Run the benchmark and print its result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=10_000)
    count = parser.parse_args().count
    logs.configure('error')
    made = fleet.deployment(regions=('north',))
    with tempfile.TemporaryDirectory() as name:
        async with fleet.running(pathlib.Path(name), made) as running:
            port = running.settings.host('north-1').http_port
            pid = running.processes['north-1'].pid
            before_mb = processes.memory_mb(pid)
            idle = []
            while len(idle) < count:
                idle += await asyncio.gather(
                    *(
                        asyncio.open_connection('127.0.0.1', port)
                        for _number in range(TOGETHER)
                    )
                )
            result = await running.caller('north-1').chat(CHAT)
            used_s = processes.cpu_s(pid)
            await asyncio.sleep(WATCHED_S)
            used_s = processes.cpu_s(pid) - used_s
            found = {
                'idle_connections': len(idle),
                'memory_before_mb': round(before_mb, 1),
                'memory_mb': round(processes.memory_mb(pid), 1),
                'cpu_percent': round(100 * used_s / WATCHED_S, 2),
                'chat_beside_them': result.outcome,
                'chat_first_ms': result.first_ms,
            }
            print(json.dumps(found, indent=2))
            for _reader, writer in idle:
                writer.close()


if __name__ == '__main__':
    asyncio.run(main())
