"""The one check before any request to an endpoint.

It combines what endpoints advertise in their responses: a rate limit, a
backoff, and that they leave. Both interfaces for callers, polls and warm-up
checks acquire a permit here, check it again at send time and hand the head
of the response back.
"""

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.limiting import endpoint_limits
from wrenspoke import ids
from wrenspoke.protocol import advertised
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import limiting

logger = structlog.get_logger(__name__)


class EndpointGate:
    """Grant permits to send, and track what responses advertise."""

    def __init__(
        self, limits: endpoint_limits.EndpointLimits, clock: clocks.Clock
    ):
        self.limits = limits
        self._clock = clock
        # Endpoints whose last value of a header was malformed; logged once.
        self._malformed: set[tuple[ids.EndpointId, str]] = set()

    def backoff_remaining_ms(self, life: limiting.EndpointLife) -> int:
        """Return the remaining backoff, in milliseconds."""
        return self.limits.backoff_remaining_ms(life)

    async def acquire(
        self, life: limiting.EndpointLife, rank: int
    ) -> 'GatePermit':
        """Return a permit to send one request to an endpoint.

        :raises EndpointLimitError: its limit is used up for now
        """
        return GatePermit(self, life, await self.limits.admit(life, rank))

    def unlimited(self, life: limiting.EndpointLife) -> 'GatePermit':
        """Return a permit for what takes no slot of an endpoint."""
        return GatePermit(self, life)

    def on_response(
        self, life: limiting.EndpointLife, head: advertised.Advertised
    ) -> None:
        """Update an endpoint's state from the head of a response."""
        if not head.own:
            return
        backoff_ms = self._backoff_ms(life, head)
        if backoff_ms:
            logger.info(
                'endpoint_backoff_advertised',
                endpoint=life.endpoint,
                status=head.status,
                backoff_ms=backoff_ms,
            )
        if self._is_leaving(life, head):
            logger.info('endpoint_leaving_advertised', endpoint=life.endpoint)

    def _backoff_ms(
        self, life: limiting.EndpointLife, head: advertised.Advertised
    ) -> int:
        try:
            backoff_ms = head.backoff_ms(self._clock.wall_ms())
        except protocol_errors.MalformedRetryAfterError as error:
            self._log_malformed(life, headers.RETRY_AFTER, error)
            return 0
        self._malformed.discard((life.endpoint, headers.RETRY_AFTER))
        return backoff_ms

    def _is_leaving(
        self, life: limiting.EndpointLife, head: advertised.Advertised
    ) -> bool:
        try:
            leaving = head.is_leaving()
        except protocol_errors.MalformedLeavingError as error:
            self._log_malformed(life, headers.LEAVING, error)
            return False
        self._malformed.discard((life.endpoint, headers.LEAVING))
        return leaving

    def _log_malformed(
        self,
        life: limiting.EndpointLife,
        field: str,
        error: protocol_errors.ProtocolError,
    ) -> None:
        if (life.endpoint, field) in self._malformed:
            return
        self._malformed.add((life.endpoint, field))
        logger.warning(
            'endpoint_header_malformed',
            endpoint=life.endpoint,
            field=field,
            problem=str(error),
        )


class GatePermit:
    """A permit to send one request to an endpoint."""

    def __init__(
        self,
        gate: EndpointGate,
        life: limiting.EndpointLife,
        limit: endpoint_limits.SendPermit | None = None,
    ):
        self._gate = gate
        self._life = life
        self._limit = limit

    def is_valid(self) -> bool:
        """Return whether the permit is still valid at send time."""
        return self._limit is None or self._limit.is_valid()

    def on_response(self, head: advertised.Advertised) -> None:
        """Update the endpoint's state from the head of the response."""
        if self._limit is not None:
            echoed = head.origin is advertised.Origin.ECHOED
            self._limit.on_response(head.limits, echoed)
        self._gate.on_response(self._life, head)
