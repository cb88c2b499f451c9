"""Call the host of this region that owns a bucket, or the next in order."""

import collections.abc

import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls

logger = structlog.get_logger(__name__)

# Returns the region's hosts, this one included, in rendezvous order of a key.
HostOrder = collections.abc.Callable[[str], list[str]]


class BucketOwners:
    """Tracks the hosts that own the bucket of a key, and which respond."""

    def __init__(
        self,
        order: HostOrder,
        retry_interval_ms: int,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._order = order
        self._retry_interval_ms = retry_interval_ms
        self._peers = peers
        self._clock = clock
        # When each unresponsive host last failed to answer.
        self._unresponsive_since_ms: dict[ids.HostId, int] = {}

    def in_order(self, key: str) -> list[ids.HostId]:
        """Return the region's hosts in a key's order, the owner first."""
        return [ids.HostId(name) for name in self._order(key)]

    def first_responsive(self, key: str, count: int) -> list[ids.HostId]:
        """Return up to ``count`` hosts in order, without unresponsive ones."""
        found: list[ids.HostId] = []
        for host in self.in_order(key):
            if self._is_unresponsive(host):
                continue
            found.append(host)
            if len(found) == count:
                break
        return found

    def _is_unresponsive(self, host: ids.HostId) -> bool:
        silent_ms = self._unresponsive_since_ms.get(host)
        if silent_ms is None:
            return False
        if self._clock.mono_ms() - silent_ms < self._retry_interval_ms:
            return True
        del self._unresponsive_since_ms[host]
        return False

    async def call(
        self, host: ids.HostId, message: peer_calls.Message, timeout_ms: float
    ) -> peer_calls.Message | None:
        """Return a host's answer, None if the call failed."""
        try:
            return await self._peers.call(host, message, timeout_ms)
        except protocol_errors.ProtocolError as error:
            self._unresponsive_since_ms[host] = self._clock.mono_ms()
            logger.info(
                'bucket_owner_unresponsive', peer=host, reason=str(error)
            )
            return None
