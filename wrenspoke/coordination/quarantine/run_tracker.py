"""Detection of endpoint crashes from broken runs.

A broken connection alone does not prove a crash: the response may have been
lost, or the endpoint may be unreachable. An endpoint has crashed if it
refuses connections right after. All its calls break at that moment, so one
probe result is reused for them; a result that shows a live endpoint is not
reused, as the endpoint may crash after the probe.
"""

import asyncio
import collections.abc
import dataclasses

import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import fingerprints
from wrenspoke.transport import port_probe

logger = structlog.get_logger(__name__)

# Connecting takes a few milliseconds, or over a second if a packet is lost
# and retransmitted.
LIVENESS_PROBE_TIMEOUT_MS = 1_500
# All calls of a crashed endpoint break within milliseconds, and a restart
# takes seconds, so a probe result stays valid for this long.
PROBE_REUSE_MS = 500
# A part crashes its endpoint as that begins to write, not later.
BEGIN_WINDOW_MS = 1_000
# Bound on the size of a log line.
MAX_LOGGED_PARTS = 8


# Returns whether an address refuses connections; arguments are the address
# and the timeout in milliseconds.
Probe = collections.abc.Callable[[str, int], collections.abc.Awaitable[bool]]


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One attempt of a request at an endpoint.

    ``writing_since_ms`` is the time of the first byte of its body.
    """

    fingerprint: fingerprints.Fingerprint
    endpoint: ids.EndpointId
    address: str
    dispatched_ms: int
    writing_since_ms: int | None = None


@dataclasses.dataclass(slots=True)
class _ProbeResult:
    """Pending or finished result of a liveness probe."""

    probed_ms: int
    refused: asyncio.Future

    def is_reusable(self, now_ms: int) -> bool:
        """Return whether the result applies to a run that broke now."""
        if now_ms - self.probed_ms > PROBE_REUSE_MS:
            return False
        return not self.refused.done() or self.refused.result()


class RunTracker:
    """Distinguishes runs that crashed their endpoint from other failures."""

    def __init__(
        self,
        clock: clocks.Clock,
        probe: Probe = port_probe.is_connection_refused,
    ):
        self._clock = clock
        self._probe = probe
        self._probe_results: dict[ids.EndpointId, _ProbeResult] = {}
        self._in_flight: set[Run] = set()

    def start_run(
        self,
        fingerprint: fingerprints.Fingerprint,
        endpoint: ids.EndpointId,
        address: str,
    ) -> Run:
        """Return the run of a request that is being sent."""
        run = Run(fingerprint, endpoint, address, self._clock.mono_ms())
        self._in_flight.add(run)
        return run

    def end_run(self, run: Run) -> None:
        """Record that a run is no longer in flight."""
        self._in_flight.discard(run)

    def mark_writing(self, run: Run) -> None:
        """Record that the first byte of a run's response body arrived."""
        run.writing_since_ms = self._clock.mono_ms()

    def is_past_begin(self, run: Run) -> bool:
        """Return whether an endpoint has been writing a response for long."""
        if run.writing_since_ms is None:
            return False
        wrote_ms = self._clock.mono_ms() - run.writing_since_ms
        return wrote_ms >= BEGIN_WINDOW_MS

    def runs_past_begin(self) -> list[Run]:
        """Return the runs in flight that have been writing for long."""
        return [run for run in self._in_flight if self.is_past_begin(run)]

    async def check_crashed(self, run: Run) -> bool:
        """Return whether the endpoint of a broken run has crashed."""
        crashed = await self._probe_liveness(run)
        now_ms = self._clock.mono_ms()
        wrote_ms = None
        if run.writing_since_ms is not None:
            wrote_ms = now_ms - run.writing_since_ms
        logger.info(
            'run_broke',
            digest=run.fingerprint.request,
            parts=' '.join(run.fingerprint.parts[:MAX_LOGGED_PARTS]),
            endpoint=run.endpoint,
            endpoint_ended=crashed,
            ran_ms=now_ms - run.dispatched_ms,
            wrote_ms=wrote_ms,
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
        # A cancelled waiter must not cancel the probe that others await.
        return await asyncio.shield(result.refused)

    def _evict_stale_results(self, now_ms: int) -> None:
        for endpoint, result in list(self._probe_results.items()):
            if not result.is_reusable(now_ms):
                del self._probe_results[endpoint]
