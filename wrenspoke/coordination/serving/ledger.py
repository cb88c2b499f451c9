"""Replicated ledger of once-only claims, one per region.

Each key is a register that the ledger hosts of the region agree on with a
two-phase (prepare, accept) majority protocol.
"""

import asyncio
import collections.abc
import random

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke.protocol import requests
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.state import registers

logger = structlog.get_logger(__name__)

ROUNDS_LIMIT = 8
BACKOFF_MS = 20
RECALL_INTERVAL_MS = 500
RECALL_TIMEOUT_MS = 5_000
EXPIRE_INTERVAL_MS = 5_000
SKEW_MARGIN = 2

Change = collections.abc.Callable[[registers.Claim], registers.Claim]


class Ledger:
    """Reads and changes claims; stores a replica on ledger hosts."""

    def __init__(
        self,
        host: ids.HostId,
        members: collections.abc.Sequence[ids.HostId],
        ledger_settings: settings.LedgerSettings,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._host = host
        self._members = list(members)
        self._settings = ledger_settings
        self._peers = peers
        self._clock = clock
        self._ballot = 0
        self._tasks = runtime.Tasks()
        now_ms = clock.wall_ms()
        self._registers = None
        if host in self._members:
            since_ms = now_ms + SKEW_MARGIN * ledger_settings.clock_skew_ms
            self._registers = registers.Registers(host, now_ms, since_ms)
        self._register_handlers()

    @property
    def quorum(self) -> int:
        """Return the number of ledger hosts that form a majority."""
        return len(self._members) // 2 + 1

    @property
    def key_count(self) -> int:
        """Return the number of keys stored on this host."""
        return 0 if self._registers is None else len(self._registers)

    def _register_handlers(self) -> None:
        self._peers.handles(messages.Prepare)(self._handle_prepare)
        self._peers.handles(messages.Accept)(self._handle_accept)
        self._peers.handles(messages.RecoverLedger)(self._handle_recall)

    def start(self) -> None:
        """Start recovery from the other replicas and expiry of old claims."""
        if self._registers is None:
            return
        self._tasks.start(self._recover())
        self._tasks.start(self._expire_claims())

    async def close(self) -> None:
        """Cancel the background tasks."""
        await self._tasks.close()

    def check_age(self, key: requests.OnceKey) -> str | None:
        """Return 'expired' or 'future' for a bad issue time, else None."""
        age_ms = self._clock.wall_ms() - key.issued_ms
        if age_ms > self._settings.claim_retention_ms:
            return 'expired'
        if age_ms < -self._settings.clock_skew_ms:
            return 'future'
        return None

    async def change(
        self, key: requests.OnceKey, transition: Change
    ) -> registers.Claim:
        """Apply ``transition`` to the claim of a key and commit the result.

        :raises LedgerUnreachableError: no majority accepted it
        """
        backoff_ms = BACKOFF_MS
        for _round in range(ROUNDS_LIMIT):
            self._ballot += 1
            ballot = registers.Ballot(self._ballot, self._host)
            claim = await self._run_round(key, ballot, transition)
            if claim is not None:
                return claim
            await self._clock.sleep_ms(random.uniform(0, backoff_ms))
            backoff_ms *= 2
        raise errors.LedgerUnreachableError(
            f'{key}: no ballot won in {ROUNDS_LIMIT} rounds'
        )

    async def read(self, key: requests.OnceKey) -> registers.Claim:
        """Return the claim of a key as committed by a majority.

        :raises LedgerUnreachableError: no majority answered
        """
        return await self.change(key, lambda claim: claim)

    async def _run_round(
        self,
        key: requests.OnceKey,
        ballot: registers.Ballot,
        transition: Change,
    ) -> registers.Claim | None:
        prepare = messages.Prepare(str(key), key.issued_ms, ballot)
        promises = await self._gather_votes(key, prepare)
        if promises is None:
            return None
        newest = max(promises.values(), key=lambda vote: vote.accepted)
        old = newest.claim
        new = transition(old)
        settled = all(
            vote.accepted == newest.accepted for vote in promises.values()
        )
        if new is old and settled:
            return old
        accept = messages.Accept(
            str(key),
            key.issued_ms,
            ballot,
            new,
        )
        accepted = await self._gather_votes(key, accept)
        return None if accepted is None else new

    async def _gather_votes(
        self,
        key: requests.OnceKey,
        message: messages.Prepare | messages.Accept,
    ) -> dict[str, registers.Vote] | None:
        """Return the votes of a majority, None if a higher ballot exists.

        :raises LedgerUnreachableError: no majority answered
        """
        tasks = [
            asyncio.get_running_loop().create_task(
                self._gather_vote(host, message)
            )
            for host in self._members
        ]
        granted: dict[str, registers.Vote] = {}
        denied = False
        try:
            for earliest in asyncio.as_completed(tasks):
                host, vote = await earliest
                if vote is None or vote.forgotten:
                    continue
                if not vote.granted:
                    self._ballot = max(self._ballot, vote.promised.number)
                    denied = True
                    continue
                granted[host] = vote
                quorum = registers.consistent_votes(granted, self.quorum)
                if quorum is not None:
                    return quorum
        finally:
            await runtime.cancel(tasks)
        if denied:
            return None
        raise errors.LedgerUnreachableError(
            f'{key}: no majority of ledger hosts answered'
        )

    async def _gather_vote(
        self, host: ids.HostId, message: messages.Prepare | messages.Accept
    ) -> tuple[ids.HostId, registers.Vote | None]:
        if host == self._host:
            return host, self._vote_locally(message)
        try:
            answer = await self._peers.call(
                host, message, self._settings.call_timeout_ms
            )
        except protocol_errors.ProtocolError:
            return host, None
        if not isinstance(answer, messages.LedgerVote):
            return host, None
        return host, answer.vote

    def _vote_locally(
        self, message: messages.Prepare | messages.Accept
    ) -> registers.Vote:
        if isinstance(message, messages.Prepare):
            return self._registers.prepare(
                message.key, message.issued_ms, message.ballot
            )
        return self._registers.accept(
            message.key,
            message.issued_ms,
            message.ballot,
            message.claim,
        )

    async def _handle_prepare(self, _sender, message: messages.Prepare):
        return self._vote_reply(message)

    async def _handle_accept(self, _sender, message: messages.Accept):
        return self._vote_reply(message)

    def _vote_reply(
        self, message: messages.Prepare | messages.Accept
    ) -> messages.Message:
        if self._registers is None:
            return messages.Refusal('no ledger on this host')
        return messages.LedgerVote(self._vote_locally(message))

    async def _handle_recall(
        self, sender: ids.HostId, message: messages.RecoverLedger
    ) -> messages.Message:
        if self._registers is None:
            return messages.Refusal('no ledger on this host')
        memory = self._registers.on_recovery_request(
            sender, message.epoch, message.after
        )
        return messages.RecoverLedgerReply(memory)

    async def _recover(self) -> None:
        others = [host for host in self._members if host != self._host]
        if not others:
            return
        while not await self._recover_once(others):
            await self._clock.sleep_ms(RECALL_INTERVAL_MS)

    async def _recover_once(self, others: list[ids.HostId]) -> bool:
        epoch = self._registers.epoch
        answers = await asyncio.gather(
            *(self._fetch_snapshot(host, epoch) for host in others)
        )
        snapshots = [memory for memory in answers if memory is not None]
        latest_epoch = max(
            (memory.epoch_known for memory in snapshots), default=0
        )
        if latest_epoch > epoch:
            self._registers.merge_epochs({self._host: latest_epoch + 1})
            return False
        if len(snapshots) < self.quorum:
            return False
        self._registers.restore(snapshots)
        logger.info(
            'ledger_recalled',
            keys=len(self._registers),
            trusted_since_ms=self._registers.trusted_since_ms,
            epoch=epoch,
        )
        return True

    async def _fetch_snapshot(
        self, host: ids.HostId, epoch: int
    ) -> registers.LedgerSnapshot | None:
        """Fetch the registers of a host page by page; None if a call fails."""
        snapshot: registers.LedgerSnapshot | None = None
        after = registers.START_CURSOR
        while True:
            page = await self._fetch_snapshot_page(host, epoch, after)
            if page is None:
                return None
            if snapshot is None:
                snapshot = page
            else:
                snapshot.registers += page.registers
            if not page.more:
                return snapshot
            if not page.registers or page.registers[-1][:2] <= after:
                logger.warning('ledger_page_without_progress', peer=host)
                return None
            after = page.registers[-1][:2]

    async def _fetch_snapshot_page(
        self, host: ids.HostId, epoch: int, after: tuple[int, str]
    ) -> registers.LedgerSnapshot | None:
        try:
            answer = await self._peers.call(
                host,
                messages.RecoverLedger(epoch, after),
                RECALL_TIMEOUT_MS,
            )
        except protocol_errors.ProtocolError:
            return None
        if not isinstance(answer, messages.RecoverLedgerReply):
            return None
        return answer.memory

    async def _expire_claims(self) -> None:
        while True:
            await self._clock.sleep_ms(EXPIRE_INTERVAL_MS)
            before_ms = (
                self._clock.wall_ms() - self._settings.claim_retention_ms
            )
            count = self._registers.expire(before_ms)
            if count:
                logger.info('ledger_expired', keys=count)
