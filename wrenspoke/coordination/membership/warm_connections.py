"""Idle connections to hosts of other regions, opened before they are needed.

Opening a connection costs a call another round trip between regions. Each
host keeps a few idle connections to the targets that it forwards calls to.
A taken one is replaced at once; a call that finds none doubles the number
kept to the targets of its region, which calls are spread over. The number
shrinks again while calls find one.
"""

import collections.abc
import dataclasses
import typing

import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke import runtime
from wrenspoke.transport import errors as transport_errors

logger = structlog.get_logger(__name__)

# Some calls may arrive within the round trip that a replacement takes.
MIN_SPARES = 3
# Bounds the descriptors of a host with many targets.
MAX_SPARES_OF_HOST = 64
SHRINK_INTERVAL_MS = 10_000
CHECK_INTERVAL_MS = 1_000
# Connections are replaced before the pool would close them as idle.
REPLACE_BEFORE_MS = 2 * CHECK_INTERVAL_MS


class Pool(typing.Protocol):
    """Connection pool, as an ``HttpClient``."""

    def set_take_listener(
        self, on_take: collections.abc.Callable[[str, bool], None]
    ) -> None:
        """Set what is called as a request takes a connection."""

    def count_idle(self, address: str, left_ms: float) -> int:
        """Return the idle connections that last for another ``left_ms``."""

    async def open_idle(self, address: str) -> None:
        """Open a connection for later requests."""

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""


class Targets(typing.Protocol):
    """The hosts that calls are forwarded to, as ``RemoteHosts``."""

    def forwarding_targets(self) -> list[discovery_messages.HostRecord]:
        """Return the hosts that the next calls are forwarded to."""

    def is_lost(self, host: ids.HostId) -> bool:
        """Return whether a host is known not to answer."""


@dataclasses.dataclass(slots=True)
class Spares:
    """Number of idle connections to keep to one target."""

    wanted: int
    changed_ms: int
    opening: int = 0

    def grow(self, limit: int, now_ms: int) -> None:
        """Grow, as a call found no idle connection."""
        self.wanted = min(max(self.wanted, 1) * 2, limit)
        self.changed_ms = now_ms

    def shrink(self, limit: int, now_ms: int) -> None:
        """Shrink by one for each interval without growth."""
        while (
            self.wanted > min(MIN_SPARES, limit)
            and now_ms - self.changed_ms >= SHRINK_INTERVAL_MS
        ):
            self.wanted -= 1
            self.changed_ms += SHRINK_INTERVAL_MS
        self.wanted = min(self.wanted, limit)


class WarmConnections:
    """Keeps idle connections to the targets of a host."""

    def __init__(
        self,
        pool: Pool,
        targets: Targets,
        spares_limit: int,
        clock: clocks.Clock,
    ):
        self._pool = pool
        self._targets = targets
        self._spares_limit = spares_limit
        self._clock = clock
        self._tasks = runtime.Tasks()
        self._spares: dict[str, Spares] = {}
        self._hosts: dict[str, discovery_messages.HostRecord] = {}
        pool.set_take_listener(self._on_take)

    def start(self) -> None:
        """Start opening connections."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel all tasks; the pool closes its connections."""
        await self._tasks.close()

    async def _run(self) -> None:
        while True:
            self.check()
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    def check(self) -> None:
        """Follow the targets and replace what has been used or is old."""
        now_ms = self._clock.mono_ms()
        before = self._hosts
        self._hosts = {
            record.passing_address: record
            for record in self._targets.forwarding_targets()
        }
        for address in before.keys() - self._hosts.keys():
            del self._spares[address]
            if self._targets.is_lost(before[address].host):
                logger.info('idle_connections_closed', address=address)
                self._pool.close_idle(address)
        for address in self._hosts:
            found = self._spares.get(address)
            if found is None:
                found = self._spares[address] = Spares(MIN_SPARES, now_ms)
            found.shrink(self._limit, now_ms)
            self._fill(address, found)

    @property
    def _limit(self) -> int:
        """Return the maximum number of idle connections to one target."""
        share = MAX_SPARES_OF_HOST // max(len(self._hosts), 1)
        return max(min(self._spares_limit, share), 1)

    def _on_take(self, address: str, found_idle: bool) -> None:
        if address not in self._spares:
            return
        if found_idle:
            self._fill(address, self._spares[address])
            return
        region = self._hosts[address].region
        for other, record in self._hosts.items():
            if record.region == region:
                self._spares[other].grow(self._limit, self._clock.mono_ms())
                self._fill(other, self._spares[other])

    def _fill(self, address: str, found: Spares) -> None:
        idle = self._pool.count_idle(address, REPLACE_BEFORE_MS)
        for _number in range(found.wanted - idle - found.opening):
            found.opening += 1
            self._tasks.start(self._open(address, found), False)

    async def _open(self, address: str, found: Spares) -> None:
        try:
            await self._pool.open_idle(address)
        except transport_errors.NotSentError as error:
            logger.info(
                'spare_connection_failed', address=address, cause=str(error)
            )
        finally:
            found.opening -= 1
