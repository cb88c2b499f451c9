"""Gossip items in batches, one message for those of a short interval."""

import asyncio
import collections.abc
import typing

from wrenspoke import clock as clocks

BATCH_DELAY_MS = 4

Item = typing.TypeVar('Item')


class Outbox(typing.Generic[Item]):
    """Queues items until ``run`` sends them in a batch."""

    def __init__(
        self,
        send_batch: collections.abc.Callable[
            [list[Item]], collections.abc.Awaitable[None]
        ],
        clock: clocks.Clock,
    ):
        self._send_batch = send_batch
        self._clock = clock
        self._items: list[Item] = []
        self._has_items = asyncio.Event()

    def add(self, item: Item) -> None:
        """Queue an item for the next batch."""
        self._items.append(item)
        self._has_items.set()

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._has_items.wait()
            await self._clock.sleep_ms(BATCH_DELAY_MS)
            self._has_items.clear()
            items, self._items = self._items, []
            await self._send_batch(items)
