"""How far serving one passed-through call has come."""

import dataclasses

from wrenspoke.coordination.limiting import limiter
from wrenspoke.coordination.serving import access
from wrenspoke.coordination.serving import event_tracker
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import passing
from wrenspoke.state import routes


@dataclasses.dataclass
class RetainedResponse:
    """Hold an endpoint's failure while another try is made."""

    status: int
    fields: dialects.Fields
    body: bytes


@dataclasses.dataclass
class CallContext:
    """Hold how far serving one call has come."""

    call: dialects.Call
    permit: access.RoutePermit
    service: routes.RoutedService
    deadline_ms: int
    reply: passing.Reply
    hop: passing.Hop | None = None
    taken: limiter.Reservation | None = None
    runs: int = 0
    unexecuted_sends: int = 0
    send_count: int = 0
    refusing_regions: set[ids.RegionId] = dataclasses.field(
        default_factory=set
    )
    attempted: set[str] = dataclasses.field(default_factory=set)
    cause: str = ''
    retry_after_ms: int | None = None
    # When a host elsewhere that could not send it said to come back.
    remote_retry_after_ms: int | None = None
    # Endpoints that took no more when it was about to be sent.
    permit_rejections: int = 0
    first_piece_at_ms: int | None = None
    last_piece_at_ms: int | None = None
    longest_pause_ms: int = 0
    retained_response: RetainedResponse | None = None
    tracker: event_tracker.EventTracker | None = None

    @property
    def route(self) -> routes.Route:
        """Return the call's route, with the homes that its team allows."""
        return self.permit.route

    def record_piece(self, now_ms: int) -> None:
        """Note that a piece of the answer goes to the caller."""
        if self.last_piece_at_ms is not None:
            pause_ms = now_ms - self.last_piece_at_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.last_piece_at_ms = now_ms

    def mark_not_run(self) -> None:
        """Take back that the last send may have run."""
        self.count_runs(-1)
        self.unexecuted_sends += 1

    def count_runs(self, delta: int) -> None:
        """Count runs, and tell them to a host that passed the call on."""
        self.runs += delta
        if self.hop is not None:
            self.reply.runs = self.runs

    @property
    def runs_limit(self) -> int:
        """Return how many endpoints may run it, as seen from here."""
        if self.hop is not None:
            return self.hop.attempts_left
        return self.route.attempts_limit

    @property
    def may_have_run(self) -> bool:
        """Tell whether an endpoint may have begun it."""
        return self.runs > 0
