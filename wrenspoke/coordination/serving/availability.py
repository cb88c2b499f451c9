"""Determine which endpoints may get requests from this host.

An endpoint must be ready, belong to the service and the region, and be
outside evacuated data centres. A cold endpoint gets requests from one entry
host only, at its warmup rate, so that all hosts together keep to it.
"""

import collections.abc

from wrenspoke import clock as clocks
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import engine_loads
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import endpoint_outcomes
from wrenspoke.coordination.serving import outlier_detection
from wrenspoke.coordination.serving import warmup_probe
from wrenspoke import feature_flags
from wrenspoke import ids
from wrenspoke.protocol import limiting
from wrenspoke.state import registry
from wrenspoke.state import routes

MS_PER_S = 1000
# How long an endpoint of a restored data centre counts as cold unless its
# status is known: longer than a renewal takes to get here.
RESTORED_UNCERTAIN_MS = 3_000


class Availability:
    """Tracks which endpoints may get requests from this host."""

    def __init__(
        self,
        region: ids.RegionId,
        pollers: region_pollers.RegionPollers,
        regions: collections.abc.Mapping[ids.DataCentreId, ids.RegionId],
        discovery: discovery_client.DiscoveryClient,
        local_replica: replica.Replica,
        outlier_detector: outlier_detection.OutlierDetector,
        probe: warmup_probe.WarmupProbe,
        engine_loads: engine_loads.EngineLoads,
        gate: endpoint_gate.EndpointGate,
        switched_off: collections.abc.Set[feature_flags.FeatureFlag],
        clock: clocks.Clock,
        outcomes: endpoint_outcomes.EndpointOutcomes | None = None,
    ):
        self._region = region
        self._pollers = pollers
        self._regions = regions
        self._discovery = discovery
        self._replica = local_replica
        self._outlier_detector = outlier_detector
        self._warmup_probe = probe
        self._engine_loads = engine_loads
        self._gate = gate
        self._switched_off = switched_off
        self._clock = clock
        self._outcomes = outcomes
        self._evacuated: set[ids.DataCentreId] = set()
        self._restored_at_ms: dict[ids.DataCentreId, int] = {}
        self._next_warmup_ms: dict[ids.EndpointId, float] = {}
        # Endpoints that take work, by service and region, as of a version of
        # the registry: a call asks for them several times.
        self._members: dict[
            tuple[ids.ServiceId, ids.RegionId], list[registry.EndpointEntry]
        ] = {}
        self._members_version: tuple[int, int] | None = None

    def usable_endpoints(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> list[registry.EndpointEntry]:
        """Return the endpoints of a service that may get new requests."""
        self.update_evacuations()
        members = self._find_members(service, region)
        if region == self._region and self._discovery.is_isolated:
            self._refresh_statuses(service, members)
        if not self._evacuated and self._gate.leaving.is_idle:
            return members.copy()
        return [
            found
            for found in members
            if found.registration.data_centre not in self._evacuated
            and not self._announced_leaving(found)
        ]

    def _find_members(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> list[registry.EndpointEntry]:
        """Return the endpoints of a service and region that take work."""
        known = self._discovery.registry
        if self._members_version != known.version:
            self._members_version = known.version
            self._members.clear()
        members = self._members.get((service, region))
        if members is None:
            members = self._members[service, region] = [
                found
                for found in known.entries.values()
                if found.takes_work
                and found.registration.service == service
                and self._regions.get(found.registration.data_centre) == region
            ]
        return members

    def warm_endpoints(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> list[registry.EndpointEntry]:
        """Return the usable endpoints that have warmed up."""
        return [
            found
            for found in self.usable_endpoints(service, region)
            if not self.is_cold(found)
        ]

    def update_evacuations(self) -> None:
        """Apply changed evacuations, and probe endpoints just restored.

        Endpoints of a restored data centre may have become cold, so they
        count as such until a probe or a renewal says otherwise. Renewals
        without changes are not received here: after a while without one,
        the endpoint's earlier status is valid.
        """
        evacuated = set(self._replica.current.evacuated)
        restored = self._evacuated - evacuated
        self._evacuated = evacuated
        if not restored:
            return
        for data_centre in restored:
            self._restored_at_ms[data_centre] = self._clock.mono_ms()
        if not self._is_enabled(feature_flags.FeatureFlag.WARMUP_PROBES):
            return
        services = self._replica.current.routes.services
        self._warmup_probe.start_probes(
            found
            for found in self._discovery.registry.entries.values()
            if found.takes_work
            and found.registration.data_centre in restored
            and self._regions.get(found.registration.data_centre)
            == self._region
            and found.registration.service in services
            and services[found.registration.service].warmup_per_s > 0
        )

    def healthy_endpoints(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> list[registry.EndpointEntry]:
        """Return the warm endpoints that are not degraded or limited now."""
        return [
            found
            for found in self.warm_endpoints(service, region)
            if not self.is_degraded(found) and not self.limit_wait_ms(found)
        ]

    def advertises_limit(self, found: registry.EndpointEntry) -> bool:
        """Return whether an endpoint advertises a rate limit."""
        return self._gate.limits.rate_per_s(_life_of(found)) is not None

    def share_per_s(self, found: registry.EndpointEntry) -> float | None:
        """Return this host's share of an endpoint's limit, if it has one."""
        return self._gate.limits.share_per_s(_life_of(found))

    def limit_wait_ms(self, found: registry.EndpointEntry) -> int:
        """Return in how many ms an endpoint's limit admits a request."""
        if self._gate.is_idle:
            return 0
        return self._gate.remaining_ms(_life_of(found))

    def _announced_leaving(self, found: registry.EndpointEntry) -> bool:
        """Return whether an endpoint announced its leaving in a response."""
        leaving = self._gate.leaving
        return not leaving.is_idle and leaving.is_leaving(_life_of(found))

    def failure_shares(
        self, found: registry.EndpointEntry
    ) -> tuple[float, float]:
        """Return the shares of requests an endpoint fails and refuses."""
        if self._outcomes is None:
            return 0.0, 0.0
        return self._outcomes.shares(_life_of(found))

    def in_backoff(self, found: registry.EndpointEntry) -> bool:
        """Return whether this host is backing off from an endpoint."""
        return self._gate.backoffs.remaining_ms(_life_of(found)) > 0

    def is_cold(self, found: registry.EndpointEntry) -> bool:
        """Return whether an endpoint must be limited to its warmup rate."""
        now_ms = self._clock.mono_ms()
        if found.warm_ms > now_ms:
            return True
        if (
            self._warmup_probe.cold_until_ms > now_ms
            and self._warmup_probe.has_newer_cold_status(found)
        ):
            return True
        restored_at_ms = self._restored_at_ms.get(
            found.registration.data_centre
        )
        if restored_at_ms is None or found.reported_ms >= restored_at_ms:
            return False
        service = self._replica.current.routes.service(
            found.registration.service
        )
        if service is None or service.warmup_per_s <= 0:
            return False
        warm_ms = self._warmup_probe.warm_ms(found.registration.endpoint)
        if warm_ms is not None:
            return warm_ms > now_ms
        since_ms = now_ms - restored_at_ms
        return since_ms < RESTORED_UNCERTAIN_MS

    def _refresh_statuses(
        self, service: ids.ServiceId, members: list[registry.EndpointEntry]
    ) -> None:
        """Probe endpoints whose renewals don't arrive here."""
        if not self._is_enabled(feature_flags.FeatureFlag.WARMUP_PROBES):
            return
        routed = self._replica.current.routes.service(service)
        if routed is None or routed.warmup_per_s <= 0:
            return
        self._warmup_probe.refresh(members)

    def next_warmup_endpoint(
        self,
        service: routes.RoutedService,
        candidates: list[registry.EndpointEntry],
    ) -> registry.EndpointEntry | None:
        """Return a cold endpoint that is due a request from this host."""
        if service.warmup_per_s <= 0:
            return None
        now_ms = self._clock.mono_ms()
        for found in candidates:
            name = found.registration.endpoint
            if not self.is_cold(found) or not self._pollers.is_owner_of(name):
                continue
            if self.is_ejected(found.registration.address):
                continue
            if now_ms < self._next_warmup_ms.get(name, 0):
                continue
            interval_ms = MS_PER_S / service.warmup_per_s
            self._next_warmup_ms[name] = now_ms + interval_ms
            return found
        return None

    def is_degraded(self, found: registry.EndpointEntry) -> bool:
        """Return whether other endpoints should be preferred.

        That is if the endpoint is ejected, or if it does not answer the load
        polls of any host in the region.
        """
        if self.is_ejected(found.registration.address):
            return True
        if not self._is_enabled(feature_flags.FeatureFlag.OUTLIER_EJECTION):
            return False
        return self._engine_loads.silent(found.registration.endpoint)

    def is_ejected(self, place: str) -> bool:
        """Return whether an address is ejected by outlier detection."""
        if not self._is_enabled(feature_flags.FeatureFlag.OUTLIER_EJECTION):
            return False
        return self._outlier_detector.is_ejected(place)

    def _is_enabled(self, mechanism: feature_flags.FeatureFlag) -> bool:
        return mechanism not in self._switched_off


def _life_of(found: registry.EndpointEntry) -> limiting.EndpointInstance:
    return limiting.EndpointInstance(
        found.registration.endpoint, found.registration.born_ms
    )
