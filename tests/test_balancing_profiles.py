"""Engine profiles: learned together, shared, and forgotten with instances."""

import asyncio
import random
import types

import pytest

from tests import group
from tests import test_engine_loads
from tests import test_sent_calls
from wrenspoke.coordination.balancing import engine_profiles
from wrenspoke.coordination.serving import estimate
from wrenspoke.protocol import capacity
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.state import routes

# Time for a prompt token, for an event, and for each stream beside, in an
# engine of speed 1.
BASE_MS, TOKEN_MS, EVENT_MS, STREAM_MS = 20.0, 0.01, 30.0, 1.0
SPEEDS = {'e0': 0.6, 'e1': 1.0, 'e2': 1.6}
CALLS_PER_S = 10
HOSTS = 12


class FakeClock:
    """Clock that a test sets."""

    def __init__(self):
        self.now_ms = 100_000

    def mono_ms(self):
        return self.now_ms


class Region:
    """Hosts that observe engines, one of which collects."""

    def __init__(self, hosts=HOSTS, engines=3, seed=1):
        self.clock = FakeClock()
        self.engines = {
            f'e{n}': test_engine_loads.registered(n).registration
            for n in range(engines)
        }
        self.speeds = {name: SPEEDS.get(name, 1.0) for name in self.engines}
        self.hosts = [self.new_host() for _host in range(hosts)]
        self.random = random.Random(seed)
        self.broadcast = []

    def new_host(self):
        return engine_profiles.EngineProfiles(self.engines.get, self.clock)

    @property
    def collector(self):
        return self.hosts[0]

    def serve(self, seconds):
        """Serve calls; report and broadcast ten times a second."""
        for _step in range(round(seconds * 10)):
            for name in self.engines:
                self._serve_engine(name, CALLS_PER_S // 10)
            self.clock.now_ms += 100
            self._exchange()

    def _serve_engine(self, name, calls):
        for _call in range(calls):
            host = self.random.choice(self.hosts)
            tokens = self.random.choice([1_800, 6_600, 12_000])
            speed = self.speeds[name]
            # Half of the prompts wait for others; a quarter unexpectedly.
            ahead, believed = self.random.choice(
                [(0, 0), (0, 0), (3_000, 0), (20_000, 20_000)]
            )
            first_ms = (BASE_MS + (tokens + ahead) * TOKEN_MS) / speed
            host.observe_prompt(name, tokens, believed, first_ms)
            streams = self.random.randrange(5, 40)
            for _event in range(5):
                gap_ms = (EVENT_MS + STREAM_MS * streams) / speed
                gap_ms *= self.random.lognormvariate(0, 0.2)
                host.observe_gap(name, gap_ms, streams)

    def _exchange(self):
        for host in self.hosts:
            observed = host.take_observations(lambda _name: True)
            self.collector.collect(observed)
        due = self.collector.take_due(lambda _name: True, 1)
        self.collector.announce(due)
        self.broadcast += due
        for host in self.hosts[1:]:
            host.merge(due)


def step_ms(profile, streams):
    return profile.event_ms + profile.event_ms_per_stream * streams


@pytest.mark.parametrize('name', SPEEDS)
def test_engines_of_three_speeds_are_known_to_every_host(name):
    region = Region()
    region.serve(10)
    for host in region.hosts:
        found = host.profile(name)
        actual_ms = TOKEN_MS / SPEEDS[name]
        assert found.token_ms == pytest.approx(actual_ms, rel=0.35)
        assert step_ms(found, 20) == pytest.approx(50 / SPEEDS[name], rel=0.2)


def test_fast_engine_is_known_to_be_so_by_each_host():
    region = Region()
    region.serve(10)
    for host in region.hosts:
        slow, fast = host.profile('e0'), host.profile('e2')
        assert slow.token_ms / fast.token_ms == pytest.approx(1.6 / 0.6, 0.3)


def test_fresh_host_knows_all_engines_within_two_seconds():
    region = Region()
    region.serve(5)
    fresh = region.new_host()
    region.hosts.append(fresh)
    region.serve(2)
    for name in region.engines:
        assert fresh.profile(name) == region.hosts[1].profile(name)


@pytest.mark.parametrize('hosts', [6, 60])
def test_engine_that_turns_slow_is_seen_within_two_seconds(hosts):
    region = Region(hosts)
    region.serve(10)
    before = region.hosts[1].profile('e1')
    region.speeds['e1'] = 0.4
    region.serve(2)
    for host in region.hosts:
        after = host.profile('e1')
        assert step_ms(after, 20) > 1.8 * step_ms(before, 20)
        assert after.token_ms > 1.5 * before.token_ms


def test_new_instance_starts_at_the_average_of_its_build():
    region = Region()
    region.serve(5)
    region.engines['e0'] = region.engines['e0'].__class__(
        *('e0', 's', '127.0.0.1:0', 'north-hall', 4),
        *(region.engines['e0'].state, 1),
        born_ms=7,
    )
    found = region.collector.profile('e0')
    assert (found.samples, found.born_ms) == (0, 7)
    known = region.collector.average('s')
    assert found.token_ms == pytest.approx(known.token_ms)


def test_profile_of_an_earlier_instance_is_not_taken_over():
    region = Region()
    region.hosts[1].merge([capacity.EngineProfile('e0', 5, 1, 2, 3, 9)])
    assert region.hosts[1].profile('e0').samples == 0


def test_another_collector_goes_on_from_what_was_learned():
    region = Region()
    region.serve(10)
    before = region.hosts[1].profile('e2')
    region.hosts.pop(0)
    region.serve(0.5)
    after = region.hosts[0].profile('e2')
    assert after.token_ms == pytest.approx(before.token_ms, rel=0.3)
    assert after.samples > before.samples


@pytest.mark.parametrize('engines', [3, 16, 180])
def test_broadcasts_are_bounded_however_many_engines_there_are(engines):
    region = Region(engines=engines)
    region.serve(3)
    most = engine_profiles.PROFILES_PER_S * 3
    assert len(region.broadcast) <= most + 1
    # 180 engines are told in turn, the smaller regions all.
    assert len({found.endpoint for found in region.broadcast}) == min(
        engines, len(region.broadcast)
    )


def test_estimates_use_the_profiles_of_the_region():
    region = Region()
    fresh = region.new_host()
    region.hosts.append(fresh)
    silent = types.SimpleNamespace(load=lambda _endpoint: None)
    made = estimate.Estimator(silent, region.clock, fresh)
    region.serve(5)
    service = routes.RoutedService('s', '/', 9, batch=routes.Batch(64, 9))
    call = dialects.Call(
        'q', 'GET', 'h', '/', [], 0, 9, tokens_in=12_000, tokens_expected=40
    )
    slow, fast = (
        made.estimate(
            types.SimpleNamespace(registration=region.engines[name]),
            service,
            call,
            0,
            False,
        )
        for name in ('e0', 'e2')
    )
    assert slow.prefill_ms == pytest.approx(12_000 * 0.01 / 0.6, rel=0.35)
    assert slow.first_ms > 1.8 * fast.first_ms
    assert slow.end_ms - slow.first_ms > 1.8 * (fast.end_ms - fast.first_ms)


def test_messages_of_earlier_hosts_are_understood():
    assert discovery_messages.RegionGossip().profiles == []
    assert discovery_messages.ReportSentCalls([]).observed == []


@pytest.mark.parametrize('is_carried, messages', [(True, 30), (False, 3)])
def test_profiles_alone_take_few_messages(is_carried, messages):
    region = Region(engines=16)
    region.serve(3)
    sent = 0
    for _step in range(120):
        region.clock.now_ms += 25
        due = region.collector.take_due(lambda _name: True, 1, is_carried)
        sent += bool(due)
    assert sent <= messages + 1


def test_observations_travel_with_sent_calls_to_the_collector():
    """Of two hosts one collects; both know the same in the end."""

    async def play():
        fleet = test_sent_calls.Fleet(2)
        engine = test_engine_loads.registered(0).registration
        known = []
        for host in fleet.hosts:
            known.append(
                engine_profiles.EngineProfiles(
                    {'e0': engine}.get, group.LoopClock()
                )
            )
            host.told._profiles = known[-1]
        for _call in range(60):
            for host, profiles in zip(fleet.hosts, known):
                profiles.observe_prompt('e0', 5_000, 0, 120)
                host.told.publish('e0', 5_000, test_sent_calls.PARTS)
            await asyncio.sleep(0.05)
        await fleet.close()
        one, other = (found.profile('e0') for found in known)
        assert min(one.samples, other.samples) > 50
        assert one.token_ms == pytest.approx(other.token_ms, rel=0.1)

    group.run(play())
