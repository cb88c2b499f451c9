"""The errors of the protocol layer."""

from wrenspoke import errors


class ProtocolError(errors.WrenspokeError):
    """Base of the errors of messages."""


class BadRequestError(ProtocolError):
    """Say which field of a request is wrong, and with which status."""

    def __init__(self, field: str, problem: str, status: int = 400):
        super().__init__(f'{field}: {problem}')
        self.field = field
        self.problem = problem
        self.status = status


class InvalidHopError(ProtocolError):
    """Say that a hop header was not written by a host of the cluster."""


class CallerDisconnectedError(ProtocolError):
    """Say that the caller left before the end of its answer."""


class MalformedMessageError(ProtocolError):
    """Say that a message between hosts can't be read."""


class NoResponseError(ProtocolError):
    """Say that a host gave no answer; ``sent`` if it may have acted."""

    def __init__(self, host: str, sent: bool):
        super().__init__(f'{host} gave no answer')
        self.host = host
        self.sent = sent


class MalformedRateError(ProtocolError):
    """Say that an endpoint's word on its rate can't be read, and why."""


class MalformedRetryAfterError(ProtocolError):
    """Say that a ``Retry-After`` can't be read, and why."""


class MalformedLeavingError(ProtocolError):
    """Say that an endpoint's word that it leaves can't be read, and why."""
