"""A fake inference engine with batching, a prefix cache and load reports.

Its response is a function of the prompt, so that a test can check that a
response is complete and belongs to its request. Processing times are
simulated by sleeping, and load reports lag behind.
"""

import asyncio
import collections
import collections.abc
import time

from aiohttp import web
import msgspec
import structlog
import xxhash

from wrenspoke.protocol import headers
from wrenspoke.protocol import sse
from wrenspoke.standin import faults
from wrenspoke.transport import web as transport_web

logger = structlog.get_logger(__name__)

MAX_STREAMS = 2_048
MAX_ARRIVALS = 4_096
RESUME_GRACE_S = 2.0
DEFAULT_TOKENS = 16


class EngineProfile(msgspec.Struct):
    """Processing times, capacity and cache size of a fake engine."""

    slots: int = 8
    cold_first_ms: float = 60.0
    warm_first_ms: float = 15.0
    token_ms: float = 2.0
    crowding: float = 0.5
    cached_sessions: int = 64
    report_lag_ms: int = 500
    queue_limit: int = 256
    fenced: bool = True
    load_model_ms: float = 100.0


class _Stream:
    """One response while it is generated, and for resumption afterwards."""

    def __init__(self, name: str, model: str, words: list[str], first: int):
        self.name = name
        self.model = model
        self.words = words
        self.start_index = first
        self.generated_count = first
        self.cancelled = False
        self.progress = asyncio.Condition()
        self.disconnected_at: float | None = None

    @property
    def finished(self) -> bool:
        return self.generated_count >= len(self.words)


def answer_words(messages: list[dict], count: int) -> list[str]:
    """Return the ``count`` words that every fake engine generates."""
    text = msgspec.json.encode(messages)
    seed = xxhash.xxh32_hexdigest(text)
    return [f'{seed}-{number} ' for number in range(count)]


def _unavailable(name: str, retry_after: str) -> web.Response:
    """Return a 503 response with a ``Retry-After``."""
    return web.Response(
        status=503,
        headers={
            headers.ECHOED_REQUEST_ID: name,
            headers.RETRY_AFTER: retry_after,
        },
    )


class Engine:
    """A fake inference engine and its HTTP API."""

    def __init__(self, name: str, profile: EngineProfile, models: list[str]):
        self.name = name
        self.profile = profile
        self.faults = faults.Faults()
        self.models = list(models)
        self.adapters: list[str] = []
        self.role = 'mixed'
        self.fence = 0
        self.orders: list[dict] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.tokens = 0
        self.cancels = 0
        # Called with a restart delay in ms to simulate a crash.
        self.on_crash: collections.abc.Callable[[int], None] | None = None
        self.crashes = 0
        self._arrivals_s: collections.deque[float] = collections.deque(
            maxlen=MAX_ARRIVALS
        )
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(profile.slots)
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._streams: collections.OrderedDict[str, _Stream] = (
            collections.OrderedDict()
        )
        self._reports: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=4096)
        )
        self._tasks: set[asyncio.Task] = set()

    def application(self) -> web.Application:
        """Return an aiohttp application that serves this engine."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        application.on_response_prepare.append(self._advertise)
        router = application.router
        router.add_post('/v1/chat/completions', self._chat)
        router.add_get('/v1/streams/{request}', self._resume)
        router.add_delete('/v1/streams/{request}', self._cancel)
        router.add_get('/load', self._load)
        router.add_get('/state', self._state)
        router.add_post('/orders', self._handle_order)
        router.add_get('/runs', self._runs)
        router.add_post('/faults', self._set_faults)
        return application

    async def _advertise(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.faults.limit_text:
            response.headers[headers.LIMIT] = self.faults.limit_text
        if self.faults.leaving_text:
            response.headers[headers.LEAVING] = self.faults.leaving_text

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        self._arrivals_s.append(time.monotonic())
        body = msgspec.json.decode(raw)
        name = request.headers.get(headers.ECHOED_REQUEST_ID, '')
        if self.faults.status:
            return self._plain_status(request)
        if self.faults.retry_after_text:
            return _unavailable(name, self.faults.retry_after_text)
        if self._waiting >= self.profile.queue_limit:
            return _unavailable(name, '1')
        stream = self._create_stream(request, body, name)
        self._crash_if_fatal(raw)
        session = request.headers.get(headers.SESSION) or body.get('user')
        task = asyncio.get_running_loop().create_task(
            self._generate(stream, session)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if body.get('stream'):
            return await self._send_stream(request, stream, stream.start_index)
        return await self._send_whole(request, stream, task)

    def _crash_if_fatal(self, raw: bytes) -> None:
        fatal = self.faults.fatal_text
        if not fatal or fatal.encode() not in raw or self.on_crash is None:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.fatal_after_ms / 1000, self._crash)

    def _crash(self) -> None:
        self.crashes += 1
        self.on_crash(self.faults.back_after_ms)

    def _plain_status(self, request: web.Request) -> web.Response:
        return web.Response(
            status=self.faults.status,
            headers={
                headers.ECHOED_REQUEST_ID: self._echoed_request_id(request)
            },
            text='fault',
        )

    def _create_stream(
        self, request: web.Request, body: dict, name: str
    ) -> _Stream:
        messages = body['messages']
        start_index = 0
        if body.get('continue_final_message'):
            start_index = len(messages[-1]['content'].split())
            messages = messages[:-1]
        count = body.get('max_tokens') or DEFAULT_TOKENS
        words = answer_words(messages, count)
        stream = _Stream(name, body.get('model') or '', words, start_index)
        request_id = request.headers.get(headers.REQUEST, name)
        self.runs[request_id] += 1
        self._streams[request_id] = stream
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
        return stream

    async def _generate(self, stream: _Stream, session: str | None) -> None:
        self._waiting += 1
        self._record_load()
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self._record_load()
            try:
                await self._generate_words(stream, session)
            finally:
                self._running -= 1
                self._record_load()

    async def _generate_words(
        self, stream: _Stream, session: str | None
    ) -> None:
        crowd = 1 + self.profile.crowding * self._running / self.profile.slots
        crowd *= self.faults.slow_factor
        first_ms = self._first_token_ms(session)
        await asyncio.sleep(first_ms * crowd / 1000)
        while not stream.finished and not self._is_abandoned(stream):
            stream.generated_count += 1
            self.tokens += 1
            async with stream.progress:
                stream.progress.notify_all()
            await asyncio.sleep(self.profile.token_ms * crowd / 1000)

    def _is_abandoned(self, stream: _Stream) -> bool:
        if stream.cancelled:
            return True
        if stream.disconnected_at is None:
            return False
        return time.monotonic() - stream.disconnected_at > RESUME_GRACE_S

    def _first_token_ms(self, session: str | None) -> float:
        if session is None:
            return self.profile.cold_first_ms
        warm = session in self._cache
        self._cache[session] = None
        self._cache.move_to_end(session)
        if len(self._cache) > self.profile.cached_sessions:
            self._cache.popitem(last=False)
        return (
            self.profile.warm_first_ms if warm else self.profile.cold_first_ms
        )

    async def _send_stream(
        self, request: web.Request, stream: _Stream, after: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                headers.ECHOED_REQUEST_ID: self._echoed_request_id(request),
                'Content-Type': 'text/event-stream',
            }
        )
        await response.prepare(request)
        sent = after
        try:
            while sent < len(stream.words):
                async with stream.progress:
                    await stream.progress.wait_for(
                        lambda: (
                            stream.generated_count > sent or stream.cancelled
                        )
                    )
                if stream.cancelled:
                    transport_web.abort(request)
                    return response
                sent += 1
                await response.write(self._chunk(stream, sent))
                if self._should_break(sent - after):
                    stream.disconnected_at = time.monotonic()
                    if self.faults.end_early:
                        await response.write_eof()
                    else:
                        transport_web.abort(request)
                    return response
            await response.write(sse.encode(sse.SseEvent(data=sse.DONE)))
            await response.write_eof()
        except (ConnectionError, asyncio.CancelledError):
            stream.disconnected_at = time.monotonic()
            raise
        return response

    def _should_break(self, sent: int) -> bool:
        broken = self.faults
        if not broken.break_times or sent != broken.break_after_events:
            return False
        broken.break_times -= 1
        return True

    def _chunk(self, stream: _Stream, number: int) -> bytes:
        word = stream.words[number - 1]
        chunk = {
            'id': stream.name,
            'object': 'chat.completion.chunk',
            'model': stream.model,
            'choices': [{'index': 0, 'delta': {'content': word}}],
        }
        data = msgspec.json.encode(chunk).decode()
        return sse.encode(sse.SseEvent(data=data, number=number))

    async def _send_whole(
        self, request: web.Request, stream: _Stream, task: asyncio.Task
    ) -> web.Response:
        await asyncio.shield(task)
        text = ''.join(stream.words[stream.start_index :])
        answer = {
            'id': stream.name,
            'object': 'chat.completion',
            'model': stream.model,
            'choices': [
                {
                    'index': 0,
                    'message': {'role': 'assistant', 'content': text},
                    'finish_reason': 'stop',
                }
            ],
            'usage': {'completion_tokens': len(stream.words)},
        }
        body = msgspec.json.encode(answer)
        if self.faults.truncate:
            return await send_truncated(
                request, body, self._echoed_request_id(request)
            )
        return web.Response(
            body=body,
            content_type='application/json',
            headers={
                headers.ECHOED_REQUEST_ID: self._echoed_request_id(request)
            },
        )

    def _echoed_request_id(self, request: web.Request) -> str:
        if self.faults.crossed:
            return 'another/request'
        return request.headers.get(headers.ECHOED_REQUEST_ID, '')

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        self._arrivals_s.append(time.monotonic())
        stream = self._streams.get(request.match_info['request'])
        if stream is None or self._is_abandoned(stream):
            return web.Response(
                status=404,
                headers={
                    headers.ECHOED_REQUEST_ID: self._echoed_request_id(request)
                },
            )
        stream.disconnected_at = None
        after = int(request.headers.get(headers.LAST_EVENT_ID, '0'))
        return await self._send_stream(request, stream, after)

    async def _cancel(self, request: web.Request) -> web.Response:
        stream = self._streams.get(request.match_info['request'])
        if stream is not None:
            stream.cancelled = True
            self.cancels += 1
            async with stream.progress:
                stream.progress.notify_all()
        return web.Response(
            status=204,
            headers={
                headers.ECHOED_REQUEST_ID: self._echoed_request_id(request)
            },
        )

    def _record_load(self) -> None:
        self._reports.append((time.monotonic(), self._running, self._waiting))

    async def _load(self, request: web.Request) -> web.Response:
        lag_s = self.profile.report_lag_ms / 1000
        seen = time.monotonic() - lag_s
        running = waiting = 0
        while len(self._reports) > 1 and self._reports[1][0] <= seen:
            self._reports.popleft()
        if self._reports and self._reports[0][0] <= seen:
            _at, running, waiting = self._reports[0]
        return self._json(
            request,
            {
                'running': running,
                'waiting': waiting,
                'age_ms': self.profile.report_lag_ms,
            },
        )

    async def _state(self, request: web.Request) -> web.Response:
        return self._json(
            request,
            {
                'models': self.models,
                'adapters': self.adapters,
                'role': self.role,
                'fence': self.fence,
                'running': self._running,
                'waiting': self._waiting,
            },
        )

    async def _handle_order(self, request: web.Request) -> web.Response:
        number = int(request.headers.get(headers.FENCING_NUMBER, '0'))
        order = msgspec.json.decode(await request.read())
        if self.profile.fenced and number < self.fence:
            return self._json(
                request, {'refused': 'old number', 'fence': self.fence}, 409
            )
        self.fence = max(self.fence, number)
        self.orders.append({'number': number, **order})
        if order.get('kind') == 'load':
            await asyncio.sleep(self.profile.load_model_ms / 1000)
        self._apply_order(order)
        return self._json(request, {'done': True, 'fence': self.fence})

    def _apply_order(self, order: dict) -> None:
        kind = order['kind']
        if kind == 'role':
            self.role = order['role']
            return
        names = self.adapters if 'adapter' in order else self.models
        name = order.get('adapter') or order['model']
        if kind == 'load' and name not in names:
            names.append(name)
        if kind == 'retire' and name in names:
            names.remove(name)

    async def _runs(self, request: web.Request) -> web.Response:
        return self._json(
            request,
            {
                'runs': self.runs,
                'orders': self.orders,
                'tokens': self.tokens,
                'cancels': self.cancels,
                'ends': self.crashes,
                'arrivals_s': list(self._arrivals_s),
            },
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(
            await request.read(), type=faults.Faults
        )
        return self._json(request, {})

    def _json(
        self, request: web.Request, body: dict, status: int = 200
    ) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(body),
            status=status,
            content_type='application/json',
            headers={
                headers.ECHOED_REQUEST_ID: self._echoed_request_id(request)
            },
        )


async def send_truncated(
    request: web.Request, body: bytes, echo: str
) -> web.StreamResponse:
    """Send half of a body under its full Content-Length, then abort."""
    response = web.StreamResponse(
        headers={
            headers.ECHOED_REQUEST_ID: echo,
            'Content-Length': str(len(body)),
        }
    )
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    transport_web.abort(request)
    return response
