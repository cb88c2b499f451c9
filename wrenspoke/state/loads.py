"""Load reports of engines."""

import msgspec

from wrenspoke import ids


class EngineLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of an engine as of ``age_ms`` ago.

    ``held_tokens`` counts tokens in its memory that cannot be evicted for
    new requests.
    """

    endpoint: ids.EndpointId
    queued: int
    running: int
    held_tokens: int
    total_tokens: int
    age_ms: int = 0
