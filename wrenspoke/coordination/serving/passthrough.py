"""Serve calls that are passed through: routes, tries and their ends.

A call is sent to one endpoint at a time. What may run twice is tried
again within the route's attempts and the shared budget; what may not is
only sent again after a promise that it was not run. Given up on, it gets
its final answer at once.
"""

import asyncio
import collections.abc
import contextlib
import random

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import attendance
from wrenspoke.coordination.membership import reach
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import choice
from wrenspoke.coordination.serving import estimate
from wrenspoke.coordination.serving import events
from wrenspoke.coordination.serving import health
from wrenspoke.coordination.serving import pace as paces
from wrenspoke.coordination.serving import placing
from wrenspoke.coordination.serving import regions
from wrenspoke.coordination.serving import repeats
from wrenspoke.coordination.serving import sending
from wrenspoke.coordination.serving import spending
from wrenspoke.coordination.serving import work as works
from wrenspoke import ids
from wrenspoke import mechanisms
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import passing
from wrenspoke.state import routes

logger = structlog.get_logger(__name__)

OK_STATUSES = range(200, 300)
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
SERVER_ERRORS = range(500, 600)
# An answer is held back whole up to here, so that one cut short can be
# tried again; longer ones flow.
WHOLE_LIMIT_BYTES = 8 * 1024 * 1024
# Sends that reached no endpoint, or that it refused unrun.
UNRUN_LIMIT = 4
# What is left must be worth sending.
LEAST_LEFT_MS = 20
# A host that lags waits for the configuration that the first went by.
CATCH_UP_MS = 600
# Where nothing tells when an endpoint is back: some pings of other regions.
RETRY_AFTER_MS = 500
# A host that starts has what it needs 0.2 to 0.7 s later; calls wait for
# that, as they would be late after coming back.
START_WAIT_MS = 1_000
START_RETRY_AFTER_MS = 1_000


class PassThrough:
    """Serve passed-through calls on an entry host."""

    def __init__(
        self,
        host: ids.HostId,
        region: ids.RegionId,
        held: replica.Replica,
        attended: attendance.Attendance,
        chosen: choice.Choice,
        sender: sending.Sender,
        noted: health.Health,
        budget: spending.Spending,
        reached: reach.Reach,
        estimator: estimate.Estimator,
        elsewhere: regions.Regions,
        switched_off: collections.abc.Set[mechanisms.Mechanism],
        clock: clocks.Clock,
    ):
        self._replica = held
        self._attended = attended
        self._choice = chosen
        self._sender = sender
        self._health = noted
        self._spending = budget
        self._reach = reached
        self._estimator = estimator
        self._clock = clock
        self._regions = elsewhere
        self._placing = placing.Placing(
            host, region, held, chosen, elsewhere, switched_off, clock
        )
        self._waits = mechanisms.Mechanism.WAITING_AT_START not in switched_off
        self._index = routes.RouteIndex(routes.RouteTable())
        self._repeats = repeats.Repeats()
        self.in_flight = 0
        self.leaving = False
        self.closed = False

    @property
    def body_limit_bytes(self) -> int:
        """Return how large a body may be."""
        return self._replica.current.routes.limits.body_bytes

    @property
    def ready(self) -> bool:
        """Tell whether this host should be given requests."""
        return (
            not self.leaving
            and self._replica.serving
            and self._attended.awake
            and self._replica.current.routes.version > 0
        )

    def _routes(self) -> routes.RouteIndex:
        table = self._replica.current.routes
        if self._index.table is not table:
            self._index = routes.RouteIndex(table)
        return self._index

    async def serve(
        self,
        call: dialects.Call,
        reply: passing.Reply,
        hop: passing.Hop | None,
    ) -> None:
        """Answer one call."""
        self.in_flight += 1
        if hop is not None:
            reply.runs = 0
        try:
            work = await self._begin(call, reply, hop)
            if work is not None:
                await self._serve(work)
        finally:
            self.in_flight -= 1

    async def _begin(
        self,
        call: dialects.Call,
        reply: passing.Reply,
        hop: passing.Hop | None,
    ) -> works.Work | None:
        """Find the call's route; answer it where there is none."""
        if self.closed:
            await self._refuse(call, reply, passing.Refusal.LEAVING)
            return None
        if hop is not None:
            await self._catch_up(hop.index)
        elif self._waits and not self._sure:
            await self._wait_until_sure(call)
        if not self._sure:
            await self._refuse(call, reply, passing.Refusal.NO_CONFIGURATION)
            return None
        table = self._replica.current.routes
        if table.version == 0 or (
            hop is not None and self._replica.current.index < hop.index
        ):
            await self._refuse(call, reply, passing.Refusal.NO_CONFIGURATION)
            return None
        route = self._routes().find(call.host, call.path)
        if route is None:
            logger.info(
                'no_route',
                request=call.request,
                version=table.version,
                path=call.path,
            )
            await reply.refuse(NOT_FOUND, passing.Refusal.NO_ROUTE)
            return None
        service = table.service(self._service_of(route, hop))
        left_ms = min(call.left_ms, route.timeout_ms)
        return works.Work(
            call, route, service, call.arrived_ms + left_ms, reply, hop
        )

    async def _refuse(
        self,
        call: dialects.Call,
        reply: passing.Reply,
        reason: passing.Refusal,
    ) -> None:
        logger.info('request_refused', request=call.request, reason=reason)
        await reply.refuse(UNAVAILABLE, reason, START_RETRY_AFTER_MS)

    @property
    def _sure(self) -> bool:
        """Tell whether what this host holds may be served by."""
        return self._replica.serving and self._attended.awake

    async def _wait_until_sure(self, call: dialects.Call) -> None:
        """Let a caller's call wait for what a host needs that starts."""
        try:
            async with clocks.timeout_ms(min(START_WAIT_MS, call.left_ms)):
                while not self._sure:
                    await self._replica.changed.wait()
        except TimeoutError:
            return

    async def _catch_up(self, index: int) -> None:
        try:
            async with clocks.timeout_ms(CATCH_UP_MS):
                while self._replica.current.index < index:
                    await self._replica.changed.wait()
        except TimeoutError:
            return

    def _service_of(
        self, route: routes.Route, hop: passing.Hop | None
    ) -> ids.ServiceId:
        names = [target.service for target in route.targets]
        if hop is not None and hop.service in names:
            return hop.service
        return self._choice.draw(route.targets)

    def _left_ms(self, work: works.Work) -> int:
        return work.deadline_ms - self._clock.mono_ms()

    async def _serve(self, work: works.Work) -> None:
        if work.hop is None:
            # Counted where the caller sent it, and nowhere else.
            self._spending.first(work.service.service)
        try:
            async with clocks.timeout_ms(self._left_ms(work)):
                if await self._try_all(work):
                    return
        except TimeoutError:
            work.cause = work.cause or 'timeout'
            await self._give_up(work, GATEWAY_TIMEOUT)
            return
        except placing.BusyError as error:
            logger.info(
                'passed_back',
                request=work.call.request,
                first_ms=round(error.first_ms),
                limit_ms=work.hop.limit_ms,
            )
            await work.reply.refuse(
                UNAVAILABLE, passing.Refusal.BUSY, int(error.first_ms)
            )
            return
        except placing.HopelessError as error:
            work.cause = work.cause or 'hopeless'
            work.retry_after_ms = error.retry_after_ms
        except protocol_errors.CallerGoneError:
            logger.info('caller_gone', request=work.call.request)
            raise
        await self._give_up(work, BAD_GATEWAY)

    async def _try_all(self, work: works.Work) -> bool:
        """Try until it is answered; False when it is given up."""
        while self._left_ms(work) > LEAST_LEFT_MS:
            place = self._placing.next_place(work)
            if place is None:
                work.cause = work.cause or 'no_endpoint'
                return False
            if work.sent and not self._spending.spend(work.service.service):
                work.cause = f'{work.cause} (no retry left)'
                return False
            work.tried.add(place.name)
            if await self._try(work, place):
                return True
            if not self._may_go_on(work):
                return False
        work.cause = work.cause or 'timeout'
        return False

    def _may_go_on(self, work: works.Work) -> bool:
        if work.unrun >= UNRUN_LIMIT:
            return False
        if not work.may_have_run:
            return True
        if not work.route.repeatable:
            return False
        return work.runs < work.runs_limit

    async def _try(self, work: works.Work, place: sending.Place) -> bool:
        """Send once; return whether the caller has its answer."""
        counts = self._choice.in_flight
        counts[place.name] = counts.get(place.name, 0) + 1
        last_event = work.call.last_event
        if work.tracker is not None and work.tracker.last_id is not None:
            last_event = work.tracker.last_id
        self._note_sent(work, place)
        # From here on it may have run, until something says it has not.
        work.sent += 1
        work.count_runs(1)
        try:
            async with self._watched(work, place):
                async with self._sender.send(
                    work.call,
                    work.route,
                    place,
                    self._left_ms(work),
                    last_event,
                ) as answer:
                    return await self._take(work, place, answer)
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

    def _note_sent(self, work: works.Work, place: sending.Place) -> None:
        place.sent_ms = self._clock.mono_ms()
        if place.chosen is None:
            return
        place.reading = self._estimator.note_sent(
            place.endpoint, work.service, work.call, place.chosen.prospect
        )

    def _note_first(self, work: works.Work, place: sending.Place) -> None:
        """Learn from how long the first piece of an answer took."""
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
        """Give up on a host that falls silent, if another may be asked.

        What may not run twice waits: the answer may come once a cut
        has healed, and no other host may be asked for it.
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
            place=place.name,
            cause=cause,
            runs=work.runs,
            left_ms=self._left_ms(work),
        )

    async def _take(
        self, work: works.Work, place: sending.Place, answer: sending.Answer
    ) -> bool:
        """Pass an answer on, or keep it back where another try is due."""
        place.answered = True
        if work.kept is not None and answer.refused is None:
            self._repeats.note(work.route.name, answer.status in OK_STATUSES)
        if place.host is not None:
            work.count_runs(answer.runs - 1)
        if answer.verdict is sending.Verdict.NOT_HERE:
            work.was_not_run()
            work.cause = 'not here any more'
            # A name is never used again: nothing of it will come back.
            self._attended.withdraw(place.endpoint)
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
        """Take the word of a host elsewhere that could not serve it."""
        work.cause = f'{place.name}: {answer.refused}'
        if answer.status == UNAVAILABLE:
            work.unrun += 1
        if answer.refused in passing.NOTHING_SENT:
            work.sent -= 1
        if answer.refused in (passing.Refusal.UNSENT, passing.Refusal.BUSY):
            work.regions_out.add(place.region)
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
        """Pass a stream on; the first piece goes with the head."""
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
        """Pass on what comes, and learn the pace of the engine."""
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
        """Go on with a stream that another endpoint began."""
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

    # Ends.

    async def _give_up(self, work: works.Work, status: int) -> None:
        """Give the final answer, at once, and say whether it has run."""
        if not work.may_have_run:
            status = UNAVAILABLE
        logger.warning(
            'gave_up',
            request=work.call.request,
            route=work.route.name,
            status=status,
            cause=work.cause,
            runs=work.runs,
            unrun=work.unrun,
            left_ms=self._left_ms(work),
            held_ms=self._clock.mono_ms() - work.call.arrived_ms,
            free_places=self._choice.free_places(work.service),
            pieces=0 if work.tracker is None else work.tracker.count,
        )
        if work.reply.started:
            work.reply.abort()
            return
        if work.kept is not None:
            kept = work.kept
            await work.reply.whole(kept.status, kept.fields, kept.body)
            return
        retry_after_ms = None
        if status == UNAVAILABLE:
            retry_after_ms = work.retry_after_ms or self._return_in_ms(work)
        reason = (
            passing.Refusal.GAVE_UP if work.sent else passing.Refusal.UNSENT
        )
        await work.reply.refuse(status, reason, retry_after_ms)

    def _return_in_ms(self, work: works.Work) -> int:
        """Return when a caller that found no endpoint should come back.

        Callers that are sent away together are spread.
        """
        known_ms = self._choice.usable_in_ms(work.service)
        wait_ms = RETRY_AFTER_MS if known_ms is None else known_ms
        return int(wait_ms * random.uniform(1.0, 1.0 + placing.RETRY_SPREAD))

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

    async def drain(self, timeout_ms: int) -> bool:
        """Take nothing new and wait; True if all of it ended."""
        self.leaving = True
        self.closed = True
        end_ms = self._clock.mono_ms() + timeout_ms
        while self.in_flight and self._clock.mono_ms() < end_ms:
            await asyncio.sleep(0.05)
        return self.in_flight == 0
