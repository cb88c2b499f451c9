"""The messages by which hosts learn which requests end endpoints."""

import msgspec

from wrenspoke import ids


class EndpointCrash(msgspec.Struct, array_like=True, frozen=True):
    """Tell that an endpoint ended under a request, ``age_ms`` ago."""

    digest: ids.RequestDigest
    endpoint: ids.EndpointId
    age_ms: int


class Hold(msgspec.Struct, array_like=True, frozen=True):
    """Say that a request is not to be sent for a while.

    ``ends`` is how many endpoints ended under it.
    """

    digest: ids.RequestDigest
    ends: int
    for_ms: int


class ReportCrashes(msgspec.Struct, tag='runs_ended'):
    """Tell which runs ended endpoints, and which requests ran to an end.

    What is in ``cleared`` some endpoint ran to a good end.
    """

    ends: list[EndpointCrash]
    cleared: list[ids.RequestDigest] = []


class ReportCrashesReply(msgspec.Struct, tag='runs_noted'):
    """Answer what was told of runs.

    ``life`` tells one life of the answering host from another, ``holds`` is
    what it holds off of what was told.
    """

    life: str
    holds: list[Hold] = []


class UpdateHolds(msgspec.Struct, tag='hold_off'):
    """Tell entry hosts which requests not to send, and which to send again."""

    holds: list[Hold]
    released: list[ids.RequestDigest] = []


class UpdateHoldsReply(msgspec.Struct, tag='hold_taken'):
    """Answer what was told of holds.

    What is in ``cleared`` ran to a good end of late.
    """

    cleared: list[ids.RequestDigest] = []
