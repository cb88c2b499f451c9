"""Requests that share a prompt part which crashes engines.

No two of them are alike, and they reach any host. Sound requests share their
caller, their route and all other parts.
"""

import asyncio

import pytest

from tests import fleet
from tests import test_fatal_requests
from wrenspoke.state import routes

FATAL = test_fatal_requests.FATAL.decode()
COPIES = 16
# Five crashes until the part is known, and three more until all hosts hold it.
MAX_SENDS = 8


async def send_parts(system, number, name, *parts):
    """Send a request with prompt parts of its own body and last part."""
    header = ','.join(f'{part}:100' for part in (*parts, f'own-{name}'))
    return await test_fatal_requests.send_to_entry_host(
        system,
        number % len(system.entries),
        f'body of {name}'.encode(),
        name,
        [f'Wrenspoke-Prompt-Parts: {header}'],
    )


async def restart_engines(system):
    await asyncio.gather(*(one.restart() for one in system.engines))
    await asyncio.sleep(test_fatal_requests.RESEND_INTERVAL_S)


# Engine after engine crashes under requests that share one part only.
@pytest.mark.parametrize(
    'kind', [routes.RouteKind.REPEATABLE, routes.RouteKind.ONCE]
)
async def test_part_that_crashes_engines_reaches_few(tmp_path, kind):
    async with test_fatal_requests.running_system(tmp_path, kind) as system:
        for number in range(COPIES):
            await asyncio.gather(
                send_parts(system, number, f'f{number}', 'first', FATAL),
                send_parts(system, number, f's{number}', 'first', 'sound'),
                send_parts(system, number, f'o{number}', 'other'),
            )
            await restart_engines(system)
        assert len(system.ends) <= MAX_SENDS
        # A sound request is refused for a part that it shares with others.
        for host in range(len(system.entries)):
            got = await send_parts(system, host, f'x{host}', 'first', 'new')
            assert got.endswith(b'whole')


# The same for a message of chats, with and without control hosts.
@pytest.mark.parametrize('controls', [0, 3])
async def test_message_that_crashes_engines_reaches_few(tmp_path, controls):
    made = fleet.deployment(engines=4, controls=controls)

    def chat(*texts):
        messages = [{'role': 'user', 'content': text} for text in texts]
        return {'model': fleet.MODEL, 'messages': messages}

    async with fleet.running(tmp_path, made) as running:
        await running.engine_faults(fatal_text=FATAL, back_after_ms=50)
        callers = [running.caller('north-1'), running.caller('south-1')]
        for number in range(COPIES):
            caller = callers[number % 2]
            await asyncio.gather(
                caller.chat(chat('first', FATAL, f'question {number}')),
                caller.chat(chat('first', 'sound', f'other {number}')),
            )
            await running.wait_standins()
        assert await running.engine_crash_count() <= MAX_SENDS
        for caller in callers:
            found = await caller.chat(chat('first', 'sound', 'last'))
            assert found.outcome == 'whole'
