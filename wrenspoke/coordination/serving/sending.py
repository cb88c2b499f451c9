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
from wrenspoke.coordination.serving import bodies
from wrenspoke.coordination.serving import choice
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
    NOT_HERE = 'not_here'


@dataclasses.dataclass
class Place:
    """Say where a call is sent: an endpoint, or a host elsewhere.

    ``stands_in`` is the region of who takes it, ``region`` the one that a
    host is to serve it in.
    """

    address: str
    stands_in: ids.RegionId
    endpoint: ids.EndpointId | None = None
    host: ids.HostId | None = None
    region: ids.RegionId | None = None
    hop: passing.Hop | None = None
    chosen: choice.Chosen | None = None
    sent_ms: int = 0
    answered: bool = False
    reading: int | None = None
    send_permit: endpoint_gate.GatePermit | None = None

    @property
    def life(self) -> limiting.EndpointLife:
        """Return which life of the endpoint was chosen."""
        return limiting.EndpointLife(
            self.endpoint, self.chosen.found.said.born_ms
        )

    @property
    def expected_ms(self) -> int | None:
        """Return when a first piece was expected of an endpoint."""
        if self.chosen is None:
            return None
        return round(self.chosen.prospect.first_ms)

    @property
    def regions(self) -> tuple[ids.RegionId, ...]:
        """Return the regions that a call enters by going there."""
        if self.region is None:
            return (self.stands_in,)
        return (self.stands_in, self.region)

    @property
    def name(self) -> str:
        """Return the endpoint's or host's name, for logs."""
        return self.endpoint or self.host


class Answer(bodies.Body):
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
        self.refused = _refusal(response.headers.get(passing.REFUSED))
        self.retry_after_ms = _retry_after_ms(response.headers)
        self.runs = 1
        if from_host:
            self.runs = _runs(response.headers.get(passing.RUNS))
            self.fields = [
                item for item in self.fields if item[0] != passing.RUNS
            ]


def _retry_after_ms(fields: collections.abc.Mapping[str, str]) -> float:
    """Return how long a host says that a call would wait, 0 if not."""
    found_s = numerals.decimal(fields.get('Retry-After', ''))
    return 0.0 if found_s is None else found_s * passing.MS_PER_S


def _runs(text: str | None) -> int:
    """Return how many endpoints ran a call, by a host's own word.

    Where it says nothing, one is taken to have run it.
    """
    found = None if text is None else numerals.whole(text)
    return 1 if found is None else found


def _refusal(text: str | None) -> passing.Refusal | None:
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
        endpoints: web.HttpClient,
        hosts: web.HttpClient,
        permitted: access.Access,
        sent: traffic.Traffic,
        guard: guards.Guard,
        gate: endpoint_gate.EndpointGate,
    ):
        self._dialect = dialect
        self._access = permitted
        self._endpoints = endpoints
        self._hosts = hosts
        self._traffic = sent
        self._guard = guard
        self._gate = gate

    async def admit(self, place: Place, rank: int) -> None:
        """Acquire a permit to send to a place's endpoint.

        :raises EndpointBusyError: it is sent nothing more for now
        """
        if place.endpoint is not None:
            place.send_permit = await self._gate.acquire(place.life, rank)

    @contextlib.asynccontextmanager
    async def send(
        self,
        call: dialects.Call,
        permit: access.Permit,
        place: Place,
        left_ms: int,
        last_event: str | None,
    ) -> collections.abc.AsyncIterator[Answer]:
        """Send once and yield the answer's head.

        Leaving the block early closes the connection, which ends the
        work on the other side.

        :raises NotSentError: no connection; nothing was sent
        :raises HeldBackError: it may not go there now; nothing was sent
        :raises MaybeSentError: it may have been run
        """
        may_leave = functools.partial(self._may_leave, call, permit, place)
        fields = self._fields(call, permit, place, left_ms, last_event)
        body = call.body or None
        client = self._endpoints if place.host is None else self._hosts
        watched = contextlib.nullcontext()
        if place.endpoint is not None:
            watched = self._guard.track_run(
                call.digest, place.endpoint, place.address
            )
        try:
            async with (
                watched as run,
                client.pass_on(
                    call.method,
                    place.address,
                    call.target,
                    fields,
                    body,
                    may_leave,
                ) as response,
            ):
                self._note_advertised(call, place, response)
                verdict = self._verdict(call, place, response)
                answer = Answer(response, verdict, place.host is not None)
                try:
                    yield answer
                finally:
                    self._note_traffic(call, place, answer)
            if run is not None and verdict is Verdict.ANSWERED:
                self._guard.mark_succeeded(run)
        except transport_errors.HeldBackError as error:
            raise errors.HeldBackError(str(error)) from error
        except transport_errors.NotSentError as error:
            raise errors.NotSentError(str(error)) from error
        except transport_errors.MaybeSentError as error:
            raise errors.MaybeSentError(str(error)) from error

    def _may_leave(
        self, call: dialects.Call, permit: access.Permit, place: Place
    ) -> bool:
        """Tell, as the first byte is about to leave, whether it still may."""
        if self._guard.remaining_hold_ms(call.digest) is not None:
            return False
        if place.endpoint is not None and not place.send_permit.is_valid():
            return False
        return self._access.may_enter(call, permit, place.host, place.regions)

    def _note_advertised(
        self,
        call: dialects.Call,
        place: Place,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Note what an endpoint says of itself, whatever it answered."""
        if place.endpoint is None:
            return
        echoed = response.headers.get(self._dialect.request)
        source = advertised.origin(response.status, call.request, echoed)
        place.send_permit.on_response(
            advertised.read(
                source, response.status, response.headers, self._dialect
            )
        )

    def _note_traffic(
        self, call: dialects.Call, place: Place, answer: Answer
    ) -> None:
        """Count what went to a host elsewhere and came back from it."""
        if place.host is None:
            return
        there = locations.Location(place.stands_in, ids.DataCentreId(''))
        self._traffic.note(CALL, there, len(call.body))
        self._traffic.note(ANSWER, there, answer.read_bytes)

    def _fields(
        self,
        call: dialects.Call,
        permit: access.Permit,
        place: Place,
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
        if place.hop is not None:
            hop = msgspec.json.encode(place.hop).decode()
            fields.append((passing.HOP, hop))
            # The host there looks the key up itself.
            return fields + call.credentials
        fields += self._on_behalf(call, permit)
        fields.append((dialect.endpoint, place.endpoint))
        if place.chosen is not None and place.chosen.source is not None:
            source = place.chosen.source.said
            fields.append((dialect.fetch_from, source.address))
        if call.parts:
            fields.append((dialect.priority, str(permit.urgency)))
        return fields

    def _on_behalf(
        self, call: dialects.Call, permit: access.Permit
    ) -> dialects.Fields:
        """Return what tells an endpoint whose call it is.

        Where there are teams that is a team's name, whatever the caller
        says, and never the key. Where there are none, the caller's own
        headers are passed on like all others.
        """
        if permit.team is not None:
            return [(self._dialect.team, permit.team.team)]
        return call.credentials if permit.anyone else []

    def _verdict(
        self,
        call: dialects.Call,
        place: Place,
        response: aiohttp.ClientResponse,
    ) -> Verdict:
        """Judge a head; another request's answer counts as none.

        :raises MaybeSentError: the answer belongs to another request
        """
        if (
            response.status == advertised.MISDIRECTED
            and place.endpoint is not None
        ):
            return Verdict.NOT_HERE
        if self._dialect.not_run in response.headers:
            return Verdict.NOT_RUN
        if passing.REFUSED in response.headers and place.host is not None:
            return Verdict.ANSWERED
        echoed = response.headers.get(self._dialect.request)
        if echoed != call.request:
            logger.warning(
                'answer_crossed',
                request=call.request,
                place=place.name,
                found=echoed,
                status=response.status,
            )
            raise errors.MaybeSentError("answer is another request's")
        return Verdict.ANSWERED
