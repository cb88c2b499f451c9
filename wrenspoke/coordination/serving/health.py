"""What the outcomes of requests say about endpoints and hosts.

No probes are sent. What fails several times in a row is set aside for a
while that doubles with each further episode; what else was under way there
and fails too belongs to the same one. What can't be reached is used again
as soon as it is heard of, whatever is left of the while. It is up to who
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
    aside_since_ms: int = 0
    aside_until_ms: int = 0
    unreachable: bool = False


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

    def aside_until_ms(self, place: str) -> int:
        """Return until when a place is set aside, 0 if it never was."""
        found = self._standings.get(place)
        return 0 if found is None else found.aside_until_ms

    def succeeded(self, place: str) -> None:
        """Note that a place answered as it should."""
        if self._standings.pop(place, Standing()).pause_ms:
            logger.info('place_recovered', place=place)

    def failed(
        self, place: str, cause: str, sent_ms: int, certain: bool = False
    ) -> None:
        """Note that what was sent at some time failed.

        ``certain`` says that the place can't be reached, for which one
        failure is enough.
        """
        found = self._standings.setdefault(place, Standing())
        if sent_ms < found.aside_since_ms:
            # Under way when it was set aside: the same episode.
            return
        found.failures += 1
        if not certain and found.failures < FAILURES_LIMIT:
            return
        now_ms = self._clock.mono_ms()
        doubled_ms = max(2 * found.pause_ms, FIRST_PAUSE_MS)
        found.pause_ms = min(doubled_ms, LONGEST_PAUSE_MS)
        found.aside_since_ms = now_ms
        found.aside_until_ms = now_ms + found.pause_ms
        found.unreachable = certain
        logger.warning(
            'place_set_aside',
            place=place,
            cause=cause,
            failures=found.failures,
            pause_ms=found.pause_ms,
        )

    def heard(self, place: str, asked_ms: int) -> None:
        """Note that a place answered something that was asked at a time.

        What can't be reached is back then; what answers badly may go on
        to do so.
        """
        found = self._standings.get(place)
        if found is None or not found.unreachable:
            return
        if asked_ms >= found.aside_since_ms:
            self.succeeded(place)

    def forget(self, place: str) -> None:
        """Forget how a place did, as another life began there."""
        self._standings.pop(place, None)

    def keep_only(self, places: set[str]) -> None:
        """Forget places that are gone."""
        for place in list(self._standings):
            if place not in places:
                del self._standings[place]
