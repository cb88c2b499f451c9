"""Pass a request on to another region, once."""

import asyncio
import collections.abc
import contextlib
import dataclasses

import aiohttp
import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import members
from wrenspoke.coordination.membership import reach
from wrenspoke.coordination.serving import decisions
from wrenspoke.coordination.serving import streams
from wrenspoke import ids
from wrenspoke.protocol import headers
from wrenspoke.protocol import hops
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import replies
from wrenspoke.protocol import requests
from wrenspoke.protocol import surface
from wrenspoke import settings
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

# Of a region; beyond these it counts as cut off.
HOSTS_TRIED = 3
# Part of the time that is left, so that a second try has as much.
FIRST_TRY_SHARE = 0.5
EVENT_STREAM = 'text/event-stream'


@dataclasses.dataclass
class _Pass:
    """Hold how far passing a request on has come."""

    head: requests.RequestHead
    body: bytes
    region: ids.RegionId
    reply: replies.Reply
    transcript: streams.Transcript
    sent: bool = False
    bound: asyncio.Timeout | None = None

    def lost(self) -> None:
        """Give up at once on a host that can't be reached any more."""
        self.bound.reschedule(asyncio.get_running_loop().time())

    def flowing(self, left_ms: float) -> None:
        """Let a stream that has begun take all the time there is."""
        loop = asyncio.get_running_loop()
        self.bound.reschedule(loop.time() + left_ms / 1000)


class Forwarder:
    """Send requests to entry hosts of other regions.

    The host there owns the retries. A failure that it reports is passed
    up as it is. A host that fails without a word, so that nobody owned
    the failure, is left for the next one of its region.
    """

    def __init__(
        self,
        host: ids.HostId,
        deployment: settings.Deployment,
        watched: members.Members,
        reached: reach.Reach,
        client: web.HttpClient,
        signer: hops.HopSigner,
        noted: decisions.Decisions,
        clock: clocks.Clock,
    ):
        self._host = host
        self._settings = deployment.entry
        self._entries = {
            entry.host: entry for entry in deployment.with_role('entry')
        }
        self._members = watched
        self._reach = reached
        self._client = client
        self._signer = signer
        self._decisions = noted
        self._clock = clock

    async def forward(
        self,
        head: requests.RequestHead,
        body: bytes,
        region: ids.RegionId,
        reply: replies.Reply,
    ) -> None:
        """Answer a request through a host of ``region``.

        :raises EndedError: no host there gave an answer
        """
        transcript = streams.Transcript(body, head.last_event or 0)
        passing = _Pass(head, body, region, reply, transcript)
        hosts = await self._reach.reachable(
            self._members.entries_of(region)[:HOSTS_TRIED]
        )
        for number, host in enumerate(hosts):
            last = number + 1 == len(hosts)
            if self._left_ms(head) <= 0:
                break
            if await self._try(passing, host, last):
                return
        raise self._gave_up(passing)

    def _left_ms(self, head: requests.RequestHead) -> int:
        return head.deadline_ms - self._clock.mono_ms()

    async def _try(self, passing: _Pass, host: ids.HostId, last: bool) -> bool:
        """Return whether the request has been answered through a host."""
        self._decisions.note(
            'forwarded',
            passing.head.request,
            peer=host,
            region=passing.region,
        )
        left_ms = self._left_ms(passing.head)
        try_ms = left_ms if last else left_ms * FIRST_TRY_SHARE
        try:
            async with clocks.timeout_ms(try_ms) as bound:
                passing.bound = bound
                with self._reach.watching(host, passing.lost):
                    await self._pass_on(passing, host)
            return True
        except transport_errors.NotSentError as error:
            cause = str(error)
        except (
            transport_errors.MaybeSentError,
            errors.MaybeSentError,
            TimeoutError,
        ) as error:
            passing.sent = True
            cause = repr(error)
        except streams.EndingEventError as error:
            raise errors.RequestEndedError(_ending_of(error.data)) from error
        self._members.failed(host)
        self._decisions.note(
            'forward_failed', passing.head.request, peer=host, error=cause
        )
        return False

    async def _pass_on(self, passing: _Pass, host: ids.HostId) -> None:
        entry = self._entries[host]
        url = f'http://{_bracketed(str(entry.ip))}:{entry.http_port}'
        async with self._client.send(
            passing.head.method,
            url + _path(passing.head),
            self._headers(passing),
            passing.transcript.continued_body()
            if passing.head.stream
            else passing.body,
            fresh=passing.head.once,
        ) as response:
            kind = response.headers.get('Content-Type', '')
            if response.status == 200 and kind.startswith(EVENT_STREAM):
                await self._relay(passing, response)
                return
            body = await web.read_whole(
                response, self._settings.answer_limit_bytes
            )
            await self._answer(passing, response, body)

    async def _relay(
        self, passing: _Pass, response: aiohttp.ClientResponse
    ) -> None:
        reply = passing.reply
        if not reply.started:
            await reply.open(response.headers)
        chunks = _chunks(response)
        async with contextlib.aclosing(chunks):
            await streams.relay(
                chunks,
                passing.transcript,
                reply,
                self._settings.stall_timeout_ms,
                self._left_ms(passing.head),
                lambda: passing.flowing(self._left_ms(passing.head)),
            )
        await reply.close()

    async def _answer(
        self,
        passing: _Pass,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        """Pass on an answer, or the end that the other host reports."""
        if passing.reply.started:
            raise errors.RequestEndedError(_ending_of(body.decode()))
        text = response.headers.get(headers.OUTCOME)
        if text is None:
            raise errors.MaybeSentError('answer has no outcome')
        outcome = outcomes.Outcome(text)
        if self._retries_again(passing, outcome):
            raise errors.MaybeSentError(f'the other host told {text}')
        await passing.reply.whole(
            response.status, response.headers, body, outcome
        )

    def _retries_again(
        self, passing: _Pass, outcome: outcomes.Outcome
    ) -> bool:
        """Tell whether a failure that has an owner is retried here too."""
        if self._settings.retry_owner == 'nearest' or passing.head.once:
            return False
        return outcome in (outcomes.Outcome.FAILED, outcomes.Outcome.UNKNOWN)

    def _headers(self, passing: _Pass) -> dict[str, str]:
        head = passing.head
        if passing.sent:
            # The host that failed may have run it. As a resend, a
            # once-only request is not run again and gets the kept
            # answer, and none is told as not run.
            head = msgspec.structs.replace(head, resend=True)
        sent = {
            headers.HOP: self._signer.sign(
                head,
                self._host,
                self._clock.wall_ms(),
                self._left_ms(head),
            ),
            'Content-Type': head.content_type,
        }
        if head.session is not None:
            sent[headers.SESSION] = head.session
        if head.team:
            sent[headers.TEAM] = head.team
        if head.last_event is not None:
            sent[headers.LAST_EVENT_ID] = str(head.last_event)
        return sent

    def _gave_up(self, passing: _Pass) -> errors.RequestEndedError:
        reason = outcomes.Reason.REGION_UNREACHABLE
        if passing.head.bound:
            reason = outcomes.Reason.HOME_UNREACHABLE
        outcome = outcomes.Outcome.NOT_RUN
        if passing.sent:
            outcome = outcomes.Outcome.UNKNOWN
        return errors.RequestEndedError(
            outcomes.Ending(
                outcome,
                reason,
                f'no host of {passing.region} gave an answer',
                self._settings.retry_after_ms,
            )
        )


def _path(head: requests.RequestHead) -> str:
    if head.kind is requests.RequestKind.CHAT:
        return surface.CHAT_PATH
    return f'/services/{head.service}{head.path}'


def _bracketed(ip: str) -> str:
    return f'[{ip}]' if ':' in ip else ip


async def _chunks(
    response: aiohttp.ClientResponse,
) -> collections.abc.AsyncIterator[bytes]:
    try:
        async for chunk in web.read_chunks(response):
            yield chunk
    except transport_errors.MaybeSentError as error:
        raise errors.MaybeSentError(str(error)) from error


def _ending_of(data: str) -> outcomes.Ending:
    found = streams.caller_error(data)
    try:
        return outcomes.Ending(
            outcomes.Outcome(found['outcome']),
            outcomes.Reason(found['reason']),
            str(found['message']),
            int(found['retry_after_ms']),
            retry_owned=True,
        )
    except (KeyError, ValueError):
        return outcomes.Ending(
            outcomes.Outcome.UNKNOWN, outcomes.Reason.STREAM_BROKEN, data
        )
