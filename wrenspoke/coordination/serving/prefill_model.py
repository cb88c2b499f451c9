"""Learn how soon an engine gives the first piece of an answer.

The model is a sum: a part that every call takes, a part for each token of
the prompt that is still to be read, and one for each token that waits to
be read before it. Its figures are learned by recursive least squares with
forgetting (Haykin, Adaptive Filter Theory, chapter 10), pooled over all
engines of a service, since few calls go to each; what an engine differs by
is a factor of its own. Errors count by their share of what was expected,
and large ones only up to a bound, so that a call that hung teaches little.
"""

import math

from wrenspoke import ids

# Until it is learned: a few steps of an engine, and 20 tokens a ms, which
# is on the slow side, so that a first crowd is spread rather than piled up.
INITIAL_BASE_MS = 30.0
INITIAL_TOKEN_MS = 0.05
# About how many samples are remembered is the inverse of what is missing
# to 1: some seconds of one host's calls.
FORGETTING_FACTOR = 0.98
# How sure the start values are, as a variance of figures scaled to one.
INITIAL_VARIANCE = 4.0
MAX_VARIANCE = 50.0
# Prompt lengths are counted in thousands, which keeps figures near one.
SCALE_TOKENS = 1_000.0
# An error beyond this share of what was expected counts as this much.
ERROR_BOUND = 0.5
# Nothing is quicker than this share of the pooled start value; keeps a row
# of odd samples from making a figure zero or negative.
MIN_COEFFICIENT_SHARE = 0.05
FACTOR_WEIGHT = 0.1
# An engine is not taken for more than this much quicker or slower.
FACTOR_BOUND = math.log(8.0)
SPREAD_WEIGHT = 0.05
INITIAL_SPREAD = 0.5
# The least time that errors are compared with: clocks tell whole ms.
MIN_MS = 5.0


class PrefillModel:
    """Hold what was learned of the engines of one service."""

    def __init__(self):
        self._coefficients = [
            INITIAL_BASE_MS,
            INITIAL_TOKEN_MS * SCALE_TOKENS,
            INITIAL_TOKEN_MS * SCALE_TOKENS,
        ]
        self._min_coefficients = [
            MIN_COEFFICIENT_SHARE * figure for figure in self._coefficients
        ]
        self._variance = [
            [
                INITIAL_VARIANCE * self._coefficients[row] ** 2
                if row == column
                else 0.0
                for column in range(3)
            ]
            for row in range(3)
        ]
        self._max_variance = [
            MAX_VARIANCE * figure**2 for figure in self._coefficients
        ]
        self._factors: dict[ids.EndpointId, float] = {}
        self.spread = INITIAL_SPREAD

    @property
    def token_ms(self) -> float:
        """Return how long an ordinary engine reads at a token."""
        return self._coefficients[1] / SCALE_TOKENS

    def speed_factor(self, endpoint: ids.EndpointId) -> float:
        """Return how many times as long as an ordinary engine one takes."""
        return math.exp(self._factors.get(endpoint, 0.0))

    def first_ms(
        self, endpoint: ids.EndpointId, unread: float, ahead: float
    ) -> float:
        """Return when the first piece is expected after a call is sent.

        ``unread`` tokens of its prompt are still to be read there, and
        ``ahead`` tokens of others before it.
        """
        return self._pooled_ms(_inputs(unread, ahead)) * self.speed_factor(
            endpoint
        )

    def add_sample(
        self,
        endpoint: ids.EndpointId,
        unread: float,
        ahead: float,
        took_ms: float,
    ) -> None:
        """Learn from a first piece that took ``took_ms``."""
        inputs = _inputs(unread, ahead)
        expected_ms = max(self._pooled_ms(inputs), MIN_MS)
        ratio = max(took_ms, MIN_MS) / expected_ms
        off = math.log(ratio / self.speed_factor(endpoint))
        self.spread += SPREAD_WEIGHT * (abs(off) - self.spread)
        self._update_coefficients(
            inputs, expected_ms, ratio / self.speed_factor(endpoint)
        )
        self._update_factor(endpoint, off)

    def _update_factor(self, endpoint: ids.EndpointId, off: float) -> None:
        """Move an engine's factor; what all have in common is pooled."""
        bounded = min(max(off, -ERROR_BOUND), ERROR_BOUND)
        known = self._factors.get(endpoint, 0.0) + FACTOR_WEIGHT * bounded
        self._factors[endpoint] = min(max(known, -FACTOR_BOUND), FACTOR_BOUND)
        common = sum(self._factors.values()) / len(self._factors)
        for name in self._factors:
            self._factors[name] -= common
        grown = math.exp(common)
        self._coefficients = [figure * grown for figure in self._coefficients]

    def _pooled_ms(self, inputs: tuple[float, float, float]) -> float:
        return sum(
            figure * value for figure, value in zip(self._coefficients, inputs)
        )

    def _update_coefficients(
        self,
        inputs: tuple[float, float, float],
        expected_ms: float,
        ratio: float,
    ) -> None:
        """Take one step of least squares, by relative errors."""
        error = min(max(ratio - 1.0, -ERROR_BOUND), ERROR_BOUND)
        scaled = [value / expected_ms for value in inputs]
        spread = [
            sum(row[column] * scaled[column] for column in range(3))
            for row in self._variance
        ]
        total = FORGETTING_FACTOR + sum(
            scaled[row] * spread[row] for row in range(3)
        )
        gains = [value / total for value in spread]
        for row in range(3):
            moved = self._coefficients[row] + gains[row] * error
            self._coefficients[row] = max(moved, self._min_coefficients[row])
            for column in range(3):
                left = self._variance[row][column]
                left -= gains[row] * spread[column]
                self._variance[row][column] = left / FORGETTING_FACTOR
        self._bound_variance()

    def _bound_variance(self) -> None:
        """Forget no figure that nothing has told of for long."""
        for row in range(3):
            if self._variance[row][row] <= self._max_variance[row]:
                continue
            shrink = math.sqrt(
                self._max_variance[row] / self._variance[row][row]
            )
            for column in range(3):
                self._variance[row][column] *= shrink
                self._variance[column][row] *= shrink

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Forget engines that are gone."""
        for endpoint in list(self._factors):
            if endpoint not in endpoints:
                del self._factors[endpoint]


def _inputs(unread: float, ahead: float) -> tuple[float, float, float]:
    return 1.0, unread / SCALE_TOKENS, ahead / SCALE_TOKENS
