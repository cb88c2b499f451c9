"""Spread the retries of rejected callers over time."""

import random

from wrenspoke import clock as clocks

MS_PER_S = 1_000
# Callers rarely wait longer, and estimates beyond it are unreliable.
MAX_RETRY_AFTER_MS = 10_000
# Share of a wait that is added as random jitter, at most.
RETRY_JITTER = 0.5
# Steps of urgency that lengthen a wait; more would exceed what callers wait.
MAX_URGENCY_STEPS = 3


def jittered_ms(wait_ms: float, urgency: int = 0) -> int:
    """Return a wait in ms with jitter; urgency 0 is the most urgent.

    The range of each urgency begins where that of the preceding one ends.
    """
    step = (1.0 + RETRY_JITTER) ** min(urgency, MAX_URGENCY_STEPS)
    return int(wait_ms * step * random.uniform(1.0, 1.0 + RETRY_JITTER))


class RetrySchedule:
    """Retry times of rejected callers, in order of urgency.

    More urgent callers retry earlier, regardless of their arrival order.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        # Retry time and urgency of each rejected caller.
        self._scheduled: list[tuple[float, int]] = []

    def schedule(self, urgency: int, rate_per_s: float) -> float:
        """Schedule a retry and return the wait in ms.

        ``rate_per_s`` is the rate at which retries can be served.
        """
        now_ms = self._clock.mono_ms()
        self._scheduled = [
            entry for entry in self._scheduled if entry[0] > now_ms
        ]
        ahead = sum(other <= urgency for _due_ms, other in self._scheduled)
        wait_ms = (ahead + 1) * MS_PER_S / rate_per_s
        if wait_ms >= MAX_RETRY_AFTER_MS:
            return MAX_RETRY_AFTER_MS
        self._scheduled.append((now_ms + wait_ms, urgency))
        return wait_ms
