"""The snapshot from which a log of entries goes on."""

import msgspec

from wrenspoke.state import electorates


class Snapshot(msgspec.Struct, frozen=True):
    """State up to an index, with the voters at that index."""

    index: int = 0
    term: int = 0
    voters: electorates.Voters = {}
    state: bytes = b''
    before: electorates.Voters = {}

    @property
    def electorate(self) -> electorates.Electorate:
        """Return the electorate at the index of the snapshot."""
        return electorates.Electorate(self.voters, self.before)
