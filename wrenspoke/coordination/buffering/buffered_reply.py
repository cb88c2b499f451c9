"""Response to a caller who may read slowly.

What the caller's socket takes at once is written directly. The rest is held in
the host's account, up to a bound a call, and written by a task of the call, so
that the endpoint is read on and its place is free as soon as it has answered.
"""

import asyncio
import collections
import collections.abc
import functools

from aiohttp import web_request
import structlog

from wrenspoke.coordination.buffering import byte_account
from wrenspoke.coordination.buffering import stall_watch
from wrenspoke.coordination.serving import retry_schedule
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import passthrough_api
from wrenspoke.transport import web as transport

logger = structlog.get_logger(__name__)

# Bytes that a connection may hold beyond its socket.
WRITE_BUFFER_BYTES = 16 * 1024
Side = byte_account.Side
Write = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class CallerBuffers:
    """Makes the replies of one host, which share its account."""

    def __init__(
        self,
        account: byte_account.ByteAccount,
        stalls: stall_watch.StallWatch,
        call_limit_bytes: int,
    ):
        self.account = account
        self.stalls = stalls
        self.call_limit_bytes = call_limit_bytes
        self.refused_count = 0
        self.stalled_count = 0

    def make_reply(
        self, request: web_request.BaseRequest, close: bool
    ) -> 'BufferedReply':
        """Return the reply to a new request."""
        return BufferedReply(request, close, self)


class BufferedReply(passthrough_api.Reply):
    """Reply that holds what its caller has not read yet."""

    def __init__(
        self,
        request: web_request.BaseRequest,
        close: bool,
        buffers: CallerBuffers,
    ):
        super().__init__(request, close)
        self._buffers = buffers
        self.held = buffers.account.open()
        self._pieces: collections.deque[bytes] = collections.deque()
        self._writer: asyncio.Task | None = None
        self._ends = False
        self._aborts = False
        self._failure: protocol_errors.CallerDisconnectedError | None = None
        # Set when the caller or the account has made room.
        self._room = asyncio.Event()
        self._written_bytes = 0
        self._event_bytes = 0
        transport.bound_write_buffer(request, WRITE_BUFFER_BYTES)

    @property
    def started(self) -> bool:
        """Return whether the response head has been sent, or soon will be."""
        return self.response is not None or self._writer is not None

    @property
    def progress_bytes(self) -> int:
        """Return how many bytes the caller's socket has taken so far."""
        return self._written_bytes - transport.unsent_bytes(self._request)

    def hold_request(self, size_bytes: int) -> int | None:
        """Count bytes of the request; return Retry-After if it can't be read.

        New requests are refused earlier than those that are half read.
        """
        self.held.add(Side.REQUEST, size_bytes)
        account = self._buffers.account
        level = byte_account.Pressure.REFUSE_NEW
        if size_bytes:
            level = byte_account.Pressure.FULL
        if account.pressure < level:
            return None
        self._buffers.refused_count += 1
        return retry_schedule.jittered_ms(account.retry_after_ms())

    def hold_response(self, size_bytes: int) -> bool:
        """Count bytes of a response; return whether more may be kept."""
        self.held.add(Side.RESPONSE, size_bytes)
        return not self._buffers.account.is_full

    def release_response(self) -> None:
        """Stop to count the bytes of a response that were held."""
        self.held.set_held(Side.RESPONSE, 0)

    def hold_events(self, size_bytes: int) -> None:
        """Set the bytes of an incomplete event of the response."""
        if size_bytes != self._event_bytes:
            self._event_bytes = size_bytes
            self.held.set_held(Side.RESUMPTION, size_bytes)

    def release_request(self) -> None:
        """Stop to count the request, which is kept no longer."""
        self.held.set_held(Side.REQUEST, 0)

    @property
    def keeps_copies(self) -> bool:
        """Return whether there is room for what only a repeat would need."""
        return not self._buffers.account.drops_copies

    async def send_response(
        self, status: int, fields: dialects.Fields, body: bytes
    ) -> None:
        """Send a complete response; a large one by the call's own task."""
        self.held.set_held(Side.RESPONSE, len(body))
        if len(body) <= WRITE_BUFFER_BYTES or self._writer is not None:
            await super().send_response(status, fields, body)
            return
        self._start_writer(
            functools.partial(self._write_whole, status, fields, body)
        )

    def write(self, data: bytes) -> collections.abc.Awaitable[None]:
        """Send a chunk of the body, or hold it until the caller reads.

        Waits while the call or the host holds too much.

        :raises CallerDisconnectedError: the caller has disconnected
        """
        if self._writer is None and self._failure is None:
            unsent_bytes = transport.unsent_bytes(self._request)
            if unsent_bytes + len(data) <= WRITE_BUFFER_BYTES:
                self._written_bytes += len(data)
                return super().write(data)
        return self._hold(data)

    async def _hold(self, data: bytes) -> None:
        """Hold a chunk of the body, which the call's task writes."""
        await self._wait_for_room()
        if self._failure is not None:
            raise self._failure
        self.held.add(Side.RESPONSE, len(data))
        self._pieces.append(data)
        if self._writer is None:
            self._start_writer(self._write_pieces)

    async def _wait_for_room(self) -> None:
        """Wait until the call may hold another piece.

        A call that holds none may hold one, however full the account is.
        """
        account = self._buffers.account
        while self._pieces and self._failure is None:
            limit_bytes = self._buffers.call_limit_bytes
            if (
                self.held.held(Side.RESPONSE) < limit_bytes
                and not account.is_full
            ):
                return
            self._room.clear()
            account.notify_of_room(self._room)
            try:
                await self._room.wait()
            finally:
                account.forget_event(self._room)

    async def end(self) -> None:
        """Send the end of the body, once what is held was written."""
        if self._failure is not None:
            raise self._failure
        if self._writer is None:
            await super().end()
            return
        self._ends = True

    def abort(self) -> None:
        """Cut the response, once the caller has taken what is held."""
        if self._writer is None:
            super().abort()
            return
        self._aborts = True

    async def finish(self) -> None:
        """Wait until the caller has taken what is held.

        :raises CallerDisconnectedError: the caller has disconnected
        """
        if self._writer is not None:
            await asyncio.shield(self._writer)
        if self._failure is not None:
            raise self._failure

    async def close(self) -> None:
        """Release what is held, at the end of the call."""
        if self._writer is not None:
            self._writer.cancel()
            await asyncio.wait([self._writer])
        self._pieces.clear()
        self.held.close()

    def _start_writer(self, write: Write) -> None:
        self.held.set_held(Side.QUEUE, WRITE_BUFFER_BYTES)
        self._writer = asyncio.create_task(self._run_writer(write))

    async def _run_writer(self, write: Write) -> None:
        """Write to the caller while its progress is watched."""
        self._buffers.stalls.add(self)
        try:
            await write()
        except protocol_errors.CallerDisconnectedError as error:
            self._failure = error
            self._pieces.clear()
            self.held.set_held(Side.RESPONSE, 0)
        finally:
            self._buffers.stalls.discard(self)
            self.held.set_held(Side.QUEUE, 0)
            self._writer = None
            self._room.set()

    async def _write_whole(
        self, status: int, fields: dialects.Fields, body: bytes
    ) -> None:
        self._written_bytes += len(body)
        await super().send_response(status, fields, body)
        self.held.set_held(Side.RESPONSE, 0)

    async def _write_pieces(self) -> None:
        """Write the held pieces, in parts that the connection may hold."""
        while self._pieces:
            piece = memoryview(self._pieces[0])
            for start in range(0, len(piece), WRITE_BUFFER_BYTES):
                part = piece[start : start + WRITE_BUFFER_BYTES]
                self._written_bytes += len(part)
                await super().write(part)
                await self._drain()
            del self._pieces[0]
            self.held.add(Side.RESPONSE, -len(piece))
            self._room.set()
        if self._aborts:
            super().abort()
        elif self._ends:
            await super().end()

    async def _drain(self) -> None:
        try:
            await transport.drain(self._request)
        except ConnectionError as error:
            raise protocol_errors.CallerDisconnectedError(
                repr(error)
            ) from error

    def let_go(self, stalled_ms: int) -> None:
        """Abort the connection of a caller that has stopped to read."""
        self._buffers.stalled_count += 1
        logger.warning(
            'caller_stalled',
            request=self.request_id,
            stalled_ms=stalled_ms,
            taken_bytes=self.progress_bytes,
            held_bytes=self.held.held(Side.RESPONSE),
        )
        self._failure = protocol_errors.CallerDisconnectedError(
            f'caller of {self.request_id} read nothing for {stalled_ms} ms'
        )
        super().abort()
