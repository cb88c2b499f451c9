"""Runtime of the daemons: event loop, signals, background tasks."""

import asyncio
import collections.abc
import contextlib
import faulthandler
import gc
import os
import signal
import sys

import structlog

logger = structlog.get_logger(__name__)

FATAL = 'fatal'
URING_VARIABLE = 'UV_USE_IO_URING'
# New objects until the next garbage collection; most end before, by their
# reference counts.
GARBAGE_THRESHOLD = 5_000
# A callback of the event loop that takes longer has its stack written.
STALL_S = 5.0
STALL_CHECK_S = 1.0


def run(main: collections.abc.Coroutine) -> None:
    """Run ``main`` on uvloop without io_uring.

    libuv reads the variable when it creates its first loop, so uvloop must
    not be imported before it is set.
    """
    os.environ[URING_VARIABLE] = '0'
    import uvloop

    uvloop.run(_run_watched(main))


async def _run_watched(main: collections.abc.Coroutine) -> None:
    with watched_loop():
        await main


@contextlib.contextmanager
def watched_loop() -> collections.abc.Iterator[None]:
    """Write the stacks of all threads if the event loop stands still.

    A timer of the kernel is set again by the loop. The stacks are written to
    standard error by a signal handler in C, as the loop can't log then.
    """
    loop = asyncio.get_running_loop()
    faulthandler.register(signal.SIGALRM, file=sys.stderr, chain=False)
    check = None

    def rearm() -> None:
        nonlocal check
        signal.setitimer(signal.ITIMER_REAL, STALL_S)
        check = loop.call_later(STALL_CHECK_S, rearm)

    rearm()
    try:
        yield
    finally:
        check.cancel()
        signal.setitimer(signal.ITIMER_REAL, 0)
        faulthandler.unregister(signal.SIGALRM)


def collect_garbage() -> None:
    """Collect garbage from now on, but not among what was made so far."""
    gc.freeze()
    gc.set_threshold(GARBAGE_THRESHOLD)
    gc.enable()


async def wait_for_stop() -> None:
    """Wait until the process should stop.

    That is on SIGTERM or SIGINT, or when a fatal task of a ``Tasks`` fails:
    a daemon that has lost a component should be restarted.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()

    def handle(_loop: asyncio.AbstractEventLoop, context: dict) -> None:
        logger.error(
            'unhandled_error',
            message=context['message'],
            exc_info=context.get('exception'),
        )
        if context.get(FATAL):
            stopped.set()

    loop.set_exception_handler(handle)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


class Tasks:
    """Owns the tasks of one component and reports those that fail."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def start(
        self, coroutine: collections.abc.Coroutine, fatal: bool = True
    ) -> asyncio.Task:
        """Run ``coroutine``; if it is fatal, its failure stops the daemon."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(coroutine)
        self._tasks.add(task)

        def on_done(ended: asyncio.Task) -> None:
            self._tasks.discard(ended)
            if ended.cancelled() or ended.exception() is None:
                return
            loop.call_exception_handler(
                {
                    'message': f'{coroutine.__qualname__} failed',
                    'exception': ended.exception(),
                    FATAL: fatal,
                }
            )

        task.add_done_callback(on_done)
        return task

    async def wait(self) -> None:
        """Wait until every task has ended, without cancelling any."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def close(self) -> None:
        """Cancel every task and wait until all have ended."""
        await cancel(self._tasks)


async def cancel(tasks: collections.abc.Iterable[asyncio.Task]) -> None:
    """Cancel ``tasks`` and wait until all have ended."""
    tasks = list(tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
