"""Forward requests to entry hosts of other regions, over one hop."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools

import aiohttp
import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import host_pinger
from wrenspoke.coordination.membership import members
from wrenspoke.coordination.serving import decisions
from wrenspoke.coordination.serving import streams
from wrenspoke import ids
from wrenspoke.protocol import entry_api
from wrenspoke.protocol import headers
from wrenspoke.protocol import hops
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import replies
from wrenspoke.protocol import requests
from wrenspoke.protocol import sse
from wrenspoke import settings
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import exchange as exchanges
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

# After this many failed hosts a region counts as unreachable.
MAX_HOSTS_TRIED = 3
# Part of the remaining time for a try, so that a later one has as much.
FIRST_TRY_SHARE = 0.5


@dataclasses.dataclass
class _ForwardState:
    """State of forwarding one request."""

    head: requests.RequestHead
    body: bytes
    region: ids.RegionId
    reply: replies.Reply
    transcript: streams.Transcript
    maybe_sent: bool = False
    timeout: asyncio.Timeout | None = None

    def abort(self) -> None:
        """Time the try out immediately, as its host became unreachable."""
        self.timeout.reschedule(asyncio.get_running_loop().time())

    def extend_timeout(self, left_ms: float) -> None:
        """Extend the timeout of a stream that has begun to the deadline."""
        loop = asyncio.get_running_loop()
        self.timeout.reschedule(loop.time() + left_ms / 1000)


class Forwarder:
    """Forwards requests to entry hosts of other regions.

    The remote host owns the retries, so a failure that it reports is final.
    If it fails without a response, the next host of its region is tried.
    """

    def __init__(
        self,
        host: ids.HostId,
        deployment: settings.Deployment,
        host_members: members.Members,
        pinger: host_pinger.HostPinger,
        client: web.HttpClient,
        signer: hops.HopSigner,
        decision_log: decisions.DecisionLog,
        clock: clocks.Clock,
    ):
        self._host = host
        self._settings = deployment.entry
        self._entries = {
            entry.host: entry for entry in deployment.with_role('entry')
        }
        self._members = host_members
        self._reach = pinger
        self._client = client
        self._signer = signer
        self._decisions = decision_log
        self._clock = clock

    async def forward(
        self,
        head: requests.RequestHead,
        body: bytes,
        region: ids.RegionId,
        reply: replies.Reply,
    ) -> None:
        """Serve a request through an entry host of ``region``.

        :raises RequestEndedError: no host of the region responded
        """
        transcript = streams.Transcript(
            body, head.last_event or 0, self._settings.answer_limit_bytes
        )
        forward_state = _ForwardState(head, body, region, reply, transcript)
        hosts = await self._reach.reachable(
            self._members.entry_hosts_in(region)[:MAX_HOSTS_TRIED]
        )
        for number, host in enumerate(hosts):
            last = number + 1 == len(hosts)
            if self._left_ms(head) <= 0:
                break
            if await self._try_host(forward_state, host, last):
                return
        raise self._unanswered_error(forward_state)

    def _left_ms(self, head: requests.RequestHead) -> int:
        return head.deadline_ms - self._clock.mono_ms()

    async def _try_host(
        self, forward_state: _ForwardState, host: ids.HostId, last: bool
    ) -> bool:
        """Return whether a host served the request.

        :raises RequestEndedError: the host reported how it ended
        """
        self._decisions.record(
            'forwarded',
            forward_state.head.request,
            peer=host,
            region=forward_state.region,
        )
        left_ms = self._left_ms(forward_state.head)
        try_ms = left_ms if last else left_ms * FIRST_TRY_SHARE
        try:
            async with clocks.timeout_ms(try_ms) as timeout:
                forward_state.timeout = timeout
                with self._reach.watch_host(host, forward_state.abort):
                    await self._send_to(forward_state, host)
            return True
        except transport_errors.NotSentError as error:
            cause = str(error)
        except (
            transport_errors.MaybeSentError,
            errors.MaybeSentError,
            TimeoutError,
        ) as error:
            forward_state.maybe_sent = True
            cause = repr(error)
        except streams.OutcomeEventError as error:
            raise errors.RequestEndedError(
                _parse_ending(error.data)
            ) from error
        self._members.record_request_failure(host)
        self._decisions.record(
            'forward_failed',
            forward_state.head.request,
            peer=host,
            error=cause,
        )
        return False

    async def _send_to(
        self, forward_state: _ForwardState, host: ids.HostId
    ) -> None:
        entry = self._entries[host]
        url = f'http://{_url_host(str(entry.ip))}:{entry.http_port}'
        async with self._client.send(
            forward_state.head.method,
            url + _path(forward_state.head),
            self._headers(forward_state),
            forward_state.transcript.continuation_body()
            if forward_state.head.stream
            else forward_state.body,
            new_connection=forward_state.head.once,
            is_own=functools.partial(_is_own, forward_state.head),
        ) as response:
            kind = response.headers.get('Content-Type', '')
            if response.status == 200 and kind.startswith(sse.CONTENT_TYPE):
                await self._relay_stream(forward_state, response)
                return
            body = await web.read_declared_body(
                response, self._settings.answer_limit_bytes
            )
            await self._relay_response(forward_state, response, body)

    async def _relay_stream(
        self, forward_state: _ForwardState, response: aiohttp.ClientResponse
    ) -> None:
        reply = forward_state.reply
        if not reply.started:
            await reply.start_stream(response.headers)
        chunks = _chunks(response)
        async with contextlib.aclosing(chunks):
            await streams.relay_events(
                chunks,
                forward_state.transcript,
                reply,
                self._settings.stall_timeout_ms,
                self._left_ms(forward_state.head),
                lambda: forward_state.extend_timeout(
                    self._left_ms(forward_state.head)
                ),
            )
        await reply.finish_stream()

    async def _relay_response(
        self,
        forward_state: _ForwardState,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        """Relay a buffered response.

        :raises RequestEndedError: the rest of a begun stream failed
        :raises MaybeSentError: it has no outcome, or is retried here
        """
        if forward_state.reply.started:
            raise errors.RequestEndedError(_parse_ending(body.decode()))
        text = response.headers.get(headers.OUTCOME)
        if text is None:
            raise errors.MaybeSentError(
                f'response with status {response.status} has no outcome'
            )
        outcome = outcomes.Outcome(text)
        if self._may_retry_outcome(forward_state, outcome):
            raise errors.MaybeSentError(
                f'remote host reported outcome {text!r}'
            )
        await forward_state.reply.send_response(
            response.status, response.headers, body, outcome
        )

    def _may_retry_outcome(
        self, forward_state: _ForwardState, outcome: outcomes.Outcome
    ) -> bool:
        """Return whether a failure reported by the remote host is retried."""
        if self._settings.retry_owner == 'nearest' or forward_state.head.once:
            return False
        return outcome in (outcomes.Outcome.FAILED, outcomes.Outcome.UNKNOWN)

    def _headers(self, forward_state: _ForwardState) -> dict[str, str]:
        head = forward_state.head
        if forward_state.maybe_sent:
            # The failed host may have run it. Marked as a resend, a
            # once-only request is not run again but gets the stored
            # response, and no request is reported as not run.
            head = msgspec.structs.replace(head, resend=True)
        sent = {
            headers.HOP: self._signer.sign(
                head,
                self._host,
                self._clock.wall_ms(),
                self._left_ms(head),
            ),
            headers.REQUEST: head.request,
            'Content-Type': head.content_type,
        }
        if head.session is not None:
            sent[headers.SESSION] = head.session
        if head.team:
            sent[headers.TEAM] = head.team
        if head.last_event is not None:
            sent[headers.LAST_EVENT_ID] = str(head.last_event)
        return sent

    def _unanswered_error(
        self, forward_state: _ForwardState
    ) -> errors.RequestEndedError:
        reason = outcomes.Reason.REGION_UNREACHABLE
        if forward_state.head.bound:
            reason = outcomes.Reason.HOME_UNREACHABLE
        outcome = outcomes.Outcome.NOT_RUN
        if forward_state.maybe_sent:
            outcome = outcomes.Outcome.UNKNOWN
        return errors.RequestEndedError(
            outcomes.Ending(
                outcome,
                reason,
                f'no host of {forward_state.region} gave an answer',
                self._settings.retry_after_ms,
            )
        )


def _is_own(
    head: requests.RequestHead, response: aiohttp.ClientResponse
) -> bool:
    """Return whether a host's response belongs to a request.

    Older releases don't name a request that they reject as malformed.
    """
    return exchanges.responds_to(response, headers.REQUEST, head.request)


def _path(head: requests.RequestHead) -> str:
    if head.kind is requests.RequestKind.CHAT:
        return entry_api.CHAT_PATH
    return f'/services/{head.service}{head.path}'


def _url_host(ip: str) -> str:
    return f'[{ip}]' if ':' in ip else ip


async def _chunks(
    response: aiohttp.ClientResponse,
) -> collections.abc.AsyncIterator[bytes]:
    try:
        async for chunk in web.read_chunks(response):
            yield chunk
    except transport_errors.MaybeSentError as error:
        raise errors.MaybeSentError(str(error)) from error


def _parse_ending(data: str) -> outcomes.Ending:
    found = streams.parse_outcome_error(data)
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
