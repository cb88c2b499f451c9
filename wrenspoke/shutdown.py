"""Steps of a planned stop, which share one deadline."""

import collections.abc
import contextlib
import typing

import structlog

from wrenspoke import clock as clocks

logger = structlog.get_logger(__name__)

# Time that remains for closing connections and components after a drain.
CLOSE_MARGIN_MS = 700
# Time that remains for the process to exit.
EXIT_MARGIN_MS = 200


class Closeable(typing.Protocol):
    """A component that a stop closes."""

    async def close(self) -> None:
        """Release what the component holds."""


class Shutdown:
    """The steps of one stop, which share a deadline.

    It expires ``grace_ms`` after this is created. Each step may use what
    remains, less a reserve for later ones. Without ``grace_ms`` no step is
    bounded.
    """

    def __init__(self, clock: clocks.Clock, grace_ms: int | None = None):
        self._clock = clock
        self._begun_ms = clock.mono_ms()
        self._grace_ms = grace_ms

    @property
    def elapsed_ms(self) -> int:
        """Return the time since the stop began."""
        return self._clock.mono_ms() - self._begun_ms

    def remaining_ms(self, reserve_ms: int = EXIT_MARGIN_MS) -> int | None:
        """Return the remaining time less a reserve, None without a bound."""
        if self._grace_ms is None:
            return None
        return max(self._grace_ms - reserve_ms - self.elapsed_ms, 0)

    @contextlib.asynccontextmanager
    async def step(
        self, name: str, reserve_ms: int = EXIT_MARGIN_MS
    ) -> collections.abc.AsyncIterator[None]:
        """Run the block as a step, and log its duration.

        The block is cancelled once the remaining time has passed; execution
        then continues behind it.
        """
        started_ms = self._clock.mono_ms()
        bound = clocks.timeout_ms(self.remaining_ms(reserve_ms))
        try:
            async with bound:
                yield
        except TimeoutError:
            if not bound.expired():
                raise
        finally:
            log = logger.warning if bound.expired() else logger.info
            log(
                'stop_step',
                step=name,
                took_ms=self._clock.mono_ms() - started_ms,
                elapsed_ms=self.elapsed_ms,
                completed=not bound.expired(),
            )

    async def close_all(
        self, components: collections.abc.Mapping[str, Closeable | None]
    ) -> None:
        """Close components in order, skipping disabled ones (None)."""
        enabled = {
            name: component
            for name, component in components.items()
            if component is not None
        }
        took_ms = {}
        async with self.step('close'):
            for name, component in enabled.items():
                started_ms = self._clock.mono_ms()
                await component.close()
                took_ms[name] = self._clock.mono_ms() - started_ms
        logger.info(
            'stopped',
            took_ms=self.elapsed_ms,
            parts_ms=','.join(f'{n}:{ms}' for n, ms in took_ms.items() if ms),
            not_closed=','.join(n for n in enabled if n not in took_ms),
        )
