"""Tracks what endpoints hold: requests sent by all hosts that have not ended.

An endpoint may fall over once the requests that it holds outgrow its memory.
How much it bears is learned where it falls over while it holds more than ever
before: its next instance is given less, and more again while it stays up. One
that falls over with less has another fault, and is not limited.

Requests of this host are counted until they end. Those of others, whose ends
are not told, count for as long as requests take here, so hosts that freeze or
leave need no care.
"""

import collections.abc
import dataclasses
import heapq
import itertools

import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids

logger = structlog.get_logger(__name__)

MS_PER_S = 1_000
# Part of what an endpoint held as it fell over that its next instance is sent.
BACKOFF_SHARE = 0.6
# Growth of a learned limit per second of requests that ended well.
GROWTH_PER_S = 0.05
# A limit that has grown beyond this multiple of the overload is forgotten.
FORGET_SHARE = 2.0
# An endpoint that crashes is assumed to have held the highest recent amount,
# as its requests end before the crash is known.
PEAK_WINDOW_MS = 5_000
# Part of what an endpoint bore before that does not count as too much.
BORNE_SHARE = 0.9
# Duration of requests before any has ended, and the weight of the newest.
FIRST_DURATION_MS = 1_000.0
DURATION_WEIGHT = 0.05


@dataclasses.dataclass(slots=True)
class Amount:
    """Bytes of requests, and tokens of their prompts and responses."""

    body_bytes: int = 0
    tokens: int = 0

    def add(self, body_bytes: int, tokens: int) -> None:
        """Add to both; negative numbers subtract."""
        self.body_bytes += body_bytes
        self.tokens += tokens


@dataclasses.dataclass(slots=True)
class LearnedLimit:
    """What an endpoint is sent after it fell over at ``overload``."""

    overload: Amount
    share: float
    grown_ms: int


class _Holding:
    """Requests that one endpoint holds."""

    __slots__ = ('borne', 'held', 'limit', 'own', 'peak', 'peak_ms', 'peers')

    def __init__(self) -> None:
        self.held = Amount()
        self.peak = Amount()
        self.peak_ms = 0
        # The most that it held as a request ended well.
        self.borne = Amount()
        self.own: dict[int, tuple[int, int, int]] = {}
        # Heap of expiry, bytes and tokens of the requests of other hosts.
        self.peers: list[tuple[float, int, int]] = []
        self.limit: LearnedLimit | None = None

    def add(self, body_bytes: int, tokens: int, now_ms: int) -> None:
        """Count a request, and update the highest recent amount."""
        self.held.add(body_bytes, tokens)
        if (
            self.held.body_bytes >= self.peak.body_bytes
            or now_ms - self.peak_ms > PEAK_WINDOW_MS
        ):
            self.peak = dataclasses.replace(self.held)
            self.peak_ms = now_ms

    def expire(self, now_ms: int) -> None:
        """Remove the requests of other hosts that should have ended."""
        while self.peers and self.peers[0][0] <= now_ms:
            _expiry_ms, body_bytes, tokens = heapq.heappop(self.peers)
            self.held.add(-body_bytes, -tokens)


class EndpointHoldings:
    """Bounds what endpoints hold, by what made them fall over before."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._holdings: dict[ids.EndpointId, _Holding] = {}
        self._numbers = itertools.count(1)
        self._duration_ms = FIRST_DURATION_MS

    def held(self, endpoint: ids.EndpointId) -> Amount:
        """Return what an endpoint holds now."""
        holding = self._holdings.get(endpoint)
        if holding is None:
            return Amount()
        holding.expire(self._clock.mono_ms())
        return holding.held

    def fits(
        self, endpoint: ids.EndpointId, body_bytes: int, tokens: int
    ) -> bool:
        """Return whether an endpoint can hold one more request.

        One that holds nothing may be sent any request.
        """
        holding = self._holdings.get(endpoint)
        if holding is None or holding.limit is None:
            return True
        holding.expire(self._clock.mono_ms())
        held, limit = holding.held, holding.limit
        if not held.body_bytes and not held.tokens:
            return True
        bytes_limit = limit.share * limit.overload.body_bytes
        if held.body_bytes + body_bytes > bytes_limit:
            return False
        if not limit.overload.tokens:
            return True
        return held.tokens + tokens <= limit.share * limit.overload.tokens

    def record_sent(
        self, endpoint: ids.EndpointId, body_bytes: int, tokens: int
    ) -> int:
        """Count a request of this host; return its number."""
        holding = self._holdings.setdefault(endpoint, _Holding())
        number = next(self._numbers)
        now_ms = self._clock.mono_ms()
        holding.own[number] = (body_bytes, tokens, now_ms)
        holding.add(body_bytes, tokens, now_ms)
        return number

    def record_ended(
        self, endpoint: ids.EndpointId, number: int, answered: bool
    ) -> None:
        """Count a request of this host no longer."""
        holding = self._holdings.get(endpoint)
        if holding is None:
            return
        found = holding.own.pop(number, None)
        if found is None:
            return
        body_bytes, tokens, sent_ms = found
        if answered and holding.held.body_bytes > holding.borne.body_bytes:
            holding.borne = dataclasses.replace(holding.held)
        holding.held.add(-body_bytes, -tokens)
        if not answered:
            return
        now_ms = self._clock.mono_ms()
        self._duration_ms += DURATION_WEIGHT * (
            now_ms - sent_ms - self._duration_ms
        )
        self._grow(holding, now_ms)

    def record_peer_sent(
        self,
        endpoint: ids.EndpointId,
        body_bytes: int,
        tokens: int,
        age_ms: int,
    ) -> None:
        """Count a request that another host sent ``age_ms`` ago."""
        now_ms = self._clock.mono_ms()
        expiry_ms = now_ms - age_ms + self._duration_ms
        if expiry_ms <= now_ms:
            return
        holding = self._holdings.setdefault(endpoint, _Holding())
        holding.expire(now_ms)
        heapq.heappush(holding.peers, (expiry_ms, body_bytes, tokens))
        holding.add(body_bytes, tokens, now_ms)

    def _grow(self, holding: _Holding, now_ms: int) -> None:
        limit = holding.limit
        if limit is None:
            return
        passed_s = min((now_ms - limit.grown_ms) / MS_PER_S, 1.0)
        limit.share += GROWTH_PER_S * passed_s
        limit.grown_ms = now_ms
        if limit.share >= FORGET_SHARE:
            holding.limit = None

    def record_fallen(self, endpoint: ids.EndpointId) -> None:
        """Lower the limit of an endpoint whose instance ended by itself."""
        holding = self._holdings.get(endpoint)
        if holding is None:
            return
        now_ms = self._clock.mono_ms()
        fallen = _Holding()
        fallen.borne = holding.borne
        fallen.limit = holding.limit
        overload = holding.peak
        if (
            now_ms - holding.peak_ms <= PEAK_WINDOW_MS
            and overload.body_bytes > BORNE_SHARE * holding.borne.body_bytes
        ):
            fallen.limit = LearnedLimit(overload, BACKOFF_SHARE, now_ms)
            logger.info(
                'endpoint_holding_limited',
                endpoint=endpoint,
                held_bytes=overload.body_bytes,
                held_tokens=overload.tokens,
                borne_bytes=holding.borne.body_bytes,
            )
        self._holdings[endpoint] = fallen

    def keep_only(
        self, endpoints: collections.abc.Container[ids.EndpointId]
    ) -> None:
        """Forget all other endpoints."""
        for endpoint in list(self._holdings):
            if endpoint not in endpoints:
                del self._holdings[endpoint]
