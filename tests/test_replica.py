"""The index of a configuration replica never decreases."""

import pytest

from wrenspoke.coordination.membership import replica
from wrenspoke.protocol import messages
from wrenspoke.state import configuration
from wrenspoke.state import routes


def limit(team, rate):
    return configuration.SetLimit(configuration.TeamLimit(team, rate, 1))


def delta(*changes, whole=None):
    """Return the answer to a pull, from (index, change) pairs."""
    index = whole.index if whole else changes[-1][0]
    return messages.ConfigurationDelta(
        index=index, changes=list(changes), whole=whole
    )


OLD = configuration.Configuration(index=1)


@pytest.mark.parametrize(
    'brought, index',
    [
        (delta((4, limit('a', 1))), 4),
        (delta((3, limit('a', 9))), 3),
        (delta((2, limit('a', 9))), 3),
        (delta((2, limit('a', 9)), (5, limit('a', 2))), 5),
        (delta(whole=OLD), 3),
    ],
    ids=['newer', 'the same', 'older', 'overlapping', 'an older whole'],
)
def test_lower_index_is_refused(brought, index):
    held = replica.Replica()
    held.apply_delta(delta((2, limit('a', 5)), (3, limit('b', 7))))
    held.apply_delta(brought)
    assert held.current.index == index
    if index == 3:
        rates = {
            team: one.requests_per_s
            for team, one in held.current.limits.items()
        }
        assert rates == {'a': 5, 'b': 7}


@pytest.mark.parametrize('after', [0, 1, 2, 1500, 2999, 3000])
def test_what_follows_an_index_brings_another_replica_level(after):
    held = replica.Replica()
    other = replica.Replica()
    for index in range(1, 3001):
        change = delta((index, limit(f't{index % 7}', index)))
        held.apply_delta(change)
        if index <= after:
            other.apply_delta(change)
    other.apply_delta(held.delta_since(after))
    assert other.current == held.current


def test_change_that_does_not_fit_is_refused_whole():
    held = replica.Replica()
    held.apply_delta(delta((1, limit('a', 5))))
    state = configuration.SetEndpointState(
        'nowhere', configuration.EndpointState.DRAINED
    )
    assert not held.apply_delta(delta((2, state)))
    assert held.current.index == 1


def table(version, count=1):
    """Return a change to a table of ``count`` routes."""
    found = tuple(
        routes.Route(
            f'r{number}',
            'h',
            f'/{version}/{number}/',
            routes.RouteKind.ONCE,
            (),
            1,
            1,
        )
        for number in range(count)
    )
    return configuration.SetRoutes(routes.RouteTable(version, found))


@pytest.mark.parametrize('after', [0, 1, 2, 4, 8, 9])
def test_one_table_brings_a_replica_level_that_is_some_behind(after):
    held = replica.Replica()
    other = replica.Replica()
    for index in range(1, 10):
        change = table(index) if index % 2 else limit('a', index)
        held.apply_delta(delta((index, change)))
        if index <= after:
            other.apply_delta(delta((index, change)))
    told = held.delta_since(after)
    tables = [
        change
        for _index, change in told.changes
        if isinstance(change, configuration.SetRoutes)
    ]
    assert len(tables) <= 1
    other.apply_delta(told)
    assert other.current == held.current
