"""Responses whose head is malformed, made of well-formed ones."""

import functools


def with_status(status, response):
    """Return a response with another status line."""
    _line, _, rest = response.partition(b'\r\n')
    return b'HTTP/1.1 %s\r\n%s' % (status, rest)


# Statuses outside 100 to 599, and 101 where no upgrade was asked for.
INVALID_STATUSES = [
    b'000 OK',
    b'000',
    b'001 OK',
    b'099 OK',
    b'600 OK',
    b'999 OK',
    b'101 Switching Protocols',
    b'101',
]
# Other than three digits.
MALFORMED_STATUSES = [
    b'20 OK',
    b'2000 OK',
    b'+20 OK',
    b'-10 OK',
    b' 200 OK',
    b'2 0 OK',
    b'2xx OK',
    b'OK',
    b'',
    b'\xb2\xb2\xb2 OK',
]
STATUSES = INVALID_STATUSES + MALFORMED_STATUSES
# Functions that make a malformed response of a well-formed one.
MALFORMED = {
    f'status {status!r}': functools.partial(with_status, status)
    for status in STATUSES
}
# One of each kind, for tests of many readers.
SAMPLES = [
    "status b'000 OK'",
    "status b'600 OK'",
    "status b'101 Switching Protocols'",
    "status b'OK'",
]
