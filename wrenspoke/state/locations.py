"""Location of a host."""

import msgspec

from wrenspoke import ids


class Location(msgspec.Struct, frozen=True, array_like=True):
    """Region and data centre of a host."""

    region: ids.RegionId
    data_centre: ids.DataCentreId
