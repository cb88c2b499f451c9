"""The root of every error that the library raises on purpose."""


class WrenspokeError(Exception):
    """Base of all errors of wrenspoke."""
