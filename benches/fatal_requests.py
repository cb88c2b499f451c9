"""Compare the policies that refuse requests which crash engines.

    python -m benches.fatal_requests [--seeds N]

Simulates 90 s of calls to 12 engines. A call whose engine crashes is retried
once at another engine, and its caller retries once after a failure. From 20 s
to 60 s, each of two requests that crash an engine within 100 ms arrives about
once a second. Each row is a policy, each column a fault: engines crashed by
requests per run, then harmless calls without an answer and harmless calls
refused, both per 10 000.

The last table is the cost of reporting one crash with 16 running calls to
other hosts: messages and KB.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import random

import msgspec

from wrenspoke.coordination.quarantine import crash_history
from wrenspoke.coordination.quarantine import recent_successes
from wrenspoke.protocol import quarantining

ENGINES = 12
CALLS_PER_S = 40
LENGTH_MS = 90_000
RUN_MS = (300, 4_000)
RESTART_MS = 3_000
FATAL_AFTER_MS = 100
FATAL_SPAN_MS = (20_000, 60_000)
FATAL_INTERVAL_MS = 1_000
TROUBLE_SPAN_MS = (20_000, 60_000)
# Time until all hosts have received a crash report.
PROPAGATION_MS = 150
CALLER_RETRY_MS = 300
# Fraction of calls whose content is shared with others.
COMMON_SHARE = 0.1
COMMON_CONTENTS = 4
# Fraction of responses lost during the fault.
LOST_SHARE = 0.3
TEN_THOUSAND = 10_000
TROUBLES = ('none', 'fatal', 'flapping', 'crashes', 'lost', 'fatal+flapping')


@dataclasses.dataclass(frozen=True)
class RefusalPolicy:
    """Conditions for refusing a request that crashed engines.

    ``ends`` is the number of crashes; with None nothing is refused.
    """

    ends: int | None
    confirmed_only: bool = True
    cleared_by_success: bool = True
    retried_after_crash: bool = True

    def __str__(self) -> str:
        if self.ends is None:
            return 'never refused'
        evidence = 'ends' if self.confirmed_only else 'broken connections'
        cleared_by_success = (
            '' if self.cleared_by_success else ', good ends ignored'
        )
        retried_after_crash = (
            '' if self.retried_after_crash else ', not sent on after an end'
        )
        return (
            f'{self.ends} {evidence}{cleared_by_success}{retried_after_crash}'
        )


WAYS = (
    RefusalPolicy(None),
    RefusalPolicy(2),
    RefusalPolicy(3),
    RefusalPolicy(4),
    RefusalPolicy(3, confirmed_only=False),
    RefusalPolicy(3, cleared_by_success=False),
    RefusalPolicy(3, retried_after_crash=False),
)


class ManualClock:
    """Monotonic clock that the simulation advances."""

    now_ms = 0

    def mono_ms(self) -> int:
        """Return the simulated time, in milliseconds."""
        return self.now_ms


@dataclasses.dataclass
class Call:
    """A call with its number of sends and of submissions by its caller."""

    digest: str
    fatal: bool
    sent: int = 0
    asked: int = 0


class Simulation:
    """Simulates one policy under one fault with one seed."""

    def __init__(self, way: RefusalPolicy, trouble: str, seed: int):
        self._way = way
        self._trouble = trouble
        self._random = random.Random(seed)
        self._time = ManualClock()
        self._book = crash_history.CrashHistory(self._time)
        self._events: list[tuple] = []
        self._number = itertools.count()
        self._up = dict.fromkeys(range(ENGINES), 0)
        self._running: dict[int, dict[int, Call]] = {
            engine: {} for engine in self._up
        }
        self._refused: set[str] = set()
        self._last_success_ms: dict[str, int] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def play(self) -> collections.Counter[str]:
        """Run all events and return the counts of calls and crashes."""
        self._schedule_calls()
        self._schedule_faults()
        while self._events:
            at_ms, _number, function, arguments = heapq.heappop(self._events)
            self._time.now_ms = at_ms
            function(*arguments)
        return self.counts

    def _at(self, at_ms: float, function, *arguments) -> None:
        event = (int(at_ms), next(self._number), function, arguments)
        heapq.heappush(self._events, event)

    def _schedule_calls(self) -> None:
        at_ms = 0.0
        while at_ms < LENGTH_MS:
            at_ms += self._random.expovariate(CALLS_PER_S / 1_000)
            content = f'own-{next(self._number)}'
            if self._random.random() < COMMON_SHARE:
                content = f'common-{self._random.randrange(COMMON_CONTENTS)}'
            self._at(at_ms, self._submit_call, Call(content, fatal=False))
        if 'fatal' not in self._trouble:
            return
        for content in ('fatal-1', 'fatal-2'):
            at_ms, end_ms = FATAL_SPAN_MS
            while at_ms < end_ms:
                at_ms += self._random.expovariate(1 / FATAL_INTERVAL_MS)
                self._at(at_ms, self._submit_call, Call(content, fatal=True))

    def _schedule_faults(self) -> None:
        began_ms, ended_ms = TROUBLE_SPAN_MS
        if 'flapping' in self._trouble:
            for engine in range(ENGINES // 3):
                for at_ms in range(began_ms, ended_ms, 5_000):
                    late_ms = self._random.randrange(1_000)
                    self._at(at_ms + late_ms, self._crash_engine, engine)
        if 'crashes' in self._trouble:
            for at_ms in range(began_ms, ended_ms, 10_000):
                for engine in self._random.sample(range(ENGINES), 6):
                    self._at(at_ms, self._crash_engine, engine)

    def _submit_call(self, call: Call) -> None:
        call.asked += 1
        call.sent = 0
        if not call.fatal and call.asked == 1:
            self.counts['calls'] += 1
        self._send(call)

    def _send(self, call: Call) -> None:
        if call.digest in self._refused:
            if not call.fatal:
                self.counts['refused'] += 1
            self._fail(call)
            return
        now_ms = self._time.now_ms
        up = [one for one, back_ms in self._up.items() if back_ms <= now_ms]
        if not up or call.sent == 2:
            self._fail(call)
            return
        call.sent += 1
        engine = self._random.choice(up)
        run = next(self._number)
        self._running[engine][run] = call
        if call.fatal:
            self._at(now_ms + FATAL_AFTER_MS, self._crash_engine, engine, run)
            return
        took_ms = self._random.randint(*RUN_MS)
        self._at(now_ms + took_ms, self._answer, engine, run)

    def _fail(self, call: Call) -> None:
        if call.fatal:
            return
        if call.asked == 1:
            at_ms = self._time.now_ms + CALLER_RETRY_MS
            self._at(at_ms, self._submit_call, call)
            return
        self.counts['unanswered'] += 1

    def _answer(self, engine: int, run: int) -> None:
        call = self._running[engine].pop(run, None)
        if call is None:
            return
        began_ms, ended_ms = TROUBLE_SPAN_MS
        lost = 'lost' in self._trouble
        if lost and began_ms <= self._time.now_ms < ended_ms:
            if self._random.random() < LOST_SHARE:
                if not self._way.confirmed_only:
                    self._schedule_crash_report(call, engine)
                self._send(call)
                return
        if self._way.cleared_by_success:
            self._last_success_ms[call.digest] = self._time.now_ms
            self._at(
                self._time.now_ms + PROPAGATION_MS,
                self._book.clear,
                call.digest,
            )

    def _crash_engine(self, engine: int, run: int | None = None) -> None:
        running = self._running[engine]
        if run is not None and run not in running:
            return
        if run is not None:
            self.counts['ended'] += 1
        self._up[engine] = self._time.now_ms + RESTART_MS
        broken = list(running.values())
        running.clear()
        for call in broken:
            self._schedule_crash_report(call, engine)
        for call in broken:
            if self._way.retried_after_crash:
                self._send(call)
            else:
                self._fail(call)

    def _schedule_crash_report(self, call: Call, engine: int) -> None:
        at_ms = self._time.now_ms
        self._at(
            at_ms + PROPAGATION_MS,
            self._apply_crash_report,
            call.digest,
            engine,
            at_ms,
        )

    def _apply_crash_report(
        self, digest: str, engine: int, ended_ms: int
    ) -> None:
        good_ms = self._last_success_ms.get(
            digest, -crash_history.RETENTION_MS
        )
        if good_ms > ended_ms - recent_successes.RETENTION_MS:
            return
        self._book.record_crash((digest,), f'{engine}-{ended_ms}', ended_ms)
        count = self._book.crash_count(digest)
        if self._way.ends is not None and count >= self._way.ends:
            self._refused.add(digest)


def compare(seeds: int) -> None:
    """Print a row for each policy with a column for each fault."""
    print('| way | ' + ' | '.join(TROUBLES) + ' |')
    print('| --- |' + ' --- |' * len(TROUBLES))
    for way in WAYS:
        cells = []
        for trouble in TROUBLES:
            counts: collections.Counter[str] = collections.Counter()
            for seed in range(seeds):
                counts += Simulation(way, trouble, seed).play()
            share = TEN_THOUSAND / counts['calls']
            cells.append(
                f'{counts["ended"] / seeds:.1f}, '
                f'{counts["unanswered"] * share:.1f}, '
                f'{counts["refused"] * share:.1f}'
            )
        print(f'| {way} | ' + ' | '.join(cells) + ' |')


CALLS = 16
REGIONS = 3
CONTROLS = 6


def count_messages() -> None:
    """Print the cost of reporting a crash to all or to control hosts."""
    ends = [
        quarantining.EndpointCrash('0' * 32, 'engine-12345', 5)
        for _ in range(CALLS)
    ]
    print('| hosts | told to all: messages, KB | to control hosts |')
    print('| --- | --- | --- |')
    for hosts in (20, 60, 200):
        near = hosts / REGIONS
        each = max(CALLS / near, 1)
        who = min(near, CALLS)
        message = quarantining.ReportCrashes(ends[: round(each)])
        size = len(msgspec.msgpack.encode(message))
        to_all = who * (hosts - 1)
        to_controls = who * CONTROLS
        print(
            f'| {hosts} | {to_all:.0f}, {to_all * size / 1_000:.0f} '
            f'| {to_controls:.0f}, {to_controls * size / 1_000:.0f} |'
        )


def main() -> None:
    """Parse the arguments and print both tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    compare(parser.parse_args().seeds)
    print()
    count_messages()


if __name__ == '__main__':
    main()
