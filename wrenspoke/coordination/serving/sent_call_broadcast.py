"""Broadcast the calls sent to engines among a region's hosts.

A region's hosts share its engines, whose load reports are some hundred ms
old. Broadcasts of sent calls keep the hosts' backlog estimates current, and
indicate which prefixes engines have cached.

Each host sends its calls to a collecting host, chosen by engine, without
delay. Collecting hosts broadcast them to all others several times a second.
"""

import asyncio
import collections.abc
import zlib

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.balancing import engine_profiles
from wrenspoke.coordination.membership import region_pollers
from wrenspoke import ids
from wrenspoke.protocol import capacity
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

# Delay to batch calls into one message.
BATCH_DELAY_MS = 4
# Interval of a collecting host's broadcasts, times the number of collecting
# hosts: each host receives at most 40 messages per second, however many hosts
# collect, until the interval reaches its upper bound.
BROADCAST_INTERVAL_MS = 25
# Upper bound of the interval, as older data is of little use.
MAX_BROADCAST_INTERVAL_MS = 200
# Without calls, profiles are looked for as often; several go together then.
PROFILES_CHECK_MS = 250
# Calls queued beyond this number are dropped: they would be sent too late.
BATCH_LIMIT = 2_000
# Observations of engines wait for a message with sent calls, but not longer.
OBSERVATION_DELAY_MS = 400

Listener = collections.abc.Callable[[discovery_messages.SentCall], None]


class SentCallBroadcaster:
    """Broadcasts sent calls to the region's hosts, and receives theirs."""

    def __init__(
        self,
        host: ids.HostId,
        pollers: region_pollers.RegionPollers,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
        profiles: engine_profiles.EngineProfiles | None = None,
    ):
        self._profiles = profiles
        self._host = host
        self._checksum = host_checksum(host)
        self._pollers = pollers
        self._peers = peers
        self._clock = clock
        self._listeners: list[Listener] = []
        # Own calls to be sent to collecting hosts, with their send times.
        self._own: list[tuple[int, discovery_messages.SentCall]] = []
        # Collected calls to be broadcast, with their send times.
        self._collected: list[tuple[int, discovery_messages.SentCall]] = []
        self._own_added = asyncio.Event()
        self._collected_added = asyncio.Event()
        self._tasks = runtime.Tasks()
        pollers.add_listener(self._on_region_message)
        peers.handles(discovery_messages.ReportSentCalls)(self._on_sent_calls)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with every call that another host sent."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start the tasks that send and broadcast calls."""
        self._tasks.start(self._send_own())
        self._tasks.start(self._broadcast_collected())
        if self._profiles is not None:
            self._tasks.start(self._report_overdue())

    async def close(self) -> None:
        """Stop all tasks."""
        await self._tasks.close()

    def publish(
        self,
        endpoint: ids.EndpointId,
        tokens: float,
        parts: collections.abc.Sequence[dialects.PromptPart],
        response_tokens: int = 0,
        left_ms: int = 0,
        body_bytes: int = 0,
    ) -> None:
        """Queue a call that this host sends to an engine.

        ``tokens`` are the uncached tokens of its prompt. The last of
        ``parts`` belongs to the call alone: only its size is sent, added to
        ``response_tokens``, the expected length of the response. That has to
        end in ``left_ms``.
        """
        if len(self._own) >= BATCH_LIMIT:
            return
        sent = discovery_messages.SentCall(
            self._checksum,
            endpoint,
            round(tokens),
            0,
            [(part.part, part.tokens) for part in parts[:-1]],
            response_tokens + (parts[-1].tokens if parts else 0),
            response_tokens,
            max(left_ms, 0),
            body_bytes,
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
                await self._send_to_collector(collector, items)

    async def _send_to_collector(
        self,
        collector: str,
        items: list[tuple[int, discovery_messages.SentCall]],
    ) -> None:
        """Send calls, and what was observed of the collector's engines."""
        observed = []
        if self._profiles is not None:
            observed = self._profiles.take_observations(
                lambda endpoint: self._pollers.collector(endpoint) == collector
            )
        if collector == self._host:
            self._enqueue_collected(items)
            self._collect_observations(observed)
            return
        message = discovery_messages.ReportSentCalls(
            self._with_ages(items), observed
        )
        await self._peers.send_oneway(ids.HostId(collector), message)

    async def _report_overdue(self) -> None:
        """Report observations that no sent call has taken along."""
        while True:
            await self._clock.sleep_ms(OBSERVATION_DELAY_MS)
            for collector in {
                self._pollers.collector(endpoint)
                for endpoint in self._profiles.overdue(OBSERVATION_DELAY_MS)
            }:
                await self._send_to_collector(collector, [])

    def _collect_observations(
        self, observed: list[discovery_messages.EngineObservation]
    ) -> None:
        if self._profiles is not None and observed:
            self._profiles.collect(observed)
            self._collected_added.set()

    def _profiles_due(self) -> list[capacity.EngineProfile]:
        """Return the profiles that this host has to broadcast now."""
        if self._profiles is None:
            return []
        due = self._profiles.take_due(
            lambda endpoint: self._pollers.collector(endpoint) == self._host,
            self._pollers.collectors_count,
            bool(self._collected),
        )
        self._profiles.announce(due)
        return due

    async def _on_sent_calls(
        self, _sender: ids.HostId, message: discovery_messages.ReportSentCalls
    ) -> None:
        now_ms = self._clock.mono_ms()
        self._notify_listeners(message.calls)
        self._collect_observations(message.observed)
        self._enqueue_collected(
            [(now_ms - sent.age_ms, sent) for sent in message.calls]
        )

    def _enqueue_collected(
        self, items: list[tuple[int, discovery_messages.SentCall]]
    ) -> None:
        room = BATCH_LIMIT - len(self._collected)
        self._collected.extend(items[:room])
        self._collected_added.set()

    async def _broadcast_collected(self) -> None:
        """Broadcast what is collected, once an interval at most."""
        last_ms = self._clock.mono_ms() - MAX_BROADCAST_INTERVAL_MS
        while True:
            await self._wait_for_collected()
            count = max(self._pollers.collectors_count, 1)
            interval_ms = min(
                BROADCAST_INTERVAL_MS * count, MAX_BROADCAST_INTERVAL_MS
            )
            await self._clock.sleep_ms(
                last_ms + interval_ms - self._clock.mono_ms()
            )
            last_ms = self._clock.mono_ms()
            self._collected_added.clear()
            profiles = self._profiles_due()
            items, self._collected = self._collected, []
            if not items and not profiles:
                continue
            await self._pollers.broadcast(
                discovery_messages.RegionGossip(
                    sent=self._with_ages(items), profiles=profiles
                )
            )

    async def _wait_for_collected(self) -> None:
        """Wait for what is collected, or until profiles may be due."""
        if self._profiles is None:
            await self._collected_added.wait()
            return
        try:
            async with clocks.timeout_ms(PROFILES_CHECK_MS):
                await self._collected_added.wait()
        except TimeoutError:
            return

    def _with_ages(
        self, items: list[tuple[int, discovery_messages.SentCall]]
    ) -> list[discovery_messages.SentCall]:
        now_ms = self._clock.mono_ms()
        return [
            msgspec.structs.replace(sent, age_ms=max(now_ms - sent_ms, 0))
            for sent_ms, sent in items
        ]

    def _on_region_message(
        self, message: discovery_messages.RegionGossip
    ) -> None:
        if self._profiles is not None:
            self._profiles.merge(message.profiles)
        self._notify_listeners(message.sent)

    def _notify_listeners(
        self, calls: list[discovery_messages.SentCall]
    ) -> None:
        for sent in calls:
            if sent.host == self._checksum:
                continue
            for listener in self._listeners:
                listener(sent)


def prompt_parts(
    sent: discovery_messages.SentCall,
) -> tuple[dialects.PromptPart, ...]:
    """Return the parts of a call's prompt that other prompts may share."""
    return tuple(
        dialects.PromptPart(part, tokens) for part, tokens in sent.parts
    )


def host_checksum(host: ids.HostId) -> int:
    """Return the number that identifies a host's calls in broadcasts."""
    return zlib.crc32(host.encode())
