"""Send a prompt that crashes engines along with ordinary prompts.

    python -m benches.fatal_prompt [--controls N]

Runs two regions with an entry host and four engines each. The prompt crashes
an engine 50 ms after the engine starts on it; the engine restarts 2 s later.
It is sent 14 times in 14 s, alternately to both hosts, along with 56 distinct
and 56 identical ordinary prompts. Prints the number of crashes and the
outcomes of each kind of prompt.
"""

import argparse
import asyncio
import collections
import pathlib
import tempfile

from tests import fleet

FATAL = 'fatal prompt'
FATAL_AFTER_MS = 50
BACK_AFTER_MS = 2_000
INTERVAL_S = 0.25
PROMPTS = 56
# Number of ordinary prompts per fatal one.
FATAL_EVERY = 4


def chat(text: str) -> dict:
    """Return the body of a chat request."""
    message = {'role': 'user', 'content': text}
    return {'model': fleet.MODEL, 'messages': [message]}


async def play(controls: int, folder: pathlib.Path) -> None:
    """Run the hosts, send the prompts and print crashes and outcomes."""
    made = fleet.deployment(engines=4, controls=controls)
    ended: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    async with fleet.running(folder, made) as running:
        await running.engine_faults(
            fatal_text=FATAL,
            fatal_after_ms=FATAL_AFTER_MS,
            back_after_ms=BACK_AFTER_MS,
        )
        callers = [running.caller('north-1'), running.caller('south-1')]

        async def ask(kind: str, number: int, text: str) -> None:
            found = await callers[number % 2].chat(chat(text))
            ended[kind][f'{found.outcome} {found.reason}'.strip()] += 1

        async with asyncio.TaskGroup() as asked:
            for number in range(PROMPTS):
                turn, rest = divmod(number, FATAL_EVERY)
                if not rest:
                    asked.create_task(ask('fatal', turn, FATAL))
                text = f'ordinary {number}'
                asked.create_task(ask('ordinary', number, text))
                asked.create_task(ask('same', number, 'the same'))
                await asyncio.sleep(INTERVAL_S)
        await running.wait_standins()
        ends = await running.engine_crash_count()
    print(f'engines ended: {ends}')
    for kind, counts in sorted(ended.items()):
        print(f'{kind}: {dict(counts)}')


def main() -> None:
    """Parse the arguments and run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--controls', type=int, default=3)
    controls = parser.parse_args().controls
    with tempfile.TemporaryDirectory() as name:
        asyncio.run(play(controls, pathlib.Path(name)))


if __name__ == '__main__':
    main()
