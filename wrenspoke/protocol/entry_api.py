"""HTTP API of entry hosts for callers and other hosts."""

import collections.abc
import typing

import aiohttp
from aiohttp import web
import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import errors
from wrenspoke.protocol import fingerprints
from wrenspoke.protocol import headers
from wrenspoke.protocol import hops
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import replies
from wrenspoke.protocol import requests
from wrenspoke import settings

logger = structlog.get_logger(__name__)

CHAT_PATH = '/v1/chat/completions'
ATTEMPT_LIMIT = 1_000_000
EVENT_NUMBER_LIMIT = 10**9


class ChatBody(msgspec.Struct):
    """Fields of a chat request that wrenspoke reads."""

    messages: list[dict[str, typing.Any]]
    model: str | None = None
    stream: bool = False
    user: str | None = None


class Gateway(typing.Protocol):
    """Serves the requests that the API has parsed."""

    async def serve(
        self, head: requests.RequestHead, body: bytes, reply: replies.Reply
    ) -> None:
        """Serve one request and send its response."""

    def directory(self, region: str | None) -> dict[str, typing.Any]:
        """Return the entry hosts for callers of a region, nearest first."""

    def models(self) -> list[str]:
        """Return the available model versions."""

    def explain(self, request: str) -> list[dict[str, typing.Any]]:
        """Return the recorded decisions on one request."""

    def status(self) -> dict[str, typing.Any]:
        """Return the state of this host and its peers."""

    def service_of_model(self, model: str | None) -> str | None:
        """Return the engine service of a model, None if it has none."""


class EntryApi:
    """Parses HTTP requests for a gateway."""

    def __init__(
        self,
        gateway: Gateway,
        host: ids.HostId,
        limits: settings.EntrySettings,
        signer: hops.HopSigner,
        clock: clocks.Clock,
        skew_ms: int,
    ):
        self._gateway = gateway
        self._host = host
        self._limits = limits
        self._signer = signer
        self._clock = clock
        self._skew_ms = skew_ms

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(
            client_max_size=self._limits.body_limit_bytes
        )
        router = application.router
        router.add_post(CHAT_PATH, self._chat)
        router.add_get('/v1/models', self._models)
        router.add_route('*', '/services/{service}/{rest:.*}', self._plain)
        router.add_get('/directory', self._directory)
        router.add_get('/explain/{request}', self._explain)
        router.add_get('/status', self._status)
        return application

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, self._read_chat)

    async def _plain(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, self._read_plain)

    async def _models(self, _request: web.Request) -> web.Response:
        data = [
            {'id': model, 'object': 'model', 'owned_by': 'wrenspoke'}
            for model in self._gateway.models()
        ]
        return _json({'object': 'list', 'data': data})

    async def _directory(self, request: web.Request) -> web.Response:
        return _json(self._gateway.directory(request.query.get('region')))

    async def _explain(self, request: web.Request) -> web.Response:
        found = self._gateway.explain(request.match_info['request'])
        return _json({'decisions': found}, status=200 if found else 404)

    async def _status(self, _request: web.Request) -> web.Response:
        return _json(self._gateway.status())

    async def _serve(
        self,
        request: web.Request,
        read: collections.abc.Callable[
            [web.Request, bytes], requests.RequestHead
        ],
    ) -> web.StreamResponse:
        reply = replies.Reply(request, self._host)
        try:
            body = await self._read_body(request)
            head = read(request, body)
        except errors.BadRequestError as error:
            return _bad_request(request, error)
        except errors.InvalidHopError as error:
            logger.warning('hop_refused', reason=str(error))
            return _bad_request(
                request, errors.BadRequestError(headers.HOP, str(error), 403)
            )
        reply.request_id = head.request
        try:
            await self._gateway.serve(head, body, reply)
        except errors.CallerDisconnectedError:
            logger.info('caller_gone', request=head.request)
        return reply.response or web.Response(status=499)

    async def _read_body(self, request: web.Request) -> bytes:
        limit_bytes = self._limits.body_limit_bytes
        too_large = errors.BadRequestError(
            'body', f'at most {limit_bytes} bytes are allowed', 413
        )
        if (request.content_length or 0) > limit_bytes:
            raise too_large
        try:
            async with clocks.timeout_ms(self._limits.body_timeout_ms):
                return await request.read()
        except TimeoutError as error:
            raise errors.BadRequestError(
                'body',
                f'did not arrive within {self._limits.body_timeout_ms} ms',
                408,
            ) from error
        except web.HTTPRequestEntityTooLarge as error:
            raise too_large from error
        except (aiohttp.ClientError, ValueError) as error:
            raise errors.BadRequestError('body', repr(error)) from error

    def _read_chat(
        self, request: web.Request, body: bytes
    ) -> requests.RequestHead:
        try:
            chat = msgspec.json.decode(body, type=ChatBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise errors.BadRequestError('body', str(error)) from error
        if not chat.messages:
            raise errors.BadRequestError(
                'body.messages', 'at least one message is needed'
            )
        service = self._gateway.service_of_model(chat.model)
        if service is None:
            raise errors.BadRequestError(
                'body.model', f'found {chat.model!r}; no such model', 404
            )
        head = self._read_head(
            request, requests.RequestKind.CHAT, service, CHAT_PATH
        )
        return msgspec.structs.replace(
            head,
            model=chat.model,
            stream=chat.stream,
            session=head.session or chat.user,
            fingerprint=msgspec.structs.replace(
                head.fingerprint,
                parts=fingerprints.message_parts(chat.messages),
            ),
        )

    def _read_plain(
        self, request: web.Request, _body: bytes
    ) -> requests.RequestHead:
        service = request.match_info['service']
        prefix = f'/services/{service}'
        path = request.raw_path.removeprefix(prefix)
        return self._read_head(
            request, requests.RequestKind.PLAIN, service, path
        )

    def _read_head(
        self,
        request: web.Request,
        kind: requests.RequestKind,
        service: str,
        path: str,
    ) -> requests.RequestHead:
        _reject_repeated_headers(request)
        reader = requests.HeaderReader(request.headers)
        now_ms = self._clock.mono_ms()
        given = reader.token(headers.REQUEST)
        attempt = reader.number(headers.ATTEMPT, None, 1, ATTEMPT_LIMIT)
        left_ms = reader.number(
            headers.DEADLINE_MS,
            self._limits.default_deadline_ms,
            1,
            self._limits.deadline_limit_ms,
        )
        head = requests.RequestHead(
            request=ids.RequestId(given or ids.new_random_id()),
            kind=kind,
            method=request.method,
            path=path,
            service=ids.ServiceId(service),
            deadline_ms=now_ms + left_ms,
            attempt=attempt or 1,
            resend=bool(given) and attempt != 1,
            minted=not given,
            home=reader.token(headers.HOME) or None,
            bound=reader.flag(headers.BOUND),
            once=reader.flag(headers.ONCE),
            priority=reader.priority(),
            session=reader.token(headers.SESSION) or None,
            team=reader.token(headers.TEAM),
            key=reader.key(),
            last_event=reader.number(
                headers.LAST_EVENT_ID, None, 0, EVENT_NUMBER_LIMIT
            ),
            content_type=request.headers.get(
                'Content-Type', 'application/json'
            ),
        )
        return self._apply_hop(head, request, now_ms)

    def _apply_hop(
        self, head: requests.RequestHead, request: web.Request, now_ms: int
    ) -> requests.RequestHead:
        text = request.headers.get(headers.HOP)
        if text is None:
            return head
        hop = self._signer.verify(text, self._clock.wall_ms(), self._skew_ms)
        return msgspec.structs.replace(
            head,
            request=hop.request,
            minted=False,
            attempt=hop.attempt,
            resend=hop.resend,
            home=hop.home,
            bound=hop.bound,
            once=hop.once,
            priority=hop.priority,
            deadline_ms=now_ms + hop.left_ms,
            path_of_hosts=hop.path_of_hosts,
            fingerprint=fingerprints.Fingerprint(hop.digest),
        )


def _reject_repeated_headers(request: web.Request) -> None:
    for name in set(request.headers.keys()):
        is_own = name.lower().startswith(headers.PREFIX.lower())
        if is_own and len(request.headers.getall(name)) > 1:
            raise errors.BadRequestError(name, 'may be given once only')


def _json(body: typing.Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type='application/json',
    )


def _bad_request(
    request: web.Request, error: errors.BadRequestError
) -> web.Response:
    """Return the refusal of a malformed request."""
    ending = outcomes.Ending(
        outcomes.Outcome.NOT_RUN, outcomes.Reason.BAD_REQUEST, str(error)
    )
    return web.Response(
        body=replies.encode_ending(ending),
        status=error.status,
        headers={
            headers.OUTCOME: ending.outcome.value,
            headers.REASON: ending.reason.value,
            **_request_field(request),
        },
        content_type='application/json',
    )


def _request_field(request: web.Request) -> dict[str, str]:
    """Return the header that names a request, if it has a valid id."""
    try:
        named = requests.HeaderReader(request.headers).token(headers.REQUEST)
    except errors.BadRequestError:
        return {}
    return {headers.REQUEST: named} if named else {}
