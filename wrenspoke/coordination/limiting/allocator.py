"""The control host that leads parts teams' limits among their lenders.

Shares of one team never add up to more than the whole, whatever is lost
on the way: a share counts at what its lender may still go by until the
lender says otherwise or its lease has ended. What no lender holds fills a
level of its own, from which a share that grows is given its part, so that
a lender that begins does not begin with nothing.

A leader that has just begun does not know what the one before had granted.
It goes by what lenders say that they hold, and parts no more than that
until every lender has said so, or every older lease has ended. Who may be a
lender stands in the replicated log. So a restart of all hosts, which then
hold nothing, is over for limits as soon as they have said so.
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

# Longer than a leader is missing after it is lost, and than two questions that
# were lost before.
SHARE_LEASE_MS = 4_000
# Clocks run apart, a hundredth at most; a lender counts from its question.
LEASE_EXPIRY_MS = int(SHARE_LEASE_MS * 1.02)
# A host that has asked for nothing for so long is a lender no more: after a
# change of leaders it would be waited for. Longer than a restart takes.
HOLDER_EXPIRY_MS = 15_000
# Lenders that come at once, as at a start, are noted by one entry.
BATCH_DELAY_MS = 20
# Two far ways and a commit among far regions.
FORWARD_TIMEOUT_MS = 600


@dataclasses.dataclass(slots=True)
class ShareLease:
    """Hold what one lender may go by, and what it could use."""

    share: float
    wanted: float
    until_ms: int


class TeamAllocation:
    """Part one team's limit."""

    def __init__(self, now_ms: int):
        self._leases: dict[ids.HostId, ShareLease] = {}
        # What lenders held when this host began to lead.
        self._reported = 0.0
        self._unallocated_ms = 0.0
        self._refilled_ms = now_ms

    @property
    def allocated(self) -> float:
        """Return what all lenders together may go by."""
        return sum(lease.share for lease in self._leases.values())

    def grant(
        self,
        holder: ids.HostId,
        request: limiting.ShareAsked,
        settled: bool,
        now_ms: int,
    ) -> limiting.ShareGranted:
        """Return what a lender may go by from now on."""
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
        # A lower share counts once its lender has heard of it.
        self._leases[holder] = ShareLease(
            max(share, held), request.wanted, now_ms + LEASE_EXPIRY_MS
        )
        return limiting.ShareGranted(request.team, share, level_ms)

    def _expire(self, now_ms: int) -> None:
        for holder, lease in list(self._leases.items()):
            if lease.until_ms <= now_ms:
                del self._leases[holder]

    def _reconcile(
        self,
        holder: ids.HostId,
        request: limiting.ShareAsked,
        settled: bool,
    ) -> float:
        """Return what a lender holds, by its own word and this host's."""
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
        self, free: float, request: limiting.ShareAsked, now_ms: int
    ) -> None:
        """Let what nobody holds grow, and take back what is returned."""
        grown_ms = free * (now_ms - self._refilled_ms)
        self._refilled_ms = now_ms
        self._unallocated_ms = min(
            self._unallocated_ms + grown_ms + max(request.returned_ms, 0.0),
            free * request.depth_ms,
        )

    def _fair_share(
        self, holder: ids.HostId, wanted: float, allocatable: float
    ) -> float:
        """Return what is wanted, or its part where all want too much."""
        total_wanted = wanted + sum(
            lease.wanted
            for other, lease in self._leases.items()
            if other != holder
        )
        if total_wanted <= allocatable:
            return wanted
        return allocatable * wanted / total_wanted


class LocalVoter(typing.Protocol):
    """A voter that knows whether it leads."""

    @property
    def has_lease(self) -> bool:
        """Tell whether no other host can be leader now."""

    @property
    def leader(self) -> ids.HostId | None:
        """Return who leads, as far as is known."""

    @property
    def leader_since_ms(self) -> int:
        """Return when the votes for this lead were asked for."""

    @property
    def state(self) -> replicated.ReplicatedState:
        """Return what is committed."""

    async def propose(self, entry: entries.Entry) -> replicated.ApplyResult:
        """Write an entry and wait until it is applied."""


class Allocator:
    """Part the limits of all teams, for as long as this host leads."""

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
        # When each host was last heard in this lead.
        self._last_seen_ms: dict[ids.HostId, int] = {}
        # The life and number of each host's last question in this lead.
        self._last_request: dict[ids.HostId, tuple[str, int]] = {}
        self._registration: asyncio.Task | None = None
        self._tasks = runtime.Tasks()
        peers.answers(limiting.AskShares)(self._handle_ask_shares)

    async def _handle_ask_shares(
        self, sender: ids.HostId, message: limiting.AskShares
    ) -> limiting.SharesGranted | messages.Refusal:
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
        return limiting.SharesGranted(granted, self.unsettled_ms)

    def _is_stale(
        self, holder: ids.HostId, message: limiting.AskShares
    ) -> bool:
        """Tell whether a lender has asked again since it asked this."""
        life, number = self._last_request.get(holder, ('', 0))
        if life == message.life and message.number <= number:
            return True
        self._last_request[holder] = (message.life, message.number)
        return False

    async def _forward(
        self, sender: ids.HostId, message: limiting.AskShares
    ) -> limiting.SharesGranted | messages.Refusal:
        """Ask the control host that leads, once."""
        leader = self._local_voter.leader
        if leader is None or message.lender is not None:
            return messages.Refusal('no leader is known')
        forwarded = msgspec.structs.replace(message, lender=sender)
        try:
            answer = await self._peers.call(
                leader, forwarded, FORWARD_TIMEOUT_MS
            )
        except protocol_errors.ProtocolError as error:
            logger.info('not_passed_on', peer=leader, reason=str(error))
            return messages.Refusal('the leader gave no answer')
        return answer

    async def close(self) -> None:
        """End what is under way."""
        await self._tasks.close()

    async def _ensure_registered(self, holder: ids.HostId) -> bool:
        """Have a lender noted in the log before it is granted anything."""
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
        """Write who has asked of late; who has not is left out."""
        await self._clock.sleep_ms(BATCH_DELAY_MS)
        now_ms = self._clock.mono_ms()
        active = {
            host
            for host, heard_ms in self._last_seen_ms.items()
            if now_ms - heard_ms < HOLDER_EXPIRY_MS
        }
        kept = set(self._local_voter.state.lenders)
        if now_ms - self._leader_since_ms > HOLDER_EXPIRY_MS:
            # Those have had the time to be heard in this lead.
            kept &= active
        hosts = tuple(sorted(kept | active))
        try:
            await self._local_voter.propose(entries.SetShareHolders(hosts))
        except errors.NotLeaderError:
            logger.info('lenders_not_noted', hosts=len(hosts))
            return
        logger.info('lenders_noted', hosts=len(hosts))

    def begin_leadership(self, since_ms: int) -> None:
        """Begin anew, if this lead is another than the one before."""
        if since_ms == self._leader_since_ms:
            return
        self._leader_since_ms = since_ms
        self._settled_early_ms = None
        self._last_seen_ms.clear()
        self._last_request.clear()
        self._teams.clear()
        logger.info('limits_parted', since_ms=since_ms)

    @property
    def unsettled_ms(self) -> int:
        """Return for how long shares may be held that are not known of."""
        return max(self._settled_ms() - self._clock.mono_ms(), 0)

    def _settled_ms(self) -> int:
        """Return when all that lenders hold is known.

        That is once every lender was heard, or older leases have ended.
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
        requests: list[limiting.ShareAsked],
    ) -> list[limiting.ShareGranted]:
        """Return what a lender may go by from now on, of each team."""
        now_ms = self._clock.mono_ms()
        settled = not self.unsettled_ms
        granted = []
        for request in requests:
            allocation = self._teams.get(request.team)
            if allocation is None:
                # What nobody held has grown since that was known.
                allocation = TeamAllocation(min(now_ms, self._settled_ms()))
                self._teams[request.team] = allocation
            granted.append(allocation.grant(holder, request, settled, now_ms))
        return granted
