"""Rulings of the admission core on single calls."""

import math

import pytest

from wrenspoke.coordination.admission import controller as controllers
from wrenspoke.coordination.admission import pace_model
from wrenspoke.coordination.admission import places
from wrenspoke.coordination.admission import running_streams
from wrenspoke.coordination.admission import wait_queue
from wrenspoke.protocol import capacity
from wrenspoke.state import loads

NOW_MS = 1_000_000
MAX_WAIT_MS = 200
PROFILE = capacity.EngineProfile('e', 0, 0.01, 50.0, 1.0, 10)
ADMIT, WAIT, REFUSE = controllers.Ruling


def place(end_ms, harmed=0, running=60, ready_ms=0.0, first_ms=300.0):
    """Return a place at an engine with 64 slots."""
    return places.Place(ready_ms, first_ms, end_ms, harmed, running, 64, 400)


def controller_with(*tickets):
    """Return a core in which calls wait already."""
    made = controllers.AdmissionController(MAX_WAIT_MS)
    for ticket in tickets:
        made.queue.add(ticket)
    return made


def ticket_of(made, key='k', urgency=0, team='a', now_ms=NOW_MS):
    """Return the ticket of a call that arrives."""
    return made.ticket(key, urgency, team, 1_000.0, 100.0, now_ms)


@pytest.mark.parametrize(
    'found, at_first, after_wait',
    [
        (place(2_000), ADMIT, ADMIT),
        (place(4_000), WAIT, ADMIT),
        (place(5_000), REFUSE, REFUSE),
        (place(2_000, harmed=1), WAIT, REFUSE),
        (place(5_000, harmed=3, running=32), ADMIT, ADMIT),
    ],
    ids=[
        'in time',
        'perhaps too late',
        'far too late',
        'harms another',
        'half of the places free',
    ],
)
def test_ruling(found, at_first, after_wait):
    made = controller_with()
    ticket = ticket_of(made)
    later_ms = NOW_MS + MAX_WAIT_MS
    assert made.decide(ticket, found, 3_000, NOW_MS).ruling is at_first
    assert made.decide(ticket, found, 3_000, later_ms).ruling is after_wait


@pytest.mark.parametrize('others, ruling', [(0, ADMIT), (1, WAIT)])
def test_call_that_waits_alone_takes_ample_room(others, ruling):
    made = controller_with(*[wait_ticket() for _other in range(others)])
    ticket = ticket_of(made)
    made.queue.add(ticket)
    found = place(1_000, harmed=1, running=20)
    assert made.decide(ticket, found, 3_000, NOW_MS).ruling is ruling


def test_call_that_always_harms_someone_is_served_in_the_end():
    made = controller_with()
    harming = place(2_000, harmed=2)
    now_ms = NOW_MS
    for refusals in range(10):
        ticket = ticket_of(made, now_ms=now_ms)
        now_ms += MAX_WAIT_MS
        if made.decide(ticket, harming, 3_000, now_ms).ruling is ADMIT:
            break
        now_ms += math.ceil(made.refuse(ticket, 'k', 0.0, 10.0, 0.0, now_ms))
    assert refusals == 2


@pytest.mark.parametrize('later_ms, ruling', [(0, REFUSE), (5_000, WAIT)])
def test_one_who_returns_too_early_keeps_the_time_given(later_ms, ruling):
    made = controller_with()
    found = place(4_000)
    return_ms = made.refuse(ticket_of(made), 'k', 2_000.0, 1.0, 0.5, NOW_MS)
    now_ms = NOW_MS + 100 + later_ms
    ticket = ticket_of(made, now_ms=now_ms)
    assert ticket.returned is (ruling is WAIT)
    decision = made.decide(ticket, found, 3_000, now_ms)
    assert decision.ruling is ruling
    if ruling is REFUSE:
        again_ms = made.refuse(ticket, 'k', 2_000.0, 1.0, 0.0, now_ms)
        assert again_ms == return_ms - 100


def test_returns_come_as_room_does():
    made = controller_with()
    waits_ms = [
        made.refuse(
            ticket_of(made, str(number)), str(number), 500, 10, 0, NOW_MS
        )
        for number in range(20)
    ]
    assert waits_ms == [500 + 100 * number for number in range(20)]
    urgent = ticket_of(made, 'urgent', urgency=0)
    less = ticket_of(made, 'less', urgency=3)
    first_ms = made.refuse(urgent, 'urgent', 500, 10, 0, NOW_MS)
    assert first_ms < made.refuse(less, 'less', 500, 10, 0, NOW_MS)


def wait_ticket(urgency=0, returned=False, feasible=True, team='a', at_ms=0):
    """Return the ticket of a call that waits."""
    return wait_queue.Ticket(
        urgency, team, NOW_MS + at_ms, NOW_MS + 500, 0, returned,
        feasible=feasible,
    )  # fmt: skip


@pytest.mark.parametrize(
    'first, second',
    [
        (wait_ticket(at_ms=0), wait_ticket(at_ms=1)),
        (wait_ticket(team='b', at_ms=1), wait_ticket(team='a')),
        (
            wait_ticket(team='a', at_ms=1),
            wait_ticket(team='b', feasible=False),
        ),
        (wait_ticket(feasible=False, returned=True), wait_ticket(team='b')),
        (wait_ticket(feasible=False), wait_ticket(1, True)),
    ],
    ids=['arrival', 'team', 'feasible', 'returned', 'urgency'],
)
def test_order(first, second):
    made = controller_with(second, first)
    made.shares.record('a', 1_000, NOW_MS)
    assert made.queue.in_order() == [first, second]


def test_long_call_is_passed_by_a_bounded_number_of_others():
    waiting = wait_ticket()
    made = controller_with(waiting)
    passed = 0
    for number in range(100):
        ticket = ticket_of(made, str(number), now_ms=NOW_MS + 1)
        decision = made.decide(ticket, place(1_000), 3_000, NOW_MS + 1)
        if decision.ruling is not ADMIT:
            assert decision.first is waiting
            break
        made.admit(ticket, str(number))
        passed += 1
    assert passed == wait_queue.PASSES_LIMIT


@pytest.mark.parametrize(
    'running, ready_ms', [(0, 0.0), (63, 0.0), (64, 10.0), (127, 640.0)]
)
def test_full_batch_has_a_place_once_streams_end(running, ready_ms):
    found = places.Occupancy(running, 64, 640.0)
    assert places.ready_ms(found) == ready_ms


@pytest.mark.parametrize(
    'slack_ms, harmed', [(-1, 0), (0, 1), (70, 1), (200, 0)]
)
def test_streams_that_would_end_late_are_harmed(slack_ms, harmed):
    """A prompt of 50 ms, and a pace that is slower by a fiftieth."""
    other = places.Stream(0, 2_000, 2_000 + slack_ms)
    found = places.predict(
        places.Demand(100.0, 50.0, 0.0, 100, 10_000.0),
        places.Occupancy(1, 64, 600.0, [other]),
        PROFILE,
    )
    assert found.harmed == harmed


@pytest.mark.parametrize(
    'report, running',
    [
        (None, 3),
        (loads.EngineLoad('e', 4, 20, 0, 10**6, 200), 24 - 10 + 3),
        (loads.EngineLoad('e', 4, 20, 0, 10**6, 5_000), 3),
    ],
    ids=['lost', 'fresh', 'too old'],
)
def test_reports_count_what_hosts_did_not_tell(report, running):
    streams = running_streams.RunningStreams()
    for _stream in range(3):
        streams.add(
            'e',
            places.Stream(NOW_MS - 50, NOW_MS + 900, NOW_MS + 5_000),
        )
    found = streams.occupancy('e', 's', 64, report, NOW_MS)
    assert found.running == running


def test_streams_of_hosts_that_fell_silent_are_forgotten():
    streams = running_streams.RunningStreams()
    streams.add('e', places.Stream(NOW_MS, NOW_MS + 500, math.inf))
    later_ms = NOW_MS + 500
    assert streams.occupancy('e', 's', 64, None, later_ms).running == 0
    # A clock that jumps back finds nothing that it doesn't know.
    assert streams.occupancy('e', 's', 64, None, NOW_MS).running == 0


@pytest.mark.parametrize(
    'gap_ms, slope_ms', [(40.0, 2.0), (70.0, 0.0), (100.0, 0.5)]
)
def test_pace_by_streams_is_learned(gap_ms, slope_ms):
    model = pace_model.PaceModel(72.0)
    assert model.fit() == pytest.approx((72.0, 0.0))
    for number in range(400):
        running = 5 * (number % 12)
        model.add(running, gap_ms + slope_ms * running)
    for running in (5, 30, 55):
        learned = model.fit()
        expected_ms = gap_ms + slope_ms * running
        assert learned[0] + learned[1] * running == pytest.approx(
            expected_ms, rel=0.2
        )
