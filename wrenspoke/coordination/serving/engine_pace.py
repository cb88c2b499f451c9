"""Know how quickly engines give the events of their streams.

An engine reads prompts between the tokens of all streams that run there,
so that streams slow down while it reads, and crawl while more comes than
it can read. How long the gaps between events are is seen from the streams
that pass through this host.
"""

import math
import typing

from wrenspoke import clock as clocks
from wrenspoke import ids

# Until it was seen: a few ms for each token of an event.
INITIAL_TOKEN_MS = 8.0
# What was seen this long ago counts a third for the present pace.
SHORT_TERM_MS = 1_000.0
# What was usual over this time is expected where nothing was seen lately.
LONG_TERM_MS = 20_000.0
# What slows an engine down at present is taken to last so long.
SLOWDOWN_MS = 2_000.0
# The longest gap seen is forgotten to a half over this time.
LONGEST_GAP_HALF_LIFE_MS = 30_000.0


class PaceForecast(typing.NamedTuple):
    """State how long events are expected to take.

    ``usual_ms`` lies between two of a stream as a rule, ``present_ms`` in
    the present crowd, which does not last.
    """

    usual_ms: float
    present_ms: float

    def stream_ms(self, events: float) -> float:
        """Return how long so many events take."""
        slowed = min(events, SLOWDOWN_MS / self.present_ms)
        return slowed * self.present_ms + (events - slowed) * self.usual_ms


class _DecayingMean:
    """Be the mean of what was seen; older values fade with time."""

    __slots__ = ('_time_constant_ms', '_total', '_weight', '_at_ms')

    def __init__(self, memory_ms: float, value: float, now_ms: int):
        self._time_constant_ms = memory_ms
        self._total = value
        self._weight = 1.0
        self._at_ms = now_ms

    def add_sample(self, value: float, now_ms: int) -> None:
        kept = self._decay_factor(now_ms)
        self._total = kept * self._total + value
        self._weight = kept * self._weight + 1.0
        self._at_ms = now_ms

    def value(self, usual: float, now_ms: int) -> float:
        """Return the mean, joined by ``usual`` as one more value."""
        kept = self._decay_factor(now_ms)
        return (kept * self._total + usual) / (kept * self._weight + 1.0)

    def _decay_factor(self, now_ms: int) -> float:
        return math.exp(-(now_ms - self._at_ms) / self._time_constant_ms)


class _EnginePace:
    """Hold the pace of one engine."""

    __slots__ = (
        'initial_gap_ms',
        'short_term',
        'long_term',
        'longest_gap_ms',
        'longest_gap_at_ms',
        'on_time_streams',
    )

    def __init__(self, first_ms: float, now_ms: int):
        self.initial_gap_ms = first_ms
        self.short_term = _DecayingMean(SHORT_TERM_MS, first_ms, now_ms)
        self.long_term = _DecayingMean(LONG_TERM_MS, first_ms, now_ms)
        self.longest_gap_ms = 0.0
        self.longest_gap_at_ms = now_ms
        # Streams from here that have not paused for too long yet.
        self.on_time_streams = 0


class PaceTracker:
    """Hold the pace of every engine that streams come from."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._engines: dict[ids.EndpointId, _EnginePace] = {}

    def now_ms(self) -> int:
        """Return the time by which gaps are measured."""
        return self._clock.mono_ms()

    def _engine_pace(
        self, endpoint: ids.EndpointId, event_tokens: int
    ) -> _EnginePace:
        found = self._engines.get(endpoint)
        if found is None:
            found = _EnginePace(
                INITIAL_TOKEN_MS * event_tokens, self._clock.mono_ms()
            )
            self._engines[endpoint] = found
        return found

    def record_gap(
        self, endpoint: ids.EndpointId, event_tokens: int, gap_ms: float
    ) -> None:
        """Learn from the time between two events of a stream."""
        found = self._engine_pace(endpoint, event_tokens)
        now_ms = self._clock.mono_ms()
        found.short_term.add_sample(gap_ms, now_ms)
        found.long_term.add_sample(gap_ms, now_ms)
        age_ms = now_ms - found.longest_gap_at_ms
        faded_ms = found.longest_gap_ms * 0.5 ** (
            age_ms / LONGEST_GAP_HALF_LIFE_MS
        )
        found.longest_gap_ms = max(faded_ms, gap_ms)
        found.longest_gap_at_ms = now_ms

    def forecast(
        self, endpoint: ids.EndpointId, event_tokens: int
    ) -> PaceForecast:
        """Return the pace that is to be expected of an engine."""
        found = self._engine_pace(endpoint, event_tokens)
        now_ms = self._clock.mono_ms()
        usual_ms = found.long_term.value(found.initial_gap_ms, now_ms)
        present_ms = found.short_term.value(usual_ms, now_ms)
        return PaceForecast(usual_ms, max(usual_ms, present_ms))

    def longest_gap_ms(self, endpoint: ids.EndpointId) -> float:
        """Return how long an engine's events take while it reads."""
        found = self._engines.get(endpoint)
        return 0.0 if found is None else found.longest_gap_ms

    def add_stream(self, endpoint: ids.EndpointId, event_tokens: int) -> None:
        """Count a stream that begins."""
        self._engine_pace(endpoint, event_tokens).on_time_streams += 1

    def remove_stream(self, endpoint: ids.EndpointId) -> None:
        """Count a stream no more, as it has ended or paused too long."""
        found = self._engines.get(endpoint)
        if found is not None:
            found.on_time_streams = max(found.on_time_streams - 1, 0)

    def on_time_streams(self, endpoint: ids.EndpointId) -> int:
        """Return the streams that a long pause would make late."""
        found = self._engines.get(endpoint)
        return 0 if found is None else found.on_time_streams

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Forget engines that are gone."""
        for endpoint in list(self._engines):
            if endpoint not in endpoints:
                del self._engines[endpoint]


class StreamGapRecorder:
    """Follow one stream of an engine, and let its pace be learned.

    A stream that comes by way of another host tells nothing of an engine.
    """

    def __init__(
        self,
        tracker: PaceTracker,
        endpoint: ids.EndpointId | None,
        event_tokens: int,
        pause_target_ms: float | None,
    ):
        self._pace = tracker
        self._endpoint = endpoint
        self._event_tokens = event_tokens
        self._pause_target_ms = pause_target_ms
        self._last_piece_at_ms: int | None = None
        self._is_counted = False

    def __enter__(self) -> 'StreamGapRecorder':
        return self

    def __exit__(self, *_error: object) -> None:
        self._stop_counting()

    def record_piece(self) -> None:
        """Note that a piece has come."""
        if self._endpoint is None:
            return
        now_ms = self._pace.now_ms()
        if self._last_piece_at_ms is None:
            self._is_counted = True
            self._pace.add_stream(self._endpoint, self._event_tokens)
        else:
            gap_ms = now_ms - self._last_piece_at_ms
            self._pace.record_gap(self._endpoint, self._event_tokens, gap_ms)
            late = self._pause_target_ms is not None
            if late and gap_ms > self._pause_target_ms:
                self._stop_counting()
        self._last_piece_at_ms = now_ms

    def _stop_counting(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._pace.remove_stream(self._endpoint)
