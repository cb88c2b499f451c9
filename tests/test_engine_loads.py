"""Each engine is polled by one of few hosts, and lost ones are detected."""

import collections
import types

import pytest

from tests import endpoint_limit_fleet
from tests import test_registry
from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import engine_loads
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.membership import roster
from wrenspoke.coordination.serving import availability
from wrenspoke.coordination.serving import outlier_detection
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.state import configuration
from wrenspoke.state import registry
from wrenspoke.state import routes

REGIONS = {'north-hall': 'north', 'south-hall': 'south'}


class NoPeers:
    """Accepts handlers, and sends nothing."""

    def handles(self, _kind):
        return lambda handler: handler


def record(number):
    return discovery_messages.HostRecord(
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
    return registry.EndpointEntry(said, 0, 1)


def engine_loads_of(host, hosts, engines):
    """Return the engine loads of a host of a region."""
    held = {found.registration.endpoint: found for found in engines}
    known = roster.Roster(1_000, clocks.Clock())
    for found in hosts:
        known.merge_record(found)
    attended = types.SimpleNamespace(
        roster=known,
        registry=types.SimpleNamespace(entries=held, version=(0, len(held))),
        is_isolated=False,
    )
    asking = region_pollers.RegionPollers('north', host, known, NoPeers())
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
    return engine_loads.EngineLoads(
        'north',
        host,
        REGIONS,
        400,
        None,
        attended,
        replicated,
        None,
        asking,
        None,
        None,
        lambda _address, _asked_ms: None,
        endpoint_limit_fleet.open_gate(clocks.Clock()),
        dialects.Dialect(),
        clocks.Clock(),
    )


def assigned_engines(gauged):
    """Return the engines that a host polls for the region."""
    engines = gauged._engines()
    gauged._pollers.engine_count = len(engines)
    if not gauged._pollers.is_poller():
        return []
    return gauged._assigned_engines(engines)


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
        own = assigned_engines(
            engine_loads_of(host.host, hosts, [*engines, *others])
        )
        asked.update(found.registration.endpoint for found in own)
        asking += bool(own)
    assert asked == {found.registration.endpoint: 1 for found in engines}
    assert asking <= asking_count


def test_host_that_is_not_known_yet_counts_itself():
    own = assigned_engines(engine_loads_of('alone', [], [registered(1)]))
    assert [found.registration.endpoint for found in own] == ['e1']


def test_next_in_order_asks_where_no_report_comes():
    hosts = [record(number) for number in range(3)]
    engines = [registered(number) for number in range(8)]
    clock = test_registry.FakeClock()
    every = [engine_loads_of(host.host, hosts, engines) for host in hosts]
    for gauged in every:
        gauged._clock = clock
    asking = [gauged for gauged in every if assigned_engines(gauged)]
    first, second = asking
    before = {
        found.registration.endpoint for found in assigned_engines(second)
    }
    assert before.isdisjoint(
        f.registration.endpoint for f in assigned_engines(first)
    )
    clock.now_ms += engine_loads.TAKEOVER_INTERVALS * 400 + 1
    assert len(assigned_engines(second)) == len(engines)
    for found in engines:
        second._loads[found.registration.endpoint] = (None, clock.now_ms)
    assert {
        found.registration.endpoint for found in assigned_engines(second)
    } == before


@pytest.mark.parametrize(
    'ages_ms, silent',
    [
        ([0, 0, 0], False),
        ([1_600, 0, 0], False),
        ([1_601, 0, 0], True),
        ([1_601, 0], True),
        ([1_601, 1_601, 0], False),
        ([1_601], False),
        ([None, 0, 0], False),
    ],
    ids=[
        'all report',
        'missed',
        'silent',
        'one of two is silent',
        'most are silent',
        'the only one',
        'never reported',
    ],
)
def test_engine_is_silent_once_it_alone_stops_reporting(ages_ms, silent):
    """If most engines stop reporting, the polling hosts have failed."""
    engines = [registered(number) for number in range(len(ages_ms))]
    gauged = engine_loads_of('h0', [record(0)], engines)
    gauged._clock = test_registry.FakeClock()
    for number, age_ms in enumerate(ages_ms):
        if age_ms is not None:
            heard_ms = gauged._clock.now_ms - age_ms
            gauged._loads[f'e{number}'] = (None, heard_ms)
    assert gauged.silent('e0') is silent


@pytest.mark.parametrize('silent', [True, False])
def test_calls_go_to_an_engine_that_is_silent_only_for_want_of_others(silent):
    engines = [registered(number) for number in range(2)]
    gauged = engine_loads_of('h0', [record(0)], engines)
    gauged._clock = test_registry.FakeClock()
    now_ms = gauged._clock.now_ms
    for found in engines:
        gauged._loads[found.registration.endpoint] = (None, now_ms)
    if silent:
        gauged._loads['e0'] = (None, now_ms - 1_601)
    # A deregistered engine does not count.
    gauged._loads['gone'] = (None, 0)
    clock = clocks.Clock()
    available = availability.Availability(
        'north',
        gauged._pollers,
        REGIONS,
        gauged._discovery,
        gauged._replica,
        outlier_detection.OutlierDetector(clock),
        types.SimpleNamespace(cold_until_ms=0),
        gauged,
        endpoint_limit_fleet.open_gate(clock),
        frozenset(),
        clock,
    )
    sound = [
        found.registration.endpoint
        for found in available.healthy_endpoints('s', 'north')
    ]
    assert sound == (['e1'] if silent else ['e0', 'e1'])
    assert len(available.warm_endpoints('s', 'north')) == 2
