"""The errors of the coordination layer."""

from wrenspoke import errors
from wrenspoke import ids
from wrenspoke.protocol import outcomes


class CoordinationError(errors.WrenspokeError):
    """Base of the errors of the coordination layer."""


class RequestEndedError(CoordinationError):
    """Carry how a request ends, from where that is known."""

    def __init__(self, ending: outcomes.Ending):
        super().__init__(f'{ending.outcome.value}: {ending.reason.value}')
        self.ending = ending


class SendRefusedError(CoordinationError):
    """Say which check kept a request from being sent; none was."""

    def __init__(self, check: str, detail: str):
        super().__init__(f'{check}: {detail}')
        self.check = check
        self.detail = detail


class EndpointBusyError(SendRefusedError):
    """Base of the errors of endpoints that may not be sent to yet."""

    def __init__(
        self, check: str, endpoint: ids.EndpointId, problem: str, wait_ms: int
    ):
        super().__init__(check, f'{endpoint} {problem} for {wait_ms} ms')
        self.endpoint = endpoint
        self.wait_ms = wait_ms


class EndpointLimitError(EndpointBusyError):
    """Say that an endpoint's advertised limit is used up."""

    def __init__(self, endpoint: ids.EndpointId, wait_ms: int):
        super().__init__('endpoint_limit', endpoint, 'takes no more', wait_ms)


class EndpointBackoffError(EndpointBusyError):
    """Say that this host backs off from an endpoint."""

    def __init__(self, endpoint: ids.EndpointId, wait_ms: int):
        super().__init__(
            'endpoint_backoff', endpoint, 'asked for backoff', wait_ms
        )


class QuarantinedError(CoordinationError):
    """Say that no endpoint is sent a request, as some ended under it."""

    def __init__(self, held_ms: int):
        super().__init__('endpoints ended under it')
        self.held_ms = held_ms


class NotSentError(CoordinationError):
    """Say that nothing of the request left this host."""


class SendAbortedError(CoordinationError):
    """Say that the request may not go there any more, and did not."""


class MaybeSentError(CoordinationError):
    """Say that the endpoint may have run the request."""


class OverloadedError(CoordinationError):
    """Say that an endpoint turned the request away unrun.

    ``backs_off`` says that this host sends it nothing for a while.
    """

    def __init__(self, status: int, backs_off: bool):
        super().__init__(f'endpoint answered {status}')
        self.status = status
        self.backs_off = backs_off


class LedgerUnreachableError(CoordinationError):
    """Say that too few ledger hosts answered."""


class DeniedError(CoordinationError):
    """Base of the errors of calls that the configuration forbids."""


class NoRouteError(DeniedError):
    """Say that no route leads where a call wants to go."""


class UnknownKeyError(DeniedError):
    """Say that a call needs a key, and that no team holds the one shown."""


class NoLeaseError(DeniedError):
    """Say that this host can't know whether a key still holds."""


class NotLeaderError(CoordinationError):
    """Say that this control host does not lead, and who may.

    ``may_be_accepted`` says that what was asked may come into force.
    """

    def __init__(self, leader: str | None, may_be_accepted: bool):
        super().__init__(f'leader is {leader}')
        self.leader = leader
        self.may_be_accepted = may_be_accepted
