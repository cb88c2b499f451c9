"""Headers with which endpoints advertise limits, backoff and shutdown."""

import collections.abc
import enum
import typing

import msgspec

from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import retry_after

REFUSAL_STATUSES = frozenset([429, 503])
MISDIRECTED = 421
LEAVING_VALUES = {'1': True, '0': False}
MAX_QUOTED_CHARS = 40


class HeaderMultiMap(typing.Protocol):
    """Case-insensitive response headers with repeated values."""

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""

    def getall(
        self, name: str, default: list[str]
    ) -> collections.abc.Sequence[str]:
        """Return all values of a header."""


class Origin(enum.Enum):
    """How a response is attributed to the endpoint that was called.

    ``ECHOED`` responses carry the id of the request, ``UNNAMED`` ones carry
    none. ``FOREIGN`` ones were sent by another endpoint or carry the id of
    another request.
    """

    ECHOED = 'echoed'
    UNNAMED = 'unnamed'
    FOREIGN = 'foreign'


class AdvertisedHeaders(msgspec.Struct, frozen=True):
    """Unparsed header values of one response."""

    origin: Origin
    status: int
    limits: tuple[str, ...] = ()
    retry_after: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    date: str | None = None

    @property
    def is_from_endpoint(self) -> bool:
        """Return whether the response can be from the called endpoint."""
        return self.origin is not Origin.FOREIGN

    def backoff_ms(self, now_ms: int) -> int:
        """Return the backoff requested in ``Retry-After``, 0 if none.

        Only responses with a refusal status request a backoff.

        :raises MalformedRetryAfterError: the value is malformed
        """
        if self.status not in REFUSAL_STATUSES:
            return 0
        delay_ms = retry_after.parse_delay_ms(
            self.retry_after, now_ms, self.date
        )
        return delay_ms or 0

    def is_leaving(self) -> bool:
        """Return whether the endpoint advertises that it is shutting down.

        :raises MalformedLeavingError: a value is neither 0 nor 1
        """
        leaving = False
        for text in self.leaving:
            value = LEAVING_VALUES.get(text.strip())
            if value is None:
                raise errors.MalformedLeavingError(
                    f'{text[:MAX_QUOTED_CHARS]!r} is neither 0 nor 1'
                )
            leaving |= value
        return leaving


def classify_origin(status: int, expected: str, found: str | None) -> Origin:
    """Attribute a response by its status and the request id it echoes."""
    if status == MISDIRECTED:
        return Origin.FOREIGN
    if found is None:
        return Origin.UNNAMED
    return Origin.ECHOED if found == expected else Origin.FOREIGN


def read_headers(
    origin: Origin,
    status: int,
    found: HeaderMultiMap,
    dialect: dialects.Dialect,
) -> AdvertisedHeaders:
    """Extract the advertised header values from a response's headers."""
    return AdvertisedHeaders(
        origin,
        status,
        tuple(found.getall(dialect.limit, [])),
        tuple(found.getall(headers.RETRY_AFTER, [])),
        tuple(found.getall(dialect.leaving, [])),
        found.get('Date'),
    )
