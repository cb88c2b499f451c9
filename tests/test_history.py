"""Tests of the history checks, and of histories recorded under faults."""

import pytest

from benches import faults
from wrenspoke import history
from wrenspoke import load

RAN = history.Executions(
    {'r1': ['n1'], 'r2': ['n1', 's1'], 'r3': ['s1']},
    {'n1': 'north', 's1': 'south'},
)


def asked(request, outcome='whole', **fields):
    """Return a record of a history, of a complete chat by default."""
    line = {
        'request': request,
        'kind': 'chat',
        'entry': 'e',
        'home': 'north',
        'bound': False,
        'once': False,
        'sent_ms': 1,
        'ended_ms': 2,
        'outcome': outcome,
        'whole': outcome == 'whole',
    }
    return history.RequestRecord(**{**line, **fields})


@pytest.mark.parametrize(
    'line, broken',
    [
        (asked('r1', once=True, bound=True), set()),
        (asked('r2'), set()),
        (asked('r2', once=True), {'doubled'}),
        (asked('r3', bound=True), {'outside_home'}),
        (asked('r1', 'not_run'), {'not_run_but_ran'}),
        (asked('r9', 'not_run'), set()),
        (asked('r1', 'unknown'), set()),
        (asked('r1', whole=False), {'cut_short_as_whole'}),
    ],
)
def test_violation_checks(line, broken):
    found = history.violations([line], RAN)
    assert {name for name, ids in found.items() if ids} == broken


@pytest.mark.parametrize(
    'seen, count',
    [
        ([('a', 1), ('b', 3), ('a', 2), ('b', 3)], 0),
        ([('a', 2), ('a', 1)], 1),
        ([('a', 3), ('a', 1), ('a', 2)], 2),
    ],
)
def test_checker_finds_an_index_that_went_back(seen, count):
    assert len(history.find_index_regressions(seen)) == count


def test_history_reads_back_as_written(tmp_path):
    lines = [asked('r1'), asked('r2', 'lost')]
    history.write(tmp_path / 'history.jsonl', lines)
    assert history.read(tmp_path / 'history.jsonl') == lines


async def test_no_violations_under_faults(tmp_path):
    plan = load.Plan(rate_per_s=40, duration_ms=15_000, deadline_ms=5_000)
    found, lines = await faults.measure(tmp_path, plan, seed=3)
    assert len(lines) > 400
    assert found['violations'] == {
        'doubled': 0,
        'outside_home': 0,
        'not_run_but_ran': 0,
        'cut_short_as_whole': 0,
    }
    assert found['index_went_back'] == 0
    assert found['unhandled_errors'] == 0
    assert found['changes_accepted'] > 0
    assert found['ends']['whole'] > len(lines) / 2
