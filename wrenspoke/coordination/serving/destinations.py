"""Select the next destination of a passed-through call.

Local endpoints and remote regions are compared by one cost: the expected
latency of the call, the load that it puts on others, and the overhead of
forwarding. A call that is unlikely to meet its deadline is refused at once.
"""

import collections.abc

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import admission_gate
from wrenspoke.coordination.serving import call_context
from wrenspoke.coordination.serving import costs
from wrenspoke.coordination.serving import endpoint_selector
from wrenspoke.coordination.serving import remote_regions
from wrenspoke.coordination.serving import retry_schedule
from wrenspoke.coordination.serving import sending
from wrenspoke import feature_flags
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import passthrough_api

logger = structlog.get_logger(__name__)

# Calls that miss their deadline with a higher probability are refused.
DEADLINE_MISS_LIMIT = 0.8
# Cost of a KB sent to another region, in ms of time to the first piece.
REMOTE_KB_COST_MS = 3.0
# Cost of forwarding any call: one more host that may fail.
REMOTE_CALL_COST_MS = 20.0
MIN_RETRY_AFTER_MS = 100


class BusyError(errors.CoordinationError):
    """Raised if the forwarding host can serve the call sooner itself."""

    def __init__(self, first_ms: float):
        super().__init__(f'busy, first piece expected in {first_ms:.0f} ms')
        self.first_ms = first_ms


class UnmeetableDeadlineError(errors.CoordinationError):
    """Raised if a call is unlikely to meet its deadline."""

    def __init__(self, first_ms: float, retry_after_ms: int):
        super().__init__(
            f'deadline unmeetable, first piece expected in {first_ms:.0f} ms'
        )
        self.first_ms = first_ms
        self.retry_after_ms = retry_after_ms


class DestinationSelector:
    """Selects the destination of a call's next attempt."""

    def __init__(
        self,
        host: ids.HostId,
        region: ids.RegionId,
        local_replica: replica.Replica,
        selector: endpoint_selector.EndpointSelector,
        region_offers: remote_regions.RemoteRegions,
        switched_off: collections.abc.Set[feature_flags.FeatureFlag],
        clock: clocks.Clock,
        gate: admission_gate.AdmissionGate | None = None,
    ):
        self._gate = gate
        self._host = host
        self._region = region
        self._replica = local_replica
        self._selector = selector
        self._remote_regions = region_offers
        self._switched_off = switched_off
        self._clock = clock

    def next_destination(
        self, context: call_context.CallContext
    ) -> sending.Destination | None:
        """Return where to send a call, or None if no destination is left.

        :raises BusyError: the forwarding host can serve it sooner itself
        :raises UnmeetableDeadlineError: no destination would meet its deadline
        :raises NoRoomError: no engine has room for it now
        """
        hop = context.hop
        if hop is not None and hop.region not in (None, self._region):
            return self._relay_destination(context, hop.region)
        bounds = self._bounds(context)
        local = self._select_local(context, bounds)
        if hop is not None:
            self._refuse_if_slower(context, local)
            self._refuse_without_room(context, local)
            return self._endpoint_destination(context, local)
        remote, remote_cost_ms = self._best_remote_offer(context, bounds)
        if remote is not None and (
            local is None or remote_cost_ms < local.cost_ms
        ):
            self._refuse_unmeetable_deadline(
                context, bounds, remote.first_ms, remote.end_ms
            )
            return self._host_destination(context, remote, local)
        if local is not None:
            if self._is_without_room(context, local, remote):
                return self._host_destination(context, remote, local)
            if local.place is None:
                self._refuse_unmeetable_deadline(
                    context, bounds, local.first_ms, local.estimate.end_ms
                )
        return self._endpoint_destination(context, local)

    def _is_enabled(self, mechanism: feature_flags.FeatureFlag) -> bool:
        return mechanism not in self._switched_off

    def _bounds(
        self, context: call_context.CallContext
    ) -> costs.LatencyBounds:
        now_ms = self._clock.mono_ms()
        target_ms = context.route.target_ms
        return costs.LatencyBounds(
            target_ms,
            context.call.arrived_ms + target_ms - now_ms,
            context.deadline_ms - now_ms,
            context.route.pause_target_ms,
        )

    def _refuse_unmeetable_deadline(
        self,
        context: call_context.CallContext,
        bounds: costs.LatencyBounds,
        first_ms: float,
        end_ms: float,
    ) -> None:
        """Refuse a call that would most likely miss its deadline.

        A call that was sent before is not refused, as it may be resumed; nor
        is one that resumes a stream, as the estimate covers the whole stream.
        """
        spread = self._selector.estimate_spread(context.service.service)
        probability = costs.deadline_miss_probability(
            bounds, first_ms, end_ms, spread
        )
        if context.send_count or probability <= DEADLINE_MISS_LIMIT:
            return
        if context.build is not None:
            return
        if not self._is_enabled(feature_flags.FeatureFlag.DEADLINE_REJECTION):
            return
        logger.info(
            'deadline_unmeetable',
            request=context.call.request,
            route=context.route.name,
            first_ms=round(first_ms),
            end_ms=round(end_ms),
            left_ms=round(bounds.deadline_left_ms),
        )
        retry_after_ms = retry_schedule.jittered_ms(
            first_ms - context.route.target_ms
        )
        raise UnmeetableDeadlineError(
            first_ms, max(retry_after_ms, MIN_RETRY_AFTER_MS)
        )

    def _is_without_room(
        self,
        context: call_context.CallContext,
        local: endpoint_selector.EndpointSelection,
        remote: remote_regions.RegionOffer | None,
    ) -> bool:
        """Return whether a call without room here goes to another region.

        :raises NoRoomError: it has no room there either
        """
        if self._gate is None:
            return False
        try:
            self._gate.rule(context, local)
        except admission_gate.NoRoomError:
            left_ms = context.deadline_ms - self._clock.mono_ms()
            if remote is None or remote.end_ms > left_ms:
                raise
            return True
        return False

    def _refuse_without_room(
        self,
        context: call_context.CallContext,
        local: endpoint_selector.EndpointSelection | None,
    ) -> None:
        """Pass a call back that has no room here, as it can't wait here.

        :raises BusyError: the forwarding host should decide
        """
        if self._gate is None or local is None:
            return
        if context.hop.limit_ms is None:
            return
        try:
            self._gate.rule(context, local)
        except admission_gate.NoRoomError as error:
            raise BusyError(local.first_ms) from error

    def _refuse_if_slower(
        self,
        context: call_context.CallContext,
        local: endpoint_selector.EndpointSelection | None,
    ) -> None:
        limit_ms = context.hop.limit_ms
        if limit_ms is None or context.send_count or local is None:
            return
        if local.first_ms > limit_ms:
            raise BusyError(local.first_ms)

    def _select_local(
        self, context: call_context.CallContext, bounds: costs.LatencyBounds
    ) -> endpoint_selector.EndpointSelection | None:
        if not context.route.allows(self._region):
            return None
        return self._selector.select_endpoint(
            context.service,
            context.route,
            context.call,
            context.attempted,
            bounds,
            context.build,
        )

    def _endpoint_destination(
        self,
        context: call_context.CallContext,
        chosen: endpoint_selector.EndpointSelection | None,
    ) -> sending.Destination | None:
        if chosen is None:
            return None
        registration = chosen.registered.registration
        logger.info(
            'endpoint_chosen',
            request=context.call.request,
            route=context.route.name,
            endpoint=registration.endpoint,
            build=registration.build,
            first_ms=round(chosen.first_ms),
            expected_ms=round(chosen.estimate.first_ms),
            end_ms=round(chosen.estimate.end_ms),
            pause_ms=round(chosen.estimate.pause_ms),
            harmed=chosen.estimate.delayed_streams,
            unread_tokens=round(chosen.estimate.uncached_tokens),
            ahead_tokens=round(chosen.estimate.queued_tokens),
            room=chosen.can_start_now,
            usual=chosen.has_affinity,
            tokens_in=context.call.tokens_in,
            moved_tokens=round(chosen.moved_tokens),
            candidates=chosen.candidates,
            version=self._replica.current.routes.version,
        )
        return sending.Destination(
            registration.address,
            self._region,
            endpoint=registration.endpoint,
            chosen=chosen,
        )

    def _best_remote_offer(
        self, context: call_context.CallContext, bounds: costs.LatencyBounds
    ) -> tuple[remote_regions.RegionOffer | None, float]:
        """Return the cheapest remote offer and its cost in ms."""
        best, best_ms = None, 0.0
        spread = self._selector.estimate_spread(context.service.service)
        for region in self._selector.allowed_remote_regions(context.route):
            if region in context.refusing_regions:
                continue
            if not self._selector.has_build(
                context.service.service, region, context.build
            ):
                continue
            host = self._selector.select_host(region, context.attempted)
            if host is None and self._is_enabled(
                feature_flags.FeatureFlag.RELAYS
            ):
                host = self._find_relay_host(context, region)
            if host is None:
                continue
            offer = self._remote_regions.offer_for_call(
                region, context.service, context.call, host
            )
            if offer is None:
                continue
            cost_ms = costs.latency_cost_ms(
                bounds, offer.first_ms, offer.end_ms, spread
            )
            cost_ms += offer.remote_prefill_ms + REMOTE_CALL_COST_MS
            kb = len(context.call.body) / costs.BYTES_PER_KB
            cost_ms += kb * REMOTE_KB_COST_MS
            if best is None or cost_ms < best_ms:
                best, best_ms = offer, cost_ms
        return best, best_ms

    def _find_relay_host(
        self, context: call_context.CallContext, region: ids.RegionId
    ) -> discovery_messages.HostRecord | None:
        """Return a host of a third region that can reach a region."""
        allowed = self._selector.allowed_remote_regions(context.route)
        for host in self._remote_regions.relay_hosts(region, allowed):
            if host.host not in context.attempted:
                return host
        return None

    def _relay_destination(
        self, context: call_context.CallContext, region: ids.RegionId
    ) -> sending.Destination | None:
        """Return the destination of a call that this host relays."""
        if region in context.refusing_regions or not context.route.allows(
            region
        ):
            return None
        host = self._selector.select_host(region, context.attempted)
        if host is None:
            return None
        logger.info(
            'relayed',
            request=context.call.request,
            route=context.route.name,
            peer=host.host,
            region=region,
            homes=list(context.route.homes),
            version=self._replica.current.routes.version,
        )
        hop = msgspec.structs.replace(
            context.hop,
            region=None,
            attempts_left=context.runs_limit - context.runs,
        )
        return sending.Destination(
            host.passing_address,
            host.region,
            host=host.host,
            serving_region=region,
            hop=hop,
        )

    def _host_destination(
        self,
        context: call_context.CallContext,
        offer: remote_regions.RegionOffer,
        local: endpoint_selector.EndpointSelection | None,
    ) -> sending.Destination:
        # Not reduced by the travel time, as a refused call would lose the
        # round trip as well.
        limit_ms = context.deadline_ms - self._clock.mono_ms()
        if local is not None:
            limit_ms = min(limit_ms, local.first_ms)
        logger.info(
            'passed_on',
            request=context.call.request,
            route=context.route.name,
            peer=offer.host.host,
            region=offer.region,
            relayed=offer.host.region != offer.region,
            peer_region=offer.host.region,
            homes=list(context.route.homes),
            version=self._replica.current.routes.version,
            first_ms=round(offer.first_ms),
            here_ms=None if local is None else round(local.first_ms),
            limit_ms=int(limit_ms),
        )
        self._remote_regions.record_forwarded(
            offer.region, context.service, context.call
        )
        hop = passthrough_api.Hop(
            self._host,
            context.route.name,
            context.service.service,
            self._replica.current.index,
            context.runs_limit - context.runs,
            int(limit_ms),
            offer.region,
            context.build,
        )
        return sending.Destination(
            offer.host.passing_address,
            offer.host.region,
            host=offer.host.host,
            serving_region=offer.region,
            hop=hop,
        )
