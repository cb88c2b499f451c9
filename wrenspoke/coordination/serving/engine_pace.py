"""Track the pace at which engines send the events of their streams.

An engine computes prompts between the decode steps of its streams, which
slow down meanwhile. The gaps between events are measured on the streams that
this host forwards.
"""

import collections.abc
import math
import typing

from wrenspoke import clock as clocks
from wrenspoke import ids

# Initial gap for each token of an event.
INITIAL_TOKEN_MS = 8.0
# Time constant of the present pace.
SHORT_TERM_MS = 1_000.0
# Time constant of the usual pace, expected without recent samples.
LONG_TERM_MS = 20_000.0
# How long the present pace is expected to last.
SLOWDOWN_MS = 2_000.0
# Half-life of the longest gap.
LONGEST_GAP_HALF_LIFE_MS = 30_000.0

GapCallback = collections.abc.Callable[[ids.EndpointId, float], None]


class PaceForecast(typing.NamedTuple):
    """Expected gaps between the events of a stream.

    ``present_ms`` applies to the next events, ``usual_ms`` after that.
    """

    usual_ms: float
    present_ms: float

    def stream_ms(self, events: float) -> float:
        """Return the expected duration of a stream of so many events."""
        slow_events = min(events, SLOWDOWN_MS / self.present_ms)
        return (
            slow_events * self.present_ms
            + (events - slow_events) * self.usual_ms
        )


class _DecayingMean:
    """Mean of samples with exponentially decaying weights."""

    __slots__ = ('_time_constant_ms', '_total', '_weight', '_at_ms')

    def __init__(self, time_constant_ms: float, value: float, now_ms: int):
        self._time_constant_ms = time_constant_ms
        self._total = value
        self._weight = 1.0
        self._at_ms = now_ms

    def add_sample(self, value: float, now_ms: int) -> None:
        decay = self._decay_factor(now_ms)
        self._total = decay * self._total + value
        self._weight = decay * self._weight + 1.0
        self._at_ms = now_ms

    def value(self, prior: float, now_ms: int) -> float:
        """Return the mean of the samples and of ``prior`` as one more."""
        decay = self._decay_factor(now_ms)
        return (decay * self._total + prior) / (decay * self._weight + 1.0)

    def _decay_factor(self, now_ms: int) -> float:
        return math.exp(-(now_ms - self._at_ms) / self._time_constant_ms)


class _EnginePace:
    """Pace of one engine."""

    __slots__ = (
        'initial_gap_ms',
        'short_term',
        'long_term',
        'longest_gap_ms',
        'longest_gap_at_ms',
        'on_time_streams',
    )

    def __init__(self, initial_ms: float, now_ms: int):
        self.initial_gap_ms = initial_ms
        self.short_term = _DecayingMean(SHORT_TERM_MS, initial_ms, now_ms)
        self.long_term = _DecayingMean(LONG_TERM_MS, initial_ms, now_ms)
        self.longest_gap_ms = 0.0
        self.longest_gap_at_ms = now_ms
        # This host's streams without a late pause so far.
        self.on_time_streams = 0


class PaceTracker:
    """Tracks the pace of every engine that sends streams to this host."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._engines: dict[ids.EndpointId, _EnginePace] = {}
        self._on_gap: GapCallback | None = None

    def set_gap_callback(self, on_gap: GapCallback) -> None:
        """Call ``on_gap`` with every engine and gap that is recorded."""
        self._on_gap = on_gap

    def now_ms(self) -> int:
        """Return the monotonic time by which gaps are measured."""
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
        """Record the time between two events of a stream."""
        found = self._engine_pace(endpoint, event_tokens)
        now_ms = self._clock.mono_ms()
        found.short_term.add_sample(gap_ms, now_ms)
        found.long_term.add_sample(gap_ms, now_ms)
        age_ms = now_ms - found.longest_gap_at_ms
        decayed_ms = found.longest_gap_ms * 0.5 ** (
            age_ms / LONGEST_GAP_HALF_LIFE_MS
        )
        found.longest_gap_ms = max(decayed_ms, gap_ms)
        found.longest_gap_at_ms = now_ms
        if self._on_gap is not None:
            self._on_gap(endpoint, gap_ms)

    def forecast(
        self,
        endpoint: ids.EndpointId,
        event_tokens: int,
        usual_ms: float | None = None,
    ) -> PaceForecast:
        """Return the expected pace of an engine.

        ``usual_ms`` is its usual gap where that is known otherwise.
        """
        found = self._engine_pace(endpoint, event_tokens)
        now_ms = self._clock.mono_ms()
        if usual_ms is None:
            usual_ms = found.long_term.value(found.initial_gap_ms, now_ms)
        present_ms = found.short_term.value(usual_ms, now_ms)
        return PaceForecast(usual_ms, max(usual_ms, present_ms))

    def longest_gap_ms(self, endpoint: ids.EndpointId) -> float:
        """Return the longest recent gap of an engine, decayed by age."""
        found = self._engines.get(endpoint)
        return 0.0 if found is None else found.longest_gap_ms

    def add_stream(self, endpoint: ids.EndpointId, event_tokens: int) -> None:
        """Count a stream that starts."""
        self._engine_pace(endpoint, event_tokens).on_time_streams += 1

    def remove_stream(self, endpoint: ids.EndpointId) -> None:
        """Stop counting a stream that has ended or paused too long."""
        found = self._engines.get(endpoint)
        if found is not None:
            found.on_time_streams = max(found.on_time_streams - 1, 0)

    def on_time_streams(self, endpoint: ids.EndpointId) -> int:
        """Return the number of streams without a late pause so far."""
        found = self._engines.get(endpoint)
        return 0 if found is None else found.on_time_streams

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop the state of engines that are not in ``endpoints``."""
        for endpoint in list(self._engines):
            if endpoint not in endpoints:
                del self._engines[endpoint]


class StreamGapRecorder:
    """Records the gaps of one stream in its engine's pace.

    Streams forwarded by another host, without an endpoint, are ignored.
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
        """Record the arrival of a piece."""
        if self._endpoint is None:
            return
        now_ms = self._pace.now_ms()
        if self._last_piece_at_ms is None:
            self._is_counted = True
            self._pace.add_stream(self._endpoint, self._event_tokens)
        else:
            gap_ms = now_ms - self._last_piece_at_ms
            self._pace.record_gap(self._endpoint, self._event_tokens, gap_ms)
            has_target = self._pause_target_ms is not None
            if has_target and gap_ms > self._pause_target_ms:
                self._stop_counting()
        self._last_piece_at_ms = now_ms

    def _stop_counting(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._pace.remove_stream(self._endpoint)
