"""Reachability of entry hosts in other regions.

Hosts of other data centres send no heartbeats here. Those that requests
are forwarded to are pinged while in use, so that a partition is detected
within the configured bound and calls that can't be forwarded fail at once.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import typing

import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

# Pings go on for a while after a call, as the next one is likely to follow;
# later the status of the host comes from the region's polling hosts.
PING_IDLE_MS = 3_000
PINGS_TO_SUSPICION = 3
# A longer route takes effect after about ten pings.
RTT_WEIGHT = 0.1


class PingSettings(typing.Protocol):
    """The settings of an entry host that pings depend on."""

    @property
    def suspect_after_ms(self) -> int:
        """Return the silence after which a host is suspected."""


@dataclasses.dataclass
class RemoteState:
    """Ping state of a host in another region, on this host's clock.

    ``pong`` is its last answer, ``rtt_ms`` the smoothed round-trip time.
    """

    last_used_ms: int
    pong: messages.Pong | None = None
    rtt_ms: float | None = None
    answered_ms: int | None = None
    failed_ms: int | None = None
    ping_task: asyncio.Task | None = None
    watchers: set[collections.abc.Callable[[], None]] = dataclasses.field(
        default_factory=set
    )


class HostPinger:
    """Pings the hosts that requests are forwarded to."""

    def __init__(
        self,
        ping_settings: PingSettings,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
        local_status: collections.abc.Callable[[messages.Ping], messages.Pong],
    ):
        self._suspect_ms = ping_settings.suspect_after_ms
        self._interval_ms = ping_settings.suspect_after_ms / PINGS_TO_SUSPICION
        self._peers = peers
        self._clock = clock
        self._local_status = local_status
        self._unreachable_regions = _no_regions
        self._on_answer = _ignore_answer
        self._remotes: dict[ids.HostId, RemoteState] = {}
        self._tasks = runtime.Tasks()
        peers.handles(messages.Ping)(self._handle_ping)

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()

    def set_unreachable_regions(
        self,
        unreachable_regions: collections.abc.Callable[[], list[ids.RegionId]],
    ) -> None:
        """Set the source of unreachable regions, sent with each ping."""
        self._unreachable_regions = unreachable_regions

    def set_answer_callback(
        self, on_answer: collections.abc.Callable[[ids.HostId, int], None]
    ) -> None:
        """Set the callback for answered pings: host and send time."""
        self._on_answer = on_answer

    async def _handle_ping(
        self, _sender: ids.HostId, message: messages.Ping
    ) -> messages.Pong:
        return self._local_status(message)

    async def reachable(
        self, hosts: collections.abc.Sequence[ids.HostId]
    ) -> list[ids.HostId]:
        """Return the hosts that answer, in the given order."""
        answers = await asyncio.gather(*(self._probe_host(h) for h in hosts))
        return [host for host, found in zip(hosts, answers) if found]

    def is_answering(self, host: ids.HostId) -> bool | None:
        """Return whether a host answered recently, None if unknown."""
        remote = self._remotes.get(host)
        if remote is None:
            return None
        if self._answered_lately(remote):
            return True
        return False if self._failed_lately(remote) else None

    def state_of(self, host: ids.HostId) -> RemoteState | None:
        """Return the ping state of a host, None if it was never pinged."""
        return self._remotes.get(host)

    async def _probe_host(self, host: ids.HostId) -> bool:
        now_ms = self._clock.mono_ms()
        remote = self._remotes.get(host)
        if remote is None:
            remote = self._remotes[host] = RemoteState(now_ms)
        remote.last_used_ms = now_ms
        if remote.ping_task is None:
            remote.ping_task = self._tasks.start(
                self._ping_while_used(host, remote)
            )
        if self._answered_lately(remote):
            return True
        if self._failed_lately(remote):
            return False
        return await self._ping(host, remote, self._interval_ms)

    def _answered_lately(self, remote: RemoteState) -> bool:
        if remote.answered_ms is None:
            return False
        failed_ms = remote.failed_ms or 0
        age_ms = self._clock.mono_ms() - remote.answered_ms
        return remote.answered_ms > failed_ms and age_ms < self._suspect_ms

    def _failed_lately(self, remote: RemoteState) -> bool:
        if remote.failed_ms is None:
            return False
        answered_ms = remote.answered_ms or 0
        age_ms = self._clock.mono_ms() - remote.failed_ms
        return remote.failed_ms > answered_ms and age_ms < self._suspect_ms

    async def _ping(
        self, host: ids.HostId, remote: RemoteState, timeout_ms: float
    ) -> bool:
        asked_ms = self._clock.mono_ms()
        try:
            answer = await self._peers.call(
                host, messages.Ping(self._unreachable_regions()), timeout_ms
            )
        except protocol_errors.ProtocolError:
            answer = None
        usable = isinstance(answer, messages.Pong) and not answer.draining
        if usable:
            remote.answered_ms = self._clock.mono_ms()
            remote.pong = answer
            self._on_answer(host, asked_ms)
            self._update_rtt(remote, remote.answered_ms - asked_ms)
            return True
        remote.failed_ms = self._clock.mono_ms()
        return False

    def _update_rtt(self, remote: RemoteState, took_ms: int) -> None:
        """Update the round-trip time; increases are smoothed."""
        known_ms = remote.rtt_ms
        if known_ms is None or took_ms < known_ms:
            remote.rtt_ms = took_ms
            return
        remote.rtt_ms = known_ms + RTT_WEIGHT * (took_ms - known_ms)

    async def _ping_while_used(
        self, host: ids.HostId, remote: RemoteState
    ) -> None:
        """Ping a host for as long as it is in use.

        The first ping may wait for a connection. The time before it does
        not count as silence, as nothing was sent.
        """
        last_answer_ms = self._clock.mono_ms()
        timeout_ms = self._suspect_ms
        while self._is_used(remote):
            await self._clock.sleep_ms(self._interval_ms)
            answered = await self._ping(host, remote, timeout_ms)
            timeout_ms = self._interval_ms
            if answered:
                last_answer_ms = self._clock.mono_ms()
                continue
            silence_ms = self._clock.mono_ms() - last_answer_ms
            if silence_ms < self._suspect_ms or not remote.watchers:
                continue
            logger.warning(
                'host_unreachable', peer=host, silence_ms=silence_ms
            )
            for lost in list(remote.watchers):
                lost()
        remote.ping_task = None
        # Idle links would keep sending heartbeats between regions.
        self._peers.links.disconnect(host)

    def _is_used(self, remote: RemoteState) -> bool:
        age_ms = self._clock.mono_ms() - remote.last_used_ms
        return bool(remote.watchers) or age_ms < PING_IDLE_MS

    @contextlib.contextmanager
    def watch_host(
        self, host: ids.HostId, lost: collections.abc.Callable[[], None]
    ) -> collections.abc.Iterator[None]:
        """Call ``lost`` if a host stops answering within the block."""
        remote = self._remotes.setdefault(
            host, RemoteState(self._clock.mono_ms())
        )
        if remote.ping_task is None:
            remote.ping_task = self._tasks.start(
                self._ping_while_used(host, remote)
            )
        remote.watchers.add(lost)
        try:
            yield
        finally:
            remote.watchers.discard(lost)
            remote.last_used_ms = self._clock.mono_ms()


def _no_regions() -> list[ids.RegionId]:
    return []


def _ignore_answer(_host: ids.HostId, _asked_ms: int) -> None:
    return
