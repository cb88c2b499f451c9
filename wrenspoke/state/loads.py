"""What engines report of their load, with its age."""

import msgspec

from wrenspoke import ids


class EngineLoad(msgspec.Struct, array_like=True, frozen=True):
    """State an engine's load as it reported ``age_ms`` ago.

    ``held_tokens`` of its memory can't give way to new work.
    """

    endpoint: ids.EndpointId
    queued: int
    running: int
    held_tokens: int
    total_tokens: int
    age_ms: int = 0
