"""Room of a region's engines, as it offers it and as others spend it.

The offering region sums up its engines. The hosts of an asking region spend
the same offer: each counts the calls that all of them forwarded since it was
made, and what the offering region's own callers and engines have done to it.
"""

import collections
import collections.abc
import dataclasses

import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import capacity

logger = structlog.get_logger(__name__)

# A region is busy from the first mean wait on, until the second.
BUSY_MS = 300.0
AT_EASE_MS = 100.0
# Added where no place or no memory is left: roughly the time until a stream
# completes.
NO_ROOM_MS = 500.0
# What a region's callers and engines do is assumed to go on for so long.
MAX_EXTRAPOLATION_MS = 1_000.0
# Forwarded calls older than any offer in use.
SPENT_TTL_MS = 3_000


@dataclasses.dataclass(slots=True, frozen=True)
class EngineRoom:
    """Room of one engine; ``token_ms`` is its prefill time for a token."""

    places: int
    cache_tokens: int
    token_ms: float
    queued_tokens: float


def sum_up(
    service: ids.ServiceId,
    engines: collections.abc.Iterable[EngineRoom],
    arriving_per_ms: float,
) -> capacity.ServiceRoom:
    """Return the room of a region's engines."""
    places = cache_tokens = 0
    tokens_per_ms = queued_tokens = 0.0
    for engine in engines:
        places += engine.places
        cache_tokens += engine.cache_tokens
        tokens_per_ms += 1.0 / engine.token_ms
        queued_tokens += engine.queued_tokens
    return capacity.ServiceRoom(
        service,
        places,
        cache_tokens,
        round(tokens_per_ms, 3),
        round(queued_tokens),
        round(arriving_per_ms, 3),
    )


class BusyLog:
    """Logs when prompts begin and cease to wait for long in a region."""

    def __init__(self):
        self._busy: set[ids.ServiceId] = set()

    def record(self, room: capacity.ServiceRoom) -> None:
        """Log a change, by the room of a service's engines."""
        if room.tokens_per_ms <= 0:
            return
        mean_ms = room.queued_tokens / room.tokens_per_ms
        is_busy = room.service in self._busy
        if mean_ms >= BUSY_MS and not is_busy:
            self._busy.add(room.service)
        elif mean_ms < AT_EASE_MS and is_busy:
            self._busy.discard(room.service)
        else:
            return
        logger.info(
            'region_at_ease' if is_busy else 'region_busy',
            service=room.service,
            mean_wait_ms=round(mean_ms),
            queued_tokens=round(room.queued_tokens),
            tokens_per_ms=round(room.tokens_per_ms, 1),
            arriving_per_ms=round(room.arriving_per_ms, 1),
            places=room.places,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Spent:
    """What was forwarded to a region since its offer was made."""

    tokens: float = 0.0
    calls: int = 0


class SpentRoom:
    """Calls that the hosts of this region forwarded to other regions."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._forwarded: dict[
            tuple[ids.RegionId, ids.ServiceId],
            collections.deque[tuple[int, float]],
        ] = {}

    def record_forwarded(
        self,
        region: ids.RegionId,
        service: ids.ServiceId,
        tokens: float,
        age_ms: int = 0,
    ) -> None:
        """Record a call that was forwarded ``age_ms`` ago."""
        calls = self._forwarded.setdefault(
            (region, service), collections.deque()
        )
        now_ms = self._clock.mono_ms()
        calls.append((now_ms - age_ms, tokens))
        while calls[0][0] < now_ms - SPENT_TTL_MS:
            calls.popleft()

    def since(
        self, region: ids.RegionId, service: ids.ServiceId, since_ms: float
    ) -> Spent:
        """Return what was forwarded at a time or later."""
        tokens, calls = 0.0, 0
        for sent_ms, sent_tokens in self._forwarded.get((region, service), ()):
            if sent_ms >= since_ms:
                tokens += sent_tokens
                calls += 1
        return Spent(tokens, calls)


def room_now(
    room: capacity.ServiceRoom, spent: Spent, age_ms: float
) -> capacity.ServiceRoom:
    """Return what is left of an offer that was made ``age_ms`` ago.

    What the offering region's engines compute meanwhile, and what arrives
    there from its own callers and other regions, is expected to go on.
    """
    grown = (room.arriving_per_ms - room.tokens_per_ms) * min(
        age_ms, MAX_EXTRAPOLATION_MS
    )
    return capacity.ServiceRoom(
        room.service,
        max(room.places - spent.calls, 0),
        max(round(room.cache_tokens - spent.tokens), 0),
        room.tokens_per_ms,
        max(room.queued_tokens + grown + spent.tokens, 0.0),
        room.arriving_per_ms,
    )


def wait_ms(
    wait_then_ms: float,
    then: capacity.ServiceRoom,
    now: capacity.ServiceRoom,
    spent: Spent,
    tokens: float,
) -> float:
    """Return the wait of a further call of so many tokens.

    ``wait_then_ms`` was the wait at the best engine when the offer was
    made. Further calls fill the least busy engines first, so that the wait
    grows at least by what all engines together need for them, and is at
    least the mean wait.
    """
    if now.tokens_per_ms <= 0:
        return wait_then_ms + NO_ROOM_MS
    added = min(max(now.queued_tokens - then.queued_tokens, 0.0), spent.tokens)
    found_ms = max(
        wait_then_ms + added / now.tokens_per_ms,
        now.queued_tokens / now.tokens_per_ms,
    )
    has_room = now.places > 0 and now.cache_tokens >= tokens
    return found_ms if has_room else found_ms + NO_ROOM_MS
