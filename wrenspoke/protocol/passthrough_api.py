"""HTTP API for requests that are passed through unaltered.

Callers and other entry hosts connect to different addresses. Requests that
an entry host forwards carry a hop with the routing decision of that host.
"""

import collections.abc
import enum
import typing
import urllib.parse

import aiohttp
from aiohttp import web_protocol
from aiohttp import web_request
from aiohttp import web_response
import msgspec
import multidict
import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import call_stages
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import errors
from wrenspoke.transport import web as transport

logger = structlog.get_logger(__name__)

HOP_HEADER = 'Wrenspoke-Hop'
REFUSED_HEADER = 'Wrenspoke-Refused'
# Number of endpoints that may have run the request, for the host that
# forwarded it.
RUNS_HEADER = 'Wrenspoke-Runs'
# Build of the endpoint that serves a stream, for the host that forwarded it.
BUILD_HEADER = 'Wrenspoke-Build'
# Time in ms from a forwarded request's last byte to its response's head.
HELD_HEADER = 'Wrenspoke-Held-Ms'
EXPECT = 'Expect'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
MS_PER_S = 1000
# nginx's status for a client that disconnected; it is never sent.
CLIENT_CLOSED_STATUS = 499


class Refusal(enum.Enum):
    """Reason why the gateway itself rejects a call."""

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
    UNKNOWN_BUILD = 'unknown_build'
    BUILD_GONE = 'build_gone'


# Refusals by a host that sent nothing to an endpoint: they don't consume the
# retry budget.
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
    """Routing decision of the host that forwards a request.

    ``index`` is that of the host's configuration, ``attempts_left`` the
    number of endpoints that may still run the request. A request is
    forwarded once, or twice through a third region. The receiver rejects it
    if its expected time to first byte exceeds ``limit_ms``, as the first host
    can serve it faster. With ``region`` the receiver forwards it to that
    region, which the first host can't reach. ``build`` began the stream that
    the request resumes; no other build may continue it. With ``timed`` the
    receiver reports how long it held the request.
    """

    host: ids.HostId
    route: str
    service: ids.ServiceId
    index: int
    attempts_left: int
    limit_ms: int | None = None
    region: ids.RegionId | None = None
    build: ids.BuildId | None = None
    timed: bool = False


class PassthroughLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of requests."""

    body_bytes: int
    body_timeout_ms: int
    default_deadline_ms: int


class Reply:
    """Response to one request, sent at once or streamed.

    ``runs`` and ``build`` are reported to the host that forwarded the
    request, and with ``held_ms`` for how long it was held here.
    """

    def __init__(self, request: web_request.BaseRequest, close: bool):
        self._request = request
        self._close = close
        self.response: web_response.StreamResponse | None = None
        self.status = 0
        self._resets_on_close = False
        self.runs: int | None = None
        self.build: ids.BuildId | None = None
        self.held_ms: collections.abc.Callable[[], int] | None = None

    @property
    def started(self) -> bool:
        """Return whether the response head has been sent."""
        return self.response is not None

    async def send_response(
        self, status: int, fields: dialects.Fields, body: bytes
    ) -> None:
        """Send a complete response."""
        response = web_response.Response(
            status=status,
            headers=multidict.CIMultiDict(fields),
            body=body,
        )
        await self._prepare(response, status)
        await self._write_eof(response)

    async def send_head(self, status: int, fields: dialects.Fields) -> None:
        """Send the head of a response whose body is streamed."""
        response = web_response.StreamResponse(
            status=status, headers=multidict.CIMultiDict(fields)
        )
        if self._request.version == aiohttp.HttpVersion11:
            response.enable_chunked_encoding()
        else:
            # Only the connection delimits the body: until it is complete,
            # an orderly close would look like its end.
            transport.set_close_mode(self._request, transport.RESET_ON_CLOSE)
            self._resets_on_close = True
        await self._prepare(response, status)

    async def _prepare(
        self, response: web_response.StreamResponse, status: int
    ) -> None:
        if self._close:
            response.force_close()
        if self.runs is not None:
            response.headers[RUNS_HEADER] = str(self.runs)
        if self.build is not None:
            response.headers[BUILD_HEADER] = encode_build(self.build)
        if self.held_ms is not None:
            response.headers[HELD_HEADER] = str(self.held_ms())
        self.response = response
        self.status = status
        try:
            await response.prepare(self._request)
        except (ConnectionError, aiohttp.ClientError) as error:
            raise errors.CallerDisconnectedError(repr(error)) from error

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body.

        :raises CallerDisconnectedError: the caller has disconnected
        """
        try:
            await self.response.write(data)
        except (ConnectionError, aiohttp.ClientError) as error:
            raise errors.CallerDisconnectedError(repr(error)) from error

    async def end(self) -> None:
        """Send the end of the body."""
        await self._write_eof(self.response)
        if self._resets_on_close:
            transport.set_close_mode(self._request, transport.ORDERLY_CLOSE)

    async def _write_eof(self, response: web_response.StreamResponse) -> None:
        try:
            await response.write_eof()
        except (ConnectionError, aiohttp.ClientError) as error:
            raise errors.CallerDisconnectedError(repr(error)) from error

    def abort(self) -> None:
        """Abort the connection, so that the body is visibly incomplete."""
        transport.abort(self._request)

    async def refuse(
        self,
        status: int,
        reason: Refusal | str,
        retry_after_ms: int | None = None,
    ) -> None:
        """Reject the request.

        ``reason`` is a message if the request is malformed.
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
    """Serves the calls that the API has parsed."""

    async def serve(
        self, call: dialects.Call, reply: Reply, hop: Hop | None
    ) -> None:
        """Serve one call and send its response."""

    @property
    def leaving(self) -> bool:
        """Return whether callers should close their connections."""

    @property
    def body_limit_bytes(self) -> int:
        """Return the maximum size of a request body."""


class PassthroughApi:
    """Parses HTTP requests into calls for a server."""

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
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        """Serve a caller's request."""
        return await self._handle(request, forwarded=False)

    async def handle_host(
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        """Serve a request that another entry host forwards."""
        return await self._handle(request, forwarded=True)

    async def _handle(
        self, request: web_request.BaseRequest, forwarded: bool
    ) -> web_response.StreamResponse:
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
            read_ms = self._clock.mono_ms()
            call.stages.mark(call_stages.Stage.READ, read_ms)
            if hop is not None and hop.timed:
                reply.held_ms = lambda: self._clock.mono_ms() - read_ms
            await self._server.serve(call, reply, hop)
        except errors.BadRequestError as error:
            logger.info('request_malformed', problem=str(error))
            bad = Reply(request, close=True)
            await bad.refuse(error.status, str(error))
            return bad.response
        except errors.CallerDisconnectedError:
            logger.info('caller_gone', path=request.raw_path)
        return reply.response or web_response.Response(
            status=CLIENT_CLOSED_STATUS
        )

    def _parse_hop(self, request: web_request.BaseRequest) -> Hop:
        text = request.headers.get(HOP_HEADER)
        if text is None:
            raise errors.BadRequestError(HOP_HEADER, 'required between hosts')
        try:
            return msgspec.json.decode(text, type=Hop)
        except msgspec.DecodeError as error:
            raise errors.BadRequestError(HOP_HEADER, str(error)) from error

    async def _read_body(self, request: web_request.BaseRequest) -> bytes:
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
        except (web_protocol.RequestPayloadError, ValueError) as error:
            raise errors.BadRequestError('body', repr(error)) from error
        return b''.join(chunks)


def encode_build(build: ids.BuildId) -> str:
    """Return the value of ``BUILD_HEADER``; builds may hold any characters."""
    return urllib.parse.quote(build, safe='')


def decode_build(value: str) -> ids.BuildId:
    """Return the build of a ``BUILD_HEADER`` that another host has sent."""
    return ids.BuildId(urllib.parse.unquote(value))


def _without_hop(
    raw: typing.Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the headers without the hop, which only entry hosts set."""
    hop = HOP_HEADER.lower().encode()
    return [item for item in raw if item[0].lower() != hop]
