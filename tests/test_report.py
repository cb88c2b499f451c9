"""Tests of ``wrenspoke report``, which summarises log files."""

import subprocess
import sys

import msgspec
import pytest

from tests import test_explain
from wrenspoke import report

line = test_explain.line


def answered(at_s, request='q', host='a:1', **fields):
    """Return the log line of an answered call."""
    fields = {'route': 'r', 'status': 200, 'target_ms': 800, **fields}
    return line(at_s, host, 'answered', request=request, **fields)


def gave_up(at_s, request='q', **fields):
    """Return the log line of a call that failed or was refused."""
    return line(at_s, 'a:1', 'gave_up', request=request, route='r', **fields)


@pytest.mark.parametrize(
    'text, outcome, reason',
    [
        (answered(1, first_ms=800), 'in_time', 'in time'),
        (answered(1, first_ms=801), 'late', 'first piece'),
        (
            answered(1, first_ms=9, longest_pause_ms=601, pause_target_ms=600),
            'late',
            'pause',
        ),
        (
            answered(1, first_ms=9, longest_pause_ms=601, pause_target_ms=''),
            'in_time',
            'in time',
        ),
        (answered(1, first_ms=9, status=500), 'failed', 'status 500'),
        (gave_up(1, status=503, cause='hopeless'), 'refused', 'hopeless'),
        (gave_up(1, status=504, cause='timeout'), 'failed', 'timeout'),
        (
            line(1, 'a:1', 'request_refused', request='q', reason='leaving'),
            'refused',
            'leaving',
        ),
    ],
)
def test_call_is_counted_by_how_it_ended(tmp_path, text, outcome, reason):
    path = tmp_path / 'log'
    path.write_text(text + line(2, 'a:1', 'started') + 'none of ours\n')
    found = report.read([str(path)])
    assert found.calls[outcome] == sum(found.calls.values()) == 1
    assert [item.reason for item in found.reasons] == [reason]


def test_call_that_was_passed_on_counts_where_its_caller_sent_it(tmp_path):
    """The outcome at the host that received a forwarded call is ignored."""
    path = tmp_path / 'log'
    path.write_text(
        answered(9.0, host='b:1', first_ms=50)
        + line(1.0, 'a:1', 'passed_on', request='q', peer='b:1', relayed=True)
        + answered(1.5, first_ms=900)
        + line(2.0, 'a:1', 'passed_on', request='q2', peer='b:1')
        + line(2.1, 'b:1', 'passed_back', request='q2')
        + gave_up(3.2, request='q2', status=503, cause='x: y', held_ms=40)
    )
    found = report.read([str(path)])
    assert found.calls == {
        'in_time': 0,
        'late': 1,
        'refused': 1,
        'failed': 0,
    }
    assert (found.passed_on, found.turned_back) == (2, 1)
    assert found.held_ms.median == 40
    assert [sum(second.values()) for second in found.seconds] == [1, 1]


def test_calibration_is_grouped_by_band(tmp_path):
    path = tmp_path / 'log'
    ratios = [0.5, 1.0, 1.0, 2.0]
    path.write_text(
        ''.join(
            answered(1, f'q{number}', expected_ms=100 * ratio, took_ms=100)
            for number, ratio in enumerate(ratios)
        )
        + answered(1, 'unknown', expected_ms='', took_ms='')
    )
    found = report.read([str(path)]).calibration
    assert {name: spread.count for name, spread in found.items()} == {
        '50 to 100': 1,
        '100 to 200': 2,
        '200 to 400': 1,
    }
    assert found['100 to 200'].median == 1.0


def run(*arguments):
    """Run ``wrenspoke report`` and return the completed process."""
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'wrenspoke.cli',
            'report',
            *map(str, arguments),
        ],
        capture_output=True,
        text=True,
    )


@pytest.mark.parametrize(
    'suffix, code', [('svg', 0), ('png', 0), ('unknown', 1)]
)
def test_report_is_printed_and_drawn(tmp_path, suffix, code):
    path, drawn = tmp_path / 'log', tmp_path / f'report.{suffix}'
    path.write_text(answered(1, first_ms=9, expected_ms=100, took_ms=90))
    ended = run('--log', path, '--plot', drawn)
    assert (ended.returncode, 'not drawn' in ended.stderr) == (code, code == 1)
    assert '1 calls: 1 in_time' in ended.stdout
    assert drawn.exists() is (code == 0)


def test_report_is_printed_as_json(tmp_path):
    path = tmp_path / 'log'
    path.write_text(
        gave_up(1, status=503, cause='x', free_places=3, held_ms=1)
    )
    ended = run('--json', '--log', path)
    found = msgspec.json.decode(ended.stdout, type=report.Report)
    assert found.refused_with_free_places == 1
