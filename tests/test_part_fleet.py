"""Which prompt parts a simulated fleet holds, with faults.

Random faults are generated from a seed; ``WRENSPOKE_SOAK_SEEDS`` sets the
number of seeds.
"""

import asyncio
import os

import pytest

from tests import part_fleet
from tests import test_quarantine
from tests import test_quarantined_fleet
from wrenspoke.coordination.quarantine import crash_history
from wrenspoke.protocol import fingerprints

FATAL = part_fleet.FATAL
SEEDS = int(os.environ.get('WRENSPOKE_SOAK_SEEDS', '4'))
# Calls with the fatal part that connected hosts may send late.
MAX_LATE_SENDS = 3
# Share of the sound calls that have to begin while fatal ones come.
MIN_BEGIN_SHARE = 0.9
in_virtual_time = test_quarantined_fleet.in_virtual_time


async def run_calls(fleet, for_s, *others, fatal=True, fatal_after_s=0):
    """Run sound and fatal calls, beside other coroutines, to their ends."""

    async def send_fatal_calls():
        await asyncio.sleep(fatal_after_s)
        await fleet.send_fatal_calls(for_s - fatal_after_s)

    running = [fleet.send_sound_calls(for_s), *others]
    if fatal:
        running.append(send_fatal_calls())
    await asyncio.gather(*running)
    await fleet.wait_ms(6_000)


# A part crashes engine after engine, and sound parts beside it are held.
@pytest.mark.parametrize('crashing', [False, True])
@pytest.mark.parametrize('hosts', [20, 60, 200])
@in_virtual_time
async def test_fatal_part_alone_is_held(hosts, crashing):
    fleet = await part_fleet.PartFleet(hosts).start()
    for_s = 12
    others = [fleet.crash_by_itself(for_s, 4, 0.3)] if crashing else []
    await run_calls(fleet, for_s, *others)
    assert fleet.late_sends() <= MAX_LATE_SENDS
    assert len(fleet.fatal_crashes_ms) <= 5 + MAX_LATE_SENDS
    assert fleet.held_parts() == list(FATAL)
    assert fleet.sound_outcomes()['refused'] == 0
    await fleet.close()


# Sound parts and requests are held where engines crash by themselves.
@pytest.mark.parametrize('share, every_s', [(0.1, 1), (0.3, 5), (0.6, 5)])
@pytest.mark.parametrize('seed', range(SEEDS))
@in_virtual_time
async def test_nothing_is_held_without_a_fatal_part(share, every_s, seed):
    fleet = await part_fleet.PartFleet(20, seed).start()
    crashes = fleet.crash_by_itself(20, every_s, share)
    await run_calls(fleet, 20, crashes, fatal=False)
    assert fleet.held_parts() == []
    assert fleet.sound_outcomes()['refused'] == 0
    await fleet.close()


class PartFaultSeries(test_quarantined_fleet.FaultSeries):
    """Injects random faults while sound and fatal calls come."""

    def __init__(self, fleet):
        super().__init__(fleet)
        fleet.is_in_touch = self._is_converged

    async def simulate(self, for_ms):
        until_ms = self._clock.mono_ms() + for_ms
        while self._clock.mono_ms() < until_ms:
            await self._wait_for_fault(3_000, 0.5)
            self._fleet.stopped = set(self._frozen_until_ms)
        self._thaw_hosts()
        await self._heal_network()


# Hosts that restart, thaw or were cut off send a known part again.
@pytest.mark.parametrize('seed', range(SEEDS))
@in_virtual_time
async def test_few_fatal_calls_are_sent_late_under_faults(seed):
    fleet = await part_fleet.PartFleet(18, seed).start()
    series = PartFaultSeries(fleet)
    await run_calls(fleet, 40, series.simulate(40_000))
    assert fleet.late_sends() <= MAX_LATE_SENDS, fleet.fatal_crashes_ms
    assert set(fleet.held_parts()) <= set(FATAL)
    if len(fleet.fatal_crashes_ms) >= 5:
        from_ms = fleet.fatal_crashes_ms[4] + 2 * part_fleet.CONTACT_MS
        outcomes = fleet.sound_outcomes(from_ms)
        begun = outcomes.total() - outcomes['refused']
        assert begun >= MIN_BEGIN_SHARE * outcomes.total()
    await fleet.close()


# Two fatal parts at a time: what they share has more crashes than each. If
# nothing with it was completed yet, it is held until that is.
@pytest.mark.parametrize(
    'fatal_after_s, begin_share', [(0, MIN_BEGIN_SHARE), (4, 1)]
)
@in_virtual_time
async def test_two_fatal_parts_are_held(fatal_after_s, begin_share):
    fatal = (*FATAL, *fingerprints.named_parts(['fatal2', 'last']))
    fleet = await part_fleet.PartFleet(20, fatal_parts=fatal).start()
    await run_calls(fleet, 20, fatal_after_s=fatal_after_s)
    assert sorted(fleet.held_parts()) == sorted(fatal)
    outcomes = fleet.sound_outcomes()
    begun = outcomes.total() - outcomes['refused']
    assert begun >= begin_share * outcomes.total()
    assert len(fleet.fatal_crashes_ms) <= 2 * (5 + MAX_LATE_SENDS)
    await fleet.close()


# What a decision rests on.


def record(history, crashes, prefix='e'):
    """Record crashes, each one its requests; return the last crash."""
    crash = None
    for number, requests in enumerate(crashes):
        for request in requests:
            crash = history.record_crash(
                tuple(request.split()), f'{prefix}{number}', 1_000_000
            )
    return crash


def history_of(*crashes):
    """Return a history and its last crash."""
    history = crash_history.CrashHistory(test_quarantine.FakeClock())
    return history, record(history, crashes)


BESIDE_SOUND = [[f'r{n} part-b part-f', 's1 part-m part-f'] for n in range(5)]


# A request starts with its own digest; b is the fatal part, f the first part
# of all requests, m and n are other parts.
@pytest.mark.parametrize(
    'crashes, culprits',
    [
        ([['r1 part-b'], ['r2 part-b']], []),
        # Of one request's digests, the one that the fewest requests share.
        ([[f'r{n} part-b part-f'] for n in range(3)], ['part-b']),
        # The request itself, as long as there is no other one.
        ([['r1 part-b part-f']] * 3, ['r1']),
        ([['r1 part-b']] * 3 + [['r2 part-b']], ['part-b']),
        # The first part, as the others change.
        (
            [['r1 part-m part-f'], ['r2 part-n part-f'], ['r3 part-f']],
            ['part-f'],
        ),
        # Another request ran beside it, at two crashes of three.
        (BESIDE_SOUND[:2] + [['r3 part-b part-f']], ['part-b']),
        # At all three: not known yet.
        (BESIDE_SOUND[:3], []),
        # Known at the fourth.
        (BESIDE_SOUND[:3] + [['r4 part-b']], ['part-b']),
        # At five crashes both are held.
        (BESIDE_SOUND, ['part-b', 's1']),
    ],
)
def test_culprit_is_what_had_the_most_crashes(crashes, culprits):
    history, crash = history_of(*crashes)
    if 'part-f' not in culprits:
        # It completes elsewhere.
        history.clear('part-f')
    assert sorted(history.find_culprits(crash)) == culprits


# Crashes before and after a digest is held, and the crash counts then.
@pytest.mark.parametrize(
    'before, held, after, counts',
    [
        # What ran beside a known part: a sound request, and the first part.
        (
            BESIDE_SOUND[:2] + [['r3 part-b part-f']],
            'part-b',
            [['s1 part-m part-f']],
            {'part-b': 3, 's1': 1, 'part-f': 1},
        ),
        # A whole request is known, but one of its parts is the culprit.
        ([['r1 part-b']] * 3, 'r1', [['r2 part-b']], {'r1': 3, 'part-b': 4}),
        # A part is known, but one that more requests share is the culprit.
        (
            [[f'r{n} part-m part-f'] for n in range(3)],
            'part-m',
            [[f's{n} part-f'] for n in range(3)],
            {'part-m': 3, 'part-f': 3},
        ),
        # Held in place of the part that it ran beside.
        (
            BESIDE_SOUND[:3],
            's1',
            [['r4 part-b part-f']],
            {'s1': 3, 'part-b': 4},
        ),
    ],
)
def test_culprit_explains_crashes(before, held, after, counts):
    history, _crash = history_of(*before)
    history.mark_culprit(held)
    record(history, after, 'after')
    assert {one: history.crash_count(one) for one in counts} == counts


# Sound content that is held must be released once the culprit is known.
@pytest.mark.parametrize(
    'before, held, after, culprit',
    [
        (BESIDE_SOUND, 's1', [['r9 part-b']], 'part-b'),
        (
            [[f'r{n} part-m part-f'] for n in range(3)],
            'part-m',
            [[f's{n} part-f'] for n in range(3)],
            'part-f',
        ),
    ],
)
def test_wrongly_held_content_is_acquitted(before, held, after, culprit):
    history, _crash = history_of(*before)
    if culprit != 'part-f':
        history.clear('part-f')
    history.mark_culprit(held)
    for number, requests in enumerate(after):
        assert history.acquitted() == []
        crash = record(history, [requests], f'after{number}-')
    assert history.find_culprits(crash) == [culprit]
    history.mark_culprit(culprit)
    assert history.acquitted() == [held]


def test_culprits_do_not_acquit_each_other():
    """Both are held after five crashes, each with one that the other lacks."""
    history, crash = history_of(
        ['r8 part-b'], ['s1 part-m'], *BESIDE_SOUND[:4], BESIDE_SOUND[4]
    )
    history.clear('part-f')
    found = history.find_culprits(crash)
    assert sorted(found) == ['part-b', 's1']
    for digest in found:
        history.mark_culprit(digest)
    assert history.acquitted() == []
    assert [history.crash_count(digest) for digest in found] == [6, 6]


def test_completed_part_is_not_under_suspicion():
    history, crash = history_of(*([f'r{n} part-b part-f'] for n in range(3)))
    assert history.clear('part-b')
    assert history.find_culprits(crash) == ['part-f']
    assert history.clear('part-f')
    assert history.find_culprits(crash) == []
