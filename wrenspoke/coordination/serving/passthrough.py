"""Serve passed-through calls: authorization, limits, attempts, final errors.

A call is sent to one endpoint at a time. Calls of repeatable routes are
retried within the route's attempts and the shared retry budget; other calls
are sent again only if they are known not to have run. When no attempt is
left, the caller gets the final response at once.
"""

import asyncio
import collections.abc

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.admission import controller as controllers
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import limiter as limiters
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import guard as guards
from wrenspoke.coordination.serving import access
from wrenspoke.coordination.serving import admission_gate
from wrenspoke.coordination.serving import attempts
from wrenspoke.coordination.serving import call_context
from wrenspoke.coordination.serving import destinations
from wrenspoke.coordination.serving import endpoint_selector
from wrenspoke.coordination.serving import retry_schedule
from wrenspoke.coordination.serving import sending
from wrenspoke.coordination.serving import shared_retry_budget
from wrenspoke.coordination.serving import stage_histograms
from wrenspoke.coordination.serving import stream_builds
from wrenspoke import feature_flags
from wrenspoke import ids
from wrenspoke.protocol import call_stages
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import fingerprints
from wrenspoke.protocol import passthrough_api
from wrenspoke.state import routes

logger = structlog.get_logger(__name__)

UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Sends of a call that reached no endpoint or were refused without being run.
UNEXECUTED_SENDS_LIMIT = 4
# Permits that may be denied to a call before it is given up on. Each denial
# starts a backoff, so that later calls skip the endpoint.
PERMIT_REJECTIONS_LIMIT = 8
# How long to wait for the configuration that the forwarding host used.
CATCH_UP_MS = 600
# Retry-After where no endpoint gives a time.
RETRY_AFTER_MS = 500
# How long calls wait for a starting host to get its configuration and lease. A
# rejected call would be late when its caller retries it.
START_WAIT_MS = 1_000
START_RETRY_AFTER_MS = 1_000


# Reason and Retry-After in ms for callers whose stream can't be resumed. A
# build that is gone does not come back; hosts that know a build may.
_RESUME_REFUSALS = {
    errors.UnknownBuildError: (
        passthrough_api.Refusal.UNKNOWN_BUILD,
        RETRY_AFTER_MS,
    ),
    errors.BuildGoneError: (passthrough_api.Refusal.BUILD_GONE, None),
}
# Status and reason for callers that may not be served.
_DENIALS = {
    errors.NoRouteError: (NOT_FOUND, passthrough_api.Refusal.NO_ROUTE),
    errors.UnknownKeyError: (
        UNAUTHORIZED,
        passthrough_api.Refusal.UNKNOWN_KEY,
    ),
    errors.NoLeaseError: (UNAVAILABLE, passthrough_api.Refusal.NO_LEASE),
}


class PassThrough:
    """Serves passed-through calls on an entry host."""

    def __init__(
        self,
        local_replica: replica.Replica,
        discovery: discovery_client.DiscoveryClient,
        selector: endpoint_selector.EndpointSelector,
        destination_selector: destinations.DestinationSelector,
        runner: attempts.AttemptRunner,
        budget: shared_retry_budget.SharedRetryBudget,
        access_control: access.AccessControl,
        limiter: limiters.Limiter,
        guard: guards.Guard,
        builds: stream_builds.StreamBuilds,
        switched_off: collections.abc.Set[feature_flags.FeatureFlag],
        clock: clocks.Clock,
        histograms: stage_histograms.StageHistograms | None = None,
        gate: admission_gate.AdmissionGate | None = None,
    ):
        self._histograms = histograms
        self._gate = gate
        self._replica = local_replica
        self._discovery = discovery
        self._selector = selector
        self._destinations = destination_selector
        self._attempts = runner
        self._retry_budget = budget
        self._access_control = access_control
        self._limiter = limiter
        self._guard = guard
        self._builds = builds
        self._waits = (
            feature_flags.FeatureFlag.STARTUP_WAIT not in switched_off
        )
        self._clock = clock
        self.in_flight = 0
        self.leaving = False
        self.closed = False

    @property
    def body_limit_bytes(self) -> int:
        """Return the maximum size of a request body."""
        return self._replica.current.routes.limits.body_bytes

    @property
    def ready(self) -> bool:
        """Return whether load balancers should send requests here."""
        return (
            not self.leaving
            and self._replica.serving
            and self._discovery.recently_ran
            and self._replica.current.routes.version > 0
        )

    async def serve(
        self,
        call: dialects.Call,
        reply: passthrough_api.Reply,
        hop: passthrough_api.Hop | None,
    ) -> None:
        """Serve one call; ``hop`` is set if another host forwarded it."""
        self.in_flight += 1
        if hop is not None:
            reply.runs = 0
        try:
            context = await self._prepare_call(call, reply, hop)
            if context is not None:
                await self._serve_and_refund(context)
            await reply.finish()
        finally:
            self.in_flight -= 1

    async def _serve_and_refund(
        self, context: call_context.CallContext
    ) -> None:
        """Serve a call; refund its tokens if no endpoint can have run it."""
        try:
            await self._serve(context)
        finally:
            if not context.may_have_run:
                self._limiter.refund(context.taken)

    async def _prepare_call(
        self,
        call: dialects.Call,
        reply: passthrough_api.Reply,
        hop: passthrough_api.Hop | None,
    ) -> call_context.CallContext | None:
        """Return the context to serve a call in, or None if it was refused."""
        if self.closed:
            await self._refuse(call, reply, passthrough_api.Refusal.LEAVING)
            return None
        if hop is not None:
            await self._wait_for_index(hop.index)
        elif self._waits and not self._has_current_configuration:
            await self._wait_for_current_configuration(call)
        self._mark(call, call_stages.Stage.CONFIGURED)
        if not self._has_current_configuration:
            await self._refuse(
                call, reply, passthrough_api.Refusal.NO_CONFIGURATION
            )
            return None
        table = self._replica.current.routes
        if table.version == 0 or (
            hop is not None and self._replica.current.index < hop.index
        ):
            await self._refuse(
                call, reply, passthrough_api.Refusal.NO_CONFIGURATION
            )
            return None
        try:
            permit = await self._permit(call)
        except errors.DeniedError as error:
            await self._deny(call, reply, error)
            return None
        self._mark(call, call_stages.Stage.AUTHORIZED)
        call.fingerprint = msgspec.structs.replace(
            call.fingerprint, request=_digest_of(call, permit)
        )
        # The permit may be based on a newer table than the one read above.
        table = self._replica.current.routes
        service = table.service(self._select_service(call, permit.route, hop))
        try:
            reservation = await self._charge_team_limit(call, permit, hop)
        except limiters.OverLimitError as error:
            self._mark(call, call_stages.Stage.LIMITED)
            await self._refuse_over_limit(call, reply, error)
            return None
        self._mark(call, call_stages.Stage.LIMITED)
        left_ms = min(call.left_ms, permit.route.timeout_ms)
        return call_context.CallContext(
            call,
            permit,
            service,
            call.arrived_ms + left_ms,
            reply,
            hop,
            reservation,
            build=None if hop is None else hop.build,
        )

    async def _charge_team_limit(
        self,
        call: dialects.Call,
        permit: access.RoutePermit,
        hop: passthrough_api.Hop | None,
    ) -> limiters.Reservation | None:
        """Take a call's tokens from its team's limit.

        Forwarded calls were counted by the first host; open routes are not
        limited.

        :raises OverLimitError: too few tokens are left
        """
        if hop is not None or permit.team is None or permit.route.open:
            return None
        return await self._limiter.take(permit.team, call.tokens)

    async def _refuse_over_limit(
        self,
        call: dialects.Call,
        reply: passthrough_api.Reply,
        error: limiters.OverLimitError,
    ) -> None:
        """Refuse a call with the time until its team's limit admits it."""
        logger.info(
            'request_over_limit',
            request=call.request,
            team=error.team,
            tokens=call.tokens,
            wait_ms=error.wait_ms,
            held_ms=self._clock.mono_ms() - call.arrived_ms,
            **call.stages.log_fields(),
        )
        await reply.refuse(
            TOO_MANY_REQUESTS,
            passthrough_api.Refusal.OVER_LIMIT,
            retry_schedule.jittered_ms(error.wait_ms),
        )

    async def _permit(self, call: dialects.Call) -> access.RoutePermit:
        """Authorize a call, waiting for this host's first lease if needed.

        There is no wait for a lease that was lost, as the host may be
        partitioned for long.

        :raises DeniedError: the call may not be served, or not here
        """
        try:
            return self._access_control.authorize(call)
        except errors.NoLeaseError:
            lease = self._discovery.lease
            if lease.ever_held or not self._waits:
                raise
        try:
            async with clocks.timeout_ms(min(START_WAIT_MS, call.left_ms)):
                await lease.granted.wait()
        except TimeoutError:
            pass
        return self._access_control.authorize(call)

    async def _deny(
        self,
        call: dialects.Call,
        reply: passthrough_api.Reply,
        error: errors.DeniedError,
    ) -> None:
        """Refuse a call that the configuration denies."""
        status, reason = _DENIALS[type(error)]
        logger.info(
            'request_denied',
            request=call.request,
            reason=reason,
            version=self._replica.current.routes.version,
            path=call.path,
        )
        retry_after_ms = None
        if status == UNAVAILABLE:
            lease = self._discovery.lease
            retry_after_ms = retry_schedule.jittered_ms(lease.retry_delay_ms())
        await reply.refuse(status, reason, retry_after_ms)

    async def _refuse(
        self,
        call: dialects.Call,
        reply: passthrough_api.Reply,
        reason: passthrough_api.Refusal,
    ) -> None:
        logger.info('request_refused', request=call.request, reason=reason)
        await reply.refuse(UNAVAILABLE, reason, START_RETRY_AFTER_MS)

    @property
    def _has_current_configuration(self) -> bool:
        """Return whether this host may serve from its configuration."""
        return self._replica.serving and self._discovery.recently_ran

    async def _wait_for_current_configuration(
        self, call: dialects.Call
    ) -> None:
        """Wait for the configuration of a host that is starting."""
        try:
            async with clocks.timeout_ms(min(START_WAIT_MS, call.left_ms)):
                while not self._has_current_configuration:
                    await self._replica.changed.wait()
        except TimeoutError:
            return

    async def _wait_for_index(self, index: int) -> None:
        try:
            async with clocks.timeout_ms(CATCH_UP_MS):
                while self._replica.current.index < index:
                    await self._replica.changed.wait()
        except TimeoutError:
            return

    def _select_service(
        self,
        call: dialects.Call,
        route: routes.Route,
        hop: passthrough_api.Hop | None,
    ) -> ids.ServiceId:
        """Return the service of a call, for a resumed stream the same one."""
        names = [target.service for target in route.targets]
        if hop is not None and hop.service in names:
            return hop.service
        request = None
        if route.resumable:
            request = call.stream_request or call.request
        return self._selector.draw_service(route.targets, request)

    def _mark(self, call: dialects.Call, stage: call_stages.Stage) -> None:
        call.stages.mark(stage, self._clock.mono_ms())

    def _left_ms(self, context: call_context.CallContext) -> int:
        return context.deadline_ms - self._clock.mono_ms()

    async def _serve(self, context: call_context.CallContext) -> None:
        if context.call.resumes_stream:
            logger.info(
                'stream_taken_up',
                request=context.call.request,
                resumes=context.call.resumes,
                last_event=context.call.last_event,
                forwarded=context.hop is not None,
            )
        if context.hop is None:
            # Forwarded calls were counted by the first host.
            self._retry_budget.record_request(context.service.service)
        try:
            async with clocks.timeout_ms(self._left_ms(context)):
                if await self._run_attempts(context):
                    return
        except TimeoutError:
            context.cause = context.cause or 'timeout'
            await self._give_up(context, GATEWAY_TIMEOUT)
            return
        except destinations.BusyError as error:
            logger.info(
                'passed_back',
                request=context.call.request,
                first_ms=round(error.first_ms),
                limit_ms=context.hop.limit_ms,
            )
            await context.reply.refuse(
                UNAVAILABLE, passthrough_api.Refusal.BUSY, int(error.first_ms)
            )
            return
        except errors.ResumeRefusedError as error:
            await self._refuse_resume(context, error)
            return
        except errors.QuarantinedError as error:
            if not context.may_have_run:
                await self._refuse_quarantined(context, error)
                return
            context.cause = f'{context.cause} ({error})'
        except destinations.UnmeetableDeadlineError as error:
            context.cause = context.cause or 'hopeless'
            context.retry_after_ms = error.retry_after_ms
        except admission_gate.NoRoomError as error:
            context.cause = ', '.join(
                filter(None, [context.cause, str(error)])
            )
            if not context.may_have_run:
                context.retry_after_ms = self._gate.refuse(context, error)
        except errors.DeniedError as error:
            if not context.may_have_run:
                await self._deny(context.call, context.reply, error)
                return
            context.cause = f'{context.cause} ({error})'
        except protocol_errors.CallerDisconnectedError:
            logger.info('caller_gone', request=context.call.request)
            raise
        await self._give_up(context, BAD_GATEWAY)

    async def _refuse_quarantined(
        self, context: call_context.CallContext, error: errors.QuarantinedError
    ) -> None:
        """Refuse a quarantined request with a 503 and the time that is left.

        Not with a 4xx status: the request may be valid, and may be served
        after the quarantine.
        """
        logger.info(
            'quarantine_refused',
            request=context.call.request,
            digest=context.call.fingerprint.request,
            held=error.digest,
            held_ms=error.held_ms,
        )
        await context.reply.refuse(
            UNAVAILABLE, passthrough_api.Refusal.QUARANTINED, error.held_ms
        )

    async def _find_build(self, context: call_context.CallContext) -> None:
        """Bind a call that resumes a stream to the build that began it.

        :raises UnknownBuildError: that build can't be known
        :raises BuildGoneError: no endpoint of that build is left
        """
        call = context.call
        if not call.resumes_stream or not context.route.resumable:
            return
        if context.hop is not None:
            return
        service = context.service.service
        context.build = await self._builds.find(call.resumes, service)
        if context.build is None:
            raise errors.UnknownBuildError(call.resumes)
        if self._builds.is_gone(service, context.build):
            raise errors.BuildGoneError(context.build)

    async def _refuse_resume(
        self,
        context: call_context.CallContext,
        error: errors.ResumeRefusedError,
    ) -> None:
        """Refuse a call that resumes a stream; it was not sent."""
        reason, retry_after_ms = _RESUME_REFUSALS[type(error)]
        if retry_after_ms is not None:
            retry_after_ms = retry_schedule.jittered_ms(retry_after_ms)
        logger.info(
            'resume_refused',
            request=context.call.request,
            resumes=context.call.resumes,
            reason=str(error),
        )
        await context.reply.refuse(UNAVAILABLE, reason, retry_after_ms)

    async def _run_attempts(self, context: call_context.CallContext) -> bool:
        """Attempt a call until it is answered; False if it is given up on.

        :raises QuarantinedError: the request is quarantined
        :raises ResumeRefusedError: it resumes a stream that can't go on
        """
        await self._find_build(context)
        self._mark(context.call, call_stages.Stage.BOUND)
        while self._left_ms(context) > attempts.MIN_TIME_LEFT_MS:
            await self._guard.request_trials(
                context.call.fingerprint, context.call.request
            )
            hold = self._guard.refuse_if_held(context.call.fingerprint)
            self._mark(context.call, call_stages.Stage.QUARANTINE_CHECKED)
            if hold is not None:
                raise errors.QuarantinedError(hold.left_ms, hold.digest)
            context.permit = self._access_control.reauthorize(
                context.call, context.permit
            )
            destination = await self._next_destination(context)
            self._mark(context.call, call_stages.Stage.CHOSEN)
            if destination is None:
                context.cause = context.cause or 'no_endpoint'
                return False
            # The permit comes first, as a call that is denied one is not
            # sent and must not spend from the retry budget.
            if not await self._attempts.acquire_permit(context, destination):
                if context.permit_rejections >= PERMIT_REJECTIONS_LIMIT:
                    return False
                continue
            if context.send_count and not self._retry_budget.spend(
                context.service.service
            ):
                context.cause = f'{context.cause} (no retry left)'
                return False
            context.attempted.add(destination.name)
            if await self._run_attempt(context, destination):
                return True
            if not self._may_retry(context):
                return False
        context.cause = context.cause or 'timeout'
        return False

    async def _next_destination(
        self, context: call_context.CallContext
    ) -> sending.Destination | None:
        """Return where to send a call, once there is room for it.

        :raises NoRoomError: there is none in the time for which it may wait
        """
        if self._gate is None:
            return self._destinations.next_destination(context)
        try:
            while True:
                try:
                    return self._destinations.next_destination(context)
                except admission_gate.NoRoomError as error:
                    if error.decision.ruling is not controllers.Ruling.WAIT:
                        raise
                    await self._gate.wait(context, error)
        finally:
            self._gate.leave(context)

    async def _run_attempt(
        self,
        context: call_context.CallContext,
        destination: sending.Destination,
    ) -> bool:
        """Send a call once; return whether the caller got its response."""
        if self._gate is None:
            return await self._attempts.run_attempt(context, destination)
        self._gate.admit(context)
        with self._gate.track(context, destination):
            return await self._attempts.run_attempt(context, destination)

    def _may_retry(self, context: call_context.CallContext) -> bool:
        if context.body_dropped or context.host_is_short:
            return False
        if context.unexecuted_sends >= UNEXECUTED_SENDS_LIMIT:
            return False
        if not context.may_have_run:
            return True
        if not context.route.repeatable:
            return False
        if not context.is_resumable:
            return False
        return context.runs < context.runs_limit

    async def _give_up(
        self, context: call_context.CallContext, status: int
    ) -> None:
        """Send the final response; a 503 says that the call was not run."""
        if not context.may_have_run:
            status = UNAVAILABLE
        self._mark(context.call, call_stages.Stage.ENDED)
        self._record_stages(context)
        logger.warning(
            'gave_up',
            request=context.call.request,
            route=context.route.name,
            status=status,
            cause=context.cause,
            runs=context.runs,
            unrun=context.unexecuted_sends,
            left_ms=self._left_ms(context),
            held_ms=self._clock.mono_ms() - context.call.arrived_ms,
            free_places=self._selector.free_slots(context.service),
            pieces=0
            if context.tracker is None
            else context.tracker.event_count,
            **context.call.stages.log_fields(),
        )
        if context.reply.started:
            context.reply.abort()
            return
        if context.retained_response is not None:
            response = context.retained_response
            await context.reply.send_response(
                response.status, response.fields, response.body
            )
            return
        retry_after_ms = None
        if status == UNAVAILABLE:
            retry_after_ms = context.retry_after_ms or self._retry_hint_ms(
                context
            )
        reason = (
            passthrough_api.Refusal.GAVE_UP
            if context.send_count
            else passthrough_api.Refusal.UNSENT
        )
        await context.reply.refuse(status, reason, retry_after_ms)

    def _record_stages(self, context: call_context.CallContext) -> None:
        if self._histograms is None:
            return
        self._histograms.record(
            context.route.kind,
            stage_histograms.hop_side(context, False),
            context.call.stages,
        )

    def _retry_hint_ms(self, context: call_context.CallContext) -> int:
        """Return a jittered Retry-After for a call without an endpoint."""
        delay_ms = self._selector.endpoint_retry_after_ms(
            context.service, context.permit.urgency
        )
        if delay_ms is None:
            delay_ms = context.remote_retry_after_ms or RETRY_AFTER_MS
        urgency = 0
        if self._selector.all_in_backoff(context.service):
            urgency = context.permit.urgency
        return retry_schedule.jittered_ms(delay_ms, urgency)

    async def drain(self, timeout_ms: int) -> bool:
        """Refuse new calls and wait; return whether all calls completed."""
        self.leaving = True
        self.closed = True
        end_ms = self._clock.mono_ms() + timeout_ms
        while self.in_flight and self._clock.mono_ms() < end_ms:
            await asyncio.sleep(0.05)
        return self.in_flight == 0


def _digest_of(
    call: dialects.Call, permit: access.RoutePermit
) -> ids.ContentDigest:
    """Return the digest of a request, the same for all keys of a team."""
    if permit.team is not None:
        caller = permit.team.team
    else:
        caller = repr(call.credentials)
    return fingerprints.request_digest(
        caller, call.method, call.host, call.target, call.body
    )
