"""Processes report threads that don't wait, and what uses descriptors."""

import asyncio
import pathlib
import signal
import subprocess
import sys
import time

import pytest
import structlog

from tests import loops
from tests import nodes
from wrenspoke import clock as clocks
from wrenspoke import process_load
from wrenspoke import runtime
from wrenspoke.transport import links
from wrenspoke.transport import web

event_loop_policy = loops.event_loop_policy

LOOP = process_load.ThreadGroup.EVENT_LOOP
LIBRARIES = process_load.ThreadGroup.LIBRARIES
FOLDER = pathlib.Path(__file__).parent.parent
# Holds the event loop until something is written to standard error.
STALLED = """
import os
from wrenspoke import runtime
runtime.STALL_S = 0.05

async def stalled_callback():
    while not os.fstat(2).st_size:
        pass

runtime.run(stalled_callback())
"""


class Budget:
    """Stands in for the connections of a process."""

    limit = 100

    def __init__(self, **counts):
        self.used = counts

    def counts(self):
        return self.used


def load(budget=Budget()):
    return process_load.ProcessLoad(budget, clocks.Clock())


def use(loop_ms, libraries_ms):
    times_ms = {LOOP: loop_ms, LIBRARIES: libraries_ms}
    return process_load.ProcessorUse(times_ms, waits=0, preemptions=0)


async def spin():
    while True:
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    'used, threads',
    [
        ([(950, 0)] * 3, [LOOP]),
        ([(0, 950)] * 3, [LIBRARIES]),
        ([(950, 950)] * 3, [LOOP, LIBRARIES]),
        ([(950, 0)] * 20, [LOOP]),
        ([(950, 0), (950, 0), (100, 0)] * 3, []),
        ([(950, 0), (0, 950)] * 4, []),
        ([(500, 500)] * 20, []),
    ],
)
async def test_threads_that_do_not_wait_are_reported(used, threads):
    """Guards against a process that uses up a processor unnoticed."""
    checked = load()
    with structlog.testing.capture_logs() as logs:
        for times_ms in used:
            await checked.check_processor(use(*times_ms), 1_000)
    found = [log['threads'] for log in logs if log['event'] == 'threads_busy']
    assert found == threads


async def test_report_names_what_the_event_loop_runs():
    spinning = asyncio.create_task(spin())
    checked = load()
    with structlog.testing.capture_logs() as logs:
        for _number in range(process_load.BUSY_CHECKS):
            await checked.check_processor(use(950, 0), 1_000)
    spinning.cancel()
    assert 'test_process_load.spin ' in logs[-1]['functions']


async def test_load_is_logged_with_every_use_of_descriptors(monkeypatch):
    monkeypatch.setattr(process_load, 'CHECK_INTERVAL_MS', 1)
    monkeypatch.setattr(process_load, 'LOG_INTERVAL_MS', 1)
    checked = load(Budget(callers=3, links=2))
    with structlog.testing.capture_logs() as logs:
        checked.start()
        await nodes.until(lambda: logs)
        await checked.close()
    [first, *_others] = logs
    assert first['event'] == 'process_load'
    assert (first['callers_descriptors'], first['links_descriptors']) == (3, 2)
    assert {'event_loop_ms', 'libraries_ms', 'waits'} <= first.keys()


async def test_delay_of_the_event_loop_is_logged(monkeypatch):
    """Guards against a callback that holds the loop and goes unnoticed."""
    monkeypatch.setattr(process_load, 'CHECK_INTERVAL_MS', 20)
    monkeypatch.setattr(process_load, 'LOG_INTERVAL_MS', 20)
    checked = load()
    with structlog.testing.capture_logs() as logs:
        checked.start()
        await asyncio.sleep(0)
        end_s = time.monotonic() + 0.1
        while time.monotonic() < end_s:
            pass
        await nodes.until(lambda: logs)
        await checked.close()
    assert logs[0]['max_delay_ms'] >= 50


async def test_many_descriptors_are_reported_once():
    budget = Budget()
    checked = load(budget)
    with structlog.testing.capture_logs() as logs:
        for callers in (74, 75, 90, 10, 85):
            budget.used = {'callers': callers}
            checked.check_descriptors()
    assert [log['callers'] for log in logs] == [75, 85]


def test_stalled_event_loop_writes_its_stacks(tmp_path):
    """Guards against a callback that holds the loop and leaves no trace."""
    path = tmp_path / 'stderr'
    with path.open('w') as stderr:
        subprocess.run(
            [sys.executable, '-c', STALLED],
            stderr=stderr,
            cwd=FOLDER,
            check=True,
        )
    assert 'in stalled_callback' in path.read_text()


def test_ended_watch_leaves_no_timer():
    async def main():
        with runtime.watched_loop():
            pass

    asyncio.run(main())
    assert signal.getitimer(signal.ITIMER_REAL) == (0, 0)


async def test_accepted_links_are_counted():
    names = [f'127.0.0.1:{port}' for port in web.free_ports(4)]

    async def answer(_sender, body):
        return body

    hosts = []
    for name in names:
        identity = links.Identity('test', name)
        host = links.Links(identity, [], clocks.Clock(), answer)
        await host.start('127.0.0.1', int(name.rpartition(':')[2]))
        hosts.append(host)
    [first, *others] = hosts
    for other in others:
        await other.call(names[0], b'x', 20_000)
    await nodes.until(lambda: first.descriptor_count == 3)
    assert others[0].descriptor_count == links.DESCRIPTORS_PER_DEALER
    await others[0].close()
    await nodes.until(lambda: first.descriptor_count == 2)
    for host in hosts:
        await host.close()
