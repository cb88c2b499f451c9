"""Leases and ages include the time for which a machine was suspended.

Guards against CLOCK_MONOTONIC, which stops during a suspension.
"""

import types

import pytest

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import followers
from wrenspoke.coordination.agreement import leadership
from wrenspoke.coordination.limiting import allocator
from wrenspoke.coordination.limiting import team_buckets
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import lease
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.membership import roster
from wrenspoke.coordination.quarantine import crash_history
from wrenspoke.coordination.quarantine import recent_successes
from wrenspoke.coordination.serving import shared_retry_budget
from wrenspoke.coordination.serving import team_rate_limits
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import limiting
from wrenspoke.state import registry
from wrenspoke.transport import links

NS_PER_MS = 1_000_000
SUSPENDED_MS = 10_000
BOUND_MS = 5_000


class Machine:
    """The clocks of a machine, some of which stop during a suspension."""

    CLOCK_BOOTTIME = 7

    def __init__(self):
        self._steady_ms = 1_000_000
        self._boot_ms = 1_000_000

    def run(self, passed_ms):
        self._steady_ms += passed_ms
        self._boot_ms += passed_ms

    def suspend(self, passed_ms=SUSPENDED_MS):
        self._boot_ms += passed_ms

    def monotonic_ns(self):
        return self._steady_ms * NS_PER_MS

    def clock_gettime_ns(self, number):
        assert number == self.CLOCK_BOOTTIME
        return self._boot_ms * NS_PER_MS

    def time_ns(self):
        return self._boot_ms * NS_PER_MS


@pytest.fixture
def machine(monkeypatch):
    """Make ``clocks.Clock`` read the clocks of a simulated machine."""
    made = Machine()
    monkeypatch.setattr(clocks, 'time', made)
    return made


class NoPeers:
    """Accepts handlers, and sends nothing."""

    def handles(self, _kind):
        return lambda handler: handler


def registration():
    return registry.Registration(
        'e', 's', '127.0.0.1:1', 'hall', 1, registry.RegistrationState.READY, 1
    )


def record():
    return discovery_messages.HostRecord(
        'h', 'north', 'hall', '127.0.0.1:2', '127.0.0.1:3', 'life', 1, False
    )


def configuration_lease(clock):
    made = lease.ConfigurationLease(BOUND_MS, clock)
    made.confirm(clock.mono_ms())
    return lambda: made.held


def late_answer_to_the_lease(clock):
    """Receive an answer to a request from before the suspension."""
    made = lease.ConfigurationLease(BOUND_MS, clock)
    asked_ms = clock.mono_ms()
    made.confirm(asked_ms)

    def held():
        made.confirm(asked_ms)
        return made.held

    return held


def leaders_lease(clock):
    follower = followers.Follower(1)
    follower.incarnation = 'disk'
    follower.acked_ms = clock.mono_ms()
    group = types.SimpleNamespace(
        clock=clock,
        host='own',
        incarnation='own disk',
        commit_index=1,
        settings=types.SimpleNamespace(election_timeout_ms=1_000),
        electorate=types.SimpleNamespace(
            majority_value=lambda held: held('other', 'disk')
        ),
    )
    made = leadership.Leadership.__new__(leadership.Leadership)
    made.ended = False
    made._node = group
    made._start_index = 1
    made._followers = {'other': follower}
    return lambda: made.has_lease


def share_of_a_limit(clock):
    held = team_buckets.TeamBucket(
        clock.mono_ms(), demand=team_buckets.Demand(clock.mono_ms())
    )
    held.share = 1.0
    held.until_ms = clock.mono_ms() + allocator.SHARE_LEASE_MS

    def left():
        held.refill(clock.mono_ms())
        return held.share > 0

    return left


def share_that_the_leader_counts(clock):
    parts = allocator.TeamAllocation(clock.mono_ms())
    asked = limiting.ShareRequest('t', 0.0, 1.0, 0.0, 1_000.0)
    parts.grant('lender', asked, True, clock.mono_ms())

    def counted():
        parts._expire(clock.mono_ms())
        return parts.allocated > 0

    return counted


def share_within_a_data_centre(clock):
    made = team_rate_limits.RateLeaseManager(clock)
    made.grant('t', 'a', 10.0, 10.0)
    return lambda: made.grant('t', 'b', 10.0, 10.0) < 10.0


def renewed_registration(clock):
    made = registry.Registry(clock)
    made.merge_registration(registration())

    def fresh():
        made.mark_stale()
        return not made.is_stale('e')

    return fresh


def occupied_address(clock):
    made = registry.Registry(clock)
    made.merge_registration(registration())
    other = registry.Registration(
        'f', 's', '127.0.0.1:1', 'hall', 1, registry.RegistrationState.READY, 1
    )
    return lambda: made.occupant(other) is not None


def young_registration(clock):
    """Report the age of a registration to another host."""
    made = registry.Registry(clock)
    made.merge_registration(registration())
    return lambda: made.with_age(made.entries['e']).age_ms < SUSPENDED_MS


def attending_host(clock):
    made = roster.Roster(2_500, clock)
    made.merge_record(record())

    def known():
        made.expire()
        return 'h' in made.hosts()

    return known


def host_that_may_send(clock):
    made = discovery_client.DiscoveryClient(
        record(),
        control_group.ControlGroup('own', [], clock),
        replica.Replica(),
        NoPeers(),
        clock,
    )
    return lambda: made.recently_ran


def message_that_waited(clock):
    """Receive a message that was sent before the suspension."""
    made = links.Links.__new__(links.Links)
    made._clock = clock
    made._min_offsets_ms = {}

    def envelope(sent_ms):
        return links.Envelope('c', 'h', 'epoch', 0, sent_ms, 2_000, b'')

    sent_ms = clock.mono_ms()
    made._age_ms(envelope(sent_ms))
    return lambda: made._age_ms(envelope(sent_ms)) <= 2_000


def good_end(clock):
    made = recent_successes.RecentSuccesses(clock)
    made.add_success('d')
    return lambda: made.has_recent('d')


def end_of_an_endpoint(clock):
    made = crash_history.CrashHistory(clock)
    made.record_crash('d', 'e', clock.mono_ms())

    def kept():
        made.record_crash('other', 'e', clock.mono_ms())
        return made.crash_count('d') > 0

    return kept


def spent_repeat(clock):
    made = shared_retry_budget.SharedRetryBudget(
        'h', shared_retry_budget.RetryBounds(0.0, 2, 10_000), clock
    )
    made.spend('s')
    return lambda: not made.spend('s')


@pytest.mark.parametrize(
    'hold, suspended_ms',
    [
        (configuration_lease, SUSPENDED_MS),
        (late_answer_to_the_lease, SUSPENDED_MS),
        (leaders_lease, SUSPENDED_MS),
        (share_of_a_limit, SUSPENDED_MS),
        (share_that_the_leader_counts, SUSPENDED_MS),
        (share_within_a_data_centre, SUSPENDED_MS),
        (renewed_registration, SUSPENDED_MS),
        (occupied_address, SUSPENDED_MS),
        (young_registration, SUSPENDED_MS),
        (attending_host, SUSPENDED_MS),
        (host_that_may_send, SUSPENDED_MS),
        (message_that_waited, SUSPENDED_MS),
        (spent_repeat, SUSPENDED_MS),
        (good_end, recent_successes.RETENTION_MS + 1),
        (end_of_an_endpoint, crash_history.RETENTION_MS + 1),
    ],
)
def test_what_was_held_ends_while_the_machine_stands_still(
    machine, hold, suspended_ms
):
    holds = hold(clocks.Clock())
    machine.run(20)
    assert holds()
    machine.suspend(suspended_ms)
    assert not holds()


def test_message_of_a_machine_that_stood_still_is_no_older(machine):
    """The sender's clock included the suspension as well."""
    sender = clocks.Clock()
    made = links.Links.__new__(links.Links)
    made._clock = types.SimpleNamespace(
        mono_ms=lambda: machine._boot_ms + 5_000
    )
    made._min_offsets_ms = {}

    def age_ms():
        sent = links.Envelope('c', 'h', 'epoch', 0, sender.mono_ms(), 1, b'')
        return made._age_ms(sent)

    assert age_ms() == 0
    machine.suspend()
    assert age_ms() == 0
