"""Errors of the state layer."""

from wrenspoke import errors


class StateError(errors.WrenspokeError):
    """Base class of errors of stored state."""


class UnknownItemError(StateError):
    """A change or query names an item that does not exist."""


class InvalidChangeError(StateError):
    """A change is invalid; the message names the field."""


class CorruptLogError(StateError):
    """A file is corrupt other than by a torn write at its end."""

    def __init__(self, file: str, offset_bytes: int, reason: str):
        super().__init__(f'{file} at byte {offset_bytes}: {reason}')
        self.file = file
        self.offset_bytes = offset_bytes


class DiskError(StateError):
    """A write or sync failed; nothing more may be acknowledged."""


class DiskFullError(DiskError):
    """A write ran out of disk space; the files are unchanged."""
