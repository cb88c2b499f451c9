"""Decide where a passed-through call is sent next: here or elsewhere.

Every place that may serve is weighed alike: by when the first piece is
expected there, what of that its caller notices, what the call takes from
others, and what is known to be lost on the way. What can't be served before
its deadline anywhere is turned away at once.
"""

import collections.abc

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import choice
from wrenspoke.coordination.serving import costs
from wrenspoke.coordination.serving import regions
from wrenspoke.coordination.serving import retry_schedule
from wrenspoke.coordination.serving import sending
from wrenspoke.coordination.serving import work as works
from wrenspoke import ids
from wrenspoke import mechanisms
from wrenspoke.protocol import attending
from wrenspoke.protocol import passing

logger = structlog.get_logger(__name__)

# A call that misses its deadline four times in five is not sent.
HOPELESS = 0.8
# What a KB that goes to another region is worth, in ms of first piece: of
# a prompt of 20 KB about the round trip that it travels.
FAR_KB_MS = 3.0
# What any call is worth that stays: a host more that may fail on its way.
FAR_MS = 20.0
LEAST_RETRY_AFTER_MS = 100


class BusyError(errors.CoordinationError):
    """Say that the host that passed a call on can do better itself."""

    def __init__(self, first_ms: float):
        super().__init__(f'first piece after {first_ms:.0f} ms')
        self.first_ms = first_ms


class HopelessError(errors.CoordinationError):
    """Say that a call can't be served before its deadline."""

    def __init__(self, first_ms: float, retry_after_ms: int):
        super().__init__(f'first piece after {first_ms:.0f} ms')
        self.first_ms = first_ms
        self.retry_after_ms = retry_after_ms


class Placing:
    """Find the place for a call's next try."""

    def __init__(
        self,
        host: ids.HostId,
        region: ids.RegionId,
        held: replica.Replica,
        chosen: choice.Choice,
        elsewhere: regions.Regions,
        switched_off: collections.abc.Set[mechanisms.Mechanism],
        clock: clocks.Clock,
    ):
        self._host = host
        self._region = region
        self._replica = held
        self._choice = chosen
        self._regions = elsewhere
        self._switched_off = switched_off
        self._clock = clock

    def next_place(self, work: works.Work) -> sending.Destination | None:
        """Return where to send a call, None where nothing takes it.

        :raises BusyError: who passed it on can do better
        :raises HopelessError: no place would serve it in time
        """
        hop = work.hop
        if hop is not None and hop.region not in (None, self._region):
            return self._relay(work, hop.region)
        bounds = self._bounds(work)
        local = self._local(work, bounds)
        if hop is not None:
            self._refuse_if_slower(work, local)
            return self._endpoint_place(work, local)
        far, far_ms = self._best_elsewhere(work, bounds)
        if far is not None and (local is None or far_ms < local.cost_ms):
            self._refuse_hopeless(work, bounds, far.first_ms, far.end_ms)
            return self._host_place(work, far, local)
        if local is not None:
            self._refuse_hopeless(
                work, bounds, local.first_ms, local.prospect.end_ms
            )
        return self._endpoint_place(work, local)

    def _on(self, mechanism: mechanisms.Mechanism) -> bool:
        return mechanism not in self._switched_off

    def _bounds(self, work: works.Work) -> costs.Bounds:
        now_ms = self._clock.mono_ms()
        target_ms = work.route.target_ms
        return costs.Bounds(
            target_ms,
            work.call.arrived_ms + target_ms - now_ms,
            work.deadline_ms - now_ms,
            work.route.pause_target_ms,
        )

    def _refuse_hopeless(
        self,
        work: works.Work,
        bounds: costs.Bounds,
        first_ms: float,
        end_ms: float,
    ) -> None:
        """Turn away what would most likely miss its deadline.

        What was sent before, and may go on, is not turned away.
        """
        spread = self._choice.spread(work.service.service)
        lost = costs.lost(bounds, first_ms, end_ms, spread)
        if work.sent or lost <= HOPELESS:
            return
        if not self._on(mechanisms.Mechanism.REFUSING_HOPELESS):
            return
        logger.info(
            'hopeless',
            request=work.call.request,
            route=work.route.name,
            first_ms=round(first_ms),
            end_ms=round(end_ms),
            left_ms=round(bounds.deadline_left_ms),
        )
        retry_after_ms = retry_schedule.jittered_ms(
            first_ms - work.route.target_ms
        )
        raise HopelessError(
            first_ms, max(retry_after_ms, LEAST_RETRY_AFTER_MS)
        )

    def _refuse_if_slower(
        self, work: works.Work, local: choice.Chosen | None
    ) -> None:
        limit_ms = work.hop.limit_ms
        if limit_ms is None or work.sent or local is None:
            return
        if local.first_ms > limit_ms:
            raise BusyError(local.first_ms)

    def _local(
        self, work: works.Work, bounds: costs.Bounds
    ) -> choice.Chosen | None:
        if not work.route.allows(self._region):
            return None
        return self._choice.choose(
            work.service, work.route, work.call, work.tried, bounds
        )

    def _endpoint_place(
        self,
        work: works.Work,
        chosen: choice.Chosen | None,
    ) -> sending.Destination | None:
        if chosen is None:
            return None
        said = chosen.found.said
        logger.info(
            'endpoint_chosen',
            request=work.call.request,
            route=work.route.name,
            endpoint=said.endpoint,
            first_ms=round(chosen.first_ms),
            expected_ms=round(chosen.prospect.first_ms),
            end_ms=round(chosen.prospect.end_ms),
            pause_ms=round(chosen.prospect.pause_ms),
            harmed=chosen.prospect.harmed,
            unread_tokens=round(chosen.prospect.unread_tokens),
            ahead_tokens=round(chosen.prospect.ahead_tokens),
            room=chosen.room,
            usual=chosen.usual,
            tokens_in=work.call.tokens_in,
            moved_tokens=round(chosen.moved_tokens),
            candidates=chosen.candidates,
            version=self._replica.current.routes.version,
        )
        return sending.Destination(
            said.address,
            self._region,
            endpoint=said.endpoint,
            chosen=chosen,
        )

    def _best_elsewhere(
        self, work: works.Work, bounds: costs.Bounds
    ) -> tuple[regions.Offered | None, float]:
        """Return the best other region and what it costs."""
        best, best_ms = None, 0.0
        spread = self._choice.spread(work.service.service)
        for region in self._choice.other_regions(work.route):
            if region in work.regions_out:
                continue
            host = self._choice.host_in(region, work.tried)
            if host is None and self._on(mechanisms.Mechanism.RELAYS):
                host = self._relay_to(work, region)
            if host is None:
                continue
            found = self._regions.offer(region, work.service, work.call, host)
            if found is None:
                continue
            cost_ms = costs.waiting_ms(
                bounds, found.first_ms, found.end_ms, spread
            )
            cost_ms += found.unread_ms + FAR_MS
            kb = len(work.call.body) / costs.BYTES_PER_KB
            cost_ms += kb * FAR_KB_MS
            if best is None or cost_ms < best_ms:
                best, best_ms = found, cost_ms
        return best, best_ms

    def _relay_to(
        self, work: works.Work, region: ids.RegionId
    ) -> attending.HostRecord | None:
        """Return a host by way of which a region can be reached."""
        allowed = self._choice.other_regions(work.route)
        for host in self._regions.relays(region, allowed):
            if host.host not in work.tried:
                return host
        return None

    def _relay(
        self, work: works.Work, region: ids.RegionId
    ) -> sending.Destination | None:
        """Return the host that a call for a third region goes on to."""
        if region in work.regions_out or not work.route.allows(region):
            return None
        host = self._choice.host_in(region, work.tried)
        if host is None:
            return None
        logger.info(
            'relayed',
            request=work.call.request,
            route=work.route.name,
            peer=host.host,
            region=region,
            homes=list(work.route.homes),
            version=self._replica.current.routes.version,
        )
        hop = msgspec.structs.replace(
            work.hop,
            region=None,
            attempts_left=work.runs_limit - work.runs,
        )
        return sending.Destination(
            host.passing_address,
            host.region,
            host=host.host,
            serving_region=region,
            hop=hop,
        )

    def _host_place(
        self,
        work: works.Work,
        found: regions.Offered,
        local: choice.Chosen | None,
    ) -> sending.Destination:
        # Where it is turned back, the way there and back is lost as well.
        limit_ms = work.deadline_ms - self._clock.mono_ms()
        if local is not None:
            limit_ms = min(limit_ms, local.first_ms)
        logger.info(
            'passed_on',
            request=work.call.request,
            route=work.route.name,
            peer=found.host.host,
            region=found.region,
            relayed=found.host.region != found.region,
            peer_region=found.host.region,
            homes=list(work.route.homes),
            version=self._replica.current.routes.version,
            first_ms=round(found.first_ms),
            here_ms=None if local is None else round(local.first_ms),
            limit_ms=int(limit_ms),
        )
        self._regions.note_passed(found.region, work.service, work.call)
        hop = passing.Hop(
            self._host,
            work.route.name,
            work.service.service,
            self._replica.current.index,
            work.runs_limit - work.runs,
            int(limit_ms),
            found.region,
        )
        return sending.Destination(
            found.host.passing_address,
            found.host.region,
            host=found.host.host,
            serving_region=found.region,
            hop=hop,
        )
