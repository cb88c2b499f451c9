"""Make connections, and let none be harmed by a caller that leaves."""

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

# A peer without power says nothing, and a connection may fall silent while
# new ones work. Probes after a second of silence and one second later find
# that out within three; a peer that lives answers them whatever its
# program does. A second is the least that the system lets one state.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# What is not acknowledged for so long is lost: many times the 110 ms of a
# far round trip, and four resends of a packet in the system's doubling
# steps from 200 ms.
USER_TIMEOUT_MS = 3_000


class CancellationSafeConnector(aiohttp.TCPConnector):
    """Let nothing cancel a socket as it becomes a connection.

    Where that happens, uvloop (0.22.1) closes the socket's number and
    aiohttp (3.14.5) drops the socket, which closes the number again once it
    is collected: by then another connection may have it, and a caller is
    given another's answer.

    A socket that has connected is made a connection to its end; if nobody
    waits for it any more it is closed then.

    And let a request that may not leave any more have no connection.
    """

    async def connect(
        self, *arguments: typing.Any, **named: typing.Any
    ) -> connectors.Connection:
        found = await super().connect(*arguments, **named)
        may_send = _MAY_SEND.get()
        if may_send is not None and not may_send():
            found.release()
            raise errors.SendAbortedError('it may not leave any more')
        return found

    async def _wrap_create_connection(
        self,
        *arguments: typing.Any,
        timeout: aiohttp.ClientTimeout,
        **named: typing.Any,
    ) -> tuple[asyncio.Transport, client_proto.ResponseHandler]:
        opened: list[socket.socket] = []
        noted = _OPENED_SOCKETS.set(opened)
        making = asyncio.ensure_future(
            super()._wrap_create_connection(
                *arguments,
                timeout=aiohttp.ClientTimeout(total=None),
                **named,
            )
        )
        _OPENED_SOCKETS.reset(noted)
        try:
            async with asyncio.timeout(timeout.sock_connect):
                return await asyncio.shield(making)
        except (asyncio.CancelledError, TimeoutError):
            making.add_done_callback(_close_unused)
            if not any(_is_connected(one) for one in opened):
                making.cancel()
            raise


# Asked as a request is given its connection; a body asks once more.
_MAY_SEND: contextvars.ContextVar[
    collections.abc.Callable[[], bool] | None
] = contextvars.ContextVar('may_leave', default=None)
# The sockets that the connecting task has opened.
_OPENED_SOCKETS: contextvars.ContextVar[list[socket.socket]] = (
    contextvars.ContextVar('opened')
)


@contextlib.contextmanager
def guard_sends(
    may_send: collections.abc.Callable[[], bool] | None,
) -> collections.abc.Iterator[None]:
    """Have what is sent within the block leave only if it still may."""
    asked = _MAY_SEND.set(may_send)
    try:
        yield
    finally:
        _MAY_SEND.reset(asked)


def _is_connected(opened: socket.socket) -> bool:
    try:
        opened.getpeername()
    except OSError:
        return False
    return True


def _close_unused(made: asyncio.Future) -> None:
    """Close a connection that nobody waits for any more."""
    if made.cancelled() or made.exception() is not None:
        return
    transport, _protocol = made.result()
    transport.abort()


def create_keepalive_socket(address: tuple) -> socket.socket:
    """Return a socket that notices a peer that is no longer there."""
    family, kind, protocol, _name, _address = address
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    enable_keepalive(made)
    _OPENED_SOCKETS.get([]).append(made)
    return made


def enable_keepalive(opened: socket.socket) -> None:
    """Let the system find out when the other end is gone."""
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
