"""Model the time until an engine sends the first piece of a response.

The model is linear: a base time, a time per uncached token of the prompt,
and a time per token queued ahead of it. Its coefficients are estimated by
recursive least squares with exponential forgetting (Haykin, Adaptive Filter
Theory, chapter 10), pooled over all engines of a service, as each gets few
calls; each engine has a speed factor of its own. Errors are relative to the
expected time and bounded, so that outliers have little influence.
"""

import math

from wrenspoke import ids

# Initial coefficients. They are on the slow side, so that the first calls are
# spread over the engines.
INITIAL_BASE_MS = 30.0
INITIAL_TOKEN_MS = 0.05
# The model follows about the last ``1 / (1 - FORGETTING_FACTOR)`` samples.
FORGETTING_FACTOR = 0.98
# Variances of the coefficients, relative to their initial values.
INITIAL_VARIANCE = 4.0
MAX_VARIANCE = 50.0
# Prompt lengths are scaled, so that the coefficients are of a similar size.
SCALE_TOKENS = 1_000.0
# Bound of the relative error of one sample.
ERROR_BOUND = 0.5
# Lower bound of a coefficient, as a share of its initial value: keeps it
# positive after a series of outliers.
MIN_COEFFICIENT_SHARE = 0.05
FACTOR_WEIGHT = 0.1
# Bound of an engine's speed factor, as a logarithm.
FACTOR_BOUND = math.log(8.0)
SPREAD_WEIGHT = 0.05
INITIAL_SPREAD = 0.5
# Shortest time that errors are relative to, given clocks of whole ms.
MIN_MS = 5.0


class PrefillModel:
    """Model of the engines of one service.

    ``spread`` is the mean absolute log error of the expected times.
    """

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
        self._has_samples = False
        self.spread = INITIAL_SPREAD

    @property
    def token_ms(self) -> float:
        """Return the prefill time per token of an average engine."""
        return self._coefficients[1] / SCALE_TOKENS

    def speed_factor(self, endpoint: ids.EndpointId) -> float:
        """Return an engine's time relative to that of an average engine."""
        return math.exp(self._factors.get(endpoint, 0.0))

    def first_ms(
        self, endpoint: ids.EndpointId, uncached: float, queued: float
    ) -> float:
        """Return the expected time from sending a call to its first piece.

        ``uncached`` are the tokens of its prompt to be computed, and
        ``queued`` the tokens of other prompts before it.
        """
        return self._pooled_ms(_inputs(uncached, queued)) * self.speed_factor(
            endpoint
        )

    def add_sample(
        self,
        endpoint: ids.EndpointId,
        uncached: float,
        queued: float,
        took_ms: float,
    ) -> None:
        """Update the model with the actual time to a first piece."""
        self._has_samples = True
        inputs = _inputs(uncached, queued)
        expected_ms = max(self._pooled_ms(inputs), MIN_MS)
        ratio = max(took_ms, MIN_MS) / expected_ms
        log_error = math.log(ratio / self.speed_factor(endpoint))
        self.spread += SPREAD_WEIGHT * (abs(log_error) - self.spread)
        self._update_coefficients(
            inputs, expected_ms, ratio / self.speed_factor(endpoint)
        )
        self._update_factor(endpoint, log_error)

    def start_from(self, token_ms: float) -> None:
        """Start from a time per token that other hosts have learned.

        It is ignored once the model has samples of its own.
        """
        if not self._has_samples:
            self._coefficients[1:] = [token_ms * SCALE_TOKENS] * 2

    def set_speed_factor(
        self, endpoint: ids.EndpointId, factor: float
    ) -> None:
        """Set an engine's factor to one that other hosts have learned."""
        bounded = min(max(math.log(factor), -FACTOR_BOUND), FACTOR_BOUND)
        self._factors[endpoint] = bounded

    def _update_factor(
        self, endpoint: ids.EndpointId, log_error: float
    ) -> None:
        """Update an engine's factor; move the common part to the model."""
        bounded = min(max(log_error, -ERROR_BOUND), ERROR_BOUND)
        factor = self._factors.get(endpoint, 0.0) + FACTOR_WEIGHT * bounded
        self._factors[endpoint] = min(max(factor, -FACTOR_BOUND), FACTOR_BOUND)
        common = sum(self._factors.values()) / len(self._factors)
        for name in self._factors:
            self._factors[name] -= common
        scale = math.exp(common)
        self._coefficients = [figure * scale for figure in self._coefficients]

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
        """Do one step of recursive least squares, on relative errors."""
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
            updated = self._coefficients[row] + gains[row] * error
            self._coefficients[row] = max(updated, self._min_coefficients[row])
            for column in range(3):
                left = self._variance[row][column]
                left -= gains[row] * spread[column]
                self._variance[row][column] = left / FORGETTING_FACTOR
        self._bound_variance()

    def _bound_variance(self) -> None:
        """Bound the variances, which grow without informative samples."""
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
        """Drop the state of engines that are not in ``endpoints``."""
        for endpoint in list(self._factors):
            if endpoint not in endpoints:
                del self._factors[endpoint]


def _inputs(uncached: float, queued: float) -> tuple[float, float, float]:
    return 1.0, uncached / SCALE_TOKENS, queued / SCALE_TOKENS
