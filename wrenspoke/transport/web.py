"""HTTP on both sides by aiohttp, with its surprises switched off."""

import collections.abc
import contextlib
import random
import socket

import aiohttp
from aiohttp import web

from wrenspoke.transport import errors

POOL_PER_HOST = 256
LINE_LIMIT_BYTES = 8190
BACKLOG = 4096
PORT_RANGE = range(10_000, 32_000)
_GIVEN_PORTS: set[int] = set()


class HttpClient:
    """Send HTTP requests without redirects or silent repeats.

    aiohttp sends an idempotent request again by itself when a connection
    drops, a new connection too (seen with 3.14.5). ``_once_only`` stands
    between and keeps the failure from its sight. ``fresh`` requests go
    over a connection of their own besides, as a reused one may have been
    closed by the other side a moment ago.
    """

    def __init__(self, connect_timeout_ms: int):
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_ms / 1000
        )
        self._pooled = self._session(force_close=False)
        self._fresh = self._session(force_close=True)

    def _session(self, force_close: bool) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=0 if force_close else POOL_PER_HOST,
            force_close=force_close,
        )
        return aiohttp.ClientSession(
            connector=connector,
            timeout=self._timeout,
            middlewares=(_once_only,),
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
        fresh: bool = False,
    ) -> collections.abc.AsyncIterator[aiohttp.ClientResponse]:
        """Send one request and yield its answer once the head is here.

        Leaving the block before the body has been read closes the
        connection, which cancels the work on the other side.

        :raises NotSentError: no connection was made
        :raises MaybeSentError: the connection ended before the head came
        """
        session = self._fresh if fresh else self._pooled
        try:
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

    async def close(self) -> None:
        """Close every connection."""
        await self._pooled.close()
        await self._fresh.close()


async def _once_only(
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


async def read_whole(
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
            max_line_size=LINE_LIMIT_BYTES,
            max_field_size=LINE_LIMIT_BYTES,
        )

    async def start(self, ip: str, port: int) -> None:
        """Listen; the port must be free."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, port, backlog=BACKLOG)
        await site.start()

    async def close(self) -> None:
        """Stop listening and end what is left."""
        await self._runner.cleanup()


def abort(request: web.Request) -> None:
    """Close a caller's connection so that no end of body is seen."""
    if request.transport is not None:
        request.transport.abort()


def free_ports(count: int) -> list[int]:
    """Return ports of loopback that were free a moment ago.

    They lie below those that the system gives to outgoing connections,
    so that none of these takes one before its server starts, and none
    is returned twice.
    """
    found: list[int] = []
    for port in random.sample(PORT_RANGE, len(PORT_RANGE)):
        if port in _GIVEN_PORTS:
            continue
        with socket.socket() as tried:
            try:
                tried.bind(('127.0.0.1', port))
            except OSError:
                continue
        found.append(port)
        _GIVEN_PORTS.add(port)
        if len(found) == count:
            break
    return found
