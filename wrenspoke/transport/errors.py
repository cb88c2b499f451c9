"""The errors of the transport layer."""

from wrenspoke import errors


class TransportError(errors.WrenspokeError):
    """Be the base of what can go wrong below the protocol."""


class NotSentError(TransportError):
    """Say that no byte of the message left this process."""


class HeldBackError(NotSentError):
    """Say that the message may not leave any more, and did not."""


class MaybeSentError(TransportError):
    """Say that the message may have arrived, though no answer came."""
