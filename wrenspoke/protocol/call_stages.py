"""Time that a call spends in each stage of its way through a host."""

import enum

# Stages shorter than this are left out of log lines.
LOGGED_MS = 2


class Stage(enum.Enum):
    """A stage of a call's way, named by what ends it."""

    READ = 'read'
    CONFIGURED = 'configured'
    AUTHORIZED = 'authorized'
    LIMITED = 'limited'
    BOUND = 'bound'
    QUARANTINE_CHECKED = 'quarantine_checked'
    CHOSEN = 'chosen'
    PERMITTED = 'permitted'
    CONNECTED = 'connected'
    ANSWERED = 'head_received'
    LOST = 'lost'
    FIRST_PIECE = 'first_piece'
    ENDED = 'ended'

    # Enum's own hash is slow, and each call marks about ten stages.
    __hash__ = object.__hash__


class StageTimes:
    """Times of one call's stages; those of several attempts are summed.

    ``began_ms`` is the time at which the head of the request was parsed.
    """

    __slots__ = ('_last_ms', 'spent_ms')

    def __init__(self, began_ms: int | None = None):
        self._last_ms = began_ms
        self.spent_ms: dict[Stage, int] = {}

    def mark(self, stage: Stage, now_ms: int) -> None:
        """Add the time since the previous mark to a stage."""
        if self._last_ms is not None:
            took_ms = now_ms - self._last_ms
            self.spent_ms[stage] = self.spent_ms.get(stage, 0) + took_ms
        self._last_ms = now_ms

    def slowest(self) -> tuple[str | None, int]:
        """Return the name and time in ms of the longest stage."""
        if not self.spent_ms:
            return None, 0
        stage = max(self.spent_ms, key=self.spent_ms.__getitem__)
        return stage.value, self.spent_ms[stage]

    def log_fields(self) -> dict[str, str | int | None]:
        """Return the fields of the log line that ends a call."""
        name, longest_ms = self.slowest()
        return {
            'slowest_stage': name,
            'slowest_ms': longest_ms,
            'stages_ms': ','.join(
                f'{stage.value}:{spent_ms}'
                for stage, spent_ms in self.spent_ms.items()
                if spent_ms >= LOGGED_MS
            ),
        }
