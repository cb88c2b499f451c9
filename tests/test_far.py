"""Calls between regions, and estimates that hosts share."""

import asyncio

import aiohttp
import msgspec
import pytest

from tests import endpoints
from tests import nodes
from tests import test_passing
from wrenspoke.protocol import passthrough_api
from wrenspoke.state import routes

ID = test_passing.ID
request = test_passing.request
answer = test_passing.answer


def route(**changes):
    """Return a route to the one service."""
    return test_passing.route(routes.RouteKind.REPEATABLE, **changes)


@pytest.fixture
async def system(tmp_path):
    """Run one entry host in the north and two in the south."""
    made = []
    async with nodes.running(tmp_path) as running:
        for _number in range(2):
            await running.start_entry('south-hall')

        async def add(name, data_centre, script=None, **changes):
            script = script or (lambda sent, _number: [answer(sent)])
            endpoint = await endpoints.ScriptedEndpoint(script).start()
            made.append(endpoint)
            await running.register(
                name, endpoint, data_centre=data_centre, **changes
            )
            return endpoint

        running.add = add
        running.north = running.entries[0].node.callers_address
        yield running
    for endpoint in made:
        await endpoint.close()


async def wait_for_pongs(system):
    """Wait until the north's host has current offers from the other hosts.

    Offers come with answers to pings. The last answer and one in flight may
    be older than the latest change; the second answer from now is not.
    """
    north = system.entries[0]
    others = [other.node.host for other in system.entries[1:]]

    def answered_since(began_ms):
        remotes = [north._pinger.state_of(host) for host in others]
        return all(
            remote is not None and (remote.answered_ms or 0) > began_ms
            for remote in remotes
        )

    for _answer in range(2):
        began_ms = north.clock.mono_ms()
        await nodes.until(lambda began=began_ms: answered_since(began))


@pytest.mark.parametrize(
    'homes, north_gets, south_gets',
    [
        (('south',), 0, 6),
        (('north',), 6, 0),
        ((), 6, 0),
    ],
    ids=['home elsewhere', 'home here', 'no home'],
)
async def test_call_is_served_at_home(system, homes, north_gets, south_gets):
    await system.put(route(homes=homes))
    here = await system.add('e1', 'north-hall')
    there = await system.add('e2', 'south-hall')
    await wait_for_pongs(system)
    for number in range(6):
        got = await endpoints.send_raw(
            system.north, request(request_id=f'q{number}')
        )
        assert got.endswith(b'whole')
    counts = (len(here.requests), len(there.requests))
    assert counts == (north_gets, south_gets)


async def test_runs_elsewhere_count_against_the_attempts(system):
    """All endpoints fail; a second host of the south may be used."""
    await system.put(route(attempts_limit=2))
    failing = [
        await system.add(
            f'e{number}',
            'south-hall',
            lambda sent, _number: [answer(sent, status='500 Failed')],
        )
        for number in range(3)
    ]
    await wait_for_pongs(system)
    got = await endpoints.send_raw(system.north, request())
    assert got.startswith(b'HTTP/1.1 500 ')
    assert passthrough_api.RUNS_HEADER.encode() not in got
    assert sum(len(endpoint.requests) for endpoint in failing) == 2


async def test_call_is_forwarded_where_no_endpoint_is_left(system):
    await system.put(route())
    there = await system.add('e2', 'south-hall')
    await wait_for_pongs(system)
    got = await endpoints.send_raw(system.north, request())
    assert got.endswith(b'whole') and len(there.requests) == 1


async def cut_north_from_south(system, monkeypatch):
    """Partition north and south, which a third region can both reach."""
    west = await system.start_entry('west-hall')
    north, *south = system.entries[:3]
    cut = {one.node.host for one in south}
    ping = north._pinger._ping

    async def ping_unless_cut(host, remote, timeout_ms):
        if host not in cut:
            return await ping(host, remote, timeout_ms)
        remote.failed_ms = north.clock.mono_ms()
        return False

    monkeypatch.setattr(north._pinger, '_ping', ping_unless_cut)

    def knows_a_way():
        remote = north._pinger.state_of(west.node.host)
        return remote and remote.pong and 'south' in remote.pong.relayed

    await nodes.until(
        lambda: north._remote_hosts.unreachable_regions() == ['south']
    )
    await nodes.until(knows_a_way)
    return west


@pytest.mark.parametrize(
    'homes, served',
    [((), True), (('south', 'west'), True), (('south', 'north'), False)],
    ids=['anywhere', 'may go through the west', 'may not go there'],
)
async def test_region_that_is_cut_off_is_reached_through_a_third(
    system, homes, served, monkeypatch
):
    await system.put(route(homes=homes))
    there = await system.add('e2', 'south-hall')
    await cut_north_from_south(system, monkeypatch)
    got = await endpoints.send_raw(system.north, request())
    assert got.endswith(b'whole') is served
    assert len(there.requests) == served
    if not served:
        assert got.startswith(b'HTTP/1.1 503 ')


async def test_relayed_call_uses_no_warmup_request_of_the_relay(
    system, monkeypatch
):
    """Guards against warmup requests lost to calls that are only relayed."""
    await system.put(route(), warmup_per_s=0.1)
    there = await system.add('e2', 'south-hall')
    west = await cut_north_from_south(system, monkeypatch)
    cold = await system.add('e3', 'west-hall', warmup_left_ms=60_000)
    got = await endpoints.send_raw(system.north, request())
    assert got.endswith(b'whole') and len(there.requests) == 1
    got = await endpoints.send_raw(
        west.node.callers_address, request(request_id='q2')
    )
    assert got.endswith(b'whole') and len(cold.requests) == 1


@pytest.mark.parametrize(
    'kind', [routes.RouteKind.REPEATABLE, routes.RouteKind.ONCE]
)
async def test_caller_disconnect_cancels_the_remote_request(system, kind):
    """The request is cancelled before its response, and is not retried."""
    stall = endpoints.ScriptedEndpoint.STALL
    await system.put(test_passing.route(kind, homes=('south',)))
    there = await system.add('e2', 'south-hall', lambda _s, _n: [stall])
    other = await system.add('e3', 'south-hall', lambda _s, _n: [stall])
    await wait_for_pongs(system)
    ip, _, port = system.north.rpartition(':')
    _reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(request())
    await nodes.until(lambda: there.requests or other.requests)
    writer.close()
    used = there if there.requests else other
    async with asyncio.timeout(nodes.WAIT_S):
        await used.peer_closed.wait()
    served = [entry.passthrough for entry in system.entries]
    await nodes.until(lambda: not any(one.in_flight for one in served))
    assert len(there.requests) + len(other.requests) == 1


async def test_host_that_stops_answering_is_left_for_another(system):
    await system.put(route(homes=('south',)))
    await system.add('e2', 'south-hall')
    await wait_for_pongs(system)
    gone = system.entries.pop()
    await gone.close()
    for number in range(6):
        got = await endpoints.send_raw(
            system.north, request(request_id=f'q{number}')
        )
        assert got.endswith(b'whole')


async def test_home_bound_call_is_not_run_elsewhere(system):
    await system.put(route(homes=('south',)))
    here = await system.add('e1', 'north-hall')
    got = await endpoints.send_raw(system.north, request())
    assert got.startswith(b'HTTP/1.1 503 ') and b'Retry-After' in got
    assert here.requests == []


async def forward_call(system, **changes):
    """Forward a call to a host in the south as another host would."""
    held = system.entries[1].replica.current
    hop = passthrough_api.Hop(
        'elsewhere', 'r/a/', 's', held.index, 1, changes.pop('limit_ms', None)
    )
    hop = msgspec.structs.replace(hop, **changes)
    node = system.entries[1].node
    async with aiohttp.ClientSession() as session:
        async with session.get(
            f'http://{node.ip}:{node.passing_port}/a/x',
            headers={
                'Host': 'h.example',
                ID: 'q1',
                passthrough_api.HOP_HEADER: msgspec.json.encode(hop).decode(),
            },
        ) as response:
            await response.read()
            return response.status, response.headers.get(
                passthrough_api.REFUSED_HEADER
            )


@pytest.mark.parametrize(
    'changes, told',
    [
        ({}, (200, None)),
        ({'limit_ms': 5_000}, (200, None)),
        ({'limit_ms': 0}, (503, 'busy')),
        ({'index': 10**6}, (503, 'no_configuration')),
    ],
    ids=['as it is', 'quick enough', 'slower than there', 'behind'],
)
async def test_host_serves_what_is_passed_on_or_says_why_not(
    system, changes, told
):
    await system.put(route())
    await system.add('e2', 'south-hall')
    assert await forward_call(system, **changes) == told


async def test_call_is_never_passed_on_twice(system):
    """There is no endpoint in the south, and the north's is not used."""
    await system.put(route())
    here = await system.add('e1', 'north-hall')
    assert await forward_call(system) == (503, 'unsent')
    assert here.requests == []


async def test_cold_endpoint_is_used_by_one_host_at_its_pace(system):
    """Both hosts of the south together keep to its warmup rate."""
    await system.put(route(), warmup_per_s=2.0)
    cold = await system.add('e2', 'south-hall', warmup_left_ms=60_000)
    south = [one.node.callers_address for one in system.entries[1:]]
    loop = asyncio.get_running_loop()
    began = loop.time()
    for number in range(30):
        await endpoints.send_raw(
            south[number % 2], request(request_id=f'q{number}')
        )
    took_s = loop.time() - began
    assert 1 <= len(cold.requests) <= 1 + 2.0 * took_s


class ReportingEngine:
    """Answers calls, and load polls with the load that a test sets."""

    def __init__(self, load):
        self.load = load
        self.endpoint = endpoints.ScriptedEndpoint(self._answer)

    def _answer(self, sent, _number):
        if sent.startswith(b'GET /load '):
            return [answer(sent, self.load)]
        return [answer(sent)]

    @property
    def calls(self):
        """Return the received calls without load polls."""
        return [
            sent
            for sent in self.endpoint.requests
            if sent.startswith(b'GET /a/x')
        ]


@pytest.mark.parametrize(
    'moves, builds, is_fetched',
    [
        (True, ('v1', 'v1'), True),
        (True, ('v1', 'v2'), False),
        (False, ('v1', 'v1'), False),
    ],
    ids=['one build', 'two builds', 'no moves'],
)
async def test_prompt_cache_is_fetched_from_its_holder(
    tmp_path, moves, builds, is_fetched
):
    """Guards against caches that another build of the software has filled.

    The engine that caches the prompt is full.
    """
    parts = 'Wrenspoke-Prompt-Parts: a:2000,b:1000,own:100'
    async with nodes.running(tmp_path, reports=nodes.Reports()) as system:
        batch = routes.Batch(8, 9_000, 1_000, 10_000.0, moves)
        await system.put(route(), batch=batch)
        made = {}
        for name, build in zip(('e1', 'e2'), builds, strict=True):
            engine = made[name] = ReportingEngine(b'0 1 9 90000')
            await system.register(
                name, await engine.endpoint.start(), build=build
            )
        gauges = system.entries[0]._engine_loads
        await nodes.until(lambda: gauges.load('e1') and gauges.load('e2'))
        asked = request(headers=['Wrenspoke-Tokens: 3100,10', parts])
        address = system.entries[0].node.callers_address
        await endpoints.send_raw(address, asked)
        keeper = next(name for name in made if made[name].calls)
        [other] = made.keys() - {keeper}
        made[keeper].load = b'9 8 9 90000'
        await nodes.until(lambda: gauges.load(keeper).queued)
        await endpoints.send_raw(address, asked)
        [second] = made[other].calls
        named = endpoints.header(second, 'Wrenspoke-Fetch-From')
        expected = made[keeper].endpoint.address if is_fetched else None
        assert named == expected
        first = made[keeper].calls[0]
        assert endpoints.header(first, 'Wrenspoke-Fetch-From') is None
        for engine in made.values():
            await engine.endpoint.close()


async def test_busy_remote_host_is_not_counted_as_a_run(tmp_path):
    """All engines are full; a call that may run once is still served."""
    async with nodes.running(tmp_path, reports=nodes.Reports()) as system:
        await system.start_entry('south-hall')
        batch = routes.Batch(8, 9_000)
        await system.put(
            test_passing.route(routes.RouteKind.ONCE), batch=batch
        )
        made = {}
        for name in ('north', 'south'):
            engine = made[name] = ReportingEngine(b'9 8 9 90000')
            await system.register(
                name,
                await engine.endpoint.start(),
                data_centre=f'{name}-hall',
            )
        await wait_for_pongs(system)
        for entry, name in zip(system.entries, made):
            await nodes.until(lambda e=entry, n=name: e._engine_loads.load(n))
        got = await endpoints.send_raw(
            system.entries[0].node.callers_address,
            request(headers=['Wrenspoke-Tokens: 100,10']),
        )
        assert got.endswith(b'whole')
        counts = [len(engine.calls) for engine in made.values()]
        assert counts == [1, 0]
        for engine in made.values():
            await engine.endpoint.close()


async def test_engine_without_memory_is_skipped(tmp_path):
    """One engine reports a full KV cache, the other one does not."""
    async with nodes.running(tmp_path, reports=nodes.Reports()) as system:
        batch = routes.Batch(8, 1_000)
        await system.put(route(), batch=batch)
        made = {}
        for name, load in (('full', b'0 1 990 1000'), ('free', b'0 1 9 1000')):
            made[name] = ReportingEngine(load)
            endpoint = await made[name].endpoint.start()
            await system.register(name, endpoint)
        gauges = system.entries[0]._engine_loads
        await nodes.until(lambda: gauges.load('full') and gauges.load('free'))
        headers = ['Wrenspoke-Tokens: 100,10']
        for number in range(6):
            await endpoints.send_raw(
                system.entries[0].node.callers_address,
                request(headers=headers, request_id=f'q{number}'),
            )
        assert made['full'].calls == []
        for engine in made.values():
            await engine.endpoint.close()


@pytest.mark.parametrize(
    'tokens_in, deadline_ms, served',
    [(100, 5_000, True), (2_000_000, 5_000, False)],
    ids=['in time', 'hopeless'],
)
async def test_what_cannot_be_served_in_time_is_refused_at_once(
    tmp_path, tokens_in, deadline_ms, served
):
    """The refusal has a Retry-After, and no engine is sent anything."""
    async with nodes.running(tmp_path, reports=nodes.Reports()) as system:
        batch = routes.Batch(8, 9_000_000)
        await system.put(route(), batch=batch)
        engine = ReportingEngine(b'0 1 9 9000000')
        await system.register('e', await engine.endpoint.start())
        gauges = system.entries[0]._engine_loads
        await nodes.until(lambda: gauges.load('e'))
        got = await endpoints.send_raw(
            system.entries[0].node.callers_address,
            request(
                headers=[
                    f'Wrenspoke-Tokens: {tokens_in},10',
                    f'Wrenspoke-Deadline-Ms: {deadline_ms}',
                ]
            ),
        )
        assert got.endswith(b'whole') is served
        assert len(engine.calls) == served
        if not served:
            assert got.startswith(b'HTTP/1.1 503 ')
            wait_s = float(endpoints.header(got, 'Retry-After'))
            # The prefill time less the target, plus up to half as jitter.
            assert 90 <= wait_s <= 160
        await engine.endpoint.close()


@pytest.mark.parametrize(
    'headers, status',
    [
        ([], 503),
        (['Last-Event-ID: 7', 'Wrenspoke-Resumes: q0'], 200),
    ],
    ids=['new stream', 'rest of a stream'],
)
async def test_rest_of_a_stream_is_not_refused_for_the_whole(
    tmp_path, headers, status
):
    """Guards against refusals by the size of what was already delivered."""
    event = b'id: 8\ndata: h\n\n'

    def script(sent, _number):
        if sent.startswith(b'GET /load '):
            return [answer(sent, b'0 1 9 9000000')]
        return [*test_passing.chunked(sent, event), test_passing.END]

    async with nodes.running(tmp_path, reports=nodes.Reports()) as system:
        batch = routes.Batch(8, 9_000_000)
        resumable = test_passing.route(test_passing.STREAM, resumable=True)
        await system.put(resumable, batch=batch)
        engine = await endpoints.ScriptedEndpoint(script).start()
        await system.register('e', engine)
        gauges = system.entries[0]._engine_loads
        await nodes.until(lambda: gauges.load('e'))
        got = await endpoints.send_raw(
            system.entries[0].node.callers_address,
            request(
                headers=[
                    'Wrenspoke-Tokens: 100,2000000',
                    'Wrenspoke-Deadline-Ms: 5000',
                    *headers,
                ]
            ),
        )
        assert got.startswith(f'HTTP/1.1 {status} '.encode()), got
        await engine.close()
