"""In-process control group in virtual time.

Sleeping advances the clock to the next scheduled event. Hosts use a simulated
network that can be partitioned, and simulated disks that can be lost.
"""

import asyncio
import collections.abc
import contextlib
import random
import selectors

import msgspec

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import bootstrap
from wrenspoke.coordination.agreement import voter
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import replica
from wrenspoke import node as settings
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import entries
from wrenspoke.state import locations
from wrenspoke.state import routes
from wrenspoke.state import storage

MS_PER_S = 1000
# One-way latency between regions, and its maximum jitter.
LATENCY_MS = 80
JITTER_MS = 20
POLL_INTERVAL_MS = 20
REGIONS = 3
# The interval of the real control hosts.
EXCHANGE_INTERVAL_MS = 1_000
# Far longer than partitions, restarts and elections delay a change.
WAIT_TIMEOUT_MS = 60_000
# Turns of the event loop at one moment. What follows from one event takes far
# fewer; a task that never waits takes any number.
TURNS_LIMIT = 2_000


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances virtual time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.turns = 0

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError('no event is scheduled; the test hangs')
        if timeout > 0:
            self.now_s += timeout
            self.turns = 0
        self.turns += 1
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, which records unhandled errors."""

    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self.errors = []
        self.set_exception_handler(
            lambda _loop, context: self.errors.append(context)
        )

    def time(self):
        return self._virtual_selector.now_s

    def _run_once(self):
        if self._virtual_selector.turns > TURNS_LIMIT:
            self._virtual_selector.turns = 0
            turning = [str(handle) for handle in self._ready]
            raise AssertionError(f'the event loop does not wait: {turning}')
        super()._run_once()


def run(coroutine: collections.abc.Coroutine) -> None:
    """Run a coroutine in virtual time; fail if any task has failed."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(coroutine)
        errors = runner.get_loop().errors
        assert not errors, errors


class LoopClock(clocks.Clock):
    """Clock of the running event loop."""

    def mono_ms(self):
        return int(asyncio.get_running_loop().time() * MS_PER_S)


class MemoryDisk:
    """In-memory disk that tracks which data is synced."""

    def __init__(self):
        self.synced = {}
        self.noted = {}

    def check(self):
        return

    def read(self, name):
        return self.noted.get(name, self.synced.get(name))

    def append(self, name, data):
        self.synced[name] = self.synced.get(name, b'') + data

    def truncate(self, name, size_bytes):
        self.synced[name] = self.synced[name][:size_bytes]

    def replace(self, name, data):
        self.synced[name] = data

    def write_unsynced(self, name, data):
        self.noted[name] = data

    def remove(self, name):
        self.synced.pop(name, None)

    def lose_power(self):
        """Discard data that was not synced."""
        self.noted.clear()

    def wipe(self):
        """Discard all data."""
        self.synced.clear()
        self.noted.clear()


class Network:
    """Simulated network with latency and partitions."""

    def __init__(self, seed, latency_ms=LATENCY_MS, jitter_ms=JITTER_MS):
        self._random = random.Random(seed)
        self._latency_ms = latency_ms
        self._jitter_ms = jitter_ms
        self._cut = set()
        self.hosts = {}
        self.on_message = _ignore_message

    def cut(self, one, other):
        """Partition two hosts from each other."""
        self._cut.add(frozenset((one, other)))

    def cut_off(self, name):
        """Partition one host from all others."""
        for other in self.hosts:
            if other != name:
                self.cut(name, other)

    def cut_all(self):
        """Partition all hosts from each other."""
        for one in self.hosts:
            for other in self.hosts:
                if one != other:
                    self.cut(one, other)

    def reconnect(self, one, other):
        """Heal the partition between two hosts."""
        self._cut.discard(frozenset((one, other)))

    @property
    def is_cut(self):
        """Whether any two hosts are partitioned from each other."""
        return bool(self._cut)

    def heal(self):
        """Heal all partitions."""
        self._cut.clear()

    def is_connected(self, one, other):
        """Return whether two hosts can exchange messages."""
        return frozenset((one, other)) not in self._cut

    async def transmit(self, one, other):
        """Wait for a message's latency; return False if it is lost."""
        if not self.is_connected(one, other):
            return False
        took_ms = self._latency_ms + self._random.uniform(0, self._jitter_ms)
        await asyncio.sleep(took_ms / MS_PER_S)
        return self.is_connected(one, other)


def _ignore_message(_sender, _host, _message):
    return


class Peers:
    """Peer calls of one process instance of a host."""

    def __init__(self, host, network):
        self.host = host
        self._network = network
        self._handlers = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(peer_calls.Message)
        self._call_tasks = set()
        self.closed = False

    def handles(self, kind):
        def register(answerer):
            self._handlers[kind] = answerer
            return answerer

        return register

    async def call(self, host, message, timeout_ms):
        self._network.on_message(self.host, host, message)
        body = self._encoder.encode(message)
        answered = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(self._deliver_call(host, body, answered))
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)
        try:
            async with clocks.timeout_ms(timeout_ms):
                return self._decoder.decode(await answered)
        except TimeoutError as error:
            raise protocol_errors.NoResponseError(host, sent=True) from error

    async def _deliver_call(self, host, body, answered):
        if not await self._network.transmit(self.host, host):
            return
        there = self._network.hosts.get(host)
        if there is None:
            return
        answer = await there.handle(self.host, body)
        if there.closed or not await self._network.transmit(host, self.host):
            return
        if not answered.done():
            answered.set_result(answer)

    async def handle(self, sender, body):
        """Decode a message and return the encoded answer."""
        message = self._decoder.decode(body)
        answer = await self._handlers[type(message)](sender, message)
        return self._encoder.encode(answer)

    async def close(self):
        self.closed = True
        for task in list(self._call_tasks):
            task.cancel()


class Host:
    """One process instance of a control host.

    Hosts discover each other by periodic exchanges.
    """

    def __init__(
        self, name, location, disk, seeds, network, limits, first_start
    ):
        clock = LoopClock()
        self.name = name
        self.peers = Peers(name, network)
        self.peers.handles(discovery_messages.Exchange)(self._answer_exchange)
        self._group = control_group.ControlGroup(name, seeds, clock)
        self._tasks = runtime.Tasks()
        store = storage.Storage(disk)
        if first_start:
            bootstrap.bootstrap_seeds(store, name, seeds)
        self.voter = voter.Voter(
            name,
            location,
            self._group,
            limits,
            store,
            self.peers,
            replica.Replica(),
            clock,
        )

    def start(self):
        self.voter.start()
        self._tasks.start(self._exchange())

    async def _exchange(self):
        while True:
            for host in self._group.other_hosts():
                self._tasks.start(self._exchange_with(host))
            await asyncio.sleep(EXCHANGE_INTERVAL_MS / MS_PER_S)

    async def _exchange_with(self, host):
        with contextlib.suppress(protocol_errors.NoResponseError):
            message = discovery_messages.Exchange(
                [], discovery_messages.HostChanges([], [])
            )
            await self.peers.call(host, message, EXCHANGE_INTERVAL_MS)
            self._group.record_contact(host)

    async def _answer_exchange(self, sender, _message):
        self._group.record_contact(sender)
        return discovery_messages.ExchangeReply()

    async def close(self):
        await self.peers.close()
        await self._tasks.close()
        await self.voter.close()


class Group:
    """The control hosts of one group, their disks and their network."""

    def __init__(
        self, seed=0, names=('a', 'b', 'c'), tolerated_losses=1, **limits
    ):
        random.seed(seed)
        self.limits = settings.NodeControlSettings(
            tolerated_losses=tolerated_losses, **limits
        )
        self.network = Network(seed)
        self.disks = {}
        self.running = {}
        self.locations = {}
        self.seeds = list(names)
        self.acknowledged = 0

    async def bootstrap(self):
        """Bootstrap the group on all seeds; return the first leader."""
        for name in list(self.seeds):
            self.start(name, first_start=True)
        return await self.wait_for_leader()

    def start(self, name, first_start=False):
        """Start a host on its disk, or on an empty one if it is new."""
        disk = self.disks.setdefault(name, MemoryDisk())
        host = Host(
            name,
            self.location(name),
            disk,
            self.seeds,
            self.network,
            self.limits,
            first_start,
        )
        self.running[name] = host
        self.network.hosts[name] = host.peers
        host.start()
        return host

    def location(self, name):
        """Return a host's location; new hosts get regions in turn."""
        if name not in self.locations:
            region = f'region{len(self.locations) % REGIONS}'
            self.locations[name] = locations.Location(region, f'{region}-hall')
        return self.locations[name]

    async def stop_host(self, name, power=False):
        """Kill a host's process; its disk stays."""
        host = self.running.pop(name)
        del self.network.hosts[name]
        await host.close()
        if power:
            self.disks[name].lose_power()

    async def wipe_host(self, name):
        """Wipe a host's disk, and start the host with an empty one."""
        if name in self.running:
            await self.stop_host(name)
        self.disks[name].wipe()
        return self.start(name)

    async def delete_host(self, name):
        """Remove a host and its disk permanently."""
        if name in self.running:
            await self.stop_host(name)
        del self.disks[name]

    async def restart_all(self):
        """Cut the power of all hosts, and start them again."""
        for name in await self.stop_all():
            self.start(name)

    async def stop_all(self):
        """Cut the power of all hosts; return their names."""
        names = list(self.running)
        for name in names:
            await self.stop_host(name, power=True)
        return names

    async def wait_until(self, condition, wait_ms=WAIT_TIMEOUT_MS):
        """Wait until a condition is true; return its value."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / MS_PER_S
        while not (found := condition()):
            assert loop.time() < end_s, 'waited in vain'
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)
        return found

    async def sleep_ms(self, delay_ms):
        """Sleep in virtual time."""
        await asyncio.sleep(delay_ms / MS_PER_S)

    def lease_holders(self):
        """Return the hosts that hold a leader lease."""
        return [host for host in self.running.values() if host.voter.has_lease]

    async def wait_for_leader(self, wait_ms=WAIT_TIMEOUT_MS):
        """Wait for a leader and return its host."""
        return await self.wait_until(
            lambda: next(iter(self.lease_holders()), None), wait_ms
        )

    async def commit_change(self, wait_ms=WAIT_TIMEOUT_MS):
        """Commit a route table, with retries; return its version."""
        version = self.acknowledged + 1
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / MS_PER_S
        while True:
            left_ms = (end_s - loop.time()) * MS_PER_S
            leader = await self.wait_for_leader(left_ms)
            table = routes.RouteTable(version=version, digest=str(version))
            try:
                async with clocks.timeout_ms(left_ms):
                    await leader.voter.propose(entries.ReplaceRoutes(table))
            except errors.NotLeaderError:
                continue
            self.acknowledged = version
            return version

    async def leader_version(self, wait_ms=WAIT_TIMEOUT_MS):
        """Return the route table version of the leader."""
        leader = await self.wait_for_leader(wait_ms)
        return leader.voter.state.configuration.routes.version

    async def close(self):
        """Stop all hosts."""
        for name in list(self.running):
            await self.stop_host(name)
