"""Estimate when an endpoint would give the first piece of an answer.

For engines the prompt counts: what of it is still to be read there, what
waits before it, and whether the memory holds it. What is kept at an
engine is remembered from what was sent there, least lately used first
out, as engines do; the engine that hosts agree on for a prefix is taken
to have it. Other endpoints are estimated by their places.
"""

import collections

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import gauges
from wrenspoke.coordination.serving import routing
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
# Reports show an engine as it was some hundred ms before.
REPORT_LAG_MS = 150
# Of the parts of a prompt that its usual engine should hold.
USUAL_SHARE = 0.8
KEPT_PARTS = 20_000


class PrefixMemory:
    """Remember the parts of prompts that were sent to one engine."""

    def __init__(self, capacity_tokens: int):
        self._capacity_tokens = capacity_tokens
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def kept_tokens(self, parts: tuple[dialects.PromptPart, ...]) -> int:
        """Return how many tokens from the start on are kept."""
        kept = 0
        for part in parts:
            if part.part not in self._parts:
                break
            kept += part.tokens
        return kept

    def note(self, parts: tuple[dialects.PromptPart, ...]) -> None:
        """Note that a prompt was read, and forget the oldest for it."""
        for part in parts:
            old = self._parts.pop(part.part, 0)
            self._parts[part.part] = part.tokens
            self._tokens += part.tokens - old
        while self._parts and (
            self._tokens > self._capacity_tokens
            or len(self._parts) > KEPT_PARTS
        ):
            _part, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


class Estimator:
    """Estimate first pieces by reports, own sends and what was learned."""

    def __init__(self, known: gauges.Gauges, clock: clocks.Clock):
        self._gauges = known
        self._clock = clock
        self._memories: dict[ids.EndpointId, PrefixMemory] = {}
        self._sent: dict[ids.EndpointId, collections.deque] = {}
        self._rate = FIRST_RATE
        self._hold_ms: dict[ids.ServiceId, float] = {}

    def unread_tokens(
        self,
        endpoint: ids.EndpointId,
        call: dialects.Call,
        usual: bool,
    ) -> float:
        """Return how much of a prompt an engine has yet to read."""
        memory = self._memories.get(endpoint)
        kept = memory.kept_tokens(call.parts) if memory else 0
        if usual and call.parts:
            shared = sum(part.tokens for part in call.parts[:-1])
            kept = max(kept, USUAL_SHARE * shared)
        return max(call.tokens_in - kept, 0)

    def first_ms(
        self,
        found: registry.Registered,
        service: routes.RoutedService,
        call: dialects.Call,
        in_flight: int,
        usual: bool,
    ) -> float:
        """Return the time to the first piece of an answer."""
        said = found.said
        if service.batch is None:
            hold_ms = self._hold_ms.get(said.service, FIRST_HOLD_MS)
            waves = (in_flight + 1) / said.slots
            return hold_ms * max(waves, 1.0)
        unread = self.unread_tokens(said.endpoint, call, usual)
        load = self._gauges.load(said.endpoint)
        waiting = self._sent_lately(said.endpoint, load)
        if load is not None and load.queued:
            waiting += load.queued * max(call.tokens_in, 1) / 2
        return (unread + waiting) / self._rate

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
    ) -> None:
        """Note that a call goes to an endpoint."""
        if service.batch is None:
            return
        unread = self.unread_tokens(endpoint, call, usual)
        sent = self._sent.setdefault(endpoint, collections.deque())
        sent.append((self._clock.mono_ms(), unread))
        memory = self._memories.get(endpoint)
        if memory is None:
            memory = PrefixMemory(service.batch.cache_tokens)
            self._memories[endpoint] = memory
        memory.note(call.parts)

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
        for table in (self._memories, self._sent):
            for endpoint in list(table):
                if endpoint not in endpoints:
                    del table[endpoint]


def usual_endpoint(
    call: dialects.Call, names: list[ids.EndpointId]
) -> ids.EndpointId | None:
    """Return the endpoint that all hosts agree on for a call's prefix."""
    if len(call.parts) < 2 or not names:
        return None
    return routing.rendezvous(call.parts[-2].part, names)[0]
