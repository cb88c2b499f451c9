"""Bounded record of requests that completed recently on this host."""

import collections

from wrenspoke import clock as clocks
from wrenspoke import ids

# A request that completed within this time does not always crash its
# endpoint, so crashes meanwhile are not counted against it.
RETENTION_MS = 60_000
# Few requests have the same content; 0.2 KB each.
MAX_ENTRIES = 1_000


class RecentSuccesses:
    """Tracks the most recent requests that completed on this host."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._succeeded_ms: collections.OrderedDict[ids.ContentDigest, int] = (
            collections.OrderedDict()
        )

    def add_success(self, digest: ids.ContentDigest) -> None:
        """Record that an endpoint completed a request."""
        self._succeeded_ms[digest] = self._clock.mono_ms()
        self._succeeded_ms.move_to_end(digest)
        if len(self._succeeded_ms) > MAX_ENTRIES:
            self._succeeded_ms.popitem(last=False)

    def has_recent(self, digest: ids.ContentDigest) -> bool:
        """Return whether a request completed within ``RETENTION_MS``."""
        succeeded_ms = self._succeeded_ms.get(digest)
        if succeeded_ms is None:
            return False
        return self._clock.mono_ms() - succeeded_ms <= RETENTION_MS
