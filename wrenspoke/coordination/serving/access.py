"""Who may be served, and where, by what is in force at that moment.

A table of routes may change while a call is under way: between its
arrival and the choice of a place, while a connection is made, between two
tries. Whose call it is and where it may go is what holds as its body
leaves; what was found at its arrival only finds a place to try.
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

# Places on the scale of urgencies, 0 for the most urgent.
URGENCY_LEVELS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePermit:
    """Say by which route a call may be served, and for which team.

    The route's homes are those that the team allows as well. ``anyone``
    says that there are no teams at all. ``urgency`` is 0 for what is most
    urgent and 9 for what is least.
    """

    route: routes.Route
    team: teams.Team | None = None
    teams_disabled: bool = False
    urgency: int = 0


class AccessControl:
    """Look calls up in the table that is in force now."""

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
        """Return what a call may do.

        :raises NoRouteError: there is no route for it
        :raises UnknownKeyError: it needs a key that a team holds
        :raises NoLeaseError: whether its key still holds is not known here
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
            raise errors.NoLeaseError('no lease on the configuration')
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
        """Return a call's urgency: its team's goes before its route's.

        A route that was dropped while its call was tried is ranked alone.
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
        """Return a team's limit, None without one or without that team."""
        self._refresh_indexes()
        if self._teams is None:
            return None
        found = self._teams.find_by_name(team)
        return None if found is None else found.limit

    def reauthorize(
        self, call: dialects.Call, permit: RoutePermit
    ) -> RoutePermit:
        """Return a call's permit with the team and homes that hold now.

        All else stays as it was when the call came, also where the route
        was dropped since.

        :raises UnknownKeyError: its key was withdrawn
        :raises NoLeaseError: whether its key still holds is not known here
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
        """Tell whether a call may leave for some regions now.

        ``regions`` are those that it is to go through and to. A host that
        takes it must stand in one that is allowed by its own word, too.
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
    """Return what a call is ranked by; a team may have no priority."""
    if team is None or team.priority is None:
        return route.priority, route.priority
    return team.priority, route.priority


def _clamp_urgency(priority: int) -> int:
    return min(max(priority, 0), URGENCY_LEVELS - 1)


def _assign_urgencies(
    pairs: set[tuple[int, int]],
) -> dict[tuple[int, int], int]:
    """Give each pair of priorities a place on the scale of urgencies.

    Where there are more pairs than places, neighbours share one. Without
    teams' priorities an urgency is the route's priority, as far as it goes.
    """
    if all(team == route for team, route in pairs):
        return {pair: _clamp_urgency(pair[0]) for pair in pairs}
    ranked = sorted(pairs)
    step = max(math.ceil(len(ranked) / URGENCY_LEVELS), 1)
    return {pair: position // step for position, pair in enumerate(ranked)}


def _team_id(team: teams.Team | None) -> ids.TeamId | None:
    return None if team is None else team.team
