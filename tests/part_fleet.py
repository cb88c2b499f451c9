"""Simulated fleet whose engines crash under one prompt part, in virtual time.

Entry hosts send calls with prompt parts to the engines of their region. One
part crashes each engine that begins to write an answer on it, with all other
calls in flight. Engines may crash by themselves, too, and hosts and control
hosts fail as in ``quarantined_fleet``.
"""

import asyncio
import collections
import dataclasses

from tests import group
from tests import quarantined_fleet
from wrenspoke.protocol import fingerprints

FATAL = fingerprints.named_parts(['fatal', 'last'])
MS_PER_S = 1_000
# Hosts per engine, and calls per second of each engine: about ten in flight.
HOSTS_PER_ENGINE = 1.5
CALLS_PER_ENGINE_S = 5
RUN_S = (0.3, 4.0)
FIRST_PIECE_S = (0.05, 0.3)
CRASH_AFTER_S = 0.1
RESTART_S = 3.0
FATAL_INTERVAL_S = 0.5
ATTEMPTS = 2
# Callers whose parts have digests of their own.
CALLERS = 1
# Time that connected hosts may take to receive each other's reports.
CONTACT_MS = 6_000
FIRST_PARTS = 3
MIDDLE_PARTS = 40
# Share of the sound calls that are the only ones with their middle part.
NEW_PART_SHARE = 0.1


@dataclasses.dataclass(eq=False)
class Engine:
    """An engine, with a future for each call that is in flight."""

    name: str
    region: int
    up_from_ms: int = 0
    in_flight: dict[asyncio.Future, None] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class Call:
    """A call, with its number of tries and its outcome."""

    fingerprint: fingerprints.Fingerprint
    is_fatal: bool
    sent_ms: int
    tries: int = 0
    outcome: str = ''


class PartFleet(quarantined_fleet.Fleet):
    """Entry hosts that send calls to engines that a part crashes."""

    def __init__(self, hosts, seed=1, fatal_parts=FATAL):
        super().__init__(hosts, seed)
        self.clock = group.LoopClock()
        count = max(6, round(hosts / HOSTS_PER_ENGINE))
        self.engines = {}
        for number in range(count):
            name = f'e{number}'
            self.engines[name] = Engine(
                name, number % quarantined_fleet.REGIONS
            )
        self.calls = []
        # Times at which hosts that were in touch sent fatal calls.
        self.fatal_sends_ms = []
        self.is_in_touch = lambda _host: True
        self.fatal_crashes_ms = []
        # Hosts that callers don't reach.
        self.stopped = set()
        self._fatal_parts = fatal_parts
        self._numbers = iter(range(10**9))
        self._tasks = set()

    async def is_refused(self, address, _timeout_ms):
        """Return whether an engine is down."""
        return self.clock.mono_ms() < self.engines[address].up_from_ms

    # Calls.

    def start_call(self, call, host):
        """Run a call at a host in the background."""
        self.calls.append(call)
        task = asyncio.ensure_future(self._run_call(call, host))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_call(self, call, host):
        tried = set()
        while call.tries < ATTEMPTS:
            await host.guard.request_trials(
                call.fingerprint, call.fingerprint.request
            )
            if host.guard.find_hold(call.fingerprint) is not None:
                call.outcome = 'crashed' if call.tries else 'refused'
                return
            engine = self._pick_engine(host, tried)
            if engine is None:
                call.outcome = 'no engine'
                return
            tried.add(engine.name)
            call.tries += 1
            if await self._run_once(call, host, engine):
                call.outcome = 'whole'
                return
        call.outcome = 'crashed'

    def _pick_engine(self, host, tried):
        now_ms = self.clock.mono_ms()
        up = [
            engine
            for engine in self.engines.values()
            if engine.region == host.region
            and engine.up_from_ms <= now_ms
            and engine.name not in tried
        ]
        return self.random.choice(up) if up else None

    async def _run_once(self, call, host, engine):
        """Run a call at an engine; return False if the engine crashed."""
        run = host.guard.start_run(call.fingerprint, engine.name, engine.name)
        crashed = asyncio.get_running_loop().create_future()
        engine.in_flight[crashed] = None
        if call.is_fatal:
            if self.is_in_touch(host):
                self.fatal_sends_ms.append(self.clock.mono_ms())
            await asyncio.wait([crashed], timeout=CRASH_AFTER_S)
            if not crashed.done():
                self.fatal_crashes_ms.append(self.clock.mono_ms())
                self.crash(engine)
        else:
            await self._write(run, host, crashed)
        host.guard.end_run(run)
        engine.in_flight.pop(crashed, None)
        if not crashed.done():
            crashed.cancel()
            host.guard.mark_succeeded(run)
            return True
        await host.guard.handle_broken_run(run)
        return False

    async def _write(self, run, host, crashed):
        first_s = self.random.uniform(*FIRST_PIECE_S)
        await asyncio.wait([crashed], timeout=first_s)
        if not crashed.done():
            host.guard.mark_writing(run)
            await asyncio.wait([crashed], timeout=self.random.uniform(*RUN_S))

    def crash(self, engine):
        """Crash an engine with everything in flight on it."""
        engine.up_from_ms = self.clock.mono_ms() + int(RESTART_S * MS_PER_S)
        for future in engine.in_flight:
            if not future.done():
                future.set_result(None)
        engine.in_flight.clear()

    # Traffic.

    def new_sound_call(self):
        """Return a call with shared parts, sometimes with a new one."""
        number = next(self._numbers)
        middle = f'm{self.random.randrange(MIDDLE_PARTS)}'
        if self.random.random() < NEW_PART_SHARE:
            middle = f'new{number}'
        first = f'first{self.random.randrange(FIRST_PARTS)}'
        parts = fingerprints.named_parts([first, middle, 'last'])
        return Call(
            fingerprints.Fingerprint(f'sound-{number}', parts),
            False,
            self.clock.mono_ms(),
        )

    def new_fatal_call(self):
        """Return a call with a first part of sound calls and the fatal one."""
        number = next(self._numbers)
        parts = fingerprints.named_parts(['first0', 'last'])
        fatal = self.random.choice(self._fatal_parts)
        if CALLERS > 1:
            fatal += f'-{self.random.randrange(CALLERS)}'
        return Call(
            fingerprints.Fingerprint(f'fatal-{number}', (*parts, fatal)),
            True,
            self.clock.mono_ms(),
        )

    async def send_sound_calls(self, for_s):
        """Send sound calls at all hosts for some time."""
        per_s = CALLS_PER_ENGINE_S * len(self.engines)
        await self._send(for_s, per_s, self.new_sound_call)

    async def send_fatal_calls(self, for_s):
        """Send calls with the fatal part at all hosts for some time."""
        await self._send(for_s, 1 / FATAL_INTERVAL_S, self.new_fatal_call)

    async def _send(self, for_s, per_s, new_call):
        end_ms = self.clock.mono_ms() + for_s * MS_PER_S
        while self.clock.mono_ms() < end_ms:
            await asyncio.sleep(self.random.expovariate(per_s))
            hosts = [
                host
                for name, host in self.hosts.items()
                if name not in self.stopped
            ]
            self.start_call(new_call(), self.random.choice(hosts))

    async def crash_by_itself(self, for_s, every_s, share):
        """Crash a share of the engines again and again."""
        end_ms = self.clock.mono_ms() + for_s * MS_PER_S
        while self.clock.mono_ms() < end_ms:
            await asyncio.sleep(every_s)
            count = max(1, round(share * len(self.engines)))
            for engine in self.random.sample(
                list(self.engines.values()), count
            ):
                self.crash(engine)

    # Results.

    def late_sends(self):
        """Return the fatal calls sent ``CONTACT_MS`` after the fifth crash."""
        if len(self.fatal_crashes_ms) < 5:
            return 0
        limit_ms = self.fatal_crashes_ms[4] + CONTACT_MS
        return sum(at_ms > limit_ms for at_ms in self.fatal_sends_ms)

    def sound_outcomes(self, from_ms=0, first_part=None):
        """Return the outcomes of sound calls sent from a time on."""
        counts = collections.Counter()
        for call in self.calls:
            if call.is_fatal or call.sent_ms < from_ms:
                continue
            if first_part not in (None, call.fingerprint.parts[0]):
                continue
            counts[call.outcome] += 1
        return counts

    def held_parts(self):
        """Return the digests that a decision holds."""
        return [
            digest
            for digest, entry in self.state.configuration.quarantine.items()
            if not entry.on_probation
        ]

    async def close(self):
        for task in list(self._tasks):
            task.cancel()
        await super().close()
