"""A control host's part in agreement: elections and the replicated log.

The rules are Raft's (Ongaro and Ousterhout, 2014), with pre-votes, a
leader's lease in time since the boot and changes of one voter at a time.
What differs is how a lost disk comes back. Every disk has an incarnation; a
vote counts under the incarnation that was admitted. A new disk learns
without a vote, and the leader admits it by two committed changes (the old
incarnation out, the new one in) once it has caught up and synced. A disk
put back from an old copy is told so by the others, who remember how often
it was started, and becomes a new incarnation.

A disk without room takes this host's vote and lead away, as nothing can be
promised; all else goes on, and it catches up once there is room.
"""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import enum
import functools
import random
import typing

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import leadership
from wrenspoke.coordination.agreement import rollback_check
from wrenspoke.coordination.agreement import vote_tally
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import replica
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import electorates
from wrenspoke.state import entries
from wrenspoke.state import errors as state_errors
from wrenspoke.state import locations
from wrenspoke.state import replicated
from wrenspoke.state import storage

if typing.TYPE_CHECKING:
    # Their checks need a library that control hosts can do without.
    from wrenspoke import settings

logger = structlog.get_logger(__name__)


# A snapshot then takes its place; whole tables of routes are large.
LOG_LIMIT_BYTES = 4 * 1024 * 1024


class Role(enum.Enum):
    """Say what a control host does in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


def _refuse_if_disk_full(
    answer: collections.abc.Callable,
) -> collections.abc.Callable:
    """Decorate what answers a message and has to write something first.

    Without room on the disk the sender is refused, which it takes for no
    answer; the disk itself has told of it in the log.
    """

    @functools.wraps(answer)
    async def answer_or_refuse(
        voter: Voter, sender: ids.HostId, message: messages.Message
    ) -> messages.Message:
        try:
            return await answer(voter, sender, message)
        except state_errors.DiskFullError as error:
            return messages.Refusal(str(error))

    return answer_or_refuse


class Voter:
    """Agree with the other control hosts on a log, and apply it."""

    def __init__(
        self,
        host: ids.HostId,
        location: locations.Location,
        group: control_group.ControlGroup,
        control_settings: settings.ControlSettings,
        store: storage.Storage,
        peers: peer_calls.Peers,
        config_replica: replica.Replica,
        clock: clocks.Clock,
    ):
        self.host = host
        self.location = location
        self.group = group
        self.settings = control_settings
        self.storage = store
        self._peers = peers
        self._replica = config_replica
        self.clock = clock
        self._tasks = runtime.Tasks()
        self._leadership_tasks = runtime.Tasks()
        self._leadership: leadership.Leadership | None = None
        self._pending_proposals: dict[int, tuple[int, asyncio.Future]] = {}
        self._leader_contact_ms = clock.mono_ms()
        self._election_attempt_ms = self._leader_contact_ms
        self._pre_vote_running = False
        self._pre_vote_yielded = False
        self._instance_id = ids.new_unique()
        # For which moment a leader's word says that nothing newer was
        # accepted than what is committed here.
        self._confirmed_ms: int | None = None
        self._rollback_check = rollback_check.RollbackCheck(
            store, group, peers, control_settings, clock
        )
        self.role = Role.FOLLOWER
        self.leader: ids.HostId | None = None
        self.commit_index = store.snapshot.index
        self.state = replicated.ReplicatedState()
        self._load_snapshot()
        self.commit(store.read_committed())
        peers.answers(messages.AskVote)(self._handle_vote_request)
        peers.answers(messages.Append)(self._handle_append)
        peers.answers(messages.Install)(self._handle_install)
        peers.answers(attending.ConfirmIndex)(self._handle_confirm_index)

    # State that is on the disk.

    @property
    def term(self) -> int:
        """Return the highest term that this host knows."""
        return self.storage.meta.term

    @property
    def incarnation(self) -> ids.Incarnation:
        """Return the name of this host's disk."""
        return self.storage.meta.incarnation

    @property
    def electorate(self) -> electorates.Electorate:
        """Return who decides, by the newest entry."""
        return self.storage.electorate()

    @property
    def committed_electorate(self) -> electorates.Electorate:
        """Return who decides by what is committed, as far as known."""
        return self.storage.electorate_at(self.commit_index)

    @property
    def is_voter(self) -> bool:
        """Tell whether this host, on this disk, has a vote."""
        return self.electorate.has_voter(self.host, self.incarnation)

    @property
    def _may_lead(self) -> bool:
        """Tell whether this host has a vote, or may have it still.

        One that lost it by a change that is not committed may hold the
        longest log, so that nobody wins against it. Then it has the change
        committed, by the votes of others, and steps down.
        """
        before = self.committed_electorate
        return self.is_voter or before.has_voter(self.host, self.incarnation)

    def _load_snapshot(self) -> None:
        snapshot = self.storage.snapshot
        if snapshot.index:
            self.state = msgspec.msgpack.decode(
                snapshot.state, type=replicated.ReplicatedState
            )
            self._replica.apply_delta(
                messages.ConfigurationDelta(
                    index=self.state.configuration.index,
                    whole=self.state.configuration,
                )
            )

    def adopt_term(self, term: int) -> None:
        """Take note of a higher term, which ends a lead of this host."""
        if term <= self.term:
            return
        self._step_down()
        self.storage.meta.term = term
        self.storage.meta.voted_for = None
        self.storage.save_meta()

    # Start.

    def start(self) -> None:
        """Take part, once the others know of this start."""
        self._leader_contact_ms = self.clock.mono_ms()
        self._tasks.start(
            self._rollback_check.wait_until_passed(self._reset_state)
        )
        self._tasks.start(self._run_election_timer())

    async def close(self) -> None:
        """End every task."""
        self._step_down()
        await self._leadership_tasks.close()
        await self._tasks.close()

    def _reset_state(self) -> None:
        """Hold nothing any more, as the disk was an old copy."""
        self.state = replicated.ReplicatedState()
        self.commit_index = 0

    # Elections.

    def _random_election_timeout_ms(self) -> float:
        least_ms = self.settings.election_timeout_ms
        return random.uniform(least_ms, 2 * least_ms)

    def _has_leader_contact(self) -> bool:
        silence_ms = self.clock.mono_ms() - self._leader_contact_ms
        return silence_ms < self.settings.election_timeout_ms

    @property
    def has_leader(self) -> bool:
        """Tell whether this host leads, or heard from who does of late."""
        if self.role is Role.LEADER:
            return self.has_lease
        return self.leader is not None and self._has_leader_contact()

    async def _run_election_timer(self) -> None:
        """Stand for election when the leader falls silent."""
        patience_ms = self._random_election_timeout_ms()
        while True:
            await self.clock.sleep_ms(self.settings.beat_interval_ms / 2)
            self.storage.check()
            if self.role is Role.LEADER:
                self._check_quorum()
                continue
            waited_ms = self.clock.mono_ms() - max(
                self._leader_contact_ms, self._election_attempt_ms
            )
            if waited_ms < patience_ms:
                continue
            patience_ms = self._random_election_timeout_ms()
            # Not as if a leader was heard: two hosts that canvass in turn
            # would refuse each other their votes.
            self._election_attempt_ms = self.clock.mono_ms()
            if not self._rollback_check.passed or not self._may_lead:
                continue
            before = (self.term, self._leader_contact_ms)
            # Without room on the disk there is nothing to stand with.
            with contextlib.suppress(state_errors.DiskFullError):
                if not await self._run_pre_vote():
                    continue
                if (self.term, self._leader_contact_ms) != before:
                    # Another stood meanwhile and has this host's vote, or
                    # leads already; a higher term would only end its lead.
                    continue
                await self._run_election()

    async def _run_pre_vote(self) -> bool:
        """Return whether this host would win and should stand."""
        self._pre_vote_running, self._pre_vote_yielded = True, False
        try:
            won = await self._request_votes(pre=True)
        finally:
            self._pre_vote_running = False
        if won and self._pre_vote_yielded:
            logger.info('canvass_yielded', term=self.term + 1)
        return won and not self._pre_vote_yielded

    def _yield_pre_vote_to(self, sender: ids.HostId) -> None:
        """Let one of two go on that ask beforehand at the same time.

        Both would stand, vote for themselves and wait another time-out.
        The names decide, as both know them.
        """
        if self._pre_vote_running and sender < self.host:
            self._pre_vote_yielded = True

    async def _run_election(self) -> None:
        meta = self.storage.meta
        meta.term += 1
        meta.voted_for = self.host
        self.storage.save_meta()
        self.role = Role.CANDIDATE
        self.leader = None
        term = meta.term
        logger.info('election', term=term)
        asked_ms = self.clock.mono_ms()
        won = await self._request_votes(pre=False)
        if won and self.role is Role.CANDIDATE and self.term == term:
            self._become_leader(asked_ms)

    async def _request_votes(self, pre: bool) -> bool:
        """Ask for votes and return whether a majority gave them."""
        term = self.term + 1 if pre else self.term
        message = messages.AskVote(
            term,
            self.incarnation,
            self.storage.last_index,
            self.storage.last_term,
            pre,
        )
        votes = vote_tally.VoteTally(
            self.host, self.incarnation, self.electorate
        )
        tasks = [
            asyncio.get_running_loop().create_task(
                self._request_vote(host, message)
            )
            for host in votes.other_voters
        ]
        try:
            for earliest in asyncio.as_completed(tasks):
                host, answer = await earliest
                if answer is None:
                    continue
                if answer.term > term:
                    logger.info(
                        'newer_term', term=term, found=answer.term, peer=host
                    )
                    self.adopt_term(answer.term)
                    return False
                votes.record_reply(host, answer)
                if votes.won:
                    break
        finally:
            await runtime.cancel(tasks)
        if not votes.won:
            votes.log_lost(
                message, self.clock.mono_ms() - self._leader_contact_ms
            )
        return votes.won

    async def _request_vote(
        self, host: ids.HostId, message: messages.AskVote
    ) -> tuple[ids.HostId, messages.VoteReply | None]:
        answer = await self.call(host, message)
        if isinstance(answer, messages.VoteReply):
            return host, answer
        return host, None

    async def call(
        self, host: ids.HostId, message: messages.Message
    ) -> messages.Message | None:
        """Send a message and return the answer, None without one."""
        try:
            answer = await self._peers.call(
                host, message, self.settings.election_timeout_ms / 2
            )
        except protocol_errors.ProtocolError:
            return None
        self.group.record_contact(host)
        return answer

    @_refuse_if_disk_full
    async def _handle_vote_request(
        self, sender: ids.HostId, message: messages.AskVote
    ) -> messages.VoteReply:
        refused = self._vote_refusal(message)
        if refused is None and message.pre:
            self._yield_pre_vote_to(sender)
        elif refused is None:
            refused = self._grant_vote(sender, message.term)
        return messages.VoteReply(
            self.term, refused is None, self.incarnation, refused
        )

    def _grant_vote(
        self, sender: ids.HostId, term: int
    ) -> messages.VoteRefusal | None:
        """Note a vote on the disk; return why none can be given."""
        self.adopt_term(term)
        meta = self.storage.meta
        if meta.voted_for not in (None, sender):
            return messages.VoteRefusal.VOTED
        meta.voted_for = sender
        self.storage.save_meta()
        self._leader_contact_ms = self.clock.mono_ms()
        return None

    def _vote_refusal(
        self, message: messages.AskVote
    ) -> messages.VoteRefusal | None:
        """Return what speaks against a vote, None where nothing does.

        Whether this host has a vote is for the candidate to know, whose
        log may be newer: one that was just admitted may not have heard of
        it, and its vote may be the one that is needed to tell it. Where it
        was not asked for by its own log, a group of three that had lost
        one and was cut in that moment could never lead again. A disk that
        holds no voters at all was never admitted as it is, and may have
        forgotten that it was.
        """
        if not self._rollback_check.passed:
            return messages.VoteRefusal.NOT_CLEARED
        if not self.electorate.voters:
            return messages.VoteRefusal.NO_VOTE
        if message.term < self.term:
            return messages.VoteRefusal.OLD_TERM
        if self._has_leader_contact():
            return messages.VoteRefusal.LEADER_HEARD
        if self.has_lease:
            return messages.VoteRefusal.LEADS
        if message.pre and message.term <= self.term:
            return messages.VoteRefusal.OLD_TERM
        theirs = (message.last_term, message.last_index)
        ours = (self.storage.last_term, self.storage.last_index)
        if theirs < ours:
            return messages.VoteRefusal.LOG_BEHIND
        return None

    async def confirmed_index(self) -> int | None:
        """Return up to which index everything accepted so far is.

        A leader knows by its lease, others ask it; None where neither
        can be sure.
        """
        if self.has_lease:
            return self.commit_index
        if self.leader is None or self.leader == self.host:
            self._log_unconfirmed_index('no leader')
            return None
        answer = await self.call(self.leader, attending.ConfirmIndex())
        if not isinstance(answer, attending.IndexConfirmed):
            self._log_unconfirmed_index('leader gave no answer')
            return None
        if answer.index is None:
            self._log_unconfirmed_index('leader has no lease')
        return answer.index

    def _log_unconfirmed_index(self, reason: str) -> None:
        """Log why it is not known whether something newer was accepted."""
        logger.warning(
            'index_unconfirmed',
            reason=reason,
            leader=self.leader,
            role=self.role,
            term=self.term,
            commit_index=self.commit_index,
            last_index=self.storage.last_index,
            has_vote=self.is_voter,
            silence_ms=self.clock.mono_ms() - self._leader_contact_ms,
        )

    async def _handle_confirm_index(
        self, _sender: ids.HostId, _message: attending.ConfirmIndex
    ) -> attending.IndexConfirmed:
        return attending.IndexConfirmed(
            self.commit_index if self.has_lease else None
        )

    # Leading.

    def _become_leader(self, asked_ms: int) -> None:
        self.role = Role.LEADER
        self.leader = self.host
        logger.info('leading', term=self.term)
        self._leadership = leadership.Leadership(
            self, self.term, asked_ms, self._leadership_tasks
        )
        try:
            self._append_entry(entries.LeaderStart(self.host))
        except state_errors.DiskFullError:
            self._step_down()
            raise
        self._leadership.start()

    def _step_down(self) -> None:
        self.role = Role.FOLLOWER
        if self._leadership is None:
            return
        logger.warning('stepped_down', term=self._leadership.term)
        self._leadership.end()
        self._leadership = None
        self.leader = None
        for _term, future in self._pending_proposals.values():
            if not future.done():
                future.set_exception(
                    errors.NotLeaderError(None, may_be_accepted=True)
                )
        self._pending_proposals.clear()

    @property
    def has_lease(self) -> bool:
        """Tell whether no other host can be leader now."""
        return self._leadership is not None and self._leadership.has_lease

    @property
    def leader_since_ms(self) -> int:
        """Return when the votes for this lead were asked for."""
        return 0 if self._leadership is None else self._leadership.since_ms

    def _check_quorum(self) -> None:
        """Step down without a majority for long, or without a vote."""
        silence_ms = self.clock.mono_ms() - self._leadership.quorum_acked_ms()
        silent = silence_ms > 2 * self.settings.election_timeout_ms
        if silent or not self._may_lead:
            self._step_down()

    async def propose(self, entry: entries.Entry) -> replicated.ApplyResult:
        """Write an entry and return what applying it did.

        :raises NotLeaderError: this host does not lead, or lost the lead
            before the entry was accepted
        """
        if self.role is not Role.LEADER:
            raise errors.NotLeaderError(self.leader, may_be_accepted=False)
        future = asyncio.get_running_loop().create_future()
        index = self.storage.last_index + 1
        self._pending_proposals[index] = (self.term, future)
        try:
            self._append_entry(entry)
        except state_errors.DiskFullError as error:
            del self._pending_proposals[index]
            self._step_down()
            raise errors.NotLeaderError(None, may_be_accepted=False) from error
        return await future

    def _append_entry(self, entry: entries.Entry) -> None:
        index = self.storage.last_index + 1
        self.storage.append(
            [entries.LogEntry(index, self.term, entry, self.commit_index)]
        )
        self._leadership.wake_replication()
        self._leadership.advance_commit()

    # Following.

    def _accept_leader(self, leader: ids.HostId, term: int) -> bool:
        """Take a leader's word; False if its term is over."""
        self.group.record_contact(leader)
        if term < self.term:
            return False
        self.adopt_term(term)
        if self.role is Role.CANDIDATE:
            self.role = Role.FOLLOWER
        if self.leader != leader:
            self.leader = leader
            logger.info('following', leader=leader, term=term)
        self._leader_contact_ms = self.clock.mono_ms()
        return True

    def _append_reply(
        self, matched: bool, last_index: int
    ) -> messages.AppendReply:
        return messages.AppendReply(
            self.term,
            matched,
            last_index,
            self.incarnation,
            self.location,
            messages.Moment(self._instance_id, self.clock.mono_ms()),
        )

    @_refuse_if_disk_full
    async def _handle_append(
        self, sender: ids.HostId, message: messages.Append
    ) -> messages.AppendReply:
        if not self._accept_leader(sender, message.term):
            return self._append_reply(False, self.storage.last_index)
        kept = self.storage
        previous = message.previous_index
        if previous > kept.last_index:
            return self._append_reply(False, kept.last_index + 1)
        if previous >= kept.snapshot.index:
            if kept.term_at(previous) != message.previous_term:
                return self._append_reply(False, previous)
        last = self._store_entries(message.added)
        matched = max(previous + len(message.added), last)
        self.commit(min(message.commit, matched))
        self._update_confirmed_ms(message)
        return self._append_reply(True, matched)

    def _update_confirmed_ms(self, message: messages.Append) -> None:
        """Note for which moment all is known here that was accepted."""
        moment = message.confirmed
        if moment is None or moment.life != self._instance_id:
            return
        if self.commit_index >= message.commit:
            self._confirmed_ms = max(self._confirmed_ms or 0, moment.at_ms)

    @property
    def confirmed_age_ms(self) -> int | None:
        """Return how old the newest word is that nothing newer was accepted.

        None without one. It rides on the leader's heartbeats, which give
        back the moment of the last answer.
        """
        if self.has_lease:
            return 0
        if self._confirmed_ms is None:
            return None
        return self.clock.mono_ms() - self._confirmed_ms

    def _store_entries(self, added: list[entries.LogEntry]) -> int:
        """Write what is new; drop what contradicts it."""
        kept = self.storage
        for place, entry in enumerate(added):
            if entry.index <= kept.snapshot.index:
                continue
            held = kept.term_at(entry.index)
            if held == entry.term:
                continue
            if held is not None:
                kept.truncate_from(entry.index)
            kept.append(added[place:])
            break
        return added[-1].index if added else 0

    @_refuse_if_disk_full
    async def _handle_install(
        self, sender: ids.HostId, message: messages.Install
    ) -> messages.AppendReply:
        if not self._accept_leader(sender, message.term):
            return self._append_reply(False, self.storage.last_index)
        if message.snapshot.index > self.commit_index:
            self.storage.save_snapshot(message.snapshot)
            self.commit_index = message.snapshot.index
            self._load_snapshot()
            logger.info('snapshot_installed', index=self.commit_index)
        return self._append_reply(True, message.snapshot.index)

    # Applying.

    def commit(self, index: int) -> None:
        """Apply what is committed, up to ``index``."""
        advanced = False
        while self.commit_index < index:
            entry = self.storage.entry(self.commit_index + 1)
            if entry is None:
                break
            self._apply_entry(entry)
            self.commit_index = entry.index
            advanced = True
        if advanced:
            self.storage.save_committed(self.commit_index)
        self._compact_log()

    def _apply_entry(self, entry: entries.LogEntry) -> None:
        applied = self.state.apply(entry.index, entry.entry)
        if applied.change is not None:
            self._replica.apply_delta(
                messages.ConfigurationDelta(
                    index=entry.index, changes=[(entry.index, applied.change)]
                )
            )
        term, future = self._pending_proposals.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(applied)
        else:
            future.set_exception(
                errors.NotLeaderError(self.leader, may_be_accepted=False)
            )

    def _compact_log(self) -> None:
        kept = self.storage
        covered = self.commit_index - kept.snapshot.index
        large = covered and kept.log_bytes > LOG_LIMIT_BYTES
        if covered < self.settings.snapshot_entries and not large:
            return
        # Where there is no room the log stays, and the next commit tries.
        with contextlib.suppress(state_errors.DiskFullError):
            self._write_snapshot()

    def _write_snapshot(self) -> None:
        kept = self.storage
        deciding = kept.electorate_at(self.commit_index)
        kept.save_snapshot(
            storage.Snapshot(
                self.commit_index,
                kept.term_at(self.commit_index),
                deciding.voters,
                msgspec.msgpack.encode(self.state),
                deciding.before,
            )
        )
        logger.info('snapshot_written', index=self.commit_index)
