"""Track the tokens that each team requests, recently and usually.

A team whose calls grow far more than those of others is over its share. Teams
that are large all the time aren't, nor are all of them in a common peak.
"""

import dataclasses
import math

from wrenspoke import ids

RECENT_MS = 2_000.0
USUAL_MS = 60_000.0
# How often the amounts are updated.
UPDATE_MS = 100
# A team that grew this many times as much as the others is over its share.
OVER_SHARE_FACTOR = 3.0
# How much the usual amount follows while a team is over its share.
OVER_SHARE_WEIGHT = 0.1
# Smaller amounts are forgotten.
MIN_TOKENS = 1.0
TEAMS_LIMIT = 1_024


@dataclasses.dataclass(slots=True)
class _Amounts:
    """Decayed tokens of a team, both on the scale of ``RECENT_MS``."""

    recent: float = 0.0
    usual: float = 0.0
    is_over: bool = False


class TeamShares:
    """Tokens that teams asked for; calls without a team are one team's."""

    def __init__(self):
        self._teams: dict[ids.TeamId | None, _Amounts] = {}
        self._at_ms: int | None = None
        self._since_ms = 0

    def record(
        self, team: ids.TeamId | None, tokens: float, now_ms: int
    ) -> None:
        """Add the tokens of a call that arrived."""
        self._update(now_ms)
        found = self._teams.get(team)
        if found is None:
            if len(self._teams) >= TEAMS_LIMIT:
                return
            found = self._teams[team] = _Amounts()
        found.recent += tokens

    def recent(self, team: ids.TeamId | None) -> float:
        """Return the recent tokens of a team; only their order counts."""
        found = self._teams.get(team)
        return 0.0 if found is None else found.recent

    def is_over(self, team: ids.TeamId | None) -> bool:
        """Return whether a team grew far more than others."""
        found = self._teams.get(team)
        return found is not None and found.is_over

    def _update(self, now_ms: int) -> None:
        """Decay the recent amounts, and let the usual ones follow."""
        if self._at_ms is None:
            self._at_ms = self._since_ms = now_ms
            return
        elapsed_ms = now_ms - self._at_ms
        if elapsed_ms < UPDATE_MS:
            return
        self._at_ms = now_ms
        kept = math.exp(-elapsed_ms / RECENT_MS)
        # Until a while has passed, the usual amounts are means since the
        # start.
        window_ms = min(max(now_ms - self._since_ms, RECENT_MS), USUAL_MS)
        weight = 1.0 - math.exp(-elapsed_ms / window_ms)
        recent = sum(found.recent for found in self._teams.values())
        usual = sum(found.usual for found in self._teams.values())
        for team, found in list(self._teams.items()):
            found.is_over = _grew(
                found, recent - found.recent, usual - found.usual
            )
            follows = weight
            if found.is_over:
                follows *= OVER_SHARE_WEIGHT
            found.usual += follows * (found.recent - found.usual)
            found.recent *= kept
            if max(found.recent, found.usual) < MIN_TOKENS:
                del self._teams[team]


def _grew(found: _Amounts, others_recent: float, others_usual: float) -> bool:
    """Return whether a team grew far more than the others did."""
    if min(found.usual, others_usual, others_recent) < MIN_TOKENS:
        return False
    growth = found.recent / found.usual
    others_growth = max(others_recent / others_usual, 1.0)
    return growth > OVER_SHARE_FACTOR * others_growth
