"""The root of every error that the library raises on purpose."""


class WrenspokeError(Exception):
    """Be the base of each layer's own errors."""
