"""Messages between hosts: heartbeats, configuration, ledger and consensus."""

import enum
import typing

import msgspec

from wrenspoke import ids
from wrenspoke.protocol import capacity
from wrenspoke.state import configuration
from wrenspoke.state import entries
from wrenspoke.state import locations
from wrenspoke.state import registers
from wrenspoke.state import snapshots


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Load of an engine; each host that relays it increases ``age_ms``."""

    endpoint: ids.EndpointId
    running: int
    waiting: int
    age_ms: int


class EndpointInFlight(msgspec.Struct, array_like=True, frozen=True):
    """Number of requests in flight at an endpoint that is draining."""

    endpoint: ids.EndpointId
    in_flight: int


class Heartbeat(msgspec.Struct, tag='beat'):
    """Heartbeat to the peers in the data centre.

    The next one follows within ``interval_ms``.
    """

    draining: bool
    index: int
    interval_ms: int
    loads: list[LoadReport] = []
    leaving: list[ids.EndpointId] = []
    busy: list[EndpointInFlight] = []


class DataCentreStatus(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a data centre's entry hosts.

    ``low_index`` is the lowest index of the configurations they have applied.
    """

    data_centre: ids.DataCentreId
    region: ids.RegionId
    low_index: int
    busy: list[EndpointInFlight]


class ForwardStatus(msgspec.Struct, tag='standing'):
    """Forward a relay's status to the leader while a plan is running."""

    standing: DataCentreStatus


class UpdateAvailable(msgspec.Struct, tag='news'):
    """Notify a relay that a newer configuration can be pulled."""

    index: int


class TeamRate(msgspec.Struct, array_like=True, frozen=True):
    """Requested or granted rate of one team."""

    team: str
    rate_per_s: float


class AskLeases(msgspec.Struct, tag='ask_leases'):
    """Request leases on teams' limits, at the wanted rates."""

    wanted: list[TeamRate]


class Leases(msgspec.Struct, tag='leases'):
    """Reply with the granted rates, which expire."""

    granted: list[TeamRate]


class Ping(msgspec.Struct, tag='ping'):
    """Probe a host in another region.

    ``cut_off`` lists the regions that the sender can't reach itself.
    """

    cut_off: list[ids.RegionId] = []


class ServiceOffer(msgspec.Struct, array_like=True, frozen=True):
    """Expected latency of calls to a service in a region.

    ``wait_ms`` is the expected time to first token at the best endpoint for
    an empty prompt, ``token_ms`` the time that each token to prefill adds.
    The interval between two events of a stream is ``usual_ms`` typically and
    ``present_ms`` under the current load. ``endpoints`` is the number of
    endpoints that accept requests. ``room`` is None from hosts that don't
    balance by it.
    """

    service: ids.ServiceId
    wait_ms: float
    token_ms: float
    usual_ms: float
    present_ms: float
    endpoints: int
    room: capacity.ServiceRoom | None = None


class Pong(msgspec.Struct, tag='pong'):
    """Reply to a ping with the expected latency of forwarded calls.

    ``index`` is that of the host's configuration, ``serving`` whether the
    host serves with it. ``offers`` is None from hosts without offers.
    ``relayed`` holds the offers of the regions in ``Ping.cut_off`` that the
    host can forward to.
    """

    draining: bool
    serving: bool = True
    index: int = 0
    offers: list[ServiceOffer] | None = None
    relayed: dict[ids.RegionId, list[ServiceOffer]] = {}


class PullConfiguration(msgspec.Struct, tag='pull'):
    """Request the changes after an index; relays add their status."""

    after: int
    standing: DataCentreStatus | None = None


class ConfigurationDelta(msgspec.Struct, tag='delta'):
    """Reply to a pull with the changes since the requested index.

    If the log no longer reaches back to that index, ``whole`` holds the full
    configuration instead of ``changes``. ``confirmed`` is set if no newer
    configuration was committed when the reply was sent, ``serving`` if the
    sender serves with the configuration that it holds.
    """

    index: int
    confirmed: bool = False
    serving: bool = False
    leader: ids.HostId | None = None
    changes: list[tuple[int, configuration.Change]] = []
    whole: configuration.Configuration | None = None


class Prepare(msgspec.Struct, tag='prepare'):
    """Request a promise for a ballot on a ledger key, as in Paxos."""

    key: str
    issued_ms: int
    ballot: registers.Ballot


class Accept(msgspec.Struct, tag='accept'):
    """Request acceptance of a claim on a ledger key, as in Paxos."""

    key: str
    issued_ms: int
    ballot: registers.Ballot
    claim: registers.Claim


class LedgerVote(msgspec.Struct, tag='vote'):
    """Reply to a ``Prepare`` or ``Accept``."""

    vote: registers.Vote


class RecoverLedger(msgspec.Struct, tag='recall'):
    """Request a chunk of a ledger replica's state after a restart.

    The chunk starts after the key ``after``, given by issue time and name.
    """

    epoch: int
    after: tuple[int, str] = registers.START_CURSOR


class RecoverLedgerReply(msgspec.Struct, tag='recollection'):
    """Reply with a chunk of the ledger's state."""

    memory: registers.LedgerSnapshot


class Hello(msgspec.Struct, tag='hello'):
    """Announce the start of a control host on its disk.

    ``boot`` counts the starts on that disk, ``start`` distinguishes two
    starts with the same count.
    """

    incarnation: ids.Incarnation
    boot: int
    start: str


class HelloReply(msgspec.Struct, tag='hello_reply'):
    """Reply with the highest ``boot`` previously seen for that disk."""

    known_boot: int


class RequestVote(msgspec.Struct, tag='ask_vote'):
    """Raft's RequestVote; with ``pre`` a pre-vote that changes no state."""

    term: int
    incarnation: ids.Incarnation
    last_index: int
    last_term: int
    pre: bool


class VoteRefusal(enum.Enum):
    """Reason why a vote was not granted."""

    NOT_CLEARED = 'not_cleared'
    NO_VOTE = 'no_vote'
    OLD_TERM = 'old_term'
    LEADER_ACTIVE = 'leader_heard'
    IS_LEADER = 'leads'
    LOG_BEHIND = 'log_behind'
    VOTED = 'voted'


class VoteReply(msgspec.Struct, tag='vote_reply'):
    """Reply to a vote request; ``refused`` is the reason of a rejection."""

    term: int
    granted: bool
    incarnation: ids.Incarnation
    refused: VoteRefusal | None = None


class LocalTimestamp(msgspec.Struct, array_like=True, frozen=True):
    """Reading of a host's monotonic clock in one instance of the host.

    Other hosts treat it as opaque and return it unchanged.
    """

    life: str
    at_ms: int


class AppendEntries(msgspec.Struct, tag='append'):
    """Raft's AppendEntries: log entries or a heartbeat from the leader.

    ``confirmed`` is a timestamp that the follower sent before: up to then
    nothing beyond ``commit`` was committed. None from a leader without a
    lease.
    """

    term: int
    previous_index: int
    previous_term: int
    commit: int
    added: list[entries.LogEntry] = []
    confirmed: LocalTimestamp | None = None


class AppendReply(msgspec.Struct, tag='append_reply'):
    """Reply to ``AppendEntries``.

    If ``matched``, ``last_index`` is the highest index that is synced to disk
    and equal to the leader's, otherwise the index to retry from. ``moment``
    is the time of the reply on the follower's clock.
    """

    term: int
    matched: bool
    last_index: int
    incarnation: ids.Incarnation
    location: locations.Location | None = None
    moment: LocalTimestamp | None = None


class InstallSnapshot(msgspec.Struct, tag='install'):
    """Raft's InstallSnapshot, in place of entries that were compacted."""

    term: int
    snapshot: snapshots.Snapshot


class Refusal(msgspec.Struct, tag='refusal'):
    """Reply that a message was rejected, with the reason."""

    reason: str


Message = typing.Union[
    Heartbeat,
    UpdateAvailable,
    ForwardStatus,
    Ping,
    Pong,
    AskLeases,
    Leases,
    PullConfiguration,
    ConfigurationDelta,
    Prepare,
    Accept,
    LedgerVote,
    RecoverLedger,
    RecoverLedgerReply,
    Hello,
    HelloReply,
    RequestVote,
    VoteReply,
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    Refusal,
]
