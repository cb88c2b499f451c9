"""Warmup status of endpoints in restored data centres."""

import pytest

from tests import endpoint_limit_fleet
from tests import test_engine_loads
from tests import test_registry
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import roster
from wrenspoke.coordination.serving import warmup_probe
from wrenspoke.protocol import discovery_messages


@pytest.mark.parametrize(
    'before_ms, known',
    [
        (warmup_probe.EARLY_STATUS_MS, True),
        (warmup_probe.EARLY_STATUS_MS + 1, False),
    ],
    ids=['of this time', 'of an earlier time'],
)
def test_status_received_shortly_before_the_change_counts(before_ms, known):
    clock = test_registry.FakeClock()
    held = roster.Roster(1_000, clock)
    for number in range(20):
        held.merge_record(test_engine_loads.record(number))
    asking = region_pollers.RegionPollers(
        'north', 'h1', held, test_engine_loads.NoPeers()
    )
    # An endpoint that two other hosts probe.
    number = next(n for n in range(99) if not asking.is_poller_of(f'e{n}'))
    endpoint = test_engine_loads.registered(number)
    made = warmup_probe.WarmupProbe(
        asking, None, None, None, endpoint_limit_fleet.open_gate(clock), clock
    )
    status = discovery_messages.WarmupStatus(
        endpoint.registration.endpoint, 500
    )
    [listener] = asking._listeners
    listener(discovery_messages.RegionGossip(warm=[status]))
    warm_ms = clock.now_ms + 500
    clock.now_ms += before_ms
    made.start_probes([endpoint])
    found = made.warm_ms(endpoint.registration.endpoint)
    assert found == (warm_ms if known else None)
