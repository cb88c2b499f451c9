"""Keep requests within the rates that endpoints advertise.

An endpoint without an advertised limit accepts any request. For one with a
limit, each request needs a permit from the host that owns the endpoint's
token bucket, and must be sent shortly after the permit was granted. A host
that gets no permit backs off from the endpoint until one may be available.
"""

import collections
import collections.abc

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import advertised_limits
from wrenspoke.coordination.limiting import bucket_owners
from wrenspoke.coordination.limiting import endpoint_buckets
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import limiting
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime

# A round trip within the region, and a busy host.
PERMIT_TIMEOUT_MS = 150
# An unresponsive owner is skipped for this long; the next host in order grants
# a part of the limit.
OWNER_RETRY_MS = 1_000
# The backoff if no owner responds. Calls go to other endpoints until the next
# owner is found.
NO_OWNER_BACKOFF_MS = 50
# Long enough for a new connection. A request that arrives later would add to
# the permits granted by then.
PERMIT_TTL_MS = 500
# Within an urgency, calls whose prompt the endpoint has cached go first.
RANKS_PER_URGENCY = 2
EVICT_INTERVAL_MS = 1_000
FIRST_RANK = 0
LAST_RANK = 1_000


def rank_of(urgency: int, prompt_cached: bool) -> int:
    """Return a call's rank among those that need a permit; 0 goes first."""
    return urgency * RANKS_PER_URGENCY + (not prompt_cached)


class EndpointLimits:
    """Grants permits to send, and tracks the limits in responses."""

    def __init__(
        self,
        host: ids.HostId,
        order: bucket_owners.HostOrder,
        exists: advertised_limits.Exists,
        gossip: endpoint_buckets.Gossip,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._host = host
        self._peers = peers
        self._clock = clock
        self._exists = exists
        self._owners = bucket_owners.BucketOwners(
            order, OWNER_RETRY_MS, peers, clock
        )
        self._advertised = advertised_limits.AdvertisedLimits()
        self._buckets = endpoint_buckets.EndpointBuckets(
            host, self._owners, self._advertised, gossip, peers, clock
        )
        self._backoff_until_ms: dict[limiting.EndpointInstance, int] = {}
        # How often each endpoint's limit refused a request.
        self.refused: collections.Counter[ids.EndpointId] = (
            collections.Counter()
        )
        self._tasks = runtime.Tasks()

    def start(self) -> None:
        """Start to gossip limits to other hosts."""
        self._buckets.start()
        self._tasks.start(self._evict_stale())

    async def close(self) -> None:
        """Cancel all running tasks."""
        await self._tasks.close()
        await self._buckets.close()

    # Current limits.

    def rate_per_s(self, life: limiting.EndpointInstance) -> float | None:
        """Return the limit in requests per second, None if unlimited."""
        return self._advertised.rate_per_s(life)

    def share_per_s(self, life: limiting.EndpointInstance) -> float | None:
        """Return an equal share of the limit for each host, None without."""
        rate_per_s = self.rate_per_s(life)
        if rate_per_s is None:
            return None
        enforced_per_s = max(rate_per_s, endpoint_buckets.MIN_RATE_PER_S)
        return enforced_per_s / len(self._owners.in_order(life.endpoint))

    def active(self) -> list[limiting.EndpointLimit]:
        """Return the limits that endpoints currently advertise."""
        return self._advertised.active()

    @property
    def is_idle(self) -> bool:
        """Return whether no backoff was started."""
        return not self._backoff_until_ms

    def backoff_remaining_ms(self, life: limiting.EndpointInstance) -> int:
        """Return the remaining backoff, in milliseconds."""
        until_ms = self._backoff_until_ms.get(life)
        if until_ms is None or self.rate_per_s(life) is None:
            return 0
        return max(until_ms - self._clock.mono_ms(), 0)

    def merge(self, received: list[limiting.EndpointLimit]) -> None:
        """Merge limits received from another host."""
        for limit in received:
            self._advertised.merge(limit)

    # Requests.

    async def acquire(
        self, life: limiting.EndpointInstance, rank: int
    ) -> 'SendPermit':
        """Return a permit to send one request to an endpoint.

        :raises EndpointLimitError: the limit is used up for now
        """
        if self.rate_per_s(life) is None:
            return SendPermit(self, life)
        remaining_ms = self.backoff_remaining_ms(life)
        if remaining_ms:
            raise self._limit_exceeded(life, remaining_ms)
        asked_ms = self._clock.mono_ms()
        answer = await self._request_permit(life, rank)
        if answer is None:
            raise self._limit_exceeded(life, NO_OWNER_BACKOFF_MS)
        self._advertised.merge(answer.known)
        if answer.grant is not None:
            return SendPermit(
                self, life, answer.grant, asked_ms + PERMIT_TTL_MS
            )
        if self.rate_per_s(life) is None:
            return SendPermit(self, life)
        raise self._limit_exceeded(life, answer.wait_ms)

    async def _request_permit(
        self, life: limiting.EndpointInstance, rank: int
    ) -> limiting.AskSendReply | None:
        """Request a permit from the first responsive owner, None without."""
        known = self._advertised.limit_of(life)
        for host in self._owners.first_responsive(life.endpoint, 1):
            if host == self._host:
                return self._buckets.take(known, rank)
            answer = await self._owners.call(
                host, limiting.AskSend(known, rank), PERMIT_TIMEOUT_MS
            )
            if isinstance(answer, limiting.AskSendReply):
                return answer
        return None

    def _limit_exceeded(
        self, life: limiting.EndpointInstance, wait_ms: int
    ) -> errors.EndpointLimitError:
        """Start a backoff and return the error to raise."""
        self.refused[life.endpoint] += 1
        self._backoff_until_ms[life] = self._clock.mono_ms() + wait_ms
        return errors.EndpointLimitError(life.endpoint, wait_ms)

    def is_valid(
        self, life: limiting.EndpointInstance, until_ms: int | None
    ) -> bool:
        """Return whether a permit is still valid at send time.

        A permit that was issued before the limit became known is not.
        """
        if self.rate_per_s(life) is None:
            return True
        return until_ms is not None and self._clock.mono_ms() <= until_ms

    # Responses.

    def on_response(
        self,
        life: limiting.EndpointInstance,
        values: collections.abc.Sequence[str],
        grant: limiting.GrantId | None,
        echoed: bool,
    ) -> None:
        """Update the endpoint's limit from a response header.

        ``echoed`` says that the response echoes the ID of its request. The
        lack of a header is ignored otherwise, as the response may be foreign.
        """
        try:
            rate_per_s = self._advertised.parse_header(life, values)
        except protocol_errors.MalformedRateError:
            return
        unlimited = self.rate_per_s(life) is None
        if rate_per_s is None and (unlimited or not echoed):
            return
        owner = self._owners.in_order(life.endpoint)[0]
        if grant is not None:
            owner = grant.lender
        if owner == self._host:
            self._buckets.on_advertised(
                self._advertised.limit_of(life), rate_per_s, grant
            )
            return
        if rate_per_s is not None:
            self._advertised.apply_if_lower(life, rate_per_s)
        message = limiting.ReportLimit(
            self._advertised.limit_of(life), rate_per_s, grant
        )
        self._tasks.start(self._peers.send_oneway(owner, message), fatal=False)

    async def _evict_stale(self) -> None:
        """Evict state of endpoints that no longer exist."""
        while True:
            await self._clock.sleep_ms(EVICT_INTERVAL_MS)
            self._advertised.retain_endpoints(self._exists)
            self._buckets.retain_endpoints(self._exists)
            for life in list(self._backoff_until_ms):
                if not self._exists(life):
                    del self._backoff_until_ms[life]
                    self.refused.pop(life.endpoint, None)


class SendPermit:
    """A permit to send one request to an endpoint."""

    def __init__(
        self,
        limits: EndpointLimits,
        life: limiting.EndpointInstance,
        grant: limiting.GrantId | None = None,
        until_ms: int | None = None,
    ):
        self._limits = limits
        self._life = life
        self._grant = grant
        self._until_ms = until_ms

    def is_valid(self) -> bool:
        """Return whether the permit is still valid at send time."""
        return self._limits.is_valid(self._life, self._until_ms)

    def on_response(
        self, values: collections.abc.Sequence[str], echoed: bool
    ) -> None:
        """Update the endpoint's limit from a response header."""
        self._limits.on_response(self._life, values, self._grant, echoed)
