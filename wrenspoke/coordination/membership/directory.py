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
    known: roster.Roster,
    table: routes.RouteTable,
    name: str,
    region: ids.RegionId,
    data_centre: ids.DataCentreId,
) -> list[str]:
    """Return callers' addresses of live hosts, of the nearest place.

    The caller's data centre goes before its region. Where the region has
    no host, those of the regions that may serve most routes of the host
    ``name`` are told, so that few requests have to go on from there.
    """
    usable = known.usable(region)
    if not usable:
        usable = _at_home(known, table, name)
        logger.warning(
            'directory_elsewhere',
            region=region,
            regions=sorted({record.region for record in usable}),
            known=len(known.records()),
        )
    near = [record for record in usable if record.data_centre == data_centre]
    chosen = near if len(near) > 1 else usable
    return sorted(record.callers_address for record in chosen)[
        :ADDRESSES_LIMIT
    ]


def _at_home(
    known: roster.Roster, table: routes.RouteTable, name: str
) -> list[attending.HostRecord]:
    """Return the hosts where most routes of a host name may be served."""
    found = [route for route in table.routes if route.host == name]
    usable = known.usable()
    served = {
        record.region: sum(route.allows(record.region) for route in found)
        for record in usable
    }
    most = max(served.values(), default=0)
    return [record for record in usable if served[record.region] == most]
