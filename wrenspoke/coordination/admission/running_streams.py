"""Track the streams that run at each engine, over all hosts of a region.

Own streams are removed as they end; those of other hosts once they should
have ended. Load reports correct the counts: they are some hundred ms old, so
what was sent since is added, and what should have ended since is subtracted.
"""

from wrenspoke.coordination.admission import places
from wrenspoke import ids
from wrenspoke.state import loads

# Age of a load report's contents when it is received.
REPORT_LAG_MS = 200
# Older reports say less than what hosts told of their calls.
REPORT_TTL_MS = 2_000
# Streams of an engine beyond this are not looked at for their deadlines.
STREAMS_LIMIT = 64
INITIAL_HOLD_MS = 1_000.0
# Window of the share of its time that an engine spends on prompts.
PREFILL_WINDOW_MS = 1_000
HOLD_WEIGHT = 0.05
# No stream takes a slot for a shorter time.
MIN_HOLD_MS = 20.0


class RunningStreams:
    """The streams at each engine that this host knows of."""

    def __init__(self):
        self._engines: dict[ids.EndpointId, dict[int, places.Stream]] = {}
        self._last_number = 0
        self._hold_ms: dict[ids.ServiceId, float] = {}

    def add(self, endpoint: ids.EndpointId, stream: places.Stream) -> int:
        """Add a stream; return the number to remove it by."""
        self._last_number += 1
        streams = self._engines.setdefault(endpoint, {})
        streams[self._last_number] = stream
        return self._last_number

    def remove(self, endpoint: ids.EndpointId, number: int) -> None:
        """Remove a stream that has ended."""
        self._engines.get(endpoint, {}).pop(number, None)

    def record_hold(self, service: ids.ServiceId, hold_ms: float) -> None:
        """Update the mean time for which a service's streams hold a slot."""
        old_ms = self.hold_ms(service)
        change_ms = HOLD_WEIGHT * (hold_ms - old_ms)
        self._hold_ms[service] = max(old_ms + change_ms, MIN_HOLD_MS)

    def hold_ms(self, service: ids.ServiceId) -> float:
        """Return the mean time for which a stream holds a slot."""
        return self._hold_ms.get(service, INITIAL_HOLD_MS)

    def occupancy(
        self,
        endpoint: ids.EndpointId,
        service: ids.ServiceId,
        slots: int,
        load: loads.EngineLoad | None,
        now_ms: int,
    ) -> places.Occupancy:
        """Return the streams at an engine."""
        streams = self._live(endpoint, now_ms)
        hold_ms = self.hold_ms(service)
        running = len(streams)
        age_ms = None
        if load is not None and load.age_ms <= REPORT_TTL_MS:
            age_ms = load.age_ms + REPORT_LAG_MS
            reported = load.running + load.queued
            ended = min(reported, slots) * age_ms / hold_ms
            running = max(reported - round(ended), 0)
            for stream in streams:
                running += stream.sent_ms >= now_ms - age_ms
        prefill_ms = 0.0
        for stream in streams:
            if stream.sent_ms >= now_ms - PREFILL_WINDOW_MS:
                prefill_ms += stream.prefill_ms
        return places.Occupancy(
            running,
            slots,
            hold_ms,
            streams[-STREAMS_LIMIT:],
            now_ms,
            prefill_ms / PREFILL_WINDOW_MS,
            age_ms,
        )

    def _live(
        self, endpoint: ids.EndpointId, now_ms: int
    ) -> list[places.Stream]:
        """Return an engine's streams; drop those that must have ended."""
        streams = self._engines.get(endpoint)
        if not streams:
            return []
        ended = [
            number
            for number, stream in streams.items()
            if stream.end_ms <= now_ms or stream.deadline_ms <= now_ms
        ]
        for number in ended:
            del streams[number]
        return list(streams.values())

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop the state of engines that are not in ``endpoints``."""
        for endpoint in list(self._engines):
            if endpoint not in endpoints:
                del self._engines[endpoint]
