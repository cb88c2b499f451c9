"""Simulated fleet of entry and control hosts that runs membership only.

Messages are counted by sender, receiver and kind, so that tests can bound
how the cost of a host grows with the size of the fleet.
"""

import asyncio
import collections
import dataclasses

from tests import group
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import registrar
from wrenspoke.coordination.membership import replica
from wrenspoke.protocol import discovery_messages
from wrenspoke.state import registry

CONTROLS = 6
REGIONS = ('north', 'south', 'west')
# Renewal interval of endpoints on the platform.
RENEWAL_MS = 1_200
START_SPREAD_MS = 300
# One-way delay within a region, the shortest that occurs.
TRAVEL_MS = 2


@dataclasses.dataclass
class SentCount:
    """Number and total size of sent messages."""

    messages: int = 0
    bytes: int = 0


class CountingPeers(group.Peers):
    """Counts sent messages by receiver and kind."""

    def __init__(self, host, network):
        super().__init__(host, network)
        self.sent = collections.defaultdict(SentCount)

    def _count(self, host, body):
        kind = type(self._decoder.decode(body)).__name__
        for key in (kind, (kind, host)):
            self.sent[key].messages += 1
            self.sent[key].bytes += len(body)

    async def _deliver_call(self, host, body, answered):
        self._count(host, body)
        await super()._deliver_call(host, body, answered)

    async def handle(self, sender, body):
        answer = await super().handle(sender, body)
        self._count(sender, answer)
        return answer


class LeadingVoter:
    """Stands in for the voter of a leader."""

    has_lease = has_leader = True
    confirmed_age_ms = 0
    leader = None
    term = 1


class ControlHost:
    """A control host that runs membership only."""

    def __init__(self, name, region, seeds, network):
        clock = group.LoopClock()
        self.name = name
        self.peers = CountingPeers(name, network)
        network.hosts[name] = self.peers
        self.group = control_group.ControlGroup(name, seeds, clock)
        self.registrar = registrar.Registrar(
            region,
            LeadingVoter(),
            self.group,
            replica.Replica(),
            self.peers,
            clock,
        )
        self.registrar.start()

    async def close(self):
        await self.peers.close()
        await self.registrar.close()


class EntryHost:
    """An entry host that runs its discovery client only."""

    def __init__(self, name, number, seeds, network):
        clock = group.LoopClock()
        self.name = name
        self.peers = CountingPeers(name, network)
        network.hosts[name] = self.peers
        region = REGIONS[number % len(REGIONS)]
        record = discovery_messages.HostRecord(
            name,
            region,
            f'{region}-hall',
            f'{name}0',
            f'{name}1',
            f'start{number:016}',
            0,
            False,
        )
        self.discovery = discovery_client.DiscoveryClient(
            record,
            control_group.ControlGroup(name, seeds, clock),
            replica.Replica(),
            self.peers,
            clock,
        )
        self.discovery.start()

    @property
    def known_hosts(self):
        """Return the usable hosts in this host's roster."""
        return {record.host for record in self.discovery.roster.usable()}

    async def close(self):
        await self.peers.close()
        await self.discovery.close()


class AttendingFleet:
    """Simulates the entry hosts, control hosts and endpoints of a system."""

    def __init__(self, entries, endpoints):
        self.network = group.Network(seed=1, latency_ms=TRAVEL_MS, jitter_ms=1)
        self.control_names = [f'10.9.0.{n}:7000' for n in range(CONTROLS)]
        self.entry_names = [
            f'10.{n // 200}.1.{n % 200}:7000' for n in range(entries)
        ]
        self.endpoints = endpoints
        self.controls = {}
        self.entries = {}
        self._renewing = []

    async def start(self):
        """Start all hosts in quick succession, and let endpoints renew."""
        for name in self.control_names:
            self.start_control(name)
        for number in range(len(self.entry_names)):
            self.start_entry(number)
            await self.wait_ms(START_SPREAD_MS / len(self.entry_names))
        for number in range(self.endpoints):
            self._renewing.append(asyncio.ensure_future(self._renew(number)))

    def start_control(self, name):
        seeds = self.control_names[:3]
        number = self.control_names.index(name)
        region = REGIONS[number % len(REGIONS)]
        self.controls[name] = ControlHost(name, region, seeds, self.network)

    def start_entry(self, number):
        name = self.entry_names[number]
        seeds = self.control_names[:3]
        self.entries[name] = EntryHost(name, number, seeds, self.network)

    async def _renew(self, number):
        await self.wait_ms(RENEWAL_MS * number / self.endpoints)
        control = self.control_names[number % CONTROLS]
        renewal = 0
        while True:
            renewal += 1
            if control in self.controls:
                said = registration(number, renewal)
                self.controls[control].registrar.register(said)
            await self.wait_ms(RENEWAL_MS)

    async def wait_ms(self, delay_ms):
        """Let simulated time pass."""
        await asyncio.sleep(delay_ms / group.MS_PER_S)

    def sent(self, hosts, kind, to=None):
        """Count the messages of a kind from some hosts, to one host or all."""
        key = kind if to is None else (kind, to)
        total = SentCount()
        for host in hosts.values():
            total.messages += host.peers.sent[key].messages
            total.bytes += host.peers.sent[key].bytes
        return total

    async def close(self):
        """Close all hosts."""
        for task in self._renewing:
            task.cancel()
        for host in [*self.entries.values(), *self.controls.values()]:
            await host.close()


def registration(number, renewal):
    """Return a registration of an endpoint."""
    return registry.Registration(
        f'i-{number:010}',
        'service',
        f'10.8.{number // 200}.{number % 200}:8000',
        f'{REGIONS[number % len(REGIONS)]}-hall',
        32,
        registry.RegistrationState.READY,
        renewal,
    )
