"""Token bucket that refills at the rate of a limit, or of a share of it."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens of a share of a limit, which expires at ``until_ms``.

    Levels and amounts are in milliseconds of the limit's whole rate.
    """

    refilled_ms: int
    depth_ms: float = 0.0
    share: float = 0.0
    until_ms: float = 0
    level_ms: float = 0.0

    def refill(self, now_ms: int) -> None:
        """Add the tokens since the last refill, and drop an expired share."""
        if now_ms >= self.until_ms:
            self.share = 0.0
            self.level_ms = min(self.level_ms, 0.0)
        self.level_ms += self.share * (now_ms - self.refilled_ms)
        self.level_ms = min(self.level_ms, self.capacity_ms)
        self.refilled_ms = now_ms

    @property
    def capacity_ms(self) -> float:
        """Return the highest level that the bucket can reach."""
        return self.share * self.depth_ms

    def wait_ms(self, amount_ms: float) -> float | None:
        """Return the time until an amount is available, None if never."""
        deficit_ms = amount_ms - self.level_ms
        if deficit_ms <= 0:
            return 0.0
        if self.share <= 0:
            return None
        return deficit_ms / self.share


def unexpiring(now_ms: int) -> TokenBucket:
    """Return an empty bucket of a whole limit that does not expire."""
    return TokenBucket(now_ms, share=1.0, until_ms=math.inf)
