"""Entry host of a deployment with host discovery.

The process that starts it provides the dialect that callers use. This module
does not import consensus code.
"""

import asyncio

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.admission import controller
from wrenspoke.coordination.balancing import distance
from wrenspoke.coordination.balancing import engine_profiles
from wrenspoke.coordination.buffering import node_buffers
from wrenspoke.coordination.limiting import ahead_shares
from wrenspoke.coordination.limiting import bounds
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.limiting import limiter
from wrenspoke.coordination.limiting import team_buckets
from wrenspoke.coordination.membership import cold_broadcaster
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import engine_loads
from wrenspoke.coordination.membership import host_pinger
from wrenspoke.coordination.membership import lease
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import region_views
from wrenspoke.coordination.membership import remote_hosts
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.membership import warm_connections
from wrenspoke.coordination.quarantine import crash_reporter
from wrenspoke.coordination.quarantine import guard
from wrenspoke.coordination.serving import access
from wrenspoke.coordination.serving import admission_gate
from wrenspoke.coordination.serving import attempts
from wrenspoke.coordination.serving import availability
from wrenspoke.coordination.serving import destinations
from wrenspoke.coordination.serving import endpoint_outcomes
from wrenspoke.coordination.serving import endpoint_selector
from wrenspoke.coordination.serving import estimate
from wrenspoke.coordination.serving import hop_times
from wrenspoke.coordination.serving import outlier_detection
from wrenspoke.coordination.serving import passthrough
from wrenspoke.coordination.serving import remote_regions
from wrenspoke.coordination.serving import sending
from wrenspoke.coordination.serving import sent_call_broadcast
from wrenspoke.coordination.serving import shared_retry_budget
from wrenspoke.coordination.serving import stage_histograms
from wrenspoke.coordination.serving import stream_builds
from wrenspoke.coordination.serving import take_up
from wrenspoke.coordination.serving import warmup_probe
from wrenspoke import feature_flags
from wrenspoke import ids
from wrenspoke import node as nodes
from wrenspoke import node_peers
from wrenspoke import process_load
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import kept_answers
from wrenspoke.protocol import limiting
from wrenspoke.protocol import messages
from wrenspoke.protocol import passthrough_api
from wrenspoke import runtime
from wrenspoke import shutdown
from wrenspoke.state import registry
from wrenspoke.transport import connector
from wrenspoke.transport import descriptors
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

# Has to be well below the window of the retry budgets, which depend on the
# host counts updated here.
HOUSEKEEPING_INTERVAL_MS = 1_000
DRAIN_CHECK_MS = 50


class EntryNode:
    """Runs an entry host: discovery, routing, forwarding of requests."""

    def __init__(
        self,
        node: nodes.NodeSettings,
        dialect: dialects.Dialect,
        reports: engine_loads.ReportReader,
    ):
        self.node = node
        self.clock = clocks.Clock()
        self._traffic = node_peers.build_traffic_counter(node, self.clock)
        self.peers = node_peers.build_peers(node, self._traffic, self.clock)
        self.group = control_group.ControlGroup(
            node.host, node.seed_hosts, self.clock
        )
        self.replica = replica.Replica()
        self.lease = lease.ConfigurationLease(
            node.withdrawn_keys_ms, self.clock
        )
        self.discovery = discovery_client.DiscoveryClient(
            self._record(),
            self.group,
            self.replica,
            self.peers,
            self.clock,
            self.lease,
        )
        self._traffic.set_location_lookup(self.discovery.host_location)
        self._budget = descriptors.DescriptorBudget(node.resources.descriptors)
        read_buffer_bytes = web.READ_BUFFER_BYTES
        # Bounds near sockets alone, as far ones need larger windows.
        self._socket_buffer_bytes = None
        if node.buffering.enabled:
            read_buffer_bytes = node_buffers.READ_BUFFER_BYTES
            self._socket_buffer_bytes = node_buffers.SOCKET_BUFFER_BYTES
        self._client = web.HttpClient(
            node.entry.connect_timeout_ms,
            node.entry.endpoint_idle_ms,
            read_buffer_bytes,
            self._socket_buffer_bytes,
            self._budget,
        )
        # A pool of its own: responses to polls carry no request id, so that
        # none may arrive in the place of a call's.
        self._reports_client = web.HttpClient(
            node.entry.connect_timeout_ms,
            node.entry.endpoint_idle_ms,
            budget=self._budget,
        )
        self._hosts_client = web.HttpClient(
            node.entry.far_connect_timeout_ms,
            node.entry.host_idle_ms,
            read_buffer_bytes,
            budget=self._budget,
        )
        self.retry_budget = shared_retry_budget.SharedRetryBudget(
            node.host,
            shared_retry_budget.RetryBounds(
                node.retries.ratio, node.retries.fixed, node.retries.window_ms
            ),
            self.clock,
        )
        self._pinger = host_pinger.HostPinger(
            node.entry,
            self.peers,
            self.clock,
            self._answer_ping,
        )
        self._views = region_views.RegionViews(self.clock)
        self._pollers = region_pollers.RegionPollers(
            node.region,
            node.host,
            self.discovery.roster,
            self.peers,
            node.data_centre if node.balancing.enabled else None,
        )
        self._remote_hosts = remote_hosts.RemoteHosts(
            node.host,
            node.region,
            self.discovery.roster,
            self._pinger,
            self._pollers,
            self._views,
            self.clock,
        )
        self._warm_connections = None
        if node.request_path.enabled:
            self._warm_connections = warm_connections.WarmConnections(
                self._hosts_client,
                self._remote_hosts,
                node.request_path.spares_limit,
                self.clock,
            )
        self._take_ups = None
        self._kept_answers = None
        if node.request_path.enabled:
            self._kept_answers = kept_answers.AnswerStore()
            self._take_ups = take_up.TakeUps(
                self._hosts_client,
                self._pinger,
                self._remote_hosts,
                self.clock,
            )
        self._hop_times = hop_times.HopTimes(
            self._pinger, self._views, self.clock
        )
        self._tasks = runtime.Tasks()
        self._access = access.AccessControl(
            self.replica, self.discovery.roster, self.lease
        )
        self._stream_build_store = stream_builds.BuildStore(
            node.host,
            self._pollers.compute_order,
            self._remote_hosts,
            self.peers,
            self.clock,
        )
        self._buffers = None
        if node.buffering.enabled:
            self._buffers = node_buffers.NodeBuffers(
                node.buffering.ceiling_bytes
                or node_buffers.ceiling_of(node.resources.memory_bytes),
                node.buffering.call_limit_bytes,
                node.buffering.caller_stall_ms,
                self.clock,
            )
        self._build_limits()
        self._build_guard()
        self._build_gauges(reports, dialect)
        self._build_serving(dialect)

    def _record(self) -> discovery_messages.HostRecord:
        node = self.node
        return discovery_messages.HostRecord(
            node.host,
            node.region,
            node.data_centre,
            node.callers_address,
            f'{node.ip}:{node.passing_port}',
            ids.new_random_id(),
            0,
            False,
        )

    def _answer_ping(self, ping: messages.Ping) -> messages.Pong:
        """Return the ping reply for hosts that may forward calls here."""
        serving = self.replica.serving and self.discovery.recently_ran
        return messages.Pong(
            self.discovery.draining,
            serving,
            self.replica.current.index,
            self._selector.build_offers() if serving else [],
            self._remote_regions.relay_offers(ping.cut_off) if serving else {},
        )

    def _on_ping_reply(self, host: ids.HostId, asked_ms: int) -> None:
        """Record that a host in another region is reachable."""
        record = self.discovery.roster.record(host)
        if record is not None:
            self._outlier_detector.record_reachable(
                record.passing_address, asked_ms
            )

    def _build_gauges(
        self, reports: engine_loads.ReportReader, dialect: dialects.Dialect
    ) -> None:
        """Build outlier detection and the tracking of engine loads."""
        node = self.node
        self._outlier_detector = outlier_detection.OutlierDetector(self.clock)
        self._pinger.set_answer_callback(self._on_ping_reply)
        self._engine_loads = engine_loads.EngineLoads(
            node.region,
            node.host,
            node.regions,
            node.entry.report_interval_ms,
            reports,
            self.discovery,
            self.replica,
            self._reports_client,
            self._pollers,
            self._remote_hosts,
            self._views,
            self._outlier_detector.record_reachable,
            self._gate,
            dialect,
            self.clock,
        )
        self._profiles = None
        if node.balancing.enabled:
            self._profiles = engine_profiles.EngineProfiles(
                self._registration_of, self.clock
            )
        self._estimator = estimate.Estimator(
            self._engine_loads, self.clock, self._profiles
        )
        self._admission = None
        if node.admission.enabled:
            self._admission = admission_gate.AdmissionGate(
                controller.AdmissionController(node.admission.max_wait_ms),
                self._engine_loads,
                admission_gate.LearnedProfiles(self._estimator),
                self.clock,
            )
        self._sent_calls = None
        if (
            feature_flags.FeatureFlag.SENT_CALL_BROADCAST
            not in node.switched_off
        ):
            self._sent_calls = sent_call_broadcast.SentCallBroadcaster(
                node.host,
                self._pollers,
                self.peers,
                self.clock,
                self._profiles,
            )
            self._sent_calls.subscribe(self._on_peer_sent_call)
        self._outcomes = None
        if node.balancing.enabled:
            self._outcomes = endpoint_outcomes.EndpointOutcomes(
                node.host,
                self._pollers,
                self.peers,
                self._is_current_instance,
                self.clock,
            )

    def _registration_of(
        self, endpoint: ids.EndpointId
    ) -> registry.Registration | None:
        entry = self.discovery.registry.entries.get(endpoint)
        return None if entry is None else entry.registration

    def _on_peer_sent_call(self, sent: discovery_messages.SentCall) -> None:
        """Record a call that another host of this region sent to an engine."""
        entry = self.discovery.registry.entries.get(sent.endpoint)
        if entry is None:
            return
        service = self.replica.current.routes.service(
            entry.registration.service
        )
        if service is None:
            return
        self._estimator.record_peer_sent(sent, service)
        if self._admission is not None:
            self._admission.record_peer_sent(sent, service)
        if self._buffers is not None:
            tokens = sent.own_tokens + sum(size for _part, size in sent.parts)
            self._buffers.holdings.record_peer_sent(
                sent.endpoint, sent.body_bytes, tokens, sent.age_ms
            )

    def _build_limits(self) -> None:
        """Build the enforcement of team limits and endpoint limits."""
        node = self.node
        overshoot = bounds.OvershootBounds(
            node.limits.window_ms, node.limits.share, node.limits.fixed
        )
        ahead = None
        if node.admission.enabled:
            ahead = ahead_shares.AheadShares(
                node.host,
                len(set(node.regions.values())),
                node.limits.max_ahead_shares,
                self._pollers.rendezvous_order,
                lambda: self.replica.current.routes.teams,
            )
        self._team_buckets = team_buckets.TeamBuckets(
            self._access.limit_of,
            lambda: self.discovery.leader,
            overshoot,
            self.peers,
            self.clock,
            ahead,
        )
        self._limiter = limiter.Limiter(
            node.host,
            self._pollers.rendezvous_order,
            self._team_buckets,
            overshoot,
            self.peers,
            self.clock,
        )
        self._gate = endpoint_gate.EndpointGate(
            node.host,
            self._pollers.rendezvous_order,
            self._is_current_instance,
            self._pollers.broadcast,
            self.peers,
            self.clock,
        )
        self._pollers.add_listener(self._gate.merge)
        self._gate.leaving.listen(
            lambda life: self.discovery.mark_leaving(
                life.endpoint, life.born_ms
            )
        )

    def _is_current_instance(self, life: limiting.EndpointInstance) -> bool:
        """Return whether this is the registered instance of an endpoint."""
        entry = self.discovery.registry.entries.get(life.endpoint)
        return entry is not None and entry.registration.born_ms == life.born_ms

    def _build_guard(self) -> None:
        """Build the quarantine of requests that crash endpoints."""
        self._guard = guard.Guard(
            self.replica,
            crash_reporter.CrashReporter(
                self.group.other_hosts, self.peers, self.clock
            ),
            self.peers,
            self._is_endpoint_leaving,
            self.clock,
        )

    def _is_endpoint_leaving(self, endpoint: ids.EndpointId) -> bool:
        """Return whether a registered endpoint accepts no more work."""
        entry = self.discovery.registry.entries.get(endpoint)
        if entry is None:
            return False
        return not entry.takes_work

    def _reset_endpoint_state(self, before: registry.Registration) -> None:
        """Discard the state of an endpoint's previous instance."""
        is_orderly = before.leaving or (
            before.state is not registry.RegistrationState.READY
        )
        if self._buffers is not None and not is_orderly:
            self._buffers.holdings.record_fallen(before.endpoint)
        others = set(self.discovery.registry.entries) - {before.endpoint}
        self._estimator.keep_only(others)
        if self._admission is not None:
            self._admission.keep_only(others)
        self._warmup_probe.keep_only(others)
        self._engine_loads.evict(before.endpoint)
        self._outlier_detector.reset_address(before.address)

    def _on_renewal(self, said: registry.Registration) -> None:
        """Broadcast renewals of cold endpoints, which hosts may miss."""
        if self.node.regions.get(said.data_centre) == self.node.region:
            self._cold_broadcaster.on_renewal(said)

    def _build_serving(self, dialect: dialects.Dialect) -> None:
        """Build request routing and the servers for callers and hosts."""
        node = self.node
        self._warmup_probe = warmup_probe.WarmupProbe(
            self._pollers,
            self.replica,
            dialect,
            self._client,
            self._gate,
            self.clock,
        )
        self._cold_broadcaster = cold_broadcaster.ColdBroadcaster(
            self._pollers, self.clock
        )
        self.discovery.add_renewal_listener(self._on_renewal)
        self._remote_regions = remote_regions.RemoteRegions(
            self._pinger,
            self._remote_hosts,
            self._views,
            self.replica,
            self.clock,
            self._sent_calls,
            self._hop_times,
            node.balancing.enabled,
        )
        self._available = availability.Availability(
            node.region,
            self._pollers,
            node.regions,
            self.discovery,
            self.replica,
            self._outlier_detector,
            self._warmup_probe,
            self._engine_loads,
            self._gate,
            node.switched_off,
            self.clock,
            self._outcomes,
        )
        self._selector = endpoint_selector.EndpointSelector(
            node.region,
            node.regions,
            self.discovery,
            self.replica,
            self._outlier_detector,
            self._estimator,
            self._remote_hosts,
            self._available,
            node.switched_off,
            self.clock,
            distance.DistanceCost(node.data_centre)
            if node.balancing.enabled
            else None,
        )
        self.stage_histograms = stage_histograms.StageHistograms(self.clock)
        if self._admission is not None:
            self._selector.weigh_place = self._admission.weigh
        if self._buffers is not None:
            self._selector.holdings = self._buffers.holdings
        builds = stream_builds.StreamBuilds(
            self._stream_build_store, self.discovery
        )
        self.passthrough = passthrough.PassThrough(
            self.replica,
            self.discovery,
            self._selector,
            destinations.DestinationSelector(
                node.host,
                node.region,
                self.replica,
                self._selector,
                self._remote_regions,
                node.switched_off,
                self.clock,
                self._admission,
            ),
            attempts.AttemptRunner(
                sending.Sender(
                    dialect,
                    self._client,
                    self._hosts_client,
                    self._access,
                    self._traffic,
                    self._guard,
                    self._gate,
                    self.clock,
                    node.request_path.enabled,
                    self._take_ups,
                ),
                self.discovery,
                self._selector,
                self._outlier_detector,
                self._pinger,
                self._estimator,
                self._remote_regions,
                builds,
                self.clock,
                self._sent_calls,
                self._outcomes,
                self.stage_histograms,
                self._hop_times,
                None if self._buffers is None else self._buffers.holdings,
            ),
            self.retry_budget,
            self._access,
            self._limiter,
            self._guard,
            builds,
            node.switched_off,
            self.clock,
            self.stage_histograms,
            self._admission,
        )
        surface = passthrough_api.PassthroughApi(
            self.passthrough,
            dialect,
            passthrough_api.PassthroughLimits(
                node.entry.body_limit_bytes,
                node.entry.body_timeout_ms,
                node.entry.default_deadline_ms,
            ),
            self.clock,
            self._kept_answers,
            take_up.TakeUpForwarder(self._hosts_client, self._host_address),
            passthrough_api.Reply
            if self._buffers is None
            else self._buffers.callers.make_reply,
        )
        self.discovery.registry.add_restart_listener(
            self._reset_endpoint_state
        )
        user_timeout_ms = connector.USER_TIMEOUT_MS
        if self._buffers is not None:
            # Callers without progress are let go here, not by the kernel,
            # which takes one that reads slowly for one that does not.
            user_timeout_ms = 2 * node.buffering.caller_stall_ms
        self._caller_server = self._server(
            surface.handle_caller, self._socket_buffer_bytes, user_timeout_ms
        )
        self._host_server = self._server(surface.handle_host)
        self._process_load = process_load.ProcessLoad(self._budget, self.clock)
        self._fill_budget()

    def _fill_budget(self) -> None:
        """Name what connections are for."""
        budget = self._budget
        budget.set_links(lambda: self.peers.links.descriptor_count)
        for use, server in (
            ('callers', self._caller_server),
            ('passing', self._host_server),
        ):
            budget.add_accepted(use, server.count_connections)
        for use, client in (
            ('endpoints', self._client),
            ('reports', self._reports_client),
            ('hosts', self._hosts_client),
        ):
            budget.add_opened(use, client.count_connections)

    def _host_address(self, host: ids.HostId) -> str | None:
        """Return the address that a host takes forwarded calls at."""
        record = self.discovery.roster.record(host)
        return None if record is None else record.passing_address

    def _server(
        self,
        handler: web.Handler,
        socket_buffer_bytes: int | None = None,
        user_timeout_ms: int = connector.USER_TIMEOUT_MS,
    ) -> web.LowLevelServer:
        entry = self.node.entry
        return web.LowLevelServer(
            handler,
            entry.caller_idle_ms,
            entry.header_limit_bytes,
            socket_buffer_bytes,
            user_timeout_ms,
            self._budget,
        )

    async def start(self) -> None:
        """Start the servers for callers and hosts and the background tasks."""
        node = self.node
        await self.peers.links.start(node.ip, node.link_port)
        self.discovery.start()
        self._team_buckets.start()
        self._gate.start()
        self._engine_loads.start()
        if self._sent_calls is not None:
            self._sent_calls.start()
        if self._outcomes is not None:
            self._outcomes.start()
        if self._buffers is not None:
            self._buffers.start()
        self._remote_hosts.start()
        if self._warm_connections is not None:
            self._warm_connections.start()
        self._process_load.start()
        self._tasks.start(self._run_housekeeping())
        self._tasks.start(self._watch_evacuations())
        self._tasks.start(self._traffic.log_periodically('entry'))
        self._tasks.start(self.stage_histograms.log_periodically())
        if self._admission is not None:
            self._tasks.start(self._admission.log_periodically())
        await self._host_server.start(f'{node.ip}:{node.passing_port}')
        await self._caller_server.start(node.callers_address)
        logger.info('started', host=node.host, seeds=node.seeds)

    def reload(self, node: nodes.NodeSettings) -> None:
        """Apply changed settings; only the seeds can change at run time."""
        self.group.reseed(node.seed_hosts)
        logger.info('reloaded', seeds=node.seeds)

    async def _run_housekeeping(self) -> None:
        """Update host counts and evict the state of absent endpoints."""
        while True:
            hosts = self.discovery.roster.usable()
            self.retry_budget.set_hosts(record.host for record in hosts)
            region_hosts = self.discovery.roster.usable(self.node.region)
            self._estimator.backlog.host_count = max(len(region_hosts), 1)
            entries = self.discovery.registry.entries
            self._estimator.keep_only(set(entries))
            if self._admission is not None:
                self._admission.keep_only(set(entries))
            self._warmup_probe.keep_only(set(entries))
            if self._buffers is not None:
                self._buffers.holdings.keep_only(entries)
            addresses = {
                found.registration.address for found in entries.values()
            }
            addresses |= {record.passing_address for record in hosts}
            self._outlier_detector.keep_only(addresses)
            self.discovery.registry.evict_expired()
            await self.clock.sleep_ms(HOUSEKEEPING_INTERVAL_MS)

    async def _watch_evacuations(self) -> None:
        """Apply changed evacuations at once, even if no call arrives."""
        while True:
            await self.replica.changed.wait()
            self._available.update_evacuations()

    def begin_stop(self) -> shutdown.Shutdown:
        """Return a new shutdown, whose grace starts now."""
        return shutdown.Shutdown(self.clock, self.node.entry.grace_ms)

    async def drain(self, stop: shutdown.Shutdown | None = None) -> None:
        """Announce the shutdown, then wait for the requests in flight."""
        stop = stop or self.begin_stop()
        self.discovery.draining = True
        self.passthrough.leaving = True
        logger.info('draining', in_flight=self.passthrough.in_flight)
        # Not awaited: a control host that is stopping as well may not reply.
        self._tasks.start(self._announce(stop), fatal=False)
        reserve_ms = shutdown.CLOSE_MARGIN_MS
        async with stop.step('leave_delay', reserve_ms):
            await self.clock.sleep_ms(
                self.node.entry.leave_delay_ms - stop.elapsed_ms
            )
        drained = False
        async with stop.step('drain'):
            drained = await self.passthrough.drain(
                stop.remaining_ms(reserve_ms)
            )
        async with stop.step('finish_sending', reserve_ms):
            await self._finish_sending()
        logger.info('drained', whole=drained)

    async def _announce(self, stop: shutdown.Shutdown) -> None:
        """Report the status of this host to the control hosts."""
        async with stop.step('announce'):
            await self.discovery.push_status()

    async def _finish_sending(self) -> None:
        """Wait until answers that are complete have been sent."""
        while self._has_unsent():
            await self.clock.sleep_ms(DRAIN_CHECK_MS)

    def _has_unsent(self) -> bool:
        """Return whether complete answers are still held by this process."""
        if self._kept_answers is not None and self._kept_answers.has_unsent():
            return True
        servers = (self._caller_server, self._host_server)
        return any(server.unsent_bytes() for server in servers)

    async def close(self, stop: shutdown.Shutdown | None = None) -> None:
        """Cancel every task and close every socket."""
        stop = stop or shutdown.Shutdown(self.clock)
        self._traffic.log('entry')
        async with stop.step('close_servers'):
            await asyncio.gather(
                self._caller_server.close(), self._host_server.close()
            )
        await stop.close_all(
            {
                'kept_answers': self._kept_answers,
                'process_load': self._process_load,
                'tasks': self._tasks,
                'team_buckets': self._team_buckets,
                'endpoint_gate': self._gate,
                'stream_builds': self._stream_build_store,
                'guard': self._guard,
                'buffers': self._buffers,
                'sent_calls': self._sent_calls,
                'outcomes': self._outcomes,
                'engine_loads': self._engine_loads,
                'warm_connections': self._warm_connections,
                'remote_hosts': self._remote_hosts,
                'warmup_probe': self._warmup_probe,
                'cold_broadcaster': self._cold_broadcaster,
                'pinger': self._pinger,
                'discovery': self.discovery,
                'client': self._client,
                'reports_client': self._reports_client,
                'hosts_client': self._hosts_client,
                'links': self.peers.links,
            }
        )
