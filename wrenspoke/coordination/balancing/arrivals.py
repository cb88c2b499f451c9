"""Follow how many prompt tokens the callers of a region send to its engines.

Two averages of different length show a peak while it begins: where the
short one is above the long one, arrivals are expected to go on growing.
"""

import dataclasses
import math

from wrenspoke import clock as clocks
from wrenspoke import ids

SHORT_MS = 400.0
LONG_MS = 2_000.0
# Growth above this share is a trend, and not chance.
MIN_GROWTH = 0.5
# The forecast is at most so many times the short average.
MAX_GROWTH = 1.5
MIN_AGE_MS = 200.0


@dataclasses.dataclass(slots=True)
class _Averages:
    """Tokens per ms, exponentially averaged up to a time."""

    short: float = 0.0
    long: float = 0.0
    at_ms: int = 0
    began_ms: int = 0


class Arrivals:
    """Prompt tokens that arrive for each service of a region."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._averages: dict[ids.ServiceId, _Averages] = {}

    def record(self, service: ids.ServiceId, tokens: float) -> None:
        """Record that a call with so many uncached tokens was sent."""
        found = self._averages.get(service)
        if found is None:
            found = self._averages[service] = _Averages()
            found.at_ms = found.began_ms = self._clock.mono_ms()
        self._decay(found)
        found.short += tokens / SHORT_MS
        found.long += tokens / LONG_MS

    def forecast_per_ms(self, service: ids.ServiceId) -> float:
        """Return the tokens per ms expected in the next second."""
        found = self._averages.get(service)
        if found is None:
            return 0.0
        self._decay(found)
        # Since the first call, averages have not had the time to level out.
        age_ms = max(found.at_ms - found.began_ms, MIN_AGE_MS)
        short = found.short / (1.0 - math.exp(-age_ms / SHORT_MS))
        long = found.long / (1.0 - math.exp(-age_ms / LONG_MS))
        growth = short - long
        if abs(growth) <= MIN_GROWTH * long:
            return long
        return min(short + max(growth, 0.0), MAX_GROWTH * short)

    def _decay(self, found: _Averages) -> None:
        now_ms = self._clock.mono_ms()
        age_ms = now_ms - found.at_ms
        if age_ms <= 0:
            return
        found.short *= math.exp(-age_ms / SHORT_MS)
        found.long *= math.exp(-age_ms / LONG_MS)
        found.at_ms = now_ms
