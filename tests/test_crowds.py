"""Many hosts that see the same late reports of the engines they share.

Pattern: 3 to 200 entry hosts of a region send calls with prompts of 1,500
tokens in the mean to its engines, each by its own backlog and by reports
that come every 400 ms and are 100 ms old then. Rates are a share of what
the engines read, 38.7 tokens a ms, as on deployments of that kind.
"""

import heapq
import itertools
import random
import statistics

import pytest

from tests import test_gauges
from wrenspoke.coordination.serving import backlog
from wrenspoke.coordination.serving import samples
from wrenspoke.state import loads

TOKEN_MS = 1 / 38.7
MEAN_TOKENS = 1_500
INTERVAL_MS, LAG_MS = 400, 100
PLAYED_MS = 8_000
WARM_UP_MS = 2_000
SEEDS = range(3)
BUSY_SHARE = 0.8
# Two sets of seeds of one policy differ by as much.
NOISE = 0.15


class Clock:
    """Tell the time of the played region."""

    def __init__(self):
        self.now_ms = 0.0

    def mono_ms(self):
        return int(self.now_ms)


class Region:
    """Play the calls of some hosts at some engines."""

    def __init__(self, hosts, engines, share, seed, sampling):
        self._random = random.Random(seed)
        self._sampling = sampling
        self._clock = Clock()
        self._backlogs = []
        for _host in range(hosts):
            made = backlog.Backlog(self._clock)
            made.hosts = hosts
            self._backlogs.append(made)
        self._engines = [test_gauges.registered(n) for n in range(engines)]
        names = [found.said.endpoint for found in self._engines]
        self._ends_ms = {name: [] for name in names}
        self._reports = [(0.0, dict.fromkeys(names, 0))]
        self._rate_per_ms = share * engines / (MEAN_TOKENS * TOKEN_MS)
        self._reading = []
        self._numbers = itertools.count()
        self.waits_ms = []

    def play(self):
        """Return the mean time that calls wait before they are read."""
        report_ms = INTERVAL_MS
        call_ms = 0.0
        while call_ms < PLAYED_MS:
            call_ms += self._random.expovariate(self._rate_per_ms)
            while report_ms < call_ms:
                self._report(report_ms)
                report_ms += INTERVAL_MS
            self._finish(call_ms)
            self._clock.now_ms = call_ms
            self._send(call_ms)
        return statistics.mean(self.waits_ms)

    def _report(self, now_ms):
        queued = {
            name: max(sum(end > now_ms for end in ends) - 1, 0)
            for name, ends in self._ends_ms.items()
        }
        self._reports.append((now_ms + LAG_MS, queued))

    def _finish(self, now_ms):
        while self._reading and self._reading[0][0] <= now_ms:
            end_ms, _number, host, name, number = heapq.heappop(self._reading)
            self._clock.now_ms = end_ms
            host.read(name, number)

    def _send(self, now_ms):
        host = self._random.choice(self._backlogs)
        heard = [item for item in self._reports if item[0] <= now_ms]
        heard_ms, queued = heard[-1]
        self._reports = self._reports[len(heard) - 1 :]
        age_ms = int(now_ms - heard_ms)

        def ahead(found):
            name = found.said.endpoint
            load = loads.EngineLoad(name, queued[name], 0, 0, 1, age_ms)
            return host.ahead(name, load, TOKEN_MS), self._random.random()

        weighed = self._sampling(self._engines, (), self._random)
        name = min(weighed, key=ahead).said.endpoint
        tokens = self._random.expovariate(1 / MEAN_TOKENS)
        ends = self._ends_ms[name] = [
            end for end in self._ends_ms[name] if end > now_ms
        ]
        began_ms = max([now_ms, *ends])
        ends.append(began_ms + tokens * TOKEN_MS)
        number = host.sent(name, tokens)
        item = (ends[-1], next(self._numbers), host, name, number)
        heapq.heappush(self._reading, item)
        if now_ms > WARM_UP_MS:
            self.waits_ms.append(began_ms - now_ms)


def every(candidates, _always, _chance):
    """Weigh all endpoints, as a host does that has few."""
    return candidates


def waits_ms(hosts, engines, share, sampling):
    """Return the mean wait over some seeds."""
    return statistics.mean(
        Region(hosts, engines, share, seed, sampling).play() for seed in SEEDS
    )


@pytest.mark.parametrize(
    'hosts, engines', [(20, 20), (28, 32), (66, 24), (200, 72)]
)
def test_calls_wait_no_longer_where_each_weighs_some(hosts, engines):
    """Reports are too old for the best of all to be much better."""
    weighing_all_ms = waits_ms(hosts, engines, BUSY_SHARE, every)
    weighing_some_ms = waits_ms(hosts, engines, BUSY_SHARE, samples.sample)
    assert weighing_some_ms <= (1 + NOISE) * weighing_all_ms


@pytest.mark.parametrize('engines', [1, 2, 16])
def test_few_endpoints_are_all_weighed(engines):
    candidates = [test_gauges.registered(n) for n in range(engines)]
    assert samples.sample(candidates, (), random.Random(1)) == candidates


@pytest.mark.parametrize('engines', [20, 60, 200, 3_300])
def test_work_of_choosing_does_not_grow_with_the_endpoints(engines):
    candidates = [test_gauges.registered(n) for n in range(engines)]
    always = {'e0', f'e{engines - 1}'}
    for seed in range(20):
        drawn = samples.sample(candidates, always, random.Random(seed))
        names = [found.said.endpoint for found in drawn]
        assert len(set(names)) == len(names) <= samples.SAMPLED_COUNT + 2
        assert always <= set(names)
