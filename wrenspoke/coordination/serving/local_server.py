"""Serve requests at the endpoints of this region, with retries."""

import dataclasses

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import loads
from wrenspoke.coordination.serving import decisions
from wrenspoke.coordination.serving import dispatch
from wrenspoke.coordination.serving import placement
from wrenspoke.coordination.serving import retry_budget
from wrenspoke import ids
from wrenspoke.protocol import headers
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import requests
from wrenspoke import settings

logger = structlog.get_logger(__name__)

SERVER_ERROR = 500
SEND_ERRORS = (
    errors.SendRefusedError,
    errors.NotSentError,
    errors.OverloadedError,
    errors.MaybeSentError,
)
# Part of the remaining time for the first try, so that a retry has as much.
FIRST_TRY_SHARE = 0.5
# After a pause of this process its configuration may be stale. The total of
# the rechecks, 2 s, allows for one pull from a peer or the leader.
CONFIG_RECHECKS = 20
CONFIG_RECHECK_INTERVAL_MS = 100
# Checks whose failure is the same for every endpoint.
NON_RETRIABLE_CHECKS = {
    'configuration': outcomes.Reason.NO_CONFIGURATION,
    'deadline': outcomes.Reason.DEADLINE,
    'hops': outcomes.Reason.HOP_LIMIT,
    'quarantine': outcomes.Reason.QUARANTINED,
}


@dataclasses.dataclass
class BufferedResponse:
    """Response of an endpoint with its body read completely."""

    status: int
    headers: dict[str, str]
    body: bytes
    endpoint: ids.EndpointId

    @property
    def outcome(self) -> outcomes.Outcome:
        """Return the outcome that the status indicates."""
        if self.status >= SERVER_ERROR:
            return outcomes.Outcome.FAILED
        return outcomes.Outcome.WHOLE


class RetryState:
    """Tracks the tries of one request and decides on retries."""

    def __init__(
        self,
        head: requests.RequestHead,
        limit: int,
        budget: retry_budget.RetryBudget,
        decision_log: decisions.DecisionLog,
        clock: clocks.Clock,
    ):
        self.excluded_endpoints: set[ids.EndpointId] = set()
        self.may_have_run = False
        self.last_error = ''
        self._config_rechecks_left = CONFIG_RECHECKS
        self.count = 0
        self._head = head
        self._limit = limit
        self._budget = budget
        self._decisions = decision_log
        self._clock = clock
        budget.record_first_attempt()

    @property
    def purpose(self) -> dispatch.Purpose:
        """Return the purpose of the next send."""
        if self.count == 0:
            return dispatch.Purpose.FIRST
        return dispatch.Purpose.RETRY

    def check_deadline(self) -> None:
        """Raise if the deadline has passed.

        :raises RequestEndedError: it has passed
        """
        if self._clock.mono_ms() >= self._head.deadline_ms:
            raise self.ended_error(
                outcomes.Reason.DEADLINE, 'deadline exceeded'
            )

    def try_timeout_ms(self, has_more_tries: bool) -> float:
        """Return the timeout of one try; the first leaves time for a retry."""
        left_ms = self._head.deadline_ms - self._clock.mono_ms()
        if has_more_tries and self.count == 0:
            return left_ms * FIRST_TRY_SHARE
        return left_ms

    async def handle_failure(
        self, endpoint: ids.EndpointId, error: errors.CoordinationError
    ) -> None:
        """Prepare the next try after a failure.

        Waits for a newer configuration if that of this host may be stale.

        :raises RequestEndedError: there is no next try
        """
        if isinstance(error, errors.EndpointBusyError):
            # Not a failure: the scheduler skips this endpoint meanwhile.
            self._decisions.record(
                'over_endpoint_limit',
                self._head.request,
                endpoint=endpoint,
                wait_ms=error.wait_ms,
            )
            return
        refused = isinstance(error, errors.SendRefusedError)
        if (
            refused
            and error.check == 'configuration'
            and self._config_rechecks_left
        ):
            self._config_rechecks_left -= 1
            await self._clock.sleep_ms(CONFIG_RECHECK_INTERVAL_MS)
            return
        self.record_failure(endpoint, error)

    def record_failure(
        self, endpoint: ids.EndpointId, error: errors.CoordinationError
    ) -> None:
        """Record a failure; return if another try is allowed.

        :raises RequestEndedError: it is not
        """
        self.count += 1
        self.last_error = str(error)
        self.excluded_endpoints.add(endpoint)
        if isinstance(error, errors.SendRefusedError):
            self._raise_if_non_retriable(error)
        sent = isinstance(error, errors.MaybeSentError)
        self.may_have_run |= sent
        allowed = self.count < self._limit and (
            _is_budget_exempt(error) or self._budget.try_spend()
        )
        self._decisions.record(
            'try_failed',
            self._head.request,
            endpoint=endpoint,
            error=error,
            tries=self.count,
            retry=allowed,
        )
        if not allowed:
            raise self.ended_error(outcomes.Reason.ENDPOINT_FAILED, str(error))

    def _raise_if_non_retriable(self, error: errors.SendRefusedError) -> None:
        """Raise if a check would fail for every other endpoint as well.

        :raises RequestEndedError: no endpoint can be tried
        """
        reason = NON_RETRIABLE_CHECKS.get(error.check)
        if reason is not None:
            raise self.ended_error(reason, str(error))

    def ended_error(
        self, reason: outcomes.Reason, detail: str, retry_after_ms: int = 1000
    ) -> errors.RequestEndedError:
        """Return the error that ends a request without a response."""
        outcome = outcomes.Outcome.NOT_RUN
        if self.may_have_run:
            outcome = outcomes.Outcome.UNKNOWN
        return errors.RequestEndedError(
            outcomes.Ending(
                outcome, reason, detail, retry_after_ms, retry_owned=True
            )
        )


def _is_budget_exempt(error: errors.CoordinationError) -> bool:
    """Return whether a retry adds no load and is exempt from the budget.

    A try that was not run is exempt; one with an overload response only if
    this host backs off from the endpoint.
    """
    if isinstance(error, errors.OverloadedError):
        return error.backs_off
    return isinstance(error, (errors.NotSentError, errors.SendRefusedError))


class LocalServer:
    """Serves requests with buffered responses from this region."""

    def __init__(
        self,
        entry_settings: settings.EntrySettings,
        dispatcher: dispatch.Dispatcher,
        scheduler: placement.EndpointScheduler,
        load_table: loads.LoadTable,
        decision_log: decisions.DecisionLog,
        clock: clocks.Clock,
    ):
        self.settings = entry_settings
        self.dispatcher = dispatcher
        self.scheduler = scheduler
        self.loads = load_table
        self.decisions = decision_log
        self.clock = clock
        self.budget = retry_budget.RetryBudget(
            entry_settings.retry_ratio, entry_settings.retry_burst
        )

    def new_retry_state(self, head: requests.RequestHead) -> RetryState:
        """Return the retry state of a new request."""
        return RetryState(
            head,
            self.settings.attempts_limit,
            self.budget,
            self.decisions,
            self.clock,
        )

    async def acquire_slot(
        self, head: requests.RequestHead, retry_state: RetryState
    ) -> placement.Slot:
        """Acquire a slot at an endpoint that has not failed this request.

        :raises RequestEndedError: none is free in time; after failed tries
            the reason is that of the last failure
        """
        try:
            return await self.scheduler.acquire_slot(
                head, retry_state.excluded_endpoints
            )
        except errors.RequestEndedError as error:
            if retry_state.count == 0:
                raise
            raise retry_state.ended_error(
                outcomes.Reason.ENDPOINT_FAILED,
                f'{retry_state.last_error}; {error.ending.detail}',
                error.ending.retry_after_ms,
            ) from error

    async def serve(
        self, head: requests.RequestHead, body: bytes
    ) -> BufferedResponse:
        """Return the response to a request that may be retried.

        :raises RequestEndedError: there is no response
        """
        retry_state = self.new_retry_state(head)
        while True:
            retry_state.check_deadline()
            slot = await self.acquire_slot(head, retry_state)
            send = dispatch.Send(
                retry_state.purpose,
                slot.endpoint.endpoint,
                head.method,
                head.path,
                body,
                head,
                slot,
            )
            try:
                answer = await self._try_once(send, retry_state)
            except SEND_ERRORS as error:
                await retry_state.handle_failure(send.endpoint, error)
                continue
            if answer.status < SERVER_ERROR:
                return answer
            if not self._may_retry_response(retry_state, answer, head):
                return answer

    async def _try_once(
        self, send: dispatch.Send, retry_state: RetryState
    ) -> BufferedResponse:
        has_more_tries = retry_state.count + 1 < self.settings.attempts_limit
        try:
            async with clocks.timeout_ms(
                retry_state.try_timeout_ms(has_more_tries)
            ):
                return await self.exchange(send)
        except TimeoutError as error:
            raise errors.MaybeSentError(
                f'no response from {send.endpoint} within the try timeout'
            ) from error

    def _may_retry_response(
        self,
        retry_state: RetryState,
        answer: BufferedResponse,
        head: requests.RequestHead,
    ) -> bool:
        error = errors.MaybeSentError(f'endpoint answered {answer.status}')
        try:
            retry_state.record_failure(answer.endpoint, error)
        except errors.RequestEndedError:
            return False
        return bool(
            self.scheduler.eligible_endpoints(head)
            - retry_state.excluded_endpoints
        )

    async def exchange(self, send: dispatch.Send) -> BufferedResponse:
        """Send once, read the whole response and release the slot.

        :raises CoordinationError: as ``Dispatcher.send`` does
        """
        started_ms = self.clock.mono_ms()
        succeeded = overloaded = False
        try:
            async with self.dispatcher.send(send) as answer:
                body = await answer.read_all(self.settings.answer_limit_bytes)
            succeeded = answer.status < SERVER_ERROR
            taken_ms = self.clock.mono_ms() - started_ms
            self.loads.record_answer(send.endpoint)
            self.loads.observe_first_token(send.endpoint, taken_ms)
            self.loads.observe_occupancy(send.endpoint, taken_ms)
            self.scheduler.sessions.record_use(
                send.head.session, send.endpoint
            )
            response_headers = dict(answer.headers)
            response_headers[headers.ENDPOINT] = send.endpoint
            return BufferedResponse(
                answer.status, response_headers, body, send.endpoint
            )
        except errors.OverloadedError:
            overloaded = True
            raise
        except errors.NoDescriptorError:
            raise
        except errors.NotSentError:
            self.loads.record_connect_failure(send.endpoint)
            raise
        finally:
            send.slot.release(succeeded, overloaded)
