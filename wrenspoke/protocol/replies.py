"""Responses to callers: complete, streamed, or the outcome of a failure."""

import collections.abc

from aiohttp import web
import msgspec

from wrenspoke import ids
from wrenspoke.protocol import errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import sse
from wrenspoke.transport import web as transport_web

OUTCOME_EVENT = 'outcome'
MS_PER_S = 1000

# Headers of an endpoint's response that apply to its connection only, or that
# the host sets itself.
HOP_BY_HOP = frozenset(
    [
        'connection',
        'content-encoding',
        'content-length',
        'date',
        'keep-alive',
        'proxy-authenticate',
        'server',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
    ]
)


class Reply:
    """Sends the response to one request."""

    def __init__(self, request: web.Request, host: ids.HostId):
        self._request = request
        self._host = host
        self._stream: web.StreamResponse | None = None
        self.response: web.StreamResponse | None = None
        self.request_id = ids.RequestId('')
        self.sent_events = 0

    @property
    def started(self) -> bool:
        """Return whether a stream has been started."""
        return self._stream is not None

    async def send_response(
        self,
        status: int,
        found: collections.abc.Mapping[str, str],
        body: bytes,
        outcome: outcomes.Outcome = outcomes.Outcome.WHOLE,
    ) -> None:
        """Send a complete response."""
        self.response = web.Response(
            status=status,
            headers=self._headers(found, outcome),
            body=body,
        )
        await self._send_response()

    async def send_ending(self, ending: outcomes.Ending) -> None:
        """Send the outcome of a request, as the last event of a stream."""
        if self.started:
            await self._abort_stream(ending)
            return
        extra = {headers.REASON: ending.reason.value}
        if ending.retry_after_ms:
            extra[headers.RETRY_AFTER] = format_retry_after(
                ending.retry_after_ms
            )
        if ending.retry_owned:
            extra[headers.RETRY_OWNED] = 'true'
        self.response = web.Response(
            status=outcomes.http_status(ending),
            headers=self._headers(extra, ending.outcome),
            body=encode_ending(ending),
            content_type='application/json',
        )
        await self._send_response()

    async def start_stream(
        self, found: collections.abc.Mapping[str, str]
    ) -> None:
        """Send the head of a stream of events."""
        stream_headers = self._headers(found, None)
        stream_headers['Content-Type'] = sse.CONTENT_TYPE
        stream_headers['Cache-Control'] = 'no-store'
        self._stream = web.StreamResponse(status=200, headers=stream_headers)
        await self._await_write(self._stream.prepare(self._request))

    async def send_event(self, event: sse.SseEvent) -> None:
        """Send one event of the stream."""
        self.sent_events += 1
        await self._await_write(self._stream.write(sse.encode(event)))

    async def send_chunk(self, chunk: bytes) -> None:
        """Send bytes of a stream that another host has encoded."""
        await self._await_write(self._stream.write(chunk))

    async def finish_stream(self) -> None:
        """Finish a stream after its last event."""
        await self._await_write(self._stream.write_eof())
        self.response = self._stream

    async def _abort_stream(self, ending: outcomes.Ending) -> None:
        last = sse.SseEvent(
            event=OUTCOME_EVENT, data=encode_ending(ending).decode()
        )
        await self._await_write(self._stream.write(sse.encode(last)))
        self.response = self._stream
        transport_web.abort(self._request)

    async def _send_response(self) -> None:
        await self._await_write(self.response.prepare(self._request))
        await self._await_write(self.response.write_eof())

    async def _await_write(self, awaitable: collections.abc.Awaitable) -> None:
        try:
            await awaitable
        except (ConnectionError, RuntimeError) as error:
            raise errors.CallerDisconnectedError(repr(error)) from error

    def _headers(
        self,
        found: collections.abc.Mapping[str, str],
        outcome: outcomes.Outcome | None,
    ) -> dict[str, str]:
        sent_headers = {
            name: value
            for name, value in found.items()
            if name.lower() not in HOP_BY_HOP
        }
        sent_headers[headers.REQUEST] = self.request_id
        sent_headers.setdefault(headers.HOST, self._host)
        if outcome is not None:
            sent_headers[headers.OUTCOME] = outcome.value
        return sent_headers


def format_retry_after(delay_ms: int) -> str:
    """Return a ``Retry-After`` value: whole seconds, rounded up, from 1."""
    return str(max(1, -(-delay_ms // MS_PER_S)))


def encode_ending(ending: outcomes.Ending) -> bytes:
    """Return the JSON body for an ending."""
    return msgspec.json.encode(
        {
            'error': {
                'outcome': ending.outcome.value,
                'reason': ending.reason.value,
                'message': ending.detail or ending.reason.value,
                'retry_after_ms': ending.retry_after_ms,
            }
        }
    )
