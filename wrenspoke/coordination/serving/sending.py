"""Send a call on to an endpoint or to a host of another region, once.

This is the only place that writes to registered endpoints, and the only
one from which a call's body leaves. As it does, its homes are looked at
again, and whether endpoints ended under it. What came back is told apart:
an answer, a promise that nothing was run, or nothing that says whether the
call was run.
"""

import collections.abc
import contextlib
import dataclasses
import enum
import functools

import aiohttp
import msgspec
import structlog

from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.quarantine import guard as guards
from wrenspoke.coordination.serving import access
from wrenspoke.coordination.serving import endpoint_selector
from wrenspoke.coordination.serving import response_body
from wrenspoke import ids
from wrenspoke.protocol import advertised
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import limiting
from wrenspoke.protocol import numerals
from wrenspoke.protocol import passing
from wrenspoke.protocol import traffic
from wrenspoke.state import locations
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

# Kinds of traffic beside the messages on links: bodies, without heads.
CALL, ANSWER = 'call_body', 'answer_body'


class Verdict(enum.Enum):
    """Say what an answer's head means."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    MISDIRECTED = 'not_here'


@dataclasses.dataclass
class Destination:
    """Say where a call is sent: an endpoint, or a host elsewhere.

    ``stands_in`` is the region of who takes it, ``region`` the one that a
    host is to serve it in.
    """

    address: str
    located_in: ids.RegionId
    endpoint: ids.EndpointId | None = None
    host: ids.HostId | None = None
    serving_region: ids.RegionId | None = None
    hop: passing.Hop | None = None
    chosen: endpoint_selector.EndpointSelection | None = None
    sent_ms: int = 0
    answered: bool = False
    prompt_number: int | None = None
    send_permit: endpoint_gate.GatePermit | None = None

    @property
    def life(self) -> limiting.EndpointLife:
        """Return which life of the endpoint was chosen."""
        return limiting.EndpointLife(
            self.endpoint, self.chosen.registered.registration.born_ms
        )

    @property
    def expected_ms(self) -> int | None:
        """Return when a first piece was expected of an endpoint."""
        if self.chosen is None:
            return None
        return round(self.chosen.estimate.first_ms)

    @property
    def regions(self) -> tuple[ids.RegionId, ...]:
        """Return the regions that a call enters by going there."""
        if self.serving_region is None:
            return (self.located_in,)
        return (self.located_in, self.serving_region)

    @property
    def name(self) -> str:
        """Return the endpoint's or host's name, for logs."""
        return self.endpoint or self.host


class UpstreamResponse(response_body.ResponseBody):
    """Hold the head of an answer; the body is read from it.

    ``runs`` is how many endpoints a host that answers for others used.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        verdict: Verdict,
        from_host: bool,
    ):
        super().__init__(response)
        self.verdict = verdict
        self.status = response.status
        self.fields = dialects.answer_fields(response.raw_headers)
        self.refused = _parse_refusal(response.headers.get(passing.REFUSED))
        self.retry_after_ms = _parse_retry_after_ms(response.headers)
        self.runs = 1
        if from_host:
            self.runs = _parse_runs(response.headers.get(passing.RUNS))
            self.fields = [
                item for item in self.fields if item[0] != passing.RUNS
            ]


def _parse_retry_after_ms(fields: collections.abc.Mapping[str, str]) -> float:
    """Return how long a host says that a call would wait, 0 if not."""
    found_s = numerals.decimal(fields.get('Retry-After', ''))
    return 0.0 if found_s is None else found_s * passing.MS_PER_S


def _parse_runs(text: str | None) -> int:
    """Return how many endpoints ran a call, by a host's own word.

    Where it says nothing, one is taken to have run it.
    """
    found = None if text is None else numerals.whole(text)
    return 1 if found is None else found


def _parse_refusal(text: str | None) -> passing.Refusal | None:
    """Return why a host gave its own word; what is unknown is a failure."""
    if text is None:
        return None
    try:
        return passing.Refusal(text)
    except ValueError:
        return passing.Refusal.GAVE_UP


class Sender:
    """Write calls to endpoints and hosts, and read what comes back."""

    def __init__(
        self,
        dialect: dialects.Dialect,
        endpoint_client: web.HttpClient,
        host_client: web.HttpClient,
        access_control: access.AccessControl,
        traffic_counter: traffic.Traffic,
        guard: guards.Guard,
        gate: endpoint_gate.EndpointGate,
    ):
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
        """Acquire a permit to send to a place's endpoint.

        :raises EndpointBusyError: it is sent nothing more for now
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
    ) -> collections.abc.AsyncIterator[UpstreamResponse]:
        """Send once and yield the answer's head.

        Leaving the block early closes the connection, which ends the
        work on the other side.

        :raises NotSentError: no connection; nothing was sent
        :raises HeldBackError: it may not go there now; nothing was sent
        :raises MaybeSentError: it may have been run
        """
        may_leave = functools.partial(
            self._may_send, call, permit, destination
        )
        fields = self._request_fields(
            call, permit, destination, left_ms, last_event
        )
        body = call.body or None
        client = (
            self._endpoint_client
            if destination.host is None
            else self._host_client
        )
        tracked = contextlib.nullcontext()
        if destination.endpoint is not None:
            tracked = self._guard.track_run(
                call.digest, destination.endpoint, destination.address
            )
        try:
            async with (
                tracked as run,
                client.pass_on(
                    call.method,
                    destination.address,
                    call.target,
                    fields,
                    body,
                    may_leave,
                ) as response,
            ):
                self._record_advertised(call, destination, response)
                verdict = self._classify_response(call, destination, response)
                answer = UpstreamResponse(
                    response, verdict, destination.host is not None
                )
                try:
                    yield answer
                finally:
                    self._count_traffic(call, destination, answer)
            if run is not None and verdict is Verdict.ANSWERED:
                self._guard.mark_succeeded(run)
        except transport_errors.HeldBackError as error:
            raise errors.SendAbortedError(str(error)) from error
        except transport_errors.NotSentError as error:
            raise errors.NotSentError(str(error)) from error
        except transport_errors.MaybeSentError as error:
            raise errors.MaybeSentError(str(error)) from error

    def _may_send(
        self,
        call: dialects.Call,
        permit: access.RoutePermit,
        destination: Destination,
    ) -> bool:
        """Tell, as the first byte is about to leave, whether it still may."""
        if self._guard.remaining_hold_ms(call.digest) is not None:
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
        """Note what an endpoint says of itself, whatever it answered."""
        if destination.endpoint is None:
            return
        echoed = response.headers.get(self._dialect.request)
        source = advertised.origin(response.status, call.request, echoed)
        destination.send_permit.on_response(
            advertised.read(
                source, response.status, response.headers, self._dialect
            )
        )

    def _count_traffic(
        self,
        call: dialects.Call,
        destination: Destination,
        answer: UpstreamResponse,
    ) -> None:
        """Count what went to a host elsewhere and came back from it."""
        if destination.host is None:
            return
        peer_location = locations.Location(
            destination.located_in, ids.DataCentreId('')
        )
        self._traffic.note(CALL, peer_location, len(call.body))
        self._traffic.note(ANSWER, peer_location, answer.bytes_read)

    def _request_fields(
        self,
        call: dialects.Call,
        permit: access.RoutePermit,
        destination: Destination,
        left_ms: int,
        last_event: str | None,
    ) -> dialects.Fields:
        dialect = self._dialect
        fields = list(call.fields)
        if last_event is not None and last_event != call.last_event:
            name = dialect.last_event.lower()
            fields = [item for item in fields if item[0].lower() != name]
            fields.append((dialect.last_event, last_event))
        fields.append((dialect.deadline_ms, str(max(left_ms, 0))))
        if destination.hop is not None:
            hop = msgspec.json.encode(destination.hop).decode()
            fields.append((passing.HOP, hop))
            # The host there looks the key up itself.
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
        """Return what tells an endpoint whose call it is.

        Where there are teams that is a team's name, whatever the caller
        says, and never the key. Where there are none, the caller's own
        headers are passed on like all others.
        """
        if permit.team is not None:
            return [(self._dialect.team, permit.team.team)]
        return call.credentials if permit.teams_disabled else []

    def _classify_response(
        self,
        call: dialects.Call,
        destination: Destination,
        response: aiohttp.ClientResponse,
    ) -> Verdict:
        """Judge a head; another request's answer counts as none.

        :raises MaybeSentError: the answer belongs to another request
        """
        if (
            response.status == advertised.MISDIRECTED
            and destination.endpoint is not None
        ):
            return Verdict.MISDIRECTED
        if self._dialect.not_run in response.headers:
            return Verdict.NOT_RUN
        if (
            passing.REFUSED in response.headers
            and destination.host is not None
        ):
            return Verdict.ANSWERED
        echoed = response.headers.get(self._dialect.request)
        if echoed != call.request:
            logger.warning(
                'answer_crossed',
                request=call.request,
                place=destination.name,
                found=echoed,
                status=response.status,
            )
            raise errors.MaybeSentError("answer is another request's")
        return Verdict.ANSWERED
