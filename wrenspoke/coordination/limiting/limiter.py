"""Admit calls within their teams' limits, on the host that receives them.

The tokens of a call are taken at the owner of its team's bucket in this
region before any work is done for it. They are refunded once if the call ran
nothing.
"""

import dataclasses

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import allocator
from wrenspoke.coordination.limiting import bounds
from wrenspoke.coordination.limiting import bucket_owners
from wrenspoke.coordination.limiting import team_buckets
from wrenspoke import ids
from wrenspoke.protocol import limiting
from wrenspoke.protocol import peers as peer_calls
from wrenspoke.state import teams

# Added to the owner's own wait: a round trip within the region, a busy host.
ANSWER_MARGIN_MS = 150
# An unresponsive owner is skipped until its share leases have expired, after
# which the next host in order can hold the shares.
OWNER_RETRY_MS = allocator.SHARE_LEASE_MS
# Owners that are tried for one call before this host's own bucket.
MAX_OWNERS_TRIED = 2


class OverLimitError(errors.CoordinationError):
    """A team's limit has too few tokens; retry after ``wait_ms``."""

    def __init__(self, team: ids.TeamId, wait_ms: int):
        super().__init__(f'team {team} is over its limit')
        self.team = team
        self.wait_ms = wait_ms


@dataclasses.dataclass(slots=True)
class Reservation:
    """Tokens of a team's limit that were taken for a call."""

    team: ids.TeamId
    amount: float
    taken_ms: int
    refunded: bool = False


class Limiter:
    """Takes the tokens of calls from their teams' limits, and refunds them."""

    def __init__(
        self,
        host: ids.HostId,
        order: bucket_owners.HostOrder,
        buckets: team_buckets.TeamBuckets,
        overshoot: bounds.OvershootBounds,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._host = host
        self._owners = bucket_owners.BucketOwners(
            order, OWNER_RETRY_MS, peers, clock
        )
        self._buckets = buckets
        self._overshoot = overshoot
        self._clock = clock
        self._refunds: dict[ids.TeamId, list[Reservation]] = {}

    async def take(self, team: teams.Team, tokens: int) -> Reservation | None:
        """Take the tokens of a call; return None if its team has no limit.

        :raises OverLimitError: too few tokens are available now
        """
        if team.limit is None:
            return None
        amount = team.limit.amount(tokens)
        now_ms = self._clock.mono_ms()
        if self._take_refund(team, amount, now_ms):
            return Reservation(team.team, amount, now_ms)
        answer = await self._take_from_owner(team.team, amount)
        if not answer.granted:
            raise OverLimitError(team.team, answer.wait_ms)
        if answer.wait_ms:
            await self._clock.sleep_ms(answer.wait_ms)
        return Reservation(team.team, amount, self._clock.mono_ms())

    async def _take_from_owner(
        self, team: ids.TeamId, amount: float
    ) -> limiting.AskAmountReply:
        message = limiting.AskAmount(team, amount)
        timeout_ms = team_buckets.MAX_WAIT_MS + ANSWER_MARGIN_MS
        for host in self._owners.first_responsive(team, MAX_OWNERS_TRIED):
            if host == self._host:
                break
            answer = await self._owners.call(host, message, timeout_ms)
            if isinstance(answer, limiting.AskAmountReply):
                return answer
        return await self._buckets.take(team, amount)

    def _take_refund(
        self, team: teams.Team, amount: float, now_ms: int
    ) -> bool:
        """Use up a recent refund that covers an amount; return if one did."""
        usable_ms = self._overshoot.refund_ttl_ms(team.limit)
        kept = [
            reservation
            for reservation in self._refunds.get(team.team, [])
            if now_ms - reservation.taken_ms < usable_ms
        ]
        self._refunds[team.team] = kept
        for taken in kept:
            if taken.amount >= amount:
                kept.remove(taken)
                return True
        return False

    def refund(self, reservation: Reservation | None) -> None:
        """Refund the tokens of a call that ran nothing; at most once."""
        if reservation is None or reservation.refunded:
            return
        reservation.refunded = True
        self._refunds.setdefault(reservation.team, []).append(reservation)
