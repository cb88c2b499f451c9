"""Lease on the configuration that an entry host holds.

A withdrawn key must be rejected everywhere within a bounded time after the
withdrawal was acknowledged, also on hosts that are frozen or partitioned
and can't be notified. Calls under keys are therefore served under a lease
only. It starts at the last moment at which a leader is known to have
confirmed that nothing newer was accepted, and expires before the bound.

The start is never later than that moment: control hosts report the age of
the leader's confirmation and how long they held the request, and this host
counts from when it sent the request. Only durations are transferred, so
neither delays nor clock steps extend a lease.
"""

import asyncio

from wrenspoke import clock as clocks

# Fraction of the bound. The rest covers clock drift of up to 1% and the time
# from the last check of the lease to the engine's first byte.
LEASE_SHARE = 0.9
# A few trips within a region.
MIN_RETRY_MS = 100
# Callers use other hosts in the meantime.
MAX_RETRY_MS = 2_000


class ConfigurationLease:
    """Tracks until when calls under keys may be served.

    Without a bound the lease never expires.
    """

    def __init__(self, bound_ms: int | None, clock: clocks.Clock):
        self._length_ms = None
        if bound_ms is not None:
            self._length_ms = int(bound_ms * LEASE_SHARE)
        self._clock = clock
        self._as_of_ms: int | None = None
        self.granted = asyncio.Event()

    def confirm(self, as_of_ms: int) -> None:
        """Record that the configuration was the newest one at ``as_of_ms``."""
        if self._as_of_ms is None or as_of_ms > self._as_of_ms:
            self._as_of_ms = as_of_ms
        if self.held:
            self.granted.set()

    @property
    def held(self) -> bool:
        """Return whether calls under keys may be served now."""
        if self._length_ms is None:
            return True
        if self._as_of_ms is None:
            return False
        return self._clock.mono_ms() - self._as_of_ms < self._length_ms

    @property
    def ever_held(self) -> bool:
        """Return whether the lease was held since this process started."""
        return self._length_ms is None or self.granted.is_set()

    def retry_delay_ms(self) -> int:
        """Return after how many ms a caller should retry without a lease.

        The end of a partition or an election is unknown: the delay equals
        the time since the lease expired, within bounds.
        """
        if self._as_of_ms is None or self._length_ms is None:
            return MIN_RETRY_MS
        ended_ms = self._as_of_ms + self._length_ms
        expired_ms = self._clock.mono_ms() - ended_ms
        return min(max(expired_ms, MIN_RETRY_MS), MAX_RETRY_MS)
