"""Load reports and measured latencies of endpoints on this host."""

import collections.abc
import dataclasses

import msgspec

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import messages

EWMA_WEIGHT = 0.2
STALE_MS = 10_000
DOWN_TTL_MS = 1_000
LATENCY_TTL_MS = 15_000
DEFAULT_FIRST_TOKEN_MS = 200.0
DEFAULT_OCCUPANCY_MS = 1_000.0


class EngineLoad(msgspec.Struct):
    """An engine's answer to ``GET /load``; it lags."""

    running: int
    waiting: int
    age_ms: int = 0


@dataclasses.dataclass
class LatencyEstimate:
    """Smoothed latencies of one endpoint as measured on this host."""

    first_token_ms: float = DEFAULT_FIRST_TOKEN_MS
    occupancy_ms: float = DEFAULT_OCCUPANCY_MS
    seen_ms: int | None = None


@dataclasses.dataclass
class TimedReport:
    """A load report with its sample time on this host's clock."""

    running: int
    waiting: int
    sampled_ms: int


def _discard_sample(_endpoint: str, _first_ms: float) -> None:
    """Ignore samples until a collector is set."""


class LoadTable:
    """Collects load reports and measured latencies by endpoint."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._latencies: dict[ids.EndpointId, LatencyEstimate] = {}
        self.on_first_token: collections.abc.Callable[[str, float], None] = (
            _discard_sample
        )
        self._reports: dict[ids.EndpointId, TimedReport] = {}
        self._down_ms: dict[ids.EndpointId, int] = {}

    def observe_first_token(
        self, endpoint: ids.EndpointId, first_ms: float
    ) -> None:
        """Record the time to the first token, or to the whole answer."""
        speed = self._latencies.setdefault(endpoint, LatencyEstimate())
        if speed.seen_ms is None:
            speed.first_token_ms = first_ms
        self.on_first_token(endpoint, first_ms)
        speed.first_token_ms += EWMA_WEIGHT * (first_ms - speed.first_token_ms)
        speed.seen_ms = self._clock.mono_ms()

    def observe_occupancy(
        self, endpoint: ids.EndpointId, hold_ms: float
    ) -> None:
        """Record how long a request occupied a slot of an endpoint."""
        speed = self._latencies.setdefault(
            endpoint, LatencyEstimate(occupancy_ms=hold_ms)
        )
        speed.occupancy_ms += EWMA_WEIGHT * (hold_ms - speed.occupancy_ms)

    def record_connect_failure(self, endpoint: ids.EndpointId) -> None:
        """Record that a connection to an endpoint failed."""
        self._down_ms[endpoint] = self._clock.mono_ms()

    def record_answer(self, endpoint: ids.EndpointId) -> None:
        """Record that an endpoint answered."""
        self._down_ms.pop(endpoint, None)

    def is_down(self, endpoint: ids.EndpointId) -> bool:
        """Return whether a connection to an endpoint failed recently.

        After ``DOWN_TTL_MS`` the next request tries it again.
        """
        down_ms = self._down_ms.get(endpoint)
        if down_ms is None:
            return False
        return self._clock.mono_ms() - down_ms < DOWN_TTL_MS

    def latency(self, endpoint: ids.EndpointId) -> LatencyEstimate:
        """Return an endpoint's latencies, discounted by their age.

        Old estimates decay towards the defaults, so that an endpoint that
        was slow is tried again.
        """
        speed = self._latencies.get(endpoint)
        if speed is None or speed.seen_ms is None:
            return LatencyEstimate() if speed is None else speed
        age_ms = self._clock.mono_ms() - speed.seen_ms
        if age_ms <= LATENCY_TTL_MS:
            return speed
        weight = LATENCY_TTL_MS / age_ms
        first_ms = (
            weight * speed.first_token_ms
            + (1 - weight) * DEFAULT_FIRST_TOKEN_MS
        )
        return LatencyEstimate(first_ms, speed.occupancy_ms, speed.seen_ms)

    def add_report(self, report: messages.LoadReport) -> None:
        """Store a report unless a newer one is held."""
        true_at_ms = self._clock.mono_ms() - report.age_ms
        self.record_answer(report.endpoint)
        known = self._reports.get(report.endpoint)
        if known is not None and known.sampled_ms >= true_at_ms:
            return
        self._reports[report.endpoint] = TimedReport(
            report.running, report.waiting, true_at_ms
        )

    def latest_report(self, endpoint: ids.EndpointId) -> TimedReport | None:
        """Return the latest report, None if there is none or it is stale."""
        report = self._reports.get(endpoint)
        if report is None:
            return None
        if self._clock.mono_ms() - report.sampled_ms > STALE_MS:
            return None
        return report

    def has_queue(self, endpoint: ids.EndpointId) -> bool:
        """Return whether an endpoint last reported waiting requests."""
        report = self.latest_report(endpoint)
        return report is not None and report.waiting > 0

    def first_event_timeout_ms(
        self, endpoint: ids.EndpointId, stall_ms: float
    ) -> float:
        """Return how long the first event may take.

        The timeout grows with the queue: an engine with waiting requests
        starts late, but is not broken.
        """
        report = self.latest_report(endpoint)
        waiting = 0 if report is None else report.waiting
        return stall_ms + (waiting + 1) * self.latency(endpoint).occupancy_ms

    def fresh_reports(
        self, endpoints: list[ids.EndpointId]
    ) -> list[messages.LoadReport]:
        """Return the reports on some endpoints that are not stale."""
        now_ms = self._clock.mono_ms()
        reports = []
        for endpoint in endpoints:
            report = self.latest_report(endpoint)
            if report is None:
                continue
            reports.append(
                messages.LoadReport(
                    endpoint,
                    report.running,
                    report.waiting,
                    now_ms - report.sampled_ms,
                )
            )
        return reports
