"""Select the endpoint or the remote host that serves a call.

Available endpoints (see ``availability``) are ranked by what they would cost
the call and concurrent calls (see ``costs``). The same estimates are offered
to the hosts of other regions.
"""

import collections.abc
import dataclasses
import random

from wrenspoke import clock as clocks
from wrenspoke.coordination.admission import places
from wrenspoke.coordination.balancing import distance
from wrenspoke.coordination.balancing import region_room
from wrenspoke.coordination.buffering import endpoint_holdings
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import remote_hosts
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import availability
from wrenspoke.coordination.serving import costs
from wrenspoke.coordination.serving import estimate
from wrenspoke.coordination.serving import outlier_detection
from wrenspoke.coordination.serving import prefix_index
from wrenspoke.coordination.serving import retry_schedule
from wrenspoke.coordination.serving import sampling
from wrenspoke import feature_flags
from wrenspoke import ids
from wrenspoke.protocol import capacity
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import messages
from wrenspoke.state import registry
from wrenspoke.state import routes

# Added for an endpoint whose registration has not been renewed recently, so
# that it is used only where there is no other.
STALE_REGISTRATION_PENALTY_MS = 5_000
# Added where every endpoint is degraded, so that other regions are preferred.
DEGRADED_PENALTY_MS = 3_000
# Added where an engine's KV cache or batch is full: roughly the time until
# one of its streams completes.
NO_CAPACITY_PENALTY_MS = 500.0
# How long the sum of a region's room is used.
ROOM_TTL_MS = 200
EMPTY_CALL = dialects.Call(ids.RequestId(''), '', '', '', [], 0, 0)


@dataclasses.dataclass(slots=True)
class EndpointSelection:
    """A candidate endpoint for a call, with its estimates.

    ``first_ms`` is the expected time to the first piece with all penalties
    added, and ``cost_ms`` the resulting cost (see ``costs``).
    ``can_start_now`` is whether the call would start without queueing, and
    ``has_affinity`` whether the prompt's prefix hashes to this endpoint. If
    ``source`` is set, the KV cache of ``moved_tokens`` prompt tokens can be
    fetched from there instead of being computed. ``build`` is kept, as the
    registration may be replaced by that of the endpoint's next instance.
    """

    registered: registry.EndpointEntry
    estimate: estimate.Estimate
    first_ms: float
    can_start_now: bool
    has_affinity: bool
    candidates: int
    cost_ms: float = 0.0
    source: registry.EndpointEntry | None = None
    moved_tokens: float = 0.0
    place: places.Place | None = None
    build: ids.BuildId = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.build = self.registered.registration.build


PlaceWeigher = collections.abc.Callable[
    [
        routes.RoutedService,
        dialects.Call,
        costs.LatencyBounds,
        EndpointSelection,
    ],
    None,
]


class EndpointSelector:
    """Selects among registered endpoints and hosts of other regions."""

    def __init__(
        self,
        region: ids.RegionId,
        regions: collections.abc.Mapping[ids.DataCentreId, ids.RegionId],
        discovery: discovery_client.DiscoveryClient,
        local_replica: replica.Replica,
        outlier_detector: outlier_detection.OutlierDetector,
        estimator: estimate.Estimator,
        remotes: remote_hosts.RemoteHosts,
        endpoint_availability: availability.Availability,
        switched_off: collections.abc.Set[feature_flags.FeatureFlag],
        clock: clocks.Clock,
        distance_cost: distance.DistanceCost | None = None,
    ):
        """Create it; with ``distance_cost`` near endpoints are preferred."""
        self._distance_cost = distance_cost
        self._region = region
        self._regions = regions
        self._discovery = discovery
        self._replica = local_replica
        self._outlier_detector = outlier_detector
        self._estimator = estimator
        self._remote_hosts = remotes
        self._availability = endpoint_availability
        self._switched_off = switched_off
        self._clock = clock
        self._random = random.Random()
        self._busy_log = region_room.BusyLog()
        self._rooms: dict[ids.ServiceId, tuple[int, capacity.ServiceRoom]] = {}
        self._lines: dict[ids.ServiceId, retry_schedule.RetrySchedule] = {}
        self.in_flight: dict[ids.EndpointId, int] = {}
        # Adds to the costs of engines that lack room, if it is set.
        self.weigh_place: PlaceWeigher | None = None
        self.holdings: endpoint_holdings.EndpointHoldings | None = None

    def serving_regions(self, route: routes.Route) -> list[ids.RegionId]:
        """Return the regions that may serve a route, the local one first."""
        allowed = {
            region for region in self._regions.values() if route.allows(region)
        }
        return sorted(allowed, key=lambda region: region != self._region)

    def draw_service(
        self,
        targets: tuple[routes.Target, ...],
        request: ids.RequestId | None = None,
    ) -> ids.ServiceId:
        """Return one of a route's services, picked at random by weight.

        With ``request``, all hosts draw the same one for that request.
        """
        drawn = self._random if request is None else random.Random(request)
        weights = [target.weight for target in targets]
        return drawn.choices(targets, weights)[0].service

    def select_endpoint(
        self,
        service: routes.RoutedService,
        route: routes.Route,
        call: dialects.Call,
        excluded: collections.abc.Container[ids.EndpointId],
        bounds: costs.LatencyBounds,
        build: ids.BuildId | None = None,
    ) -> EndpointSelection | None:
        """Return the cheapest local endpoint, or None if there is none.

        With ``build`` only endpoints of that build are candidates.
        """
        admissible = [
            found
            for found in self._availability.usable_endpoints(
                service.service, self._region
            )
            if found.registration.endpoint not in excluded
            and build in (None, found.registration.build)
            and not self._availability.limit_wait_ms(found)
            and self._can_hold(found, call)
        ]
        warm = [
            found
            for found in admissible
            if not self._availability.is_cold(found)
        ]
        healthy = [
            found
            for found in warm
            if not self._availability.is_degraded(found)
        ]
        warmup_endpoint = self._availability.next_warmup_endpoint(
            service, admissible
        )
        if warmup_endpoint is not None:
            return EndpointSelection(
                warmup_endpoint,
                estimate.Estimate(0.0),
                0.0,
                True,
                False,
                len(admissible),
            )
        candidates = healthy or warm
        if not candidates:
            return None
        estimated = self._estimate_candidates(
            service, route, call, candidates, len(admissible)
        )
        if not healthy:
            for item in estimated:
                item.first_ms += DEGRADED_PENALTY_MS
                item.can_start_now = False
        for item in estimated:
            if self.weigh_place is not None and service.batch is not None:
                self.weigh_place(service, call, bounds, item)
            item.cost_ms = self._cost_ms(bounds, item)
            if self._distance_cost is not None:
                item.cost_ms += self._distance_cost.cost_ms(
                    item.registered.registration.data_centre,
                    call,
                    bounds.target_ms,
                )
        return min(
            estimated,
            key=lambda item: (item.cost_ms, self._random.random()),
        )

    def _can_hold(
        self, found: registry.EndpointEntry, call: dialects.Call
    ) -> bool:
        """Return whether an endpoint can hold a call beside the others."""
        return self.holdings is None or self.holdings.fits(
            found.registration.endpoint,
            len(call.body),
            call.tokens_in + call.tokens_expected,
        )

    def _is_enabled(self, mechanism: feature_flags.FeatureFlag) -> bool:
        return mechanism not in self._switched_off

    def _cost_ms(
        self, bounds: costs.LatencyBounds, item: 'EndpointSelection'
    ) -> float:
        """Return an endpoint's cost to the call and to concurrent calls."""
        expected = item.estimate
        end_ms = expected.end_ms + item.first_ms - expected.first_ms
        latency_ms = costs.latency_cost_ms(
            bounds, item.first_ms, end_ms, expected.spread
        )
        cost_ms = latency_ms
        if self._is_enabled(feature_flags.FeatureFlag.PAUSE_COST):
            cost_ms += costs.pause_cost_ms(
                bounds, expected.pause_ms, expected.delayed_streams
            )
        if self._is_enabled(feature_flags.FeatureFlag.PREFILL_COST):
            cost_ms += expected.prefill_ms
        failed, refused = self._availability.failure_shares(item.registered)
        cost_ms += costs.failure_cost_ms(bounds, failed, refused)
        if item.place is not None:
            cost_ms += bounds.target_ms * item.place.harmed
        return cost_ms

    def _estimate_candidates(
        self,
        service: routes.RoutedService,
        route: routes.Route,
        call: dialects.Call,
        candidates: list[registry.EndpointEntry],
        count: int,
    ) -> list[EndpointSelection]:
        names = [found.registration.endpoint for found in candidates]
        affinity_name = None
        if self._is_enabled(feature_flags.FeatureFlag.PREFIX_AFFINITY):
            affinity_name = prefix_index.affinity_endpoint(call.parts, names)
        holder = self._find_cache_holder(service, call, candidates)
        required = {affinity_name, None if holder is None else holder.endpoint}
        if not self._supports_transfer(service):
            holder = None
        estimated = []
        size = sampling.SAMPLE_SIZE
        if service.batch is None and self._distance_cost is not None:
            size = sampling.PLAIN_SAMPLE_SIZE
        for found in sampling.sample(candidates, required, self._random, size):
            name = found.registration.endpoint
            item = EndpointSelection(
                found,
                estimate.Estimate(0.0),
                0.0,
                True,
                name == affinity_name,
                count,
            )
            self._plan_transfer(item, call, holder)
            item.estimate = self._estimator.estimate(
                found,
                service,
                call,
                self._in_flight_at(found),
                item.has_affinity,
                item.moved_tokens,
            )
            item.first_ms = item.estimate.first_ms
            item.can_start_now = item.estimate.can_start_now
            if not item.can_start_now:
                item.first_ms += NO_CAPACITY_PENALTY_MS
            if self._discovery.registry.is_stale(name):
                item.first_ms += STALE_REGISTRATION_PENALTY_MS
            estimated.append(item)
        return estimated

    def _find_cache_holder(
        self,
        service: routes.RoutedService,
        call: dialects.Call,
        candidates: list[registry.EndpointEntry],
    ) -> prefix_index.CacheHolder | None:
        """Return the engine that caches the longest prefix of a prompt.

        Only prompts that were sent there count, not affinity: if all hosts
        assumed that the affinity engine holds a prefix, too few would send
        it there.
        """
        if service.batch is None:
            return None
        names = [
            found.registration.endpoint
            for found in candidates
            if not found.is_stale
        ]
        return self._estimator.prefixes.best_cache_holder(call.parts, names)

    def _supports_transfer(self, service: routes.RoutedService) -> bool:
        """Return whether engines can transfer KV cache to each other."""
        if service.batch is None or not service.batch.moves:
            return False
        return self._is_enabled(feature_flags.FeatureFlag.CACHE_TRANSFER)

    def _plan_transfer(
        self,
        item: EndpointSelection,
        call: dialects.Call,
        holder: prefix_index.CacheHolder | None,
    ) -> None:
        """Set the source of a cache transfer, if one is worth its cost."""
        name = item.registered.registration.endpoint
        if holder is None or holder.endpoint == name:
            return
        cached = self._estimator.prefixes.cached_tokens(
            name, call.parts, item.has_affinity
        )
        if holder.tokens - cached < prefix_index.MIN_TRANSFER_TOKENS:
            return
        source = self._discovery.registry.entries.get(holder.endpoint)
        if source is None or source.registration.build != item.build:
            # What two builds keep in memory may not fit together either.
            return
        item.source = source
        item.moved_tokens = holder.tokens - cached

    def estimate_spread(self, service: ids.ServiceId) -> float:
        """Return the mean absolute log error of a service's estimates."""
        return self._estimator.model_for(service).spread

    def allowed_remote_regions(
        self, route: routes.Route
    ) -> list[ids.RegionId]:
        """Return the remote regions that may serve a route, shuffled."""
        regions = [
            region
            for region in self.serving_regions(route)
            if region != self._region
        ]
        self._random.shuffle(regions)
        return regions

    def has_build(
        self,
        service: ids.ServiceId,
        region: ids.RegionId,
        build: ids.BuildId | None,
    ) -> bool:
        """Return whether a region has a usable endpoint of a build.

        Any build will do if ``build`` is None.
        """
        if build is None:
            return True
        return any(
            found.registration.build == build
            for found in self._availability.usable_endpoints(service, region)
        )

    def endpoint_retry_after_ms(
        self, service: routes.RoutedService, urgency: int
    ) -> float | None:
        """Return in how many ms a refused call should be retried.

        That is once a local endpoint has warmed up, its ejection has ended,
        or its advertised limit admits more. If all endpoints advertise
        limits, retries are spread out at the rate that these admit. None if
        no endpoint gives a time.
        """
        now_ms = self._clock.mono_ms()
        usable = self._availability.usable_endpoints(
            service.service, self._region
        )
        waits_ms = []
        for found in usable:
            until_ms = self._outlier_detector.ejected_until_ms(
                found.registration.address
            )
            wait_ms = max(
                found.warm_ms - now_ms,
                until_ms - now_ms,
                self._availability.limit_wait_ms(found),
            )
            if wait_ms > 0:
                waits_ms.append(wait_ms)
        shares = [self._availability.share_per_s(found) for found in usable]
        if not waits_ms or None in shares:
            return min(waits_ms, default=None)
        line = self._lines.setdefault(
            service.service, retry_schedule.RetrySchedule(self._clock)
        )
        return max(min(waits_ms), line.schedule(urgency, sum(shares)))

    def all_in_backoff(self, service: routes.RoutedService) -> bool:
        """Return whether this host backs off from all of its endpoints."""
        usable = self._availability.usable_endpoints(
            service.service, self._region
        )
        return bool(usable) and all(map(self._availability.in_backoff, usable))

    def free_slots(self, service: routes.RoutedService) -> int:
        """Return the number of batch slots known to be free locally."""
        return sum(
            self._estimator.free_slots(found, service)
            for found in self._availability.healthy_endpoints(
                service.service, self._region
            )
        )

    def room(
        self, service: routes.RoutedService
    ) -> capacity.ServiceRoom | None:
        """Return the room of this region's engines, None if not balanced."""
        if self._distance_cost is None or service.batch is None:
            return None
        now_ms = self._clock.mono_ms()
        found = self._rooms.get(service.service)
        if found is not None and now_ms - found[0] < ROOM_TTL_MS:
            return found[1]
        endpoints = self._availability.healthy_endpoints(
            service.service, self._region
        )
        room = region_room.sum_up(
            service.service,
            [self._estimator.engine_room(one, service) for one in endpoints],
            self._estimator.arrivals.forecast_per_ms(service.service),
        )
        self._rooms[service.service] = (now_ms, room)
        self._busy_log.record(room)
        return room

    def build_offers(self) -> list[messages.ServiceOffer]:
        """Return the offers for each service to be sent to other regions."""
        services = self._replica.current.routes.services.values()
        offers = [self._build_offer(service) for service in services]
        return [offer for offer in offers if offer is not None]

    def _build_offer(
        self, service: routes.RoutedService
    ) -> messages.ServiceOffer | None:
        endpoints = self._availability.healthy_endpoints(
            service.service, self._region
        )
        if not endpoints:
            return None
        # Endpoints that advertise a limit are kept for local calls, if there
        # are others.
        unlimited = [
            one
            for one in endpoints
            if not self._availability.advertises_limit(one)
        ]
        endpoints = unlimited or endpoints
        engine, best = min(
            (
                (
                    one,
                    self._estimator.estimate(
                        one,
                        service,
                        EMPTY_CALL,
                        self._in_flight_at(one),
                        False,
                    ),
                )
                for one in sampling.sample(endpoints, (), self._random)
            ),
            key=lambda item: (not item[1].can_start_now, item[1].first_ms),
        )
        wait_ms = best.first_ms + (
            0.0 if best.can_start_now else NO_CAPACITY_PENALTY_MS
        )
        token_ms = usual_ms = present_ms = 0.0
        if service.batch is not None:
            token_ms = self._estimator.model_for(service.service).token_ms
            usual_ms, present_ms = self._estimator.forecast(engine, service)
        return messages.ServiceOffer(
            service.service,
            wait_ms,
            token_ms,
            usual_ms,
            present_ms,
            len(endpoints),
            self.room(service),
        )

    def _in_flight_at(self, found: registry.EndpointEntry) -> int:
        return self.in_flight.get(found.registration.endpoint, 0)

    def select_host(
        self,
        region: ids.RegionId,
        excluded: collections.abc.Container[ids.HostId],
    ) -> discovery_messages.HostRecord | None:
        """Return an entry host of another region to forward a call to.

        Calls are spread over the first ``TARGETS_PER_REGION`` reachable hosts.
        """
        hosts = [
            record
            for record in self._remote_hosts.reachable(region)
            if record.host not in excluded
            and not self._availability.is_ejected(record.passing_address)
        ]
        if not hosts:
            return None
        return self._random.choice(hosts[: remote_hosts.TARGETS_PER_REGION])
