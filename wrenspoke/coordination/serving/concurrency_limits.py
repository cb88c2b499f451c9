"""Adaptive limits: how much work an endpoint is given at once."""

import collections.abc

from wrenspoke import clock as clocks
from wrenspoke import ids

DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_MS = 200
MIN_LIMIT = 1.0
MAX_LIMIT_FACTOR = 4
BUSY_SHARE = 0.8


class AdaptiveLimit:
    """Bound the requests in flight to one endpoint.

    Additive increase while the limit is in use, multiplicative decrease
    when the endpoint turns work away. Where the endpoint reports that
    work waits there, more would only wait longer: the limit then goes
    back towards the endpoint's slots.
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
        """Tell whether one more request may be sent."""
        return self.in_flight + 1 <= self.limit

    def acquire(self) -> None:
        """Count a request in."""
        self.in_flight += 1

    def release(
        self, succeeded: bool, overloaded: bool, has_queue: bool
    ) -> None:
        """Count a request out and learn from its end.

        ``crowded`` says that the endpoint has work waiting.
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
    """Hold the limit of every endpoint that this host sends to."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._limits: dict[ids.EndpointId, AdaptiveLimit] = {}

    def limit_for(self, endpoint: ids.EndpointId, slots: int) -> AdaptiveLimit:
        """Return an endpoint's limit, made on first use."""
        limit = self._limits.get(endpoint)
        if limit is None:
            limit = AdaptiveLimit(slots, self._clock)
            self._limits[endpoint] = limit
        return limit

    def in_flight(self, endpoint: ids.EndpointId) -> int:
        """Return how many requests this host has at an endpoint."""
        limit = self._limits.get(endpoint)
        return 0 if limit is None else limit.in_flight

    def retain_endpoints(
        self, endpoints: collections.abc.Container[ids.EndpointId]
    ) -> None:
        """Forget endpoints that are gone and idle."""
        for endpoint, limit in list(self._limits.items()):
            if endpoint not in endpoints and limit.in_flight == 0:
                del self._limits[endpoint]
