"""Histograms of the stages of calls, by route kind and by hop."""

import bisect
import enum

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.serving import call_context
from wrenspoke.protocol import call_stages
from wrenspoke.state import routes

logger = structlog.get_logger(__name__)

# Upper bounds of the bins; a last bin takes what is longer.
BOUNDS_MS = (1, 2, 5, 10, 20, 40, 80, 160, 320, 640, 1_280, 2_560, 5_120)
LOG_INTERVAL_MS = 30_000


class HopSide(enum.Enum):
    """Where a host stands on a call's way."""

    NONE = 'none'
    FORWARDING = 'forwarding'
    RECEIVING = 'receiving'


Key = tuple[routes.RouteKind, HopSide, call_stages.Stage]


def hop_side(context: call_context.CallContext, forwarded: bool) -> HopSide:
    """Return the side of the hop that this host is on for a call."""
    if context.hop is not None:
        return HopSide.RECEIVING
    return HopSide.FORWARDING if forwarded else HopSide.NONE


class StageHistograms:
    """Counts how long the stages of ended calls took."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self.counts: dict[Key, list[int]] = {}

    def record(
        self,
        kind: routes.RouteKind,
        side: HopSide,
        times: call_stages.StageTimes,
    ) -> None:
        """Count the stages of a call that has ended."""
        for stage, spent_ms in times.spent_ms.items():
            bins = self.counts.get((kind, side, stage))
            if bins is None:
                bins = [0] * (len(BOUNDS_MS) + 1)
                self.counts[kind, side, stage] = bins
            bins[bisect.bisect_left(BOUNDS_MS, spent_ms)] += 1

    async def log_periodically(self) -> None:
        """Log the histograms periodically, until cancelled."""
        while True:
            await self._clock.sleep_ms(LOG_INTERVAL_MS)
            self.log()

    def log(self) -> None:
        """Log the number of calls in each bin, per kind, side and stage."""
        for (kind, side, stage), bins in self.counts.items():
            logger.info(
                'stage_histogram',
                kind=kind.value,
                hop=side.value,
                stage=stage.value,
                calls=sum(bins),
                bounds_ms=list(BOUNDS_MS),
                bins=bins,
            )
