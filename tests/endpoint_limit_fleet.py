"""Simulated hosts of a region and engines that advertise rate limits.

Simulated time. Calls arrive at random hosts, which choose engines at random;
engines advertise their limits in responses. Each request that reaches an
engine is recorded with its sender, so that any window over all hosts can be
checked.
"""

import asyncio
import collections
import dataclasses
import random

from tests import group
from tests import membership_fleet
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.limiting import endpoint_limits
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import limiting

MS_PER_S = 1_000
REGION = 'north'
# The requirements of the users' platform.
WINDOW_MS = 4_000
OVERSHOOT = 1.5
SLACK = 5
FIRST_CONTACT_MS = 6_000
NOTICE_MS = 500
# A lost host leaves the roster after its lease.
ROSTER_LEASE_MS = 3_000
# Engines that one call tries, as passthrough calls do.
MAX_TRIES = 8
CANCELLED_SHARE = 0.05
SLOW_CONNECTION_SHARE = 0.02


@dataclasses.dataclass
class Arrival:
    """A request that reached an engine.

    ``notified`` says that its host had received the limit some time before.
    """

    at_ms: int
    host: str
    notified: bool


class Engine:
    """Engine that advertises its rate limit, once it has one."""

    def __init__(self, name):
        self.life = limiting.EndpointInstance(name)
        # The advertised rates, each with the time of its start.
        self.rates = [(0, None)]
        self.arrivals = []

    def advertise_rate(self, rate_per_s):
        self.rates.append((group.LoopClock().mono_ms(), rate_per_s))

    @property
    def header_values(self):
        """Return the limit header of a response that is sent now."""
        _since_ms, rate_per_s = self.rates[-1]
        return [] if rate_per_s is None else [str(rate_per_s)]

    def allowed(self, begun_ms):
        """Return the requests allowed in a window, None if unlimited."""
        end_ms = begun_ms + WINDOW_MS
        total = SLACK
        ends = [since_ms for since_ms, _rate in self.rates[1:]] + [10**9]
        for (since_ms, rate_per_s), until_ms in zip(self.rates, ends):
            lasted_ms = min(until_ms, end_ms) - max(since_ms, begun_ms)
            if lasted_ms <= 0:
                continue
            if rate_per_s is None:
                return None
            total += OVERSHOOT * rate_per_s * lasted_ms / MS_PER_S
        return total

    def limit_ratio(self, notified_only=False):
        """Return the highest ratio of requests to allowed ones in a window.

        ``notified_only`` leaves out requests of hosts that had not received
        the limit, as the platform does.
        """
        named_ms = [at_ms for at_ms, rate in self.rates if rate is not None]
        counted = [
            one.at_ms
            for one in self.arrivals
            if one.notified or not notified_only
        ]
        worst = 0.0
        window = collections.deque()
        for at_ms in sorted(counted):
            if at_ms < named_ms[0] + FIRST_CONTACT_MS:
                continue
            window.append(at_ms)
            while window[0] < at_ms - WINDOW_MS:
                window.popleft()
            allowed = self.allowed(at_ms - WINDOW_MS)
            if allowed is not None:
                worst = max(worst, len(window) / allowed)
        return worst

    def used_share(self, since_ms, until_ms):
        """Return the part of the limit that was used."""
        _since_ms, rate_per_s = self.rates[-1]
        got = sum(since_ms <= one.at_ms < until_ms for one in self.arrivals)
        return got / (rate_per_s * (until_ms - since_ms) / MS_PER_S)


class Peers(membership_fleet.CountingPeers):
    """Peers that can also send messages without an answer."""

    async def send_oneway(self, host, message):
        body = self._encoder.encode(message)
        self._count(host, body)
        task = asyncio.ensure_future(self._deliver(host, body))
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)
        return len(body)

    async def _deliver(self, host, body):
        if not await self._network.transmit(self.host, host):
            return
        there = self._network.hosts.get(host)
        if there is not None and not there.closed:
            await there.handle_message(self.host, body)

    async def handle_message(self, sender, body):
        """Handle a message that has no answer."""
        message = self._decoder.decode(body)
        await self._handlers[type(message)](sender, message)


class LossyNetwork(group.Network):
    """Network that loses a part of all messages."""

    lost_share = 0.0

    async def transmit(self, one, other):
        arrived = await super().transmit(one, other)
        return arrived and self._random.random() >= self.lost_share


class FakeRoster:
    """Roster of the region's hosts, as one host sees them."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    @property
    def revision(self):
        return (self._fleet.revision, self._name)

    def usable(self, _region):
        return self._fleet.seen_by(self._name)


class SimulatedHost:
    """Entry host with the real limits of endpoints and a simulated network."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.clock = group.LoopClock()
        self.peers = Peers(name, fleet.network)
        fleet.network.hosts[name] = self.peers
        self.frozen = False
        # When this host first forwarded a response with a limit, by engine.
        self.first_limit_ms = {}
        self.askers = region_pollers.RegionPollers(
            REGION, name, FakeRoster(fleet, name), self.peers
        )
        self.limits = endpoint_limits.EndpointLimits(
            name,
            self.askers.rendezvous_order,
            lambda _life: True,
            self._gossip,
            self.peers,
            self.clock,
        )
        self.askers.add_listener(
            lambda message: self.limits.merge(message.limits)
        )
        self.limits.start()

    async def _gossip(self, limits):
        await self.askers.broadcast(
            discovery_messages.RegionGossip(limits=limits)
        )

    def may_choose(self, engine):
        """Return whether a call may choose an engine now."""
        return not self.limits.backoff_remaining_ms(engine.life)

    async def admit(self, engine, rank=10):
        try:
            return await self.limits.acquire(engine.life, rank)
        except errors.EndpointLimitError:
            return None

    async def close(self):
        await self.peers.close()
        await self.limits.close()


@dataclasses.dataclass
class CallResult:
    """Outcome of one call."""

    at_ms: int
    served: bool
    took_ms: int
    engine: str = ''
    rank: int = 10


class Fleet:
    """Simulated hosts and engines of a region, and the results of calls."""

    def __init__(self, hosts, engines=3, seed=1, make=SimulatedHost):
        self.random = random.Random(seed)
        self.network = LossyNetwork(seed, latency_ms=1, jitter_ms=1)
        self.make = make
        self.engines = [Engine(f'e{number}') for number in range(engines)]
        self.names = [f'10.0.{n // 200}.{n % 200}:1' for n in range(hosts)]
        self.hosts = {}
        self.revision = 0
        # Pairs of hosts that are not on each other's rosters.
        self._unseen_pairs = set()
        self.results = []
        self._tasks = set()
        for name in self.names:
            self.hosts[name] = make(self, name)

    def seen_by(self, name):
        """Return the records of the other hosts on a host's roster."""
        return [
            discovery_messages.HostRecord(
                other, REGION, f'{REGION}-hall', '', '', '', 0, False
            )
            for other in self.names
            if other != name and (name, other) not in self._unseen_pairs
        ]

    def hide_from_rosters(self, one, other):
        """Remove two hosts from each other's rosters."""
        self._unseen_pairs |= {(one, other), (other, one)}
        self.revision += 1

    def restore_rosters(self):
        """Put every host back on every roster."""
        self._unseen_pairs.clear()
        self.revision += 1

    async def wait_ms(self, delay_ms):
        await asyncio.sleep(delay_ms / MS_PER_S)

    async def restart_host(self, name):
        await self.hosts[name].close()
        self.hosts[name] = self.make(self, name)

    async def run_calls(self, calls_per_s, for_ms, rank_of=lambda: 10):
        """Send calls to hosts that are not frozen, at a mean rate."""
        end_ms = group.LoopClock().mono_ms() + for_ms
        while group.LoopClock().mono_ms() < end_ms:
            await asyncio.sleep(self.random.expovariate(calls_per_s))
            host = self.hosts[self.random.choice(self.names)]
            if host.frozen:
                continue
            self._start(self._serve(host, rank_of()))

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, host, rank):
        asked_ms = group.LoopClock().mono_ms()
        engine = await self._send(host, rank)
        now_ms = group.LoopClock().mono_ms()
        self.results.append(
            CallResult(
                asked_ms,
                engine is not None,
                now_ms - asked_ms,
                '' if engine is None else engine.life.endpoint,
                rank,
            )
        )

    async def _send(self, host, rank):
        """Send a call to an engine that may get it; return None without."""
        for _number in range(MAX_TRIES):
            open_to = [one for one in self.engines if host.may_choose(one)]
            if not open_to:
                return None
            engine = self.random.choice(open_to)
            send_permit = await host.admit(engine, rank)
            if send_permit is None:
                continue
            await self._connect()
            if not send_permit.is_valid():
                continue
            now_ms = group.LoopClock().mono_ms()
            told_ms = host.first_limit_ms.get(engine.life, now_ms)
            told = now_ms - told_ms >= NOTICE_MS
            engine.arrivals.append(Arrival(now_ms, host.name, told))
            self._start(self._answer(host, engine, send_permit))
            return engine
        return None

    async def _connect(self):
        slow = self.random.random() < SLOW_CONNECTION_SHARE
        await self.wait_ms(300 if slow else self.random.uniform(0, 3))

    async def _answer(self, host, engine, send_permit):
        """Process the head of a response, unless its caller disconnects."""
        await self.wait_ms(min(self.random.lognormvariate(5, 1), 4_000))
        texts = engine.header_values
        await self.wait_ms(self.random.uniform(1, 4))
        if self.random.random() < CANCELLED_SHARE:
            return
        if texts:
            now_ms = group.LoopClock().mono_ms()
            host.first_limit_ms.setdefault(engine.life, now_ms)
        send_permit.on_response(texts, True)

    def refused_share(self, since_ms=0):
        """Return the part of the calls that no engine served."""
        found = [one for one in self.results if one.at_ms >= since_ms]
        return sum(not one.served for one in found) / max(len(found), 1)

    def messages_sent(self):
        """Return how many messages all hosts have sent."""
        return sum(
            counted.messages
            for host in self.hosts.values()
            for key, counted in host.peers.sent.items()
            if isinstance(key, str)
        )

    async def close(self):
        while self._tasks:
            await asyncio.wait(self._tasks)
        for host in self.hosts.values():
            await host.close()


def open_gate(clock):
    """Return a gate to endpoints that advertise nothing."""
    peers = group.Peers('h', group.Network(1))
    return endpoint_gate.EndpointGate(
        'h', lambda _key: ['h'], lambda _life: True, None, peers, clock
    )
