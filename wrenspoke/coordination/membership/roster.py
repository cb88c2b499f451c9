"""Entry hosts that told of themselves, with leases."""

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import attending

logger = structlog.get_logger(__name__)


class Roster:
    """Merge what is heard of entry hosts, and number the changes."""

    def __init__(self, lease_ms: int, clock: clocks.Clock):
        self._lease_ms = lease_ms
        self._clock = clock
        self._heard: dict[ids.HostId, tuple[attending.HostRecord, int]] = {}
        self.revision = 0

    def take(self, record: attending.HostRecord) -> bool:
        """Take what is newer; return whether others should be told."""
        heard_ms = self._clock.mono_ms() - record.age_ms
        old, old_ms = self._heard.get(record.host, (None, 0))
        if old is None:
            self._put(record, heard_ms, changed=True)
            logger.info('host_found', peer=record.host, region=record.region)
            return True
        same_life = old.start == record.start
        if same_life and record.number <= old.number:
            return False
        if not same_life and heard_ms < old_ms:
            return False
        changed = (old.start, old.draining, old.callers_address) != (
            record.start,
            record.draining,
            record.callers_address,
        )
        self._put(record, heard_ms, changed)
        return changed

    def _put(
        self, record: attending.HostRecord, heard_ms: int, changed: bool
    ) -> None:
        self._heard[record.host] = (record, heard_ms)
        self.revision += changed

    def expire(self) -> bool:
        """Drop hosts whose lease has ended; return whether any was."""
        now_ms = self._clock.mono_ms()
        ended = [
            host
            for host, (_record, heard_ms) in self._heard.items()
            if now_ms - heard_ms > self._lease_ms
        ]
        for host in ended:
            del self._heard[host]
            logger.warning('host_lost', peer=host, lease_ms=self._lease_ms)
        self.revision += bool(ended)
        return bool(ended)

    def replace(self, records: list[attending.HostRecord]) -> None:
        """Take over a whole roster that another host keeps."""
        now_ms = self._clock.mono_ms()
        self._heard = {
            record.host: (record, now_ms - record.age_ms) for record in records
        }

    def records(self) -> list[attending.HostRecord]:
        """Return every host with the age of what it told."""
        now_ms = self._clock.mono_ms()
        return [
            msgspec.structs.replace(record, age_ms=max(now_ms - heard_ms, 0))
            for record, heard_ms in self._heard.values()
        ]

    def region_of(self, host: ids.HostId) -> ids.RegionId | None:
        """Return the region that a host said it is in, None if unknown."""
        found = self._heard.get(host)
        return None if found is None else found[0].region

    def usable(
        self, region: ids.RegionId | None = None
    ) -> list[attending.HostRecord]:
        """Return the hosts that take requests, of one region or all."""
        return [
            record
            for record, _heard_ms in self._heard.values()
            if not record.draining
            and (region is None or record.region == region)
        ]
