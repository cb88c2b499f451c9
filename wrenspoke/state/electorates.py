"""Voters of a Raft group, and what a majority of them has reached."""

import collections.abc
import typing

import msgspec

from wrenspoke import ids

Voters = dict[ids.HostId, ids.Incarnation]


def majority(voters: typing.Sized) -> int:
    """Return how many votes make a majority of ``voters``."""
    return len(voters) // 2 + 1


class Electorate(msgspec.Struct, frozen=True):
    """Voting hosts, each with the incarnation of its disk.

    During a replacement ``before`` holds the previous voters, and decisions
    need a majority of both sets (joint consensus; Ongaro and Ousterhout,
    2014). So any two decisions share a disk, and until the change is complete
    no single voter is required, neither the leaving nor the joining one.
    """

    voters: Voters = {}
    before: Voters = {}

    @property
    def voter_sets(self) -> list[Voters]:
        """Return the non-empty voter sets; each must reach a majority."""
        return [found for found in (self.voters, self.before) if found]

    @property
    def hosts(self) -> set[ids.HostId]:
        """Return all hosts that have a vote in either set."""
        return {*self.voters, *self.before}

    def has_voter(self, host: ids.HostId, disk: ids.Incarnation) -> bool:
        """Return whether a host votes with the given disk incarnation."""
        return any(found.get(host) == disk for found in self.voter_sets)

    def majority_value(
        self,
        value_of: collections.abc.Callable[[ids.HostId, ids.Incarnation], int],
    ) -> int:
        """Return the highest value that a majority of each set has reached.

        ``value_of`` returns the value that a voter has reached with the
        given disk incarnation. Without voters the result is 0.
        """
        least = []
        for voters in self.voter_sets:
            values = sorted(value_of(*voter) for voter in voters.items())
            least.append(values[-majority(voters)])
        return min(least, default=0)
