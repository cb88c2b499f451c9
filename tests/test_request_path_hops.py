"""Hops between regions: warm connections, round trips, learned overhead."""

import asyncio
import contextlib

import msgspec
import pytest

from tests import endpoints
from tests import loops
from tests import nodes
from tests import test_far
from tests import test_passing
from wrenspoke.coordination.membership import region_views
from wrenspoke.coordination.membership import warm_connections
from wrenspoke.coordination.serving import hop_times
from wrenspoke import entry_node
from wrenspoke import node as settings
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import messages
from wrenspoke.protocol import passthrough_api
from wrenspoke.standin import relay
from wrenspoke.transport import connector
from wrenspoke.transport import errors
from wrenspoke.transport import web

ENABLED = {'request_path': settings.RequestPathSettings(enabled=True)}


event_loop_policy = loops.event_loop_policy


class FakeClock:
    """A clock that only the test moves."""

    def __init__(self):
        self.now_ms = 0

    def mono_ms(self):
        return self.now_ms


class FakePool:
    """Counts connections without a network; ``fails`` refuses new ones."""

    def __init__(self):
        self.idle = {}
        self.opened = 0
        self.fails = False

    def set_take_listener(self, on_take):
        self.on_take = on_take

    def count_idle(self, address, left_ms):
        return self.idle.get(address, 0)

    async def open_idle(self, address):
        if self.fails:
            raise errors.NotSentError('refused')
        self.opened += 1
        self.idle[address] = self.idle.get(address, 0) + 1

    def close_idle(self, address):
        self.idle.pop(address, None)

    def take(self, address):
        """Take a connection as a call does; return whether one was idle."""
        found = bool(self.idle.get(address))
        if found:
            self.idle[address] -= 1
        self.on_take(address, found)
        return found


class FakeTargets:
    """Lists the hosts of the test's choice."""

    def __init__(self, *names):
        self.names = list(names)
        self.lost = set()
        self.regions = {}

    def forwarding_targets(self):
        return [
            discovery_messages.HostRecord(
                name,
                self.regions.get(name, 'south'),
                'hall',
                '',
                f'{name}:1',
                'i',
                0,
                False,
            )
            for name in self.names
        ]

    def is_lost(self, host):
        return host in self.lost


def build(pool, targets, clock, limit=8):
    return warm_connections.WarmConnections(pool, targets, limit, clock)


async def settle():
    """Let tasks that wait for nothing run to their end."""
    for _turn in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    'bursts, wanted',
    [
        ([0], 3),
        ([1, 1, 1], 3),
        ([3], 3),
        ([4], 6),
        ([4, 7], 8),
        ([9, 9, 9, 9], 8),
    ],
    ids=[
        'no call yet',
        'a call now and then',
        'a burst of as many as are kept',
        'a burst of one more',
        'two growing bursts',
        'bursts beyond the bound',
    ],
)
async def test_spares_follow_the_bursts_of_calls(bursts, wanted):
    pool, clock = FakePool(), FakeClock()
    warm = build(pool, FakeTargets('h'), clock)
    warm.check()
    await settle()
    for size in bursts:
        for _call in range(size):
            pool.take('h:1')
        await settle()
    assert pool.idle['h:1'] == wanted


async def test_spares_shrink_while_calls_find_one():
    pool, clock = FakePool(), FakeClock()
    warm = build(pool, FakeTargets('h'), clock)
    warm.check()
    await settle()
    for _call in range(5):
        pool.take('h:1')
    await settle()
    assert pool.idle['h:1'] == 8
    clock.now_ms = 10 * warm_connections.SHRINK_INTERVAL_MS
    pool.idle.clear()
    warm.check()
    await settle()
    assert pool.idle['h:1'] == warm_connections.MIN_SPARES


async def test_burst_prepares_the_other_target_of_its_region():
    """Calls are spread over both, so the next ones meet the other."""
    pool, clock = FakePool(), FakeClock()
    targets = FakeTargets('h', 'next', 'far')
    targets.regions['far'] = 'west'
    warm = build(pool, targets, clock)
    warm.check()
    await settle()
    for _call in range(warm_connections.MIN_SPARES + 1):
        pool.take('h:1')
    await settle()
    assert pool.idle['next:1'] == 2 * warm_connections.MIN_SPARES
    assert pool.idle['far:1'] == warm_connections.MIN_SPARES


@pytest.mark.parametrize('targets', [2, 36, 100])
async def test_spares_of_a_host_are_bounded(targets):
    pool, clock = FakePool(), FakeClock()
    names = [f'h{number}' for number in range(targets)]
    warm = build(pool, FakeTargets(*names), clock)
    warm.check()
    await settle()
    for name in names:
        for _call in range(20):
            pool.take(f'{name}:1')
    await settle()
    bound = max(warm_connections.MAX_SPARES_OF_HOST, targets)
    assert sum(pool.idle.values()) <= bound


@pytest.mark.parametrize(
    'is_lost, kept',
    [(True, 0), (False, warm_connections.MIN_SPARES)],
    ids=['silent host', 'host is no target any more'],
)
async def test_connections_to_a_silent_host_are_closed(is_lost, kept):
    pool, clock = FakePool(), FakeClock()
    targets = FakeTargets('h', 'other')
    warm = build(pool, targets, clock)
    warm.check()
    await settle()
    targets.names.remove('h')
    if is_lost:
        targets.lost.add('h')
    warm.check()
    await settle()
    assert pool.idle.get('h:1', 0) == kept
    assert pool.idle['other:1'] == warm_connections.MIN_SPARES


async def test_refused_connections_are_tried_again_at_the_next_check():
    pool, clock = FakePool(), FakeClock()
    pool.fails = True
    warm = build(pool, FakeTargets('h'), clock)
    warm.check()
    await settle()
    assert not pool.opened
    pool.fails = False
    warm.check()
    await settle()
    assert pool.idle['h:1'] == warm_connections.MIN_SPARES


@contextlib.asynccontextmanager
async def serving():
    """Serve requests and count the accepted connections."""
    accepted = []

    async def accept(reader, writer):
        accepted.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await endpoints.read_request(reader)
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'127.0.0.1:{port}', accepted
    finally:
        for writer in accepted:
            writer.close()
        server.close()


async def ask(client, address):
    """Send one request and read its response."""
    async with client.send_verbatim('GET', address, '/', [], None) as got:
        await web.read_body(got, 100)


async def test_request_uses_a_connection_that_was_opened_before():
    async with serving() as (address, accepted):
        client = web.HttpClient(1_000)
        taken = []
        client.set_take_listener(lambda *found: taken.append(found))
        await client.open_idle(address)
        assert client.count_idle(address, 0) == 1
        assert client.count_idle(address, web.IDLE_TIMEOUT_MS + 1) == 0
        await ask(client, address)
        await nodes.until(lambda: len(accepted) == 1)
        assert taken == [(address, True)]
        client.close_idle(address)
        assert client.count_idle(address, 0) == 0
        await ask(client, address)
        assert taken[1:] == [(address, False)] and len(accepted) == 2
        await client.close()


async def test_connection_that_acknowledges_no_probes_is_not_used(monkeypatch):
    """A request on it would hang until the kernel gives up on its bytes."""
    async with serving() as (address, accepted):
        client = web.HttpClient(1_000)
        await client.open_idle(address)
        monkeypatch.setattr(connector, 'SILENCE_LIMIT_MS', -1)
        assert client.count_idle(address, 0) == 0
        await client.open_idle(address)
        await ask(client, address)
        await nodes.until(lambda: len(accepted) == 3)
        await client.close()


async def test_idle_connection_of_a_live_peer_stays_usable():
    """The peer's kernel acknowledges probes, so its silence stays short."""
    async with serving() as (address, accepted):
        client = web.HttpClient(1_000)
        await client.open_idle(address)
        await asyncio.sleep(connector.SILENCE_LIMIT_MS / 1000 + 1)
        assert client.count_idle(address, 0) == 1
        await client.close()


async def test_no_connection_to_a_closed_port():
    client = web.HttpClient(1_000)
    (port,) = web.free_ports(1)
    with pytest.raises(errors.NotSentError):
        await client.open_idle(f'127.0.0.1:{port}')
    await client.close()


class Link:
    """A relay before the hosts of the south, and what runs there."""

    def __init__(self, system, south_relay, endpoint):
        self.system = system
        self.relay = south_relay
        self.endpoint = endpoint

    async def send(self, request_id='q1', line='POST /a/x HTTP/1.1'):
        """Send a call to the north's host, and return its response."""
        return await endpoints.send_raw(
            self.system.entries[0].node.callers_address,
            test_passing.request(line, request_id=request_id),
        )


@contextlib.asynccontextmanager
async def linked(folder, monkeypatch, changes, relay_type=relay.Relay):
    """Run a host in the north and one in the south, behind a relay."""
    (port,) = web.free_ports(1)
    south_relay = relay_type('', 0)
    build_record = entry_node.EntryNode._record

    def record(self):
        found = build_record(self)
        if self.node.region != 'south':
            return found
        south_relay._target = (self.node.ip, self.node.passing_port)
        return msgspec.structs.replace(
            found, passing_address=f'127.0.0.1:{port}'
        )

    monkeypatch.setattr(entry_node.EntryNode, '_record', record)
    endpoint = await endpoints.ScriptedEndpoint(
        lambda sent, _number: [test_passing.answer(sent)]
    ).start()
    await south_relay.start(port)
    system = nodes.Nodes(folder)
    system.changes = changes
    try:
        await system.start()
        await system.start_entry('south-hall')
        await system.put(test_passing.route())
        await system.register('e', endpoint, data_centre='south-hall')
        await test_far.wait_for_pongs(system)
        yield Link(system, south_relay, endpoint)
    finally:
        await system.close()
        await south_relay.close()
        await endpoint.close()


@pytest.mark.parametrize(
    'changes, round_trips',
    [({}, 2), (ENABLED, 1)],
    ids=['connection opened by the call', 'connection opened before'],
)
async def test_first_call_of_a_pair_of_hosts_takes_one_round_trip(
    tmp_path, monkeypatch, changes, round_trips
):
    async with linked(tmp_path, monkeypatch, changes) as link:
        if changes:
            await nodes.until(
                lambda: link.relay.connections >= warm_connections.MIN_SPARES
            )
        before = link.relay.round_trips
        opened = link.relay.connections
        assert (await link.send()).endswith(b'whole')
        # Replacements are opened beside the call, which waits for none.
        waited = link.relay.round_trips - before
        waited -= link.relay.connections - opened if changes else 0
        assert waited == round_trips
        assert len(link.endpoint.requests) == 1


async def test_bursts_between_regions_find_connections(tmp_path, monkeypatch):
    """After a burst the next one of its size waits for no connection."""
    async with linked(tmp_path, monkeypatch, ENABLED) as link:
        client = link.system.entries[0]._hosts_client
        address = link.system.entries[1]._record().passing_address
        for size in (4, 8):
            await asyncio.gather(
                *(link.send(f'b{size}-{number}') for number in range(size))
            )
            await nodes.until(lambda: client.count_idle(address, 0) >= 4)
        missed = []
        client.set_take_listener(
            lambda _address, found: found or missed.append(found)
        )
        await asyncio.gather(*(link.send(f'c{n}') for n in range(4)))
        assert not missed


class ClosingRelay(relay.Relay):
    """Ends a connection as soon as a request arrives on it."""

    armed = False

    async def _forward(self, reader, writer, turn, is_request):
        if not is_request:
            return await super()._forward(reader, writer, turn, is_request)
        while True:
            chunk = await reader.read(relay.CHUNK_BYTES)
            if self.armed or not chunk:
                writer.close()
                return None
            writer.write(chunk)


async def test_once_only_call_on_a_connection_that_ends_is_not_sent_again(
    tmp_path, monkeypatch
):
    """The peer may have run it: the truth is a 502, never a second run."""
    async with linked(tmp_path, monkeypatch, ENABLED, ClosingRelay) as link:
        await nodes.until(lambda: link.relay.connections >= 2)
        link.relay.armed = True
        got = await link.send()
        assert got.startswith(b'HTTP/1.1 502 ')
        assert not link.endpoint.requests
        link.relay.armed = False
        assert (await link.send('q2')).endswith(b'whole')
        assert len(link.endpoint.requests) == 1


async def test_held_time_is_reported_to_the_asking_host_alone(
    tmp_path, monkeypatch
):
    async with linked(tmp_path, monkeypatch, ENABLED) as link:
        north, south = link.system.entries
        await nodes.until(
            lambda: (
                north._hop_times._rtt_ms(south.node.host, 'south') is not None
            )
        )
        got = await link.send()
    assert passthrough_api.HELD_HEADER.encode() not in got
    assert set(north._hop_times._learned) == {'south'}


def learned(samples, rtt_ms=160.0, age_ms=0):
    """Return the learned overhead after hops of the given times."""
    clock = FakeClock()
    views = region_views.RegionViews(clock)
    views.record_status(
        discovery_messages.RegionStatus(
            'south', messages.Pong(False, True, 0, [], {}), rtt_ms, 0
        )
    )

    class Pinger:
        def state_of(self, host):
            return None

    hops = hop_times.HopTimes(Pinger(), views, clock)
    for hop_ms in samples:
        hops.record('h', 'south', hop_ms)
    clock.now_ms += age_ms
    return hops.overhead_ms('south')


DEFAULT_MS = hop_times.DEFAULT_OVERHEAD_MS


@pytest.mark.parametrize(
    'samples, age_ms, low_ms, high_ms',
    [
        ([], 0, DEFAULT_MS, DEFAULT_MS),
        ([190] * 100, 0, 29, 31),
        ([160] * 100, 0, 0, 1),
        ([320] * 100, 0, 150, 160),
        ([190] * 100 + [30_000], 0, 29, 80),
        ([100] * 100, 0, 0, 1),
        ([320] * 100, 10 * hop_times.HALF_LIFE_MS, 5, 8),
    ],
    ids=[
        'no hop yet',
        'busy hosts',
        'idle hosts',
        'each call opens a connection',
        'one stalled hop',
        'a ping that was slower than hops',
        'a region that no call goes to any more',
    ],
)
def test_overhead_is_learned_from_hops(samples, age_ms, low_ms, high_ms):
    assert low_ms <= learned(samples, age_ms=age_ms) <= high_ms


def test_hop_of_the_version_before_is_read():
    text = (
        b'{"host":"h","route":"r","service":"s","index":1,"attempts_left":2}'
    )
    hop = msgspec.json.decode(text, type=passthrough_api.Hop)
    assert hop.timed is False
