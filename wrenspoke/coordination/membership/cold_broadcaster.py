"""Broadcast renewals of cold endpoints to the entry hosts of the region.

A host that no control host answers misses renewals. Two hosts of the region
broadcast each one that reports a warm-up, again and again until its end.
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
    """Broadcasts the warm-up that endpoints reported in their renewals."""

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
        status = discovery_messages.WarmupStatus(said.endpoint, left_ms)
        self._tasks.start(self._broadcast([status]), fatal=False)
        if self._repeating is None:
            self._repeating = self._tasks.start(self._repeat(), fatal=False)

    async def _repeat(self) -> None:
        """Repeat the broadcasts, as one-way messages may be lost."""
        await self._clock.sleep_ms(REPEAT_INTERVAL_MS)
        while statuses := self._drop_warm():
            await self._broadcast(statuses)
            await self._clock.sleep_ms(REPEAT_INTERVAL_MS)
        self._repeating = None

    def _drop_warm(self) -> list[discovery_messages.WarmupStatus]:
        """Drop the endpoints that are warm; return the status of others."""
        now_ms = self._clock.mono_ms()
        statuses = []
        for endpoint, until_ms in list(self._cold_until_ms.items()):
            if until_ms <= now_ms:
                del self._cold_until_ms[endpoint]
                continue
            statuses.append(
                discovery_messages.WarmupStatus(endpoint, until_ms - now_ms)
            )
        return statuses

    async def _broadcast(
        self, statuses: list[discovery_messages.WarmupStatus]
    ) -> None:
        await self._pollers.broadcast(
            discovery_messages.RegionGossip(warm=statuses)
        )
