"""Route tables: validation, lookup and versioning."""

import random

import msgspec
import pytest

from wrenspoke.state import configuration
from wrenspoke.state import entries
from wrenspoke.state import errors
from wrenspoke.state import replicated
from wrenspoke.state import routes


def route(name='r', prefix='/a/', host='h', **changes):
    """Return a valid route."""
    fields = {
        'kind': routes.RouteKind.ONCE,
        'targets': (routes.Target('s'),),
        'timeout_ms': 1000,
        'target_ms': 100,
    }
    return routes.Route(name, host, prefix, **{**fields, **changes})


def table(*found, version=1, digest='x'):
    """Return a route table with one service."""
    services = {'s': routes.RoutedService('s', '/health', 10)}
    return routes.RouteTable(version, found, services, digest=digest)


@pytest.mark.parametrize(
    'found, field',
    [
        (table(version=0), 'version'),
        (table(route(targets=(routes.Target('t'),))), "service 't'"),
        (table(route(), route('other')), 'taken by r'),
        (table(route(targets=(routes.Target('s', 0.0),))), 'sum to 0'),
        (table(route(targets=())), 'sum to 0'),
        (table(route(targets=(routes.Target('s', -1.0),))), 'below 0'),
        (table(route(timeout_ms=0)), 'time-out'),
        (table(route(attempts_limit=0)), 'attempt'),
        (table(route(prefix='/a')), 'slash'),
        (table(route(prefix='a/')), 'slash'),
    ],
)
def test_table_that_cannot_be_served_is_refused(found, field):
    with pytest.raises(errors.InvalidChangeError, match=field):
        routes.check(found)


@pytest.mark.parametrize(
    'host, path, name',
    [
        ('h', '/a/x', 'short'),
        ('h', '/a/b/x', 'long'),
        ('H', '/a/b/', 'long'),
        ('h', '/a/bc', 'short'),
        ('h', '/a', None),
        ('h', '/b/', None),
        ('other', '/a/x', None),
    ],
)
def test_longest_prefix_of_the_host_is_found(host, path, name):
    found = table(route('short', '/a/'), route('long', '/a/b/'))
    routes.check(found)
    index = routes.RouteIndex(found)
    assert getattr(index.find(host, path), 'name', None) == name


ACCEPTED = replicated.Verdict.ACCEPTED
CONFLICT = replicated.Verdict.CONFLICT


@pytest.mark.parametrize('seed', range(20))
def test_found_route_is_the_first_of_the_longest_prefix(seed):
    """Looks at every route, as lengths of prefixes are looked up instead."""
    rng = random.Random(seed)

    def path(parts):
        return '/' + ''.join(f'{rng.choice("abc")}/' for _ in range(parts))

    table = routes.RouteTable(
        1,
        tuple(
            routes.Route(
                f'r{number}',
                rng.choice(['h', 'H', 'g']),
                path(rng.randrange(4)),
                routes.RouteKind.ONCE,
                (routes.Target('s'),),
                timeout_ms=1_000,
                target_ms=500,
            )
            for number in range(rng.randrange(30))
        ),
    )
    index = routes.RouteIndex(table)
    for _path in range(200):
        host = rng.choice(['h', 'G', 'other'])
        asked = path(rng.randrange(6)) + rng.choice(['', 'a', 'b?q=/'])
        matching = [
            route
            for route in table.routes
            if route.host.lower() == host.lower()
            and asked.startswith(route.path_prefix)
        ]
        longest = max(
            matching, key=lambda route: len(route.path_prefix), default=None
        )
        assert index.find(host, asked) is longest


@pytest.mark.parametrize(
    'offered, verdict, held',
    [
        (table(version=8, digest='new'), ACCEPTED, (8, 'new')),
        (table(version=7, digest='x'), ACCEPTED, (7, 'x')),
        (table(version=7, digest='new'), CONFLICT, (7, 'x')),
        (table(version=3, digest='new'), ACCEPTED, (7, 'x')),
    ],
    ids=['higher', 'the same again', 'same version, other words', 'lower'],
)
def test_highest_version_prevails(offered, verdict, held):
    state = replicated.ReplicatedState()
    state.apply(1, entries.ReplaceRoutes(table(version=7)))
    applied = state.apply(2, entries.ReplaceRoutes(offered))
    assert applied.answer.verdict is verdict
    now = state.configuration.routes
    assert (now.version, now.digest) == held
    assert (applied.change is not None) == (held[0] == 8)


def test_evacuations_are_independent_of_routes():
    state = replicated.ReplicatedState()
    state.apply(1, entries.Evacuate('north', True))
    state.apply(2, entries.ReplaceRoutes(table(version=2)))
    again = state.apply(3, entries.Evacuate('north', True))
    assert again.answer.verdict is ACCEPTED and again.change is None
    assert state.configuration.evacuated == ('north',)
    state.apply(4, entries.Evacuate('north', False))
    assert state.configuration.evacuated == ()
    assert state.configuration.routes.version == 2


@pytest.mark.parametrize(
    'one, other, equal',
    [
        ('{"a":1,"b":[2]}', '{ "b": [2], "a": 1 }', True),
        ('{"a":1,"b":[2]}', '{"a":1,"b":[3]}', False),
        ('{"b":[1,2]}', '{"b":[2,1]}', False),
    ],
)
def test_digest_ignores_formatting(one, other, equal):
    digests = [
        routes.digest_of(msgspec.json.decode(text)) for text in (one, other)
    ]
    assert (digests[0] == digests[1]) is equal


def test_whole_configuration_carries_routes_and_evacuations():
    """Replacing the whole configuration must keep both."""
    whole = configuration.Configuration(
        index=4, routes=table(version=2), evacuated=('north',)
    )
    old = configuration.Configuration(index=1)
    new = configuration.apply(old, configuration.SetAll(whole), 5)
    assert new == msgspec.structs.replace(whole, index=5)
