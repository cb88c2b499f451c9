"""Rate limits of teams, enforced by leased shares.

A limit is split over regions by weight and over data centres by their
number of entry hosts. Within a data centre one live host, chosen for each
team by rendezvous hashing (``lender`` in the code), leases parts of the rate
to hosts by demand. No message leaves the data centre, and its leases never
exceed its share in total.
"""

import dataclasses

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import members
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.state import configuration

logger = structlog.get_logger(__name__)

LEASE_MS = 4_000
RENEW_MS = 1_500
CALL_TIMEOUT_MS = 500
MS_PER_S = 1000
MIN_DEMAND_PER_S = 0.1


@dataclasses.dataclass
class TeamTokenBucket:
    """Token bucket of one team on this host."""

    rate_per_s: float
    burst: float
    tokens: float
    last_refill_ms: int
    request_count: int = 0
    leased_until_ms: int = 0

    def take_token(self, now_ms: int) -> int:
        """Consume a token; return 0, or the wait for the next one in ms."""
        refill = (now_ms - self.last_refill_ms) * self.rate_per_s / MS_PER_S
        self.tokens = min(self.burst, self.tokens + refill)
        self.last_refill_ms = now_ms
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        missing = 1 - self.tokens
        return int(missing * MS_PER_S / max(self.rate_per_s, 0.001)) + 1


@dataclasses.dataclass
class RateLease:
    """Part of a team's rate that is leased to one host."""

    demand_per_s: float
    rate_per_s: float
    expires_at_ms: int


class RateLeaseManager:
    """Leases parts of teams' rates to hosts, in proportion to demand."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._leases: dict[str, dict[ids.HostId, RateLease]] = {}

    def grant(
        self,
        team: str,
        host: ids.HostId,
        demand_per_s: float,
        total_per_s: float,
    ) -> float:
        """Lease a host its share of ``total_per_s`` and return its rate.

        Unexpired leases of other hosts are never revoked, so a share grows
        only as the other leases are renewed for less or expire.
        """
        now_ms = self._clock.mono_ms()
        leases = {
            name: lease
            for name, lease in self._leases.get(team, {}).items()
            if lease.expires_at_ms > now_ms
        }
        others = [lease for name, lease in leases.items() if name != host]
        demand = max(demand_per_s, MIN_DEMAND_PER_S)
        total_demand = demand + sum(one.demand_per_s for one in others)
        leased = sum(one.rate_per_s for one in others)
        fair_share = total_per_s * demand / total_demand
        rate = max(0.0, min(fair_share, total_per_s - leased))
        leases[host] = RateLease(demand, rate, now_ms + LEASE_MS)
        self._leases[team] = leases
        return rate


class TeamRateLimiter:
    """Admits requests within the share of this host in team limits."""

    def __init__(
        self,
        deployment: settings.Deployment,
        host: settings.HostSettings,
        peers: peer_calls.Peers,
        host_members: members.Members,
        config_replica: replica.Replica,
        clock: clocks.Clock,
    ):
        self._host = ids.HostId(host.host)
        self._region = host.region
        entries = deployment.with_role('entry')
        in_region = [one for one in entries if one.region == host.region]
        self._data_centre_hosts = sum(
            one.data_centre == host.data_centre for one in in_region
        )
        self._data_centre_share = self._data_centre_hosts / len(in_region)
        self._regions = {one.region for one in entries}
        self._peers = peers
        self._members = host_members
        self._replica = config_replica
        self._clock = clock
        self._buckets: dict[str, TeamTokenBucket] = {}
        self._lease_manager = RateLeaseManager(clock)
        self._tasks = runtime.Tasks()
        peers.handles(messages.AskLeases)(self._handle_ask_leases)

    def start(self) -> None:
        """Start renewing leases."""
        self._tasks.start(self._renew_leases())

    async def close(self) -> None:
        """Cancel the renewal task."""
        await self._tasks.close()

    def admit(self, team: str) -> int:
        """Return 0 to admit a request, or after how many ms to retry."""
        limit = self._replica.current.limits.get(team)
        if limit is None:
            return 0
        now_ms = self._clock.mono_ms()
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = self._new_bucket(limit, now_ms)
        bucket.request_count += 1
        if bucket.leased_until_ms < now_ms:
            bucket.rate_per_s = self._equal_share_per_s(limit)
        return bucket.take_token(now_ms)

    def _data_centre_rate_per_s(self, limit: configuration.TeamLimit) -> float:
        """Return the share of this data centre in a limit, per second."""
        weights = limit.regions or dict.fromkeys(self._regions, 1.0)
        total_weight = sum(weights.values())
        if not total_weight:
            return 0.0
        region_share = weights.get(self._region, 0.0) / total_weight
        share = region_share * self._data_centre_share
        return limit.requests_per_s * share

    def _equal_share_per_s(self, limit: configuration.TeamLimit) -> float:
        return self._data_centre_rate_per_s(limit) / self._data_centre_hosts

    def _new_bucket(
        self, limit: configuration.TeamLimit, now_ms: int
    ) -> TeamTokenBucket:
        part = self._equal_share_per_s(limit) / limit.requests_per_s
        burst = max(1.0, limit.burst * part)
        return TeamTokenBucket(
            self._equal_share_per_s(limit), burst, burst, now_ms
        )

    def _lender_host(self, team: str) -> ids.HostId:
        live = [
            host
            for host in self._members.local_peers
            if self._members.is_alive(host)
        ]
        return ids.HostId(routing.rendezvous(team, [*live, self._host])[0])

    async def _renew_leases(self) -> None:
        while True:
            await self._clock.sleep_ms(RENEW_MS)
            wanted: dict[ids.HostId, list[messages.TeamRate]] = {}
            for team, bucket in list(self._buckets.items()):
                if team not in self._replica.current.limits:
                    del self._buckets[team]
                    continue
                rate = bucket.request_count * MS_PER_S / RENEW_MS
                bucket.request_count = 0
                if rate == 0 and bucket.leased_until_ms == 0:
                    continue
                lender = self._lender_host(team)
                wanted.setdefault(lender, []).append(
                    messages.TeamRate(team, rate)
                )
            for lender, rates in wanted.items():
                await self._request_leases(lender, rates)

    async def _request_leases(
        self, lender: ids.HostId, rates: list[messages.TeamRate]
    ) -> None:
        if lender == self._host:
            granted = self._grant_leases(self._host, rates)
        else:
            granted = await self._request_leases_from_peer(lender, rates)
        until_ms = self._clock.mono_ms() + LEASE_MS
        for grant in granted:
            bucket = self._buckets.get(grant.team)
            if bucket is None:
                continue
            bucket.rate_per_s = grant.rate_per_s
            bucket.leased_until_ms = until_ms

    async def _request_leases_from_peer(
        self, lender: ids.HostId, rates: list[messages.TeamRate]
    ) -> list[messages.TeamRate]:
        try:
            answer = await self._peers.call(
                lender, messages.AskLeases(rates), CALL_TIMEOUT_MS
            )
        except protocol_errors.ProtocolError:
            return []
        if not isinstance(answer, messages.Leases):
            return []
        return answer.granted

    def _grant_leases(
        self, host: ids.HostId, rates: list[messages.TeamRate]
    ) -> list[messages.TeamRate]:
        granted = []
        for asked in rates:
            limit = self._replica.current.limits.get(asked.team)
            if limit is None:
                continue
            rate = self._lease_manager.grant(
                asked.team,
                host,
                asked.rate_per_s,
                self._data_centre_rate_per_s(limit),
            )
            granted.append(messages.TeamRate(asked.team, rate))
        return granted

    async def _handle_ask_leases(
        self, sender: ids.HostId, message: messages.AskLeases
    ) -> messages.Leases:
        return messages.Leases(self._grant_leases(sender, message.wanted))
