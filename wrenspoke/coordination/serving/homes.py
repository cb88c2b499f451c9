"""Where a call may go by the routes that are in force at that moment.

A table of routes may change while a call is under way: between its
arrival and the choice of a place, while a connection is made, between two
tries. Its homes are those of the route that holds as its body leaves.
"""

import msgspec

from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.membership import roster
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects
from wrenspoke.state import routes


class Homes:
    """Look calls up in the table that is in force now."""

    def __init__(self, held: replica.Replica, known: roster.Roster):
        self._replica = held
        self._roster = known
        self._index = routes.RouteIndex(routes.RouteTable())

    def route_of(self, call: dialects.Call) -> routes.Route | None:
        """Return the route of a call, None where there is none."""
        table = self._replica.current.routes
        if self._index.table is not table:
            self._index = routes.RouteIndex(table)
        return self._index.find(call.host, call.path)

    def renewed(
        self, call: dialects.Call, route: routes.Route
    ) -> routes.Route:
        """Return a call's route with the homes that it has now.

        All else stays as it was when the call came, also where the route
        was dropped since.
        """
        now = self.route_of(call)
        if now is None or now.homes == route.homes:
            return route
        return msgspec.structs.replace(route, homes=now.homes)

    def may_enter(
        self,
        call: dialects.Call,
        route: routes.Route,
        host: ids.HostId | None,
        regions: tuple[ids.RegionId, ...],
    ) -> bool:
        """Tell whether a call may leave for some regions now.

        ``regions`` are those that it is to go through and to. A host that
        takes it must stand in one that is allowed by its own word, too.
        """
        now = self.renewed(call, route)
        entered = {*regions}
        if host is not None:
            told = self._roster.region_of(host)
            if told is not None:
                entered.add(told)
        return all(now.allows(region) for region in entered)
