"""Passive outlier detection: eject endpoints and hosts after failures.

No probes are sent. After several consecutive failures an address is ejected
for a time that doubles with each further ejection; failures of requests that
were in flight then do not count again. An unreachable address is used again
as soon as it responds. Ejected addresses may still be used if there are no
others.
"""

import dataclasses

import structlog

from wrenspoke import clock as clocks

logger = structlog.get_logger(__name__)

# A failed connection ejects at once.
CONSECUTIVE_FAILURES_LIMIT = 3
INITIAL_EJECTION_MS = 500
MAX_EJECTION_MS = 8_000


@dataclasses.dataclass(slots=True)
class EjectionState:
    """Failures and ejections of one address."""

    failures: int = 0
    ejection_ms: int = 0
    ejected_since_ms: int = 0
    ejected_until_ms: int = 0
    unreachable: bool = False


class OutlierDetector:
    """Tracks outcomes of requests by address."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._states: dict[str, EjectionState] = {}

    def is_ejected(self, place: str) -> bool:
        """Return whether an address is ejected."""
        found = self._states.get(place)
        if found is None:
            return False
        return self._clock.mono_ms() < found.ejected_until_ms

    def ejected_until_ms(self, place: str) -> int:
        """Return until when an address is ejected, 0 if it never was."""
        found = self._states.get(place)
        return 0 if found is None else found.ejected_until_ms

    def record_success(self, place: str) -> None:
        """Record a successful request."""
        if self._states.pop(place, EjectionState()).ejection_ms:
            logger.info('address_recovered', place=place)

    def record_failure(
        self, place: str, cause: str, sent_ms: int, certain: bool = False
    ) -> None:
        """Record the failure of a request that was sent at ``sent_ms``.

        If ``certain``, the address is unreachable and is ejected at once.
        """
        found = self._states.setdefault(place, EjectionState())
        if sent_ms < found.ejected_since_ms:
            # In flight at the last ejection, which it led to.
            return
        found.failures += 1
        if not certain and found.failures < CONSECUTIVE_FAILURES_LIMIT:
            return
        now_ms = self._clock.mono_ms()
        doubled_ms = max(2 * found.ejection_ms, INITIAL_EJECTION_MS)
        found.ejection_ms = min(doubled_ms, MAX_EJECTION_MS)
        found.ejected_since_ms = now_ms
        found.ejected_until_ms = now_ms + found.ejection_ms
        found.unreachable = certain
        logger.warning(
            'address_ejected',
            place=place,
            cause=cause,
            failures=found.failures,
            pause_ms=found.ejection_ms,
        )

    def record_reachable(self, place: str, asked_ms: int) -> None:
        """Record a response to a check that was sent at ``asked_ms``.

        It ends the ejection of an unreachable address, but not one for error
        responses.
        """
        found = self._states.get(place)
        if found is None or not found.unreachable:
            return
        if asked_ms >= found.ejected_since_ms:
            self.record_success(place)

    def reset_address(self, place: str) -> None:
        """Drop an address's state after its process was replaced."""
        self._states.pop(place, None)

    def keep_only(self, places: set[str]) -> None:
        """Drop the state of addresses that are not in ``places``."""
        for place in list(self._states):
            if place not in places:
                del self._states[place]
