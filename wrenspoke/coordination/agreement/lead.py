"""One term's lead: replication, commits, the lease, admissions."""

import asyncio
import contextlib
import typing

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import controls
from wrenspoke import ids
from wrenspoke.protocol import messages
from wrenspoke import runtime
from wrenspoke.state import entries
from wrenspoke.state import errors as state_errors
from wrenspoke.state import replicated
from wrenspoke.state import storage

if typing.TYPE_CHECKING:
    from wrenspoke import settings as limits

logger = structlog.get_logger(__name__)

BATCH_ENTRIES = 256
LEASE_SHARE = 0.8


class Group(typing.Protocol):
    """Be what a lead needs of the voter that holds it."""

    host: ids.HostId
    group: controls.ControlGroup
    storage: storage.Storage
    settings: 'limits.ControlSettings'
    clock: clocks.Clock
    commit_index: int

    @property
    def voters(self) -> dict[ids.HostId, ids.Incarnation]:
        """Return the newest set of voters."""

    async def call(
        self, host: ids.HostId, message: messages.Message
    ) -> messages.Message | None:
        """Send a message and return the answer, None without one."""

    def commit(self, index: int) -> None:
        """Apply what is committed."""

    def adopt_term(self, term: int) -> None:
        """Take note of a higher term, which ends the lead."""

    async def propose(self, entry: entries.Entry) -> replicated.Applied:
        """Write an entry and wait until it is applied."""


class Follower:
    """Hold what a leader knows of another control host."""

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.incarnation: ids.Incarnation | None = None
        self.acked_ms: int | None = None
        self.more = asyncio.Event()


class Lead:
    """Hold what a leader does from its election to its end."""

    def __init__(
        self,
        group: Group,
        term: int,
        asked_ms: int,
        tasks: runtime.Tasks,
    ):
        self._group = group
        self._tasks = tasks
        self._start_index = group.storage.last_index + 1
        self._followers: dict[ids.HostId, Follower] = {}
        self.term = term
        self.since_ms = asked_ms
        self.over = False

    def start(self) -> None:
        """Begin to replicate and to admit."""
        self._follow_group()
        self._tasks.start(self._admit())

    def _follow_group(self) -> None:
        """Replicate to control hosts that are new, not to those gone."""
        wanted = {*self._group.group.others(), *self._group.voters}
        wanted.discard(self._group.host)
        for host in wanted - self._followers.keys():
            follower = Follower(self._start_index)
            self._followers[host] = follower
            self._tasks.start(self._replicate(host, follower))
        for host in self._followers.keys() - wanted:
            del self._followers[host]

    def end(self) -> None:
        """Let every task of this lead end."""
        self.over = True
        self.wake()

    def wake(self) -> None:
        """Let the followers be sent what is new."""
        for follower in self._followers.values():
            follower.more.set()

    def quorum_acked_ms(self) -> int:
        """Return since when a majority is known to follow this leader."""
        now_ms = self._group.clock.mono_ms()
        voters = self._group.voters
        acked = []
        for host, incarnation in voters.items():
            if host == self._group.host:
                acked.append(now_ms)
                continue
            follower = self._followers.get(host)
            known = (
                follower is not None
                and follower.acked_ms is not None
                and follower.incarnation == incarnation
            )
            acked.append(follower.acked_ms if known else self.since_ms)
        acked.sort(reverse=True)
        return acked[majority(voters) - 1]

    @property
    def has_lease(self) -> bool:
        """Tell whether no other host can be leader now.

        A majority that answered a message sent at some time gives no
        vote to others for an election timeout from then.
        """
        if self.over:
            return False
        if self._group.commit_index < self._start_index:
            return False
        age_ms = self._group.clock.mono_ms() - self.quorum_acked_ms()
        return age_ms < self._group.settings.election_timeout_ms * LEASE_SHARE

    async def _replicate(self, host: ids.HostId, follower: Follower) -> None:
        """Keep one other control host's log equal to ours."""
        while not self.over and self._followers.get(host) is follower:
            follower.more.clear()
            sent_ms = self._group.clock.mono_ms()
            answer = await self._group.call(host, self._message_for(follower))
            if self.over:
                return
            if isinstance(answer, messages.AppendReply):
                self._note_answer(host, follower, answer, sent_ms)
                if follower.next_index <= self._group.storage.last_index:
                    continue
            await self._wait_for_more(follower, sent_ms)

    async def _wait_for_more(self, follower: Follower, sent_ms: int) -> None:
        interval_ms = self._group.settings.beat_interval_ms
        left_ms = sent_ms + interval_ms - self._group.clock.mono_ms()
        try:
            async with clocks.timeout_ms(max(left_ms, 1)):
                await follower.more.wait()
        except TimeoutError:
            return

    def _message_for(
        self, follower: Follower
    ) -> messages.Append | messages.Install:
        previous = follower.next_index - 1
        previous_term = self._group.storage.term_at(previous)
        if previous_term is None:
            return messages.Install(self.term, self._group.storage.snapshot)
        return messages.Append(
            self.term,
            previous,
            previous_term,
            self._group.commit_index,
            self._group.storage.entries_from(
                follower.next_index, BATCH_ENTRIES
            ),
        )

    def _note_answer(
        self,
        host: ids.HostId,
        follower: Follower,
        answer: messages.AppendReply,
        sent_ms: int,
    ) -> None:
        if answer.term > self.term:
            # Without room for the term on the disk the lead is over too.
            with contextlib.suppress(state_errors.DiskFullError):
                self._group.adopt_term(answer.term)
            return
        if answer.incarnation != follower.incarnation:
            follower.incarnation = answer.incarnation
            follower.match_index = 0
        follower.acked_ms = sent_ms
        if not answer.matched:
            lower = min(follower.next_index - 1, answer.last_index)
            follower.next_index = max(1, lower)
            return
        follower.match_index = answer.last_index
        follower.next_index = answer.last_index + 1
        self.advance_commit()

    def advance_commit(self) -> None:
        voters = self._group.voters
        matches = []
        for host, incarnation in voters.items():
            if host == self._group.host:
                matches.append(self._group.storage.last_index)
                continue
            follower = self._followers.get(host)
            known = (
                follower is not None and follower.incarnation == incarnation
            )
            matches.append(follower.match_index if known else 0)
        matches.sort(reverse=True)
        index = matches[majority(voters) - 1]
        if self._group.storage.term_at(index) != self.term:
            return
        if index > self._group.commit_index:
            self._group.commit(index)
            # The followers apply it when they are told.
            self.wake()

    async def _admit(self) -> None:
        """Admit disks that have caught up, one change at a time."""
        while not self.over:
            await self._group.clock.sleep_ms(
                self._group.settings.beat_interval_ms
            )
            self._follow_group()
            if not self.has_lease:
                continue
            change = self._next_admission()
            if change is None:
                continue
            logger.warning(
                'voters_change',
                voters=sorted(change.voters),
                reason=change.reason,
            )
            try:
                await self._group.propose(change)
            except errors.NotLeaderError:
                return

    def _next_admission(self) -> entries.SetVoters | None:
        """Return the next change of voters, None where all is well.

        A host whose disk is new loses its old vote first. Others get a
        vote while there are too few, or in the place of one that has
        been silent for long: added first, so that the group is never
        smaller than it was.
        """
        voters = self._group.voters
        for host, follower in self._followers.items():
            found = follower.incarnation
            if found is None or voters.get(host) == found:
                continue
            if follower.match_index < self._group.commit_index:
                continue
            if self._silent(follower):
                continue
            if host in voters:
                reason = f'{host} lost disk {voters[host]}'
                return entries.SetVoters(_without(voters, host), reason)
            if not self._has_room(voters):
                continue
            return entries.SetVoters(
                {**voters, host: found}, f'{host} caught up on disk {found}'
            )
        return self._next_removal(voters)

    def _has_room(self, voters: dict[ids.HostId, ids.Incarnation]) -> bool:
        limit = self._group.settings.voters_limit
        if limit is None or len(voters) < limit:
            return True
        return len(voters) == limit and self._lost(voters) is not None

    def _next_removal(
        self, voters: dict[ids.HostId, ids.Incarnation]
    ) -> entries.SetVoters | None:
        limit = self._group.settings.voters_limit
        if limit is None or len(voters) <= limit:
            return None
        host = self._lost(voters)
        if host is None:
            host = self._longest_silent(voters)
        return entries.SetVoters(_without(voters, host), f'{host} replaced')

    def _lost(
        self, voters: dict[ids.HostId, ids.Incarnation]
    ) -> ids.HostId | None:
        """Return a voter that has been silent for long, if one has."""
        host = self._longest_silent(voters)
        if host is None:
            return None
        silence_ms = self._group.clock.mono_ms() - self._acked_ms(host)
        if silence_ms > self._group.settings.replace_after_ms:
            return host
        return None

    def _longest_silent(
        self, voters: dict[ids.HostId, ids.Incarnation]
    ) -> ids.HostId | None:
        others = [host for host in voters if host != self._group.host]
        return min(others, key=self._acked_ms, default=None)

    def _acked_ms(self, host: ids.HostId) -> int:
        follower = self._followers.get(host)
        if follower is None or follower.acked_ms is None:
            return self.since_ms
        return follower.acked_ms

    def _silent(self, follower: Follower) -> bool:
        age_ms = self._group.clock.mono_ms() - (follower.acked_ms or 0)
        return age_ms > self._group.settings.election_timeout_ms


def majority(voters: typing.Sized) -> int:
    """Return how many of some voters are a majority."""
    return len(voters) // 2 + 1


def _without(
    voters: dict[ids.HostId, ids.Incarnation], left_out: ids.HostId
) -> dict[ids.HostId, ids.Incarnation]:
    return {host: found for host, found in voters.items() if host != left_out}
