"""What control hosts write into their replicated log."""

import typing

import msgspec

from wrenspoke import ids
from wrenspoke.state import configuration
from wrenspoke.state import electorates
from wrenspoke.state import plans
from wrenspoke.state import routes


class LeaderStart(msgspec.Struct, frozen=True, tag='leader_start'):
    """Begin a leader's term; nothing of it commits before this."""

    host: ids.HostId


class SetVoters(msgspec.Struct, frozen=True, tag='voters'):
    """Replace the set of voters.

    One is added or taken away at a time; where one takes another's place
    ``before`` is the set until then, which another entry leaves out once
    this one is committed.
    """

    voters: electorates.Voters
    reason: str = ''
    before: electorates.Voters = {}

    @property
    def electorate(self) -> electorates.Electorate:
        """Return who decides from this entry on."""
        return electorates.Electorate(self.voters, self.before)


class Bootstrap(msgspec.Struct, frozen=True, tag='found'):
    """Be the first entry: the settings' configuration."""

    configuration: configuration.Configuration


class MakePlan(msgspec.Struct, frozen=True, tag='make_plan'):
    """Keep a plan, and the answer for when it is asked again."""

    operator: ids.OperatorId
    number: int
    digest: str
    plan: plans.Plan


class ConfirmPlan(msgspec.Struct, frozen=True, tag='confirm_plan'):
    """Put a plan in force if the configuration is still its base."""

    operator: ids.OperatorId
    number: int
    digest: str
    plan: ids.PlanId
    at_ms: int


class IssueOrder(msgspec.Struct, frozen=True, tag='issue_order'):
    """Allow the current step's order to be sent, by this leader.

    The entry's index is the order's fencing number.
    """

    plan: ids.PlanId
    step: int
    leader: ids.HostId
    at_ms: int


class EndStep(msgspec.Struct, frozen=True, tag='end_step'):
    """Say how the current step of a plan ended."""

    plan: ids.PlanId
    step: int
    succeeded: bool
    detail: str
    at_ms: int


class ReplaceRoutes(msgspec.Struct, frozen=True, tag='replace_routes'):
    """Put a table of routes in force, unless a newer one is."""

    table: routes.RouteTable


class Evacuate(msgspec.Struct, frozen=True, tag='evacuate'):
    """Empty a data centre's endpoints of requests, or take them back."""

    data_centre: ids.DataCentreId
    evacuated: bool


class SetShareHolders(msgspec.Struct, frozen=True, tag='lenders'):
    """Say which entry hosts may hold shares of teams' limits.

    None is granted one before an entry that names it is committed, so that
    a new leader knows whom to hear from.
    """

    hosts: tuple[ids.HostId, ...]


class SetQuarantine(msgspec.Struct, frozen=True, tag='quarantine'):
    """Put requests that end endpoints into quarantine, or let them out."""

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
    """Hold an entry with its place in the log.

    Up to ``committed`` the leader knew entries to be committed when it
    wrote this one, which a restart may go by.
    """

    index: int
    term: int
    entry: Entry
    committed: int = 0
