"""Errors of the protocol layer."""

from wrenspoke import errors


class ProtocolError(errors.WrenspokeError):
    """Base class of protocol errors."""


class BadRequestError(ProtocolError):
    """Raised for an invalid field of a request, with an HTTP status."""

    def __init__(self, field: str, problem: str, status: int = 400):
        super().__init__(f'{field}: {problem}')
        self.field = field
        self.problem = problem
        self.status = status


class InvalidHopError(ProtocolError):
    """Raised for a hop header that is forged, malformed or expired."""


class NoRoomError(ProtocolError):
    """Raised if a host holds too many bytes to read a request."""

    def __init__(self, retry_after_ms: int):
        super().__init__(f'no room for a request for {retry_after_ms} ms')
        self.retry_after_ms = retry_after_ms


class CallerDisconnectedError(ProtocolError):
    """Raised if the caller disconnects before the response is complete."""


class MalformedMessageError(ProtocolError):
    """Raised for a message or event that can't be decoded."""


class NoResponseError(ProtocolError):
    """Raised if a host does not respond.

    ``sent`` is set if the message may have been delivered and handled.
    """

    def __init__(self, host: str, sent: bool):
        super().__init__(f'host {host} did not respond')
        self.host = host
        self.sent = sent


class MalformedRateError(ProtocolError):
    """Raised for an advertised rate limit that is malformed."""


class MalformedRetryAfterError(ProtocolError):
    """Raised for a malformed ``Retry-After`` header."""


class MalformedLeavingError(ProtocolError):
    """Raised for a malformed header that advertises a shutdown."""
