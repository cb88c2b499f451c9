"""Tests of ``wrenspoke explain`` on log files of several hosts."""

import json
import subprocess
import sys

import pytest
import structlog

from wrenspoke import cli
from wrenspoke import explain
from wrenspoke import logread
from wrenspoke import logs


def line(at_s, host, event, **fields):
    """Return a log line in the format that daemons write."""
    said = ' '.join(f'{name}={value}' for name, value in fields.items())
    return (
        f'timestamp=2026-01-01T00:00:{at_s:06.3f}Z level=info '
        f'event={event} host={host} {said}\n'
    )


HOME = [
    line(1.0, 'a:1', 'passed_on', request='q1', peer='b:1'),
    line(1.5, 'a:1', 'answered', request='q1', place='b:1', status=200),
]
# The other host's clock is seconds ahead.
AWAY = [
    line(9.0, 'b:1', 'endpoint_chosen', request='q1', endpoint='e1'),
    line(9.3, 'b:1', 'answered', request='q1', place='e1', status=200),
]
OTHER = line(1.2, 'a:1', 'answered', request='q10', place='e1', status=200)


@pytest.mark.parametrize(
    'texts, subject, found',
    [
        (
            [*HOME, *AWAY, OTHER],
            'q1',
            ['passed_on', 'endpoint_chosen', 'answered', 'answered'],
        ),
        (
            [*AWAY, OTHER, *HOME],
            'q1',
            ['passed_on', 'endpoint_chosen', 'answered', 'answered'],
        ),
        ([*HOME, OTHER], 'q1', ['passed_on', 'answered']),
        (AWAY, 'q1', ['endpoint_chosen', 'answered']),
        ([*HOME, *AWAY, OTHER], 'q10', ['answered']),
        ([*HOME, *AWAY], 'e1', ['endpoint_chosen', 'answered']),
        (
            ['not a line\n', 'q1 \xff\n', *HOME],
            'q1',
            ['passed_on', 'answered'],
        ),
        ([f'  12.5 host-1 {text}' for text in HOME], 'q1', None),
        (HOME, 'q2', []),
    ],
    ids=[
        'in order',
        'other host first',
        'log missing',
        'first host missing',
        'whole id only',
        'endpoint',
        'other text',
        'prefixed by a collector',
        'unknown',
    ],
)
def test_lines_on_a_subject(tmp_path, texts, subject, found):
    path = tmp_path / 'hosts.log'
    path.write_bytes(''.join(texts).encode('latin-1'))
    events = [one.event for one in logread.find([str(path)], subject)]
    assert events == (['passed_on', 'answered'] if found is None else found)


@pytest.mark.parametrize(
    'value', ['plain', 'two words', 'say "so"', 'a=b', "Error(104, 'x')", '']
)
def test_what_a_daemon_writes_is_read_back(tmp_path, value):
    path = tmp_path / 'one.log'
    with open(path, 'w') as stream:
        logs.configure('info', 'a:1', stream)
        try:
            structlog.get_logger('x').info(
                'gave_up', request='q1', cause=value
            )
        finally:
            structlog.reset_defaults()
    [found] = logread.find([str(path)], 'q1')
    assert (found.event, found.host) == ('gave_up', 'a:1')
    assert found.fields['cause'] == value


def run(*arguments):
    """Run ``wrenspoke explain`` and return the completed process."""
    return subprocess.run(
        [sys.executable, '-m', 'wrenspoke.cli', 'explain', *arguments],
        capture_output=True,
        text=True,
    )


def test_command_prints_text_and_json(tmp_path):
    for name, texts in (('a.log', HOME), ('b.log', AWAY)):
        (tmp_path / name).write_text(''.join(texts))
    files = [str(tmp_path / 'a.log'), str(tmp_path / 'b.log')]
    completed = run('q1', '--log', *files)
    assert completed.returncode == cli.OK
    times = [text.split()[0] for text in completed.stdout.splitlines()]
    assert times == ['+0', '+0', '+300', '+500']
    completed = run('q1', '--json', '--log', *files)
    first = json.loads(completed.stdout.splitlines()[0])
    assert first['event'] == 'passed_on'


@pytest.mark.parametrize(
    'arguments, code, told',
    [
        (['q9', '--log', 'a.log'], cli.FAILED, 'nothing on q9'),
        (['q1', '--log', 'no.log'], cli.FAILED, 'no.log'),
        (['q1'], cli.USAGE, '--log'),
        (['q1', '--log', 'a.log', '--entry', 'u'], cli.USAGE, '--entry'),
    ],
    ids=['unknown', 'no file', 'nobody asked', 'both asked'],
)
def test_command_reports_errors(tmp_path, monkeypatch, arguments, code, told):
    monkeypatch.chdir(tmp_path)
    (tmp_path / 'a.log').write_text(''.join(HOME))
    completed = run(*arguments)
    assert (completed.returncode, told in completed.stderr) == (code, True)


def test_unparsable_timestamp_shows_zero_offset():
    odd = logread.LogLine('?', 'info', 'started', 'a:1', {})
    [text] = explain.as_text([odd])
    assert text.split() == ['+0', 'ms', 'a:1', 'started']
