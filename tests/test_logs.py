"""Buffered log lines are bounded, and writing them does not block."""

import os

import pytest

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


def test_closed_reader_does_not_raise(pipe):
    reader, writer = pipe
    stream = logstream.BoundedStream(writer, logs.is_urgent)
    os.close(reader)
    for _number in range(3):
        stream.write(WARNING)
        stream.flush()
