"""Errors of the transport layer."""

from wrenspoke import errors


class TransportError(errors.WrenspokeError):
    """Base class of the errors of the transport layer."""


class NotSentError(TransportError):
    """No byte of the message was sent."""


class NoDescriptorError(NotSentError):
    """This process has no descriptor for a connection; nothing was sent."""


class SendAbortedError(NotSentError):
    """The message was no longer permitted to be sent, and was not sent."""


class UnsolicitedBytesError(NotSentError):
    """The peer sent bytes before the request, which was not sent."""


class MaybeSentError(TransportError):
    """The message may have been delivered, but no response arrived."""


class ForeignResponseError(MaybeSentError):
    """The response that arrived belongs to another request."""
