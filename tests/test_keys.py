"""Authorization of passed-through calls by the keys of teams."""

import asyncio

import msgspec
import pytest

from tests import endpoints
from tests import loops
from tests import nodes
from tests import test_far
from tests import test_homes
from tests import test_passing
from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import lease
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import access
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import passthrough_api
from wrenspoke.state import configuration
from wrenspoke.state import errors
from wrenspoke.state import routes
from wrenspoke.state import teams

KEY, OTHER_KEY = 'key-of-a', 'key-of-b'
SECRET = b'a secret'
TEAM = b'wrenspoke-team'
system = test_far.system


event_loop_policy = loops.event_loop_policy


def team(name, *keys, **changes):
    """Return a team with the digests of keys."""
    digests = tuple(teams.digest_of(key, SECRET) for key in keys)
    return teams.Team(name, digests, **changes)


def team_table(*found):
    return teams.TeamTable(SECRET, found)


async def put_with_teams(running, found, teams_found, version=None):
    """Apply a route table with teams on every host."""
    await running.put(found, version=version, teams=team_table(*teams_found))


def call_bytes(key=KEY, line='GET /a/x HTTP/1.1', headers=(), **changes):
    """Return the bytes of a request with a key, without one if empty."""
    shown = [f'Authorization: Bearer {key}'] if key else []
    return test_passing.request(line, [*shown, *headers], **changes)


def call_with_body():
    """Return the bytes of a request with a body and a key."""
    length = f'Content-Length: {len(test_homes.BODY)}'
    return call_bytes(
        line=test_homes.POST, headers=[length], body=test_homes.BODY
    )


def values_of_header(sent, name):
    """Return the values of a header of a request, in order."""
    head = sent.partition(b'\r\n\r\n')[0]
    lines = [line.partition(b': ') for line in head.split(b'\r\n')[1:]]
    return [value for field, _, value in lines if field.lower() == name]


@pytest.mark.parametrize(
    'key, headers, opened, status, seen',
    [
        (KEY, [], False, 200, [b'a']),
        (KEY, ['Wrenspoke-Team: b'], False, 200, [b'a']),
        (KEY, ['wrenspoke-TEAM: b', 'Wrenspoke-Team: c'], False, 200, [b'a']),
        (OTHER_KEY, [], False, 200, [b'b']),
        ('nobody', [], False, 401, None),
        (f'{KEY}x', [], False, 401, None),
        ('', [], False, 401, None),
        ('', ['Authorization: Basic a2V5LW9mLWE='], False, 401, None),
        (KEY, [f'Authorization: Bearer {OTHER_KEY}'], False, 401, None),
        ('', ['Wrenspoke-Team: a'], False, 401, None),
        ('', [], True, 200, []),
        ('nobody', ['Wrenspoke-Team: a'], True, 200, []),
        (KEY, [], True, 200, [b'a']),
    ],
    ids=[
        'own team',
        'says another',
        'says two others',
        'other team',
        'unknown',
        'longer',
        'none',
        'another scheme',
        'two keys',
        'team without a key',
        'open, none',
        'open, unknown and a team',
        'open, known',
    ],
)
async def test_endpoint_gets_the_team_and_never_the_key(
    system, key, headers, opened, status, seen
):
    found = test_passing.route(open=opened)
    await put_with_teams(system, found, [team('a', KEY), team('b', OTHER_KEY)])
    endpoint = await system.add('e', 'north-hall')
    got = await endpoints.send_raw(
        system.north, call_bytes(key, headers=headers)
    )
    assert got.startswith(b'HTTP/1.1 %d ' % status)
    assert len(endpoint.requests) == (0 if seen is None else 1)
    for sent in endpoint.requests:
        assert values_of_header(sent, TEAM) == seen
        assert values_of_header(sent, b'authorization') == []
        assert KEY.encode() not in sent and OTHER_KEY.encode() not in sent


async def test_without_teams_the_callers_own_headers_are_passed_on(system):
    await system.put(test_passing.route())
    endpoint = await system.add('e', 'north-hall')
    got = await endpoints.send_raw(
        system.north, call_bytes(headers=['Wrenspoke-Team: theirs'])
    )
    assert got.endswith(b'whole')
    [sent] = endpoint.requests
    assert values_of_header(sent, TEAM) == [b'theirs']
    assert values_of_header(sent, b'authorization') == [
        b'Bearer ' + KEY.encode()
    ]


@pytest.mark.parametrize(
    'of_route, of_team, north_gets, south_gets',
    [
        ((), ('south',), 0, 1),
        (('north',), ('north', 'south'), 1, 0),
        (('north', 'south'), ('south',), 0, 1),
        (('north',), ('south',), 0, 0),
        ((), ('west',), 0, 0),
    ],
    ids=['team', 'both, here', 'both, there', 'none in common', 'no endpoint'],
)
async def test_homes_of_team_and_route_both_bind(
    system, of_route, of_team, north_gets, south_gets
):
    found = test_far.route(homes=of_route)
    await put_with_teams(system, found, [team('a', KEY, homes=of_team)])
    here = await system.add('e1', 'north-hall')
    there = await system.add('e2', 'south-hall')
    await test_far.wait_for_pongs(system)
    got = await endpoints.send_raw(system.north, call_bytes())
    assert (len(here.requests), len(there.requests)) == (
        north_gets,
        south_gets,
    )
    if not north_gets + south_gets:
        assert got.startswith(b'HTTP/1.1 503 ')
    for sent in there.requests:
        assert values_of_header(sent, TEAM) == [b'a']
        assert values_of_header(sent, b'authorization') == []


KEY_CHANGES = {
    'to another team': ([team('a'), team('b', KEY)], 200, [b'b']),
    'withdrawn': ([team('a'), team('b', OTHER_KEY)], 401, []),
    'team dropped': ([team('b', OTHER_KEY)], 401, []),
    'dropped and back': ([team('a', KEY)], 200, [b'a']),
}


@pytest.mark.parametrize('name', KEY_CHANGES)
async def test_key_counts_as_its_body_leaves(system, name, monkeypatch):
    """Teams change while the connection to the endpoint is opened."""
    after, status, seen = KEY_CHANGES[name]
    found = test_passing.route()
    await put_with_teams(system, found, [team('a', KEY), team('b', OTHER_KEY)])
    endpoint = await system.add('e', 'north-hall')
    connector = system.entries[0]._client._pooled.connector
    connect = connector._create_connection

    async def connect_late(*arguments):
        made = await connect(*arguments)
        monkeypatch.undo()
        if name == 'dropped and back':
            await put_with_teams(system, found, [team('b', OTHER_KEY)])
        await put_with_teams(system, found, after)
        return made

    monkeypatch.setattr(connector, '_create_connection', connect_late)
    got = await endpoints.send_raw(system.north, call_with_body())
    assert got.startswith(b'HTTP/1.1 %d ' % status)
    assert [
        values_of_header(one, TEAM)[0] for one in endpoint.requests
    ] == seen


async def test_other_region_host_applies_its_own_newer_keys(
    system, monkeypatch
):
    """The first host has an older table without the key's withdrawal."""
    await put_with_teams(system, test_far.route(), [team('a', KEY)])
    there = await system.add('e2', 'south-hall')
    await test_far.wait_for_pongs(system)
    north = system.entries[0]
    monkeypatch.setattr(north.replica, 'apply_delta', lambda _delta: False)
    leader = await system.leader()
    held = north.replica.current.routes
    newer = routes.RouteTable(
        held.version + 1,
        held.routes,
        held.services,
        digest='newer',
        teams=team_table(team('b', OTHER_KEY)),
    )
    await leader.decisions.replace_routes(newer)
    for other in system.entries[1:]:
        await nodes.until(
            lambda other=other: (
                other.replica.current.routes.version == newer.version
            )
        )
    got = await endpoints.send_raw(system.north, call_bytes())
    assert got.startswith(b'HTTP/1.1 401 ')
    assert there.requests == []


@pytest.mark.parametrize(
    'opened, status', [(False, 503), (True, 200)], ids=['keyed', 'open']
)
async def test_without_a_lease_only_open_routes_are_served(
    system, opened, status
):
    found = test_passing.route(open=opened)
    await put_with_teams(system, found, [team('a', KEY)])
    endpoint = await system.add('e', 'north-hall')
    lease = system.entries[0].lease
    lease.granted.set()
    lease._length_ms, lease._as_of_ms = 0, system.entries[0].clock.mono_ms()
    got = await endpoints.send_raw(system.north, call_bytes())
    assert got.startswith(b'HTTP/1.1 %d ' % status)
    assert len(endpoint.requests) == (status == 200)
    if status == 503:
        head = got.partition(b'\r\n\r\n')[0].lower()
        assert b'retry-after: ' in head
        assert (
            f'{passthrough_api.REFUSED_HEADER}: no_lease'.lower().encode()
            in head
        )


@pytest.mark.parametrize('with_body', [False, True], ids=['head', 'body'])
async def test_lease_that_ends_while_a_connection_is_made_sends_nothing(
    system, monkeypatch, with_body
):
    await put_with_teams(system, test_passing.route(), [team('a', KEY)])
    endpoint = await system.add('e', 'north-hall')
    north = system.entries[0]
    connector = north._client._pooled.connector
    connect = connector._create_connection

    async def connect_late(*arguments):
        made = await connect(*arguments)
        north.lease.granted.set()
        north.lease._length_ms = 0
        return made

    monkeypatch.setattr(connector, '_create_connection', connect_late)
    sent = call_with_body() if with_body else call_bytes()
    got = await endpoints.send_raw(system.north, sent)
    assert got.startswith(b'HTTP/1.1 503 ')
    assert endpoint.requests == []


async def test_call_that_waited_uses_the_table_of_its_permit(
    system, monkeypatch
):
    """The table changes while the call waits for a lease."""
    await put_with_teams(system, test_passing.route(), [team('a', KEY)])
    endpoint = await system.add('e', 'north-hall', service='later')
    north = system.entries[0]
    wait = north.passthrough._permit

    async def wait_long(asked):
        held = north.replica.current.routes
        [found] = held.routes
        newer = routes.RouteTable(
            held.version + 1,
            (
                msgspec.structs.replace(
                    found, targets=(routes.Target('later'),)
                ),
            ),
            {'later': routes.RoutedService('later', '/health', 10)},
            digest='newer',
            teams=held.teams,
        )
        leader = await system.leader()
        await leader.decisions.replace_routes(newer)
        await nodes.until(
            lambda: north.replica.current.routes.version == newer.version
        )
        return await wait(asked)

    monkeypatch.setattr(north.passthrough, '_permit', wait_long)
    got = await endpoints.send_raw(system.north, call_bytes())
    assert got.endswith(b'whole') and len(endpoint.requests) == 1


async def test_lease_is_renewed_without_calls_of_its_own(tmp_path):
    """Regular traffic renews the lease; without control hosts it ends."""
    async with nodes.running(tmp_path, controls=3, entries=0) as running:
        running.changes = {'withdrawn_keys_ms': 2_000}
        for _number in range(2):
            await running.start_entry()
        await put_with_teams(running, test_passing.route(), [team('a', KEY)])
        for entry in running.entries:
            await asyncio.wait_for(entry.lease.granted.wait(), nodes.WAIT_S)
        seen = [entry.lease._as_of_ms for entry in running.entries]
        for entry, before in zip(running.entries, seen, strict=True):
            await nodes.until(
                lambda entry=entry, before=before: (
                    entry.lease._as_of_ms > before
                )
            )
        for one in running.controls:
            await one.close()
        running.controls.clear()
        for entry in running.entries:
            await nodes.until(lambda entry=entry: not entry.lease.held)


@pytest.mark.parametrize(
    'found, named',
    [
        ([team('a', KEY), team('b', KEY)], ['teams.a', 'teams.b']),
        ([team('a', KEY), team('a', OTHER_KEY)], ['teams.a']),
        (
            [team('a', KEY, limit=teams.TeamLimit(-1.0))],
            ['teams.a', 'rate_per_s'],
        ),
        (
            [team('a', KEY, limit=teams.TeamLimit(1.0, float('nan')))],
            ['teams.a', 'burst'],
        ),
    ],
    ids=['shared key', 'two of a name', 'rate below 0', 'no number'],
)
def test_teams_that_are_wrong_are_named(found, named):
    with pytest.raises(errors.InvalidChangeError) as raised:
        routes.check(routes.RouteTable(1, teams=team_table(*found)))
    for text in named:
        assert text in str(raised.value)


def test_key_is_held_as_a_digest_under_a_secret():
    first, second = teams.new_secret(), teams.new_secret()
    assert teams.digest_of(KEY, first) != teams.digest_of(KEY, second)
    held = teams.TeamIndex(team_table(team('a', KEY)))
    assert held.find(KEY).team == 'a'
    assert held.find('') is None and held.find(OTHER_KEY) is None
    assert KEY not in repr(held.table)


@pytest.mark.parametrize(
    'of_teams, of_routes, urgencies',
    [
        ([], [0, 1, 2], {(None, 0): 0, (None, 1): 1, (None, 2): 2}),
        ([], [0, 40], {(None, 40): 9}),
        (
            [2, 0],
            [0, 1],
            {(0, 0): 0, (0, 1): 1, (2, 0): 3, (2, 1): 4},
        ),
        (
            list(range(8)),
            [0, 1, 2],
            {(0, 0): 0, (0, 2): 0, (1, 0): 1, (7, 2): 7},
        ),
    ],
    ids=['routes alone', 'beyond the scale', 'teams first', 'many'],
)
def test_priority_of_a_team_goes_before_that_of_a_route(
    of_teams, of_routes, urgencies
):
    teams_found = [
        team(f't{priority}', f'k{priority}', priority=priority)
        for priority in of_teams
    ]
    found = [
        test_passing.route(prefix=f'/{priority}/', priority=priority)
        for priority in of_routes
    ]
    held = replica.Replica()
    lease_of = lease.ConfigurationLease(None, clocks.Clock())
    permits = access.AccessControl(held, None, lease_of)
    held.current = configuration.Configuration(
        index=1,
        routes=routes.RouteTable(
            1,
            tuple(found),
            teams=team_table(*teams_found) if of_teams else None,
        ),
    )
    for (of_team, of_route), urgency in urgencies.items():
        asked = dialects.Call(
            'q',
            'GET',
            'h.example',
            f'/{of_route}/x',
            [],
            0,
            0,
            key=f'k{of_team}',
        )
        assert permits.authorize(asked).urgency == urgency
