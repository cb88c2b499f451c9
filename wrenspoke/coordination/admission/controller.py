"""Decide whether a call is admitted, waits or is refused.

A call is admitted where it should end in time without making streams there
miss their deadlines. One that harms others, or that may fail, waits for a
short time; one that would fail is refused at once, with a time to return at.
No network, no clock and no loop: the time is passed in.
"""

import dataclasses
import enum

from wrenspoke.coordination.admission import places
from wrenspoke.coordination.admission import returns
from wrenspoke.coordination.admission import team_shares
from wrenspoke.coordination.admission import wait_queue
from wrenspoke import ids

# Predictions err by a third and more either way: a call is refused for its
# own sake only if it would end this many times later than it may.
FAILURE_MARGIN = 1.5
# A wait is at most this share of the route's target time.
WAIT_TARGET_SHARE = 0.5
MS_PER_S = 1_000
MIN_RETURN_MS = 100.0
# Callers rarely wait longer, and forecasts beyond it are unreliable.
MAX_RETURN_MS = 10_000.0
# Returns are spread over the time in which so many streams end at least.
MIN_RETURNS_PER_S = 0.5
RETURNS_LIMIT = 512


class Ruling(enum.Enum):
    """What happens to a call now."""

    ADMIT = 'admit'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Reason(enum.Enum):
    """Why a call is not admitted now."""

    NONE = ''
    FAILS = 'it would miss its deadline'
    HARMS = 'others would miss their deadlines'
    PASSED = 'another call goes first'
    EARLY = 'it returned before its time'
    SHARE = 'its team grew far more than others'


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """A ruling, with its reason.

    ``first`` is the call that goes first, if there is one. A refused call
    should return in ``return_ms``.
    """

    ruling: Ruling
    reason: Reason = Reason.NONE
    first: wait_queue.Ticket | None = None
    return_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Totals since the start."""

    admitted: int = 0
    waited: int = 0
    refused: int = 0
    returned: int = 0
    early: int = 0


class AdmissionController:
    """Decides between the calls that arrive at one host."""

    def __init__(self, max_wait_ms: int):
        self._max_wait_ms = max_wait_ms
        self.shares = team_shares.TeamShares()
        self.returns = returns.Returns()
        self.queue = wait_queue.WaitQueue(self.shares)
        self.counters = Counters()
        # Times at which refused callers were told to return, with urgency.
        self._due: list[tuple[float, int]] = []

    def ticket(
        self,
        key: str,
        urgency: int,
        team: ids.TeamId | None,
        target_ms: float,
        tokens: float,
        now_ms: int,
    ) -> wait_queue.Ticket:
        """Return the ticket of a call that arrives.

        ``key`` is the same for each return of a call.
        """
        self.shares.record(team, tokens, now_ms)
        standing = self.returns.standing(key, now_ms)
        found = self.returns.find(key, now_ms)
        is_early = standing is returns.Standing.EARLY
        self.counters.early += is_early
        self.counters.returned += standing is returns.Standing.RETURNED
        wait_ms = min(self._max_wait_ms, WAIT_TARGET_SHARE * target_ms)
        return wait_queue.Ticket(
            urgency,
            team,
            now_ms,
            now_ms + (0.0 if is_early else wait_ms),
            now_ms + target_ms,
            standing is returns.Standing.RETURNED,
            is_early,
            0 if found is None or is_early else found.refusals,
        )

    def decide(
        self,
        ticket: wait_queue.Ticket,
        place: places.Place,
        deadline_left_ms: float,
        now_ms: int,
    ) -> Decision:
        """Return what happens to a call, given the best place for it."""
        ticket.feasible = place.end_ms <= deadline_left_ms
        harms = place.harmed > self._allowed_harm(ticket)
        may_wait = not ticket.has_waited and now_ms < ticket.until_ms
        if place.has_ample_room and not self.queue.has_others(ticket):
            return Decision(Ruling.ADMIT)
        if self._is_late_beyond_share(ticket, place, now_ms):
            return Decision(Ruling.REFUSE, Reason.SHARE)
        if ticket.feasible and not harms:
            ahead = self.queue.first_ahead(ticket)
            if ahead is None or not may_wait:
                return Decision(Ruling.ADMIT)
            return Decision(Ruling.WAIT, Reason.PASSED, ahead)
        if place.end_ms > FAILURE_MARGIN * deadline_left_ms:
            # Time that passes while it waits is lost to its deadline too.
            return Decision(Ruling.REFUSE, Reason.FAILS)
        reason = Reason.HARMS if harms else Reason.FAILS
        if ticket.early:
            return Decision(Ruling.REFUSE, Reason.EARLY)
        if may_wait and not self.queue.is_full:
            return Decision(Ruling.WAIT, reason)
        if harms:
            return Decision(Ruling.REFUSE, reason)
        return Decision(Ruling.ADMIT)

    def _is_late_beyond_share(
        self, ticket: wait_queue.Ticket, place: places.Place, now_ms: int
    ) -> bool:
        """Return whether a call would be late as its team sends too much.

        Where no slot is free, what is served late to one team makes late what
        comes behind it. The calls of other teams are served late all the same:
        whether a call will be late at a full engine is hard to tell.
        """
        if not self.shares.is_over(ticket.team):
            return False
        return place.ready_ms > 0 or now_ms + place.first_ms > ticket.target_ms

    def _allowed_harm(self, ticket: wait_queue.Ticket) -> int:
        """Return how many streams a call may make late.

        With each refusal it is one more: a long prompt that always harms
        someone is not refused for ever.
        """
        return ticket.refusals

    def admit(
        self,
        ticket: wait_queue.Ticket,
        key: str,
    ) -> None:
        """Record that a call is sent to its place."""
        self.queue.record_admitted(ticket)
        self.queue.discard(ticket)
        self.returns.settle(key)
        self.counters.admitted += 1

    def refuse(
        self,
        ticket: wait_queue.Ticket,
        key: str,
        room_ms: float,
        ends_per_s: float,
        draw: float,
        now_ms: int,
    ) -> float:
        """Record a refusal; return in how many ms the call should return.

        There should be room in ``room_ms``, and then for ``ends_per_s`` calls
        a second of this host. More urgent calls, and those that were refused
        before, return sooner. One that repeats too early keeps its time.
        ``draw``, from 0 to 1, is where in its turn a call returns, so that
        what several hosts refuse at once doesn't.
        """
        self.queue.discard(ticket)
        self.counters.refused += 1
        if ticket.early:
            found = self.returns.find(key, now_ms)
            if found is not None:
                return max(found.due_ms - now_ms, MIN_RETURN_MS)
        rank = 2 * ticket.urgency + (not ticket.refusals)
        rate = max(ends_per_s, MIN_RETURNS_PER_S)
        ahead = self._count_due(rank, now_ms)
        return_ms = max(room_ms, MIN_RETURN_MS)
        return_ms += (ahead + draw) * MS_PER_S / rate
        return_ms = min(return_ms, MAX_RETURN_MS)
        if len(self._due) < RETURNS_LIMIT:
            self._due.append((now_ms + return_ms, rank))
        self.returns.promise(key, now_ms + return_ms)
        return return_ms

    def _count_due(self, rank: int, now_ms: int) -> int:
        """Return how many calls of a rank or before it are yet to return."""
        self._due = [item for item in self._due if item[0] > now_ms]
        return sum(other <= rank for _due_ms, other in self._due)
