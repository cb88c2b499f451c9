"""A multi-region inference gateway."""

__version__ = '0.1.0'
