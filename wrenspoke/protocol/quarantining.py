"""Messages about requests and prompt parts that crash endpoints."""

import msgspec

from wrenspoke import ids


class EndpointCrash(msgspec.Struct, array_like=True, frozen=True):
    """Crash of an endpoint while it ran a request, ``age_ms`` ago.

    ``digest`` is that of the request, ``parts`` those of its prompt's parts
    that are under suspicion too, the most specific one first.
    """

    digest: ids.ContentDigest
    endpoint: ids.EndpointId
    age_ms: int
    parts: tuple[ids.ContentDigest, ...] = ()

    @property
    def digests(self) -> tuple[ids.ContentDigest, ...]:
        """Return all digests, the most specific one first."""
        return (self.digest, *self.parts)


class Hold(msgspec.Struct, array_like=True, frozen=True):
    """Hold on content, which must not be sent for ``for_ms``.

    ``digest`` is that of a request, or of a part of the prompts of many.
    ``ends`` is the number of endpoints that crashed while they ran it.
    """

    digest: ids.ContentDigest
    ends: int
    for_ms: int


class ReportCrashes(msgspec.Struct, tag='runs_ended'):
    """Report crashes of endpoints.

    ``cleared`` lists content that an endpoint has completed.
    """

    ends: list[EndpointCrash]
    cleared: list[ids.ContentDigest] = []


class ReportCrashesReply(msgspec.Struct, tag='runs_noted'):
    """Reply to a report of crashes.

    ``life`` identifies the instance of the replying host. ``holds`` are its
    holds on the reported content. ``cleared`` lists reported content that
    was recently completed.
    """

    life: str
    holds: list[Hold] = []
    cleared: list[ids.ContentDigest] = []


class FindSuccesses(msgspec.Struct, tag='find_successes'):
    """Ask an entry host which of some content completed there recently."""

    digests: list[ids.ContentDigest]


class FindSuccessesReply(msgspec.Struct, tag='successes_found'):
    """Reply with the content that completed recently."""

    cleared: list[ids.ContentDigest] = []


class RequestTrial(msgspec.Struct, tag='request_trial'):
    """Ask to send a request although content of it is on probation."""

    digest: ids.ContentDigest
    request: ids.RequestId


class RequestTrialReply(msgspec.Struct, tag='trial_decided'):
    """Reply that grants or denies a trial."""

    granted: bool


class UpdateHolds(msgspec.Struct, tag='hold_off'):
    """Set and release holds at entry hosts."""

    holds: list[Hold]
    released: list[ids.ContentDigest] = []


class UpdateHoldsReply(msgspec.Struct, tag='hold_taken'):
    """Reply to an update of holds.

    ``cleared`` lists content that was recently completed.
    """

    cleared: list[ids.ContentDigest] = []
