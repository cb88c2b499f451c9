"""Track endpoints that announce in responses that they are leaving.

A mark lasts for the whole life of an endpoint, even if an older report
contradicts it. Endpoints with configured names restart under the same name,
so that one life can't be distinguished from the next: for those the mark
expires some time after the last response that announced it.
"""

import collections.abc

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.limiting import outbox
from wrenspoke import ids
from wrenspoke.protocol import limiting
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

EVICT_INTERVAL_MS = 1_000
# A mark that expires is gossiped again after this part of its TTL.
REGOSSIP_SHARE = 0.25

Exists = collections.abc.Callable[[limiting.EndpointInstance], bool]
Listener = collections.abc.Callable[[limiting.EndpointInstance], None]
Gossip = collections.abc.Callable[
    [list[limiting.EndpointInstance]], collections.abc.Awaitable[None]
]


class LeavingEndpoints:
    """Tracks which endpoints are leaving, and gossips it."""

    def __init__(
        self,
        exists: Exists,
        gossip: Gossip,
        ttl_ms: int | None,
        clock: clocks.Clock,
    ):
        self._exists = exists
        self._outbox = outbox.Outbox(gossip, clock)
        self._ttl_ms = ttl_ms
        self._clock = clock
        # When each endpoint was last marked, and when that was last gossiped.
        self._last_marked_ms: dict[limiting.EndpointInstance, int] = {}
        self._last_gossiped_ms: dict[limiting.EndpointInstance, int] = {}
        self._listeners: list[Listener] = []
        self._tasks = runtime.Tasks()

    def start(self) -> None:
        """Start to gossip leaving endpoints to other hosts."""
        self._tasks.start(self._outbox.run())
        self._tasks.start(self._evict_missing())

    async def close(self) -> None:
        """Cancel all running tasks."""
        await self._tasks.close()

    def listen(self, listener: Listener) -> None:
        """Register a listener, called with each endpoint marked here."""
        self._listeners.append(listener)

    @property
    def is_idle(self) -> bool:
        """Return whether no endpoint was marked."""
        return not self._last_marked_ms

    def is_leaving(self, life: limiting.EndpointInstance) -> bool:
        """Return whether an endpoint is leaving."""
        marked_ms = self._last_marked_ms.get(life)
        if marked_ms is None:
            return False
        return self._ttl_ms is None or (
            self._clock.mono_ms() - marked_ms < self._ttl_ms
        )

    def active(self) -> list[ids.EndpointId]:
        """Return the endpoints that are leaving."""
        return [
            life.endpoint
            for life in self._last_marked_ms
            if self.is_leaving(life)
        ]

    def mark(self, life: limiting.EndpointInstance) -> None:
        """Mark an endpoint whose response announced that it is leaving."""
        now_ms = self._clock.mono_ms()
        if not self._mark(life, now_ms) and not self._needs_regossip(
            life, now_ms
        ):
            return
        self._last_gossiped_ms[life] = now_ms
        self._outbox.add(life)
        for listener in self._listeners:
            listener(life)

    def merge(self, received: list[limiting.EndpointInstance]) -> None:
        """Merge leaving endpoints received from other hosts of the region."""
        now_ms = self._clock.mono_ms()
        for life in received:
            if self._exists(life):
                self._mark(life, now_ms)
                self._last_gossiped_ms[life] = now_ms

    def _mark(self, life: limiting.EndpointInstance, now_ms: int) -> bool:
        """Mark an endpoint; return whether it was not marked before."""
        was_leaving = self.is_leaving(life)
        self._last_marked_ms[life] = now_ms
        if not was_leaving:
            logger.info('endpoint_leaving', endpoint=life.endpoint)
        return not was_leaving

    def _needs_regossip(
        self, life: limiting.EndpointInstance, now_ms: int
    ) -> bool:
        """Return whether a mark has to be gossiped again."""
        if self._ttl_ms is None:
            return False
        told_ms = self._last_gossiped_ms.get(life, 0)
        return now_ms - told_ms >= REGOSSIP_SHARE * self._ttl_ms

    async def _evict_missing(self) -> None:
        """Evict state of endpoints that no longer exist."""
        while True:
            await self._clock.sleep_ms(EVICT_INTERVAL_MS)
            for life in list(self._last_marked_ms):
                if not self._exists(life):
                    del self._last_marked_ms[life]
                    self._last_gossiped_ms.pop(life, None)
