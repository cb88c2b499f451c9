"""Counters of the traffic to other hosts, by message kind and distance.

Traffic between data centres and regions is billed, and some of it grows with
the number of hosts. The totals are logged on shutdown, and periodically as
well, since a host that loses power does not shut down.
"""

import collections.abc
import enum

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.state import locations

logger = structlog.get_logger(__name__)

UNREADABLE = 'unreadable'
# A host that loses power loses the counts of at most this time.
LOG_INTERVAL_MS = 30_000


class Distance(enum.Enum):
    """Network distance between the sender and receiver of a message."""

    DATA_CENTRE = 'data_centre'
    REGION = 'region'
    BETWEEN_REGIONS = 'between_regions'
    UNKNOWN = 'unknown'


class SentTotals(msgspec.Struct):
    """Number of messages and of their bytes, without transport framing."""

    messages: int = 0
    bytes: int = 0


class _Tagged(msgspec.Struct):
    type: str = UNREADABLE


LocationLookup = collections.abc.Callable[
    [ids.HostId], locations.Location | None
]


class TrafficCounter:
    """Counts the messages that this host sends."""

    def __init__(self, own: locations.Location, clock: clocks.Clock):
        self._own_location = own
        self._clock = clock
        self._counting_since_ms = clock.mono_ms()
        self._host_instance_id = ids.new_random_id()
        self._location_of: LocationLookup = _unknown_location
        self._decoder = msgspec.msgpack.Decoder(_Tagged)
        self.sent: dict[tuple[str, Distance], SentTotals] = {}

    def set_location_lookup(self, lookup: LocationLookup) -> None:
        """Set the function that returns the location of a host."""
        self._location_of = lookup

    def count_message(
        self, host: ids.HostId, body: bytes, size_bytes: int
    ) -> None:
        """Count an encoded message to a host, by the kind in its tag."""
        try:
            kind = self._decoder.decode(body).type
        except msgspec.DecodeError:
            kind = UNREADABLE
        self.count_bytes(kind, self._location_of(host), size_bytes)

    def count_bytes(
        self, kind: str, location: locations.Location | None, size_bytes: int
    ) -> None:
        """Count a message to a location, None if that is unknown."""
        key = (kind, self._distance(location))
        totals = self.sent.get(key)
        if totals is None:
            totals = self.sent[key] = SentTotals()
        totals.messages += 1
        totals.bytes += size_bytes

    def _distance(self, location: locations.Location | None) -> Distance:
        if location is None:
            return Distance.UNKNOWN
        if location.region != self._own_location.region:
            return Distance.BETWEEN_REGIONS
        if location.data_centre != self._own_location.data_centre:
            return Distance.REGION
        return Distance.DATA_CENTRE

    async def log_periodically(self, role: str) -> None:
        """Log the totals periodically, until cancelled."""
        while True:
            await self._clock.sleep_ms(LOG_INTERVAL_MS)
            self.log(role)

    def log(self, role: str) -> None:
        """Log the totals of each kind and distance."""
        lived_ms = self._clock.mono_ms() - self._counting_since_ms
        for (kind, distance), totals in sorted(
            self.sent.items(), key=lambda item: -item[1].bytes
        ):
            logger.info(
                'traffic',
                role=role,
                life=self._host_instance_id,
                kind=kind,
                distance=distance,
                messages=totals.messages,
                bytes=totals.bytes,
                lived_ms=lived_ms,
            )


def _unknown_location(_host: ids.HostId) -> locations.Location | None:
    return None
