"""Retries depend on the success rate of past retries."""

import random

import pytest

from wrenspoke.coordination.serving import retry_outcomes


@pytest.mark.parametrize(
    'success, least, most',
    [(1.0, 1.0, 1.0), (0.5, 0.95, 1.0), (0.0, 0.05, 0.2)],
    ids=['endpoints fail', 'half of them fail', 'requests fail everywhere'],
)
def test_retries_are_made_where_they_succeed(success, least, most):
    chance = random.Random(1)
    known = retry_outcomes.RetryOutcomes(chance)
    made = []
    for _number in range(500):
        pays = known.is_worthwhile('r')
        made.append(pays)
        if pays:
            known.record_outcome('r', chance.random() < success)
    share = sum(made[100:]) / len(made[100:])
    assert least <= share <= most


def test_retries_resume_after_a_change():
    known = retry_outcomes.RetryOutcomes(random.Random(1))
    for _number in range(50):
        known.record_outcome('r', False)
    for _number in range(20):
        known.record_outcome('r', True)
    assert known.is_worthwhile('r')
    assert known.is_worthwhile('another')
