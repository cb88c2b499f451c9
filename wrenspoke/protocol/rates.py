"""Read how many requests a second an endpoint says that it takes."""

import collections.abc
import re

from wrenspoke.protocol import errors

RATE = re.compile(r'([0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12})\Z')
# More is as good as no limit, and keeps what is reckoned with it finite.
HIGHEST_PER_S = 1_000_000.0


def read(texts: collections.abc.Sequence[str]) -> float | None:
    """Return the rate that an answer's headers name, None without any.

    Where several are named the lowest counts.

    :raises MalformedRateError: one of them is no decimal number
    """
    rates = [
        _read_one(part.strip()) for text in texts for part in text.split(',')
    ]
    return min(rates, default=None)


def _read_one(text: str) -> float:
    if not RATE.match(text):
        raise errors.MalformedRateError(
            f'found {text[:40]!r}; must be a decimal number of 0 or more'
        )
    return min(float(text), HIGHEST_PER_S)
