"""Voter changes during partitions, replaced hosts and wiped disks."""

import pytest

from tests import group
from wrenspoke.coordination.agreement import vote_tally
from wrenspoke.protocol import messages
from wrenspoke.state import entries

# Covers the replacement delay, an election and several round trips.
SETTLE_TIMEOUT_MS = 30_000
# Time until a started replacement host is admitted, so that the group may
# lose another one.
RECOVERY_MS = 4_000


def carries_voters(message):
    """Return whether a message replicates a voter change."""
    if not isinstance(message, messages.AppendEntries):
        return False
    return any(
        isinstance(item.entry, entries.SetVoters) for item in message.added
    )


class OnVoterChange:
    """Runs one action for each new voter change that is replicated."""

    def __init__(self, system):
        self._actions = []
        kept = [host.voter.storage for host in system.running.values()]
        self._newest = max(one.last_index for one in kept)
        system.network.on_message = self

    def add_action(self, action):
        """Add the action for the next voter change."""
        self._actions.append(action)
        return self

    @property
    def is_done(self):
        return not self._actions

    def __call__(self, _sender, _host, message):
        if not self._actions or not carries_voters(message):
            return
        newest = max(
            item.index
            for item in message.added
            if isinstance(item.entry, entries.SetVoters)
        )
        if newest > self._newest:
            self._newest = newest
            self._actions.pop(0)()


def do_nothing():
    """Action without effect."""


async def lose_host(system, lost, how):
    """Remove a host or wipe its disk; return the replacement's name."""
    if how == 'wiped':
        await system.wipe_host(lost)
        return lost
    system.locations['new'] = system.location(lost)
    await system.delete_host(lost)
    system.seeds = [name for name in system.seeds if name != lost] + ['new']
    await system.sleep_ms(1_000)
    system.start('new')
    return 'new'


@pytest.mark.parametrize('power', [False, True], ids=['healed', 'restarted'])
@pytest.mark.parametrize('number', [1, 2])
@pytest.mark.parametrize('how', ['replaced', 'wiped'])
def test_partition_during_voter_change_leaves_an_electable_group(
    how, number, power
):
    """The group must elect a leader wherever the change was replicated."""

    async def play():
        system = group.Group(seed=number)
        leader = await system.bootstrap()
        await system.commit_change()
        cut = OnVoterChange(system)
        for _number in range(1, number):
            cut.add_action(do_nothing)
        cut.add_action(system.network.cut_all)
        lost = next(name for name in system.running if name != leader.name)
        await lose_host(system, lost, how)
        await system.wait_until(lambda: cut.is_done)
        await system.sleep_ms(5_000)
        if power:
            await system.restart_all()
        system.network.heal()
        await system.commit_change(SETTLE_TIMEOUT_MS)
        assert await system.leader_version() == system.acknowledged
        await system.close()

    group.run(play())


def test_new_voter_votes_before_it_receives_its_admission():
    """Its vote is needed to elect the leader that sends it the admission."""

    async def play():
        system = group.Group(seed=1)
        leader = await system.bootstrap()
        await system.commit_change()
        third, lost = [name for name in system.running if name != leader.name]
        cut = OnVoterChange(system)
        cut.add_action(lambda: system.network.cut_off('new'))
        cut.add_action(system.network.cut_all)
        await lose_host(system, lost, 'replaced')
        await system.wait_until(lambda: cut.is_done)
        newcomer = system.running['new'].voter
        assert not newcomer.is_voter
        await system.sleep_ms(5_000)
        await system.stop_host(third)
        system.network.heal()
        await system.commit_change(SETTLE_TIMEOUT_MS)
        assert newcomer.is_voter
        await system.close()

    group.run(play())


def test_voter_removed_by_an_uncommitted_change_may_campaign():
    """No other host can win against its log, and only it has the change."""

    async def play():
        system = group.Group(seed=1)
        leader = await system.bootstrap()
        await system.commit_change()
        third, left = [name for name in system.running if name != leader.name]
        network = system.network
        system.start('new')
        await system.sleep_ms(3_000)

        def tell_only_the_one_that_left():
            network.cut_all()
            network.reconnect(leader.name, left)

        change = OnVoterChange(system)
        change.add_action(do_nothing).add_action(tell_only_the_one_that_left)
        network.cut_off(left)
        await system.wait_until(lambda: change.is_done)
        kept = system.running[left].voter.storage
        await system.wait_until(lambda: kept.electorate().voters.get('new'))
        await system.wait_until(lambda: not kept.electorate().before)
        await system.wipe_host(leader.name)
        network.heal()
        await system.commit_change(SETTLE_TIMEOUT_MS)
        assert third in system.running
        await system.close()

    group.run(play())


@pytest.mark.parametrize('second', ['first', 'other', 'newest'])
@pytest.mark.parametrize('who', ['leader', 'follower'])
@pytest.mark.parametrize('how', ['replaced', 'wiped'])
@pytest.mark.parametrize('after_ms', range(0, 6_000, 500))
def test_group_survives_second_lost_disk(how, who, second, after_ms):
    """A second disk is lost while all hosts lose power."""

    async def play():
        system = group.Group(seed=after_ms)
        leader = await system.bootstrap()
        others = [name for name in system.running if name != leader.name]
        gone = leader.name if who == 'leader' else others[0]
        left = [name for name in system.running if name != gone]
        back = await lose_host(system, gone, how)
        await system.sleep_ms(RECOVERY_MS + after_ms)
        await system.commit_change()
        lost = {'first': left[0], 'other': left[1], 'newest': back}[second]
        await system.stop_host(lost)
        system.disks[lost].wipe()
        await system.restart_all()
        system.start(lost)
        await system.commit_change(SETTLE_TIMEOUT_MS)
        assert await system.leader_version() == system.acknowledged
        await system.close()

    group.run(play())


@pytest.mark.parametrize('seed', [3, 34, 49])
def test_concurrent_pre_votes_start_one_election(seed, monkeypatch):
    """Guards against repeated split votes, which these seeds provoke."""

    async def play():
        system = group.Group(seed)
        await system.bootstrap()
        await system.sleep_ms(2_000 + 7 * seed)
        leader = await system.wait_for_leader()
        await system.stop_host(leader.name)
        await system.commit_change()
        await system.close()

    lost = []
    monkeypatch.setattr(
        vote_tally.VoteTally,
        'log_lost',
        lambda _self, asked, _silence_ms: lost.append(asked),
    )
    group.run(play())
    assert not [asked for asked in lost if not asked.pre]


def follower_of(leader, system):
    """Return one of the followers."""
    return next(host for host in system.running.values() if host is not leader)


def heartbeat_message(voter, confirmed, ahead=0):
    """Return a heartbeat with a confirmed moment.

    ``ahead`` is added to the commit index.
    """
    kept = voter.storage
    return messages.AppendEntries(
        voter.term,
        kept.last_index,
        kept.last_term,
        voter.commit_index + ahead,
        confirmed=confirmed,
    )


async def confirmed_follower(system):
    """Return the leader, a follower's voter and its confirmed time."""
    leader = await system.bootstrap()
    voter = follower_of(leader, system).voter
    await system.wait_until(lambda: voter.confirmed_age_ms is not None)
    return leader, voter, voter._confirmed_ms


def test_follower_confirms_only_moments_of_its_own_instance():
    """The clock may have restarted since another instance's moment."""

    async def play():
        system = group.Group()
        leader, voter, known_ms = await confirmed_follower(system)
        later_ms = known_ms + 5_000
        other = messages.LocalTimestamp('another life', later_ms)
        await voter._handle_append(
            leader.name, heartbeat_message(voter, other)
        )
        assert voter._confirmed_ms == known_ms
        own = messages.LocalTimestamp(voter._instance_id, later_ms)
        await voter._handle_append(leader.name, heartbeat_message(voter, own))
        assert voter._confirmed_ms == later_ms
        await system.close()

    group.run(play())


def test_follower_confirms_what_it_has_applied_only():
    async def play():
        system = group.Group()
        leader, voter, known_ms = await confirmed_follower(system)
        moment = messages.LocalTimestamp(voter._instance_id, known_ms + 5_000)
        await voter._handle_append(
            leader.name, heartbeat_message(voter, moment, ahead=1)
        )
        assert voter._confirmed_ms == known_ms
        await system.close()

    group.run(play())


def test_leader_without_a_lease_confirms_nothing():
    """During a partition the other hosts may accept newer entries."""

    async def play():
        system = group.Group()
        leader = await system.bootstrap()
        follower = next(iter(leader.voter._leadership._followers.values()))
        await system.wait_until(lambda: follower.moment is not None)
        lead = leader.voter._leadership
        assert lead._next_message(follower).confirmed == follower.moment
        system.network.cut_off(leader.name)
        await system.wait_until(lambda: not leader.voter.has_lease)
        assert lead._next_message(follower).confirmed is None
        await system.close()

    group.run(play())


def test_followers_have_a_recently_confirmed_moment():
    """Heartbeats confirm it within a round trip and one interval."""

    async def play():
        system = group.Group()
        leader = await system.bootstrap()
        await system.sleep_ms(2_000)
        for host in system.running.values():
            age_ms = host.voter.confirmed_age_ms
            assert age_ms is not None and age_ms <= 800
        await system.commit_change()
        system.network.cut_off(leader.name)
        await system.sleep_ms(1_000)
        assert leader.voter.confirmed_age_ms is None
        await system.close()

    group.run(play())
