"""Backlog estimates: own calls, load reports, and peers' calls."""

import pytest

from wrenspoke.coordination.serving import backlog
from wrenspoke.state import loads

TOKEN_MS = 0.02


class FakeClock:
    """Clock that a test sets."""

    def __init__(self):
        self.now_ms = 100_000

    def mono_ms(self):
        return self.now_ms


def load(queued, age_ms=0):
    """Return an engine's load report."""
    return loads.EngineLoad('e', queued, queued, 0, 10**6, age_ms)


def backlog_after(clock, *calls):
    """Return a backlog after calls of (tokens, ms until the next)."""
    made = backlog.Backlog(clock)
    numbers = []
    for tokens, later_ms in calls:
        numbers.append(made.add_prompt('e', tokens))
        clock.now_ms += later_ms
    return made, numbers


@pytest.mark.parametrize(
    'calls, answered, ahead',
    [
        ([], [], 0),
        ([(5_000, 0)], [], 5_000),
        ([(5_000, 40), (3_000, 0)], [], 6_000),
        ([(5_000, 0), (3_000, 0)], [0], 3_000),
        ([(5_000, 0), (3_000, 0)], [0, 1], 0),
        # Without a response, the prompt counts as still queued.
        ([(5_000, 1_000)], [], 5_000),
    ],
    ids=[
        'none',
        'one',
        'a part was read meanwhile',
        'the first has answered',
        'all have answered',
        'slower than known',
    ],
)
def test_own_calls_wait_until_their_first_piece(calls, answered, ahead):
    clock = FakeClock()
    made, numbers = backlog_after(clock, *calls)
    for place in answered:
        made.remove_prompt('e', numbers[place])
    assert made.tokens_ahead('e', None, TOKEN_MS) == pytest.approx(ahead)


@pytest.mark.parametrize(
    'report, hosts, ahead',
    [
        (load(0), 1, 0),
        (load(20), 1, 20 * 1_000 - 200 / TOKEN_MS),
        (load(20, age_ms=200), 1, 20 * 1_000 - 400 / TOKEN_MS),
        (load(2), 1, 0),
    ],
    ids=['empty', 'full', 'older', 'read since'],
)
def test_report_is_brought_up_to_now(report, hosts, ahead):
    made = backlog.Backlog(FakeClock())
    made.host_count = hosts
    assert made.tokens_ahead('e', report, TOKEN_MS) == pytest.approx(ahead)


def test_peers_are_assumed_to_send_at_the_same_rate():
    clock = FakeClock()
    made, numbers = backlog_after(clock, *[(1_000.0, 100)] * 10)
    for number in numbers:
        made.remove_prompt('e', number)
    alone = made.tokens_ahead('e', load(40), TOKEN_MS)
    made.host_count = 3
    # 10 tokens per ms from each of two others, for the age of the report.
    more = made.tokens_ahead('e', load(40), TOKEN_MS) - alone
    assert more == pytest.approx(2 * 10 * backlog.REPORT_LAG_MS, rel=0.01)


def test_call_that_ended_early_is_removed():
    made, [number] = backlog_after(FakeClock(), (5_000, 0))
    made.remove_prompt('e', number)
    made.remove_prompt('e', number)
    assert made.tokens_ahead('e', None, TOKEN_MS) == 0
