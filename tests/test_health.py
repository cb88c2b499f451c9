"""What outcomes say about a place."""

import pytest

from wrenspoke.coordination.serving import health


class FakeClock:
    """Stand still until told."""

    def __init__(self):
        self.now_ms = 0

    def mono_ms(self):
        return self.now_ms


@pytest.mark.parametrize(
    'outcomes, aside',
    [
        ('', False),
        ('f', False),
        ('ff', False),
        ('fff', True),
        ('ffsf', False),
        ('c', True),
        ('cs', False),
        ('sssssssssssssssf', False),
        ('sfsfsfsfsf', False),
    ],
)
def test_failures_in_a_row_set_a_place_aside(outcomes, aside):
    noted = health.Health(FakeClock())
    for outcome in outcomes:
        if outcome == 's':
            noted.succeeded('p')
        else:
            noted.failed('p', 'test', certain=outcome == 'c')
    assert noted.set_aside('p') is aside


def test_pause_doubles_and_ends():
    clock = FakeClock()
    noted = health.Health(clock)
    pauses = []
    for _number in range(8):
        noted.failed('p', 'test', certain=True)
        start_ms = clock.now_ms
        while noted.set_aside('p'):
            clock.now_ms += 100
        pauses.append(clock.now_ms - start_ms)
    assert pauses[:3] == [500, 1000, 2000]
    assert pauses[-1] == health.LONGEST_PAUSE_MS
