"""Know which endpoints of this region may get work, and how much.

An endpoint must be ready, of the service, in this region and outside of
evacuated data centres. A cold endpoint is used by one entry host alone, at
the pace that it bears, so that the sum over all hosts keeps to it.
"""

import collections.abc

from wrenspoke import clock as clocks
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import engine_loads
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import health
from wrenspoke.coordination.serving import warmth as warmths
from wrenspoke import ids
from wrenspoke import mechanisms
from wrenspoke.protocol import limiting
from wrenspoke.state import registry
from wrenspoke.state import routes

MS_PER_S = 1000
# An endpoint renews about every 1.2 s, sometimes a second late, and half a
# second more brings what changed here.
TAKEN_BACK_DOUBT_MS = 3_000


class Availability:
    """Tell which endpoints may get work from this host."""

    def __init__(
        self,
        region: ids.RegionId,
        asking: region_pollers.RegionPollers,
        regions: collections.abc.Mapping[ids.DataCentreId, ids.RegionId],
        attended: discovery_client.DiscoveryClient,
        held: replica.Replica,
        noted: health.Health,
        warmth: warmths.Warmth,
        known: engine_loads.EngineLoads,
        gate: endpoint_gate.EndpointGate,
        switched_off: collections.abc.Set[mechanisms.Mechanism],
        clock: clocks.Clock,
    ):
        self._region = region
        self._askers = asking
        self._regions = regions
        self._attended = attended
        self._replica = held
        self._health = noted
        self._warmth = warmth
        self._gauges = known
        self._gate = gate
        self._switched_off = switched_off
        self._clock = clock
        self._evacuated: set[ids.DataCentreId] = set()
        self._taken_back_ms: dict[ids.DataCentreId, int] = {}
        self._next_warm_ms: dict[ids.EndpointId, float] = {}

    def usable(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> list[registry.Registered]:
        """Return the endpoints of a service that may get new work."""
        self.note_evacuations()
        return [
            found
            for found in self._attended.registry.held.values()
            if found.takes_work
            and found.said.service == service
            and self._regions.get(found.said.data_centre) == region
            and found.said.data_centre not in self._evacuated
            and not self._leaves(found)
        ]

    def warm(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> list[registry.Registered]:
        """Return the usable endpoints that bear more than a few requests."""
        return [
            found
            for found in self.usable(service, region)
            if not self.cold(found)
        ]

    def note_evacuations(self) -> None:
        """Take endpoints that were just taken back for cold.

        They may have turned cold unseen; they are asked, and their next
        renewal tells, or, as only changes are heard here, that no change
        is heard.
        """
        evacuated = set(self._replica.current.evacuated)
        taken_back = self._evacuated - evacuated
        self._evacuated = evacuated
        if not taken_back:
            return
        for data_centre in taken_back:
            self._taken_back_ms[data_centre] = self._clock.mono_ms()
        if not self._on(mechanisms.Mechanism.ASKING_WARMTH):
            return
        services = self._replica.current.routes.services
        self._warmth.ask(
            found
            for found in self._attended.registry.held.values()
            if found.takes_work
            and found.said.data_centre in taken_back
            and self._regions.get(found.said.data_centre) == self._region
            and found.said.service in services
            and services[found.said.service].warmup_per_s > 0
        )

    def sound(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> list[registry.Registered]:
        """Return the warm endpoints that take work now."""
        return [
            found
            for found in self.warm(service, region)
            if not self.doubted(found) and not self.spent_ms(found)
        ]

    def is_limited(self, found: registry.Registered) -> bool:
        """Tell whether an endpoint names a limit."""
        return self._gate.limits.rate_per_s(_life_of(found)) is not None

    def share_per_s(self, found: registry.Registered) -> float | None:
        """Return this host's part of an endpoint's limit, None without."""
        return self._gate.limits.share_per_s(_life_of(found))

    def spent_ms(self, found: registry.Registered) -> int:
        """Return for how long an endpoint is sent nothing more, in ms."""
        if self._gate.is_idle:
            return 0
        return self._gate.remaining_ms(_life_of(found))

    def _leaves(self, found: registry.Registered) -> bool:
        """Return whether an endpoint said in an answer that it leaves."""
        leaving = self._gate.leaving
        return not leaving.is_idle and leaving.is_leaving(_life_of(found))

    def backs_off(self, found: registry.Registered) -> bool:
        """Return whether this host backs off from an endpoint."""
        return self._gate.backoffs.remaining_ms(_life_of(found)) > 0

    def cold(self, found: registry.Registered) -> bool:
        """Tell whether an endpoint bears a few requests only."""
        if found.warm_ms > self._clock.mono_ms():
            return True
        taken_back_ms = self._taken_back_ms.get(found.said.data_centre)
        if taken_back_ms is None or found.heard_ms >= taken_back_ms:
            return False
        service = self._replica.current.routes.service(found.said.service)
        if service is None or service.warmup_per_s <= 0:
            return False
        warm_ms = self._warmth.warm_ms(found.said.endpoint)
        if warm_ms is not None:
            return warm_ms > self._clock.mono_ms()
        since_ms = self._clock.mono_ms() - taken_back_ms
        return since_ms < TAKEN_BACK_DOUBT_MS

    def warming_turn(
        self,
        service: routes.RoutedService,
        every: list[registry.Registered],
    ) -> registry.Registered | None:
        """Return a cold endpoint whose next request is due from here."""
        if service.warmup_per_s <= 0:
            return None
        now_ms = self._clock.mono_ms()
        for found in every:
            name = found.said.endpoint
            if not self.cold(found) or not self._askers.is_owner_of(name):
                continue
            if self.set_aside(found.said.address):
                continue
            if now_ms < self._next_warm_ms.get(name, 0):
                continue
            interval_ms = MS_PER_S / service.warmup_per_s
            self._next_warm_ms[name] = now_ms + interval_ms
            return found
        return None

    def doubted(self, found: registry.Registered) -> bool:
        """Tell whether others should be used before an endpoint.

        Its calls failed here, or it is silent to all hosts of the region.
        """
        if self.set_aside(found.said.address):
            return True
        if not self._on(mechanisms.Mechanism.SETTING_ASIDE):
            return False
        return self._gauges.silent(found.said.endpoint)

    def set_aside(self, place: str) -> bool:
        """Tell whether a place is to be left alone for now."""
        if not self._on(mechanisms.Mechanism.SETTING_ASIDE):
            return False
        return self._health.set_aside(place)

    def _on(self, mechanism: mechanisms.Mechanism) -> bool:
        return mechanism not in self._switched_off


def _life_of(found: registry.Registered) -> limiting.EndpointLife:
    return limiting.EndpointLife(found.said.endpoint, found.said.born_ms)
