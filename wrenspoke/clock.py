"""Clock in whole milliseconds: time since boot and wall-clock time.

The time since boot includes time that the machine was suspended, so leases
and ages expire meanwhile. The monotonic clock of asyncio's timers excludes
it, so timers fire late: expiry is checked at each use, not left to a timer.
"""

import asyncio
import math
import time

NS_PER_MS = 1_000_000


class Clock:
    """Returns the time in milliseconds; tests replace it by a fake."""

    def mono_ms(self) -> int:
        """Return the time since boot, for durations and leases."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self) -> int:
        """Return the time since the epoch, for issue and expiry times."""
        return time.time_ns() // NS_PER_MS

    async def sleep_ms(self, delay_ms: float) -> None:
        """Sleep for ``delay_ms``; a negative delay counts as 0."""
        await asyncio.sleep(_whole_ms(delay_ms) / 1000)


class Pacer:
    """Bounds how often a loop turns whose work may take no time.

    A peer that answers at once, or a failure, leaves a loop without a wait of
    its own.
    """

    def __init__(self, interval_ms: int, clock: Clock):
        self._interval_ms = interval_ms
        self._clock = clock
        self._next_ms = clock.mono_ms()

    async def wait(self) -> None:
        """Wait until an interval has passed since the last turn began."""
        await self._clock.sleep_ms(self._next_ms - self._clock.mono_ms())
        self._next_ms = self._clock.mono_ms() + self._interval_ms


def timeout_ms(delay_ms: float | None) -> asyncio.Timeout:
    """Return an ``asyncio.timeout``; None means no timeout."""
    return asyncio.timeout(
        None if delay_ms is None else _whole_ms(delay_ms) / 1000
    )


def _whole_ms(delay_ms: float) -> int:
    """Return a delay rounded up, as event loops count in whole ms.

    uvloop rounds a delay below half a millisecond down to none.
    """
    return max(math.ceil(delay_ms), 0)
