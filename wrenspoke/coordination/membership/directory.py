"""Select the entry hosts that control hosts advertise to callers."""

import structlog

from wrenspoke.coordination.membership import roster
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke.state import routes

logger = structlog.get_logger(__name__)

# Callers accept at most this many addresses.
ADDRESSES_LIMIT = 64


def addresses(
    host_roster: roster.Roster,
    table: routes.RouteTable,
    host_name: str,
    region: ids.RegionId,
    data_centre: ids.DataCentreId,
    synced: bool = True,
) -> list[str]:
    """Return the caller-facing addresses of the nearest live hosts.

    The caller's data centre goes before its region. If the region has no
    usable host, hosts of regions that may serve every route of
    ``host_name`` are returned, so that no request body enters a region
    where it is not allowed; failing that, the region's own draining hosts,
    which still answer. The result may be empty. A roster that is not yet
    ``synced`` names no other regions: callers keep the addresses they have.
    """
    usable = host_roster.usable(region)
    if not usable and not synced:
        return []
    if not usable:
        usable = _hosts_allowed_by_routes(
            host_roster, table, host_name
        ) or _draining_hosts(host_roster, region)
        logger.warning(
            'directory_fallback',
            region=region,
            regions=sorted({record.region for record in usable}),
            known=len(host_roster.hosts()),
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
) -> list[discovery_messages.HostRecord]:
    """Return hosts of regions that may serve every route of a host name."""
    found = [route for route in table.routes if route.host == host_name]
    return [
        record
        for record in host_roster.usable()
        if all(route.allows(record.region) for route in found)
    ]


def _draining_hosts(
    host_roster: roster.Roster, region: ids.RegionId
) -> list[discovery_messages.HostRecord]:
    return [
        record
        for record in host_roster.records()
        if record.region == region and record.draining
    ]
