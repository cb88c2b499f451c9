"""Liveness of entry hosts, as seen from this host."""

import asyncio
import dataclasses
import itertools

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import loads
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import concurrency_limits
from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke import settings

logger = structlog.get_logger(__name__)

RELAY_COUNT = 2
MS_PER_S = 1000


@dataclasses.dataclass
class PeerState:
    """The last heartbeat of a peer."""

    last_beat_ms: int
    draining: bool = False
    index: int = 0
    busy: list[messages.EndpointInFlight] = dataclasses.field(
        default_factory=list
    )
    suspicion_timeout_ms: int = 0
    suspected: bool = False


class Members:
    """Sends heartbeats to the peers of this data centre; tracks all hosts.

    Peers of the data centre are suspected when their heartbeats stop.
    Other hosts send no heartbeats here; they are suspected for a while
    after a request to them failed.
    """

    def __init__(
        self,
        deployment: settings.Deployment,
        host: settings.HostSettings,
        peers: peer_calls.Peers,
        config_replica: replica.Replica,
        load_table: loads.LoadTable,
        limit_table: concurrency_limits.ConcurrencyLimits,
        clock: clocks.Clock,
    ):
        self._settings = deployment.entry
        self._deployment = deployment
        self._host = host
        self._peers = peers
        self._replica = config_replica
        self._loads = load_table
        self._limits = limit_table
        self._clock = clock
        self._entries = {
            entry.host: entry for entry in deployment.with_role('entry')
        }
        self._local_peers = [
            entry.host
            for entry in self._entries.values()
            if entry.data_centre == host.data_centre
            and entry.host != host.host
        ]
        self._peer_states: dict[ids.HostId, PeerState] = {}
        self._failed_ms: dict[ids.HostId, int] = {}
        self._tasks = runtime.Tasks()
        self._started_ms = clock.mono_ms()
        self._ticked_ms = clock.mono_ms()
        self._interval_ms = self._settings.beat_interval_ms
        self.draining = False
        self.update_available = asyncio.Event()
        peers.handles(messages.Heartbeat)(self._handle_beat)

    def start(self) -> None:
        """Start sending heartbeats and checking those of peers."""
        self._tasks.start(self._beat_loop())
        self._tasks.start(self._suspicion_loop())

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()

    @property
    def local_peers(self) -> list[ids.HostId]:
        """Return the other entry hosts of this data centre."""
        return list(self._local_peers)

    def is_alive(self, host: ids.HostId) -> bool:
        """Return whether a peer of this data centre is not suspected."""
        if host == self._host.host:
            return True
        seen = self._peer_states.get(host)
        return seen is not None and not seen.suspected

    def config_index_of(self, host: ids.HostId) -> int:
        """Return the configuration index that a peer last reported, or 0."""
        seen = self._peer_states.get(host)
        return 0 if seen is None else seen.index

    def usable(self, host: ids.HostId) -> bool:
        """Return whether callers and other hosts should use a host."""
        if host == self._host.host:
            return not self.draining
        if host in self._local_peers:
            seen = self._peer_states.get(host)
            return (
                seen is not None and not seen.suspected and not seen.draining
            )
        failed_ms = self._failed_ms.get(host)
        if failed_ms is None:
            return True
        age_ms = self._clock.mono_ms() - failed_ms
        return age_ms > self._settings.suspect_after_ms

    def record_request_failure(self, host: ids.HostId) -> None:
        """Record a failed request to a host of another data centre."""
        self._failed_ms[host] = self._clock.mono_ms()
        logger.info('host_suspected', peer=host, cause='request_failed')

    def relay_hosts(self) -> list[ids.HostId]:
        """Return the hosts that pull the configuration from control hosts."""
        live = [host for host in self._local_peers if self.is_alive(host)]
        live.append(ids.HostId(self._host.host))
        ranked = routing.rendezvous(self._host.data_centre, live)
        return [ids.HostId(name) for name in ranked[:RELAY_COUNT]]

    def polls_endpoint(self, endpoint: ids.EndpointId) -> bool:
        """Return whether this host is the one that polls an endpoint."""
        live = [host for host in self._local_peers if self.is_alive(host)]
        live.append(ids.HostId(self._host.host))
        return routing.rendezvous(endpoint, live)[0] == self._host.host

    def entry_hosts_in(self, region: ids.RegionId) -> list[ids.HostId]:
        """Return a region's entry hosts, usable ones first."""
        hosts = [
            entry.host
            for entry in self._entries.values()
            if entry.region == region and entry.host != self._host.host
        ]
        start = routing.rendezvous(self._host.host, hosts)
        return sorted(start, key=lambda host: not self.usable(host))

    def usable_by_distance(
        self, region: str | None
    ) -> list[settings.HostSettings]:
        """Return usable entry hosts, those nearest to a region first."""
        wanted = region or self._host.region
        usable = [
            entry
            for entry in self._entries.values()
            if self.usable(entry.host)
        ]
        return sorted(
            usable,
            key=lambda entry: (
                self._deployment.one_way_ms(wanted, entry.region),
                entry.data_centre != self._host.data_centre,
            ),
        )

    async def broadcast_beat(self) -> None:
        """Send a heartbeat to all peers at once."""
        index = self._replica.current.index
        own = [
            endpoint
            for endpoint in self._replica.current.endpoints
            if self.polls_endpoint(endpoint)
        ]
        beat = messages.Heartbeat(
            draining=self.draining,
            index=index,
            interval_ms=self._interval_ms,
            loads=self._loads.fresh_reports(own),
            leaving=sorted(self._replica.leaving),
            busy=self._draining_in_flight(),
        )
        sent_bytes = 0
        for host in self._local_peers:
            sent_bytes += await self._peers.send_oneway(host, beat)
        # As many bytes are received as sent, hence the factor of 2.
        budget = self._settings.beat_budget_bytes_per_s
        self._interval_ms = max(
            self._settings.beat_interval_ms,
            2 * sent_bytes * MS_PER_S // budget,
        )

    async def _beat_loop(self) -> None:
        while True:
            self._detect_pause()
            await self.broadcast_beat()
            await self._clock.sleep_ms(self._interval_ms)

    @property
    def recently_ran(self) -> bool:
        """Return whether this process has had CPU time recently.

        After a long pause its state may be outdated and has to be
        revalidated before anything is sent.
        """
        age_ms = self._clock.mono_ms() - self._ticked_ms
        return age_ms <= self._suspicion_timeout_ms(self._interval_ms)

    def _detect_pause(self) -> None:
        if not self.recently_ran:
            logger.warning('process_paused', cause='no_processor_time')
            self._replica.suspend_serving()
            self._peer_states.clear()
            self._started_ms = self._clock.mono_ms()
        self._ticked_ms = self._clock.mono_ms()

    async def _handle_beat(
        self, sender: ids.HostId, beat: messages.Heartbeat
    ) -> None:
        known = self._peer_states.get(sender)
        if known is None or known.suspected:
            logger.info('host_alive', peer=sender)
        self._peer_states[sender] = PeerState(
            self._clock.mono_ms(),
            beat.draining,
            beat.index,
            beat.busy,
            self._suspicion_timeout_ms(beat.interval_ms),
        )
        if beat.index > self._replica.current.index:
            self.update_available.set()
        for report in beat.loads:
            self._loads.add_report(report)
        self._replica.leaving.update(beat.leaving)

    def _suspicion_timeout_ms(self, interval_ms: int) -> int:
        """Return the silence after which a peer is suspected."""
        least_ms = self._settings.suspect_after_ms
        return max(
            least_ms,
            least_ms * interval_ms // self._settings.beat_interval_ms,
        )

    async def _suspicion_loop(self) -> None:
        while True:
            await self._clock.sleep_ms(self._settings.beat_interval_ms / 2)
            for host, seen in self._peer_states.items():
                silence_ms = self._clock.mono_ms() - seen.last_beat_ms
                if seen.suspected:
                    continue
                if silence_ms <= seen.suspicion_timeout_ms:
                    continue
                seen.suspected = True
                logger.warning(
                    'host_suspected',
                    peer=host,
                    cause='no_heartbeats',
                    silence_ms=silence_ms,
                )

    def _draining_in_flight(self) -> list[messages.EndpointInFlight]:
        """Return the requests in flight to endpoints that take no new work."""
        return [
            messages.EndpointInFlight(endpoint.endpoint, in_flight)
            for endpoint in self._replica.current.endpoints.values()
            if not self._replica.takes_work(endpoint)
            and (in_flight := self._limits.in_flight(endpoint.endpoint))
        ]

    def data_centre_status(self) -> messages.DataCentreStatus:
        """Return the lowest index and the requests in flight at live hosts."""
        low_index = self._replica.current.index
        counts: dict[ids.EndpointId, int] = {}
        seen = [
            self._peer_states[host]
            for host in self._local_peers
            if self.is_alive(host)
        ]
        for peer in seen:
            low_index = min(low_index, peer.index)
        busy_lists = [
            self._draining_in_flight(),
            *(peer.busy for peer in seen),
        ]
        for busy in itertools.chain.from_iterable(busy_lists):
            count = counts.get(busy.endpoint, 0) + busy.in_flight
            counts[busy.endpoint] = count
        return messages.DataCentreStatus(
            ids.DataCentreId(self._host.data_centre),
            ids.RegionId(self._host.region),
            low_index,
            [
                messages.EndpointInFlight(name, count)
                for name, count in counts.items()
            ],
        )

    def peers_settled(self) -> bool:
        """Return whether every peer has sent a heartbeat or timed out."""
        waited_ms = self._clock.mono_ms() - self._started_ms
        if waited_ms > self._settings.suspect_after_ms:
            return True
        return all(host in self._peer_states for host in self._local_peers)
