"""Retry budgets that all entry hosts share without coordination.

In any window a service may be sent as many retries as a share of its
requests, plus a fixed number, over all hosts. Each host keeps to that share
of its own requests and to its part of the fixed number. Parts are whole
retries: with more hosts than retries, some hosts have one, chosen by hashing
for each service. The parts add up to less than the bounds, as hosts may
learn late of changes in the number of hosts.
"""

import collections
import collections.abc
import math

import msgspec

from wrenspoke import clock as clocks
from wrenspoke.coordination.serving import routing
from wrenspoke import ids

# Usable share of the budget: a request and its retries may fall into
# different windows.
USABLE_SHARE = 0.7


class RetryBounds(msgspec.Struct, frozen=True):
    """Bounds on the retries that a service is sent by all hosts."""

    ratio: float = 0.1
    fixed: float = 10
    window_ms: int = 10_000


class SlidingWindow:
    """Counts the events of the last ``window_ms``."""

    def __init__(self, window_ms: int):
        self._window_ms = window_ms
        self._times_ms: collections.deque[int] = collections.deque()

    def add(self, now_ms: int) -> None:
        """Count an event."""
        self._times_ms.append(now_ms)

    def count(self, now_ms: int) -> int:
        """Return the number of events in the window that ends now."""
        while self._times_ms and (
            self._times_ms[0] <= now_ms - self._window_ms
        ):
            self._times_ms.popleft()
        return len(self._times_ms)


class SharedRetryBudget:
    """Keeps this host's part of the retry budgets, by service."""

    def __init__(
        self, host: ids.HostId, bounds: RetryBounds, clock: clocks.Clock
    ):
        self._host = host
        self._bounds = bounds
        self._clock = clock
        self._requests: dict[ids.ServiceId, SlidingWindow] = {}
        self._retries: dict[ids.ServiceId, SlidingWindow] = {}
        self._hosts: set[ids.HostId] = {host}
        self._fixed_shares: dict[ids.ServiceId, int] = {}
        self.denied = 0

    def set_hosts(self, hosts: collections.abc.Iterable[ids.HostId]) -> None:
        """Set the hosts that share the budgets; this one is always added."""
        hosts = {*hosts, self._host}
        if hosts != self._hosts:
            self._hosts = hosts
            self._fixed_shares.clear()

    def record_request(self, service: ids.ServiceId) -> None:
        """Count a request that a caller sent for a service."""
        self._window(self._requests, service).add(self._clock.mono_ms())

    def spend(self, service: ids.ServiceId) -> bool:
        """Take a retry from the budget; False if there is none left."""
        now_ms = self._clock.mono_ms()
        retries = self._window(self._retries, service)
        if retries.count(now_ms) + 1 > self._allowance(service, now_ms):
            self.denied += 1
            return False
        retries.add(now_ms)
        return True

    def _allowance(self, service: ids.ServiceId, now_ms: int) -> int:
        requests = self._window(self._requests, service).count(now_ms)
        earned = USABLE_SHARE * self._bounds.ratio * requests
        return math.floor(earned) + self._fixed_share(service)

    def _fixed_share(self, service: ids.ServiceId) -> int:
        """Return this host's part of the fixed number, in whole retries."""
        part = self._fixed_shares.get(service)
        if part is None:
            total = math.floor(USABLE_SHARE * self._bounds.fixed)
            part, remainder = divmod(total, len(self._hosts))
            order = routing.rendezvous(service, self._hosts)
            part += order.index(self._host) < remainder
            self._fixed_shares[service] = part
        return part

    def _window(
        self,
        windows: dict[ids.ServiceId, SlidingWindow],
        service: ids.ServiceId,
    ) -> SlidingWindow:
        found = windows.get(service)
        if found is None:
            found = windows[service] = SlidingWindow(self._bounds.window_ms)
        return found
