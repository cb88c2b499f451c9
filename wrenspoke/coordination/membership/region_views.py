"""Latest status of each other region.

The polling hosts of this region (see ``region_pollers``) ping hosts of
other regions and broadcast the answers. Every host thus knows what a region
offers, and whether it is reachable, without pinging it.
"""

import dataclasses

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import messages

# Three broadcasts; after that a host pings the region itself.
VIEW_TTL_MS = 1_200


@dataclasses.dataclass(slots=True)
class RegionView:
    """The last answer of a region's host, on this host's clock.

    ``rtt_ms`` is the round-trip time to the host.
    """

    pong: messages.Pong
    rtt_ms: float
    answered_ms: int


class RegionViews:
    """Holds the status of other regions, as broadcast by polling hosts."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._views: dict[ids.RegionId, RegionView] = {}
        # When a polling host last found a region unreachable.
        self._unanswered_ms: dict[ids.RegionId, int] = {}

    def record_status(self, status: discovery_messages.RegionStatus) -> None:
        """Store the status of a region from a polling host."""
        now_ms = self._clock.mono_ms()
        if status.said is None:
            self._unanswered_ms[status.region] = now_ms
            return
        answered_ms = now_ms - status.age_ms
        old = self._views.get(status.region)
        if old is None or answered_ms >= old.answered_ms:
            self._views[status.region] = RegionView(
                status.said, status.travel_ms, answered_ms
            )

    def latest_view(self, region: ids.RegionId) -> RegionView | None:
        """Return the last answer of a region, None if it is too old."""
        found = self._views.get(region)
        if found is None:
            return None
        age_ms = self._clock.mono_ms() - found.answered_ms
        return found if age_ms <= VIEW_TTL_MS else None

    def is_unreachable(self, region: ids.RegionId) -> bool:
        """Return whether no polling host gets an answer from a region."""
        silent_ms = self._unanswered_ms.get(region)
        if silent_ms is None or self.latest_view(region) is not None:
            return False
        return self._clock.mono_ms() - silent_ms <= VIEW_TTL_MS

    def has_view(self, region: ids.RegionId) -> bool:
        """Return whether the current status of a region is known."""
        return self.latest_view(region) is not None or self.is_unreachable(
            region
        )
