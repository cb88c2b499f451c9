"""Keep an entry host's replica of the configuration up to date.

At most two hosts of a data centre, its relays, pull from the control
hosts, which notify them of changes; other hosts pull from the relays when
a heartbeat reports a newer index.

A host that starts serves once a leader has confirmed that nothing newer was
accepted, or, if control hosts are unreachable, once every peer of its data
centre has answered or timed out; it then holds the highest index among
them. After a long pause a host repeats this check, but may fall back to
the configuration that it served before.
"""

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import members
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.state import configuration

logger = structlog.get_logger(__name__)

CALL_TIMEOUT_MS = 1_000
START_INTERVAL_MS = 100
DRAIN_INTERVAL_MS = 1_000


class ConfigurationPuller:
    """Pulls the configuration from control hosts or relays."""

    def __init__(
        self,
        host: ids.HostId,
        deployment: settings.Deployment,
        peers: peer_calls.Peers,
        host_members: members.Members,
        config_replica: replica.Replica,
        clock: clocks.Clock,
    ):
        self._host = host
        self._interval_ms = deployment.entry.pull_interval_ms
        self._control_hosts = [
            control.host for control in deployment.with_role('control')
        ]
        self._deployment = deployment
        self._peers = peers
        self._members = host_members
        self._replica = config_replica
        self._clock = clock
        self._leader: ids.HostId | None = None
        self._tasks = runtime.Tasks()
        peers.handles(messages.PullConfiguration)(self._handle_pull)
        peers.handles(messages.UpdateAvailable)(self._handle_news)

    def start(self) -> None:
        """Start pulling; without control hosts serve the settings alone."""
        if not self._control_hosts:
            self._replica.apply_delta(
                messages.ConfigurationDelta(
                    index=1, whole=self._initial_configuration()
                )
            )
            self._replica.start_serving()
            return
        self._replica.refreshable = True
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel the pulling task."""
        await self._tasks.close()

    def _initial_configuration(self):
        found = self._deployment.first_configuration()
        return type(found)(
            1, found.services, found.endpoints, found.rules, found.limits
        )

    async def _handle_pull(
        self, _sender: ids.HostId, message: messages.PullConfiguration
    ) -> messages.ConfigurationDelta:
        delta = self._replica.delta_since(message.after)
        delta.serving = self._replica.serving
        return delta

    async def _run(self) -> None:
        while True:
            if self._replica.serving:
                await self._wait_for_update()
                await self._pull_updates()
                continue
            await self._catch_up()
            if not self._replica.serving:
                await self._clock.sleep_ms(START_INTERVAL_MS)

    async def _wait_for_update(self) -> None:
        """Wait for the next pull, or for a heartbeat with a newer index."""
        try:
            async with clocks.timeout_ms(self._next_pull_ms()):
                await self._members.update_available.wait()
        except TimeoutError:
            return
        self._members.update_available.clear()

    def _next_pull_ms(self) -> int:
        """Return the time to the next pull, short while an endpoint drains."""
        draining = any(
            endpoint.state is configuration.EndpointState.DRAINING
            for endpoint in self._replica.current.endpoints.values()
        )
        if draining:
            return min(self._interval_ms, DRAIN_INTERVAL_MS)
        return self._interval_ms

    async def _catch_up(self) -> None:
        # Peers supply most changes; the leader adds only what is newer.
        answers = [
            await self._pull(host) for host in self._members.local_peers
        ]
        confirmed = await self._pull_control()
        if confirmed:
            self._serve('leader')
            return
        serving = any(
            answer is not None and answer.serving for answer in answers
        )
        held = serving or self._replica.served_before
        if held and self._members.peers_settled():
            self._serve('peers')

    def _serve(self, source: str) -> None:
        self._replica.start_serving()
        logger.info(
            'serving', source=source, index=self._replica.current.index
        )

    async def _pull_updates(self) -> None:
        if await self._pull_from_peer():
            return
        if self._host in self._members.relay_hosts():
            before = self._replica.current.index
            await self._pull_any_control()
            if self._replica.current.index > before:
                await self._members.broadcast_beat()

    async def _pull_any_control(self) -> None:
        """Pull from one control host; hosts spread over them."""
        for host in routing.rendezvous(self._host, self._control_hosts):
            if await self._pull(ids.HostId(host)) is not None:
                return

    async def _handle_news(
        self, _sender: ids.HostId, news: messages.UpdateAvailable
    ) -> None:
        if news.index > self._replica.current.index:
            self._members.update_available.set()

    async def _pull_from_peer(self) -> bool:
        """Pull from a peer with a newer index; return whether one answered."""
        index = self._replica.current.index
        for host in self._members.local_peers:
            if self._members.config_index_of(host) > index:
                return await self._pull(host) is not None
        return False

    async def _pull_control(self) -> bool:
        """Pull from the leader or a control host; return if confirmed."""
        asked = [self._leader] if self._leader else []
        asked += [host for host in self._control_hosts if host != self._leader]
        self._leader = None
        for host in asked:
            delta = await self._pull(host)
            if delta is None:
                continue
            if delta.confirmed:
                self._leader = host
                return True
            if delta.leader is None or delta.leader == host:
                continue
            confirmed = await self._pull(delta.leader)
            if confirmed is not None and confirmed.confirmed:
                self._leader = delta.leader
                return True
        return False

    async def _pull(
        self, host: ids.HostId
    ) -> messages.ConfigurationDelta | None:
        standing = None
        if host in self._control_hosts:
            standing = self._members.data_centre_status()
        message = messages.PullConfiguration(
            self._replica.current.index, standing
        )
        try:
            answer = await self._peers.call(host, message, CALL_TIMEOUT_MS)
        except protocol_errors.ProtocolError:
            return None
        if not isinstance(answer, messages.ConfigurationDelta):
            return None
        self._replica.apply_delta(answer)
        return answer
