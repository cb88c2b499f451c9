"""For how long a host may go by the configuration that it holds.

A key that was withdrawn must run nothing a bounded time after that was
acknowledged, on any host: one that was frozen or is cut off can't be told
of it in time. So calls under keys are served under a lease alone. It
begins at the last moment for which a leader's word is known that nothing
newer had been accepted, and ends before the bound does.

That moment is never later than it was: control hosts tell how old the
leader's word is and how long they held the question back, and this host
counts from when it asked. Only durations travel, so neither delays nor
clocks that step make a lease longer.
"""

import asyncio

from wrenspoke import clock as clocks

# Of the bound. The rest is for clocks that run apart, a hundredth at most,
# and for what passes between the last look and the engine's first byte.
LEASE_SHARE = 0.9
# An answer that is asked for again at once: some ways within a region.
MIN_RETRY_MS = 100
# Callers look for another host meanwhile; longer they need not stay away.
MAX_RETRY_MS = 2_000


class ConfigurationLease:
    """Hold until when calls under keys may be served.

    Without a bound it never ends.
    """

    def __init__(self, bound_ms: int | None, clock: clocks.Clock):
        self._length_ms = None
        if bound_ms is not None:
            self._length_ms = int(bound_ms * LEASE_SHARE)
        self._clock = clock
        self._as_of_ms: int | None = None
        self.granted = asyncio.Event()

    def confirm(self, as_of_ms: int) -> None:
        """Note that what is held was the newest at a moment."""
        if self._as_of_ms is None or as_of_ms > self._as_of_ms:
            self._as_of_ms = as_of_ms
        if self.held:
            self.granted.set()

    @property
    def held(self) -> bool:
        """Tell whether calls under keys may be served now."""
        if self._length_ms is None:
            return True
        if self._as_of_ms is None:
            return False
        return self._clock.mono_ms() - self._as_of_ms < self._length_ms

    @property
    def ever_held(self) -> bool:
        """Tell whether there was a lease in this life of the host."""
        return self._length_ms is None or self.granted.is_set()

    def retry_delay_ms(self) -> int:
        """Return when a caller without a lease here should come back.

        How long a cut or an election lasts is not known. It is taken to
        last as long again as it has, within bounds.
        """
        if self._as_of_ms is None or self._length_ms is None:
            return MIN_RETRY_MS
        ended_ms = self._as_of_ms + self._length_ms
        expired_ms = self._clock.mono_ms() - ended_ms
        return min(max(expired_ms, MIN_RETRY_MS), MAX_RETRY_MS)
