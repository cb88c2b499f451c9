"""Run one attempt at a passed-through call.

The call is sent once, to an endpoint or to a host of another region. Its
response is forwarded to the caller, or retained if another attempt is due.
Outcome, pace and time to the first piece are recorded.
"""

import asyncio
import collections.abc
import contextlib

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.buffering import endpoint_holdings
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_limits
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import host_pinger
from wrenspoke.coordination.serving import call_context
from wrenspoke.coordination.serving import endpoint_outcomes
from wrenspoke.coordination.serving import endpoint_selector
from wrenspoke.coordination.serving import engine_pace
from wrenspoke.coordination.serving import estimate
from wrenspoke.coordination.serving import event_tracker
from wrenspoke.coordination.serving import hop_times
from wrenspoke.coordination.serving import outlier_detection
from wrenspoke.coordination.serving import remote_regions
from wrenspoke.coordination.serving import retry_outcomes
from wrenspoke.coordination.serving import sending
from wrenspoke.coordination.serving import sent_call_broadcast
from wrenspoke.coordination.serving import stage_histograms
from wrenspoke.coordination.serving import stream_builds
from wrenspoke import ids
from wrenspoke.protocol import call_stages
from wrenspoke.protocol import passthrough_api
from wrenspoke.state import routes
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

OK_STATUSES = range(200, 300)
UNAVAILABLE = 503
SERVER_ERRORS = range(500, 600)
# Responses up to this size are buffered, so that a truncated one is retried.
BUFFERED_BODY_LIMIT_BYTES = 8 * 1024 * 1024
# Events of streams up to this size are kept whole while room is short.
SCARCE_EVENT_LIMIT_BYTES = 16 * 1024
# No attempt is started with less time left.
MIN_TIME_LEFT_MS = 20


class AttemptRunner:
    """Sends calls, and forwards or retains their responses."""

    def __init__(
        self,
        sender: sending.Sender,
        discovery: discovery_client.DiscoveryClient,
        selector: endpoint_selector.EndpointSelector,
        outlier_detector: outlier_detection.OutlierDetector,
        pinger: host_pinger.HostPinger,
        estimator: estimate.Estimator,
        region_offers: remote_regions.RemoteRegions,
        builds: stream_builds.StreamBuilds,
        clock: clocks.Clock,
        broadcaster: sent_call_broadcast.SentCallBroadcaster | None = None,
        outcomes: endpoint_outcomes.EndpointOutcomes | None = None,
        histograms: stage_histograms.StageHistograms | None = None,
        hops: hop_times.HopTimes | None = None,
        holdings: endpoint_holdings.EndpointHoldings | None = None,
    ):
        self._holdings = holdings
        self._hops = hops
        self._histograms = histograms
        self._broadcaster = broadcaster
        self._outcomes = outcomes
        self._sender = sender
        self._discovery = discovery
        self._selector = selector
        self._outlier_detector = outlier_detector
        self._pinger = pinger
        self._estimator = estimator
        self._remote_regions = region_offers
        self._builds = builds
        self._retry_outcomes = retry_outcomes.RetryOutcomes()
        self._clock = clock

    async def run_attempt(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
    ) -> bool:
        """Send a call once; return whether the caller got its response."""
        counts = self._selector.in_flight
        counts[destination.name] = counts.get(destination.name, 0) + 1
        last_event = context.call.last_event
        if context.tracker is not None and context.tracker.last_id is not None:
            last_event = context.tracker.last_id
        self._record_send(context, destination)
        holding = self._record_holding(context, destination)
        # Counts as run until a response or an error shows the opposite.
        context.send_count += 1
        context.count_runs(1)
        try:
            async with self._abort_if_host_unreachable(context, destination):
                async with self._sender.send(
                    context.call,
                    context.permit,
                    destination,
                    self._left_ms(context),
                    last_event,
                    lambda: (
                        context.route.repeatable and not context.reply.started
                    ),
                ) as answer:
                    return await self._handle_response(
                        context, destination, answer
                    )
        except errors.SendAbortedError:
            context.send_count -= 1
            context.mark_not_run()
            self._on_send_aborted(context, destination)
        except errors.NoDescriptorError as error:
            context.send_count -= 1
            context.mark_not_run()
            self._on_shortage(context, destination, error)
        except errors.NotSentError as error:
            context.send_count -= 1
            context.mark_not_run()
            self._on_failure(
                context, destination, f'not sent: {error}', certain=True
            )
        except errors.MaybeSentError as error:
            self._on_failure(context, destination, str(error))
        finally:
            self._estimator.record_prefilled(
                destination.endpoint, destination.prompt_number
            )
            if holding is not None:
                self._holdings.record_ended(
                    destination.endpoint, holding, destination.answered
                )
            counts[destination.name] -= 1
            if not counts[destination.name]:
                del counts[destination.name]
        return False

    async def acquire_permit(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
    ) -> bool:
        """Acquire a permit to send; return False if a limit denies it."""
        try:
            await self._sender.acquire_permit(
                destination, _permit_rank(context, destination)
            )
        except errors.EndpointBusyError as error:
            context.permit_rejections += 1
            context.cause = str(error)
            logger.info(
                'over_endpoint_limit',
                request=context.call.request,
                route=context.route.name,
                endpoint=error.endpoint,
                wait_ms=error.wait_ms,
            )
            return False
        finally:
            self._mark(context, call_stages.Stage.PERMITTED)
        return True

    def _mark(
        self, context: call_context.CallContext, stage: call_stages.Stage
    ) -> None:
        context.call.stages.mark(stage, self._clock.mono_ms())

    def _left_ms(self, context: call_context.CallContext) -> int:
        return context.deadline_ms - self._clock.mono_ms()

    def _record_send(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
    ) -> None:
        destination.sent_ms = self._clock.mono_ms()
        if destination.chosen is None:
            return
        destination.prompt_number = self._estimator.record_sent(
            destination.endpoint,
            context.service,
            context.call,
            destination.chosen.estimate,
        )
        if (
            self._broadcaster is not None
            and destination.prompt_number is not None
        ):
            self._broadcaster.publish(
                destination.endpoint,
                destination.chosen.estimate.uncached_tokens,
                context.call.parts,
                context.call.tokens_expected,
                self._left_ms(context),
                len(context.call.body),
            )

    def _record_holding(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
    ) -> int | None:
        """Count a call at its endpoint; None if there is none to count it."""
        if self._holdings is None or destination.endpoint is None:
            return None
        call = context.call
        return self._holdings.record_sent(
            destination.endpoint,
            len(call.body),
            call.tokens_in + call.tokens_expected,
        )

    def _record_first_piece(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
    ) -> None:
        """Record the time to the first piece of a response."""
        context.first_piece_at_ms = self._clock.mono_ms()
        context.call.stages.mark(
            call_stages.Stage.FIRST_PIECE, context.first_piece_at_ms
        )
        took_ms = context.first_piece_at_ms - destination.sent_ms
        if destination.serving_region is not None:
            return
        self._estimator.record_prefilled(
            destination.endpoint, destination.prompt_number
        )
        self._estimator.record_first_piece(
            destination.endpoint,
            context.service,
            destination.chosen.estimate,
            took_ms,
        )

    @contextlib.asynccontextmanager
    async def _abort_if_host_unreachable(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
    ) -> collections.abc.AsyncIterator[None]:
        """Abort if the remote host becomes unreachable, on repeatable routes.

        Other calls wait for a response, which may come once a partition has
        healed.
        """
        if (
            destination.host is None
            or not context.route.repeatable
            or self._sender.takes_up(context.call, destination)
        ):
            yield
            return
        try:
            async with clocks.timeout_ms(None) as timeout:

                def on_unreachable() -> None:
                    if not context.reply.started:
                        now_s = asyncio.get_running_loop().time()
                        timeout.reschedule(now_s)

                with self._pinger.watch_host(destination.host, on_unreachable):
                    yield
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise errors.MaybeSentError(
                f'host {destination.host} became unreachable'
            ) from error

    def _on_failure(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        cause: str,
        certain: bool = False,
    ) -> None:
        context.cause = cause
        self._record_outcome(destination, endpoint_outcomes.Outcome.FAILED)
        self._mark(context, call_stages.Stage.LOST)
        if destination.host is None or not destination.answered:
            # After a remote host has started its response, a failure is one
            # of the endpoint behind it and doesn't count against the host.
            self._outlier_detector.record_failure(
                destination.address, cause, destination.sent_ms, certain
            )
        logger.warning(
            'try_failed',
            request=context.call.request,
            digest=context.call.fingerprint.request,
            place=destination.name,
            cause=cause,
            runs=context.runs,
            left_ms=self._left_ms(context),
        )

    def _on_shortage(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        error: errors.NoDescriptorError,
    ) -> None:
        """Record that this host can't open a connection to any endpoint."""
        context.host_is_short = True
        context.cause = f'not sent: {error}'
        logger.warning(
            'no_descriptor',
            request=context.call.request,
            place=destination.name,
            cause=str(error),
        )

    def _on_send_aborted(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
    ) -> None:
        """Record that a send was rejected by a check at send time.

        The destination may be tried again, e.g. if the key belongs to another
        team now, unless the permit has expired.
        """
        if (
            destination.send_permit is None
            or destination.send_permit.is_valid()
        ):
            context.attempted.discard(destination.name)
        context.cause = f'{destination.name}: may not go there any more'
        logger.warning(
            'send_aborted',
            request=context.call.request,
            route=context.route.name,
            place=destination.name,
            regions=list(destination.regions),
            homes_before=list(context.route.homes),
        )

    async def _handle_response(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        answer: sending.UpstreamResponse,
    ) -> bool:
        """Forward a response, or retain it if another attempt is due."""
        destination.answered = True
        self._mark(context, call_stages.Stage.ANSWERED)
        if context.retained_response is not None and answer.refused is None:
            self._retry_outcomes.record_outcome(
                context.route.name, answer.status in OK_STATUSES
            )
        if destination.host is not None:
            context.count_runs(answer.runs - 1)
            self._record_hop(destination, answer)
        if answer.verdict is sending.Verdict.MISDIRECTED:
            context.mark_not_run()
            context.cause = 'not here any more'
            # This instance of the endpoint no longer exists.
            self._discovery.withdraw(
                destination.endpoint,
                destination.chosen.registered.registration.born_ms,
            )
            return False
        if answer.verdict is sending.Verdict.NOT_RUN:
            context.mark_not_run()
            context.cause = f'endpoint refused with {answer.status}'
            self._record_outcome(
                destination, endpoint_outcomes.Outcome.REFUSED
            )
            self._estimator.record_refusal(destination.endpoint)
            return False
        if answer.refused is not None:
            return await self._handle_refusal(context, destination, answer)
        if answer.status in SERVER_ERRORS:
            self._record_outcome(destination, endpoint_outcomes.Outcome.FAILED)
            self._outlier_detector.record_failure(
                destination.address,
                f'status {answer.status}',
                destination.sent_ms,
            )
            if self._can_resend(
                context
            ) and self._retry_outcomes.is_worthwhile(context.route.name):
                context.cause = f'status {answer.status}'
                body, complete = await self._read_body(context, answer)
                if not complete:
                    return await self._forward_rest(
                        context, destination, answer, body
                    )
                context.retained_response = call_context.RetainedResponse(
                    answer.status, answer.fields, body
                )
                return False
        else:
            self._record_outcome(destination, endpoint_outcomes.Outcome.SERVED)
            self._outlier_detector.record_success(destination.address)
        self._check_build(context, destination, answer)
        if context.tracker is not None:
            return await self._resume_stream(context, destination, answer)
        if context.route.kind is routes.RouteKind.STREAM and (
            answer.status in OK_STATUSES
        ):
            await self._forward_stream(context, destination, answer)
            return True
        if not context.reply.keeps_copies:
            context.drop_body()
        body, complete = await self._read_body(context, answer)
        if answer.status in OK_STATUSES:
            self._record_first_piece(context, destination)
        context.drop_body()
        if not complete:
            return await self._forward_rest(context, destination, answer, body)
        await context.reply.send_response(answer.status, answer.fields, body)
        self._log_answered(context, destination, answer)
        return True

    def _record_outcome(
        self,
        destination: sending.Destination,
        outcome: endpoint_outcomes.Outcome,
    ) -> None:
        """Record what a request to an endpoint came to."""
        if self._outcomes is not None and destination.endpoint is not None:
            self._outcomes.record(destination.life, outcome)

    def _record_hop(
        self,
        destination: sending.Destination,
        answer: sending.UpstreamResponse,
    ) -> None:
        """Record what a hop took beside the time that its host reports."""
        if self._hops is None or answer.held_ms is None:
            return
        took_ms = self._clock.mono_ms() - destination.sent_ms
        self._hops.record(
            destination.host, destination.located_in, took_ms - answer.held_ms
        )

    async def _read_body(
        self,
        context: call_context.CallContext,
        answer: sending.UpstreamResponse,
    ) -> tuple[bytes, bool]:
        """Return the body while there is room, and whether it is complete."""
        return await answer.read_within(
            BUFFERED_BODY_LIMIT_BYTES, context.reply.hold_response
        )

    async def _forward_rest(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        answer: sending.UpstreamResponse,
        begun: bytes,
    ) -> bool:
        """Forward a response that there was no room to read completely.

        It can't be asked for again then, should it be truncated.
        """
        context.drop_body()
        await context.reply.send_head(answer.status, answer.fields)
        # Counted again by the write.
        context.reply.release_response()
        await context.reply.write(begun)
        async for chunk in answer.chunks():
            await context.reply.write(chunk)
        await context.reply.end()
        self._log_answered(context, destination, answer)
        return True

    def _check_build(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        answer: sending.UpstreamResponse,
    ) -> None:
        """Check that the rest of a stream comes from the build that began it.

        The host that forwarded the call is told the build.

        :raises MaybeSentError: another host used an endpoint of another
            build, or does not name the build
        """
        if answer.status not in OK_STATUSES:
            return
        if context.hop is not None:
            context.reply.build = answer.build
        if context.build in (None, answer.build):
            return
        logger.warning(
            'build_mismatch',
            request=context.call.request,
            place=destination.name,
            expected=context.build,
            found=answer.build,
        )
        raise errors.MaybeSentError(
            f'{destination.name} continues at build {answer.build!r}, '
            f'the stream began at {context.build!r}'
        )

    async def _handle_refusal(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        answer: sending.UpstreamResponse,
    ) -> bool:
        """Handle the refusal of a host of another region.

        :raises UnknownKeyError: its configuration, which is no older than
            this host's, does not have the key
        :raises QuarantinedError: the request is quarantined there
        """
        context.cause = f'{destination.name}: {answer.refused}'
        if answer.status == UNAVAILABLE:
            context.unexecuted_sends += 1
        if answer.refused in passthrough_api.UNSENT_REFUSALS:
            context.send_count -= 1
        if answer.refused is passthrough_api.Refusal.UNSENT:
            context.remote_retry_after_ms = int(answer.retry_after_ms) or None
        if answer.refused in (
            passthrough_api.Refusal.UNSENT,
            passthrough_api.Refusal.BUSY,
        ):
            context.refusing_regions.add(destination.serving_region)
        if answer.refused == passthrough_api.Refusal.UNKNOWN_KEY:
            raise errors.UnknownKeyError(context.cause)
        if answer.refused == passthrough_api.Refusal.QUARANTINED:
            raise errors.QuarantinedError(int(answer.retry_after_ms))
        if answer.refused == passthrough_api.Refusal.BUSY:
            self._remote_regions.record_busy(
                destination.serving_region,
                context.service.service,
                answer.retry_after_ms,
            )
        return False

    def _can_resend(self, context: call_context.CallContext) -> bool:
        return (
            context.route.repeatable
            and not context.reply.started
            and not context.body_dropped
            and context.runs < context.runs_limit
            and self._left_ms(context) > MIN_TIME_LEFT_MS
        )

    async def _forward_stream(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        answer: sending.UpstreamResponse,
    ) -> None:
        """Forward a stream; its head is sent with the first piece."""
        tracker = event_tracker.EventTracker(
            whole_only=context.route.resumable
        )
        await self._forward_events(context, destination, answer, tracker)
        await self._end_stream(context, destination, answer, tracker)

    async def _forward_events(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        answer: sending.UpstreamResponse,
        tracker: event_tracker.EventTracker,
    ) -> None:
        """Forward events, and record the engine's pace."""
        with self._gap_recorder(context, destination) as recorder:
            async for chunk in answer.chunks():
                data = tracker.feed(chunk)
                context.reply.hold_events(tracker.partial_bytes)
                if not data:
                    if not context.reply.keeps_copies:
                        tracker.buffer_limit_bytes = SCARCE_EVENT_LIMIT_BYTES
                    continue
                if not context.reply.started:
                    self._record_first_piece(context, destination)
                    self._pin_build(context, answer.build)
                    await context.reply.send_head(answer.status, answer.fields)
                    context.tracker = tracker
                if not context.body_dropped and not (
                    context.route.repeatable and context.reply.keeps_copies
                ):
                    context.drop_body()
                context.record_piece(self._clock.mono_ms())
                recorder.record_piece()
                await context.reply.write(data)

    def _pin_build(
        self,
        context: call_context.CallContext,
        build: ids.BuildId | None,
    ) -> None:
        """Bind a stream to the build that its first event comes from.

        Until then it may begin at any build, so nothing is recorded before.
        Forwarded calls are recorded by the first host, which the caller is
        connected to.
        """
        context.build = build
        if build is None or context.hop is not None:
            return
        request = context.call.stream_request
        if request is not None and context.route.resumable:
            # A resumed stream is recorded again, for hosts that restarted.
            self._builds.record(request, build, context.route)

    def _gap_recorder(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
    ) -> engine_pace.StreamGapRecorder:
        tokens = 1
        if context.service.batch is not None:
            tokens = context.service.batch.event_tokens
        return engine_pace.StreamGapRecorder(
            self._estimator.pace,
            destination.endpoint,
            tokens,
            context.route.pause_target_ms,
        )

    async def _end_stream(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        answer: sending.UpstreamResponse,
        tracker: event_tracker.EventTracker,
    ) -> None:
        """End a stream towards its caller.

        :raises MaybeSentError: the endpoint ended it inside an event, or
            closed its connection before the first byte of a body that only
            the connection delimits
        """
        if answer.framing is web.BodyFraming.CONNECTION and (
            not answer.bytes_read
        ):
            raise errors.MaybeSentError(
                f'{destination.name} closed its connection before the body'
            )
        if answer.has_events and tracker.is_inside_event:
            raise errors.MaybeSentError(
                f'stream of {destination.name} ended inside an event, '
                f'{tracker.partial_bytes} bytes after event {tracker.last_id}'
            )
        if not context.reply.started:
            await context.reply.send_head(answer.status, answer.fields)
        partial_bytes = tracker.partial_bytes
        remainder = tracker.take_remainder()
        if remainder:
            await context.reply.write(remainder)
        await context.reply.end()
        self._log_answered(
            context, destination, answer, tracker.event_count, partial_bytes
        )

    async def _resume_stream(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        answer: sending.UpstreamResponse,
    ) -> bool:
        """Resume a stream that another endpoint started."""
        if answer.status not in OK_STATUSES:
            context.cause = f'not resumed: status {answer.status}'
            return False
        if not answer.has_events:
            context.cause = 'not resumed: the answer is no event stream'
            return False
        logger.info(
            'stream_resumed',
            request=context.call.request,
            last_event=context.tracker.last_id,
        )
        context.tracker.discard_partial()
        await self._forward_events(
            context, destination, answer, context.tracker
        )
        await self._end_stream(context, destination, answer, context.tracker)
        return True

    def _log_answered(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
        answer: sending.UpstreamResponse,
        pieces: int = 1,
        partial_bytes: int = 0,
    ) -> None:
        now_ms = self._clock.mono_ms()
        context.call.stages.mark(call_stages.Stage.ENDED, now_ms)
        if self._histograms is not None:
            self._histograms.record(
                context.route.kind,
                stage_histograms.hop_side(
                    context, destination.host is not None
                ),
                context.call.stages,
            )
        first_ms = (
            context.first_piece_at_ms or now_ms
        ) - context.call.arrived_ms
        logger.info(
            'answered',
            request=context.call.request,
            route=context.route.name,
            place=destination.name,
            status=answer.status,
            framing=answer.framing.value,
            partial_bytes=partial_bytes,
            first_ms=first_ms,
            target_ms=context.route.target_ms,
            whole_ms=now_ms - context.call.arrived_ms,
            pieces=pieces,
            longest_pause_ms=context.longest_pause_ms,
            pause_target_ms=context.route.pause_target_ms,
            expected_ms=destination.expected_ms,
            took_ms=self._time_to_first_ms(context, destination),
            runs=context.runs,
            unrun=context.unexecuted_sends,
            **context.call.stages.log_fields(),
        )

    @staticmethod
    def _time_to_first_ms(
        context: call_context.CallContext, destination: sending.Destination
    ) -> int | None:
        """Return the time from the send to the first piece.

        None if the first piece came from another endpoint.
        """
        if (
            context.first_piece_at_ms is None
            or context.first_piece_at_ms < destination.sent_ms
        ):
            return None
        return context.first_piece_at_ms - destination.sent_ms


def _permit_rank(
    context: call_context.CallContext, destination: sending.Destination
) -> int:
    """Return a call's rank in the queue for an endpoint's permits.

    Streams to be resumed go first.
    """
    if context.build is not None or destination.chosen is None:
        return endpoint_limits.FIRST_RANK
    is_cached = (
        destination.chosen.estimate.uncached_tokens < context.call.tokens_in
    )
    return endpoint_limits.rank_of(context.permit.urgency, is_cached)
