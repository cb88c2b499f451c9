"""Learn how long endpoints that are not engines take to answer.

Many hosts share an endpoint's few slots, and none knows the calls of the
others. What their calls cause is seen in the times to an answer, and in
refusals of an endpoint that is full.
"""

import dataclasses

from wrenspoke import clock as clocks
from wrenspoke import ids

INITIAL_MS = 30.0
# Weight of a new time in the mean of an endpoint, and of its service.
WEIGHT = 0.3
SERVICE_WEIGHT = 0.05
# Time in which half of what is known of an endpoint's load is outdated.
HALF_LIFE_MS = 1_000.0
# Expected wait after a refusal, as a multiple of the service's mean time,
# and the time in which half of it is over.
FULL_WAITS = 4.0
FULL_HALF_LIFE_MS = 200.0


@dataclasses.dataclass(slots=True)
class _Waits:
    """Times of one endpoint, relative to the mean of its service."""

    excess_ms: float = 0.0
    answered_ms: int = 0
    full: float = 0.0
    refused_ms: int = 0


class PlainWaits:
    """Expected times to an answer of endpoints that are not engines."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._means_ms: dict[ids.ServiceId, float] = {}
        self._endpoints: dict[ids.EndpointId, _Waits] = {}

    def expected_ms(
        self, endpoint: ids.EndpointId, service: ids.ServiceId
    ) -> float:
        """Return the expected time to an answer for a call sent now."""
        mean_ms = self._means_ms.get(service, INITIAL_MS)
        found = self._endpoints.get(endpoint)
        if found is None:
            return mean_ms
        now_ms = self._clock.mono_ms()
        excess_ms = _decayed(
            found.excess_ms, now_ms - found.answered_ms, HALF_LIFE_MS
        )
        full = _decayed(
            found.full, now_ms - found.refused_ms, FULL_HALF_LIFE_MS
        )
        return max(mean_ms + excess_ms, 1.0) + full * FULL_WAITS * mean_ms

    def record_answer(
        self, endpoint: ids.EndpointId, service: ids.ServiceId, took_ms: float
    ) -> None:
        """Record the time to an answer."""
        mean_ms = self._means_ms.get(service, INITIAL_MS)
        self._means_ms[service] = mean_ms + SERVICE_WEIGHT * (
            took_ms - mean_ms
        )
        found = self._endpoints.setdefault(endpoint, _Waits())
        now_ms = self._clock.mono_ms()
        known_ms = _decayed(
            found.excess_ms, now_ms - found.answered_ms, HALF_LIFE_MS
        )
        found.excess_ms = known_ms + WEIGHT * (took_ms - mean_ms - known_ms)
        found.answered_ms = now_ms

    def record_refusal(self, endpoint: ids.EndpointId) -> None:
        """Record that an endpoint refused a call, as it was full."""
        found = self._endpoints.setdefault(endpoint, _Waits())
        now_ms = self._clock.mono_ms()
        left = _decayed(
            found.full, now_ms - found.refused_ms, FULL_HALF_LIFE_MS
        )
        found.full = left + 1.0
        found.refused_ms = now_ms

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Forget endpoints that are not in ``endpoints``."""
        for endpoint in list(self._endpoints):
            if endpoint not in endpoints:
                del self._endpoints[endpoint]


def _decayed(value: float, age_ms: float, half_life_ms: float) -> float:
    return value * 0.5 ** (age_ms / half_life_ms)
