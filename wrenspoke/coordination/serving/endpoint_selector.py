"""Choose the endpoint or the other region that serves a call.

What may get work (see ``availability``) is ranked by what it would cost
the call and others. The same estimates are what this region offers to
others.
"""

import collections.abc
import dataclasses
import random

from wrenspoke import clock as clocks
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
from wrenspoke import ids
from wrenspoke import mechanisms
from wrenspoke.protocol import attending
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import messages
from wrenspoke.state import registry
from wrenspoke.state import routes

# Added for an endpoint that has not renewed its registration for long:
# more than any wait elsewhere, less than having none.
STALE_REGISTRATION_PENALTY_MS = 5_000
# Added where every endpoint is set aside: other regions go before them.
DEGRADED_PENALTY_MS = 3_000
# Added where an engine's memory or batch is full: about the time in which
# one of its streams ends.
NO_CAPACITY_PENALTY_MS = 500.0
EMPTY_CALL = dialects.Call(ids.RequestId(''), '', '', '', [], 0, 0)


@dataclasses.dataclass(slots=True)
class EndpointSelection:
    """Name the endpoint that a call goes to, and how it was found.

    ``first_ms`` is when its first piece is expected, with what speaks
    against the endpoint added, ``cost_ms`` what that costs the call and
    others (see ``costs``), ``room`` whether it can begin at once,
    ``usual`` whether it is the one that hosts agree on for the prompt's
    prefix. From ``source`` it can take ``moved_tokens`` of the prompt
    over, instead of reading them.
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


class EndpointSelector:
    """Choose among registered endpoints and other regions."""

    def __init__(
        self,
        region: ids.RegionId,
        regions: collections.abc.Mapping[ids.DataCentreId, ids.RegionId],
        discovery: discovery_client.DiscoveryClient,
        held: replica.Replica,
        outlier_detector: outlier_detection.OutlierDetector,
        estimator: estimate.Estimator,
        remotes: remote_hosts.RemoteHosts,
        endpoint_availability: availability.Availability,
        switched_off: collections.abc.Set[mechanisms.Mechanism],
        clock: clocks.Clock,
    ):
        self._region = region
        self._regions = regions
        self._discovery = discovery
        self._replica = held
        self._outlier_detector = outlier_detector
        self._estimator = estimator
        self._remote_hosts = remotes
        self._availability = endpoint_availability
        self._switched_off = switched_off
        self._clock = clock
        self._random = random.Random()
        self._lines: dict[ids.ServiceId, retry_schedule.RetrySchedule] = {}
        self.in_flight: dict[ids.EndpointId, int] = {}

    def serving_regions(self, route: routes.Route) -> list[ids.RegionId]:
        """Return the regions that may serve a route, this one first."""
        allowed = {
            region for region in self._regions.values() if route.allows(region)
        }
        return sorted(allowed, key=lambda region: region != self._region)

    def draw_service(
        self, targets: tuple[routes.Target, ...]
    ) -> ids.ServiceId:
        """Draw one of a route's services by their weights."""
        weights = [target.weight for target in targets]
        return self._random.choices(targets, weights)[0].service

    def select_endpoint(
        self,
        service: routes.RoutedService,
        route: routes.Route,
        call: dialects.Call,
        excluded: collections.abc.Container[ids.EndpointId],
        bounds: costs.LatencyBounds,
    ) -> EndpointSelection | None:
        """Return the best endpoint of this region, None without one."""
        admissible = [
            found
            for found in self._availability.usable_endpoints(
                service.service, self._region
            )
            if found.registration.endpoint not in excluded
            and not self._availability.limit_wait_ms(found)
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
            item.cost_ms = self._cost_ms(bounds, item)
        return min(
            estimated,
            key=lambda item: (item.cost_ms, self._random.random()),
        )

    def _is_enabled(self, mechanism: mechanisms.Mechanism) -> bool:
        return mechanism not in self._switched_off

    def _cost_ms(
        self, bounds: costs.LatencyBounds, item: 'EndpointSelection'
    ) -> float:
        """Return what an endpoint would cost the call and others."""
        found = item.estimate
        end_ms = found.end_ms + item.first_ms - found.first_ms
        waiting_ms = costs.latency_cost_ms(
            bounds, item.first_ms, end_ms, found.spread
        )
        cost_ms = waiting_ms
        if self._is_enabled(mechanisms.Mechanism.WEIGHING_PAUSES):
            cost_ms += costs.pause_cost_ms(
                bounds, found.pause_ms, found.delayed_streams
            )
        if self._is_enabled(mechanisms.Mechanism.WEIGHING_READING):
            cost_ms += found.prefill_ms
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
        usual = None
        if self._is_enabled(mechanisms.Mechanism.USUAL_ENGINES):
            usual = prefix_index.affinity_endpoint(call.parts, names)
        holder = self._find_cache_holder(service, call, candidates)
        keeping = {usual, None if holder is None else holder.endpoint}
        if not self._supports_transfer(service):
            holder = None
        estimated = []
        for found in sampling.sample(candidates, keeping, self._random):
            name = found.registration.endpoint
            item = EndpointSelection(
                found, estimate.Estimate(0.0), 0.0, True, name == usual, count
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
        """Return the engine that keeps the most of a prompt.

        Only what this host sent there counts: where every host trusted
        the usual engine to have it, too few would send it there.
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
        """Tell whether engines can take prompts over from each other."""
        if service.batch is None or not service.batch.moves:
            return False
        return self._is_enabled(mechanisms.Mechanism.TAKING_OVER)

    def _plan_transfer(
        self,
        item: EndpointSelection,
        call: dialects.Call,
        holder: prefix_index.CacheHolder | None,
    ) -> None:
        """Let an engine take from the holder what it lacks of a prompt."""
        name = item.registered.registration.endpoint
        if holder is None or holder.endpoint == name:
            return
        kept = self._estimator.prefixes.cached_tokens(
            name, call.parts, item.has_affinity
        )
        if holder.tokens - kept < prefix_index.MIN_TRANSFER_TOKENS:
            return
        item.source = self._discovery.registry.entries.get(holder.endpoint)
        item.moved_tokens = holder.tokens - kept

    def estimate_spread(self, service: ids.ServiceId) -> float:
        """Return how far estimates of a service are off, in the mean."""
        return self._estimator.model_for(service).spread

    def allowed_remote_regions(
        self, route: routes.Route
    ) -> list[ids.RegionId]:
        """Return the other regions that may serve a route, in any order."""
        regions = [
            region
            for region in self.serving_regions(route)
            if region != self._region
        ]
        self._random.shuffle(regions)
        return regions

    def endpoint_retry_after_ms(
        self, service: routes.RoutedService, urgency: int
    ) -> float | None:
        """Return when a call that was turned away should come back.

        That is once an endpoint here takes calls again: one that is cold
        has warmed up, one that was set aside is tried again, one that named
        a limit takes more. Where all name limits those that were turned
        away come one behind the other. None if nothing tells.
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
        """Return whether every endpoint of a service asked for backoff."""
        usable = self._availability.usable_endpoints(
            service.service, self._region
        )
        return bool(usable) and all(map(self._availability.in_backoff, usable))

    def free_slots(self, service: routes.RoutedService) -> int:
        """Return the places of a service here that are known to be free."""
        return sum(
            self._estimator.free_slots(found, service)
            for found in self._availability.healthy_endpoints(
                service.service, self._region
            )
        )

    def build_offers(self) -> list[messages.Offer]:
        """Return what calls to each service would find in this region."""
        services = self._replica.current.routes.services.values()
        made = [self._build_offer(service) for service in services]
        return [offer for offer in made if offer is not None]

    def _build_offer(
        self, service: routes.RoutedService
    ) -> messages.Offer | None:
        found = self._availability.healthy_endpoints(
            service.service, self._region
        )
        if not found:
            return None
        # Endpoints with a limit are reserved for their own region.
        unlimited = [
            one
            for one in found
            if not self._availability.advertises_limit(one)
        ]
        found = unlimited or found
        name, best = min(
            (
                (
                    one.registration.endpoint,
                    self._estimator.estimate(
                        one,
                        service,
                        EMPTY_CALL,
                        self._in_flight_at(one),
                        False,
                    ),
                )
                for one in sampling.sample(found, (), self._random)
            ),
            key=lambda item: (not item[1].can_start_now, item[1].first_ms),
        )
        wait_ms = best.first_ms + (
            0.0 if best.can_start_now else NO_CAPACITY_PENALTY_MS
        )
        token_ms = usual_ms = present_ms = 0.0
        if service.batch is not None:
            token_ms = self._estimator.model_for(service.service).token_ms
            usual_ms, present_ms = self._estimator.pace.forecast(
                name, service.batch.event_tokens
            )
        return messages.Offer(
            service.service,
            wait_ms,
            token_ms,
            usual_ms,
            present_ms,
            len(found),
        )

    def _in_flight_at(self, found: registry.EndpointEntry) -> int:
        return self.in_flight.get(found.registration.endpoint, 0)

    def select_host(
        self,
        region: ids.RegionId,
        excluded: collections.abc.Container[ids.HostId],
    ) -> attending.HostRecord | None:
        """Return an entry host of another region to pass a call to.

        The first two that answer share what this host passes on.
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
