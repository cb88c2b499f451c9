"""Choice among endpoints: the near one, and the one with room."""

import random
import types

import pytest

from tests import test_engine_loads
from wrenspoke.coordination.balancing import distance
from wrenspoke.coordination.balancing import plain_waits
from wrenspoke.coordination.serving import costs
from wrenspoke.coordination.serving import estimate
from wrenspoke.coordination.serving import sampling
from wrenspoke.protocol import dialect as dialects
from wrenspoke.state import routes

TARGET_MS = 800.0


class FakeClock:
    """Clock that a test sets."""

    def __init__(self):
        self.now_ms = 100_000

    def mono_ms(self):
        return self.now_ms


def call_of(body_bytes, tokens=30):
    return dialects.Call(
        *('q', 'POST', 'h', '/', [], 0, 5_000),
        body=b'x' * body_bytes,
        tokens_expected=tokens,
    )


def cost_ms(data_centre, body_bytes, first_ms):
    """Return the cost of an endpoint for a call from data centre a."""
    bounds = costs.LatencyBounds(TARGET_MS, TARGET_MS, 5_000.0)
    far_ms = distance.DistanceCost('a').cost_ms(
        data_centre, call_of(body_bytes), TARGET_MS
    )
    return costs.latency_cost_ms(bounds, first_ms, first_ms, 0.3) + far_ms


@pytest.mark.parametrize(
    'body_bytes, near_ms, far_ms, chosen',
    [
        (8_000, 150, 150, 'a'),
        (8_000, 190, 150, 'a'),
        (50_000, 300, 150, 'a'),
        # The far one comes in time, the near one might not.
        (50_000, 700, 150, 'b'),
        (8_000, 500, 150, 'b'),
        (5_000_000, 2_000, 150, 'b'),
    ],
    ids=[
        'both idle',
        'near a little slower',
        'large body',
        'near late at times',
        'near slower by far',
        'huge body and near late',
    ],
)
def test_far_engine_has_to_earn_its_bytes(body_bytes, near_ms, far_ms, chosen):
    found = {
        'a': cost_ms('a', body_bytes, near_ms),
        'b': cost_ms('b', body_bytes, far_ms),
    }
    assert min(found, key=found.get) == chosen


@pytest.mark.parametrize('body_bytes', [0, 10_000, 10_000_000])
def test_distance_costs_at_most_a_small_share_of_the_target(body_bytes):
    found_ms = distance.DistanceCost('a').cost_ms(
        'b', call_of(body_bytes), TARGET_MS
    )
    assert 0 < found_ms <= distance.MAX_TARGET_SHARE * TARGET_MS


SERVICE = routes.RoutedService('plain', '/', 100)


def plain_endpoints(count, slots):
    found = [
        test_engine_loads.registered(n, service='plain') for n in range(count)
    ]
    assert {one.registration.slots for one in found} == {slots}
    return found


class PlainRegion:
    """Hosts that share the slots of few endpoints.

    An endpoint runs a call at once in a free slot, queues as many calls as
    it has slots, and refuses others.
    """

    def __init__(self, hosts, balanced, hold_ms, seed=1):
        self.clock = FakeClock()
        self.balanced = balanced
        profiles = (
            types.SimpleNamespace(subscribe=lambda _listener: None)
            if balanced
            else None
        )
        self.hosts = [
            estimate.Estimator(None, self.clock, profiles)
            for _host in range(hosts)
        ]
        self.endpoints = plain_endpoints(3, 4)
        self.hold_ms = hold_ms
        self.random = random.Random(seed)
        self.ends_ms = {n: [] for n in range(len(self.endpoints))}
        self.in_flight = [{} for _host in range(hosts)]
        self.refused = self.sent = 0
        self.answers = []

    def run(self, calls, interval_ms):
        for _call in range(calls):
            self.clock.now_ms += self.random.expovariate(1 / interval_ms)
            self._answer()
            self._send(self.random.randrange(len(self.hosts)))
        return self.refused / self.sent

    def _send(self, host):
        def expected_ms(number):
            found = self.endpoints[number]
            in_flight = self.in_flight[host].get(number, 0)
            item = self.hosts[host].estimate(
                found, SERVICE, call_of(0), in_flight, False
            )
            return item.first_ms, self.random.random()

        size = sampling.PLAIN_SAMPLE_SIZE if self.balanced else 16
        numbers = range(len(self.endpoints))
        if size < len(numbers):
            numbers = self.random.sample(numbers, size)
        number = min(numbers, key=expected_ms)
        now_ms = self.clock.now_ms
        ends = [end for end in self.ends_ms[number] if end > now_ms]
        slots = self.endpoints[number].registration.slots
        name = self.endpoints[number].registration.endpoint
        self.sent += 1
        if len(ends) >= 2 * slots:
            self.refused += 1
            self.hosts[host].record_refusal(name)
            return
        began_ms = now_ms
        if len(ends) >= slots:
            began_ms = sorted(ends)[-slots]
        ends.append(began_ms + self.hold_ms[number])
        self.ends_ms[number] = ends
        counts = self.in_flight[host]
        counts[number] = counts.get(number, 0) + 1
        self.answers.append((ends[-1], now_ms, host, number, name))

    def _answer(self):
        self.answers.sort()
        while self.answers and self.answers[0][0] <= self.clock.now_ms:
            end_ms, sent_ms, host, number, name = self.answers.pop(0)
            self.in_flight[host][number] -= 1
            self.hosts[host].record_first_piece(
                name, SERVICE, estimate.Estimate(0.0), end_ms - sent_ms
            )


@pytest.mark.parametrize('hosts', [6, 87])
@pytest.mark.parametrize(
    'hold_ms',
    [(30, 30, 30), (18, 30, 50), (20, 20, 120)],
    ids=['alike', 'three speeds', 'one slow'],
)
def test_peak_of_a_plain_service_is_refused_less(hosts, hold_ms):
    """The calls take 0.9 of the slots' time."""
    capacity_per_ms = sum(4 / ms for ms in hold_ms)
    interval_ms = 1 / (0.9 * capacity_per_ms)
    refused = [
        sum(
            PlainRegion(hosts, balanced, hold_ms, seed).run(4_000, interval_ms)
            for seed in range(3)
        )
        / 3
        for balanced in (False, True)
    ]
    assert refused[1] <= refused[0]
    if len(set(hold_ms)) > 1:
        assert refused[1] < 0.7 * refused[0]


def test_endpoint_that_refused_is_used_again_soon():
    clock = FakeClock()
    waits = plain_waits.PlainWaits(clock)
    usual_ms = waits.expected_ms('e', 's')
    waits.record_refusal('e')
    assert waits.expected_ms('e', 's') > 4 * usual_ms
    clock.now_ms += 2_000
    assert waits.expected_ms('e', 's') == pytest.approx(usual_ms, rel=0.01)
