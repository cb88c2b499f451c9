"""Roster of entry hosts, with leases and numbered changes.

A control host receives records from the hosts themselves and from other
control hosts. An entry host receives only the changes, so that a host that
joins or leaves costs each other host one record.
"""

import collections.abc
import dataclasses
import zlib

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke.state import locations

logger = structlog.get_logger(__name__)

# Hosts request changes several times a second. One that lags by more than
# this is sent the whole roster.
TOMBSTONE_TTL_MS = 60_000


@dataclasses.dataclass(slots=True)
class HostEntry:
    """The last record of a host, and when it was received.

    ``relayed_by`` is the control host that sent it, None if it was received
    from the host itself.
    """

    record: discovery_messages.HostRecord
    reported_ms: int
    revision: int
    relayed_by: ids.HostId | None = None


class Roster:
    """Merges the records of entry hosts, and numbers the changes."""

    def __init__(
        self,
        lease_ms: int,
        clock: clocks.Clock,
        relayed_lease_ms: int | None = None,
    ):
        self._lease_ms = lease_ms
        self._relayed_lease_ms = relayed_lease_ms or lease_ms
        self._clock = clock
        self._entries: dict[ids.HostId, HostEntry] = {}
        # Revision and time of the removal of each host.
        self._tombstones: dict[ids.HostId, tuple[int, int]] = {}
        self._compacted_revision = 0
        self._usable: dict[
            ids.RegionId | None, list[discovery_messages.HostRecord]
        ] = {}
        self.revision = 0

    def merge_record(
        self,
        record: discovery_messages.HostRecord,
        relayed_by: ids.HostId | None = None,
    ) -> bool:
        """Merge a newer record; return whether it should be replicated."""
        reported_ms = self._clock.mono_ms() - record.age_ms
        old = self._entries.get(record.host)
        if old is None:
            self._store_record(record, reported_ms, relayed_by)
            logger.info('host_found', peer=record.host, region=record.region)
            return True
        same_life = old.record.start == record.start
        if same_life and record.number <= old.record.number:
            return False
        if not same_life and reported_ms < old.reported_ms:
            return False
        if _differs(old.record, record):
            self._store_record(record, reported_ms, relayed_by)
            return True
        old.record = record
        old.reported_ms = reported_ms
        old.relayed_by = relayed_by
        return False

    def renew(
        self, renewal: discovery_messages.Renewal, relayed_by: ids.HostId
    ) -> bool:
        """Apply a renewal; return False if its host instance is unknown."""
        old = self._entries.get(ids.HostId(renewal.name))
        if old is None or instance_checksum(old.record) != renewal.life:
            return False
        if renewal.number > old.record.number:
            old.record = msgspec.structs.replace(
                old.record, number=renewal.number
            )
            old.reported_ms = self._clock.mono_ms() - renewal.age_ms
            old.relayed_by = relayed_by
        return True

    def _store_record(
        self,
        record: discovery_messages.HostRecord,
        reported_ms: int,
        relayed_by: ids.HostId | None,
    ) -> None:
        self._next_revision()
        self._tombstones.pop(record.host, None)
        self._entries[record.host] = HostEntry(
            record, reported_ms, self.revision, relayed_by
        )

    def _next_revision(self) -> None:
        self.revision += 1
        self._usable.clear()

    def remove_host(self, host: ids.HostId) -> None:
        """Remove a host, leaving a tombstone."""
        if self._entries.pop(host, None) is None:
            return
        self._next_revision()
        self._tombstones[host] = (self.revision, self._clock.mono_ms())

    def expire(self) -> bool:
        """Remove hosts whose lease has expired; return whether any was."""
        now_ms = self._clock.mono_ms()
        ended = [
            host
            for host, known in self._entries.items()
            if now_ms - known.reported_ms > self._lease_of(known)
        ]
        for host in ended:
            self._expire_host(host)
        self._prune_tombstones(now_ms)
        return bool(ended)

    def _lease_of(self, known: HostEntry) -> int:
        return self._relayed_lease_ms if known.relayed_by else self._lease_ms

    def _expire_host(self, host: ids.HostId) -> None:
        self.remove_host(host)
        logger.warning('host_lost', peer=host)

    def expire_reported(self, host: ids.HostId) -> None:
        """Remove a host that was reported lost, unless renewed since."""
        known = self._entries.get(host)
        if known is None:
            return
        if self._clock.mono_ms() - known.reported_ms > self._lease_ms:
            self._expire_host(host)

    def _prune_tombstones(self, now_ms: int) -> None:
        for host, (revision, lost_ms) in list(self._tombstones.items()):
            if now_ms - lost_ms <= TOMBSTONE_TTL_MS:
                continue
            del self._tombstones[host]
            self._compacted_revision = max(self._compacted_revision, revision)

    def changes_since(self, revision: int) -> discovery_messages.HostChanges:
        """Return the changes after a revision, everything after 0."""
        whole = revision == 0 or revision < self._compacted_revision
        if whole:
            return discovery_messages.HostChanges(
                self.records(), [], whole=True
            )
        found = [
            self._with_age(known)
            for known in self._entries.values()
            if known.revision > revision
        ]
        lost = [
            host
            for host, (at_revision, _lost_ms) in self._tombstones.items()
            if at_revision > revision
        ]
        return discovery_messages.HostChanges(found, lost)

    def _with_age(self, known: HostEntry) -> discovery_messages.HostRecord:
        age_ms = max(self._clock.mono_ms() - known.reported_ms, 0)
        return msgspec.structs.replace(known.record, age_ms=age_ms)

    def records(self) -> list[discovery_messages.HostRecord]:
        """Return the record of every host, with its age."""
        return [self._with_age(known) for known in self._entries.values()]

    def hosts(self) -> collections.abc.Set[ids.HostId]:
        """Return the names of all hosts, draining ones included."""
        return self._entries.keys()

    def entries(self) -> collections.abc.Collection[HostEntry]:
        """Return every entry, with its receive time and source."""
        return self._entries.values()

    def record(self, host: ids.HostId) -> discovery_messages.HostRecord | None:
        """Return the last record of a host, None if unknown."""
        known = self._entries.get(host)
        return None if known is None else known.record

    def region_of(self, host: ids.HostId) -> ids.RegionId | None:
        """Return the region of a host, None if unknown."""
        record = self.record(host)
        return None if record is None else record.region

    def location_of(self, host: ids.HostId) -> locations.Location | None:
        """Return the location of a host, None if unknown."""
        record = self.record(host)
        if record is None:
            return None
        return locations.Location(record.region, record.data_centre)

    def usable(
        self, region: ids.RegionId | None = None
    ) -> list[discovery_messages.HostRecord]:
        """Return the hosts that accept requests, of one region or all.

        The list is cached until the roster changes, as it is needed for
        every call; callers must not modify it.
        """
        found = self._usable.get(region)
        if found is None:
            found = self._usable[region] = [
                known.record
                for known in self._entries.values()
                if not known.record.draining
                and region in (None, known.record.region)
            ]
        return found


def instance_checksum(record: discovery_messages.HostRecord) -> int:
    """Return a short checksum that identifies a host instance."""
    return zlib.crc32(record.start.encode())


def _differs(
    old: discovery_messages.HostRecord, new: discovery_messages.HostRecord
) -> bool:
    return (old.start, old.draining, old.callers_address) != (
        new.start,
        new.draining,
        new.callers_address,
    )
