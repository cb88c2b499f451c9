"""The HTTP surface for requests that are passed through unaltered.

Callers use one address, other entry hosts another: what they pass on
carries a hop, which says what the first host decided.
"""

import enum
import typing

import aiohttp
from aiohttp import web
import msgspec
import multidict
import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import errors
from wrenspoke.transport import web as transport

logger = structlog.get_logger(__name__)

HOP_HEADER = 'Wrenspoke-Hop'
REFUSED_HEADER = 'Wrenspoke-Refused'
# How many endpoints may have run it, in an answer to the host that passed
# it on.
RUNS_HEADER = 'Wrenspoke-Runs'
EXPECT = 'Expect'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
MS_PER_S = 1000
# Nobody reads it; the name that proxies use for a caller who left.
CLIENT_CLOSED_STATUS = 499


class Refusal(enum.Enum):
    """Say why the gateway answers a call by its own word."""

    NO_ROUTE = 'no_route'
    NO_CONFIGURATION = 'no_configuration'
    NO_LEASE = 'no_lease'
    UNKNOWN_KEY = 'unknown_key'
    OVER_LIMIT = 'over_limit'
    LEAVING = 'leaving'
    BUSY = 'busy'
    UNSENT = 'unsent'
    GAVE_UP = 'gave_up'
    QUARANTINED = 'quarantined'


# What a host says that sent nothing to an endpoint: its word costs the
# budget of repeats nothing.
UNSENT_REFUSALS = frozenset(
    [
        Refusal.BUSY,
        Refusal.UNSENT,
        Refusal.NO_CONFIGURATION,
        Refusal.NO_LEASE,
        Refusal.UNKNOWN_KEY,
        Refusal.LEAVING,
        Refusal.QUARANTINED,
    ]
)


class Hop(msgspec.Struct, frozen=True):
    """Say what the host that passes a request on has decided.

    ``index`` is the configuration it went by, ``attempts_left`` how many
    endpoints may still run it. There is one hop, or two by way of a
    third region. With ``limit_ms`` the call is to be refused where its
    first piece would take longer, since the first host could do better
    itself. With ``region`` it goes on to that region, which the first host
    can't reach.
    """

    host: ids.HostId
    route: str
    service: ids.ServiceId
    index: int
    attempts_left: int
    limit_ms: int | None = None
    region: ids.RegionId | None = None


class PassthroughLimits(msgspec.Struct, frozen=True):
    """Bound what the surface reads of a request."""

    body_bytes: int
    body_timeout_ms: int
    default_deadline_ms: int


class Reply:
    """Answer one request, whole or piece by piece.

    ``runs`` is told to a host that passed the request on.
    """

    def __init__(self, request: web.BaseRequest, close: bool):
        self._request = request
        self._close = close
        self.response: web.StreamResponse | None = None
        self.status = 0
        self.runs: int | None = None

    @property
    def started(self) -> bool:
        """Tell whether a head has been sent."""
        return self.response is not None

    async def send_response(
        self, status: int, fields: dialects.Fields, body: bytes
    ) -> None:
        """Send a whole answer."""
        response = web.Response(
            status=status,
            headers=multidict.CIMultiDict(fields),
            body=body,
        )
        await self._prepare(response, status)
        await self._write_eof(response)

    async def send_head(self, status: int, fields: dialects.Fields) -> None:
        """Send the head of an answer whose body comes in pieces."""
        response = web.StreamResponse(
            status=status, headers=multidict.CIMultiDict(fields)
        )
        if self._request.version == aiohttp.HttpVersion11:
            response.enable_chunked_encoding()
        await self._prepare(response, status)

    async def _prepare(
        self, response: web.StreamResponse, status: int
    ) -> None:
        if self._close:
            response.force_close()
        if self.runs is not None:
            response.headers[RUNS_HEADER] = str(self.runs)
        self.response = response
        self.status = status
        try:
            await response.prepare(self._request)
        except (ConnectionError, aiohttp.ClientError) as error:
            raise errors.CallerDisconnectedError(repr(error)) from error

    async def write(self, data: bytes) -> None:
        """Send a piece of the body.

        :raises CallerGoneError: the caller has left
        """
        try:
            await self.response.write(data)
        except (ConnectionError, aiohttp.ClientError) as error:
            raise errors.CallerDisconnectedError(repr(error)) from error

    async def end(self) -> None:
        """Send the end of the body."""
        await self._write_eof(self.response)

    async def _write_eof(self, response: web.StreamResponse) -> None:
        try:
            await response.write_eof()
        except (ConnectionError, aiohttp.ClientError) as error:
            raise errors.CallerDisconnectedError(repr(error)) from error

    def abort(self) -> None:
        """Break the connection, so that no end of the body is seen."""
        transport.abort(self._request)

    async def refuse(
        self,
        status: int,
        reason: Refusal | str,
        retry_after_ms: int | None = None,
    ) -> None:
        """Answer by the gateway's own word, at once.

        ``reason`` is a text where the call itself is wrong.
        """
        if isinstance(reason, Refusal):
            reason = reason.value
        fields = [
            ('Content-Type', 'application/json'),
            (REFUSED_HEADER, reason),
        ]
        if retry_after_ms is not None:
            wait_s = f'{retry_after_ms / MS_PER_S:.3f}'
            fields.append(('Retry-After', wait_s))
        body = msgspec.json.encode({'error': {'reason': reason}})
        await self.send_response(status, fields, body)


class PassthroughServer(typing.Protocol):
    """Serve what the surface has read and checked."""

    async def serve(
        self, call: dialects.Call, reply: Reply, hop: Hop | None
    ) -> None:
        """Answer one request."""

    @property
    def leaving(self) -> bool:
        """Tell whether callers should close their connections."""

    @property
    def body_limit_bytes(self) -> int:
        """Return how large a body may be."""


class PassthroughApi:
    """Turn HTTP requests into calls and hand them over."""

    def __init__(
        self,
        server: PassthroughServer,
        dialect: dialects.Dialect,
        limits: PassthroughLimits,
        clock: clocks.Clock,
    ):
        self._server = server
        self._limits = limits
        self._reader = dialects.CallReader(dialect, limits.default_deadline_ms)
        self._clock = clock

    async def handle_caller(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve a caller's request."""
        return await self._handle(request, forwarded=False)

    async def handle_host(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve a request that another entry host passes on."""
        return await self._handle(request, forwarded=True)

    async def _handle(
        self, request: web.BaseRequest, forwarded: bool
    ) -> web.StreamResponse:
        reply = Reply(request, self._server.leaving)
        try:
            hop = self._parse_hop(request) if forwarded else None
            call = self._reader.read(
                request.method,
                request.raw_path,
                _without_hop(request.raw_headers),
                self._clock.mono_ms(),
            )
            call.body = await self._read_body(request)
            await self._server.serve(call, reply, hop)
        except errors.BadRequestError as error:
            logger.info('request_malformed', problem=str(error))
            bad = Reply(request, close=True)
            await bad.refuse(error.status, str(error))
            return bad.response
        except errors.CallerDisconnectedError:
            logger.info('caller_gone', path=request.raw_path)
        return reply.response or web.Response(status=CLIENT_CLOSED_STATUS)

    def _parse_hop(self, request: web.BaseRequest) -> Hop:
        text = request.headers.get(HOP_HEADER)
        if text is None:
            raise errors.BadRequestError(HOP_HEADER, 'required between hosts')
        try:
            return msgspec.json.decode(text, type=Hop)
        except msgspec.DecodeError as error:
            raise errors.BadRequestError(HOP_HEADER, str(error)) from error

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        if not request.body_exists:
            return b''
        limit_bytes = min(
            self._server.body_limit_bytes, self._limits.body_bytes
        )
        too_large = errors.BadRequestError(
            'body', f'at most {limit_bytes} bytes are allowed', 413
        )
        if (request.content_length or 0) > limit_bytes:
            raise too_large
        if request.headers.get(EXPECT, '').lower() == '100-continue':
            request.transport.write(CONTINUE)
        chunks = []
        size_bytes = 0
        try:
            async with clocks.timeout_ms(self._limits.body_timeout_ms):
                async for chunk in request.content.iter_any():
                    size_bytes += len(chunk)
                    if size_bytes > limit_bytes:
                        raise too_large
                    chunks.append(chunk)
        except TimeoutError as error:
            raise errors.BadRequestError(
                'body',
                f'did not arrive within {self._limits.body_timeout_ms} ms',
                408,
            ) from error
        except (aiohttp.ClientError, ConnectionError) as error:
            raise errors.CallerDisconnectedError(repr(error)) from error
        except (web.RequestPayloadError, ValueError) as error:
            raise errors.BadRequestError('body', repr(error)) from error
        return b''.join(chunks)


def _without_hop(
    raw: typing.Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Leave out what only hosts may say."""
    hop = HOP_HEADER.lower().encode()
    return [item for item in raw if item[0].lower() != hop]
