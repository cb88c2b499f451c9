"""Weigh what a place would make of a call, in milliseconds of first piece.

A place costs the target times the chance that the call is late there, and
as much again times the chance that its deadline passes. Beside that stand
what it takes from others: the time in which an engine reads the call's
prompt, and the bytes that go to another region.
"""

import dataclasses
import math

# The error of an estimate is taken to be log-normal; the spread that is
# learned is a mean of absolute errors, of which a standard deviation is
# this many times as much.
DEVIATION_PER_MEAN_ERROR = 1.2533
MIN_DEVIATION = 0.1
MIN_MS = 1.0
# What is expected sooner is better, if only a little, where both are in
# time.
COMPLETION_WEIGHT = 0.1
BYTES_PER_KB = 1_000
# How far a caller is off in what it expects an answer's length to be, in the
# mean, as a logarithm: right at the median, often by half or twice.
LENGTH_SPREAD = 0.5
# Pauses are bounded by the longest one that was seen, so that they are
# known better than first pieces.
PAUSE_SPREAD = 0.08


def miss_probability(first_ms: float, left_ms: float, spread: float) -> float:
    """Return the chance that a first piece comes after ``left_ms``."""
    if left_ms <= MIN_MS:
        return 1.0
    deviation = max(DEVIATION_PER_MEAN_ERROR * spread, MIN_DEVIATION)
    off = math.log(max(first_ms, MIN_MS) / left_ms) / deviation
    return 0.5 * (1.0 + math.erf(off / math.sqrt(2.0)))


@dataclasses.dataclass(slots=True)
class LatencyBounds:
    """Hold what a call has left: to its target, and to its deadline."""

    target_ms: float
    target_left_ms: float
    deadline_left_ms: float
    pause_target_ms: float | None = None


def deadline_miss_probability(
    bounds: LatencyBounds, first_ms: float, end_ms: float, spread: float
) -> float:
    """Return the chance that an answer is not whole by its deadline."""
    left_ms = bounds.deadline_left_ms
    return max(
        miss_probability(first_ms, left_ms, spread),
        miss_probability(end_ms, left_ms, math.hypot(spread, LENGTH_SPREAD)),
    )


def latency_cost_ms(
    bounds: LatencyBounds, first_ms: float, end_ms: float, spread: float
) -> float:
    """Return what a first piece and an end at such times cost a caller."""
    late = miss_probability(first_ms, bounds.target_left_ms, spread)
    gone = deadline_miss_probability(bounds, first_ms, end_ms, spread)
    return bounds.target_ms * (late + gone) + COMPLETION_WEIGHT * end_ms


def pause_cost_ms(
    bounds: LatencyBounds, pause_ms: float, harmed: int
) -> float:
    """Return what a pause costs the streams that run beside a call."""
    if bounds.pause_target_ms is None or not harmed:
        return 0.0
    late = miss_probability(pause_ms, bounds.pause_target_ms, PAUSE_SPREAD)
    return bounds.target_ms * late * harmed
