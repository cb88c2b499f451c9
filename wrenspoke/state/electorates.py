"""Who votes in a group, and what a majority of them has reached."""

import collections.abc
import typing

import msgspec

from wrenspoke import ids

Voters = dict[ids.HostId, ids.Incarnation]


def majority(voters: typing.Sized) -> int:
    """Return how many of some voters are a majority."""
    return len(voters) // 2 + 1


class Electorate(msgspec.Struct, frozen=True):
    """Hold the disks that vote, by their hosts.

    While one takes another's place ``before`` holds the voters until then,
    and what is decided needs a majority of both sets. So no two decisions
    are made without a disk in common, and until the change is over neither
    the one that leaves nor the one that comes is needed: a third may be
    lost meanwhile. Joint consensus; Ongaro and Ousterhout, 2014.
    """

    voters: Voters = {}
    before: Voters = {}

    @property
    def voter_sets(self) -> list[Voters]:
        """Return the sets that each have to agree."""
        return [found for found in (self.voters, self.before) if found]

    @property
    def hosts(self) -> set[ids.HostId]:
        """Return every host whose vote may be asked for."""
        return {*self.voters, *self.before}

    def has_voter(self, host: ids.HostId, disk: ids.Incarnation) -> bool:
        """Tell whether a host has a vote on a disk."""
        return any(found.get(host) == disk for found in self.voter_sets)

    def majority_value(
        self,
        value_of: collections.abc.Callable[[ids.HostId, ids.Incarnation], int],
    ) -> int:
        """Return what a majority of each set has reached.

        ``known`` tells how far a voter is known to be, on the disk that
        was admitted. Without voters nothing is reached: 0.
        """
        least = []
        for voters in self.voter_sets:
            values = sorted(value_of(*voter) for voter in voters.items())
            least.append(values[-majority(voters)])
        return min(least, default=0)
