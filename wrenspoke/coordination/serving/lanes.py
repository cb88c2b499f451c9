"""Keep long prompts away from streams that must not pause.

An engine reads a prompt in pieces between the tokens of all others that
run there, and a piece takes the longer, the more of the prompt lies
before it. So the hosts of a region agree, by rendezvous hashing, on a
part of a service's engines that read the long prompts; streams with a
bound on their pauses go to the others. Either lane is left where that
costs more than it saves. Where an event takes less than the bound even
beside a long prompt, all engines serve all, as prefixes are then read at
one engine instead of one in each lane.
"""

from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects
from wrenspoke.state import routes

# From about here on five steps of an engine, one event, took over 400 ms
# while it read a prompt (pauses of streams in docs/MEASUREMENTS.md).
LONG_PROMPT_TOKENS = 10_000
# What a step of an engine takes while it reads such a prompt: the longest
# pauses there, over the tokens of an event.
READING_STEP_MS = 85
# About the part of all reading that prompts of that length need.
READERS_SHARE = 0.34
# Of expected time to the first piece, what staying in its lane is worth:
# a long prompt harms every stream beside it, a stream only itself.
LONG_PROMPT_PENALTY_MS = 400.0
STREAM_PENALTY_MS = 150.0


def readers(
    names: list[ids.EndpointId], route: routes.Route, batch: routes.Batch
) -> frozenset[ids.EndpointId]:
    """Return the engines that read long prompts.

    There are none where a route's streams do not suffer, or of a single
    engine.
    """
    event_ms = batch.event_tokens * READING_STEP_MS
    if route.pause_target_ms is None or event_ms <= route.pause_target_ms:
        return frozenset()
    if len(names) < 2:
        return frozenset()
    count = max(round(len(names) * READERS_SHARE), 1)
    ranked = routing.rendezvous('readers', names)
    return frozenset(ids.EndpointId(name) for name in ranked[:count])


def lane(
    names: list[ids.EndpointId],
    reading: frozenset[ids.EndpointId],
    route: routes.Route,
    call: dialects.Call,
) -> list[ids.EndpointId]:
    """Return the engines that a call should go to.

    Prompts that share a prefix meet at one of them.
    """
    return [
        name for name in names if not penalty_ms(route, call, name in reading)
    ]


def penalty_ms(
    route: routes.Route, call: dialects.Call, is_reader: bool
) -> float:
    """Return what an engine's estimate is worsened by for its lane."""
    if call.tokens_in >= LONG_PROMPT_TOKENS:
        return 0.0 if is_reader else LONG_PROMPT_PENALTY_MS
    if is_reader and route.pause_target_ms is not None:
        return STREAM_PENALTY_MS
    return 0.0
