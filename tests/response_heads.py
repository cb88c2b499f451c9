"""Responses whose head is malformed, made of well-formed ones."""

import functools


def with_status(status, response):
    """Return a response with another status line."""
    _line, _, rest = response.partition(b'\r\n')
    return b'HTTP/1.1 %s\r\n%s' % (status, rest)


def with_line(line, response):
    """Return a response with a field line behind its status line."""
    first, _, rest = response.partition(b'\r\n')
    return b'%s\r\n%s\r\n%s' % (first, line, rest)


def with_last_line(line, response):
    """Return a response with a field line at the end of its head."""
    head, _, body = response.partition(b'\r\n\r\n')
    return b'%s\r\n%s\r\n\r\n%s' % (head, line, body)


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
# A name has no blanks, control bytes or other separators (RFC 9110, 5.6.2),
# and a line directly behind the status line continues no value.
BLANK_LINES = [b' X-Extra: b', b' Content-Length: 1', b' ', b' : b']
MALFORMED_LINES = [
    b'\tX-Extra: b',
    b'  X-Extra: b',
    b'X Extra: b',
    b'X-Extra : b',
    b'X-Extra\t: b',
    b': b',
    b'X-Extra',
    b'X(Extra): b',
    b'X-Extr\xe4: b',
    *(b'X%cExtra: b' % byte for byte in (*range(9), *range(11, 32), 127)),
]
STATUSES = INVALID_STATUSES + MALFORMED_STATUSES
LINES = BLANK_LINES + MALFORMED_LINES
# Functions that make a malformed response of a well-formed one.
MALFORMED = {
    **{
        f'status {status!r}': functools.partial(with_status, status)
        for status in STATUSES
    },
    **{f'line {line!r}': functools.partial(with_line, line) for line in LINES},
    **{
        f'last line {line!r}': functools.partial(with_last_line, line)
        for line in MALFORMED_LINES
        if line[:1] not in (b' ', b'\t')
    },
}
# One of each kind, for tests of many readers.
SAMPLES = [
    "status b'000 OK'",
    "status b'600 OK'",
    "status b'101 Switching Protocols'",
    "status b'OK'",
    "line b' X-Extra: b'",
    "line b'X Extra: b'",
    "line b'X\\x00Extra: b'",
]
