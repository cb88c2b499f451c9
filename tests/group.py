"""Control hosts that agree, in this process and in time of their own.

Nothing waits: time goes on to the next thing that is due. Hosts talk over
a network that may be cut, and write to disks that may be lost.
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
from wrenspoke.protocol import attending
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import entries
from wrenspoke.state import locations
from wrenspoke.state import routes
from wrenspoke.state import storage

MS_PER_S = 1000
# One way between regions, and how much longer a message may take.
LATENCY_MS = 80
JITTER_MS = 20
POLL_INTERVAL_MS = 20
REGIONS = 3
# As often as the control hosts of the product do.
EXCHANGE_INTERVAL_MS = 1_000
# What cuts, restarts and elections can hold up a change for, by far.
WAIT_TIMEOUT_MS = 60_000


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Let the time that would be waited pass at once."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError('nothing is due any more')
        self.now_s += max(timeout, 0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run tasks in time that goes on by itself."""

    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self.errors = []
        self.set_exception_handler(
            lambda _loop, context: self.errors.append(context)
        )

    def time(self):
        return self._virtual_selector.now_s


def run(coroutine: collections.abc.Coroutine) -> None:
    """Run a coroutine to its end; a failed task of a host fails it."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(coroutine)
        assert runner.get_loop().errors == []


class LoopClock(clocks.Clock):
    """Tell the time of the running loop."""

    def mono_ms(self):
        return int(asyncio.get_running_loop().time() * MS_PER_S)


class MemoryDisk:
    """Keep files in memory, apart by whether they were synced."""

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
        """Lose what was not synced."""
        self.noted.clear()

    def wipe(self):
        """Lose everything."""
        self.synced.clear()
        self.noted.clear()


class Network:
    """Carry messages between hosts, unless they are cut off."""

    def __init__(self, seed, latency_ms=LATENCY_MS, jitter_ms=JITTER_MS):
        self._random = random.Random(seed)
        self._latency_ms = latency_ms
        self._jitter_ms = jitter_ms
        self._cut = set()
        self.hosts = {}
        self.on_message = _ignore_message

    def cut(self, one, other):
        """Cut two hosts from each other."""
        self._cut.add(frozenset((one, other)))

    def cut_off(self, name):
        """Cut one host from every other."""
        for other in self.hosts:
            if other != name:
                self.cut(name, other)

    def cut_all(self):
        """Cut every host from every other."""
        for one in self.hosts:
            for other in self.hosts:
                if one != other:
                    self.cut(one, other)

    def reconnect(self, one, other):
        """Heal the cut between two hosts."""
        self._cut.discard(frozenset((one, other)))

    @property
    def is_cut(self):
        """Tell whether any two hosts are cut from each other."""
        return bool(self._cut)

    def heal(self):
        """Heal every cut."""
        self._cut.clear()

    def is_connected(self, one, other):
        """Tell whether messages get from one host to another."""
        return frozenset((one, other)) not in self._cut

    async def transmit(self, one, other):
        """Wait until a message is there; False if it never is."""
        if not self.is_connected(one, other):
            return False
        took_ms = self._latency_ms + self._random.uniform(0, self._jitter_ms)
        await asyncio.sleep(took_ms / MS_PER_S)
        return self.is_connected(one, other)


def _ignore_message(_sender, _host, _message):
    return


class Peers:
    """Be the calls between hosts of one life of a host."""

    def __init__(self, host, network):
        self.host = host
        self._network = network
        self._answerers = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(peer_calls.Message)
        self._call_tasks = set()
        self.closed = False

    def answers(self, kind):
        def register(answerer):
            self._answerers[kind] = answerer
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
            raise protocol_errors.NoAnswerError(host, sent=True) from error

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
        """Answer a message as another host does."""
        message = self._decoder.decode(body)
        answer = await self._answerers[type(message)](sender, message)
        return self._encoder.encode(answer)

    async def close(self):
        self.closed = True
        for task in list(self._call_tasks):
            task.cancel()


class Host:
    """Hold one life of a control host.

    Hosts hear of each other as they exchange what they know of others.
    """

    def __init__(
        self, name, location, disk, seeds, network, limits, first_start
    ):
        clock = LoopClock()
        self.name = name
        self.peers = Peers(name, network)
        self.peers.answers(attending.Exchange)(self._answer_exchange)
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
        with contextlib.suppress(protocol_errors.NoAnswerError):
            message = attending.Exchange([], attending.HostChanges([], []))
            await self.peers.call(host, message, EXCHANGE_INTERVAL_MS)
            self._group.record_contact(host)

    async def _answer_exchange(self, sender, _message):
        self._group.record_contact(sender)
        return attending.Exchanged()

    async def close(self):
        await self.peers.close()
        await self._tasks.close()
        await self.voter.close()


class Group:
    """Hold the control hosts of one system, their disks and network."""

    def __init__(self, seed=0, names=('a', 'b', 'c'), **limits):
        random.seed(seed)
        self.limits = settings.ControlTimes(tolerated_losses=1, **limits)
        self.network = Network(seed)
        self.disks = {}
        self.running = {}
        self.locations = {}
        self.seeds = list(names)
        self.acknowledged = 0

    async def bootstrap(self):
        """Start the first hosts of all, and wait until one leads."""
        for name in list(self.seeds):
            self.start(name, first_start=True)
        return await self.wait_for_leader()

    def start(self, name, first_start=False):
        """Start a host on its disk, an empty one if it is new."""
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
        """Return where a host stands: in turn, where it is not said."""
        if name not in self.locations:
            region = f'region{len(self.locations) % REGIONS}'
            self.locations[name] = locations.Location(region, f'{region}-hall')
        return self.locations[name]

    async def stop_host(self, name, power=False):
        """End a host's process at once; its disk stays."""
        host = self.running.pop(name)
        del self.network.hosts[name]
        await host.close()
        if power:
            self.disks[name].lose_power()

    async def wipe_host(self, name):
        """Lose a host's disk, and start it with an empty one."""
        if name in self.running:
            await self.stop_host(name)
        self.disks[name].wipe()
        return self.start(name)

    async def delete_host(self, name):
        """Lose a host for good."""
        if name in self.running:
            await self.stop_host(name)
        del self.disks[name]

    async def restart_all(self):
        """Lose the power of all hosts, and start them again."""
        names = list(self.running)
        for name in names:
            await self.stop_host(name, power=True)
        for name in names:
            self.start(name)

    async def wait_until(self, condition, wait_ms=WAIT_TIMEOUT_MS):
        """Wait until a condition holds; return what it gives."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / MS_PER_S
        while not (found := condition()):
            assert loop.time() < end_s, 'waited in vain'
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)
        return found

    async def sleep_ms(self, delay_ms):
        """Let time go on."""
        await asyncio.sleep(delay_ms / MS_PER_S)

    def lease_holders(self):
        """Return the hosts that hold a lease."""
        return [host for host in self.running.values() if host.voter.has_lease]

    async def wait_for_leader(self, wait_ms=WAIT_TIMEOUT_MS):
        """Return the host that leads, once one does."""
        return await self.wait_until(
            lambda: next(iter(self.lease_holders()), None), wait_ms
        )

    async def commit_change(self, wait_ms=WAIT_TIMEOUT_MS):
        """Have a change acknowledged; return its version."""
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
        """Return the version that a leader holds."""
        leader = await self.wait_for_leader(wait_ms)
        return leader.voter.state.configuration.routes.version

    async def close(self):
        """End every host."""
        for name in list(self.running):
            await self.stop_host(name)
