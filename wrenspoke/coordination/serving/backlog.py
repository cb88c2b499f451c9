"""Estimate the prompt tokens queued at each engine before a new call.

Three estimates are combined: the calls of this host that have not given a
first piece yet; the engine's last load report, plus the calls sent since;
and all calls sent to the engine, drained at its prefill speed. Calls of the
region's other hosts are received by broadcast; without broadcasts, the other
hosts are assumed to send at this host's rate.
"""

import collections
import dataclasses

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.state import loads

# Age of a load report's contents when it is received.
REPORT_LAG_MS = 200
# Window of this host's send rate, which is assumed for its peers as well.
SEND_RATE_WINDOW_MS = 1_000
# Must exceed the age of the oldest load report in use.
PEER_PROMPTS_TTL_MS = 4_000
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


@dataclasses.dataclass(slots=True)
class PendingPrompt:
    """A prompt sent to an engine, with its tokens to be computed there."""

    sent_ms: int
    tokens: float


class _EngineBacklog:
    """Prompts sent to one engine."""

    def __init__(self):
        self.waiting: dict[int, PendingPrompt] = {}
        self.sent: collections.deque[PendingPrompt] = collections.deque()
        self.peer_prompts: collections.deque[PendingPrompt] = (
            collections.deque()
        )
        # When all prompts sent so far should be computed.
        self.drained_at_ms = 0.0
        # Since when the engine has worked on the prompts waiting now.
        self.progress_since_ms = 0


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
        engine.drained_at_ms = (
            max(engine.drained_at_ms, now_ms) + tokens * token_ms
        )
        prompt = PendingPrompt(now_ms, tokens)
        if not engine.waiting:
            engine.progress_since_ms = now_ms
        self._last_number += 1
        engine.waiting[self._last_number] = prompt
        engine.sent.append(prompt)
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
        sent_ms = now_ms - age_ms
        engine.peer_prompts.append(PendingPrompt(sent_ms, tokens))
        while engine.peer_prompts[0].sent_ms < now_ms - PEER_PROMPTS_TTL_MS:
            engine.peer_prompts.popleft()
        engine.drained_at_ms = (
            max(engine.drained_at_ms, sent_ms) + tokens * token_ms
        )

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
            left_ms = engine.drained_at_ms - self._clock.mono_ms()
            undrained = max(left_ms, 0.0) / token_ms
        if load is None:
            return max(own, undrained)
        reported = self._reported_tokens(engine, load, token_ms)
        combined = undrained + REPORTED_WEIGHT * (reported - undrained)
        return max(own, combined)

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
            waiting += sum(
                found.tokens
                for found in engine.sent
                if found.sent_ms >= since_ms
            )
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
            reported = sum(
                found.tokens
                for found in engine.peer_prompts
                if found.sent_ms >= since_ms
            )
        return (
            reported
            + self._send_rate(engine) * (self.host_count - 1) * unknown_ms
        )

    def _send_rate(self, engine: _EngineBacklog) -> float:
        """Return the tokens per ms that this host sends to an engine."""
        since_ms = self._clock.mono_ms() - SEND_RATE_WINDOW_MS
        while engine.sent and engine.sent[0].sent_ms < since_ms:
            engine.sent.popleft()
        return sum(found.tokens for found in engine.sent) / SEND_RATE_WINDOW_MS

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop the state of engines that are not in ``endpoints``."""
        for endpoint in list(self._engines):
            if endpoint not in endpoints:
                del self._engines[endpoint]
