"""Poll engines for their load, split between a data centre's hosts."""

import asyncio

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import loads
from wrenspoke.coordination.membership import members
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import concurrency_limits
from wrenspoke.coordination.serving import dispatch
from wrenspoke import ids
from wrenspoke.protocol import messages
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.state import configuration

logger = structlog.get_logger(__name__)

ANSWER_LIMIT_BYTES = 4096
OK = 200


class LoadPoller:
    """Polls the engines that are assigned to this host."""

    def __init__(
        self,
        limits_settings: settings.EntrySettings,
        region: ids.RegionId,
        data_centre: ids.DataCentreId,
        dispatcher: dispatch.Dispatcher,
        host_members: members.Members,
        config_replica: replica.Replica,
        load_table: loads.LoadTable,
        limit_table: concurrency_limits.ConcurrencyLimits,
        clock: clocks.Clock,
    ):
        self._interval_ms = limits_settings.load_poll_interval_ms
        self._region = region
        self._data_centre = data_centre
        self._dispatcher = dispatcher
        self._members = host_members
        self._replica = config_replica
        self._loads = load_table
        self._limits = limit_table
        self._clock = clock
        self._tasks = runtime.Tasks()

    def start(self) -> None:
        """Start polling."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel the polling task."""
        await self._tasks.close()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep_ms(self._interval_ms)
            current = self._replica.current
            self._limits.retain_endpoints(current.endpoints)
            due = [
                endpoint.endpoint
                for endpoint in current.endpoints.values()
                if self._is_due(endpoint, current)
            ]
            await asyncio.gather(*(self._poll_load(name) for name in due))

    def _is_due(
        self,
        endpoint: configuration.Endpoint,
        current: configuration.Configuration,
    ) -> bool:
        service = current.services[endpoint.service]
        return (
            service.kind is configuration.ServiceKind.ENGINE
            and endpoint.region == self._region
            and endpoint.data_centre == self._data_centre
            and self._members.polls_endpoint(endpoint.endpoint)
        )

    async def _poll_load(self, endpoint: ids.EndpointId) -> None:
        send = dispatch.Send(dispatch.Purpose.LOAD, endpoint, 'GET', '/load')
        try:
            async with clocks.timeout_ms(self._interval_ms):
                async with self._dispatcher.send(send) as answer:
                    body = await answer.read_all(ANSWER_LIMIT_BYTES)
            found = msgspec.json.decode(body, type=loads.EngineLoad)
        except (
            errors.CoordinationError,
            TimeoutError,
            msgspec.DecodeError,
        ) as error:
            logger.info(
                'load_poll_failed', endpoint=endpoint, error=repr(error)
            )
            return
        self._loads.add_report(
            messages.LoadReport(
                endpoint, found.running, found.waiting, found.age_ms
            )
        )
