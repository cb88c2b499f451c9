"""Make one attempt at serving a passed-through call.

A call is sent once, to an endpoint or to a host of another region. The
response is passed on, or held back where another attempt is due. Health,
pace and time to the first piece are learned from it.
"""

import asyncio
import collections.abc
import contextlib

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_limits
from wrenspoke.coordination.membership import attendance
from wrenspoke.coordination.membership import reach
from wrenspoke.coordination.serving import choice
from wrenspoke.coordination.serving import estimate
from wrenspoke.coordination.serving import events
from wrenspoke.coordination.serving import health
from wrenspoke.coordination.serving import pace as paces
from wrenspoke.coordination.serving import regions
from wrenspoke.coordination.serving import repeats
from wrenspoke.coordination.serving import sending
from wrenspoke.coordination.serving import sent_calls
from wrenspoke.coordination.serving import work as works
from wrenspoke.protocol import passing
from wrenspoke.state import routes

logger = structlog.get_logger(__name__)

OK_STATUSES = range(200, 300)
UNAVAILABLE = 503
SERVER_ERRORS = range(500, 600)
# Responses up to this size are buffered, so that one cut short can be retried.
WHOLE_LIMIT_BYTES = 8 * 1024 * 1024
# With less time left an attempt is not worth making.
LEAST_LEFT_MS = 20


class Tries:
    """Send calls, and pass responses on or hold them back."""

    def __init__(
        self,
        sender: sending.Sender,
        attended: attendance.Attendance,
        chosen: choice.Choice,
        noted: health.Health,
        reached: reach.Reach,
        estimator: estimate.Estimator,
        elsewhere: regions.Regions,
        clock: clocks.Clock,
        told: sent_calls.SentCalls | None = None,
    ):
        self._sent_calls = told
        self._sender = sender
        self._attended = attended
        self._choice = chosen
        self._health = noted
        self._reach = reached
        self._estimator = estimator
        self._regions = elsewhere
        self._repeats = repeats.Repeats()
        self._clock = clock

    async def make(self, work: works.Work, place: sending.Place) -> bool:
        """Send once; return whether the caller has its answer."""
        counts = self._choice.in_flight
        counts[place.name] = counts.get(place.name, 0) + 1
        last_event = work.call.last_event
        if work.tracker is not None and work.tracker.last_id is not None:
            last_event = work.tracker.last_id
        self._note_sent(work, place)
        # Counts as run until a response or error proves otherwise.
        work.sent += 1
        work.count_runs(1)
        try:
            async with self._watched(work, place):
                async with self._sender.send(
                    work.call,
                    work.permit,
                    place,
                    self._left_ms(work),
                    last_event,
                ) as answer:
                    return await self._take(work, place, answer)
        except errors.SendAbortedError:
            work.sent -= 1
            work.was_not_run()
            self._held_back(work, place)
        except errors.NotSentError as error:
            work.sent -= 1
            work.was_not_run()
            self._failed(work, place, f'not sent: {error}', certain=True)
        except errors.MaybeSentError as error:
            self._failed(work, place, str(error))
        finally:
            self._estimator.note_read(place.endpoint, place.reading)
            counts[place.name] -= 1
            if not counts[place.name]:
                del counts[place.name]
        return False

    async def admit(self, work: works.Work, place: sending.Place) -> bool:
        """Acquire a permit to send; False where the endpoint takes no more."""
        try:
            await self._sender.admit(place, _rank(work, place))
        except errors.EndpointBusyError as error:
            work.over_limit += 1
            work.cause = str(error)
            logger.info(
                'over_endpoint_limit',
                request=work.call.request,
                route=work.route.name,
                endpoint=error.endpoint,
                wait_ms=error.wait_ms,
            )
            return False
        return True

    def _left_ms(self, work: works.Work) -> int:
        return work.deadline_ms - self._clock.mono_ms()

    def _note_sent(self, work: works.Work, place: sending.Place) -> None:
        place.sent_ms = self._clock.mono_ms()
        if place.chosen is None:
            return
        place.reading = self._estimator.note_sent(
            place.endpoint, work.service, work.call, place.chosen.prospect
        )
        if self._sent_calls is not None and place.reading is not None:
            self._sent_calls.note(
                place.endpoint,
                place.chosen.prospect.unread_tokens,
                work.call.parts,
                work.call.tokens_expected,
            )

    def _note_first(self, work: works.Work, place: sending.Place) -> None:
        """Record the time to the first piece of a response."""
        work.first_at_ms = self._clock.mono_ms()
        took_ms = work.first_at_ms - place.sent_ms
        if place.region is not None:
            return
        self._estimator.note_read(place.endpoint, place.reading)
        self._estimator.note_first(
            place.endpoint, work.service, place.chosen.prospect, took_ms
        )

    @contextlib.asynccontextmanager
    async def _watched(
        self, work: works.Work, place: sending.Place
    ) -> collections.abc.AsyncIterator[None]:
        """Give up on a host that falls silent, if the call may be retried.

        A call that may not run twice waits: the response may come once a
        partition has healed.
        """
        if place.host is None or not work.route.repeatable:
            yield
            return
        try:
            async with clocks.timeout_ms(None) as bound:

                def lost() -> None:
                    if not work.reply.started:
                        now_s = asyncio.get_running_loop().time()
                        bound.reschedule(now_s)

                with self._reach.watching(place.host, lost):
                    yield
        except TimeoutError as error:
            if not bound.expired():
                raise
            raise errors.MaybeSentError('host fell silent') from error

    def _failed(
        self,
        work: works.Work,
        place: sending.Place,
        cause: str,
        certain: bool = False,
    ) -> None:
        work.cause = cause
        if place.host is None or not place.answered:
            # A host that answers and breaks off lost its endpoint.
            self._health.failed(place.address, cause, place.sent_ms, certain)
        logger.warning(
            'try_failed',
            request=work.call.request,
            digest=work.call.digest,
            place=place.name,
            cause=cause,
            runs=work.runs,
            left_ms=self._left_ms(work),
        )

    def _held_back(self, work: works.Work, place: sending.Place) -> None:
        """Record that a send was rejected by a check at send time.

        Where another team holds its key now, the place may be tried again;
        not where the permit expired on the way.
        """
        if place.send_permit is None or place.send_permit.is_valid():
            work.tried.discard(place.name)
        work.cause = f'{place.name}: may not go there any more'
        logger.warning(
            'held_back',
            request=work.call.request,
            route=work.route.name,
            place=place.name,
            regions=list(place.regions),
            homes_before=list(work.route.homes),
        )

    async def _take(
        self, work: works.Work, place: sending.Place, answer: sending.Answer
    ) -> bool:
        """Pass a response on, or hold it back where another attempt is due."""
        place.answered = True
        if work.kept is not None and answer.refused is None:
            self._repeats.note(work.route.name, answer.status in OK_STATUSES)
        if place.host is not None:
            work.count_runs(answer.runs - 1)
        if answer.verdict is sending.Verdict.NOT_HERE:
            work.was_not_run()
            work.cause = 'not here any more'
            # Nothing of this life of it will come back.
            self._attended.withdraw(
                place.endpoint, place.chosen.found.said.born_ms
            )
            return False
        if answer.verdict is sending.Verdict.NOT_RUN:
            work.was_not_run()
            work.cause = f'endpoint refused with {answer.status}'
            return False
        if answer.refused is not None:
            return await self._take_refusal(work, place, answer)
        if answer.status in SERVER_ERRORS:
            self._health.failed(
                place.address, f'status {answer.status}', place.sent_ms
            )
            if self._may_repeat(work) and self._repeats.pays(work.route.name):
                work.cause = f'status {answer.status}'
                body = await answer.whole(WHOLE_LIMIT_BYTES)
                work.kept = works.KeptAnswer(
                    answer.status, answer.fields, body
                )
                return False
        else:
            self._health.succeeded(place.address)
        if work.tracker is not None:
            return await self._go_on(work, place, answer)
        if work.route.kind is routes.RouteKind.STREAM and (
            answer.status in OK_STATUSES
        ):
            await self._stream(work, place, answer)
            return True
        body = await answer.whole(WHOLE_LIMIT_BYTES)
        if answer.status in OK_STATUSES:
            self._note_first(work, place)
        await work.reply.whole(answer.status, answer.fields, body)
        self._log_end(work, place, answer.status)
        return True

    async def _take_refusal(
        self, work: works.Work, place: sending.Place, answer: sending.Answer
    ) -> bool:
        """Take the refusal of a host of another region.

        :raises UnknownKeyError: by its configuration, which is no older
        :raises QuarantinedError: it knows that endpoints ended under it
        """
        work.cause = f'{place.name}: {answer.refused}'
        if answer.status == UNAVAILABLE:
            work.unrun += 1
        if answer.refused in passing.NOTHING_SENT:
            work.sent -= 1
        if answer.refused is passing.Refusal.UNSENT:
            work.told_return_ms = int(answer.retry_after_ms) or None
        if answer.refused in (passing.Refusal.UNSENT, passing.Refusal.BUSY):
            work.regions_out.add(place.region)
        if answer.refused == passing.Refusal.UNKNOWN_KEY:
            raise errors.UnknownKeyError(work.cause)
        if answer.refused == passing.Refusal.QUARANTINED:
            raise errors.QuarantinedError(int(answer.retry_after_ms))
        if answer.refused == passing.Refusal.BUSY:
            self._regions.note_told(
                place.region, work.service.service, answer.retry_after_ms
            )
        return False

    def _may_repeat(self, work: works.Work) -> bool:
        return (
            work.route.repeatable
            and not work.reply.started
            and work.runs < work.runs_limit
            and self._left_ms(work) > LEAST_LEFT_MS
        )

    # Streams.

    async def _stream(
        self, work: works.Work, place: sending.Place, answer: sending.Answer
    ) -> None:
        """Pass a stream on; the head is sent with the first piece."""
        tracker = events.EventTracker(whole_only=work.route.resumable)
        await self._pass_events(work, place, answer, tracker)
        await self._end_stream(work, place, answer, tracker)

    async def _pass_events(
        self,
        work: works.Work,
        place: sending.Place,
        answer: sending.Answer,
        tracker: events.EventTracker,
    ) -> None:
        """Pass events on, and record the engine's pace."""
        with self._paced(work, place) as paced:
            async for chunk in answer.chunks():
                data = tracker.feed(chunk)
                if not data:
                    continue
                if not work.reply.started:
                    self._note_first(work, place)
                    await work.reply.open(answer.status, answer.fields)
                    work.tracker = tracker
                work.note_piece(self._clock.mono_ms())
                paced.note_piece()
                await work.reply.write(data)

    def _paced(
        self, work: works.Work, place: sending.Place
    ) -> paces.PacedStream:
        tokens = 1
        if work.service.batch is not None:
            tokens = work.service.batch.event_tokens
        return paces.PacedStream(
            self._estimator.pace,
            place.endpoint,
            tokens,
            work.route.pause_target_ms,
        )

    async def _end_stream(
        self,
        work: works.Work,
        place: sending.Place,
        answer: sending.Answer,
        tracker: events.EventTracker,
    ) -> None:
        if not work.reply.started:
            await work.reply.open(answer.status, answer.fields)
        rest = tracker.rest()
        if rest:
            await work.reply.write(rest)
        await work.reply.end()
        self._log_end(work, place, answer.status, tracker.count)

    async def _go_on(
        self, work: works.Work, place: sending.Place, answer: sending.Answer
    ) -> bool:
        """Continue a stream that another endpoint began."""
        if answer.status not in OK_STATUSES:
            work.cause = f'not resumed: status {answer.status}'
            return False
        logger.info(
            'stream_resumed',
            request=work.call.request,
            last_event=work.tracker.last_id,
        )
        work.tracker.begin_again()
        await self._pass_events(work, place, answer, work.tracker)
        await self._end_stream(work, place, answer, work.tracker)
        return True

    def _log_end(
        self,
        work: works.Work,
        place: sending.Place,
        status: int,
        pieces: int = 1,
    ) -> None:
        now_ms = self._clock.mono_ms()
        first_ms = (work.first_at_ms or now_ms) - work.call.arrived_ms
        logger.info(
            'answered',
            request=work.call.request,
            route=work.route.name,
            place=place.name,
            status=status,
            first_ms=first_ms,
            target_ms=work.route.target_ms,
            whole_ms=now_ms - work.call.arrived_ms,
            pieces=pieces,
            longest_pause_ms=work.longest_pause_ms,
            pause_target_ms=work.route.pause_target_ms,
            expected_ms=place.expected_ms,
            took_ms=self._took_ms(work, place),
            runs=work.runs,
            unrun=work.unrun,
        )

    @staticmethod
    def _took_ms(work: works.Work, place: sending.Place) -> int | None:
        """Return how long the first piece took after the call was sent.

        None where another endpoint gave it.
        """
        if work.first_at_ms is None or work.first_at_ms < place.sent_ms:
            return None
        return work.first_at_ms - place.sent_ms


def _rank(work: works.Work, place: sending.Place) -> int:
    """Return a call's rank among those that want the same endpoint.

    A stream that another endpoint began goes first.
    """
    if work.tracker is not None or place.chosen is None:
        return endpoint_limits.FIRST_RANK
    kept = place.chosen.prospect.unread_tokens < work.call.tokens_in
    return endpoint_limits.rank_of(work.permit.urgency, kept)
