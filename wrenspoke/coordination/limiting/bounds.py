"""Bounds on how far teams may exceed their limits, and how they are used.

In any window, over all hosts, a team may use what its limit allows plus an
overshoot: a part of that, and a fixed amount. The overshoot makes room for a
higher rate, as shares lag behind the demand; for tokens in the buckets of
the regions, so that a large call does not have to wait for a refill; and for
refunded tokens that are used a little later.
"""

import msgspec

from wrenspoke.state import teams

MS_PER_S = 1_000
# Parts of the overshoot. The rest covers calls that reach an endpoint a little
# after they were admitted.
RATE_SHARE = 0.4
BURST_SHARE = 0.3
REFUND_SHARE = 0.15
# A call that every endpoint refuses is refunded within about this time.
MAX_REFUND_TTL_MS = 1_000


class OvershootBounds(msgspec.Struct, frozen=True):
    """Bounds what teams may use beyond their limits in any window.

    That is ``share`` of what the limit allows in the window, plus ``fixed``.
    """

    window_ms: int = 8_000
    share: float = 0.1
    fixed: float = 0.0

    def max_overshoot(self, limit: teams.TeamLimit) -> float:
        """Return what may be used in a window beyond a limit."""
        window_s = self.window_ms / MS_PER_S
        allowed = limit.rate_per_s * window_s + limit.burst
        return self.share * allowed + self.fixed

    def rate_per_s(self, limit: teams.TeamLimit) -> float:
        """Return the rate that all regions together admit for a team."""
        spare = RATE_SHARE * self.max_overshoot(limit)
        return limit.rate_per_s + spare / self.window_ms * MS_PER_S

    def depth_ms(self, limit: teams.TeamLimit) -> float:
        """Return the capacity of all buckets of a team together.

        It is the limit's burst and a part of the overshoot, in milliseconds
        of the admitted rate.
        """
        kept = limit.burst + BURST_SHARE * self.max_overshoot(limit)
        return kept / self.rate_per_s(limit) * MS_PER_S

    def refund_ttl_ms(self, limit: teams.TeamLimit) -> float:
        """Return for how long refunded tokens may be used, in milliseconds."""
        spare = REFUND_SHARE * self.max_overshoot(limit)
        spare_ms = spare / self.rate_per_s(limit) * MS_PER_S
        return min(spare_ms, MAX_REFUND_TTL_MS)
