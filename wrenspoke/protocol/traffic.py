"""What a host sends to other hosts, counted by kind and by how far it goes.

Bytes between data centres and regions are paid for, and what grows with
the number of hosts shows here first. Counting is a few dictionary entries
a host. What was counted so far is written as it stops, and now and then
before, as a host that loses power writes no last line.
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
# Some twenty lines each time, for a table that misses the last half minute
# of a host that loses power.
LOG_INTERVAL_MS = 30_000


class Distance(enum.Enum):
    """Say how far a message goes."""

    DATA_CENTRE = 'data_centre'
    REGION = 'region'
    BETWEEN_REGIONS = 'between_regions'
    UNKNOWN = 'unknown'


class Sent(msgspec.Struct):
    """Count messages and their bytes on the wire, without framing below."""

    messages: int = 0
    bytes: int = 0


class _Tagged(msgspec.Struct):
    type: str = UNREADABLE


Places = collections.abc.Callable[[ids.HostId], locations.Location | None]


class Traffic:
    """Count what this host sends."""

    def __init__(self, own: locations.Location, clock: clocks.Clock):
        self._own = own
        self._clock = clock
        self._began_ms = clock.mono_ms()
        self._life = ids.new_random_id()
        self._place_of: Places = _unknown_place
        self._decoder = msgspec.msgpack.Decoder(_Tagged)
        self.sent: dict[tuple[str, Distance], Sent] = {}

    def tell_places(self, place_of: Places) -> None:
        """Say how it is known where other hosts stand."""
        self._place_of = place_of

    def note_message(
        self, host: ids.HostId, body: bytes, size_bytes: int
    ) -> None:
        """Count a message on a link; its kind is read from it."""
        try:
            kind = self._decoder.decode(body).type
        except msgspec.DecodeError:
            kind = UNREADABLE
        self.note(kind, self._place_of(host), size_bytes)

    def note(
        self, kind: str, place: locations.Location | None, size_bytes: int
    ) -> None:
        """Count something that was sent to a place."""
        key = (kind, self._distance(place))
        found = self.sent.get(key)
        if found is None:
            found = self.sent[key] = Sent()
        found.messages += 1
        found.bytes += size_bytes

    def _distance(self, place: locations.Location | None) -> Distance:
        if place is None:
            return Distance.UNKNOWN
        if place.region != self._own.region:
            return Distance.BETWEEN_REGIONS
        if place.data_centre != self._own.data_centre:
            return Distance.REGION
        return Distance.DATA_CENTRE

    async def keep_logging(self, role: str) -> None:
        """Write what was counted so far, again and again."""
        while True:
            await self._clock.sleep_ms(LOG_INTERVAL_MS)
            self.log(role)

    def log(self, role: str) -> None:
        """Write a line for each kind and distance."""
        lived_ms = self._clock.mono_ms() - self._began_ms
        for (kind, distance), found in sorted(
            self.sent.items(), key=lambda item: -item[1].bytes
        ):
            logger.info(
                'traffic',
                role=role,
                life=self._life,
                kind=kind,
                distance=distance,
                messages=found.messages,
                bytes=found.bytes,
                lived_ms=lived_ms,
            )


def _unknown_place(_host: ids.HostId) -> locations.Location | None:
    return None
