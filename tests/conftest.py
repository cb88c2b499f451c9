"""Separate port ranges per test worker, and the known failing tests."""

import os

import pytest

from tests import known_red
from wrenspoke.transport import web

# The number of workers that the Makefile starts. Further workers and parallel
# runs share the ranges; lock files keep their ports apart. Ports are not
# reused within a run, so a range must hold all ports of two runs.
WORKERS = 4
FIRST_PORT = 10_000
PORTS_EACH = 5_400


def pytest_configure():
    """Set the range from which ``web.free_ports`` allocates."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
    number = int(worker.removeprefix('gw')) % WORKERS
    start = FIRST_PORT + number * PORTS_EACH
    web.PORT_RANGE = range(start, start + PORTS_EACH)


def pytest_collection_modifyitems(items):
    """Mark the tests listed in KNOWN-RED.txt as expected failures."""
    for listed in known_red.read():
        reason = f'{listed.cause} ({listed.issue})'
        for item in items:
            if listed.matches(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=reason))


def pytest_terminal_summary(terminalreporter):
    """Print the results of the known failing tests."""
    failed = [found.nodeid for found in terminalreporter.getreports('xfailed')]
    passed = [found.nodeid for found in terminalreporter.getreports('xpassed')]
    for listed in known_red.read():
        terminalreporter.write_line(
            f'KNOWN RED {listed.test}: '
            f'{sum(map(listed.matches, failed))} failed, '
            f'{sum(map(listed.matches, passed))} passed; '
            f'{listed.cause} ({listed.issue})'
        )
