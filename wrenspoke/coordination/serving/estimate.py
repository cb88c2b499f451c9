"""Estimate when an endpoint would give the first piece of an answer.

For engines the prompt counts: what of it is still to be read there, what
waits before it, and whether the memory holds it. What the engine takes
over from another one need not be read. Other endpoints are estimated by
their places.
"""

import collections

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import gauges
from wrenspoke.coordination.serving import prefixes
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects
from wrenspoke.state import registry
from wrenspoke.state import routes

# Prompt tokens that an engine reads in a millisecond, until it is learned.
FIRST_RATE = 20.0
RATE_WEIGHT = 0.05
LEAST_SAMPLE_TOKENS = 400
# Of a plain endpoint, how long a request holds its place.
FIRST_HOLD_MS = 30.0
HOLD_WEIGHT = 0.1
# Moves go one after the other, and take twice as long between data centres.
MOVE_WAIT = 2.0
# Reports show an engine as it was some hundred ms before.
REPORT_LAG_MS = 150


class Estimator:
    """Estimate first pieces by reports, own sends and what was learned."""

    def __init__(self, known: gauges.Gauges, clock: clocks.Clock):
        self._gauges = known
        self._clock = clock
        self.prefixes = prefixes.Prefixes()
        self._sent: dict[ids.EndpointId, collections.deque] = {}
        self._rate = FIRST_RATE
        self._hold_ms: dict[ids.ServiceId, float] = {}

    def unread_tokens(
        self,
        endpoint: ids.EndpointId,
        call: dialects.Call,
        usual: bool,
        moved_tokens: float = 0.0,
    ) -> float:
        """Return how much of a prompt an engine has yet to read.

        ``moved_tokens`` is what it takes over from another engine.
        """
        kept = self.prefixes.kept_tokens(endpoint, call.parts, usual)
        return max(call.tokens_in - kept - moved_tokens, 0)

    def first_ms(
        self,
        found: registry.Registered,
        service: routes.RoutedService,
        call: dialects.Call,
        in_flight: int,
        usual: bool,
        moved_tokens: float = 0.0,
    ) -> float:
        """Return the time to the first piece of an answer."""
        said = found.said
        if service.batch is None:
            hold_ms = self._hold_ms.get(said.service, FIRST_HOLD_MS)
            waves = (in_flight + 1) / said.slots
            return hold_ms * max(waves, 1.0)
        unread = self.unread_tokens(said.endpoint, call, usual, moved_tokens)
        load = self._gauges.load(said.endpoint)
        waiting = self._sent_lately(said.endpoint, load)
        if load is not None and load.queued:
            waiting += load.queued * max(call.tokens_in, 1) / 2
        moving_ms = MOVE_WAIT * service.batch.move_ms(moved_tokens)
        return (unread + waiting) / self._rate + moving_ms

    def room(
        self,
        found: registry.Registered,
        service: routes.RoutedService,
        call: dialects.Call,
        usual: bool,
    ) -> bool:
        """Tell whether an engine's memory and batch take one more."""
        if service.batch is None:
            return True
        load = self._gauges.load(found.said.endpoint)
        if load is None:
            return True
        unread = self.unread_tokens(found.said.endpoint, call, usual)
        needed = unread + call.tokens_out
        coming = self._sent_lately(found.said.endpoint, load)
        if load.held_tokens + coming + needed > load.total_tokens:
            return False
        return load.queued == 0 and load.running < service.batch.slots

    def _sent_lately(
        self, endpoint: ids.EndpointId, load: object | None
    ) -> float:
        """Return the tokens sent from here that no report shows yet."""
        sent = self._sent.get(endpoint)
        if not sent:
            return 0.0
        age_ms = 1_000 if load is None else load.age_ms + REPORT_LAG_MS
        since_ms = self._clock.mono_ms() - age_ms
        while sent and sent[0][0] < since_ms:
            sent.popleft()
        return sum(tokens for _sent_ms, tokens in sent)

    def note_sent(
        self,
        endpoint: ids.EndpointId,
        service: routes.RoutedService,
        call: dialects.Call,
        usual: bool,
        moved_tokens: float = 0.0,
    ) -> None:
        """Note that a call goes to an endpoint."""
        if service.batch is None:
            return
        unread = self.unread_tokens(endpoint, call, usual, moved_tokens)
        sent = self._sent.setdefault(endpoint, collections.deque())
        sent.append((self._clock.mono_ms(), unread))
        self.prefixes.note(endpoint, service.batch.cache_tokens, call.parts)

    def note_first(
        self,
        service: routes.RoutedService,
        unread: float,
        took_ms: float,
    ) -> None:
        """Learn from the time to a first piece or a whole answer."""
        if service.batch is None:
            old = self._hold_ms.get(service.service, FIRST_HOLD_MS)
            moved = HOLD_WEIGHT * (took_ms - old)
            self._hold_ms[service.service] = old + moved
            return
        if unread < LEAST_SAMPLE_TOKENS or took_ms <= 0:
            return
        self._rate += RATE_WEIGHT * (unread / took_ms - self._rate)

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Forget endpoints that are gone."""
        self.prefixes.keep_only(endpoints)
        for endpoint in list(self._sent):
            if endpoint not in endpoints:
                del self._sent[endpoint]
