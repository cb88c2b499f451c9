"""Index the prompt prefixes that engines hold in their KV caches.

An engine's cache is modelled from the prompts sent there, with LRU eviction
as in the engine. Hosts of a region broadcast their sends to each other.
Without broadcasts, a prefix is mapped to one engine by rendezvous hashing,
which is assumed to hold what all hosts send there.
"""

import collections

import msgspec

from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects

Parts = tuple[dialects.PromptPart, ...]

# Share of a prompt's shared parts that its affinity engine is assumed to hold:
# some were never computed there, others have been evicted.
AFFINITY_CACHED_SHARE = 0.8
MAX_CACHED_PARTS = 20_000
# Marks cache entries that no other prompt can match.
PRIVATE_PART_PREFIX = ' '
# Fewer tokens are computed again sooner than they are transferred.
MIN_TRANSFER_TOKENS = 256


class CacheHolder(msgspec.Struct, frozen=True):
    """An engine that caches the first ``tokens`` of a prompt."""

    endpoint: ids.EndpointId
    tokens: float


class PrefixCacheModel:
    """Models the prefix cache of one engine, with LRU eviction."""

    def __init__(self, capacity_tokens: int):
        self._capacity_tokens = capacity_tokens
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0
        self._private_count = 0

    def cached_tokens(self, parts: Parts) -> int:
        """Return how many leading tokens of a prompt are cached."""
        cached = 0
        for part in parts:
            if part.part not in self._parts:
                break
            cached += part.tokens
        return cached

    def record_prompt(self, parts: Parts, own_tokens: int = 0) -> None:
        """Record a prompt as cached, and evict the oldest parts for it.

        ``own_tokens`` can't be shared with other prompts, but take space.
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
    """Maps engines to the parts of prompts that they cache."""

    def __init__(self):
        self._caches: dict[ids.EndpointId, PrefixCacheModel] = {}

    def cached_tokens(
        self, endpoint: ids.EndpointId, parts: Parts, assume_affinity: bool
    ) -> float:
        """Return how many tokens of a prompt an engine should have cached."""
        memory = self._caches.get(endpoint)
        cached = memory.cached_tokens(parts) if memory else 0
        if assume_affinity:
            cached = max(cached, AFFINITY_CACHED_SHARE * shared_tokens(parts))
        return cached

    def best_cache_holder(
        self, parts: Parts, names: list[ids.EndpointId]
    ) -> CacheHolder | None:
        """Return the engine that caches the most, None if none caches any."""
        best = None
        for name in names:
            cached = self.cached_tokens(name, parts, assume_affinity=False)
            if cached and (best is None or cached > best.tokens):
                best = CacheHolder(name, cached)
        return best

    def record_prompt(
        self,
        endpoint: ids.EndpointId,
        capacity_tokens: int,
        parts: Parts,
        own_tokens: int = 0,
    ) -> None:
        """Record that an engine computes a prompt.

        ``own_tokens`` are cached besides: generated tokens, and parts of a
        prompt without a name.
        """
        memory = self._caches.get(endpoint)
        if memory is None:
            memory = PrefixCacheModel(capacity_tokens)
            self._caches[endpoint] = memory
        memory.record_prompt(parts, own_tokens)

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop the state of engines that are not in ``endpoints``."""
        for endpoint in list(self._caches):
            if endpoint not in endpoints:
                del self._caches[endpoint]


def shared_tokens(parts: Parts) -> int:
    """Return the tokens of a prompt that other prompts may share.

    The last part belongs to the request alone.
    """
    return sum(part.tokens for part in parts[:-1])


def affinity_endpoint(
    parts: Parts, names: list[ids.EndpointId]
) -> ids.EndpointId | None:
    """Return the endpoint that a prompt's shared prefix hashes to.

    None if the prompt has no shared prefix, or without endpoints.
    """
    if len(parts) < 2 or not names:
        return None
    return routing.rendezvous(parts[-2].part, names)[0]
