"""Ask the engines of this region for their load, and share the answers.

A few of the region's entry hosts (see ``askers``) split the engines
between them; each asks its own and tells the others what it heard, and
what other regions said. A host so gets a few messages an interval, however
many hosts and engines there are. Where an asking host falls silent, the
next in order asks its engines.
"""

import asyncio
import collections.abc
import typing

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
from wrenspoke.protocol import attending
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import limiting
from wrenspoke import runtime
from wrenspoke.state import errors as state_errors
from wrenspoke.state import loads
from wrenspoke.state import registry
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

# Reports are a few hundred bytes; more is no report.
REPORT_LIMIT_BYTES = 64 * 1024
# Longer than a report takes at a busy engine, shorter than the interval
# after which it is stale.
REPORT_TIMEOUT_MS = 400
# So many intervals without a report of an engine, and the host that is next
# in order asks it too. Two, as one may just have been missed.
TAKEOVER_INTERVALS = 2
# So many intervals without a report, while most engines of the region report,
# and an engine is taken for lost: two until the next host in order asks it,
# one for the answer, and one that may be missed by chance. A call sent there
# would wait 3 s until its connection is given up, at each host anew.
SILENT_INTERVALS = 4
MIN_FRESH_SHARE = 0.5
# A report older than this says nothing about now.
STALE_AFTER_MS = 2_500


class ReportReader(typing.Protocol):
    """Know how an engine is asked for its load."""

    @property
    def path(self) -> str:
        """Return the path to be asked."""

    def read(self, endpoint: ids.EndpointId, body: bytes) -> loads.EngineLoad:
        """Return what a report says.

        :raises InvalidChangeError: it can't be read
        """


class EngineLoads:
    """Hold the newest load of each engine of the region."""

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
        # When an engine of which no load is known was first looked at.
        self._first_seen_ms: dict[ids.EndpointId, int] = {}
        self._tasks = runtime.Tasks()
        pollers.add_listener(self._merge_broadcast)

    def start(self) -> None:
        """Begin to ask."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """End every task."""
        await self._tasks.close()

    def load(self, endpoint: ids.EndpointId) -> loads.EngineLoad | None:
        """Return an engine's load with its age, None if none is fresh."""
        found, heard_ms = self._loads.get(endpoint, (None, 0))
        if found is None:
            return None
        age_ms = self._clock.mono_ms() - heard_ms
        if age_ms > STALE_AFTER_MS:
            return None
        return msgspec.structs.replace(found, age_ms=age_ms)

    def silent(self, endpoint: ids.EndpointId) -> bool:
        """Tell whether an engine stopped reporting while others go on."""
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
                attending.TellRegion(heard, statuses)
            )

    def _assigned_engines(
        self, engines: list[registry.EndpointEntry]
    ) -> list[registry.EndpointEntry]:
        """Return the engines that this host asks for all others.

        Those are the ones that fall to it, and those of the hosts before
        it in order from which no report came of late.
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
        """Tell whether those before this host in order tell no load."""
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
        """Return the engines of this region that take work."""
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
        life = limiting.EndpointLife(said.endpoint, said.born_ms)
        asked_ms = self._clock.mono_ms()
        try:
            poll_permit = self._gate.acquire_poll(life)
            async with clocks.timeout_ms(REPORT_TIMEOUT_MS):
                async with self._client.pass_on(
                    'GET', said.address, self._reader.path, [], None
                ) as response:
                    poll_permit.on_response(
                        advertised.read(
                            advertised.origin(response.status, '', None),
                            response.status,
                            response.headers,
                            self._dialect,
                        )
                    )
                    body = await web.read_whole(response, REPORT_LIMIT_BYTES)
            load = self._reader.read(said.endpoint, body)
        except (
            TimeoutError,
            transport_errors.TransportError,
            state_errors.InvalidChangeError,
            errors.EndpointBackoffError,
        ) as error:
            logger.debug(
                'no_report', endpoint=said.endpoint, cause=repr(error)
            )
            return None
        self._on_answer(said.address, asked_ms)
        return load

    def _merge_broadcast(self, message: attending.TellRegion) -> None:
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
        """Forget an engine's load, as it began anew."""
        self._loads.pop(endpoint, None)
        self._first_seen_ms.pop(endpoint, None)

    def _evict_unregistered(self) -> None:
        for known in (self._loads, self._first_seen_ms):
            for endpoint in list(known):
                if endpoint not in self._discovery.registry.entries:
                    del known[endpoint]
