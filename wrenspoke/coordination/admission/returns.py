"""Remember when refused callers were told to return.

A call that returns once its time has come goes before others of its urgency.
One that repeats before that keeps the time that it was given, and waits for
nothing. Entries are bounded in number and age; what is forgotten is new.
"""

import collections
import dataclasses
import enum

# A promise is kept for so long after the time that the caller was told.
PROMISE_MS = 10_000
PROMISES_LIMIT = 4_096
# Clients round the time down, and messages take a while.
EARLY_TOLERANCE_MS = 50


class Standing(enum.Enum):
    """What is known of an arriving call's earlier refusals."""

    NEW = 'new'
    RETURNED = 'returned'
    EARLY = 'early'


@dataclasses.dataclass(slots=True)
class Promise:
    """When a refused call was told to return, and how often it was."""

    due_ms: float
    refusals: int = 1
    repeats: int = 0


class Returns:
    """The promised returns of refused calls, by the calls' contents."""

    def __init__(self):
        self._promises: collections.OrderedDict[str, Promise] = (
            collections.OrderedDict()
        )

    def promise(self, key: str, due_ms: float) -> None:
        """Remember that a call was refused until ``due_ms``."""
        found = self._promises.pop(key, None)
        if found is None:
            found = Promise(due_ms)
        else:
            found.refusals += 1
            found.due_ms = due_ms
        self._promises[key] = found
        while len(self._promises) > PROMISES_LIMIT:
            self._promises.popitem(last=False)

    def standing(self, key: str, now_ms: int) -> Standing:
        """Return the standing of an arriving call."""
        found = self.find(key, now_ms)
        if found is None:
            return Standing.NEW
        if now_ms < found.due_ms - EARLY_TOLERANCE_MS:
            found.repeats += 1
            return Standing.EARLY
        return Standing.RETURNED

    def find(self, key: str, now_ms: int) -> Promise | None:
        """Return the promise for a call, or None if there is none now."""
        found = self._promises.get(key)
        if found is None:
            return None
        if now_ms > found.due_ms + PROMISE_MS:
            del self._promises[key]
            return None
        return found

    def settle(self, key: str) -> None:
        """Forget a call that was admitted."""
        self._promises.pop(key, None)
