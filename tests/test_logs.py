"""Buffered log lines are bounded, and writing them does not block."""

import enum
import io
import os
import re

import pytest
import structlog

from wrenspoke import logs
from wrenspoke import logstream

INFO = 'level=info event=answered request=x' + 'y' * 60 + '\n'
WARNING = 'level=warning event=gave_up request=x' + 'y' * 60 + '\n'


@pytest.fixture
def pipe():
    """Yield the read end and the write end of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        try:
            os.close(end)
        except OSError:
            pass


def drain(reader):
    """Return all bytes that are in a pipe now."""
    os.set_blocking(reader, False)
    received = b''
    while True:
        try:
            chunk = os.read(reader, 65536)
        except BlockingIOError:
            return received
        if not chunk:
            return received
        received += chunk


def test_lines_pass_whole_and_in_order(pipe):
    reader, writer = pipe
    stream = logstream.BoundedStream(writer, logs.is_urgent)
    lines = [f'level=info number={number}\n' for number in range(500)]
    for line in lines:
        stream.write(line)
        stream.flush()
    assert drain(reader).decode() == ''.join(lines)


def test_stopped_reader_drops_info_lines_first(pipe):
    """Warnings are dropped last, and dropped lines are counted."""
    reader, writer = pipe
    stream = logstream.BoundedStream(writer, logs.is_urgent, 8_000)
    for _number in range(3_000):
        stream.write(INFO)
        stream.flush()
    before = stream.dropped_lines
    assert before > 0
    for _number in range(20):
        stream.write(WARNING)
        stream.flush()
    assert stream.dropped_lines == before, 'warnings still had room'
    seen = b''
    while True:
        stream.flush()
        found = drain(reader)
        if not found:
            break
        seen += found
    lines = seen.decode().splitlines()
    assert sum('gave_up' in line for line in lines) == 20
    assert f'event=log_lines_left_out count={before}' in lines[-1]
    assert all(line.startswith('level=') for line in lines)


@pytest.mark.parametrize('texts', [[''], ['', ''], ['a', '', 'b'], ['a', '']])
def test_empty_text_is_not_written(pipe, monkeypatch, texts):
    """Guards against a flush that writes nothing, again and again."""
    reader, writer = pipe
    stream = logstream.BoundedStream(writer, logs.is_urgent)
    monkeypatch.setattr(os, 'write', limited_writes(os.write))
    for text in texts:
        stream.write(text)
    stream.flush()
    assert drain(reader).decode() == ''.join(texts)


def test_flush_ends_where_nothing_is_written(pipe, monkeypatch):
    """Guards against a descriptor that takes nothing and blocks nobody."""
    _reader, writer = pipe
    stream = logstream.BoundedStream(writer, logs.is_urgent)
    monkeypatch.setattr(os, 'write', limited_writes(lambda _to, _data: 0))
    stream.write(WARNING)
    stream.flush()


def limited_writes(write):
    """Return a write that fails a test after several calls."""
    numbers = iter(range(100))

    def limited(descriptor, data):
        if next(numbers, None) is None:
            pytest.fail('written to without end')
        return write(descriptor, data)

    return limited


def test_closed_reader_does_not_raise(pipe):
    reader, writer = pipe
    stream = logstream.BoundedStream(writer, logs.is_urgent)
    os.close(reader)
    for _number in range(3):
        stream.write(WARNING)
        stream.flush()


class Kind(enum.Enum):
    ONE = 'one kind'
    TWO = 2


class Text(str, enum.Enum):
    ONE = 'one'


CHAIN = [
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt='iso', utc=True),
    structlog.processors.LogfmtRenderer(
        key_order=['timestamp', 'level', 'event', 'host'],
        drop_missing=True,
        bool_as_flag=False,
    ),
]


def rendered_by_structlog(method, event):
    """Return the line that structlog's own processors make of an event."""
    for key, value in event.items():
        if not isinstance(value, (str, int, float, type(None))):
            event[key] = str(getattr(value, 'value', value))
    for processor in CHAIN:
        event = processor(None, method, event)
    return event


def without_time(line):
    assert re.match(r'timestamp=\S+Z level=', line)
    return line.partition(' ')[2]


@pytest.mark.parametrize('method', ['info', 'warning', 'error', 'exception'])
@pytest.mark.parametrize(
    'fields',
    [
        {},
        {'request': 'q-1', 'took_ms': 12, 'share': 0.25},
        {'ok': True, 'bad': False, 'none': None, 'empty': ''},
        {'kind': Kind.ONE, 'other': Kind.TWO, 'text': Text.ONE},
        {'words': 'two words', 'quoted': 'say "so"', 'sum': 'a=b'},
        {'path': 'a\\b', 'spaced': 'a\\b c', 'lines': 'a\nb', 'both': 'a\n b'},
        {'list': [1, 'two'], 'error': ValueError('x = 1'), 'bytes': b'a'},
        {'host': 'another', 'level': 'mine', 'timestamp': 'never'},
        {'host': None},
        {'unicode': 'Cluj-Napocă', 'sign': '\u2713'},
    ],
)
def test_line_is_that_of_structlogs_processors(method, fields):
    expected = rendered_by_structlog(
        method, {'host': '10.0.0.1:1', **fields, 'event': 'an event'}
    )
    line = logs.LineRenderer('10.0.0.1:1')(
        None, method, {**fields, 'event': 'an event'}
    )
    assert without_time(line) == without_time(expected)


def render(value):
    """Return a value as it stands in a line."""
    line = logs.LineRenderer('')(None, 'info', {'event': 'x', 'key': value})
    assert line.isprintable()
    return line.partition(' key=')[2]


@pytest.mark.parametrize(
    'value, expected',
    [
        ('a\tb', r'a\tb'),
        ('a\rb', r'a\rb'),
        ('a\r\nlevel=error', r'"a\r\nlevel=error"'),
        ('a\x00b\x1b[2K\x7f', r'a\x00b\x1b[2K\x7f'),
        ('\x0b\x0c\x1c\x1d\x1e\x85', r'\x0b\x0c\x1c\x1d\x1e\x85'),
        ('a\u2028b\u2029 c', r'"a\u2028b\u2029 c"'),
        ('a\u202eb\u200b', r'a\u202eb\u200b'),
        ('a\udcffb', r'a\udcffb'),
        (['a\nb', 'c'], "\"['a\\\\nb', 'c']\""),
        (ValueError('a\u2028b'), r'a\u2028b'),
    ],
)
def test_characters_of_a_value_break_no_line(value, expected):
    """Guards against a header that forges or hides log lines."""
    assert render(value) == expected


@pytest.mark.parametrize(
    'character, escaped', [('x', 'x'), ('\0', r'\x00'), ('\U000e0001', None)]
)
@pytest.mark.parametrize('length', [2_001, 30_000, 1_000_000])
def test_long_value_is_cut(length, character, escaped):
    """Guards against lines whose length an endpoint decides."""
    value = render(character * length)
    escaped = escaped or character.encode('unicode_escape').decode()
    start, _, mark = value.strip('"').partition('...')
    assert mark == f' (cut, {length} characters)'
    shown = logs.VALUE_LIMIT_CHARACTERS // len(escaped)
    assert start.replace('\\\\', '\\') == escaped * shown


def test_longest_value_is_whole():
    assert render('x' * 2_000) == 'x' * 2_000


def test_long_traceback_keeps_its_end():
    """Guards against an error whose text fills the log."""
    error = ValueError('x' * 30_000 + '\u2028the end')
    line = logs.LineRenderer('')(
        None, 'error', {'event': 'x', 'exc_info': error}
    )
    assert line.endswith(r'x\u2028the end"')
    assert ' exception="(cut, 30' in line
    assert len(line) < logs.TRACEBACK_LIMIT_CHARACTERS + 200
    assert line.isprintable()


@pytest.mark.parametrize('key', ['a b', 'a\n', ''.join(['a', chr(0)])])
def test_key_that_breaks_a_line_is_refused(key):
    with pytest.raises(ValueError, match='invalid key'):
        logs.LineRenderer('')(None, 'info', {'event': 'x', key: 1})


def test_error_is_written_with_its_traceback():
    stream = io.StringIO()
    logs.configure('info', 'a:1', stream)
    try:
        try:
            raise LookupError('no such part')
        except LookupError as error:
            caught = error
        structlog.get_logger('x').error('unhandled_error', exc_info=caught)
    finally:
        structlog.reset_defaults()
    [line] = stream.getvalue().splitlines()
    assert 'event=unhandled_error host=a:1 exception="Traceback' in line
    assert 'LookupError: no such part"' in line
