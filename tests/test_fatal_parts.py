"""Requests that share a prompt part which crashes engines.

No two of them are alike, and they reach any host. Sound requests share their
caller, their route and all other parts.
"""

import asyncio

import pytest

from tests import endpoints
from tests import fleet
from tests import test_fatal_requests
from tests import test_passing
from wrenspoke.state import routes

FATAL = test_fatal_requests.FATAL.decode()
COPIES = 16
# Five crashes until the part is known, and three more until all hosts hold it.
MAX_SENDS = 8


class OrderlyCrashingEngine(test_fatal_requests.CrashingEngine):
    """Engine whose crash looks like the end of an answer.

    It answers with a body that only the connection delimits. Its connections
    end in order, as the kernel ends those of a killed process.
    """

    content_type = b'text/plain'
    piece = b'piece'

    def _answer(self, sent, _number):
        if FATAL.encode() not in sent:
            yield test_passing.answer(sent)
            return
        self._crashes.append(sent)
        self.crashed = True
        yield (
            b'HTTP/1.1 200 OK\r\nContent-Type: '
            + self.content_type
            + b'\r\n'
            + endpoints.echo_header(sent, test_passing.ID)
            + b'\r\n'
            + self.piece
        )
        self._endpoint.end_all()
        yield endpoints.ScriptedEndpoint.CLOSE


class OrderlyCrashingStreamEngine(OrderlyCrashingEngine):
    """The same with a whole event, after which a stream may end."""

    content_type = b'text/event-stream'
    piece = b'id: 1\ndata: a\n\n'


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


# A crash that looks like an answer clears what crashed the engine.
@pytest.mark.parametrize(
    'engine_type', [OrderlyCrashingEngine, OrderlyCrashingStreamEngine]
)
@pytest.mark.parametrize('whole', [True, False])
async def test_crash_that_looks_like_an_answer_counts(
    tmp_path, engine_type, whole
):
    running = test_fatal_requests.running_system(
        tmp_path, routes.RouteKind.STREAM, engine_type
    )
    async with running as system:
        for number in range(COPIES):
            if whole:
                await test_fatal_requests.send_to_entry_host(
                    system, number % 4, FATAL.encode(), f'f{number}'
                )
            else:
                await send_parts(system, number, f'f{number}', 'first', FATAL)
            await restart_engines(system)
        limit = test_fatal_requests.MAX_SENDS if whole else MAX_SENDS
        assert len(system.ends) <= limit
