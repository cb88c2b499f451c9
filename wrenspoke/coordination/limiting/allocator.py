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
LEASE_KEPT_MS = int(SHARE_LEASE_MS * 1.02)
# A host that has asked for nothing for so long is a lender no more: after a
# change of leaders it would be waited for. Longer than a restart takes.
FORGOTTEN_AFTER_MS = 15_000
# Lenders that come at once, as at a start, are noted by one entry.
GATHER_MS = 20
# Two far ways and a commit among far regions.
PASS_TIMEOUT_MS = 600


@dataclasses.dataclass(slots=True)
class Part:
    """Hold what one lender may go by, and what it could use."""

    share: float
    wanted: float
    until_ms: int


class TeamParts:
    """Part one team's limit."""

    def __init__(self, now_ms: int):
        self._parts: dict[ids.HostId, Part] = {}
        # What lenders held when this host began to lead.
        self._told = 0.0
        self._level_ms = 0.0
        self._filled_ms = now_ms

    @property
    def held(self) -> float:
        """Return what all lenders together may go by."""
        return sum(part.share for part in self._parts.values())

    def grant(
        self,
        lender: ids.HostId,
        asked: limiting.ShareAsked,
        settled: bool,
        now_ms: int,
    ) -> limiting.ShareGranted:
        """Return what a lender may go by from now on."""
        self._expire(now_ms)
        held = self._held_by(lender, asked, settled)
        whole = 1.0 if settled else min(self._told, 1.0)
        free = max(whole - self.held, 0.0)
        self._fill(free, asked, now_ms)
        share = min(self._fair(lender, asked.wanted, whole), held + free)
        level_ms = 0.0
        if share > held:
            level_ms = self._level_ms * (share - held) / free
            self._level_ms -= level_ms
        # A lower share counts once its lender has heard of it.
        self._parts[lender] = Part(
            max(share, held), asked.wanted, now_ms + LEASE_KEPT_MS
        )
        return limiting.ShareGranted(asked.team, share, level_ms)

    def _expire(self, now_ms: int) -> None:
        for lender, part in list(self._parts.items()):
            if part.until_ms <= now_ms:
                del self._parts[lender]

    def _held_by(
        self,
        lender: ids.HostId,
        asked: limiting.ShareAsked,
        settled: bool,
    ) -> float:
        """Return what a lender holds, by its own word and this host's."""
        part = self._parts.get(lender)
        if part is not None:
            held = min(asked.held, part.share)
            part.share = held
            return held
        if settled or asked.held <= 0:
            return 0.0
        self._told += asked.held
        self._parts[lender] = Part(asked.held, asked.wanted, 0)
        return asked.held

    def _fill(
        self, free: float, asked: limiting.ShareAsked, now_ms: int
    ) -> None:
        """Let what nobody holds grow, and take back what is returned."""
        grown_ms = free * (now_ms - self._filled_ms)
        self._filled_ms = now_ms
        self._level_ms = min(
            self._level_ms + grown_ms + max(asked.returned_ms, 0.0),
            free * asked.depth_ms,
        )

    def _fair(self, lender: ids.HostId, wanted: float, whole: float) -> float:
        """Return what is wanted, or its part where all want too much."""
        all_wanted = wanted + sum(
            part.wanted
            for other, part in self._parts.items()
            if other != lender
        )
        if all_wanted <= whole:
            return wanted
        return whole * wanted / all_wanted


class Elected(typing.Protocol):
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

    async def propose(self, entry: entries.Entry) -> replicated.Applied:
        """Write an entry and wait until it is applied."""


class Allocator:
    """Part the limits of all teams, for as long as this host leads."""

    def __init__(
        self,
        elected: Elected,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._elected = elected
        self._peers = peers
        self._clock = clock
        self._teams: dict[ids.TeamId, TeamParts] = {}
        self._since_ms: int | None = None
        self._settled_early_ms: int | None = None
        # When each host was last heard in this lead.
        self._heard_ms: dict[ids.HostId, int] = {}
        # The life and number of each host's last question in this lead.
        self._asked: dict[ids.HostId, tuple[str, int]] = {}
        self._noting: asyncio.Task | None = None
        self._tasks = runtime.Tasks()
        peers.answers(limiting.AskShares)(self._answer)

    async def _answer(
        self, sender: ids.HostId, message: limiting.AskShares
    ) -> limiting.SharesGranted | messages.Refusal:
        if not self._elected.has_lease:
            return await self._pass_on(sender, message)
        lender = message.lender or sender
        self.lead_since(self._elected.leader_since_ms)
        if self._is_late(lender, message):
            return messages.Refusal('a later question was answered')
        self._heard_ms[lender] = self._clock.mono_ms()
        if message.shares and not await self._is_noted(lender):
            return messages.Refusal('not noted as a lender')
        granted = self.grant(lender, message.shares)
        return limiting.SharesGranted(granted, self.unsettled_ms)

    def _is_late(
        self, lender: ids.HostId, message: limiting.AskShares
    ) -> bool:
        """Tell whether a lender has asked again since it asked this."""
        life, number = self._asked.get(lender, ('', 0))
        if life == message.life and message.number <= number:
            return True
        self._asked[lender] = (message.life, message.number)
        return False

    async def _pass_on(
        self, sender: ids.HostId, message: limiting.AskShares
    ) -> limiting.SharesGranted | messages.Refusal:
        """Ask the control host that leads, once."""
        leader = self._elected.leader
        if leader is None or message.lender is not None:
            return messages.Refusal('no leader is known')
        passed = msgspec.structs.replace(message, lender=sender)
        try:
            answer = await self._peers.call(leader, passed, PASS_TIMEOUT_MS)
        except protocol_errors.ProtocolError as error:
            logger.info('not_passed_on', peer=leader, reason=str(error))
            return messages.Refusal('the leader gave no answer')
        return answer

    async def close(self) -> None:
        """End what is under way."""
        await self._tasks.close()

    async def _is_noted(self, lender: ids.HostId) -> bool:
        """Have a lender noted in the log before it is granted anything."""
        if lender in self._elected.state.lenders:
            return True
        if self._noting is None or self._noting.done():
            self._noting = self._tasks.start(self._note(), fatal=False)
        await asyncio.shield(self._noting)
        return (
            lender in self._elected.state.lenders and self._elected.has_lease
        )

    async def _note(self) -> None:
        """Write who has asked of late; who has not is left out."""
        await self._clock.sleep_ms(GATHER_MS)
        now_ms = self._clock.mono_ms()
        lately = {
            host
            for host, heard_ms in self._heard_ms.items()
            if now_ms - heard_ms < FORGOTTEN_AFTER_MS
        }
        kept = set(self._elected.state.lenders)
        if now_ms - self._since_ms > FORGOTTEN_AFTER_MS:
            # Those have had the time to be heard in this lead.
            kept &= lately
        hosts = tuple(sorted(kept | lately))
        try:
            await self._elected.propose(entries.SetLenders(hosts))
        except errors.NotLeaderError:
            logger.info('lenders_not_noted', hosts=len(hosts))
            return
        logger.info('lenders_noted', hosts=len(hosts))

    def lead_since(self, since_ms: int) -> None:
        """Begin anew, if this lead is another than the one before."""
        if since_ms == self._since_ms:
            return
        self._since_ms = since_ms
        self._settled_early_ms = None
        self._heard_ms.clear()
        self._asked.clear()
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
        ended_ms = self._since_ms + LEASE_KEPT_MS
        if self._settled_early_ms is not None:
            return min(self._settled_early_ms, ended_ms)
        if all(host in self._heard_ms for host in self._elected.state.lenders):
            self._settled_early_ms = self._clock.mono_ms()
            return min(self._settled_early_ms, ended_ms)
        return ended_ms

    def grant(
        self,
        lender: ids.HostId,
        shares: list[limiting.ShareAsked],
    ) -> list[limiting.ShareGranted]:
        """Return what a lender may go by from now on, of each team."""
        now_ms = self._clock.mono_ms()
        settled = not self.unsettled_ms
        granted = []
        for asked in shares:
            parts = self._teams.get(asked.team)
            if parts is None:
                # What nobody held has grown since that was known.
                parts = TeamParts(min(now_ms, self._settled_ms()))
                self._teams[asked.team] = parts
            granted.append(parts.grant(lender, asked, settled, now_ms))
        return granted
