"""Estimate the prompt tokens queued at each engine before a new call.

Three estimates are combined: the calls of this host that have not given a
first piece yet; the engine's last load report, plus the calls sent since;
and all calls sent to the engine, drained at its prefill speed. Each first
piece and each report bounds the latter, so that a wrong prefill speed does
not add up. Calls of the region's other hosts are received by broadcast;
without broadcasts, the other hosts are assumed to send at this host's rate.
"""

import bisect
import dataclasses

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.state import loads

# Age of a load report's contents when it is received.
REPORT_LAG_MS = 200
# Window of this host's send rate, which is assumed for its peers as well.
SEND_RATE_WINDOW_MS = 1_000
# Must exceed the age of the oldest load report in use.
SENT_PROMPTS_TTL_MS = 4_000
# Prompts that an engine has begun to compute may be missing in its reported
# queue.
STARTED_PROMPTS = 1
# Weight of a new call in the mean prompt length.
PROMPT_LENGTH_SMOOTHING = 0.05
# Without a broadcast for so long, this host may be partitioned from its peers.
PEER_REPORT_TIMEOUT_MS = 500
# Peers' calls of the last few ms have not been broadcast yet.
PEER_REPORT_LAG_MS = 25
# Weight of the reported estimate, which counts calls instead of tokens. Both
# estimates are inexact.
REPORTED_WEIGHT = 0.25
INITIAL_PROMPT_TOKENS = 1_000.0
# Keeps the drained tokens finite where a prefill speed is unknown.
MIN_TOKEN_MS = 1e-6


@dataclasses.dataclass(slots=True)
class PendingPrompt:
    """A prompt sent to an engine, with its tokens to be computed there."""

    sent_ms: int
    tokens: float


class SentPrompts:
    """Log of the tokens sent to an engine, summed up by time."""

    def __init__(self):
        self._times_ms: list[int] = []
        # Tokens sent up to and including each time.
        self._totals: list[float] = []

    def add(self, sent_ms: int, tokens: float) -> None:
        """Add a prompt; one sent before the last counts as sent with it."""
        if self._times_ms:
            sent_ms = max(sent_ms, self._times_ms[-1])
            tokens += self._totals[-1]
        self._times_ms.append(sent_ms)
        self._totals.append(tokens)
        expired = bisect.bisect_left(
            self._times_ms, sent_ms - SENT_PROMPTS_TTL_MS
        )
        # Deleting shifts the rest, so that half of the log goes at a time.
        if expired > len(self._times_ms) / 2:
            del self._times_ms[: expired - 1], self._totals[: expired - 1]

    def since(self, since_ms: float) -> float:
        """Return the tokens sent at a time or later."""
        place = bisect.bisect_left(self._times_ms, since_ms)
        if place == len(self._times_ms):
            return 0.0
        before = self._totals[place - 1] if place else 0.0
        return self._totals[-1] - before


class _EngineBacklog:
    """Prompts sent to one engine."""

    def __init__(self):
        self.waiting: dict[int, PendingPrompt] = {}
        self.own_prompts = SentPrompts()
        self.peer_prompts = SentPrompts()
        # Tokens sent by all hosts that were not computed at a time.
        self.undrained_tokens = 0.0
        self.drained_to_ms = 0
        # Since when the engine has worked on the prompts waiting now.
        self.progress_since_ms = 0

    def drain(self, now_ms: int, token_ms: float) -> None:
        """Remove the tokens that the engine has computed until now."""
        passed_ms = now_ms - self.drained_to_ms
        if passed_ms > 0:
            drained = passed_ms / max(token_ms, MIN_TOKEN_MS)
            self.undrained_tokens = max(self.undrained_tokens - drained, 0.0)
            self.drained_to_ms = now_ms

    def sent_since(self, since_ms: float) -> float:
        """Return the tokens that all known hosts sent since a time."""
        return self.own_prompts.since(since_ms) + self.peer_prompts.since(
            since_ms
        )


class Backlog:
    """Estimates the prompt tokens queued at each engine."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._engines: dict[ids.EndpointId, _EngineBacklog] = {}
        self._mean_prompt_tokens = INITIAL_PROMPT_TOKENS
        self._last_number = 0
        # Entry hosts of this region, including this one.
        self.host_count = 1
        self._last_peer_report_ms: int | None = None

    def add_prompt(
        self, endpoint: ids.EndpointId, tokens: float, token_ms: float = 0.0
    ) -> int:
        """Add a prompt; return the number to remove it by.

        ``token_ms`` is the engine's prefill time for a token.
        """
        engine = self._engines.setdefault(endpoint, _EngineBacklog())
        now_ms = self._clock.mono_ms()
        engine.drain(now_ms, token_ms)
        engine.undrained_tokens += tokens
        if not engine.waiting:
            engine.progress_since_ms = now_ms
        self._last_number += 1
        engine.waiting[self._last_number] = PendingPrompt(now_ms, tokens)
        engine.own_prompts.add(now_ms, tokens)
        self._mean_prompt_tokens += PROMPT_LENGTH_SMOOTHING * (
            tokens - self._mean_prompt_tokens
        )
        return self._last_number

    def add_peer_prompt(
        self,
        endpoint: ids.EndpointId,
        tokens: float,
        token_ms: float,
        age_ms: int,
    ) -> None:
        """Add a prompt sent ``age_ms`` ago by another host of the region."""
        engine = self._engines.setdefault(endpoint, _EngineBacklog())
        now_ms = self._clock.mono_ms()
        self._last_peer_report_ms = now_ms
        engine.drain(now_ms - age_ms, token_ms)
        engine.undrained_tokens += tokens
        engine.peer_prompts.add(now_ms - age_ms, tokens)

    @property
    def has_peer_reports(self) -> bool:
        """Return whether other hosts' broadcasts have been received lately."""
        if self._last_peer_report_ms is None:
            return False
        return (
            self._clock.mono_ms() - self._last_peer_report_ms
            < PEER_REPORT_TIMEOUT_MS
        )

    def remove_prompt(self, endpoint: ids.EndpointId, number: int) -> None:
        """Remove a prompt whose call gave its first piece, or ended."""
        engine = self._engines.get(endpoint)
        if engine is None or engine.waiting.pop(number, None) is None:
            return
        engine.progress_since_ms = self._clock.mono_ms()

    def record_first_piece(
        self, endpoint: ids.EndpointId, sent_ms: float
    ) -> None:
        """Record that an engine has computed a prompt sent at a time.

        Those sent before have been computed as well, or give way to it.
        """
        engine = self._engines.get(endpoint)
        if engine is not None:
            engine.undrained_tokens = min(
                engine.undrained_tokens, engine.sent_since(sent_ms)
            )

    def tokens_ahead(
        self,
        endpoint: ids.EndpointId,
        load: loads.EngineLoad | None,
        token_ms: float,
    ) -> float:
        """Return the prompt tokens queued ahead of a call sent now."""
        engine = self._engines.get(endpoint)
        own = 0.0 if engine is None else self._own_tokens(engine, token_ms)
        if not self.has_peer_reports:
            if load is None:
                return own
            return max(own, self._reported_tokens(engine, load, token_ms))
        undrained = 0.0
        if engine is not None:
            engine.drain(self._clock.mono_ms(), token_ms)
            undrained = engine.undrained_tokens
        if load is None:
            return max(own, undrained)
        reported = self._reported_tokens(engine, load, token_ms)
        bound = self._report_bound(engine, load)
        undrained = min(undrained, bound)
        combined = undrained + REPORTED_WEIGHT * (reported - undrained)
        return max(own, combined)

    def _report_bound(
        self, engine: _EngineBacklog | None, load: loads.EngineLoad
    ) -> float:
        """Return the most tokens that can be queued after a load report."""
        queued = load.queued + STARTED_PROMPTS
        bound = queued * self._mean_prompt_tokens
        if engine is not None:
            age_ms = load.age_ms + REPORT_LAG_MS
            bound += engine.sent_since(self._clock.mono_ms() - age_ms)
        return bound

    def _own_tokens(self, engine: _EngineBacklog, token_ms: float) -> float:
        """Return the tokens queued by this host."""
        if not engine.waiting:
            return 0.0
        waiting = sum(found.tokens for found in engine.waiting.values())
        completed = (
            self._clock.mono_ms() - engine.progress_since_ms
        ) / token_ms
        # The last prompt is incomplete, as its call has not answered.
        newest = next(reversed(engine.waiting.values()))
        return max(waiting - completed, min(newest.tokens, waiting))

    def _reported_tokens(
        self,
        engine: _EngineBacklog | None,
        load: loads.EngineLoad,
        token_ms: float,
    ) -> float:
        """Return the tokens queued by a load report, extrapolated to now."""
        age_ms = load.age_ms + REPORT_LAG_MS
        waiting = load.queued * self._mean_prompt_tokens
        if engine is not None:
            since_ms = self._clock.mono_ms() - age_ms
            waiting += engine.own_prompts.since(since_ms)
            waiting += self._peer_tokens(engine, since_ms, age_ms)
        return max(waiting - age_ms / token_ms, 0.0)

    def _peer_tokens(
        self, engine: _EngineBacklog, since_ms: int, age_ms: int
    ) -> float:
        """Return the tokens that other hosts have sent since a time."""
        unknown_ms = age_ms
        reported = 0.0
        if self.has_peer_reports:
            unknown_ms = min(PEER_REPORT_LAG_MS, age_ms)
            reported = engine.peer_prompts.since(since_ms)
        return (
            reported
            + self._send_rate(engine) * (self.host_count - 1) * unknown_ms
        )

    def _send_rate(self, engine: _EngineBacklog) -> float:
        """Return the tokens per ms that this host sends to an engine."""
        since_ms = self._clock.mono_ms() - SEND_RATE_WINDOW_MS
        return engine.own_prompts.since(since_ms) / SEND_RATE_WINDOW_MS

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop the state of engines that are not in ``endpoints``."""
        for endpoint in list(self._engines):
            if endpoint not in endpoints:
                del self._engines[endpoint]
