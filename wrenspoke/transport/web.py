"""HTTP on both sides by aiohttp, with its surprises switched off."""

import asyncio
import collections.abc
import contextlib
import fcntl
import functools
import os
import pathlib
import random
import socket
import tempfile

import aiohttp
from aiohttp import client_proto
from aiohttp import web
import multidict
import yarl

from wrenspoke.transport import connector
from wrenspoke.transport import errors

MAX_CONNECTIONS_PER_HOST = 256
MAX_LINE_BYTES = 8190
BACKLOG = 4096
# Whoever closes a plain server has waited for what was in flight.
SHUTDOWN_TIMEOUT_S = 0.1
IDLE_TIMEOUT_MS = 15_000
# What aiohttp adds by itself, none of which the caller asked for.
AUTO_HEADERS = frozenset(
    ['Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type']
)
PORT_RANGE = range(10_000, 32_000)
_ALLOCATED_PORTS: set[int] = set()
# Held open for as long as the process lives.
_PORT_LOCKS: list[int] = []


Handler = collections.abc.Callable[
    [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
]


class ResetAwareHandler(client_proto.ResponseHandler):
    """Tell a reset from the end of an answer that states no length.

    aiohttp takes the end of the connection, however it came, for the end
    of such an answer (3.14.5). And libuv reports a reset that comes with
    the last bytes as an end of file; the socket still holds the error.
    """

    def eof_received(self) -> None:
        """Fail an answer whose end of file hides a reset."""
        opened = self.transport.get_extra_info('socket')
        found = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if found:
            self._fail_payload(OSError(found, os.strerror(found)))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer whose connection did not end as it should."""
        if exc is not None:
            self._fail_payload(exc)
        super().connection_lost(exc)

    def _fail_payload(self, error: BaseException) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(error)))


class _ConditionalPayload(aiohttp.BytesPayload):
    """Leave only if it still may, at the moment of the first byte.

    A connection may have been waited for since that was looked at last.
    """

    def __init__(
        self, body: bytes, may_send: collections.abc.Callable[[], bool]
    ):
        super().__init__(body)
        self._is_permitted = may_send
        self.aborted = False

    async def write_with_length(
        self, writer: aiohttp.abc.AbstractStreamWriter, length: int | None
    ) -> None:
        if not self._is_permitted():
            self.aborted = True
            raise errors.SendAbortedError('it may not leave any more')
        await super().write_with_length(writer, length)


class HttpClient:
    """Send HTTP requests without redirects or silent repeats.

    aiohttp sends an idempotent request again by itself when a connection
    drops, a new connection too (3.14.5). ``_once_only`` stands
    between and keeps the failure from its sight. ``fresh`` requests go
    over a connection of their own besides, as a reused one may have been
    closed by the other side a moment ago.
    """

    def __init__(
        self,
        connect_timeout_ms: int,
        idle_timeout_ms: int = IDLE_TIMEOUT_MS,
    ):
        self._idle_timeout_s = idle_timeout_ms / 1000
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_ms / 1000
        )
        self._pooled = self._session(force_close=False)
        self._unpooled = self._session(force_close=True)

    def _session(self, force_close: bool) -> aiohttp.ClientSession:
        idle = {}
        if not force_close:
            idle['keepalive_timeout'] = self._idle_timeout_s
        tcp_connector = connector.CancellationSafeConnector(
            limit=0,
            limit_per_host=0 if force_close else MAX_CONNECTIONS_PER_HOST,
            force_close=force_close,
            socket_factory=connector.create_keepalive_socket,
            **idle,
        )
        tcp_connector._factory = functools.partial(
            ResetAwareHandler, loop=asyncio.get_running_loop()
        )
        return aiohttp.ClientSession(
            connector=tcp_connector,
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
    ) -> collections.abc.AsyncIterator[aiohttp.ClientResponse]:
        """Send one request and yield its answer once the head is here.

        Leaving the block before the body has been read closes the
        connection, which cancels the work on the other side. ``may_leave``
        is asked once there is a connection.

        :raises NotSentError: no connection was made
        :raises HeldBackError: it may not leave any more
        :raises MaybeSentError: the connection ended before the head came
        """
        session = self._unpooled if new_connection else self._pooled
        try:
            with connector.guard_sends(may_send):
                response = await session.request(
                    method,
                    url,
                    headers=headers,
                    data=body,
                    allow_redirects=False,
                )
        except aiohttp.InvalidURL as error:
            raise errors.NotSentError(str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise errors.MaybeSentError(repr(error)) from error
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
    ) -> collections.abc.AsyncIterator[aiohttp.ClientResponse]:
        """Send a request as its caller wrote it; see ``send``.

        ``target`` is the path and query of the request line, ``fields``
        all headers but those of the connection. ``may_leave`` is asked as
        the first byte is about to leave.

        :raises HeldBackError: it said no
        """
        url = yarl.URL(f'http://{address}{target}', encoded=True)
        guarded = None
        if may_send is not None and body:
            body = guarded = _ConditionalPayload(body, may_send)
        try:
            with connector.guard_sends(may_send):
                response = await self._pooled.request(
                    method,
                    url,
                    headers=multidict.CIMultiDict(fields),
                    skip_auto_headers=AUTO_HEADERS,
                    data=body,
                    allow_redirects=False,
                )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if guarded is not None and guarded.aborted:
                raise errors.SendAbortedError(repr(error)) from error
            raise errors.MaybeSentError(repr(error)) from error
        try:
            yield response
        finally:
            response.close()

    async def close(self) -> None:
        """Close every connection."""
        await self._pooled.close()
        await self._unpooled.close()


def _listening_socket(ip: str, port: int) -> socket.socket:
    """Return a socket whose accepted connections probe their peers too."""
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    connector.enable_keepalive(made)
    made.bind((ip, port))
    return made


async def _disable_retries(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turn a failed send into an error that aiohttp does not repeat."""
    try:
        return await handler(request)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise errors.NotSentError(str(error)) from error
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise errors.MaybeSentError(repr(error)) from error


async def read_body(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    """Read a body to its stated end, or fail.

    :raises MaybeSentError: it was cut short or is over ``limit_bytes``
    """
    chunks = []
    size_bytes = 0
    try:
        async for chunk in response.content.iter_any():
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                raise errors.MaybeSentError(
                    f'answer is over {limit_bytes} bytes'
                )
            chunks.append(chunk)
    except (aiohttp.ClientError, OSError) as error:
        raise errors.MaybeSentError('answer was cut short') from error
    return b''.join(chunks)


async def read_chunks(
    response: aiohttp.ClientResponse,
) -> collections.abc.AsyncIterator[bytes]:
    """Yield a body as it comes.

    :raises MaybeSentError: it ended before its stated end
    """
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except (aiohttp.ClientError, OSError) as error:
        raise errors.MaybeSentError('answer was cut short') from error


class HttpServer:
    """Serve an aiohttp application on one IP number and port."""

    def __init__(self, application: web.Application):
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
        """Listen; the port must be free."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, port, backlog=BACKLOG)
        await site.start()

    async def close(self) -> None:
        """Stop listening and end what is left."""
        await self._runner.cleanup()

    async def abort(self) -> None:
        """Break every connection off, as the end of a process does."""
        for site in list(self._runner.sites):
            await site.stop()
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self.close()


class LowLevelServer:
    """Serve a handler on one IP number and port, without routes.

    Nothing is read from a request but what the handler asks for: no
    path is decoded and no expectation answered.
    """

    def __init__(
        self,
        handler: Handler,
        idle_timeout_ms: int,
        header_limit_bytes: int = MAX_LINE_BYTES,
    ):
        self._handler = handler
        self._idle_timeout_ms = idle_timeout_ms
        self._header_limit_bytes = header_limit_bytes
        self._runner: web.ServerRunner | None = None

    async def start(self, address: str) -> None:
        """Listen on an ``IP:PORT``; the port must be free."""
        ip, _, port = address.rpartition(':')
        server = web.Server(
            self._handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=self._idle_timeout_ms / 1000,
            auto_decompress=False,
            lingering_time=0,
            max_line_size=self._header_limit_bytes,
            max_field_size=self._header_limit_bytes,
        )
        self._runner = web.ServerRunner(
            server, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        listening = _listening_socket(ip, int(port))
        site = web.SockSite(self._runner, listening, backlog=BACKLOG)
        await site.start()

    async def close(self) -> None:
        """Stop listening and end what is left."""
        if self._runner is not None:
            await self._runner.cleanup()


def abort(request: web.BaseRequest) -> None:
    """Close a caller's connection so that no end of body is seen."""
    if request.transport is not None:
        request.transport.abort()


def free_ports(count: int) -> list[int]:
    """Return ports of loopback that were free a moment ago.

    They lie below those that the system gives to outgoing connections,
    so that none of these takes one before its server starts, and none
    is returned twice, nor to another process while this one lives.
    """
    found: list[int] = []
    for port in random.sample(PORT_RANGE, len(PORT_RANGE)):
        if port in _ALLOCATED_PORTS or not _try_lock_port(port):
            continue
        with socket.socket() as tried:
            try:
                tried.bind(('127.0.0.1', port))
            except OSError:
                continue
        found.append(port)
        _ALLOCATED_PORTS.add(port)
        if len(found) == count:
            break
    return found


def _try_lock_port(port: int) -> bool:
    """Reserve a port among the processes that ask for free ones."""
    path = pathlib.Path(tempfile.gettempdir()) / f'wrenspoke-port-{port}'
    lock = os.open(path, os.O_CREAT | os.O_RDWR, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        return False
    _PORT_LOCKS.append(lock)
    return True
