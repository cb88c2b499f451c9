"""Decide where a passed-through call is sent next: here or elsewhere."""

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import choice
from wrenspoke.coordination.serving import sending
from wrenspoke.coordination.serving import work as works
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import passing

logger = structlog.get_logger(__name__)

# While the first piece is expected within this part of its target, other
# regions are not looked at.
NEAR_SHARE = 0.4
# A call waits here for room for less than the quarter of its target
# within which a refusal still lets the caller be served in time.
HOLD_SHARE = 0.2
HOLD_STEP_MS = 40


class BusyError(errors.CoordinationError):
    """Say that the host that passed a call on can do better itself."""


class Placing:
    """Find the place for a call's next try."""

    def __init__(
        self,
        host: ids.HostId,
        region: ids.RegionId,
        held: replica.Replica,
        chosen: choice.Choice,
        clock: clocks.Clock,
    ):
        self._host = host
        self._region = region
        self._replica = held
        self._choice = chosen
        self._clock = clock

    async def next_place(self, work: works.Work) -> sending.Place | None:
        """Return where to send a call, after a wait if it pays."""
        while True:
            local = self._local(work)
            if work.hop is not None:
                self._refuse_if_slower(work, local)
                return self._endpoint_place(work, local)
            near_enough = local is not None and (
                local.room
                and local.first_ms <= work.route.target_ms * NEAR_SHARE
            )
            if near_enough:
                return self._endpoint_place(work, local)
            place = self._elsewhere(work, local)
            if place is not None or local is None:
                return place
            if local.room or not self._may_hold(work):
                return self._endpoint_place(work, local)
            await self._clock.sleep_ms(HOLD_STEP_MS)

    def _may_hold(self, work: works.Work) -> bool:
        """Tell whether a call may wait here for room at an endpoint."""
        held_ms = self._clock.mono_ms() - work.call.arrived_ms
        return held_ms < work.route.target_ms * HOLD_SHARE

    def _refuse_if_slower(
        self, work: works.Work, local: choice.Chosen | None
    ) -> None:
        limit_ms = work.hop.limit_ms
        if limit_ms is None or work.sent:
            return
        if local is None or not local.room or local.first_ms > limit_ms:
            raise BusyError()

    def _local(self, work: works.Work) -> choice.Chosen | None:
        if not work.route.allows(self._region):
            return None
        return self._choice.choose(
            work.service, work.route, work.call, work.tried
        )

    def _endpoint_place(
        self, work: works.Work, chosen: choice.Chosen | None
    ) -> sending.Place | None:
        if chosen is None:
            return None
        said = chosen.found.said
        logger.info(
            'endpoint_chosen',
            request=work.call.request,
            route=work.route.name,
            endpoint=said.endpoint,
            first_ms=round(chosen.first_ms),
            room=chosen.room,
            usual=chosen.usual,
            tokens_in=work.call.tokens_in,
            moved_tokens=round(chosen.moved_tokens),
            candidates=chosen.candidates,
            version=self._replica.current.routes.version,
        )
        return sending.Place(
            said.address, endpoint=said.endpoint, chosen=chosen
        )

    def _elsewhere(
        self, work: works.Work, local: choice.Chosen | None
    ) -> sending.Place | None:
        """Return a host of another region, if it is better than here."""
        if local is not None and work.regions_tried:
            # It was turned back once; another round trip would be lost.
            return None
        for region in self._choice.far_regions(work.route):
            if region in work.regions_out:
                continue
            far_ms = self._choice.far_first_ms(region)
            limit_ms = None
            if local is not None:
                here_ms = local.first_ms
                if not local.room:
                    here_ms = max(here_ms, work.route.target_ms)
                if far_ms >= here_ms:
                    continue
                limit_ms = int(here_ms - choice.FAR_FIRST_MS / 2)
            if not self._choice.warm(work.service.service, region):
                continue
            found = self._choice.host_in(region, work.tried)
            if found is None:
                continue
            work.regions_tried.add(region)
            return self._host_place(work, region, found, limit_ms)
        return None

    def _host_place(
        self,
        work: works.Work,
        region: ids.RegionId,
        found: attending.HostRecord,
        limit_ms: int | None,
    ) -> sending.Place:
        logger.info(
            'passed_on',
            request=work.call.request,
            route=work.route.name,
            peer=found.host,
            region=region,
            limit_ms=limit_ms,
        )
        hop = passing.Hop(
            self._host,
            work.route.name,
            work.service.service,
            self._replica.current.index,
            work.runs_limit - work.runs,
            limit_ms,
        )
        return sending.Place(
            found.passing_address, host=found.host, region=region, hop=hop
        )
