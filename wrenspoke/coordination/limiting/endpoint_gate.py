"""Check every request to an endpoint before it is sent.

It combines what endpoints advertise in their responses: a rate limit, a
backoff, and that they are leaving. Both caller interfaces, polls and warm-up
checks acquire a permit here, check it again at send time and report the head
of the response.
"""

import collections.abc

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_backoffs
from wrenspoke.coordination.limiting import endpoint_limits
from wrenspoke.coordination.limiting import leaving_endpoints
from wrenspoke import ids
from wrenspoke.protocol import advertised
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import limiting
from wrenspoke.protocol import peers as peer_calls

logger = structlog.get_logger(__name__)

Exists = collections.abc.Callable[[limiting.EndpointInstance], bool]
GossipToRegion = collections.abc.Callable[
    [discovery_messages.RegionGossip], collections.abc.Awaitable[None]
]


class EndpointGate:
    """Grants permits to send, and tracks what responses advertise."""

    def __init__(
        self,
        host: ids.HostId,
        order: endpoint_backoffs.HostOrder,
        exists: Exists,
        gossip: GossipToRegion,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
        leaving_ttl_ms: int | None = None,
    ):
        async def gossip_limits(limits: list[limiting.EndpointLimit]) -> None:
            await gossip(discovery_messages.RegionGossip(limits=limits))

        async def gossip_backoffs(
            backoffs: list[limiting.EndpointBackoff],
        ) -> None:
            await gossip(discovery_messages.RegionGossip(backoffs=backoffs))

        async def gossip_leaving(
            lives: list[limiting.EndpointInstance],
        ) -> None:
            await gossip(discovery_messages.RegionGossip(leaving=lives))

        self._clock = clock
        self.limits = endpoint_limits.EndpointLimits(
            host, order, exists, gossip_limits, peers, clock
        )
        self.backoffs = endpoint_backoffs.EndpointBackoffs(
            host, order, exists, gossip_backoffs, clock
        )
        self.leaving = leaving_endpoints.LeavingEndpoints(
            exists, gossip_leaving, leaving_ttl_ms, clock
        )
        # Endpoints whose last value of a header was malformed; logged once.
        self._malformed: set[tuple[limiting.EndpointInstance, str]] = set()
        self._exists = exists

    def start(self) -> None:
        """Start to gossip what endpoints advertise."""
        self.limits.start()
        self.backoffs.start()
        self.leaving.start()

    async def close(self) -> None:
        """Cancel all running tasks."""
        await self.limits.close()
        await self.backoffs.close()
        await self.leaving.close()

    def merge(self, message: discovery_messages.RegionGossip) -> None:
        """Merge the state that another host of the region gossiped."""
        self.limits.merge(message.limits)
        self.backoffs.merge(message.backoffs)
        self.leaving.merge(message.leaving)

    @property
    def is_idle(self) -> bool:
        """Return whether no endpoint has a backoff."""
        return self.limits.is_idle and self.backoffs.is_idle

    def remaining_ms(self, life: limiting.EndpointInstance) -> int:
        """Return the remaining backoff of an endpoint, in milliseconds."""
        return max(
            self.limits.backoff_remaining_ms(life),
            self.backoffs.remaining_ms(life),
        )

    async def acquire(
        self,
        life: limiting.EndpointInstance,
        rank: int,
        is_continuation: bool = False,
    ) -> 'GatePermit':
        """Return a permit to send one request to an endpoint.

        A request with ``is_continuation`` continues a stream, and may go to
        an endpoint that is leaving.

        :raises EndpointBusyError: the limit is used up, or a backoff applies
        """
        remaining_ms = self.backoffs.remaining_ms(life)
        if remaining_ms:
            raise errors.EndpointBackoffError(life.endpoint, remaining_ms)
        limit_permit = await self.limits.acquire(life, rank)
        # The backoff may have changed while the permit was requested.
        self.backoffs.acquire(life)
        return GatePermit(
            self, life, self._clock.mono_ms(), limit_permit, is_continuation
        )

    def acquire_poll(self, life: limiting.EndpointInstance) -> 'GatePermit':
        """Return a permit for a request that takes no slot.

        :raises EndpointBackoffError: this host's own backoff applies
        """
        remaining_ms = self.backoffs.own_remaining_ms(life)
        if remaining_ms:
            raise errors.EndpointBackoffError(life.endpoint, remaining_ms)
        return self.acquire_unchecked(life)

    def acquire_unchecked(
        self, life: limiting.EndpointInstance
    ) -> 'GatePermit':
        """Return a permit to cancel or control work that already runs."""
        return GatePermit(self, life, self._clock.mono_ms())

    def on_response(
        self,
        life: limiting.EndpointInstance,
        head: advertised.AdvertisedHeaders,
        sent_ms: int,
        is_work: bool,
    ) -> None:
        """Update an endpoint's state from the head of a response.

        Only the response to a request with ``is_work`` ends a backoff.
        """
        if not head.is_from_endpoint:
            return
        backoff_ms = self._backoff_ms(life, head)
        if backoff_ms or (
            is_work and head.status not in advertised.REFUSAL_STATUSES
        ):
            self.backoffs.on_response(life, backoff_ms, sent_ms)
        if self._is_leaving(life, head):
            self.leaving.mark(life)

    def _backoff_ms(
        self,
        life: limiting.EndpointInstance,
        head: advertised.AdvertisedHeaders,
    ) -> int:
        try:
            backoff_ms = head.backoff_ms(self._clock.wall_ms())
        except protocol_errors.MalformedRetryAfterError as error:
            self._log_malformed(life, headers.RETRY_AFTER, error)
            return 0
        self._malformed.discard((life, headers.RETRY_AFTER))
        return backoff_ms

    def _is_leaving(
        self,
        life: limiting.EndpointInstance,
        head: advertised.AdvertisedHeaders,
    ) -> bool:
        try:
            leaving = head.is_leaving()
        except protocol_errors.MalformedLeavingError as error:
            self._log_malformed(life, headers.LEAVING, error)
            return False
        self._malformed.discard((life, headers.LEAVING))
        return leaving

    def _log_malformed(
        self,
        life: limiting.EndpointInstance,
        field: str,
        error: protocol_errors.ProtocolError,
    ) -> None:
        if (life, field) in self._malformed:
            return
        self._malformed = {
            item for item in self._malformed if self._exists(item[0])
        }
        self._malformed.add((life, field))
        logger.warning(
            'endpoint_header_malformed',
            endpoint=life.endpoint,
            field=field,
            problem=str(error),
        )


class GatePermit:
    """A permit to send one request to an endpoint.

    ``limit_permit`` is None if the request takes no slot.
    """

    def __init__(
        self,
        gate: EndpointGate,
        life: limiting.EndpointInstance,
        acquired_ms: int,
        limit_permit: endpoint_limits.SendPermit | None = None,
        is_continuation: bool = False,
    ):
        self._gate = gate
        self._life = life
        self._acquired_ms = acquired_ms
        self._limit_permit = limit_permit
        self._is_continuation = is_continuation

    def is_valid(self) -> bool:
        """Return whether the permit is still valid at send time.

        The endpoint may have advertised a backoff, or that it is leaving,
        while the request waited for a connection.
        """
        if self._limit_permit is None:
            return True
        if self._gate.backoffs.own_remaining_ms(self._life):
            return False
        leaving = self._gate.leaving.is_leaving(self._life)
        if leaving and not self._is_continuation:
            return False
        return self._limit_permit.is_valid()

    def on_response(self, head: advertised.AdvertisedHeaders) -> None:
        """Update the endpoint's state from the head of the response."""
        if self._limit_permit is not None:
            echoed = head.origin is advertised.Origin.ECHOED
            self._limit_permit.on_response(head.limits, echoed)
        self._gate.on_response(
            self._life, head, self._acquired_ms, self._limit_permit is not None
        )
