"""What a control host hears of endpoints and entry hosts, and passes on.

Any control host takes registrations and attending hosts, one without a
majority too. What it hears it exchanges with the other control hosts:
changes at once, renewals from time to time. Entry hosts attend at two
control hosts and are answered as soon as there is something new.
"""

import asyncio

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import voter
from wrenspoke.coordination.membership import controls
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.membership import roster
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

# A host is left out of the directory after two or three missed tellings.
HOST_LEASE_MS = 2_500
# Renewals ride on this; changes do not wait for it.
EXCHANGE_INTERVAL_MS = 1_000
# Some far round trips of 160 ms; one that is lost is made up by the next.
EXCHANGE_TIMEOUT_MS = 800
# Half of the time after which callers of links give up by default.
LONGEST_WAIT_MS = 2_000
# Many hosts and endpoints that come at once, as after all were killed, are
# told together: short beside the seconds in which a change is in force.
GATHER_MS = 40
# Longer than the exchange interval and a far region's round trip.
HEARD_LATELY_MS = 3_000


class Registrar:
    """Keep the registry and the roster of a control host."""

    def __init__(
        self,
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
        self._changed = asyncio.Event()
        self._tasks = runtime.Tasks()
        self._exchanging: dict[ids.HostId, asyncio.Event] = {}
        self.registry = registry.Registry(clock)
        self.roster = roster.Roster(HOST_LEASE_MS, clock)
        peers.answers(attending.Attend)(self._answer_attend)
        peers.answers(attending.Exchange)(self._answer_exchange)
        peers.answers(attending.Withdraw)(self._hear_withdrawn)

    @property
    def settled(self) -> bool:
        """Tell whether every entry host that lives has had time to attend."""
        return self._clock.mono_ms() - self._began_ms >= HOST_LEASE_MS

    def start(self) -> None:
        """Begin to exchange with the other control hosts."""
        self._tasks.start(self._watch())

    async def close(self) -> None:
        """End every task."""
        await self._tasks.close()

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

    def withdraw(self, endpoint: ids.EndpointId) -> None:
        """Take note that an endpoint leaves."""
        self.register(self.registry.withdraw(endpoint))

    async def _hear_withdrawn(
        self, _sender: ids.HostId, message: attending.Withdraw
    ) -> None:
        self.withdraw(message.endpoint)

    # Entry hosts.

    async def _answer_attend(
        self, _sender: ids.HostId, message: attending.Attend
    ) -> attending.Attended:
        if self.roster.take(message.record):
            self._announce()
        wait_ms = min(message.wait_ms, LONGEST_WAIT_MS)
        try:
            async with clocks.timeout_ms(wait_ms):
                while not self._has_news_for(message):
                    await self._next_change()
                if message.life == self._life:
                    await self._clock.sleep_ms(GATHER_MS)
        except TimeoutError:
            pass
        return self._attended(message)

    async def _next_change(self) -> None:
        waits = [
            asyncio.ensure_future(event.wait())
            for event in (self._changed, self._replica.changed)
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            await runtime.cancel(waits)

    def _has_news_for(self, message: attending.Attend) -> bool:
        if message.life != self._life:
            return True
        return (
            self.registry.revision > message.endpoints_revision
            or self.roster.revision > message.hosts_revision
            or self._replica.current.index > message.index
        )

    def _attended(self, message: attending.Attend) -> attending.Attended:
        known = message.life == self._life
        delta = self._replica.after(message.index)
        delta.confirmed = self._voter.has_lease
        delta.leader = self._voter.leader
        hosts = None
        if not known or self.roster.revision > message.hosts_revision:
            hosts = self.roster.records()
        after = message.endpoints_revision if known else 0
        return attending.Attended(
            delta,
            self._life,
            self.registry.revision,
            self.roster.revision,
            self.registry.after(after),
            hosts,
            [self._group.host, *self._group.lately(HEARD_LATELY_MS)],
        )

    def _announce(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        for event in self._exchanging.values():
            event.set()

    # Other control hosts.

    async def _watch(self) -> None:
        """Exchange with each control host that is found."""
        while True:
            for host in self._group.others():
                if host in self._exchanging:
                    continue
                self._exchanging[host] = asyncio.Event()
                self._tasks.start(self._exchange_with(host))
            lost = self.roster.expire()
            if self.registry.mark_silent() or lost:
                self._announce()
            self.registry.forget_old()
            await self._clock.sleep_ms(EXCHANGE_INTERVAL_MS)

    async def _exchange_with(self, host: ids.HostId) -> None:
        """Tell one other control host what was heard since it answered."""
        told_ms = -registry.FORGOTTEN_AFTER_MS
        more = self._exchanging[host]
        while host in self._group.others():
            more.clear()
            asked_ms = self._clock.mono_ms()
            message = attending.Exchange(*self._heard_since(told_ms))
            try:
                answer = await self._peers.call(
                    host, message, EXCHANGE_TIMEOUT_MS
                )
                if isinstance(answer, attending.Exchanged):
                    self._group.hear(host)
                    told_ms = asked_ms
            except protocol_errors.ProtocolError:
                pass
            await self._wait(more, asked_ms)
        del self._exchanging[host]

    async def _wait(self, more: asyncio.Event, asked_ms: int) -> None:
        left_ms = asked_ms + EXCHANGE_INTERVAL_MS - self._clock.mono_ms()
        try:
            async with clocks.timeout_ms(max(left_ms, 1)):
                await more.wait()
                await self._clock.sleep_ms(GATHER_MS)
        except TimeoutError:
            return

    def _heard_since(
        self, told_ms: int
    ) -> tuple[list[registry.Registration], list[attending.HostRecord]]:
        age_ms = self._clock.mono_ms() - told_ms
        endpoints = [
            said
            for found in self.registry.held.values()
            if (said := self.registry.aged(found)).age_ms <= age_ms
        ]
        hosts = [
            record
            for record in self.roster.records()
            if record.age_ms <= age_ms
        ]
        return endpoints, hosts

    async def _answer_exchange(
        self, sender: ids.HostId, message: attending.Exchange
    ) -> attending.Exchanged:
        self._group.hear(sender)
        changed = False
        for said in message.endpoints:
            changed |= self.registry.take(said)
        for record in message.hosts:
            changed |= self.roster.take(record)
        if changed:
            self._announce()
        return attending.Exchanged()
