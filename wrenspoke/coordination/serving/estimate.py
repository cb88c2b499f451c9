"""Estimate when an endpoint would give the first piece of an answer.

For engines the prompt counts: what of it is still to be read there, what
waits before it, and whether the memory holds it. What the engine takes
over from another one need not be read. Other endpoints are estimated by
their places.
"""

import dataclasses
import math

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import engine_loads
from wrenspoke.coordination.serving import backlog
from wrenspoke.coordination.serving import engine_pace
from wrenspoke.coordination.serving import prefill_model
from wrenspoke.coordination.serving import prefix_index
from wrenspoke.coordination.serving import sent_call_broadcast
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import dialect as dialects
from wrenspoke.state import registry
from wrenspoke.state import routes

# Of a plain endpoint, how long a request holds its place.
INITIAL_HOLD_MS = 30.0
HOLD_WEIGHT = 0.1
# Moves go one after the other, and take twice as long between data centres.
TRANSFER_WAIT_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class Estimate:
    """Say what a call would find at an endpoint.

    ``unread_tokens`` of its prompt are still to be read there, with
    ``ahead_tokens`` of others before it; ``reading_ms`` is what reading
    them takes from others, ``moving_ms`` what a move of memory takes
    first. After ``end_ms`` the answer is whole; ``pause_ms`` is the
    longest pause that streams there have while it is read, and ``harmed``
    how many of them that pause would make late. ``room`` tells whether it
    can begin at once, ``spread`` how far estimates are off in the mean,
    as a logarithm.
    """

    first_ms: float
    end_ms: float = 0.0
    uncached_tokens: float = 0.0
    queued_tokens: float = 0.0
    prefill_ms: float = 0.0
    transfer_ms: float = 0.0
    pause_ms: float = 0.0
    delayed_streams: int = 0
    spread: float = prefill_model.INITIAL_SPREAD
    can_start_now: bool = True


class Estimator:
    """Estimate first pieces by reports, own sends and what was learned."""

    def __init__(
        self, engine_loads: engine_loads.EngineLoads, clock: clocks.Clock
    ):
        self._engine_loads = engine_loads
        self.prefixes = prefix_index.PrefixIndex()
        self.backlog = backlog.Backlog(clock)
        self.pace = engine_pace.PaceTracker(clock)
        self._models: dict[ids.ServiceId, prefill_model.PrefillModel] = {}
        self._hold_ms: dict[ids.ServiceId, float] = {}

    def model_for(self, service: ids.ServiceId) -> prefill_model.PrefillModel:
        """Return what was learned of a service's engines."""
        found = self._models.get(service)
        if found is None:
            found = self._models[service] = prefill_model.PrefillModel()
        return found

    def estimate(
        self,
        found: registry.EndpointEntry,
        service: routes.RoutedService,
        call: dialects.Call,
        in_flight: int,
        usual: bool,
        moved_tokens: float = 0.0,
    ) -> Estimate:
        """Return what a call would find at an endpoint.

        ``moved_tokens`` is what it takes over from another engine, and
        ``usual`` says that hosts agree on it for the prompt's prefix.
        """
        said = found.registration
        if service.batch is None:
            hold_ms = self._hold_ms.get(said.service, INITIAL_HOLD_MS)
            waves = (in_flight + 1) / said.slots
            first_ms = hold_ms * max(waves, 1.0)
            return Estimate(first_ms, first_ms)
        model = self.model_for(said.service)
        load = self._engine_loads.load(said.endpoint)
        # Where others tell what they send, nothing needs to be supposed.
        usual = usual and not self.backlog.has_peer_reports
        kept = self.prefixes.cached_tokens(said.endpoint, call.parts, usual)
        unread = max(call.tokens_in - kept - moved_tokens, 0.0)
        token_ms = self._token_ms(said.endpoint, said.service)
        ahead = self.backlog.tokens_ahead(said.endpoint, load, token_ms)
        moving_ms = TRANSFER_WAIT_FACTOR * service.batch.cache_transfer_ms(
            moved_tokens
        )
        first_ms = model.first_ms(said.endpoint, unread, ahead) + moving_ms
        room = True
        if load is not None:
            needed = unread + call.tokens_out + ahead
            fits = load.held_tokens + needed <= load.total_tokens
            room = fits and load.running < service.batch.slots
        event_tokens = service.batch.event_tokens
        events = math.ceil(call.tokens_expected / event_tokens)
        pace_ahead = self.pace.forecast(said.endpoint, event_tokens)
        reading_ms = unread * token_ms
        busy_ms = ahead * token_ms + reading_ms
        return Estimate(
            first_ms,
            first_ms + pace_ahead.stream_ms(events),
            unread,
            ahead,
            reading_ms,
            moving_ms,
            min(busy_ms, self.pace.longest_gap_ms(said.endpoint)),
            self.pace.on_time_streams(said.endpoint),
            model.spread,
            room,
        )

    def free_slots(
        self, found: registry.EndpointEntry, service: routes.RoutedService
    ) -> int:
        """Return the places of an engine that its last report left free."""
        load = self._engine_loads.load(found.registration.endpoint)
        if service.batch is None or load is None:
            return 0
        return max(service.batch.slots - load.running - load.queued, 0)

    def record_sent(
        self,
        endpoint: ids.EndpointId,
        service: routes.RoutedService,
        call: dialects.Call,
        estimate: Estimate,
    ) -> int | None:
        """Note that a call goes to an endpoint.

        Returns the number by which ``note_read`` is told of it.
        """
        if service.batch is None:
            return None
        self.prefixes.record_prompt(
            endpoint,
            service.batch.cache_tokens,
            call.parts,
            call.tokens_expected,
        )
        return self.backlog.add_prompt(
            endpoint,
            estimate.uncached_tokens,
            self._token_ms(endpoint, service.service),
        )

    def _token_ms(
        self, endpoint: ids.EndpointId, service: ids.ServiceId
    ) -> float:
        """Return what an engine takes to read a token."""
        model = self.model_for(service)
        return model.token_ms * model.speed_factor(endpoint)

    def record_peer_sent(
        self, sent: attending.SentCall, service: routes.RoutedService
    ) -> None:
        """Note a call that another host of the region sent to an engine."""
        if service.batch is None:
            return
        parts = sent_call_broadcast.prompt_parts(sent)
        self.prefixes.record_prompt(
            sent.endpoint, service.batch.cache_tokens, parts, sent.own_tokens
        )
        self.backlog.add_peer_prompt(
            sent.endpoint,
            sent.tokens,
            self._token_ms(sent.endpoint, service.service),
            sent.age_ms,
        )

    def record_prefilled(
        self, endpoint: ids.EndpointId, number: int | None
    ) -> None:
        """Note that a call gave its first piece, or ended without one."""
        if number is not None:
            self.backlog.remove_prompt(endpoint, number)

    def record_first_piece(
        self,
        endpoint: ids.EndpointId,
        service: routes.RoutedService,
        estimate: Estimate,
        took_ms: float,
    ) -> None:
        """Learn from the time to a first piece or a whole answer."""
        if service.batch is None:
            old = self._hold_ms.get(service.service, INITIAL_HOLD_MS)
            moved = HOLD_WEIGHT * (took_ms - old)
            self._hold_ms[service.service] = old + moved
            return
        self.model_for(service.service).add_sample(
            endpoint,
            estimate.uncached_tokens,
            estimate.queued_tokens,
            took_ms - estimate.transfer_ms,
        )

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Forget endpoints that are gone."""
        self.prefixes.keep_only(endpoints)
        self.backlog.keep_only(endpoints)
        self.pace.keep_only(endpoints)
        for model in self._models.values():
            model.keep_only(endpoints)
