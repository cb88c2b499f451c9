"""A control host's part in agreement: elections and the replicated log.

The rules are Raft's (Ongaro and Ousterhout, 2014), with pre-votes, a
leader's lease in monotonic time and changes of one voter at a time. What
differs is how a lost disk comes back. Every disk has an incarnation; a
vote counts under the incarnation that was admitted. A new disk learns
without a vote, and the leader admits it by two committed changes (the old
incarnation out, the new one in) once it has caught up and synced. A disk
put back from an old copy is told so by the others, who remember how often
it was started, and becomes a new incarnation.
"""

import asyncio
import enum
import random

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination import replica
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.state import entries
from wrenspoke.state import errors as state_errors
from wrenspoke.state import replicated
from wrenspoke.state import storage

logger = structlog.get_logger(__name__)

BATCH_ENTRIES = 256
LEASE_SHARE = 0.8
HELLO_INTERVAL_MS = 200


class Role(enum.Enum):
    """Say what a control host does in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Follower:
    """Hold what a leader knows of another control host."""

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.incarnation: ids.Incarnation | None = None
        self.acked_ms: int | None = None
        self.more = asyncio.Event()


class Voter:
    """Agree with the other control hosts on a log, and apply it."""

    def __init__(
        self,
        host: ids.HostId,
        hosts: list[ids.HostId],
        limits: settings.ControlSettings,
        kept: storage.Storage,
        peers: peer_calls.Peers,
        held: replica.Replica,
        clock: clocks.Clock,
    ):
        self._host = host
        self._others = [other for other in hosts if other != host]
        self._settings = limits
        self._storage = kept
        self._peers = peers
        self._replica = held
        self._clock = clock
        self._tasks = runtime.Tasks()
        self._leading = runtime.Tasks()
        self._followers: dict[ids.HostId, Follower] = {}
        self._proposed: dict[int, tuple[int, asyncio.Future]] = {}
        self._heard_ms = clock.mono_ms()
        self._cleared = False
        self._start = ids.new_unique()
        self._start_index = 0
        self.role = Role.FOLLOWER
        self.leader: ids.HostId | None = None
        self.led_since_ms = 0
        self.commit_index = kept.snapshot.index
        self.state = replicated.ReplicatedState()
        self._load_snapshot()
        peers.answers(messages.Hello)(self._answer_hello)
        peers.answers(messages.AskVote)(self._answer_vote)
        peers.answers(messages.Append)(self._answer_append)
        peers.answers(messages.Install)(self._answer_install)

    # State that is on the disk.

    @property
    def term(self) -> int:
        """Return the highest term that this host knows."""
        return self._storage.meta.term

    @property
    def incarnation(self) -> ids.Incarnation:
        """Return the name of this host's disk."""
        return self._storage.meta.incarnation

    @property
    def voters(self) -> dict[ids.HostId, ids.Incarnation]:
        """Return the newest set of voters."""
        return self._storage.voters()

    @property
    def is_voter(self) -> bool:
        """Tell whether this host, on this disk, has a vote."""
        return self.voters.get(self._host) == self.incarnation

    def _load_snapshot(self) -> None:
        snapshot = self._storage.snapshot
        if snapshot.index:
            self.state = msgspec.msgpack.decode(
                snapshot.state, type=replicated.ReplicatedState
            )
            self._replica.advance(
                messages.ConfigurationDelta(
                    index=self.state.configuration.index,
                    whole=self.state.configuration,
                )
            )

    def _adopt_term(self, term: int) -> None:
        if term <= self.term:
            return
        self._storage.meta.term = term
        self._storage.meta.voted_for = None
        self._storage.save_meta()
        self._step_down()

    # Start.

    def start(self) -> None:
        """Count this start, then take part."""
        self._storage.meta.boot += 1
        self._storage.save_meta()
        self._heard_ms = self._clock.mono_ms()
        self._tasks.start(self._clear())
        self._tasks.start(self._watch())

    async def close(self) -> None:
        """End every task."""
        self._step_down()
        await self._leading.close()
        await self._tasks.close()

    async def _clear(self) -> None:
        """Make sure that this disk is no old copy of itself."""
        while not self._cleared:
            await self._say_hello()
            if not self._cleared:
                await self._clock.sleep_ms(HELLO_INTERVAL_MS)

    async def _say_hello(self) -> None:
        meta = self._storage.meta
        message = messages.Hello(meta.incarnation, meta.boot, self._start)
        answers = await asyncio.gather(
            *(self._call(host, message) for host in self._others)
        )
        voters = self.voters
        heard = 1 if self.is_voter else 0
        for host, answer in zip(self._others, answers):
            if not isinstance(answer, messages.HelloReply):
                continue
            if answer.known_boot >= meta.boot:
                # Some other start of this disk had this number already.
                logger.error(
                    'old_disk',
                    boot=meta.boot,
                    known_boot=answer.known_boot,
                    told_by=host,
                )
                self._storage.forget_all()
                self._restart_empty()
                return
            heard += host in voters
        if not voters or heard >= _majority(voters):
            self._cleared = True
            logger.info(
                'cleared', incarnation=meta.incarnation, boot=meta.boot
            )

    def _restart_empty(self) -> None:
        self.state = replicated.ReplicatedState()
        self.commit_index = 0
        self._storage.meta.boot = 1
        self._storage.save_meta()

    async def _answer_hello(
        self, _sender: ids.HostId, message: messages.Hello
    ) -> messages.HelloReply:
        boots = self._storage.meta.boots
        known = boots.get(message.incarnation, (0, ''))
        heard = (message.boot, message.start)
        if known == heard:
            return messages.HelloReply(0)
        if message.boot > known[0]:
            boots[message.incarnation] = heard
            self._storage.save_meta()
        return messages.HelloReply(known[0])

    # Elections.

    def _patience_ms(self) -> float:
        least_ms = self._settings.election_timeout_ms
        return random.uniform(least_ms, 2 * least_ms)

    def _hears_leader(self) -> bool:
        silence_ms = self._clock.mono_ms() - self._heard_ms
        return silence_ms < self._settings.election_timeout_ms

    async def _watch(self) -> None:
        """Stand for election when the leader falls silent."""
        patience_ms = self._patience_ms()
        while True:
            await self._clock.sleep_ms(self._settings.beat_interval_ms / 2)
            self._storage.check()
            if self.role is Role.LEADER:
                self._check_quorum()
                continue
            silence_ms = self._clock.mono_ms() - self._heard_ms
            if silence_ms < patience_ms:
                continue
            patience_ms = self._patience_ms()
            self._heard_ms = self._clock.mono_ms()
            if not self._cleared or not self.is_voter:
                continue
            if await self._canvass(pre=True):
                await self._stand()

    async def _stand(self) -> None:
        meta = self._storage.meta
        meta.term += 1
        meta.voted_for = self._host
        self._storage.save_meta()
        self.role = Role.CANDIDATE
        self.leader = None
        term = meta.term
        logger.info('election', term=term)
        asked_ms = self._clock.mono_ms()
        won = await self._canvass(pre=False)
        if won and self.role is Role.CANDIDATE and self.term == term:
            self._lead(asked_ms)

    async def _canvass(self, pre: bool) -> bool:
        """Ask for votes and return whether a majority gave them."""
        term = self.term + 1 if pre else self.term
        message = messages.AskVote(
            term,
            self.incarnation,
            self._storage.last_index,
            self._storage.last_term,
            pre,
        )
        voters = self.voters
        others = [host for host in voters if host != self._host]
        tasks = [
            asyncio.get_running_loop().create_task(self._ask(host, message))
            for host in others
        ]
        votes = 1
        try:
            for earliest in asyncio.as_completed(tasks):
                if votes >= _majority(voters):
                    break
                host, answer = await earliest
                if answer is None:
                    continue
                if answer.term > term:
                    self._adopt_term(answer.term)
                    return False
                votes += answer.granted and answer.incarnation == voters[host]
        finally:
            await runtime.cancel(tasks)
        return votes >= _majority(voters)

    async def _ask(
        self, host: ids.HostId, message: messages.AskVote
    ) -> tuple[ids.HostId, messages.VoteReply | None]:
        answer = await self._call(host, message)
        if isinstance(answer, messages.VoteReply):
            return host, answer
        return host, None

    async def _call(
        self, host: ids.HostId, message: messages.Message
    ) -> messages.Message | None:
        try:
            return await self._peers.call(
                host, message, self._settings.election_timeout_ms / 2
            )
        except protocol_errors.ProtocolError:
            return None

    async def _answer_vote(
        self, sender: ids.HostId, message: messages.AskVote
    ) -> messages.VoteReply:
        granted = self._may_vote(sender, message)
        if granted and not message.pre:
            self._adopt_term(message.term)
            granted = self.term == message.term and (
                self._storage.meta.voted_for in (None, sender)
            )
            if granted:
                self._storage.meta.voted_for = sender
                self._storage.save_meta()
                self._heard_ms = self._clock.mono_ms()
        return messages.VoteReply(self.term, granted, self.incarnation)

    def _may_vote(self, sender: ids.HostId, message: messages.AskVote) -> bool:
        if not self._cleared or not self.is_voter:
            return False
        if message.term < self.term or self._hears_leader():
            return False
        if self.has_lease:
            return False
        if message.pre and message.term <= self.term:
            return False
        theirs = (message.last_term, message.last_index)
        ours = (self._storage.last_term, self._storage.last_index)
        return theirs >= ours

    # Leading.

    def _lead(self, asked_ms: int) -> None:
        self.role = Role.LEADER
        self.leader = self._host
        self.led_since_ms = asked_ms
        logger.info('leading', term=self.term)
        next_index = self._storage.last_index + 1
        self._followers = {host: Follower(next_index) for host in self._others}
        self._start_index = next_index
        self._append(entries.LeaderStart(self._host))
        for host, follower in self._followers.items():
            self._leading.start(self._replicate(host, follower, self.term))
        self._leading.start(self._admit(self.term))

    def _step_down(self) -> None:
        was = self.role
        self.role = Role.FOLLOWER
        if was is not Role.LEADER:
            return
        logger.warning('stepped_down', term=self.term)
        self.leader = None
        for _term, future in self._proposed.values():
            if not future.done():
                future.set_exception(
                    errors.NotLeaderError(None, may_be_accepted=True)
                )
        self._proposed.clear()
        for follower in self._followers.values():
            follower.more.set()

    def _check_quorum(self) -> None:
        """Step down when a majority has been silent for long."""
        silence_ms = self._clock.mono_ms() - self._quorum_acked_ms()
        if silence_ms > 2 * self._settings.election_timeout_ms:
            self._step_down()

    def _quorum_acked_ms(self) -> int:
        """Return since when a majority is known to follow this leader."""
        now_ms = self._clock.mono_ms()
        voters = self.voters
        acked = []
        for host, incarnation in voters.items():
            if host == self._host:
                acked.append(now_ms)
                continue
            follower = self._followers.get(host)
            known = (
                follower is not None
                and follower.acked_ms is not None
                and follower.incarnation == incarnation
            )
            acked.append(follower.acked_ms if known else self.led_since_ms)
        acked.sort(reverse=True)
        return acked[_majority(voters) - 1]

    @property
    def has_lease(self) -> bool:
        """Tell whether no other host can be leader now.

        A majority that answered a message sent at some time gives no
        vote to others for an election timeout from then.
        """
        if self.role is not Role.LEADER:
            return False
        if self.commit_index < self._start_index:
            return False
        age_ms = self._clock.mono_ms() - self._quorum_acked_ms()
        return age_ms < self._settings.election_timeout_ms * LEASE_SHARE

    async def propose(self, entry: entries.Entry) -> replicated.Applied:
        """Write an entry and return what applying it did.

        :raises NotLeaderError: this host does not lead, or lost the lead
            before the entry was accepted
        """
        if self.role is not Role.LEADER:
            raise errors.NotLeaderError(self.leader, may_be_accepted=False)
        future = asyncio.get_running_loop().create_future()
        index = self._storage.last_index + 1
        self._proposed[index] = (self.term, future)
        self._append(entry)
        return await future

    def _append(self, entry: entries.Entry) -> None:
        index = self._storage.last_index + 1
        self._storage.append([entries.LogEntry(index, self.term, entry)])
        for follower in self._followers.values():
            follower.more.set()
        self._advance_commit()

    async def _replicate(
        self, host: ids.HostId, follower: Follower, term: int
    ) -> None:
        """Keep one other control host's log equal to ours."""
        while self.role is Role.LEADER and self.term == term:
            follower.more.clear()
            sent_ms = self._clock.mono_ms()
            answer = await self._call(host, self._message_for(follower))
            if self.role is not Role.LEADER or self.term != term:
                return
            if isinstance(answer, messages.AppendReply):
                self._note_answer(host, follower, answer, sent_ms)
                if follower.next_index <= self._storage.last_index:
                    continue
            await self._wait_for_more(follower, sent_ms)

    async def _wait_for_more(self, follower: Follower, sent_ms: int) -> None:
        interval_ms = self._settings.beat_interval_ms
        left_ms = sent_ms + interval_ms - self._clock.mono_ms()
        try:
            async with clocks.timeout_ms(max(left_ms, 1)):
                await follower.more.wait()
        except TimeoutError:
            return

    def _message_for(
        self, follower: Follower
    ) -> messages.Append | messages.Install:
        previous = follower.next_index - 1
        previous_term = self._storage.term_at(previous)
        if previous_term is None:
            return messages.Install(self.term, self._storage.snapshot)
        return messages.Append(
            self.term,
            previous,
            previous_term,
            self.commit_index,
            self._storage.entries_from(follower.next_index, BATCH_ENTRIES),
        )

    def _note_answer(
        self,
        host: ids.HostId,
        follower: Follower,
        answer: messages.AppendReply,
        sent_ms: int,
    ) -> None:
        if answer.term > self.term:
            self._adopt_term(answer.term)
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
        self._advance_commit()

    def _advance_commit(self) -> None:
        voters = self.voters
        matches = []
        for host, incarnation in voters.items():
            if host == self._host:
                matches.append(self._storage.last_index)
                continue
            follower = self._followers.get(host)
            known = (
                follower is not None and follower.incarnation == incarnation
            )
            matches.append(follower.match_index if known else 0)
        matches.sort(reverse=True)
        index = matches[_majority(voters) - 1]
        if self._storage.term_at(index) == self.term:
            self._commit(index)

    # The group mends itself.

    async def _admit(self, term: int) -> None:
        """Admit disks that have caught up, one change at a time."""
        while self.role is Role.LEADER and self.term == term:
            await self._clock.sleep_ms(self._settings.beat_interval_ms)
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
                await self.propose(change)
            except errors.NotLeaderError:
                return

    def _next_admission(self) -> entries.SetVoters | None:
        voters = self.voters
        for host, follower in self._followers.items():
            found = follower.incarnation
            if found is None or voters.get(host) == found:
                continue
            if follower.match_index < self.commit_index:
                continue
            if self._silent(follower):
                continue
            if host in voters:
                rest = {
                    other: known
                    for other, known in voters.items()
                    if other != host
                }
                return entries.SetVoters(
                    rest, f'{host} lost disk {voters[host]}'
                )
            return entries.SetVoters(
                {**voters, host: found}, f'{host} caught up on disk {found}'
            )
        return None

    def _silent(self, follower: Follower) -> bool:
        age_ms = self._clock.mono_ms() - (follower.acked_ms or 0)
        return age_ms > self._settings.election_timeout_ms

    # Following.

    def _follow(self, leader: ids.HostId, term: int) -> bool:
        """Take a leader's word; False if its term is over."""
        if term < self.term:
            return False
        self._adopt_term(term)
        if self.role is Role.CANDIDATE:
            self.role = Role.FOLLOWER
        if self.leader != leader:
            self.leader = leader
            logger.info('following', leader=leader, term=term)
        self._heard_ms = self._clock.mono_ms()
        return True

    def _append_reply(
        self, matched: bool, last_index: int
    ) -> messages.AppendReply:
        return messages.AppendReply(
            self.term, matched, last_index, self.incarnation
        )

    async def _answer_append(
        self, sender: ids.HostId, message: messages.Append
    ) -> messages.AppendReply:
        if not self._follow(sender, message.term):
            return self._append_reply(False, self._storage.last_index)
        kept = self._storage
        previous = message.previous_index
        if previous > kept.last_index:
            return self._append_reply(False, kept.last_index + 1)
        if previous >= kept.snapshot.index:
            if kept.term_at(previous) != message.previous_term:
                return self._append_reply(False, previous)
        last = self._take(message.added)
        matched = max(previous + len(message.added), last)
        self._commit(min(message.commit, matched))
        return self._append_reply(True, matched)

    def _take(self, added: list[entries.LogEntry]) -> int:
        """Write what is new; drop what contradicts it."""
        kept = self._storage
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

    async def _answer_install(
        self, sender: ids.HostId, message: messages.Install
    ) -> messages.AppendReply:
        if not self._follow(sender, message.term):
            return self._append_reply(False, self._storage.last_index)
        if message.snapshot.index > self.commit_index:
            self._storage.save_snapshot(message.snapshot)
            self.commit_index = message.snapshot.index
            self._load_snapshot()
            logger.info('snapshot_installed', index=self.commit_index)
        return self._append_reply(True, message.snapshot.index)

    # Applying.

    def _commit(self, index: int) -> None:
        while self.commit_index < index:
            entry = self._storage.entry(self.commit_index + 1)
            if entry is None:
                break
            self._apply(entry)
            self.commit_index = entry.index
        self._compact()

    def _apply(self, entry: entries.LogEntry) -> None:
        applied = self.state.apply(entry.index, entry.entry)
        if applied.change is not None:
            self._replica.advance(
                messages.ConfigurationDelta(
                    index=entry.index, changes=[(entry.index, applied.change)]
                )
            )
        term, future = self._proposed.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(applied)
        else:
            future.set_exception(
                errors.NotLeaderError(self.leader, may_be_accepted=False)
            )

    def _compact(self) -> None:
        kept = self._storage
        if self.commit_index - kept.snapshot.index < (
            self._settings.snapshot_entries
        ):
            return
        voters = dict(kept.snapshot.voters)
        for index in range(kept.first_index, self.commit_index + 1):
            entry = kept.entry(index).entry
            if isinstance(entry, entries.SetVoters):
                voters = entry.voters
        kept.save_snapshot(
            storage.Snapshot(
                self.commit_index,
                kept.term_at(self.commit_index),
                voters,
                msgspec.msgpack.encode(self.state),
            )
        )
        logger.info('snapshot_written', index=self.commit_index)


def found(
    kept: storage.Storage, host: ids.HostId, first: entries.Found
) -> None:
    """Begin a new group on an empty disk, with one voter.

    This is never part of a daemon's start: a host whose disk was lost
    would begin a second group beside its own.

    :raises InvalidChangeError: the disk holds a log already
    """
    if kept.last_index:
        raise state_errors.InvalidChangeError(
            f'{host} holds a log up to {kept.last_index} already'
        )
    kept.meta.term = 1
    kept.save_meta()
    voters = {host: kept.meta.incarnation}
    kept.append(
        [
            entries.LogEntry(1, 1, entries.SetVoters(voters, 'founding')),
            entries.LogEntry(2, 1, first),
        ]
    )


def _majority(voters: dict) -> int:
    return len(voters) // 2 + 1
