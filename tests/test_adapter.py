"""The adapter decodes the platform's messages and serves its APIs."""

import asyncio
import json
import pathlib
import re
import subprocess
import sys

import aiohttp
import hypothesis
import pytest

from tests import nodes
from tests import test_registry
from wrenspoke import node as settings
from wrenspoke.state import errors
from wrenspoke.state import registry
from wrenspoke.state import routes
from wrenspoke.transport import web

ROOT = pathlib.Path(__file__).parent.parent
FOLDER = ROOT / 'platform'
sys.path.append(str(FOLDER))

from adapter import control  # noqa: E402
from adapter import header_names  # noqa: E402
from adapter import node_settings  # noqa: E402
from adapter import registrations  # noqa: E402
from adapter import reports  # noqa: E402
from adapter import routes as decoder  # noqa: E402

ROUTE = {
    'name': 'r-1',
    'host': 'a.example',
    'pathPrefix': '/x/',
    'routeType': 'streaming',
    'timeoutMs': 15000,
    'targetLatencyMs': 1500,
    'priority': 1,
    'service': 'chat',
    'maxAttempts': 2,
    'sessionAffinity': True,
    'resumable': True,
    'gapAimMs': 400,
    'allowedRegions': ['north'],
}
CHAT = {
    'name': 'chat',
    'healthPath': '/healthz',
    'maxConns': 370,
    'protocol': 'h1',
    'tls': False,
    'warmupS': 3.0,
    'warmupPerS': 2.2,
    'engine': {
        'slots': 64,
        'kvCapacityTokens': 232000,
        'kvTokenBytes': 327680,
        'linkMbps': 550000.0,
        'moves': True,
        'stride': 5,
        'other': 1,
    },
}


def document(version=7, **changes):
    """Return a complete configuration as the operator sends it."""
    made = {
        'version': version,
        'routes': [ROUTE],
        'services': [CHAT],
        'limits': {'maxBodyBytes': 4096, 'idleTimeoutMs': 15000},
        **changes,
    }
    return json.dumps(made).encode()


def test_configuration_is_decoded_into_the_projects_types():
    body = document()
    table = decoder.decode(body)
    routes.check(table)
    assert table.document == body
    [found] = table.routes
    assert found == routes.Route(
        name='r-1',
        host='a.example',
        path_prefix='/x/',
        kind=routes.RouteKind.STREAM,
        targets=(routes.Target('chat', 1.0),),
        timeout_ms=15000,
        target_ms=1500,
        priority=1,
        attempts_limit=2,
        affinity=True,
        resumable=True,
        pause_target_ms=400,
        homes=('north',),
    )
    service = table.services['chat']
    assert (service.warmup_ms, service.warmup_per_s) == (3000, 2.2)
    assert service.batch == routes.Batch(64, 232000, 327680, 550000.0, True, 5)
    assert table.limits.body_bytes == 4096


def test_shares_of_several_services_are_decoded():
    shares = [
        {'service': 'chat', 'weight': 90},
        {'service': 'b', 'weight': 10},
    ]
    changed = {**ROUTE, 'backends': shares}
    del changed['service']
    table = decoder.decode(document(routes=[changed]))
    assert table.routes[0].targets == (
        routes.Target('chat', 90.0),
        routes.Target('b', 10.0),
    )


INVALID = {
    'cut short': document()[:-20],
    'no version': json.dumps({'routes': [], 'services': []}).encode(),
    'version of text': document(version='7'),
    'unknown service': document(services=[]),
    'same place twice': document(routes=[ROUTE, {**ROUTE, 'name': 'r-2'}]),
    'no weight': document(
        routes=[
            {
                **ROUTE,
                'service': None,
                'backends': [{'service': 'chat', 'weight': 0}],
            }
        ]
    ),
    'no time-out': document(routes=[{**ROUTE, 'timeoutMs': 0}]),
    'unknown kind': document(routes=[{**ROUTE, 'routeType': 'odd'}]),
    'not UTF-8': b'\xff' + document(),
}


@pytest.mark.parametrize('name', INVALID)
def test_invalid_configuration_is_refused(name):
    with pytest.raises(errors.InvalidChangeError):
        routes.check(decoder.decode(INVALID[name]))


def heartbeat(body, endpoint='i-1'):
    """Decode a heartbeat in a system with one zone and one service."""
    return registrations.decode(endpoint, body, {'hall'}, {'chat'})


HEARTBEAT = {
    'service': 'chat',
    'address': '10.0.0.9:80',
    'zone': 'hall',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'warmupLeftMs': 12.5,
    'stage': 'both',
    'seq': 4,
}


@pytest.mark.parametrize(
    'changes, field, value',
    [
        ({}, 'number', 4),
        ({}, 'warmup_left_ms', 12),
        ({}, 'data_centre', 'hall'),
        (
            {'state': 'draining'},
            'state',
            registry.RegistrationState.DRAINING,
        ),
        ({'expiresInMs': 2100}, 'ends_in_ms', 2100),
        ({'born': 1790000000000}, 'born_ms', 1790000000000),
    ],
)
def test_heartbeat_is_decoded(changes, field, value):
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    assert getattr(heartbeat(body), field) == value


@pytest.mark.parametrize('left_out', ['service', 'address', 'zone', 'seq'])
def test_heartbeat_without_a_field_names_it(left_out):
    body = {k: v for k, v in HEARTBEAT.items() if k != left_out}
    with pytest.raises(errors.InvalidChangeError, match=left_out):
        heartbeat(json.dumps(body).encode())


WRONG = {
    'no service': ({'service': ''}, 'service'),
    'service of a number': ({'service': 5}, 'service'),
    'unknown service': ({'service': 'other'}, 'service'),
    'unknown zone': ({'zone': 'nowhere'}, 'zone'),
    'unknown state': ({'state': 'asleep'}, 'state'),
    'state of null': ({'state': None}, 'state'),
    'address of a name': ({'address': 'host:80'}, 'address'),
    'long address': ({'address': '1' * 5000}, 'address'),
    'seq of text': ({'seq': '4'}, 'seq'),
    'seq below 0': ({'seq': -1}, 'seq'),
    'huge seq': ({'seq': 10**30}, 'seq'),
    'seq of a fraction': ({'seq': 4.5}, 'seq'),
    'huge slots': ({'slots': 10**12}, 'slots'),
    'warm-up below 0': ({'warmupLeftMs': -1}, 'warmupLeftMs'),
    'huge warm-up': ({'warmupLeftMs': 1e300}, 'warmupLeftMs'),
    'huge end': ({'expiresInMs': 1e300}, 'expiresInMs'),
    'born of text': ({'born': '1790000000000'}, 'born'),
    'born of a fraction': ({'born': 1790000000000.5}, 'born'),
    'born below 0': ({'born': -1}, 'born'),
}


@pytest.mark.parametrize('name', WRONG)
def test_heartbeat_of_another_writer_names_the_field(name):
    changes, field = WRONG[name]
    with pytest.raises(errors.InvalidChangeError, match=field):
        heartbeat(json.dumps({**HEARTBEAT, **changes}).encode())


JSON_VALUES = hypothesis.strategies.recursive(
    hypothesis.strategies.none()
    | hypothesis.strategies.booleans()
    | hypothesis.strategies.integers()
    | hypothesis.strategies.floats()
    | hypothesis.strategies.text(max_size=20),
    lambda inner: (
        hypothesis.strategies.lists(inner, max_size=3)
        | hypothesis.strategies.dictionaries(
            hypothesis.strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=5,
)


@hypothesis.settings(
    max_examples=300,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.differing_executors],
)
@hypothesis.given(
    body=hypothesis.strategies.binary(max_size=60)
    | hypothesis.strategies.builds(
        lambda changes, cut: json.dumps({**HEARTBEAT, **changes}).encode()[
            :cut
        ],
        hypothesis.strategies.dictionaries(
            hypothesis.strategies.sampled_from([*HEARTBEAT, 'born', 'other']),
            JSON_VALUES,
            max_size=3,
        ),
        hypothesis.strategies.integers(1, 400),
    )
)
def test_invalid_heartbeat_keeps_known_endpoints(body):
    """An arbitrary heartbeat is decoded or rejected."""
    held = registry.Registry(test_registry.FakeClock())
    held.merge_registration(
        heartbeat(json.dumps(HEARTBEAT).encode(), 'i-true')
    )
    try:
        held.merge_registration(heartbeat(body, 'i-other'))
    except errors.InvalidChangeError:
        assert 'i-other' not in held.entries
    assert held.entries['i-true'].takes_work


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    changes=hypothesis.strategies.dictionaries(
        hypothesis.strategies.sampled_from(
            ['version', 'routes', 'services', 'limits', 'tenants']
        ),
        JSON_VALUES,
        min_size=1,
        max_size=2,
    ),
    cut=hypothesis.strategies.integers(1, 2000),
)
def test_configuration_is_taken_whole_or_refused(changes, cut):
    body = json.dumps({**json.loads(document()), **changes}).encode()[:cut]
    try:
        table = decoder.decode(body)
        routes.check(table)
    except errors.InvalidChangeError:
        return
    assert table.version >= 1


def test_report_is_decoded():
    body = b'{"queued":1,"running":12,"kvUsed":41,"kvTotal":90,"seq":2}'
    found = reports.EngineReports().read('i-1', body)
    assert (found.queued, found.running) == (1, 12)
    assert (found.held_tokens, found.total_tokens) == (41, 90)


def test_callers_cannot_give_engines_orders():
    kept_back = header_names.DIALECT.stripped_headers()
    for name in ('hold', 'pin-ms', 'kv-backup', 'kv-from', 'target-instance'):
        assert name in kept_back


@pytest.fixture
async def surfaces(tmp_path):
    """Run three control hosts with the platform's control API."""
    async with nodes.running(tmp_path, controls=3) as system:
        servers = []
        for one in system.controls:
            surface = control.ControlApi(one)
            server = web.HttpServer(surface.control_application())
            ip, _, port = one.node.control_address.rpartition(':')
            await server.start(ip, int(port))
            servers.append(server)
        async with aiohttp.ClientSession() as session:
            system.session = session
            yield system
        for server in servers:
            await server.close()


async def send(system, one, path, body=None, method='POST'):
    """Call a control host; return status, body and headers."""
    url = f'http://{one.node.control_address}{path}'
    async with system.session.request(
        method, url, data=body, allow_redirects=False
    ) as response:
        return response.status, await response.read(), response.headers


async def send_to_leader(system, path, body=None, method='POST'):
    """Call the leader until it is sure of its answer.

    A host that isn't, as it lost its lease or lead, answers 503 or 307.
    """
    async with asyncio.timeout(nodes.WAIT_S):
        while True:
            leader = await system.leader()
            got = await send(system, leader, path, body, method)
            if got[0] not in (307, 503):
                return got


async def test_configuration_version_is_accepted_once(surfaces):
    first = document(version=7)
    other = document(version=7, routes=[])
    table = [
        (INVALID['unknown service'], 400),
        (first, 200),
        (first, 200),
        (other, 409),
        (document(version=3, routes=[]), 200),
        (other, 409),
        (first, 200),
    ]
    for body, status in table:
        got = await send_to_leader(surfaces, '/config/replace', body)
        assert got[0] == status, got
    status, body, _headers = await send_to_leader(
        surfaces, '/config/read', method='GET'
    )
    assert (status, body) == (200, first)


async def test_hosts_that_do_not_lead_name_the_leader(surfaces):
    leader = await surfaces.leader()
    await nodes.until(
        lambda: all(
            one.voter.leader == leader.node.host for one in surfaces.controls
        )
    )
    for one in surfaces.controls:
        if one is leader:
            continue
        status, _body, headers = await send(
            surfaces, one, '/config/replace', document()
        )
        address = leader.node.control_address
        assert status == 307
        assert headers['Location'] == f'http://{address}/config/replace'
    await send(surfaces, leader, '/config/replace', document())
    for one in surfaces.controls:
        status, body, _headers = await send(
            surfaces, one, '/config/read', method='GET'
        )
        assert (status, body) == (200, document())


async def test_read_without_a_configuration_is_not_answered(surfaces):
    leader = await surfaces.leader()
    status, _body, _headers = await send(
        surfaces, leader, '/config/read', method='GET'
    )
    assert status == 503


@pytest.mark.parametrize(
    'path, status',
    [
        ('/evacuations/north-hall/start', 200),
        ('/evacuations/nowhere/start', 404),
        ('/evacuations/north-hall/pause', 404),
    ],
)
async def test_evacuation_is_ordered(surfaces, path, status):
    leader = await surfaces.leader()
    for _number in range(2):
        assert (await send(surfaces, leader, path))[0] == status
    held = leader.voter.state.configuration.evacuated
    assert held == (('north-hall',) if status == 200 else ())


async def test_heartbeats_and_leaves_are_taken_by_any_host(surfaces):
    body = json.dumps({**HEARTBEAT, 'zone': 'north-hall'}).encode()
    one, other, last = surfaces.controls
    status, _body, _headers = await send(
        surfaces, one, '/instances/i-1/heartbeat', body
    )
    assert status == 200
    for host in surfaces.controls:
        await nodes.until(lambda: 'i-1' in host.registrar.registry.entries)
    await send(surfaces, other, '/instances/i-1/deregister')
    held = last.registrar.registry.entries
    await nodes.until(lambda: not held['i-1'].takes_work)
    status, _body, _headers = await send(
        surfaces, one, '/instances/i-2/heartbeat', b'{}'
    )
    assert status == 400


@pytest.mark.parametrize('action', ['deregister', 'heartbeat'])
async def test_acknowledged_leave_is_known_to_another_host(surfaces, action):
    """Guards against a leave that is lost with the host that took it."""
    body = {**HEARTBEAT, 'zone': 'north-hall'}
    one, *others = surfaces.controls
    path = '/instances/i-1/heartbeat'
    await send(surfaces, one, path, json.dumps(body).encode())
    for host in others:
        await nodes.until(
            lambda host=host: 'i-1' in host.registrar.registry.entries
        )
    body |= {'state': 'draining', 'seq': body['seq'] + 1}
    sent = None if action == 'deregister' else json.dumps(body).encode()
    status, _body, _headers = await send(
        surfaces, one, f'/instances/i-1/{action}', sent
    )
    assert status == 200
    assert not all(
        host.registrar.registry.entries['i-1'].takes_work for host in others
    )


async def test_endpoint_may_leave_while_no_other_host_answers(surfaces):
    body = json.dumps({**HEARTBEAT, 'zone': 'north-hall'}).encode()
    one, *others = surfaces.controls
    await send(surfaces, one, '/instances/i-1/heartbeat', body)
    for host in others:
        await host.peers.links.close()
    status, _body, _headers = await send(
        surfaces, one, '/instances/i-1/deregister'
    )
    assert status == 200
    assert not one.registrar.registry.entries['i-1'].takes_work


async def test_delayed_heartbeat_keeps_successor(surfaces):
    """A delayed heartbeat of a crashed engine whose address is reused."""
    one = surfaces.controls[0]
    body = json.dumps({**HEARTBEAT, 'zone': 'north-hall'}).encode()
    for name in ('new', 'old'):
        status, _body, _headers = await send(
            surfaces, one, f'/instances/i-{name}/heartbeat', body
        )
        assert status == 200, 'the sender is not to try elsewhere'
    held = one.registrar.registry.entries
    assert 'i-new' in held and 'i-old' not in held


GIVEN = {
    'ip': '10.1.0.35',
    'zone': 'hall',
    'region': 'north',
    'zones': {'hall': 'north'},
    'portRange': [7660, 7675],
    'seeds': ['10.1.0.38:8146'],
    'bootstrap': True,
    'tolerate': {'machines': 1},
    'contracts': ['base', 'engine', 'pool'],
    'limits': {'memoryMb': 200, 'linkMbps': 5.0, 'cpuShare': 0.5, 'cores': 1},
    'bounds': {
        'graceS': 8,
        'retryBudgetRatio': 0.2,
        'retrySlack': 56,
        'budgetWindowS': 10,
        'ttl_max_s': 5,
    },
}
ENTRY = {
    'listen': {'front': '10.1.0.35:8144', 'readiness': '10.1.0.35:8140'},
}
CONTROL = {
    'listen': {'control': '10.1.0.35:8146', 'directory': '10.1.0.35:8143'},
    'dataDir': '/data/x',
}


def filled(given):
    """Render deploy/node.json with the template syntax that it uses."""
    text = (ROOT / 'deploy' / 'node.json').read_text()

    def value(path):
        found = given
        for part in path.split('.'):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part)
            if found is None:
                return None
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) else ''

    def gap(match):
        found = value(match.group(1))
        if match.group(2):
            return json.dumps(found)
        return '' if found is None else str(found)

    text = re.sub(r'(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, text)
    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', gap, text)


@pytest.mark.parametrize('role', [ENTRY, CONTROL])
def test_template_gives_settings_that_are_whole(role):
    node = node_settings.parse(filled({**GIVEN, **role}))
    assert node.host == '10.1.0.35:7660'
    assert node.seed_hosts == ['10.1.0.38:7660']
    assert node.control.voters_limit == 3
    assert node.retries.window_ms == 10_000
    assert node.entry.grace_ms == 8_000
    assert node.resources.memory_bytes == 200_000_000
    assert node.admission.enabled
    assert not node.buffering.enabled
    assert (node.data_folder is None) == (role is ENTRY)


def test_budgets_fixed_number_may_be_a_fraction():
    bounds = {**GIVEN['bounds'], 'retrySlack': 4.7}
    node = node_settings.parse(filled({**GIVEN, **ENTRY, 'bounds': bounds}))
    assert node.retries.fixed == 4.7


@pytest.mark.parametrize(
    'given, problem',
    [
        ({**ENTRY, 'seeds': []}, 'seeds'),
        ({**ENTRY, 'seeds': ['nowhere']}, 'seeds'),
        ({**ENTRY, 'zone': 'other'}, 'data_centre'),
        ({**ENTRY, 'region': 'south'}, 'region'),
        ({**CONTROL, 'dataDir': None}, 'data_folder'),
        ({'listen': {}}, 'callers_address'),
        ({**ENTRY, 'portRange': [0, 1]}, 'link_port'),
    ],
)
def test_wrong_settings_are_named(given, problem):
    with pytest.raises(settings.NodeSettingsError, match=problem):
        node_settings.parse(filled({**GIVEN, **given}))


@pytest.mark.parametrize('daemon', ['entry', 'control'])
def test_daemon_that_cannot_start_says_why(tmp_path, daemon):
    path = tmp_path / 'node.json'
    path.write_text('{"cluster": 5}')
    ended = subprocess.run(
        [sys.executable, str(FOLDER / 'run.py'), daemon]
        + ['--settings', str(path)],
        capture_output=True,
        text=True,
    )
    assert ended.returncode == 1
    assert 'cluster' in ended.stderr


def test_folder_hides_no_library():
    """``import platform`` must import the standard library's module."""
    code = (
        f'import sys; sys.path.insert(0, {str(ROOT)!r}); '
        'import platform; print(platform.python_version())'
    )
    ended = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True
    )
    assert ended.stdout.startswith('3.'), ended.stderr
    assert not (FOLDER / '__init__.py').exists()


def test_platform_names_are_confined_to_adapter():
    pattern = re.compile(
        r'Server-Stamp|Target-Instance|Not-Executed|Kv-(From|Fetch|Backup)'
        r'|Prompt-Prefix|Token-Usage|heartbeatAddr|warmupLeftMs|fleetbench'
    )
    for path in sorted((ROOT / 'wrenspoke').rglob('*.py')):
        found = pattern.search(path.read_text())
        assert found is None, f'{path}: {found}'
