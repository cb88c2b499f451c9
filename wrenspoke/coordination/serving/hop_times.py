"""Time that a hop to another region takes beside the link's round trip.

A host that receives a forwarded call reports how long it held the call; the
rest of the time until its response is that of the hop. A ping's round trip
is known for each region, so what is learned is the difference: opening a
connection, sending the body, and the work of both hosts.
"""

import dataclasses

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import host_pinger
from wrenspoke.coordination.membership import region_views
from wrenspoke import ids

# Overhead of a hop to a region without recent hops.
DEFAULT_OVERHEAD_MS = 6.0
SAMPLE_WEIGHT = 0.1
# One stalled hop must not make a region look distant.
SAMPLE_LIMIT_MS = 500.0
# An overhead that keeps calls away is not measured any more, so it fades.
HALF_LIFE_MS = 10_000


@dataclasses.dataclass(slots=True)
class _Learned:
    overhead_ms: float
    at_ms: int


class HopTimes:
    """Learns the overhead of hops to each region."""

    def __init__(
        self,
        pinger: host_pinger.HostPinger,
        region_statuses: region_views.RegionViews,
        clock: clocks.Clock,
    ):
        self._pinger = pinger
        self._views = region_statuses
        self._clock = clock
        self._learned: dict[ids.RegionId, _Learned] = {}

    def record(
        self, host: ids.HostId, region: ids.RegionId, hop_ms: float
    ) -> None:
        """Record the time of a hop to a host and back."""
        rtt_ms = self._rtt_ms(host, region)
        if rtt_ms is None:
            return
        sample_ms = min(max(hop_ms - rtt_ms, 0.0), SAMPLE_LIMIT_MS)
        known_ms = self.overhead_ms(region)
        self._learned[region] = _Learned(
            known_ms + SAMPLE_WEIGHT * (sample_ms - known_ms),
            self._clock.mono_ms(),
        )

    def overhead_ms(self, region: ids.RegionId) -> float:
        """Return the time of a hop to a region beyond a ping's round trip."""
        found = self._learned.get(region)
        if found is None:
            return DEFAULT_OVERHEAD_MS
        age_ms = self._clock.mono_ms() - found.at_ms
        fade = 0.5 ** (age_ms / HALF_LIFE_MS)
        beyond_ms = found.overhead_ms - DEFAULT_OVERHEAD_MS
        return DEFAULT_OVERHEAD_MS + beyond_ms * fade

    def _rtt_ms(self, host: ids.HostId, region: ids.RegionId) -> float | None:
        remote = self._pinger.state_of(host)
        if remote is not None and remote.rtt_ms is not None:
            return remote.rtt_ms
        view = self._views.latest_view(region)
        return None if view is None else view.rtt_ms
