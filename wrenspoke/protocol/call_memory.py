"""Which forwarded calls have begun at a host, to recall those that have not.

A call that was sent into a link that is cut may have begun or not. Asked over
another path, its host knows: a token that it has never admitted has not run,
and from then on never will.
"""

from wrenspoke import clock as clocks

# Tokens are forgotten after one to two of these.
GENERATION_MS = 30_000
# Longest time that a question takes to arrive.
TRANSIT_LIMIT_MS = 5_000


class CallMemory:
    """Tokens of calls that were admitted or recalled lately."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._rotated_ms = self._since_ms = clock.mono_ms()
        self._admitted: set[str] = set()
        self._admitted_before: set[str] = set()
        self._recalled: set[str] = set()
        self._recalled_before: set[str] = set()

    def admit(self, token: str) -> bool:
        """Return whether a call may begin; false once it was recalled."""
        self._rotate()
        if token in self._recalled or token in self._recalled_before:
            return False
        self._admitted.add(token)
        return True

    def recall(self, token: str, age_ms: int) -> bool:
        """Return whether a call has not begun here, and never will.

        ``age_ms`` is the time since it was sent. A host that has started
        since may have forgotten the call, and can't tell.
        """
        self._rotate()
        if token in self._admitted or token in self._admitted_before:
            return False
        sent_ms = self._clock.mono_ms() - age_ms - TRANSIT_LIMIT_MS
        if sent_ms < self._since_ms:
            return False
        self._recalled.add(token)
        return True

    def _rotate(self) -> None:
        now_ms = self._clock.mono_ms()
        while now_ms - self._rotated_ms >= GENERATION_MS:
            self._since_ms = self._rotated_ms
            self._rotated_ms += GENERATION_MS
            self._admitted_before, self._admitted = self._admitted, set()
            self._recalled_before, self._recalled = self._recalled, set()
