"""State of serving one passed-through call."""

import dataclasses

from wrenspoke.coordination.admission import wait_queue
from wrenspoke.coordination.limiting import limiter
from wrenspoke.coordination.serving import access
from wrenspoke.coordination.serving import event_tracker
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import passthrough_api
from wrenspoke.state import routes


@dataclasses.dataclass
class RetainedResponse:
    """An endpoint's error response, kept while the call is retried."""

    status: int
    fields: dialects.Fields
    body: bytes


@dataclasses.dataclass
class CallContext:
    """State of serving one call, over all of its attempts.

    ``runs`` counts the endpoints that may have run it, ``send_count`` the
    sends that may have reached one. ``build`` began the stream that the call
    resumes, or is None if any build may serve it.
    """

    call: dialects.Call
    permit: access.RoutePermit
    service: routes.RoutedService
    deadline_ms: int
    reply: passthrough_api.Reply
    hop: passthrough_api.Hop | None = None
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
    # Retry-After of a remote host that had no endpoint for it.
    remote_retry_after_ms: int | None = None
    # Permits denied by endpoint limits.
    permit_rejections: int = 0
    first_piece_at_ms: int | None = None
    last_piece_at_ms: int | None = None
    longest_pause_ms: int = 0
    retained_response: RetainedResponse | None = None
    tracker: event_tracker.EventTracker | None = None
    build: ids.BuildId | None = None
    # Its turn among the calls that need room, until it is sent or refused.
    ticket: wait_queue.Ticket | None = None
    # Whether this host has no descriptor for another connection.
    host_is_short: bool = False
    # Whether the request is kept no longer, so that it can't be sent again.
    body_dropped: bool = False

    def drop_body(self) -> None:
        """Keep the request no longer, as no repeat will need it."""
        self.body_dropped = True
        self.call.body = b''
        self.reply.release_request()

    @property
    def route(self) -> routes.Route:
        """Return the call's route, restricted to its team's homes."""
        return self.permit.route

    @property
    def is_resumable(self) -> bool:
        """Return whether another endpoint may continue the response.

        A part of an event that was forwarded can't be taken back, and only
        the build that began a stream may continue it.
        """
        if self.tracker is None:
            return True
        if self.tracker.has_forwarded_partial:
            return False
        return self.build is not None

    def record_piece(self, now_ms: int) -> None:
        """Record that a piece of the response is sent to the caller."""
        if self.last_piece_at_ms is not None:
            pause_ms = now_ms - self.last_piece_at_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.last_piece_at_ms = now_ms

    def mark_not_run(self) -> None:
        """Record that the last send was not run."""
        self.count_runs(-1)
        self.unexecuted_sends += 1

    def count_runs(self, delta: int) -> None:
        """Add to the runs, also to those reported to the forwarding host."""
        self.runs += delta
        if self.hop is not None:
            self.reply.runs = self.runs

    @property
    def runs_limit(self) -> int:
        """Return how many endpoints may run the call from this host on."""
        if self.hop is not None:
            return self.hop.attempts_left
        return self.route.attempts_limit

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have started the call."""
        return self.runs > 0
