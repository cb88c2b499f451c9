"""Bounds on the membership traffic of each host as a fleet grows."""

import pytest

from tests import group
from tests import membership_fleet
from tests import test_replica
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import messages

SIZES = [20, 60, 200]
SETTLED_MS = 4_000
CALM_MS = 5_000
# Encoded size of a renewal.
RENEWAL_BYTES = 40
# Encoded size of a host or endpoint record, received in both sessions.
RECORD_BYTES = 260
# Fixed size of a message.
EMPTY_BYTES = 800
# Well above the time any change takes to reach all hosts.
LOST_MS = 8_000


async def settled_fleet(entries):
    fleet = membership_fleet.AttendingFleet(entries, entries // 2)
    await fleet.start()
    await fleet.wait_ms(SETTLED_MS)
    return fleet


@pytest.mark.parametrize('entries', SIZES)
def test_hosts_that_start_together_are_told_of_in_few_messages(entries):
    async def play():
        fleet = await settled_fleet(entries)
        for host in fleet.entries.values():
            assert host.known_hosts == {*fleet.entry_names}
        told = fleet.sent(fleet.controls, 'AttendReply')
        await fleet.close()
        assert told.messages / entries <= 30
        things = entries + fleet.endpoints
        most = RECORD_BYTES * things + 8 * EMPTY_BYTES
        assert told.bytes / entries <= most

    group.run(play())


@pytest.mark.parametrize('entries', SIZES)
def test_control_hosts_tell_renewals_in_a_few_bytes_each(entries):
    async def play():
        fleet = await settled_fleet(entries)
        before = fleet.sent(fleet.controls, 'Exchange').bytes
        await fleet.wait_ms(CALM_MS)
        told = fleet.sent(fleet.controls, 'Exchange').bytes - before
        await fleet.close()
        seconds = CALM_MS / group.MS_PER_S
        things = entries + fleet.endpoints
        most = RENEWAL_BYTES * things + EMPTY_BYTES
        assert told / seconds / membership_fleet.CONTROLS <= most

    group.run(play())


@pytest.mark.parametrize('entries', SIZES)
def test_calm_host_is_told_as_little_in_a_large_fleet(entries):
    async def play():
        fleet = await settled_fleet(entries)
        before = fleet.sent(fleet.controls, 'AttendReply')
        await fleet.wait_ms(CALM_MS)
        told = fleet.sent(fleet.controls, 'AttendReply')
        await fleet.close()
        seconds = CALM_MS / group.MS_PER_S
        assert (told.messages - before.messages) / entries / seconds <= 3.2
        assert (told.bytes - before.bytes) / entries / seconds <= 1_000

    group.run(play())


@pytest.mark.parametrize('entries', SIZES)
def test_host_that_comes_later_costs_each_other_host_one_record(entries):
    async def play():
        fleet = await settled_fleet(entries)
        # The traffic of a fleet without changes is subtracted.
        await fleet.wait_ms(CALM_MS)
        before = fleet.sent(fleet.controls, 'AttendReply').bytes
        await fleet.wait_ms(CALM_MS)
        calm = fleet.sent(fleet.controls, 'AttendReply').bytes - before
        fleet.entry_names.append('10.7.7.7:7000')
        fleet.start_entry(entries)
        before += calm
        newcomer = '10.7.7.7:7000'
        await fleet.wait_ms(CALM_MS)
        told = fleet.sent(fleet.controls, 'AttendReply').bytes - before
        told -= fleet.sent(fleet.controls, 'AttendReply', newcomer).bytes
        known = [
            newcomer in host.known_hosts for host in fleet.entries.values()
        ]
        await fleet.close()
        assert all(known)
        assert (told - calm) / entries <= RECORD_BYTES

    group.run(play())


def test_lost_host_is_dropped_everywhere():
    async def play():
        fleet = await settled_fleet(20)
        lost = fleet.entry_names[3]
        await fleet.entries.pop(lost).close()
        await fleet.wait_ms(LOST_MS)
        for host in fleet.controls.values():
            assert lost not in host.registrar.roster.hosts()
        for host in fleet.entries.values():
            assert lost not in host.known_hosts
        await fleet.close()

    group.run(play())


def test_what_a_control_host_hears_reaches_those_that_it_is_cut_off_from():
    """A third control host relays it."""

    async def play():
        fleet = await settled_fleet(20)
        alone, *others, between = fleet.control_names
        for other in others:
            fleet.network.cut(alone, other)
        await fleet.wait_ms(2 * LOST_MS)
        for name in others:
            told = fleet.controls[name].registrar
            assert told.roster.hosts() == {*fleet.entry_names}
            silent = [
                endpoint
                for endpoint, found in told.registry.entries.items()
                if found.is_stale
            ]
            assert silent == [] and len(told.registry.entries) == 10
        await fleet.close()

    group.run(play())


def test_control_host_that_restarts_is_told_all_again():
    async def play():
        fleet = await settled_fleet(20)
        name = fleet.control_names[4]
        await fleet.controls.pop(name).close()
        await fleet.wait_ms(300)
        fleet.start_control(name)
        await fleet.wait_ms(SETTLED_MS)
        told = fleet.controls[name].registrar
        assert told.roster.hosts() == {*fleet.entry_names}
        assert len(told.registry.entries) == 10
        await fleet.close()

    group.run(play())


def test_cut_that_heals_leaves_every_host_known():
    """Entries that expired in the meantime return with a renewal."""

    async def play():
        fleet = await settled_fleet(20)
        alone, *others = fleet.control_names
        for other in others:
            fleet.network.cut(alone, other)
        await fleet.wait_ms(2 * LOST_MS)
        fleet.network.heal()
        await fleet.wait_ms(LOST_MS)
        for host in fleet.controls.values():
            assert host.registrar.roster.hosts() == {*fleet.entry_names}
            assert len(host.registrar.registry.entries) == 10
        await fleet.close()

    group.run(play())


def sessions_of(fleet):
    """Return the control hosts of each entry host's sessions."""
    return {
        name: {session.host for session in host.discovery._sessions}
        for name, host in fleet.entries.items()
    }


def test_hosts_attend_within_their_region():
    async def play():
        fleet = await settled_fleet(20)
        for number, name in enumerate(fleet.entry_names):
            near = {*fleet.control_names[number % 3 :: 3]}
            assert sessions_of(fleet)[name] == near
        await fleet.close()

    group.run(play())


def test_hosts_whose_region_lost_its_control_hosts_stay_elsewhere():
    """Guards against repeated calls to failed control hosts."""

    async def play():
        fleet = await settled_fleet(20)
        lost = {*fleet.control_names[0::3]}
        for name in lost:
            await fleet.controls.pop(name).close()
        await fleet.wait_ms(SETTLED_MS)
        before = sessions_of(fleet)
        attended = {
            (name, control): host.peers.sent['Attend', control].messages
            for name, host in fleet.entries.items()
            for control in lost
        }
        await fleet.wait_ms(SETTLED_MS)
        assert sessions_of(fleet) == before
        for (name, control), count in attended.items():
            peers = fleet.entries[name].peers
            assert peers.sent['Attend', control].messages == count
        for name, hosts in before.items():
            assert len(hosts) == 2 and not hosts & lost
            assert fleet.entries[name].known_hosts == {*fleet.entry_names}
        await fleet.close()

    group.run(play())


def test_one_session_leaves_control_hosts_that_hear_no_leader():
    """Both control hosts of a region may be cut off from the majority."""

    async def play():
        fleet = await settled_fleet(20)
        cut_off = {*fleet.control_names[1::3]}
        for name in cut_off:
            fleet.controls[name].registrar._voter = PartitionedVoter()
        await fleet.wait_ms(2 * discovery_client.LEADERLESS_MS)
        for hosts in sessions_of(fleet).values():
            assert hosts - cut_off
        await fleet.close()

    group.run(play())


class PartitionedVoter:
    """Stands in for a voter that is partitioned from the leader."""

    has_lease = has_leader = False
    confirmed_age_ms = leader = None
    term = 1


@pytest.mark.parametrize('entries', SIZES)
def test_table_of_routes_is_packed_once_for_all_hosts(entries, monkeypatch):
    """Guards against packing a large table for each host."""
    packed = []
    pack = discovery_messages.pack_delta
    monkeypatch.setattr(
        discovery_messages,
        'pack_delta',
        lambda delta: packed.append(1) or pack(delta),
    )

    async def play():
        fleet = await settled_fleet(entries)
        delta = messages.ConfigurationDelta(
            1, changes=[(1, test_replica.table(1, count=1_500))]
        )
        for host in fleet.controls.values():
            host.registrar._replica.apply_delta(delta)
        await fleet.wait_ms(SETTLED_MS)
        for host in fleet.entries.values():
            assert host.discovery._replica.current.routes.version == 1
        await fleet.close()

    group.run(play())
    assert len(packed) <= membership_fleet.CONTROLS
