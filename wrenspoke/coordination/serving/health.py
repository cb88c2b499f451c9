"""What the outcomes of requests say about endpoints and hosts.

No probes are sent. What fails several times in a row is set aside for a
while that doubles, then tried by one request at a time. It is up to who
chooses to use what is set aside where there is nothing else.
"""

import dataclasses

import structlog

from wrenspoke import clock as clocks

logger = structlog.get_logger(__name__)

# One failure may be chance, a connection that fails is not.
FAILURES_LIMIT = 3
FIRST_PAUSE_MS = 500
LONGEST_PAUSE_MS = 8_000


@dataclasses.dataclass(slots=True)
class Standing:
    """Hold how the last requests to one place went."""

    failures: int = 0
    pause_ms: int = 0
    aside_until_ms: int = 0


class Health:
    """Note how requests ended, by the address they were sent to."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._standings: dict[str, Standing] = {}

    def set_aside(self, place: str) -> bool:
        """Tell whether a place should be left alone for now."""
        found = self._standings.get(place)
        if found is None:
            return False
        return self._clock.mono_ms() < found.aside_until_ms

    def succeeded(self, place: str) -> None:
        """Note that a place answered as it should."""
        if self._standings.pop(place, Standing()).pause_ms:
            logger.info('place_recovered', place=place)

    def failed(self, place: str, cause: str, certain: bool = False) -> None:
        """Note a failure; ``certain`` if one is enough to tell."""
        found = self._standings.setdefault(place, Standing())
        found.failures += 1
        if not certain and found.failures < FAILURES_LIMIT:
            return
        doubled_ms = max(2 * found.pause_ms, FIRST_PAUSE_MS)
        found.pause_ms = min(doubled_ms, LONGEST_PAUSE_MS)
        found.aside_until_ms = self._clock.mono_ms() + found.pause_ms
        logger.warning(
            'place_set_aside',
            place=place,
            cause=cause,
            failures=found.failures,
            pause_ms=found.pause_ms,
        )

    def keep_only(self, places: set[str]) -> None:
        """Forget places that are gone."""
        for place in list(self._standings):
            if place not in places:
                del self._standings[place]
