"""One owner of retries, with a budget.

The entry host next to the endpoint owns the retries of a request; a host
that forwarded it passes a failure up as it is. See "Your Retry Policy May
Be Feeding the Outage": a retry spent at every layer multiplies.
"""


class RetryBudget:
    """Allow retries as a share of first attempts, and a small burst."""

    def __init__(self, ratio: float, burst: int):
        self._ratio = ratio
        self._burst = burst
        self._tokens = float(burst)
        self.spent = 0
        self.denied = 0

    def record_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take a retry from the budget; False when there is none."""
        if self._tokens < 1:
            self.denied += 1
            return False
        self._tokens -= 1
        self.spent += 1
        return True
