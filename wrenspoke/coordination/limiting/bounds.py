"""How far a team's limit may be exceeded, and what that is used for.

In any window, over all hosts, a team may use what its limit allows, a part
more, and a fixed amount more. Those two are what is to spare. They make
room for a higher rate, as parts that follow the demand are never quite where
it is; for levels that lenders keep in their regions, so that a call larger
than a moment's refill finds its amount there; and for amounts that are
given back and used a little later.
"""

import msgspec

from wrenspoke.state import teams

MS_PER_S = 1_000
# Parts of what is to spare. The rest is left for calls that reach an
# endpoint a little after they were admitted.
RATE_SHARE = 0.4
BURST_SHARE = 0.3
REFUND_SHARE = 0.15
# A call that is refused by every place is given back within about this.
MAX_REFUND_TTL_MS = 1_000


class OvershootBounds(msgspec.Struct, frozen=True):
    """Bound what teams may use over their limits, in any window.

    ``share`` of what the limit allows in a window, and ``fixed`` more.
    """

    window_ms: int = 8_000
    share: float = 0.1
    fixed: float = 0.0

    def max_overshoot(self, limit: teams.TeamLimit) -> float:
        """Return what a window may hold beyond a limit."""
        window_s = self.window_ms / MS_PER_S
        allowed = limit.rate_per_s * window_s + limit.burst
        return self.share * allowed + self.fixed

    def rate_per_s(self, limit: teams.TeamLimit) -> float:
        """Return the rate that all lenders of a team admit together."""
        spare = RATE_SHARE * self.max_overshoot(limit)
        return limit.rate_per_s + spare / self.window_ms * MS_PER_S

    def depth_ms(self, limit: teams.TeamLimit) -> float:
        """Return the most that all levels of a team hold together.

        In milliseconds of the rate that is admitted: the limit's burst,
        and a part of what is to spare.
        """
        kept = limit.burst + BURST_SHARE * self.max_overshoot(limit)
        return kept / self.rate_per_s(limit) * MS_PER_S

    def refund_ttl_ms(self, limit: teams.TeamLimit) -> float:
        """Return for how long an amount that was given back may be used."""
        spare = REFUND_SHARE * self.max_overshoot(limit)
        spare_ms = spare / self.rate_per_s(limit) * MS_PER_S
        return min(spare_ms, MAX_REFUND_TTL_MS)
