"""Durable state of a voter: its identity and vote, snapshot and log.

Writes are synced before the call returns, so that acknowledged data
survives a crash. The directory holds three files: ``meta`` and
``snapshot``, which are replaced atomically, and ``log``, which is appended
to. A fourth, ``committed``, speeds up a restart and may be lost.
"""

import itertools
import typing

import msgspec
import structlog

from wrenspoke import ids
from wrenspoke.state import disk
from wrenspoke.state import electorates
from wrenspoke.state import entries
from wrenspoke.state import errors
from wrenspoke.state import records
from wrenspoke.state import snapshots

logger = structlog.get_logger(__name__)

META = 'meta'
SNAPSHOT = 'snapshot'
LOG = 'log'
COMMITTED = 'committed'
# Begins a record of several entries; no encoded value begins with it.
MULTI_ENTRY_MARKER = b'\xc1'
Snapshot = snapshots.Snapshot


class Meta(msgspec.Struct):
    """Identity and vote of a voter.

    ``boot`` counts the starts of this incarnation. ``boots`` holds the
    highest boot number seen of each other incarnation, to detect a disk
    restored from an old copy.
    """

    incarnation: ids.Incarnation
    boot: int = 0
    term: int = 0
    voted_for: ids.HostId | None = None
    boots: dict[ids.Incarnation, tuple[int, str]] = {}


class Storage:
    """Durable storage of one voter."""

    def __init__(self, opened: disk.Disk):
        self._disk = opened
        self._entries: list[entries.LogEntry] = []
        self._end_offsets: list[int] = []
        self.meta = self._read_meta()
        self._synced_meta = msgspec.msgpack.encode(self.meta)
        self.snapshot = self._read_snapshot()
        self._read_log()
        self._index_electorates()

    def check(self) -> None:
        """Raise an error if the disk has failed.

        :raises DiskError: a write or sync failed before
        """
        self._disk.check()

    def _read_meta(self) -> Meta:
        body = self._read_single_record(META)
        if body is not None:
            return msgspec.msgpack.decode(body, type=Meta)
        if self._disk.read(LOG) or self._disk.read(SNAPSHOT):
            raise errors.CorruptLogError(
                META, 0, 'missing, but a log or snapshot exists'
            )
        meta = Meta(ids.Incarnation(ids.new_random_id()))
        logger.info('new_disk', incarnation=meta.incarnation)
        return meta

    def _read_snapshot(self) -> Snapshot:
        body = self._read_single_record(SNAPSHOT)
        if body is None:
            return Snapshot()
        return msgspec.msgpack.decode(body, type=Snapshot)

    def _read_single_record(self, name: str) -> bytes | None:
        data = self._disk.read(name)
        if data is None:
            return None
        found, _size = records.decode(name, data)
        if len(found) != 1 or found[0].end != len(data):
            raise errors.CorruptLogError(
                name, 0, 'expected exactly one valid record'
            )
        return found[0].body

    def _read_log(self) -> None:
        data = self._disk.read(LOG) or b''
        found, size_bytes = records.decode(LOG, data)
        if size_bytes < len(data):
            logger.warning(
                'torn_tail', file=LOG, offset_bytes=size_bytes,
                dropped_bytes=len(data) - size_bytes,
            )  # fmt: skip
            self._disk.truncate(LOG, size_bytes)
        for record in found:
            for entry in _decode_entries(record.body):
                self._load_entry(entry, record)

    def _load_entry(
        self, entry: entries.LogEntry, record: records.Record
    ) -> None:
        if not self._entries and (
            entry.index <= self.snapshot.index
            or entry.term < self.snapshot.term
        ):
            # Written before the snapshot, which covers or contradicts it.
            self._end_offsets = [record.end]
            return
        if entry.index != self.last_index + 1:
            raise errors.CorruptLogError(
                LOG,
                record.start,
                f'entry {entry.index} follows entry {self.last_index}',
            )
        self._entries.append(entry)
        self._end_offsets.append(record.end)

    @property
    def first_index(self) -> int:
        """Return the index that follows the snapshot."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Return the highest index that is synced to this disk."""
        if self._entries:
            return self._entries[-1].index
        return self.snapshot.index

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the snapshot."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot.term

    @property
    def log_bytes(self) -> int:
        """Return the size of the log file in bytes."""
        return self._end_offsets[-1] if self._end_offsets else 0

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if it is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        entry = self.entry(index)
        return None if entry is None else entry.term

    def entry(self, index: int) -> entries.LogEntry | None:
        """Return the entry at an index, or None if it is not in the log."""
        place = index - self.first_index
        if 0 <= place < len(self._entries):
            return self._entries[place]
        return None

    def entries_from(self, index: int, limit: int) -> list:
        """Return up to ``limit`` entries, starting at an index."""
        place = index - self.first_index
        return self._entries[place : place + limit]

    def electorate(self) -> electorates.Electorate:
        """Return the electorate of the last entry, committed or not."""
        return self.electorate_at(self.last_index)

    def electorate_at(self, index: int) -> electorates.Electorate:
        """Return the electorate in force at an index."""
        for changed, found in reversed(self._electorates):
            if changed <= index:
                return found
        return self.snapshot.electorate

    def _index_electorates(self) -> None:
        """Index the entries that change the electorate.

        The electorate is read on every heartbeat, and the log may hold
        hundreds of entries.
        """
        self._electorates = [
            (entry.index, entry.entry.electorate)
            for entry in self._entries
            if isinstance(entry.entry, entries.SetVoters)
        ]

    def append(self, added: typing.Sequence[entries.LogEntry]) -> None:
        """Append entries after the last one and sync them.

        The entries form one record, which is valid or invalid as a whole
        after a power loss. With several records a later one could survive
        without an earlier one, which looks like corruption of synced data.
        """
        body = _encode_entries(added)
        if len(body) > records.RECORD_LIMIT_BYTES and len(added) > 1:
            half = len(added) // 2
            self.append(added[:half])
            self.append(added[half:])
            return
        record = records.encode(body)
        self._disk.append(LOG, record)
        end = self.log_bytes + len(record)
        self._entries.extend(added)
        self._end_offsets.extend([end] * len(added))
        if any(isinstance(new.entry, entries.SetVoters) for new in added):
            self._index_electorates()

    def truncate_from(self, index: int) -> None:
        """Drop the uncommitted entries from an index on."""
        place = index - self.first_index
        if place >= len(self._entries):
            return
        skipped = len(self._end_offsets) - len(self._entries)
        keep = place + skipped
        size_bytes = self._end_offsets[keep - 1] if keep else 0
        if size_bytes == self._end_offsets[keep]:
            # The entry before ``index`` and the first dropped one share a
            # record, so the file can't be truncated between them.
            self._rewrite_log(self._entries[:place])
            return
        self._disk.truncate(LOG, size_bytes)
        del self._entries[place:]
        del self._end_offsets[keep:]
        self._index_electorates()

    def save_meta(self) -> None:
        """Write and sync ``meta``.

        :raises DiskFullError: ``meta`` is reset to its last synced value
        """
        body = msgspec.msgpack.encode(self.meta)
        try:
            self._disk.replace(META, records.encode(body))
        except errors.DiskFullError:
            self.meta = msgspec.msgpack.decode(self._synced_meta, type=Meta)
            raise
        self._synced_meta = body

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot, then drop the entries that it covers.

        If the disk becomes full in between, they stay in the log's file, and
        a later snapshot drops them.

        :raises DiskFullError: the snapshot was not written
        """
        body = msgspec.msgpack.encode(snapshot)
        self._disk.replace(SNAPSHOT, records.encode(body))
        rest = []
        if self.term_at(snapshot.index) == snapshot.term:
            rest = [
                entry
                for entry in self._entries
                if entry.index > snapshot.index
            ]
        self._drop_covered(snapshot, rest)
        try:
            self._rewrite_log(rest)
        except errors.DiskFullError as error:
            logger.warning(
                'log_not_compacted', index=snapshot.index, reason=str(error)
            )

    def _drop_covered(
        self, snapshot: Snapshot, rest: list[entries.LogEntry]
    ) -> None:
        """Apply a snapshot in memory, with the same result as a restart."""
        covered = len(self._end_offsets) - len(rest)
        if covered > 1:
            # The end of the last entry that was dropped.
            del self._end_offsets[: covered - 1]
        self.snapshot = snapshot
        self._entries = rest
        self._index_electorates()

    def _rewrite_log(self, kept: list[entries.LogEntry]) -> None:
        """Replace the log atomically with the given entries."""
        encoded = [records.encode(_encode_entries([entry])) for entry in kept]
        self._disk.replace(LOG, b''.join(encoded))
        self._entries = kept
        self._end_offsets = list(itertools.accumulate(map(len, encoded)))
        self._index_electorates()

    def save_committed(self, index: int) -> None:
        """Write the commit index without syncing it."""
        noted = (self.meta.incarnation, index)
        body = msgspec.msgpack.encode(noted)
        self._disk.write_unsynced(COMMITTED, records.encode(body))

    def read_committed(self) -> int:
        """Return an index up to which entries are known to be committed."""
        least = self.snapshot.index
        if self._entries:
            told = max(entry.committed for entry in self._entries)
            least = max(least, min(told, self.last_index))
        found, _size = records.decode(
            COMMITTED, self._disk.read(COMMITTED) or b''
        )
        if not found:
            return least
        incarnation, index = msgspec.msgpack.decode(found[0].body)
        if incarnation != self.meta.incarnation:
            return least
        return max(least, min(index, self.last_index))

    def reset_identity(self) -> None:
        """Start over as a new incarnation with an empty log."""
        # The new name goes first: a log under a name that never voted
        # claims nothing, while an old name without its log would.
        self.meta = Meta(ids.Incarnation(ids.new_random_id()))
        self.save_meta()
        self._disk.remove(LOG)
        self._disk.remove(SNAPSHOT)
        self.snapshot = Snapshot()
        self._entries = []
        self._index_electorates()
        self._end_offsets = []


def _encode_entries(added: typing.Sequence[entries.LogEntry]) -> bytes:
    """Return the body of a record with the given entries."""
    if len(added) == 1:
        return msgspec.msgpack.encode(added[0])
    return MULTI_ENTRY_MARKER + msgspec.msgpack.encode(added)


def _decode_entries(body: bytes) -> list[entries.LogEntry]:
    """Return the entries in the body of a record."""
    if not body.startswith(MULTI_ENTRY_MARKER):
        return [msgspec.msgpack.decode(body, type=entries.LogEntry)]
    return msgspec.msgpack.decode(
        body[len(MULTI_ENTRY_MARKER) :], type=list[entries.LogEntry]
    )
