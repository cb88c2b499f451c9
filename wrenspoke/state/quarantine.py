"""Quarantine of requests and prompt parts that crash endpoints."""

import msgspec

from wrenspoke import ids

# Beyond this entries on probation are evicted first, then the oldest. Every
# host stores all entries. They are few, as each takes three crashes or more.
MAX_QUARANTINED = 1_000


class QuarantineEntry(msgspec.Struct, frozen=True):
    """A request, or prompt part, that crashed ``ends`` endpoints.

    Of content on probation one request is sent, as a trial; if it crashes
    another endpoint the content is quarantined again at once, for longer.
    """

    digest: ids.ContentDigest
    ends: int
    on_probation: bool = False


Quarantine = dict[ids.ContentDigest, QuarantineEntry]


def blocking_entry(
    all_known: Quarantine, digest: ids.ContentDigest
) -> QuarantineEntry | None:
    """Return the entry that blocks content, or None if it may be sent."""
    found = all_known.get(digest)
    if found is None or found.on_probation:
        return None
    return found


def decided_crashes(all_known: Quarantine, digest: ids.ContentDigest) -> int:
    """Return the crashes that the decision on a digest includes, or 0."""
    decided = all_known.get(digest)
    return 0 if decided is None else decided.ends


def apply_changes(
    old: Quarantine,
    entered: tuple[QuarantineEntry, ...],
    cleared: tuple[ids.ContentDigest, ...],
) -> Quarantine:
    """Return a copy with entries added and cleared, within the size limit."""
    new = {
        digest: found for digest, found in old.items() if digest not in cleared
    }
    for found in entered:
        new.pop(found.digest, None)
        new[found.digest] = found
    while len(new) > MAX_QUARANTINED:
        del new[_eviction_candidate(new)]
    return new


def _eviction_candidate(held: Quarantine) -> ids.ContentDigest:
    for digest, found in held.items():
        if found.on_probation:
            return digest
    return next(iter(held))
