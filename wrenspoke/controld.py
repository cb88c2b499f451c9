"""``wrenspoke-controld``: the daemon of a control host."""

import pathlib

import aiohttp.web
import structlog

from wrenspoke import arguments
from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import bootstrap
from wrenspoke.coordination.agreement import control_service
from wrenspoke.coordination.agreement import execution
from wrenspoke.coordination.agreement import voter
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import crash_aggregator
from wrenspoke.coordination.serving import dispatch
from wrenspoke import ids
from wrenspoke import keys
from wrenspoke import metrics
from wrenspoke import process_load
from wrenspoke.protocol import operator_api
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke import shutdown
from wrenspoke.state import disk
from wrenspoke.state import entries
from wrenspoke.state import locations
from wrenspoke.state import storage
from wrenspoke.transport import descriptors
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

STOP_GRACE_MS = 8_000


class ControlDaemon:
    """Builds, starts and stops the components of a control host."""

    def __init__(
        self,
        deployment: settings.Deployment,
        name: str,
        folder: pathlib.Path,
    ):
        self._deployment = deployment
        self._host_settings = deployment.host(name)
        host = ids.HostId(name)
        self._clock = clock = clocks.Clock()
        self.peers = peer_calls.Peers(
            keys.read_identity(
                folder / deployment.keys_folder,
                deployment,
                self._host_settings,
            ),
            keys.link_peers(deployment),
            clock,
        )
        self.replica = replica.Replica()
        self._budget = descriptors.DescriptorBudget()
        self._client = web.HttpClient(
            deployment.entry.connect_timeout_ms, budget=self._budget
        )
        log_storage = storage.Storage(
            disk.Disk(folder / self._host_settings.data_folder)
        )
        hosts = [
            ids.HostId(other.host) for other in deployment.with_role('control')
        ]
        self.voter = voter.Voter(
            host,
            locations.Location(
                self._host_settings.region, self._host_settings.data_centre
            ),
            control_group.ControlGroup(host, hosts, clock),
            deployment.control,
            log_storage,
            self.peers,
            self.replica,
            clock,
        )
        dispatcher = dispatch.Dispatcher(
            host,
            ids.RegionId(self._host_settings.region),
            self.replica,
            self._client,
            clock,
        )
        self._executor = execution.Executor(
            host, deployment, self.voter, dispatcher, clock
        )
        self.control = control_service.ControlService(
            deployment,
            self.voter,
            self._executor,
            self.replica,
            self.peers,
            clock,
        )
        self._crash_aggregator = crash_aggregator.CrashAggregator(
            self.voter, self.replica, self._entry_hosts, self.peers, clock
        )
        surface = operator_api.OperatorApi(self.control, deployment.operators)
        self._metrics = metrics.Metrics(name)
        application = surface.application()
        application.router.add_get('/metrics', self._handle_metrics)
        self._web = web.HttpServer(application, self._budget)
        self._process_load = process_load.ProcessLoad(self._budget, clock)
        self._budget.set_links(lambda: self.peers.links.descriptor_count)
        self._budget.add_accepted('operators', self._web.count_connections)
        self._budget.add_opened('endpoints', self._client.count_connections)

    def _entry_hosts(self, everywhere: bool) -> list[ids.HostId]:
        """Return the entry hosts of this region, or of all regions."""
        return [
            ids.HostId(entry.host)
            for entry in self._deployment.with_role('entry')
            if everywhere or entry.region == self._host_settings.region
        ]

    async def _handle_metrics(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        local_voter = self.voter
        put = self._metrics.set
        put('wrenspoke_term', local_voter.term)
        put('wrenspoke_leading', local_voter.has_lease)
        put('wrenspoke_commit_index', local_voter.commit_index)
        put('wrenspoke_voters', len(local_voter.committed_electorate.voters))
        put(
            'wrenspoke_configuration_index',
            local_voter.state.configuration.index,
        )
        self._metrics.set_link_metrics(self.peers.links)
        self._metrics.set_process_load(self._budget)
        return self._metrics.response(request)

    async def start(self) -> None:
        """Start the listeners and the background tasks."""
        ip = str(self._host_settings.ip)
        await self.peers.links.start(ip, self._host_settings.link_port)
        self.voter.start()
        self._executor.start()
        self.control.start()
        self._crash_aggregator.start()
        self._process_load.start()
        await self._web.start(ip, self._host_settings.operator_port)
        logger.info(
            'started', ip=ip, operator_port=self._host_settings.operator_port
        )

    def begin_stop(self) -> shutdown.Shutdown:
        """Return a new shutdown, whose grace starts now."""
        return shutdown.Shutdown(self._clock, STOP_GRACE_MS)

    async def close(self, stop: shutdown.Shutdown | None = None) -> None:
        """Cancel every task and close every socket."""
        stop = stop or shutdown.Shutdown(self._clock)
        await stop.close_all(
            {
                'server': self._web,
                'process_load': self._process_load,
                'crash_aggregator': self._crash_aggregator,
                'control': self.control,
                'executor': self._executor,
                'voter': self.voter,
                'client': self._client,
                'links': self.peers.links,
            }
        )


def bootstrap_group(path: pathlib.Path, name: str) -> None:
    """Bootstrap a new control group on one host's empty disk.

    :raises InvalidChangeError: the disk already holds a log
    """
    deployment = settings.read(path)
    folder = path.parent / deployment.host(name).data_folder
    log_storage = storage.Storage(disk.Disk(folder))
    first = entries.Bootstrap(deployment.first_configuration())
    bootstrap.bootstrap_single(log_storage, ids.HostId(name), first)


async def serve(path: pathlib.Path, name: str) -> None:
    """Run one control host until a stop signal."""
    deployment = settings.read(path)
    daemon = ControlDaemon(deployment, name, path.parent)
    await daemon.start()
    await runtime.wait_for_stop()
    await daemon.close(daemon.begin_stop())


def main() -> None:
    """Run the control host that the command line names."""
    arguments.run_daemon(__doc__, serve)


if __name__ == '__main__':
    main()
