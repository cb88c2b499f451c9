"""Ejection of addresses by the outcomes of their requests."""

import pytest

from wrenspoke.coordination.serving import outlier_detection


class FakeClock:
    """Clock that a test sets."""

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
def test_consecutive_failures_eject_an_address(outcomes, aside):
    noted = outlier_detection.OutlierDetector(FakeClock())
    for outcome in outcomes:
        if outcome == 's':
            noted.record_success('p')
        else:
            noted.record_failure('p', 'test', 0, certain=outcome == 'c')
    assert noted.is_ejected('p') is aside


def test_ejection_time_doubles_and_ends():
    clock = FakeClock()
    noted = outlier_detection.OutlierDetector(clock)
    pauses = []
    for _number in range(8):
        noted.record_failure('p', 'test', clock.now_ms, certain=True)
        start_ms = clock.now_ms
        while noted.is_ejected('p'):
            clock.now_ms += 100
        pauses.append(clock.now_ms - start_ms)
    assert pauses[:3] == [500, 1000, 2000]
    assert pauses[-1] == outlier_detection.MAX_EJECTION_MS


@pytest.mark.parametrize(
    'sent_ms, pause_ms', [(900, 500), (1_500, 1_000)], ids=['same', 'next']
)
def test_requests_in_flight_at_an_ejection_are_not_counted(sent_ms, pause_ms):
    clock = FakeClock()
    noted = outlier_detection.OutlierDetector(clock)
    clock.now_ms = 1_000
    noted.record_failure('p', 'test', 800, certain=True)
    clock.now_ms = 1_500
    assert not noted.is_ejected('p')
    noted.record_failure('p', 'test', sent_ms, certain=True)
    clock.now_ms += pause_ms - 1
    assert noted.is_ejected('p') is (sent_ms > 1_000)


@pytest.mark.parametrize(
    'certain, asked_ms, aside',
    [(True, 1_100, False), (True, 900, True), (False, 1_100, True)],
    ids=['is back', 'asked before', 'answers badly'],
)
def test_response_ends_ejection_of_unreachable_address(
    certain, asked_ms, aside
):
    clock = FakeClock()
    noted = outlier_detection.OutlierDetector(clock)
    clock.now_ms = 1_000
    for _number in range(
        1 if certain else outlier_detection.CONSECUTIVE_FAILURES_LIMIT
    ):
        noted.record_failure('p', 'test', 1_000, certain)
    noted.record_reachable('p', asked_ms)
    assert noted.is_ejected('p') is aside
