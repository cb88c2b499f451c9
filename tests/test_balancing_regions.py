"""Demand that moves between regions goes where there is room.

Regions are queues that tests step by hand: calls arrive at one, and its
hosts decide by what they know of the others, which is 400 ms old. The earlier
rule, the wait at the best engine and forwarded tokens over all engines, is
the baseline; serving every call in time is the bound.
"""

import random
import types

import pytest
import structlog

from wrenspoke.coordination.balancing import arrivals
from wrenspoke.coordination.balancing import region_room
from wrenspoke.coordination.serving import costs
from wrenspoke.protocol import capacity

TARGET_MS = 800.0
RTT_MS = 160.0
STEP_MS = 5
OFFER_MS = 400
TOLD_MS = 75
BASE_MS = 40.0
# Without a newer offer a region is not used.
VIEW_TTL_MS = 1_200
TOKEN_MS = 0.02
TOKENS = (1_800, 1_800, 1_800, 6_600)
FORWARDING_MS = 30.0
# Most of the engines' time that calls take.
UTILISATION = 0.92


class FakeClock:
    """Clock that a test sets."""

    def __init__(self):
        self.now_ms = 100_000

    def mono_ms(self):
        return self.now_ms


class Region:
    """Engines, each with a queue of tokens; every call takes the best."""

    def __init__(self, name, speeds, hosts, clock):
        self.name = name
        self.clock = clock
        self.speeds = speeds
        self.queues = [0.0] * len(speeds)
        self.arrivals = arrivals.Arrivals(clock)
        self.spent = [region_room.SpentRoom(clock) for _host in range(hosts)]
        self.forwarded = []
        self.known = {}
        self.sent = {}
        self.frozen = False
        self.cut = False

    @property
    def rate(self):
        return sum(self.speeds) / TOKEN_MS

    def step(self):
        for number, speed in enumerate(self.speeds):
            drained = STEP_MS * speed / TOKEN_MS
            self.queues[number] = max(self.queues[number] - drained, 0.0)

    def best_ms(self, tokens):
        """Return the time to a first piece at the best engine, and it."""
        return min(
            (BASE_MS + (queue + tokens) * TOKEN_MS / speed, number)
            for number, (queue, speed) in enumerate(
                zip(self.queues, self.speeds)
            )
        )

    def take(self, tokens):
        first_ms, number = self.best_ms(tokens)
        self.queues[number] += tokens
        self.arrivals.record('s', tokens)
        return first_ms

    def room(self):
        engines = [
            region_room.EngineRoom(50, 500_000, TOKEN_MS / speed, queue)
            for queue, speed in zip(self.queues, self.speeds)
        ]
        return region_room.sum_up(
            's', engines, self.arrivals.forecast_per_ms('s')
        )

    def offer(self):
        best_ms, _number = self.best_ms(0)
        return types.SimpleNamespace(
            at_ms=self.clock.now_ms,
            wait_ms=best_ms,
            room=self.room(),
            engines=len(self.speeds),
        )


def offered_ms(region, host, other, tokens, balanced):
    """Return the wait that a host expects in another region."""
    offer = region.known[other]
    age_ms = region.clock.now_ms - offer.at_ms
    spent = region.spent[host].since(other, 's', offer.at_ms)
    if not balanced:
        added_ms = spent.tokens * TOKEN_MS / offer.engines
        return offer.wait_ms + added_ms
    now = region_room.room_now(offer.room, spent, age_ms)
    return region_room.wait_ms(offer.wait_ms, offer.room, now, spent, tokens)


class Deployment:
    """Three regions, whose hosts decide alike."""

    def __init__(self, speeds, hosts=6, balanced=True, seed=1, delay_ms=80):
        self.clock = FakeClock()
        self.regions = {
            name: Region(name, found, hosts, self.clock)
            for name, found in speeds.items()
        }
        self.hosts = hosts
        self.balanced = balanced
        self.random = random.Random(seed)
        self.delay_ms = delay_ms
        self.on_way = []
        self.late = self.calls = 0
        self.lost = 0.0
        self.lost_calls = []

    def run(self, demand, duration_ms):
        """Serve; ``demand(name, ms)`` is a multiple of a region's rate."""
        for now_ms in range(0, duration_ms, STEP_MS):
            self.clock.now_ms += STEP_MS
            if now_ms % OFFER_MS == 0:
                self._exchange_offers()
            self._deliver()
            scale = self._feasible(demand, now_ms)
            for region in self.regions.values():
                region.step()
                share = scale * demand(region.name, now_ms)
                mean = sum(TOKENS) / len(TOKENS)
                calls = share * region.rate * STEP_MS / mean
                while calls > 0 and self.random.random() < calls:
                    calls -= 1
                    self._call(region)

    def _feasible(self, demand, now_ms):
        """Return what scales demand to most of what all engines can do."""
        regions = self.regions.values()
        asked = sum(
            demand(found.name, now_ms) * found.rate for found in regions
        )
        return min(
            UTILISATION * sum(found.rate for found in regions) / asked, 1
        )

    def _exchange_offers(self):
        for region in self.regions.values():
            if region.frozen or region.cut:
                continue
            for other in self.regions.values():
                if other is region or self.random.random() < self.lost:
                    continue
                due_ms = self.clock.now_ms + self.delay_ms
                self.on_way.append((due_ms, other, region, region.offer()))

    def _deliver(self):
        now_ms = self.clock.now_ms
        for item in [item for item in self.on_way if item[0] <= now_ms]:
            self.on_way.remove(item)
            _due_ms, asking, offering, offer = item
            asking.known[offering.name] = offer
        for region in self.regions.values():
            due = [item for item in region.forwarded if item[0] <= now_ms]
            region.forwarded = region.forwarded[len(due) :]
            for _due_ms, sender, name, tokens in due:
                for host, spent in enumerate(region.spent):
                    if host != sender:
                        spent.record_forwarded(name, 's', tokens, TOLD_MS)

    def _call(self, region):
        tokens = self.random.choice(TOKENS)
        host = self.random.randrange(self.hosts)
        bounds = costs.LatencyBounds(TARGET_MS, TARGET_MS, 3_000.0)
        here_ms, _number = region.best_ms(tokens)
        costs_ms = {
            region.name: costs.latency_cost_ms(bounds, here_ms, here_ms, 0.2)
            + tokens * TOKEN_MS
        }
        for other, offer in region.known.items():
            if self.clock.now_ms - offer.at_ms > VIEW_TTL_MS:
                continue
            waiting_ms = offered_ms(region, host, other, tokens, self.balanced)
            there_ms = RTT_MS + waiting_ms + tokens * TOKEN_MS
            costs_ms[other] = (
                costs.latency_cost_ms(bounds, there_ms, there_ms, 0.2)
                + tokens * TOKEN_MS
                + FORWARDING_MS
            )
        chosen = min(costs_ms, key=costs_ms.get)
        first_ms = self.regions[chosen].take(tokens)
        second = self.clock.now_ms // OFFER_MS
        counts = region.sent.setdefault(second, [0, 0])
        counts[chosen != region.name] += 1
        if chosen != region.name:
            first_ms += RTT_MS
            region.spent[host].record_forwarded(chosen, 's', tokens)
            region.forwarded.append(
                (self.clock.now_ms + TOLD_MS, host, chosen, tokens)
            )
            if self.regions[chosen].cut:
                first_ms = 10_000.0
                self.lost_calls.append(self.clock.now_ms)
        self.calls += 1
        self.late += first_ms > TARGET_MS

    @property
    def late_share(self):
        return self.late / self.calls


ALIKE = {'a': [1.0] * 5, 'b': [1.0] * 5, 'c': [1.0] * 5}
UNEVEN = {
    'a': [0.6, 1.0, 1.6] * 2,
    'b': [0.6, 0.6, 0.6, 1.6, 1.6],
    'c': [0.6, 1.0, 1.0],
}


def in_turn(name, now_ms):
    """Peaks of twice what a region can do, in turn, and little elsewhere."""
    peak = 'abc'[now_ms // 3_000 % 3]
    return 2.0 if name == peak else 0.4


def one_peak(name, _now_ms):
    return 2.0 if name == 'a' else 0.35


def two_peaks(name, now_ms):
    """Two regions that looked free to each other are both at their peak."""
    if now_ms < 2_000:
        return 0.2
    return {'a': 1.4, 'b': 1.2, 'c': 0.1}[name]


def late_shares(speeds, demand, hosts=6, **changes):
    """Return the share of late calls, by the earlier rule and this one."""
    found = []
    for balanced in (False, True):
        late = calls = 0
        for seed in range(2):
            made = Deployment(speeds, hosts, balanced, seed)
            for field, value in changes.items():
                setattr(made, field, value)
            made.run(demand, 9_000)
            late += made.late
            calls += made.calls
        found.append(late / calls)
    return found


@pytest.mark.parametrize('hosts', [6, 60])
@pytest.mark.parametrize('speeds', [ALIKE, UNEVEN], ids=['alike', 'uneven'])
@pytest.mark.parametrize(
    'demand', [in_turn, one_peak, two_peaks], ids=lambda found: found.__name__
)
def test_peak_is_served_where_there_is_room(demand, speeds, hosts):
    """The best split serves all in time, as all engines together can."""
    before, after = late_shares(speeds, demand, hosts)
    assert after <= before + 0.005
    assert after <= 0.01


@pytest.mark.parametrize(
    'changes',
    [{'lost': 0.5}, {'delay_ms': 600}],
    ids=['half lost', 'a second old'],
)
def test_offers_that_are_lost_or_old_mislead_less(changes):
    before, after = late_shares(UNEVEN, in_turn, **changes)
    assert after < 0.8 * before


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('hosts', [6, 60])
def test_share_that_travels_does_not_swing(hosts, seed):
    """In a steady peak the share changes by little from offer to offer."""
    made = Deployment(UNEVEN, hosts, seed=seed)
    made.run(one_peak, 9_000)
    counts = list(made.regions['a'].sent.values())[3:-1]
    shares = [travelled / (here + travelled) for here, travelled in counts]
    steps = [abs(one - other) for one, other in zip(shares, shares[1:])]
    assert len(steps) > 15
    assert max(steps) <= 0.25


def test_travelling_ends_within_a_second_of_the_peak():
    made = Deployment(ALIKE)
    made.run(lambda name, ms: one_peak(name, ms) if ms < 4_000 else 0.5, 6_000)
    counts = list(made.regions['a'].sent.values())
    assert any(travelled for _here, travelled in counts[:10])
    after = counts[-3:]
    assert sum(travelled for _here, travelled in after) == 0


@pytest.mark.parametrize('state', ['cut', 'frozen'])
def test_region_that_tells_nothing_more_is_left_alone(state):
    """It holds spilled calls; its last offer is good for 1.2 s."""
    made = Deployment(ALIKE)
    made.run(one_peak, 3_000)
    setattr(made.regions['b'], state, True)
    failed_ms = made.clock.now_ms
    made.run(one_peak, 3_000)
    assert all(at - failed_ms <= VIEW_TTL_MS for at in made.lost_calls)
    sent = made.regions['a'].spent[0].since('b', 's', failed_ms + VIEW_TTL_MS)
    assert sent == region_room.Spent()


@pytest.mark.parametrize(
    'room, spent, age_ms, expected_ms',
    [
        ((9, 90_000, 100.0, 0.0, 0.0), (0, 0), 0, 50.0),
        # Tokens that were forwarded wait, divided by all engines' speed.
        ((9, 90_000, 100.0, 0.0, 0.0), (20_000, 4), 0, 250.0),
        # The engines have computed most of them since.
        ((9, 90_000, 100.0, 0.0, 0.0), (20_000, 4), 150, 100.0),
        # Its own callers take all that they compute.
        ((9, 90_000, 100.0, 0.0, 100.0), (20_000, 4), 150, 250.0),
        # The mean wait is longer than that at the engine that was best.
        ((9, 90_000, 100.0, 30_000.0, 0.0), (0, 0), 0, 300.0),
        ((4, 90_000, 100.0, 0.0, 0.0), (0, 4), 0, 550.0),
        ((9, 20_000, 100.0, 0.0, 0.0), (20_000, 1), 400, 550.0),
    ],
    ids=[
        'idle',
        'spent',
        'spent and computed',
        'spent and busy itself',
        'queued',
        'no place left',
        'no memory left',
    ],
)
def test_offer_is_spent(room, spent, age_ms, expected_ms):
    then = capacity.ServiceRoom('s', *room)
    used = region_room.Spent(*spent)
    now = region_room.room_now(then, used, age_ms)
    found_ms = region_room.wait_ms(50.0, then, now, used, 1_000)
    assert found_ms == pytest.approx(expected_ms)


def test_arrivals_foretell_a_peak_in_its_first_second():
    clock = FakeClock()
    made = arrivals.Arrivals(clock)
    forecasts = []
    for step in range(500):
        clock.now_ms += 10
        made.record('s', 100.0 if step < 300 else 300.0)
        forecasts.append(made.forecast_per_ms('s'))
    assert forecasts[299] == pytest.approx(10.0, rel=0.1)
    assert forecasts[340] > 25.0
    assert max(forecasts) <= 1.5 * 30.0 + 1.0


def test_busy_region_is_logged_once_until_it_is_at_ease():
    watch = region_room.BusyLog()
    with structlog.testing.capture_logs() as logs:
        for queued in (0, 40_000, 20_000, 40_000, 5_000, 40_000):
            watch.record(capacity.ServiceRoom('s', 9, 9, 100.0, queued, 50.0))
    assert [line['event'] for line in logs] == [
        'region_busy',
        'region_at_ease',
        'region_busy',
    ]
    assert logs[0]['mean_wait_ms'] == 400
