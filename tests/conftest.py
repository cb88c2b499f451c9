"""Give each worker its own ports, so that tests may run side by side."""

import os

from wrenspoke.transport import web

WORKERS = 8
FIRST_PORT = 10_000
PORTS_EACH = 2_700


def pytest_configure():
    """Set the range that free ports are taken from."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
    number = int(worker.removeprefix('gw')) % WORKERS
    start = FIRST_PORT + number * PORTS_EACH
    web.PORT_RANGE = range(start, start + PORTS_EACH)
