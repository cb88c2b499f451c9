"""Send a passed-through call to an endpoint or a host of another region.

Registered endpoints are sent requests from here only, and no other module
sends the body of a call. Immediately before the first byte the allowed
regions of the call and its quarantine are checked again. A response is
classified as an answer or as proof that the call was not run; an error
leaves open whether it was run.
"""

import collections.abc
import contextlib
import dataclasses
import enum
import functools

import aiohttp
import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.quarantine import guard as guards
from wrenspoke.coordination.serving import access
from wrenspoke.coordination.serving import endpoint_selector
from wrenspoke.coordination.serving import response_body
from wrenspoke.coordination.serving import take_up
from wrenspoke import ids
from wrenspoke.protocol import advertised
from wrenspoke.protocol import call_stages
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import limiting
from wrenspoke.protocol import numerals
from wrenspoke.protocol import passthrough_api
from wrenspoke.protocol import sse
from wrenspoke.protocol import traffic
from wrenspoke.state import locations
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import exchange as exchanges
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

# Traffic kinds for bodies, counted without heads, beside link messages.
CALL, ANSWER = 'call_body', 'answer_body'
# Headers that a forwarding host adds to a response.
HOST_HEADERS = frozenset(
    [
        passthrough_api.RUNS_HEADER,
        passthrough_api.BUILD_HEADER,
        passthrough_api.HELD_HEADER,
        passthrough_api.TAKEN_UP_HEADER,
        passthrough_api.RECALLED_HEADER,
    ]
)


class Verdict(enum.Enum):
    """Classification of a response by its status and headers."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    MISDIRECTED = 'not_here'


@dataclasses.dataclass
class Destination:
    """Target of one send: an endpoint, or a host of another region.

    ``located_in`` is the region of the target itself, ``serving_region`` the
    region in which a host has to serve the call.
    """

    address: str
    located_in: ids.RegionId
    endpoint: ids.EndpointId | None = None
    host: ids.HostId | None = None
    serving_region: ids.RegionId | None = None
    hop: passthrough_api.Hop | None = None
    chosen: endpoint_selector.EndpointSelection | None = None
    sent_ms: int = 0
    answered: bool = False
    prompt_number: int | None = None
    send_permit: endpoint_gate.GatePermit | None = None

    @property
    def life(self) -> limiting.EndpointInstance:
        """Return the selected incarnation of the endpoint."""
        return limiting.EndpointInstance(
            self.endpoint, self.chosen.registered.registration.born_ms
        )

    @property
    def build(self) -> ids.BuildId | None:
        """Return the selected endpoint's build, None for a host."""
        if self.chosen is None:
            return None
        return self.chosen.build

    @property
    def expected_ms(self) -> int | None:
        """Return the estimated time to first piece in ms, None for a host."""
        if self.chosen is None:
            return None
        return round(self.chosen.estimate.first_ms)

    @property
    def regions(self) -> tuple[ids.RegionId, ...]:
        """Return the regions that a call enters on its way."""
        if self.serving_region is None:
            return (self.located_in,)
        return (self.located_in, self.serving_region)

    @property
    def name(self) -> str:
        """Return the name of the endpoint or host."""
        return self.endpoint or self.host


class UpstreamResponse(response_body.ResponseBody):
    """Head of a response, and the reader of its body.

    ``runs`` is how many endpoints a forwarding host used for the call.
    ``build`` is that of the endpoint, None if a forwarding host names none.
    ``held_ms`` is how long a host of another region held the call.
    ``has_events`` is whether the body is a readable event stream, whose
    events show where it ends.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        verdict: Verdict,
        destination: Destination,
    ):
        super().__init__(response)
        self.verdict = verdict
        self.status = response.status
        kind = response.headers.get('Content-Type', sse.CONTENT_TYPE)
        self.has_events = (
            kind.partition(';')[0].strip().lower() == sse.CONTENT_TYPE
            and 'Content-Encoding' not in response.headers
        )
        self.fields = dialects.response_fields(response.raw_headers)
        self.refused = _parse_refusal(
            response.headers.get(passthrough_api.REFUSED_HEADER)
        )
        self.retry_after_ms = _parse_retry_after_ms(response.headers)
        self.runs = 1
        self.build = destination.build
        self.held_ms: int | None = None
        if destination.host is not None:
            self.runs = _parse_runs(
                response.headers.get(passthrough_api.RUNS_HEADER)
            )
            build = response.headers.get(passthrough_api.BUILD_HEADER)
            self.held_ms = _parse_held_ms(
                response.headers.get(passthrough_api.HELD_HEADER)
            )
            if build is not None:
                self.build = passthrough_api.decode_build(build)
            self.fields = [
                item for item in self.fields if item[0] not in HOST_HEADERS
            ]

    @property
    def is_refusal(self) -> bool:
        """Return whether the receiver refused the call."""
        return self.verdict is not Verdict.ANSWERED or self.refused is not None


def _parse_retry_after_ms(fields: collections.abc.Mapping[str, str]) -> float:
    """Return the Retry-After of a host in ms, 0 if missing or malformed."""
    found_s = numerals.parse_decimal(fields.get('Retry-After', ''))
    return 0.0 if found_s is None else found_s * passthrough_api.MS_PER_S


def _parse_runs(text: str | None) -> int:
    """Return how many endpoints ran a call according to a host.

    A missing or malformed count is taken as one run.
    """
    found = None if text is None else numerals.parse_whole(text)
    return 1 if found is None else found


def _parse_held_ms(text: str | None) -> int | None:
    """Return how long a host held a call, None if missing or malformed."""
    return None if text is None else numerals.parse_whole(text)


def _parse_refusal(text: str | None) -> passthrough_api.Refusal | None:
    """Return why a host refused a call; unknown reasons are GAVE_UP."""
    if text is None:
        return None
    try:
        return passthrough_api.Refusal(text)
    except ValueError:
        return passthrough_api.Refusal.GAVE_UP


@contextlib.asynccontextmanager
async def _open_exchange(
    exchange: take_up.HopExchange | None, sent: take_up.Sending
) -> collections.abc.AsyncIterator[aiohttp.ClientResponse]:
    """Yield the response to a request, of an exchange if there is one."""
    if exchange is None:
        async with sent as response:
            yield response
        return
    async with exchange:
        yield await exchange.send(sent)


class Sender:
    """Sends calls to endpoints and hosts, and classifies the responses."""

    def __init__(
        self,
        dialect: dialects.Dialect,
        endpoint_client: web.HttpClient,
        host_client: web.HttpClient,
        access_control: access.AccessControl,
        traffic_counter: traffic.TrafficCounter,
        guard: guards.Guard,
        gate: endpoint_gate.EndpointGate,
        clock: clocks.Clock,
        times_hops: bool = False,
        take_ups: take_up.TakeUps | None = None,
    ):
        self._times_hops = times_hops
        self._take_ups = take_ups
        self._clock = clock
        self._dialect = dialect
        self._access = access_control
        self._endpoint_client = endpoint_client
        self._host_client = host_client
        self._traffic = traffic_counter
        self._guard = guard
        self._gate = gate

    async def acquire_permit(
        self, destination: Destination, rank: int
    ) -> None:
        """Acquire a permit for the endpoint of a destination, if it is one.

        :raises EndpointBusyError: the endpoint accepts no requests for now
        """
        if destination.endpoint is not None:
            destination.send_permit = await self._gate.acquire(
                destination.life, rank
            )

    @contextlib.asynccontextmanager
    async def send(
        self,
        call: dialects.Call,
        permit: access.RoutePermit,
        destination: Destination,
        left_ms: int,
        last_event: str | None,
        may_run_again: collections.abc.Callable[[], bool] = bool,
    ) -> collections.abc.AsyncIterator[UpstreamResponse]:
        """Send a call once and yield the head of the response.

        Leaving the block early closes the connection, which cancels the
        work of the receiver. ``may_run_again`` returns whether a call whose
        answer is lost may be given up on here.

        :raises NotSentError: no connection; nothing was sent
        :raises SendAbortedError: no longer allowed; nothing was sent
        :raises MaybeSentError: it may have been run
        """
        may_send = functools.partial(self._may_send, call, permit, destination)
        token = None
        if self.takes_up(call, destination):
            token = ids.new_random_id()
        fields = self._request_fields(
            call, permit, destination, left_ms, last_event, token
        )
        body = call.body or None
        body_bytes = len(call.body)
        client = (
            self._endpoint_client
            if destination.host is None
            else self._host_client
        )
        tracked = contextlib.nullcontext()
        if destination.endpoint is not None:
            tracked = self._guard.track_run(
                call.fingerprint, destination.endpoint, destination.address
            )
        try:
            sent = client.send_verbatim(
                call.method,
                destination.address,
                call.target,
                fields,
                body,
                may_send,
                functools.partial(self._is_own, call, destination),
                request_id=call.request,
            )
            exchange = None
            if token is not None:
                exchange = self._exchange(
                    call, permit, destination, token, may_run_again
                )
            async with (
                tracked as run,
                _open_exchange(exchange, sent) as response,
            ):
                self._record_advertised(call, destination, response)
                verdict = self._classify_response(destination, response)
                answer = UpstreamResponse(response, verdict, destination)
                if answer.is_refusal:
                    exchanges.record_refusal(response, call.request)
                answer.exchange = exchange
                if exchange is not None and exchange.was_taken_up:
                    answer.held_ms = None
                if run is not None:
                    answer.on_first_chunk = functools.partial(
                        self._guard.mark_writing, run
                    )
                try:
                    yield answer
                finally:
                    self._count_traffic(body_bytes, destination, answer)
            if run is not None and verdict is Verdict.ANSWERED:
                self._guard.finish_run(run, answer.status, answer.framing)
        except transport_errors.SendAbortedError as error:
            raise errors.SendAbortedError(str(error)) from error
        except transport_errors.NoDescriptorError as error:
            raise errors.NoDescriptorError(str(error)) from error
        except transport_errors.NotSentError as error:
            raise errors.NotSentError(str(error)) from error
        except transport_errors.MaybeSentError as error:
            raise errors.MaybeSentError(str(error)) from error

    def takes_up(self, call: dialects.Call, destination: Destination) -> bool:
        """Return whether the answer of a call is kept where it is served."""
        return (
            self._take_ups is not None
            and destination.host is not None
            and call.method != 'HEAD'
        )

    def _exchange(
        self,
        call: dialects.Call,
        permit: access.RoutePermit,
        destination: Destination,
        token: str,
        may_run_again: collections.abc.Callable[[], bool],
    ) -> take_up.HopExchange:
        def may_enter(record: discovery_messages.HostRecord) -> bool:
            regions = (record.region, *destination.regions)
            return self._access.may_enter_regions(
                call, permit, record.host, regions
            )

        return self._take_ups.exchange(
            destination.host,
            destination.located_in,
            token,
            may_enter,
            may_run_again,
        )

    def _may_send(
        self,
        call: dialects.Call,
        permit: access.RoutePermit,
        destination: Destination,
    ) -> bool:
        """Return whether a send is still allowed before its first byte.

        Called as soon as the send has its connection.
        """
        call.stages.mark(call_stages.Stage.CONNECTED, self._clock.mono_ms())
        if self._guard.remaining_hold_ms(call.fingerprint) is not None:
            return False
        if (
            destination.endpoint is not None
            and not destination.send_permit.is_valid()
        ):
            return False
        return self._access.may_enter_regions(
            call, permit, destination.host, destination.regions
        )

    def _record_advertised(
        self,
        call: dialects.Call,
        destination: Destination,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Record the state that a response of any status advertises."""
        if destination.endpoint is None:
            return
        echoed = response.headers.get(self._dialect.request)
        source = advertised.classify_origin(
            response.status, call.request, echoed
        )
        destination.send_permit.on_response(
            advertised.read_headers(
                source, response.status, response.headers, self._dialect
            )
        )

    def _count_traffic(
        self,
        body_bytes: int,
        destination: Destination,
        answer: UpstreamResponse,
    ) -> None:
        """Count the body bytes exchanged with a host of another region."""
        if destination.host is None:
            return
        peer_location = locations.Location(
            destination.located_in, ids.DataCentreId('')
        )
        self._traffic.count_bytes(CALL, peer_location, body_bytes)
        self._traffic.count_bytes(ANSWER, peer_location, answer.bytes_read)

    def _request_fields(
        self,
        call: dialects.Call,
        permit: access.RoutePermit,
        destination: Destination,
        left_ms: int,
        last_event: str | None,
        token: str | None,
    ) -> dialects.Fields:
        dialect = self._dialect
        fields = list(call.fields)
        if last_event is not None and last_event != call.last_event:
            name = dialect.last_event.lower()
            fields = [item for item in fields if item[0].lower() != name]
            fields.append((dialect.last_event, last_event))
        fields.append((dialect.deadline_ms, str(max(left_ms, 0))))
        if destination.hop is not None:
            timed = msgspec.structs.replace(
                destination.hop, timed=self._times_hops, token=token
            )
            hop = msgspec.json.encode(timed).decode()
            fields.append((passthrough_api.HOP_HEADER, hop))
            # The receiving host looks the key up in its own table.
            return fields + call.credentials
        fields += self._identity_fields(call, permit)
        fields.append((dialect.endpoint, destination.endpoint))
        if (
            destination.chosen is not None
            and destination.chosen.source is not None
        ):
            source = destination.chosen.source.registration
            fields.append((dialect.fetch_from, source.address))
        if call.parts:
            fields.append((dialect.priority, str(permit.urgency)))
        return fields

    def _identity_fields(
        self, call: dialects.Call, permit: access.RoutePermit
    ) -> dialects.Fields:
        """Return the headers that identify the caller to an endpoint.

        With teams configured that is the name of the authenticated team,
        never the key or a name that the caller sent. Without teams the
        credentials of the caller are forwarded unchanged.
        """
        if permit.team is not None:
            return [(self._dialect.team, permit.team.team)]
        return call.credentials if permit.teams_disabled else []

    def _is_own(
        self,
        call: dialects.Call,
        destination: Destination,
        response: aiohttp.ClientResponse,
    ) -> bool:
        """Return whether a response belongs to a call.

        A refusal without a request id can only be one of the call on a
        connection that carried no other request.
        """
        echoed = response.headers.get(self._dialect.request)
        if echoed == call.request:
            return True
        accepted = not echoed and self._accept_unnamed(destination, response)
        logger.warning(
            'unnamed_refusal' if accepted else 'response_id_mismatch',
            request=call.request,
            place=destination.name,
            found=echoed,
            status=response.status,
            not_run=self._dialect.not_run in response.headers,
            instance=response.headers.get(self._dialect.instance),
            connection_requests=exchanges.request_count(response),
        )
        return accepted

    def _accept_unnamed(
        self, destination: Destination, response: aiohttp.ClientResponse
    ) -> bool:
        """Return whether a response without an id refuses the call.

        The connection of one that does isn't used again.
        """
        if destination.host is not None:
            # Refusals of older releases don't name the request.
            if passthrough_api.REFUSED_HEADER not in response.headers:
                return False
        elif _is_misdirected(destination, response):
            # An instance doesn't reject its own requests as misdirected.
            if self._names_called_instance(destination, response):
                return False
        elif self._dialect.not_run not in response.headers:
            return False
        return exchanges.accept_unnamed(response)

    def _names_called_instance(
        self, destination: Destination, response: aiohttp.ClientResponse
    ) -> bool:
        instance = response.headers.get(self._dialect.instance)
        return instance == destination.endpoint

    def _classify_response(
        self, destination: Destination, response: aiohttp.ClientResponse
    ) -> Verdict:
        """Classify the response to a call by its status and headers.

        A host sends an answer, or its own refusal with the number of runs.

        :raises MaybeSentError: a host passes on the refusal of an endpoint,
            although it may have used others
        """
        if destination.host is not None:
            if (
                self._dialect.not_run in response.headers
                and passthrough_api.REFUSED_HEADER not in response.headers
            ):
                raise errors.MaybeSentError(
                    f'host {destination.host} passed on a refusal with status '
                    f'{response.status}'
                )
            return Verdict.ANSWERED
        if _is_misdirected(destination, response):
            if self._names_called_instance(destination, response):
                return Verdict.NOT_RUN
            return Verdict.MISDIRECTED
        if self._dialect.not_run in response.headers:
            return Verdict.NOT_RUN
        return Verdict.ANSWERED


def _is_misdirected(
    destination: Destination, response: aiohttp.ClientResponse
) -> bool:
    """Return whether an endpoint rejects a call meant for another one."""
    return (
        destination.endpoint is not None
        and response.status == advertised.MISDIRECTED
    )
