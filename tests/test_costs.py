"""Costs of destinations, and the pace of engines."""

import pytest

from wrenspoke.coordination.serving import costs
from wrenspoke.coordination.serving import engine_pace

BOUNDS = costs.LatencyBounds(800, 800, 5_000, 600)


class FakeClock:
    """Clock that a test sets."""

    def __init__(self):
        self.now_ms = 100_000

    def mono_ms(self):
        return self.now_ms


@pytest.mark.parametrize(
    'first_ms, left_ms, spread, least, most',
    [
        (100, 800, 0.3, 0.0, 0.001),
        (800, 800, 0.3, 0.5, 0.5),
        (800, 800, 0.01, 0.5, 0.5),
        (1_600, 800, 0.3, 0.96, 1.0),
        (1_600, 800, 1.0, 0.7, 0.8),
        (100, 0, 0.3, 1.0, 1.0),
    ],
    ids=['early', 'at it', 'sure', 'late', 'late, unsure', 'passed already'],
)
def test_miss_probability_depends_on_the_spread(
    first_ms, left_ms, spread, least, most
):
    assert least <= costs.miss_probability(first_ms, left_ms, spread) <= most


@pytest.mark.parametrize(
    'better, worse',
    [
        ((100, 500), (700, 1_000)),
        ((700, 1_500), (700, 6_000)),
        ((700, 1_500), (2_000, 2_500)),
        ((2_000, 2_500), (4_500, 5_500)),
        ((100, 500), (100, 900)),
    ],
    ids=[
        'sooner',
        'whole in time',
        'in time',
        'late, not lost',
        'ends sooner',
    ],
)
def test_latency_cost_grows_with_first_piece_and_end(better, worse):
    assert costs.latency_cost_ms(BOUNDS, *better, 0.3) < costs.latency_cost_ms(
        BOUNDS, *worse, 0.3
    )


@pytest.mark.parametrize(
    'pause_ms, harmed, costly',
    [(700, 3, True), (700, 0, False), (450, 3, False)],
    ids=['too long', 'nobody there', 'short enough'],
)
def test_pause_cost_counts_concurrent_streams(pause_ms, harmed, costly):
    cost_ms = costs.pause_cost_ms(BOUNDS, pause_ms, harmed)
    assert (cost_ms > 0.1 * BOUNDS.target_ms) is costly
    unbound = costs.LatencyBounds(800, 800, 5_000, None)
    assert costs.pause_cost_ms(unbound, pause_ms, harmed) == 0


def test_pace_follows_gaps_and_recovers():
    clock = FakeClock()
    known = engine_pace.PaceTracker(clock)
    for _number in range(200):
        clock.now_ms += 40
        known.record_gap('e', 6, 40)
    assert known.forecast('e', 6).usual_ms == pytest.approx(40, rel=0.05)
    for _number in range(6):
        clock.now_ms += 500
        known.record_gap('e', 6, 500)
    slowed = known.forecast('e', 6)
    assert slowed.present_ms > 200 and slowed.usual_ms < 80
    # Two seconds at the present pace, then at the usual one.
    assert slowed.stream_ms(100) < 2_000 + 100 * slowed.usual_ms
    clock.now_ms += 10_000
    assert known.forecast('e', 6).present_ms < 1.2 * slowed.usual_ms
    assert known.longest_gap_ms('e') == 500


@pytest.mark.parametrize(
    'gaps_ms, sound',
    [([100, 100], 1), ([100, 700], 0)],
    ids=['in time', 'late already'],
)
def test_streams_without_a_late_pause_are_counted(gaps_ms, sound):
    clock = FakeClock()
    known = engine_pace.PaceTracker(clock)
    with engine_pace.StreamGapRecorder(known, 'e', 6, 600) as stream:
        stream.record_piece()
        for gap_ms in gaps_ms:
            clock.now_ms += gap_ms
            stream.record_piece()
        assert known.on_time_streams('e') == sound
    assert known.on_time_streams('e') == 0
