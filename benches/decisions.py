"""Check for lost changes and stale orders under control host faults.

    python -m benches.decisions [--changes N] [--freeze-seconds S]

Runs three control hosts. The first part makes sequential changes, kills a
random voter with SIGKILL every 25 changes and restarts it, then restarts all
voters and counts the changes that each of them has. The second part suspends
a leader while it loads models, at engines that check fencing numbers and at
engines that do not, resumes it after another leader has taken over, and reads
the orders that each engine executed.
"""

import argparse
import asyncio
import json
import pathlib
import random
import tempfile

from tests import fleet
from tests import test_control
from wrenspoke import logs

KILL_EVERY = 25
SETTLE_S = 2.0


async def accept(changes: int) -> dict:
    """Make changes while voters are killed; count those each voter has."""
    chance = random.Random(1)
    made = fleet.deployment(
        regions=('north',), controls=3, control={'snapshot_entries': 200}
    )
    with tempfile.TemporaryDirectory() as name:
        async with fleet.running(pathlib.Path(name), made) as running:
            await running.wait_voters(3)
            operator = running.operator()
            kills = 0
            for number in range(changes):
                if number % KILL_EVERY == KILL_EVERY - 1:
                    victim = chance.choice(test_control.CONTROLS)
                    running.kill(victim)
                    running.start_control(victim)
                    kills += 1
                intent = test_control.limit_intent(
                    f'team-{number}', number + 1
                )
                answer = await test_control.apply_intent(
                    operator, 2 * number, intent
                )
                assert answer.status == 200, answer
            for host in test_control.CONTROLS:
                running.kill(host)
            for host in test_control.CONTROLS:
                running.start_control(host)
            await running.leader()
            await asyncio.sleep(SETTLE_S)
            held = {
                host: len(await test_control.limits_by_team(running, host))
                for host in test_control.CONTROLS
            }
            return {'accepted': changes, 'kills': kills, 'held': held}


async def freeze(seconds: float) -> dict:
    """Suspend a leader while it issues orders, then resume it."""
    made = fleet.deployment(
        regions=('north',),
        engines=6,
        controls=3,
        control={'weight_loads_per_minute': 30},
    )
    for number, endpoint in enumerate(made['endpoints']):
        endpoint['fenced'] = number % 2 == 0
    with tempfile.TemporaryDirectory() as name:
        async with fleet.running(pathlib.Path(name), made) as running:
            await running.wait_voters(3)
            operator = running.operator()
            for number in range(1, 7):
                intent = {
                    'type': 'load_model',
                    'endpoint': f'north-chat-{number}',
                    'model': 'small-2',
                }
                await test_control.apply_intent(operator, 10 * number, intent)
            old = await running.leader()
            await asyncio.sleep(1)
            running.freeze(old)
            await asyncio.sleep(seconds)
            before = await all_orders(running)
            running.thaw(old)
            await asyncio.sleep(SETTLE_S)
            after = await all_orders(running)
            return {
                'frozen_s': seconds,
                'engines_with_the_model': sum(
                    bool(orders) for orders in after.values()
                ),
                'orders_after_it_woke': sum(
                    len(after[name]) - len(before[name]) for name in after
                ),
                'out_of_order': sum(
                    orders != sorted(orders) for orders in after.values()
                ),
            }


async def all_orders(running) -> dict[int, list[int]]:
    """Return the fencing numbers of the orders each engine executed."""
    return {
        number: await test_control.fencing_numbers(running, number)
        for number in range(1, 7)
    }


async def main() -> None:
    """Run both parts and print their results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=500)
    parser.add_argument('--freeze-seconds', type=float, default=30.0)
    arguments = parser.parse_args()
    logs.configure('error')
    print(json.dumps(await accept(arguments.changes)), flush=True)
    print(json.dumps(await freeze(arguments.freeze_seconds)), flush=True)


if __name__ == '__main__':
    asyncio.run(main())
