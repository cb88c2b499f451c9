"""Tracks renewals of shares under way, and when they are expected to end."""

import asyncio
import enum

from wrenspoke import clock as clocks

# Weight of the newest round trip in the mean.
DURATION_WEIGHT = 0.3


class Outcome(enum.Enum):
    """How a renewal ended; ``UNNEEDED`` ones were not sent."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    UNNEEDED = 'unneeded'


class RenewalProgress:
    """Tracks the renewals of one host, which run one at a time.

    ``is_failing`` says that the last one got no answer.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._mean_ms = 0.0
        self._started_ms: int | None = None
        self._ended = asyncio.Event()
        self.started_count = 0
        self.ended_count = 0
        self.is_failing = False

    @property
    def is_running(self) -> bool:
        """Return whether a renewal is under way."""
        return self._started_ms is not None

    def begin(self) -> None:
        """Record that a renewal starts."""
        self._started_ms = self._clock.mono_ms()
        self.started_count += 1

    def end(self, outcome: Outcome) -> None:
        """Record the end of a renewal, and wake those that wait for it."""
        took_ms = self._clock.mono_ms() - self._started_ms
        self._started_ms = None
        self.ended_count += 1
        if outcome is Outcome.ANSWERED:
            self._mean_ms += DURATION_WEIGHT * (took_ms - self._mean_ms)
        if outcome is not Outcome.UNNEEDED:
            self.is_failing = outcome is Outcome.FAILED
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    def remaining_ms(self) -> float:
        """Return when the renewal that runs, or the next one, should end.

        One that takes longer than usual is expected to take as long again.
        """
        if self._started_ms is None:
            return self._mean_ms
        elapsed_ms = self._clock.mono_ms() - self._started_ms
        if elapsed_ms > self._mean_ms:
            return elapsed_ms
        return self._mean_ms - elapsed_ms

    async def wait_for_end(self, timeout_ms: float) -> bool:
        """Wait for the next end of a renewal; return if it came in time."""
        try:
            async with clocks.timeout_ms(timeout_ms):
                await self._ended.wait()
        except TimeoutError:
            return False
        return True
