"""Messages about requests that crash endpoints."""

import msgspec

from wrenspoke import ids


class EndpointCrash(msgspec.Struct, array_like=True, frozen=True):
    """Crash of an endpoint while it ran a request, ``age_ms`` ago."""

    digest: ids.ContentDigest
    endpoint: ids.EndpointId
    age_ms: int


class Hold(msgspec.Struct, array_like=True, frozen=True):
    """Hold on a request, which must not be sent for ``for_ms``.

    ``ends`` is the number of endpoints that crashed while they ran it.
    """

    digest: ids.ContentDigest
    ends: int
    for_ms: int


class ReportCrashes(msgspec.Struct, tag='runs_ended'):
    """Report crashes of endpoints.

    ``cleared`` lists requests that an endpoint has completed.
    """

    ends: list[EndpointCrash]
    cleared: list[ids.ContentDigest] = []


class ReportCrashesReply(msgspec.Struct, tag='runs_noted'):
    """Reply to a report of crashes.

    ``life`` identifies the instance of the replying host. ``holds`` are its
    holds on the reported requests.
    """

    life: str
    holds: list[Hold] = []


class UpdateHolds(msgspec.Struct, tag='hold_off'):
    """Set and release holds at entry hosts."""

    holds: list[Hold]
    released: list[ids.ContentDigest] = []


class UpdateHoldsReply(msgspec.Struct, tag='hold_taken'):
    """Reply to an update of holds.

    ``cleared`` lists requests that were recently completed.
    """

    cleared: list[ids.ContentDigest] = []
