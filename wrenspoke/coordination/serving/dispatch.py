"""Send requests to configured endpoints.

First attempts, retries, resumed streams, load polls and orders all go
through ``Dispatcher.send``. It runs every check in a fixed order and is the
only code that reads an endpoint's address.
"""

import collections.abc
import contextlib
import dataclasses
import enum
import functools
import re
import urllib.parse

import aiohttp
import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.limiting import endpoint_limits
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import guard as guards
from wrenspoke.coordination.serving import event_tracker
from wrenspoke.coordination.serving import placement
from wrenspoke.coordination.serving import response_body
from wrenspoke import ids
from wrenspoke.protocol import advertised
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import headers
from wrenspoke.protocol import limiting
from wrenspoke.protocol import requests
from wrenspoke.protocol import sse
from wrenspoke.state import configuration
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import exchange as exchanges
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

MAX_HOPS = 1
OK = 200
JSON_TYPE = re.compile(r'application/([^/]+\+)?json')
# Header names in the responses of configured endpoints.
DIALECT = dialects.Dialect()


class Purpose(enum.Enum):
    """Reason for sending a request to an endpoint."""

    FIRST = 'first'
    RETRY = 'retry'
    RESUME = 'resume'
    CANCEL = 'cancel'
    LOAD = 'load'
    ORDER = 'order'


NEW_WORK = frozenset([Purpose.FIRST, Purpose.RETRY])
WORK = NEW_WORK | {Purpose.RESUME}


class ClaimTicket:
    """Proof that a once-only attempt won its claim in the ledger.

    A ticket is valid for one send.
    """

    def __init__(self, request: ids.RequestId, attempt_id: ids.AttemptId):
        self.request = request
        self.attempt_id = attempt_id
        self.used = False

    def mark_unsent(self) -> None:
        """Make the ticket valid again after a send that sent no bytes."""
        self.used = False


@dataclasses.dataclass
class Send:
    """Parameters of one request to an endpoint."""

    purpose: Purpose
    endpoint: ids.EndpointId
    method: str
    path: str
    body: bytes | None = None
    head: requests.RequestHead | None = None
    slot: placement.Slot | None = None
    ticket: ClaimTicket | None = None
    extra_headers: dict[str, str] = dataclasses.field(default_factory=dict)
    attempt_id: ids.AttemptId = dataclasses.field(
        default_factory=lambda: ids.AttemptId(ids.new_random_id())
    )

    @property
    def echo_id(self) -> str:
        """Return the id that the endpoint has to echo in its response."""
        request = 'control' if self.head is None else self.head.request
        return f'{request}/{self.attempt_id}'


@dataclasses.dataclass
class CheckContext:
    """State that the checks evaluate a send against."""

    host: ids.HostId
    region: ids.RegionId
    now_ms: int
    endpoint: configuration.Endpoint
    takes_work: bool
    configuration_current: bool
    quarantined_ms: int | None = None
    admitted: bool = True


Check = collections.abc.Callable[[Send, CheckContext], str | None]
CHECKS: dict[str, Check] = {}


def check(name: str) -> collections.abc.Callable[[Check], Check]:
    """Return a decorator that appends a check to ``CHECKS``."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


@check('configuration')
def check_configuration(send: Send, context: CheckContext) -> str | None:
    """Reject work while the configuration of this host may be stale."""
    if send.purpose in WORK and not context.configuration_current:
        return 'this host was stopped and has to look for changes first'
    return None


@check('quarantine')
def check_quarantine(send: Send, context: CheckContext) -> str | None:
    """Reject quarantined work."""
    if send.purpose in WORK and context.quarantined_ms is not None:
        return (
            f'endpoints ended under it; held for {context.quarantined_ms} ms'
        )
    return None


@check('residency')
def check_residency(send: Send, context: CheckContext) -> str | None:
    """Reject work outside this region, and bound work outside its home."""
    region = context.endpoint.region
    if send.purpose in WORK and region != context.region:
        return f'{region} is not the region of this host'
    if send.head is not None and send.head.bound:
        if region != send.head.home:
            return f'{region} is not home {send.head.home}'
    return None


@check('hops')
def check_hops(send: Send, context: CheckContext) -> str | None:
    """Reject a request with too many hops or a forwarding loop."""
    if send.head is None:
        return None
    path = send.head.path_of_hosts
    if len(path) > MAX_HOPS:
        return f'{len(path)} hops'
    if context.host in path:
        return 'came back to this host'
    return None


@check('deadline')
def check_deadline(send: Send, context: CheckContext) -> str | None:
    """Reject a request whose deadline has passed."""
    if send.head is not None and send.head.deadline_ms <= context.now_ms:
        return 'deadline has passed'
    return None


@check('endpoint_state')
def check_endpoint_state(send: Send, context: CheckContext) -> str | None:
    """Reject new work for an endpoint that is draining."""
    if send.purpose in NEW_WORK and not context.takes_work:
        return f'{send.endpoint} takes no new work'
    return None


@check('limits')
def check_limits(send: Send, _context: CheckContext) -> str | None:
    """Reject work that holds no open slot at its endpoint."""
    if send.purpose not in WORK:
        return None
    if send.slot is None or not send.slot.open:
        return 'no place was taken'
    if send.slot.endpoint.endpoint != send.endpoint:
        return 'the place is at another endpoint'
    return None


@check('endpoint_limit')
def check_endpoint_limit(send: Send, context: CheckContext) -> str | None:
    """Reject work whose permit is no longer valid."""
    if send.purpose in WORK and not context.admitted:
        return 'no valid permit'
    return None


@check('claim')
def check_claim(send: Send, _context: CheckContext) -> str | None:
    """Reject a once-only request without an unused ticket; use it up."""
    if send.head is None or not send.head.once:
        return None
    ticket = send.ticket
    if ticket is None or ticket.request != send.head.request:
        return 'no claim was won'
    if ticket.used:
        return 'the claim was used'
    ticket.used = True
    return None


class EndpointResponse(response_body.ResponseBody):
    """Status and headers of an endpoint's response, and its body reader."""

    def __init__(self, response: aiohttp.ClientResponse, send: Send):
        super().__init__(response)
        self.name = send.echo_id
        self.status = response.status
        self.headers = dict(response.headers)
        self._content_type = response.content_type
        self._send = send

    async def read_all(self, limit_bytes: int) -> bytes:
        """Read and return the complete body.

        A body that is delimited by its connection has to show its end in
        its content, as a crashed endpoint may close its connections in order.

        :raises MaybeSentError: it is truncated or exceeds ``limit_bytes``
        """
        body = await super().read_all(limit_bytes)
        if self.framing is web.BodyFraming.CONNECTION:
            self._verify_end(body)
        return body

    def _verify_end(self, body: bytes) -> None:
        """Verify that the content of a body shows its end.

        Content of which neither the type nor the request tells what its end
        looks like ends with the connection, unless there is none.

        :raises MaybeSentError: the body is truncated
        """
        head = self._send.head
        if head is None:
            # Polls and orders decode their own responses.
            return
        is_chat = head.kind is requests.RequestKind.CHAT and self.status == OK
        if is_chat or JSON_TYPE.fullmatch(self._content_type):
            is_whole = _is_whole_json(body)
        elif self._content_type == sse.CONTENT_TYPE:
            tracker = event_tracker.EventTracker(whole_only=False)
            tracker.feed(body)
            is_whole = bool(body) and not tracker.is_inside_event
        else:
            is_whole = bool(body)
        if not is_whole:
            raise errors.MaybeSentError(
                f'{self._send.endpoint} closed its connection inside a '
                f'{self._content_type} body, after {len(body)} bytes'
            )


class Dispatcher:
    """Sends requests to endpoints after running every check."""

    def __init__(
        self,
        host: ids.HostId,
        region: ids.RegionId,
        config_replica: replica.Replica,
        client: web.HttpClient,
        clock: clocks.Clock,
        awake: collections.abc.Callable[[], bool] = lambda: True,
        guard: guards.Guard | None = None,
        gate: endpoint_gate.EndpointGate | None = None,
    ):
        self._host = host
        self._region = region
        self._replica = config_replica
        self._client = client
        self._clock = clock
        self._awake = awake
        self._guard = guard
        self._gate = gate
        self.sent = 0

    @contextlib.asynccontextmanager
    async def send(
        self, send: Send
    ) -> collections.abc.AsyncIterator[EndpointResponse]:
        """Send one request and yield the head of its response.

        Leaving the block early cancels the work at the endpoint.

        :raises EndpointBusyError: the endpoint accepts no requests for now
        :raises SendRefusedError: a check failed; nothing was sent
        :raises NotSentError: no connection; nothing was sent
        :raises OverloadedError: the endpoint rejected it without running it
        :raises MaybeSentError: the endpoint may have run it
        """
        send_permit = await self._acquire_permit(send)
        endpoint = self._run_checks(send, send_permit)
        self.sent += send.purpose in WORK
        try:
            async with (
                self._tracked_run(send, endpoint) as run,
                self._client.send(
                    send.method,
                    endpoint.url + send.path,
                    self._headers(send),
                    send.body,
                    new_connection=_needs_new_connection(send, endpoint),
                    may_send=lambda: self._may_send(send, send_permit),
                    is_own=lambda response: _is_own(send, endpoint, response),
                ) as response,
            ):
                self._record_advertised(send, endpoint, send_permit, response)
                self._raise_if_overloaded(send, response)
                answer = EndpointResponse(response, send)
                if run is not None:
                    answer.on_first_chunk = functools.partial(
                        self._guard.mark_writing, run
                    )
                yield answer
            if run is not None:
                self._guard.finish_run(run, answer.status, answer.framing)
        except transport_errors.NotSentError as error:
            if send.ticket is not None:
                send.ticket.mark_unsent()
            if send_permit is not None and not send_permit.is_valid():
                # The permit expired; the endpoint itself did not fail.
                raise errors.EndpointBackoffError(send.endpoint, 0) from error
            if isinstance(error, transport_errors.NoDescriptorError):
                raise errors.NoDescriptorError(str(error)) from error
            raise errors.NotSentError(str(error)) from error
        except transport_errors.MaybeSentError as error:
            raise errors.MaybeSentError(str(error)) from error

    async def _acquire_permit(
        self, send: Send
    ) -> endpoint_gate.GatePermit | None:
        """Acquire a permit to send to an endpoint.

        Resuming a stream has precedence over all other work.

        :raises EndpointBusyError: the endpoint accepts no requests for now
        """
        if self._gate is None:
            return None
        life = limiting.EndpointInstance(send.endpoint)
        if send.purpose is Purpose.LOAD:
            return self._gate.acquire_poll(life)
        if send.purpose not in WORK:
            return self._gate.acquire_unchecked(life)
        rank = endpoint_limits.FIRST_RANK
        if send.purpose is not Purpose.RESUME and send.head is not None:
            urgency = requests.Priority.HIGH - send.head.priority
            rank = endpoint_limits.rank_of(urgency, prompt_cached=False)
        return await self._gate.acquire(
            life, rank, is_continuation=send.purpose is Purpose.RESUME
        )

    def _may_send(
        self, send: Send, send_permit: endpoint_gate.GatePermit | None
    ) -> bool:
        """Return whether a send is still allowed before its first byte."""
        if self._quarantined_ms(send) is not None:
            return False
        return send_permit is None or send_permit.is_valid()

    def _record_advertised(
        self,
        send: Send,
        endpoint: configuration.Endpoint,
        send_permit: endpoint_gate.GatePermit | None,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Record the state that a response of any status advertises."""
        if send_permit is None:
            return
        echoed = send.echo_id
        if endpoint.echoes_request_id:
            echoed = response.headers.get(headers.ECHOED_REQUEST_ID)
        source = advertised.classify_origin(
            response.status, send.echo_id, echoed
        )
        send_permit.on_response(
            advertised.read_headers(
                source, response.status, response.headers, DIALECT
            )
        )

    def _is_guarded(self, send: Send) -> bool:
        """Return whether a send is work that the quarantine guard tracks."""
        if self._guard is None or send.head is None:
            return False
        return send.purpose in WORK

    def _tracked_run(
        self, send: Send, endpoint: configuration.Endpoint
    ) -> contextlib.AbstractAsyncContextManager:
        """Return a context that tracks a run; a null context if unguarded."""
        if not self._is_guarded(send):
            return contextlib.nullcontext()
        address = urllib.parse.urlsplit(endpoint.url).netloc
        return self._guard.track_run(
            send.head.fingerprint, send.endpoint, address
        )

    def _quarantined_ms(self, send: Send) -> int | None:
        """Return the remaining quarantine in ms, None without one."""
        if not self._is_guarded(send):
            return None
        return self._guard.remaining_hold_ms(send.head.fingerprint)

    def _run_checks(
        self, send: Send, send_permit: endpoint_gate.GatePermit | None
    ) -> configuration.Endpoint:
        endpoint = self._replica.current.endpoints.get(send.endpoint)
        if endpoint is None:
            raise errors.SendRefusedError(
                'endpoint_state', f'{send.endpoint} is not configured'
            )
        context = CheckContext(
            host=self._host,
            region=self._region,
            now_ms=self._clock.mono_ms(),
            endpoint=endpoint,
            takes_work=self._takes_work(endpoint),
            configuration_current=self._replica.serving and self._awake(),
            quarantined_ms=self._quarantined_ms(send),
            admitted=send_permit is None or send_permit.is_valid(),
        )
        for name, function in CHECKS.items():
            detail = function(send, context)
            if detail is None:
                continue
            raise errors.SendRefusedError(name, detail)
        return endpoint

    def _takes_work(self, endpoint: configuration.Endpoint) -> bool:
        if not self._replica.takes_work(endpoint):
            return False
        life = limiting.EndpointInstance(endpoint.endpoint)
        return self._gate is None or not self._gate.leaving.is_leaving(life)

    def _headers(self, send: Send) -> dict[str, str]:
        sent = {headers.ECHOED_REQUEST_ID: send.echo_id, **send.extra_headers}
        if send.head is None:
            return sent
        left_ms = send.head.deadline_ms - self._clock.mono_ms()
        sent['Content-Type'] = send.head.content_type
        sent[headers.REQUEST] = send.head.request
        sent[headers.DEADLINE_MS] = str(left_ms)
        sent[headers.PRIORITY] = send.head.priority.name.lower()
        if send.head.session is not None:
            sent[headers.SESSION] = send.head.session
        return sent

    def _raise_if_overloaded(
        self, send: Send, response: aiohttp.ClientResponse
    ) -> None:
        if response.status not in advertised.REFUSAL_STATUSES:
            return
        if send.head is not None and send.head.once:
            # An overload status does not prove that a once-only request was
            # not run, so the response goes to the caller.
            return
        life = limiting.EndpointInstance(send.endpoint)
        backs_off = self._gate is not None and bool(
            self._gate.backoffs.own_remaining_ms(life)
        )
        raise errors.OverloadedError(response.status, backs_off)


def _needs_new_connection(
    send: Send, endpoint: configuration.Endpoint
) -> bool:
    """Return whether a request is the only one of its connection.

    On a kept connection a response without an id can't be told from one that
    is left over from an earlier request.
    """
    once = send.head is not None and send.head.once
    return once or not endpoint.echoes_request_id


def _is_own(
    send: Send,
    endpoint: configuration.Endpoint,
    response: aiohttp.ClientResponse,
) -> bool:
    """Return whether a response belongs to a request.

    An overload status without an id can only be one of the request on a
    connection that carried no other, and proves nothing of a request that
    may run once only.
    """
    if not endpoint.echoes_request_id:
        return True
    echoed = response.headers.get(headers.ECHOED_REQUEST_ID)
    if echoed == send.echo_id:
        return True
    once = send.head is not None and send.head.once
    is_overload = response.status in advertised.REFUSAL_STATUSES
    if (
        is_overload
        and not echoed
        and not once
        and exchanges.accept_unnamed(response)
    ):
        return True
    logger.warning(
        'response_id_mismatch',
        endpoint=send.endpoint,
        expected=send.echo_id,
        found=echoed,
        status=response.status,
    )
    return False


def _is_whole_json(body: bytes) -> bool:
    """Return whether a body is one JSON value that can't be truncated."""
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    # Of a number, any first digits are a number too.
    return isinstance(value, bool) or not isinstance(value, (int, float))
