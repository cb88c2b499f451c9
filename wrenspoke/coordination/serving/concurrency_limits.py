"""Adaptive limits of the requests in flight to each endpoint."""

import collections.abc

from wrenspoke import clock as clocks
from wrenspoke import ids

DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_MS = 200
MIN_LIMIT = 1.0
MAX_LIMIT_FACTOR = 4
BUSY_SHARE = 0.8


class AdaptiveLimit:
    """AIMD limit of the requests in flight to one endpoint.

    The limit increases additively while it is in use, and decreases
    multiplicatively when the endpoint rejects work. While the endpoint
    reports queued work it decreases too, but not below the endpoint's slots:
    more requests would only wait longer.
    """

    def __init__(self, slots: int, clock: clocks.Clock):
        self._clock = clock
        self._slots = float(slots)
        self._max_limit = float(slots * MAX_LIMIT_FACTOR)
        self._decreased_ms = -DECREASE_INTERVAL_MS
        self.limit = float(slots)
        self.in_flight = 0

    @property
    def has_capacity(self) -> bool:
        """Return whether one more request may be sent."""
        return self.in_flight + 1 <= self.limit

    def acquire(self) -> None:
        """Count a request as in flight."""
        self.in_flight += 1

    def release(
        self, succeeded: bool, overloaded: bool, has_queue: bool
    ) -> None:
        """Count a request as done and adapt the limit to its result.

        ``has_queue`` says that the endpoint reports queued work.
        """
        busy = self.in_flight >= self.limit * BUSY_SHARE
        self.in_flight -= 1
        if overloaded:
            self._decrease(MIN_LIMIT)
        elif has_queue:
            self._decrease(min(self.limit, self._slots))
        elif succeeded and busy:
            grown = self.limit + 1 / self.limit
            self.limit = min(self._max_limit, grown)

    def _decrease(self, floor: float) -> None:
        now_ms = self._clock.mono_ms()
        if now_ms - self._decreased_ms < DECREASE_INTERVAL_MS:
            return
        self._decreased_ms = now_ms
        self.limit = max(floor, self.limit * DECREASE_FACTOR)


class ConcurrencyLimits:
    """Limits of the endpoints that this host sends to."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._limits: dict[ids.EndpointId, AdaptiveLimit] = {}

    def limit_for(self, endpoint: ids.EndpointId, slots: int) -> AdaptiveLimit:
        """Return the limit of an endpoint, created with ``slots`` if new."""
        limit = self._limits.get(endpoint)
        if limit is None:
            limit = AdaptiveLimit(slots, self._clock)
            self._limits[endpoint] = limit
        return limit

    def in_flight(self, endpoint: ids.EndpointId) -> int:
        """Return the requests of this host in flight to an endpoint."""
        limit = self._limits.get(endpoint)
        return 0 if limit is None else limit.in_flight

    def retain_endpoints(
        self, endpoints: collections.abc.Container[ids.EndpointId]
    ) -> None:
        """Remove the limits of other endpoints without requests in flight."""
        for endpoint, limit in list(self._limits.items()):
            if endpoint not in endpoints and limit.in_flight == 0:
                del self._limits[endpoint]
