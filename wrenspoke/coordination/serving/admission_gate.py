"""Connect admission to the calls that a host serves.

Tells the admission core which streams run where, lets it rule on the best
place of each call, and keeps those that wait. Engines only: other endpoints
report nothing of what they hold.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import math
import random

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.admission import controller as controllers
from wrenspoke.coordination.admission import pace_model
from wrenspoke.coordination.admission import places
from wrenspoke.coordination.admission import profiles
from wrenspoke.coordination.admission import running_streams
from wrenspoke.coordination.admission import wait_queue
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import engine_loads
from wrenspoke.coordination.serving import call_context
from wrenspoke.coordination.serving import costs
from wrenspoke.coordination.serving import endpoint_selector
from wrenspoke.coordination.serving import engine_pace
from wrenspoke.coordination.serving import estimate
from wrenspoke.coordination.serving import sending
from wrenspoke import ids
from wrenspoke.protocol import capacity
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.state import routes

logger = structlog.get_logger(__name__)

# How often a call that waits is assessed again, at the rate at which hosts
# tell each other of the calls that they sent.
RECHECK_MS = 25
# How many of the calls that wait are assessed at a time.
CONCURRENT_RECHECKS = 4
TOTALS_INTERVAL_MS = 30_000
# Shorter streams say little about an engine's pace.
MIN_EVENTS = 8
# Time constant of the rate at which streams end.
ENDS_WINDOW_MS = 2_000.0


class NoRoomError(errors.CoordinationError):
    """Raised if no engine has room for a call now."""

    def __init__(
        self, decision: controllers.Decision, place: places.Place
    ) -> None:
        super().__init__(f'no room: {decision.reason.value}')
        self.decision = decision
        self.place = place


class LearnedProfiles:
    """Speeds of engines: of prompts as estimated, of streams as they ran."""

    def __init__(self, estimator: estimate.Estimator):
        self._estimator = estimator
        self._paces: dict[ids.ServiceId, pace_model.PaceModel] = {}

    def profile(
        self, endpoint: ids.EndpointId, service: routes.RoutedService
    ) -> capacity.EngineProfile:
        """Return the profile of an engine of a service."""
        pace = self._pace_of(service)
        gap_ms, slope_ms = pace.fit()
        return capacity.EngineProfile(
            endpoint,
            0,
            self._estimator.token_ms(endpoint, service.service),
            gap_ms,
            slope_ms,
            pace.samples,
        )

    def record_stream(
        self,
        service: routes.RoutedService,
        place: places.Place,
        gap_ms: float,
    ) -> None:
        """Learn from the mean gap of a stream that ran at its place."""
        self._pace_of(service).add(
            min(place.running, place.slots - 1),
            gap_ms * (1.0 - place.prefill_share),
        )

    def _pace_of(self, service: routes.RoutedService) -> pace_model.PaceModel:
        found = self._paces.get(service.service)
        if found is None:
            prior_ms = (
                engine_pace.INITIAL_TOKEN_MS * service.batch.event_tokens
            )
            found = pace_model.PaceModel(prior_ms)
            self._paces[service.service] = found
        return found


class _EndRate:
    """Rate at which streams of this host end, decaying exponentially."""

    def __init__(self):
        self._ends = 0.0
        self._at_ms = 0

    def add(self, now_ms: int) -> None:
        """Count the end of a stream."""
        self._ends = self._decayed(now_ms) + 1.0
        self._at_ms = now_ms

    def per_s(self, now_ms: int) -> float:
        """Return the ends per second."""
        return self._decayed(now_ms) * controllers.MS_PER_S / ENDS_WINDOW_MS

    def _decayed(self, now_ms: int) -> float:
        elapsed_ms = now_ms - self._at_ms
        return self._ends * math.exp(-elapsed_ms / ENDS_WINDOW_MS)


class AdmissionGate:
    """Lets calls to engines in, wait or be refused."""

    def __init__(
        self,
        controller: controllers.AdmissionController,
        loads: engine_loads.EngineLoads,
        source: profiles.ProfileSource,
        clock: clocks.Clock,
    ):
        self.controller = controller
        self.streams = running_streams.RunningStreams()
        self._engine_loads = loads
        self._profiles = source
        self._clock = clock
        self._ends = _EndRate()
        self._wakers: dict[int, asyncio.Event] = {}

    def weigh(
        self,
        service: routes.RoutedService,
        call: dialects.Call,
        bounds: costs.LatencyBounds,
        item: endpoint_selector.EndpointSelection,
    ) -> None:
        """Set an engine's place for a call, and add what it lacks in time."""
        endpoint = item.registered.registration.endpoint
        occupancy = self.streams.occupancy(
            endpoint,
            service.service,
            service.batch.slots,
            self._engine_loads.load(endpoint),
            self._clock.mono_ms(),
        )
        expected = item.estimate
        events = math.ceil(call.tokens_expected / service.batch.event_tokens)
        item.place = places.predict(
            places.Demand(
                expected.first_ms,
                expected.prefill_ms,
                max(expected.end_ms - expected.first_ms, 0.0),
                events,
                bounds.deadline_left_ms,
            ),
            occupancy,
            self._profiles.profile(endpoint, service),
        )
        penalty_ms = item.first_ms - expected.first_ms
        if item.place.ready_ms > penalty_ms:
            item.first_ms = expected.first_ms + item.place.ready_ms

    def rule(
        self,
        context: call_context.CallContext,
        item: endpoint_selector.EndpointSelection,
    ) -> None:
        """Admit a call to its best place.

        A call that was sent before, or that goes on with a stream, is always
        admitted.

        :raises NoRoomError: it has to wait, or to be refused
        """
        if item.place is None or context.send_count or context.build:
            return
        now_ms = self._clock.mono_ms()
        ticket = self._ticket_of(context, now_ms)
        decision = self.controller.decide(
            ticket, item.place, context.deadline_ms - now_ms, now_ms
        )
        if decision.ruling is not controllers.Ruling.ADMIT:
            raise NoRoomError(decision, item.place)

    def admit(self, context: call_context.CallContext) -> None:
        """Record that a call goes to an engine or to another region."""
        if context.ticket is None:
            return
        now_ms = self._clock.mono_ms()
        ticket = context.ticket
        self.controller.admit(ticket, context.call.fingerprint.request)
        context.ticket = None
        if ticket.blocked_by:
            self.controller.counters.waited += 1
            logger.info(
                'admission_waited',
                request=context.call.request,
                route=context.route.name,
                waited_ms=now_ms - ticket.arrived_ms,
                reason=ticket.blocked_by,
                passes=ticket.passes,
                waiting=len(self.controller.queue),
            )

    def refuse(
        self, context: call_context.CallContext, error: NoRoomError
    ) -> int:
        """Record that a call is refused; return its Retry-After in ms."""
        now_ms = self._clock.mono_ms()
        ticket = self._ticket_of(context, now_ms)
        place = error.place
        left_ms = context.deadline_ms - now_ms
        return_ms = self.controller.refuse(
            ticket,
            context.call.fingerprint.request,
            max(place.end_ms - left_ms, place.ready_ms),
            self._ends.per_s(now_ms),
            random.random(),
            now_ms,
        )
        context.ticket = None
        first = error.decision.first
        logger.info(
            'admission_refused',
            request=context.call.request,
            route=context.route.name,
            reason=error.decision.reason.value,
            free=place.free,
            running=place.running,
            slots=place.slots,
            room_age_ms=place.age_ms,
            end_ms=round(place.end_ms),
            left_ms=round(left_ms),
            harmed=place.harmed,
            first_urgency=None if first is None else first.urgency,
            first_team=None if first is None else first.team,
            waited_ms=now_ms - ticket.arrived_ms,
            return_ms=round(return_ms),
            waiting=len(self.controller.queue),
        )
        return round(return_ms)

    async def wait(
        self, context: call_context.CallContext, error: NoRoomError
    ) -> None:
        """Wait until a call should be assessed again."""
        ticket = context.ticket
        ticket.blocked_by = error.decision.reason.value
        queue = self.controller.queue
        if id(ticket) not in self._wakers:
            queue.add(ticket)
        waker = self._wakers[id(ticket)] = asyncio.Event()
        while True:
            left_ms = ticket.until_ms - self._clock.mono_ms()
            if left_ms <= 0:
                ticket.has_waited = True
                return
            try:
                async with clocks.timeout_ms(min(left_ms, RECHECK_MS)):
                    await waker.wait()
                    return
            except TimeoutError:
                if ticket in queue.in_order()[:CONCURRENT_RECHECKS]:
                    return

    def leave(self, context: call_context.CallContext) -> None:
        """Forget a call that waits no more."""
        if context.ticket is not None:
            self.controller.queue.discard(context.ticket)
            self._wakers.pop(id(context.ticket), None)

    def _ticket_of(
        self, context: call_context.CallContext, now_ms: int
    ) -> wait_queue.Ticket:
        if context.ticket is None:
            team = context.permit.team
            context.ticket = self.controller.ticket(
                context.call.fingerprint.request,
                context.permit.urgency,
                None if team is None else team.team,
                context.route.target_ms,
                context.call.tokens,
                now_ms,
            )
        return context.ticket

    @contextlib.contextmanager
    def track(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
    ) -> collections.abc.Iterator[None]:
        """Count a call as a stream of its engine while it is served."""
        chosen = destination.chosen
        if chosen is None or chosen.place is None:
            yield
            return
        now_ms = self._clock.mono_ms()
        number = self.streams.add(
            destination.endpoint,
            places.Stream(
                now_ms,
                now_ms + chosen.place.end_ms,
                context.deadline_ms,
                chosen.estimate.prefill_ms,
            ),
        )
        before_ms = context.first_piece_at_ms
        try:
            yield
        finally:
            self.streams.remove(destination.endpoint, number)
            now_ms = self._clock.mono_ms()
            if context.first_piece_at_ms != before_ms:
                self._record_end(context, chosen, now_ms)
            self._wake()

    def _record_end(
        self,
        context: call_context.CallContext,
        chosen: endpoint_selector.EndpointSelection,
        now_ms: int,
    ) -> None:
        """Learn from a stream that has ended."""
        self._ends.add(now_ms)
        first_ms = context.first_piece_at_ms
        self.streams.record_hold(
            context.service.service,
            now_ms - first_ms + chosen.estimate.prefill_ms,
        )
        events = 0 if context.tracker is None else context.tracker.event_count
        if events < MIN_EVENTS or context.last_piece_at_ms is None:
            return
        gap_ms = (context.last_piece_at_ms - first_ms) / (events - 1)
        self._profiles.record_stream(context.service, chosen.place, gap_ms)

    def _wake(self) -> None:
        """Let the first of the calls that wait be assessed again."""
        for ticket in self.controller.queue.in_order()[:CONCURRENT_RECHECKS]:
            waker = self._wakers.get(id(ticket))
            if waker is not None:
                waker.set()

    def record_peer_sent(
        self, sent: discovery_messages.SentCall, service: routes.RoutedService
    ) -> None:
        """Record a call that another host of the region sent to an engine."""
        if service.batch is None:
            return
        now_ms = self._clock.mono_ms()
        profile = self._profiles.profile(sent.endpoint, service)
        events = math.ceil(sent.stream_tokens / service.batch.event_tokens)
        prefill_ms = sent.tokens * profile.token_ms
        length_ms = prefill_ms + events * profile.event_ms
        if not sent.left_ms:
            length_ms = self.streams.hold_ms(service.service)
        sent_ms = now_ms - sent.age_ms
        deadline_ms = sent_ms + sent.left_ms if sent.left_ms else math.inf
        self.streams.add(
            sent.endpoint,
            places.Stream(
                sent_ms, sent_ms + length_ms, deadline_ms, prefill_ms
            ),
        )

    async def log_periodically(self) -> None:
        """Log the totals since the last line, if there are any."""
        before = dataclasses.asdict(self.controller.counters)
        while True:
            await self._clock.sleep_ms(TOTALS_INTERVAL_MS)
            now = dataclasses.asdict(self.controller.counters)
            added = {name: now[name] - before[name] for name in now}
            before = now
            if any(added.values()):
                logger.info('admission_totals', **added)

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop the state of engines that are not in ``endpoints``."""
        self.streams.keep_only(endpoints)
