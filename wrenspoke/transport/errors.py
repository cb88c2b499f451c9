"""The errors of the transport layer."""

from wrenspoke import errors


class TransportError(errors.WrenspokeError):
    """Base of the errors of the transport layer."""


class NotSentError(TransportError):
    """Say that no byte of the message left this process."""


class SendAbortedError(NotSentError):
    """Say that the message may not leave any more, and did not."""


class MaybeSentError(TransportError):
    """Say that the message may have arrived, though no answer came."""
