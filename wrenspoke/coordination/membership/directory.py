"""Tell callers which entry hosts to use, from a control host's roster."""

import structlog

from wrenspoke.coordination.membership import roster
from wrenspoke import ids

logger = structlog.get_logger(__name__)

# Callers take no more.
ADDRESSES_LIMIT = 64


def addresses(
    known: roster.Roster, region: ids.RegionId, data_centre: ids.DataCentreId
) -> list[str]:
    """Return callers' addresses of live hosts, of the nearest place.

    The caller's data centre goes before its region, and that before all
    others: requests that are bound elsewhere are passed on.
    """
    usable = known.usable(region) or known.usable()
    near = [record for record in usable if record.data_centre == data_centre]
    chosen = near if len(near) > 1 else usable
    return sorted(record.callers_address for record in chosen)[
        :ADDRESSES_LIMIT
    ]
