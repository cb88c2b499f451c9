"""Base class of the errors of the library."""


class WrenspokeError(Exception):
    """Base class of all errors that wrenspoke raises itself."""
