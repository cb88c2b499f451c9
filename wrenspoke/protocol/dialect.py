"""Header names of pass-through requests, and the parser of their heads.

Pass-through requests keep their method, path, body and headers. A
``Dialect`` holds the names of the headers that the gateway reads and adds:
the defaults below, or those of a platform.
"""

import collections.abc
import re

import msgspec
import multidict
from multidict import istr

from wrenspoke import ids
from wrenspoke.protocol import call_stages
from wrenspoke.protocol import errors
from wrenspoke.protocol import fingerprints
from wrenspoke.protocol import headers
from wrenspoke.protocol import numerals

# Hop-by-hop headers of RFC 9110, and the headers that frame the body on one
# connection.
CONNECTION_FIELDS = frozenset(
    [
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ]
)
REQUEST_ID_PATTERN = re.compile(r'[!-~]{1,128}\Z')
# Same as the default of entry.deadline_limit_ms.
DEADLINE_LIMIT_MS = 600_000
# Bounds the cost of parsing a caller's header.
MAX_PROMPT_PARTS = 256

Fields = list[tuple[str, str]]


class Dialect(msgspec.Struct, frozen=True):
    """Names of the headers that the gateway reads and sets.

    An endpoint rejects a request whose ``endpoint`` is not its own name;
    ``not_run`` in a response means that it did not run the request.
    ``tokens`` holds the prompt's tokens and the maximum number of output
    tokens, ``length_hint`` the number that the caller expects.
    ``resumes`` is the id of the request that brought a stream's first event,
    sent with ``last_event`` by a caller that resumes the stream.
    ``fetch_from`` is the address of an endpoint from which the prompt's
    cached prefix can be copied.
    A health response carries the endpoint's name in ``instance`` and its
    remaining warmup in ``warmup_ms``.
    ``limit`` in responses is the rate in requests per second that an endpoint
    accepts from all hosts; ``leaving`` announces its shutdown.
    ``authorization`` holds the ``scheme`` followed by a team's key; ``team``
    is the name of the team, for endpoints.
    ``reserved`` headers of callers are never forwarded.
    """

    request: str = 'Wrenspoke-Request-Id'
    deadline_ms: str = 'Wrenspoke-Deadline-Ms'
    endpoint: str = 'Wrenspoke-Endpoint'
    not_run: str = 'Wrenspoke-Not-Run'
    priority: str = 'Wrenspoke-Endpoint-Priority'
    prompt_parts: str = 'Wrenspoke-Prompt-Parts'
    tokens: str = 'Wrenspoke-Tokens'
    length_hint: str = 'Wrenspoke-Length-Hint'
    last_event: str = 'Last-Event-ID'
    resumes: str = 'Wrenspoke-Resumes'
    instance: str = 'Wrenspoke-Instance'
    warmup_ms: str = 'Wrenspoke-Warmup-Ms'
    fetch_from: str = 'Wrenspoke-Fetch-From'
    limit: str = headers.LIMIT
    leaving: str = headers.LEAVING
    authorization: str = 'Authorization'
    scheme: str = 'Bearer'
    team: str = 'Wrenspoke-Team'
    reserved: tuple[str, ...] = ()

    def stripped_headers(self) -> frozenset[str]:
        """Return the lower-case headers that are not sent to endpoints."""
        own = (
            self.deadline_ms,
            self.endpoint,
            self.priority,
            self.fetch_from,
        )
        names = (*own, *self.credentials(), *self.reserved)
        return CONNECTION_FIELDS | {name.lower() for name in names}

    def credentials(self) -> tuple[str, str]:
        """Return the names of the headers that identify the team."""
        return (self.authorization, self.team)


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """Named part of a prompt, with its length in tokens."""

    part: str
    tokens: int


class Call(msgspec.Struct):
    """Pass-through request of a caller.

    ``fields`` are the headers to forward, in their order, without the
    ``credentials`` that the caller sent. ``key`` is the team's key.
    ``fingerprint`` identifies the request by its content, whatever its id.
    """

    request: ids.RequestId
    method: str
    host: str
    target: str
    fields: Fields
    arrived_ms: int
    left_ms: int
    body: bytes = b''
    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0
    tokens_expected: int = 0
    last_event: str | None = None
    resumes: ids.RequestId | None = None
    credentials: Fields = []
    key: str = ''
    fingerprint: fingerprints.Fingerprint = fingerprints.Fingerprint()
    stages: call_stages.StageTimes = msgspec.field(
        default_factory=call_stages.StageTimes
    )

    @property
    def tokens(self) -> int:
        """Return the maximum of prompt and output tokens, 0 if unknown."""
        return self.tokens_in + self.tokens_out

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller has received part of the stream."""
        return bool(self.last_event)

    @property
    def stream_request(self) -> ids.RequestId | None:
        """Return the request that began the stream, None if unknown."""
        return self.resumes if self.resumes_stream else self.request

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]


class CallReader:
    """Parses the heads of requests by the header names of a dialect."""

    def __init__(self, dialect: Dialect, default_deadline_ms: int):
        self._dialect = dialect
        self._default_deadline_ms = default_deadline_ms
        self._stripped_headers = dialect.stripped_headers()
        self._credentials = {name.lower() for name in dialect.credentials()}

    def read(
        self,
        method: str,
        target: str,
        raw: collections.abc.Iterable[tuple[bytes, bytes]],
        now_ms: int,
    ) -> Call:
        """Return the call that a request's head describes, without a body.

        :raises BadRequestError: a header is malformed or repeated
        """
        values: dict[str, str] = {}
        fields: Fields = []
        for raw_name, raw_value in raw:
            name = raw_name.decode('utf-8', 'surrogateescape')
            value = raw_value.decode('utf-8', 'surrogateescape')
            lower = name.lower()
            if lower in values and lower in self._single_valued_headers():
                raise errors.BadRequestError(name, 'may be given once only')
            values[lower] = (
                f'{values[lower]}, {value}' if lower in values else value
            )
            fields.append((name, value))
        connection_options = _connection_options(values.get('connection', ''))
        prompt_items = self._prompt_items(values)
        dropped = self._stripped_headers | connection_options
        return Call(
            request=self._request(values),
            method=method,
            host=values.get('host', '').partition(':')[0],
            target=_checked_target(target),
            fields=[item for item in fields if item[0].lower() not in dropped],
            arrived_ms=now_ms,
            left_ms=self._left_ms(values),
            parts=_well_formed_parts(prompt_items),
            tokens_in=self._tokens(values)[0],
            tokens_out=self._tokens(values)[1],
            tokens_expected=self._tokens_expected(values),
            last_event=values.get(self._dialect.last_event.lower()),
            resumes=self._resumes(values),
            credentials=[
                item
                for item in fields
                if item[0].lower() in self._credentials - connection_options
            ],
            key=self._key(values),
            fingerprint=fingerprints.Fingerprint(
                parts=fingerprints.named_parts(_part_names(prompt_items))
            ),
            stages=call_stages.StageTimes(now_ms),
        )

    def request_field(
        self, found: multidict.CIMultiDictProxy[str]
    ) -> tuple[str, str] | None:
        """Return the header that names a request, None if it has no id."""
        name = self._dialect.request
        values = found.getall(name, [])
        if len(values) != 1 or not REQUEST_ID_PATTERN.match(values[0]):
            return None
        return name, values[0]

    def _single_valued_headers(self) -> frozenset[str]:
        dialect = self._dialect
        names = ('host', dialect.request, dialect.deadline_ms)
        return frozenset(name.lower() for name in names)

    def _request(self, values: dict[str, str]) -> ids.RequestId:
        name = self._dialect.request
        value = values.get(name.lower(), '')
        if not REQUEST_ID_PATTERN.match(value):
            raise errors.BadRequestError(
                name, 'required: 1 to 128 visible characters'
            )
        return ids.RequestId(value)

    def _resumes(self, values: dict[str, str]) -> ids.RequestId | None:
        """Return the request that began a resumed stream, None if unknown.

        An invalid id names no request: it is treated as unknown, so that
        the stream is resumed if that is safe without it.
        """
        value = values.get(self._dialect.resumes.lower(), '')
        if not REQUEST_ID_PATTERN.match(value):
            return None
        return ids.RequestId(value)

    def _key(self, values: dict[str, str]) -> str:
        """Return the key that the caller presents, empty if none."""
        text = values.get(self._dialect.authorization.lower(), '')
        scheme, _, key = text.strip().partition(' ')
        if scheme.lower() != self._dialect.scheme.lower():
            return ''
        return key.strip()

    def _left_ms(self, values: dict[str, str]) -> int:
        name = self._dialect.deadline_ms
        value = values.get(name.lower())
        if value is None:
            return self._default_deadline_ms
        left_ms = numerals.parse_whole(value)
        if left_ms is None or left_ms > DEADLINE_LIMIT_MS:
            raise errors.BadRequestError(
                name,
                f'found {value!r}; must be 0 to {DEADLINE_LIMIT_MS} ms',
            )
        return left_ms

    def _prompt_items(self, values: dict[str, str]) -> list[tuple[str, str]]:
        """Return the name and the length of each prompt part, as sent."""
        text = values.get(self._dialect.prompt_parts.lower(), '')
        items = (item.strip().partition(':') for item in text.split(','))
        return [(name, tokens) for name, _, tokens in items]

    def _tokens_expected(self, values: dict[str, str]) -> int:
        """Return the length hint, capped by the maximum, else the maximum."""
        text = values.get(self._dialect.length_hint.lower(), '')
        hint = numerals.parse_whole(text.strip())
        output_limit = self._tokens(values)[1]
        if hint is None:
            return output_limit
        return min(hint, output_limit) if output_limit else hint

    def _tokens(self, values: dict[str, str]) -> tuple[int, int]:
        text = values.get(self._dialect.tokens.lower(), '')
        tokens_in_text, _, tokens_out_text = text.partition(',')
        tokens_in = numerals.parse_whole(tokens_in_text.strip())
        tokens_out = numerals.parse_whole(tokens_out_text.strip())
        if tokens_in is None or tokens_out is None:
            return 0, 0
        return tokens_in, tokens_out


def _well_formed_parts(
    items: list[tuple[str, str]],
) -> tuple[PromptPart, ...]:
    """Return the prompt's parts, without those that are malformed.

    They are a hint for the choice of an endpoint, so a malformed one is
    no reason to reject the call.
    """
    parts = []
    for name, tokens in items[:MAX_PROMPT_PARTS]:
        count = numerals.parse_whole(tokens)
        if name and count is not None:
            parts.append(PromptPart(name, count))
    return tuple(parts)


def _part_names(items: list[tuple[str, str]]) -> list[str]:
    """Return the names of all prompt parts, well-formed or not."""
    return [name.strip() for name, _tokens in items if name.strip()]


def _connection_options(text: str) -> frozenset[str]:
    options = (option.strip().lower() for option in text.split(','))
    return frozenset(option for option in options if option)


def _checked_target(target: str) -> str:
    if not target.startswith('/'):
        raise errors.BadRequestError(
            'request line', f'path {target!r} must start with a slash'
        )
    return target


def response_fields(
    raw: collections.abc.Iterable[tuple[bytes, bytes]],
) -> Fields:
    """Return the headers of an endpoint's response for the caller."""
    fields = [
        (
            istr(name.decode('utf-8', 'surrogateescape')),
            value.decode('utf-8', 'surrogateescape'),
        )
        for name, value in raw
    ]
    named = {'connection': ''}
    for name, value in fields:
        if name.lower() == 'connection':
            named['connection'] += f',{value}'
    left_out = CONNECTION_FIELDS | _connection_options(named['connection'])
    return [item for item in fields if item[0].lower() not in left_out]
