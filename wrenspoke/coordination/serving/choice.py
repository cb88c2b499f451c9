"""Choose the endpoint or the other region that serves a call.

What may get work (see ``availability``) is ranked by what it would cost
the call and others. The same estimates are what this region offers to
others.
"""

import collections.abc
import dataclasses
import random

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import attendance
from wrenspoke.coordination.membership import partners
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import availability
from wrenspoke.coordination.serving import costs
from wrenspoke.coordination.serving import estimate
from wrenspoke.coordination.serving import health
from wrenspoke.coordination.serving import prefixes
from wrenspoke.coordination.serving import retry_schedule
from wrenspoke.coordination.serving import samples
from wrenspoke import ids
from wrenspoke import mechanisms
from wrenspoke.protocol import attending
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import messages
from wrenspoke.state import registry
from wrenspoke.state import routes

# Added for an endpoint that has not renewed its registration for long:
# more than any wait elsewhere, less than having none.
SILENT_PENALTY_MS = 5_000
# Added where every endpoint is set aside: other regions go before them.
ASIDE_PENALTY_MS = 3_000
# Added where an engine's memory or batch is full: about the time in which
# one of its streams ends.
NO_ROOM_MS = 500.0
NO_PROMPT = dialects.Call(ids.RequestId(''), '', '', '', [], 0, 0)


@dataclasses.dataclass(slots=True)
class Chosen:
    """Name the endpoint that a call goes to, and how it was found.

    ``first_ms`` is when its first piece is expected, with what speaks
    against the endpoint added, ``cost_ms`` what that costs the call and
    others (see ``costs``), ``room`` whether it can begin at once,
    ``usual`` whether it is the one that hosts agree on for the prompt's
    prefix. From ``source`` it can take ``moved_tokens`` of the prompt
    over, instead of reading them.
    """

    found: registry.Registered
    prospect: estimate.Prospect
    first_ms: float
    room: bool
    usual: bool
    candidates: int
    cost_ms: float = 0.0
    source: registry.Registered | None = None
    moved_tokens: float = 0.0


class Choice:
    """Choose among registered endpoints and other regions."""

    def __init__(
        self,
        region: ids.RegionId,
        regions: collections.abc.Mapping[ids.DataCentreId, ids.RegionId],
        attended: attendance.Attendance,
        held: replica.Replica,
        noted: health.Health,
        estimator: estimate.Estimator,
        near: partners.Partners,
        available: availability.Availability,
        switched_off: collections.abc.Set[mechanisms.Mechanism],
        clock: clocks.Clock,
    ):
        self._region = region
        self._regions = regions
        self._attended = attended
        self._replica = held
        self._health = noted
        self._estimator = estimator
        self._partners = near
        self._available = available
        self._switched_off = switched_off
        self._clock = clock
        self._random = random.Random()
        self._lines: dict[ids.ServiceId, retry_schedule.RetrySchedule] = {}
        self.in_flight: dict[ids.EndpointId, int] = {}

    def regions_for(self, route: routes.Route) -> list[ids.RegionId]:
        """Return the regions that may serve a route, this one first."""
        allowed = {
            region for region in self._regions.values() if route.allows(region)
        }
        return sorted(allowed, key=lambda region: region != self._region)

    def draw(self, targets: tuple[routes.Target, ...]) -> ids.ServiceId:
        """Draw one of a route's services by their weights."""
        weights = [target.weight for target in targets]
        return self._random.choices(targets, weights)[0].service

    def choose(
        self,
        service: routes.RoutedService,
        route: routes.Route,
        call: dialects.Call,
        excluded: collections.abc.Container[ids.EndpointId],
        bounds: costs.Bounds,
    ) -> Chosen | None:
        """Return the best endpoint of this region, None without one."""
        every = [
            found
            for found in self._available.usable(service.service, self._region)
            if found.said.endpoint not in excluded
            and not self._available.spent_ms(found)
        ]
        warm = [found for found in every if not self._available.cold(found)]
        sound = [found for found in warm if not self._available.doubted(found)]
        warming = self._available.warming_turn(service, every)
        if warming is not None:
            return Chosen(
                warming, estimate.Prospect(0.0), 0.0, True, False, len(every)
            )
        candidates = sound or warm
        if not candidates:
            return None
        estimated = self._estimated(
            service, route, call, candidates, len(every)
        )
        if not sound:
            for item in estimated:
                item.first_ms += ASIDE_PENALTY_MS
                item.room = False
        for item in estimated:
            item.cost_ms = self._cost(bounds, item)
        return min(
            estimated,
            key=lambda item: (item.cost_ms, self._random.random()),
        )

    def _on(self, mechanism: mechanisms.Mechanism) -> bool:
        return mechanism not in self._switched_off

    def _cost(self, bounds: costs.Bounds, item: 'Chosen') -> float:
        """Return what an endpoint would cost the call and others."""
        found = item.prospect
        end_ms = found.end_ms + item.first_ms - found.first_ms
        waiting_ms = costs.waiting_ms(
            bounds, item.first_ms, end_ms, found.spread
        )
        cost_ms = waiting_ms
        if self._on(mechanisms.Mechanism.WEIGHING_PAUSES):
            cost_ms += costs.pausing_ms(bounds, found.pause_ms, found.harmed)
        if self._on(mechanisms.Mechanism.WEIGHING_READING):
            cost_ms += found.reading_ms
        return cost_ms

    def _estimated(
        self,
        service: routes.RoutedService,
        route: routes.Route,
        call: dialects.Call,
        candidates: list[registry.Registered],
        count: int,
    ) -> list[Chosen]:
        names = [found.said.endpoint for found in candidates]
        usual = None
        if self._on(mechanisms.Mechanism.USUAL_ENGINES):
            usual = prefixes.usual_endpoint(call.parts, names)
        holder = self._holder(service, call, candidates)
        keeping = {usual, None if holder is None else holder.endpoint}
        if not self._moves(service):
            holder = None
        estimated = []
        for found in samples.sample(candidates, keeping, self._random):
            name = found.said.endpoint
            item = Chosen(
                found, estimate.Prospect(0.0), 0.0, True, name == usual, count
            )
            self._take_over(item, call, holder)
            item.prospect = self._estimator.prospect(
                found,
                service,
                call,
                self._in_flight_at(found),
                item.usual,
                item.moved_tokens,
            )
            item.first_ms = item.prospect.first_ms
            item.room = item.prospect.room
            if not item.room:
                item.first_ms += NO_ROOM_MS
            if self._attended.registry.silent(name):
                item.first_ms += SILENT_PENALTY_MS
            estimated.append(item)
        return estimated

    def _holder(
        self,
        service: routes.RoutedService,
        call: dialects.Call,
        candidates: list[registry.Registered],
    ) -> prefixes.Holder | None:
        """Return the engine that keeps the most of a prompt.

        Only what this host sent there counts: where every host trusted
        the usual engine to have it, too few would send it there.
        """
        if service.batch is None:
            return None
        names = [
            found.said.endpoint for found in candidates if not found.silent
        ]
        return self._estimator.prefixes.holder(call.parts, names)

    def _moves(self, service: routes.RoutedService) -> bool:
        """Tell whether engines can take prompts over from each other."""
        if service.batch is None or not service.batch.moves:
            return False
        return self._on(mechanisms.Mechanism.TAKING_OVER)

    def _take_over(
        self,
        item: Chosen,
        call: dialects.Call,
        holder: prefixes.Holder | None,
    ) -> None:
        """Let an engine take from the holder what it lacks of a prompt."""
        name = item.found.said.endpoint
        if holder is None or holder.endpoint == name:
            return
        kept = self._estimator.prefixes.kept_tokens(
            name, call.parts, item.usual
        )
        if holder.tokens - kept < prefixes.LEAST_MOVED_TOKENS:
            return
        item.source = self._attended.registry.held.get(holder.endpoint)
        item.moved_tokens = holder.tokens - kept

    def spread(self, service: ids.ServiceId) -> float:
        """Return how far estimates of a service are off, in the mean."""
        return self._estimator.model(service).spread

    def other_regions(self, route: routes.Route) -> list[ids.RegionId]:
        """Return the other regions that may serve a route, in any order."""
        regions = [
            region
            for region in self.regions_for(route)
            if region != self._region
        ]
        self._random.shuffle(regions)
        return regions

    def return_in_ms(
        self, service: routes.RoutedService, urgency: int
    ) -> float | None:
        """Return when a call that was turned away should come back.

        That is once an endpoint here takes calls again: one that is cold
        has warmed up, one that was set aside is tried again, one that named
        a limit takes more. Where all name limits those that were turned
        away come one behind the other. None if nothing tells.
        """
        now_ms = self._clock.mono_ms()
        usable = self._available.usable(service.service, self._region)
        waits_ms = []
        for found in usable:
            until_ms = self._health.aside_until_ms(found.said.address)
            wait_ms = max(
                found.warm_ms - now_ms,
                until_ms - now_ms,
                self._available.spent_ms(found),
            )
            if wait_ms > 0:
                waits_ms.append(wait_ms)
        shares = [self._available.share_per_s(found) for found in usable]
        if not waits_ms or None in shares:
            return min(waits_ms, default=None)
        line = self._lines.setdefault(
            service.service, retry_schedule.RetrySchedule(self._clock)
        )
        return max(min(waits_ms), line.schedule(urgency, sum(shares)))

    def backs_off(self, service: routes.RoutedService) -> bool:
        """Return whether every endpoint of a service asked for backoff."""
        usable = self._available.usable(service.service, self._region)
        return bool(usable) and all(map(self._available.backs_off, usable))

    def free_places(self, service: routes.RoutedService) -> int:
        """Return the places of a service here that are known to be free."""
        return sum(
            self._estimator.free_places(found, service)
            for found in self._available.sound(service.service, self._region)
        )

    def offers(self) -> list[messages.Offer]:
        """Return what calls to each service would find in this region."""
        services = self._replica.current.routes.services.values()
        made = [self._offer(service) for service in services]
        return [offer for offer in made if offer is not None]

    def _offer(self, service: routes.RoutedService) -> messages.Offer | None:
        found = self._available.sound(service.service, self._region)
        if not found:
            return None
        # Endpoints with a limit are reserved for their own region.
        unlimited = [
            one for one in found if not self._available.is_limited(one)
        ]
        found = unlimited or found
        name, best = min(
            (
                (
                    one.said.endpoint,
                    self._estimator.prospect(
                        one, service, NO_PROMPT, self._in_flight_at(one), False
                    ),
                )
                for one in samples.sample(found, (), self._random)
            ),
            key=lambda item: (not item[1].room, item[1].first_ms),
        )
        wait_ms = best.first_ms + (0.0 if best.room else NO_ROOM_MS)
        token_ms = usual_ms = present_ms = 0.0
        if service.batch is not None:
            token_ms = self._estimator.model(service.service).token_ms
            usual_ms, present_ms = self._estimator.pace.ahead(
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

    def _in_flight_at(self, found: registry.Registered) -> int:
        return self.in_flight.get(found.said.endpoint, 0)

    def host_in(
        self,
        region: ids.RegionId,
        excluded: collections.abc.Container[ids.HostId],
    ) -> attending.HostRecord | None:
        """Return an entry host of another region to pass a call to.

        The first two that answer share what this host passes on.
        """
        hosts = [
            record
            for record in self._partners.reachable(region)
            if record.host not in excluded
            and not self._available.set_aside(record.passing_address)
        ]
        if not hosts:
            return None
        return self._random.choice(hosts[: partners.PARTNERS_COUNT])
