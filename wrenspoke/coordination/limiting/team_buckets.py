"""Token buckets from which an entry host admits calls of its region's teams.

Rendezvous hashing selects one owner in a region for each team's bucket. The
owner requests a share of the team's limit that follows the demand in its
region, from a nearby control host, which forwards the request to the leader.
It lowers its share on its own when the demand falls, and admits calls from a
token bucket that refills at the rate of the share.
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import math

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.limiting import ahead_shares
from wrenspoke.coordination.limiting import allocator
from wrenspoke.coordination.limiting import bounds
from wrenspoke.coordination.limiting import renewal_progress
from wrenspoke.coordination.limiting import token_bucket
from wrenspoke.coordination.membership import discovery_client
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import limiting
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import teams

logger = structlog.get_logger(__name__)

MS_PER_S = 1_000
# Ten renewals fit into a lease, so that several requests may be lost before it
# expires.
RENEW_INTERVAL_MS = 400
# Used until a new leader has received a report from this host.
NEW_LEADER_INTERVAL_MS = 100
# A new leader usually has the reports of all holders by then.
MAX_SETTLING_WAIT_MS = 1_000
# Used while no share changes; three renewals fit into a lease.
STABLE_INTERVAL_MS = 1_200
# Several round trips to a distant region.
CALL_TIMEOUT_MS = 800
# The longest that a call waits for tokens or for a larger share: two round
# trips to a distant region, of up to 160 ms each. A call that needs longer is
# refused.
MAX_WAIT_MS = 350
# Requested share over demand, so that rising demand is mostly covered.
HEADROOM = 1.4
# Weight of the rise of demand between the averages, while the unallocated part
# of the limit is ample.
TREND_WEIGHT = 0.5
AMPLE_UNALLOCATED = 0.2
# Demand is the higher of a fast and a slow moving average, so that a share
# grows quickly and shrinks slowly.
FAST_DECAY_MS = 1_500
SLOW_DECAY_MS = 4_000
# A share is changed once the desired share is lower or higher by a tenth.
DECREASE_THRESHOLD = 0.9
INCREASE_THRESHOLD = 1.1
# A bucket with a higher level than this counts as unused.
NEARLY_FULL_SHARE = 0.9
# The share covers the largest recent call too, as the next call of a team with
# few calls would otherwise wait for a grant from the leader, which may be in a
# distant region.
LARGEST_CALL_DECAY_MS = 10_000
LARGEST_CALL_MARGIN = 1.2
AMPLE_LARGEST_CALL_MARGIN = 1.7
# A large call must not take most of the limit from other regions.
MAX_LARGEST_CALL_SHARE = 0.4
# A share is renewed ahead if the demand would use up the level within this
# many renewals.
RENEWALS_AHEAD = 3.0
# What no host holds may have changed since a grant that is older than this.
ROOM_EXPIRY_MS = 1_200
# Demand below this part of the limit counts as none.
MIN_DEMAND = 1e-4


class Demand:
    """Tracks the demand for a team's limit, as a part of the limit."""

    def __init__(self, now_ms: int):
        self._fast_mean = 0.0
        self._slow_mean = 0.0
        self._largest_ms = 0.0
        self._last_decay_ms = now_ms

    def record(self, amount_ms: float, now_ms: int) -> None:
        """Record a requested amount, in milliseconds of the limit's rate."""
        self._decay(now_ms)
        self._fast_mean += amount_ms / FAST_DECAY_MS
        self._slow_mean += amount_ms / SLOW_DECAY_MS
        self._largest_ms = max(self._largest_ms, amount_ms)

    def current(self, now_ms: int) -> float:
        """Return the current demand; 1 is the whole limit."""
        self._decay(now_ms)
        return max(self._fast_mean, self._slow_mean)

    def desired_share(
        self, depth_ms: float, now_ms: int, unused: bool, ample: bool = False
    ) -> float:
        """Return the share that covers the demand.

        ``unused`` says that the bucket is nearly full. Only the fast average
        counts then, so that the share is released soon after a peak. While
        the unallocated part of the limit is ``ample``, the share also covers
        a rise of the demand.
        """
        highest = self.current(now_ms)
        flow = HEADROOM * (self._fast_mean if unused else highest)
        margin = LARGEST_CALL_MARGIN
        if ample:
            flow += TREND_WEIGHT * max(self._fast_mean - self._slow_mean, 0.0)
            margin = AMPLE_LARGEST_CALL_MARGIN
        largest = margin * self._largest_ms / max(depth_ms, 1.0)
        wanted = max(flow, min(largest, MAX_LARGEST_CALL_SHARE))
        return 0.0 if wanted < MIN_DEMAND else wanted

    def _decay(self, now_ms: int) -> None:
        passed_ms = now_ms - self._last_decay_ms
        self._last_decay_ms = now_ms
        self._fast_mean *= math.exp(-passed_ms / FAST_DECAY_MS)
        self._slow_mean *= math.exp(-passed_ms / SLOW_DECAY_MS)
        self._largest_ms *= math.exp(-passed_ms / LARGEST_CALL_DECAY_MS)


@dataclasses.dataclass(slots=True, kw_only=True)
class TeamBucket(token_bucket.TokenBucket):
    """Token bucket of this host's share of one team's limit.

    ``returned_ms`` are tokens to be returned to the leader, and
    ``under_granted`` says that the last grant was less than requested.
    ``unallocated`` is the part of the limit that no host held at
    ``granted_ms``, the time of the last grant, ``unallocated_ms`` its tokens.
    ``ahead_share`` is held in advance while others hold little.
    """

    demand: Demand
    returned_ms: float = 0.0
    under_granted: bool = False
    granted_ms: int | None = None
    unallocated: float | None = None
    unallocated_ms: float = 0.0
    ahead_share: float = 0.0

    def has_no_room(self, amount_ms: float, now_ms: int) -> bool:
        """Return whether the whole team is known to be over its limit.

        That is, an amount is not available soon even with all tokens that no
        host holds.
        """
        if self.under_granted:
            return True
        if self.granted_ms is None or self.unallocated is None:
            return False
        age_ms = now_ms - self.granted_ms
        if age_ms > ROOM_EXPIRY_MS:
            return False
        grown_ms = self.unallocated * (age_ms + MAX_WAIT_MS)
        grown_ms += self.share * MAX_WAIT_MS
        available_ms = self.level_ms + self.unallocated_ms + grown_ms
        return amount_ms > available_ms

    @property
    def is_nearly_full(self) -> bool:
        """Return whether the share is larger than needed."""
        return (
            self.share > 0
            and self.level_ms >= NEARLY_FULL_SHARE * self.capacity_ms
        )

    def desired_share(self, now_ms: int) -> float:
        """Return the share that covers the demand."""
        wanted = self.demand.desired_share(
            self.depth_ms,
            now_ms,
            self.is_nearly_full,
            self.unallocated is not None
            and self.unallocated >= AMPLE_UNALLOCATED,
        )
        if self._may_hold_ahead:
            return max(wanted, self.ahead_share)
        return wanted

    @property
    def _may_hold_ahead(self) -> bool:
        if self.unallocated is None:
            return True
        held_by_others = 1.0 - self.unallocated - self.share
        return held_by_others <= ahead_shares.MAX_HELD_BY_OTHERS

    def apply_grant(
        self,
        granted: limiting.ShareGrant,
        wanted: float,
        asked_ms: int,
        now_ms: int,
    ) -> None:
        """Apply a grant; its lease starts when it was requested."""
        self.refill(now_ms)
        self.under_granted = granted.share < wanted
        self.granted_ms = now_ms
        self.unallocated = granted.unallocated
        self.unallocated_ms = granted.unallocated_ms
        if granted.share < self.share:
            self.lower_share(granted.share)
        else:
            self.share = granted.share
            self.level_ms += granted.level_ms
        self.until_ms = asked_ms + allocator.SHARE_LEASE_MS

    def lower_share(self, share: float) -> None:
        """Lower the share; the released part of the tokens is returned."""
        if share >= self.share:
            return
        if self.level_ms > 0:
            rest_ms = self.level_ms * share / self.share
            self.returned_ms += self.level_ms - rest_ms
            self.level_ms = rest_ms
        self.share = share


class TeamBuckets:
    """Admits calls of teams within this host's shares of their limits."""

    def __init__(
        self,
        limit_of: collections.abc.Callable[
            [ids.TeamId], teams.TeamLimit | None
        ],
        lead: collections.abc.Callable[[], discovery_client.LeaderInfo | None],
        overshoot: bounds.OvershootBounds,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
        ahead: ahead_shares.AheadShares | None = None,
    ):
        self._ahead = ahead
        self._limit_of = limit_of
        self._lead = lead
        self._overshoot = overshoot
        self._peers = peers
        self._clock = clock
        self._life = ids.new_random_id()
        self._numbers = itertools.count(1)
        self._buckets: dict[ids.TeamId, TeamBucket] = {}
        self._renew_now = asyncio.Event()
        self._progress = renewal_progress.RenewalProgress(clock)
        self._last_renewal_ms = 0
        # The leader that has received a report of the shares held here.
        self._reported_lead: discovery_client.LeaderInfo | None = None
        # Until when other hosts may hold shares unknown to the leader.
        self._settled_ms = 0
        self._tasks = runtime.Tasks()
        peers.handles(limiting.AskAmount)(self._handle_ask_amount)

    def start(self) -> None:
        """Start to request shares."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel all running tasks."""
        await self._tasks.close()

    async def _handle_ask_amount(
        self, _sender: ids.HostId, message: limiting.AskAmount
    ) -> limiting.AskAmountReply:
        return await self.take(message.team, message.amount)

    async def take(
        self, team: ids.TeamId, amount: float
    ) -> limiting.AskAmountReply:
        """Admit a call that needs an amount of its team's limit.

        The answer says whether it is admitted, and how long it has to wait.
        """
        limit = self._limit_of(team)
        if limit is None:
            return limiting.AskAmountReply(True, 0)
        amount_ms = amount / self._overshoot.rate_per_s(limit) * MS_PER_S
        bucket = self._team_bucket(team, limit)
        bucket.demand.record(amount_ms, self._clock.mono_ms())
        granted = self._try_take(bucket, amount_ms)
        if granted.granted:
            self._renew_ahead(bucket)
        elif not bucket.under_granted:
            granted = await self._take_after_renewal(bucket, amount_ms)
        if not granted.granted:
            logger.info(
                'over_limit',
                team=team,
                amount=round(amount),
                share=round(bucket.share, 3),
                level_ms=round(bucket.level_ms),
                wait_ms=granted.wait_ms,
            )
        return granted

    def _renew_ahead(self, bucket: TeamBucket) -> None:
        """Renew the shares if a bucket would be empty before it is renewed."""
        now_ms = self._clock.mono_ms()
        if bucket.under_granted or self._progress.is_running:
            return
        net = bucket.demand.current(now_ms) - bucket.share
        ahead_ms = RENEWALS_AHEAD * self._progress.remaining_ms()
        if bucket.level_ms >= net * ahead_ms:
            return
        if bucket.desired_share(now_ms) > INCREASE_THRESHOLD * bucket.share:
            self._renew_now.set()

    async def _take_after_renewal(
        self, bucket: TeamBucket, amount_ms: float
    ) -> limiting.AskAmountReply:
        """Renew the shares, and admit a call for which that made room.

        A call waits only for renewals that can make room for it, and that
        are expected to end within MAX_WAIT_MS; at most for one that started
        after the call.
        """
        end_ms = self._clock.mono_ms() + MAX_WAIT_MS
        last_number = self._progress.started_count + 1
        self._renew_now.set()
        while self._progress.ended_count < last_number:
            now_ms = self._clock.mono_ms()
            if self._progress.is_failing:
                break
            if bucket.has_no_room(amount_ms, now_ms):
                break
            if self._progress.remaining_ms() > end_ms - now_ms:
                break
            if not await self._progress.wait_for_end(end_ms - now_ms):
                break
            granted = self._try_take(bucket, amount_ms)
            if granted.granted:
                return granted
        return self._retry_after_renewal(bucket, amount_ms)

    def _retry_after_renewal(
        self, bucket: TeamBucket, amount_ms: float
    ) -> limiting.AskAmountReply:
        """Refuse a call, until a renewal may have made room for it."""
        refused = self._try_take(bucket, amount_ms)
        now_ms = self._clock.mono_ms()
        if (
            refused.granted
            or self._progress.is_failing
            or bucket.has_no_room(amount_ms, now_ms)
        ):
            return refused
        renewed_ms = RENEW_INTERVAL_MS + self._progress.remaining_ms()
        return limiting.AskAmountReply(
            False, math.ceil(min(refused.wait_ms, renewed_ms))
        )

    def _team_bucket(
        self, team: ids.TeamId, limit: teams.TeamLimit
    ) -> TeamBucket:
        now_ms = self._clock.mono_ms()
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = TeamBucket(
                now_ms, demand=Demand(now_ms)
            )
        bucket.depth_ms = self._overshoot.depth_ms(limit)
        return bucket

    def _try_take(
        self, bucket: TeamBucket, amount_ms: float
    ) -> limiting.AskAmountReply:
        """Take an amount if it is available now, or will be soon.

        The level may become negative, so that later calls wait longer. While
        a team exceeds its limit no call waits, as waiting would delay all
        later calls without admitting more of them.
        """
        bucket.refill(self._clock.mono_ms())
        wait_ms = bucket.wait_ms(amount_ms)
        if wait_ms is None:
            settled_ms = self._settled_ms - self._clock.mono_ms()
            wait_ms = min(
                max(settled_ms, RENEW_INTERVAL_MS), MAX_SETTLING_WAIT_MS
            )
            return limiting.AskAmountReply(False, wait_ms)
        if not wait_ms or (
            wait_ms <= MAX_WAIT_MS and not bucket.under_granted
        ):
            bucket.level_ms -= amount_ms
            return limiting.AskAmountReply(True, math.ceil(wait_ms))
        return limiting.AskAmountReply(False, math.ceil(wait_ms))

    async def _run(self) -> None:
        while True:
            reported = self._lead() == self._reported_lead
            try:
                async with clocks.timeout_ms(
                    RENEW_INTERVAL_MS if reported else NEW_LEADER_INTERVAL_MS
                ):
                    await self._renew_now.wait()
            except TimeoutError:
                pass
            urgent = self._renew_now.is_set()
            self._renew_now.clear()
            self._progress.begin()
            # Calls that wait run after the grants were applied.
            self._progress.end(await self._renew_shares(urgent))

    async def _renew_shares(self, urgent: bool) -> renewal_progress.Outcome:
        """Request shares from the leader for all teams with a bucket here.

        Requests are less frequent while no share changes. A new leader gets a
        report even if no share is held, as it waits for every holder.
        """
        asked_ms = self._clock.mono_ms()
        lead = self._lead()
        if lead is None:
            return renewal_progress.Outcome.FAILED
        self._update_ahead_shares()
        reported = lead == self._reported_lead
        is_recent = (
            not urgent
            and asked_ms - self._last_renewal_ms < STABLE_INTERVAL_MS
        )
        if reported and is_recent and not self._needs_renewal(asked_ms):
            return renewal_progress.Outcome.UNNEEDED
        requests = self._share_requests(asked_ms)
        if reported and not requests:
            return renewal_progress.Outcome.UNNEEDED
        answer = await self._ask_shares(lead, requests)
        if answer is None:
            return renewal_progress.Outcome.FAILED
        self._reported_lead = lead
        self._last_renewal_ms = asked_ms
        self._settled_ms = self._clock.mono_ms() + answer.unsettled_ms
        wanted = {asked.team: asked.wanted for asked in requests}
        for granted in answer.granted:
            self._apply_grant(granted, wanted[granted.team], asked_ms)
        return renewal_progress.Outcome.ANSWERED

    async def _ask_shares(
        self,
        lead: discovery_client.LeaderInfo,
        requests: list[limiting.ShareRequest],
    ) -> limiting.AskSharesReply | None:
        """Return the leader's answer, None if there was none."""
        try:
            answer = await self._peers.call(
                lead.via_host,
                limiting.AskShares(requests, self._life, next(self._numbers)),
                CALL_TIMEOUT_MS,
            )
        except protocol_errors.ProtocolError as error:
            logger.info(
                'share_request_failed', peer=lead.via_host, reason=str(error)
            )
            return None
        if not isinstance(answer, limiting.AskSharesReply):
            logger.info('share_request_refused', peer=lead.via_host)
            return None
        return answer

    def _update_ahead_shares(self) -> None:
        """Mark the buckets that hold a share in advance."""
        if self._ahead is None:
            return
        owned = set(self._ahead.owned_teams())
        for team, bucket in self._buckets.items():
            bucket.ahead_share = self._ahead.share if team in owned else 0.0
        for team in owned - set(self._buckets):
            limit = self._limit_of(team)
            if limit is not None:
                bucket = self._team_bucket(team, limit)
                bucket.ahead_share = self._ahead.share

    def _needs_renewal(self, now_ms: int) -> bool:
        """Return whether any share differs enough from the desired one."""
        for bucket in self._buckets.values():
            wanted = bucket.desired_share(now_ms)
            if wanted < DECREASE_THRESHOLD * bucket.share:
                return True
            if wanted > INCREASE_THRESHOLD * bucket.share:
                return True
        return False

    def _share_requests(self, now_ms: int) -> list[limiting.ShareRequest]:
        """Return the shares to request; lower those that are too large."""
        requests = []
        for team, bucket in list(self._buckets.items()):
            limit = self._limit_of(team)
            if limit is None:
                del self._buckets[team]
                continue
            bucket.depth_ms = self._overshoot.depth_ms(limit)
            bucket.refill(now_ms)
            wanted = bucket.desired_share(now_ms)
            if not wanted and not bucket.share and not bucket.ahead_share:
                del self._buckets[team]
                continue
            if wanted < DECREASE_THRESHOLD * bucket.share:
                bucket.lower_share(wanted)
            requests.append(
                limiting.ShareRequest(
                    team,
                    bucket.share,
                    wanted,
                    bucket.returned_ms,
                    bucket.depth_ms,
                )
            )
            bucket.returned_ms = 0.0
        return requests

    def _apply_grant(
        self, granted: limiting.ShareGrant, wanted: float, asked_ms: int
    ) -> None:
        bucket = self._buckets.get(granted.team)
        if bucket is None:
            return
        bucket.apply_grant(granted, wanted, asked_ms, self._clock.mono_ms())
