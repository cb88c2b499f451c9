"""Learn how the pace of streams depends on how many run beside each other.

The gap between two events is linear in the streams that run, by least squares
with exponentially decaying weights; all engines of a service share the model.
"""

import dataclasses

# The model follows about the last ``1 / (1 - DECAY)`` streams.
DECAY = 0.98
# Weight of the prior in streams, and the numbers of streams beside which it
# holds: as long as all streams ran beside as many, the slope is not known.
PRIOR_WEIGHT = 20.0
PRIOR_STREAMS = 10.0
PRIOR_SPREAD = 10.0
MIN_GAP_MS = 1.0


@dataclasses.dataclass(slots=True)
class PaceModel:
    """Gap between events, from the streams of one service.

    Without samples it is ``prior_ms`` beside any number of streams.
    """

    prior_ms: float
    samples: int = 0
    weight: float = 0.0
    streams: float = 0.0
    squares: float = 0.0
    gaps_ms: float = 0.0
    products: float = 0.0

    def add(self, running: int, gap_ms: float) -> None:
        """Add the mean gap of a stream that ran beside others."""
        self.samples += 1
        self.weight = DECAY * self.weight + 1.0
        self.streams = DECAY * self.streams + running
        self.squares = DECAY * self.squares + running * running
        self.gaps_ms = DECAY * self.gaps_ms + gap_ms
        self.products = DECAY * self.products + running * gap_ms

    def fit(self) -> tuple[float, float]:
        """Return the gap of a lone stream, and what each other one adds."""
        weight = self.weight + PRIOR_WEIGHT
        streams = self.streams + PRIOR_WEIGHT * PRIOR_STREAMS
        squares = self.squares + PRIOR_WEIGHT * (
            PRIOR_STREAMS**2 + PRIOR_SPREAD**2
        )
        gaps_ms = self.gaps_ms + PRIOR_WEIGHT * self.prior_ms
        products = self.products + PRIOR_WEIGHT * PRIOR_STREAMS * self.prior_ms
        determinant = weight * squares - streams * streams
        slope_ms = (weight * products - streams * gaps_ms) / determinant
        slope_ms = max(slope_ms, 0.0)
        gap_ms = (gaps_ms - slope_ms * streams) / weight
        return max(gap_ms, MIN_GAP_MS), slope_ms
