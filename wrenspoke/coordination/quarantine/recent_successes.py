"""Bounded record of content that endpoints completed recently."""

import collections
import collections.abc

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import fingerprints

# Content that completed within this time does not always crash its endpoint,
# so crashes meanwhile are not counted against it.
RETENTION_MS = 60_000
# Few whole requests have the same content; 0.2 KB each.
MAX_REQUESTS = 1_000
# Each request has several parts, shared by many. Apart from the requests,
# which would evict them.
MAX_PARTS = 4_000


class RecentSuccesses:
    """Tracks the requests and prompt parts that completed most recently."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._requests_ms: collections.OrderedDict[ids.ContentDigest, int] = (
            collections.OrderedDict()
        )
        self._parts_ms: collections.OrderedDict[ids.ContentDigest, int] = (
            collections.OrderedDict()
        )

    def add_success(self, digest: ids.ContentDigest) -> None:
        """Record that an endpoint completed a request or part."""
        succeeded_ms, limit = self._requests_ms, MAX_REQUESTS
        if fingerprints.is_part(digest):
            succeeded_ms, limit = self._parts_ms, MAX_PARTS
        succeeded_ms[digest] = self._clock.mono_ms()
        succeeded_ms.move_to_end(digest)
        if len(succeeded_ms) > limit:
            succeeded_ms.popitem(last=False)

    def has_recent(self, digest: ids.ContentDigest) -> bool:
        """Return whether content completed within ``RETENTION_MS``."""
        succeeded_ms = self._requests_ms.get(digest)
        if succeeded_ms is None:
            succeeded_ms = self._parts_ms.get(digest)
        if succeeded_ms is None:
            return False
        return self._clock.mono_ms() - succeeded_ms <= RETENTION_MS

    def recent(
        self, digests: collections.abc.Iterable[ids.ContentDigest]
    ) -> list[ids.ContentDigest]:
        """Return the digests that completed recently, in their order."""
        return [digest for digest in digests if self.has_recent(digest)]

    def without_recent(
        self, digests: collections.abc.Iterable[ids.ContentDigest]
    ) -> tuple[ids.ContentDigest, ...]:
        """Return the digests that did not complete recently."""
        return tuple(one for one in digests if not self.has_recent(one))
