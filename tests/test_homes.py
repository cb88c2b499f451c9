"""A call is never sent outside its route's home regions.

The homes in force when the call is sent count, not those in force when it
arrived or when its destination was selected.
"""

import asyncio

import pytest

from tests import endpoints
from tests import nodes
from tests import test_far
from tests import test_passing
from wrenspoke.state import routes

answer = test_passing.answer
request = test_passing.request
system = test_far.system
POST = 'POST /a/x HTTP/1.1'
BODY = b'a prompt'


def start_request(system, **changes):
    """Start a request with a body at the north's host."""
    headers = [f'Content-Length: {len(BODY)}', *changes.pop('headers', ())]
    sent = request(POST, headers, BODY, **changes)
    return asyncio.ensure_future(endpoints.send_raw(system.north, sent))


def record_forwarded_bodies(monkeypatch, *entries):
    """Return a list that collects the bodies forwarded to hosts."""
    taken = []

    def watch(entry):
        serve = entry.passthrough.serve

        async def note(call, reply, hop):
            if hop is not None:
                taken.append(call.body)
            await serve(call, reply, hop)

        monkeypatch.setattr(entry.passthrough, 'serve', note)

    for entry in entries:
        watch(entry)
    return taken


class HoldingEndpoint:
    """Endpoint that pauses in its response until the test continues it.

    Runs in the same loop as the hosts.
    """

    def __init__(self, *pieces):
        self.pieces = pieces
        self.asked = asyncio.Event()
        self.go_on = asyncio.Event()
        self.requests = []
        self.address = ''

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def _serve(self, reader, writer):
        sent = await endpoints.read_request(reader)
        self.requests.append(sent)
        before, after = self.pieces[0](sent)
        writer.write(before)
        self.asked.set()
        await self.go_on.wait()
        writer.write(after)
        await writer.drain()
        writer.transport.abort()

    async def close(self):
        self._server.close()


def failure(sent):
    """Return a server error, which is retried elsewhere."""
    return b'', answer(sent, status='500 Failed')


def broken_stream(sent):
    """Return a stream that breaks off after its first event."""
    head, event = test_passing.chunked(sent, b'id: 1\ndata: a\n\n')
    return head + event, b''


def whole_answer(sent, _number):
    """Return a whole answer."""
    return [answer(sent)]


def rest_of_stream(sent, _number):
    """Return the last event of a stream."""
    event = b'id: 2\ndata: b\n\n'
    return [*test_passing.chunked(sent, event), test_passing.END]


KINDS = {
    'repeat': (routes.RouteKind.REPEATABLE, failure, whole_answer, {}),
    'resume': (
        routes.RouteKind.STREAM,
        broken_stream,
        rest_of_stream,
        {'resumable': True},
    ),
}


@pytest.mark.parametrize(
    'homes, tries',
    [((), 1), (('north', 'south'), 1), (('north',), 0), (('west',), 0)],
    ids=['anywhere', 'there too', 'here only', 'elsewhere'],
)
@pytest.mark.parametrize('kind', KINDS)
async def test_later_attempt_uses_the_homes_in_force_then(
    system, kind, homes, tries, monkeypatch
):
    """The homes change while the first endpoint serves the call."""
    route_kind, script, second_script, changes = KINDS[kind]

    def route(**more):
        return test_passing.route(
            route_kind, attempts_limit=3, **changes, **more
        )

    await system.put(route())
    first = await HoldingEndpoint(script).start()
    await system.register('e1', first)
    there = await system.add('e2', 'south-hall', second_script)
    await test_far.wait_for_pongs(system)
    taken = record_forwarded_bodies(monkeypatch, *system.entries[1:])
    asked = start_request(system)
    await asyncio.wait_for(first.asked.wait(), nodes.WAIT_S)
    await system.put(route(homes=homes))
    first.go_on.set()
    await asked
    assert taken == [BODY] * tries
    assert len(there.requests) == tries
    await first.close()


async def test_homes_are_checked_again_once_connected(system, monkeypatch):
    """The homes change during the connect to the south."""

    def route(**more):
        return test_passing.route(routes.RouteKind.ONCE, **more)

    await system.put(route(homes=('south',)))
    here = await system.add('e1', 'north-hall')
    there = await system.add('e2', 'south-hall')
    await test_far.wait_for_pongs(system)
    north = system.entries[0]
    taken = record_forwarded_bodies(monkeypatch, *system.entries[1:])
    connector = north._hosts_client._pooled.connector
    connect = connector._create_connection

    async def connect_late(*arguments):
        made = await connect(*arguments)
        await system.put(route(homes=('north',)))
        return made

    monkeypatch.setattr(connector, '_create_connection', connect_late)
    got = await start_request(system)
    assert taken == [] and there.requests == []
    # The call was not run, so the new homes may serve it.
    assert got.endswith(b'whole') and len(here.requests) == 1


@pytest.mark.parametrize(
    'homes', [('south', 'north'), ('north',)], ids=['through', 'to']
)
async def test_relay_uses_the_homes_in_force_then(system, monkeypatch, homes):
    """The homes change during the connect to the relay in the west."""
    await system.put(test_far.route())
    there = await system.add('e2', 'south-hall')
    west = await test_far.cut_north_from_south(system, monkeypatch)
    connector = system.entries[0]._hosts_client._pooled.connector
    connect = connector._create_connection
    taken = record_forwarded_bodies(monkeypatch, west)

    async def connect_late(*arguments):
        made = await connect(*arguments)
        await system.put(test_far.route(homes=homes))
        return made

    monkeypatch.setattr(connector, '_create_connection', connect_late)
    got = await start_request(system)
    assert got.startswith(b'HTTP/1.1 503 ')
    assert taken == [] and there.requests == []


async def test_relay_host_applies_its_own_newer_homes(system, monkeypatch):
    """The first host has not received the change."""
    await system.put(test_far.route())
    there = await system.add('e2', 'south-hall')
    west = await test_far.cut_north_from_south(system, monkeypatch)
    north = system.entries[0]
    held = north.replica.current
    monkeypatch.setattr(north.replica, 'apply_delta', lambda _delta: False)
    leader = await system.leader()
    table = routes.RouteTable(
        held.routes.version + 1,
        (test_far.route(homes=('north', 'west')),),
        held.routes.services,
        digest='newer',
    )
    await leader.decisions.replace_routes(table)
    await nodes.until(lambda: west.replica.current.routes.version > 1)
    got = await start_request(system)
    assert got.startswith(b'HTTP/1.1 503 ')
    assert there.requests == []
