"""The one clock: whole milliseconds, since the boot and of the day.

Time goes on while a machine is suspended, and leases and ages go on with
it: what was heard before is old afterwards. The steady clock that timers go
by stands still then, so that they fire late; what may be done is looked at
as it is done.
"""

import asyncio
import time

NS_PER_MS = 1_000_000


class Clock:
    """Tell the time in milliseconds; tests replace it by a fake."""

    def mono_ms(self) -> int:
        """Return time that only grows, for durations and leases."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self) -> int:
        """Return time since the epoch, for issue times and expiries."""
        return time.time_ns() // NS_PER_MS

    async def sleep_ms(self, delay_ms: float) -> None:
        """Wait for ``delay_ms``."""
        await asyncio.sleep(max(delay_ms, 0) / 1000)


def timeout_ms(delay_ms: float | None) -> asyncio.Timeout:
    """Return an ``asyncio.timeout`` of so many milliseconds."""
    return asyncio.timeout(None if delay_ms is None else delay_ms / 1000)
