"""Simulated entry hosts that track which build serves each stream.

Simulated time. Hosts of three regions start streams at engines of two builds
and tell each other, by one of several strategies, which build began a stream.
A fault breaks streams, whose clients take them up again at other hosts.
"""

import asyncio
import collections
import copy
import dataclasses
import enum
import random
import time

import msgspec

from tests import group
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.transport import links

MS_PER_S = 1_000
REGIONS = ('north', 'south', 'west')
DATA_CENTRES = 2
BUILDS = ('v1', 'v1.1')
# Resumable streams: a third of 17,000 requests a second at 710 hosts.
STREAMS_PER_HOST_S = 17_000 / 710 / 3
ENGINES_PER_HOST = 0.5
# One-way delays.
LOCAL_DELAY_MS = (1, 2)
REMOTE_DELAY_MS = (80, 82)
# Envelope of a message on a link, with the header of its frame.
FRAME_BYTES = 3 + len(
    msgspec.msgpack.encode(
        links.Envelope(
            'wrenspoke',
            '10.128.0.123:7000',
            '0123456789abcdef',
            links.ONEWAY_NUMBER,
            1_700_000_000_000,
            links.ONEWAY_TTL_MS,
            b'',
        )
    )
)
BATCH_DELAY_MS = 4
LOCAL_TIMEOUT_MS = 50
# Two ways between regions and the time-out within the other one.
REMOTE_TIMEOUT_MS = 2 * REMOTE_DELAY_MS[1] + LOCAL_TIMEOUT_MS + 10
FIRST_EVENT_MS = (20, 400)
MAX_LIFE_MS = 15_000
TAKE_UP_DELAY_MS = (50, 500)
# Clients give a silent stream up after this gap.
CLIENT_GAP_MS = 2_000
RESTART_MS = 1_000
ROSTER_EXPIRY_MS = 3_000
ROSTER_SPREAD_MS = 1_000
RETRY_MS = 100
# Until the clients of a region without hosts go to another one.
FALLBACK_MS = 3_000
MAX_TAKE_UPS = 400
FAULT_MS = 6_000

Build = str


class Registry(dict):
    """Functions or classes by the names under which they are registered."""

    def register(self, name):
        """Return a decorator that registers under a name."""

        def add(made):
            self[name] = made
            return made

        return add


class Side(enum.Enum):
    """Where a client takes up a stream, relative to its first host."""

    NEAR = 'own region'
    AWAY = 'other region'


class StreamBuild(msgspec.Struct, array_like=True, frozen=True):
    """The build that a stream was sent to."""

    request: ids.RequestId
    build: Build


class TellBuilds(msgspec.Struct, tag='tell_builds'):
    """Tells builds to a host, which passes them on.

    With ``to_keepers`` it tells the keepers of its region, otherwise the
    hosts in ``pass_on``.
    """

    builds: list[StreamBuild]
    to_keepers: bool = False
    pass_on: list[ids.HostId] = []


class CollectBuilds(msgspec.Struct, tag='collect_builds'):
    """Tells builds to the host that broadcasts them."""

    builds: list[StreamBuild]


class AskBuild(msgspec.Struct, tag='ask_build'):
    """Asks for the build of a stream."""

    request: ids.RequestId
    ask_keepers: bool = False


class AskBuildReply(msgspec.Struct, tag='ask_build_reply'):
    """The build of a stream, None if it is unknown."""

    build: Build | None


Message = TellBuilds | CollectBuilds | AskBuild | AskBuildReply
ENCODER = msgspec.msgpack.Encoder()


@dataclasses.dataclass(frozen=True)
class Roster:
    """The hosts of all regions, as one host knows them."""

    hosts: dict[ids.RegionId, tuple[ids.HostId, ...]]
    controls: dict[ids.RegionId, tuple[ids.HostId, ...]]


@dataclasses.dataclass
class Stream:
    """A stream that an engine of ``build`` serves through ``host``."""

    request: ids.RequestId
    build: Build
    host: ids.HostId
    region: ids.RegionId
    first_event_ms: float
    ends_ms: float


@dataclasses.dataclass(frozen=True)
class TakeUp:
    """A client's attempt to take up a stream; None if nobody knows it."""

    side: Side
    build: Build | None
    waited_ms: float


@dataclasses.dataclass
class Traffic:
    """Messages and bytes, and messages that others carry along."""

    messages: int = 0
    carried: int = 0
    bytes: int = 0

    def add(self, size_bytes, carried):
        """Count a message."""
        self.bytes += size_bytes
        if carried:
            self.carried += 1
        else:
            self.messages += 1


@dataclasses.dataclass
class Volume:
    """Traffic within regions and between them."""

    local: Traffic = dataclasses.field(default_factory=Traffic)
    remote: Traffic = dataclasses.field(default_factory=Traffic)


class Network:
    """Delivers messages between hosts that run and are not cut off."""

    def __init__(self, chance):
        self.random = chance
        self.loop = asyncio.get_running_loop()
        self.hosts = {}
        self.regions = {}
        self.cut = set()
        self.oneway_loss = 0.0
        self.told = Volume()
        self.asked = Volume()
        self.by_host = collections.defaultdict(Traffic)

    def now_ms(self):
        """Return the simulated time."""
        return self.loop.time() * MS_PER_S

    def after_ms(self, delay_ms, function, *arguments):
        """Call a function when a delay is over."""
        self.loop.call_later(delay_ms / MS_PER_S, function, *arguments)

    def send_oneway(self, sender, receiver, message, carried=False):
        """Send a message that may be lost.

        A carried message is part of one that is sent anyway: only the bytes
        of its builds count.
        """
        self._count(self.told, sender, receiver, message, carried)
        if self.random.random() < self.oneway_loss:
            return
        self._deliver(sender, receiver, self._receive, message)

    async def call(self, sender, receiver, message, timeout_ms):
        """Return the build in the reply, None without a reply in time."""
        future = self.loop.create_future()
        self._count(self.asked, sender, receiver, message)
        self._deliver(sender, receiver, self._serve, message, future)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await future
        except TimeoutError:
            return None

    def _receive(self, _sender, host, message):
        host.strategy.on_message(message)

    def _serve(self, sender, host, message, future):
        task = asyncio.ensure_future(host.strategy.answer(message))
        host.tasks.add(task)

        def reply(done):
            host.tasks.discard(done)
            if done.cancelled() or not self.is_up(host):
                return
            answer = AskBuildReply(done.result())
            self._count(self.asked, host.name, sender, answer)
            self._deliver(
                host.name, sender, self._complete, answer.build, future
            )

        task.add_done_callback(reply)

    def _complete(self, _sender, _host, build, future):
        if not future.done():
            future.set_result(build)

    def is_up(self, host):
        """Return whether a host's process is the one that runs."""
        return self.hosts.get(host.name) is host

    def _count(self, volume, sender, receiver, message, carried=False):
        if carried:
            size_bytes = len(ENCODER.encode(message.builds))
        else:
            size_bytes = FRAME_BYTES + len(ENCODER.encode(message))
        near = self.regions[sender] == self.regions[receiver]
        (volume.local if near else volume.remote).add(size_bytes, carried)
        self.by_host[sender].add(size_bytes, carried)
        self.by_host[receiver].add(size_bytes, carried)

    def _deliver(self, sender, receiver, function, *arguments):
        near = self.regions[sender] == self.regions[receiver]
        delay_ms = self.random.uniform(
            *(LOCAL_DELAY_MS if near else REMOTE_DELAY_MS)
        )

        def arrive():
            host = self.hosts.get(receiver)
            if host is None or {sender, receiver} & self.cut:
                return
            if host.frozen:
                host.held.append(arrive)
                return
            function(sender, host, *arguments)

        self.after_ms(delay_ms, arrive)


class Host:
    """An entry or control host with its strategy."""

    def __init__(self, network, name, region, roster, strategy):
        self.network = network
        self.name = name
        self.region = region
        self.roster = roster
        self.frozen = False
        self.held = []
        self.tasks = set()
        self.strategy = strategy(self)

    def near_hosts(self):
        """Return the hosts of the region, this one included."""
        return self.roster.hosts[self.region]

    def other_regions(self):
        """Return the other regions that have hosts."""
        return [
            region
            for region, hosts in self.roster.hosts.items()
            if region != self.region and hosts
        ]

    def gateways(self, region):
        """Return the hosts of another region in the order to be used."""
        return routing.rendezvous(self.name, self.roster.hosts[region])

    def thaw(self):
        """Handle what arrived while the host was frozen."""
        self.frozen = False
        held, self.held = self.held, []
        for arrive in held:
            arrive()


class Strategy:
    """Tells and finds the builds of streams on one host."""

    # Hosts of each other region that a take-up asks.
    remote_hosts = 1

    def __init__(self, host):
        self.host = host
        self.builds = {}
        self._batches = collections.defaultdict(list)

    def on_send(self, stream):
        """Record the build of a stream as it is sent to its engine."""
        self.builds[stream.request] = stream.build
        self._tell(StreamBuild(stream.request, stream.build))

    def on_message(self, message):
        """Handle a one-way message."""
        for one in message.builds:
            self.builds[one.request] = one.build

    async def find_build(self, request):
        """Return the build of a stream that a client takes up, or None."""
        build = self.builds.get(request)
        if build is None:
            build = await self._ask_region(request)
        if build is None:
            build = await self._ask_other_regions(request)
        return build

    async def answer(self, message):
        """Return the build that another host asks for, or None."""
        build = self.builds.get(message.request)
        if build is None and message.ask_keepers:
            build = await self._ask_region(message.request)
        return build

    def _tell(self, told):
        """Tell other hosts of a build; a strategy may tell none."""

    async def _ask_region(self, _request):
        return None

    async def _ask_other_regions(self, request):
        asked = [
            name
            for region in self.host.other_regions()
            for name in self.host.gateways(region)[: self.remote_hosts]
        ]
        message = AskBuild(request, ask_keepers=True)
        return await self._ask(asked, message, REMOTE_TIMEOUT_MS)

    async def _ask(self, names, message, timeout_ms):
        """Return the first build that a host knows, None if none does."""
        calls = [
            asyncio.ensure_future(
                self.host.network.call(
                    self.host.name, name, message, timeout_ms
                )
            )
            for name in names
            if name != self.host.name
        ]
        try:
            for call in asyncio.as_completed(calls):
                build = await call
                if build is not None:
                    return build
        finally:
            for call in calls:
                call.cancel()
        return None

    def _batch(self, receiver, told, kind):
        """Send a build with the next batch to a host."""
        if receiver == self.host.name:
            self.on_message(kind([told]))
            return
        batch = self._batches[receiver, kind]
        batch.append(told)
        if len(batch) == 1:
            self.host.network.after_ms(
                BATCH_DELAY_MS, self._flush, receiver, kind
            )

    def _flush(self, receiver, kind):
        host = self.host
        if host.frozen:
            host.held.append(lambda: self._flush(receiver, kind))
            return
        builds = self._batches.pop((receiver, kind))
        if not host.network.is_up(host):
            return
        host.network.send_oneway(
            host.name, receiver, kind(builds), kind is CollectBuilds
        )


# Strategies by name.
STRATEGIES = Registry()
strategy = STRATEGIES.register


@strategy('gossip')
class GossipStrategy(Strategy):
    """Tells all hosts of the region beside the calls sent to engines."""

    def __init__(self, host):
        super().__init__(host)
        self._collected = []
        engines = round(len(host.near_hosts()) * ENGINES_PER_HOST)
        self._collectors = max(
            -(-engines // region_pollers.ENGINES_PER_POLLER), 1
        )

    def _tell(self, told):
        hosts = routing.rendezvous(self.host.region, self.host.near_hosts())
        collecting = hosts[: self._collectors]
        self._batch(
            self.host.network.random.choice(collecting), told, CollectBuilds
        )

    def on_message(self, message):
        super().on_message(message)
        if isinstance(message, CollectBuilds):
            if not self._collected:
                interval_ms = min(25 * self._collectors, 200)
                self.host.network.after_ms(interval_ms, self._broadcast)
            self._collected.extend(message.builds)
            return
        for name in message.pass_on:
            self._send(name, TellBuilds(message.builds))

    def _broadcast(self):
        if self.host.frozen:
            self.host.held.append(self._broadcast)
            return
        if not self.host.network.is_up(self.host):
            return
        builds, self._collected = self._collected, []
        others = [
            name for name in self.host.near_hosts() if name != self.host.name
        ]
        for relays in region_pollers.relay_groups(others):
            self._send(relays[0], TellBuilds(builds, pass_on=relays[1:]))

    def _send(self, receiver, message):
        self.host.network.send_oneway(
            self.host.name, receiver, message, carried=True
        )


@strategy('keepers_local')
class LocalKeepersStrategy(Strategy):
    """Tells two hosts of the region, drawn from the request id."""

    keepers = 2
    asked_keepers = 2

    def _keepers(self, request):
        return routing.rendezvous(request, self.host.near_hosts())

    def _tell(self, told):
        self._tell_keepers(told)

    def _tell_keepers(self, told):
        for name in self._keepers(told.request)[: self.keepers]:
            self._batch(name, told, TellBuilds)

    async def _ask_region(self, request):
        return await self._ask(
            self._keepers(request)[: self.asked_keepers],
            AskBuild(request),
            LOCAL_TIMEOUT_MS,
        )


def tell_keepers_of_region(builds):
    """Return a message to a host that tells the keepers of its region."""
    return TellBuilds(builds, to_keepers=True)


@strategy('keepers')
class KeepersStrategy(LocalKeepersStrategy):
    """Tells two hosts of the region, and through one host another region."""

    # Other regions that are told.
    remote_copies = 1

    def _tell(self, told):
        super()._tell(told)
        for region in self._remote_regions(told.request):
            gateway = self.host.gateways(region)[0]
            self._batch(gateway, told, tell_keepers_of_region)

    def _remote_regions(self, request):
        regions = routing.rendezvous(request, self.host.other_regions())
        return regions[: self.remote_copies]

    def on_message(self, message):
        if not message.to_keepers:
            super().on_message(message)
            return
        for told in message.builds:
            self._tell_keepers(told)


@strategy('keepers_wide')
class WideKeepersStrategy(KeepersStrategy):
    """Tells as ``keepers`` does, and asks more hosts.

    One keeper more in each region, as a new host may precede those that were
    told, and two hosts of each other region at once.
    """

    asked_keepers = 3
    remote_hosts = 2


@strategy('keepers_spread')
class SpreadKeepersStrategy(WideKeepersStrategy):
    """Draws the second keeper from another data centre than the first."""

    def _keepers(self, request):
        found = super()._keepers(request)
        for number, name in enumerate(found):
            if data_centre(name) != data_centre(found[0]):
                return [found[0], name, *found[1:number], *found[number + 1 :]]
        return found


@strategy('keepers_all_regions')
class AllRegionsKeepersStrategy(WideKeepersStrategy):
    """Tells two hosts of each region."""

    remote_copies = 2


@strategy('keepers_weighted')
class WeightedKeepersStrategy(WideKeepersStrategy):
    """Draws the other region by chance, weighted by its hosts.

    Hosts need not agree on it, as a take-up asks all regions.
    """

    def _remote_regions(self, _request):
        regions = self.host.other_regions()
        weights = [len(self.host.roster.hosts[region]) for region in regions]
        if not regions:
            return []
        return self.host.network.random.choices(regions, weights)


@strategy('control')
class ControlStrategy(KeepersStrategy):
    """Keeps builds on the two control hosts of a region."""

    def _keepers(self, _request):
        return self.host.roster.controls[self.host.region]


@strategy('ask')
class AskStrategy(Strategy):
    """Tells nothing; a take-up asks all hosts of all regions."""

    async def _ask_other_regions(self, request):
        asked = [
            name for names in self.host.roster.hosts.values() for name in names
        ]
        return await self._ask(asked, AskBuild(request), REMOTE_TIMEOUT_MS)


def data_centre(name):
    """Return the data centre in the name of a host."""
    return name.rsplit('-', 1)[0]


class Fleet:
    """Entry and control hosts of three regions, streams and take-ups."""

    def __init__(self, sizes, made, seed):
        self.random = random.Random(seed)
        self.network = Network(self.random)
        self.made = made
        self.streams = []
        self.stream_count = 0
        self.take_ups = []
        self._pending = set()
        self.roster = Roster(
            {
                region: tuple(
                    f'{region}-{number % DATA_CENTRES}-{number}'
                    for number in range(size)
                )
                for region, size in zip(REGIONS, sizes)
            },
            {region: (f'{region}-c-0', f'{region}-c-1') for region in REGIONS},
        )
        for region, names in self.roster.hosts.items():
            for name in (*names, *self.roster.controls[region]):
                self.start_host(name, region)

    @property
    def names(self):
        """Return the names of all entry hosts of the roster."""
        return [name for names in self.roster.hosts.values() for name in names]

    def start_host(self, name, region):
        """Start a host, or start it again without its memory."""
        self.network.regions[name] = region
        self.network.hosts[name] = Host(
            self.network, name, region, self.roster, self.made
        )

    async def wait_ms(self, delay_ms):
        """Let simulated time pass."""
        await asyncio.sleep(delay_ms / MS_PER_S)

    def usable(self, names):
        """Return those of the hosts that clients can reach."""
        hosts = self.network.hosts
        return [
            name
            for name in names
            if name in hosts
            and not hosts[name].frozen
            and name not in self.network.cut
        ]

    async def run_streams(self, for_ms):
        """Start streams at random hosts for a time."""
        rate_per_ms = len(self.names) * STREAMS_PER_HOST_S / MS_PER_S
        ends_ms = self.network.now_ms() + for_ms
        while self.network.now_ms() < ends_ms:
            await self.wait_ms(self.random.expovariate(rate_per_ms))
            name = self.random.choice(self.names)
            host = self.network.hosts.get(name)
            if host is None or host.frozen:
                continue
            self._start_stream(host)

    def _start_stream(self, host):
        now_ms = self.network.now_ms()
        first_event_ms = now_ms + self.random.uniform(*FIRST_EVENT_MS)
        life_ms = min(self.random.lognormvariate(8.3, 0.7), MAX_LIFE_MS)
        stream = Stream(
            ids.RequestId(f'{self.random.getrandbits(64):016x}'),
            self.random.choice(BUILDS),
            host.name,
            host.region,
            first_event_ms,
            first_event_ms + life_ms,
        )
        self.stream_count += 1
        self.streams.append(stream)
        host.strategy.on_send(stream)

    def break_streams(self, names, share=1.0):
        """Break streams of some hosts; their clients take them up."""
        now_ms = self.network.now_ms()
        names = set(names)
        broken = [
            stream
            for stream in self.streams
            if stream.host in names
            and stream.first_event_ms <= now_ms < stream.ends_ms
            and self.random.random() < share
        ]
        if len(broken) > MAX_TAKE_UPS:
            broken = self.random.sample(broken, MAX_TAKE_UPS)
        for stream in broken:
            self._start(self._take_up(stream))

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _take_up(self, stream, at=None):
        side = self.random.choice(list(Side))
        await self.wait_ms(self.random.uniform(*TAKE_UP_DELAY_MS))
        if at is None:
            at, side = await self._reach_host(stream, side)
        began_ms = self.network.now_ms()
        host = self.network.hosts[at]
        build = await host.strategy.find_build(stream.request)
        assert build in (None, stream.build), (build, stream)
        waited_ms = self.network.now_ms() - began_ms
        self.take_ups.append(TakeUp(side, build, waited_ms))

    async def _reach_host(self, stream, side):
        """Return the name of a host that is up, after tries while none is.

        A client whose region stays down goes to another one.
        """
        fallback_ms = self.network.now_ms() + FALLBACK_MS
        while True:
            if self.network.now_ms() > fallback_ms:
                side = Side.AWAY
            names = [
                name
                for name in self.names
                if (self.network.regions[name] == stream.region)
                == (side is Side.NEAR)
            ]
            usable = self.usable(names)
            if usable:
                return self.random.choice(usable), side
            await self.wait_ms(RETRY_MS)

    def take_up_at(self, name, share):
        """Break streams of all hosts; clients take them up at one host."""
        now_ms = self.network.now_ms()
        for stream in self.streams:
            if not stream.first_event_ms <= now_ms < stream.ends_ms:
                continue
            if stream.host != name and self.random.random() < share:
                self._start(self._take_up(stream, name))

    def kill(self, names):
        """Kill hosts for good; rosters lose them some seconds later."""
        for name in names:
            self.network.hosts.pop(name).tasks.clear()
        gone = set(names)
        self._change_roster(
            {
                region: tuple(name for name in kept if name not in gone)
                for region, kept in self.roster.hosts.items()
            },
            ROSTER_EXPIRY_MS,
        )

    def add_hosts(self, share):
        """Add hosts to all regions; rosters learn of them one by one."""
        hosts = {}
        for region, names in self.roster.hosts.items():
            first = len(names)
            added = tuple(
                f'{region}-{number % DATA_CENTRES}-{number}'
                for number in range(
                    first, first + max(round(first * share), 1)
                )
            )
            hosts[region] = names + added
        old = set(self.names)
        self._change_roster(hosts, 0)
        for region, names in hosts.items():
            for name in names:
                if name not in old:
                    self.start_host(name, region)

    def _change_roster(self, hosts, delay_ms):
        self.roster = dataclasses.replace(self.roster, hosts=hosts)
        for host in list(self.network.hosts.values()):
            learnt_ms = delay_ms + self.random.uniform(0, ROSTER_SPREAD_MS)
            self.network.after_ms(
                learnt_ms, setattr, host, 'roster', self.roster
            )

    def restart(self, names):
        """Kill hosts and start them again without their memory."""
        for name in names:
            host = self.network.hosts.pop(name)
            self.network.after_ms(
                RESTART_MS, self.start_host, name, host.region
            )

    async def finish(self):
        """Wait until all take-ups have got their build, or none."""
        while self._pending:
            await asyncio.wait(set(self._pending))


# Faults while streams run, by name.
SCENARIOS = Registry()
scenario = SCENARIOS.register


def one_host(fleet):
    """Return a random entry host."""
    return fleet.random.choice(fleet.names)


@scenario('no fault')
async def no_fault(fleet):
    fleet.break_streams(fleet.names, 0.1)


@scenario('host killed')
async def host_killed(fleet):
    name = one_host(fleet)
    fleet.kill([name])
    fleet.break_streams([name])


@scenario('host frozen')
async def host_frozen(fleet):
    name = one_host(fleet)
    fleet.network.hosts[name].frozen = True
    await fleet.wait_ms(CLIENT_GAP_MS)
    fleet.break_streams([name])
    await fleet.wait_ms(CLIENT_GAP_MS)
    fleet.network.hosts[name].thaw()


@scenario('host cut off')
async def host_cut_off(fleet):
    """Cut a host off from other hosts, not from engines and clients."""
    name = one_host(fleet)
    fleet.network.cut.add(name)
    await fleet.wait_ms(CLIENT_GAP_MS)
    fleet.break_streams([name])


@scenario('at a host cut off')
async def at_host_cut_off(fleet):
    name = one_host(fleet)
    fleet.network.cut.add(name)
    fleet.take_up_at(name, 100 / len(fleet.streams))


@scenario('data centre restarted')
async def data_centre_restarted(fleet):
    hall = data_centre(one_host(fleet))
    names = [name for name in fleet.names if data_centre(name) == hall]
    fleet.restart(names)
    fleet.break_streams(names)


@scenario('region restarted')
async def region_restarted(fleet):
    region = fleet.network.regions[one_host(fleet)]
    names = fleet.roster.hosts[region]
    fleet.restart([*names, *fleet.roster.controls[region]])
    fleet.break_streams(names)


@scenario('60% killed')
async def most_killed(fleet):
    names = fleet.random.sample(fleet.names, round(len(fleet.names) * 0.6))
    fleet.kill(names)
    fleet.break_streams(names)


@scenario('10% hosts added')
async def hosts_added(fleet):
    fleet.add_hosts(0.1)
    await fleet.wait_ms(ROSTER_SPREAD_MS / 2)
    fleet.break_streams(fleet.names, 0.1)


@scenario('hosts restarted in turn')
async def hosts_restarted_in_turn(fleet):
    """Restart the hosts of a region within a few seconds, one by one."""
    region = fleet.network.regions[one_host(fleet)]
    names = fleet.roster.hosts[region]
    for name in names:
        fleet.restart([name])
        fleet.break_streams([name], MAX_TAKE_UPS / len(names) / 60)
        await fleet.wait_ms(4_000 / len(names))


@scenario('1% of messages lost')
async def some_lost(fleet):
    fleet.break_streams(fleet.names, 0.1)


@scenario('5% of messages lost')
async def more_lost(fleet):
    fleet.break_streams(fleet.names, 0.1)


ONEWAY_LOSS = {'1% of messages lost': 0.01, '5% of messages lost': 0.05}


@dataclasses.dataclass(frozen=True)
class Result:
    """What streams cost until the fault, and the take-ups after it.

    ``records`` is the number of builds on the host that keeps the most,
    ``told_cpu_ms`` the processor time until the fault.
    """

    hosts: int
    streams: int
    told: Volume
    busiest_messages: int
    busiest_bytes: int
    records: int
    told_cpu_ms: float = dataclasses.field(compare=False)
    asked: Volume
    take_ups: list[TakeUp]

    def known_share(self, side=None):
        """Return the share of take-ups whose build is known."""
        found = [
            one.build is not None
            for one in self.take_ups
            if side in (None, one.side)
        ]
        return sum(found) / len(found) if found else None

    def waits_ms(self, known):
        """Return how long take-ups waited for a build, or for none."""
        return sorted(
            one.waited_ms
            for one in self.take_ups
            if (one.build is not None) == known
        )


def simulate(made, name, sizes, seed=1, after_ms=1_000):
    """Return the result of a strategy in a scenario."""
    held = {}

    async def run():
        fleet = Fleet(sizes, made, seed)
        network = fleet.network
        network.oneway_loss = ONEWAY_LOSS.get(name, 0.0)
        began_s = time.process_time()
        streams = asyncio.ensure_future(fleet.run_streams(FAULT_MS + after_ms))
        await fleet.wait_ms(FAULT_MS)
        by_host = network.by_host.values()
        cost = {
            'hosts': len(fleet.names),
            'streams': fleet.stream_count,
            'told': copy.deepcopy(network.told),
            'busiest_messages': max(
                (one.messages for one in by_host), default=0
            ),
            'busiest_bytes': max((one.bytes for one in by_host), default=0),
            'records': max(
                len(host.strategy.builds) for host in network.hosts.values()
            ),
            'told_cpu_ms': (time.process_time() - began_s) * MS_PER_S,
        }
        await SCENARIOS[name](fleet)
        await streams
        await fleet.finish()
        held['result'] = Result(
            **cost, asked=network.asked, take_ups=fleet.take_ups
        )

    group.run(run())
    return held['result']


DAY_MS = 120_000
ENGINES_PER_REGION = 4
# Until hosts learn of a start or an end of an engine.
OWN_REGION_LAG_MS = (40, 240)
OTHER_REGION_LAG_MS = (120, 1_400)
FAULTS_PER_DAY = 6
UNKNOWN_PER_FAULT = 25
# A stream that was taken up before is older than one life.
TAKEN_UP_BEFORE = 0.2


@dataclasses.dataclass(frozen=True, eq=False)
class Engine:
    """An engine of a service, and when hosts of each region learn of it."""

    build: Build
    region: ids.RegionId
    born_ms: float
    gone_ms: float
    lag_ms: dict[ids.RegionId, float]


@dataclasses.dataclass(frozen=True)
class UnknownTakeUp:
    """A take-up at a host of ``region`` of a stream that nobody knows.

    ``up_since_ms`` is the start of that host, ``registry_since_ms`` the time
    since which the registry keeps the engines that are gone, and
    ``cut_since_ms`` the time of the last contact, None if it is in touch.
    ``cut_regions`` are those it hears nothing of.
    """

    build: Build
    at_ms: float
    region: ids.RegionId
    up_since_ms: float
    registry_since_ms: float
    cut_since_ms: float | None = None
    cut_regions: frozenset[ids.RegionId] = frozenset()


class View:
    """What the host that a client takes up a stream at knows of builds."""

    def __init__(self, day, take_up, keep_ms):
        self.random = day.random
        self.take_up = take_up
        self.now_ms = take_up.at_ms
        self.keep_ms = keep_ms
        self._engines = day.engines

    @property
    def in_contact(self):
        """Return whether the host hears of all regions."""
        return (
            self.take_up.cut_since_ms is None and not self.take_up.cut_regions
        )

    def registered(self):
        """Return the builds of the engines that are registered, by engine."""
        return [
            engine.build
            for engine in self._engines
            if self._learnt(engine, engine.born_ms)
            and not self._learnt(engine, engine.gone_ms)
        ]

    def seen_since(self, since_ms, region=None, at_ms=None):
        """Return the builds that were registered at some time since then.

        ``region`` selects the view of another region's hosts at ``at_ms``.
        """
        found = set()
        for engine in self._engines:
            if not self._learnt(engine, engine.born_ms, region, at_ms):
                continue
            gone = self._learnt(engine, engine.gone_ms, region, at_ms)
            if gone and engine.gone_ms < since_ms:
                continue
            found.add(engine.build)
        return found

    def _learnt(self, engine, event_ms, region=None, at_ms=None):
        cut = self.take_up
        at_ms = self.now_ms if at_ms is None else at_ms
        if region is None:
            region = cut.region
            if cut.cut_since_ms is not None:
                isolated = not cut.cut_regions
                if isolated or engine.region in cut.cut_regions:
                    at_ms = cut.cut_since_ms
        return event_ms + engine.lag_ms[region] <= at_ms


# Each returns the build at which a stream goes on that nobody knows, None to
# refuse it.
INFERENCES = Registry()
inference = INFERENCES.register


def only_one(builds):
    """Return the only build, None if there is none or several."""
    return next(iter(builds)) if len(builds) == 1 else None


@inference('refuse')
def refuse(_view):
    return None


@inference('anywhere')
def anywhere(view):
    found = view.registered()
    return view.random.choice(found) if found else None


@inference('registered now')
def registered_now(view):
    return only_one(set(view.registered()))


@inference('seen by the host')
def seen_by_host(view):
    """Infer from what the host saw, if it has run for long enough."""
    since_ms = view.now_ms - view.keep_ms
    if view.take_up.up_since_ms > since_ms:
        return None
    return only_one(view.seen_since(since_ms))


@inference('seen by the host, in contact')
def seen_in_contact(view):
    """Infer from what the host saw, if it hears of all regions."""
    return seen_by_host(view) if view.in_contact else None


@inference('registry')
def registry(view):
    """Infer from the registry, which keeps engines that are gone."""
    since_ms = max(view.now_ms - view.keep_ms, view.take_up.registry_since_ms)
    return only_one(view.seen_since(since_ms))


@inference('registry, checked')
def registry_checked(view):
    """Infer from the registry if it is complete and in contact."""
    since_ms = view.now_ms - view.keep_ms
    if view.take_up.registry_since_ms > since_ms or not view.in_contact:
        return None
    return only_one(view.seen_since(since_ms))


@inference('registries of all regions')
def registries_of_all_regions(view):
    """Infer from the registries of all regions, which must agree.

    The hosts of other regions that are asked for the build add theirs.
    """
    build = registry_checked(view)
    if build is None:
        return None
    found = {build}
    for region in REGIONS:
        asked_ms = view.now_ms + REMOTE_DELAY_MS[1]
        found |= view.seen_since(view.now_ms - view.keep_ms, region, asked_ms)
    return only_one(found)


class Day:
    """Engines of one service through a day, and streams nobody knows."""

    def __init__(self, kind, seed):
        self.random = random.Random(f'{kind}/{seed}')
        self.engines = []
        self.release_ms = None
        DAYS[kind](self)
        self.take_ups = []
        for number in range(FAULTS_PER_DAY):
            at_ms = self.random.uniform(10_000, DAY_MS)
            if number == 0 and self.release_ms is not None:
                at_ms = self.release_ms + self.random.uniform(0, 3_000)
            name = self.random.choice(list(FAULTS))
            region = self.random.choice(REGIONS)
            found = [
                FAULTS[name](self, at_ms, region)
                for _number in range(UNKNOWN_PER_FAULT)
            ]
            self.take_ups.append((name, found))

    def add_engine(self, build, region, born_ms, gone_ms=float('inf')):
        """Add an engine; hosts of its own region learn of it first."""
        lag_ms = {
            other: self.random.uniform(
                *(
                    OWN_REGION_LAG_MS
                    if other == region
                    else OTHER_REGION_LAG_MS
                )
            )
            for other in REGIONS
        }
        self.engines.append(Engine(build, region, born_ms, gone_ms, lag_ms))

    def add_fleet(self, build, born_ms, gone_ms, engines=ENGINES_PER_REGION):
        """Add engines of a build to each region, one after another.

        The times of a region and an engine differ by up to some seconds.
        """
        for region in REGIONS:
            region_ms = self.random.uniform(0, 2_000)
            for number in range(engines):
                spread_ms = region_ms + number * 400
                self.add_engine(
                    build,
                    region,
                    born_ms + spread_ms if born_ms else -DAY_MS,
                    gone_ms + spread_ms,
                )

    def stream_build(self, at_ms, region):
        """Return the build of a stream that a fault breaks."""
        life_ms = MAX_LIFE_MS
        if self.random.random() < TAKEN_UP_BEFORE:
            life_ms *= 2
        began_ms = at_ms - self.random.uniform(FIRST_EVENT_MS[0], life_ms)
        return self.random.choice(
            [
                engine.build
                for engine in self.engines
                if engine.region == region
                and engine.born_ms + engine.lag_ms[region] <= began_ms
                and began_ms < engine.gone_ms
            ]
        )

    def take_up(self, at_ms, stream_region, region, **state):
        """Return a take-up some hundred ms after a fault."""
        state = {
            'up_since_ms': -DAY_MS,
            'registry_since_ms': -DAY_MS,
            **state,
        }
        return UnknownTakeUp(
            self.stream_build(at_ms, stream_region),
            max(at_ms, state['up_since_ms'])
            + self.random.uniform(*TAKE_UP_DELAY_MS),
            region,
            **state,
        )


# Kinds of days by name.
DAYS = Registry()
day = DAYS.register


# Faults of a day by name.
FAULTS = Registry()
fault = FAULTS.register


@day('one build')
def one_build(day):
    day.add_fleet('v1', 0, 2 * DAY_MS)


@day('release')
def release(day):
    """Replace all engines, with an overlap of some seconds."""
    day.release_ms = day.random.uniform(20_000, 80_000)
    day.add_fleet('v1', 0, day.release_ms + 2_000)
    day.add_fleet('v1.1', day.release_ms, 2 * DAY_MS)


@day('canary')
def canary(day):
    """Serve a second build beside the first for most of a minute."""
    day.release_ms = day.random.uniform(15_000, 45_000)
    rest_ms = day.release_ms + 50_000
    day.add_fleet('v1', 0, rest_ms + 2_000)
    day.add_fleet('v1.1', day.release_ms, 2 * DAY_MS, 1)
    day.add_fleet('v1.1', rest_ms, 2 * DAY_MS, ENGINES_PER_REGION - 1)


@day('rolled back')
def rolled_back(day):
    """Serve a second build for a time, then the first one again."""
    day.release_ms = day.random.uniform(15_000, 45_000)
    back_ms = day.release_ms + 20_000
    day.add_fleet('v1', 0, day.release_ms + 2_000)
    day.add_fleet('v1.1', day.release_ms, back_ms + 2_000)
    day.add_fleet('v1', back_ms, 2 * DAY_MS)


@day('three builds')
def three_builds(day):
    """Bring two builds beside the first one."""
    day.release_ms = day.random.uniform(15_000, 45_000)
    second_ms = day.release_ms + 30_000
    day.add_fleet('v1', 0, 2 * DAY_MS, 1)
    day.add_fleet('v1', 0, day.release_ms + 2_000, 3)
    day.add_fleet('v1.1', day.release_ms, 2 * DAY_MS, 1)
    day.add_fleet('v1.1', day.release_ms, second_ms + 2_000, 2)
    day.add_fleet('v1.2', second_ms, 2 * DAY_MS, 2)


@fault('hosts killed')
def killed(day, at_ms, region):
    return day.take_up(at_ms, region, day.random.choice(REGIONS))


@fault('region restarted')
def restarted(day, at_ms, region):
    """Restart all hosts of the region; some clients go to others."""
    taken_up_at = day.random.choice([region, *REGIONS])
    up_since_ms = at_ms + RESTART_MS if taken_up_at == region else -DAY_MS
    return day.take_up(at_ms, region, taken_up_at, up_since_ms=up_since_ms)


@fault('all restarted')
def all_restarted(day, at_ms, region):
    """Restart entry and control hosts; the registry loses what is gone."""
    return day.take_up(
        at_ms,
        region,
        day.random.choice(REGIONS),
        up_since_ms=at_ms + RESTART_MS,
        registry_since_ms=at_ms + RESTART_MS,
    )


@fault('all restarted, gone engines kept')
def all_restarted_kept(day, at_ms, region):
    """Restart all hosts; the registry keeps what is gone, as on disk."""
    return day.take_up(
        at_ms,
        region,
        day.random.choice(REGIONS),
        up_since_ms=at_ms + RESTART_MS,
    )


@fault('at a host cut off')
def at_cut_off(day, at_ms, region):
    cut_ms = at_ms - day.random.uniform(500, 10_000)
    return day.take_up(
        at_ms, region, day.random.choice(REGIONS), cut_since_ms=cut_ms
    )


@fault('region cut off')
def region_cut_off(day, at_ms, region):
    """Cut a region off; clients of its streams come to the others."""
    cut_ms = at_ms - day.random.uniform(500, 10_000)
    others = [other for other in REGIONS if other != region]
    return day.take_up(
        at_ms,
        region,
        day.random.choice(others),
        cut_since_ms=cut_ms,
        cut_regions=frozenset([region]),
    )


class Outcome(enum.Enum):
    """What became of a stream that nobody knows."""

    RIGHT = 'went on at its build'
    WRONG = 'went on at another build'
    REFUSED = 'refused'


def play_day(kind, name, seed=1, keep_ms=60_000):
    """Return the outcomes of an inference on a day of a kind, by fault."""
    infer = INFERENCES[name]
    played = Day(kind, seed)
    found = []
    for fault_name, take_ups in played.take_ups:
        outcomes = collections.Counter()
        for take_up in take_ups:
            view = View(played, take_up, keep_ms)
            build = infer(view)
            if build is None or build not in view.registered():
                outcomes[Outcome.REFUSED] += 1
            elif build == take_up.build:
                outcomes[Outcome.RIGHT] += 1
            else:
                outcomes[Outcome.WRONG] += 1
        found.append((fault_name, outcomes))
    return found
