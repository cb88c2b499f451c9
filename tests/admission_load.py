"""Engines, hosts and callers for tables of load, stepped by hand.

Hosts place calls by today's rule, or by the admission core. An engine runs
``SLOTS`` streams; a prompt that it computes holds up all of them.
"""

import dataclasses
import random

from wrenspoke.coordination.admission import controller as controllers
from wrenspoke.coordination.admission import places
from wrenspoke.coordination.admission import running_streams
from wrenspoke.protocol import capacity
from wrenspoke.state import loads

STEP_MS = 10
SLOTS = 16
MAX_WAIT_MS = 200
# What hosts see of the streams that end, in all.
ENDS_PER_S = 15.0
EVENT_MS = 40.0
EVENT_MS_PER_STREAM = 2.0
TOKEN_MS = 0.01
REPORT_EVERY_MS = 200
REPORT_AGE_MS = 400
PROFILE = capacity.EngineProfile(
    'e', 0, TOKEN_MS, EVENT_MS, EVENT_MS_PER_STREAM, 100
)
# Today's rule refuses what has a chance of less than a fifth of being done in
# time, which is at about this many times the deadline.
TODAY_MARGIN = 2.1


@dataclasses.dataclass(eq=False)
class Call:
    """A call of a team, with what became of it."""

    at_ms: int
    tokens: int = 1_800
    events: int = 10
    target_ms: int = 800
    deadline_ms: int = 3_000
    urgency: int = 0
    team: str = 'a'
    name: str = ''
    # Ignores Retry-After and repeats each so often, up to ten times.
    repeats_ms: int | None = None
    arrived_ms: int = 0
    tries: int = 0
    engine: int | None = None
    ended_ms: float | None = None
    first_ms: float | None = None
    refused_after_ms: list = dataclasses.field(default_factory=list)
    read: float = 0.0
    made: float = 0.0

    @property
    def due_ms(self):
        """Return the end of the time that the caller gives it."""
        return self.arrived_ms + self.deadline_ms

    @property
    def is_served(self):
        """Return whether it ended within its deadline."""
        return self.ended_ms is not None

    @property
    def in_time(self):
        """Return whether its first piece met the target as well."""
        if not self.is_served:
            return False
        return self.first_ms - self.arrived_ms <= self.target_ms


class Engine:
    """Runs streams; the calls beyond its slots wait."""

    def __init__(self):
        self.calls = []
        self.is_up = True
        self.reports = []
        # The most calls that it had at a time.
        self.most = 0

    def step(self, now_ms):
        """Run for one step; return the calls that have ended."""
        running = self.calls[:SLOTS]
        self.most = max(self.most, len(self.calls))
        left_ms = float(STEP_MS)
        for call in running:
            needed_ms = (call.tokens - call.read) * TOKEN_MS
            used_ms = min(needed_ms, left_ms)
            call.read += used_ms / TOKEN_MS
            left_ms -= used_ms
        gap_ms = EVENT_MS + EVENT_MS_PER_STREAM * len(running)
        for call in running:
            if call.read >= call.tokens - 1e-6:
                call.first_ms = call.first_ms or now_ms
                call.made += left_ms / gap_ms
        ended = [
            call
            for call in self.calls
            if call.made >= call.events or now_ms >= call.due_ms
        ]
        for call in ended:
            self.calls.remove(call)
            if call.made >= call.events:
                call.ended_ms = now_ms
        if now_ms % REPORT_EVERY_MS == 0:
            waiting = len(self.calls) - len(running)
            self.reports.append((now_ms, waiting, len(running)))
        return ended

    def crash(self):
        """Lose all calls."""
        self.is_up = False
        self.calls.clear()

    def report(self, now_ms):
        """Return the newest report that has arrived, or None."""
        for at_ms, waiting, running in reversed(self.reports):
            age_ms = now_ms - at_ms
            if age_ms >= REPORT_AGE_MS:
                return loads.EngineLoad(
                    'e',
                    waiting,
                    running,
                    0,
                    10**6,
                    age_ms - running_streams.REPORT_LAG_MS,
                )
        return None


class Fleet:
    """Some hosts in front of some engines, stepped together.

    ``hosts`` hear of each other's sends after ``told_ms``; None is never.
    """

    def __init__(
        self, engines=4, hosts=3, admits=True, told_ms=30, told_twice=False
    ):
        self.engines = [Engine() for _number in range(engines)]
        self.hosts = [Host(self) for _number in range(hosts)]
        self.admits = admits
        self.told_ms = told_ms
        self.told_twice = told_twice
        self.random = random.Random(1)
        self.calls = []
        self.now_ms = 0
        self.reports_lost = False
        self._arrivals = []
        self._told = []

    def play(self, calls, until_ms, events=()):
        """Play calls, and ``events`` of (time, function of the fleet)."""
        self.calls = sorted(calls, key=lambda call: call.at_ms)
        self._arrivals = [(call.at_ms, call) for call in self.calls]
        events = list(events)
        while self.now_ms < until_ms:
            while events and events[0][0] <= self.now_ms:
                events.pop(0)[1](self)
            self._deliver()
            due = [one for one in self._arrivals if one[0] <= self.now_ms]
            self._arrivals = [
                one for one in self._arrivals if one[0] > self.now_ms
            ]
            for _at_ms, call in due:
                call.arrived_ms = self.now_ms
                call.tries += 1
                self.random.choice(self.hosts).arrive(call)
            for host in self.hosts:
                host.recheck()
            for number, engine in enumerate(self.engines):
                for call in engine.step(self.now_ms):
                    for host in self.hosts:
                        host.ended(number, call)
            self.now_ms += STEP_MS
        return self

    def tell(self, sender, number, stream):
        """Tell the other hosts of a sent call, later."""
        if self.told_ms is not None:
            at_ms = self.now_ms + self.told_ms
            item = (at_ms, sender, number, stream)
            self._told.extend([item] * (2 if self.told_twice else 1))

    def _deliver(self):
        while self._told and self._told[0][0] <= self.now_ms:
            _at_ms, sender, number, stream = self._told.pop(0)
            for host in self.hosts:
                if host is not sender:
                    host.streams.add(number, stream)

    def refused(self, call, return_ms):
        """Let a refused call return once, or repeat again and again."""
        call.refused_after_ms.append(self.now_ms - call.arrived_ms)
        if call.repeats_ms is not None:
            if call.tries < 10:
                at_ms = self.now_ms + call.repeats_ms
                self._arrivals.append((at_ms, call))
        elif call.tries < 2:
            self._arrivals.append((self.now_ms + return_ms, call))

    def count(self, chosen=lambda call: True):
        """Return in how many ways calls ended: in time, served, failed."""
        calls = [call for call in self.calls if chosen(call)]
        served = sum(call.is_served for call in calls)
        in_time = sum(call.in_time for call in calls)
        return in_time, served, len(calls) - served


class Host:
    """Places calls by one of the rules."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.core = controllers.AdmissionController(MAX_WAIT_MS)
        self.streams = running_streams.RunningStreams()
        self._waiting = []
        self._numbers = {}

    def arrive(self, call):
        """Place, queue or refuse a call."""
        ticket = self.core.ticket(
            call.name or str(id(call)),
            call.urgency,
            call.team,
            call.target_ms,
            call.tokens,
            self._fleet.now_ms,
        )
        self._assess(call, ticket)

    def recheck(self):
        """Assess the calls that wait, in order."""
        for ticket in self.core.queue.in_order():
            call = next(one for one, own in self._waiting if own is ticket)
            self._waiting.remove((call, ticket))
            self.core.queue.discard(ticket)
            self._assess(call, ticket)

    def _assess(self, call, ticket):
        now_ms = self._fleet.now_ms
        number, place, queued_ms = self._best(call)
        left_ms = call.due_ms - now_ms
        if not self._fleet.admits:
            expected_ms = queued_ms + call.events * EVENT_MS
            if expected_ms > TODAY_MARGIN * left_ms:
                self._fleet.refused(call, expected_ms)
            else:
                self._send(call, number, place)
            return
        decision = self.core.decide(ticket, place, left_ms, now_ms)
        key = call.name or str(id(call))
        if decision.ruling is controllers.Ruling.ADMIT:
            self.core.admit(ticket, key)
            self._send(call, number, place)
        elif decision.ruling is controllers.Ruling.WAIT:
            self.core.queue.add(ticket)
            self._waiting.append((call, ticket))
        else:
            room_ms = max(place.end_ms - left_ms, place.ready_ms)
            rate = ENDS_PER_S / len(self._fleet.hosts)
            draw = self._fleet.random.random()
            return_ms = self.core.refuse(
                ticket, key, room_ms, rate, draw, now_ms
            )
            self._fleet.refused(call, return_ms)

    def _best(self, call):
        """Return the engine that serves a call soonest, and its place."""
        best = None
        for number, engine in enumerate(self._fleet.engines):
            if not engine.is_up:
                continue
            now_ms = self._fleet.now_ms
            load = None
            if not self._fleet.reports_lost:
                load = engine.report(now_ms)
            found = self.streams.occupancy(number, 's', SLOTS, load, now_ms)
            prefill_ms = call.tokens * TOKEN_MS
            queued_ms = prefill_ms * (1 + found.running / 4)
            demand = places.Demand(
                queued_ms, prefill_ms, 0.0, call.events, 0.0
            )
            place = places.predict(demand, found, PROFILE)
            cost = place.end_ms + call.target_ms * place.harmed
            if best is None or cost < best[0]:
                best = (cost, number, place, queued_ms)
        return best[1:]

    def _send(self, call, number, place):
        now_ms = self._fleet.now_ms
        call.read = call.made = 0.0
        call.first_ms = None
        call.engine = number
        self._fleet.engines[number].calls.append(call)
        stream = places.Stream(
            now_ms,
            now_ms + place.end_ms,
            call.due_ms,
            call.tokens * TOKEN_MS,
        )
        self._numbers[call] = self.streams.add(number, stream)
        self._fleet.tell(self, number, stream)

    def ended(self, number, call):
        """Record the end of a call that this host sent."""
        if call not in self._numbers:
            return
        self.streams.remove(number, self._numbers.pop(call))
        if call.first_ms is not None:
            hold_ms = self._fleet.now_ms - call.first_ms
            self.streams.record_hold('s', hold_ms)
