"""Model how long engines of one service take for a piece of work.

The model is ``(constant + slope * size) * factor``: the coefficients are
common to the engines, the factor is an engine's own. They are the expectile
of the observed times at ``level``: a level below a half follows the fast
ones, which did not wait for other work.
"""

import math

from wrenspoke import ids

# The coefficients follow about the last ``1 / (1 - DECAY)`` observations.
DECAY = 0.995
# Weight of the initial coefficients, in observations.
PRIOR_WEIGHT = 2.0
# Time constant of an engine's factor, and bounds of one observation's weight.
FACTOR_TIME_MS = 800.0
MIN_FACTOR_WEIGHT = 0.02
MAX_FACTOR_WEIGHT = 0.2
FACTOR_BOUND = math.log(8.0)
# Bound of the log error of one observation.
ERROR_BOUND = 1.0
MIN_MS = 1.0
# Lower bound of a coefficient, as a share of its initial value.
MIN_SHARE = 0.02


class SpeedModel:
    """Model of the engines of one service, from observed times."""

    def __init__(
        self, constant_ms: float, slope_ms: float, scale: float, level: float
    ):
        """Create a model; ``scale`` is a typical size."""
        self._initial = (constant_ms, slope_ms)
        self._scale = scale
        self._level = level
        self.constant_ms = constant_ms
        self.slope_ms = slope_ms
        self.factors: dict[ids.EndpointId, float] = {}
        self._updated_ms: dict[ids.EndpointId, int] = {}
        # Weighted sums of 1, x, x * x, y and x * y, for a size x over the
        # scale and a time y over the engine's factor.
        self._sums = [0.0] * 5

    def expected_ms(self, endpoint: ids.EndpointId, size: float) -> float:
        """Return the expected time for work of a size at an engine."""
        common_ms = self.constant_ms + self.slope_ms * size
        return max(common_ms * self.factor(endpoint), MIN_MS)

    def factor(self, endpoint: ids.EndpointId) -> float:
        """Return an engine's time relative to that of an average engine."""
        return math.exp(self.factors.get(endpoint, 0.0))

    def add(
        self,
        endpoint: ids.EndpointId,
        size: float,
        took_ms: float,
        now_ms: int,
    ) -> None:
        """Update the model with a time that was observed now."""
        expected_ms = self.expected_ms(endpoint, size)
        error = math.log(max(took_ms, MIN_MS) / expected_ms)
        error = min(max(error, -ERROR_BOUND), ERROR_BOUND)
        # Twice, so that observations weigh 1 at a level of a half.
        weight = 2.0 * (self._level if error > 0 else 1.0 - self._level)
        factor = self.factor(endpoint)
        self._add_sums(
            weight / (expected_ms / factor) ** 2,
            size / self._scale,
            expected_ms * math.exp(error) / factor,
        )
        self._solve()
        weight *= self._factor_weight(endpoint, now_ms)
        self._update_factor(endpoint, weight * error)

    def _factor_weight(self, endpoint: ids.EndpointId, now_ms: int) -> float:
        """Return the weight of an observation in an engine's factor.

        Engines with many observations are followed no faster than others.
        """
        last_ms = self._updated_ms.get(endpoint, 0)
        self._updated_ms[endpoint] = now_ms
        weight = 1.0 - math.exp((last_ms - now_ms) / FACTOR_TIME_MS)
        return min(max(weight, MIN_FACTOR_WEIGHT), MAX_FACTOR_WEIGHT)

    def _add_sums(self, weight: float, size: float, value: float) -> None:
        terms = (1.0, size, size * size, value, size * value)
        for place, term in enumerate(terms):
            self._sums[place] = DECAY * self._sums[place] + weight * term

    def _solve(self) -> None:
        """Solve the normal equations, with the initial values as a prior."""
        constant, slope = self._initial[0], self._initial[1] * self._scale
        constant_prior = PRIOR_WEIGHT / constant**2
        slope_prior = PRIOR_WEIGHT / slope**2
        count, sizes, squares, values, products = self._sums
        count += constant_prior
        squares += slope_prior
        values += constant_prior * constant
        products += slope_prior * slope
        determinant = count * squares - sizes * sizes
        found = (values * squares - products * sizes) / determinant
        found_slope = (products * count - values * sizes) / determinant
        self.constant_ms = max(found, MIN_SHARE * constant)
        self.slope_ms = max(found_slope, MIN_SHARE * slope) / self._scale

    def _update_factor(self, endpoint: ids.EndpointId, change: float) -> None:
        """Update an engine's factor; the mean of the logarithms stays 0."""
        factor = self.factors.get(endpoint, 0.0) + change
        self.factors[endpoint] = min(max(factor, -FACTOR_BOUND), FACTOR_BOUND)
        common = sum(self.factors.values()) / len(self.factors)
        for name in self.factors:
            self.factors[name] -= common

    def remove(self, endpoint: ids.EndpointId) -> None:
        """Drop the factor of an engine."""
        self.factors.pop(endpoint, None)
        self._updated_ms.pop(endpoint, None)
