"""Errors of the coordination layer."""

from wrenspoke import errors
from wrenspoke import ids
from wrenspoke.protocol import outcomes


class CoordinationError(errors.WrenspokeError):
    """Base class of the errors of the coordination layer."""


class RequestEndedError(CoordinationError):
    """A request has ended; ``ending`` has its outcome and reason."""

    def __init__(self, ending: outcomes.Ending):
        super().__init__(f'{ending.outcome.value}: {ending.reason.value}')
        self.ending = ending


class SendRefusedError(CoordinationError):
    """A check failed before a request was sent; nothing was sent."""

    def __init__(self, check: str, detail: str):
        super().__init__(f'{check}: {detail}')
        self.check = check
        self.detail = detail


class EndpointBusyError(SendRefusedError):
    """Base class for endpoints that get no request for ``wait_ms``."""

    def __init__(
        self, check: str, endpoint: ids.EndpointId, problem: str, wait_ms: int
    ):
        super().__init__(check, f'{endpoint} {problem} for {wait_ms} ms')
        self.endpoint = endpoint
        self.wait_ms = wait_ms


class EndpointLimitError(EndpointBusyError):
    """The rate limit that an endpoint advertises is used up."""

    def __init__(self, endpoint: ids.EndpointId, wait_ms: int):
        super().__init__(
            'endpoint_limit', endpoint, 'is at its advertised limit', wait_ms
        )


class EndpointBackoffError(EndpointBusyError):
    """This host backs off from an endpoint."""

    def __init__(self, endpoint: ids.EndpointId, wait_ms: int):
        super().__init__(
            'endpoint_backoff', endpoint, 'asked for backoff', wait_ms
        )


class QuarantinedError(CoordinationError):
    """A request is not sent, as its content crashed endpoints.

    ``held_ms`` is the remaining time of the quarantine, ``digest`` that of
    the request or of a part of its prompt, empty if another host refused it.
    """

    def __init__(
        self,
        held_ms: int,
        digest: ids.ContentDigest = ids.ContentDigest(''),
    ):
        super().__init__(f'request is quarantined for {held_ms} ms')
        self.held_ms = held_ms
        self.digest = digest


class NotSentError(CoordinationError):
    """No part of the request was sent."""


class NoDescriptorError(NotSentError):
    """This host has no descriptor for a connection.

    The endpoint or host that it is for has not failed.
    """


class SendAbortedError(CoordinationError):
    """A send was no longer permitted when it was due; nothing was sent."""


class MaybeSentError(CoordinationError):
    """The request was sent, and the endpoint may have run it."""


class OverloadedError(CoordinationError):
    """An endpoint rejected the request without running it.

    ``backs_off`` says that this host backs off from the endpoint.
    """

    def __init__(self, status: int, backs_off: bool):
        super().__init__(f'endpoint rejected the request: status {status}')
        self.status = status
        self.backs_off = backs_off


class ResumeRefusedError(CoordinationError):
    """Base class of the errors of streams that can't be resumed."""


class UnknownBuildError(ResumeRefusedError):
    """No host knows which build began a stream, and several may have."""

    def __init__(self, request: str | None):
        super().__init__(f'build of the stream of {request!r} is unknown')


class BuildGoneError(ResumeRefusedError):
    """No endpoint of the build that began a stream takes requests."""

    def __init__(self, build: str):
        super().__init__(f'no endpoint of build {build!r} takes requests')


class LedgerUnreachableError(CoordinationError):
    """Too few ledger hosts answered."""


class DeniedError(CoordinationError):
    """Base class of the errors of calls that the configuration forbids."""


class NoRouteError(DeniedError):
    """No route matches a call."""


class UnknownKeyError(DeniedError):
    """A call needs a key, and no team has the one that it presented."""


class NoLeaseError(DeniedError):
    """This host has no lease on the configuration, so keys may be stale."""


class NotLeaderError(CoordinationError):
    """This control host is not the leader; ``leader`` is, if known.

    ``may_be_accepted`` says that the proposal may still be committed.
    """

    def __init__(self, leader: str | None, may_be_accepted: bool):
        super().__init__(f'leader is {leader}')
        self.leader = leader
        self.may_be_accepted = may_be_accepted
