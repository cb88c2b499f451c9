"""What a control host hears of endpoints and entry hosts, and passes on.

Any control host takes registrations and attending hosts, one without a
majority too, and exchanges what it hears with the others (see
``exchanges``). Entry hosts attend at two control hosts and are answered as
soon as there is something new.
"""

import asyncio

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import voter
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import control_sync
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.membership import roster
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import locations
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

# A host is left out of the directory after two or three missed tellings.
HOST_LEASE_MS = 2_500
# Who hears a host tells its loss. Without a word for longer, since that
# control host is lost or cut off, the host would have come to another or
# another would pass its renewals on.
RELAYED_LEASE_MS = 5_000
# Leases and silences are looked at so often, a part of the shortest.
EXPIRY_INTERVAL_MS = 1_000
# Half of the time after which callers of links give up by default.
MAX_WAIT_MS = 2_000
# Many hosts and endpoints that come at once, as after all were killed, are
# told together: short beside the seconds in which a change is in force.
BATCH_DELAY_MS = 40
# One host is told of changes no more often: while all start or leave, there
# is something new every few ms. Short beside the time a change may take.
MIN_UPDATE_INTERVAL_MS = 200
# Longer than between two exchanges and a far region's round trip.
CONTACT_WINDOW_MS = 3_000


class Registrar:
    """Keep the registry and the roster of a control host."""

    def __init__(
        self,
        region: ids.RegionId,
        local_voter: voter.Voter,
        group: control_group.ControlGroup,
        config_replica: replica.Replica,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._voter = local_voter
        self._group = group
        self._replica = config_replica
        self._peers = peers
        self._clock = clock
        self._instance_id = ids.new_unique()
        self._created_ms = clock.mono_ms()
        self._update_event = asyncio.Event()
        # When each attending host was answered last.
        self._answered_ms: dict[ids.HostId, int] = {}
        # What follows each index that was asked for, up to an index.
        self._packed_deltas: dict[int, bytes] = {}
        self._packed_index = 0
        self._tasks = runtime.Tasks()
        self.registry = registry.Registry(clock)
        self.roster = roster.Roster(HOST_LEASE_MS, clock, RELAYED_LEASE_MS)
        self._control_sync = control_sync.ControlSync(
            self._instance_id,
            region,
            group,
            self.registry,
            self.roster,
            peers,
            self._notify_waiters,
            clock,
        )
        peers.answers(attending.Attend)(self._handle_attend)
        peers.answers(attending.Withdraw)(self._handle_withdraw)
        peers.answers(attending.EndpointLeaves)(self._handle_leaving)

    @property
    def synced(self) -> bool:
        """Tell whether every entry host that lives has had time to attend."""
        return self._clock.mono_ms() - self._created_ms >= HOST_LEASE_MS

    def start(self) -> None:
        """Begin to exchange with the other control hosts."""
        self._tasks.start(self._expiry_loop())
        self._tasks.start(self._watch_configuration())
        self._control_sync.start()

    async def close(self) -> None:
        """End every task."""
        await self._control_sync.close()
        await self._tasks.close()

    def host_location(self, host: ids.HostId) -> locations.Location | None:
        """Return where an entry or control host stands, None if unknown."""
        return self.roster.location_of(
            host
        ) or self._control_sync.host_location(host)

    # Endpoints.

    def register(self, registration: registry.Registration) -> None:
        """Take an endpoint's registration; pass a change on at once."""
        occupant = self.registry.occupant(registration)
        if occupant is not None:
            logger.warning(
                'registration_contested',
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
                state=registration.state,
                number=registration.number,
                warmup_left_ms=registration.warmup_left_ms,
                ends_in_ms=registration.ends_in_ms,
            )
            self._notify_all()

    def withdraw(
        self, endpoint: ids.EndpointId, born_ms: int | None = None
    ) -> None:
        """Take note that an endpoint leaves, in one of its lives."""
        self.register(self.registry.final_registration(endpoint, born_ms))

    async def _handle_withdraw(
        self, _sender: ids.HostId, message: attending.Withdraw
    ) -> None:
        self.withdraw(message.endpoint, message.born_ms)

    async def _handle_leaving(
        self, _sender: ids.HostId, message: attending.EndpointLeaves
    ) -> None:
        if self.registry.mark_leaving(message.endpoint, message.born_ms):
            logger.info('endpoint_leaving', endpoint=message.endpoint)
            self._notify_all()

    # Entry hosts.

    async def _handle_attend(
        self, sender: ids.HostId, message: attending.Attend
    ) -> attending.Attended:
        if self.roster.merge_record(message.record):
            self._control_sync.request_sync()
        wait_ms = min(message.wait_ms, MAX_WAIT_MS)
        asked_ms = self._clock.mono_ms()
        try:
            async with clocks.timeout_ms(wait_ms):
                while not self._has_update_for(message):
                    await self._update_event.wait()
                if message.life == self._instance_id:
                    await self._clock.sleep_ms(self._batch_delay_ms(sender))
        except TimeoutError:
            pass
        now_ms = self._clock.mono_ms()
        self._answered_ms[sender] = now_ms
        return self._build_answer(message, now_ms - asked_ms)

    def _batch_delay_ms(self, host: ids.HostId) -> int:
        """Return for how long what is new for a host is gathered."""
        now_ms = self._clock.mono_ms()
        next_ms = self._answered_ms.get(host, 0) + MIN_UPDATE_INTERVAL_MS
        return max(next_ms - now_ms, BATCH_DELAY_MS)

    def _has_update_for(self, message: attending.Attend) -> bool:
        """Tell whether there is something that a host should not wait for.

        Other entry hosts are not: they are known to a host that has begun,
        and who passes calls to one that leaves is told so by that host.
        """
        if message.life != self._instance_id:
            return True
        return (
            self.registry.revision > message.endpoints_revision
            or self._replica.current.index > message.index
        )

    def _build_answer(
        self, message: attending.Attend, held_ms: int
    ) -> attending.Attended:
        endpoints_revision = hosts_revision = 0
        if message.life == self._instance_id:
            endpoints_revision = message.endpoints_revision
            hosts_revision = message.hosts_revision
        hosts = None
        if self.roster.revision > hosts_revision:
            hosts = self.roster.changes_since(hosts_revision)
        return attending.Attended(
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
            packed = attending.pack(self._replica.delta_since(index))
            self._packed_deltas[index] = packed
        return packed

    def _notify_all(self) -> None:
        """Tell attending and other control hosts of a change at once."""
        self._notify_waiters()
        self._control_sync.request_sync()

    def _notify_waiters(self) -> None:
        self._update_event.set()
        self._update_event = asyncio.Event()

    # What time takes away.

    async def _expiry_loop(self) -> None:
        """Drop who lost its lease, and mark who fell silent."""
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
        """Tell attending hosts when a configuration is decided."""
        while True:
            await self._replica.changed.wait()
            self._notify_waiters()
