"""Simulated hosts of a region and engines that refuse requests for a time.

Simulated time. Calls arrive at random hosts and choose at random among the
engines that their host does not back off from. A refused call is retried at
another engine.
"""

import asyncio
import collections
import dataclasses

from tests import endpoint_limit_fleet
from tests import group
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_backoffs
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import limiting

MS_PER_S = 1_000
# The requirements of the users' platform.
GRACE_MS = 500
MAX_SENDS = 2
MAX_TRIES = 4


@dataclasses.dataclass
class Arrival:
    """A request at an engine, and the backoff of its response, or 0."""

    at_ms: int
    host: str
    backoff_ms: int


class Engine:
    """Engine that refuses requests for which ``refuses`` returns true."""

    def __init__(self, name):
        self.life = limiting.EndpointInstance(name)
        self.arrivals = []
        self.backoff_ms = 3_000
        self.refuses = lambda host: False

    def receive_request(self, host):
        """Handle a request; return the backoff of its refusal, or 0."""
        backoff_ms = self.backoff_ms if self.refuses(host) else 0
        now_ms = group.LoopClock().mono_ms()
        self.arrivals.append(Arrival(now_ms, host, backoff_ms))
        return backoff_ms

    def refused(self):
        """Return how many requests were refused."""
        return sum(one.backoff_ms > 0 for one in self.arrivals)

    def count(self, since_ms, until_ms):
        """Return how many requests arrived in an interval."""
        return sum(since_ms <= one.at_ms < until_ms for one in self.arrivals)

    def max_requests_in_backoff(
        self, excused=lambda host, since_ms, at_ms: False
    ):
        """Return the most requests that one host sent within a backoff."""
        by_host = collections.defaultdict(list)
        for one in self.arrivals:
            by_host[one.host].append(one)
        worst = 0
        for host, found in by_host.items():
            for number, first in enumerate(found):
                if not first.backoff_ms:
                    continue
                since_ms = first.at_ms
                sent = sum(
                    since_ms + GRACE_MS
                    < later.at_ms
                    < since_ms + first.backoff_ms
                    and not excused(host, since_ms, later.at_ms)
                    for later in found[number + 1 :]
                )
                worst = max(worst, sent)
        return worst


class BackoffHost(endpoint_limit_fleet.SimulatedHost):
    """Entry host with the real backoffs and a simulated network."""

    refusal_quorum = endpoint_backoffs.REFUSAL_QUORUM

    def __init__(self, fleet, name):
        super().__init__(fleet, name)
        self.backoffs = endpoint_backoffs.EndpointBackoffs(
            name,
            self.askers.rendezvous_order,
            lambda _life: True,
            self._gossip_backoffs,
            self.clock,
            self.refusal_quorum,
        )
        self.askers.add_listener(
            lambda message: self.backoffs.merge(message.backoffs)
        )
        self.backoffs.start()

    async def _gossip_backoffs(self, backoffs):
        await self.askers.broadcast(
            discovery_messages.RegionGossip(backoffs=backoffs)
        )

    def may_choose(self, engine):
        return not self.backoffs.remaining_ms(engine.life)

    async def close(self):
        await self.backoffs.close()
        await super().close()


class NoGossipHost(BackoffHost):
    """Host that does not gossip backoffs."""

    async def _gossip_backoffs(self, backoffs):
        pass


class SingleRefusalHost(BackoffHost):
    """Host that backs off as soon as one other host was refused."""

    refusal_quorum = 1


class Fleet(endpoint_limit_fleet.Fleet):
    """Simulated hosts and engines of a region, and the results of calls."""

    def __init__(self, hosts, engines=4, seed=1, make=BackoffHost):
        super().__init__(hosts, 0, seed, make)
        self.engines = [Engine(f'e{number}') for number in range(engines)]
        self.refusals = 0
        self.restarted_ms = {}

    async def _send(self, host, rank):
        """Send a call until an engine serves it; return None without."""
        tried = set()
        for _number in range(MAX_TRIES):
            open_to = [
                one
                for one in self.engines
                if one.life not in tried and host.may_choose(one)
            ]
            if not open_to:
                return None
            engine = self.random.choice(open_to)
            tried.add(engine.life)
            try:
                host.backoffs.acquire(engine.life)
            except errors.EndpointBackoffError:
                continue
            acquired_ms = host.clock.mono_ms()
            await self._connect()
            if self.hosts[host.name] is not host:
                # The host was restarted, which ended its calls.
                return None
            if host.frozen or host.backoffs.own_remaining_ms(engine.life):
                continue
            backoff_ms = engine.receive_request(host.name)
            if not backoff_ms:
                self._start(self._serve_answer(host, engine, acquired_ms))
                return engine
            await self.wait_ms(self.random.uniform(1, 4))
            host.backoffs.on_response(engine.life, backoff_ms, acquired_ms)
            self.refusals += 1
        return None

    async def _serve_answer(self, host, engine, acquired_ms):
        await self.wait_ms(min(self.random.lognormvariate(5, 1), 4_000))
        host.backoffs.on_response(engine.life, 0, acquired_ms)


def simulate(happen, hosts, calls_per_s, for_ms, seed=1, make=BackoffHost):
    """Return a fleet after running calls and a scenario concurrently."""
    held = {}

    async def run():
        fleet = Fleet(hosts, seed=seed, make=make)
        await asyncio.gather(
            fleet.run_calls(calls_per_s, for_ms), happen(fleet)
        )
        await fleet.close()
        held['fleet'] = fleet

    group.run(run())
    return held['fleet']
