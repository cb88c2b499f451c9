"""Remember under which requests endpoints ended, within bounds.

An end counts against every request that the endpoint ran, as nothing tells
which one it was. A request that one endpoint ran to a good end is cleared:
what ends each endpoint that runs it never comes that far.
"""

import collections

from wrenspoke import clock as clocks
from wrenspoke import ids

# A request is quarantined after this many crashes. Fewer would also hold back
# harmless requests that were running when an endpoint crashed by itself.
CRASH_THRESHOLD = 3
# All calls of an endpoint break within some milliseconds, and are told from
# one region; the endpoint is not back sooner.
DEDUP_WINDOW_MS = 400
# Callers that ask again do so within seconds or minutes.
RETENTION_MS = 600_000
# What ends under once is many, as all that an endpoint ran has it, and says
# little; what it pushes out is older and says no more. 0.4 KB each.
MAX_SINGLE_CRASH_ENTRIES = 3_000
# More than once is rare, and only ends of endpoints make such an entry;
# 0.7 KB each.
MAX_REPEATED_CRASH_ENTRIES = 1_000

CrashRecord = tuple[ids.EndpointId, int]


class CrashHistory:
    """Count the endpoints that ended under each request."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        # Oldest first. What ended under once can't push out the others.
        self._single_crashes: collections.OrderedDict[
            ids.RequestDigest, list[CrashRecord]
        ] = collections.OrderedDict()
        self._repeated_crashes: collections.OrderedDict[
            ids.RequestDigest, list[CrashRecord]
        ] = collections.OrderedDict()

    def record_crash(
        self,
        digest: ids.RequestDigest,
        endpoint: ids.EndpointId,
        crashed_ms: int,
    ) -> int:
        """Note that an endpoint ended; return how many did under it."""
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

    def clear(self, digest: ids.RequestDigest) -> bool:
        """Forget what is held against a request; False if nothing is."""
        single = self._single_crashes.pop(digest, None)
        return bool(single or self._repeated_crashes.pop(digest, None))

    def crash_count(self, digest: ids.RequestDigest) -> int:
        """Return how many endpoints ended under a request."""
        return len(self._crashes_of(digest))

    def _crashes_of(self, digest: ids.RequestDigest) -> list[CrashRecord]:
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
