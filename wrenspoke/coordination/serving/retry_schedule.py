"""Tell callers that are turned away when to come back, one by one."""

import random

from wrenspoke import clock as clocks

MS_PER_S = 1_000
# Longer than callers wait, as a rule; what is reckoned for later is a guess.
MAX_RETRY_AFTER_MS = 10_000
# Callers that are turned away come back spread over this much longer.
RETRY_JITTER = 0.5
# Beyond it the times would be longer than callers wait.
MAX_URGENCY_STEPS = 3


def jittered_ms(wait_ms: float, urgency: int = 0) -> int:
    """Return a wait that spreads callers; 0 is the most urgent.

    The waits of each urgency begin where those of the one before end.
    """
    step = (1.0 + RETRY_JITTER) ** min(urgency, MAX_URGENCY_STEPS)
    return int(wait_ms * step * random.uniform(1.0, 1.0 + RETRY_JITTER))


class RetrySchedule:
    """Hold when callers that were turned away are to come back.

    The more urgent come before those that are less, whoever came first.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        # When each comes back, and how urgent its call is.
        self._scheduled: list[tuple[float, int]] = []

    def schedule(self, urgency: int, rate_per_s: float) -> float:
        """Return how long a caller is to stay away.

        ``rate_per_s`` is what can be served of those that come back.
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
