"""Parse ``Retry-After``: decimal seconds or an HTTP date (RFC 9110)."""

import collections.abc
import datetime
import email.utils
import re

from wrenspoke.protocol import errors
from wrenspoke.protocol import numerals

HTTP_DATE_START = re.compile(r'[A-Za-z]{3,9},')
MS_PER_S = 1_000
MAX_QUOTED_CHARS = 40


def parse_delay_ms(
    texts: collections.abc.Sequence[str], now_ms: int, date: str | None = None
) -> int | None:
    """Return the longest requested delay in milliseconds, None if none.

    A date is relative to ``date``, the response's own date, or else to
    ``now_ms``, the wall-clock time.

    :raises MalformedRetryAfterError: a value is neither
    """
    delays_ms = [
        delay_ms
        for text in texts
        for delay_ms in _parse_value(text, now_ms, date)
    ]
    return max(delays_ms, default=None)


def _parse_value(text: str, now_ms: int, date: str | None) -> list[int]:
    text = text.strip()
    if HTTP_DATE_START.match(text):
        sent_ms = now_ms if date is None else _parse_date_ms(date)
        return [max(_parse_date_ms(text) - sent_ms, 0)]
    delays_ms = []
    for part in text.split(','):
        delay_s = numerals.parse_decimal(part.strip())
        if delay_s is None:
            raise _malformed_error(text)
        delays_ms.append(round(delay_s * MS_PER_S))
    return delays_ms


def _parse_date_ms(text: str) -> int:
    try:
        parsed = email.utils.parsedate_to_datetime(text)
    except (ValueError, IndexError, TypeError, OverflowError) as error:
        raise _malformed_error(text) from error
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=datetime.UTC)
    return round(parsed.timestamp() * MS_PER_S)


def _malformed_error(text: str) -> errors.MalformedRetryAfterError:
    return errors.MalformedRetryAfterError(
        f'{text[:MAX_QUOTED_CHARS]!r} is neither seconds nor an HTTP date'
    )
