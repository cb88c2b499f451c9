"""Estimate how likely a request fails at an endpoint, over all hosts.

An endpoint may fail a part of its requests while its health check succeeds.
One host sees too few of them to tell; ejection after consecutive failures
misses it. Each host counts what its requests came to, reports the counts of
endpoints that fail to a collecting host of the region, and that host
broadcasts them. Old outcomes lose their weight, so that an endpoint that is
avoided is tried again.
"""

import collections.abc
import dataclasses
import enum
import math

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import region_pollers
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import limiting
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

# Callers who are failed meanwhile are few, as all hosts of a region learn of
# it together, and it is several times the delay of a message.
REPORT_INTERVAL_MS = 200
# Time after which an outcome has lost most of its weight: some retries of a
# caller later, an endpoint that recovered is in full use again.
DECAY_MS = 3_000
# Requests without a failure that an endpoint is assumed to have had, so that
# one failure does not count as all.
PRIOR_REQUESTS = 4.0
# Shares below are those of endpoints that fail now and then.
SUSPECT_SHARE = 0.05


class Outcome(enum.Enum):
    """What a request to an endpoint came to."""

    SERVED = 'served'
    FAILED = 'failed'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True)
class OutcomeCounts:
    """Decayed counts of the outcomes at one endpoint instance."""

    served: float = 0.0
    failed: float = 0.0
    refused: float = 0.0
    updated_ms: int = 0

    def decay(self, now_ms: int) -> None:
        """Reduce the counts by the time since the last update."""
        factor = math.exp(-max(now_ms - self.updated_ms, 0) / DECAY_MS)
        self.served *= factor
        self.failed *= factor
        self.refused *= factor
        self.updated_ms = now_ms

    def add(self, served: float, failed: float, refused: float) -> None:
        """Add outcomes."""
        self.served += served
        self.failed += failed
        self.refused += refused

    def shares(self) -> tuple[float, float]:
        """Return the shares of requests that fail and that are refused."""
        total = self.served + self.failed + self.refused + PRIOR_REQUESTS
        return self.failed / total, self.refused / total


class EndpointOutcomes:
    """Counts outcomes by endpoint, and shares them within the region."""

    def __init__(
        self,
        host: ids.HostId,
        pollers: region_pollers.RegionPollers,
        peers: peer_calls.Peers,
        is_current: collections.abc.Callable[
            [limiting.EndpointInstance], bool
        ],
        clock: clocks.Clock,
    ):
        self._host = host
        self._pollers = pollers
        self._peers = peers
        self._is_current = is_current
        self._clock = clock
        self._known: dict[limiting.EndpointInstance, OutcomeCounts] = {}
        # Own outcomes that were not reported yet.
        self._own: dict[limiting.EndpointInstance, OutcomeCounts] = {}
        # Reports of other hosts, to be broadcast by this one.
        self._collected: list[discovery_messages.EndpointOutcomes] = []
        self._tasks = runtime.Tasks()
        pollers.add_listener(self._on_broadcast)
        peers.handles(discovery_messages.ReportOutcomes)(self._on_report)

    def start(self) -> None:
        """Start to report and broadcast outcomes."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()

    def record(
        self, life: limiting.EndpointInstance, outcome: Outcome
    ) -> None:
        """Record what a request of this host came to."""
        counts = (
            float(outcome is Outcome.SERVED),
            float(outcome is Outcome.FAILED),
            float(outcome is Outcome.REFUSED),
        )
        self._counts(self._own, life).add(*counts)
        self._counts(self._known, life).add(*counts)

    def shares(self, life: limiting.EndpointInstance) -> tuple[float, float]:
        """Return the shares of requests that fail and that are refused."""
        if life not in self._known:
            return 0.0, 0.0
        return self._counts(self._known, life).shares()

    def _counts(
        self,
        kept: dict[limiting.EndpointInstance, OutcomeCounts],
        life: limiting.EndpointInstance,
    ) -> OutcomeCounts:
        now_ms = self._clock.mono_ms()
        found = kept.get(life)
        if found is None:
            found = kept[life] = OutcomeCounts(updated_ms=now_ms)
        found.decay(now_ms)
        return found

    async def _run(self) -> None:
        while True:
            await self._clock.sleep_ms(REPORT_INTERVAL_MS)
            self._evict()
            await self._report()
            await self._broadcast()

    def _evict(self) -> None:
        """Drop the counts of ended instances, and of those long unused."""
        for kept in (self._known, self._own):
            for life, counts in list(kept.items()):
                age_ms = self._clock.mono_ms() - counts.updated_ms
                if age_ms > 2 * DECAY_MS or not self._is_current(life):
                    del kept[life]

    def _take_reports(
        self,
    ) -> dict[str, list[discovery_messages.EndpointOutcomes]]:
        """Return own outcomes of endpoints that fail, by collecting host."""
        reports: dict[str, list[discovery_messages.EndpointOutcomes]] = {}
        for life, own in list(self._own.items()):
            suspected = max(self.shares(life)) > SUSPECT_SHARE
            if not suspected and not own.failed and not own.refused:
                continue
            del self._own[life]
            collector = self._pollers.collector(life.endpoint)
            reports.setdefault(collector, []).append(
                discovery_messages.EndpointOutcomes(
                    life.endpoint,
                    life.born_ms,
                    own.served,
                    own.failed,
                    own.refused,
                    self._host,
                )
            )
        return reports

    async def _report(self) -> None:
        for collector, outcomes in self._take_reports().items():
            if collector == self._host:
                self._collected.extend(outcomes)
                continue
            await self._peers.send_oneway(
                ids.HostId(collector),
                discovery_messages.ReportOutcomes(outcomes),
            )

    async def _on_report(
        self, _sender: ids.HostId, message: discovery_messages.ReportOutcomes
    ) -> None:
        self._merge(message.outcomes)
        self._collected.extend(message.outcomes)

    async def _broadcast(self) -> None:
        if not self._collected:
            return
        collected, self._collected = self._collected, []
        await self._pollers.broadcast(
            discovery_messages.RegionGossip(outcomes=collected)
        )

    def _on_broadcast(self, message: discovery_messages.RegionGossip) -> None:
        self._merge(message.outcomes)

    def _merge(
        self,
        outcomes: collections.abc.Iterable[
            discovery_messages.EndpointOutcomes
        ],
    ) -> None:
        for found in outcomes:
            life = limiting.EndpointInstance(found.endpoint, found.born_ms)
            if found.host == self._host or not self._is_current(life):
                continue
            before = max(self.shares(life))
            counts = self._counts(self._known, life)
            counts.add(found.served, found.failed, found.refused)
            if before <= SUSPECT_SHARE < max(counts.shares()):
                logger.info(
                    'endpoint_suspected',
                    endpoint=found.endpoint,
                    failed=round(counts.failed, 1),
                    refused=round(counts.refused, 1),
                    served=round(counts.served, 1),
                )
