"""A member of the control group: elections and the replicated log.

Implements Raft (Ongaro and Ousterhout, 2014) with pre-votes, a leader lease
on the clock since boot, and changes of one voter at a time. It differs in
the recovery of lost disks: every disk has an incarnation, and a vote counts
only under the incarnation that was admitted. A new disk starts as a learner;
the leader admits it by two committed changes (the old incarnation out, the
new one in) once it has caught up and synced. A disk restored from an old
copy is detected by its peers, which store its start count, and becomes a new
incarnation.

Without free disk space this host neither votes nor leads, because it cannot
persist votes or entries. It keeps serving everything else, and catches up
once there is space.
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
from wrenspoke.protocol import discovery_messages
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
    # The validation of settings needs a library that control hosts lack.
    from wrenspoke import settings

logger = structlog.get_logger(__name__)


# Log size that triggers a snapshot, whatever the number of entries: an entry
# may hold a complete route table.
LOG_LIMIT_BYTES = 4 * 1024 * 1024


class Role(enum.Enum):
    """Raft role of a control host in its current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


def _refuse_if_disk_full(
    handler: collections.abc.Callable,
) -> collections.abc.Callable:
    """Decorate a message handler that writes to the disk.

    If the disk is full the sender gets a refusal, which it handles like a
    missing answer. The disk logs the error itself.
    """

    @functools.wraps(handler)
    async def handle_or_refuse(
        voter: Voter, sender: ids.HostId, message: messages.Message
    ) -> messages.Message:
        try:
            return await handler(voter, sender, message)
        except state_errors.DiskFullError as error:
            return messages.Refusal(str(error))

    return handle_or_refuse


class Voter:
    """Replicates the log with the other control hosts and applies it."""

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
        self._instance_id = ids.new_random_id()
        # Time on this host's clock up to which a leader has confirmed that
        # every accepted entry is committed here.
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
        peers.handles(messages.RequestVote)(self._handle_vote_request)
        peers.handles(messages.AppendEntries)(self._handle_append)
        peers.handles(messages.InstallSnapshot)(self._handle_install)
        peers.handles(discovery_messages.ConfirmIndex)(
            self._handle_confirm_index
        )

    # Persistent state.

    @property
    def term(self) -> int:
        """Return the highest term this host has seen."""
        return self.storage.meta.term

    @property
    def incarnation(self) -> ids.Incarnation:
        """Return the incarnation of this host's disk."""
        return self.storage.meta.incarnation

    @property
    def electorate(self) -> electorates.Electorate:
        """Return the electorate of the newest entry, committed or not."""
        return self.storage.electorate()

    @property
    def committed_electorate(self) -> electorates.Electorate:
        """Return the electorate as of this host's commit index."""
        return self.storage.electorate_at(self.commit_index)

    @property
    def is_voter(self) -> bool:
        """Return whether this host has a vote with its current disk."""
        return self.electorate.has_voter(self.host, self.incarnation)

    @property
    def _may_lead(self) -> bool:
        """Return whether this host may campaign.

        A voter removed by an uncommitted change may campaign too: if it has
        the longest log, no other host can win. Once elected it commits the
        change with the votes of the others, and steps down.
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
        """Adopt a higher term, stepping down if this host is leader.

        :raises DiskFullError: the term was not persisted
        """
        if term <= self.term:
            return
        self._step_down()
        self.storage.meta.term = term
        self.storage.meta.voted_for = None
        self.storage.save_meta()

    # Lifecycle.

    def start(self) -> None:
        """Start the rollback check and the election timer."""
        self._leader_contact_ms = self.clock.mono_ms()
        self._tasks.start(
            self._rollback_check.wait_until_passed(self._reset_state)
        )
        self._tasks.start(self._run_election_timer())

    async def close(self) -> None:
        """Step down and cancel all tasks."""
        self._step_down()
        await self._leadership_tasks.close()
        await self._tasks.close()

    def _reset_state(self) -> None:
        """Discard the applied state after a disk rollback."""
        self.state = replicated.ReplicatedState()
        self.commit_index = 0

    # Elections.

    def _random_election_timeout_ms(self) -> float:
        base_timeout_ms = self.settings.election_timeout_ms
        return random.uniform(base_timeout_ms, 2 * base_timeout_ms)

    def _has_leader_contact(self) -> bool:
        silence_ms = self.clock.mono_ms() - self._leader_contact_ms
        return silence_ms < self.settings.election_timeout_ms

    @property
    def has_leader(self) -> bool:
        """Return whether this host leads or has contact with the leader."""
        if self.role is Role.LEADER:
            return self.has_lease
        return self.leader is not None and self._has_leader_contact()

    async def _run_election_timer(self) -> None:
        """Run an election whenever the election timeout elapses."""
        current_timeout_ms = self._random_election_timeout_ms()
        while True:
            await self.clock.sleep_ms(self.settings.beat_interval_ms / 2)
            self.storage.check()
            if self.role is Role.LEADER:
                self._check_quorum()
                continue
            elapsed_ms = self.clock.mono_ms() - max(
                self._leader_contact_ms, self._election_attempt_ms
            )
            if elapsed_ms < current_timeout_ms:
                continue
            current_timeout_ms = self._random_election_timeout_ms()
            # Separate from the time of leader contact: recent contact makes
            # a host refuse votes, so two candidates would refuse each other.
            self._election_attempt_ms = self.clock.mono_ms()
            if not self._rollback_check.passed or not self._may_lead:
                continue
            before = (self.term, self._leader_contact_ms)
            # With a full disk this host cannot persist its own vote.
            with contextlib.suppress(state_errors.DiskFullError):
                if not await self._run_pre_vote():
                    continue
                if (self.term, self._leader_contact_ms) != before:
                    # Another candidate got this host's vote or was elected
                    # meanwhile; a higher term would only depose it.
                    continue
                await self._run_election()

    async def _run_pre_vote(self) -> bool:
        """Return whether this host would win an election and may run it."""
        self._pre_vote_running, self._pre_vote_yielded = True, False
        try:
            won = await self._request_votes(pre=True)
        finally:
            self._pre_vote_running = False
        if won and self._pre_vote_yielded:
            logger.info('pre_vote_yielded', term=self.term + 1)
        return won and not self._pre_vote_yielded

    def _yield_pre_vote_to(self, sender: ids.HostId) -> None:
        """Yield to a concurrent pre-vote of a host with a lower name.

        If both ran an election, each would vote for itself, and both would
        wait for another election timeout.
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
        vote_request_ms = self.clock.mono_ms()
        won = await self._request_votes(pre=False)
        if won and self.role is Role.CANDIDATE and self.term == term:
            self._become_leader(vote_request_ms)

    async def _request_votes(self, pre: bool) -> bool:
        """Request votes and return whether a majority granted them.

        :param pre: whether to run a pre-vote, which leaves the term as it is
        """
        term = self.term + 1 if pre else self.term
        message = messages.RequestVote(
            term,
            self.incarnation,
            self.storage.last_index,
            self.storage.last_term,
            pre,
        )
        tally = vote_tally.VoteTally(
            self.host, self.incarnation, self.electorate
        )
        tasks = [
            asyncio.get_running_loop().create_task(
                self._request_vote(host, message)
            )
            for host in tally.other_voters
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
                tally.record_reply(host, answer)
                if tally.won:
                    break
        finally:
            await runtime.cancel(tasks)
        if not tally.won:
            tally.log_lost(
                message, self.clock.mono_ms() - self._leader_contact_ms
            )
        return tally.won

    async def _request_vote(
        self, host: ids.HostId, message: messages.RequestVote
    ) -> tuple[ids.HostId, messages.VoteReply | None]:
        answer = await self.call(host, message)
        if isinstance(answer, messages.VoteReply):
            return host, answer
        return host, None

    async def call(
        self, host: ids.HostId, message: messages.Message
    ) -> messages.Message | None:
        """Send a message and return the answer, None if there is none."""
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
        self, sender: ids.HostId, message: messages.RequestVote
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
        """Persist a vote for ``sender``; return the reason if refused.

        :raises DiskFullError: the vote was not persisted
        """
        self.adopt_term(term)
        meta = self.storage.meta
        if meta.voted_for not in (None, sender):
            return messages.VoteRefusal.VOTED
        meta.voted_for = sender
        self.storage.save_meta()
        self._leader_contact_ms = self.clock.mono_ms()
        return None

    def _vote_refusal(
        self, message: messages.RequestVote
    ) -> messages.VoteRefusal | None:
        """Return why this host must refuse its vote, None if it may grant it.

        Whether this host is a voter is up to the candidate, whose log may be
        newer: a voter that was just admitted may not have received that
        entry yet, and its vote may be needed to elect the leader that
        replicates it. Otherwise a group of three that lost one voter and
        was partitioned at that moment could never elect a leader again.
        A disk without any voters in its log is refused, as it may have lost
        its state since it was admitted.
        """
        if not self._rollback_check.passed:
            return messages.VoteRefusal.NOT_CLEARED
        if not self.electorate.voters:
            return messages.VoteRefusal.NO_VOTE
        if message.term < self.term:
            return messages.VoteRefusal.OLD_TERM
        if self._has_leader_contact():
            return messages.VoteRefusal.LEADER_ACTIVE
        if self.has_lease:
            return messages.VoteRefusal.IS_LEADER
        if message.pre and message.term <= self.term:
            return messages.VoteRefusal.OLD_TERM
        theirs = (message.last_term, message.last_index)
        ours = (self.storage.last_term, self.storage.last_index)
        if theirs < ours:
            return messages.VoteRefusal.LOG_BEHIND
        return None

    async def confirmed_index(self) -> int | None:
        """Return an index that covers every entry accepted so far.

        The leader relies on its lease, other hosts ask the leader. Returns
        None if there is no leader, no answer or no lease.
        """
        if self.has_lease:
            return self.commit_index
        if self.leader is None or self.leader == self.host:
            self._log_unconfirmed_index('no leader')
            return None
        answer = await self.call(
            self.leader, discovery_messages.ConfirmIndex()
        )
        if not isinstance(answer, discovery_messages.ConfirmIndexReply):
            self._log_unconfirmed_index('leader gave no answer')
            return None
        if answer.index is None:
            self._log_unconfirmed_index('leader has no lease')
        return answer.index

    def _log_unconfirmed_index(self, reason: str) -> None:
        """Log why the newest accepted index could not be confirmed."""
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
        self, _sender: ids.HostId, _message: discovery_messages.ConfirmIndex
    ) -> discovery_messages.ConfirmIndexReply:
        return discovery_messages.ConfirmIndexReply(
            self.commit_index if self.has_lease else None
        )

    # Leader role.

    def _become_leader(self, vote_request_ms: int) -> None:
        self.role = Role.LEADER
        self.leader = self.host
        logger.info('leading', term=self.term)
        self._leadership = leadership.Leadership(
            self, self.term, vote_request_ms, self._leadership_tasks
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
        """Return whether this host leads and no other host can lead now."""
        return self._leadership is not None and self._leadership.has_lease

    @property
    def leader_since_ms(self) -> int:
        """Return when this leader requested its votes, 0 if not leader."""
        return 0 if self._leadership is None else self._leadership.since_ms

    def _check_quorum(self) -> None:
        """Step down without contact to a majority, or once removed."""
        silence_ms = self.clock.mono_ms() - self._leadership.quorum_acked_ms()
        silent = silence_ms > 2 * self.settings.election_timeout_ms
        if silent or not self._may_lead:
            self._step_down()

    async def propose(self, entry: entries.Entry) -> replicated.ApplyResult:
        """Append an entry and return the result of applying it.

        :raises NotLeaderError: this host is not leader, or lost leadership
            before the entry was committed
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

    # Follower role.

    def _accept_leader(self, leader: ids.HostId, term: int) -> bool:
        """Accept a leader and its term; return False if the term is old.

        :raises DiskFullError: the term was not persisted
        """
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
            messages.LocalTimestamp(self._instance_id, self.clock.mono_ms()),
        )

    @_refuse_if_disk_full
    async def _handle_append(
        self, sender: ids.HostId, message: messages.AppendEntries
    ) -> messages.AppendReply:
        if not self._accept_leader(sender, message.term):
            return self._append_reply(False, self.storage.last_index)
        store = self.storage
        previous = message.previous_index
        if previous > store.last_index:
            return self._append_reply(False, store.last_index + 1)
        if previous >= store.snapshot.index:
            if store.term_at(previous) != message.previous_term:
                return self._append_reply(False, previous)
        last_new_index = self._store_entries(message.added)
        matched = max(previous + len(message.added), last_new_index)
        self.commit(min(message.commit, matched))
        self._update_confirmed_ms(message)
        return self._append_reply(True, matched)

    def _update_confirmed_ms(self, message: messages.AppendEntries) -> None:
        """Record the time that a leader's message confirms.

        Times of another process instance are ignored, because the clock may
        have restarted.
        """
        moment = message.confirmed
        if moment is None or moment.life != self._instance_id:
            return
        if self.commit_index >= message.commit:
            self._confirmed_ms = max(self._confirmed_ms or 0, moment.at_ms)

    @property
    def confirmed_age_ms(self) -> int | None:
        """Return the age of the newest confirmation by a leader.

        Everything accepted before it is committed here; None without one.
        The leader's messages echo the time sent with this host's last
        answer.
        """
        if self.has_lease:
            return 0
        if self._confirmed_ms is None:
            return None
        return self.clock.mono_ms() - self._confirmed_ms

    def _store_entries(self, new_entries: list[entries.LogEntry]) -> int:
        """Append new entries, truncating the log where the terms differ.

        Returns the last index of ``new_entries``, 0 if there are none.
        """
        store = self.storage
        for position, entry in enumerate(new_entries):
            if entry.index <= store.snapshot.index:
                continue
            stored_term = store.term_at(entry.index)
            if stored_term == entry.term:
                continue
            if stored_term is not None:
                store.truncate_from(entry.index)
            store.append(new_entries[position:])
            break
        return new_entries[-1].index if new_entries else 0

    @_refuse_if_disk_full
    async def _handle_install(
        self, sender: ids.HostId, message: messages.InstallSnapshot
    ) -> messages.AppendReply:
        if not self._accept_leader(sender, message.term):
            return self._append_reply(False, self.storage.last_index)
        if message.snapshot.index > self.commit_index:
            self.storage.save_snapshot(message.snapshot)
            self.commit_index = message.snapshot.index
            self._load_snapshot()
            logger.info('snapshot_installed', index=self.commit_index)
        return self._append_reply(True, message.snapshot.index)

    # Applying committed entries.

    def commit(self, index: int) -> None:
        """Apply the entries up to ``index`` and compact the log."""
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
        store = self.storage
        uncompacted = self.commit_index - store.snapshot.index
        large = uncompacted and store.log_bytes > LOG_LIMIT_BYTES
        if uncompacted < self.settings.snapshot_entries and not large:
            return
        # With a full disk the log stays, and the next commit retries.
        with contextlib.suppress(state_errors.DiskFullError):
            self._write_snapshot()

    def _write_snapshot(self) -> None:
        store = self.storage
        electorate = store.electorate_at(self.commit_index)
        store.save_snapshot(
            storage.Snapshot(
                self.commit_index,
                store.term_at(self.commit_index),
                electorate.voters,
                msgspec.msgpack.encode(self.state),
                electorate.before,
            )
        )
        logger.info('snapshot_written', index=self.commit_index)
