"""Know which engine keeps which parts of prompts, without asking.

What an engine keeps is remembered from what was sent there, least lately
used first out, as engines do. Hosts of a region tell each other of it. While
they hear nothing they agree on one engine for a prefix, by rendezvous
hashing, and take it to have what all of them send there.
"""

import collections

import msgspec

from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects

Parts = tuple[dialects.PromptPart, ...]

# Of the shared parts of a prompt, what the engine that hosts agree on
# should hold: some were never read there, some gave way.
AFFINITY_CACHED_SHARE = 0.8
MAX_CACHED_PARTS = 20_000
# Begins the names of what is kept and asked for by nobody.
PRIVATE_PART_PREFIX = ' '
# Fewer tokens are read again sooner than a move of them begins: about the
# time of one step of an engine.
MIN_TRANSFER_TOKENS = 256


class CacheHolder(msgspec.Struct, frozen=True):
    """Name an engine that keeps the first tokens of a prompt."""

    endpoint: ids.EndpointId
    tokens: float


class PrefixCacheModel:
    """Remember the parts of prompts that were sent to one engine."""

    def __init__(self, capacity_tokens: int):
        self._capacity_tokens = capacity_tokens
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0
        self._private_count = 0

    def cached_tokens(self, parts: Parts) -> int:
        """Return how many tokens from the start on are kept."""
        kept = 0
        for part in parts:
            if part.part not in self._parts:
                break
            kept += part.tokens
        return kept

    def record_prompt(self, parts: Parts, own_tokens: int = 0) -> None:
        """Note that a prompt was read, and forget the oldest for it.

        ``own_tokens`` are of nobody else's use, but take room.
        """
        for part in parts:
            self._insert_part(part.part, part.tokens)
        if own_tokens:
            self._private_count += 1
            self._insert_part(
                f'{PRIVATE_PART_PREFIX}{self._private_count}', own_tokens
            )
        while self._parts and (
            self._tokens > self._capacity_tokens
            or len(self._parts) > MAX_CACHED_PARTS
        ):
            _part, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def _insert_part(self, part: str, tokens: int) -> None:
        old = self._parts.pop(part, 0)
        self._parts[part] = tokens
        self._tokens += tokens - old


class PrefixIndex:
    """Hold what is known of every engine's kept parts."""

    def __init__(self):
        self._caches: dict[ids.EndpointId, PrefixCacheModel] = {}

    def cached_tokens(
        self, endpoint: ids.EndpointId, parts: Parts, usual: bool
    ) -> float:
        """Return how much of a prompt an engine should keep."""
        memory = self._caches.get(endpoint)
        kept = memory.cached_tokens(parts) if memory else 0
        if usual:
            kept = max(kept, AFFINITY_CACHED_SHARE * shared_tokens(parts))
        return kept

    def best_cache_holder(
        self, parts: Parts, names: list[ids.EndpointId]
    ) -> CacheHolder | None:
        """Return which of some engines is known to keep the most."""
        best = None
        for name in names:
            kept = self.cached_tokens(name, parts, usual=False)
            if kept and (best is None or kept > best.tokens):
                best = CacheHolder(name, kept)
        return best

    def record_prompt(
        self,
        endpoint: ids.EndpointId,
        capacity_tokens: int,
        parts: Parts,
        own_tokens: int = 0,
    ) -> None:
        """Note that an engine reads a prompt.

        ``own_tokens`` are what it keeps besides: what it makes, and what of
        a prompt was not named.
        """
        memory = self._caches.get(endpoint)
        if memory is None:
            memory = PrefixCacheModel(capacity_tokens)
            self._caches[endpoint] = memory
        memory.record_prompt(parts, own_tokens)

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Forget engines that are gone."""
        for endpoint in list(self._caches):
            if endpoint not in endpoints:
                del self._caches[endpoint]


def shared_tokens(parts: Parts) -> int:
    """Return the tokens of a prompt that other prompts may have too.

    The last part is the request's own.
    """
    return sum(part.tokens for part in parts[:-1])


def affinity_endpoint(
    parts: Parts, names: list[ids.EndpointId]
) -> ids.EndpointId | None:
    """Return the endpoint that all hosts agree on for a prefix."""
    if len(parts) < 2 or not names:
        return None
    return routing.rendezvous(parts[-2].part, names)[0]
