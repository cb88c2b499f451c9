"""Endpoints that say in their responses that they are about to end.

A mark holds for the whole life of an endpoint, whatever an older report says
of it. Endpoints with configured names start again under them, and nothing
tells their lives apart: for those the mark ends some time after the last
response that said so.
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
# A mark that ends is gossiped again when this part of its time is over.
REGOSSIP_SHARE = 0.25

Exists = collections.abc.Callable[[limiting.EndpointLife], bool]
Listener = collections.abc.Callable[[limiting.EndpointLife], None]
Gossip = collections.abc.Callable[
    [list[limiting.EndpointLife]], collections.abc.Awaitable[None]
]


class LeavingEndpoints:
    """Hold which endpoints leave, and gossip it."""

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
        # When each endpoint last said so, and when that was gossiped.
        self._last_marked_ms: dict[limiting.EndpointLife, int] = {}
        self._last_gossiped_ms: dict[limiting.EndpointLife, int] = {}
        self._listeners: list[Listener] = []
        self._tasks = runtime.Tasks()

    def start(self) -> None:
        """Begin to gossip leaves to other hosts."""
        self._tasks.start(self._outbox.run())
        self._tasks.start(self._evict_missing())

    async def close(self) -> None:
        """End every task."""
        await self._tasks.close()

    def listen(self, listener: Listener) -> None:
        """Call a listener with each endpoint that says it leaves."""
        self._listeners.append(listener)

    @property
    def is_idle(self) -> bool:
        """Return whether no endpoint said that it leaves."""
        return not self._last_marked_ms

    def is_leaving(self, life: limiting.EndpointLife) -> bool:
        """Return whether an endpoint said that it leaves."""
        marked_ms = self._last_marked_ms.get(life)
        if marked_ms is None:
            return False
        return self._ttl_ms is None or (
            self._clock.mono_ms() - marked_ms < self._ttl_ms
        )

    def active(self) -> list[ids.EndpointId]:
        """Return the endpoints that leave."""
        return [
            life.endpoint
            for life in self._last_marked_ms
            if self.is_leaving(life)
        ]

    def mark(self, life: limiting.EndpointLife) -> None:
        """Take an endpoint's word that it leaves."""
        now_ms = self._clock.mono_ms()
        if not self._mark(life, now_ms) and not self._needs_regossip(
            life, now_ms
        ):
            return
        self._last_gossiped_ms[life] = now_ms
        self._outbox.add(life)
        for listener in self._listeners:
            listener(life)

    def merge(self, received: list[limiting.EndpointLife]) -> None:
        """Merge leaves received from other hosts of the region."""
        now_ms = self._clock.mono_ms()
        for life in received:
            if self._exists(life):
                self._mark(life, now_ms)
                self._last_gossiped_ms[life] = now_ms

    def _mark(self, life: limiting.EndpointLife, now_ms: int) -> bool:
        """Mark an endpoint; return whether it was not marked before."""
        was_leaving = self.is_leaving(life)
        self._last_marked_ms[life] = now_ms
        if not was_leaving:
            logger.info('endpoint_leaving', endpoint=life.endpoint)
        return not was_leaving

    def _needs_regossip(
        self, life: limiting.EndpointLife, now_ms: int
    ) -> bool:
        """Return whether a mark has to be gossiped again."""
        if self._ttl_ms is None:
            return False
        told_ms = self._last_gossiped_ms.get(life, 0)
        return now_ms - told_ms >= REGOSSIP_SHARE * self._ttl_ms

    async def _evict_missing(self) -> None:
        """Drop state of endpoints that no longer exist."""
        while True:
            await self._clock.sleep_ms(EVICT_INTERVAL_MS)
            for life in list(self._last_marked_ms):
                if not self._exists(life):
                    del self._last_marked_ms[life]
                    self._last_gossiped_ms.pop(life, None)
