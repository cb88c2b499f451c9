"""Compute the cost of serving a call at a destination, in milliseconds.

The cost is the route's target time, times the probability that the first
piece is late, plus the same times the probability that the deadline is
missed. Callers of this module add the cost to others: an engine's prefill
time, pauses of concurrent streams, and bytes sent to another region.
"""

import dataclasses
import math

# Standard deviation of a normal distribution per mean absolute deviation;
# errors of estimates are assumed to be log-normal.
DEVIATION_PER_MEAN_ERROR = 1.2533
MIN_DEVIATION = 0.1
MIN_MS = 1.0
# Weight of the time to the end, which decides between destinations that both
# meet the target.
COMPLETION_WEIGHT = 0.1
BYTES_PER_KB = 1_000
# Mean absolute log error of the response lengths expected by callers.
LENGTH_SPREAD = 0.5
# Cost of a refusal, as a share of the target time.
REFUSAL_COST_SHARE = 0.25
# Mean absolute log error of pauses, which are bounded by the longest observed.
PAUSE_SPREAD = 0.08
SQRT_2 = math.sqrt(2.0)


def miss_probability(first_ms: float, left_ms: float, spread: float) -> float:
    """Return the probability that a first piece comes after ``left_ms``."""
    if left_ms <= MIN_MS:
        return 1.0
    # Called for each candidate of a call; conditions are faster than max().
    deviation = DEVIATION_PER_MEAN_ERROR * spread
    if deviation < MIN_DEVIATION:
        deviation = MIN_DEVIATION
    if first_ms < MIN_MS:
        first_ms = MIN_MS
    deviations = math.log(first_ms / left_ms) / deviation
    return 0.5 * (1.0 + math.erf(deviations / SQRT_2))


@dataclasses.dataclass(slots=True)
class LatencyBounds:
    """Time that a call has left to its target and to its deadline, in ms."""

    target_ms: float
    target_left_ms: float
    deadline_left_ms: float
    pause_target_ms: float | None = None


def deadline_miss_probability(
    bounds: LatencyBounds, first_ms: float, end_ms: float, spread: float
) -> float:
    """Return the probability that a response ends after the deadline."""
    left_ms = bounds.deadline_left_ms
    return max(
        miss_probability(first_ms, left_ms, spread),
        miss_probability(end_ms, left_ms, math.hypot(spread, LENGTH_SPREAD)),
    )


def latency_cost_ms(
    bounds: LatencyBounds, first_ms: float, end_ms: float, spread: float
) -> float:
    """Return the cost of a response's expected latency to its caller."""
    late = miss_probability(first_ms, bounds.target_left_ms, spread)
    missed = deadline_miss_probability(bounds, first_ms, end_ms, spread)
    return bounds.target_ms * (late + missed) + COMPLETION_WEIGHT * end_ms


def failure_cost_ms(
    bounds: LatencyBounds, failed: float, refused: float
) -> float:
    """Return the cost of the shares of requests that an endpoint fails.

    A failed request is late and misses its deadline; one that is refused
    without being run loses the time to try another endpoint.
    """
    return bounds.target_ms * (2.0 * failed + REFUSAL_COST_SHARE * refused)


def pause_cost_ms(
    bounds: LatencyBounds, pause_ms: float, harmed: int
) -> float:
    """Return the cost of a pause to the concurrent streams."""
    if bounds.pause_target_ms is None or not harmed:
        return 0.0
    late = miss_probability(pause_ms, bounds.pause_target_ms, PAUSE_SPREAD)
    return bounds.target_ms * late * harmed
