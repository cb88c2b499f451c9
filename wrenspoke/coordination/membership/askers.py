"""Which few hosts of a region ask engines and other regions for all.

Every host draws the same ones from the roster, without a word. What they
hear is told in two steps, so that none tells all others itself: to about
as many hosts as the root of their number, each of which tells its share.
"""

import collections.abc
import math
import typing

import msgspec

from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import peers as peer_calls

# An asking host spends about 2% of a core on so many, at the default
# interval and 0.5 ms a call.
ENGINES_A_HOST = 16
# Two, so that one that is lost leaves another that is asking already.
LEAST_ASKING_HOSTS = 2
Listener = collections.abc.Callable[[attending.TellRegion], None]


class KnownHost(typing.Protocol):
    """A host that can be sent messages."""

    host: ids.HostId
    data_centre: ids.DataCentreId


class KnownHosts(typing.Protocol):
    """Know the entry hosts of regions; ``revision`` differs with them."""

    revision: collections.abc.Hashable

    def usable(self, region: ids.RegionId) -> list[KnownHost]:
        """Return the hosts of a region that should be used."""


class Askers:
    """Draw the asking hosts of a region, and tell what they heard."""

    def __init__(
        self,
        region: ids.RegionId,
        host: ids.HostId,
        known: KnownHosts,
        peers: peer_calls.Peers,
    ):
        self._region = region
        self._host = host
        self._roster = known
        self._peers = peers
        # The order of the region's hosts for each key, as of a revision of
        # the roster.
        self._orders: dict[str, list[str]] = {}
        self._revision: collections.abc.Hashable = None
        self._listeners: list[Listener] = []
        # Of the region, as its hosts last counted them.
        self.engines = 0
        peers.answers(attending.TellRegion)(self._hear)

    def listen(self, listener: Listener) -> None:
        """Have everything told to ``listener`` that other hosts heard."""
        self._listeners.append(listener)

    async def _hear(
        self, _sender: ids.HostId, message: attending.TellRegion
    ) -> None:
        for listener in self._listeners:
            listener(message)
        if message.pass_on:
            await self.relay(message)

    def hosts(self) -> list[str]:
        """Return the hosts that ask, in an order that all agree on."""
        count = math.ceil(self.engines / ENGINES_A_HOST)
        return self.order(self._region)[: max(count, LEAST_ASKING_HOSTS)]

    @property
    def collectors_count(self) -> int:
        """Return how many hosts collect what all send to engines."""
        return max(math.ceil(self.engines / ENGINES_A_HOST), 1)

    def collector(self, endpoint: ids.EndpointId) -> str:
        """Return the host that collects what is sent to an endpoint."""
        collecting = self.order(self._region)[: self.collectors_count]
        if len(collecting) == 1:
            return collecting[0]
        return routing.rendezvous(endpoint, collecting)[0]

    def asks(self) -> bool:
        """Tell whether this host is one of them."""
        return self._host in self.hosts()

    def asks_of(self, endpoint: ids.EndpointId) -> bool:
        """Tell whether this host is one of those that ask an endpoint.

        Those of an endpoint that is asked once are drawn from all hosts.
        """
        return self._host in self.order(endpoint)[:LEAST_ASKING_HOSTS]

    def is_first(self, endpoint: ids.EndpointId) -> bool:
        """Tell whether this host alone does what is done for an endpoint."""
        return self.order(endpoint)[0] == self._host

    def order(self, key: str) -> list[str]:
        """Return the region's hosts, this one too, in a key's order.

        Every host of the region draws the same, if it knows the same
        others. Kept until one comes or goes.
        """
        if self._revision != self._roster.revision:
            self._revision = self._roster.revision
            self._orders.clear()
        found = self._orders.get(key)
        if found is None:
            near = {record.host for record in self._usable()}
            found = routing.rendezvous(key, {*near, self._host})
            self._orders[key] = found
        return found

    def _usable(self) -> list[KnownHost]:
        return self._roster.usable(self._region)

    async def tell(self, message: attending.TellRegion) -> None:
        """Tell the other hosts of the region, some of them by way of others.

        A host that can't be told leaves its share to the next of them.
        """
        others = sorted(
            (record.data_centre, record.host)
            for record in self._usable()
            if record.host != self._host
        )
        for share in shares([host for _data_centre, host in others]):
            await self._tell_share(message, share)

    async def _tell_share(
        self, message: attending.TellRegion, share: list[ids.HostId]
    ) -> None:
        for number, host in enumerate(share):
            sent = msgspec.structs.replace(
                message, pass_on=share[number + 1 :]
            )
            if await self._peers.tell(host, sent):
                return

    async def relay(self, message: attending.TellRegion) -> None:
        """Tell the hosts that a message names."""
        sent = msgspec.structs.replace(message, pass_on=[])
        for host in message.pass_on:
            await self._peers.tell(host, sent)


def shares(hosts: list[ids.HostId]) -> list[list[ids.HostId]]:
    """Split hosts into shares, as many as each share has hosts.

    Neighbours stay together: of hosts in the order of their data centres,
    few shares reach into two.
    """
    length = math.isqrt(len(hosts))
    if length * length < len(hosts):
        length += 1
    return [
        hosts[began : began + length]
        for began in range(0, len(hosts), max(length, 1))
    ]
