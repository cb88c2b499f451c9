"""HTTP client and servers over aiohttp, without its implicit retries."""

import asyncio
import collections.abc
import contextlib
import enum
import fcntl
import functools
import itertools
import os
import pathlib
import random
import socket
import struct
import tempfile
import typing
import weakref

import aiohttp
from aiohttp import web_protocol
from aiohttp import web_request
from aiohttp import web_response
from aiohttp import web_server
import multidict
import structlog
import yarl

from wrenspoke.transport import connector
from wrenspoke.transport import descriptors
from wrenspoke.transport import errors
from wrenspoke.transport import exchange
from wrenspoke.transport import failure_text

logger = structlog.get_logger(__name__)

MAX_CONNECTIONS_PER_HOST = 256
# Maximum number of connections to try if peers send unsolicited bytes.
CONNECTIONS_LIMIT = 3
MAX_LINE_BYTES = 8190
BACKLOG = 4096
# Short, as in-flight requests are drained before a server is closed.
SHUTDOWN_TIMEOUT_S = 0.1
IDLE_TIMEOUT_MS = 15_000
# aiohttp reads twice as much of a response before it is taken.
READ_BUFFER_BYTES = 64 * 1024
# Resets of accepted connections until the next line of the log.
RESETS_PER_LINE = 1_000
# Bodies of requests are written in pieces of this size.
BODY_PIECE_BYTES = 64 * 1024
# Headers that aiohttp adds by default.
AUTO_HEADERS = frozenset(
    ['Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type']
)
BODILESS_STATUSES = frozenset([204, 304])
PORT_RANGE = range(10_000, 32_000)
# SO_LINGER values with which a closed socket ends in order, or is reset.
ORDERLY_CLOSE = struct.pack('ii', 0, 0)
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# Connections whose close marks the end of a response body.
_DELIMITING_TRANSPORTS: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
_ALLOCATED_PORTS: set[int] = set()
# Descriptors of lock files, kept open until the process exits.
_PORT_LOCKS: list[int] = []


Handler = collections.abc.Callable[
    [web_request.BaseRequest],
    collections.abc.Awaitable[web_response.StreamResponse],
]
# Returns whether a response belongs to the request, from its head.
IsOwn = collections.abc.Callable[[aiohttp.ClientResponse], bool]


class _ConditionalPayload(aiohttp.BytesPayload):
    """Body that checks ``may_send`` immediately before its first byte.

    The permission may have expired while the request waited for a
    connection.
    """

    def __init__(
        self, body: bytes, may_send: collections.abc.Callable[[], bool]
    ):
        super().__init__(body)
        self._is_permitted = may_send
        self.aborted = False
        self.written_bytes = 0

    async def write_with_length(
        self, writer: aiohttp.abc.AbstractStreamWriter, length: int | None
    ) -> None:
        if not self._is_permitted():
            self.aborted = True
            raise errors.SendAbortedError('send no longer permitted')
        body = memoryview(self._value)[:length]
        for start in range(0, len(body), BODY_PIECE_BYTES):
            piece = body[start : start + BODY_PIECE_BYTES]
            if start:
                # The connection holds one piece for an endpoint that reads
                # slowly, and other calls run between two pieces.
                await writer.drain()
            await writer.write(piece)
            self.written_bytes += len(piece)


class HttpClient:
    """Sends HTTP requests without redirects or implicit retries.

    Only connecting has a time limit here. A head or a body is waited for, also
    if it comes slowly without end, until the caller leaves the block of a
    request, which closes its connection at once.

    aiohttp (3.14.5) retries an idempotent request when its connection
    drops, even a new one. The middleware ``_disable_retries`` converts the
    failure into an error that aiohttp does not retry.
    """

    def __init__(
        self,
        connect_timeout_ms: int,
        idle_timeout_ms: int = IDLE_TIMEOUT_MS,
        read_buffer_bytes: int = READ_BUFFER_BYTES,
        socket_buffer_bytes: int | None = None,
        budget: descriptors.DescriptorBudget | None = None,
    ):
        self._budget = budget
        self._read_buffer_bytes = read_buffer_bytes
        self._socket_buffer_bytes = socket_buffer_bytes
        self._idle_timeout_s = idle_timeout_ms / 1000
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_ms / 1000
        )
        self._pooled = self._session(force_close=False)
        self._unpooled = self._session(force_close=True)
        self._pool: connector.CancellationSafeConnector = (
            self._pooled.connector
        )

    def _session(self, force_close: bool) -> aiohttp.ClientSession:
        idle = {}
        if not force_close:
            idle['keepalive_timeout'] = self._idle_timeout_s
        tcp_connector = connector.CancellationSafeConnector(
            self._budget,
            limit=0,
            limit_per_host=0 if force_close else MAX_CONNECTIONS_PER_HOST,
            force_close=force_close,
            socket_factory=functools.partial(
                connector.create_keepalive_socket,
                receive_buffer_bytes=self._socket_buffer_bytes,
            ),
            **idle,
        )
        tcp_connector._factory = functools.partial(
            exchange.ExchangeHandler, loop=asyncio.get_running_loop()
        )
        return aiohttp.ClientSession(
            connector=tcp_connector,
            request_class=exchange.ExchangeRequest,
            timeout=self._timeout,
            middlewares=(_disable_retries,),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    @contextlib.asynccontextmanager
    async def send(
        self,
        method: str,
        url: str,
        headers: collections.abc.Mapping[str, str],
        body: bytes | None = None,
        new_connection: bool = False,
        may_send: collections.abc.Callable[[], bool] | None = None,
        is_own: IsOwn | None = None,
    ) -> collections.abc.AsyncIterator[aiohttp.ClientResponse]:
        """Send one request and yield its response when the head arrived.

        Leaving the block before the body has been read closes the
        connection, which cancels the request at the server. ``may_send``
        is checked once a connection is available. ``new_connection``
        avoids a pooled connection that the server may just have closed.
        ``is_own`` returns whether a response, of which only the head is read,
        belongs to this request; otherwise the connection is closed.

        :raises NotSentError: no connection was established
        :raises SendAbortedError: ``may_send`` returned false
        :raises MaybeSentError: the connection ended before the head arrived
        :raises ForeignResponseError: ``is_own`` returned false
        """
        session = self._unpooled if new_connection else self._pooled
        try:
            response = await _send_request(
                session,
                may_send,
                is_own,
                method,
                url,
                headers=headers,
                data=body,
            )
        except aiohttp.InvalidURL as error:
            raise errors.NotSentError(str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise errors.MaybeSentError(
                failure_text.describe(error)
            ) from error
        try:
            yield response
        finally:
            response.close()

    @contextlib.asynccontextmanager
    async def send_verbatim(
        self,
        method: str,
        address: str,
        target: str,
        fields: collections.abc.Iterable[tuple[str, str]],
        body: bytes | None,
        may_send: collections.abc.Callable[[], bool] | None = None,
        is_own: IsOwn | None = None,
        new_connection: bool = False,
        request_id: str | None = None,
    ) -> collections.abc.AsyncIterator[aiohttp.ClientResponse]:
        """Send a request without normalising its target; see ``send``.

        ``target`` is the path and query of the request line, ``fields``
        all headers but the hop-by-hop ones. ``may_send`` is checked again
        immediately before the first byte of a body. No connection is used
        that has refused a request with the same ``request_id``.

        :raises SendAbortedError: ``may_send`` returned false
        """
        session = self._unpooled if new_connection else self._pooled
        # A parsed URL would lose the mark of an empty query.
        url = yarl.URL.build(
            scheme='http', authority=address, path=target, encoded=True
        )
        guarded = None
        if may_send is not None and body:
            body = guarded = _ConditionalPayload(body, may_send)
        try:
            response = await _send_request(
                session,
                may_send,
                is_own,
                method,
                url,
                headers=multidict.CIMultiDict(fields),
                skip_auto_headers=AUTO_HEADERS,
                data=body,
                read_bufsize=self._read_buffer_bytes,
                request_id=request_id,
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if guarded is not None and guarded.aborted:
                raise errors.SendAbortedError(
                    failure_text.describe(error)
                ) from error
            raise errors.MaybeSentError(
                _describe_failure(error, guarded)
            ) from error
        try:
            yield response
        finally:
            response.close()

    def set_take_listener(
        self, on_take: collections.abc.Callable[[str, bool], None]
    ) -> None:
        """Set what is called as a request takes a pooled connection.

        It gets the address and whether an idle connection was found.
        """
        self._pool.on_take = on_take

    def count_idle(self, address: str, left_ms: float) -> int:
        """Return the idle connections that last for another ``left_ms``."""
        return self._pool.count_idle(
            address, self._idle_timeout_s * 1000 - left_ms
        )

    async def open_idle(self, address: str) -> None:
        """Open a connection for later requests.

        :raises NotSentError: no connection was established
        """
        try:
            await self._pool.open_idle(address, self._timeout)
        except (aiohttp.ClientError, OSError) as error:
            raise errors.NotSentError(str(error)) from error

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        self._pool.close_idle(address)

    def count_connections(self) -> int:
        """Return the number of open connections, idle ones included."""
        return sum(
            session.connector.connection_count
            for session in (self._pooled, self._unpooled)
            if session.connector is not None
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._unpooled.close()


async def _send_request(
    session: aiohttp.ClientSession,
    may_send: collections.abc.Callable[[], bool] | None,
    is_own: IsOwn | None,
    method: str,
    url: str | yarl.URL,
    request_id: str | None = None,
    **named: typing.Any,
) -> aiohttp.ClientResponse:
    """Send a request on the first connection without unsolicited bytes.

    :raises UnsolicitedBytesError: there was none, and nothing was sent
    :raises ForeignResponseError: the response is another request's
    """
    with connector.guard_sends(may_send, request_id):
        for attempt in itertools.count(1):
            try:
                response = await session.request(
                    method, url, allow_redirects=False, **named
                )
                break
            except errors.UnsolicitedBytesError:
                if attempt == CONNECTIONS_LIMIT:
                    raise
    # Nothing else has run since the connection became idle.
    if is_own is None or is_own(response):
        return response
    exchange.discard_connection(response)
    raise errors.ForeignResponseError(
        f'response with status {response.status} belongs to another request'
    )


def _describe_failure(
    error: Exception, body: _ConditionalPayload | None
) -> str:
    """Return why a send failed, and how much of its body was written.

    A body that was written in part may still have been run by an endpoint
    that does not wait for its end.
    """
    cause = failure_text.describe(error)
    if body is None or body.written_bytes == body.size:
        return cause
    return f'{cause} after {body.written_bytes} of {body.size} body bytes'


def _listening_socket(
    ip: str,
    port: int,
    socket_buffer_bytes: int | None = None,
    user_timeout_ms: int = connector.USER_TIMEOUT_MS,
) -> socket.socket:
    """Return a bound socket whose accepted connections use keepalive.

    ``socket_buffer_bytes`` bounds what the kernel holds for each, both ways.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    connector.enable_keepalive(sock, user_timeout_ms)
    if socket_buffer_bytes is not None:
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, socket_buffer_bytes)
    sock.bind((ip, port))
    return sock


async def _disable_retries(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Convert a failed send into an error that aiohttp does not retry."""
    try:
        return await handler(request)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise errors.NotSentError(str(error)) from error
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise errors.MaybeSentError(failure_text.describe(error)) from error


class BodyFraming(enum.Enum):
    """How the end of a response body is delimited (RFC 9112, 6.3).

    ``NONE`` is that of responses that never have a body.
    """

    NONE = 'none'
    LENGTH = 'length'
    CHUNKED = 'chunked'
    CONNECTION = 'connection'


def body_framing(response: aiohttp.ClientResponse) -> BodyFraming:
    """Return how the end of a response's body is delimited."""
    if response.method == 'HEAD' or response.status in BODILESS_STATUSES:
        return BodyFraming.NONE
    codings = ','.join(response.headers.getall('Transfer-Encoding', []))
    if codings.rpartition(',')[2].strip().lower() == 'chunked':
        return BodyFraming.CHUNKED
    if response.content_length is not None:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION


async def read_body(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    """Return the complete body of a response.

    :raises MaybeSentError: it is truncated or exceeds ``limit_bytes``
    """
    chunks = []
    size_bytes = 0
    try:
        async for chunk in response.content.iter_any():
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                raise errors.MaybeSentError(
                    f'response body exceeds {limit_bytes} bytes'
                )
            chunks.append(chunk)
    except (aiohttp.ClientError, OSError) as error:
        raise errors.MaybeSentError('answer was cut short') from error
    return b''.join(chunks)


async def read_declared_body(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    """Return the complete body of a response of one of our hosts.

    Hosts declare the end of each body. One that ends with its connection has
    lost its framing on the way, and may be truncated.

    :raises MaybeSentError: it is truncated, declares no end or exceeds
        ``limit_bytes``
    """
    if body_framing(response) is BodyFraming.CONNECTION:
        raise errors.MaybeSentError(
            f'response with status {response.status} declares no end'
        )
    return await read_body(response, limit_bytes)


async def read_chunks(
    response: aiohttp.ClientResponse,
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the chunks of a body as they arrive.

    :raises MaybeSentError: the body is truncated
    """
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except (aiohttp.ClientError, OSError) as error:
        raise errors.MaybeSentError('answer was cut short') from error


class HttpServer:
    """Serves an aiohttp application at one IP address and port."""

    def __init__(
        self,
        application: 'aiohttp.web.Application',
        budget: descriptors.DescriptorBudget | None = None,
    ):
        self._budget = budget
        # Imported here, as entry hosts have no applications.
        from aiohttp import web

        self._site = functools.partial(web.TCPSite, backlog=BACKLOG)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=75,
            shutdown_timeout=0.5,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )

    async def start(self, ip: str, port: int) -> None:
        """Start listening; the port must be free."""
        await self._runner.setup()
        if self._budget is not None:
            _bound_connections(self._runner.server, self._budget)
        await self._site(self._runner, ip, port).start()

    def count_connections(self) -> int:
        """Return the number of open connections."""
        server = self._runner.server
        return 0 if server is None else len(server.connections)

    def unsent_bytes(self) -> int:
        """Return the number of bytes not yet written to sockets."""
        return sum(_unsent_by_connection(self._runner.server).values())

    async def close(self) -> None:
        """Stop listening and close the remaining connections."""
        _report_unsent(self._runner.server)
        await self._runner.cleanup()

    async def abort(self) -> None:
        """Abort all connections, as a process crash does."""
        for site in list(self._runner.sites):
            await site.stop()
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self.close()


def _bound_connections(
    server: web_server.Server, budget: descriptors.DescriptorBudget
) -> None:
    """Close connections if a server has accepted more than a budget allows.

    The one that has been idle for longest is closed. If all have requests, the
    new one is reset, so that its caller can turn to another host at once.
    """
    add_connection = server.connection_made
    reset_numbers = itertools.count()

    def connection_made(
        handler: web_protocol.RequestHandler, transport: asyncio.Transport
    ) -> None:
        add_connection(handler, transport)
        if not budget.has_accepted_too_many():
            return
        idle = min(
            (other for other in server.connections if _is_idle(other)),
            key=_idle_until_s,
            default=None,
        )
        if idle is not None:
            idle.force_close()
            return
        number = next(reset_numbers)
        if number % RESETS_PER_LINE == 0:
            logger.warning(
                'connection_reset',
                reason='too many connections',
                earlier_resets=number,
                **budget.counts(),
            )
        transport.abort()

    server.connection_made = connection_made


def _is_idle(handler: web_protocol.RequestHandler) -> bool:
    """Return whether a connection waits for its next request."""
    return handler._waiter is not None and not handler._waiter.done()


def _idle_until_s(handler: web_protocol.RequestHandler) -> float:
    return handler._next_keepalive_close_time


class LowLevelServer:
    """Serves a handler at one IP address and port, without routing.

    Paths are not decoded, and ``Expect`` headers are not answered.
    """

    def __init__(
        self,
        handler: Handler,
        idle_timeout_ms: int,
        header_limit_bytes: int = MAX_LINE_BYTES,
        socket_buffer_bytes: int | None = None,
        user_timeout_ms: int = connector.USER_TIMEOUT_MS,
        budget: descriptors.DescriptorBudget | None = None,
    ):
        self._budget = budget
        self._socket_buffer_bytes = socket_buffer_bytes
        self._user_timeout_ms = user_timeout_ms
        self.sockets: list[socket.socket] = []
        self._handler = handler
        self._idle_timeout_ms = idle_timeout_ms
        self._header_limit_bytes = header_limit_bytes
        self._server: web_server.Server | None = None
        self._listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Start listening on an ``IP:PORT``; the port must be free."""
        ip, _, port = address.rpartition(':')
        self._server = web_server.Server(
            self._handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=self._idle_timeout_ms / 1000,
            auto_decompress=False,
            lingering_time=0,
            max_line_size=self._header_limit_bytes,
            max_field_size=self._header_limit_bytes,
        )
        if self._budget is not None:
            _bound_connections(self._server, self._budget)
        listening = _listening_socket(
            ip, int(port), self._socket_buffer_bytes, self._user_timeout_ms
        )
        self.sockets = [listening]
        self._listener = await asyncio.get_running_loop().create_server(
            self._server, sock=listening, backlog=BACKLOG
        )

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return 0 if self._server is None else len(self._server.connections)

    def unsent_bytes(self) -> int:
        """Return the number of bytes not yet written to sockets."""
        return sum(_unsent_by_connection(self._server).values())

    async def close(self) -> None:
        """Stop listening and close the remaining connections."""
        if self._server is None:
            return
        _report_unsent(self._server)
        if self._listener is not None:
            self._listener.close()
        # Lets connections that were accepted begin their requests.
        await asyncio.sleep(0)
        self._server.pre_shutdown()
        await self._server.shutdown(SHUTDOWN_TIMEOUT_S)
        self._server = None


def _unsent_by_connection(
    server: web_server.Server | None,
) -> dict[asyncio.Transport, int]:
    """Return the unsent bytes per connection, omitting flushed ones."""
    transports = []
    if server is not None:
        transports = [one.transport for one in server.connections]
    return {
        transport: size_bytes
        for transport in transports
        if transport is not None
        and (size_bytes := transport.get_write_buffer_size())
    }


def _report_unsent(server: web_server.Server | None) -> None:
    """Log the connections that hold unsent bytes as their server closes.

    Connections whose close marks the end of a body are reset, as the
    truncated body would otherwise look complete.
    """
    for transport, size_bytes in _unsent_by_connection(server).items():
        logger.warning(
            'response_cut',
            peer=transport.get_extra_info('peername'),
            unsent_bytes=size_bytes,
        )
        if transport in _DELIMITING_TRANSPORTS:
            transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )


def set_close_mode(request: web_request.BaseRequest, linger: bytes) -> None:
    """Set how a caller's socket is closed, also if this process is killed.

    ``linger`` is ``ORDERLY_CLOSE`` or ``RESET_ON_CLOSE``.
    """
    if request.transport is None:
        return
    request.transport.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    if linger == RESET_ON_CLOSE:
        _DELIMITING_TRANSPORTS.add(request.transport)


def abort(request: web_request.BaseRequest) -> None:
    """Abort a caller's connection, so that its response is truncated."""
    if request.transport is not None:
        request.transport.abort()


def bound_write_buffer(
    request: web_request.BaseRequest, size_bytes: int
) -> None:
    """Bound what a caller's connection holds beyond its socket."""
    if request.transport is not None:
        request.transport.set_write_buffer_limits(
            high=size_bytes, low=size_bytes // 4
        )


def unsent_bytes(request: web_request.BaseRequest) -> int:
    """Return the bytes that a caller's socket has not taken yet."""
    if request.transport is None:
        return 0
    return request.transport.get_write_buffer_size()


async def drain(request: web_request.BaseRequest) -> None:
    """Wait until a caller's connection holds less than its bound.

    :raises ConnectionError: the connection has ended
    """
    await request.protocol._drain_helper()


def free_ports(count: int) -> list[int]:
    """Return ``count`` free loopback ports from ``PORT_RANGE``.

    The range lies below the ephemeral ports, so that no outgoing
    connection takes a port before its server starts. A port is returned
    only once, and to no other process while this one runs. The list is
    shorter if the range is exhausted.
    """
    ports: list[int] = []
    for port in random.sample(PORT_RANGE, len(PORT_RANGE)):
        if port in _ALLOCATED_PORTS or not _try_lock_port(port):
            continue
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        ports.append(port)
        _ALLOCATED_PORTS.add(port)
        if len(ports) == count:
            break
    return ports


def _try_lock_port(port: int) -> bool:
    """Lock a port against other processes; return whether that succeeded."""
    path = pathlib.Path(tempfile.gettempdir()) / f'wrenspoke-port-{port}'
    descriptor = os.open(path, os.O_CREAT | os.O_RDWR, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        return False
    _PORT_LOCKS.append(descriptor)
    return True
