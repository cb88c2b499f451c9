"""Estimate what other regions offer for a call, from their hosts' status.

Hosts report their offers with each answer to a ping, to this host or to
another one of its region. Calls that this region's hosts have forwarded
since are added, and the wait reported by a busy region takes precedence.
"""

import collections
import dataclasses

import msgspec

from wrenspoke import clock as clocks
from wrenspoke.coordination.balancing import region_room
from wrenspoke.coordination.membership import host_pinger
from wrenspoke.coordination.membership import region_views
from wrenspoke.coordination.membership import remote_hosts
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import engine_pace
from wrenspoke.coordination.serving import hop_times
from wrenspoke.coordination.serving import prefix_index
from wrenspoke.coordination.serving import sent_call_broadcast
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import messages
from wrenspoke.state import routes

# Expected time to the first piece from a region without reported offers: an
# inter-region round trip of up to 160 ms, and some processing there.
DEFAULT_FIRST_MS = 250.0
# How long the wait reported by a busy region applies: two ping intervals by
# default, after which newer offers have arrived.
BUSY_WAIT_TTL_MS = 800
# A host that has not reported this host's configuration index for so long
# gets no calls, as it would refuse them. Leaves time for a
# change to reach every host and for the next ping to report it.
CONFIGURATION_LAG_LIMIT_MS = 800
FORWARDING_OVERHEAD_MS = hop_times.DEFAULT_OVERHEAD_MS
# Separates region and service in cache keys; endpoint names don't contain it.
CACHE_KEY_SEPARATOR = '/'


@dataclasses.dataclass(slots=True)
class RegionOffer:
    """What a region offers for one call, and through which host.

    ``first_ms`` and ``end_ms`` are the expected times to the first piece and
    to the end of the response, ``remote_prefill_ms`` the time that an engine
    there needs for the prompt. The host belongs to a third region if the
    offering region is unreachable from here.
    """

    region: ids.RegionId
    host: discovery_messages.HostRecord
    first_ms: float
    end_ms: float
    remote_prefill_ms: float


class RemoteRegions:
    """Tracks the offers of other regions and the calls forwarded to them."""

    def __init__(
        self,
        pinger: host_pinger.HostPinger,
        remotes: remote_hosts.RemoteHosts,
        region_statuses: region_views.RegionViews,
        local_replica: replica.Replica,
        clock: clocks.Clock,
        broadcaster: sent_call_broadcast.SentCallBroadcaster | None = None,
        hops: hop_times.HopTimes | None = None,
        balanced: bool = False,
    ):
        """Create it; with ``balanced`` offers are spent by their room."""
        self._spent = region_room.SpentRoom(clock) if balanced else None
        self._hops = hops or hop_times.HopTimes(pinger, region_statuses, clock)
        self._broadcaster = broadcaster
        if broadcaster is not None:
            broadcaster.subscribe(self._on_peer_forwarded)
        self._pinger = pinger
        self._remote_hosts = remotes
        self._views = region_statuses
        self._replica = local_replica
        self._index = 0
        self._index_ms = clock.mono_ms()
        self._clock = clock
        self._forwarded: dict[ids.RegionId, collections.deque] = {}
        self._busy_waits: dict[
            tuple[ids.RegionId, ids.ServiceId], tuple[float, int]
        ] = {}
        self._prefix_index = prefix_index.PrefixIndex()

    def offer_for_call(
        self,
        region: ids.RegionId,
        service: routes.RoutedService,
        call: dialects.Call,
        host: discovery_messages.HostRecord,
    ) -> RegionOffer | None:
        """Return a region's offer through a host, or None without one."""
        remote = self._latest_status(host)
        if remote is None:
            return _default_offer(region, host)
        status = remote.pong
        if not status.serving or self._has_stale_configuration(remote):
            return None
        travel_ms = self._travel_ms(host, remote)
        offers = status.offers
        if host.region != region:
            offers = status.relayed.get(region, [])
        if offers is None:
            return _default_offer(region, host)
        found = _offer_of(offers, service.service)
        if found is None:
            return None
        tokens = self._uncached_tokens(region, service, call)
        uncached_ms = found.token_ms * tokens
        if self._spent is not None and found.room is not None:
            waiting_ms = self._wait_by_room(region, remote, found, tokens)
        else:
            waiting_ms = found.wait_ms + self._unreported_wait_ms(
                region, remote, found
            )
        busy_ms, at_ms = self._busy_waits.get(
            (region, service.service), (0.0, 0)
        )
        if self._clock.mono_ms() - at_ms < BUSY_WAIT_TTL_MS:
            waiting_ms = max(waiting_ms, busy_ms)
        first_ms = travel_ms + waiting_ms + uncached_ms
        end_ms = first_ms
        if service.batch is not None:
            events = call.tokens_expected / service.batch.event_tokens
            forecast = engine_pace.PaceForecast(
                found.usual_ms, found.present_ms
            )
            end_ms += forecast.stream_ms(events)
        return RegionOffer(region, host, first_ms, end_ms, uncached_ms)

    def _travel_ms(
        self,
        host: discovery_messages.HostRecord,
        remote: host_pinger.RemoteState | region_views.RegionView,
    ) -> float:
        return (remote.rtt_ms or 0.0) + self._hops.overhead_ms(host.region)

    def _wait_by_room(
        self,
        region: ids.RegionId,
        remote: host_pinger.RemoteState | region_views.RegionView,
        found: messages.ServiceOffer,
        tokens: float,
    ) -> float:
        """Return the wait in a region, by its room and what was spent."""
        since_ms = remote.answered_ms - (remote.rtt_ms or 0.0) / 2
        age_ms = max(self._clock.mono_ms() - since_ms, 0.0)
        spent = self._spent.since(region, found.service, since_ms)
        now = region_room.room_now(found.room, spent, age_ms)
        return region_room.wait_ms(
            found.wait_ms, found.room, now, spent, tokens
        )

    def relay_offers(
        self, unreachable: list[ids.RegionId]
    ) -> dict[ids.RegionId, list[messages.ServiceOffer]]:
        """Return the offers of regions that a remote host can't reach.

        The remote host may relay calls through this one, so that the round
        trip from here is added to the waits.
        """
        found: dict[ids.RegionId, list[messages.ServiceOffer]] = {}
        for region in unreachable:
            for host in self._remote_hosts.reachable(region):
                remote = self._latest_status(host)
                if remote is None:
                    continue
                if not remote.pong.serving or not remote.pong.offers:
                    continue
                travel_ms = self._travel_ms(host, remote)
                found[region] = [
                    msgspec.structs.replace(
                        offer, wait_ms=offer.wait_ms + travel_ms
                    )
                    for offer in remote.pong.offers
                ]
                break
        return found

    def relay_hosts(
        self, region: ids.RegionId, allowed: list[ids.RegionId]
    ) -> list[discovery_messages.HostRecord]:
        """Return hosts of other regions that can relay calls to a region.

        Only hosts of ``allowed`` regions are considered.
        """
        hosts = []
        for via_region in allowed:
            if via_region == region:
                continue
            for host in self._remote_hosts.reachable(via_region):
                remote = self._latest_status(host)
                if remote is None:
                    continue
                if region in remote.pong.relayed:
                    hosts.append(host)
        return hosts

    def _latest_status(
        self, host: discovery_messages.HostRecord
    ) -> host_pinger.RemoteState | region_views.RegionView | None:
        """Return a host's last status, or one received by a peer host."""
        if self._pinger.is_answering(host.host):
            return self._pinger.state_of(host.host)
        found = self._views.latest_view(host.region)
        if found is not None:
            return found
        remote = self._pinger.state_of(host.host)
        return None if remote is None or remote.pong is None else remote

    def _has_stale_configuration(
        self, remote: host_pinger.RemoteState | region_views.RegionView
    ) -> bool:
        """Return whether a host's configuration is behind for too long."""
        if self._replica.current.index != self._index:
            self._index = self._replica.current.index
            self._index_ms = self._clock.mono_ms()
        if remote.pong.index >= self._index:
            return False
        return remote.answered_ms - self._index_ms > CONFIGURATION_LAG_LIMIT_MS

    def _uncached_tokens(
        self,
        region: ids.RegionId,
        service: routes.RoutedService,
        call: dialects.Call,
    ) -> float:
        if service.batch is None:
            return 0.0
        name = _cache_key(region, service.service)
        cached = self._prefix_index.cached_tokens(
            name, call.parts, assume_affinity=False
        )
        return max(call.tokens_in - cached, 0.0)

    def _unreported_wait_ms(
        self,
        region: ids.RegionId,
        remote: host_pinger.RemoteState | region_views.RegionView,
        found: messages.ServiceOffer,
    ) -> float:
        """Return the wait due to forwarded calls newer than the offer."""
        forwarded = self._forwarded.get(region)
        if not forwarded:
            return 0.0
        since_ms = remote.answered_ms - (remote.rtt_ms or 0.0) / 2
        while forwarded and forwarded[0][0] < since_ms:
            forwarded.popleft()
        tokens = sum(item[1] for item in forwarded)
        return tokens * found.token_ms / max(found.endpoints, 1)

    def record_forwarded(
        self,
        region: ids.RegionId,
        service: routes.RoutedService,
        call: dialects.Call,
    ) -> None:
        """Record a forwarded call, and broadcast it to this region's hosts."""
        uncached = self._uncached_tokens(region, service, call)
        forwarded = self._forwarded.setdefault(region, collections.deque())
        forwarded.append((self._clock.mono_ms(), uncached))
        if service.batch is None:
            return
        if self._spent is not None:
            self._spent.record_forwarded(region, service.service, uncached)
        name = _cache_key(region, service.service)
        self._prefix_index.record_prompt(
            name, service.batch.cache_tokens, call.parts
        )
        if self._broadcaster is not None:
            self._broadcaster.publish(name, uncached, call.parts)

    def _on_peer_forwarded(self, sent: discovery_messages.SentCall) -> None:
        """Record a call that another host of this region forwarded."""
        region, found, name = sent.endpoint.partition(CACHE_KEY_SEPARATOR)
        service = self._replica.current.routes.service(ids.ServiceId(name))
        if not found or service is None or service.batch is None:
            return
        forwarded = self._forwarded.setdefault(
            ids.RegionId(region), collections.deque()
        )
        forwarded.append((self._clock.mono_ms() - sent.age_ms, sent.tokens))
        if self._spent is not None:
            self._spent.record_forwarded(
                ids.RegionId(region),
                service.service,
                sent.tokens,
                sent.age_ms,
            )
        parts = sent_call_broadcast.prompt_parts(sent)
        self._prefix_index.record_prompt(
            sent.endpoint, service.batch.cache_tokens, parts
        )

    def record_busy(
        self, region: ids.RegionId, service: ids.ServiceId, wait_ms: float
    ) -> None:
        """Record the wait that a region reported when it refused a call."""
        self._busy_waits[region, service] = (wait_ms, self._clock.mono_ms())


def _default_offer(
    region: ids.RegionId, host: discovery_messages.HostRecord
) -> RegionOffer:
    return RegionOffer(region, host, DEFAULT_FIRST_MS, DEFAULT_FIRST_MS, 0.0)


def _offer_of(
    offers: list[messages.ServiceOffer] | None, service: ids.ServiceId
) -> messages.ServiceOffer | None:
    for found in offers or ():
        if found.service == service:
            return found
    return None


def _cache_key(region: ids.RegionId, service: ids.ServiceId) -> ids.EndpointId:
    return ids.EndpointId(f'{region}{CACHE_KEY_SEPARATOR}{service}')
