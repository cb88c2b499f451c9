"""Serve once-only requests.

A request is claimed in the ledger of its region before it is sent, and sent
at most once. Resends get the stored response.
"""

import asyncio

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import members
from wrenspoke.coordination.serving import decisions
from wrenspoke.coordination.serving import dispatch
from wrenspoke.coordination.serving import ledger
from wrenspoke.coordination.serving import local_server
from wrenspoke.coordination.serving import placement
from wrenspoke import ids
from wrenspoke.protocol import headers
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import replies
from wrenspoke.protocol import requests
from wrenspoke import settings
from wrenspoke.state import registers

logger = structlog.get_logger(__name__)

LATE_RESPONSE_TIMEOUT_MS = 60_000
RESEND_POLL_MS = 100
RESEND_WAIT_MS = 3_000


class OnceServer:
    """Runs each once-only request at most once across hosts and resends."""

    def __init__(
        self,
        host: ids.HostId,
        ledger_settings: settings.LedgerSettings,
        once_ledger: ledger.Ledger,
        server: local_server.LocalServer,
        host_members: members.Members,
        decision_log: decisions.DecisionLog,
        clock: clocks.Clock,
    ):
        self._host = host
        self._settings = ledger_settings
        self._ledger = once_ledger
        self._server = server
        self._members = host_members
        self._decisions = decision_log
        self._clock = clock
        self._attempt_tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Wait until the responses of all running attempts are recorded."""
        if self._attempt_tasks:
            await asyncio.wait(self._attempt_tasks)

    async def serve(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey,
        body: bytes,
        reply: replies.Reply,
    ) -> None:
        """Serve a once-only request whose key belongs to this region.

        :raises RequestEndedError: there is no response; the ending says
            whether the request may have been run
        """
        self._check_age(head, key)
        if head.resend:
            claim = await self._read_claim(head, key)
            if not _is_claimable(claim, head.attempt):
                await self._reply_from_claim(head, key, claim, reply)
                return
        task = asyncio.get_running_loop().create_task(
            self._run_attempt(head, key, body)
        )
        self._attempt_tasks.add(task)
        task.add_done_callback(self._discard_task)
        answer = await self._wait_for_attempt(head, task)
        if isinstance(answer, registers.Claim):
            await self._reply_from_claim(head, key, answer, reply)
            return
        await reply.send_response(
            answer.status, answer.headers, answer.body, answer.outcome
        )

    def _discard_task(self, task: asyncio.Task) -> None:
        """Remove a finished attempt and retrieve its exception.

        After its caller disconnected nothing else awaits the task, and an
        exception that is never retrieved is logged as unhandled.
        """
        self._attempt_tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _wait_for_attempt(
        self, head: requests.RequestHead, task: asyncio.Task
    ) -> local_server.BufferedResponse | registers.Claim:
        """Wait for an attempt, which continues if the caller disconnects."""
        left_ms = head.deadline_ms - self._clock.mono_ms()
        try:
            async with clocks.timeout_ms(left_ms):
                return await asyncio.shield(task)
        except TimeoutError as error:
            raise _ending_error(
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.DEADLINE,
                'deadline exceeded after it may have been sent; resend it '
                'to get the response',
            ) from error

    async def _run_attempt(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey,
        body: bytes,
    ) -> local_server.BufferedResponse | registers.Claim:
        """Claim and send; return the claim if another attempt holds it."""
        slot = await self._server.scheduler.acquire_slot(head)
        try:
            ticket, claim = await self._claim(head, key)
        except BaseException:
            slot.release()
            raise
        if ticket is None:
            slot.release()
            return claim
        return await self._send_claimed(head, key, body, slot, ticket)

    def _check_age(
        self, head: requests.RequestHead, key: requests.OnceKey
    ) -> None:
        problem = self._ledger.check_age(key)
        if problem == 'expired':
            raise _ending_error(
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.KEY_EXPIRED,
                'the key is older than '
                f'{self._settings.claim_retention_ms} ms and its claim '
                'has expired; whether it ran is unknown',
            )
        if problem == 'future':
            raise _ending_error(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.BAD_REQUEST,
                f'{headers.REQUEST}: the issue time of {head.request} is '
                'in the future',
            )

    async def _read_claim(
        self, head: requests.RequestHead, key: requests.OnceKey
    ) -> registers.Claim:
        try:
            return await self._ledger.read(key)
        except errors.LedgerUnreachableError as error:
            raise self._ledger_unreachable_error(head, error) from error

    async def _claim(
        self, head: requests.RequestHead, key: requests.OnceKey
    ) -> tuple[dispatch.ClaimTicket | None, registers.Claim]:
        attempt_id = ids.AttemptId(ids.new_random_id())
        try:
            claim = await self._ledger.change(
                key,
                lambda old: registers.with_claim(
                    old, head.attempt, self._host, attempt_id
                ),
            )
        except errors.LedgerUnreachableError as error:
            raise self._ledger_unreachable_error(head, error) from error
        won = claim.attempt_id == attempt_id
        self._decisions.record(
            'claim',
            head.request,
            won=won,
            state=claim.state,
            attempt=head.attempt,
        )
        if not won:
            return None, claim
        return dispatch.ClaimTicket(head.request, attempt_id), claim

    def _ledger_unreachable_error(
        self,
        head: requests.RequestHead,
        error: errors.LedgerUnreachableError,
    ) -> errors.RequestEndedError:
        """Return the error of an attempt without a ledger majority.

        The attempt was not sent. A resend is reported as unknown, since an
        earlier attempt may have been run.
        """
        self._decisions.record('ledger_unreachable', head.request, error=error)
        outcome = outcomes.Outcome.NOT_RUN
        if head.resend:
            outcome = outcomes.Outcome.UNKNOWN
        return _ending_error(
            outcome,
            outcomes.Reason.LEDGER_UNREACHABLE,
            'too few ledger hosts can be reached',
            self._server.settings.retry_after_ms,
        )

    async def _send_claimed(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey,
        body: bytes,
        slot: placement.Slot,
        ticket: dispatch.ClaimTicket,
    ) -> local_server.BufferedResponse:
        retry_state = self._server.new_retry_state(head)
        while True:
            send = dispatch.Send(
                retry_state.purpose,
                slot.endpoint.endpoint,
                head.method,
                head.path,
                body,
                head,
                slot,
                ticket,
            )
            try:
                async with clocks.timeout_ms(LATE_RESPONSE_TIMEOUT_MS):
                    answer = await self._server.exchange(send)
                break
            except (errors.MaybeSentError, TimeoutError) as error:
                await self._record_response(key, ticket, None)
                raise _ending_error(
                    outcomes.Outcome.UNKNOWN,
                    outcomes.Reason.ENDPOINT_FAILED,
                    f'the request may have run: {error}',
                ) from error
            except (errors.NotSentError, errors.SendRefusedError) as error:
                slot = await self._next_slot(
                    head, key, retry_state, send, error
                )
        await self._record_response(key, ticket, answer)
        return answer

    async def _next_slot(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey,
        retry_state: local_server.RetryState,
        send: dispatch.Send,
        error: errors.CoordinationError,
    ) -> placement.Slot:
        """Return another slot after a try that sent nothing.

        :raises RequestEndedError: there is none; the claim was released
        """
        try:
            await retry_state.handle_failure(send.endpoint, error)
            return await self._server.acquire_slot(head, retry_state)
        except errors.RequestEndedError:
            await self._release_claim(key, send.ticket)
            raise

    async def _release_claim(
        self, key: requests.OnceKey, ticket: dispatch.ClaimTicket
    ) -> None:
        try:
            await self._ledger.change(
                key,
                lambda old: registers.with_release(old, ticket.attempt_id),
            )
        except errors.LedgerUnreachableError:
            logger.warning('claim_release_failed', request=key)

    async def _record_response(
        self,
        key: requests.OnceKey,
        ticket: dispatch.ClaimTicket,
        answer: local_server.BufferedResponse | None,
    ) -> None:
        kept_answer = None
        limit_bytes = self._settings.kept_answer_bytes
        if answer is not None and len(answer.body) <= limit_bytes:
            kept_answer = registers.StoredResponse(
                answer.status, answer.headers, answer.body
            )
        try:
            await self._ledger.change(
                key,
                lambda old: registers.with_answer(
                    old, ticket.attempt_id, kept_answer
                ),
            )
        except errors.LedgerUnreachableError:
            logger.warning('response_not_recorded', request=key)

    async def _reply_from_claim(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey,
        claim: registers.Claim,
        reply: replies.Reply,
    ) -> None:
        """Reply to a resend from its claim, waiting for a running attempt.

        :raises RequestEndedError: no response is stored
        """
        until_ms = min(
            head.deadline_ms, self._clock.mono_ms() + RESEND_WAIT_MS
        )
        while claim.state is registers.ClaimState.DISPATCHED:
            # A host that is down records no response.
            if not self._members.usable(claim.host):
                break
            if self._clock.mono_ms() + RESEND_POLL_MS >= until_ms:
                break
            await self._clock.sleep_ms(RESEND_POLL_MS)
            claim = await self._read_claim(head, key)
        self._decisions.record(
            'resend', head.request, state=claim.state, by=claim.host
        )
        if claim.state is registers.ClaimState.REFUSED:
            raise _ending_error(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.CLAIM_REFUSED,
                f'attempts up to {claim.attempt} were refused and not run; '
                'resend with a higher attempt number',
            )
        if claim.answer is None:
            raise _ending_error(
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.CLAIM_EXISTS,
                'it was sent before and no response is stored',
                self._server.settings.retry_after_ms,
            )
        kept_answer = claim.answer
        response = local_server.BufferedResponse(
            kept_answer.status,
            kept_answer.headers,
            kept_answer.body,
            ids.EndpointId(''),
        )
        await reply.send_response(
            response.status, response.headers, response.body, response.outcome
        )


def _is_claimable(claim: registers.Claim, attempt: int) -> bool:
    if claim.state is registers.ClaimState.FREE:
        return True
    refused = claim.state is registers.ClaimState.REFUSED
    return refused and claim.attempt < attempt


def _ending_error(
    outcome: outcomes.Outcome,
    reason: outcomes.Reason,
    detail: str,
    retry_after_ms: int = 0,
) -> errors.RequestEndedError:
    return errors.RequestEndedError(
        outcomes.Ending(
            outcome, reason, detail, retry_after_ms, retry_owned=True
        )
    )
