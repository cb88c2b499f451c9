"""Patterns of load, by today's rule and with admission."""

import collections
import functools

import pytest

from tests import admission_load

LONG = {'tokens': 6_000, 'events': 40, 'target_ms': 1_500}
LONG_DEADLINE_MS = 8_000


def steady(per_s, since_ms, until_ms, **fields):
    """Return calls that arrive at a constant rate."""
    step_ms = 1_000.0 / per_s
    count = int((until_ms - since_ms) / step_ms)
    return [
        admission_load.Call(int(since_ms + number * step_ms), **fields)
        for number in range(count)
    ]


def long_calls(per_s, since_ms, until_ms, **fields):
    """Return long calls that arrive at a constant rate."""
    fields = {**LONG, 'deadline_ms': LONG_DEADLINE_MS, **fields}
    return steady(per_s, since_ms, until_ms, **fields)


def crash_half(fleet):
    """Lose every other engine."""
    for engine in fleet.engines[::2]:
        engine.crash()


def restart_hosts(fleet):
    """Start all hosts anew."""
    fleet.hosts = [admission_load.Host(fleet) for _host in fleet.hosts]


def lose_reports(fleet):
    """Let no more load reports arrive."""
    fleet.reports_lost = True


# Calls and events of each pattern, and whether it is short of room.
PATTERNS = {
    'quiet': (steady(20, 0, 8_000), [], False),
    'peak in one region': (
        steady(20, 0, 2_000)
        + steady(160, 2_000, 6_000)
        + steady(20, 6_000, 9_000),
        [],
        True,
    ),
    'one hot team': (
        steady(30, 0, 9_000, team='b')
        + steady(10, 0, 9_000, team='hot')
        + steady(140, 3_000, 7_000, team='hot'),
        [],
        True,
    ),
    'flash crowd': (
        steady(20, 0, 8_000) + steady(600, 2_000, 2_500),
        [],
        True,
    ),
    'long beside short': (
        steady(40, 0, 8_000) + long_calls(22, 1_000, 6_000),
        [],
        True,
    ),
    'retry storm': (
        steady(40, 0, 8_000)
        + steady(120, 1_000, 6_000, repeats_ms=20, team='storm'),
        [],
        True,
    ),
    'half of the engines gone': (
        steady(90, 0, 8_000),
        [(2_000, crash_half)],
        True,
    ),
    'all hosts restarted at the peak': (
        steady(140, 0, 8_000),
        [(3_000, restart_hosts)],
        True,
    ),
    'room unknown': (
        steady(140, 0, 8_000),
        [(1_000, lose_reports)],
        True,
    ),
}


def play(name, admits, **fields):
    """Return a fleet after a pattern, with calls of its own."""
    pattern, events, _short = PATTERNS[name]
    calls = [
        admission_load.Call(
            call.at_ms,
            call.tokens,
            call.events,
            call.target_ms,
            call.deadline_ms,
            call.urgency,
            call.team,
            f'call-{number}',
            call.repeats_ms,
        )
        for number, call in enumerate(pattern)
    ]
    fleet = admission_load.Fleet(admits=admits, **fields)
    return fleet.play(calls, 24_000, events)


@functools.cache
def fleets(name):
    """Return fleets after a pattern, without and with admission."""
    return play(name, admits=False), play(name, admits=True)


def worst_second(fleet):
    """Return the smallest share of calls served in time, by second."""
    seconds = collections.defaultdict(list)
    for call in fleet.calls:
        seconds[call.at_ms // 1_000].append(call.in_time)
    return min(sum(found) / len(found) for found in seconds.values())


def most_calls(fleet):
    """Return the most calls that an engine had at a time."""
    return max(engine.most for engine in fleet.engines)


@pytest.mark.parametrize('name', PATTERNS)
def test_no_fewer_are_served(name):
    before, after = fleets(name)
    in_time_before, served_before, _failed = before.count()
    in_time, served, _failed = after.count()
    assert in_time >= in_time_before
    assert served >= served_before
    assert worst_second(after) >= worst_second(before)


@pytest.mark.parametrize(
    'name', [name for name, (_c, _e, short) in PATTERNS.items() if short]
)
def test_a_third_fewer_are_late_or_failed(name):
    before, after = fleets(name)
    in_time_before = before.count()[0]
    in_time = after.count()[0]
    total = len(before.calls)
    assert total - in_time <= (total - in_time_before) * 2 / 3


@pytest.mark.parametrize('name', PATTERNS)
def test_refusals_are_told_at_once_or_after_a_short_wait(name):
    _before, after = fleets(name)
    waits_ms = [
        wait_ms for call in after.calls for wait_ms in call.refused_after_ms
    ]
    assert all(wait_ms <= admission_load.MAX_WAIT_MS for wait_ms in waits_ms)
    if name == 'quiet':
        assert not waits_ms


@pytest.mark.parametrize('name', PATTERNS)
def test_what_is_admitted_is_served(name):
    """An engine's time goes to calls that end within their deadlines."""
    before, after = fleets(name)
    wasted = [
        sum(call.engine is not None and not call.is_served for call in calls)
        for calls in (before.calls, after.calls)
    ]
    assert wasted[1] <= wasted[0] / 2


def share_in_time(fleet, chosen):
    """Return the share of the chosen calls that was served in time."""
    return fleet.count(chosen)[0] / sum(chosen(call) for call in fleet.calls)


def share_served(fleet, chosen):
    """Return the share of the chosen calls that was served at all."""
    return fleet.count(chosen)[1] / sum(chosen(call) for call in fleet.calls)


def test_hot_team_pays_itself():
    before, after = fleets('one hot team')

    def is_other(call):
        return call.team != 'hot'

    assert share_in_time(before, is_other) < 0.5
    assert share_in_time(after, is_other) > 0.65
    assert share_served(after, is_other) > share_served(
        after, lambda call: not is_other(call)
    )


def test_long_calls_are_not_starved_by_short_ones():
    _before, after = fleets('long beside short')
    assert share_served(after, lambda call: call.tokens > 5_000) > 0.9


def test_those_who_keep_their_time_are_served_before_those_who_repeat():
    before, after = fleets('retry storm')

    def keeps(call):
        return call.repeats_ms is None

    assert share_in_time(before, keeps) < 0.5
    assert share_in_time(after, keeps) > 0.9


@pytest.mark.parametrize(
    'faults',
    [
        {'told_ms': None},
        {'told_ms': 400},
        {'told_twice': True},
        {'hosts': 1},
        {'hosts': 30},
        {'hosts': 90},
    ],
    ids=['lost', 'late', 'doubled', 'one host', '30 hosts', '90 hosts'],
)
def test_peak_while_hosts_hear_badly_of_each_other(faults):
    before = play('peak in one region', admits=False, **faults)
    after = play('peak in one region', admits=True, **faults)
    assert after.count()[0] >= before.count()[0]
    assert after.count()[1] >= before.count()[1]
    # Beyond its slots an engine is given what arrives until hosts know.
    assert most_calls(after) < most_calls(before)
