"""The errors of the state layer."""

from wrenspoke import errors


class StateError(errors.WrenspokeError):
    """Base of the errors of stored state."""


class UnknownItemError(StateError):
    """Say that a change or question names something that is not there."""


class InvalidChangeError(StateError):
    """Say that a change makes no sense, and which field of it."""


class CorruptLogError(StateError):
    """Say that a file is damaged elsewhere than at its torn end."""

    def __init__(self, file: str, offset_bytes: int, reason: str):
        super().__init__(f'{file} at byte {offset_bytes}: {reason}')
        self.file = file
        self.offset_bytes = offset_bytes


class DiskError(StateError):
    """Say that a write or sync failed; nothing more may be acknowledged."""


class DiskFullError(DiskError):
    """Say that there was no room for a write, which changed nothing."""
