"""Capacity of engines and regions, as hosts tell each other."""

import msgspec

from wrenspoke import ids


class EngineProfile(msgspec.Struct, array_like=True, frozen=True):
    """Speed of one engine instance, learned from the calls it served.

    Computing a prompt token takes ``token_ms``. A stream's next event comes
    after ``event_ms`` in an idle engine, and ``event_ms_per_stream`` later
    for each stream that runs beside it. ``samples`` counts the observations;
    without any, the profile is that of the service's average engine.
    """

    endpoint: ids.EndpointId
    born_ms: int
    token_ms: float
    event_ms: float
    event_ms_per_stream: float
    samples: int = 0


class ServiceRoom(msgspec.Struct, array_like=True, frozen=True):
    """Room of a region's engines for further calls of one service.

    ``places`` are batch slots that are free, ``cache_tokens`` tokens of KV
    cache that are free, ``tokens_per_ms`` prompt tokens that the engines
    compute in a millisecond, and ``queued_tokens`` those that wait for it.
    The region's own callers send ``arriving_per_ms`` of them, which leaves
    that much less for others.
    """

    service: ids.ServiceId
    places: int
    cache_tokens: int
    tokens_per_ms: float
    queued_tokens: float
    arriving_per_ms: float = 0.0
