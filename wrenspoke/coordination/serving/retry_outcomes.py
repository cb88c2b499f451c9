"""Learn whether it pays to repeat what an endpoint failed.

Some failures are the endpoint's, and another one answers; others are the
request's own and come back from every endpoint. A repeat of those takes a
place from somebody else ("Your Retry Policy May Be Feeding the Outage").
What repeats came to says which kind a route has at present.
"""

import random

# A repeat that succeeds less often than this is worth less than the place
# that it takes, which a first try would use.
MIN_SUCCESS_RATE = 0.1
# Until something was learned, repeats are taken to succeed.
INITIAL_SUCCESS_RATE = 0.8
# A dozen repeats tell; as many undo it.
SMOOTHING_WEIGHT = 0.15
# Of those that would not pay, so many are made to learn of a change.
EXPLORATION_SHARE = 0.1


class RetryOutcomes:
    """Hold how often repeats succeed, by route."""

    def __init__(self, rng: random.Random | None = None):
        self._success_rates: dict[str, float] = {}
        self._random = rng or random.Random()

    def record_outcome(self, route: str, succeeded: bool) -> None:
        """Note what came of a repeat."""
        known = self._success_rates.get(route, INITIAL_SUCCESS_RATE)
        self._success_rates[route] = known + SMOOTHING_WEIGHT * (
            succeeded - known
        )

    def is_worthwhile(self, route: str) -> bool:
        """Tell whether a failed call of a route should be repeated."""
        if (
            self._success_rates.get(route, INITIAL_SUCCESS_RATE)
            >= MIN_SUCCESS_RATE
        ):
            return True
        return self._random.random() < EXPLORATION_SHARE
