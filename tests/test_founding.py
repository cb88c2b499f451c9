"""Bootstrap of control groups, recovery of disks and voter planning."""

import errno

import pytest

from tests import nodes
from wrenspoke.coordination.agreement import bootstrap
from wrenspoke.coordination.agreement import followers
from wrenspoke.coordination.agreement import voter
from wrenspoke.coordination.agreement import voter_planner
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import registry_snapshot
from wrenspoke import node as settings
from wrenspoke.state import disk
from wrenspoke.state import electorates
from wrenspoke.state import entries
from wrenspoke.state import locations
from wrenspoke.state import registry
from wrenspoke.state import routes
from wrenspoke.state import storage

READY = registry.RegistrationState.READY
SEEDS = ['10.0.0.1:7', '10.0.0.2:7', '10.0.0.3:7']


def open_storage(folder):
    """Open the storage in a folder."""
    return storage.Storage(disk.Disk(folder))


def test_seeds_write_the_same_first_entries(tmp_path):
    logs = []
    for seed in SEEDS:
        kept = open_storage(tmp_path / seed)
        bootstrap.bootstrap_seeds(kept, seed, SEEDS)
        logs.append([kept.entry(index) for index in (1, 2)])
        assert kept.electorate().voters[seed] == kept.meta.incarnation
    assert logs[0] == logs[1] == logs[2]
    assert logs[0][0].entry.voters.keys() == set(SEEDS)


@pytest.mark.parametrize('case', ['no seed', 'holds a log', 'was started'])
def test_only_an_empty_disk_of_a_seed_founds(tmp_path, case):
    kept = open_storage(tmp_path)
    host = SEEDS[0]
    if case == 'no seed':
        host = '10.0.0.9:7'
    elif case == 'holds a log':
        kept.append([entries.LogEntry(1, 1, entries.LeaderStart('x'))])
    else:
        kept.meta.boot = 1
    before = kept.last_index
    bootstrap.bootstrap_seeds(kept, host, SEEDS)
    assert kept.last_index == before


@pytest.mark.parametrize(
    'case, known',
    [
        ('noted', 2),
        ('not noted', 0),
        ('beyond the log', 3),
        ('of another disk', 0),
        ('torn', 0),
        ('told by the log', 2),
    ],
)
def test_committed_entries_are_known_after_a_restart(tmp_path, case, known):
    """A lost or torn commit record must not yield too high an index."""
    kept = open_storage(tmp_path)
    kept.save_meta()
    kept.append(
        [
            entries.LogEntry(index, 1, entries.LeaderStart('x'))
            for index in (1, 2)
        ]
    )
    told = 2 if case == 'told by the log' else 0
    last = entries.LogEntry(3, 1, entries.LeaderStart('x'), told)
    kept.append([last])
    if case not in ('not noted', 'told by the log'):
        kept.save_committed(9 if case == 'beyond the log' else 2)
    if case == 'of another disk':
        kept.meta.incarnation = 'other'
        kept.save_meta()
    if case == 'torn':
        path = tmp_path / storage.COMMITTED
        path.write_bytes(path.read_bytes()[:-1])
    assert open_storage(tmp_path).read_committed() == known


async def test_restart_of_all_keeps_accepted_routes(tmp_path):
    async with nodes.running(tmp_path, controls=3) as system:
        await system.put(version=7)
        leader = await system.leader()
        assert (await leader.decisions.read_routes()).version == 7
        for one in system.controls:
            await one.close()
        system.controls.clear()
        for ip in system.control_ips:
            await system.start_control(ip, first_start=False)
        versions = [
            one.replica.current.routes.version for one in system.controls
        ]
        assert 7 in versions, 'the noted commit is applied at the start'
        leader = await system.leader()
        assert (await leader.decisions.read_routes()).version == 7


async def test_wiped_disk_never_bootstraps_and_is_readmitted(tmp_path):
    async with nodes.running(tmp_path, controls=3) as system:
        await system.put(version=3)
        lost = system.controls.pop(0)
        await lost.close()
        for path in (tmp_path / lost.node.ip).iterdir():
            path.unlink()
        back = await system.start_control(lost.node.ip, first_start=False)
        assert back.voter.electorate.voters == {}
        await nodes.until(
            lambda: (
                back.voter.is_voter
                and len(back.voter.electorate.voters) == 3
                and not back.voter.electorate.before
            )
        )
        assert (
            await nodes.until(lambda: back.replica.current.routes.version) == 3
        )


@pytest.mark.parametrize(
    'kept, warmup_left_ms, known',
    [(True, 0, True), (False, 0, False), (True, 2_000, False)],
    ids=['kept', 'lost', 'cold'],
)
async def test_restart_of_all_keeps_endpoints_until_they_renew(
    tmp_path, kept, warmup_left_ms, known
):
    async with nodes.running(tmp_path) as system:
        await system.put(version=1)
        [control] = system.controls
        control.registrar.register(
            registry.Registration(
                'e',
                's',
                '10.9.9.9:1',
                'north-hall',
                1,
                READY,
                1,
                warmup_left_ms,
            )
        )
        path = tmp_path / control.node.ip / registry_snapshot.SNAPSHOT_FILE
        await nodes.until(path.exists)
        await control.close()
        if not kept:
            path.write_bytes(path.read_bytes()[:-1])
        system.controls.clear()
        again = await system.start_control(control.node.ip, first_start=False)
        held = again.registrar.registry.entries
        assert ('e' in held) is known
        # Restored with a limited lifetime, as nothing renews it here.
        if known:
            age_ms = again.clock.mono_ms() - held['e'].reported_ms
            assert age_ms >= registry_snapshot.RESTORED_LEASE_MS


@pytest.mark.parametrize('leads', [True, False], ids=['leader', 'follower'])
async def test_host_without_room_on_its_disk_goes_on_answering(
    tmp_path, monkeypatch, leads
):
    """It accepts no entry while its disk is full, and catches up after."""
    full = set()
    write = disk._write_and_sync

    def write_if_room(file, data):
        if any(f'/{ip}/' in file.name for ip in full):
            raise OSError(errno.ENOSPC, 'No space left on device')
        write(file, data)

    monkeypatch.setattr(disk, '_write_and_sync', write_if_room)
    async with nodes.running(tmp_path, controls=3) as system:
        await system.put(version=3)
        leader = await system.leader()
        found = next(
            one for one in system.controls if (one is leader) is leads
        )
        full.add(found.node.ip)
        if leads:
            with pytest.raises(errors.NotLeaderError):
                await found.decisions.set_evacuation('north-hall', True)
        others = [one for one in system.controls if one is not found]
        other = await nodes.until(
            lambda: next((one for one in others if one.voter.has_lease), None)
        )
        table = routes.RouteTable(version=4, digest='4')
        await other.decisions.replace_routes(table)
        assert not found.voter.has_lease
        assert found.replica.current.routes.version == 3
        said = registry.Registration(
            'e', 's', '10.9.9.9:1', 'north-hall', 1, READY, 1
        )
        found.registrar.register(said)
        [entry] = system.entries
        await nodes.until(lambda: 'e' in entry.discovery.registry.entries)
        # It also answers after a restart with a full disk.
        await found.close()
        system.controls.remove(found)
        again = await system.start_control(found.node.ip, first_start=False)
        assert again.replica.current.routes.version == 3
        full.clear()
        await nodes.until(lambda: again.replica.current.routes.version == 4)
        await nodes.until(lambda: again.voter.is_voter)


async def test_new_control_host_takes_a_lost_ones_vote(tmp_path, monkeypatch):
    patient = settings.NodeControlSettings(
        beat_interval_ms=50,
        election_timeout_ms=300,
        tolerated_losses=1,
        replace_after_ms=700,
    )
    monkeypatch.setattr(nodes, 'FAST', patient)
    async with nodes.running(tmp_path, controls=3) as system:
        await system.put(version=3)
        new = await system.start_control(nodes.new_ip(), first_start=False)
        await nodes.until(lambda: new.replica.current.routes.version == 3)
        assert not new.voter.is_voter, 'three are enough'
        lost = system.controls.pop(0)
        await lost.close()
        leader = await system.leader()
        await nodes.until(
            lambda: (
                new.voter.is_voter
                and lost.node.host not in leader.voter.electorate.hosts
                and len(leader.voter.electorate.voters) == 3
            )
        )


async def test_pre_candidate_may_still_vote_for_another(tmp_path):
    """Its own pre-vote must not count as contact with a leader."""
    async with nodes.running(tmp_path, controls=2, entries=0) as system:
        await system.leader()
        left, gone = system.controls
        system.controls.remove(gone)
        await gone.close()
        await nodes.until(lambda: left.voter.role is voter.Role.FOLLOWER)
        before_ms = left.clock.mono_ms()
        await nodes.until(lambda: left.voter._election_attempt_ms > before_ms)
        assert not left.voter._has_leader_contact()


async def test_read_is_refused_without_confirmation(tmp_path):
    async with nodes.running(tmp_path, controls=3) as system:
        await system.put(version=3)
        await system.leader()
        for one in system.controls:
            read = await one.decisions.read_routes()
            assert read.version == 3
        left = system.controls.pop()
        for one in system.controls:
            await one.close()
        system.controls.clear()
        await nodes.until(lambda: not left.voter.has_lease)
        with pytest.raises(errors.NotLeaderError):
            await left.decisions.read_routes()
        await left.close()


@pytest.mark.parametrize(
    'limit, voters, change',
    [
        (None, {'a': 'A', 'b': 'B'}, 'add c'),
        (3, {'a': 'A', 'b': 'B'}, 'add c'),
        (2, {'a': 'A', 'b': 'B'}, None),
        (2, {'a': 'A', 'lost': 'L'}, 'swap lost b'),
        (2, {'a': 'A', 'b': 'B', 'lost': 'L'}, 'remove lost'),
        (3, {'a': 'A', 'b': 'old', 'c': 'C'}, 'swap b b'),
        (None, {'a': 'A', 'b': 'old', 'c': 'C'}, 'swap b b'),
    ],
)
def test_voters_are_changed_one_at_a_time(limit, voters, change):
    group = FakeGroup(limit, voters)
    known = group.followers(('b', 'B'), ('c', 'C'))
    found = voter_planner.VoterPlanner(group, 0).next_change(known)
    if change is None:
        assert found is None
        return
    verb, *names = change.split()
    wanted = dict(voters)
    if verb != 'add':
        del wanted[names[0]]
    if verb != 'remove':
        wanted[names[-1]] = names[-1].upper()
    assert found.voters == wanted
    # A swap needs the majorities of both electorates until it is complete.
    assert found.before == (voters if verb == 'swap' else {})


def test_joint_electorate_is_ended_by_another_entry():
    new = {'a': 'A', 'b': 'B', 'c': 'C'}
    group = FakeGroup(3, new, before={'a': 'A', 'b': 'B', 'lost': 'L'})
    known = group.followers(('b', 'B'), ('c', 'C'))
    found = voter_planner.VoterPlanner(group, 0).next_change(known)
    assert (found.voters, found.before) == (new, {})


@pytest.mark.parametrize('case', ['behind', 'silent', 'never heard'])
def test_only_caught_up_responsive_host_gets_a_vote(case):
    group = FakeGroup(3, {'a': 'A', 'b': 'B', 'lost': 'L'})
    known = group.followers(('b', 'B'), ('c', 'C'))
    if case == 'behind':
        known['c'].match_index = group.commit_index - 1
    elif case == 'silent':
        known['c'].acked_ms -= FakeSettings.election_timeout_ms + 1
    else:
        known['c'].acked_ms = None
    assert voter_planner.VoterPlanner(group, 0).next_change(known) is None


NORTH, SOUTH, WEST = (
    locations.Location(region, f'{region}-hall')
    for region in ('north', 'south', 'west')
)


def assert_replacement(group, where, change):
    """Check which learner replaces which voter, if any."""
    known = group.followers(*((host, host.upper()) for host in where))
    for host, location in where.items():
        known[host].location = location
    found = voter_planner.VoterPlanner(group, 0).next_change(known)
    if change is None:
        assert found is None
        return
    out, come = change.split()
    assert out not in found.voters and come in found.voters
    assert found.before == group.electorate.voters


@pytest.mark.parametrize(
    'where, change',
    [
        # Prefers the learner in a region without a voter.
        ({'b': SOUTH, 'c': NORTH, 'd': WEST}, 'lost d'),
        ({'b': SOUTH, 'c': WEST, 'd': NORTH}, 'lost c'),
        # A lost voter is replaced even if the spread does not improve.
        ({'b': SOUTH, 'c': SOUTH}, 'lost c'),
        ({'b': NORTH, 'c': WEST}, 'lost c'),
        ({'b': SOUTH}, None),
    ],
)
def test_voters_are_spread_over_regions(where, change):
    group = FakeGroup(3, {'a': 'A', 'b': 'B', 'lost': 'L'})
    assert_replacement(group, where, change)


@pytest.mark.parametrize(
    'where, change',
    [
        ({'b': NORTH, 'c': SOUTH, 'd': WEST}, 'b d'),
        ({'b': WEST, 'c': SOUTH, 'd': NORTH}, None),
        ({'b': NORTH, 'c': SOUTH, 'd': NORTH}, None),
        # Two data centres of a region are better than one of them twice.
        (
            {
                'b': NORTH,
                'c': SOUTH,
                'd': locations.Location('north', 'north-hall-2'),
            },
            'b d',
        ),
        ({'b': NORTH, 'c': SOUTH, 'd': None}, None),
        ({'b': None, 'c': SOUTH, 'd': WEST}, None),
    ],
    ids=[
        'third region',
        'spread',
        'no other',
        'other hall',
        'unknown',
        'voter unknown',
    ],
)
def test_voter_is_replaced_to_improve_spread(where, change):
    group = FakeGroup(3, {'a': 'A', 'b': 'B', 'c': 'C'})
    assert_replacement(group, where, change)


class FakeGroup:
    """State of a leader in the north region, with its own clock."""

    def __init__(self, limit, voters, before=None):
        self.host = 'a'
        self.electorate = electorates.Electorate(voters, before or {})
        self.commit_index = 5
        self.clock = self.group = self
        self.location = NORTH
        self.now_ms = 100_000
        self.settings = FakeSettings(limit)

    def mono_ms(self):
        return self.now_ms

    def silence_ms(self, _host):
        return 0

    def followers(self, *disks):
        """Return followers that have caught up and answered just now."""
        known = {}
        for host, name in disks:
            known[host] = follower = followers.Follower(1)
            follower.incarnation = name
            follower.match_index = 9
            follower.acked_ms = self.now_ms
        return known


class FakeSettings:
    """Control settings that the voter planner reads."""

    replace_after_ms = 8_000
    election_timeout_ms = 1_000

    def __init__(self, limit):
        self.voters_limit = limit


async def test_host_that_voted_meanwhile_does_not_campaign(tmp_path):
    """Concurrent candidates must not depose each other."""
    async with nodes.running(tmp_path, controls=1, entries=0) as system:
        leader = await system.leader()
        elected = leader.voter
        term = elected.term
        asked = []

        async def canvass(pre):
            asked.append(pre)
            # Simulates a vote granted to another host during the pre-vote.
            elected._leader_contact_ms = elected.clock.mono_ms()
            return True

        elected._request_votes = canvass
        elected._step_down()
        elected._leader_contact_ms = elected.clock.mono_ms() - 10_000
        await nodes.until(lambda: asked)
        assert asked == [True] and elected.term == term
