"""In-memory replica of the configuration."""

import asyncio
import collections

import structlog

from wrenspoke import ids
from wrenspoke.protocol import messages
from wrenspoke.state import configuration
from wrenspoke.state import errors as state_errors

logger = structlog.get_logger(__name__)

CHANGE_LOG_LENGTH = 1024


class Replica:
    """Holds the newest known configuration; its index never decreases."""

    def __init__(self):
        self.current = configuration.Configuration()
        self.serving = False
        self.refreshable = False
        self.served_before = False
        self.leaving: set[ids.EndpointId] = set()
        self.changed = asyncio.Event()
        self._changes: collections.deque = collections.deque(
            maxlen=CHANGE_LOG_LENGTH
        )
        self._log_start_index = 0

    def apply_delta(self, delta: messages.ConfigurationDelta) -> bool:
        """Apply what is newer; return whether anything was."""
        if delta.index <= self.current.index:
            return False
        if delta.whole is not None:
            self._replace(delta.whole)
            return True
        for index, change in delta.changes:
            if index <= self.current.index:
                continue
            try:
                changed = configuration.apply(self.current, change, index)
            except state_errors.StateError as error:
                logger.error('change_rejected', index=index, reason=error)
                return False
            self.current = changed
            self._append_change(index, change)
        self._publish_change()
        return True

    def _append_change(self, index: int, change: configuration.Change) -> None:
        """Append a change to the log for replicas that lag behind.

        Only the last routing table is kept: it replaces all earlier ones,
        and tables are by far the largest changes.
        """
        if isinstance(change, configuration.SetRoutes):
            self._changes = collections.deque(
                (
                    item
                    for item in self._changes
                    if not isinstance(item[1], configuration.SetRoutes)
                ),
                maxlen=CHANGE_LOG_LENGTH,
            )
        self._changes.append((index, change))

    def _replace(self, whole: configuration.Configuration) -> None:
        self.current = whole
        self._changes.clear()
        self._log_start_index = whole.index
        self._publish_change()

    def _publish_change(self) -> None:
        logger.info('configuration_applied', index=self.current.index)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        """Wake tasks that wait for a change, or for serving to start."""
        self.changed.set()
        self.changed = asyncio.Event()

    def start_serving(self) -> None:
        """Start serving from the current configuration."""
        self.serving = True
        self._notify_waiters()

    def suspend_serving(self) -> None:
        """Stop serving until the configuration is confirmed as the newest."""
        if self.refreshable:
            self.served_before = self.served_before or self.serving
            self.serving = False

    def delta_since(self, index: int) -> messages.ConfigurationDelta:
        """Return the changes after ``index``, everything if it is too old."""
        current = self.current
        if index >= current.index:
            return messages.ConfigurationDelta(index=current.index)
        oldest = self._log_start_index
        if len(self._changes) == self._changes.maxlen:
            oldest = self._changes[0][0]
        if index < oldest:
            return messages.ConfigurationDelta(
                index=current.index, whole=current
            )
        newer = [item for item in self._changes if item[0] > index]
        return messages.ConfigurationDelta(index=current.index, changes=newer)

    def active_endpoints(
        self, service: str, region: str
    ) -> list[configuration.Endpoint]:
        """Return the endpoints of a region that may take new work."""
        return [
            endpoint
            for endpoint in self.current.endpoints.values()
            if endpoint.service == service
            and endpoint.region == region
            and self.takes_work(endpoint)
        ]

    def takes_work(self, endpoint: configuration.Endpoint) -> bool:
        """Return whether an endpoint may be given new work."""
        return (
            endpoint.state is configuration.EndpointState.ACTIVE
            and endpoint.endpoint not in self.leaving
        )
