"""Leader duties during one term: replication, commits and the lease."""

import contextlib
import typing

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import followers
from wrenspoke.coordination.agreement import voter_planner
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import control_group
from wrenspoke import ids
from wrenspoke.protocol import messages
from wrenspoke import runtime
from wrenspoke.state import electorates
from wrenspoke.state import entries
from wrenspoke.state import errors as state_errors
from wrenspoke.state import replicated
from wrenspoke.state import storage

if typing.TYPE_CHECKING:
    from wrenspoke import settings as limits

logger = structlog.get_logger(__name__)

MAX_BATCH_ENTRIES = 256
LEASE_FRACTION = 0.8


class LeaderNode(typing.Protocol):
    """The parts of the voter that the leadership uses."""

    host: ids.HostId
    group: control_group.ControlGroup
    storage: storage.Storage
    settings: 'limits.ControlSettings'
    clock: clocks.Clock
    commit_index: int

    @property
    def incarnation(self) -> ids.Incarnation:
        """Return the incarnation of this host's disk."""

    @property
    def electorate(self) -> electorates.Electorate:
        """Return the electorate of the newest entry, committed or not."""

    async def call(
        self, host: ids.HostId, message: messages.Message
    ) -> messages.Message | None:
        """Send a message and return the answer, None if there is none."""

    def commit(self, index: int) -> None:
        """Apply the entries up to ``index``."""

    def adopt_term(self, term: int) -> None:
        """Adopt a higher term, which ends this leadership."""

    async def propose(self, entry: entries.Entry) -> replicated.ApplyResult:
        """Append an entry and return the result once it is applied."""


class Leadership:
    """Runs the leader's tasks from its election until it steps down.

    ``since_ms`` is when the leader requested its votes.
    """

    def __init__(
        self,
        node: LeaderNode,
        term: int,
        vote_request_ms: int,
        tasks: runtime.Tasks,
    ):
        self._node = node
        self._tasks = tasks
        self._start_index = node.storage.last_index + 1
        self._followers: dict[ids.HostId, followers.Follower] = {}
        self._voter_planner = voter_planner.VoterPlanner(node, vote_request_ms)
        self._electing_voters = node.electorate
        self.term = term
        self.since_ms = vote_request_ms
        self.ended = False

    def start(self) -> None:
        """Start replication and the maintenance of voters."""
        self._sync_followers()
        self._tasks.start(self._maintain_voters())

    def _sync_followers(self) -> None:
        """Start replication to new control hosts, stop it to removed ones."""
        wanted = {
            *self._node.group.other_hosts(),
            *self._node.electorate.hosts,
        }
        wanted.discard(self._node.host)
        for host in sorted(wanted - self._followers.keys()):
            follower = followers.Follower(self._start_index)
            self._followers[host] = follower
            self._tasks.start(self._replicate_to(host, follower))
        for host in self._followers.keys() - wanted:
            del self._followers[host]

    def end(self) -> None:
        """Make all tasks of this leadership finish."""
        self.ended = True
        self.wake_replication()

    def wake_replication(self) -> None:
        """Make the replication tasks send new entries now."""
        for follower in self._followers.values():
            follower.has_new_entries.set()

    def quorum_acked_ms(self) -> int:
        """Return the newest send time that a majority has acknowledged."""
        now_ms = self._node.clock.mono_ms()

        def host_acked_ms(host: ids.HostId, disk: ids.Incarnation) -> int:
            if self._is_local_disk(host, disk):
                return now_ms
            follower = self._follower_on_disk(host, disk)
            if follower is not None and follower.acked_ms is not None:
                return follower.acked_ms
            return (
                self.since_ms
                if self._electing_voters.has_voter(host, disk)
                else 0
            )

        return self._node.electorate.majority_value(host_acked_ms)

    def _is_local_disk(self, host: ids.HostId, disk: ids.Incarnation) -> bool:
        group = self._node
        return host == group.host and disk == group.incarnation

    def _follower_on_disk(
        self, host: ids.HostId, disk: ids.Incarnation
    ) -> followers.Follower | None:
        """Return a host's progress, None if it has another disk."""
        follower = self._followers.get(host)
        if follower is None or follower.incarnation != disk:
            return None
        return follower

    @property
    def has_lease(self) -> bool:
        """Return whether no other host can be leader now.

        A majority that answered a message grants no vote to other hosts for
        an election timeout after the message was sent.
        """
        if self.ended:
            return False
        if self._node.commit_index < self._start_index:
            return False
        age_ms = self._node.clock.mono_ms() - self.quorum_acked_ms()
        return (
            age_ms < self._node.settings.election_timeout_ms * LEASE_FRACTION
        )

    async def _replicate_to(
        self, host: ids.HostId, follower: followers.Follower
    ) -> None:
        """Replicate the log to one control host until leadership ends."""
        while not self.ended and self._followers.get(host) is follower:
            follower.has_new_entries.clear()
            sent_ms = self._node.clock.mono_ms()
            answer = await self._node.call(host, self._next_message(follower))
            if self.ended:
                return
            next_index = follower.next_index
            if isinstance(answer, messages.AppendReply):
                self._handle_reply(host, follower, answer, sent_ms)
                # A follower that rejects the first entry too gets the next
                # message with the next beat.
                made_progress = follower.next_index != next_index
                if made_progress and (
                    follower.next_index <= self._node.storage.last_index
                ):
                    continue
            await self._wait_for_new_entries(follower, sent_ms)

    async def _wait_for_new_entries(
        self, follower: followers.Follower, sent_ms: int
    ) -> None:
        interval_ms = self._node.settings.beat_interval_ms
        left_ms = sent_ms + interval_ms - self._node.clock.mono_ms()
        try:
            async with clocks.timeout_ms(max(left_ms, 1)):
                await follower.has_new_entries.wait()
        except TimeoutError:
            return

    def _next_message(
        self, follower: followers.Follower
    ) -> messages.AppendEntries | messages.InstallSnapshot:
        previous = follower.next_index - 1
        previous_term = self._node.storage.term_at(previous)
        if previous_term is None:
            return messages.InstallSnapshot(
                self.term, self._node.storage.snapshot
            )
        return messages.AppendEntries(
            self.term,
            previous,
            previous_term,
            self._node.commit_index,
            self._node.storage.entries_from(
                follower.next_index, MAX_BATCH_ENTRIES
            ),
            follower.moment if self.has_lease else None,
        )

    def _handle_reply(
        self,
        host: ids.HostId,
        follower: followers.Follower,
        reply: messages.AppendReply,
        sent_ms: int,
    ) -> None:
        if reply.term > self.term:
            # If the disk is too full to persist the term, this host has
            # stepped down all the same.
            with contextlib.suppress(state_errors.DiskFullError):
                self._node.adopt_term(reply.term)
            return
        if reply.incarnation != follower.incarnation:
            follower.incarnation = reply.incarnation
            follower.match_index = 0
        follower.location = reply.location
        follower.acked_ms = sent_ms
        follower.moment = reply.moment
        if not reply.matched:
            lower = min(follower.next_index - 1, reply.last_index)
            follower.next_index = max(1, lower)
            return
        follower.match_index = reply.last_index
        follower.next_index = reply.last_index + 1
        self.advance_commit()

    def advance_commit(self) -> None:
        """Commit the entries that a majority has stored.

        As in Raft, an entry of an older term is committed only together with
        a later one of this term.
        """

        def held_index(host: ids.HostId, disk: ids.Incarnation) -> int:
            if self._is_local_disk(host, disk):
                return self._node.storage.last_index
            follower = self._follower_on_disk(host, disk)
            return 0 if follower is None else follower.match_index

        index = self._node.electorate.majority_value(held_index)
        if self._node.storage.term_at(index) != self.term:
            return
        if index > self._node.commit_index:
            self._node.commit(index)
            # Followers apply entries once they receive the commit index.
            self.wake_replication()

    async def _maintain_voters(self) -> None:
        """Propose voter changes, one at a time."""
        while not self.ended:
            await self._node.clock.sleep_ms(
                self._node.settings.beat_interval_ms
            )
            self._sync_followers()
            if not self.has_lease:
                continue
            change = self._voter_planner.next_change(self._followers)
            if change is None:
                continue
            logger.warning(
                'voters_change',
                voters=sorted(change.voters),
                before=sorted(change.before),
                reason=change.reason,
            )
            try:
                await self._node.propose(change)
            except errors.NotLeaderError:
                return
