"""Read how many requests a second an endpoint says that it takes."""

import collections.abc

from wrenspoke.protocol import errors
from wrenspoke.protocol import numerals

# More is as good as no limit, and keeps what is reckoned with it finite.
MAX_RATE_PER_S = 1_000_000.0


def parse_rate(texts: collections.abc.Sequence[str]) -> float | None:
    """Return the rate that an answer's headers name, None without any.

    Where several are named the lowest counts.

    :raises MalformedRateError: one of them is no decimal number
    """
    rates = [
        _parse_single(part.strip())
        for text in texts
        for part in text.split(',')
    ]
    return min(rates, default=None)


def _parse_single(text: str) -> float:
    rate_per_s = numerals.parse_decimal(text)
    if rate_per_s is None:
        raise errors.MalformedRateError(
            f'found {text[:40]!r}; must be a decimal number of 0 or more'
        )
    return min(rate_per_s, MAX_RATE_PER_S)
