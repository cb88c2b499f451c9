"""Ends calls whose callers make no progress.

Only calls that wait for their callers are watched, all by one task.
"""

import typing

from wrenspoke import clock as clocks
from wrenspoke import runtime

CHECKS_PER_STALL = 8
MAX_INTERVAL_MS = 500


class SlowCall(typing.Protocol):
    """Call that waits for its caller to read."""

    @property
    def progress_bytes(self) -> int:
        """Return how many bytes the caller's socket has taken so far."""

    def let_go(self, stalled_ms: int) -> None:
        """End the call."""


class StallWatch:
    """Watches calls that wait for their callers, on one host."""

    def __init__(self, stall_ms: int, clock: clocks.Clock):
        self._stall_ms = stall_ms
        self._clock = clock
        # Bytes taken at the last progress of each call, and its time.
        self._watched: dict[SlowCall, tuple[int, int]] = {}
        self._tasks = runtime.Tasks()

    def start(self) -> None:
        """Start to check the watched calls."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel the task."""
        await self._tasks.close()

    @property
    def watched_count(self) -> int:
        """Return how many calls wait for their callers."""
        return len(self._watched)

    def add(self, call: SlowCall) -> None:
        """Watch a call from now on."""
        self._watched[call] = (call.progress_bytes, self._clock.mono_ms())

    def discard(self, call: SlowCall) -> None:
        """Stop to watch a call."""
        self._watched.pop(call, None)

    async def _run(self) -> None:
        interval_ms = min(self._stall_ms / CHECKS_PER_STALL, MAX_INTERVAL_MS)
        while True:
            await self._clock.sleep_ms(interval_ms)
            self.check()

    def check(self) -> None:
        """Let go of the calls that made no progress for the stated time."""
        now_ms = self._clock.mono_ms()
        for call, (taken_bytes, since_ms) in list(self._watched.items()):
            progress_bytes = call.progress_bytes
            if progress_bytes != taken_bytes:
                self._watched[call] = (progress_bytes, now_ms)
                continue
            if now_ms - since_ms >= self._stall_ms:
                del self._watched[call]
                call.let_go(now_ms - since_ms)
