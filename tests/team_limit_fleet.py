"""Simulated entry hosts that enforce teams' limits, in simulated time.

Calls arrive at hosts of three regions in a given pattern. Each admission is
recorded with its time, so that any window over all hosts can be checked.
"""

import asyncio
import collections
import dataclasses
import random

from tests import group
from tests import membership_fleet
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import allocator
from wrenspoke.coordination.limiting import bounds
from wrenspoke.coordination.limiting import limiter
from wrenspoke.coordination.limiting import team_buckets
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.serving import routing
from wrenspoke.state import replicated
from wrenspoke.state import teams

REGIONS = 3
CONTROLS = 3
MS_PER_S = 1_000
WINDOW_MS = 8_000
# The overshoot that the users' platform allows.
BOUNDS = bounds.OvershootBounds(WINDOW_MS, 0.1, 110_000.0)
# Tokens and relative frequency of a long prompt, a chat and a plain request.
CALL_MIX = [(9_240, 36.7), (1_116, 173.0), (200, 57.8)]


class FakeVoter:
    """Voter whose leadership is set by a test; all share the same state."""

    def __init__(self, state):
        self.has_lease = False
        self.leader = None
        self.leader_since_ms = 0
        self.state = state

    async def propose(self, entry):
        await asyncio.sleep(0.2)
        if not self.has_lease:
            raise errors.NotLeaderError(None, may_be_accepted=True)
        return self.state.apply(self.state.index + 1, entry)


class RegionalNetwork(group.Network):
    """Network with a short delay within a region, and a long one between."""

    async def transmit(self, one, other):
        if not self.is_connected(one, other):
            return False
        far = region_of(one) != region_of(other)
        await asyncio.sleep((80 if far else 1) / MS_PER_S)
        return self.is_connected(one, other)


def region_of(name):
    """Return the region that a host's name contains."""
    return int(name.split('.')[1])


@dataclasses.dataclass
class CallResult:
    """Outcome of one call."""

    at_ms: int
    host: str
    amount: int
    admitted: bool
    took_ms: int = 0


class Host:
    """Simulated entry host that admits calls."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.clock = group.LoopClock()
        self.peers = membership_fleet.CountingPeers(name, fleet.network)
        fleet.network.hosts[name] = self.peers
        self.team_buckets = team_buckets.TeamBuckets(
            lambda _team: fleet.limit,
            lambda: fleet.lead_of(self),
            BOUNDS,
            self.peers,
            self.clock,
        )
        self.limiter = limiter.Limiter(
            name,
            lambda key: fleet.order(key, name),
            self.team_buckets,
            BOUNDS,
            self.peers,
            self.clock,
        )
        self.team_buckets.start()

    async def admit(self, amount):
        team = teams.Team('t', limit=self.fleet.limit)
        try:
            await self.limiter.take(team, amount)
        except limiter.OverLimitError:
            return False
        return True

    async def close(self):
        await self.peers.close()
        await self.team_buckets.close()


class Fleet:
    """Simulated entry and control hosts, and the results of calls."""

    def __init__(self, hosts, rate_per_s, seed=1, make=Host):
        self.random = random.Random(seed)
        self.network = RegionalNetwork(seed)
        self.make = make
        self.limit = teams.TeamLimit(
            rate_per_s, rate_per_s, teams.LimitUnit.TOKENS, 200
        )
        self.names = [
            f'10.{n % REGIONS}.{n // 200}.{n % 200}:1' for n in range(hosts)
        ]
        self.hosts = {}
        self.voters = {}
        self.controls = []
        self.leader = None
        self._term = 0
        self.results = []
        self._tasks = set()

    async def start(self):
        state = replicated.ReplicatedState()
        for number in range(CONTROLS):
            name = f'10.{number}.250.1:1'
            clock = group.LoopClock()
            peers = membership_fleet.CountingPeers(name, self.network)
            self.network.hosts[name] = peers
            self.voters[name] = FakeVoter(state)
            self.controls.append(peers)
            allocator.Allocator(self.voters[name], peers, clock)
        self.lead('10.0.250.1:1')
        for name in self.names:
            self.start_host(name)
        return self

    def lead(self, name):
        """Make one control host the leader, or none."""
        for voter in self.voters.values():
            voter.has_lease = False
            voter.leader = name
        self.leader = name
        self._term += 1
        if name is not None:
            self.voters[name].has_lease = True
            self.voters[name].leader_since_ms = group.LoopClock().mono_ms()

    def lead_of(self, host):
        """Return the leader, as reported by a host's regional control host."""
        if self.leader is None:
            return None
        near = f'10.{region_of(host.name)}.250.1:1'
        return discovery_client.LeaderInfo(self.leader, self._term, near)

    def start_host(self, name):
        self.hosts[name] = self.make(self, name)

    async def restart_host(self, name):
        await self.hosts[name].close()
        self.start_host(name)

    def order(self, key, name):
        """Return the hosts of a host's region in rendezvous order of a key."""
        region = region_of(name)
        near = {one for one in self.hosts if region_of(one) == region}
        return routing.rendezvous(key, {*near, name})

    async def wait_ms(self, delay_ms):
        await asyncio.sleep(delay_ms / MS_PER_S)

    async def run_calls(self, tokens_per_s, for_ms, share_of=None):
        """Run calls that need a number of tokens per second on average.

        ``share_of`` returns the weight of a region at a time since the
        start; without it the regions are equal.
        """
        began_ms = now_ms = group.LoopClock().mono_ms()
        mean = sum(size * rate for size, rate in CALL_MIX)
        mean /= sum(rate for _size, rate in CALL_MIX)
        while now_ms - began_ms < for_ms:
            await asyncio.sleep(self.random.expovariate(tokens_per_s / mean))
            now_ms = group.LoopClock().mono_ms()
            region = self._region(now_ms - began_ms, share_of)
            [size] = self.random.choices(
                [size for size, _rate in CALL_MIX],
                [rate for _size, rate in CALL_MIX],
            )
            host = self.random.choice(
                [name for name in self.names if region_of(name) == region]
            )
            task = asyncio.ensure_future(self._ask(host, size))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _region(self, since_ms, share_of):
        if share_of is None:
            return self.random.randrange(REGIONS)
        weights = [share_of(region, since_ms) for region in range(REGIONS)]
        return self.random.choices(range(REGIONS), weights)[0]

    async def _ask(self, name, amount):
        asked_ms = group.LoopClock().mono_ms()
        admitted = await self.hosts[name].admit(amount)
        now_ms = group.LoopClock().mono_ms()
        self.results.append(
            CallResult(now_ms, name, amount, admitted, now_ms - asked_ms)
        )

    def max_window_tokens(self):
        """Return the highest number of tokens admitted in any window."""
        window = collections.deque()
        total = most = 0
        for one in sorted(self.results, key=lambda one: one.at_ms):
            if not one.admitted:
                continue
            window.append(one)
            total += one.amount
            while window[0].at_ms < one.at_ms - WINDOW_MS:
                total -= window.popleft().amount
            most = max(most, total)
        return most

    @property
    def bound(self):
        """Return how many tokens may be admitted in a window."""
        limit = self.limit
        allowed = limit.rate_per_s * WINDOW_MS / MS_PER_S + limit.burst
        return allowed + BOUNDS.max_overshoot(limit)

    def refused_share(self, since_ms=0, until_ms=10**9):
        """Return the part of the requested tokens that was refused."""
        found = [o for o in self.results if since_ms <= o.at_ms < until_ms]
        asked = sum(one.amount for one in found)
        refused = sum(one.amount for one in found if not one.admitted)
        return refused / max(asked, 1)

    def messages_per_host(self):
        """Return the mean number of messages that a host has sent."""
        sent = sum(
            counted.messages
            for host in self.hosts.values()
            for key, counted in host.peers.sent.items()
            if isinstance(key, str)
        )
        return sent / len(self.hosts)

    async def close(self):
        while self._tasks:
            await asyncio.wait(self._tasks)
        for host in self.hosts.values():
            await host.close()
        for peers in self.controls:
            await peers.close()
