"""Broadcast renewals of cold endpoints to the entry hosts of the region.

A host that no control host answers misses renewals. Two hosts of the region
tell the others of each one that reports a warm-up, until its end.
"""

import asyncio

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import region_pollers
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke import runtime
from wrenspoke.state import registry

REPEAT_INTERVAL_MS = 500


class ColdBroadcaster:
    """Broadcasts until when endpoints are cold by their renewals."""

    def __init__(
        self,
        pollers: region_pollers.RegionPollers,
        clock: clocks.Clock,
    ):
        self._pollers = pollers
        self._clock = clock
        self._cold_until_ms: dict[ids.EndpointId, int] = {}
        self._repeating: asyncio.Task | None = None
        self._tasks = runtime.Tasks()

    async def close(self) -> None:
        """Cancel all broadcasts."""
        await self._tasks.close()

    def on_renewal(self, said: registry.Registration) -> None:
        """Start, change or end the broadcasts for an endpoint."""
        left_ms = said.warmup_left_ms - said.age_ms
        if left_ms <= 0:
            self._cold_until_ms.pop(said.endpoint, None)
            return
        if not self._pollers.is_poller_of(said.endpoint):
            return
        self._cold_until_ms[said.endpoint] = self._clock.mono_ms() + left_ms
        self._tasks.start(self._broadcast([said.endpoint]), fatal=False)
        if self._repeating is None:
            self._repeating = self._tasks.start(self._repeat(), fatal=False)

    async def _repeat(self) -> None:
        """Repeat the broadcasts, as one-way messages may be lost."""
        while self._cold_until_ms:
            await self._clock.sleep_ms(REPEAT_INTERVAL_MS)
            now_ms = self._clock.mono_ms()
            for endpoint, until_ms in list(self._cold_until_ms.items()):
                if until_ms <= now_ms:
                    del self._cold_until_ms[endpoint]
            await self._broadcast(list(self._cold_until_ms))
        self._repeating = None

    async def _broadcast(self, endpoints: list[ids.EndpointId]) -> None:
        now_ms = self._clock.mono_ms()
        statuses = []
        for endpoint in endpoints:
            left_ms = self._cold_until_ms.get(endpoint, 0) - now_ms
            if left_ms <= 0:
                continue
            statuses.append(discovery_messages.WarmupStatus(endpoint, left_ms))
        if statuses:
            await self._pollers.broadcast(
                discovery_messages.RegionGossip(warm=statuses)
            )
