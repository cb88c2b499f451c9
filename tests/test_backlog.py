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


def test_wrong_prefill_speed_does_not_add_up():
    """An engine that computes faster than believed stays in use at a peak.

    Prompts of all hosts take half of its time, but 2.5 times all of it by
    the believed speed.
    """
    clock = FakeClock()
    made = backlog.Backlog(clock)
    for _prompt in range(200):
        made.add_peer_prompt('e', 1_000.0, 5 * TOKEN_MS, 25)
        clock.now_ms += 40
    most = (1 + backlog.STARTED_PROMPTS) * 1_000.0
    sent_since = 1_000.0 * (backlog.REPORT_LAG_MS + 25) / 40
    ahead = made.tokens_ahead('e', load(0), 5 * TOKEN_MS)
    assert ahead <= most + sent_since


@pytest.mark.parametrize(
    'sent_ms_ago, ahead',
    [(0, 0), (100, 1_000), (250, 2_000), (10_000, 50_000)],
    ids=['just now', 'one since', 'two since', 'before all'],
)
def test_first_piece_bounds_what_waits(sent_ms_ago, ahead):
    clock = FakeClock()
    made = backlog.Backlog(clock)
    for _prompt in range(50):
        made.add_peer_prompt('e', 1_000.0, 10.0, 0)
        clock.now_ms += 100
    made.record_first_piece('e', clock.now_ms - sent_ms_ago)
    assert made.tokens_ahead('e', None, 10.0) == pytest.approx(ahead, rel=0.02)


def test_sent_prompts_forget_the_oldest():
    log = backlog.SentPrompts()
    for number in range(10_000):
        log.add(number * 10, 1.0)
    assert log.since(99_990 - 1_000) == 101
    assert len(log._times_ms) < 3 * backlog.SENT_PROMPTS_TTL_MS / 10
