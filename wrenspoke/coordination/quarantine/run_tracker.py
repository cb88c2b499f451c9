"""Watch runs at endpoints, and find those under which an endpoint ended.

A connection that breaks says little: an answer may have been lost, or the
way to the endpoint cut. An endpoint has ended if connections to it are
refused right after. All calls that it ran break at that moment, so one look
serves for all of them; that an endpoint lived says nothing of what breaks
after the look.
"""

import asyncio
import collections.abc
import dataclasses

import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.transport import reachable

logger = structlog.get_logger(__name__)

# Endpoints are near: a connection takes a millisecond or two, but behind a
# full link or after a packet was lost, which is sent again after a second.
LIVENESS_PROBE_TIMEOUT_MS = 1_500
# All calls of an endpoint that ends break within some milliseconds; one
# that is back takes seconds to start.
PROBE_REUSE_MS = 500


# Tells whether connections to an address are refused.
Probe = collections.abc.Callable[[str, int], collections.abc.Awaitable[bool]]


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Name a request that an endpoint was sent, and when."""

    digest: ids.RequestDigest
    endpoint: ids.EndpointId
    address: str
    dispatched_ms: int


@dataclasses.dataclass(slots=True)
class _ProbeResult:
    """Hold what a look at an endpoint showed, or will show."""

    probed_ms: int
    refused: asyncio.Future

    def is_reusable(self, now_ms: int) -> bool:
        """Tell whether it shows what a run broke by that breaks now."""
        if now_ms - self.probed_ms > PROBE_REUSE_MS:
            return False
        return not self.refused.done() or self.refused.result()


class RunTracker:
    """Tell runs that ended their endpoint from runs that broke."""

    def __init__(
        self, clock: clocks.Clock, probe: Probe = reachable.is_refused
    ):
        self._clock = clock
        self._probe = probe
        self._probe_results: dict[ids.EndpointId, _ProbeResult] = {}

    def start_run(
        self,
        digest: ids.RequestDigest,
        endpoint: ids.EndpointId,
        address: str,
    ) -> Run:
        """Note that an endpoint is sent a request."""
        return Run(digest, endpoint, address, self._clock.mono_ms())

    async def check_crashed(self, run: Run) -> bool:
        """Take a run that broke off; return whether its endpoint ended."""
        crashed = await self._probe_liveness(run)
        logger.info(
            'run_broke',
            digest=run.digest,
            endpoint=run.endpoint,
            endpoint_ended=crashed,
            ran_ms=self._clock.mono_ms() - run.dispatched_ms,
        )
        return crashed

    async def _probe_liveness(self, run: Run) -> bool:
        result = self._probe_results.get(run.endpoint)
        now_ms = self._clock.mono_ms()
        if result is None or not result.is_reusable(now_ms):
            self._evict_stale_results(now_ms)
            result = self._probe_results[run.endpoint] = _ProbeResult(
                now_ms,
                asyncio.ensure_future(
                    self._probe(run.address, LIVENESS_PROBE_TIMEOUT_MS)
                ),
            )
        # Who leaves must not take the look from the others that wait.
        return await asyncio.shield(result.refused)

    def _evict_stale_results(self, now_ms: int) -> None:
        for endpoint, result in list(self._probe_results.items()):
            if not result.is_reusable(now_ms):
                del self._probe_results[endpoint]
