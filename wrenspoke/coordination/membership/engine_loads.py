"""Poll the engines of this region for their load, and share the reports.

The polling hosts of the region (see ``region_pollers``) split the engines
between them. Each polls its own, and broadcasts the reports and the status
of other regions, so that the messages a host receives in an interval don't
grow with the number of hosts and engines. If a polling host stops
reporting, the next in order polls its engines.
"""

import asyncio
import collections.abc
import typing

import aiohttp
import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import region_views
from wrenspoke.coordination.membership import remote_hosts
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import advertised
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import limiting
from wrenspoke import runtime
from wrenspoke.state import errors as state_errors
from wrenspoke.state import loads
from wrenspoke.state import registry
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import exchange as exchanges
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

# Reports are a few hundred bytes.
REPORT_LIMIT_BYTES = 64 * 1024
OK = 200
# Has to allow for a busy engine, and end before a report is stale.
REPORT_TIMEOUT_MS = 400
# Intervals without a report of an engine until the next host in order polls
# it too. More than one, as a single report may be lost.
TAKEOVER_INTERVALS = 2
# Intervals without a report, while most engines of the region report, until
# an engine is taken for lost: the takeover by the next host in order, its
# poll, and one lost report. Calls to such an engine would wait for the
# connect timeout, on each host separately.
SILENT_INTERVALS = 4
MIN_FRESH_SHARE = 0.5
STALE_AFTER_MS = 2_500


class ReportReader(typing.Protocol):
    """Reads the load reports of engines."""

    @property
    def path(self) -> str:
        """Return the path of the load report."""

    def read(self, endpoint: ids.EndpointId, body: bytes) -> loads.EngineLoad:
        """Parse a load report.

        :raises InvalidChangeError: the report can't be parsed
        """


class EngineLoads:
    """Holds the latest load of each engine of the region."""

    def __init__(
        self,
        region: ids.RegionId,
        host: ids.HostId,
        regions: collections.abc.Mapping[ids.DataCentreId, ids.RegionId],
        interval_ms: int,
        reader: ReportReader,
        discovery: discovery_client.DiscoveryClient,
        config_replica: replica.Replica,
        client: web.HttpClient,
        pollers: region_pollers.RegionPollers,
        remotes: remote_hosts.RemoteHosts,
        region_statuses: region_views.RegionViews,
        on_answer: collections.abc.Callable[[str, int], None],
        gate: endpoint_gate.EndpointGate,
        dialect: dialects.Dialect,
        clock: clocks.Clock,
    ):
        self._region = region
        self._host = host
        self._regions = regions
        self._interval_ms = interval_ms
        self._reader = reader
        self._discovery = discovery
        self._replica = config_replica
        self._client = client
        self._pollers = pollers
        self._remote_hosts = remotes
        self._views = region_statuses
        self._on_answer = on_answer
        self._gate = gate
        self._dialect = dialect
        self._clock = clock
        self._loads: dict[ids.EndpointId, tuple[loads.EngineLoad, int]] = {}
        # When an engine without a load was first considered.
        self._first_seen_ms: dict[ids.EndpointId, int] = {}
        self._tasks = runtime.Tasks()
        pollers.add_listener(self._merge_broadcast)

    def start(self) -> None:
        """Start polling."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()

    def load(self, endpoint: ids.EndpointId) -> loads.EngineLoad | None:
        """Return an engine's load with its age, None if none is recent."""
        found, heard_ms = self._loads.get(endpoint, (None, 0))
        if found is None:
            return None
        age_ms = self._clock.mono_ms() - heard_ms
        if age_ms > STALE_AFTER_MS:
            return None
        return msgspec.structs.replace(found, age_ms=age_ms)

    def silent(self, endpoint: ids.EndpointId) -> bool:
        """Return whether an engine stopped reporting while most report."""
        if not self._is_report_stale(endpoint):
            return False
        engines = [other.registration.endpoint for other in self._engines()]
        fresh = sum(not self._is_report_stale(other) for other in engines)
        return fresh >= MIN_FRESH_SHARE * len(engines)

    def _is_report_stale(self, endpoint: ids.EndpointId) -> bool:
        _load, heard_ms = self._loads.get(endpoint, (None, None))
        if heard_ms is None:
            return False
        age_ms = self._clock.mono_ms() - heard_ms
        return age_ms > SILENT_INTERVALS * self._interval_ms

    async def _run(self) -> None:
        while True:
            asked_ms = self._clock.mono_ms()
            if self._replica.serving:
                await self._poll_assigned()
            took_ms = self._clock.mono_ms() - asked_ms
            await self._clock.sleep_ms(self._interval_ms - took_ms)

    async def _poll_assigned(self) -> None:
        engines = self._engines()
        self._pollers.engine_count = len(engines)
        if not self._pollers.is_poller():
            return
        answers = await asyncio.gather(
            *(
                self._poll_engine(found)
                for found in self._assigned_engines(engines)
            )
        )
        heard = [answer for answer in answers if answer is not None]
        now_ms = self._clock.mono_ms()
        for load in heard:
            self._loads[load.endpoint] = (load, now_ms)
        statuses = self._remote_hosts.statuses()
        for status in statuses:
            self._views.record_status(status)
        if heard or statuses:
            await self._pollers.broadcast(
                discovery_messages.RegionGossip(heard, statuses)
            )

    def _assigned_engines(
        self, engines: list[registry.EndpointEntry]
    ) -> list[registry.EndpointEntry]:
        """Return the engines that this host polls for the region.

        These are its own, and those of hosts before it in order whose
        reports are overdue.
        """
        asking = self._pollers.polling_hosts()
        own = []
        for found in engines:
            order = routing.rendezvous(found.registration.endpoint, asking)
            place = order.index(self._host)
            if place == 0 or self._is_overdue(found, place):
                own.append(found)
        return own

    def _is_overdue(self, found: registry.EndpointEntry, place: int) -> bool:
        """Return whether hosts before this one in order report no load."""
        missed_ms = TAKEOVER_INTERVALS * place * self._interval_ms
        _load, heard_ms = self._loads.get(
            found.registration.endpoint, (None, None)
        )
        if heard_ms is None:
            heard_ms = self._first_seen_ms.setdefault(
                found.registration.endpoint, self._clock.mono_ms()
            )
        return self._clock.mono_ms() - heard_ms > missed_ms

    def _engines(self) -> list[registry.EndpointEntry]:
        """Return the engines of this region that accept work."""
        services = self._replica.current.routes.services
        engines = []
        for found in self._discovery.registry.entries.values():
            said = found.registration
            service = services.get(said.service)
            if service is None or service.batch is None:
                continue
            if not found.takes_work:
                continue
            if self._regions.get(said.data_centre) != self._region:
                continue
            engines.append(found)
        return engines

    async def _poll_engine(
        self, found: registry.EndpointEntry
    ) -> loads.EngineLoad | None:
        said = found.registration
        life = limiting.EndpointInstance(said.endpoint, said.born_ms)
        asked_ms = self._clock.mono_ms()
        try:
            poll_permit = self._gate.acquire_poll(life)
            async with clocks.timeout_ms(REPORT_TIMEOUT_MS):
                async with self._client.send_verbatim(
                    'GET',
                    said.address,
                    self._reader.path,
                    [],
                    None,
                    is_own=_is_own,
                ) as response:
                    poll_permit.on_response(
                        advertised.read_headers(
                            advertised.classify_origin(
                                response.status, '', None
                            ),
                            response.status,
                            response.headers,
                            self._dialect,
                        )
                    )
                    body = await web.read_body(response, REPORT_LIMIT_BYTES)
            load = self._reader.read(said.endpoint, body)
        except (
            TimeoutError,
            transport_errors.TransportError,
            state_errors.InvalidChangeError,
            errors.EndpointBackoffError,
        ) as error:
            logger.debug(
                'load_poll_failed', endpoint=said.endpoint, cause=repr(error)
            )
            return None
        self._on_answer(said.address, asked_ms)
        return load

    def _merge_broadcast(
        self, message: discovery_messages.RegionGossip
    ) -> None:
        now_ms = self._clock.mono_ms()
        for status in message.regions:
            self._views.record_status(status)
        for load in message.loads:
            self._loads[load.endpoint] = (load, now_ms)
            found = self._discovery.registry.entries.get(load.endpoint)
            if found is not None:
                asked_ms = now_ms - REPORT_TIMEOUT_MS
                self._on_answer(found.registration.address, asked_ms)
        self._evict_unregistered()

    def evict(self, endpoint: ids.EndpointId) -> None:
        """Discard the load of an engine that was restarted."""
        self._loads.pop(endpoint, None)
        self._first_seen_ms.pop(endpoint, None)

    def _evict_unregistered(self) -> None:
        for known in (self._loads, self._first_seen_ms):
            for endpoint in list(known):
                if endpoint not in self._discovery.registry.entries:
                    del known[endpoint]


def _is_own(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response, which carries no id, is taken for a poll's.

    A report that is left over from an earlier poll is one interval old. A
    refusal could start a backoff that the engine did not ask for.
    """
    return response.status == OK or exchanges.accept_unnamed(response)
