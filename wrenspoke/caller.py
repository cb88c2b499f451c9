"""Client of entry hosts: host discovery, requests and failover."""

import collections.abc
import dataclasses
import functools

import aiohttp
import msgspec

from wrenspoke import clock as clocks
from wrenspoke import errors
from wrenspoke import ids
from wrenspoke.protocol import entry_api
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import numerals
from wrenspoke.protocol import replies
from wrenspoke.protocol import requests
from wrenspoke.protocol import sse
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import exchange as exchanges
from wrenspoke.transport import web

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_MS = 1_000
GET_TIMEOUT_MS = 5_000
# Bounds requests without a deadline; hosts accept none that is longer, unless
# their settings say so.
DEADLINE_LIMIT_MS = 600_000
# Time for a host's own response at the deadline to arrive.
DEADLINE_GRACE_MS = 1_000
OK = 200
UNAVAILABLE = 503
ONCE_KEY_SEPARATOR = ':'


class CallerError(errors.WrenspokeError):
    """No entry host answered."""


@dataclasses.dataclass
class Result:
    """The result of one request, over all of its attempts.

    ``outcome`` is ``lost`` if the connection failed before a response or
    before the end of a stream. ``first_ms`` is the time to the first piece
    of the response, None if there was none. ``hosts`` lists the URLs tried.
    """

    outcome: str
    status: int = 0
    reason: str = ''
    text: str = ''
    body: bytes = b''
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    first_ms: float | None = None
    events: int = 0
    hosts: list[str] = dataclasses.field(default_factory=list)


class Caller:
    """Client that sends requests to entry hosts and fails over between them.

    Hosts are tried in the order of ``urls``, all of them within the deadline
    of the request. A resend keeps the request id
    and increments the attempt number. The continuation of a broken stream
    gets a new id, and a refusal before the run is not counted as an attempt.
    """

    def __init__(
        self,
        urls: list[str],
        clock: clocks.Clock | None = None,
        client: web.HttpClient | None = None,
    ):
        self._urls = list(urls)
        self._clock = clock or clocks.Clock()
        self.client = client or web.HttpClient(CONNECT_TIMEOUT_MS)

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()

    async def get(self, path: str) -> dict:
        """Return the decoded JSON body of the first host that answers.

        :raises CallerError: no host answered
        """
        problems = []
        for url in self._urls:
            try:
                async with clocks.timeout_ms(GET_TIMEOUT_MS):
                    body = await self._read(url + path)
                return msgspec.json.decode(body)
            except TimeoutError:
                problems.append(f'{url}: no answer in {GET_TIMEOUT_MS} ms')
            except (
                transport_errors.TransportError,
                msgspec.DecodeError,
            ) as error:
                problems.append(f'{url}: {error}')
        raise CallerError('; '.join(problems))

    async def _read(self, url: str) -> bytes:
        # The response carries no request id to compare.
        async with self.client.send(
            'GET', url, {}, new_connection=True
        ) as found:
            return await web.read_declared_body(found, ANSWER_LIMIT_BYTES)

    async def refresh(self, region: str | None = None) -> list[str]:
        """Fetch the directory and use the hosts that it lists.

        Returns their URLs; an empty directory leaves the hosts unchanged.

        :raises CallerError: no host answered
        """
        query = f'?region={region}' if region else ''
        found = await self.get(f'/directory{query}')
        urls = [host['url'] for host in found['hosts']]
        self._urls = urls or self._urls
        return urls

    async def chat(
        self,
        body: dict,
        sent: collections.abc.Mapping[str, str] | None = None,
        on_text: collections.abc.Callable[[str], None] | None = None,
    ) -> Result:
        """Request a chat completion, with failover to other hosts.

        ``sent`` holds request headers. ``on_text`` is called with each piece
        of a streamed response. After a broken stream the next host continues
        from the text received so far.
        """
        return await self._send_with_failover(
            'POST', entry_api.CHAT_PATH, dict(sent or {}), body, on_text
        )

    async def call(
        self,
        method: str,
        service: str,
        path: str,
        sent: collections.abc.Mapping[str, str] | None = None,
        body: bytes = b'',
    ) -> Result:
        """Call a plain service, with failover to other hosts.

        ``sent`` holds request headers. Resends carry the same request id.
        """
        return await self._send_with_failover(
            method,
            f'/services/{service}{path}',
            dict(sent or {}),
            body,
            None,
        )

    async def _send_with_failover(
        self, method, path, sent, body, on_text
    ) -> Result:
        total = Result('lost')
        limit_ms = _deadline_ms(sent) + DEADLINE_GRACE_MS
        try:
            async with clocks.timeout_ms(limit_ms):
                await self._try_hosts(method, path, sent, body, total, on_text)
        except TimeoutError:
            total.outcome = 'lost'
            total.reason = f'no whole response in {limit_ms} ms'
        return total

    async def _try_hosts(
        self, method, path, sent, body, total, on_text
    ) -> None:
        """Send a request to one host after the other until one serves it."""
        sent.setdefault(headers.REQUEST, ids.new_random_id())
        attempt = int(sent.get(headers.ATTEMPT, '1'))
        for url in list(self._urls):
            sent[headers.ATTEMPT] = str(attempt)
            attempt += 1
            data = _continuation_body(body, total.text)
            if total.events:
                sent[headers.REQUEST] = ids.new_random_id()
            total.hosts.append(url)
            try:
                await self._send_attempt(
                    method, url + path, sent, data, total, on_text
                )
            except transport_errors.TransportError as error:
                total.outcome = 'lost'
                total.reason = repr(error)
                continue
            except protocol_errors.ProtocolError as error:
                total.outcome = 'lost'
                total.reason = repr(error)
                continue
            if total.outcome != 'not_run' or total.status != UNAVAILABLE:
                break
            # The host ran nothing, so the next request is not a resend. An
            # attempt of a once-only request needs a higher number even so.
            if ONCE_KEY_SEPARATOR not in sent[headers.REQUEST]:
                attempt -= 1

    async def _send_attempt(
        self,
        method: str,
        url: str,
        sent: dict[str, str],
        body: bytes,
        total: Result,
        on_text: collections.abc.Callable[[str], None] | None,
    ) -> None:
        started_ms = self._clock.mono_ms()
        async with self.client.send(
            method,
            url,
            sent,
            body,
            new_connection=True,
            is_own=functools.partial(
                exchanges.responds_to,
                header=headers.REQUEST,
                request_id=sent[headers.REQUEST],
            ),
        ) as found:
            total.status = found.status
            total.headers = dict(found.headers)
            kind = found.headers.get('Content-Type', '')
            if found.status == OK and kind.startswith(sse.CONTENT_TYPE):
                await self._read_stream(found, total, on_text, started_ms)
                return
            total.body = await web.read_declared_body(
                found, ANSWER_LIMIT_BYTES
            )
            if total.first_ms is None:
                total.first_ms = self._clock.mono_ms() - started_ms
            total.outcome = found.headers.get(headers.OUTCOME, 'lost')
            total.reason = found.headers.get(headers.REASON, '')
            if not total.events:
                total.text = _text(total.body)

    async def _read_stream(
        self,
        found: aiohttp.ClientResponse,
        total: Result,
        on_text: collections.abc.Callable[[str], None] | None,
        started_ms: int,
    ) -> None:
        async for event in sse.decode(web.read_chunks(found)):
            if event.event == replies.OUTCOME_EVENT:
                error = msgspec.json.decode(event.data)['error']
                total.outcome = error['outcome']
                total.reason = error['reason']
                return
            if event.data == sse.DONE:
                total.outcome = 'whole'
                return
            if total.first_ms is None:
                total.first_ms = self._clock.mono_ms() - started_ms
            chunk = msgspec.json.decode(event.data)
            text = chunk['choices'][0]['delta'].get('content') or ''
            total.events += 1
            total.text += text
            if len(total.text) > ANSWER_LIMIT_BYTES:
                raise transport_errors.MaybeSentError(
                    f'stream exceeds {ANSWER_LIMIT_BYTES} characters'
                )
            if on_text is not None:
                on_text(text)
        raise transport_errors.MaybeSentError('stream ended early')


def _deadline_ms(sent: collections.abc.Mapping[str, str]) -> int:
    """Return the deadline that request headers state, or the limit."""
    found_ms = numerals.parse_whole(sent.get(headers.DEADLINE_MS, ''))
    return DEADLINE_LIMIT_MS if found_ms is None else found_ms


def _continuation_body(body: dict | bytes, text: str) -> bytes:
    if isinstance(body, bytes):
        return body
    if not text:
        return msgspec.json.encode(body)
    said = {'role': 'assistant', 'content': text}
    return msgspec.json.encode(
        {
            **body,
            'messages': [*body['messages'], said],
            'continue_final_message': True,
            'add_generation_prompt': False,
        }
    )


def _text(body: bytes) -> str:
    try:
        answer = msgspec.json.decode(body)
        return answer['choices'][0]['message']['content']
    except (msgspec.DecodeError, KeyError, IndexError, TypeError):
        return ''


def once_id(region: str, clock: clocks.Clock) -> str:
    """Return a new request id that marks a request as once-only."""
    return str(requests.new_once_key(region, clock.wall_ms()))
