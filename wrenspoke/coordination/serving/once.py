"""Serve once-only requests: claim in the ledger, then send at most once."""

import asyncio

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import members
from wrenspoke.coordination.serving import decisions
from wrenspoke.coordination.serving import dispatch
from wrenspoke.coordination.serving import ledger
from wrenspoke.coordination.serving import local
from wrenspoke.coordination.serving import placement
from wrenspoke import ids
from wrenspoke.protocol import headers
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import replies
from wrenspoke.protocol import requests
from wrenspoke import settings
from wrenspoke.state import registers

logger = structlog.get_logger(__name__)

LATE_ANSWER_MS = 60_000
RESEND_POLL_MS = 100
RESEND_WAIT_MS = 3_000


class OnceServer:
    """Run a request at most once, whoever asks and however often."""

    def __init__(
        self,
        host: ids.HostId,
        limits: settings.LedgerSettings,
        book: ledger.Ledger,
        server: local.LocalServer,
        watched: members.Members,
        noted: decisions.Decisions,
        clock: clocks.Clock,
    ):
        self._host = host
        self._settings = limits
        self._ledger = book
        self._server = server
        self._members = watched
        self._decisions = noted
        self._clock = clock
        self._running: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Wait until every answer that is due has been recorded."""
        if self._running:
            await asyncio.wait(self._running)

    async def serve(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey,
        body: bytes,
        reply: replies.Reply,
    ) -> None:
        """Answer a once-only request of this region's ledger.

        :raises EndedError: there is no answer, and what is known
        """
        self._check_age(head, key)
        if head.resend:
            claim = await self._read(head, key)
            if not _is_open(claim, head.attempt):
                await self._answer_known(head, key, claim, reply)
                return
        task = asyncio.get_running_loop().create_task(
            self._attempt(head, key, body)
        )
        self._running.add(task)
        task.add_done_callback(self._forget)
        answer = await self._wait(head, task)
        if isinstance(answer, registers.Claim):
            await self._answer_known(head, key, answer, reply)
            return
        await reply.whole(
            answer.status, answer.headers, answer.body, answer.outcome
        )

    def _forget(self, task: asyncio.Task) -> None:
        """Let go of an attempt; a caller that left hears no error."""
        self._running.discard(task)
        if not task.cancelled():
            task.exception()

    async def _wait(
        self, head: requests.RequestHead, task: asyncio.Task
    ) -> local.Whole | registers.Claim:
        """Wait for an attempt, which outlives a caller that leaves."""
        left_ms = head.deadline_ms - self._clock.mono_ms()
        try:
            async with clocks.timeout_ms(left_ms):
                return await asyncio.shield(task)
        except TimeoutError as error:
            raise _ended(
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.DEADLINE,
                'deadline passed while it may have been sent; ask again '
                'for the answer',
            ) from error

    async def _attempt(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey,
        body: bytes,
    ) -> local.Whole | registers.Claim:
        """Claim and send; return the claim where it is another's."""
        slot = await self._server.placer.place(head)
        try:
            ticket, claim = await self._claim(head, key)
        except BaseException:
            slot.release()
            raise
        if ticket is None:
            slot.release()
            return claim
        return await self._exchange(head, key, body, slot, ticket)

    def _check_age(
        self, head: requests.RequestHead, key: requests.OnceKey
    ) -> None:
        problem = self._ledger.check_age(key)
        if problem == 'expired':
            raise _ended(
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.KEY_EXPIRED,
                'the key is older than '
                f'{self._settings.claim_retention_ms} ms; whether it ran '
                'is not known any more',
            )
        if problem == 'future':
            raise _ended(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.BAD_REQUEST,
                f'{headers.REQUEST}: the issue time of {head.request} is '
                'in the future',
            )

    async def _read(
        self, head: requests.RequestHead, key: requests.OnceKey
    ) -> registers.Claim:
        try:
            return await self._ledger.read(key)
        except errors.LedgerUnreachableError as error:
            raise self._unreachable(head, error) from error

    async def _claim(
        self, head: requests.RequestHead, key: requests.OnceKey
    ) -> tuple[dispatch.ClaimTicket | None, registers.Claim]:
        attempt_id = ids.AttemptId(ids.new_unique())
        try:
            claim = await self._ledger.change(
                key,
                lambda old: registers.claimed(
                    old, head.attempt, self._host, attempt_id
                ),
            )
        except errors.LedgerUnreachableError as error:
            raise self._unreachable(head, error) from error
        won = claim.attempt_id == attempt_id
        self._decisions.note(
            'claim',
            head.request,
            won=won,
            state=claim.state,
            attempt=head.attempt,
        )
        if not won:
            return None, claim
        return dispatch.ClaimTicket(head.request, attempt_id), claim

    def _unreachable(
        self,
        head: requests.RequestHead,
        error: errors.LedgerUnreachableError,
    ) -> errors.RequestEndedError:
        """Tell the truth without the ledger.

        The attempt itself has not left this host. Only of a first one
        does that mean that the request was not run.
        """
        self._decisions.note('ledger_unreachable', head.request, error=error)
        outcome = outcomes.Outcome.NOT_RUN
        if head.resend:
            outcome = outcomes.Outcome.UNKNOWN
        return _ended(
            outcome,
            outcomes.Reason.LEDGER_UNREACHABLE,
            'too few ledger hosts can be reached',
            self._server.settings.retry_after_ms,
        )

    async def _exchange(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey,
        body: bytes,
        slot: placement.Slot,
        ticket: dispatch.ClaimTicket,
    ) -> local.Whole:
        tries = self._server.tries(head)
        while True:
            send = dispatch.Send(
                tries.purpose,
                slot.endpoint.endpoint,
                head.method,
                head.path,
                body,
                head,
                slot,
                ticket,
            )
            try:
                async with clocks.timeout_ms(LATE_ANSWER_MS):
                    answer = await self._server.exchange(send)
                break
            except (errors.MaybeSentError, TimeoutError) as error:
                await self._record(key, ticket, None)
                raise _ended(
                    outcomes.Outcome.UNKNOWN,
                    outcomes.Reason.ENDPOINT_FAILED,
                    f'it may have run: {error}',
                ) from error
            except (errors.NotSentError, errors.SendRefusedError) as error:
                slot = await self._next_slot(head, key, tries, send, error)
        await self._record(key, ticket, answer)
        return answer

    async def _next_slot(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey,
        tries: local.Tries,
        send: dispatch.Send,
        error: errors.CoordinationError,
    ) -> placement.Slot:
        """Return another place, as nothing has been sent yet."""
        try:
            await tries.after(send.endpoint, error)
            return await self._server.place(head, tries)
        except errors.RequestEndedError:
            await self._give_back(key, send.ticket)
            raise

    async def _give_back(
        self, key: requests.OnceKey, ticket: dispatch.ClaimTicket
    ) -> None:
        try:
            await self._ledger.change(
                key,
                lambda old: registers.released(old, ticket.attempt_id),
            )
        except errors.LedgerUnreachableError:
            logger.warning('claim_kept', request=key)

    async def _record(
        self,
        key: requests.OnceKey,
        ticket: dispatch.ClaimTicket,
        answer: local.Whole | None,
    ) -> None:
        kept = None
        limit_bytes = self._settings.kept_answer_bytes
        if answer is not None and len(answer.body) <= limit_bytes:
            kept = registers.KeptAnswer(
                answer.status, answer.headers, answer.body
            )
        try:
            await self._ledger.change(
                key,
                lambda old: registers.answered(old, ticket.attempt_id, kept),
            )
        except errors.LedgerUnreachableError:
            logger.warning('answer_not_recorded', request=key)

    async def _answer_known(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey,
        claim: registers.Claim,
        reply: replies.Reply,
    ) -> None:
        """Answer a resend by what the ledger knows."""
        until_ms = min(
            head.deadline_ms, self._clock.mono_ms() + RESEND_WAIT_MS
        )
        while claim.state is registers.ClaimState.DISPATCHED:
            # Only a host that lives can still bring the answer.
            if not self._members.usable(claim.host):
                break
            if self._clock.mono_ms() + RESEND_POLL_MS >= until_ms:
                break
            await self._clock.sleep_ms(RESEND_POLL_MS)
            claim = await self._read(head, key)
        self._decisions.note(
            'resend', head.request, state=claim.state, by=claim.host
        )
        if claim.state is registers.ClaimState.REFUSED:
            raise _ended(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.CLAIM_REFUSED,
                f'attempts up to {claim.attempt} were refused unrun; '
                'send a higher one',
            )
        if claim.answer is None:
            raise _ended(
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.CLAIM_EXISTS,
                'it was sent before and its answer is not known here',
                self._server.settings.retry_after_ms,
            )
        kept = claim.answer
        whole = local.Whole(
            kept.status, kept.headers, kept.body, ids.EndpointId('')
        )
        await reply.whole(
            whole.status, whole.headers, whole.body, whole.outcome
        )


def _is_open(claim: registers.Claim, attempt: int) -> bool:
    if claim.state is registers.ClaimState.FREE:
        return True
    refused = claim.state is registers.ClaimState.REFUSED
    return refused and claim.attempt < attempt


def _ended(
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
