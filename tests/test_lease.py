"""No host serves a withdrawn key after the bound.

A simulation of hosts, control hosts and links withdraws a key while hosts
are frozen, partitioned or restarted and leaders change.
"""

import random

import pytest

from wrenspoke.coordination.membership import lease as leases
from wrenspoke.protocol import messages

BOUND_MS = 5_000
STEP_MS = 10
END_MS = 40_000
# Maximum relative clock drift.
DRIFT = 0.01


class HostClock:
    """Drifts from the simulated time, with an offset of its own."""

    def __init__(self, world, rate, offset_ms):
        self._world = world
        self._rate = rate
        self._offset_ms = offset_ms

    def mono_ms(self):
        return int(self._offset_ms + self._world.now_ms * self._rate)


class DelayedLink:
    """Delivers messages late, and none while either end is cut off."""

    def __init__(self, world):
        self._world = world
        self._under_way = []

    def send(self, sender, receiver, message):
        delay_ms = self._world.random.choice([1, 80, 80, 160, 1_400])
        at_ms = self._world.now_ms + delay_ms
        self._under_way.append((at_ms, sender, receiver, message))

    def deliver(self):
        due = [one for one in self._under_way if one[0] <= self._world.now_ms]
        for one in due:
            _at_ms, sender, receiver, message = one
            if receiver.stopped:
                # The message stays in the socket until the host resumes.
                continue
            self._under_way.remove(one)
            if not (sender.cut_off or receiver.cut_off):
                receiver.take(sender, message)


class Actor:
    """A process that can be frozen or cut off."""

    def __init__(self, world):
        self.world = world
        self.frozen_until_ms = self.cut_until_ms = 0
        rate = 1 + world.random.uniform(-DRIFT, DRIFT)
        self.clock = HostClock(world, rate, world.random.uniform(0, 10**6))

    @property
    def stopped(self):
        return self.world.now_ms < self.frozen_until_ms

    @property
    def cut_off(self):
        return self.world.now_ms < self.cut_until_ms

    def take(self, sender, message):
        getattr(self, f'take_{message[0]}')(sender, *message[1:])


class Leader(Actor):
    """Accepts the withdrawal, and echoes moments while it leads."""

    index = 1
    leads = True

    def take_reply(self, sender, moment):
        if self.leads:
            self.world.wire.send(self, sender, ('append', self.index, moment))


class Control(Actor):
    """Follows the leader, and answers long polls of hosts."""

    def __init__(self, world):
        super().__init__(world)
        self.restart()

    def restart(self):
        self.life = self.world.random.random()
        self.confirmed_ms = None
        self.index = 1
        self.waiting = []

    def take_append(self, _sender, index, moment):
        self.index = max(self.index, index)
        if moment is not None and moment.life == self.life:
            self.confirmed_ms = max(self.confirmed_ms or 0, moment.at_ms)

    def take_attend(self, sender, asked_ms):
        self.waiting.append((sender, asked_ms, self.clock.mono_ms()))

    def step(self):
        if self.world.now_ms % 200 == 0:
            moment = messages.LocalTimestamp(self.life, self.clock.mono_ms())
            self.world.wire.send(self, self.world.leader, ('reply', moment))
        now_ms = self.clock.mono_ms()
        for one in list(self.waiting):
            host, asked_ms, came_ms = one
            if now_ms - came_ms < 700 and host.index >= self.index:
                continue
            self.waiting.remove(one)
            age_ms = None
            if self.confirmed_ms is not None:
                age_ms = now_ms - self.confirmed_ms
            held_ms = now_ms - came_ms
            self.world.wire.send(
                self, host, ('attended', asked_ms, self.index, age_ms, held_ms)
            )


class Host(Actor):
    """Polls a control host, and serves under a lease."""

    def __init__(self, world, control):
        super().__init__(world)
        self.control = control
        self.index = 1
        self.restart()

    def restart(self):
        self.life = self.world.random.random()
        self.lease = leases.ConfigurationLease(BOUND_MS, self.clock)
        self.index = 1

    def take_attended(self, _sender, asked, index, age_ms, held_ms):
        life, asked_ms = asked
        if life != self.life:
            return
        self.index = max(self.index, index)
        if age_ms is not None:
            self.lease.confirm(asked_ms + held_ms - age_ms)

    def step(self):
        if self.world.now_ms % 300 == 0:
            asked = (self.life, self.clock.mono_ms())
            self.world.wire.send(self, self.control, ('attend', asked))

    @property
    def serves_withdrawn(self):
        return not self.stopped and self.lease.held and self.index < 2


class World:
    """Runs one random series of faults around a withdrawal."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.wire = DelayedLink(self)
        self.leader = Leader(self)
        self.controls = [Control(self) for _number in range(2)]
        self.hosts = [
            Host(self, self.controls[number % 2]) for number in range(4)
        ]
        self.withdrawn_ms = self.random.randrange(8_000, 20_000, STEP_MS)
        self.latest_ms = 0
        self.served = 0

    def inject_fault(self):
        actor = self.random.choice([*self.controls, *self.hosts, self.leader])
        for_ms = self.random.choice([500, 3_000, 6_000, 12_000])
        kind = self.random.choice(['freeze', 'cut', 'restart', 'lead'])
        if kind == 'freeze':
            actor.frozen_until_ms = self.now_ms + for_ms
        elif kind == 'cut':
            actor.cut_until_ms = self.now_ms + for_ms
        elif kind == 'restart' and actor is not self.leader:
            actor.restart()
        elif kind == 'lead':
            # Another host leads: this one sends no more answers.
            self.leader.leads = not self.leader.leads

    def run(self):
        while self.now_ms < END_MS:
            self.now_ms += STEP_MS
            if self.random.random() < 0.004:
                self.inject_fault()
            if self.now_ms == self.withdrawn_ms:
                self.leader.index = 2
            self.wire.deliver()
            for actor in [*self.controls, *self.hosts]:
                if not actor.stopped:
                    actor.step()
            for host in self.hosts:
                self.served += not host.stopped and host.lease.held
                if self.now_ms > self.withdrawn_ms and host.serves_withdrawn:
                    late_ms = self.now_ms - self.withdrawn_ms
                    self.latest_ms = max(self.latest_ms, late_ms)
        return self


SEEDS = range(40)


def test_nothing_runs_under_a_withdrawn_key_after_the_bound():
    played = [World(seed).run() for seed in SEEDS]
    assert max(one.latest_ms for one in played) < BOUND_MS
    # The faults are severe: some host serves for most of the bound.
    assert max(one.latest_ms for one in played) > BOUND_MS / 2
    # They are not so severe that nothing is served.
    assert all(one.served for one in played)


@pytest.mark.parametrize(
    'margin_taken',
    ['from when the answer came', 'the whole bound twice', 'age not counted'],
)
def test_model_fails_without_each_margin(margin_taken, monkeypatch):
    """Guards against a simulation that detects no overlong lease."""
    confirm = leases.ConfigurationLease.confirm
    if margin_taken == 'from when the answer came':
        monkeypatch.setattr(
            leases.ConfigurationLease,
            'confirm',
            lambda self, _as_of_ms: confirm(self, self._clock.mono_ms()),
        )
    elif margin_taken == 'the whole bound twice':
        monkeypatch.setattr(leases, 'LEASE_SHARE', 2.0)
    else:
        take = Host.take_attended

        def take_without_age(self, sender, asked, index, age_ms, held_ms):
            age_ms = None if age_ms is None else 0
            take(self, sender, asked, index, age_ms, held_ms)

        monkeypatch.setattr(Host, 'take_attended', take_without_age)
    played = [World(seed).run() for seed in SEEDS]
    assert max(one.latest_ms for one in played) >= BOUND_MS


@pytest.mark.parametrize(
    'as_of_ms, now_ms, held',
    [
        (None, 0, False),
        (1_000, 5_499, True),
        (1_000, 5_500, False),
        (1_000, 90_000, False),
    ],
)
def test_lease_ends_a_tenth_before_the_bound(as_of_ms, now_ms, held):
    class Clock:
        def mono_ms(self):
            return now_ms

    lease = leases.ConfigurationLease(BOUND_MS, Clock())
    if as_of_ms is not None:
        lease.confirm(as_of_ms)
    assert lease.held is held
    assert leases.ConfigurationLease(None, Clock()).held


@pytest.mark.parametrize(
    'gone_ms, wait_ms', [(0, 100), (700, 700), (60_000, 2_000)]
)
def test_caller_comes_back_after_as_long_as_the_lease_has_been_gone(
    gone_ms, wait_ms
):
    class Clock:
        now_ms = 1_000

        def mono_ms(self):
            return self.now_ms

    clock = Clock()
    lease = leases.ConfigurationLease(BOUND_MS, clock)
    lease.confirm(1_000)
    clock.now_ms += 4_500 + gone_ms
    assert not lease.held and lease.retry_delay_ms() == wait_ms
