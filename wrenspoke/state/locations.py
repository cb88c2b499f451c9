"""Where a host stands."""

import msgspec

from wrenspoke import ids


class Location(msgspec.Struct, frozen=True, array_like=True):
    """Name a host's region and data centre."""

    region: ids.RegionId
    data_centre: ids.DataCentreId
