"""Processor time, waits and descriptors of a process.

A thread that never waits uses up a processor and may serve nobody with it. The
event loop, where callbacks of this program run, and the other threads, which
belong to libraries, are measured apart.
"""

import dataclasses
import enum
import resource

import structlog

from wrenspoke import clock as clocks
from wrenspoke import runtime
from wrenspoke.transport import descriptors

logger = structlog.get_logger(__name__)

CHECK_INTERVAL_MS = 1_000
LOG_INTERVAL_MS = 30_000
# A thread group that uses this share of a processor hardly ever waits.
BUSY_SHARE = 0.9
BUSY_CHECKS = 3
# Profiling slows the event loop down.
PROFILE_MS = 100
PROFILE_INTERVAL_MS = 60_000
PROFILED_FUNCTIONS = 5
MANY_DESCRIPTORS_SHARE = 0.75
MS_PER_S = 1_000


class ThreadGroup(enum.Enum):
    """Threads whose processor time is measured together."""

    EVENT_LOOP = 'event_loop'
    LIBRARIES = 'libraries'


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessorUse:
    """Use of the processor, since the start or between two moments.

    ``waits`` is how often a thread gave up the processor because it had to
    wait, ``preemptions`` how often it was interrupted to let others run.
    """

    time_ms: dict[ThreadGroup, float]
    waits: int
    preemptions: int

    def since(self, earlier: 'ProcessorUse') -> 'ProcessorUse':
        """Return the use since an earlier moment."""
        return ProcessorUse(
            {
                group: time_ms - earlier.time_ms[group]
                for group, time_ms in self.time_ms.items()
            },
            self.waits - earlier.waits,
            self.preemptions - earlier.preemptions,
        )


def read_processor_use() -> ProcessorUse:
    """Return the use so far; to be called by the thread of the event loop."""
    own = resource.getrusage(resource.RUSAGE_THREAD)
    whole = resource.getrusage(resource.RUSAGE_SELF)
    own_ms = (own.ru_utime + own.ru_stime) * MS_PER_S
    whole_ms = (whole.ru_utime + whole.ru_stime) * MS_PER_S
    return ProcessorUse(
        {
            ThreadGroup.EVENT_LOOP: own_ms,
            ThreadGroup.LIBRARIES: max(whole_ms - own_ms, 0.0),
        },
        whole.ru_nvcsw,
        whole.ru_nivcsw,
    )


class ProcessLoad:
    """Logs the load of a process, and what uses up a processor."""

    def __init__(
        self,
        budget: descriptors.DescriptorBudget,
        clock: clocks.Clock,
    ):
        self._budget = budget
        self._clock = clock
        self._tasks = runtime.Tasks()
        self._busy_checks = dict.fromkeys(ThreadGroup, 0)
        self._profiled_ms: int | None = None
        # How late the event loop ran a check, at most, since the last line.
        self._max_delay_ms = 0
        self._has_many_descriptors = False

    def start(self) -> None:
        """Start checking the load."""
        self._tasks.start(self._run(), fatal=False)

    async def close(self) -> None:
        """Stop checking the load."""
        await self._tasks.close()

    async def _run(self) -> None:
        logged = checked = read_processor_use()
        logged_ms = checked_ms = self._clock.mono_ms()
        while True:
            due_ms = self._clock.mono_ms() + CHECK_INTERVAL_MS
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            now = read_processor_use()
            now_ms = self._clock.mono_ms()
            self._max_delay_ms = max(self._max_delay_ms, now_ms - due_ms)
            self.check_descriptors()
            await self.check_processor(now.since(checked), now_ms - checked_ms)
            if now_ms - logged_ms >= LOG_INTERVAL_MS:
                self._log(now.since(logged), now_ms - logged_ms)
                logged, logged_ms = now, now_ms
            checked, checked_ms = read_processor_use(), self._clock.mono_ms()

    def _log(self, used: ProcessorUse, lasted_ms: int) -> None:
        logger.info(
            'process_load',
            lasted_ms=lasted_ms,
            waits=used.waits,
            preemptions=used.preemptions,
            max_delay_ms=self._max_delay_ms,
            descriptor_limit=self._budget.limit,
            **{
                f'{group.value}_ms': round(time_ms)
                for group, time_ms in used.time_ms.items()
            },
            **{
                f'{use}_descriptors': count
                for use, count in self._budget.counts().items()
            },
        )
        self._max_delay_ms = 0

    def check_descriptors(self) -> None:
        """Warn as most of the descriptors have come into use."""
        limit = self._budget.limit
        counts = self._budget.counts()
        has_many = sum(counts.values()) >= MANY_DESCRIPTORS_SHARE * limit
        if has_many and not self._has_many_descriptors:
            logger.warning('many_descriptors', limit=limit, **counts)
        self._has_many_descriptors = has_many

    async def check_processor(
        self, used: ProcessorUse, lasted_ms: int
    ) -> None:
        """Warn of threads that have hardly waited during several checks.

        For the event loop, the functions that take most of the time are
        named.
        """
        for group, time_ms in used.time_ms.items():
            if time_ms < BUSY_SHARE * lasted_ms:
                self._busy_checks[group] = 0
                continue
            self._busy_checks[group] += 1
            if self._busy_checks[group] != BUSY_CHECKS:
                continue
            functions = ''
            if group is ThreadGroup.EVENT_LOOP and self._may_profile():
                functions = await self._profile()
            logger.warning(
                'threads_busy',
                threads=group,
                time_ms=round(time_ms),
                lasted_ms=lasted_ms,
                waits=used.waits,
                functions=functions,
            )

    def _may_profile(self) -> bool:
        now_ms = self._clock.mono_ms()
        if (
            self._profiled_ms is not None
            and now_ms - self._profiled_ms < PROFILE_INTERVAL_MS
        ):
            return False
        self._profiled_ms = now_ms
        return True

    async def _profile(self) -> str:
        """Return the functions that the event loop spends most time in.

        The calls of each and their processor time in ms, with what they call,
        follow its name.
        """
        # Imported here, as it is rarely needed.
        import cProfile

        profile = cProfile.Profile()
        profile.enable()
        try:
            await self._clock.sleep_ms(PROFILE_MS)
        finally:
            profile.disable()
        found = sorted(profile.getstats(), key=lambda entry: -entry.inlinetime)
        return ', '.join(
            f'{_name(entry.code)} {entry.callcount} '
            f'{entry.totaltime * MS_PER_S:.0f}'
            for entry in found[:PROFILED_FUNCTIONS]
        )


def _name(code: object) -> str:
    """Return the module and name of profiled code; builtins are texts."""
    if isinstance(code, str):
        return code
    module = code.co_filename.rpartition('/')[2].removesuffix('.py')
    return f'{module}.{code.co_qualname}'
