"""Give each worker its own ports, and pass over what is known to fail."""

import os

import pytest

from tests import known_red
from wrenspoke.transport import web

# As many as the Makefile starts; more share ranges, and locks keep them apart.
# Ports are kept to a run's end, and two runs side by side share the ranges:
# they were seen to take up to 2,213 ports of one.
WORKERS = 4
FIRST_PORT = 10_000
PORTS_EACH = 5_400


def pytest_configure():
    """Set the range that free ports are taken from."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
    number = int(worker.removeprefix('gw')) % WORKERS
    start = FIRST_PORT + number * PORTS_EACH
    web.PORT_RANGE = range(start, start + PORTS_EACH)


def pytest_collection_modifyitems(items):
    """Let the tests fail that are listed as known to."""
    for listed in known_red.read():
        reason = f'{listed.cause} ({listed.issue})'
        for item in items:
            if listed.matches(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=reason))


def pytest_terminal_summary(terminalreporter):
    """Print what is known to fail, and how its rows ended."""
    failed = [found.nodeid for found in terminalreporter.getreports('xfailed')]
    passed = [found.nodeid for found in terminalreporter.getreports('xpassed')]
    for listed in known_red.read():
        terminalreporter.write_line(
            f'KNOWN RED {listed.test}: '
            f'{sum(map(listed.matches, failed))} failed, '
            f'{sum(map(listed.matches, passed))} passed; '
            f'{listed.cause} ({listed.issue})'
        )
