"""Which hosts know the build of a stream, and what is inferred without.

The figures of ``docs/design/stream-builds.md`` are those of
``benches/stream_builds.py``; these tests hold what the choice rests on.
"""

import collections
import functools

import pytest

from tests import stream_build_fleet

Outcome = stream_build_fleet.Outcome
SIZES = {20: (7, 7, 6), 60: (20, 20, 20), 'uneven': (12, 6, 2)}
SEEDS = (1,)
DAYS = range(1, 11)
# More streams a day that hold events of two builds break a rule.
MAX_WRONG_PER_DAY = 2


@functools.cache
def results(name, scenario, size):
    return [
        stream_build_fleet.simulate(
            stream_build_fleet.STRATEGIES[name], scenario, SIZES[size], seed
        )
        for seed in SEEDS
    ]


def known_share(name, scenario, size):
    found = [
        one.build is not None
        for result in results(name, scenario, size)
        for one in result.take_ups
    ]
    assert found
    return sum(found) / len(found)


@pytest.mark.parametrize('name', stream_build_fleet.STRATEGIES)
@pytest.mark.parametrize('size', [20, 'uneven'])
def test_builds_are_known_without_fault(name, size):
    assert known_share(name, 'no fault', size) == 1


@pytest.mark.parametrize(
    'name, scenario, least, most',
    [
        ('keepers', 'host killed', 1, 1),
        ('keepers', 'host frozen', 1, 1),
        ('keepers', 'data centre restarted', 0.95, 1),
        ('keepers', 'region restarted', 1, 1),
        ('keepers', '60% killed', 0.5, 0.9),
        ('keepers', '10% hosts added', 0.98, 1),
        ('keepers', 'hosts restarted in turn', 0.95, 1),
        ('keepers', '1% of messages lost', 0.98, 1),
        ('keepers', '5% of messages lost', 0.98, 1),
        ('keepers_spread', 'data centre restarted', 0.98, 1),
        # Clients in other regions may ask the host that was killed.
        ('keepers_local', 'host killed', 0.8, 1),
        ('keepers_local', 'region restarted', 0, 0),
        ('gossip', 'host killed', 0.8, 1),
        ('gossip', 'region restarted', 0, 0),
        ('ask', 'host killed', 0, 0),
    ],
)
@pytest.mark.parametrize('size', [20, 'uneven'])
def test_share_known_after_fault(name, scenario, least, most, size):
    assert least <= known_share(name, scenario, size) <= most


def test_more_is_known_where_more_hosts_are_asked():
    shares = [
        known_share(name, '60% killed', 20)
        for name in ('keepers_local', 'keepers', 'keepers_wide')
    ]
    assert shares[0] < shares[1] < shares[2]


@pytest.mark.parametrize('name', ['gossip', 'keepers', 'keepers_weighted'])
def test_simulation_is_deterministic(name):
    made = stream_build_fleet.STRATEGIES[name]
    first, second = (
        stream_build_fleet.simulate(made, 'host killed', SIZES[20], seed=3)
        for _number in range(2)
    )
    assert first == second


@pytest.mark.parametrize('scenario', ['region restarted', '60% killed'])
@pytest.mark.parametrize('name', ['keepers', 'keepers_wide', 'control'])
def test_wait_of_take_up_is_bounded(name, scenario):
    bound_ms = (
        stream_build_fleet.LOCAL_TIMEOUT_MS
        + stream_build_fleet.REMOTE_TIMEOUT_MS
    )
    for result in results(name, scenario, 20):
        for one in result.take_ups:
            assert one.waited_ms <= bound_ms + 1


def test_messages_of_a_stream_do_not_grow_with_the_fleet():
    counts = []
    for size in (20, 60):
        [result, *_others] = results('keepers', 'no fault', size)
        told = result.told
        counts.append(
            (told.local.messages + told.remote.messages) / result.streams
        )
    assert max(counts) <= 5
    assert counts[1] <= counts[0] * 1.15


@functools.cache
def outcomes(kind, name):
    """Return the outcomes of each simulated day of a kind."""
    days = []
    for seed in DAYS:
        total = collections.Counter()
        for _fault, found in stream_build_fleet.play_day(kind, name, seed):
            total.update(found)
        days.append(total)
    return days


@pytest.mark.parametrize('kind', stream_build_fleet.DAYS)
@pytest.mark.parametrize(
    'name',
    [
        'refuse',
        'seen by the host, in contact',
        'registry, checked',
        'registries of all regions',
    ],
)
def test_sound_inference_joins_no_two_builds(kind, name):
    for day in outcomes(kind, name):
        assert day[Outcome.WRONG] == 0


@pytest.mark.parametrize('kind', ['release', 'canary', 'rolled back'])
@pytest.mark.parametrize('name', ['anywhere', 'registered now', 'registry'])
def test_unsound_inference_joins_two_builds(kind, name):
    wrong = [day[Outcome.WRONG] for day in outcomes(kind, name)]
    assert max(wrong) > MAX_WRONG_PER_DAY


@pytest.mark.parametrize(
    'name, least',
    [('refuse', 0), ('registry, checked', 0.3), ('anywhere', 1)],
)
def test_share_that_goes_on_with_one_build(name, least):
    total = sum(outcomes('one build', name), collections.Counter())
    assert total[Outcome.RIGHT] / total.total() >= least


@pytest.mark.parametrize(
    'fault, share',
    [
        ('hosts killed', 1),
        ('region restarted', 1),
        ('all restarted, gone engines kept', 1),
        ('all restarted', 0),
        ('at a host cut off', 0),
        ('region cut off', 0),
    ],
)
def test_share_inferred_with_one_build(fault, share):
    total = collections.Counter()
    for seed in DAYS:
        for name, found in stream_build_fleet.play_day(
            'one build', 'registry, checked', seed
        ):
            if name == fault:
                total.update(found)
    assert total.total()
    assert total[Outcome.RIGHT] / total.total() == share
