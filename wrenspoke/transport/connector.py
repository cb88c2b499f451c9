"""An aiohttp connector that is safe to cancel, and TCP keepalive."""

import asyncio
import collections.abc
import contextlib
import contextvars
import errno
import fcntl
import socket
import struct
import termios
import time
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import client_reqrep
from aiohttp import connector as connectors
import yarl

from wrenspoke.transport import descriptors
from wrenspoke.transport import errors
from wrenspoke.transport import exchange

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
# An idle connection whose peer has acknowledged nothing for this long is dead:
# a probe was sent after ``KEEPALIVE_IDLE_S``, and a round trip has passed.
SILENCE_LIMIT_MS = KEEPALIVE_IDLE_S * 1000 + 500
DESCRIPTOR_ERRORS = frozenset([errno.EMFILE, errno.ENFILE])
# The field tcpi_last_ack_recv of struct tcp_info, in ms.
_LAST_ACK = struct.Struct('56xI')
# The int that FIONREAD fills, if there is nothing to read.
_NOTHING_UNREAD = bytes(struct.calcsize('i'))


class CancellationSafeConnector(aiohttp.TCPConnector):
    """Shields connection setup from the cancellation of its caller.

    If create_connection is cancelled, uvloop (0.22.1) closes the socket's
    file descriptor and aiohttp (3.14.5) drops the socket object, which
    closes the descriptor again when it is garbage collected. By then the
    descriptor may belong to another connection, and a caller could get the
    response to another request.

    Once a socket is connected, its setup runs to completion; the connection
    is closed afterwards if its caller was cancelled or timed out.

    Requests that are no longer permitted to be sent get no connection, and
    none gets an idle connection whose peer no longer acknowledges probes or
    has sent bytes meanwhile, which belong to no request.
    """

    def __init__(
        self,
        budget: descriptors.DescriptorBudget | None = None,
        **named: typing.Any,
    ):
        super().__init__(**named)
        self._budget = budget
        # Called with each address that a connection is taken for, and
        # whether an idle one was found.
        self.on_take: collections.abc.Callable[[str, bool], None] | None = None
        self._targets: dict[str, aiohttp.ClientRequest] = {}

    async def connect(
        self, *arguments: typing.Any, **named: typing.Any
    ) -> connectors.Connection:
        connection = await super().connect(*arguments, **named)
        may_send = _MAY_SEND.get()
        if may_send is not None and not may_send():
            connection.release()
            raise errors.SendAbortedError('send no longer permitted')
        return connection

    async def _get(
        self, key: client_reqrep.ConnectionKey, traces: list
    ) -> connectors.Connection | None:
        self._close_unusable(key)
        connection = await super()._get(key, traces)
        if self.on_take is not None:
            self.on_take(f'{key.host}:{key.port}', connection is not None)
        return connection

    def _release(
        self,
        key: client_reqrep.ConnectionKey,
        protocol: exchange.ExchangeHandler,
        *,
        should_close: bool = False,
    ) -> None:
        protocol.end_exchange()
        if not should_close and not protocol.should_close:
            should_close = protocol.has_surplus()
        super()._release(key, protocol, should_close=should_close)

    def _close_unusable(self, key: client_reqrep.ConnectionKey) -> None:
        """Close the connections that are next, up to the first usable one."""
        idle = self._conns.get(key)
        if idle is None:
            return
        oldest_s = time.monotonic() - self._keepalive_timeout
        while idle:
            protocol, used_s = idle[0]
            if used_s >= oldest_s and _is_usable(protocol, _REQUEST_ID.get()):
                return
            idle.popleft()
            protocol.close()
        del self._conns[key]

    @property
    def connection_count(self) -> int:
        """Return the number of open connections, idle ones included."""
        return len(self._acquired) + sum(map(len, self._conns.values()))

    def count_idle(self, address: str, max_idle_ms: float) -> int:
        """Return how many connections are idle for no longer than a time."""
        key = self._target(address).connection_key
        self._close_unusable(key)
        since_s = time.monotonic() - max_idle_ms / 1000
        return sum(
            protocol.is_connected() and used_s >= since_s
            for protocol, used_s in self._conns.get(key, ())
        )

    async def open_idle(
        self, address: str, timeout: aiohttp.ClientTimeout
    ) -> None:
        """Open a connection and leave it idle."""
        target = self._target(address)
        protocol = await self._create_connection(target, [], timeout)
        if self._closed:
            protocol.close()
            return
        self._release(target.connection_key, protocol)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        target = self._targets.pop(address, None)
        if target is None:
            return
        for protocol, _used_s in self._conns.pop(target.connection_key, ()):
            protocol.close()

    def _target(self, address: str) -> aiohttp.ClientRequest:
        """Return a request that is never sent, for its connection key."""
        target = self._targets.get(address)
        if target is None:
            target = self._targets[address] = aiohttp.ClientRequest(
                'GET', yarl.URL(f'http://{address}/'), loop=self._loop
            )
        return target

    async def _create_connection(
        self, *arguments: typing.Any, **named: typing.Any
    ) -> client_proto.ResponseHandler:
        """Return a new connection.

        :raises NoDescriptorError: this process has no descriptor for it
        """
        if self._budget is not None and not self._budget.may_open():
            raise errors.NoDescriptorError(
                f'no connection is left of {self._budget.counts()}'
            )
        try:
            return await super()._create_connection(*arguments, **named)
        except OSError as error:
            if error.errno not in DESCRIPTOR_ERRORS:
                raise
            raise errors.NoDescriptorError(str(error)) from error

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
# The id of the request that a connection is taken for, if it has one.
_REQUEST_ID: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    'request_id', default=None
)
# Sockets opened by the current connect task.
_OPENED_SOCKETS: contextvars.ContextVar[list[socket.socket]] = (
    contextvars.ContextVar('opened')
)


@contextlib.contextmanager
def guard_sends(
    may_send: collections.abc.Callable[[], bool] | None,
    request_id: str | None = None,
) -> collections.abc.Iterator[None]:
    """Send requests within the block only while ``may_send`` returns true.

    No connection is used that has refused a request with ``request_id``.
    """
    send_token = _MAY_SEND.set(may_send)
    id_token = _REQUEST_ID.set(request_id)
    try:
        yield
    finally:
        _REQUEST_ID.reset(id_token)
        _MAY_SEND.reset(send_token)


def _is_usable(
    protocol: exchange.ExchangeHandler, request_id: str | None
) -> bool:
    """Return whether a request may be sent on an idle connection."""
    if not protocol.is_connected() or request_id in protocol.refused_ids:
        return False
    sock = protocol.transport.get_extra_info('socket')
    return not _is_silent(sock) and not _has_unread_bytes(sock)


def _has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether bytes arrived that the event loop has not read."""
    try:
        found = fcntl.ioctl(sock.fileno(), termios.FIONREAD, _NOTHING_UNREAD)
    except OSError:
        return True
    return found != _NOTHING_UNREAD


def _is_silent(sock: socket.socket) -> bool:
    """Return whether a connection's peer acknowledges no probes."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_ACK.size
        )
    except OSError:
        return True
    if len(info) < _LAST_ACK.size:
        return False
    (silence_ms,) = _LAST_ACK.unpack(info)
    return silence_ms > SILENCE_LIMIT_MS


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


def create_keepalive_socket(
    address: tuple, receive_buffer_bytes: int | None = None
) -> socket.socket:
    """Return a non-blocking socket with TCP keepalive enabled.

    ``receive_buffer_bytes`` bounds what the kernel holds before it is read.
    """
    family, kind, protocol, _name, _address = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    if receive_buffer_bytes is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
    _OPENED_SOCKETS.get([]).append(sock)
    return sock


def enable_keepalive(
    sock: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Enable TCP keepalive and a user timeout on a socket.

    Linux also ends a connection whose peer has had no room for that long.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)
