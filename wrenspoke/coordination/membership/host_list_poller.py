"""Poll the platform's host list for endpoints that are leaving.

The list lags, so it can only mark an endpoint as leaving, never return it
to service: that takes an operator's plan, which adds the endpoint again
under a newer configuration.
"""

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import members
from wrenspoke.coordination.membership import replica
from wrenspoke import runtime
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

LIST_LIMIT_BYTES = 16 * 1024 * 1024
LIST_INTERVAL_MS = 1_000
LEAVING = 'leaving'


class ListedHost(msgspec.Struct):
    """One host of the platform's list."""

    address: str
    state: str


class HostList(msgspec.Struct):
    """The platform's host list."""

    hosts: list[ListedHost]


class HostListPoller:
    """Takes endpoints that the platform lists as leaving out of use."""

    def __init__(
        self,
        url: str | None,
        host: str,
        client: web.HttpClient,
        host_members: members.Members,
        config_replica: replica.Replica,
        clock: clocks.Clock,
    ):
        self._url = url
        self._host = host
        self._client = client
        self._members = host_members
        self._replica = config_replica
        self._clock = clock
        self._tasks = runtime.Tasks()

    def start(self) -> None:
        """Start polling, if the settings name a list."""
        if self._url is not None:
            self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel the polling task."""
        await self._tasks.close()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep_ms(LIST_INTERVAL_MS)
            if self._host not in self._members.relay_hosts():
                continue
            listed = await self._fetch_hosts()
            if self._mark_leaving(listed):
                await self._members.broadcast_beat()

    async def _fetch_hosts(self) -> list[ListedHost]:
        try:
            async with clocks.timeout_ms(LIST_INTERVAL_MS):
                # The response carries no request id to compare.
                async with self._client.send(
                    'GET', self._url, {}, new_connection=True
                ) as found:
                    body = await web.read_body(found, LIST_LIMIT_BYTES)
            return msgspec.json.decode(body, type=HostList).hosts
        except (
            transport_errors.TransportError,
            TimeoutError,
            msgspec.DecodeError,
        ) as error:
            logger.info('host_list_failed', error=repr(error))
            return []

    def _mark_leaving(self, listed: list[ListedHost]) -> bool:
        current = self._replica.current
        changed = False
        for host in listed:
            if host.state != LEAVING:
                continue
            for endpoint in current.endpoints_at(host.address):
                if endpoint in self._replica.leaving:
                    continue
                self._replica.leaving.add(endpoint)
                changed = True
                logger.warning(
                    'endpoint_leaving', endpoint=endpoint, source='platform'
                )
        return changed
