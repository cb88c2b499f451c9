"""Connections leave descriptors to links, and a shortage blames nobody."""

import asyncio
import contextlib
import errno

from aiohttp import web as aiohttp_web
import pytest
import structlog

from tests import loops
from tests import nodes
from tests import test_passing
from wrenspoke.state import routes
from wrenspoke.transport import connector
from wrenspoke.transport import descriptors
from wrenspoke.transport import errors
from wrenspoke.transport import web

event_loop_policy = loops.event_loop_policy
system = test_passing.system
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
LIMIT = 100


def budget(accepted=0, opened=0, limit=LIMIT):
    """Return a budget with numbers of connections."""
    found = descriptors.DescriptorBudget(limit)
    found.add_accepted('callers', lambda: accepted)
    found.add_opened('endpoints', lambda: opened)
    return found


@pytest.mark.parametrize(
    'accepted, opened, may_open, too_many',
    [
        (0, 0, True, False),
        (35, 0, True, False),
        (36, 0, True, True),
        (30, 49, True, False),
        (30, 50, False, False),
        (30, 51, False, True),
        (0, 80, False, False),
    ],
)
def test_connections_leave_descriptors_to_links(
    accepted, opened, may_open, too_many
):
    found = budget(accepted, opened)
    assert found.may_open() == may_open
    assert found.has_accepted_too_many() == too_many


def test_budget_keeps_to_the_limit_of_the_process():
    unlimited = descriptors.DescriptorBudget()
    assert descriptors.DescriptorBudget(10**9).limit == unlimited.limit
    assert descriptors.DescriptorBudget(7).limit == 7


class Server:
    """A server whose handler answers once it is let."""

    def __init__(self, limit):
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.budget = descriptors.DescriptorBudget(limit)
        self.server = web.LowLevelServer(
            self.handle, 60_000, budget=self.budget
        )
        self.budget.add_accepted('callers', self.server.count_connections)
        [self.port] = web.free_ports(1)
        self.writers = []

    async def handle(self, _request):
        await self.may_answer.wait()
        return aiohttp_web.Response(text='answer')

    async def open(self):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.writers.append(writer)
        return reader, writer


@contextlib.asynccontextmanager
async def serving(limit):
    made = Server(limit)
    await made.server.start(f'127.0.0.1:{made.port}')
    try:
        yield made
    finally:
        for writer in made.writers:
            writer.close()
        await made.server.close()


async def ask(reader, writer):
    """Send a request; return its response, or b'' if the server closed."""
    try:
        writer.write(REQUEST)
        return await reader.readuntil(b'answer')
    except (asyncio.IncompleteReadError, ConnectionError):
        return b''


async def test_longest_idle_connection_gives_way():
    """Guards against idle callers that use up the descriptors."""
    async with serving(limit=10) as running:
        kept = []
        for _number in range(6):
            ends = await running.open()
            assert await ask(*ends)
            kept.append(ends)
            await nodes.until(lambda: running.server.count_connections() <= 3)
        answers = [await ask(*ends) for ends in kept]
        assert [bool(answer) for answer in answers] == [False] * 3 + [True] * 3


async def test_busy_connections_are_kept_and_a_new_one_is_reset():
    """Guards against a caller that is accepted and can't be served."""
    async with serving(limit=10) as running:
        running.may_answer.clear()
        busy = [await running.open() for _number in range(3)]
        asked = [asyncio.create_task(ask(*ends)) for ends in busy]
        await nodes.until(
            lambda: (
                all(
                    handler._current_request is not None
                    for handler in running.server._server.connections
                )
                and running.server.count_connections() == 3
            )
        )
        assert not await ask(*await running.open())
        running.may_answer.set()
        assert all(await asyncio.gather(*asked))


async def fetch(client, port):
    url = f'http://127.0.0.1:{port}/'
    async with client.send('GET', url, {}) as response:
        return await web.read_body(response, 100)


def use_up(monkeypatch):
    monkeypatch.setattr(
        descriptors.DescriptorBudget, 'may_open', lambda _self: False
    )


def exhaust(monkeypatch):
    def fail(*_arguments, **_named):
        raise OSError(errno.EMFILE, 'Too many open files')

    # Called for each socket that is created.
    monkeypatch.setattr(connector, 'enable_keepalive', fail)


@pytest.mark.parametrize('take', [use_up, exhaust])
async def test_request_without_a_descriptor_is_not_sent(monkeypatch, take):
    async with serving(LIMIT) as running:
        with monkeypatch.context() as patch:
            take(patch)
            client = web.HttpClient(
                1_000, budget=descriptors.DescriptorBudget(LIMIT)
            )
            with pytest.raises(errors.NoDescriptorError):
                await fetch(client, running.port)
            await client.close()
        client = web.HttpClient(1_000)
        assert await fetch(client, running.port) == b'answer'
        await client.close()


@pytest.mark.parametrize('kind', list(routes.RouteKind))
@pytest.mark.parametrize('take', [use_up, exhaust])
async def test_call_without_a_descriptor_ejects_no_endpoint(
    system, monkeypatch, take, kind
):
    """Guards against a host that takes its own shortage for failures."""
    await system.put(test_passing.route(kind))
    endpoint = await system.add(
        'e', lambda sent, _number: [test_passing.answer(sent)]
    )
    with monkeypatch.context() as patch:
        take(patch)
        with structlog.testing.capture_logs() as logs:
            refused = await system.ask(test_passing.request())
    assert refused.startswith(b'HTTP/1.1 503 ')
    assert b'\r\nRetry-After: ' in refused
    # The call is rejected at once, not tried again without a descriptor.
    events = [log['event'] for log in logs]
    assert events.count('no_descriptor') == 1
    assert not endpoint.requests
    served = await system.ask(test_passing.request(request_id='q2'))
    assert served.startswith(b'HTTP/1.1 200 ')
