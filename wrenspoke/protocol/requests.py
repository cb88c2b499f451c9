"""Heads of callers' requests, and the parser of their headers."""

import collections.abc
import enum

import msgspec

from wrenspoke import ids
from wrenspoke.protocol import errors
from wrenspoke.protocol import fingerprints
from wrenspoke.protocol import headers
from wrenspoke.protocol import numerals

MAX_TOKEN_CHARS = 200
ONCE_KEY_PARTS = 3


class Priority(enum.IntEnum):
    """Priority of queued requests; higher values are served first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


class RequestKind(enum.Enum):
    """API that a request was made with."""

    CHAT = 'chat'
    PLAIN = 'plain'


class OnceKey(msgspec.Struct, frozen=True):
    """Key of a once-only request: its ledger's region and issue time."""

    region: ids.RegionId
    issued_ms: int
    unique: str

    def __str__(self) -> str:
        return f'{self.region}:{self.issued_ms}:{self.unique}'


class RequestHead(msgspec.Struct, frozen=True):
    """Everything about a request except its body.

    ``deadline_ms`` is on this host's clock. ``resend`` is set if, by the
    caller's headers, an earlier attempt may exist, ``minted`` if the caller
    sent no id and this host generated one. ``key`` authenticates the caller's
    team and is never forwarded. ``fingerprint`` identifies the request
    by its content, whatever its id.
    """

    request: ids.RequestId
    kind: RequestKind
    method: str
    path: str
    service: ids.ServiceId
    deadline_ms: int
    attempt: int = 1
    resend: bool = False
    minted: bool = False
    home: ids.RegionId | None = None
    bound: bool = False
    once: bool = False
    priority: Priority = Priority.NORMAL
    session: ids.SessionId | None = None
    team: str = ''
    key: str = ''
    model: str | None = None
    stream: bool = False
    last_event: int | None = None
    content_type: str = 'application/json'
    path_of_hosts: tuple[ids.HostId, ...] = ()
    fingerprint: fingerprints.Fingerprint = fingerprints.Fingerprint()

    @property
    def forwarded(self) -> bool:
        """Return whether another host forwarded this request."""
        return bool(self.path_of_hosts)


def parse_once_key(text: str) -> OnceKey:
    """Parse a once-only key.

    :raises BadRequestError: it is not ``REGION:ISSUED_MS:UNIQUE``
    """
    parts = text.split(':')
    issued_ms = None
    if len(parts) == ONCE_KEY_PARTS:
        issued_ms = numerals.parse_whole(parts[1])
    if issued_ms is None:
        raise errors.BadRequestError(
            headers.REQUEST,
            f'found {text!r}; a request that may not be repeated needs '
            'REGION:ISSUED_MS:UNIQUE',
        )
    return OnceKey(ids.RegionId(parts[0]), issued_ms, parts[2])


def new_once_key(region: str, issued_ms: int) -> OnceKey:
    """Return a new unique key."""
    return OnceKey(ids.RegionId(region), issued_ms, ids.new_random_id())


class HeaderReader:
    """Parses wrenspoke's headers; raises BadRequestError if malformed."""

    def __init__(self, found: collections.abc.Mapping[str, str]):
        self._found = found

    def token(self, name: str, default: str = '') -> str:
        """Return a header of printable ASCII characters without spaces."""
        value = self._found.get(name, default)
        if len(value) > MAX_TOKEN_CHARS or any(
            not char.isascii() or not char.isprintable() or char == ' '
            for char in value
        ):
            raise errors.BadRequestError(
                name,
                f'found {value[:40]!r}; at most {MAX_TOKEN_CHARS} printable '
                'ASCII characters without spaces are allowed',
            )
        return value

    def number(
        self, name: str, default: int | None, low: int, high: int
    ) -> int | None:
        """Return an integer header from ``low`` to ``high``."""
        value = self._found.get(name)
        if value is None:
            return default
        found = numerals.parse_whole(value)
        if found is None or not low <= found <= high:
            raise errors.BadRequestError(
                name,
                f'found {value[:40]!r}; a whole number from {low} to '
                f'{high} is allowed',
            )
        return found

    def flag(self, name: str) -> bool:
        """Return a boolean header, False if it is absent."""
        value = self._found.get(name, 'false').lower()
        if value not in ('true', 'false'):
            raise errors.BadRequestError(
                name, f'found {value[:40]!r}; true or false is allowed'
            )
        return value == 'true'

    def key(self) -> str:
        """Return the key that the caller presents, empty if none."""
        text = self._found.get(headers.AUTHORIZATION, '').strip()
        scheme, _, key = text.partition(' ')
        return key.strip() if scheme.lower() == headers.SCHEME else ''

    def priority(self) -> Priority:
        """Return the priority, ``NORMAL`` if the header is absent."""
        value = self._found.get(headers.PRIORITY, 'normal').upper()
        if value not in Priority.__members__:
            raise errors.BadRequestError(
                headers.PRIORITY,
                f'found {value[:40]!r}; low, normal or high is allowed',
            )
        return Priority[value]
