"""Steps of a planned stop."""

import collections.abc
import contextlib
import typing

import structlog

from wrenspoke import clock as clocks

logger = structlog.get_logger(__name__)


class Closeable(typing.Protocol):
    """A component that a stop closes."""

    async def close(self) -> None:
        """Release what the component holds."""


class Shutdown:
    """Times the steps of one stop, which begins as this is created."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._begun_ms = clock.mono_ms()

    @property
    def elapsed_ms(self) -> int:
        """Return the time since the stop began."""
        return self._clock.mono_ms() - self._begun_ms

    @contextlib.asynccontextmanager
    async def step(self, name: str) -> collections.abc.AsyncIterator[None]:
        """Run a step in the block, and log how long it took."""
        started_ms = self._clock.mono_ms()
        try:
            yield
        finally:
            logger.info(
                'stop_step',
                step=name,
                took_ms=self._clock.mono_ms() - started_ms,
                elapsed_ms=self.elapsed_ms,
            )

    async def close_all(
        self, components: collections.abc.Mapping[str, Closeable | None]
    ) -> None:
        """Close components one after the other; None stands for disabled."""
        took_ms = {}
        async with self.step('close'):
            for name, component in components.items():
                if component is None:
                    continue
                started_ms = self._clock.mono_ms()
                await component.close()
                took_ms[name] = self._clock.mono_ms() - started_ms
        parts_ms = ','.join(f'{n}:{ms}' for n, ms in took_ms.items() if ms)
        logger.info('stopped', took_ms=self.elapsed_ms, parts_ms=parts_ms)
