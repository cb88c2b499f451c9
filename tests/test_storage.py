"""Log, snapshots and meta survive crashes; corruption is detected."""

import errno

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from wrenspoke import ids
from wrenspoke.state import disk
from wrenspoke.state import entries
from wrenspoke.state import errors
from wrenspoke.state import records
from wrenspoke.state import storage


class FakeDisk:
    """In-memory disk that can crash in the middle of a write."""

    def __init__(self):
        self.files = {}
        self.crash_after = None
        self.crash_hole = 0
        self.failing = False

    def check(self):
        if self.failing:
            raise errors.DiskError('failed before')

    def read(self, name):
        return self.files.get(name)

    def _write(self, name, old, new):
        """Write, or crash and leave a partial write after the old content.

        Blocks of a write reach the disk in any order, so the beginning may
        be missing where later bytes are present.
        """
        if self.crash_after is not None:
            if new.startswith(old):
                part = new[len(old) : len(old) + self.crash_after]
                hole = part[: self.crash_hole]
                self.files[name] = old + bytes(len(hole)) + part[len(hole) :]
            self.crash_after = None
            raise Crash
        self.files[name] = new

    def append(self, name, data):
        old = self.files.get(name, b'')
        self._write(name, old, old + data)

    def truncate(self, name, size_bytes):
        self.files[name] = self.files[name][:size_bytes]

    def replace(self, name, data):
        if self.crash_after is not None:
            self.crash_after = None
            raise Crash
        self.files[name] = data

    def remove(self, name):
        self.files.pop(name, None)


class Crash(Exception):
    """Simulated crash of the process."""


def entry(index, term=1):
    """Return a log entry that contains its index and term."""
    return entries.LogEntry(
        index, term, entries.LeaderStart(ids.HostId(f'h{index}-{term}'))
    )


class StorageMachine(stateful.RuleBasedStateMachine):
    """Compares storage with a list as the model, across crashes."""

    def __init__(self):
        super().__init__()
        self.disk = FakeDisk()
        self.kept = storage.Storage(self.disk)
        self.kept.save_meta()
        self.model = []
        self.base = 0
        self.term = 1
        self.meta_term = 0

    def reopen(self):
        self.kept = storage.Storage(self.disk)

    @stateful.rule(count=strategies.integers(1, 4))
    def append(self, count):
        first = self.kept.last_index + 1
        added = [entry(first + step, self.term) for step in range(count)]
        self.kept.append(added)
        self.model += added

    @stateful.rule(
        count=strategies.integers(1, 3),
        part=strategies.integers(0, 120),
        hole=strategies.integers(0, 60),
    )
    def crash_in_append(self, count, part, hole):
        first = self.kept.last_index + 1
        added = [entry(first + step, self.term) for step in range(count)]
        self.disk.crash_after = part
        self.disk.crash_hole = hole
        with pytest.raises(Crash):
            self.kept.append(added)
        self.reopen()
        # A prefix of the unacknowledged entries may have survived.
        extra = self.kept.last_index - (first - 1)
        assert 0 <= extra <= count
        self.model += added[:extra]

    @stateful.rule(back=strategies.integers(0, 3))
    def truncate(self, back):
        index = max(self.base + 1, self.kept.last_index + 1 - back)
        self.kept.truncate_from(index)
        self.model = [one for one in self.model if one.index < index]
        self.term += 1

    @stateful.precondition(lambda self: self.model)
    @stateful.rule(crash=strategies.booleans(), data=strategies.data())
    def snapshot(self, crash, data):
        index = data.draw(
            strategies.integers(self.base + 1, self.kept.last_index)
            if self.kept.last_index > self.base
            else strategies.just(self.base)
        )
        if index <= self.base:
            return
        taken = storage.Snapshot(index, self.kept.term_at(index), {}, b'state')
        if crash:
            self.disk.crash_after = 0
            with pytest.raises(Crash):
                self.kept.save_snapshot(taken)
            self.reopen()
            return
        self.kept.save_snapshot(taken)
        self.base = index
        self.model = [one for one in self.model if one.index > index]

    @stateful.precondition(lambda self: self.model)
    @stateful.rule()
    def snapshot_then_crash_before_the_log_is_cut(self):
        index = self.kept.last_index
        taken = storage.Snapshot(index, self.kept.term_at(index), {}, b'state')
        log = self.disk.files.get(storage.LOG)
        self.kept.save_snapshot(taken)
        self.disk.files[storage.LOG] = log
        self.reopen()
        self.base = index
        self.model = []

    @stateful.rule()
    def vote(self):
        self.meta_term += 1
        self.kept.meta.term = self.meta_term
        self.kept.save_meta()

    @stateful.rule()
    def restart(self):
        self.reopen()

    @stateful.invariant()
    def holds_what_was_acknowledged(self):
        assert self.kept.snapshot.index == self.base
        found = self.kept.entries_from(self.base + 1, 10_000)
        assert found == self.model
        assert self.kept.meta.term == self.meta_term
        last = self.model[-1].index if self.model else self.base
        assert self.kept.last_index == last


StorageMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestStorage = StorageMachine.TestCase


@hypothesis.settings(derandomize=True, max_examples=100)
@hypothesis.given(
    bodies=strategies.lists(strategies.binary(min_size=1), max_size=5),
    cut=strategies.integers(0, 40),
)
def test_torn_end_is_left_out(bodies, cut):
    data = b''.join(records.encode(body) for body in bodies)
    torn = data[: max(0, len(data) - cut)]
    found, size = records.decode('log', torn)
    assert [one.body for one in found] == bodies[: len(found)]
    assert size <= len(torn)


@pytest.mark.parametrize('damaged', [0, 1, 2])
def test_damage_in_the_middle_is_reported_with_offset(damaged):
    encoded = [records.encode(b'record %d' % n) for n in range(4)]
    data = bytearray(b''.join(encoded))
    offset = len(encoded[0]) * damaged
    data[offset + records.HEADER.size] ^= 1
    with pytest.raises(errors.CorruptLogError) as caught:
        records.decode('log', bytes(data))
    assert (caught.value.file, caught.value.offset_bytes) == ('log', offset)


def test_failed_sync_stops_the_voter(tmp_path, monkeypatch):
    opened = disk.Disk(tmp_path / 'data')
    opened.append('log', b'first')

    def fail(_number):
        raise OSError(5, 'Input/output error')

    monkeypatch.setattr('os.fsync', fail)
    with pytest.raises(errors.DiskError):
        opened.append('log', b'second')
    monkeypatch.undo()
    # The disk works again, but its content is undefined after the failure.
    with pytest.raises(errors.DiskError):
        opened.append('log', b'third')
    with pytest.raises(errors.DiskError):
        opened.check()


@pytest.mark.parametrize('call', ['append', 'replace'])
@pytest.mark.parametrize('before', [None, b'old'])
def test_full_disk_changes_nothing(tmp_path, monkeypatch, call, before):
    opened = disk.Disk(tmp_path / 'data')
    if before is not None:
        opened.replace('file', before)

    def fail(_number):
        raise OSError(errno.ENOSPC, 'No space left on device')

    monkeypatch.setattr('os.fsync', fail)
    with pytest.raises(errors.DiskFullError):
        getattr(opened, call)('file', b'new')
    monkeypatch.undo()
    assert opened.read('file') == before
    assert [path.name for path in (tmp_path / 'data').iterdir()] == (
        ['file'] if before else []
    )
    opened.check()
    getattr(opened, call)('file', b'new')
    kept = before or b'' if call == 'append' else b''
    assert opened.read('file') == kept + b'new'


def test_full_disk_keeps_previous_vote(tmp_path, monkeypatch):
    kept = storage.Storage(disk.Disk(tmp_path / 'data'))
    kept.meta.term = 3
    kept.save_meta()

    def fail(_number):
        raise OSError(errno.ENOSPC, 'No space left on device')

    monkeypatch.setattr('os.fsync', fail)
    kept.meta.term = 4
    kept.meta.voted_for = 'x'
    with pytest.raises(errors.DiskFullError):
        kept.save_meta()
    assert (kept.meta.term, kept.meta.voted_for) == (3, None)


class FillingDisk(FakeDisk):
    """Disk without room for one of the next replacements of files."""

    def __init__(self):
        super().__init__()
        self.full_at = None

    def replace(self, name, data):
        if self.full_at is not None:
            self.full_at -= 1
            if self.full_at < 0:
                self.full_at = None
                raise errors.DiskFullError(name)
        super().replace(name, data)


def view(kept):
    """Return what a voter sees of a storage."""
    indexes = range(kept.last_index + 3)
    return (
        kept.snapshot,
        kept.first_index,
        kept.last_index,
        kept.last_term,
        [kept.entry(index) for index in indexes],
        [kept.term_at(index) for index in indexes],
    )


SNAPSHOTS = {
    'of its own': storage.Snapshot(3, 1),
    'of the whole log': storage.Snapshot(6, 1),
    'beyond the log': storage.Snapshot(9, 2),
    'of another log': storage.Snapshot(3, 2),
}


@pytest.mark.parametrize('full_at', [0, 1], ids=['snapshot', 'log'])
@pytest.mark.parametrize('name', SNAPSHOTS)
@pytest.mark.parametrize('records_count', [1, 2, 6])
def test_disk_that_fills_in_a_snapshot_agrees_with_memory(
    name, full_at, records_count
):
    """Guards against entries of other indexes than those asked for."""
    filling = FillingDisk()
    kept = storage.Storage(filling)
    kept.save_meta()
    size = 6 // records_count
    for first in range(1, 7, size):
        kept.append([entry(first + step) for step in range(size)])
    before = view(kept)
    filling.full_at = full_at
    if full_at == 0:
        with pytest.raises(errors.DiskFullError):
            kept.save_snapshot(SNAPSHOTS[name])
        assert view(kept) == before
    else:
        kept.save_snapshot(SNAPSHOTS[name])
        assert kept.snapshot == SNAPSHOTS[name]
    assert view(storage.Storage(filling)) == view(kept)
    last = kept.last_index
    kept.append([entry(last + 1, 3), entry(last + 2, 3)])
    assert kept.entry(last + 1) == entry(last + 1, 3)
    assert view(storage.Storage(filling)) == view(kept)
    kept.truncate_from(last + 2)
    assert kept.last_index == last + 1
    assert view(storage.Storage(filling)) == view(kept)


@pytest.mark.parametrize('call', ['append', 'replace'])
def test_folder_is_synced_after_a_name_is_made(tmp_path, monkeypatch, call):
    opened = disk.Disk(tmp_path / 'data')
    synced = []
    monkeypatch.setattr(
        disk.Disk, '_sync_folder', lambda self, path: synced.append(path)
    )
    getattr(opened, call)('file', b'x')
    assert synced == [tmp_path / 'data']


def test_log_without_meta_is_refused(tmp_path):
    opened = disk.Disk(tmp_path / 'data')
    kept = storage.Storage(opened)
    kept.save_meta()
    kept.append([entry(1)])
    opened.remove(storage.META)
    with pytest.raises(errors.CorruptLogError):
        storage.Storage(opened)


def test_entries_read_back_as_written(tmp_path):
    kept = storage.Storage(disk.Disk(tmp_path / 'data'))
    kept.save_meta()
    kept.append([entry(1), entry(2)])
    again = storage.Storage(disk.Disk(tmp_path / 'data'))
    assert msgspec.to_builtins(again.entry(2)) == msgspec.to_builtins(entry(2))
    assert again.meta.incarnation == kept.meta.incarnation


@pytest.mark.parametrize('lost', range(1, 40, 6))
def test_partly_lost_append_is_dropped_whole(lost):
    """An unsynced append is dropped, whichever parts of it survived."""
    made = FakeDisk()
    kept = storage.Storage(made)
    kept.save_meta()
    kept.append([entry(1)])
    made.crash_after, made.crash_hole = 10_000, lost
    with pytest.raises(Crash):
        kept.append([entry(2), entry(3), entry(4)])
    again = storage.Storage(made)
    assert again.last_index == 1
    again.append([entry(2, term=2)])
    assert storage.Storage(made).entry(2).term == 2


def test_oversized_append_is_split_into_records(monkeypatch):
    monkeypatch.setattr(records, 'RECORD_LIMIT_BYTES', 60)
    made = FakeDisk()
    kept = storage.Storage(made)
    kept.save_meta()
    kept.append([entry(1 + step) for step in range(5)])
    again = storage.Storage(made)
    assert again.entries_from(1, 9) == [entry(1 + step) for step in range(5)]


def test_entries_of_one_append_can_be_dropped_in_part():
    made = FakeDisk()
    kept = storage.Storage(made)
    kept.save_meta()
    kept.append([entry(1), entry(2), entry(3)])
    kept.truncate_from(3)
    kept.append([entry(3, term=2)])
    again = storage.Storage(made)
    assert [again.term_at(index) for index in (1, 2, 3)] == [1, 1, 2]


@pytest.mark.parametrize('append', [1, 3])
def test_damage_before_a_later_append_is_reported(append):
    """Corruption of synced data must not be taken for a torn write."""
    made = FakeDisk()
    kept = storage.Storage(made)
    kept.save_meta()
    kept.append([entry(1 + step) for step in range(append)])
    kept.append([entry(append + 1)])
    body = made.files[storage.LOG]
    made.files[storage.LOG] = bytes(6) + body[6:]
    with pytest.raises(errors.CorruptLogError):
        storage.Storage(made)
