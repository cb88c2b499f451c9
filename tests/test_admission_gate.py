"""Calls at the gate of a host: admitted, waiting, refused."""

import asyncio
import itertools
import types

import pytest

from wrenspoke import clock as clocks
from wrenspoke.coordination.admission import controller as controllers
from wrenspoke.coordination.admission import places
from wrenspoke.coordination.admission import wait_queue
from wrenspoke.coordination.serving import admission_gate
from wrenspoke.protocol import capacity
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import fingerprints
from wrenspoke.state import routes

SERVICE = routes.RoutedService('s', '/', 10, batch=routes.Batch(4, 90_000))
FITS = places.Place(0.0, 100.0, 1_000.0, 0, 3, 4, 200)
HARMS = places.Place(0.0, 100.0, 1_000.0, 1, 3, 4, 200)
FAILS = places.Place(9_000.0, 9_100.0, 20_000.0, 0, 40, 4, 200)


class Loads:
    """Stands in for the load reports, of which there are none."""

    def load(self, _endpoint):
        return None


class Profiles:
    """Stands in for the speeds of engines."""

    def __init__(self):
        self.gaps_ms = []

    def profile(self, endpoint, _service):
        return capacity.EngineProfile(endpoint, 0, 0.01, 50.0, 1.0, 10)

    def record_stream(self, _service, _place, gap_ms):
        self.gaps_ms.append(gap_ms)


def gate_with(max_wait_ms=200):
    """Return a gate and its clock."""
    clock = clocks.Clock()
    core = controllers.AdmissionController(max_wait_ms)
    return admission_gate.AdmissionGate(core, Loads(), Profiles(), clock)


def context_of(gate, name='q', **fields):
    """Return a call, as far as the gate looks at it."""
    now_ms = gate._clock.mono_ms()
    call = dialects.Call(
        name,
        'GET',
        'h',
        '/',
        [],
        now_ms,
        5_000,
        fingerprint=fingerprints.Fingerprint(request=name),
    )
    return types.SimpleNamespace(
        call=call,
        route=types.SimpleNamespace(name='r', target_ms=2_000),
        permit=types.SimpleNamespace(urgency=0, team=None),
        service=SERVICE,
        deadline_ms=now_ms + 5_000,
        ticket=None,
        send_count=0,
        build=None,
        first_piece_at_ms=None,
        last_piece_at_ms=None,
        tracker=None,
        **fields,
    )


def chosen_at(place):
    """Return the selection of an engine."""
    return types.SimpleNamespace(
        place=place, estimate=types.SimpleNamespace(prefill_ms=10.0)
    )


def destination_at(place):
    """Return the destination of a call."""
    return types.SimpleNamespace(endpoint='e', chosen=chosen_at(place))


def test_call_that_would_fail_is_refused_at_once_with_a_time():
    gate = gate_with()
    context = context_of(gate)
    with pytest.raises(admission_gate.NoRoomError) as raised:
        gate.rule(context, chosen_at(FAILS))
    assert raised.value.decision.ruling is controllers.Ruling.REFUSE
    return_ms = gate.refuse(context, raised.value)
    assert return_ms >= FAILS.ready_ms
    again = context_of(gate)
    with pytest.raises(admission_gate.NoRoomError) as raised:
        gate.rule(again, chosen_at(HARMS))
    assert raised.value.decision.reason is controllers.Reason.EARLY
    assert gate.refuse(again, raised.value) <= return_ms


@pytest.mark.parametrize('field', ['send_count', 'build'])
def test_call_that_may_have_run_is_always_admitted(field):
    gate = gate_with()
    context = context_of(gate)
    setattr(context, field, 1)
    gate.rule(context, chosen_at(FAILS))


async def wait_for_room(gate, context, found):
    """Wait like the way in does, until a place fits; return the rulings."""
    rulings = []
    while True:
        try:
            gate.rule(context, chosen_at(found.place))
        except admission_gate.NoRoomError as error:
            rulings.append(error.decision.ruling)
            if error.decision.ruling is not controllers.Ruling.WAIT:
                return rulings
            await gate.wait(context, error)
            continue
        rulings.append(controllers.Ruling.ADMIT)
        gate.admit(context)
        return rulings


async def test_end_of_a_stream_lets_the_first_that_waits_go():
    gate = gate_with(max_wait_ms=60_000)
    found = types.SimpleNamespace(place=HARMS)
    running = context_of(gate, 'running')
    waiting = context_of(gate, 'waiting')
    with gate.track(running, destination_at(FITS)):
        task = asyncio.create_task(wait_for_room(gate, waiting, found))
        while not len(gate.controller.queue):
            await asyncio.sleep(0)
        running.first_piece_at_ms = gate._clock.mono_ms()
        found.place = FITS
    rulings = await task
    assert rulings[-1] is controllers.Ruling.ADMIT
    assert not len(gate.controller.queue)
    assert gate.controller.counters.waited == 1


async def test_wait_is_bounded():
    gate = gate_with(max_wait_ms=30)
    context = context_of(gate)
    found = types.SimpleNamespace(place=HARMS)
    rulings = await wait_for_room(gate, context, found)
    gate.leave(context)
    assert rulings[-1] is controllers.Ruling.REFUSE
    assert not len(gate.controller.queue)
    assert not gate._wakers


@pytest.mark.parametrize('place', [HARMS, FITS])
async def test_end_of_a_wait_does_not_depend_on_two_clocks(place):
    """Guards against a call that is told to wait and not let wait for ever.

    The controller is told a time before the end of the wait, and the wait
    itself sees a later one.
    """
    gate = gate_with(max_wait_ms=30)
    if place is FITS:
        # Another call goes first.
        ahead = gate.controller.ticket('ahead', -1, None, 2_000, 0, 0)
        ahead.passes = wait_queue.PASSES_LIMIT
        gate.controller.queue.add(ahead)
    times_ms = itertools.chain([0], itertools.cycle([0, 60_000]))
    gate._clock = types.SimpleNamespace(mono_ms=times_ms.__next__)
    context = context_of(gate)
    rulings = []
    for _number in range(3):
        try:
            gate.rule(context, chosen_at(place))
        except admission_gate.NoRoomError as error:
            rulings.append(error.decision.ruling)
            if error.decision.ruling is controllers.Ruling.WAIT:
                await gate.wait(context, error)
    assert rulings.count(controllers.Ruling.WAIT) == 1


def sent_call(**fields):
    """Return a call that another host sent."""
    return discovery_messages.SentCall(1, 'e', 1_000, 20, [], 10, **fields)


@pytest.mark.parametrize(
    'sent',
    [sent_call(stream_tokens=40, left_ms=3_000), sent_call()],
    ids=['this version', 'earlier version'],
)
def test_streams_of_other_hosts_count(sent):
    gate = gate_with()
    gate.record_peer_sent(sent, SERVICE)
    now_ms = gate._clock.mono_ms()
    assert gate.streams.occupancy('e', 's', 4, None, now_ms).running == 1
    gate.keep_only(set())
    assert gate.streams.occupancy('e', 's', 4, None, now_ms).running == 0


@pytest.mark.parametrize('events, gaps_ms', [(43, [50.0]), (3, [])])
def test_streams_that_ended_tell_the_pace(events, gaps_ms):
    gate = gate_with()
    context = context_of(gate)
    with gate.track(context, destination_at(FITS)):
        context.first_piece_at_ms = 1_000
        context.last_piece_at_ms = 1_000 + 50 * (events - 1)
        context.tracker = types.SimpleNamespace(event_count=events)
    assert gate._profiles.gaps_ms == gaps_ms
