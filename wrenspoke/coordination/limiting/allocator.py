"""Allocates shares of teams' limits on the control host that leads.

The owner of a team's bucket in each region holds a leased share of the
team's limit. The shares of one team never add up to more than the whole,
even if messages are lost: a share counts until its holder reports a lower
one or its lease has expired. The unallocated part accumulates tokens of its
own, and a share that grows receives its part of them, so that a new holder
does not start with an empty bucket.

A new leader does not know which shares earlier leaders granted. It allocates
no more than the holders report, until every holder has reported or every
older lease has expired. The holders are recorded in the replicated log (as
lenders). So after a restart of all hosts the whole limit is available as
soon as each of them has reported that it holds nothing.
"""

import asyncio
import dataclasses
import typing

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import limiting
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import entries
from wrenspoke.state import replicated

logger = structlog.get_logger(__name__)

# Longer than an election and two lost requests before it.
SHARE_LEASE_MS = 4_000
# Clocks drift by up to 1 %; a holder's lease starts when it sends its request.
LEASE_EXPIRY_MS = int(SHARE_LEASE_MS * 1.02)
# A host that has sent no request for this long is removed from the holders,
# as the next leader would wait for it. Longer than a restart takes.
HOLDER_EXPIRY_MS = 15_000
# Holders that register at the same time, as at startup, share one log entry.
BATCH_DELAY_MS = 20
# A round trip to a distant region and a commit across distant regions.
FORWARD_TIMEOUT_MS = 600


@dataclasses.dataclass(slots=True)
class ShareLease:
    """A holder's share of one team's limit, and the share that it requests."""

    share: float
    wanted: float
    until_ms: int


class TeamAllocation:
    """Tracks the leased shares of one team's limit."""

    def __init__(self, now_ms: int):
        self._leases: dict[ids.HostId, ShareLease] = {}
        # Sum of the shares that earlier leaders granted, as reported so far.
        self._reported = 0.0
        self._unallocated_ms = 0.0
        self._refilled_ms = now_ms

    @property
    def allocated(self) -> float:
        """Return the sum of all leased shares."""
        return sum(lease.share for lease in self._leases.values())

    def grant(
        self,
        holder: ids.HostId,
        request: limiting.ShareRequest,
        settled: bool,
        now_ms: int,
    ) -> limiting.ShareGrant:
        """Return the holder's new share, and its part of the free tokens.

        ``settled`` says that all shares of earlier leaders are known.
        """
        self._expire(now_ms)
        held = self._reconcile(holder, request, settled)
        allocatable = 1.0 if settled else min(self._reported, 1.0)
        free = max(allocatable - self.allocated, 0.0)
        self._refill(free, request, now_ms)
        share = min(
            self._fair_share(holder, request.wanted, allocatable), held + free
        )
        level_ms = 0.0
        if share > held:
            level_ms = self._unallocated_ms * (share - held) / free
            self._unallocated_ms -= level_ms
        # The answer may be lost: a lower share counts once it is reported.
        self._leases[holder] = ShareLease(
            max(share, held), request.wanted, now_ms + LEASE_EXPIRY_MS
        )
        return limiting.ShareGrant(
            request.team,
            share,
            level_ms,
            max(allocatable - self.allocated, 0.0),
            self._unallocated_ms,
        )

    def _expire(self, now_ms: int) -> None:
        for holder, lease in list(self._leases.items()):
            if lease.until_ms <= now_ms:
                del self._leases[holder]

    def _reconcile(
        self,
        holder: ids.HostId,
        request: limiting.ShareRequest,
        settled: bool,
    ) -> float:
        """Return the holder's current share, from its report and its lease."""
        lease = self._leases.get(holder)
        if lease is not None:
            held = min(request.held, lease.share)
            lease.share = held
            return held
        if settled or request.held <= 0:
            return 0.0
        self._reported += request.held
        self._leases[holder] = ShareLease(request.held, request.wanted, 0)
        return request.held

    def _refill(
        self, free: float, request: limiting.ShareRequest, now_ms: int
    ) -> None:
        """Add the tokens of the unallocated part, and those returned."""
        grown_ms = free * (now_ms - self._refilled_ms)
        self._refilled_ms = now_ms
        self._unallocated_ms = min(
            self._unallocated_ms + grown_ms + max(request.returned_ms, 0.0),
            free * request.depth_ms,
        )

    def _fair_share(
        self, holder: ids.HostId, wanted: float, allocatable: float
    ) -> float:
        """Return the wanted share, scaled down if the sum is too large."""
        total_wanted = wanted + sum(
            lease.wanted
            for other, lease in self._leases.items()
            if other != holder
        )
        if total_wanted <= allocatable:
            return wanted
        return allocatable * wanted / total_wanted


class LocalVoter(typing.Protocol):
    """The part of this host's voter that the allocator uses."""

    @property
    def has_lease(self) -> bool:
        """Return whether no other host can be the leader now."""

    @property
    def leader(self) -> ids.HostId | None:
        """Return the leader, None if unknown."""

    @property
    def leader_since_ms(self) -> int:
        """Return when this host began the election that it won."""

    @property
    def state(self) -> replicated.ReplicatedState:
        """Return the committed state."""

    async def propose(self, entry: entries.Entry) -> replicated.ApplyResult:
        """Append an entry to the log and wait until it is applied."""


class Allocator:
    """Allocates shares of all teams' limits while this host leads."""

    def __init__(
        self,
        local_voter: LocalVoter,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._local_voter = local_voter
        self._peers = peers
        self._clock = clock
        self._teams: dict[ids.TeamId, TeamAllocation] = {}
        self._leader_since_ms: int | None = None
        self._settled_early_ms: int | None = None
        # When each holder last sent a request in this term.
        self._last_seen_ms: dict[ids.HostId, int] = {}
        # Instance and number of each holder's last request in this term.
        self._last_request: dict[ids.HostId, tuple[str, int]] = {}
        self._registration: asyncio.Task | None = None
        self._tasks = runtime.Tasks()
        peers.handles(limiting.AskShares)(self._handle_ask_shares)

    async def _handle_ask_shares(
        self, sender: ids.HostId, message: limiting.AskShares
    ) -> limiting.AskSharesReply | messages.Refusal:
        if not self._local_voter.has_lease:
            return await self._forward(sender, message)
        holder = message.lender or sender
        self.begin_leadership(self._local_voter.leader_since_ms)
        if self._is_stale(holder, message):
            return messages.Refusal('a later question was answered')
        self._last_seen_ms[holder] = self._clock.mono_ms()
        if message.shares and not await self._ensure_registered(holder):
            return messages.Refusal('not noted as a lender')
        granted = self.grant(holder, message.shares)
        return limiting.AskSharesReply(granted, self.unsettled_ms)

    def _is_stale(
        self, holder: ids.HostId, message: limiting.AskShares
    ) -> bool:
        """Return whether a later request of the holder was received."""
        life, number = self._last_request.get(holder, ('', 0))
        if life == message.life and message.number <= number:
            return True
        self._last_request[holder] = (message.life, message.number)
        return False

    async def _forward(
        self, sender: ids.HostId, message: limiting.AskShares
    ) -> limiting.AskSharesReply | messages.Refusal:
        """Forward a request to the leader; no request is forwarded twice."""
        leader = self._local_voter.leader
        if leader is None or message.lender is not None:
            return messages.Refusal('no leader is known')
        forwarded = msgspec.structs.replace(message, lender=sender)
        try:
            answer = await self._peers.call(
                leader, forwarded, FORWARD_TIMEOUT_MS
            )
        except protocol_errors.ProtocolError as error:
            logger.info(
                'share_request_not_forwarded', peer=leader, reason=str(error)
            )
            return messages.Refusal('the leader gave no answer')
        return answer

    async def close(self) -> None:
        """Cancel all running tasks."""
        await self._tasks.close()

    async def _ensure_registered(self, holder: ids.HostId) -> bool:
        """Commit a holder to the log before its first grant.

        Return False if this host no longer leads.
        """
        if holder in self._local_voter.state.lenders:
            return True
        if self._registration is None or self._registration.done():
            self._registration = self._tasks.start(
                self._register_holders(), fatal=False
            )
        await asyncio.shield(self._registration)
        return (
            holder in self._local_voter.state.lenders
            and self._local_voter.has_lease
        )

    async def _register_holders(self) -> None:
        """Commit the recently active holders, without expired ones."""
        await self._clock.sleep_ms(BATCH_DELAY_MS)
        now_ms = self._clock.mono_ms()
        active = {
            host
            for host, heard_ms in self._last_seen_ms.items()
            if now_ms - heard_ms < HOLDER_EXPIRY_MS
        }
        kept = set(self._local_voter.state.lenders)
        if now_ms - self._leader_since_ms > HOLDER_EXPIRY_MS:
            # Every active holder has sent a request in this term by now.
            kept &= active
        hosts = tuple(sorted(kept | active))
        try:
            await self._local_voter.propose(entries.SetShareHolders(hosts))
        except errors.NotLeaderError:
            logger.info('share_holders_not_committed', hosts=len(hosts))
            return
        logger.info('share_holders_committed', hosts=len(hosts))

    def begin_leadership(self, since_ms: int) -> None:
        """Reset all state if this is a new term of this host as leader."""
        if since_ms == self._leader_since_ms:
            return
        self._leader_since_ms = since_ms
        self._settled_early_ms = None
        self._last_seen_ms.clear()
        self._last_request.clear()
        self._teams.clear()
        logger.info('share_allocation_started', since_ms=since_ms)

    @property
    def unsettled_ms(self) -> int:
        """Return for how long unknown shares may be held, in milliseconds."""
        return max(self._settled_ms() - self._clock.mono_ms(), 0)

    def _settled_ms(self) -> int:
        """Return when all held shares are known.

        That is once every holder has reported, or all older leases have
        expired.
        """
        leases_ended_ms = self._leader_since_ms + LEASE_EXPIRY_MS
        if self._settled_early_ms is not None:
            return min(self._settled_early_ms, leases_ended_ms)
        if all(
            host in self._last_seen_ms
            for host in self._local_voter.state.lenders
        ):
            self._settled_early_ms = self._clock.mono_ms()
            return min(self._settled_early_ms, leases_ended_ms)
        return leases_ended_ms

    def grant(
        self,
        holder: ids.HostId,
        requests: list[limiting.ShareRequest],
    ) -> list[limiting.ShareGrant]:
        """Return the holder's new share for each request."""
        now_ms = self._clock.mono_ms()
        settled = not self.unsettled_ms
        granted = []
        for request in requests:
            allocation = self._teams.get(request.team)
            if allocation is None:
                # Unallocated tokens accumulate since all shares are known.
                allocation = TeamAllocation(min(now_ms, self._settled_ms()))
                self._teams[request.team] = allocation
            granted.append(allocation.grant(holder, request, settled, now_ms))
        return granted
