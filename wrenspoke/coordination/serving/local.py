"""Serve requests at this region's endpoints, and own their retries."""

import dataclasses

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import loads
from wrenspoke.coordination.serving import decisions
from wrenspoke.coordination.serving import dispatch
from wrenspoke.coordination.serving import placement
from wrenspoke.coordination.serving import retries
from wrenspoke import ids
from wrenspoke.protocol import headers
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import requests
from wrenspoke import settings

logger = structlog.get_logger(__name__)

SERVER_ERROR = 500
FAILURES = (
    errors.SendRefusedError,
    errors.NotSentError,
    errors.OverloadedError,
    errors.MaybeSentError,
)
# Part of the time that is left, so that a second try has as much.
FIRST_TRY_SHARE = 0.5
# Looks at whether this host may send again after it was stopped: 2 s, in
# which a pull from a peer or a leader comes back.
LOOKS = 20
LOOK_INTERVAL_MS = 100
# Checks of a send that fail for every endpoint alike.
HOPELESS = {
    'configuration': outcomes.Reason.NO_CONFIGURATION,
    'deadline': outcomes.Reason.DEADLINE,
    'hops': outcomes.Reason.HOP_LIMIT,
    'quarantine': outcomes.Reason.QUARANTINED,
}


@dataclasses.dataclass
class Whole:
    """Hold an endpoint's whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    endpoint: ids.EndpointId

    @property
    def outcome(self) -> outcomes.Outcome:
        """Return how the request ended, by the endpoint's status."""
        if self.status >= SERVER_ERROR:
            return outcomes.Outcome.FAILED
        return outcomes.Outcome.WHOLE


class Tries:
    """Count the sends of one request and judge each failure."""

    def __init__(
        self,
        head: requests.RequestHead,
        limit: int,
        budget: retries.RetryBudget,
        noted: decisions.Decisions,
        clock: clocks.Clock,
    ):
        self.excluded: set[ids.EndpointId] = set()
        self.may_have_run = False
        self.last_error = ''
        self._looks = LOOKS
        self.count = 0
        self._head = head
        self._limit = limit
        self._budget = budget
        self._decisions = noted
        self._clock = clock
        budget.first_attempt()

    @property
    def purpose(self) -> dispatch.Purpose:
        """Return what the next send is."""
        if self.count == 0:
            return dispatch.Purpose.FIRST
        return dispatch.Purpose.RETRY

    def check_deadline(self) -> None:
        """Give up, at once, when the deadline has passed.

        :raises EndedError: it has
        """
        if self._clock.mono_ms() >= self._head.deadline_ms:
            raise self.ended(outcomes.Reason.DEADLINE, 'deadline passed')

    def try_ms(self, others: bool) -> float:
        """Return the time for one try; the first leaves some for more."""
        left_ms = self._head.deadline_ms - self._clock.mono_ms()
        if others and self.count == 0:
            return left_ms * FIRST_TRY_SHARE
        return left_ms

    async def after(
        self, endpoint: ids.EndpointId, error: errors.CoordinationError
    ) -> None:
        """Do what a failure asks for before the next try.

        A host that was stopped gets a moment to look for changes.

        :raises EndedError: there is no next try
        """
        if isinstance(error, errors.EndpointBusyError):
            # Others take it; the placer leaves this one alone meanwhile.
            self._decisions.note(
                'over_endpoint_limit',
                self._head.request,
                endpoint=endpoint,
                wait_ms=error.wait_ms,
            )
            return
        refused = isinstance(error, errors.SendRefusedError)
        if refused and error.check == 'configuration' and self._looks:
            self._looks -= 1
            await self._clock.sleep_ms(LOOK_INTERVAL_MS)
            return
        self.failed(endpoint, error)

    def failed(
        self, endpoint: ids.EndpointId, error: errors.CoordinationError
    ) -> None:
        """Note a failure; return if another try is allowed.

        :raises EndedError: it is not
        """
        self.count += 1
        self.last_error = str(error)
        self.excluded.add(endpoint)
        if isinstance(error, errors.SendRefusedError):
            self._end_if_hopeless(error)
        sent = isinstance(error, errors.MaybeSentError)
        self.may_have_run |= sent
        allowed = self.count < self._limit and (
            _is_free(error) or self._budget.spend()
        )
        self._decisions.note(
            'try_failed',
            self._head.request,
            endpoint=endpoint,
            error=error,
            tries=self.count,
            retry=allowed,
        )
        if not allowed:
            raise self.ended(outcomes.Reason.ENDPOINT_FAILED, str(error))

    def _end_if_hopeless(self, error: errors.SendRefusedError) -> None:
        """Give up on what no other endpoint would be sent either."""
        reason = HOPELESS.get(error.check)
        if reason is not None:
            raise self.ended(reason, str(error))

    def ended(
        self, reason: outcomes.Reason, detail: str, retry_after_ms: int = 1000
    ) -> errors.RequestEndedError:
        """Return the end of a request that is given up on."""
        outcome = outcomes.Outcome.NOT_RUN
        if self.may_have_run:
            outcome = outcomes.Outcome.UNKNOWN
        return errors.RequestEndedError(
            outcomes.Ending(
                outcome, reason, detail, retry_after_ms, retry_owned=True
            )
        )


def _is_free(error: errors.CoordinationError) -> bool:
    """Return whether a retry adds no load to endpoints.

    A refused request was not run, and where its endpoint is sent nothing
    more for a while its retry makes no further refusals.
    """
    if isinstance(error, errors.OverloadedError):
        return error.backs_off
    return isinstance(error, (errors.NotSentError, errors.SendRefusedError))


class LocalServer:
    """Get whole answers from this region's endpoints."""

    def __init__(
        self,
        limits: settings.EntrySettings,
        dispatcher: dispatch.Dispatcher,
        placer: placement.Placer,
        load_table: loads.Loads,
        noted: decisions.Decisions,
        clock: clocks.Clock,
    ):
        self.settings = limits
        self.dispatcher = dispatcher
        self.placer = placer
        self.loads = load_table
        self.decisions = noted
        self.clock = clock
        self.budget = retries.RetryBudget(
            limits.retry_ratio, limits.retry_burst
        )

    def tries(self, head: requests.RequestHead) -> Tries:
        """Return a new count of one request's sends."""
        return Tries(
            head,
            self.settings.attempts_limit,
            self.budget,
            self.decisions,
            self.clock,
        )

    async def place(
        self, head: requests.RequestHead, tries: Tries
    ) -> placement.Slot:
        """Return a place; after failures the reason given is theirs."""
        try:
            return await self.placer.place(head, tries.excluded)
        except errors.RequestEndedError as error:
            if tries.count == 0:
                raise
            raise tries.ended(
                outcomes.Reason.ENDPOINT_FAILED,
                f'{tries.last_error}; {error.ending.detail}',
                error.ending.retry_after_ms,
            ) from error

    async def serve(self, head: requests.RequestHead, body: bytes) -> Whole:
        """Return a whole answer to a request that may be repeated.

        :raises EndedError: there is none, and how that ended
        """
        tries = self.tries(head)
        while True:
            tries.check_deadline()
            slot = await self.place(head, tries)
            send = dispatch.Send(
                tries.purpose,
                slot.endpoint.endpoint,
                head.method,
                head.path,
                body,
                head,
                slot,
            )
            try:
                answer = await self._try(send, tries)
            except FAILURES as error:
                await tries.after(send.endpoint, error)
                continue
            if answer.status < SERVER_ERROR:
                return answer
            if not self._may_repeat_answer(tries, answer, head):
                return answer

    async def _try(self, send: dispatch.Send, tries: Tries) -> Whole:
        others = tries.count + 1 < self.settings.attempts_limit
        try:
            async with clocks.timeout_ms(tries.try_ms(others)):
                return await self.exchange(send)
        except TimeoutError as error:
            raise errors.MaybeSentError('no answer in time') from error

    def _may_repeat_answer(
        self, tries: Tries, answer: Whole, head: requests.RequestHead
    ) -> bool:
        error = errors.MaybeSentError(f'endpoint answered {answer.status}')
        try:
            tries.failed(answer.endpoint, error)
        except errors.RequestEndedError:
            return False
        return bool(self.placer.endpoints(head) - tries.excluded)

    async def exchange(self, send: dispatch.Send) -> Whole:
        """Send once and read the whole answer, minding the place.

        :raises CoordinationError: as ``Dispatcher.send`` does
        """
        started_ms = self.clock.mono_ms()
        succeeded = overloaded = False
        try:
            async with self.dispatcher.send(send) as answer:
                body = await answer.whole(self.settings.answer_limit_bytes)
            succeeded = answer.status < SERVER_ERROR
            taken_ms = self.clock.mono_ms() - started_ms
            self.loads.answered(send.endpoint)
            self.loads.observe_first(send.endpoint, taken_ms)
            self.loads.observe_hold(send.endpoint, taken_ms)
            self.placer.sessions.used(send.head.session, send.endpoint)
            found = dict(answer.headers)
            found[headers.ENDPOINT] = send.endpoint
            return Whole(answer.status, found, body, send.endpoint)
        except errors.OverloadedError:
            overloaded = True
            raise
        except errors.NotSentError:
            self.loads.failed(send.endpoint)
            raise
        finally:
            send.slot.release(succeeded, overloaded)
