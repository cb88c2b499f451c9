"""Weigh what a place would make of a call, in milliseconds of first piece.

A place costs the target times the chance that the call is late there, and
as much again times the chance that its deadline passes. Beside that stand
what it takes from others: the time in which an engine reads the call's
prompt, and the bytes that go to another region.
"""

import math

# The error of an estimate is taken to be log-normal; the spread that is
# learned is a mean of absolute errors, of which a standard deviation is
# this many times as much.
DEVIATIONS = 1.2533
LEAST_DEVIATION = 0.1
LEAST_MS = 1.0
# What is expected sooner is better, if only a little, where both are in
# time.
SOONER_SHARE = 0.1
BYTES_PER_KB = 1_000


def missed(first_ms: float, left_ms: float, spread: float) -> float:
    """Return the chance that a first piece comes after ``left_ms``."""
    if left_ms <= LEAST_MS:
        return 1.0
    deviation = max(DEVIATIONS * spread, LEAST_DEVIATION)
    off = math.log(max(first_ms, LEAST_MS) / left_ms) / deviation
    return 0.5 * (1.0 + math.erf(off / math.sqrt(2.0)))


def waiting_ms(
    first_ms: float,
    target_ms: float,
    target_left_ms: float,
    deadline_left_ms: float,
    spread: float,
) -> float:
    """Return what a first piece after ``first_ms`` costs its caller."""
    late = missed(first_ms, target_left_ms, spread)
    lost = missed(first_ms, deadline_left_ms, spread)
    return target_ms * (late + lost) + SOONER_SHARE * first_ms
