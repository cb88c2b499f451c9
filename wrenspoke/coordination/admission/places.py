"""Predict how a stream would run at an engine beside those already there.

An engine runs at most as many streams as its batch has slots; more wait until
others end. A prompt that is computed delays every stream that runs, and each
further stream slows the pace of all.
"""

import collections.abc
import dataclasses

from wrenspoke.protocol import capacity


# Streams go on beside prompts, which are computed in pieces between them.
MAX_PREFILL_SHARE = 0.6


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """What a call would need at one engine.

    ``first_ms`` is its expected time to the first piece once it has a slot,
    of which ``prefill_ms`` are spent on its own prompt, and ``stream_ms`` the
    time from there to its end at the engine's present pace.
    """

    first_ms: float
    prefill_ms: float
    stream_ms: float
    events: int
    deadline_left_ms: float


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream that was sent to an engine.

    It should end at ``end_ms`` and has to at ``deadline_ms``. Its prompt
    takes ``prefill_ms`` of the engine's time.
    """

    sent_ms: int
    end_ms: float
    deadline_ms: float
    prefill_ms: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Occupancy:
    """Streams at an engine at ``now_ms``.

    ``running`` counts them, also those that wait for one of ``slots``. A
    slot is held for ``hold_ms`` in the mean. ``prefill_share`` of its time the
    engine spends on prompts. ``age_ms`` is the age of its last report, or None
    if it reported nothing lately.
    """

    running: int
    slots: int
    hold_ms: float
    streams: collections.abc.Sequence[Stream] = ()
    now_ms: int = 0
    prefill_share: float = 0.0
    age_ms: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """A prediction for one call at one engine.

    ``harmed`` counts the streams there that would miss their deadlines
    because of it. ``ready_ms`` is the time until a slot is free, and
    ``prefill_share`` what of its time the engine spends on prompts.
    """

    ready_ms: float
    first_ms: float
    end_ms: float
    harmed: int
    running: int
    slots: int
    age_ms: int | None
    prefill_share: float = 0.0

    @property
    def free(self) -> int:
        """Return the number of free slots."""
        return max(self.slots - self.running, 0)

    @property
    def has_ample_room(self) -> bool:
        """Return whether half of the slots are free."""
        return 2 * self.running <= self.slots


def ready_ms(occupancy: Occupancy) -> float:
    """Return the time until a slot is free for one more call."""
    excess = occupancy.running + 1 - occupancy.slots
    if excess <= 0:
        return 0.0
    return excess * occupancy.hold_ms / occupancy.slots


def predict(
    demand: Demand,
    occupancy: Occupancy,
    profile: capacity.EngineProfile,
) -> Place:
    """Return how a call would run at an engine, and what it does to others."""
    slot_ms = ready_ms(occupancy)
    beside = min(occupancy.running, occupancy.slots - 1)
    step_ms = profile.event_ms + profile.event_ms_per_stream * beside
    share = min(occupancy.prefill_share, MAX_PREFILL_SHARE)
    gap_ms = step_ms / (1.0 - share)
    stream_ms = max(demand.stream_ms, demand.events * gap_ms)
    first_ms = slot_ms + demand.first_ms
    end_ms = first_ms + stream_ms
    slower = 0.0
    if step_ms > 0:
        slower = profile.event_ms_per_stream / step_ms
    return Place(
        slot_ms,
        first_ms,
        end_ms,
        _count_harmed(occupancy, demand.prefill_ms, slower, end_ms),
        occupancy.running,
        occupancy.slots,
        occupancy.age_ms,
        share,
    )


def _count_harmed(
    occupancy: Occupancy, prefill_ms: float, slower: float, end_ms: float
) -> int:
    """Return how many streams would end too late beside one more.

    It delays all by ``prefill_ms``, and by a share of ``slower`` of the time
    that they run beside it.
    """
    now_ms = occupancy.now_ms
    most_ms = prefill_ms + slower * end_ms
    harmed = 0
    for other in occupancy.streams:
        slack_ms = other.deadline_ms - other.end_ms
        if not 0 <= slack_ms < most_ms or other.end_ms <= now_ms:
            continue
        together_ms = min(other.end_ms - now_ms, end_ms)
        if slack_ms < prefill_ms + slower * together_ms:
            harmed += 1
    return harmed
