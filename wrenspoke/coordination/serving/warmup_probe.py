"""Track the warmup status of endpoints, beside their own renewals.

Endpoints may have become cold while their data centre was evacuated. Their
health response says so before their next renewal does. Two hosts probe each
endpoint and broadcast the result to the region's other hosts.

A host that no control host answers misses renewals. Other hosts broadcast
those that report a warm-up (``cold_broadcaster``), and the host probes the
endpoints that it uses, as it may be partitioned from the other hosts as well.
"""

import asyncio
import collections.abc
import typing

import aiohttp
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.limiting import endpoint_limits
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import replica
from wrenspoke import ids
from wrenspoke.protocol import advertised
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import limiting
from wrenspoke.protocol import numerals
from wrenspoke import runtime
from wrenspoke.state import registry
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

OK = 200
# Other hosts' results that were received up to so long before this host
# learned of the restored data centre are valid; the change takes about as long
# to reach all hosts.
EARLY_STATUS_MS = 1_000
# Endpoints of the same region respond sooner unless overloaded.
PROBE_TIMEOUT_MS = 400
BODY_LIMIT_BYTES = 64 * 1024
# How often an isolated host probes an endpoint, and how many at a time.
REFRESH_INTERVAL_MS = 250
MAX_REFRESHES = 16


class _Status(typing.NamedTuple):
    """From when on an endpoint is warm, and when that was received."""

    warm_ms: int
    received_ms: int


class WarmupProbe:
    """Tracks the warm-up of endpoints as hosts of the region reported it.

    Their reports are results of probes, and renewals that this host may have
    missed.
    """

    def __init__(
        self,
        pollers: region_pollers.RegionPollers,
        local_replica: replica.Replica,
        dialect: dialects.Dialect,
        client: web.HttpClient,
        gate: endpoint_gate.EndpointGate,
        clock: clocks.Clock,
    ):
        self._pollers = pollers
        self._replica = local_replica
        self._dialect = dialect
        self._client = client
        self._gate = gate
        self._clock = clock
        self._statuses: dict[ids.EndpointId, _Status] = {}
        # The latest end of any warm-up in ``_statuses``.
        self.cold_until_ms = 0
        # When this host last began to refresh the status of an endpoint.
        self._refreshed_ms: dict[ids.EndpointId, int] = {}
        self._refreshing: set[ids.EndpointId] = set()
        self._tasks = runtime.Tasks()
        pollers.add_listener(self._on_region_message)

    async def close(self) -> None:
        """Cancel all probes."""
        await self._tasks.close()

    def warm_ms(self, endpoint: ids.EndpointId) -> int | None:
        """Return from when on an endpoint is warm, None if unknown."""
        status = self._statuses.get(endpoint)
        return None if status is None else status.warm_ms

    def has_newer_cold_status(self, found: registry.EndpointEntry) -> bool:
        """Return whether a warm-up was reported after the last renewal."""
        status = self._statuses.get(found.registration.endpoint)
        return (
            status is not None
            and status.received_ms > found.reported_ms
            and status.warm_ms > self._clock.mono_ms()
        )

    def refresh(self, members: list[registry.EndpointEntry]) -> None:
        """Probe the endpoints whose last probe is oldest, if it is old enough.

        A later call probes those that exceed ``MAX_REFRESHES``.
        """

        def refreshed_ms(said: registry.Registration) -> int:
            return self._refreshed_ms.get(said.endpoint, 0)

        now_ms = self._clock.mono_ms()
        due = []
        for found in members:
            said = found.registration
            if said.endpoint in self._refreshing:
                continue
            if now_ms - refreshed_ms(said) >= REFRESH_INTERVAL_MS:
                due.append(said)
        due.sort(key=refreshed_ms)
        for said in due[: MAX_REFRESHES - len(self._refreshing)]:
            self._refreshed_ms[said.endpoint] = now_ms
            self._refreshing.add(said.endpoint)
            self._tasks.start(self._refresh(said), fatal=False)

    async def _refresh(self, said: registry.Registration) -> None:
        try:
            await self._probe_endpoint(said)
        finally:
            self._refreshing.discard(said.endpoint)

    def start_probes(
        self, restored: collections.abc.Iterable[registry.EndpointEntry]
    ) -> None:
        """Start to probe endpoints of restored data centres."""
        early_ms = self._clock.mono_ms() - EARLY_STATUS_MS
        assigned = []
        for one in restored:
            endpoint = one.registration.endpoint
            status = self._statuses.get(endpoint)
            if status is not None and status.received_ms < early_ms:
                del self._statuses[endpoint]
            if self._pollers.is_poller_of(endpoint):
                assigned.append(one)
        if assigned:
            self._tasks.start(self._probe_endpoints(assigned))

    async def _probe_endpoints(
        self, assigned: list[registry.EndpointEntry]
    ) -> None:
        answers = await asyncio.gather(
            *(self._probe_endpoint(one.registration) for one in assigned)
        )
        warm = [answer for answer in answers if answer is not None]
        if warm:
            await self._pollers.broadcast(
                discovery_messages.RegionGossip(warm=warm)
            )

    def _on_region_message(
        self, message: discovery_messages.RegionGossip
    ) -> None:
        for status in message.warm:
            self._record_status(status)

    def _record_status(self, status: discovery_messages.WarmupStatus) -> None:
        now_ms = self._clock.mono_ms()
        warm_ms = now_ms + status.left_ms
        self._statuses[status.endpoint] = _Status(warm_ms, now_ms)
        self.cold_until_ms = max(self.cold_until_ms, warm_ms)

    async def _probe_endpoint(
        self, said: registry.Registration
    ) -> discovery_messages.WarmupStatus | None:
        service = self._replica.current.routes.service(said.service)
        if service is None:
            return None
        life = limiting.EndpointInstance(said.endpoint, said.born_ms)
        try:
            async with clocks.timeout_ms(PROBE_TIMEOUT_MS):
                # A probe counts against the endpoint's limit.
                send_permit = await self._gate.acquire(
                    life, endpoint_limits.LAST_RANK
                )
                async with self._client.send_verbatim(
                    'GET',
                    said.address,
                    service.health_path,
                    [],
                    None,
                    send_permit.is_valid,
                    # No response to an earlier request can arrive on it.
                    new_connection=True,
                ) as response:
                    self._note_advertised(life, send_permit, response)
                    await web.read_body(response, BODY_LIMIT_BYTES)
        except (
            TimeoutError,
            errors.EndpointBusyError,
            transport_errors.TransportError,
        ) as error:
            logger.info(
                'warmup_probe_failed',
                endpoint=said.endpoint,
                cause=repr(error),
            )
            return None
        instance = response.headers.get(self._dialect.instance)
        if response.status != OK or instance != said.endpoint:
            logger.info(
                'warmup_probe_failed',
                endpoint=said.endpoint,
                status=response.status,
                instance=instance,
            )
            return None
        text = response.headers.get(self._dialect.warmup_ms, '0')
        left_ms = numerals.parse_decimal(text) or 0.0
        status = discovery_messages.WarmupStatus(said.endpoint, int(left_ms))
        self._record_status(status)
        logger.info(
            'warmup_status', endpoint=said.endpoint, warmup_left_ms=left_ms
        )
        return status

    def _note_advertised(
        self,
        life: limiting.EndpointInstance,
        send_permit: endpoint_gate.GatePermit,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Record the limits advertised in a health response."""
        instance = response.headers.get(self._dialect.instance)
        source = advertised.Origin.UNNAMED
        if instance not in (None, life.endpoint):
            source = advertised.Origin.FOREIGN
        send_permit.on_response(
            advertised.read_headers(
                source, response.status, response.headers, self._dialect
            )
        )

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop the state of endpoints that are not in ``endpoints``."""
        for known in (self._statuses, self._refreshed_ms):
            for endpoint in list(known):
                if endpoint not in endpoints:
                    del known[endpoint]
