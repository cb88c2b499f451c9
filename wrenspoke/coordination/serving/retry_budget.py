"""Budget for the retries of one entry host.

The entry host that sends to the endpoint owns the retries of a request; a
forwarding host returns failures unchanged. Retries at every layer would
multiply, see "Your Retry Policy May Be Feeding the Outage".
"""


class RetryBudget:
    """Token bucket of retries, filled in proportion to first attempts."""

    def __init__(self, ratio: float, burst: int):
        self._ratio = ratio
        self._burst = burst
        self._tokens = float(burst)
        self.spent = 0
        self.denied = 0

    def record_first_attempt(self) -> None:
        """Add the retry ratio to the budget for a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Consume one retry; return False if the budget is exhausted."""
        if self._tokens < 1:
            self.denied += 1
            return False
        self._tokens -= 1
        self.spent += 1
        return True
