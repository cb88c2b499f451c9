"""What hosts of this region last heard of each other region.

The few that ask (see ``askers``) ping hosts elsewhere and tell the others
what they heard. Any host so knows what a region offers, and whether it is
cut off, without a message of its own to it.
"""

import dataclasses

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import messages

# Three tellings; then a host asks for itself.
VIEW_TTL_MS = 1_200


@dataclasses.dataclass(slots=True)
class RegionView:
    """Hold what a host of a region said, by this host's clock.

    ``travel_ms`` is the round trip to it.
    """

    pong: messages.Pong
    rtt_ms: float
    answered_ms: int


class RegionViews:
    """Hold what the asking hosts of this region tell of others."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._views: dict[ids.RegionId, RegionView] = {}
        # When an asking host last found that a region does not answer.
        self._unanswered_ms: dict[ids.RegionId, int] = {}

    def record_status(self, status: attending.RegionStatus) -> None:
        """Take what an asking host tells of a region."""
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
        """Return what a region last said, None if it was not of late."""
        found = self._views.get(region)
        if found is None:
            return None
        age_ms = self._clock.mono_ms() - found.answered_ms
        return found if age_ms <= VIEW_TTL_MS else None

    def is_unreachable(self, region: ids.RegionId) -> bool:
        """Tell whether a region was found silent, and answered nobody."""
        silent_ms = self._unanswered_ms.get(region)
        if silent_ms is None or self.latest_view(region) is not None:
            return False
        return self._clock.mono_ms() - silent_ms <= VIEW_TTL_MS

    def has_view(self, region: ids.RegionId) -> bool:
        """Tell whether others say how a region stands now."""
        return self.latest_view(region) is not None or self.is_unreachable(
            region
        )
