"""``wrenspoke-entryd``: the daemon of an entry host."""

import pathlib

import aiohttp.web
import structlog

from wrenspoke import arguments
from wrenspoke import clock as clocks
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.membership import configuration_puller
from wrenspoke.coordination.membership import host_list_poller
from wrenspoke.coordination.membership import host_pinger
from wrenspoke.coordination.membership import load_poller
from wrenspoke.coordination.membership import loads
from wrenspoke.coordination.membership import member_roster
from wrenspoke.coordination.membership import members
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import crash_reporter
from wrenspoke.coordination.quarantine import guard
from wrenspoke.coordination.serving import concurrency_limits
from wrenspoke.coordination.serving import decisions
from wrenspoke.coordination.serving import dispatch
from wrenspoke.coordination.serving import forwarding
from wrenspoke.coordination.serving import gateway
from wrenspoke.coordination.serving import ledger
from wrenspoke.coordination.serving import local_server
from wrenspoke.coordination.serving import once
from wrenspoke.coordination.serving import placement
from wrenspoke.coordination.serving import streams
from wrenspoke.coordination.serving import team_rate_limits
from wrenspoke import ids
from wrenspoke import keys
from wrenspoke import metrics
from wrenspoke import process_load
from wrenspoke.protocol import entry_api
from wrenspoke.protocol import hops
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke import shutdown
from wrenspoke.transport import descriptors
from wrenspoke.transport import web

MS_PER_S = 1_000
# Configured endpoints have no instance id that would show a restart: the mark
# of one that announced its shutdown expires after this time.
LEAVING_TTL_MS = 60_000

logger = structlog.get_logger(__name__)

DRAIN_CHECK_MS = 50


class EntryDaemon:
    """Builds, starts and stops the components of an entry host."""

    def __init__(
        self,
        deployment: settings.Deployment,
        name: str,
        keys_folder: pathlib.Path,
    ):
        self._deployment = deployment
        self._settings = deployment.entry
        self._host_settings = deployment.host(name)
        self._host = ids.HostId(name)
        self._region = ids.RegionId(self._host_settings.region)
        self.clock = clocks.Clock()
        self._signer = hops.HopSigner(
            deployment.cluster, keys.read_cluster_key(keys_folder)
        )
        self._budget = descriptors.DescriptorBudget()
        self._client = web.HttpClient(
            self._settings.connect_timeout_ms, budget=self._budget
        )
        self.peers = peer_calls.Peers(
            keys.read_identity(keys_folder, deployment, self._host_settings),
            keys.link_peers(deployment),
            self.clock,
        )
        self.replica = replica.Replica()
        self.decisions = decisions.DecisionLog(self.clock)
        self.loads = loads.LoadTable(self.clock)
        self._limits = concurrency_limits.ConcurrencyLimits(self.clock)
        self._build_membership()
        self._build_limits()
        self._build_guard()
        self._build_serving()
        self._build_ledger()
        self._build_gateway()
        self._build_surface()

    def _build_membership(self) -> None:
        """Build host membership and configuration replication."""
        self.members = members.Members(
            self._deployment,
            self._host_settings,
            self.peers,
            self.replica,
            self.loads,
            self._limits,
            self.clock,
        )
        self._puller = configuration_puller.ConfigurationPuller(
            self._host,
            self._deployment,
            self.peers,
            self.members,
            self.replica,
            self.clock,
        )
        self._host_list_poller = host_list_poller.HostListPoller(
            self._settings.platform_url,
            self._host,
            self._client,
            self.members,
            self.replica,
            self.clock,
        )
        self._pinger = host_pinger.HostPinger(
            self._settings,
            self.peers,
            self.clock,
            lambda _ping: messages.Pong(self.members.draining),
        )
        self._team_rate_limiter = team_rate_limits.TeamRateLimiter(
            self._deployment,
            self._host_settings,
            self.peers,
            self.members,
            self.replica,
            self.clock,
        )

    def _build_limits(self) -> None:
        """Build the enforcement of limits that endpoints advertise."""
        self._pollers = region_pollers.RegionPollers(
            self._region,
            self._host,
            member_roster.MemberRoster(self._deployment, self.members),
            self.peers,
        )
        self._gate = endpoint_gate.EndpointGate(
            self._host,
            self._pollers.rendezvous_order,
            lambda life: life.endpoint in self.replica.current.endpoints,
            self._pollers.broadcast,
            self.peers,
            self.clock,
            LEAVING_TTL_MS,
        )
        self._pollers.add_listener(self._gate.merge)

    def _build_guard(self) -> None:
        """Build the quarantine of requests that crash endpoints.

        Without control hosts, entry hosts report crashes to each other.
        """
        deployment = self._deployment
        report_hosts = deployment.with_role('control') or [
            host
            for host in deployment.with_role('entry')
            if host.host != self._host
        ]
        report_host_ids = [ids.HostId(host.host) for host in report_hosts]
        self._guard = guard.Guard(
            self.replica,
            crash_reporter.CrashReporter(
                lambda: report_host_ids, self.peers, self.clock
            ),
            self.peers,
            self._is_endpoint_leaving,
            self.clock,
            has_control_hosts=bool(deployment.with_role('control')),
        )

    def _is_endpoint_leaving(self, endpoint: ids.EndpointId) -> bool:
        """Return whether a known endpoint accepts no more work."""
        found = self.replica.current.endpoints.get(endpoint)
        return found is not None and not self.replica.takes_work(found)

    def _build_serving(self) -> None:
        """Build load polling of, and dispatch to, this region's endpoints."""
        dispatcher = dispatch.Dispatcher(
            self._host,
            self._region,
            self.replica,
            self._client,
            self.clock,
            lambda: self.members.recently_ran,
            self._guard,
            self._gate,
        )
        self._poller = load_poller.LoadPoller(
            self._settings,
            self._region,
            self._host_settings.data_centre,
            dispatcher,
            self.members,
            self.replica,
            self.loads,
            self._limits,
            self.clock,
        )
        self._scheduler = placement.EndpointScheduler(
            self._region,
            self._settings,
            self.replica,
            self.loads,
            self._limits,
            self._gate,
            self.decisions,
            self.clock,
        )
        self._server = local_server.LocalServer(
            self._settings,
            dispatcher,
            self._scheduler,
            self.loads,
            self.decisions,
            self.clock,
        )
        self._streams = streams.StreamServer(self._server)

    def _build_ledger(self) -> None:
        """Build the ledger and the server of once-only requests."""
        hosts = [
            ids.HostId(entry.host)
            for entry in self._deployment.with_role('ledger')
            if entry.region == self._region
        ]
        self.ledger = ledger.Ledger(
            self._host,
            hosts,
            self._deployment.ledger,
            self.peers,
            self.clock,
        )
        self._once = once.OnceServer(
            self._host,
            self._deployment.ledger,
            self.ledger,
            self._server,
            self.members,
            self.decisions,
            self.clock,
        )

    def _build_gateway(self) -> None:
        """Build the gateway, which selects where a request is served."""
        forwarder = forwarding.Forwarder(
            self._host,
            self._deployment,
            self.members,
            self._pinger,
            self._client,
            self._signer,
            self.decisions,
            self.clock,
        )
        self.gateway = gateway.Gateway(
            self._deployment,
            self._host_settings,
            self.replica,
            self.members,
            self._scheduler,
            self._server,
            self._streams,
            self._once,
            forwarder,
            self._team_rate_limiter,
            self.ledger,
            self.decisions,
            self._guard,
            self.clock,
        )

    def _build_surface(self) -> None:
        """Build the HTTP server for callers and metrics scrapers."""
        entry_surface = entry_api.EntryApi(
            self.gateway,
            self._host,
            self._settings,
            self._signer,
            self.clock,
            self._deployment.ledger.clock_skew_ms,
        )
        self._metrics = metrics.Metrics(self._host)
        # Endpoints that have had a backoff or leaving gauge.
        self._gauged_endpoints: set[ids.EndpointId] = set()
        self.loads.on_first_token = self._metrics.observe_first_ms
        application = entry_surface.application()
        application.router.add_get('/metrics', self._handle_metrics)
        self._web = web.HttpServer(application, self._budget)
        self._process_load = process_load.ProcessLoad(self._budget, self.clock)
        self._budget.set_links(lambda: self.peers.links.descriptor_count)
        self._budget.add_accepted('callers', self._web.count_connections)
        self._budget.add_opened('endpoints', self._client.count_connections)

    async def start(self) -> None:
        """Start the listeners and the background tasks."""
        ip = str(self._host_settings.ip)
        await self.peers.links.start(ip, self._host_settings.link_port)
        self.members.start()
        self.ledger.start()
        self._puller.start()
        self._poller.start()
        self._host_list_poller.start()
        self._team_rate_limiter.start()
        self._gate.start()
        self._process_load.start()
        await self._web.start(ip, self._host_settings.http_port)
        logger.info('started', ip=ip, http_port=self._host_settings.http_port)

    async def _handle_metrics(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        self._collect()
        return self._metrics.response(request)

    def _collect(self) -> None:
        """Copy the counters of the components into the metrics."""
        status = self.gateway.status()
        put = self._metrics.set
        for outcome, count in status['ended'].items():
            put('wrenspoke_requests_ended_total', count, outcome=outcome)
        put('wrenspoke_requests_in_flight', status['in_flight'])
        put('wrenspoke_endpoint_sends_total', status['sent_to_endpoints'])
        put('wrenspoke_retries_spent_total', status['retries_spent'])
        put('wrenspoke_retries_denied_total', status['retries_denied'])
        put('wrenspoke_quarantine_refused_total', status['quarantine_refused'])
        put('wrenspoke_requests_in_quarantine', status['in_quarantine'])
        limits, backoffs = self._gate.limits, self._gate.backoffs
        for limit in limits.active():
            put(
                'wrenspoke_endpoint_limit_per_s',
                limit.rate_per_s,
                endpoint=limit.life.endpoint,
            )
        for endpoint, count in limits.refused.items():
            put(
                'wrenspoke_endpoint_limit_refused_total',
                count,
                endpoint=endpoint,
            )
        self._set_endpoint_gauges()
        for life, count in backoffs.refused.items():
            put(
                'wrenspoke_endpoint_backoff_refused_total',
                count,
                endpoint=life.endpoint,
            )
        put('wrenspoke_configuration_index', status['index'])
        put('wrenspoke_serving', status['serving'])
        put('wrenspoke_draining', status['draining'])
        put('wrenspoke_ledger_keys', status['ledger_keys'])
        put('wrenspoke_peers_usable', sum(status['peers'].values()))
        self._metrics.set_link_metrics(self.peers.links)
        self._metrics.set_process_load(self._budget)

    def _set_endpoint_gauges(self) -> None:
        """Set the backoff and leaving gauges, to 0 once they have ended."""
        seconds = {
            endpoint: remaining_ms / MS_PER_S
            for endpoint, remaining_ms in self._gate.backoffs.active()
        }
        leaving = set(self._gate.leaving.active())
        self._gauged_endpoints |= {*seconds, *leaving}
        for endpoint in self._gauged_endpoints:
            backoff_s = seconds.get(endpoint, 0.0)
            self._metrics.set(
                'wrenspoke_endpoint_backoff_s', backoff_s, endpoint=endpoint
            )
            self._metrics.set(
                'wrenspoke_endpoint_leaving',
                int(endpoint in leaving),
                endpoint=endpoint,
            )

    def begin_stop(self) -> shutdown.Shutdown:
        """Return a new shutdown, whose grace starts now."""
        return shutdown.Shutdown(
            self.clock,
            self._settings.leave_delay_ms
            + self._settings.stop_timeout_ms
            + shutdown.CLOSE_MARGIN_MS,
        )

    async def drain(self, stop: shutdown.Shutdown | None = None) -> bool:
        """Drain this host; return whether all requests in flight ended.

        Directories omit this host at once. It keeps serving for
        ``leave_delay_ms``, as callers may still use a cached directory;
        after that it refuses new requests without running them.
        """
        stop = stop or self.begin_stop()
        self.members.draining = True
        async with stop.step('announce'):
            await self.members.broadcast_beat()
        logger.info('draining', in_flight=self.gateway.in_flight)
        async with stop.step('leave_delay'):
            await self.clock.sleep_ms(
                self._settings.leave_delay_ms - stop.elapsed_ms
            )
        drained = False
        async with stop.step('drain'):
            drained = await self.gateway.drain(
                stop.remaining_ms(shutdown.CLOSE_MARGIN_MS)
            )
        async with stop.step('finish_sending', shutdown.CLOSE_MARGIN_MS):
            while self._web.unsent_bytes():
                await self.clock.sleep_ms(DRAIN_CHECK_MS)
        logger.info('drained', whole=drained)
        return drained

    async def close(self, stop: shutdown.Shutdown | None = None) -> None:
        """Cancel every task and close every socket."""
        stop = stop or shutdown.Shutdown(self.clock)
        await stop.close_all(
            {
                'server': self._web,
                'process_load': self._process_load,
                'team_rate_limiter': self._team_rate_limiter,
                'endpoint_gate': self._gate,
                'pinger': self._pinger,
                'host_list_poller': self._host_list_poller,
                'load_poller': self._poller,
                'configuration_puller': self._puller,
                'guard': self._guard,
                'ledger': self.ledger,
                'members': self.members,
                'streams': self._streams,
                'client': self._client,
                'links': self.peers.links,
            }
        )


async def serve(path: pathlib.Path, name: str) -> None:
    """Run one entry host until a stop signal, then drain it."""
    deployment = settings.read(path)
    folder = path.parent / deployment.keys_folder
    daemon = EntryDaemon(deployment, name, folder)
    await daemon.start()
    await runtime.wait_for_stop()
    stop = daemon.begin_stop()
    await daemon.drain(stop)
    await daemon.close(stop)


def main() -> None:
    """Run the entry host that the command line names."""
    arguments.run_daemon(__doc__, serve)


if __name__ == '__main__':
    main()
