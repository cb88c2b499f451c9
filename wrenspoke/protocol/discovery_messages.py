"""Messages for discovery of hosts and endpoints, and for region gossip."""

import zlib

import msgspec

from wrenspoke import ids
from wrenspoke.protocol import capacity
from wrenspoke.protocol import errors
from wrenspoke.protocol import limiting
from wrenspoke.protocol import messages
from wrenspoke.state import configuration
from wrenspoke.state import loads
from wrenspoke.state import registry


# Route tables are repetitive: the fastest level compresses them well.
COMPRESSION_LEVEL = 1
_DELTA_DECODER = msgspec.msgpack.Decoder(messages.ConfigurationDelta)

# The field ``loads`` of RegionGossip shadows the module.
EngineLoad = loads.EngineLoad


class HostRecord(msgspec.Struct, array_like=True, frozen=True):
    """State of an entry host as reported by it ``age_ms`` ago.

    Callers connect to ``callers_address``, other hosts forward requests to
    ``passing_address``; ``host`` is also the address of the host's link.
    ``start`` identifies the process, ``number`` increases with each report.
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
    """Entry hosts that were added, changed or removed.

    With ``whole`` the message lists all hosts: any other is removed.
    """

    found: list[HostRecord]
    lost: list[ids.HostId]
    whole: bool = False


class Renewal(msgspec.Struct, array_like=True, frozen=True):
    """Renewal of the lease of an unchanged host or endpoint.

    ``number`` is that of its latest report, ``age_ms`` ago. ``life``
    identifies the instance: an arbitrary number for a host, the start time
    for an endpoint.
    """

    name: str
    number: int
    age_ms: int
    life: int = 0


class Attend(msgspec.Struct, tag='attend'):
    """Renew an entry host's lease and long-poll for changes.

    A control host replies once it has something newer than ``index`` and
    the revisions, or after ``wait_ms``. Revisions are valid for one
    instance of the control host, identified by ``life``.
    """

    record: HostRecord
    index: int
    life: str
    endpoints_revision: int
    hosts_revision: int
    wait_ms: int


class AttendReply(msgspec.Struct, tag='attended'):
    """Reply to an ``Attend`` with the changes since what its sender holds.

    ``confirmed`` is set if no newer configuration was committed when the
    reply was sent, ``led`` if the control host leads or is in contact with
    the leader. ``news`` holds configuration changes up to ``index``, encoded
    by ``pack_delta``, so that equal replies are encoded only once. A leader
    confirmed ``index`` as the latest ``confirmed_age_ms`` before the reply
    was sent; None if no leader did. ``held_ms`` is how long the control host
    delayed the reply. ``leader`` is the last known leader, in ``term``.
    ``hosts`` is None if no host changed. ``near`` lists the control hosts in
    the region of the entry host. ``complete`` is set if the registry has had
    the time to receive a registration of every endpoint. ``leaving`` is set by
    a control host that is stopping.
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
    complete: bool = False
    leaving: bool = False


def pack_delta(delta: messages.ConfigurationDelta) -> bytes:
    """Encode a configuration delta for ``AttendReply.news``."""
    body = msgspec.msgpack.encode(_without_route_documents(delta))
    return zlib.compress(body, COMPRESSION_LEVEL)


def _without_route_documents(
    delta: messages.ConfigurationDelta,
) -> messages.ConfigurationDelta:
    """Drop the source documents of route tables, which entry hosts ignore."""
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
    """Decode a configuration delta that ``pack_delta`` encoded.

    :raises MalformedMessageError: the bytes can't be decoded
    """
    try:
        return _DELTA_DECODER.decode(zlib.decompress(news))
    except (zlib.error, msgspec.DecodeError) as error:
        raise errors.MalformedMessageError(str(error)) from error


class Exchange(msgspec.Struct, tag='exchange'):
    """Synchronize discovery state with another control host.

    Changed records are sent in full, once. Unchanged ones are sent as
    renewals, and only by the control host that received the renewal.
    """

    endpoints: list[registry.Registration]
    hosts: HostChanges
    renewed_endpoints: list[Renewal] = []
    renewed_hosts: list[Renewal] = []
    region: ids.RegionId = ids.RegionId('')


class ExchangeReply(msgspec.Struct, tag='exchanged'):
    """Reply to an ``Exchange`` once all of it has been merged.

    ``life`` identifies the instance of the control host, ``heard`` lists the
    control hosts that it is in contact with. ``unknown`` is set if a renewal
    was for a record that it does not hold: the sender then resends all.
    ``unsaved`` is set if leaves that it has merged are not synced to its disk.
    """

    life: str = ''
    heard: list[ids.HostId] = []
    unknown: bool = False
    unsaved: bool = False


class ConfirmIndex(msgspec.Struct, tag='confirm_index'):
    """Ask the leader for its commit index, as Raft's ReadIndex does."""


class ConfirmIndexReply(msgspec.Struct, tag='index_confirmed'):
    """Reply with the commit index, None if the host does not lead."""

    index: int | None


class RegionStatus(msgspec.Struct, array_like=True, frozen=True):
    """Latest pong of a host in another region, received ``age_ms`` ago.

    ``travel_ms`` is the round-trip time to it. ``said`` is None if no host
    of the region responds.
    """

    region: ids.RegionId
    said: messages.Pong | None
    travel_ms: float = 0.0
    age_ms: int = 0


class WarmupStatus(msgspec.Struct, array_like=True, frozen=True):
    """Remaining warmup of an endpoint, as reported by the endpoint."""

    endpoint: ids.EndpointId
    left_ms: int


class SentCall(msgspec.Struct, array_like=True, frozen=True):
    """Call that a host sent to an engine ``age_ms`` ago.

    ``host`` is a short number for the host. ``tokens`` is the length of the
    prompt to prefill. ``parts`` are the prefixes that other prompts can
    share, ``own_tokens`` the other tokens that it adds to the engine's cache.
    Its response should have ``stream_tokens``, and has to end ``left_ms``
    after the call was sent; hosts of earlier versions leave both at 0.
    ``body_bytes`` is the size of the request, 0 from older hosts.
    """

    host: int
    endpoint: ids.EndpointId
    tokens: int
    age_ms: int
    parts: list[tuple[str, int]] = []
    own_tokens: int = 0
    stream_tokens: int = 0
    left_ms: int = 0
    body_bytes: int = 0


class EngineObservation(msgspec.Struct, array_like=True, frozen=True):
    """What a host has observed of an engine since its last report.

    ``born_ms`` identifies the instance. ``first_ms`` is the sum of the times
    to the first piece of ``prompts`` calls, with ``tokens`` uncached tokens
    in all; ``gaps_ms`` that of ``gaps`` intervals between events, and
    ``streams`` the sum of the streams that ran there meanwhile.
    """

    endpoint: ids.EndpointId
    born_ms: int
    prompts: int
    tokens: int
    first_ms: int
    gaps: int
    streams: int
    gaps_ms: int


class ReportSentCalls(msgspec.Struct, tag='tell_sent'):
    """Report sent calls to the host that collects them.

    ``observed`` tells how fast engines served earlier ones.
    """

    calls: list[SentCall]
    observed: list[EngineObservation] = []


class EndpointOutcomes(msgspec.Struct, array_like=True, frozen=True):
    """Outcomes of a host's requests to an endpoint since its last report.

    ``born_ms`` identifies the endpoint's instance. The counts are reduced by
    their age.
    """

    endpoint: ids.EndpointId
    born_ms: int
    served: float
    failed: float
    refused: float
    host: ids.HostId


class ReportOutcomes(msgspec.Struct, tag='tell_outcomes'):
    """Report the outcomes at endpoints that fail to the collecting host."""

    outcomes: list[EndpointOutcomes]


class RegionGossip(msgspec.Struct, tag='tell_region', omit_defaults=True):
    """Gossip to the entry hosts of a region.

    Carries engine loads, the state of other regions, the warmup of readmitted
    endpoints, calls sent to engines, outcomes at endpoints that fail,
    profiles of engines, and what endpoints advertise: limits, backoffs and
    shutdown. The receiver forwards it to the hosts in ``pass_on``.
    """

    loads: list[EngineLoad] = []
    regions: list[RegionStatus] = []
    warm: list[WarmupStatus] = []
    sent: list[SentCall] = []
    pass_on: list[ids.HostId] = []
    limits: list[limiting.EndpointLimit] = []
    backoffs: list[limiting.EndpointBackoff] = []
    leaving: list[limiting.EndpointInstance] = []
    outcomes: list[EndpointOutcomes] = []
    profiles: list[capacity.EngineProfile] = []


class ReportLeaving(msgspec.Struct, tag='endpoint_leaves'):
    """Report an endpoint that advertises its shutdown in responses.

    ``born_ms`` identifies the instance that shuts down.
    """

    endpoint: ids.EndpointId
    born_ms: int = 0


class WithdrawEndpoint(msgspec.Struct, tag='withdraw'):
    """Deregister an endpoint after another one answered at its address.

    ``born_ms`` identifies the instance that ended.
    """

    endpoint: ids.EndpointId
    born_ms: int = 0
