"""Control host of a deployment with host discovery.

The process that starts it provides the servers for operators and endpoints,
whose protocols depend on the platform.
"""

import pathlib

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import bootstrap
from wrenspoke.coordination.agreement import direct_decisions
from wrenspoke.coordination.agreement import voter
from wrenspoke.coordination.limiting import allocator
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import registrar
from wrenspoke.coordination.membership import registry_snapshot
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import crash_aggregator
from wrenspoke import feature_flags
from wrenspoke import ids
from wrenspoke import node as nodes
from wrenspoke import node_peers
from wrenspoke import process_load
from wrenspoke import runtime
from wrenspoke import shutdown
from wrenspoke.state import disk
from wrenspoke.state import locations
from wrenspoke.state import storage
from wrenspoke.transport import descriptors

logger = structlog.get_logger(__name__)


class ControlNode:
    """Runs a control host: consensus, endpoint registry, host roster."""

    def __init__(self, node: nodes.NodeSettings):
        self.node = node
        self.clock = clocks.Clock()
        self._traffic = node_peers.build_traffic_counter(node, self.clock)
        self.peers = node_peers.build_peers(node, self._traffic, self.clock)
        self.group = control_group.ControlGroup(
            node.host, node.seed_hosts, self.clock
        )
        self.replica = replica.Replica()
        data_folder = pathlib.Path(node.data_folder)
        log_storage = storage.Storage(disk.Disk(data_folder))
        # A thread writes there, so a failure is no failure of the log.
        registry_disk = disk.Disk(data_folder)
        keeps_registry = (
            feature_flags.FeatureFlag.REGISTRY_SNAPSHOTS
            not in node.switched_off
        )
        is_new_disk = not (log_storage.last_index or log_storage.meta.boot)
        if node.first_start:
            bootstrap.bootstrap_seeds(log_storage, node.host, node.seed_hosts)
        self.voter = voter.Voter(
            node.host,
            locations.Location(node.region, node.data_centre),
            self.group,
            node.control,
            log_storage,
            self.peers,
            self.replica,
            self.clock,
        )
        self.registrar = registrar.Registrar(
            node.region,
            self.voter,
            self.group,
            self.replica,
            self.peers,
            self.clock,
            node.first_start and is_new_disk,
            registry_disk if keeps_registry else None,
            (node.control.tolerated_losses or 1) + 1,
        )
        self._traffic.set_location_lookup(self.registrar.host_location)
        self._registry_snapshot = registry_snapshot.RegistrySnapshot(
            registry_disk,
            self.registrar.registry,
            self.registrar.leaves,
            self.clock,
        )
        self._allocator = allocator.Allocator(
            self.voter, self.peers, self.clock
        )
        self._crash_aggregator = crash_aggregator.CrashAggregator(
            self.voter, self.replica, self._entry_hosts, self.peers, self.clock
        )
        self._tasks = runtime.Tasks()
        # The starting process adds the connections of its servers.
        self.budget = descriptors.DescriptorBudget(node.resources.descriptors)
        self.budget.set_links(lambda: self.peers.links.descriptor_count)
        self._process_load = process_load.ProcessLoad(self.budget, self.clock)
        self.decisions = direct_decisions.DirectDecisions(
            self.voter, self.clock
        )

    def _entry_hosts(self, everywhere: bool) -> list[ids.HostId]:
        """Return the entry hosts of this region, or of all regions."""
        return [
            record.host
            for record in self.registrar.roster.records()
            if everywhere or record.region == self.node.region
        ]

    async def start(self) -> None:
        """Start the link listener and the background tasks."""
        await self.peers.links.start(self.node.ip, self.node.link_port)
        self.voter.start()
        if (
            feature_flags.FeatureFlag.REGISTRY_SNAPSHOTS
            not in self.node.switched_off
        ):
            self._registry_snapshot.start()
        self.registrar.start()
        self._crash_aggregator.start()
        self._tasks.start(self._traffic.log_periodically('control'))
        self._process_load.start()
        logger.info('started', host=self.node.host, seeds=self.node.seeds)

    def reload(self, node: nodes.NodeSettings) -> None:
        """Apply changed settings; only the seeds can change at run time."""
        self.group.reseed(node.seed_hosts)
        logger.info('reloaded', seeds=node.seeds)

    def begin_stop(self) -> shutdown.Shutdown:
        """Return a new shutdown, whose grace starts now."""
        return shutdown.Shutdown(self.clock, self.node.entry.grace_ms)

    async def drain(self, stop: shutdown.Shutdown | None = None) -> None:
        """Release the sessions of entry hosts, which then reconnect."""
        stop = stop or self.begin_stop()
        async with stop.step('release_polls', shutdown.CLOSE_MARGIN_MS):
            await self.registrar.release_polls()

    async def close(self, stop: shutdown.Shutdown | None = None) -> None:
        """Cancel every task and close every socket."""
        stop = stop or shutdown.Shutdown(self.clock)
        self._traffic.log('control')
        await stop.close_all(
            {
                'process_load': self._process_load,
                'tasks': self._tasks,
                'allocator': self._allocator,
                'crash_aggregator': self._crash_aggregator,
                'registrar': self.registrar,
                'registry_snapshot': self._registry_snapshot,
                'voter': self.voter,
                'links': self.peers.links,
            }
        )
