"""Bounded record of endpoint crashes and of the content under suspicion.

A crash counts against the content of every request in flight on the endpoint,
because the one that caused it is unknown. Content is identified by digests,
of whole requests and of parts of their prompts. Content that completes on any
endpoint is cleared: what always crashes its endpoint never completes.

The content with the most crashes is the culprit. Crashes that it explains no
longer count against the other requests that were in flight.
"""

import collections
import collections.abc
import dataclasses

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import fingerprints

# Crashes after which content is quarantined. Low thresholds also quarantine
# harmless content that was in flight during unrelated crashes.
CRASH_THRESHOLD = 3
# Crashes after which content is quarantined even if other requests were in
# flight during the same crashes.
TIE_CRASH_THRESHOLD = 5
# Reports of one endpoint within this window are the same crash: all its calls
# break within milliseconds, and it cannot restart sooner.
DEDUP_WINDOW_MS = 400
# Clients resend a failed request within seconds or minutes.
RETENTION_MS = 600_000
# Everything in flight during a crash gets a single-crash entry, so these are
# numerous and weak evidence; the oldest are evicted first. 0.4 KB each.
MAX_SINGLE_CRASH_ENTRIES = 6_000
# Content with repeated crashes is rare; 0.7 KB each.
MAX_REPEATED_CRASH_ENTRIES = 1_000
# Crashes whose requests in flight are remembered.
MAX_CRASHES = 256
MAX_CULPRITS = 1_000

Digests = tuple[ids.ContentDigest, ...]
# Returns the crashes that a committed decision on a digest includes.
EarlierCrashes = collections.abc.Callable[[ids.ContentDigest], int]


@dataclasses.dataclass(eq=False, slots=True)
class Crash:
    """One crash of an endpoint, with the requests in flight.

    Each request is a tuple of its digests, the most specific one first.
    """

    endpoint: ids.EndpointId
    crashed_ms: int
    requests: dict[Digests, None] = dataclasses.field(default_factory=dict)

    @property
    def digests(self) -> list[ids.ContentDigest]:
        """Return the digests of all requests in flight, each one once."""
        found = dict.fromkeys(
            digest for request in self.requests for digest in request
        )
        return list(found)

    def is_in_flight(self, *digests: ids.ContentDigest) -> bool:
        """Return whether one request in flight has all of ``digests``."""
        return any(
            all(digest in request for digest in digests)
            for request in self.requests
        )


class CrashHistory:
    """Tracks endpoint crashes, and the content they count against."""

    def __init__(
        self,
        clock: clocks.Clock,
        earlier_crashes: EarlierCrashes = lambda _digest: 0,
    ):
        self._clock = clock
        self._earlier_crashes = earlier_crashes
        # Oldest first.
        self._crashes: collections.deque[Crash] = collections.deque(
            maxlen=MAX_CRASHES
        )
        # Crashes by digest, oldest first. Kept apart so that single-crash
        # entries cannot evict repeated ones.
        self._single_crashes: collections.OrderedDict[
            ids.ContentDigest, list[Crash]
        ] = collections.OrderedDict()
        self._repeated_crashes: collections.OrderedDict[
            ids.ContentDigest, list[Crash]
        ] = collections.OrderedDict()
        # Held digests with the crashes that a decision already includes.
        self._culprits: collections.OrderedDict[
            ids.ContentDigest, list[Crash]
        ] = collections.OrderedDict()

    def record_crash(
        self, request: Digests, endpoint: ids.EndpointId, crashed_ms: int
    ) -> Crash:
        """Record a crash during a request; return the crash.

        Reports of one crash by several hosts are merged.
        """
        self._evict_expired()
        crash = self._find_crash(endpoint, crashed_ms)
        if crash is None:
            crash = Crash(endpoint, crashed_ms)
            self._crashes.append(crash)
        crash.requests[request] = None
        for digest in request:
            self._add_crash(digest, crash)
        return crash

    def _find_crash(
        self, endpoint: ids.EndpointId, crashed_ms: int
    ) -> Crash | None:
        for crash in reversed(self._crashes):
            if crash.endpoint != endpoint:
                continue
            if abs(crash.crashed_ms - crashed_ms) <= DEDUP_WINDOW_MS:
                return crash
        return None

    def _add_crash(self, digest: ids.ContentDigest, crash: Crash) -> None:
        if crash in self._crashes_of(digest):
            return
        crashes = [*self._pop_crashes(digest), crash]
        entries, limit = self._repeated_crashes, MAX_REPEATED_CRASH_ENTRIES
        if len(crashes) == 1:
            entries, limit = self._single_crashes, MAX_SINGLE_CRASH_ENTRIES
        entries[digest] = crashes
        if len(entries) > limit:
            entries.popitem(last=False)

    def clear(self, digest: ids.ContentDigest) -> bool:
        """Remove a digest's crashes; return whether it had any."""
        self._culprits.pop(digest, None)
        return bool(self._pop_crashes(digest))

    def crash_count(self, digest: ids.ContentDigest) -> int:
        """Return the crashes of a digest that no culprit explains.

        Those before a decision on it are included.
        """
        earlier = self._earlier_crashes(digest)
        included = self._culprits.get(digest, [])
        excused = sum(self._is_explained(one, digest) for one in included)
        later = self._crashes_of(digest)
        unexplained = sum(not self._is_explained(one, digest) for one in later)
        return max(earlier - excused, 0) + unexplained

    # Culprits.

    def may_have_culprit(self, request: Digests) -> bool:
        """Return whether a request has a digest with enough crashes."""
        return any(self._total(one) >= CRASH_THRESHOLD for one in request)

    def find_culprits(self, crash: Crash) -> list[ids.ContentDigest]:
        """Return the digests that a crash suffices to quarantine.

        That is the digest with the most crashes of all in flight. Of those of
        one request with as many, it is the one that the fewest requests share.
        While requests that share none of them have as many, further crashes
        are needed to tell which it is.
        """
        leading = self.leading_digests(crash)
        if not leading:
            return []
        highest = self.crash_count(leading[0])
        found: dict[ids.ContentDigest, None] = {}
        for request in crash.requests:
            of_request = [one for one in request if one in leading]
            if len(of_request) == len(leading):
                return of_request[:1]
            found.update(dict.fromkeys(of_request[:1]))
        return list(found) if highest >= TIE_CRASH_THRESHOLD else []

    def leading_digests(self, crash: Crash) -> list[ids.ContentDigest]:
        """Return the digests of a crash with the most crashes.

        Returns none if these are too few to quarantine any.
        """
        counts = {digest: self.crash_count(digest) for digest in crash.digests}
        highest = max(counts.values(), default=0)
        if highest < CRASH_THRESHOLD:
            return []
        return [one for one, count in counts.items() if count == highest]

    def mark_culprit(self, digest: ids.ContentDigest) -> None:
        """Record that a digest is held, so that it explains its crashes."""
        self._culprits.setdefault(digest, [])
        if len(self._culprits) > MAX_CULPRITS:
            self._culprits.popitem(last=False)

    def unmark_culprit(self, digest: ids.ContentDigest) -> None:
        """Record that a digest is no longer held."""
        self._culprits.pop(digest, None)

    def mark_decided(self, digest: ids.ContentDigest) -> None:
        """Record that a decision on a digest includes its crashes so far."""
        self.mark_culprit(digest)
        self._culprits[digest] += self._pop_crashes(digest)

    def acquitted(self) -> list[ids.ContentDigest]:
        """Return the held digests most of whose crashes others explain."""
        found = []
        for digest in self._culprits:
            unexplained = self.crash_count(digest)
            if unexplained >= CRASH_THRESHOLD:
                continue
            if 2 * unexplained < len(self._all_crashes_of(digest)):
                found.append(digest)
        return found

    def _is_explained(self, crash: Crash, digest: ids.ContentDigest) -> bool:
        """Return whether a culprit that was in flight explains a crash."""
        return any(
            self._explains(culprit, crash, digest)
            for culprit in self._culprits
            if culprit != digest and crash.is_in_flight(culprit)
        )

    def _explains(
        self,
        culprit: ids.ContentDigest,
        crash: Crash,
        digest: ids.ContentDigest,
    ) -> bool:
        """Return whether a culprit explains a crash in place of a digest.

        A culprit of another request with no more crashes than it shares with
        the digest may be held in place of it. One of the same request is a
        part that the digest's other requests may lack.
        """
        if digest in self._culprits:
            # Culprits must not explain each other's crashes.
            return self._total(culprit) > self._total(digest)
        shared = self._shared(culprit, digest)
        if not crash.is_in_flight(culprit, digest):
            return self._total(culprit) > shared
        if not fingerprints.is_part(culprit):
            # A request may crash endpoints because of one of its parts.
            return False
        return self._total(culprit) >= shared

    def _shared(
        self, culprit: ids.ContentDigest, digest: ids.ContentDigest
    ) -> int:
        """Return the crashes that a digest shares with a culprit."""
        return sum(
            crash.is_in_flight(culprit)
            for crash in self._all_crashes_of(digest)
        )

    def _total(self, digest: ids.ContentDigest) -> int:
        """Return the crashes of a digest, explained ones too."""
        return self._earlier_crashes(digest) + len(self._crashes_of(digest))

    def _all_crashes_of(self, digest: ids.ContentDigest) -> list[Crash]:
        """Return the crashes of a digest, with those that a decision has."""
        return [*self._culprits.get(digest, []), *self._crashes_of(digest)]

    def _crashes_of(self, digest: ids.ContentDigest) -> list[Crash]:
        return (
            self._single_crashes.get(digest)
            or self._repeated_crashes.get(digest)
            or []
        )

    def _pop_crashes(self, digest: ids.ContentDigest) -> list[Crash]:
        """Remove and return the crashes that are counted for a digest."""
        single = self._single_crashes.pop(digest, None)
        return single or self._repeated_crashes.pop(digest, [])

    def _evict_expired(self) -> None:
        oldest_ms = self._clock.mono_ms() - RETENTION_MS
        while self._crashes and self._crashes[0].crashed_ms <= oldest_ms:
            self._crashes.popleft()
        for entries in (self._single_crashes, self._repeated_crashes):
            while entries:
                digest = next(iter(entries))
                if entries[digest][-1].crashed_ms > oldest_ms:
                    break
                del entries[digest]
