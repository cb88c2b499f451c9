"""Acknowledged leaves, as disks are lost and all other hosts lose power."""

import threading

import pytest
import structlog

from tests import nodes
from tests import power
from wrenspoke import clock
from wrenspoke.coordination.membership import leave_log
from wrenspoke.state import disk
from wrenspoke.state import registry

READY = registry.RegistrationState.READY
DRAINING = registry.RegistrationState.DRAINING
GONE = registry.RegistrationState.GONE


def registration(name, state=READY, number=1, **changes):
    """Return what an endpoint reports."""
    address = f'10.9.9.9:{name.removeprefix("i-")}'
    return registry.Registration(
        name, 's', address, 'north-hall', 4, state, number, **changes
    )


class Hosts:
    """Three control hosts, and what a loss of power leaves of their disks."""

    def __init__(self, system, files):
        self.system = system
        self._files = files

    def synced_files(self):
        """Return what each host's disk holds after a loss of power."""
        return {
            ip: self._files.folder(self.system.folder / ip)
            for ip in self.system.control_ips
        }

    async def register(self, *names, **changes):
        """Register endpoints, and wait until all snapshots have them."""
        for name in names:
            said = registration(name, **changes)
            self.system.controls[0].registrar.register(said)
        await nodes.until(
            lambda: all(
                name.encode() in files.get('endpoints', b'')
                for files in self.synced_files().values()
                for name in names
            )
        )

    async def leave(self, number, name, state):
        """Report that an endpoint leaves; return once acknowledged."""
        registrar = self.system.controls[number].registrar
        if state is GONE:
            registrar.withdraw(name)
        else:
            registrar.register(registration(name, state, 2))
        await registrar.wait_replicated(name)

    async def restart(self, left, lost):
        """Start all hosts on what is left, one of them on an empty disk."""
        for one in self.system.controls:
            await one.close()
        self.system.controls.clear()
        for number, ip in enumerate(self.system.control_ips):
            files = {} if number == lost else left[ip]
            power.restore(self.system.folder / ip, files)
        for ip in self.system.control_ips:
            await self.system.start_control(ip, first_start=False)

    async def wait_left(self, *names):
        """Wait until all hosts know that the endpoints have left."""
        await nodes.until(
            lambda: all(
                name in one.registrar.registry.entries
                and not one.registrar.registry.entries[name].takes_work
                for one in self.system.controls
                for name in names
            )
        )


@pytest.fixture
async def hosts(tmp_path, monkeypatch):
    """Run three control hosts whose syncs are recorded."""
    files = power.SyncedFiles(monkeypatch)
    async with nodes.running(tmp_path, controls=3, entries=0) as system:
        yield Hosts(system, files)


@pytest.mark.parametrize('lost', range(3), ids=['taker', 'second', 'third'])
@pytest.mark.parametrize('state', [GONE, DRAINING])
async def test_acknowledged_leave_outlives_power_and_a_disk(
    hosts, state, lost
):
    """Guards against requests at an endpoint that has left."""
    await hosts.register('i-1')
    await hosts.leave(0, 'i-1', state)
    await hosts.restart(hosts.synced_files(), lost)
    await hosts.wait_left('i-1')


@pytest.fixture
def stall(monkeypatch):
    """Return a function that makes the log of leaves of a host hang."""
    released = threading.Event()
    stalled = set()
    append = disk.Disk.append

    def append_if_released(opened, name, data):
        if name == leave_log.LOG_FILE and opened._folder.name in stalled:
            released.wait(nodes.WAIT_S)
        append(opened, name, data)

    monkeypatch.setattr(disk.Disk, 'append', append_if_released)
    yield stalled.add
    released.set()


@pytest.mark.parametrize(
    'stalled, copies',
    [([], 2), ([0], 2), ([1], 2), ([0, 1, 2], 0)],
    ids=['none', 'taker', 'other', 'all'],
)
async def test_stalled_disk_holds_up_no_leave(hosts, stall, stalled, copies):
    """Guards against an endpoint that can't leave beside a slow disk."""
    await hosts.register('i-1')
    for number in stalled:
        stall(hosts.system.control_ips[number])
    with structlog.testing.capture_logs() as logged:
        await hosts.leave(0, 'i-1', GONE)
    held = [
        files
        for files in hosts.synced_files().values()
        if b'gone' in files.get(leave_log.LOG_FILE, b'')
        # A snapshot that holds the leave empties the log.
        or b'gone' in files['endpoints']
    ]
    assert len(held) >= copies
    events = {line['event'] for line in logged}
    assert ('leave_not_replicated' in events) is (copies == 0)


@pytest.mark.parametrize('warmup_left_ms', [0, 30_000], ids=['warm', 'cold'])
async def test_leave_is_restored_from_a_snapshot(hosts, warmup_left_ms):
    """Guards against a late report that readies an endpoint that has left."""
    await hosts.register('i-1', warmup_left_ms=warmup_left_ms)
    await hosts.leave(0, 'i-1', GONE)
    await nodes.until(
        lambda: all(
            b'gone' in files['endpoints'] and not files.get('leaves')
            for files in hosts.synced_files().values()
        )
    )
    await hosts.restart(hosts.synced_files(), lost=2)
    hosts.system.controls[1].registrar.register(registration('i-1'))
    await hosts.wait_left('i-1')


def known_endpoints(*names):
    """Return a registry with endpoints that are ready."""
    known = registry.Registry(clock.Clock())
    for name in names:
        known.merge_registration(registration(name))
    return known


async def save_leave(folder, known, name):
    """Withdraw an endpoint, and save it after what is in the file."""
    saved = leave_log.LeaveLog(disk.Disk(folder), known)
    saved.restore(0)
    known.merge_registration(known.final_registration(name))
    assert await saved.save()


@pytest.mark.parametrize('cut_bytes', [1, 8, 30])
async def test_leaves_go_on_behind_a_torn_write(tmp_path, cut_bytes):
    """Guards against a log that a torn write makes unreadable."""
    names = ['i-1', 'i-2', 'i-3']
    path = tmp_path / leave_log.LOG_FILE
    await save_leave(tmp_path, known_endpoints(*names), 'i-1')
    whole = path.read_bytes()
    await save_leave(tmp_path, known_endpoints(*names), 'i-2')
    path.write_bytes(path.read_bytes()[:-cut_bytes])
    assert len(path.read_bytes()) > len(whole)
    await save_leave(tmp_path, known_endpoints(*names), 'i-3')
    restored = known_endpoints(*names)
    leave_log.LeaveLog(disk.Disk(tmp_path), restored).restore(0)
    left = [name for name in names if not restored.entries[name].takes_work]
    assert left == ['i-1', 'i-3']
