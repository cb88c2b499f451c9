"""What a caller's request carries, read and checked from its headers."""

import collections.abc
import enum

import msgspec

from wrenspoke import ids
from wrenspoke.protocol import errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import numerals

MAX_TOKEN_CHARS = 200
ONCE_KEY_PARTS = 3


class Priority(enum.IntEnum):
    """Order requests that wait; a higher one goes first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


class RequestKind(enum.Enum):
    """Tell the surfaces that callers use apart."""

    CHAT = 'chat'
    PLAIN = 'plain'


class OnceKey(msgspec.Struct, frozen=True):
    """Name a once-only request: its ledger's region and issue time."""

    region: ids.RegionId
    issued_ms: int
    unique: str

    def __str__(self) -> str:
        return f'{self.region}:{self.issued_ms}:{self.unique}'


class RequestHead(msgspec.Struct, frozen=True):
    """Hold everything about a request but its body.

    ``deadline_ms`` is on this host's clock. ``resend`` says that an
    earlier attempt may exist, as far as the caller let us know; ``minted``
    that the caller gave no id and this host made one. ``key`` is
    what the caller proves its team by; it goes no further than this host.
    ``digest`` names what is asked for, whatever the request is called.
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
    digest: ids.RequestDigest = ids.RequestDigest('')

    @property
    def forwarded(self) -> bool:
        """Tell whether another host passed this request on."""
        return bool(self.path_of_hosts)


def parse_once_key(text: str) -> OnceKey:
    """Read a once-only key.

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
    """Make a key that nobody has used."""
    return OnceKey(ids.RegionId(region), issued_ms, ids.new_random_id())


class HeaderReader:
    """Read wrenspoke's own headers, each with a clear error."""

    def __init__(self, found: collections.abc.Mapping[str, str]):
        self._found = found

    def token(self, name: str, default: str = '') -> str:
        """Return a short printable text without spaces."""
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
        """Return a whole number between ``low`` and ``high``."""
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
        """Return whether a header says true."""
        value = self._found.get(name, 'false').lower()
        if value not in ('true', 'false'):
            raise errors.BadRequestError(
                name, f'found {value[:40]!r}; true or false is allowed'
            )
        return value == 'true'

    def key(self) -> str:
        """Return the key that a caller shows, empty if it shows none."""
        text = self._found.get(headers.AUTHORIZATION, '').strip()
        scheme, _, key = text.partition(' ')
        return key.strip() if scheme.lower() == headers.SCHEME else ''

    def priority(self) -> Priority:
        """Return the priority, normal where there is none."""
        value = self._found.get(headers.PRIORITY, 'normal').upper()
        if value not in Priority.__members__:
            raise errors.BadRequestError(
                headers.PRIORITY,
                f'found {value[:40]!r}; low, normal or high is allowed',
            )
        return Priority[value]
