"""An entry host's replica of the configuration, in memory."""

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
    """Hold the newest configuration that is known, and never go back."""

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
        """Take over what is newer; return whether anything was."""
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
                logger.error('change_refused', index=index, reason=error)
                return False
            self.current = changed
            self._append_change(index, change)
        self._publish_change()
        return True

    def _append_change(self, index: int, change: configuration.Change) -> None:
        """Keep a change for who has not got it.

        A table of routes replaces the one before it. Of those one is kept:
        they are by far the largest, and a host that is some changes behind
        is brought level by the last.
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
        logger.info('configuration_in_force', index=self.current.index)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        """Wake who waits for a change, or for serving to begin."""
        self.changed.set()
        self.changed = asyncio.Event()

    def start_serving(self) -> None:
        """Serve by what is held from now on."""
        self.serving = True
        self._notify_waiters()

    def suspend_serving(self) -> None:
        """Stop serving until it is known again that nothing is newer."""
        if self.refreshable:
            self.served_before = self.served_before or self.serving
            self.serving = False

    def delta_since(self, index: int) -> messages.ConfigurationDelta:
        """Return what follows ``index``, by changes where they are kept."""
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
        """Tell whether an endpoint may be given new work."""
        return (
            endpoint.state is configuration.EndpointState.ACTIVE
            and endpoint.endpoint not in self.leaving
        )
