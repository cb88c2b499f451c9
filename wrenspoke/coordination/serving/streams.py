"""Serve streamed chats across failures of engines.

The text sent to the caller is buffered until the stream ends. If an engine
fails, the stream is resumed at the same engine or else continued at another
one from the text so far. The caller receives one stream with consecutive
event numbers.
"""

import asyncio
import collections.abc
import contextlib
import typing

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.serving import dispatch
from wrenspoke.coordination.serving import local_server
from wrenspoke.coordination.serving import placement
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import replies
from wrenspoke.protocol import requests
from wrenspoke.protocol import sse
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

OK = 200
STREAM_PATH = '/v1/streams/'
CANCEL_TIMEOUT_MS = 2_000
# Until a permit is asked for again that expired before the send.
MIN_PERMIT_WAIT_MS = 10


class Transcript:
    """Text and last event number of a stream as sent to the caller.

    A stream whose text exceeds ``limit_bytes`` is ended.
    """

    def __init__(self, body: bytes, last_event: int, limit_bytes: int):
        self._body = body
        self._limit_bytes = limit_bytes
        self._parts: list[str] = []
        self._text_bytes = 0
        self.last_event = last_event
        self.finished = False

    def add_event(self, event: sse.SseEvent) -> sse.SseEvent:
        """Record an event and return it renumbered for the caller.

        :raises RequestEndedError: the text is too long
        """
        if event.data == sse.DONE:
            self.finished = True
            return sse.SseEvent(data=event.data)
        self.last_event += 1
        text = _delta_text(event.data)
        if text:
            self._parts.append(text)
            self._text_bytes += len(text.encode())
        if self._text_bytes > self._limit_bytes:
            raise errors.RequestEndedError(
                outcomes.Ending(
                    outcomes.Outcome.UNKNOWN,
                    outcomes.Reason.STREAM_BROKEN,
                    f'text of the stream exceeds {self._limit_bytes} bytes',
                    retry_owned=True,
                )
            )
        return sse.SseEvent(data=event.data, number=self.last_event)

    def continuation_body(self) -> bytes:
        """Return the JSON request for the rest of the stream."""
        text = ''.join(self._parts)
        if not text:
            return self._body
        body = msgspec.json.decode(self._body)
        messages = list(body['messages'])
        if body.get('continue_final_message'):
            last = dict(messages[-1])
            last['content'] = f'{last["content"]}{text}'
            messages[-1] = last
        else:
            messages.append({'role': 'assistant', 'content': text})
        body['messages'] = messages
        body['continue_final_message'] = True
        body['add_generation_prompt'] = False
        return msgspec.json.encode(body)


def _delta_text(data: str) -> str:
    try:
        chunk = msgspec.json.decode(data)
        return chunk['choices'][0]['delta'].get('content') or ''
    except (msgspec.DecodeError, KeyError, IndexError, TypeError):
        return ''


class OutcomeEventError(errors.CoordinationError):
    """Raised when another host ends its stream with an outcome event."""

    def __init__(self, data: str):
        super().__init__(data)
        self.data = data


async def relay_events(
    chunks: collections.abc.AsyncIterator[bytes],
    transcript: Transcript,
    reply: replies.Reply,
    stall_ms: float,
    first_ms: float,
    on_event: collections.abc.Callable[[], None],
) -> None:
    """Forward events to the caller until the stream is finished.

    ``first_ms`` is the timeout of the first event, ``stall_ms`` that of each
    later one. ``on_event`` is called before each event is forwarded.

    :raises MaybeSentError: the stream ended early or timed out
    :raises OutcomeEventError: the other host sent an outcome event
    :raises RequestEndedError: the text of the stream is too long
    """
    events = sse.decode(chunks)
    event_timeout_ms = first_ms
    async with contextlib.aclosing(events):
        while not transcript.finished:
            try:
                async with clocks.timeout_ms(event_timeout_ms):
                    event = await anext(events, None)
            except TimeoutError as error:
                raise errors.MaybeSentError(
                    f'no stream event within {event_timeout_ms} ms'
                ) from error
            except protocol_errors.MalformedMessageError as error:
                raise errors.MaybeSentError(str(error)) from error
            if event is None:
                raise errors.MaybeSentError('stream ended early')
            if event.event == replies.OUTCOME_EVENT:
                raise OutcomeEventError(event.data)
            on_event()
            event_timeout_ms = stall_ms
            await reply.send_event(transcript.add_event(event))


class StreamServer:
    """Serves streamed chats from the engines of this region."""

    def __init__(self, server: local_server.LocalServer):
        self._server = server
        self._cancel_tasks = runtime.Tasks()

    async def close(self) -> None:
        """Abort pending cancellation requests."""
        await self._cancel_tasks.close()

    async def serve(
        self,
        head: requests.RequestHead,
        body: bytes,
        reply: replies.Reply,
    ) -> ids.EndpointId:
        """Stream a response and return the endpoint that finished it.

        :raises RequestEndedError: the stream could not be finished
        """
        retry_state = self._server.new_retry_state(head)
        transcript = Transcript(
            body,
            head.last_event or 0,
            self._server.settings.answer_limit_bytes,
        )
        if head.last_event is not None:
            return await self._resume_for_caller(
                head, transcript, reply, retry_state
            )
        while True:
            retry_state.check_deadline()
            slot = await self._server.acquire_slot(head, retry_state)
            try:
                await self._stream_once(
                    head, transcript, reply, slot, retry_state
                )
                return slot.endpoint.endpoint
            except local_server.SEND_ERRORS as error:
                await retry_state.handle_failure(slot.endpoint.endpoint, error)
            finally:
                slot.release()

    async def _stream_once(
        self,
        head: requests.RequestHead,
        transcript: Transcript,
        reply: replies.Reply,
        slot: placement.Slot,
        retry_state: local_server.RetryState,
    ) -> None:
        send = dispatch.Send(
            retry_state.purpose,
            slot.endpoint.endpoint,
            'POST',
            head.path,
            transcript.continuation_body(),
            head,
            slot,
        )
        if transcript.last_event:
            send.extra_headers[headers.LAST_EVENT_ID] = str(
                transcript.last_event
            )
        try:
            await self._relay_from(send, transcript, reply, retry_state)
        except errors.MaybeSentError as error:
            retry_state.may_have_run = True
            if not transcript.last_event or not reply.started:
                raise
            self._record_broken(head, slot, transcript, error)
            await self._resume(head, slot, transcript, reply, retry_state)

    def _record_broken(
        self,
        head: requests.RequestHead,
        slot: placement.Slot,
        transcript: Transcript,
        error: errors.MaybeSentError,
    ) -> None:
        self._server.decisions.record(
            'stream_broken',
            head.request,
            endpoint=slot.endpoint.endpoint,
            last_event=transcript.last_event,
            error=error,
        )

    async def _resume(
        self,
        head: requests.RequestHead,
        slot: placement.Slot,
        transcript: Transcript,
        reply: replies.Reply,
        retry_state: local_server.RetryState,
    ) -> None:
        send = dispatch.Send(
            dispatch.Purpose.RESUME,
            slot.endpoint.endpoint,
            'GET',
            STREAM_PATH + head.request,
            None,
            head,
            slot,
            extra_headers={headers.LAST_EVENT_ID: str(transcript.last_event)},
        )
        await self._relay_from(send, transcript, reply, retry_state)
        self._server.decisions.record(
            'stream_resumed',
            head.request,
            endpoint=slot.endpoint.endpoint,
        )

    async def _relay_from(
        self,
        send: dispatch.Send,
        transcript: Transcript,
        reply: replies.Reply,
        retry_state: local_server.RetryState,
    ) -> None:
        clock = self._server.clock
        started_ms = clock.mono_ms()
        first_event_ms: list[int] = []

        def record_first_event() -> None:
            if not first_event_ms:
                first_event_ms.append(clock.mono_ms() - started_ms)
                self._server.loads.observe_first_token(
                    send.endpoint, first_event_ms[0]
                )

        stall_ms = self._server.settings.stall_timeout_ms
        first_ms = self._server.loads.first_event_timeout_ms(
            send.endpoint, stall_ms
        )
        left_ms = send.head.deadline_ms - started_ms
        try:
            async with clocks.timeout_ms(left_ms):
                async with self._open_stream(send, reply, first_ms) as answer:
                    await relay_events(
                        answer.chunks(),
                        transcript,
                        reply,
                        stall_ms,
                        first_ms,
                        record_first_event,
                    )
        except TimeoutError as error:
            retry_state.may_have_run = True
            self._start_cancel(send)
            raise retry_state.ended_error(
                outcomes.Reason.DEADLINE, 'deadline exceeded'
            ) from error
        except errors.OverloadedError:
            send.slot.release(overloaded=True)
            raise
        except errors.NoDescriptorError:
            raise
        except errors.NotSentError:
            self._server.loads.record_connect_failure(send.endpoint)
            raise
        except (
            asyncio.CancelledError,
            protocol_errors.CallerDisconnectedError,
            errors.RequestEndedError,
        ):
            self._start_cancel(send)
            raise
        taken_ms = clock.mono_ms() - started_ms
        self._server.loads.observe_occupancy(send.endpoint, taken_ms)
        self._server.scheduler.sessions.record_use(
            send.head.session, send.endpoint
        )
        send.slot.release(succeeded=True)
        await reply.finish_stream()

    @contextlib.asynccontextmanager
    async def _open_stream(
        self, send: dispatch.Send, reply: replies.Reply, stall_ms: float
    ) -> collections.abc.AsyncIterator[dispatch.EndpointResponse]:
        async with contextlib.AsyncExitStack() as stack:
            try:
                async with clocks.timeout_ms(stall_ms):
                    answer = await stack.enter_async_context(
                        self._server.dispatcher.send(send)
                    )
            except TimeoutError as error:
                raise errors.MaybeSentError(
                    f'no response from {send.endpoint} within {stall_ms} ms'
                ) from error
            if answer.status != OK:
                raise errors.MaybeSentError(
                    f'endpoint answered {answer.status}'
                )
            if not reply.started:
                response_headers = {
                    **answer.headers,
                    headers.ENDPOINT: send.endpoint,
                }
                await reply.start_stream(response_headers)
            yield answer

    async def _resume_for_caller(
        self,
        head: requests.RequestHead,
        transcript: Transcript,
        reply: replies.Reply,
        retry_state: local_server.RetryState,
    ) -> ids.EndpointId:
        """Resume a stream from the event that the caller received last.

        :raises RequestEndedError: no engine has the stream any more
        """
        for endpoint in sorted(
            self._server.scheduler.eligible_endpoints(head)
        ):
            slot = self._server.scheduler.acquire_slot_at(endpoint)
            if slot is None:
                continue
            try:
                await self._resume_when_admitted(
                    head, slot, transcript, reply, retry_state
                )
                return slot.endpoint.endpoint
            except (errors.SendRefusedError, errors.NotSentError):
                continue
            except (errors.OverloadedError, errors.MaybeSentError):
                if reply.started:
                    break
            finally:
                slot.release()
        retry_state.may_have_run = True
        raise retry_state.ended_error(
            outcomes.Reason.STREAM_BROKEN,
            'no engine has this stream any more; send a new request',
        )

    async def _resume_when_admitted(
        self,
        head: requests.RequestHead,
        slot: placement.Slot,
        transcript: Transcript,
        reply: replies.Reply,
        retry_state: local_server.RetryState,
    ) -> None:
        """Resume at an endpoint, waiting while its limit allows no send.

        Only this endpoint may have the stream, so trying others is no option.
        """
        while True:
            retry_state.check_deadline()
            try:
                await self._resume(head, slot, transcript, reply, retry_state)
                return
            except errors.EndpointBusyError as error:
                now_ms = self._server.clock.mono_ms()
                wait_ms = max(error.wait_ms, MIN_PERMIT_WAIT_MS)
                if now_ms + wait_ms >= head.deadline_ms:
                    raise
                await self._server.clock.sleep_ms(wait_ms)

    def _start_cancel(self, send: dispatch.Send) -> None:
        """Cancel the stream at its engine in the background."""
        self._cancel_tasks.start(self._send_cancel(send), fatal=False)

    async def _send_cancel(self, send: dispatch.Send) -> None:
        cancel = dispatch.Send(
            dispatch.Purpose.CANCEL,
            send.endpoint,
            'DELETE',
            STREAM_PATH + send.head.request,
        )
        try:
            async with clocks.timeout_ms(CANCEL_TIMEOUT_MS):
                async with self._server.dispatcher.send(cancel):
                    pass
        except (errors.CoordinationError, TimeoutError) as error:
            logger.info(
                'cancel_failed', endpoint=send.endpoint, error=repr(error)
            )


def parse_outcome_error(data: str) -> dict[str, typing.Any]:
    """Return the error object of an outcome event, empty if malformed."""
    try:
        return msgspec.json.decode(data)['error']
    except (msgspec.DecodeError, KeyError, TypeError):
        return {}
