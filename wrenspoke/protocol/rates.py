"""Parse the rate limits that endpoints advertise."""

import collections.abc

from wrenspoke.protocol import errors
from wrenspoke.protocol import numerals

# Caps the rate, so that calculations with it stay finite.
MAX_RATE_PER_S = 1_000_000.0


def parse_rate(texts: collections.abc.Sequence[str]) -> float | None:
    """Return the lowest rate in the header values, None if there is none.

    Rates are in requests per second.

    :raises MalformedRateError: a value is not a decimal number
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
            f'rate {text[:40]!r} is not a decimal number of 0 or more'
        )
    return min(rate_per_s, MAX_RATE_PER_S)
