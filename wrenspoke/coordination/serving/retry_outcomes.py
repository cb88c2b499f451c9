"""Track whether retries after a server error succeed, by route.

Some failures are caused by the endpoint, and another one succeeds; others
are caused by the request and occur at every endpoint. Retries of the latter
only take capacity from other requests ("Your Retry Policy May Be Feeding the
Outage"). The outcomes of past retries show which kind a route has.
"""

import random

# Below this success rate a retry is worth less than the first attempt of
# another request.
MIN_SUCCESS_RATE = 0.1
# Success rate of a route without outcomes.
INITIAL_SUCCESS_RATE = 0.8
# Weight of a new outcome in the moving average. About a dozen failed retries
# in a row bring a route without outcomes below the minimum.
SMOOTHING_WEIGHT = 0.15
# Share of the retries below the minimum that are made to detect a change.
EXPLORATION_SHARE = 0.1


class RetryOutcomes:
    """Tracks the success rate of retries, by route."""

    def __init__(self, rng: random.Random | None = None):
        self._success_rates: dict[str, float] = {}
        self._random = rng or random.Random()

    def record_outcome(self, route: str, succeeded: bool) -> None:
        """Record the outcome of a retry."""
        rate = self._success_rates.get(route, INITIAL_SUCCESS_RATE)
        self._success_rates[route] = rate + SMOOTHING_WEIGHT * (
            succeeded - rate
        )

    def is_worthwhile(self, route: str) -> bool:
        """Return whether a failed call of a route should be retried."""
        if (
            self._success_rates.get(route, INITIAL_SUCCESS_RATE)
            >= MIN_SUCCESS_RATE
        ):
            return True
        return self._random.random() < EXPLORATION_SHARE
