"""The messages by which hosts find each other and endpoints at run time."""

import zlib

import msgspec

from wrenspoke import ids
from wrenspoke.protocol import errors
from wrenspoke.protocol import limiting
from wrenspoke.protocol import messages
from wrenspoke.state import configuration
from wrenspoke.state import loads
from wrenspoke.state import registry


# Tables of routes shrink to a tenth at the lowest level.
COMPRESSION_LEVEL = 1
_DELTA_DECODER = msgspec.msgpack.Decoder(messages.ConfigurationDelta)

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


class HostChanges(msgspec.Struct, array_like=True, frozen=True):
    """Tell which entry hosts were found, changed or lost.

    ``whole`` says that hosts that are not named are not there any more.
    """

    found: list[HostRecord]
    lost: list[ids.HostId]
    whole: bool = False


class Renewal(msgspec.Struct, array_like=True, frozen=True):
    """Say that a host or an endpoint lives on, unchanged.

    ``number`` is the one of what it last told, ``age_ms`` ago; ``life``
    tells one life from another: of a host a number of its own, of an
    endpoint when it was born.
    """

    name: str
    number: int
    age_ms: int
    life: int = 0


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


class AttendReply(msgspec.Struct, tag='attended'):
    """Answer an attending host with what it does not hold yet.

    ``confirmed`` says that nothing accepted was newer when this was sent,
    ``led`` that the control host leads or hears who does. ``news`` holds
    changes of the configuration, packed (see ``pack``): one packing serves
    every host that asks for the same. They lead up to ``index``, which was
    the newest ``confirmed_age_ms`` before this was sent, by a leader's
    word; None without one. The question was held back for ``held_ms``.
    ``leader`` is the control host that leads in ``term``, as far as is known.
    ``hosts`` is None where nothing changed; ``near`` names the control
    hosts that stand in the region of the one that asks.
    """

    confirmed: bool
    led: bool
    life: str
    endpoints_revision: int
    hosts_revision: int
    endpoints: list[registry.Registration]
    hosts: HostChanges | None
    controls: list[ids.HostId]
    near: list[ids.HostId] = []
    news: bytes = b''
    index: int = 0
    confirmed_age_ms: int | None = None
    held_ms: int = 0
    leader: ids.HostId | None = None
    term: int = 0


def pack_delta(delta: messages.ConfigurationDelta) -> bytes:
    """Return the changes of a delta as bytes for ``Attended.news``."""
    body = msgspec.msgpack.encode(_without_route_documents(delta))
    return zlib.compress(body, COMPRESSION_LEVEL)


def _without_route_documents(
    delta: messages.ConfigurationDelta,
) -> messages.ConfigurationDelta:
    """Leave out what only control hosts need of tables of routes."""
    whole = delta.whole
    if whole is not None:
        whole = msgspec.structs.replace(
            whole, routes=whole.routes.without_document()
        )
    changes = []
    for index, change in delta.changes:
        if isinstance(change, configuration.SetRoutes):
            change = configuration.SetRoutes(change.table.without_document())
        changes.append((index, change))
    return msgspec.structs.replace(delta, whole=whole, changes=changes)


def unpack_delta(news: bytes) -> messages.ConfigurationDelta:
    """Return the changes that were packed.

    :raises MalformedMessageError: they can't be read
    """
    try:
        return _DELTA_DECODER.decode(zlib.decompress(news))
    except (zlib.error, msgspec.DecodeError) as error:
        raise errors.MalformedMessageError(str(error)) from error


class Exchange(msgspec.Struct, tag='exchange'):
    """Tell another control host what changed, and who lives on unchanged.

    What changed is told whole, once. Of the rest the number of the last
    renewal is enough, and only from who heard it.
    """

    endpoints: list[registry.Registration]
    hosts: HostChanges
    renewed_endpoints: list[Renewal] = []
    renewed_hosts: list[Renewal] = []
    region: ids.RegionId = ids.RegionId('')


class ExchangeReply(msgspec.Struct, tag='exchanged'):
    """Answer an exchange: everything in it has been taken.

    ``life`` tells one life of the control host from another, ``heard``
    names those that it hears itself, and ``unknown`` says that something
    was renewed that it does not know, so that all should be told again.
    """

    life: str = ''
    heard: list[ids.HostId] = []
    unknown: bool = False


class ConfirmIndex(msgspec.Struct, tag='confirm_index'):
    """Ask a leader up to which index everything was accepted."""


class ConfirmIndexReply(msgspec.Struct, tag='index_confirmed'):
    """Answer with the index, None from a host that does not lead."""

    index: int | None


class RegionStatus(msgspec.Struct, array_like=True, frozen=True):
    """Tell what a host of another region said ``age_ms`` ago.

    ``travel_ms`` is the round trip to it. ``said`` is None where none of
    that region's hosts answers.
    """

    region: ids.RegionId
    said: messages.Pong | None
    travel_ms: float = 0.0
    age_ms: int = 0


class WarmupStatus(msgspec.Struct, array_like=True, frozen=True):
    """Tell for how long an endpoint stays cold, by its own answer."""

    endpoint: ids.EndpointId
    left_ms: int


class SentCall(msgspec.Struct, array_like=True, frozen=True):
    """Tell of a call that a host sent to an engine ``age_ms`` ago.

    ``host`` is a short number of it. ``tokens`` of the prompt are to be
    read there; ``parts`` are those that other prompts may have, too, and
    ``own_tokens`` what else it leaves in the engine's memory.
    """

    host: int
    endpoint: ids.EndpointId
    tokens: int
    age_ms: int
    parts: list[tuple[str, int]] = []
    own_tokens: int = 0


class ReportSentCalls(msgspec.Struct, tag='tell_sent'):
    """Tell the host that collects them which calls were sent."""

    calls: list[SentCall]


class RegionGossip(msgspec.Struct, tag='tell_region'):
    """Tell the entry hosts of the region what one of them found out.

    That is what engines reported, what other regions offer, which
    endpoints that were taken back are warm, what hosts sent to engines, and
    what endpoints advertise: limits, backoffs, and that they leave.
    Who gets it tells the hosts of ``pass_on``.
    """

    loads: list[EngineLoad] = []
    regions: list[RegionStatus] = []
    warm: list[WarmupStatus] = []
    sent: list[SentCall] = []
    pass_on: list[ids.HostId] = []
    limits: list[limiting.EndpointLimit] = []
    backoffs: list[limiting.EndpointBackoff] = []
    leaving: list[limiting.EndpointInstance] = []


class ReportLeaving(msgspec.Struct, tag='endpoint_leaves'):
    """Tell a control host that an endpoint says in answers that it leaves.

    ``born_ms`` names the life that is about to end.
    """

    endpoint: ids.EndpointId
    born_ms: int = 0


class WithdrawEndpoint(msgspec.Struct, tag='withdraw'):
    """Tell a control host that an endpoint is not there any more.

    Another one answered at its address. ``born_ms`` names the life that
    has ended.
    """

    endpoint: ids.EndpointId
    born_ms: int = 0
