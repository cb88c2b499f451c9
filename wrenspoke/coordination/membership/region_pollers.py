"""Select the hosts of a region that poll engines and probe other regions.

Every host computes the same selection by rendezvous hashing over the
roster, so no coordination is needed. Results are broadcast in two hops: to
the first host of about sqrt(n) relay groups, which relays them to the rest
of its group.
"""

import collections.abc
import itertools
import math
import random
import typing

import msgspec

from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import peers as peer_calls

# Bounds the polling load of one host.
ENGINES_PER_POLLER = 16
# Polling must go on when one poller fails.
MIN_POLLERS = 2
# Hosts of another data centre that one message is relayed to.
FAR_GROUP_SIZE = 16
Listener = collections.abc.Callable[[discovery_messages.RegionGossip], None]


class RosterHost(typing.Protocol):
    """A roster entry, as far as polling needs it."""

    host: ids.HostId
    data_centre: ids.DataCentreId


class RosterView(typing.Protocol):
    """A view of the entry hosts of regions.

    ``revision`` changes with the set of hosts.
    """

    revision: collections.abc.Hashable

    def usable(self, region: ids.RegionId) -> list[RosterHost]:
        """Return the hosts of a region that accept requests."""


class RegionPollers:
    """Selects the polling hosts of a region, and broadcasts their results."""

    def __init__(
        self,
        region: ids.RegionId,
        host: ids.HostId,
        host_roster: RosterView,
        peers: peer_calls.Peers,
        data_centre: ids.DataCentreId | None = None,
    ):
        """Create it.

        With ``data_centre``, this host's, broadcasts enter each other data
        centre once, and the hosts there take turns to relay them.
        """
        self._data_centre = data_centre
        self._random = random.Random()
        self._region = region
        self._host = host
        self._roster = host_roster
        self._peers = peers
        # Rendezvous order of the region's hosts by key, valid for
        # ``_revision`` of the roster.
        self._order_cache: dict[str, list[str]] = {}
        self._revision: collections.abc.Hashable = None
        # Collecting hosts by endpoint, valid for the hosts that collect.
        self._collector_cache: dict[ids.EndpointId, str] = {}
        self._collecting: list[str] = []
        self._listeners: list[Listener] = []
        # Engines of the region, as last counted by this host.
        self.engine_count = 0
        peers.handles(discovery_messages.RegionGossip)(self._handle_broadcast)

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with every broadcast from other hosts."""
        self._listeners.append(listener)

    async def _handle_broadcast(
        self, _sender: ids.HostId, message: discovery_messages.RegionGossip
    ) -> None:
        for listener in self._listeners:
            listener(message)
        if message.pass_on:
            await self.relay(message)

    def polling_hosts(self) -> list[str]:
        """Return the polling hosts, in an order common to all hosts."""
        count = math.ceil(self.engine_count / ENGINES_PER_POLLER)
        return self.rendezvous_order(self._region)[: max(count, MIN_POLLERS)]

    @property
    def collectors_count(self) -> int:
        """Return how many hosts collect reports of calls to engines."""
        return max(math.ceil(self.engine_count / ENGINES_PER_POLLER), 1)

    def collector(self, endpoint: ids.EndpointId) -> str:
        """Return the host that collects reports of calls to an endpoint."""
        collecting = self.rendezvous_order(self._region)[
            : self.collectors_count
        ]
        if len(collecting) == 1:
            return collecting[0]
        if self._collecting != collecting:
            self._collecting = collecting
            self._collector_cache.clear()
        found = self._collector_cache.get(endpoint)
        if found is None:
            found = routing.rendezvous(endpoint, collecting)[0]
            self._collector_cache[endpoint] = found
        return found

    def is_poller(self) -> bool:
        """Return whether this host is one of the polling hosts."""
        return self._host in self.polling_hosts()

    def is_poller_of(self, endpoint: ids.EndpointId) -> bool:
        """Return whether this host does a one-off poll of an endpoint.

        One-off polls are spread over all hosts of the region.
        """
        return self._host in self.rendezvous_order(endpoint)[:MIN_POLLERS]

    def is_owner_of(self, endpoint: ids.EndpointId) -> bool:
        """Return whether this host alone runs an endpoint's tasks."""
        return self.rendezvous_order(endpoint)[0] == self._host

    def rendezvous_order(self, key: str) -> list[str]:
        """Return the region's hosts, this one included, in a key's order.

        Hosts with the same roster compute the same order. The result is
        cached until the roster changes.
        """
        if self._revision != self._roster.revision:
            self._revision = self._roster.revision
            self._order_cache.clear()
        found = self._order_cache.get(key)
        if found is None:
            found = self._order_cache[key] = self.compute_order(key)
        return found

    def compute_order(self, key: str) -> list[str]:
        """Return the same as ``rendezvous_order``, without caching it.

        For keys without bound, as those of requests.
        """
        near = {record.host for record in self._usable_hosts()}
        return routing.rendezvous(key, {*near, self._host})

    def _usable_hosts(self) -> list[RosterHost]:
        return self._roster.usable(self._region)

    async def broadcast(
        self, message: discovery_messages.RegionGossip
    ) -> None:
        """Send a message to the other hosts of the region, through relays.

        If the first host of a relay group can't be reached, the next one
        relays instead.
        """
        others = sorted(
            (record.data_centre, record.host)
            for record in self._usable_hosts()
            if record.host != self._host
        )
        for relay_group in self._relay_groups(others):
            await self._send_to_group(message, relay_group)

    def _relay_groups(
        self, others: list[tuple[ids.DataCentreId, ids.HostId]]
    ) -> list[list[ids.HostId]]:
        if self._data_centre is None:
            return relay_groups([host for _data_centre, host in others])
        groups = []
        for data_centre, found in itertools.groupby(
            others, key=lambda item: item[0]
        ):
            hosts = [host for _data_centre, host in found]
            if data_centre == self._data_centre:
                groups += relay_groups(hosts)
                continue
            first = self._random.randrange(len(hosts))
            groups += far_groups(hosts[first:] + hosts[:first])
        return groups

    async def _send_to_group(
        self,
        message: discovery_messages.RegionGossip,
        relay_group: list[ids.HostId],
    ) -> None:
        for number, host in enumerate(relay_group):
            sent = msgspec.structs.replace(
                message, pass_on=relay_group[number + 1 :]
            )
            if await self._peers.send_oneway(host, sent):
                return

    async def relay(self, message: discovery_messages.RegionGossip) -> None:
        """Send a message to the hosts in its ``pass_on``."""
        sent = msgspec.structs.replace(message, pass_on=[])
        for host in message.pass_on:
            await self._peers.send_oneway(host, sent)


def relay_groups(hosts: list[ids.HostId]) -> list[list[ids.HostId]]:
    """Split hosts into about sqrt(n) groups of about sqrt(n) hosts.

    Neighbours stay together: with hosts sorted by data centre, few groups
    span two data centres.
    """
    length = math.isqrt(len(hosts))
    if length * length < len(hosts):
        length += 1
    return [
        hosts[began : began + length]
        for began in range(0, len(hosts), max(length, 1))
    ]


def far_groups(hosts: list[ids.HostId]) -> list[list[ids.HostId]]:
    """Split the hosts of another data centre into as few groups as allowed."""
    return [
        hosts[began : began + FAR_GROUP_SIZE]
        for began in range(0, len(hosts), FAR_GROUP_SIZE)
    ]
