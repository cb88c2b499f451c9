"""Event tracking, independent of chunk boundaries."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from wrenspoke.coordination.serving import event_tracker
from wrenspoke.protocol import errors
from wrenspoke.protocol import sse

STREAM = b'id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata: x\n\n'


@hypothesis.given(
    cuts=strategies.lists(strategies.integers(0, len(STREAM)), max_size=8),
    whole_only=strategies.booleans(),
)
def test_chunk_boundaries_do_not_change_the_stream(cuts, whole_only):
    tracker = event_tracker.EventTracker(whole_only)
    passed = b''
    start = 0
    for cut in [*sorted(cuts), len(STREAM)]:
        passed += tracker.feed(STREAM[start:cut])
        start = cut
    assert passed + tracker.take_remainder() == STREAM
    assert tracker.last_id == '3'


@pytest.mark.parametrize(
    'whole_only, passed',
    [(True, b'id: 1\ndata: a\n\n'), (False, b'id: 1\ndata: a\n\nid: 2\nda')],
)
def test_part_of_an_event_is_held_back_where_it_may_be_resumed(
    whole_only, passed
):
    tracker = event_tracker.EventTracker(whole_only)
    assert tracker.feed(b'id: 1\ndata: a\n\nid: 2\nda') == passed
    assert tracker.last_id == '1'
    tracker.discard_partial()
    assert tracker.feed(b'id: 2\ndata: b\n\n') == b'id: 2\ndata: b\n\n'


@pytest.mark.parametrize(
    'data, is_inside',
    [
        (b'', False),
        (b'id: 1\n\n', False),
        (b'id: 1\r\n\r\n', False),
        (b'id: 1\r\r', False),
        (b'id: 1\n\r\n', False),
        (b'id: 1\r\n\n', False),
        (b'id: 1\n\n\n', False),
        (b'id: 1\n\n: ping\n', False),
        (b': ping\r\n', False),
        (b'id: 1\n\n: pi', True),
        (b'id: 1\n\nid', True),
        (b'id: 1\n', True),
        (b'id: 1\r\n\r', True),
        (b'id: 1\n\n: ping\nid: 2\n', True),
    ],
)
@pytest.mark.parametrize('whole_only', [True, False])
@pytest.mark.parametrize('step_bytes', [1, 3, 100])
def test_end_inside_an_event_is_detected(
    data, is_inside, whole_only, step_bytes
):
    """Guards against truncated streams that are taken for whole ones."""
    tracker = event_tracker.EventTracker(whole_only)
    for start in range(0, len(data), step_bytes):
        tracker.feed(data[start : start + step_bytes])
    assert tracker.is_inside_event is is_inside


class CountingPattern:
    """Counts the bytes that are searched for the end of an event."""

    def __init__(self, pattern):
        self._pattern = pattern
        self.searched_bytes = 0

    def finditer(self, data, start=0):
        self.searched_bytes += len(data) - start
        return self._pattern.finditer(data, start)


@pytest.mark.parametrize('line', [b'data: x\n', b': ping\r\n', b'x' * 8])
@pytest.mark.parametrize('whole_only', [True, False])
def test_bytes_of_an_endless_event_are_searched_once(
    monkeypatch, whole_only, line
):
    """Guards against an event without end that keeps a host busy."""
    pattern = CountingPattern(event_tracker.EVENT_END)
    monkeypatch.setattr(event_tracker, 'EVENT_END', pattern)
    tracker = event_tracker.EventTracker(whole_only)
    chunk = line * 128
    for _chunk in range(1_200):
        tracker.feed(chunk)
    assert tracker.event_count == 0
    assert pattern.searched_bytes < 1.01 * 1_200 * len(chunk)


@pytest.mark.parametrize('line', [b'data: x\n', b': ping\r\n', b'x' * 8])
async def test_bytes_of_an_endless_event_are_decoded_once(monkeypatch, line):
    """Guards against an event without end that keeps a host busy."""
    pattern = CountingPattern(sse.EVENT_END)
    monkeypatch.setattr(sse, 'EVENT_END', pattern)
    sent_bytes = 0

    async def chunks():
        nonlocal sent_bytes
        while True:
            sent_bytes += len(line) * 16
            yield line * 16

    with pytest.raises(errors.MalformedMessageError):
        async for _event in sse.decode(chunks()):
            raise AssertionError('an event has no end')
    assert pattern.searched_bytes < 1.05 * sent_bytes


@hypothesis.given(
    cuts=strategies.lists(strategies.integers(0, len(STREAM)), max_size=8)
)
async def test_chunk_boundaries_do_not_change_decoded_events(cuts):
    edges = [0, *sorted(cuts), len(STREAM)]

    async def chunks():
        for start, end in itertools.pairwise(edges):
            yield STREAM[start:end]

    found = [event async for event in sse.decode(chunks())]
    assert found == [
        sse.SseEvent('one', number=1),
        sse.SseEvent('two', number=2),
        sse.SseEvent('x', number=3),
    ]
