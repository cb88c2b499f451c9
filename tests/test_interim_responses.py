"""Interim responses while a request is waited for."""

import pytest

from tests import loops
from tests import test_passing as passing

event_loop_policy = loops.event_loop_policy
system = passing.system


@pytest.mark.parametrize('count', [90, 101, 240])
async def test_long_wait_with_interim_responses(system, count):
    """Guards against the loss of an answer announced by interim responses."""
    await system.put(passing.route(timeout_ms=20_000))
    interim = b'HTTP/1.1 102 Processing\r\n\r\n'

    def script(sent, _number):
        return [*[interim] * count, passing.answer(sent)]

    await system.add('e', script)
    got = await system.ask(passing.request())
    assert got.startswith(b'HTTP/1.1 200 '), got
