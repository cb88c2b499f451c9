"""Remember which requests endpoints ran to a good end of late."""

import collections

from wrenspoke import clock as clocks
from wrenspoke import ids

# What works now and again is no request that ends each endpoint that runs
# it, whatever broke off beside it.
RETENTION_MS = 60_000
# The contents that come again are few; 0.2 KB each.
MAX_ENTRIES = 1_000


class RecentSuccesses:
    """Hold the newest requests that came to a good end at this host."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._succeeded_ms: collections.OrderedDict[ids.RequestDigest, int] = (
            collections.OrderedDict()
        )

    def add_success(self, digest: ids.RequestDigest) -> None:
        """Note that an endpoint ran a request to a good end."""
        self._succeeded_ms[digest] = self._clock.mono_ms()
        self._succeeded_ms.move_to_end(digest)
        if len(self._succeeded_ms) > MAX_ENTRIES:
            self._succeeded_ms.popitem(last=False)

    def has_recent(self, digest: ids.RequestDigest) -> bool:
        """Tell whether a request came to a good end of late."""
        succeeded_ms = self._succeeded_ms.get(digest)
        if succeeded_ms is None:
            return False
        return self._clock.mono_ms() - succeeded_ms <= RETENTION_MS
