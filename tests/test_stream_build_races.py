"""Builds of streams: races, restarts, several services, and costs."""

import asyncio
import collections
import types

import pytest

from tests import group
from tests import nodes
from tests import test_build_store
from tests import test_passing
from tests import test_region_pollers
from tests import test_stream_builds
from wrenspoke.coordination.agreement import direct_decisions
from wrenspoke.coordination.membership import registry_snapshot
from wrenspoke.coordination.serving import costs
from wrenspoke.coordination.serving import destinations
from wrenspoke.coordination.serving import stream_builds
from wrenspoke.protocol import passthrough_api
from wrenspoke.protocol import resuming
from wrenspoke.state import registry
from wrenspoke.state import routes

NORTH = test_stream_builds.NORTH
SOUTH = test_stream_builds.SOUTH
TTL_MS = test_build_store.TTL_MS
SETTLE_S = test_build_store.SETTLE_S
HOSTS_PER_REGION = 12
REQUESTS = 5_000


class Discovery:
    """A registry and whether it is up to date."""

    def __init__(self, is_current, *found):
        self.is_current = is_current
        self.registry = registry.Registry(group.LoopClock())
        for number, (service, build) in enumerate(found):
            self.registry.merge_registration(
                registry.Registration(
                    f'e{number}',
                    service,
                    f'address{number}',
                    NORTH,
                    1,
                    registry.RegistrationState.READY,
                    1,
                    build=build,
                )
            )


@pytest.mark.parametrize('asked', ['north-0', 'north-1', 'south-1'])
def test_request_id_of_two_callers_has_no_build(asked):
    """Guards against a stream that goes on at the build of another caller."""

    async def run():
        fleet = test_build_store.Fleet(3)
        requests = [f'r{number}' for number in range(60)]
        for build in ('v1', 'v2'):
            for request in requests:
                fleet.stores['north-0'].store(
                    resuming.StreamBuild(request, build, TTL_MS)
                )
            await asyncio.sleep(SETTLE_S)
        builds = stream_builds.StreamBuilds(
            fleet.stores[asked], Discovery(False)
        )
        found = await asyncio.gather(
            *(builds.find(request, 's') for request in requests)
        )
        await fleet.close()
        assert collections.Counter(found) == {None: len(requests)}

    group.run(run())


@pytest.mark.parametrize('silent', [0, 2, 3, 4])
def test_record_at_any_substitute_is_found_in_its_region(silent):
    """Guards against substitutes that a take-up does not ask."""

    async def run():
        missed = []
        for number in range(20):
            fleet = test_build_store.Fleet(HOSTS_PER_REGION, seed=number)
            request = f'r{number}'
            order = fleet.stores['north-0']._order(request)
            writer, asked = order[0], order[-1]
            for name in order[1 : 1 + silent]:
                await fleet.stop(name)
            fleet.stores[writer].store(
                resuming.StreamBuild(request, 'v1', TTL_MS)
            )
            await asyncio.sleep(SETTLE_S)
            await fleet.stop(writer)
            if await fleet.stores[asked].find_in_region(request) is None:
                missed.append(request)
            await fleet.close()
        assert not missed

    group.run(run())


def test_orders_of_requests_do_not_accumulate():
    """Guards against memory that grows with the requests of a quiet day."""
    region = test_region_pollers.SimulatedRegion(3)
    asking = next(iter(region.made.values()))
    for number in range(REQUESTS):
        asking.compute_order(f'request-{number}')
    assert len(asking._order_cache) < REQUESTS / 2


@pytest.mark.parametrize(
    'is_current, found, is_gone',
    [
        (True, [('s', 'v1')], False),
        (True, [('s', 'v2')], True),
        (True, [('t', 'v1')], True),
        (False, [], False),
        (False, [('s', 'v2')], False),
    ],
)
def test_build_is_gone_only_by_a_current_registry(is_current, found, is_gone):
    """Guards against final refusals by hosts that have just started."""

    async def run():
        builds = stream_builds.StreamBuilds(
            None, Discovery(is_current, *found)
        )
        assert builds.is_gone('s', 'v1') is is_gone

    group.run(run())


@pytest.mark.parametrize(
    'send_count, build, is_refused',
    [(0, None, True), (1, None, False), (1, 'v1', False), (0, 'v1', False)],
)
def test_take_up_is_not_refused_by_an_estimate(send_count, build, is_refused):
    """Guards against take-ups that are refused before they are tried."""

    async def run():
        selector = types.SimpleNamespace(estimate_spread=lambda _service: 0.1)
        choice = destinations.DestinationSelector(
            'h', 'north', None, selector, None, frozenset(), group.LoopClock()
        )
        context = types.SimpleNamespace(
            send_count=send_count,
            build=build,
            service=types.SimpleNamespace(service='s'),
            route=types.SimpleNamespace(name='r', target_ms=500),
            call=types.SimpleNamespace(request='q'),
        )
        bounds = costs.LatencyBounds(500, 500, 2_000)
        try:
            choice._refuse_unmeetable_deadline(context, bounds, 4_000, 5_000)
        except destinations.UnmeetableDeadlineError:
            assert is_refused
        else:
            assert not is_refused

    group.run(run())


async def test_only_the_attempt_with_the_first_event_is_recorded(tmp_path):
    """Guards against a rest at the build of a send without events."""
    case = test_stream_builds.Case(
        engines=test_stream_builds.engines_of(['v1', 'v2'], NORTH, 1),
        breaks=(),
        attempts_limit=2,
    )
    async with test_stream_builds.running(tmp_path, case) as system:
        host = system.hosts['n1']
        said = collections.Counter()
        store = host._stream_build_store.store

        def listen(record):
            said[record.build] += 1
            store(record)

        host._stream_build_store.store = listen
        # Connections to it are refused from now on.
        await system.engines[f'{NORTH}-v1-0'].close()
        for _number in range(test_stream_builds.STREAM_COUNT):
            await system.new_stream().begin(host)
        assert said == {'v2': test_stream_builds.STREAM_COUNT}


async def put_two_services(system, builds_by_service):
    """Let one route have two services of equal weight; start their engines."""
    leader = await system.nodes.leader()
    route = routes.Route(
        'r/a/',
        'h.example',
        '/a/',
        routes.RouteKind.STREAM,
        tuple(routes.Target(one, 50) for one in builds_by_service),
        timeout_ms=test_stream_builds.DEADLINE_MS,
        target_ms=500,
        resumable=True,
        attempts_limit=1,
    )
    table = routes.RouteTable(
        next(system.nodes.numbers),
        (route,),
        {
            one: routes.RoutedService(one, '/health', 10)
            for one in builds_by_service
        },
        digest='two services',
    )
    decisions = direct_decisions.DirectDecisions(leader.voter, leader.clock)
    await decisions.replace_routes(table)
    host = system.hosts['n1']
    await nodes.until(
        lambda: host.replica.current.routes.version >= table.version
    )
    for service, build in builds_by_service.items():
        for number in range(2):
            name = f'{service}-{number}'
            engine = test_stream_builds.Engine(
                name, build, NORTH, system._send_counts
            )
            system.engines[name] = await engine.start()
            system.builds[engine.life] = (service, build)
            system.nodes.controls[0].registrar.register(
                registry.Registration(
                    name,
                    service,
                    engine._endpoint.address,
                    NORTH,
                    64,
                    registry.RegistrationState.READY,
                    next(system.nodes.numbers),
                    build=build,
                )
            )
            await nodes.until(
                lambda name=name: name in host.discovery.registry.entries
            )


@pytest.mark.parametrize(
    'builds', [{'s': 'v1', 't': 'v1'}, {'s': 'v1', 't': 'w1'}]
)
async def test_stream_goes_on_at_its_service(tmp_path, builds):
    """Guards against take-ups drawn to the other service of a route."""
    case = test_stream_builds.Case(engines={})
    async with test_stream_builds.running(tmp_path, case) as system:
        await put_two_services(system, builds)
        host = system.hosts['n1']
        results = collections.Counter()
        for _number in range(test_stream_builds.STREAM_COUNT):
            stream = system.new_stream((2,))
            await stream.begin(host)
            attempt = await stream.take_up(host)
            found = {system.builds[engine] for _n, engine in stream.events}
            results[attempt.status, len(found)] += 1
        assert set(results) == {(200, 1)}, results


async def close_all(system):
    """Stop every control and entry host."""
    deployment = system.nodes
    for one in [*deployment.entries, *deployment.controls]:
        await one.close()
    deployment.entries.clear()
    deployment.controls.clear()
    system.hosts.clear()


async def start_all(system):
    """Start the control hosts again, and an entry host without any state."""
    deployment = system.nodes
    for ip in deployment.control_ips:
        await deployment.start_control(ip, first_start=False)
    await system.start_host('n2', NORTH)


async def _snapshot_lost(system):
    for ip in system.nodes.control_ips:
        path = system.nodes.folder / ip / registry_snapshot.SNAPSHOT_FILE
        path.unlink()


async def _snapshot_kept(_system):
    return


SNAPSHOTS = {'kept': _snapshot_kept, 'lost': _snapshot_lost}


@pytest.mark.parametrize(
    'snapshot, warmup_ms', [('kept', 0), ('kept', 30_000), ('lost', 0)]
)
async def test_restarted_system_does_not_guess_from_the_first_heartbeats(
    tmp_path, snapshot, warmup_ms
):
    """Guards against a registry that lacks a build which serves all along."""
    case = test_stream_builds.Case(
        engines=test_stream_builds.engines_of(['v1', 'v2'], NORTH, 1)
    )
    async with test_stream_builds.running(tmp_path, case) as system:
        streams = await test_stream_builds.begin_streams(system, case)
        first = system.engines[f'{NORTH}-v1-0']
        number = next(system.nodes.numbers)
        body = first.heartbeat(number, warmupLeftMs=warmup_ms)
        system.handle_heartbeat(first, body)
        await asyncio.sleep(registry_snapshot.SNAPSHOT_INTERVAL_MS * 2 / 1_000)
        await close_all(system)
        await SNAPSHOTS[snapshot](system)
        await start_all(system)
        # The heartbeat of v1 comes later.
        await system.register(system.engines[f'{NORTH}-v2-0'])
        discovery = system.hosts['n2'].discovery
        await nodes.until(lambda: discovery.leader)
        results = collections.Counter()
        for stream in streams:
            attempt = await stream.take_up(system.hosts['n2'])
            found = {system.builds[one] for _n, one in stream.events}
            results[attempt.status, len(found)] += 1
        assert (200, 2) not in results, results


@pytest.mark.parametrize(
    'headers, is_bound',
    [
        (['Wrenspoke-Resumes: {began_as}'], False),
        (['Last-Event-ID: 2'], True),
    ],
    ids=['resumes only', 'last event only'],
)
async def test_half_a_take_up(tmp_path, headers, is_bound):
    """Guards against a rest of a stream that goes to any build."""
    case = test_stream_builds.Case(
        engines=test_stream_builds.engines_of(['v1', 'v2'], NORTH)
    )
    async with test_stream_builds.running(tmp_path, case) as system:
        host = system.hosts['n1']
        for stream in await test_stream_builds.begin_streams(system, case):
            attempt = stream.attempt(
                host,
                *(one.format(began_as=stream.began_as) for one in headers),
            )
            await attempt.ended()
            if is_bound:
                assert attempt.status == 503
            else:
                assert attempt.status == 200
                assert attempt.events[0][0] == 1


async def test_other_routes_keep_no_builds(tmp_path):
    """Guards against records and refusals for routes that never resume."""
    case = test_stream_builds.Case(
        engines=test_stream_builds.engines_of(['v1', 'v2'], NORTH)
    )
    async with test_stream_builds.running(tmp_path, case) as system:
        await system.nodes.put(
            test_passing.route(routes.RouteKind.STREAM, resumable=False),
            test_passing.route(test_passing.ONCE, '/b/'),
        )
        host = system.hosts['n1']
        for path in ('/a/x', '/b/x'):
            attempt = test_stream_builds.Attempt(
                host.node.callers_address,
                f'q{path}',
                path,
                ['X-Breaks: []', 'Last-Event-ID: 2', 'Wrenspoke-Resumes: q'],
            )
            await attempt.ended()
            assert attempt.status == 200
        assert len(host._stream_build_store.records) == 0


def _drop_records_of_first_events(system, _monkeypatch):
    """Let the first host be killed before it sends what a hop named."""
    store = system.hosts['n1']._stream_build_store
    for name in ('_send_to_region', '_send_to_other_region'):
        send = getattr(store, name)

        def send_others(said, send=send):
            if said.build != 'v2':
                send(said)

        setattr(store, name, send_others)


def _hide_builds(_system, monkeypatch):
    """Let hosts of other regions name no build, as older ones do."""
    monkeypatch.setattr(passthrough_api, 'decode_build', lambda _value: None)


@pytest.mark.parametrize(
    'mishap, between, asked',
    [
        (_drop_records_of_first_events, [('close', 'n1')], 'n2'),
        (_hide_builds, [], 'n1'),
    ],
    ids=['killed at the first event', 'older host'],
)
async def test_build_behind_a_hop_replaces_that_of_a_failed_send(
    tmp_path, monkeypatch, mishap, between, asked
):
    """Guards against a rest at the build of a send without events."""
    case = test_stream_builds.Case(
        engines={
            **test_stream_builds.engines_of(['v1'], NORTH, 1),
            **test_stream_builds.engines_of(['v2'], SOUTH),
        },
        hosts={**test_stream_builds.SAME_REGION, 's1': SOUTH},
        breaks=(test_stream_builds.BEFORE_HEAD, 2),
        attempts_limit=2,
    )
    async with test_stream_builds.running(tmp_path, case) as system:
        mishap(system, monkeypatch)
        host = system.hosts['n1']
        streams = []
        for _number in range(test_stream_builds.STREAM_COUNT):
            stream = system.new_stream(case.breaks)
            await stream.begin(host)
            if stream.events:
                streams.append(stream)
        for name, *arguments in between:
            await test_stream_builds.STEPS[name](system, *arguments)
        results = collections.Counter()
        for stream in streams:
            attempt = await stream.take_up(system.hosts[asked])
            found = {system.builds[one] for _n, one in stream.events}
            results[attempt.status, len(found)] += 1
        assert streams
        assert (200, 2) not in results, results
