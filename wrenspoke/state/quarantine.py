"""Requests that no endpoint is sent, as endpoints ended under them."""

import msgspec

from wrenspoke import ids

# Each takes three ends of endpoints or more. Beyond this those on probation
# go first, then the oldest; 0.2 KB each on every host.
MAX_QUARANTINED = 1_000


class QuarantineEntry(msgspec.Struct, frozen=True):
    """Say that ``ends`` endpoints ended under a request.

    On probation it is sent again; what ends one more endpoint then is back
    at once, for longer.
    """

    digest: ids.RequestDigest
    ends: int
    on_probation: bool = False


Quarantine = dict[ids.RequestDigest, QuarantineEntry]


def blocking_entry(
    all_known: Quarantine, digest: ids.RequestDigest
) -> QuarantineEntry | None:
    """Return what says that a request is not to be sent, None if it may."""
    found = all_known.get(digest)
    if found is None or found.on_probation:
        return None
    return found


def apply_changes(
    old: Quarantine,
    entered: tuple[QuarantineEntry, ...],
    cleared: tuple[ids.RequestDigest, ...],
) -> Quarantine:
    """Return a quarantine with some requests entered or cleared."""
    new = {
        digest: found for digest, found in old.items() if digest not in cleared
    }
    for found in entered:
        new.pop(found.digest, None)
        new[found.digest] = found
    while len(new) > MAX_QUARANTINED:
        del new[_eviction_candidate(new)]
    return new


def _eviction_candidate(held: Quarantine) -> ids.RequestDigest:
    for digest, found in held.items():
        if found.on_probation:
            return digest
    return next(iter(held))
