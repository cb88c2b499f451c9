"""Grant permits from an endpoint's token bucket, on one host of its region.

Endpoints accept requests from hosts of their own region only. One host, the
owner, holds the bucket of each endpoint, so that a single level bounds what
all hosts send. Tokens are not leased in advance, as an overloaded endpoint
accepts less than one request per second from each host.

Responses may arrive out of order. A response is known to be newer than
another if its request got its permit after the other response arrived here.
"""

import asyncio
import collections.abc
import dataclasses
import math

from wrenspoke import clock as clocks
from wrenspoke.coordination.limiting import advertised_limits
from wrenspoke.coordination.limiting import bucket_owners
from wrenspoke.coordination.limiting import token_bucket
from wrenspoke import ids
from wrenspoke.protocol import limiting
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime

MS_PER_S = 1_000
# An endpoint with a lower limit is probed at this rate, as only a response
# shows that the limit has changed.
MIN_RATE_PER_S = 0.25
# Capacity beyond the tokens of one request, as requests do not arrive as
# evenly as the bucket refills.
BURST_MS = 250
# Part of the limit that the next host in order grants while the owner does not
# respond to some hosts: others may still reach it. The next host grants the
# whole limit once the owner has left the roster.
FALLBACK_SHARE = 0.4
# For this long after hosts have left the roster, an owner grants the part of
# the limit that matches the hosts that remain: the other side of a partition
# may have an owner too.
PARTITION_GUARD_MS = 60_000
# A refused host retries after this time at the latest, however low the limit.
MAX_WAIT_MS = 1_000
# Tokens are reserved for a refused call of a more urgent rank, unless it has
# not been retried for this long.
RESERVED_MS = 1_000
# Owned limits are gossiped again for hosts that started, resumed or missed an
# update.
GOSSIP_INTERVAL_MS = 1_000
# Changed limits are gossiped for this long, as messages may be lost.
CHANGE_GOSSIP_MS = 10_000
BATCH_DELAY_MS = 4

Gossip = collections.abc.Callable[
    [list[limiting.EndpointLimit]], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(slots=True)
class _EndpointBucket:
    """The token bucket of one endpoint.

    ``last_granted`` is the number of the last permit, ``last_advertised`` that
    of the last permit when the endpoint last advertised a limit, and
    ``last_refused_ms`` when a call of each rank was last refused.
    """

    life: limiting.EndpointInstance
    tokens: token_bucket.TokenBucket
    last_granted: int = 0
    last_advertised: int = 0
    last_refused_ms: dict[int, int] = dataclasses.field(default_factory=dict)

    def is_reserved(self, rank: int, now_ms: int) -> bool:
        """Return whether a call of a more urgent rank was refused recently."""
        return any(
            other < rank and now_ms - refusal_ms < RESERVED_MS
            for other, refusal_ms in self.last_refused_ms.items()
        )


class EndpointBuckets:
    """Grants permits, and decides which advertised limit is the newest."""

    def __init__(
        self,
        host: ids.HostId,
        owners: bucket_owners.BucketOwners,
        advertised: advertised_limits.AdvertisedLimits,
        gossip: Gossip,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._host = host
        self._owners = owners
        self._advertised = advertised
        self._gossip = gossip
        self._peers = peers
        self._clock = clock
        self._life = ids.new_random_id()
        self._buckets: dict[ids.EndpointId, _EndpointBucket] = {}
        # The largest recent number of hosts on the roster, and when it was.
        self._max_hosts = 0
        self._max_hosts_ms = clock.mono_ms()
        # Limits that changed, and until when they are gossiped.
        self._changed: dict[limiting.EndpointInstance, int] = {}
        self._has_changes = asyncio.Event()
        self._tasks = runtime.Tasks()
        peers.handles(limiting.AskSend)(self._handle_ask_send)
        peers.handles(limiting.ReportLimit)(self._handle_limit_heard)

    def start(self) -> None:
        """Start to gossip limits within the region."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel all running tasks."""
        await self._tasks.close()

    # Permits.

    async def _handle_ask_send(
        self, _sender: ids.HostId, message: limiting.AskSend
    ) -> limiting.AskSendReply:
        return self.take(message.known, message.rank)

    def take(
        self, known: limiting.EndpointLimit, rank: int
    ) -> limiting.AskSendReply:
        """Return a permit for a request, or when to ask again."""
        self._merge(known)
        limit = self._advertised.limit_of(known.life)
        if limit.rate_per_s is None:
            return limiting.AskSendReply(limit)
        bucket = self._bucket_of(limit)
        wait_ms = self._take_or_wait_ms(
            bucket, rank, _request_cost_ms(limit.rate_per_s)
        )
        if wait_ms:
            return limiting.AskSendReply(limit, wait_ms=wait_ms)
        bucket.last_granted += 1
        grant = limiting.GrantId(self._host, self._life, bucket.last_granted)
        return limiting.AskSendReply(limit, grant)

    def _take_or_wait_ms(
        self, bucket: _EndpointBucket, rank: int, amount_ms: float
    ) -> int:
        """Take one request's tokens; return 0, or the wait in milliseconds."""
        tokens = bucket.tokens
        now_ms = self._clock.mono_ms()
        deficit_ms = tokens.wait_ms(amount_ms)
        if not deficit_ms and bucket.is_reserved(rank, now_ms):
            deficit_ms = tokens.wait_ms(tokens.capacity_ms)
        if not deficit_ms:
            tokens.level_ms -= amount_ms
            bucket.last_refused_ms.pop(rank, None)
            return 0
        bucket.last_refused_ms[rank] = now_ms
        return math.ceil(min(deficit_ms, MAX_WAIT_MS))

    def _bucket_of(self, limit: limiting.EndpointLimit) -> _EndpointBucket:
        now_ms = self._clock.mono_ms()
        bucket = self._buckets.get(limit.life.endpoint)
        if bucket is None or bucket.life != limit.life:
            # Starts empty, as another host may have granted permits before.
            bucket = _EndpointBucket(
                limit.life, token_bucket.unexpiring(now_ms)
            )
            self._buckets[limit.life.endpoint] = bucket
        share = self._grantable_share(limit.life.endpoint)
        bucket.tokens.refill(now_ms)
        bucket.tokens.share = share
        amount_ms = _request_cost_ms(limit.rate_per_s)
        # Even a bucket for a part of the limit holds one whole request.
        bucket.tokens.depth_ms = (amount_ms + BURST_MS * share) / share
        return bucket

    def _grantable_share(self, endpoint: ids.EndpointId) -> float:
        """Return the part of an endpoint's limit that this host may grant."""
        order = self._owners.in_order(endpoint)
        share = self._visible_share(len(order))
        if order[0] != self._host:
            share *= FALLBACK_SHARE
        return share

    def _visible_share(self, hosts: int) -> float:
        """Return the part of the recent hosts that is still on the roster."""
        now_ms = self._clock.mono_ms()
        if hosts >= self._max_hosts or (
            now_ms - self._max_hosts_ms > PARTITION_GUARD_MS
        ):
            self._max_hosts, self._max_hosts_ms = hosts, now_ms
        return hosts / self._max_hosts

    # Advertised limits.

    async def _handle_limit_heard(
        self, _sender: ids.HostId, message: limiting.ReportLimit
    ) -> None:
        self.on_advertised(message.known, message.rate_per_s, message.grant)

    def on_advertised(
        self,
        known: limiting.EndpointLimit,
        rate_per_s: float | None,
        grant: limiting.GrantId | None,
    ) -> None:
        """Apply the rate that a response advertised, None without one.

        A higher rate or none is applied only if the response is the newest.
        """
        self._merge(known)
        life = known.life
        if rate_per_s is not None and self._advertised.apply_if_lower(
            life, rate_per_s
        ):
            self._schedule_gossip(life)
        limit = self._advertised.limit_of(life)
        if limit.rate_per_s is None:
            return
        bucket = self._bucket_of(limit)
        if rate_per_s == limit.rate_per_s:
            bucket.last_advertised = bucket.last_granted
            return
        if not self._is_newest(grant, bucket):
            return
        bucket.last_advertised = bucket.last_granted
        self._advertised.apply_rate(life, rate_per_s)
        self._schedule_gossip(life)

    def _is_newest(
        self, grant: limiting.GrantId | None, bucket: _EndpointBucket
    ) -> bool:
        """Return whether no newer response has advertised a limit."""
        if grant is None or grant.life != self._life:
            return False
        return grant.number > bucket.last_advertised

    def _merge(self, known: limiting.EndpointLimit) -> None:
        if self._advertised.merge(known):
            self._schedule_gossip(known.life)

    # Gossip.

    def _schedule_gossip(self, life: limiting.EndpointInstance) -> None:
        self._changed[life] = self._clock.mono_ms() + CHANGE_GOSSIP_MS
        self._has_changes.set()

    async def _run(self) -> None:
        while True:
            try:
                async with clocks.timeout_ms(GOSSIP_INTERVAL_MS):
                    await self._has_changes.wait()
                await self._clock.sleep_ms(BATCH_DELAY_MS)
            except TimeoutError:
                self._visible_share(len(self._owners.in_order(self._host)))
            self._has_changes.clear()
            limits = self._limits_to_gossip()
            if limits:
                await self._gossip(limits)

    def _limits_to_gossip(self) -> list[limiting.EndpointLimit]:
        """Return recently changed limits, and those that this host owns."""
        now_ms = self._clock.mono_ms()
        for life, until_ms in list(self._changed.items()):
            if now_ms > until_ms:
                del self._changed[life]
        lives = set(self._changed)
        for limit in self._advertised.active():
            if self._owners.in_order(limit.life.endpoint)[0] == self._host:
                lives.add(limit.life)
        return [self._advertised.limit_of(life) for life in lives]

    def retain_endpoints(self, exists: advertised_limits.Exists) -> None:
        """Evict state of endpoints that no longer exist."""
        for endpoint, bucket in list(self._buckets.items()):
            if not exists(bucket.life):
                del self._buckets[endpoint]


def _request_cost_ms(rate_per_s: float) -> float:
    """Return the cost of one request, in milliseconds of the limit."""
    return MS_PER_S / max(rate_per_s, MIN_RATE_PER_S)
