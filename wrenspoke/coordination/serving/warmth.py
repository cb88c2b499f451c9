"""Ask endpoints that were just taken back whether they are warm.

Endpoints of a data centre that was evacuated may have turned cold
meanwhile. Their next renewal tells, a second or more later; their health
answer tells at once.
"""

import asyncio
import collections.abc

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects
from wrenspoke import runtime
from wrenspoke.state import registry
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

OK = 200
# Each host asks a few, so that a large region is not asked by all; those
# that others asked are doubted here until they renew.
ASKED_COUNT = 8
# A near endpoint that takes longer is busy enough.
ANSWER_TIMEOUT_MS = 400
BODY_LIMIT_BYTES = 64 * 1024


class Warmth:
    """Know for how long endpoints that were taken back stay cold."""

    def __init__(
        self,
        host: ids.HostId,
        held: replica.Replica,
        dialect: dialects.Dialect,
        client: web.HttpClient,
        clock: clocks.Clock,
    ):
        self._host = host
        self._replica = held
        self._dialect = dialect
        self._client = client
        self._clock = clock
        self._warm_ms: dict[ids.EndpointId, int] = {}
        self._tasks = runtime.Tasks()

    async def close(self) -> None:
        """End every question."""
        await self._tasks.close()

    def warm_ms(self, endpoint: ids.EndpointId) -> int | None:
        """Return from when on an endpoint is warm, None if not known."""
        return self._warm_ms.get(endpoint)

    def ask(
        self, taken_back: collections.abc.Iterable[registry.Registered]
    ) -> None:
        """Begin to ask endpoints that were taken back."""
        found = {one.said.endpoint: one for one in taken_back}
        for endpoint in found:
            self._warm_ms.pop(endpoint, None)
        ranked = routing.rendezvous(self._host, found)
        chosen = [found[ids.EndpointId(name)] for name in ranked[:ASKED_COUNT]]
        if chosen:
            self._tasks.start(self._ask_all(chosen))

    async def _ask_all(self, chosen: list[registry.Registered]) -> None:
        await asyncio.gather(*(self._ask(one.said) for one in chosen))

    async def _ask(self, said: registry.Registration) -> None:
        service = self._replica.current.routes.service(said.service)
        if service is None:
            return
        try:
            async with clocks.timeout_ms(ANSWER_TIMEOUT_MS):
                async with self._client.pass_on(
                    'GET', said.address, service.health_path, [], None
                ) as response:
                    await web.read_whole(response, BODY_LIMIT_BYTES)
        except (TimeoutError, transport_errors.TransportError) as error:
            logger.info(
                'warmth_unknown', endpoint=said.endpoint, cause=repr(error)
            )
            return
        instance = response.headers.get(self._dialect.instance)
        if response.status != OK or instance != said.endpoint:
            logger.info(
                'warmth_unknown',
                endpoint=said.endpoint,
                status=response.status,
                instance=instance,
            )
            return
        text = response.headers.get(self._dialect.warmup_ms, '0')
        left_ms = float(text) if text.replace('.', '', 1).isdigit() else 0.0
        self._warm_ms[said.endpoint] = self._clock.mono_ms() + int(left_ms)
        logger.info(
            'warmth_known', endpoint=said.endpoint, warmup_left_ms=left_ms
        )

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Forget endpoints that are gone."""
        for endpoint in list(self._warm_ms):
            if endpoint not in endpoints:
                del self._warm_ms[endpoint]
