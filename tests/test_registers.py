"""At most one attempt is dispatched per key, also across restarts."""

import pickle

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from wrenspoke import ids
from wrenspoke.state import registers

HOSTS = ('a', 'b', 'c')
QUORUM = 2
SOME_HOSTS = strategies.permutations(HOSTS).flatmap(
    lambda order: strategies.integers(1, 3).map(lambda n: order[:n])
)
KEY = 'north:1000:k'
ISSUED_MS = 1000


class Proposal:
    """State of one proposer's round."""

    def __init__(self, host, ballot, attempt):
        self.host = host
        self.ballot = ballot
        self.attempt = attempt
        self.name = ids.AttemptId(f'{host}-{ballot.number}')
        self.promises = {}
        self.accepts = {}
        self.claim = None


def consistent(votes):
    """Return the valid votes if they are a majority, else None."""
    return registers.consistent_votes(votes, QUORUM)


class Cluster:
    """Three ledger hosts, with the values chosen so far."""

    def __init__(self):
        self.copies = {
            host: registers.Registers(ids.HostId(host), 1, 0) for host in HOSTS
        }
        self.recovering = {}
        self.chosen = []

    def prepare(self, one, hosts):
        """Deliver the prepare of a round to hosts."""
        for host in hosts:
            if one.claim is not None or host in one.promises:
                continue
            vote = self.copies[host].prepare(KEY, ISSUED_MS, one.ballot)
            if vote.granted:
                one.promises[host] = vote
                self.settle(one)

    def settle(self, one):
        """Choose the value of a round once a majority has promised."""
        quorum = consistent(one.promises)
        if quorum is None:
            return
        newest = max(quorum.values(), key=lambda vote: vote.accepted)
        one.claim = registers.with_claim(
            newest.claim, one.attempt, ids.HostId(one.host), one.name
        )

    def accept(self, one, hosts):
        """Deliver the accept of a round to hosts."""
        for host in hosts:
            if one.claim is None or host in one.accepts:
                continue
            vote = self.copies[host].accept(
                KEY, ISSUED_MS, one.ballot, one.claim
            )
            if not vote.granted:
                continue
            one.accepts[host] = vote
            if consistent(one.accepts) is not None:
                self.chosen.append(one.claim)

    def restart(self, host):
        """Restart a host without its registers, one host at a time."""
        if self.recovering:
            return
        epoch = self.copies[host].epoch + 1
        forgetful = registers.Registers(ids.HostId(host), epoch, 10**9)
        self.copies[host] = forgetful
        self.recovering = {host: {}}

    def recall(self, others):
        """Recover the registers of the restarted host from others."""
        ((host, memories),) = self.recovering.items()
        copy = self.copies[host]
        for other in others:
            if other == host:
                continue
            told = self.copies[other].on_recovery_request(host, copy.epoch)
            # Copied: the snapshot must not change after it was sent.
            memories[other] = pickle.loads(pickle.dumps(told))
        if len(memories) >= QUORUM:
            copy.restore(list(memories.values()))
            self.recovering = {}

    def winners(self):
        """Return the attempts that were dispatched."""
        return {
            claim.attempt_id
            for claim in self.chosen
            if claim.state is registers.ClaimState.DISPATCHED
        }


# Ballots by round number, then the steps with round number and hosts.
INTERLEAVINGS = {
    'votes without its memory': (
        {1: 1, 2: 2},
        [
            ('prepare', 1, 'ab'),
            ('accept', 1, 'ab'),
            ('restart', 'a'),
            ('prepare', 2, 'ac'),
            ('accept', 2, 'ac'),
        ],
    ),
    'two restarts in a row': (
        {1: 1, 2: 2},
        [
            ('prepare', 1, 'ab'),
            ('accept', 1, 'ab'),
            ('restart', 'a'),
            ('recall', 'bc'),
            ('restart', 'b'),
            ('recall', 'ac'),
            ('prepare', 2, 'bc'),
            ('accept', 2, 'bc'),
        ],
    ),
    'promise forgotten before the majority was full': (
        {1: 5, 2: 3},
        [
            ('prepare', 1, 'a'),
            ('restart', 'a'),
            ('recall', 'bc'),
            ('prepare', 2, 'ac'),
            ('accept', 2, 'ac'),
            ('prepare', 1, 'b'),
            ('accept', 1, 'bc'),
        ],
    ),
    'accepted before a restart, counted after': (
        {1: 1, 2: 2},
        [
            ('prepare', 1, 'bc'),
            ('accept', 1, 'a'),
            ('restart', 'a'),
            ('recall', 'bc'),
            ('accept', 1, 'b'),
            ('prepare', 2, 'ac'),
            ('accept', 2, 'ac'),
        ],
    ),
}


@pytest.mark.parametrize('name', INTERLEAVINGS)
def test_at_most_one_attempt_is_dispatched(name):
    ballots, steps = INTERLEAVINGS[name]
    cluster = Cluster()
    rounds = {
        number: Proposal('xy'[number - 1], registers.Ballot(ballot), number)
        for number, ballot in ballots.items()
    }
    for step, *arguments in steps:
        if step in ('prepare', 'accept'):
            number, hosts = arguments
            getattr(cluster, step)(rounds[number], hosts)
        else:
            getattr(cluster, step)(*arguments)
    assert len(cluster.winners()) <= 1


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Delivers prepares and accepts in any order and restarts hosts."""

    def __init__(self):
        super().__init__()
        self.cluster = Cluster()
        self.proposals = []
        self.ballots = set()

    @stateful.rule(
        host=strategies.sampled_from(HOSTS),
        number=strategies.integers(1, 6),
        reached=SOME_HOSTS,
    )
    def propose(self, host, number, reached):
        """Start a round and deliver its prepare to some hosts."""
        ballot = registers.Ballot(number, host)
        if len(self.proposals) >= 5 or ballot in self.ballots:
            return
        self.ballots.add(ballot)
        one = Proposal(host, ballot, len(self.proposals) + 1)
        self.proposals.append(one)
        self.cluster.prepare(one, reached)

    @stateful.precondition(lambda self: self.proposals)
    @stateful.rule(data=strategies.data(), reached=SOME_HOSTS)
    def deliver_prepare(self, data, reached):
        one = data.draw(strategies.sampled_from(self.proposals))
        self.cluster.prepare(one, reached)

    @stateful.precondition(
        lambda self: any(one.claim for one in self.proposals)
    )
    @stateful.rule(data=strategies.data(), reached=SOME_HOSTS)
    def deliver_accept(self, data, reached):
        ready = [one for one in self.proposals if one.claim]
        one = data.draw(strategies.sampled_from(ready))
        self.cluster.accept(one, reached)

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def restart(self, host):
        self.cluster.restart(host)

    @stateful.precondition(lambda self: self.cluster.recovering)
    @stateful.rule(others=SOME_HOSTS)
    def recall(self, others):
        self.cluster.recall(others)

    @stateful.invariant()
    def one_attempt_at_most_was_let_through(self):
        assert len(self.cluster.winners()) <= 1


LedgerMachine.TestCase.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=14,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestLedger = LedgerMachine.TestCase


def claim(state, attempt=0, name=''):
    """Return a claim in the given state."""
    return registers.Claim(
        registers.ClaimState(state), attempt, ids.HostId('a'), name
    )


def test_claim_transitions():
    table = [
        ('free', 0, 1, 'dispatched', 1),
        ('refused', 1, 1, 'refused', 1),
        ('refused', 1, 2, 'dispatched', 2),
        ('dispatched', 1, 2, 'dispatched', 1),
        ('answered', 1, 2, 'answered', 1),
    ]
    for state, held, attempt, after, kept in table:
        found = registers.with_claim(
            claim(state, held, 'old'), attempt, ids.HostId('b'), 'new'
        )
        assert (found.state.value, found.attempt) == (after, kept)
    refusals = [
        ('free', 0, 2, 'refused', 2),
        ('refused', 1, 3, 'refused', 3),
        ('refused', 3, 1, 'refused', 3),
        ('dispatched', 1, 2, 'dispatched', 1),
        ('answered', 1, 2, 'answered', 1),
    ]
    for state, held, attempt, after, kept in refusals:
        found = registers.with_refusal(claim(state, held, 'old'), attempt)
        assert (found.state.value, found.attempt) == (after, kept)


def test_old_keys_expire_and_are_not_voted_on():
    copy = registers.Registers(ids.HostId('a'), 1, 0)
    ballot = registers.Ballot(1, 'a')
    assert copy.prepare('r:100:x', 100, ballot).granted
    assert copy.prepare('r:900:y', 900, ballot).granted
    assert copy.expire(500) == 1
    assert len(copy) == 1
    vote = copy.prepare('r:100:x', 100, registers.Ballot(9, 'a'))
    assert (vote.granted, vote.forgotten) == (False, True)


@pytest.mark.parametrize('count', [0, 1, 7, 40])
@pytest.mark.parametrize('part_bytes', [0, 2_000, 1 << 30])
def test_snapshot_is_complete_across_chunks(count, part_bytes):
    copy = registers.Registers(ids.HostId('a'), 1, 0)
    for number in range(count):
        # Three keys share each issue time.
        copy.prepare(f'k{number}', number // 3, registers.Ballot(1, 'a'))
    told = []
    after = registers.START_CURSOR
    for _part in range(count + 2):
        memory = copy.on_recovery_request('b', 2, after, part_bytes)
        told += memory.registers
        if not memory.more:
            break
        after = memory.registers[-1][:2]
    assert not memory.more
    assert sorted(key for _ms, key, _register in told) == sorted(
        f'k{number}' for number in range(count)
    )
