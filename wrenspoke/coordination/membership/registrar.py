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
from wrenspoke.coordination.membership import controls
from wrenspoke.coordination.membership import exchanges
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
TOLD_LEASE_MS = 5_000
# Leases and silences are looked at so often, a part of the shortest.
LOOK_INTERVAL_MS = 1_000
# Half of the time after which callers of links give up by default.
LONGEST_WAIT_MS = 2_000
# Many hosts and endpoints that come at once, as after all were killed, are
# told together: short beside the seconds in which a change is in force.
GATHER_MS = 40
# One host is told of changes no more often: while all start or leave, there
# is something new every few ms. Short beside the time a change may take.
NEWS_INTERVAL_MS = 200
# Longer than between two exchanges and a far region's round trip.
HEARD_LATELY_MS = 3_000


class Registrar:
    """Keep the registry and the roster of a control host."""

    def __init__(
        self,
        region: ids.RegionId,
        elected: voter.Voter,
        group: controls.ControlGroup,
        held: replica.Replica,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._voter = elected
        self._group = group
        self._replica = held
        self._peers = peers
        self._clock = clock
        self._life = ids.new_unique()
        self._began_ms = clock.mono_ms()
        self._news = asyncio.Event()
        # When each attending host was answered last.
        self._told_ms: dict[ids.HostId, int] = {}
        # What follows each index that was asked for, up to an index.
        self._packed: dict[int, bytes] = {}
        self._packed_at = 0
        self._tasks = runtime.Tasks()
        self.registry = registry.Registry(clock)
        self.roster = roster.Roster(HOST_LEASE_MS, clock, TOLD_LEASE_MS)
        self._exchanges = exchanges.Exchanges(
            self._life,
            region,
            group,
            self.registry,
            self.roster,
            peers,
            self._wake,
            clock,
        )
        peers.answers(attending.Attend)(self._answer_attend)
        peers.answers(attending.Withdraw)(self._hear_withdrawn)
        peers.answers(attending.EndpointLeaves)(self._hear_leaving)

    @property
    def settled(self) -> bool:
        """Tell whether every entry host that lives has had time to attend."""
        return self._clock.mono_ms() - self._began_ms >= HOST_LEASE_MS

    def start(self) -> None:
        """Begin to exchange with the other control hosts."""
        self._tasks.start(self._watch())
        self._tasks.start(self._watch_configuration())
        self._exchanges.start()

    async def close(self) -> None:
        """End every task."""
        await self._exchanges.close()
        await self._tasks.close()

    def place_of(self, host: ids.HostId) -> locations.Location | None:
        """Return where an entry or control host stands, None if unknown."""
        return self.roster.location_of(host) or self._exchanges.place_of(host)

    # Endpoints.

    def register(self, said: registry.Registration) -> None:
        """Take an endpoint's registration; pass a change on at once."""
        occupant = self.registry.occupant(said)
        if occupant is not None:
            logger.warning(
                'registration_contested',
                endpoint=said.endpoint,
                address=said.address,
                occupant=occupant.said.endpoint,
            )
            return
        if said.state is not registry.RegistrationState.GONE:
            self.registry.displace(said)
        if self.registry.take(said):
            logger.info(
                'endpoint_registered',
                endpoint=said.endpoint,
                service=said.service,
                address=said.address,
                state=said.state,
                number=said.number,
                warmup_left_ms=said.warmup_left_ms,
                ends_in_ms=said.ends_in_ms,
            )
            self._announce()

    def withdraw(
        self, endpoint: ids.EndpointId, born_ms: int | None = None
    ) -> None:
        """Take note that an endpoint leaves, in one of its lives."""
        self.register(self.registry.withdraw(endpoint, born_ms))

    async def _hear_withdrawn(
        self, _sender: ids.HostId, message: attending.Withdraw
    ) -> None:
        self.withdraw(message.endpoint, message.born_ms)

    async def _hear_leaving(
        self, _sender: ids.HostId, message: attending.EndpointLeaves
    ) -> None:
        if self.registry.mark_leaving(message.endpoint, message.born_ms):
            logger.info('endpoint_leaving', endpoint=message.endpoint)
            self._announce()

    # Entry hosts.

    async def _answer_attend(
        self, sender: ids.HostId, message: attending.Attend
    ) -> attending.Attended:
        if self.roster.take(message.record):
            self._exchanges.tell_soon()
        wait_ms = min(message.wait_ms, LONGEST_WAIT_MS)
        asked_ms = self._clock.mono_ms()
        try:
            async with clocks.timeout_ms(wait_ms):
                while not self._has_news_for(message):
                    await self._news.wait()
                if message.life == self._life:
                    await self._clock.sleep_ms(self._gather_ms(sender))
        except TimeoutError:
            pass
        now_ms = self._clock.mono_ms()
        self._told_ms[sender] = now_ms
        return self._attended(message, now_ms - asked_ms)

    def _gather_ms(self, host: ids.HostId) -> int:
        """Return for how long what is new for a host is gathered."""
        now_ms = self._clock.mono_ms()
        next_ms = self._told_ms.get(host, 0) + NEWS_INTERVAL_MS
        return max(next_ms - now_ms, GATHER_MS)

    def _has_news_for(self, message: attending.Attend) -> bool:
        """Tell whether there is something that a host should not wait for.

        Other entry hosts are not: they are known to a host that has begun,
        and who passes calls to one that leaves is told so by that host.
        """
        if message.life != self._life:
            return True
        return (
            self.registry.revision > message.endpoints_revision
            or self._replica.current.index > message.index
        )

    def _attended(
        self, message: attending.Attend, held_ms: int
    ) -> attending.Attended:
        endpoints_revision = hosts_revision = 0
        if message.life == self._life:
            endpoints_revision = message.endpoints_revision
            hosts_revision = message.hosts_revision
        hosts = None
        if self.roster.revision > hosts_revision:
            hosts = self.roster.after(hosts_revision)
        return attending.Attended(
            self._voter.has_lease,
            self._voter.has_leader,
            self._life,
            self.registry.revision,
            self.roster.revision,
            self.registry.after(endpoints_revision),
            hosts,
            [self._group.host, *self._group.lately(HEARD_LATELY_MS)],
            self._exchanges.standing_in(message.record.region),
            self._news_after(message.index),
            self._replica.current.index,
            self._voter.confirmed_age_ms,
            held_ms,
            self._voter.leader,
            self._voter.term,
        )

    def _news_after(self, index: int) -> bytes:
        """Return the changes after an index, packed once for all hosts."""
        now = self._replica.current.index
        if index >= now:
            return b''
        if self._packed_at != now:
            self._packed_at = now
            self._packed.clear()
        packed = self._packed.get(index)
        if packed is None:
            packed = attending.pack(self._replica.after(index))
            self._packed[index] = packed
        return packed

    def _announce(self) -> None:
        """Tell attending and other control hosts of a change at once."""
        self._wake()
        self._exchanges.tell_soon()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    # What time takes away.

    async def _watch(self) -> None:
        """Drop who lost its lease, and mark who fell silent."""
        while True:
            if self.roster.expire():
                self._exchanges.tell_soon()
            if self.registry.mark_silent():
                self._announce()
            self.registry.forget_old()
            self._told_ms = {
                host: told_ms
                for host, told_ms in self._told_ms.items()
                if host in self.roster.hosts()
            }
            await self._clock.sleep_ms(LOOK_INTERVAL_MS)

    async def _watch_configuration(self) -> None:
        """Tell attending hosts when a configuration is decided."""
        while True:
            await self._replica.changed.wait()
            self._wake()
