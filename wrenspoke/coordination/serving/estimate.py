"""Estimate when an endpoint would send the first piece of a response.

For engines it depends on the prompt tokens that are not cached there, the
tokens queued ahead, and the free KV cache. KV cache fetched from another
engine need not be computed. Other endpoints are estimated by their slots.
"""

import dataclasses
import math

from wrenspoke import clock as clocks
from wrenspoke.coordination.balancing import arrivals
from wrenspoke.coordination.balancing import engine_profiles
from wrenspoke.coordination.balancing import plain_waits
from wrenspoke.coordination.balancing import region_room
from wrenspoke.coordination.membership import engine_loads
from wrenspoke.coordination.serving import backlog
from wrenspoke.coordination.serving import engine_pace
from wrenspoke.coordination.serving import prefill_model
from wrenspoke.coordination.serving import prefix_index
from wrenspoke.coordination.serving import sent_call_broadcast
from wrenspoke import ids
from wrenspoke.protocol import capacity
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.state import loads
from wrenspoke.state import registry
from wrenspoke.state import routes

# How long a request holds a slot of an endpoint that is not an engine.
INITIAL_HOLD_MS = 30.0
HOLD_WEIGHT = 0.1
# Transfers of KV cache are queued, and are slower between data centres.
TRANSFER_WAIT_FACTOR = 2.0
# Observations of a region's hosts before its engine profiles are used.
MIN_SAMPLES = 20


@dataclasses.dataclass(slots=True)
class Estimate:
    """Estimated latency of a call at an endpoint.

    ``first_ms`` and ``end_ms`` are the times to the first piece and to the
    end of the response. ``uncached_tokens`` of the prompt are to be computed
    there in ``prefill_ms``, with ``queued_tokens`` of other prompts ahead,
    after a transfer of KV cache in ``transfer_ms``. ``pause_ms`` is the
    longest pause that this causes for the streams there, and
    ``delayed_streams`` how many streams of all hosts it could make late.
    ``can_start_now`` is whether KV cache and batch have room for the call,
    ``spread`` the mean absolute log error of the estimates.
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
    """Estimates latencies from load reports, sent calls and past responses."""

    def __init__(
        self,
        engine_loads: engine_loads.EngineLoads,
        clock: clocks.Clock,
        profiles: engine_profiles.EngineProfiles | None = None,
    ):
        """Create it; with ``profiles`` the region's hosts learn together."""
        self._engine_loads = engine_loads
        self._profiles = profiles
        self._clock = clock
        self.prefixes = prefix_index.PrefixIndex()
        self.backlog = backlog.Backlog(clock)
        self.pace = engine_pace.PaceTracker(clock)
        self._models: dict[ids.ServiceId, prefill_model.PrefillModel] = {}
        self._hold_ms: dict[ids.ServiceId, float] = {}
        self._plain_waits = None
        self.arrivals = arrivals.Arrivals(clock)
        if profiles is not None:
            self._plain_waits = plain_waits.PlainWaits(clock)
            profiles.subscribe(self._adopt_profile)
            self.pace.set_gap_callback(self._observe_gap)

    def _adopt_profile(
        self,
        service: ids.ServiceId,
        profile: capacity.EngineProfile,
        factor: float,
    ) -> None:
        """Use what the region's hosts have learned of an engine."""
        model = self.model_for(service)
        model.start_from(self._profiles.average(service).token_ms)
        model.set_speed_factor(profile.endpoint, factor)

    def _observe_gap(self, endpoint: ids.EndpointId, gap_ms: float) -> None:
        load = self._engine_loads.load(endpoint)
        streams = self._concurrent_streams(endpoint, load)
        self._profiles.observe_gap(endpoint, gap_ms, streams)

    def model_for(self, service: ids.ServiceId) -> prefill_model.PrefillModel:
        """Return the prefill model of a service's engines."""
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
        assume_affinity: bool,
        moved_tokens: float = 0.0,
    ) -> Estimate:
        """Return the estimate for a call at an endpoint.

        ``in_flight`` is the number of this host's calls there,
        ``assume_affinity`` whether the prompt's prefix hashes to the
        endpoint, and ``moved_tokens`` the tokens whose KV cache would be
        fetched from another engine.
        """
        said = found.registration
        if service.batch is None:
            hold_ms = self._hold_ms.get(said.service, INITIAL_HOLD_MS)
            if self._plain_waits is not None:
                hold_ms = self._plain_waits.expected_ms(
                    said.endpoint, said.service
                )
                # Other hosts' calls probably run there in proportion.
                hold_ms *= 1.0 + in_flight / said.slots
            waves = (in_flight + 1) / said.slots
            first_ms = hold_ms * max(waves, 1.0)
            return Estimate(first_ms, first_ms)
        model = self.model_for(said.service)
        load = self._engine_loads.load(said.endpoint)
        # Affinity is only assumed without broadcasts from the other hosts.
        assume_affinity = assume_affinity and not self.backlog.has_peer_reports
        cached = self.prefixes.cached_tokens(
            said.endpoint, call.parts, assume_affinity
        )
        uncached = max(call.tokens_in - cached - moved_tokens, 0.0)
        token_ms = self.token_ms(said.endpoint, said.service)
        queued = self.backlog.tokens_ahead(said.endpoint, load, token_ms)
        transfer_ms = TRANSFER_WAIT_FACTOR * service.batch.cache_transfer_ms(
            moved_tokens
        )
        first_ms = (
            model.first_ms(said.endpoint, uncached, queued) + transfer_ms
        )
        can_start = True
        if load is not None:
            needed = uncached + call.tokens_out + queued
            fits = load.held_tokens + needed <= load.total_tokens
            can_start = fits and load.running < service.batch.slots
        event_tokens = service.batch.event_tokens
        events = math.ceil(call.tokens_expected / event_tokens)
        pace_ahead = self.forecast(found, service)
        prefill_ms = uncached * token_ms
        busy_ms = queued * token_ms + prefill_ms
        return Estimate(
            first_ms,
            first_ms + pace_ahead.stream_ms(events),
            uncached,
            queued,
            prefill_ms,
            transfer_ms,
            min(busy_ms, self.pace.longest_gap_ms(said.endpoint)),
            self._concurrent_streams(said.endpoint, load),
            model.spread,
            can_start,
        )

    def _concurrent_streams(
        self, endpoint: ids.EndpointId, load: loads.EngineLoad | None
    ) -> int:
        """Return how many streams of all hosts run at an engine."""
        own = self.pace.on_time_streams(endpoint)
        return own if load is None else max(own, load.running)

    def free_slots(
        self, found: registry.EndpointEntry, service: routes.RoutedService
    ) -> int:
        """Return an engine's free batch slots, by its last load report."""
        load = self._engine_loads.load(found.registration.endpoint)
        if service.batch is None or load is None:
            return 0
        return max(service.batch.slots - load.running - load.queued, 0)

    def forecast(
        self, found: registry.EndpointEntry, service: routes.RoutedService
    ) -> engine_pace.PaceForecast:
        """Return the expected gaps between the events of an engine."""
        said = found.registration
        load = self._engine_loads.load(said.endpoint)
        return self.pace.forecast(
            said.endpoint,
            service.batch.event_tokens,
            self._event_ms(said, load),
        )

    def engine_room(
        self, found: registry.EndpointEntry, service: routes.RoutedService
    ) -> region_room.EngineRoom:
        """Return the room of an engine, by its last load report."""
        endpoint = found.registration.endpoint
        load = self._engine_loads.load(endpoint)
        token_ms = self.token_ms(endpoint, service.service)
        places, cache_tokens = service.batch.slots, service.batch.cache_tokens
        if load is not None:
            places = max(places - load.running - load.queued, 0)
            cache_tokens = max(load.total_tokens - load.held_tokens, 0)
        queued = self.backlog.tokens_ahead(endpoint, load, token_ms)
        return region_room.EngineRoom(places, cache_tokens, token_ms, queued)

    def record_sent(
        self,
        endpoint: ids.EndpointId,
        service: routes.RoutedService,
        call: dialects.Call,
        estimate: Estimate,
    ) -> int | None:
        """Record that a call is sent to an endpoint.

        Returns the number to be passed to ``record_prefilled``, or None if
        the endpoint is not an engine.
        """
        if service.batch is None:
            return None
        self.prefixes.record_prompt(
            endpoint,
            service.batch.cache_tokens,
            call.parts,
            call.tokens_expected,
        )
        self.arrivals.record(service.service, estimate.uncached_tokens)
        return self.backlog.add_prompt(
            endpoint,
            estimate.uncached_tokens,
            self.token_ms(endpoint, service.service),
        )

    def token_ms(
        self, endpoint: ids.EndpointId, service: ids.ServiceId
    ) -> float:
        """Return an engine's prefill time for a token."""
        if self._has_profiles(service):
            return self._profiles.profile(endpoint).token_ms
        model = self.model_for(service)
        return model.token_ms * model.speed_factor(endpoint)

    def _has_profiles(self, service: ids.ServiceId) -> bool:
        """Return whether the region has learned of a service's engines."""
        if self._profiles is None:
            return False
        return self._profiles.average(service).samples >= MIN_SAMPLES

    def _event_ms(
        self, said: registry.Registration, load: loads.EngineLoad | None
    ) -> float | None:
        """Return the usual gap between events beside an engine's streams."""
        if not self._has_profiles(said.service):
            return None
        found = self._profiles.profile(said.endpoint)
        streams = self._concurrent_streams(said.endpoint, load)
        return found.event_ms + found.event_ms_per_stream * streams

    def record_peer_sent(
        self, sent: discovery_messages.SentCall, service: routes.RoutedService
    ) -> None:
        """Record a call that another host of the region sent to an engine."""
        if service.batch is None:
            return
        self.arrivals.record(service.service, sent.tokens)
        parts = sent_call_broadcast.prompt_parts(sent)
        self.prefixes.record_prompt(
            sent.endpoint, service.batch.cache_tokens, parts, sent.own_tokens
        )
        self.backlog.add_peer_prompt(
            sent.endpoint,
            sent.tokens,
            self.token_ms(sent.endpoint, service.service),
            sent.age_ms,
        )

    def record_prefilled(
        self, endpoint: ids.EndpointId, number: int | None
    ) -> None:
        """Record that a call gave its first piece, or ended without one."""
        if number is not None:
            self.backlog.remove_prompt(endpoint, number)

    def record_first_piece(
        self,
        endpoint: ids.EndpointId,
        service: routes.RoutedService,
        estimate: Estimate,
        took_ms: float,
    ) -> None:
        """Update the models with the time to a first piece or a response."""
        if service.batch is None:
            if self._plain_waits is not None:
                self._plain_waits.record_answer(
                    endpoint, service.service, took_ms
                )
            old = self._hold_ms.get(service.service, INITIAL_HOLD_MS)
            change = HOLD_WEIGHT * (took_ms - old)
            self._hold_ms[service.service] = old + change
            return
        self.backlog.record_first_piece(
            endpoint, self._clock.mono_ms() - took_ms
        )
        if self._profiles is not None:
            self._profiles.observe_prompt(
                endpoint,
                estimate.uncached_tokens,
                estimate.queued_tokens,
                took_ms - estimate.transfer_ms,
            )
        self.model_for(service.service).add_sample(
            endpoint,
            estimate.uncached_tokens,
            estimate.queued_tokens,
            took_ms - estimate.transfer_ms,
        )

    def record_refusal(self, endpoint: ids.EndpointId) -> None:
        """Record that an endpoint refused a call without running it."""
        if self._plain_waits is not None:
            self._plain_waits.record_refusal(endpoint)

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop the state of endpoints that are not in ``endpoints``."""
        self.prefixes.keep_only(endpoints)
        self.backlog.keep_only(endpoints)
        self.pace.keep_only(endpoints)
        if self._profiles is not None:
            self._profiles.keep_only(endpoints)
            self._plain_waits.keep_only(endpoints)
        for model in self._models.values():
            model.keep_only(endpoints)
