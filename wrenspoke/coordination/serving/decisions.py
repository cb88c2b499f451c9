"""Log the decisions on requests; keep recent ones for ``explain``."""

import collections
import typing

import structlog

from wrenspoke import clock as clocks

logger = structlog.get_logger(__name__)

MAX_REQUESTS = 4096
MAX_ENTRIES_PER_REQUEST = 32


class DecisionLog:
    """Logs decisions and keeps those of the most recent requests."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._recent: collections.OrderedDict[str, list] = (
            collections.OrderedDict()
        )

    def record(self, event: str, request: str, **fields: typing.Any) -> None:
        """Log one decision on one request."""
        logger.info(event, request=request, **fields)
        entries = self._recent.get(request)
        if entries is None:
            entries = self._recent[request] = []
            if len(self._recent) > MAX_REQUESTS:
                self._recent.popitem(last=False)
        if len(entries) < MAX_ENTRIES_PER_REQUEST:
            entries.append(
                {'at_ms': self._clock.wall_ms(), 'event': event}
                | {name: str(value) for name, value in fields.items()}
            )

    def explain(self, request: str) -> list[dict[str, typing.Any]]:
        """Return the decisions on a request, oldest first."""
        return list(self._recent.get(request, []))
