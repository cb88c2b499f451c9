"""Which disks a leader gives a vote, and which lose theirs.

There are as many voters as the settings allow, on disks that are there,
and spread over as many regions and data centres as can be.
"""

import collections.abc
import typing

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import followers
from wrenspoke.coordination.membership import control_group
from wrenspoke import ids
from wrenspoke.state import electorates
from wrenspoke.state import entries
from wrenspoke.state import locations

if typing.TYPE_CHECKING:
    from wrenspoke import settings as limits

Followers = collections.abc.Mapping[ids.HostId, followers.Follower]


class LeaderState(typing.Protocol):
    """Be what admissions need to know of the leader's own host."""

    host: ids.HostId
    location: locations.Location
    group: control_group.ControlGroup
    settings: 'limits.ControlSettings'
    clock: clocks.Clock
    commit_index: int

    @property
    def electorate(self) -> electorates.Electorate:
        """Return who decides, by the newest entry."""


class VoterPlanner:
    """Find the next change of voters, as the leader sees the others."""

    def __init__(self, leader_state: LeaderState, since_ms: int):
        self._leader_state = leader_state
        self._since_ms = since_ms

    def next_change(
        self, follower_states: Followers
    ) -> entries.SetVoters | None:
        """Return the next change of voters, None where all is well.

        The last one must be committed.
        """
        electorate = self._leader_state.electorate
        if electorate.before:
            return entries.SetVoters(electorate.voters, 'the change is over')
        voters = electorate.voters
        return (
            self._replace_disk(voters, follower_states)
            or self._add_voter(voters, follower_states)
            or self._remove_voter(voters, follower_states)
            or self._replace_silent_voter(voters, follower_states)
            or self._improve_spread(voters, follower_states)
        )

    @property
    def _limit(self) -> int | None:
        return self._leader_state.settings.voters_limit

    def _is_eligible(self, follower: followers.Follower) -> bool:
        """Tell whether a host holds all that is committed, and is there."""
        if follower.incarnation is None or follower.acked_ms is None:
            return False
        if follower.match_index < self._leader_state.commit_index:
            return False
        age_ms = self._leader_state.clock.mono_ms() - follower.acked_ms
        return age_ms <= self._leader_state.settings.election_timeout_ms

    def _replace_disk(
        self, voters: electorates.Voters, follower_states: Followers
    ) -> entries.SetVoters | None:
        """Let a host's new disk take the vote of the one that it lost."""
        for host, follower in follower_states.items():
            previous_disk = voters.get(host)
            if previous_disk is None or previous_disk == follower.incarnation:
                continue
            if not self._is_eligible(follower):
                continue
            new_disk = follower.incarnation
            return entries.SetVoters(
                {**voters, host: new_disk},
                f'{host} lost disk {previous_disk}, holds all on {new_disk}',
                voters,
            )
        return None

    def _eligible_learners(
        self, voters: electorates.Voters, follower_states: Followers
    ) -> dict[ids.HostId, ids.Incarnation]:
        """Return the hosts without a vote that could have one at once."""
        return {
            host: follower.incarnation
            for host, follower in follower_states.items()
            if host not in voters and self._is_eligible(follower)
        }

    def _add_voter(
        self, voters: electorates.Voters, follower_states: Followers
    ) -> entries.SetVoters | None:
        if self._limit is not None and len(voters) >= self._limit:
            return None
        learners = self._eligible_learners(voters, follower_states)
        host = self._best_spread_host(learners, voters, follower_states)
        if host is None:
            return None
        disk = learners[host]
        return entries.SetVoters(
            {**voters, host: disk}, f'{host} holds all on disk {disk}'
        )

    def _remove_voter(
        self, voters: electorates.Voters, follower_states: Followers
    ) -> entries.SetVoters | None:
        if self._limit is None or len(voters) <= self._limit:
            return None
        removed = self._longest_silent_voter(voters, follower_states)
        remaining = _without_host(voters, removed)
        return entries.SetVoters(remaining, f'{removed} is one too many')

    def _replace_silent_voter(
        self, voters: electorates.Voters, follower_states: Followers
    ) -> entries.SetVoters | None:
        """Let a host that stands by take the place of a silent one.

        Until it has, one more lost disk may end the group. That costs two
        entries, and a host that comes back after all stands by itself.
        """
        silent = self._longest_silent_voter(voters, follower_states)
        if silent is None or self._limit is None:
            return None
        silence_ms = self._silence_ms(silent, follower_states)
        if silence_ms <= self._leader_state.settings.replace_after_ms:
            return None
        learners = self._eligible_learners(voters, follower_states)
        remaining = _without_host(voters, silent)
        host = self._best_spread_host(learners, remaining, follower_states)
        if host is None:
            return None
        return entries.SetVoters(
            {**remaining, host: learners[host]},
            f'{silent} silent for {silence_ms} ms, {host} takes its place',
            voters,
        )

    def _improve_spread(
        self, voters: electorates.Voters, follower_states: Followers
    ) -> entries.SetVoters | None:
        """Spread the voters over more places, so that one may be lost.

        Two voters stand in one region after another one was lost, and its
        host takes a place again once it is back.
        """
        if not all(self._location(host, follower_states) for host in voters):
            # A voter that has not answered in this lead yet may be one of
            # those that spread them.
            return None
        spread = self._spread(voters, follower_states)
        learners = self._eligible_learners(voters, follower_states)
        for removed in sorted(voters.keys() - {self._leader_state.host}):
            remaining = _without_host(voters, removed)
            host = self._best_spread_host(learners, remaining, follower_states)
            if (
                host is None
                or self._spread([*remaining, host], follower_states) <= spread
            ):
                continue
            return entries.SetVoters(
                {**remaining, host: learners[host]},
                f'{host} stands elsewhere than {removed}',
                voters,
            )
        return None

    def _best_spread_host(
        self,
        learners: collections.abc.Iterable[ids.HostId],
        voters: collections.abc.Iterable[ids.HostId],
        follower_states: Followers,
    ) -> ids.HostId | None:
        """Return who spreads some voters most, None where nobody is."""
        return max(
            sorted(learners),
            key=lambda host: self._spread([*voters, host], follower_states),
            default=None,
        )

    def _spread(
        self,
        hosts: collections.abc.Iterable[ids.HostId],
        follower_states: Followers,
    ) -> tuple[int, int]:
        """Return in how many regions and data centres hosts stand.

        Those that did not say where count for none.
        """
        host_locations = {
            self._location(host, follower_states) for host in hosts
        } - {None}
        return len({one.region for one in host_locations}), len(host_locations)

    def _location(
        self, host: ids.HostId, follower_states: Followers
    ) -> locations.Location | None:
        if host == self._leader_state.host:
            return self._leader_state.location
        return (
            follower_states[host].location if host in follower_states else None
        )

    def _longest_silent_voter(
        self, voters: electorates.Voters, follower_states: Followers
    ) -> ids.HostId | None:
        others = [host for host in voters if host != self._leader_state.host]
        return max(
            others,
            key=lambda host: self._silence_ms(host, follower_states),
            default=None,
        )

    def _silence_ms(self, host: ids.HostId, follower_states: Followers) -> int:
        """Return for how long a voter has not followed, as far as known.

        One that has not in this lead may have been silent before: had each
        new leader to find that out anew, a lost one would keep its place a
        second longer.
        """
        now_ms = self._leader_state.clock.mono_ms()
        follower = follower_states.get(host)
        if follower is not None and follower.acked_ms is not None:
            return now_ms - follower.acked_ms
        silence_ms = self._leader_state.group.silence_ms(host)
        return max(silence_ms, now_ms - self._since_ms)


def _without_host(
    voters: electorates.Voters, excluded: ids.HostId
) -> electorates.Voters:
    return {host: disk for host, disk in voters.items() if host != excluded}
