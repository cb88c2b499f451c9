"""Count attempts at a failing service, with and without a retry owner.

    python -m benches.retries [--count N]

Runs two regions; the services of one fail every request. Requests are sent to
the other region, which forwards them. With `each`, a host that forwarded a
request retries a failure that the next host has already retried; with
`nearest` it does not.
"""

import argparse
import asyncio
import json
import pathlib
import tempfile

from tests import fleet
from wrenspoke import ids
from wrenspoke import logs
from wrenspoke.protocol import headers

BURST = 1_000


async def measure(owner: str, count: int) -> dict:
    """Return the number of attempts per request."""
    made = fleet.deployment(
        entries=3,
        plains=3,
        entry={
            'retry_owner': owner,
            'retry_ratio': 1.0,
            'retry_burst': BURST,
        },
    )
    with tempfile.TemporaryDirectory() as name:
        async with fleet.running(pathlib.Path(name), made) as running:
            for number in (1, 2, 3):
                await running.faults(f'south-records-{number}', status=500)
            caller = running.caller('north-1')
            asked = []
            for _number in range(count):
                request = ids.new_random_id()
                asked.append(request)
                await caller.call(
                    'GET',
                    'records',
                    '/member/1',
                    {headers.REQUEST: request, headers.HOME: 'south'},
                )
            runs = await running.all_runs('records')
            sends = [len(runs.get(request, [])) for request in asked]
            return {
                'retry_owner': owner,
                'requests': count,
                'attempts': sum(sends),
                'attempts_per_request': sum(sends) / count,
                'highest': max(sends),
            }


async def main() -> None:
    """Print a line of JSON for each setting of the retry owner."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=100)
    arguments = parser.parse_args()
    logs.configure('error')
    for owner in ('each', 'nearest'):
        found = await measure(owner, arguments.count)
        print(json.dumps(found), flush=True)


if __name__ == '__main__':
    asyncio.run(main())
