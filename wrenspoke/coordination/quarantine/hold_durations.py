"""For how long a request is not sent that endpoints ended under."""

from wrenspoke.coordination.quarantine import crash_history

# An engine that ended loads its weights for minutes, so that a trial costs
# about as much as it is put off; what did nothing is held up no longer.
BASE_HOLD_MS = 300_000
# Doubled with each trial that ends another endpoint, up to here: twelve
# endpoints a day at the most, for a request that always comes again.
MAX_HOLD_MS = 7_200_000
# By the word of one control host, before the group has decided; or for as
# long as it can't, being cut off.
PROVISIONAL_HOLD_MS = 60_000


def hold_duration_ms(crashes: int) -> int:
    """Return for how long a request is held after so many ends."""
    failed_trials = max(crashes - crash_history.CRASH_THRESHOLD, 0)
    return min(BASE_HOLD_MS * 2**failed_trials, MAX_HOLD_MS)
