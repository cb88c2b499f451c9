"""Event tracking, independent of chunk boundaries."""

import hypothesis
from hypothesis import strategies
import pytest

from wrenspoke.coordination.serving import event_tracker

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
