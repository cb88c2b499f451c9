"""What hosts of a region learn together of endpoints that fail requests."""

import pytest

from tests import test_backlog
from wrenspoke.coordination.serving import costs
from wrenspoke.coordination.serving import endpoint_outcomes
from wrenspoke.protocol import limiting

SERVED = endpoint_outcomes.Outcome.SERVED
FAILED = endpoint_outcomes.Outcome.FAILED
REFUSED = endpoint_outcomes.Outcome.REFUSED
ENGINE = limiting.EndpointInstance('e', 1)


class FakeRegion:
    """Delivers the messages of a region's hosts at once, or loses them."""

    def __init__(self, hosts):
        self.clock = test_backlog.FakeClock()
        self.handlers = {}
        self.listeners = {}
        self.cut_off = set()
        self.current = {ENGINE}
        self.hosts = {}
        for name in hosts:
            self.hosts[name] = endpoint_outcomes.EndpointOutcomes(
                name,
                FakePollers(self, name),
                FakePeers(self, name),
                lambda life: life in self.current,
                self.clock,
            )

    async def round(self):
        """Let each host report, then each broadcast."""
        for host in self.hosts.values():
            await host._report()
        for host in self.hosts.values():
            await host._broadcast()


class FakePollers:
    """The first host collects for all."""

    def __init__(self, region, host):
        self._region = region
        self._host = host

    def add_listener(self, listener):
        self._region.listeners[self._host] = listener

    def collector(self, _endpoint):
        return next(iter(self._region.hosts))

    async def broadcast(self, message):
        for host, listener in self._region.listeners.items():
            if host not in (self._host, *self._region.cut_off):
                listener(message)


class FakePeers:
    """Delivers one-way messages of one host."""

    def __init__(self, region, host):
        self._region = region
        self._host = host

    def handles(self, _kind):
        def register(handler):
            self._region.handlers[self._host] = handler

        return register

    async def send_oneway(self, host, message):
        if self._host not in self._region.cut_off:
            await self._region.handlers[host](self._host, message)


def record(region, host, outcomes):
    for outcome, count in outcomes.items():
        for _request in range(count):
            region.hosts[host].record(ENGINE, outcome)


@pytest.mark.parametrize(
    'outcomes, failed, refused',
    [
        ({SERVED: 100}, 0.0, 0.0),
        ({FAILED: 1}, 0.2, 0.0),
        ({FAILED: 16}, 0.8, 0.0),
        ({SERVED: 60, FAILED: 36}, 0.36, 0.0),
        ({REFUSED: 16}, 0.0, 0.8),
    ],
    ids=['sound', 'one failure', 'all fail', 'some fail', 'refuses at once'],
)
async def test_failures_of_one_host_are_known_to_all(
    outcomes, failed, refused
):
    region = FakeRegion(['a', 'b', 'c'])
    record(region, 'b', outcomes)
    await region.round()
    for host in region.hosts.values():
        assert host.shares(ENGINE) == pytest.approx((failed, refused))


async def test_failing_part_of_requests_is_seen_by_many_hosts_together():
    """Each host has too few requests there for a series of failures."""
    hosts = [f'h{number}' for number in range(34)]
    region = FakeRegion(hosts)
    for number, host in enumerate(hosts):
        record(region, host, {FAILED: 1} if number % 5 < 2 else {SERVED: 1})
    await region.round()
    for host in hosts:
        record(region, host, {SERVED: 1})
    await region.round()
    for host in region.hosts.values():
        failed, _refused = host.shares(ENGINE)
        assert 0.1 < failed < 0.4


async def test_avoided_endpoint_is_tried_again():
    region = FakeRegion(['a', 'b'])
    record(region, 'a', {FAILED: 20})
    await region.round()
    region.clock.now_ms += 3 * endpoint_outcomes.DECAY_MS
    failed, _refused = region.hosts['b'].shares(ENGINE)
    assert failed < 0.2


async def test_next_instance_starts_without_outcomes():
    region = FakeRegion(['a', 'b'])
    record(region, 'a', {FAILED: 20})
    await region.round()
    region.current = {limiting.EndpointInstance('e', 2)}
    for host in region.hosts.values():
        host._evict()
        assert host.shares(ENGINE) == (0.0, 0.0)
        assert host.shares(limiting.EndpointInstance('e', 2)) == (0.0, 0.0)


async def test_host_that_is_cut_off_goes_by_its_own_outcomes():
    region = FakeRegion(['a', 'b', 'c'])
    region.cut_off = {'c'}
    record(region, 'b', {FAILED: 16})
    record(region, 'c', {FAILED: 1})
    await region.round()
    assert region.hosts['c'].shares(ENGINE)[0] == pytest.approx(0.2)
    assert region.hosts['a'].shares(ENGINE)[0] == pytest.approx(0.8)


async def test_sound_endpoints_cost_no_messages():
    region = FakeRegion(['a', 'b'])
    record(region, 'b', {SERVED: 1_000})
    assert not region.hosts['b']._take_reports()


@pytest.mark.parametrize(
    'failed, refused, first_ms, avoided',
    [
        (0.4, 0.0, 300, True),
        (0.4, 0.0, 1_500, False),
        (0.0, 1.0, 300, True),
        (0.05, 0.0, 600, False),
    ],
    ids=[
        'others have room',
        'others are late',
        'refuses at once while others have room',
        'few failures',
    ],
)
def test_failing_endpoint_gets_what_others_cannot_serve_in_time(
    failed, refused, first_ms, avoided
):
    """Engines fail a part of their requests as others are at their peak."""
    bounds = costs.LatencyBounds(800, 800, 3_000)
    failing_ms = costs.latency_cost_ms(bounds, 100, 300, 0.3)
    failing_ms += costs.failure_cost_ms(bounds, failed, refused)
    sound_ms = costs.latency_cost_ms(bounds, first_ms, first_ms + 200, 0.3)
    assert (failing_ms > sound_ms) is avoided
