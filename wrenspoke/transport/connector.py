"""An aiohttp connector that is safe to cancel, and TCP keepalive."""

import asyncio
import collections.abc
import contextlib
import contextvars
import socket
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import connector as connectors

from wrenspoke.transport import errors

# TCP keepalive detects a dead peer or a black-holed connection within 3 s.
# The peer's kernel answers the probes even while its process is stalled. The
# socket options take whole seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Closes a connection whose sent data stays unacknowledged for this long;
# leaves time for several TCP retransmissions, whose timeout is 200 ms or
# more and doubles each time.
USER_TIMEOUT_MS = 3_000


class CancellationSafeConnector(aiohttp.TCPConnector):
    """Shields connection setup from the cancellation of its caller.

    If create_connection is cancelled, uvloop (0.22.1) closes the socket's
    file descriptor and aiohttp (3.14.5) drops the socket object, which
    closes the descriptor again when it is garbage collected. By then the
    descriptor may belong to another connection, and a caller could get the
    response to another request.

    Once a socket is connected, its setup runs to completion; the connection
    is closed afterwards if its caller was cancelled or timed out.

    Requests that are no longer permitted to be sent get no connection.
    """

    async def connect(
        self, *arguments: typing.Any, **named: typing.Any
    ) -> connectors.Connection:
        connection = await super().connect(*arguments, **named)
        may_send = _MAY_SEND.get()
        if may_send is not None and not may_send():
            connection.release()
            raise errors.SendAbortedError('send no longer permitted')
        return connection

    async def _wrap_create_connection(
        self,
        *arguments: typing.Any,
        timeout: aiohttp.ClientTimeout,
        **named: typing.Any,
    ) -> tuple[asyncio.Transport, client_proto.ResponseHandler]:
        opened: list[socket.socket] = []
        token = _OPENED_SOCKETS.set(opened)
        making = asyncio.ensure_future(
            super()._wrap_create_connection(
                *arguments,
                timeout=aiohttp.ClientTimeout(total=None),
                **named,
            )
        )
        _OPENED_SOCKETS.reset(token)
        try:
            async with asyncio.timeout(timeout.sock_connect):
                return await asyncio.shield(making)
        except (asyncio.CancelledError, TimeoutError):
            making.add_done_callback(_close_unused)
            if not any(_is_connected(one) for one in opened):
                making.cancel()
            raise


# Checked when a request gets its connection, and again before its body is
# sent.
_MAY_SEND: contextvars.ContextVar[
    collections.abc.Callable[[], bool] | None
] = contextvars.ContextVar('may_leave', default=None)
# Sockets opened by the current connect task.
_OPENED_SOCKETS: contextvars.ContextVar[list[socket.socket]] = (
    contextvars.ContextVar('opened')
)


@contextlib.contextmanager
def guard_sends(
    may_send: collections.abc.Callable[[], bool] | None,
) -> collections.abc.Iterator[None]:
    """Send requests within the block only while ``may_send`` returns true."""
    token = _MAY_SEND.set(may_send)
    try:
        yield
    finally:
        _MAY_SEND.reset(token)


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _close_unused(connect_task: asyncio.Future) -> None:
    """Close a connection that its caller stopped waiting for."""
    if connect_task.cancelled() or connect_task.exception() is not None:
        return
    transport, _protocol = connect_task.result()
    transport.abort()


def create_keepalive_socket(address: tuple) -> socket.socket:
    """Return a non-blocking socket with TCP keepalive enabled."""
    family, kind, protocol, _name, _address = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    _OPENED_SOCKETS.get([]).append(sock)
    return sock


def enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keepalive and a user timeout on a socket."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
