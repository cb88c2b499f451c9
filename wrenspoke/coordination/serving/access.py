"""Authorize calls against the current route table and teams.

The table may change while a call is in progress: before a destination is
selected, while a connection is opened, or between attempts. The permit of a
call on arrival only selects destinations; team and regions are authorized
again immediately before its body is sent.
"""

import dataclasses
import math

import msgspec

from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import lease as leases
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.membership import roster
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects
from wrenspoke.state import routes
from wrenspoke.state import teams

# Urgency ranges from 0, the most urgent, to URGENCY_LEVELS - 1.
URGENCY_LEVELS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePermit:
    """Permission to serve a call by a route, for a team.

    The homes of the route are restricted to those that the team allows.
    ``teams_disabled`` is set if no teams are configured. ``urgency`` ranges
    from 0, the most urgent, to 9.
    """

    route: routes.Route
    team: teams.Team | None = None
    teams_disabled: bool = False
    urgency: int = 0


class AccessControl:
    """Authorizes calls against the current route table."""

    def __init__(
        self,
        config_replica: replica.Replica,
        host_roster: roster.Roster,
        lease: leases.ConfigurationLease,
    ):
        self._replica = config_replica
        self._roster = host_roster
        self._lease = lease
        self._routes = routes.RouteIndex(routes.RouteTable())
        self._teams: teams.TeamIndex | None = None
        self._urgencies: dict[tuple[int, int], int] = {}

    def authorize(self, call: dialects.Call) -> RoutePermit:
        """Return the permit of a call.

        :raises NoRouteError: no route matches
        :raises UnknownKeyError: the route requires the key of a team
        :raises NoLeaseError: without a configuration lease this host can't
            verify that the key is still valid
        """
        self._refresh_indexes()
        route = self._routes.find(call.host, call.path)
        if route is None:
            raise errors.NoRouteError(f'no route for {call.path}')
        return self._authorize_route(call, route)

    def _authorize_route(
        self, call: dialects.Call, route: routes.Route
    ) -> RoutePermit:
        if self._teams is None:
            return RoutePermit(
                route, teams_disabled=True, urgency=self._urgency(route, None)
            )
        team = self._teams.find(call.key)
        if route.open:
            if team is None or not self._lease.held:
                return RoutePermit(route, urgency=self._urgency(route, None))
            return self._permit_for_team(team, route)
        if not self._lease.held:
            raise errors.NoLeaseError('this host holds no configuration lease')
        if team is None:
            raise errors.UnknownKeyError('no team holds this key')
        return self._permit_for_team(team, route)

    def _permit_for_team(
        self, team: teams.Team, route: routes.Route
    ) -> RoutePermit:
        urgency = self._urgency(route, team)
        return RoutePermit(
            route.restricted_to(team.homes), team, urgency=urgency
        )

    def _urgency(self, route: routes.Route, team: teams.Team | None) -> int:
        """Return the urgency of a call, by team priority, then by route.

        If the route has been removed while the call is in progress, the
        urgency is the clamped priority.
        """
        pair = _priority_pair(route, team)
        return self._urgencies.get(pair, _clamp_urgency(pair[0]))

    def _refresh_indexes(self) -> None:
        table = self._replica.current.routes
        if self._routes.table is table:
            return
        self._routes = routes.RouteIndex(table)
        self._teams = None
        possible_teams: tuple[teams.Team | None, ...] = (None,)
        if table.teams is not None:
            self._teams = teams.TeamIndex(table.teams)
            possible_teams += table.teams.teams
        self._urgencies = _assign_urgencies(
            {
                _priority_pair(route, team)
                for route in table.routes
                for team in possible_teams
            }
        )

    def limit_of(self, team: ids.TeamId) -> teams.TeamLimit | None:
        """Return the limit of a team, None without a limit or such a team."""
        self._refresh_indexes()
        if self._teams is None:
            return None
        found = self._teams.find_by_name(team)
        return None if found is None else found.limit

    def reauthorize(
        self, call: dialects.Call, permit: RoutePermit
    ) -> RoutePermit:
        """Return the permit of a call with its current team and homes.

        Everything else of the route stays as it was on arrival, even if the
        route has been removed since.

        :raises UnknownKeyError: its key was withdrawn
        :raises NoLeaseError: without a configuration lease this host can't
            verify that the key is still valid
        """
        self._refresh_indexes()
        route = self._routes.find(call.host, call.path) or permit.route
        current = self._authorize_route(call, route)
        if (
            current.route.homes == permit.route.homes
            and current.team == permit.team
        ):
            return permit
        original_route = msgspec.structs.replace(
            permit.route, homes=current.route.homes
        )
        return dataclasses.replace(current, route=original_route)

    def may_enter_regions(
        self,
        call: dialects.Call,
        permit: RoutePermit,
        host: ids.HostId | None,
        regions: tuple[ids.RegionId, ...],
    ) -> bool:
        """Return whether a call may currently be sent into regions.

        ``regions`` are those that it would pass through and be served in.
        The region that a receiving ``host`` reported has to be allowed too.
        """
        try:
            current = self.reauthorize(call, permit)
        except errors.DeniedError:
            return False
        if _team_id(current.team) != _team_id(permit.team):
            return False
        entered = {*regions}
        if host is not None:
            reported_region = self._roster.region_of(host)
            if reported_region is not None:
                entered.add(reported_region)
        return all(current.route.allows(region) for region in entered)


def _priority_pair(
    route: routes.Route, team: teams.Team | None
) -> tuple[int, int]:
    """Return the priorities of team and route; the route's by default."""
    if team is None or team.priority is None:
        return route.priority, route.priority
    return team.priority, route.priority


def _clamp_urgency(priority: int) -> int:
    return min(max(priority, 0), URGENCY_LEVELS - 1)


def _assign_urgencies(
    pairs: set[tuple[int, int]],
) -> dict[tuple[int, int], int]:
    """Map each pair of priorities to an urgency, in ascending order.

    With more pairs than levels, adjacent pairs share a level. Without
    priorities of teams the urgency is the route's priority, clamped.
    """
    if all(team == route for team, route in pairs):
        return {pair: _clamp_urgency(pair[0]) for pair in pairs}
    ranked = sorted(pairs)
    step = max(math.ceil(len(ranked) / URGENCY_LEVELS), 1)
    return {pair: position // step for position, pair in enumerate(ranked)}


def _team_id(team: teams.Team | None) -> ids.TeamId | None:
    return None if team is None else team.team
