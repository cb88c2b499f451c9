"""Durations for which quarantined requests are held."""

from wrenspoke.coordination.quarantine import crash_history

# A crashed engine reloads its weights for minutes, so a trial that fails
# costs about one hold; a harmless request is delayed no longer than this.
BASE_HOLD_MS = 300_000
# Limit of the exponential backoff: at most twelve crashes a day for a request
# that is resent continuously.
MAX_HOLD_MS = 7_200_000
# Hold requested by one control host before a decision is committed, or
# renewed while none can be committed during a partition.
PROVISIONAL_HOLD_MS = 60_000
# Time for a trial to complete or to crash its endpoint.
TRIAL_MS = 15_000


def hold_duration_ms(crashes: int) -> int:
    """Return how long a request is held after ``crashes`` crashes."""
    failed_trials = max(crashes - crash_history.CRASH_THRESHOLD, 0)
    return min(BASE_HOLD_MS * 2**failed_trials, MAX_HOLD_MS)
