"""Order the calls that wait at a host until an engine has room for them."""

import dataclasses

from wrenspoke.coordination.admission import team_shares
from wrenspoke import ids

# A call that was passed so often by those behind it is passed no more.
PASSES_LIMIT = 8
# More calls than this are refused instead of waiting.
QUEUE_LIMIT = 256


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A call that needs a place.

    ``returned`` is whether it was refused before and kept the time that it
    was given, ``refusals`` how often it was. It may wait until ``until_ms``,
    and is late if its first piece comes after ``target_ms``.
    """

    urgency: int
    team: ids.TeamId | None
    arrived_ms: int
    until_ms: float
    target_ms: float
    returned: bool = False
    early: bool = False
    refusals: int = 0
    feasible: bool = True
    passes: int = 0
    # Its wait has ended; it isn't ruled to wait again.
    has_waited: bool = False
    # What kept it from going when it was assessed last.
    blocked_by: str = ''


class WaitQueue:
    """Calls that wait, by urgency, returns, feasibility, team and arrival."""

    def __init__(self, shares: team_shares.TeamShares):
        self._shares = shares
        self._tickets: list[Ticket] = []

    def __len__(self) -> int:
        return len(self._tickets)

    @property
    def is_full(self) -> bool:
        """Return whether further calls may not wait."""
        return len(self._tickets) >= QUEUE_LIMIT

    def has_others(self, ticket: Ticket) -> bool:
        """Return whether other calls than this one wait."""
        return len(self._tickets) > (ticket in self._tickets)

    def add(self, ticket: Ticket) -> None:
        """Let a call wait."""
        self._tickets.append(ticket)

    def discard(self, ticket: Ticket) -> None:
        """Remove a call that waits no more, if it is there."""
        if ticket in self._tickets:
            self._tickets.remove(ticket)

    def in_order(self) -> list[Ticket]:
        """Return the calls that wait, the first to go first."""
        return sorted(self._tickets, key=self._rank)

    def first_ahead(self, ticket: Ticket) -> Ticket | None:
        """Return the call that a call must let go first, or None.

        That is the first one ahead of it that was passed too often.
        """
        rank = self._rank(ticket)
        for other in self.in_order():
            if other is ticket or self._rank(other) >= rank:
                return None
            if other.passes >= PASSES_LIMIT:
                return other
        return None

    def record_admitted(self, ticket: Ticket) -> None:
        """Count that a call goes before those that are ahead of it."""
        if not self._tickets:
            return
        rank = self._rank(ticket)
        for other in self._tickets:
            if other is not ticket and self._rank(other) < rank:
                other.passes += 1

    def _rank(self, ticket: Ticket) -> tuple:
        return (
            ticket.urgency,
            not ticket.returned,
            not ticket.feasible,
            self._shares.recent(ticket.team),
            ticket.arrived_ms,
        )
