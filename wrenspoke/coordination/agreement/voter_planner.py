"""Planning of voter changes by the leader.

Keeps as many voters as the settings allow, on responsive hosts that have
caught up, spread over as many regions and data centres as possible.
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
    """State of the leader's own host that the planner reads."""

    host: ids.HostId
    location: locations.Location
    group: control_group.ControlGroup
    settings: 'limits.ControlSettings'
    clock: clocks.Clock
    commit_index: int

    @property
    def electorate(self) -> electorates.Electorate:
        """Return the electorate of the newest entry, committed or not."""


class VoterPlanner:
    """Plans the next voter change from the followers' progress.

    ``since_ms`` is when the leader requested its votes.
    """

    def __init__(self, leader_state: LeaderState, since_ms: int):
        self._leader_state = leader_state
        self._since_ms = since_ms

    def next_change(
        self, follower_states: Followers
    ) -> entries.SetVoters | None:
        """Return the next voter change, None if none is needed.

        The previous change must be committed.
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
        """Return whether a host has caught up and is responsive."""
        if follower.incarnation is None or follower.acked_ms is None:
            return False
        if follower.match_index < self._leader_state.commit_index:
            return False
        age_ms = self._leader_state.clock.mono_ms() - follower.acked_ms
        return age_ms <= self._leader_state.settings.election_timeout_ms

    def _replace_disk(
        self, voters: electorates.Voters, follower_states: Followers
    ) -> entries.SetVoters | None:
        """Move a voter's vote from its lost disk to its new one."""
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
        """Return the hosts without a vote that are ready to be admitted."""
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
        """Replace a voter that has not answered for ``replace_after_ms``.

        Until then the loss of one more disk may cost the group its majority.
        If the replaced host returns, it becomes a learner.
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
        """Replace a voter so that the voters span more locations.

        After the loss of a region, two voters share another region; this
        moves a vote back once a host of the lost region has returned.
        """
        if not all(self._location(host, follower_states) for host in voters):
            # The location of a voter is unknown until it has answered this
            # leader.
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
        """Return the learner that spreads voters best, None without any."""
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
        """Return the number of distinct regions and locations of hosts.

        Hosts with an unknown location are not counted.
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
        """Return how long a voter has not answered, at least.

        If it has not answered this leader, the control group's record is used
        as well, so that each new leader does not wait anew before it replaces
        a lost voter.
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
