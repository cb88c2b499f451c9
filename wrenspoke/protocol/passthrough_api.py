"""HTTP API for requests that are passed through unaltered.

Callers and other entry hosts connect to different addresses. Requests that
an entry host forwards carry a hop with the routing decision of that host.
"""

import asyncio
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
from wrenspoke.protocol import call_memory
from wrenspoke.protocol import call_stages
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import errors
from wrenspoke.protocol import kept_answers
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
# Asks for the rest of an answer that a host keeps, instead of a hop. In a
# refusal it holds the token of that answer.
TAKE_UP_HEADER = 'Wrenspoke-Take-Up'
# Token of the answer that a response continues.
TAKEN_UP_HEADER = 'Wrenspoke-Taken-Up'
# Token of a call that has not begun, and never will.
RECALLED_HEADER = 'Wrenspoke-Recalled'
EXPECT = 'Expect'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
MS_PER_S = 1000
# For how long the body of a request that was refused unread is still taken
# from its connection, so that the caller gets to read the refusal.
DISCARD_MS = 1_000
# nginx's status for a client that disconnected; it is never sent.
CLIENT_CLOSED_STATUS = 499
GONE = 410
UNAVAILABLE = 503


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
    UNKNOWN_ANSWER = 'unknown_answer'
    OVERLOADED = 'overloaded'


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
        Refusal.OVERLOADED,
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
    receiver reports how long it held the request; it keeps the answer by
    ``token``.
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
    token: str | None = None


class PassthroughLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of requests."""

    body_bytes: int
    body_timeout_ms: int
    default_deadline_ms: int


class Reply:
    """Response to one request, sent at once or streamed.

    ``runs`` and ``build`` are reported to the host that forwarded the
    request, and with ``held_ms`` for how long it was held here.
    ``request_field`` is the header that names the request; a response that
    has none gets it.
    """

    def __init__(self, request: web_request.BaseRequest, close: bool):
        self._request = request
        self._close = close
        self.response: web_response.StreamResponse | None = None
        self.status = 0
        self._resets_on_close = False
        self.request_field: tuple[str, str] | None = None
        self.runs: int | None = None
        self.build: ids.BuildId | None = None
        self.held_ms: collections.abc.Callable[[], int] | None = None
        self.taken_up: str | None = None
        self.recalled: str | None = None
        self.request_id = ids.RequestId('')

    # Whether there is room for what only a repeat of the call would need.
    keeps_copies = True

    def hold_request(self, size_bytes: int) -> int | None:
        """Count bytes of the request; return Retry-After if it can't be read.

        0 stands for a request of which nothing was read yet.
        """
        return None

    def release_request(self) -> None:
        """Stop to count the request, which is kept no longer."""

    def hold_response(self, size_bytes: int) -> bool:
        """Count bytes of a response; return whether more may be kept."""
        return True

    def release_response(self) -> None:
        """Stop to count the bytes of a response that were held."""

    def hold_events(self, size_bytes: int) -> None:
        """Set the bytes of an incomplete event of the response."""

    async def finish(self) -> None:
        """Wait until the caller has taken what was sent.

        :raises CallerDisconnectedError: the caller has disconnected
        """

    async def close(self) -> None:
        """Release what is held, at the end of the call."""

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
        for name, value in self.host_fields():
            response.headers[name] = value
        if self.request_field is not None:
            response.headers.setdefault(*self.request_field)
        self.response = response
        self.status = status
        try:
            await response.prepare(self._request)
        except (ConnectionError, aiohttp.ClientError) as error:
            raise errors.CallerDisconnectedError(repr(error)) from error

    def host_fields(self) -> dialects.Fields:
        """Return the headers for the host that forwarded the request."""
        fields = []
        if self.taken_up is not None:
            fields.append((TAKEN_UP_HEADER, self.taken_up))
        if self.recalled is not None:
            fields.append((RECALLED_HEADER, self.recalled))
        if self.runs is not None:
            fields.append((RUNS_HEADER, str(self.runs)))
        if self.build is not None:
            fields.append((BUILD_HEADER, encode_build(self.build)))
        if self.held_ms is not None:
            fields.append((HELD_HEADER, str(self.held_ms())))
        return fields

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


class KeptReply(Reply):
    """Response that is kept, and sent by those who read the kept answer."""

    def __init__(self, answer: kept_answers.KeptAnswer):
        self._answer = answer
        self.response = None
        self.status = 0
        self.runs = None
        self.build = None
        self.held_ms = None
        self.taken_up = None
        self.recalled = None

    @property
    def started(self) -> bool:
        """Return whether the response head is there to be sent."""
        return self._answer.head is not None

    async def send_response(
        self, status: int, fields: dialects.Fields, body: bytes
    ) -> None:
        """Keep a complete response."""
        self._set_head(status, fields, is_whole=True)
        if body:
            await self._answer.append(body)
        self._answer.end()

    async def send_head(self, status: int, fields: dialects.Fields) -> None:
        """Keep the head of a response whose body is streamed."""
        self._set_head(status, fields, is_whole=False)

    def _set_head(
        self, status: int, fields: dialects.Fields, is_whole: bool
    ) -> None:
        self.status = status
        self._answer.set_head(
            kept_answers.AnswerHead(
                status, [*fields, *self.host_fields()], is_whole
            )
        )

    async def write(self, data: bytes) -> None:
        """Keep a chunk of the body."""
        await self._answer.append(data)

    async def end(self) -> None:
        """Mark the body as complete."""
        self._answer.end()

    def abort(self) -> None:
        """Mark the body as one that will never be complete."""
        self._answer.fail()


class TakeUpForwarder(typing.Protocol):
    """Passes requests for kept answers on to the hosts that keep them."""

    async def forward(
        self, take_up: kept_answers.TakeUp, reply: Reply
    ) -> bool:
        """Send the rest of an answer; return whether it is complete."""


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
        answers: kept_answers.AnswerStore | None = None,
        forwarder: TakeUpForwarder | None = None,
        make_reply: collections.abc.Callable[
            [web_request.BaseRequest, bool], Reply
        ] = Reply,
    ):
        self._answers = answers
        self._memory = call_memory.CallMemory(clock)
        self._forwarder = forwarder
        self._server = server
        self._make_reply = make_reply
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
        # What other hosts do not read at once is kept by their answers.
        make_reply = Reply if forwarded else self._make_reply
        reply = make_reply(request, self._server.leaving)
        try:
            return await self._answer(request, reply, forwarded)
        finally:
            await reply.close()

    async def _answer(
        self, request: web_request.BaseRequest, reply: Reply, forwarded: bool
    ) -> web_response.StreamResponse:
        reply.request_field = self._reader.request_field(request.headers)
        try:
            if forwarded and TAKE_UP_HEADER in request.headers:
                return await self._handle_take_up(request, reply)
            hop = self._parse_hop(request) if forwarded else None
            call = self._reader.read(
                request.method,
                request.raw_path,
                _without_hop(request.raw_headers),
                self._clock.mono_ms(),
            )
            reply.request_id = call.request
            call.body = await self._read_body(request, reply)
            read_ms = self._clock.mono_ms()
            call.stages.mark(call_stages.Stage.READ, read_ms)
            if hop is not None and hop.timed:
                reply.held_ms = lambda: self._clock.mono_ms() - read_ms
            await self._serve(call, reply, hop, request)
        except errors.BadRequestError as error:
            logger.info('request_malformed', problem=str(error))
            bad = Reply(request, close=True)
            bad.request_field = reply.request_field
            await bad.refuse(error.status, str(error))
            return bad.response
        except errors.NoRoomError as error:
            await self._refuse_unread(request, reply, error.retry_after_ms)
        except errors.CallerDisconnectedError:
            logger.info('caller_gone', path=request.raw_path)
        return reply.response or web_response.Response(
            status=CLIENT_CLOSED_STATUS
        )

    async def _serve(
        self,
        call: dialects.Call,
        reply: Reply,
        hop: Hop | None,
        request: web_request.BaseRequest,
    ) -> None:
        answer = None
        if hop is not None and hop.token and self._answers is not None:
            if not self._memory.admit(hop.token):
                logger.info('recalled_call_refused', request=call.request)
                await reply.refuse(UNAVAILABLE, Refusal.UNSENT)
                return
            answer = self._answers.open(hop.token)
        if answer is None:
            await self._server.serve(call, reply, hop)
            return
        kept = KeptReply(answer)
        kept.held_ms = reply.held_ms
        answer.production = asyncio.create_task(
            self._produce(call, kept, hop, answer)
        )
        await self._deliver(answer, reply, 0, request, abandon_ms=0)
        if answer.failed:
            await answer.production

    async def _produce(
        self,
        call: dialects.Call,
        kept: KeptReply,
        hop: Hop,
        answer: kept_answers.KeptAnswer,
    ) -> None:
        """Serve a call whose answer is kept."""
        try:
            await self._server.serve(call, kept, hop)
        finally:
            answer.fail()

    async def _deliver(
        self,
        answer: kept_answers.KeptAnswer,
        reply: Reply,
        offset: int,
        request: web_request.BaseRequest,
        abandon_ms: int,
    ) -> None:
        """Send a kept answer from an offset on, until another reader comes.

        :raises CallerDisconnectedError: the host that reads has disconnected
        """
        reader = answer.attach(offset)
        try:
            await answer.wait(
                lambda: (
                    answer.head is not None
                    or answer.failed
                    or not answer.is_attached(reader)
                )
            )
            if answer.head is None or not answer.is_attached(reader):
                transport.abort(request)
                return
            await _send_kept(answer, reply, reader)
        except (asyncio.CancelledError, errors.CallerDisconnectedError):
            answer.detach(reader, abandon_ms)
            raise

    async def _handle_take_up(
        self, request: web_request.BaseRequest, reply: Reply
    ) -> web_response.StreamResponse:
        """Send the rest of an answer that this or another host keeps."""
        text = request.headers[TAKE_UP_HEADER]
        try:
            take_up = msgspec.json.decode(text, type=kept_answers.TakeUp)
        except msgspec.DecodeError as error:
            raise errors.BadRequestError(TAKE_UP_HEADER, str(error)) from error
        answer = None
        if self._answers is not None:
            answer = self._answers.find(take_up.token)
        if answer is not None and answer.can_read_from(take_up.offset):
            logger.info(
                'answer_taken_up',
                token=take_up.token,
                offset=take_up.offset,
                size_bytes=answer.size_bytes,
                ended=answer.ended,
            )
            reply.taken_up = take_up.token
            await self._deliver(
                answer,
                reply,
                take_up.offset,
                request,
                kept_answers.ABANDON_MS,
            )
        elif self._forwarder is None or take_up.passed_on:
            self._recall(take_up, reply)
            await _refuse_take_up(take_up, reply)
        elif not await self._forwarder.forward(take_up, reply):
            if not reply.started:
                await _refuse_take_up(take_up, reply)
            else:
                transport.abort(request)
        return reply.response or web_response.Response(
            status=CLIENT_CLOSED_STATUS
        )

    def _recall(self, take_up: kept_answers.TakeUp, reply: Reply) -> None:
        """Tell whether a call has not begun here, and refuse it later."""
        age_ms = take_up.recall_age_ms
        if age_ms is None or self._answers is None:
            return
        if self._memory.recall(take_up.token, age_ms):
            logger.info('call_recalled', token=take_up.token, age_ms=age_ms)
            reply.recalled = take_up.token

    def _parse_hop(self, request: web_request.BaseRequest) -> Hop:
        text = request.headers.get(HOP_HEADER)
        if text is None:
            raise errors.BadRequestError(HOP_HEADER, 'required between hosts')
        try:
            return msgspec.json.decode(text, type=Hop)
        except msgspec.DecodeError as error:
            raise errors.BadRequestError(HOP_HEADER, str(error)) from error

    async def _refuse_unread(
        self,
        request: web_request.BaseRequest,
        reply: Reply,
        retry_after_ms: int,
    ) -> None:
        """Refuse a request of which at most a part was read; it did not run.

        The rest is taken and dropped, as a connection that closes with unread
        bytes is reset and the caller may never read the refusal.
        """
        logger.info(
            'request_refused_unread',
            request=reply.request_id,
            retry_after_ms=retry_after_ms,
        )
        reply.release_request()
        await reply.refuse(UNAVAILABLE, Refusal.OVERLOADED, retry_after_ms)
        try:
            async with clocks.timeout_ms(DISCARD_MS):
                async for _chunk in request.content.iter_any():
                    continue
        except (TimeoutError, aiohttp.ClientError, ConnectionError):
            return

    async def _read_body(
        self, request: web_request.BaseRequest, reply: Reply
    ) -> bytes:
        """Return the body of a request.

        :raises NoRoomError: the host holds too much to read it
        """
        retry_after_ms = reply.hold_request(0)
        if retry_after_ms is not None:
            raise errors.NoRoomError(retry_after_ms)
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
                    retry_after_ms = reply.hold_request(len(chunk))
                    if retry_after_ms is not None:
                        raise errors.NoRoomError(retry_after_ms)
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


async def _refuse_take_up(take_up: kept_answers.TakeUp, reply: Reply) -> None:
    """Refuse a request for an answer by the token of that answer."""
    reply.request_field = (TAKE_UP_HEADER, take_up.token)
    await reply.refuse(GONE, Refusal.UNKNOWN_ANSWER)


async def _send_kept(
    answer: kept_answers.KeptAnswer, reply: Reply, reader: object
) -> None:
    """Send a kept answer's head, and its body from the reader's offset on."""
    head = answer.head
    if head.is_whole:
        await answer.wait(lambda: answer.ended or answer.failed)
        body = await answer.next_chunk(reader) or b''
        if not answer.is_attached(reader) or answer.failed:
            reply.abort()
            return
        await reply.send_response(head.status, head.fields, body)
        answer.mark_sent(reader, len(body))
        return
    await reply.send_head(head.status, head.fields)
    while (chunk := await answer.next_chunk(reader)) is not None:
        await reply.write(chunk)
        answer.mark_sent(reader, len(chunk))
    if answer.is_complete(reader):
        await reply.end()
    else:
        reply.abort()


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
