"""Entries of the control hosts' replicated log."""

import typing

import msgspec

from wrenspoke import ids
from wrenspoke.state import configuration
from wrenspoke.state import electorates
from wrenspoke.state import plans
from wrenspoke.state import routes


class LeaderStart(msgspec.Struct, frozen=True, tag='leader_start'):
    """First entry of a leader's term; nothing of the term commits before."""

    host: ids.HostId


class SetVoters(msgspec.Struct, frozen=True, tag='voters'):
    """Replaces the set of voters.

    Each entry adds, removes or replaces one voter. For a replacement
    ``before`` holds the previous set; a second entry drops it once this one
    is committed.
    """

    voters: electorates.Voters
    reason: str = ''
    before: electorates.Voters = {}

    @property
    def electorate(self) -> electorates.Electorate:
        """Return the electorate in force from this entry on."""
        return electorates.Electorate(self.voters, self.before)


class Bootstrap(msgspec.Struct, frozen=True, tag='found'):
    """First entry of the log, with the configuration from the settings."""

    configuration: configuration.Configuration


class MakePlan(msgspec.Struct, frozen=True, tag='make_plan'):
    """Stores a plan, and the answer for resends of the request."""

    operator: ids.OperatorId
    number: int
    digest: str
    plan: plans.Plan


class ConfirmPlan(msgspec.Struct, frozen=True, tag='confirm_plan'):
    """Starts a plan if the configuration is still at its base index."""

    operator: ids.OperatorId
    number: int
    digest: str
    plan: ids.PlanId
    at_ms: int


class IssueOrder(msgspec.Struct, frozen=True, tag='issue_order'):
    """Authorizes this leader to send the order of the current step.

    The index of the entry is the fencing token of the order.
    """

    plan: ids.PlanId
    step: int
    leader: ids.HostId
    at_ms: int


class EndStep(msgspec.Struct, frozen=True, tag='end_step'):
    """Records the result of the current step of a plan."""

    plan: ids.PlanId
    step: int
    succeeded: bool
    detail: str
    at_ms: int


class ReplaceRoutes(msgspec.Struct, frozen=True, tag='replace_routes'):
    """Replaces the route table unless a newer version is in force."""

    table: routes.RouteTable


class Evacuate(msgspec.Struct, frozen=True, tag='evacuate'):
    """Starts or ends the evacuation of a data centre."""

    data_centre: ids.DataCentreId
    evacuated: bool


class SetShareHolders(msgspec.Struct, frozen=True, tag='lenders'):
    """Sets the entry hosts that may hold shares of team limits.

    A host is granted shares only after an entry that lists it is committed,
    so a new leader has the full list of holders.
    """

    hosts: tuple[ids.HostId, ...]


class SetQuarantine(msgspec.Struct, frozen=True, tag='quarantine'):
    """Adds requests that crash endpoints to the quarantine, or clears them."""

    change: configuration.SetQuarantine


Entry = typing.Union[
    LeaderStart,
    SetVoters,
    Bootstrap,
    MakePlan,
    ConfirmPlan,
    IssueOrder,
    EndStep,
    ReplaceRoutes,
    Evacuate,
    SetShareHolders,
    SetQuarantine,
]


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """Log entry with its index and term.

    ``committed`` is the leader's commit index when it wrote the entry; a
    restarted voter may apply entries up to it.
    """

    index: int
    term: int
    entry: Entry
    committed: int = 0
