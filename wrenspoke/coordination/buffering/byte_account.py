"""Counts the bytes that a host holds for its calls, and bounds them.

As the account fills, new requests are refused first, then copies that only a
repeat would need are dropped, and at the ceiling a call may add a piece only
once its earlier ones were passed on. So the ceiling is exceeded by one piece a
call at most.
"""

import asyncio
import enum

import structlog

from wrenspoke import clock as clocks

logger = structlog.get_logger(__name__)

# Parts of the ceiling from which the measures apply, in their order.
REFUSE_SHARE = 0.7
DROP_COPIES_SHARE = 0.85
# Retry-After of refused requests: the time until the account has room at the
# recent rate, within these bounds.
MIN_RETRY_MS = 200
MAX_RETRY_MS = 5_000
# Rates are taken over at least this long.
RATE_WINDOW_MS = 500
# The pressure of an account at its ceiling changes with every piece.
LOG_INTERVAL_MS = 1_000


class Side(enum.IntEnum):
    """What bytes are held for."""

    REQUEST = 0
    RESPONSE = 1
    RESUMPTION = 2
    QUEUE = 3


class Pressure(enum.IntEnum):
    """How full an account is; each level includes those below it."""

    NONE = 0
    REFUSE_NEW = 1
    DROP_COPIES = 2
    FULL = 3


class ByteAccount:
    """Tracks the bytes that a host holds, by side."""

    def __init__(self, ceiling_bytes: int, clock: clocks.Clock):
        self.ceiling_bytes = ceiling_bytes
        self._refuse_bytes = REFUSE_SHARE * ceiling_bytes
        self.held_bytes = 0
        self.highest_bytes = 0
        self._by_side = [0] * len(Side)
        self.calls = 0
        self._clock = clock
        self._pressure = Pressure.NONE
        # Whether there is no room for what only a repeat would need.
        self.drops_copies = False
        self._waiting: set[asyncio.Event] = set()
        self._released_bytes = 0
        self._sampled_ms = clock.mono_ms()
        self._released_per_ms = 0.0
        self._logged_ms = 0

    def open(self) -> 'CallAccount':
        """Return the account of a new call."""
        self.calls += 1
        return CallAccount(self)

    def held(self, side: Side) -> int:
        """Return the bytes held on one side, over all calls."""
        return self._by_side[side]

    @property
    def pressure(self) -> Pressure:
        """Return how full the account is."""
        return self._pressure

    @property
    def is_full(self) -> bool:
        """Return whether the ceiling is reached."""
        return self.held_bytes >= self.ceiling_bytes

    def add(self, side: Side, size_bytes: int) -> None:
        """Add to the held bytes of a side; a negative number releases."""
        self.held_bytes += size_bytes
        self._by_side[side] += size_bytes
        if size_bytes < 0:
            self._released_bytes -= size_bytes
            if self._waiting and not self.is_full:
                self._wake_waiting()
        elif self.held_bytes > self.highest_bytes:
            self.highest_bytes = self.held_bytes
        self._update_pressure()

    def _wake_waiting(self) -> None:
        waiting, self._waiting = self._waiting, set()
        for room in waiting:
            room.set()

    def notify_of_room(self, room: asyncio.Event) -> None:
        """Set an event once the account is below its ceiling."""
        self._waiting.add(room)

    def forget_event(self, room: asyncio.Event) -> None:
        """Stop to notify an event."""
        self._waiting.discard(room)

    def _update_pressure(self) -> None:
        found = Pressure.NONE
        if self.held_bytes < self._refuse_bytes:
            if self._pressure is Pressure.NONE:
                return
        elif self.held_bytes >= self.ceiling_bytes:
            found = Pressure.FULL
        elif self.held_bytes >= DROP_COPIES_SHARE * self.ceiling_bytes:
            found = Pressure.DROP_COPIES
        else:
            found = Pressure.REFUSE_NEW
        if found is self._pressure:
            return
        self._pressure = found
        self.drops_copies = found >= Pressure.DROP_COPIES
        now_ms = self._clock.mono_ms()
        if now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        logger.info(
            'buffer_pressure_changed',
            pressure=found.name.lower(),
            held_bytes=self.held_bytes,
            ceiling_bytes=self.ceiling_bytes,
            calls=self.calls,
            **{side.name.lower(): self.held(side) for side in Side},
        )

    def retry_after_ms(self) -> int:
        """Return when a refused request may be read, by the latest rate."""
        now_ms = self._clock.mono_ms()
        elapsed_ms = now_ms - self._sampled_ms
        if elapsed_ms >= RATE_WINDOW_MS:
            self._released_per_ms = self._released_bytes / elapsed_ms
            self._released_bytes = 0
            self._sampled_ms = now_ms
        excess = self.held_bytes - REFUSE_SHARE * self.ceiling_bytes
        if excess <= 0:
            return MIN_RETRY_MS
        if self._released_per_ms <= 0:
            return MAX_RETRY_MS
        delay_ms = round(excess / self._released_per_ms)
        return min(max(delay_ms, MIN_RETRY_MS), MAX_RETRY_MS)


class CallAccount:
    """Tracks the bytes that are held for one call, by side."""

    __slots__ = ('_by_side', '_closed', 'account')

    def __init__(self, account: ByteAccount):
        self.account = account
        self._by_side = [0] * len(Side)
        self._closed = False

    def held(self, side: Side) -> int:
        """Return the bytes held for this call on one side."""
        return self._by_side[side]

    def add(self, side: Side, size_bytes: int) -> None:
        """Add bytes to a side; nothing is counted once the call ended."""
        if size_bytes and not self._closed:
            self._by_side[side] += size_bytes
            self.account.add(side, size_bytes)

    def set_held(self, side: Side, size_bytes: int) -> None:
        """Set the bytes that are held on a side."""
        self.add(side, size_bytes - self._by_side[side])

    def close(self) -> None:
        """Release everything; later changes have no effect."""
        if self._closed:
            return
        for side in Side:
            self.set_held(side, 0)
        self._closed = True
        self.account.calls -= 1
