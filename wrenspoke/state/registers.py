"""Ledger of once-only requests: one replicated register per request key.

Each ledger host holds its copies in memory. A register is updated in two
phases as in CASPaxos (Rystsov, 2018): a majority promises a ballot and
returns the value that it accepted last, then a majority accepts the next
value under that ballot.

A host loses its promises when it restarts. Two rules keep this safe. It
votes only on keys issued after ``trusted_since_ms``; recovery from a majority
of the hosts sets this time back. And each start has a higher epoch: every
reply carries the epochs known to its sender, so that a quorum never counts a
vote given before a restart (crash vectors, after Michael et al., DISC 2017).
"""

import enum
import typing

import msgspec
import sortedcontainers

from wrenspoke import ids


SNAPSHOT_CHUNK_BYTES = 2 * 1024 * 1024
REGISTER_OVERHEAD_BYTES = 400
START_CURSOR = (-1, '')


class ClaimState(enum.Enum):
    """State of a once-only request."""

    FREE = 'free'
    REFUSED = 'refused'
    DISPATCHED = 'dispatched'
    ANSWERED = 'answered'


class StoredResponse(msgspec.Struct, frozen=True):
    """Response kept for a caller that retries the request."""

    status: int
    headers: dict[str, str]
    body: bytes


class Claim(msgspec.Struct, frozen=True):
    """Value of a register.

    ``attempt`` is the caller's number of the dispatched attempt, or the
    highest number of a refused one.
    """

    state: ClaimState = ClaimState.FREE
    attempt: int = 0
    host: ids.HostId = ids.HostId('')
    attempt_id: ids.AttemptId = ids.AttemptId('')
    answer: StoredResponse | None = None


FREE = Claim()


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Ballot number of a proposal; the host name makes it unique."""

    number: int = 0
    host: str = ''


NO_BALLOT = Ballot()


class Register(msgspec.Struct):
    """Copy of the register of one key on one host."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    claim: Claim = FREE


class Vote(msgspec.Struct, frozen=True):
    """Reply of a host to one phase on one key.

    ``granted`` is False if a higher ballot was promised, and if this host
    may have lost the key in a restart or expired it (``forgotten``).
    """

    granted: bool
    promised: Ballot
    accepted: Ballot
    claim: Claim
    epochs: dict[str, int]
    forgotten: bool = False


class LedgerSnapshot(msgspec.Struct):
    """Chunk of a host's registers, sent to a host that restarted.

    ``more`` is set if keys follow after the last of ``registers``.
    """

    epoch_known: int
    trusted_since_ms: int
    epochs: dict[str, int]
    registers: list[tuple[int, str, Register]]
    more: bool = False


class Registers:
    """Holds the copies of all registers on one ledger host."""

    def __init__(self, host: ids.HostId, epoch: int, trusted_since_ms: int):
        self.host = host
        self.epochs: dict[str, int] = {host: epoch}
        self.trusted_since_ms = trusted_since_ms
        self._registers: dict[str, Register] = {}
        self._by_age = sortedcontainers.SortedSet()

    def __len__(self) -> int:
        return len(self._registers)

    @property
    def epoch(self) -> int:
        """Return the epoch of this start of the host."""
        return self.epochs[self.host]

    def prepare(self, key: str, issued_ms: int, ballot: Ballot) -> Vote:
        """Promise ``ballot`` on a key unless one as high was promised."""
        if issued_ms < self.trusted_since_ms:
            return self._reject_forgotten()
        register = self._get_or_create(key, issued_ms)
        granted = ballot > register.promised
        if granted:
            register.promised = ballot
        return self._build_vote(granted, register)

    def accept(
        self,
        key: str,
        issued_ms: int,
        ballot: Ballot,
        claim: Claim,
    ) -> Vote:
        """Accept a value under a ballot that a majority has promised."""
        if issued_ms < self.trusted_since_ms:
            return self._reject_forgotten()
        register = self._get_or_create(key, issued_ms)
        granted = ballot >= register.promised
        if granted:
            register.promised = ballot
            register.accepted = ballot
            register.claim = claim
        return self._build_vote(granted, register)

    def on_recovery_request(
        self,
        host: ids.HostId,
        epoch: int,
        after: tuple[int, str] = START_CURSOR,
        chunk_bytes: int = SNAPSHOT_CHUNK_BYTES,
    ) -> LedgerSnapshot:
        """Record a restart of ``host`` and return a chunk of the registers.

        A register may change after its chunk was returned. The votes on that
        change carry the new epoch, so that votes which ``host`` gave before
        its restart don't count together with them.
        """
        known = self.epochs.get(host, 0)
        if epoch > known:
            self.epochs[host] = epoch
        selected = []
        size_bytes = 0
        following = self._by_age.irange(after, inclusive=(False, True))
        for issued_ms, key in following:
            if size_bytes > chunk_bytes:
                break
            register = self._registers[key]
            selected.append((issued_ms, key, register))
            size_bytes += _size_bytes(register)
        last = selected[-1][:2] if selected else after
        more = bool(self._by_age) and last < self._by_age[-1]
        return LedgerSnapshot(
            epoch_known=known,
            trusted_since_ms=self.trusted_since_ms,
            epochs=dict(self.epochs),
            registers=selected,
            more=more,
        )

    def restore(self, snapshots: typing.Sequence[LedgerSnapshot]) -> None:
        """Merge the snapshots of a majority of the hosts."""
        for snapshot in snapshots:
            self.merge_epochs(snapshot.epochs)
            for issued_ms, key, theirs in snapshot.registers:
                self._merge(key, issued_ms, theirs)
        since_ms = max(snapshot.trusted_since_ms for snapshot in snapshots)
        self.trusted_since_ms = min(self.trusted_since_ms, since_ms)

    def merge_epochs(self, epochs: typing.Mapping[str, int]) -> None:
        """Record the highest known epoch of each host."""
        for host, epoch in epochs.items():
            if epoch > self.epochs.get(host, 0):
                self.epochs[host] = epoch

    def expire(self, before_ms: int) -> int:
        """Evict keys issued before ``before_ms`` and return their number."""
        count = 0
        while self._by_age and self._by_age[0][0] < before_ms:
            _issued_ms, key = self._by_age.pop(0)
            del self._registers[key]
            count += 1
        self.trusted_since_ms = max(self.trusted_since_ms, before_ms)
        return count

    def _get_or_create(self, key: str, issued_ms: int) -> Register:
        register = self._registers.get(key)
        if register is None:
            register = self._registers[key] = Register()
            self._by_age.add((issued_ms, key))
        return register

    def _merge(self, key: str, issued_ms: int, theirs: Register) -> None:
        ours = self._get_or_create(key, issued_ms)
        ours.promised = max(ours.promised, theirs.promised)
        if theirs.accepted > ours.accepted:
            ours.accepted = theirs.accepted
            ours.claim = theirs.claim

    def _build_vote(self, granted: bool, register: Register) -> Vote:
        return Vote(
            granted=granted,
            promised=register.promised,
            accepted=register.accepted,
            claim=register.claim,
            epochs=dict(self.epochs),
        )

    def _reject_forgotten(self) -> Vote:
        return Vote(
            granted=False,
            promised=NO_BALLOT,
            accepted=NO_BALLOT,
            claim=FREE,
            epochs=dict(self.epochs),
            forgotten=True,
        )


def _size_bytes(register: Register) -> int:
    answer = register.claim.answer
    return REGISTER_OVERHEAD_BYTES + (
        0 if answer is None else len(answer.body)
    )


def consistent_votes(
    votes: typing.Mapping[ids.HostId, Vote], quorum: int
) -> dict[ids.HostId, Vote] | None:
    """Return the valid votes, or None if they are fewer than ``quorum``.

    A vote given before a restart of its host is invalid once another voter
    has recorded that restart: the host may have lost its promise.
    """
    newest: dict[str, int] = {}
    for vote in votes.values():
        for host, epoch in vote.epochs.items():
            newest[host] = max(newest.get(host, 0), epoch)
    kept = {
        host: vote
        for host, vote in votes.items()
        if vote.epochs[host] >= newest[host]
    }
    return kept if len(kept) >= quorum else None


def with_claim(
    old: Claim, attempt: int, host: ids.HostId, attempt_id: ids.AttemptId
) -> Claim:
    """Return ``old`` after a claim.

    The claim succeeded if the result has the given ``attempt_id``.
    """
    free = old.state is ClaimState.FREE
    refused_before = old.state is ClaimState.REFUSED and old.attempt < attempt
    if not free and not refused_before:
        return old
    return Claim(ClaimState.DISPATCHED, attempt, host, attempt_id)


def with_refusal(old: Claim, attempt: int) -> Claim:
    """Return ``old`` after all attempts up to ``attempt`` are refused."""
    if old.state is ClaimState.FREE:
        return Claim(ClaimState.REFUSED, attempt)
    if old.state is ClaimState.REFUSED and old.attempt < attempt:
        return Claim(ClaimState.REFUSED, attempt)
    return old


def with_release(old: Claim, attempt_id: ids.AttemptId) -> Claim:
    """Return ``old`` after the release of a claim that was never sent."""
    ours = old.attempt_id == attempt_id
    if old.state is ClaimState.DISPATCHED and ours:
        return Claim(ClaimState.REFUSED, old.attempt)
    return old


def with_answer(
    old: Claim, attempt_id: ids.AttemptId, answer: StoredResponse | None
) -> Claim:
    """Return ``old`` with the response to the dispatched attempt."""
    ours = old.attempt_id == attempt_id
    if old.state is ClaimState.DISPATCHED and ours:
        return msgspec.structs.replace(
            old, state=ClaimState.ANSWERED, answer=answer
        )
    return old
