"""Bounded record of endpoint crashes per request digest.

A crash counts against every request in flight on the endpoint, because the
request that caused it is unknown. A request that completes on any endpoint
is cleared: a request that always crashes its endpoint never completes.
"""

import collections

from wrenspoke import clock as clocks
from wrenspoke import ids

# Crashes after which a request is quarantined. Low thresholds also quarantine
# harmless requests that were in flight during unrelated crashes.
CRASH_THRESHOLD = 3
# Reports of one endpoint within this window are the same crash: all its calls
# break within milliseconds, and it cannot restart sooner.
DEDUP_WINDOW_MS = 400
# Clients resend a failed request within seconds or minutes.
RETENTION_MS = 600_000
# Every request in flight during a crash gets a single-crash entry, so these
# are numerous and weak evidence; the oldest are evicted first. 0.4 KB each.
MAX_SINGLE_CRASH_ENTRIES = 3_000
# Requests with repeated crashes are rare; 0.7 KB each.
MAX_REPEATED_CRASH_ENTRIES = 1_000

CrashRecord = tuple[ids.EndpointId, int]


class CrashHistory:
    """Tracks the endpoint crashes recorded against each request."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        # Oldest first. Kept apart so that single-crash entries cannot evict
        # repeated ones.
        self._single_crashes: collections.OrderedDict[
            ids.ContentDigest, list[CrashRecord]
        ] = collections.OrderedDict()
        self._repeated_crashes: collections.OrderedDict[
            ids.ContentDigest, list[CrashRecord]
        ] = collections.OrderedDict()

    def record_crash(
        self,
        digest: ids.ContentDigest,
        endpoint: ids.EndpointId,
        crashed_ms: int,
    ) -> int:
        """Record a crash during a request; return the request's crashes.

        A duplicate report of a known crash does not count again.
        """
        self._evict_expired()
        crashes = self._crashes_of(digest)
        if any(_is_duplicate(end, endpoint, crashed_ms) for end in crashes):
            return len(crashes)
        crashes = [*crashes, (endpoint, crashed_ms)]
        self._single_crashes.pop(digest, None)
        self._repeated_crashes.pop(digest, None)
        entries, limit = self._repeated_crashes, MAX_REPEATED_CRASH_ENTRIES
        if len(crashes) == 1:
            entries, limit = self._single_crashes, MAX_SINGLE_CRASH_ENTRIES
        entries[digest] = crashes
        if len(entries) > limit:
            entries.popitem(last=False)
        return len(crashes)

    def clear(self, digest: ids.ContentDigest) -> bool:
        """Remove a request's crashes; return whether it had any."""
        single = self._single_crashes.pop(digest, None)
        return bool(single or self._repeated_crashes.pop(digest, None))

    def crash_count(self, digest: ids.ContentDigest) -> int:
        """Return how many crashes are recorded against a request."""
        return len(self._crashes_of(digest))

    def _crashes_of(self, digest: ids.ContentDigest) -> list[CrashRecord]:
        return (
            self._single_crashes.get(digest)
            or self._repeated_crashes.get(digest)
            or []
        )

    def _evict_expired(self) -> None:
        oldest_ms = self._clock.mono_ms() - RETENTION_MS
        for entries in (self._single_crashes, self._repeated_crashes):
            while entries:
                digest = next(iter(entries))
                if entries[digest][-1][1] > oldest_ms:
                    break
                del entries[digest]


def _is_duplicate(
    crash: CrashRecord, endpoint: ids.EndpointId, crashed_ms: int
) -> bool:
    return (
        crash[0] == endpoint and abs(crash[1] - crashed_ms) <= DEDUP_WINDOW_MS
    )
