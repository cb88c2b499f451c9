"""The messages by which hosts find each other and endpoints at run time."""

import msgspec

from wrenspoke import ids
from wrenspoke.protocol import messages
from wrenspoke.state import loads
from wrenspoke.state import registry


# The field of that name hides the module in the message below.
EngineLoad = loads.EngineLoad


class HostRecord(msgspec.Struct, array_like=True, frozen=True):
    """Describe an entry host, as it told ``age_ms`` ago.

    Callers use ``callers_address``, other hosts ``passing_address``; the
    link of a host is its name. ``start`` tells one life of the host from
    another, ``number`` rises with each telling.
    """

    host: ids.HostId
    region: ids.RegionId
    data_centre: ids.DataCentreId
    callers_address: str
    passing_address: str
    start: str
    number: int
    draining: bool
    age_ms: int = 0


class Attend(msgspec.Struct, tag='attend'):
    """Tell a control host that this entry host lives; ask what is new.

    The answer comes once there is something newer than what is held, or
    after ``wait_ms``. Revisions count within the control host's
    ``life``.
    """

    record: HostRecord
    index: int
    life: str
    endpoints_revision: int
    hosts_revision: int
    wait_ms: int


class Attended(msgspec.Struct, tag='attended'):
    """Answer an attending host with what it does not hold yet.

    ``hosts`` is None where nothing changed.
    """

    delta: messages.ConfigurationDelta
    life: str
    endpoints_revision: int
    hosts_revision: int
    endpoints: list[registry.Registration]
    hosts: list[HostRecord] | None
    controls: list[ids.HostId]


class Exchange(msgspec.Struct, tag='exchange'):
    """Tell another control host what was heard since the last time."""

    endpoints: list[registry.Registration]
    hosts: list[HostRecord]


class Exchanged(msgspec.Struct, tag='exchanged'):
    """Answer an exchange: everything in it has been taken."""


class ConfirmIndex(msgspec.Struct, tag='confirm_index'):
    """Ask a leader up to which index everything was accepted."""


class IndexConfirmed(msgspec.Struct, tag='index_confirmed'):
    """Answer with the index, None from a host that does not lead."""

    index: int | None


class TellLoads(msgspec.Struct, tag='tell_loads'):
    """Tell the entry hosts of the region what engines reported."""

    loads: list[EngineLoad]


class Withdraw(msgspec.Struct, tag='withdraw'):
    """Tell a control host that an endpoint is not there any more.

    Another one answered at its address.
    """

    endpoint: ids.EndpointId
