"""What the head of an endpoint's response says about the endpoint itself."""

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
    """The headers of a response."""

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""

    def getall(
        self, name: str, default: list[str]
    ) -> collections.abc.Sequence[str]:
        """Return all values of a header."""


class Origin(enum.Enum):
    """Whose response it is.

    ``ECHOED`` names the request it answers, ``UNNAMED`` none, and
    ``FOREIGN`` comes from another endpoint or answers another request.
    """

    ECHOED = 'echoed'
    UNNAMED = 'unnamed'
    FOREIGN = 'foreign'


class AdvertisedHeaders(msgspec.Struct, frozen=True):
    """The header values of one response, unparsed."""

    origin: Origin
    status: int
    limits: tuple[str, ...] = ()
    retry_after: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    date: str | None = None

    @property
    def is_from_endpoint(self) -> bool:
        """Return whether the response may be the endpoint's own."""
        return self.origin is not Origin.FOREIGN

    def backoff_ms(self, now_ms: int) -> int:
        """Return the backoff that the endpoint asks for, 0 without one.

        :raises MalformedRetryAfterError: it can't be read
        """
        if self.status not in REFUSAL_STATUSES:
            return 0
        found_ms = retry_after.parse_delay_ms(
            self.retry_after, now_ms, self.date
        )
        return found_ms or 0

    def is_leaving(self) -> bool:
        """Return whether the endpoint says that it leaves.

        :raises MalformedLeavingError: a value is neither 0 nor 1
        """
        found = False
        for text in self.leaving:
            value = LEAVING_VALUES.get(text.strip())
            if value is None:
                raise errors.MalformedLeavingError(
                    f'{text[:MAX_QUOTED_CHARS]!r} is neither 0 nor 1'
                )
            found |= value
        return found


def classify_origin(status: int, expected: str, found: str | None) -> Origin:
    """Return whose response it is, by the name that it echoes."""
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
    """Return what the head of a response advertises."""
    return AdvertisedHeaders(
        origin,
        status,
        tuple(found.getall(dialect.limit, [])),
        tuple(found.getall(headers.RETRY_AFTER, [])),
        tuple(found.getall(dialect.leaving, [])),
        found.get('Date'),
    )
