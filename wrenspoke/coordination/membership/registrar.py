"""Endpoint registry and entry host roster of a control host.

Every control host accepts registrations and entry host sessions, also
without a majority, and replicates them to the others (see
``control_sync``). Entry hosts long-poll two control hosts, and are answered
as soon as there is a change.
"""

import asyncio

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import voter
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import control_sync
from wrenspoke.coordination.membership import leave_log
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.membership import roster
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import disk
from wrenspoke.state import locations
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

# A host is removed after two or three missed renewals.
HOST_LEASE_MS = 2_500
# Lease of a host that renews at another control host, which normally reports
# the loss of the host. If only that control host fails, the host renews at
# another one, or its renewals are relayed, before this lease expires.
RELAYED_LEASE_MS = 5_000
# Has to be a fraction of the shortest lease.
EXPIRY_INTERVAL_MS = 1_000
# Upper bound of a long poll. Has to be well below the call timeout of links.
MAX_WAIT_MS = 2_000
# Batches changes that arrive together, as after a mass restart. Short compared
# with the seconds within which a change has to be in force on all hosts.
BATCH_DELAY_MS = 40
# Limits the answers to one host while many hosts start or leave, as there is a
# new change every few ms then.
MIN_UPDATE_INTERVAL_MS = 200
# By then every endpoint has renewed its registration at a restarted host, and
# streams of endpoints that ended meanwhile broke too long ago to be resumed.
COMPLETE_AFTER_MS = 10_000
# Covers an exchange that is lost and the next one. Endpoints that leave wait
# for it, and send their request again at other control hosts.
REPLICATION_TIMEOUT_MS = 2_000
# Has to exceed the exchange interval plus an inter-region round trip.
CONTACT_WINDOW_MS = 3_000
# Interval of the check for open polls during a stop.
RELEASE_CHECK_MS = 10
# An entry host polls again within an inter-region round trip of its last
# answer; a busy one takes longer.
NEXT_POLL_MS = 500
# Disks that hold an acknowledged leave, if the tolerated losses are unknown.
DEFAULT_LEAVE_COPIES = 2


class Registrar:
    """Maintains the registry and the roster of a control host."""

    def __init__(
        self,
        region: ids.RegionId,
        local_voter: voter.Voter,
        group: control_group.ControlGroup,
        config_replica: replica.Replica,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
        first_start: bool = False,
        data_disk: disk.Disk | None = None,
        leave_copies: int = DEFAULT_LEAVE_COPIES,
    ):
        self._first_start = first_start
        self._voter = local_voter
        self._group = group
        self._replica = config_replica
        self._peers = peers
        self._clock = clock
        self._instance_id = ids.new_random_id()
        self._created_ms = clock.mono_ms()
        self._update_event = asyncio.Event()
        self._open_polls = 0
        self._leaving = False
        # Hosts that know that this one leaves.
        self._released: set[ids.HostId] = set()
        # When each entry host was last answered.
        self._answered_ms: dict[ids.HostId, int] = {}
        # Packed deltas by start index, valid up to ``_packed_index``.
        self._packed_deltas: dict[int, bytes] = {}
        self._packed_index = 0
        self._tasks = runtime.Tasks()
        self.registry = registry.Registry(clock)
        self.roster = roster.Roster(HOST_LEASE_MS, clock, RELAYED_LEASE_MS)
        self.leaves = leave_log.LeaveLog(data_disk, self.registry)
        self._leave_copies = leave_copies
        self._control_sync = control_sync.ControlSync(
            self._instance_id,
            region,
            group,
            self.registry,
            self.roster,
            self.leaves,
            peers,
            self._notify_waiters,
            clock,
        )
        peers.handles(discovery_messages.Attend)(self._handle_attend)
        peers.handles(discovery_messages.WithdrawEndpoint)(
            self._handle_withdraw
        )
        peers.handles(discovery_messages.ReportLeaving)(self._handle_leaving)

    @property
    def synced(self) -> bool:
        """Return whether every live entry host has had time to renew."""
        return self._clock.mono_ms() - self._created_ms >= HOST_LEASE_MS

    @property
    def _is_complete(self) -> bool:
        """Return whether every endpoint has had time to register here.

        After a restart the registry lacks endpoints until they renew, unless
        no endpoint can have registered before.
        """
        age_ms = self._clock.mono_ms() - self._created_ms
        return self._first_start or age_ms >= COMPLETE_AFTER_MS

    def start(self) -> None:
        """Start the exchanges with other control hosts and the expiry."""
        self._tasks.start(self._expiry_loop())
        self._tasks.start(self._watch_configuration())
        self._control_sync.start()

    async def release_polls(self) -> None:
        """Reply to all polls, so that their senders reconnect elsewhere.

        Without a reply they would wait for the timeout of their call.
        """
        self._leaving = True
        self._notify_waiters()
        while self._open_polls or self._has_hosts_between_polls():
            await self._clock.sleep_ms(RELEASE_CHECK_MS)

    def _has_hosts_between_polls(self) -> bool:
        """Return whether hosts that know of no stop are about to poll."""
        since_ms = self._clock.mono_ms() - NEXT_POLL_MS
        return any(
            answered_ms > since_ms
            for host, answered_ms in self._answered_ms.items()
            if host not in self._released
        )

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._control_sync.close()
        await self.leaves.close()
        await self._tasks.close()

    def host_location(self, host: ids.HostId) -> locations.Location | None:
        """Return the location of a host, None if unknown."""
        return self.roster.location_of(
            host
        ) or self._control_sync.host_location(host)

    # Endpoints.

    def register(self, registration: registry.Registration) -> None:
        """Merge an endpoint's registration; replicate changes at once."""
        occupant = self.registry.occupant(registration)
        if occupant is not None:
            logger.warning(
                'registration_conflict',
                endpoint=registration.endpoint,
                address=registration.address,
                occupant=occupant.registration.endpoint,
            )
            return
        if registration.state is not registry.RegistrationState.GONE:
            self.registry.displace(registration)
        if self.registry.merge_registration(registration):
            logger.info(
                'endpoint_registered',
                endpoint=registration.endpoint,
                service=registration.service,
                address=registration.address,
                build=registration.build,
                state=registration.state,
                number=registration.number,
                warmup_left_ms=registration.warmup_left_ms,
                ends_in_ms=registration.ends_in_ms,
            )
            self._notify_all()

    def withdraw(
        self, endpoint: ids.EndpointId, born_ms: int | None = None
    ) -> None:
        """Mark an endpoint as gone; ``born_ms`` selects one instance."""
        self.register(self.registry.final_registration(endpoint, born_ms))

    async def wait_replicated(self, endpoint: ids.EndpointId) -> bool:
        """Wait until enough control hosts have synced an endpoint's leave.

        What is acknowledged then outlives the tolerated losses of disks while
        all hosts lose power. Without others in contact the endpoint must be
        able to leave as well, so that this returns in any case, after
        ``REPLICATION_TIMEOUT_MS`` at the latest. Return whether enough did.
        """
        found = self.registry.entries.get(endpoint)
        if found is None or found.takes_work:
            return True
        saved = await self._control_sync.wait_saved(
            found.revision, self._leave_copies, REPLICATION_TIMEOUT_MS
        )
        if not saved:
            logger.warning(
                'leave_not_replicated',
                endpoint=endpoint,
                state=found.registration.state,
            )
        return saved

    async def _handle_withdraw(
        self, _sender: ids.HostId, message: discovery_messages.WithdrawEndpoint
    ) -> None:
        self.withdraw(message.endpoint, message.born_ms)

    async def _handle_leaving(
        self, _sender: ids.HostId, message: discovery_messages.ReportLeaving
    ) -> None:
        if self.registry.mark_leaving(message.endpoint, message.born_ms):
            logger.info('endpoint_leaving', endpoint=message.endpoint)
            self._notify_all()

    # Entry hosts.

    async def _handle_attend(
        self, sender: ids.HostId, message: discovery_messages.Attend
    ) -> discovery_messages.AttendReply:
        if self.roster.merge_record(message.record):
            self._control_sync.request_sync()
        asked_ms = self._clock.mono_ms()
        self._open_polls += 1
        try:
            await self._wait_for_update(sender, message)
        finally:
            self._open_polls -= 1
        now_ms = self._clock.mono_ms()
        self._answered_ms[sender] = now_ms
        if self._leaving:
            self._released.add(sender)
        return self._build_answer(message, now_ms - asked_ms)

    async def _wait_for_update(
        self, sender: ids.HostId, message: discovery_messages.Attend
    ) -> None:
        """Wait for an update, and batch the changes that follow it."""
        wait_ms = min(message.wait_ms, MAX_WAIT_MS)
        try:
            async with clocks.timeout_ms(wait_ms):
                while not self._has_update_for(message):
                    await self._update_event.wait()
                if message.life == self._instance_id and not self._leaving:
                    await self._clock.sleep_ms(self._batch_delay_ms(sender))
        except TimeoutError:
            pass

    def _batch_delay_ms(self, host: ids.HostId) -> int:
        """Return how long changes for a host are batched."""
        now_ms = self._clock.mono_ms()
        next_ms = self._answered_ms.get(host, 0) + MIN_UPDATE_INTERVAL_MS
        return max(next_ms - now_ms, BATCH_DELAY_MS)

    def _has_update_for(self, message: discovery_messages.Attend) -> bool:
        """Return whether a host should be answered at once.

        Roster changes don't count: a running host has the roster already,
        and a draining host rejects calls that are forwarded to it.
        """
        if message.life != self._instance_id or self._leaving:
            return True
        return (
            self.registry.revision > message.endpoints_revision
            or self._replica.current.index > message.index
        )

    def _build_answer(
        self, message: discovery_messages.Attend, held_ms: int
    ) -> discovery_messages.AttendReply:
        endpoints_revision = hosts_revision = 0
        if message.life == self._instance_id:
            endpoints_revision = message.endpoints_revision
            hosts_revision = message.hosts_revision
        hosts = None
        if self.roster.revision > hosts_revision:
            hosts = self.roster.changes_since(hosts_revision)
        return discovery_messages.AttendReply(
            self._voter.has_lease,
            self._voter.has_leader,
            self._instance_id,
            self.registry.revision,
            self.roster.revision,
            self.registry.registrations_since(endpoints_revision),
            hosts,
            [self._group.host, *self._group.seen_within(CONTACT_WINDOW_MS)],
            self._control_sync.control_hosts_in(message.record.region),
            self._packed_delta_since(message.index),
            self._replica.current.index,
            self._voter.confirmed_age_ms,
            held_ms,
            self._voter.leader,
            self._voter.term,
            self._is_complete,
            self._leaving,
        )

    def _packed_delta_since(self, index: int) -> bytes:
        """Return the changes after an index, packed once for all hosts."""
        now = self._replica.current.index
        if index >= now:
            return b''
        if self._packed_index != now:
            self._packed_index = now
            self._packed_deltas.clear()
        packed = self._packed_deltas.get(index)
        if packed is None:
            packed = discovery_messages.pack_delta(
                self._replica.delta_since(index)
            )
            self._packed_deltas[index] = packed
        return packed

    def _notify_all(self) -> None:
        """Notify entry hosts and other control hosts of a change."""
        self._notify_waiters()
        self._control_sync.request_sync()

    def _notify_waiters(self) -> None:
        self._update_event.set()
        self._update_event = asyncio.Event()

    # Expiry.

    async def _expiry_loop(self) -> None:
        """Remove hosts whose lease expired, and mark stale endpoints."""
        while True:
            if self.roster.expire():
                self._control_sync.request_sync()
            if self.registry.mark_stale():
                self._notify_all()
            self.registry.evict_expired()
            self._answered_ms = {
                host: told_ms
                for host, told_ms in self._answered_ms.items()
                if host in self.roster.hosts()
            }
            await self._clock.sleep_ms(EXPIRY_INTERVAL_MS)

    async def _watch_configuration(self) -> None:
        """Notify entry hosts when a configuration is committed."""
        while True:
            await self._replica.changed.wait()
            self._notify_waiters()
