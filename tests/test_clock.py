"""Waits of less than a millisecond are waits."""

import asyncio
import time

import pytest

from tests import loops
from wrenspoke import clock as clocks

event_loop_policy = loops.event_loop_policy
# A timer may fire within the millisecond in which it was set.
TURNS_LIMIT = 3


async def sleep(delay_ms):
    await clocks.Clock().sleep_ms(delay_ms)


async def time_out(delay_ms):
    with pytest.raises(TimeoutError):
        async with clocks.timeout_ms(delay_ms):
            await asyncio.Event().wait()


@pytest.mark.parametrize('delay_ms', [0.01, 0.3, 0.49, 0.5, 0.9, 1.4, 2])
@pytest.mark.parametrize('wait', [sleep, time_out])
async def test_loop_with_a_deadline_waits_for_it(wait, delay_ms):
    """Guards against a loop that turns until the next whole millisecond."""
    end_s = time.monotonic() + delay_ms / 1000
    turns = 0
    while (left_s := end_s - time.monotonic()) > 0:
        await wait(left_s * 1000)
        turns += 1
    assert turns <= TURNS_LIMIT


@pytest.mark.parametrize('delay_ms', [0, -1, -0.5])
async def test_past_deadline_is_over_at_once(delay_ms):
    with pytest.raises(TimeoutError):
        async with clocks.timeout_ms(delay_ms):
            await asyncio.Event().wait()
