"""The event loop of the daemons, for tests in one process."""

import os

import pytest
import uvloop

from wrenspoke import runtime


@pytest.fixture(scope='module')
def event_loop_policy():
    """Run on uvloop, which reports ends of files and errors by itself."""
    os.environ[runtime.URING_VARIABLE] = '0'
    return uvloop.EventLoopPolicy()
