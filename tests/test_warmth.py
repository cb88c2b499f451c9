"""What is heard of endpoints that were taken back."""

import pytest

from tests import endpoint_limit_fleet
from tests import test_gauges
from tests import test_registry
from wrenspoke.coordination.membership import askers
from wrenspoke.coordination.membership import roster
from wrenspoke.coordination.serving import warmth
from wrenspoke.protocol import attending


@pytest.mark.parametrize(
    'before_ms, known',
    [(warmth.EARLY_MS, True), (warmth.EARLY_MS + 1, False)],
    ids=['of this time', 'of an earlier time'],
)
def test_answer_to_another_host_may_come_before_the_change(before_ms, known):
    clock = test_registry.FakeClock()
    held = roster.Roster(1_000, clock)
    for number in range(20):
        held.take(test_gauges.record(number))
    asking = askers.Askers('north', 'h1', held, test_gauges.NoPeers())
    # One that two other hosts ask.
    number = next(n for n in range(99) if not asking.asks_of(f'e{n}'))
    endpoint = test_gauges.registered(number)
    made = warmth.Warmth(
        asking, None, None, None, endpoint_limit_fleet.open_gate(clock), clock
    )
    status = attending.WarmupStatus(endpoint.said.endpoint, 500)
    [listener] = asking._listeners
    listener(attending.TellRegion(warm=[status]))
    warm_ms = clock.now_ms + 500
    clock.now_ms += before_ms
    made.ask([endpoint])
    found = made.warm_ms(endpoint.said.endpoint)
    assert found == (warm_ms if known else None)
