"""Tell callers which entry hosts to use, from a control host's roster."""

import structlog

from wrenspoke.coordination.membership import roster
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.state import routes

logger = structlog.get_logger(__name__)

# Callers take no more.
ADDRESSES_LIMIT = 64


def addresses(
    host_roster: roster.Roster,
    table: routes.RouteTable,
    host_name: str,
    region: ids.RegionId,
    data_centre: ids.DataCentreId,
    synced: bool = True,
) -> list[str]:
    """Return callers' addresses of live hosts, of the nearest place.

    The caller's data centre goes before its region. Where the region has
    no usable host, those of regions that may serve every route of the
    host ``name`` are told, so that no body is led to a region where it
    must not go; failing that, the region's own hosts that are stopping,
    which answer to the end. There may be none. A roster that is not
    ``settled``, since it was begun within a lease, leads nobody away:
    callers go on with what they know.
    """
    usable = host_roster.usable(region)
    if not usable and not synced:
        return []
    if not usable:
        usable = _hosts_allowed_by_routes(
            host_roster, table, host_name
        ) or _draining_hosts(host_roster, region)
        logger.warning(
            'directory_elsewhere',
            region=region,
            regions=sorted({record.region for record in usable}),
            host_roster=len(host_roster.hosts()),
        )
    same_data_centre = [
        record for record in usable if record.data_centre == data_centre
    ]
    chosen = same_data_centre if len(same_data_centre) > 1 else usable
    return sorted(record.callers_address for record in chosen)[
        :ADDRESSES_LIMIT
    ]


def _hosts_allowed_by_routes(
    host_roster: roster.Roster, table: routes.RouteTable, host_name: str
) -> list[attending.HostRecord]:
    """Return the hosts where every route of a host name may be served."""
    found = [route for route in table.routes if route.host == host_name]
    return [
        record
        for record in host_roster.usable()
        if all(route.allows(record.region) for route in found)
    ]


def _draining_hosts(
    host_roster: roster.Roster, region: ids.RegionId
) -> list[attending.HostRecord]:
    """Return the hosts of a region that are stopping."""
    return [
        record
        for record in host_roster.records()
        if record.region == region and record.draining
    ]
