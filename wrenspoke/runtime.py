"""Start a daemon: event loop, signals and the end of its tasks."""

import asyncio
import collections.abc
import os
import signal

import structlog

logger = structlog.get_logger(__name__)

FATAL = 'fatal'
URING_VARIABLE = 'UV_USE_IO_URING'


def run(main: collections.abc.Coroutine) -> None:
    """Run ``main`` on uvloop, which is told to leave io_uring alone.

    The variable has to be set before libuv makes its first loop, so the
    import stands here and nowhere else.
    """
    os.environ[URING_VARIABLE] = '0'
    import uvloop

    uvloop.run(main)


async def wait_for_stop() -> None:
    """Return when the process is to end.

    That is on SIGTERM or SIGINT, or when a task of a ``Tasks`` failed: a
    daemon that lost a part of itself is better replaced.
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
    """Hold the tasks of one part of a daemon, and tell when one fails."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def start(
        self, coroutine: collections.abc.Coroutine, fatal: bool = True
    ) -> asyncio.Task:
        """Run ``coroutine`` as a task; its failure ends the daemon."""
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
        """Wait until every task has ended by itself."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def close(self) -> None:
        """Cancel every task and wait for its end."""
        await cancel(self._tasks)


async def cancel(tasks: collections.abc.Iterable[asyncio.Task]) -> None:
    """Cancel ``tasks`` and wait until every one has ended."""
    tasks = list(tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
