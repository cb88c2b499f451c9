"""Compare the routing policy with baseline policies.

    python -m benches.policy [--seconds S] [--rate R]

Runs three regions with an entry host and three engines each. The engines
differ in price, have small prefix caches and report their load with a delay.
Conditions: steady; one slow engine in each region; one region's engines down
for the middle third of the run and restarted with cold caches.
"""

import argparse
import asyncio
import json
import pathlib
import tempfile

from tests import fleet
from wrenspoke import load
from wrenspoke import logs

REGIONS = ('north', 'centre', 'south')
PRICES = (0.6, 1.0, 1.4)
MODEL = {
    'cold_first_ms': 120,
    'warm_first_ms': 20,
    'token_ms': 8,
    'crowding': 1.0,
    'cached_sessions': 30,
    'report_lag_ms': 700,
}
SLOW_FACTOR = 5.0
VARIANTS = {
    'random': ('random', 1.0, 1.0),
    'round_robin': ('round_robin', 1.0, 1.0),
    'least_reported': ('least_reported', 1.0, 1.0),
    'estimate': ('estimate', 1.0, 1.0),
    'estimate, co-operative': ('estimate', 3.0, 1.0),
    'estimate, resorts': ('estimate', 0.5, 3.0),
}


def deployment(policy: str, cost_weight: float, tail_weight: float) -> dict:
    """Return the deployment of one variant."""
    made = fleet.deployment(
        regions=REGIONS,
        engines=3,
        entry={'policy': policy, 'load_poll_interval_ms': 500},
    )
    for service in made['services']:
        service['cost_weight'] = cost_weight
        service['tail_weight'] = tail_weight
    for endpoint in made['endpoints']:
        number = int(endpoint['endpoint'][-1]) - 1
        endpoint['price_per_mtok'] = PRICES[number]
        endpoint['slots'] = 6
    return made


async def steady(_running, _duration_s: float) -> None:
    """Inject no fault."""


async def one_slow(running, _duration_s: float) -> None:
    """Slow down one engine of each region from the start."""
    for region in REGIONS:
        await running.faults(f'{region}-chat-2', slow_factor=SLOW_FACTOR)


async def region_lost(running, duration_s: float) -> None:
    """Kill a region's engines and restart them with cold caches."""
    await asyncio.sleep(duration_s / 3)
    running.kill('standin-south')
    await asyncio.sleep(duration_s / 3)
    running.start_standins('south')


CONDITIONS = {
    'steady': steady,
    'one slow': one_slow,
    'region lost': region_lost,
}


async def measure(variant: str, condition: str, plan: load.Plan) -> dict:
    """Return the load report of one variant under one condition."""
    with tempfile.TemporaryDirectory() as name:
        made = deployment(*VARIANTS[variant])
        folder = pathlib.Path(name)
        async with fleet.running(folder, made, MODEL) as running:
            change = asyncio.create_task(
                CONDITIONS[condition](running, plan.duration_ms / 1000)
            )
            asked = await load.LoadGenerator(running.settings, plan).run()
            await change
            runs = await load.collect_runs(running.settings)
            return load.report(running.settings, asked, runs)


async def main() -> None:
    """Print a line of JSON for each condition and variant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument('--rate', type=float, default=60.0)
    parser.add_argument('--variant', action='append')
    parser.add_argument('--condition', action='append')
    arguments = parser.parse_args()
    logs.configure('error')
    plan = load.Plan(
        rate_per_s=arguments.rate,
        duration_ms=int(arguments.seconds * 1000),
        sessions=60,
        mix={'chat': 8, 'bound': 1, 'lookup': 1},
    )
    for condition in arguments.condition or CONDITIONS:
        for variant in arguments.variant or VARIANTS:
            found = await measure(variant, condition, plan)
            line = {'condition': condition, 'variant': variant, **found}
            print(json.dumps(line), flush=True)


if __name__ == '__main__':
    asyncio.run(main())
