"""Tell the hosts of a region what each of them sends to its engines.

Engines report their load some hundred ms late, and a region's hosts share
them. By its own calls and reports alone a host of many chooses little
better than by chance, so hosts tell each other of their calls. They also
hear which prefixes engines have read.

Each host tells one collecting host at once, which tells all others a few
times a second, by way of some of them.
"""

import asyncio
import collections.abc
import zlib

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import region_pollers
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

# Calls sent within a moment go in one message.
BATCH_DELAY_MS = 4
# A collecting host tells the others so often, times the number of collecting
# hosts: each host hears 40 messages a second at the most, 1% of a core.
BROADCAST_INTERVAL_MS = 25
# However many collect, what is told later is of little use.
MAX_BROADCAST_INTERVAL_MS = 200
# What waits to be told beyond this is dropped: it is late already.
BATCH_LIMIT = 2_000

Listener = collections.abc.Callable[[attending.SentCall], None]


class SentCallBroadcaster:
    """Tell the region's other hosts of sent calls, and hear of theirs."""

    def __init__(
        self,
        host: ids.HostId,
        pollers: region_pollers.RegionPollers,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._host = host
        self._checksum = host_checksum(host)
        self._pollers = pollers
        self._peers = peers
        self._clock = clock
        self._listeners: list[Listener] = []
        # What this host sent and has not told, with when it was sent.
        self._own: list[tuple[int, attending.SentCall]] = []
        # What others told this host that it has not told the rest.
        self._collected: list[tuple[int, attending.SentCall]] = []
        self._own_added = asyncio.Event()
        self._tasks = runtime.Tasks()
        pollers.add_listener(self._on_region_message)
        peers.answers(attending.TellSent)(self._on_sent_calls)

    def subscribe(self, listener: Listener) -> None:
        """Have every call that another host sent told to ``listener``."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Begin to tell."""
        self._tasks.start(self._send_own())
        self._tasks.start(self._broadcast_collected())

    async def close(self) -> None:
        """End every task."""
        await self._tasks.close()

    def publish(
        self,
        endpoint: ids.EndpointId,
        tokens: float,
        parts: collections.abc.Sequence[dialects.PromptPart],
        made_tokens: int = 0,
    ) -> None:
        """Note that this host sends a call to an engine.

        ``tokens`` are to be read there; of ``parts`` the last is the call's
        own, of which others are told the size alone, with what is made.
        """
        if len(self._own) >= BATCH_LIMIT:
            return
        sent = attending.SentCall(
            self._checksum,
            endpoint,
            round(tokens),
            0,
            [(part.part, part.tokens) for part in parts[:-1]],
            made_tokens + (parts[-1].tokens if parts else 0),
        )
        self._own.append((self._clock.mono_ms(), sent))
        self._own_added.set()

    async def _send_own(self) -> None:
        while True:
            await self._own_added.wait()
            await self._clock.sleep_ms(BATCH_DELAY_MS)
            self._own_added.clear()
            own, self._own = self._own, []
            by_collector: dict[str, list] = {}
            for item in own:
                collector = self._pollers.collector(item[1].endpoint)
                by_collector.setdefault(collector, []).append(item)
            for collector, items in by_collector.items():
                if collector == self._host:
                    self._enqueue_collected(items)
                    continue
                message = attending.TellSent(self._with_ages(items))
                await self._peers.tell(ids.HostId(collector), message)

    async def _on_sent_calls(
        self, _sender: ids.HostId, message: attending.TellSent
    ) -> None:
        now_ms = self._clock.mono_ms()
        self._notify_listeners(message.calls)
        self._enqueue_collected(
            [(now_ms - sent.age_ms, sent) for sent in message.calls]
        )

    def _enqueue_collected(
        self, items: list[tuple[int, attending.SentCall]]
    ) -> None:
        room = BATCH_LIMIT - len(self._collected)
        self._collected.extend(items[:room])

    async def _broadcast_collected(self) -> None:
        while True:
            count = max(self._pollers.collectors_count, 1)
            interval_ms = min(
                BROADCAST_INTERVAL_MS * count, MAX_BROADCAST_INTERVAL_MS
            )
            await self._clock.sleep_ms(interval_ms)
            if not self._collected:
                continue
            items, self._collected = self._collected, []
            await self._pollers.broadcast(
                attending.TellRegion(sent=self._with_ages(items))
            )

    def _with_ages(
        self, items: list[tuple[int, attending.SentCall]]
    ) -> list[attending.SentCall]:
        now_ms = self._clock.mono_ms()
        return [
            msgspec.structs.replace(sent, age_ms=max(now_ms - sent_ms, 0))
            for sent_ms, sent in items
        ]

    def _on_region_message(self, message: attending.TellRegion) -> None:
        self._notify_listeners(message.sent)

    def _notify_listeners(self, calls: list[attending.SentCall]) -> None:
        for sent in calls:
            if sent.host == self._checksum:
                continue
            for listener in self._listeners:
                listener(sent)


def prompt_parts(
    sent: attending.SentCall,
) -> tuple[dialects.PromptPart, ...]:
    """Return what other prompts may share with a call, as calls hold it."""
    return tuple(
        dialects.PromptPart(part, tokens) for part, tokens in sent.parts
    )


def host_checksum(host: ids.HostId) -> int:
    """Return a short number by which a host knows its own calls again."""
    return zlib.crc32(host.encode())
