"""The messages that hosts send each other over links."""

import typing

import msgspec

from wrenspoke import ids
from wrenspoke.state import configuration
from wrenspoke.state import registers


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """State an engine's load; ``age_ms`` grows from host to host."""

    endpoint: ids.EndpointId
    running: int
    waiting: int
    age_ms: int


class Beat(msgspec.Struct, tag='beat'):
    """Tell the peers of a data centre that this host lives."""

    draining: bool
    index: int
    loads: list[LoadReport] = []
    leaving: list[ids.EndpointId] = []


class PullConfiguration(msgspec.Struct, tag='pull'):
    """Ask for the changes after an index."""

    after: int


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
    epochs: dict[str, int]


class LedgerVote(msgspec.Struct, tag='vote'):
    """Answer a prepare or accept."""

    vote: registers.Vote


class Recall(msgspec.Struct, tag='recall'):
    """Ask for the ledger's memory after a restart under an epoch."""

    epoch: int


class Recollection(msgspec.Struct, tag='recollection'):
    """Answer a recall."""

    memory: registers.Memory


class Refusal(msgspec.Struct, tag='refusal'):
    """Say why a message was not acted on."""

    reason: str


Message = typing.Union[
    Beat,
    PullConfiguration,
    ConfigurationDelta,
    Prepare,
    Accept,
    LedgerVote,
    Recall,
    Recollection,
    Refusal,
]
