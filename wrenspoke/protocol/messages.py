"""The messages that hosts send each other over links."""

import enum
import typing

import msgspec

from wrenspoke import ids
from wrenspoke.state import configuration
from wrenspoke.state import entries
from wrenspoke.state import locations
from wrenspoke.state import registers
from wrenspoke.state import storage


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """State an engine's load; ``age_ms`` grows from host to host."""

    endpoint: ids.EndpointId
    running: int
    waiting: int
    age_ms: int


class EndpointInFlight(msgspec.Struct, array_like=True, frozen=True):
    """State how many requests are at an endpoint that is to finish."""

    endpoint: ids.EndpointId
    in_flight: int


class Heartbeat(msgspec.Struct, tag='beat'):
    """Tell the peers of a data centre that this host lives.

    ``interval_ms`` is when the next one is due at the latest.
    """

    draining: bool
    index: int
    interval_ms: int
    loads: list[LoadReport] = []
    leaving: list[ids.EndpointId] = []
    busy: list[EndpointInFlight] = []


class DataCentreStatus(msgspec.Struct, array_like=True, frozen=True):
    """State how far a data centre's entry hosts have come.

    ``low_index`` is the lowest configuration in force at any of them.
    """

    data_centre: ids.DataCentreId
    region: ids.RegionId
    low_index: int
    busy: list[EndpointInFlight]


class ForwardStatus(msgspec.Struct, tag='standing'):
    """Pass what a relay told on to the leader, while a plan needs it."""

    standing: DataCentreStatus


class UpdateAvailable(msgspec.Struct, tag='news'):
    """Tell a relay that there is something newer to pull."""

    index: int


class TeamRate(msgspec.Struct, array_like=True, frozen=True):
    """State a rate of one team, wanted or granted."""

    team: str
    rate_per_s: float


class AskLeases(msgspec.Struct, tag='ask_leases'):
    """Ask a lender for parts of teams' limits, by what is wanted."""

    wanted: list[TeamRate]


class Leases(msgspec.Struct, tag='leases'):
    """Answer with what is granted for a while."""

    granted: list[TeamRate]


class Ping(msgspec.Struct, tag='ping'):
    """Ask a host elsewhere whether it can be reached.

    ``cut_off`` are the regions that the asking host can't reach itself.
    """

    cut_off: list[ids.RegionId] = []


class ServiceOffer(msgspec.Struct, array_like=True, frozen=True):
    """State what a call to a service would find in a region.

    ``wait_ms`` is when a call without a prompt is expected to give its
    first piece at the best endpoint, ``token_ms`` what each token that is
    to be read adds. Between two events of a stream lie ``usual_ms`` as a
    rule and ``present_ms`` in the present crowd; ``endpoints`` take work.
    """

    service: ids.ServiceId
    wait_ms: float
    token_ms: float
    usual_ms: float
    present_ms: float
    endpoints: int


class Pong(msgspec.Struct, tag='pong'):
    """Answer a ping with what calls that are passed on would find.

    ``index`` is the configuration in force, ``serving`` whether the host
    serves by it. ``offers`` is None from hosts that make none. What it
    can pass on to the regions that were asked for stands in ``relayed``.
    """

    draining: bool
    serving: bool = True
    index: int = 0
    offers: list[ServiceOffer] | None = None
    relayed: dict[ids.RegionId, list[ServiceOffer]] = {}


class PullConfiguration(msgspec.Struct, tag='pull'):
    """Ask for the changes after an index; relays tell their standing."""

    after: int
    standing: DataCentreStatus | None = None


class ConfigurationDelta(msgspec.Struct, tag='delta'):
    """Answer a pull.

    ``changes`` follow each other from the index that was asked for;
    where that is no longer known, ``whole`` stands in their place.
    ``confirmed`` says that nothing accepted was newer when this was sent,
    ``serving`` that the sender serves by what it holds.
    """

    index: int
    confirmed: bool = False
    serving: bool = False
    leader: ids.HostId | None = None
    changes: list[tuple[int, configuration.Change]] = []
    whole: configuration.Configuration | None = None


class Prepare(msgspec.Struct, tag='prepare'):
    """Ask for a promise on a ledger key."""

    key: str
    issued_ms: int
    ballot: registers.Ballot


class Accept(msgspec.Struct, tag='accept'):
    """Ask to accept a claim on a ledger key."""

    key: str
    issued_ms: int
    ballot: registers.Ballot
    claim: registers.Claim


class LedgerVote(msgspec.Struct, tag='vote'):
    """Answer a prepare or accept."""

    vote: registers.Vote


class RecoverLedger(msgspec.Struct, tag='recall'):
    """Ask for a part of the ledger's memory after a restart.

    The part follows the key ``after``, given by issue time and name.
    """

    epoch: int
    after: tuple[int, str] = registers.START_CURSOR


class RecoverLedgerReply(msgspec.Struct, tag='recollection'):
    """Answer a recall."""

    memory: registers.LedgerSnapshot


class Hello(msgspec.Struct, tag='hello'):
    """Tell which disk a control host starts on.

    ``boot`` counts the starts, ``start`` tells this one from another of
    the same number.
    """

    incarnation: ids.Incarnation
    boot: int
    start: str


class HelloReply(msgspec.Struct, tag='hello_reply'):
    """Answer a hello with the highest start known before of that disk."""

    known_boot: int


class RequestVote(msgspec.Struct, tag='ask_vote'):
    """Ask for a vote; ``pre`` only asks whether it would be given."""

    term: int
    incarnation: ids.Incarnation
    last_index: int
    last_term: int
    pre: bool


class VoteRefusal(enum.Enum):
    """Say why a vote was not given."""

    NOT_CLEARED = 'not_cleared'
    NO_VOTE = 'no_vote'
    OLD_TERM = 'old_term'
    LEADER_ACTIVE = 'leader_heard'
    IS_LEADER = 'leads'
    LOG_BEHIND = 'log_behind'
    VOTED = 'voted'


class VoteReply(msgspec.Struct, tag='vote_reply'):
    """Answer a call for votes; ``refused`` says why none is given."""

    term: int
    granted: bool
    incarnation: ids.Incarnation
    refused: VoteRefusal | None = None


class LocalTimestamp(msgspec.Struct, array_like=True, frozen=True):
    """Name a moment by a host's own clock, in one of its lives.

    It means nothing to others, who give it back as it was.
    """

    life: str
    at_ms: int


class AppendEntries(msgspec.Struct, tag='append'):
    """Send log entries, or just a heartbeat, from the leader.

    ``confirmed`` is a moment that the follower told before: nothing was
    accepted up to then that goes beyond ``commit``. None from a leader
    without a lease.
    """

    term: int
    previous_index: int
    previous_term: int
    commit: int
    added: list[entries.LogEntry] = []
    confirmed: LocalTimestamp | None = None


class AppendReply(msgspec.Struct, tag='append_reply'):
    """Answer an append.

    ``last_index`` is the highest index that is synced and equal to the
    leader's if ``matched``; otherwise the next one to try from. ``moment``
    is when this was sent.
    """

    term: int
    matched: bool
    last_index: int
    incarnation: ids.Incarnation
    location: locations.Location | None = None
    moment: LocalTimestamp | None = None


class InstallSnapshot(msgspec.Struct, tag='install'):
    """Send a whole snapshot in place of entries that are gone."""

    term: int
    snapshot: storage.Snapshot


class Refusal(msgspec.Struct, tag='refusal'):
    """Say why a message was not acted on."""

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
