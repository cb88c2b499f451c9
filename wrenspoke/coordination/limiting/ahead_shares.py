"""Chooses the teams for which a bucket owner holds shares in advance.

Without a share the first call of a team in a region waits for the leader,
which may be in a distant region. Shares held in advance cost the leader a
request per lease, so a deployment has them only while they are few.
"""

import collections.abc

from wrenspoke.coordination.limiting import bucket_owners
from wrenspoke import ids
from wrenspoke.state import teams as state_teams

# Part of a limit that all regions together hold in advance.
AHEAD_SHARE = 0.3
# No share is held in advance while others hold more of the limit.
MAX_HELD_BY_OTHERS = 0.6


class AheadShares:
    """Lists the teams whose bucket this host owns, if they are few."""

    def __init__(
        self,
        host: ids.HostId,
        region_count: int,
        max_shares: int,
        order: bucket_owners.HostOrder,
        team_table: collections.abc.Callable[[], state_teams.TeamTable | None],
    ):
        self._host = host
        self._region_count = region_count
        self._max_shares = max_shares
        self._order = order
        self._team_table = team_table

    @property
    def share(self) -> float:
        """Return the share that one region holds in advance."""
        return AHEAD_SHARE / self._region_count

    def owned_teams(self) -> list[ids.TeamId]:
        """Return the teams for which this host holds shares in advance."""
        table = self._team_table()
        if table is None:
            return []
        if len(table.teams) * self._region_count > self._max_shares:
            return []
        return [
            team.team
            for team in table.teams
            if team.limit is not None
            and self._order(team.team)[0] == self._host
        ]
