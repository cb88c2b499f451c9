"""Which hosts of a region ask its engines for their load."""

import collections
import types

import pytest

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import gauges
from wrenspoke.coordination.membership import replica
from wrenspoke.protocol import attending
from wrenspoke.state import configuration
from wrenspoke.state import registry
from wrenspoke.state import routes

REGIONS = {'north-hall': 'north', 'south-hall': 'south'}


class NoPeers:
    """Take who answers what, and nothing else."""

    def answers(self, _kind):
        return lambda answerer: answerer


def record(number):
    return attending.HostRecord(
        f'h{number}', 'north', 'north-hall', '', '', 'start', 0, False
    )


def registered(number, data_centre='north-hall', service='s'):
    said = registry.Registration(
        f'e{number}',
        service,
        f'127.0.0.1:{number}',
        data_centre,
        4,
        registry.RegistrationState.READY,
        1,
    )
    return registry.Registered(said, 0, 1)


def made(host, hosts, engines):
    """Return what a host of a region knows of engines' loads."""
    held = {found.said.endpoint: found for found in engines}
    attended = types.SimpleNamespace(
        roster=types.SimpleNamespace(usable=lambda _region: hosts),
        registry=types.SimpleNamespace(held=held),
    )
    table = routes.RouteTable(
        1,
        (),
        {
            's': routes.RoutedService('s', '/', 10, batch=routes.Batch(4, 9)),
            'plain': routes.RoutedService('plain', '/', 10),
        },
    )
    replicated = replica.Replica()
    replicated.current = configuration.Configuration(index=1, routes=table)
    return gauges.Gauges(
        'north',
        host,
        REGIONS,
        400,
        None,
        attended,
        replicated,
        None,
        NoPeers(),
        lambda _address, _asked_ms: None,
        clocks.Clock(),
    )


@pytest.mark.parametrize(
    'hosts_count, engines_count, asking_count',
    [(1, 6, 1), (3, 3, 2), (28, 36, 3), (28, 16, 2), (2, 100, 2)],
)
def test_each_engine_is_asked_by_one_of_few_hosts(
    hosts_count, engines_count, asking_count
):
    hosts = [record(number) for number in range(hosts_count)]
    engines = [registered(number) for number in range(engines_count)]
    others = [
        registered(1_000, data_centre='south-hall'),
        registered(1_001, service='plain'),
    ]
    asked = collections.Counter()
    asking = 0
    for host in hosts:
        own = made(host.host, hosts, [*engines, *others])._own()
        asked.update(found.said.endpoint for found in own)
        asking += bool(own)
    assert asked == {found.said.endpoint: 1 for found in engines}
    assert asking <= asking_count


def test_host_that_is_not_known_yet_counts_itself():
    own = made('alone', [], [registered(1)])._own()
    assert [found.said.endpoint for found in own] == ['e1']
