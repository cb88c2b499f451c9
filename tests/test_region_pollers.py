"""Few hosts of a region poll, and their broadcasts reach all others."""

import collections
import itertools

import pytest

from tests import test_engine_loads
from tests import test_registry
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import region_views
from wrenspoke.coordination.membership import remote_hosts
from wrenspoke.coordination.membership import roster
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import messages

SIZES = [7, 20, 67]


class SimulatedRegion:
    """Delivers and counts the messages between hosts of one region."""

    def __init__(self, count):
        self.lost = set()
        self.told = collections.Counter()
        self.sent = collections.Counter()
        self.made = {}
        records = [test_engine_loads.record(number) for number in range(count)]
        for record in records:
            known = roster.Roster(1_000, test_registry.FakeClock())
            for other in records:
                known.merge_record(other)
            self.made[record.host] = region_pollers.RegionPollers(
                'north', record.host, known, FakeLink(record.host, self)
            )


class FakeLink:
    """The links of one host."""

    def __init__(self, host, region):
        self._host = host
        self._region = region

    def handles(self, _kind):
        return lambda handler: handler

    async def send_oneway(self, host, message):
        if host in self._region.lost:
            return 0
        self._region.sent[self._host] += 1
        self._region.told[host] += 1
        if message.pass_on:
            await self._region.made[host].relay(message)
        return 1


def asking_hosts(region):
    """Return the polling hosts."""
    return [host for host, made in region.made.items() if made.is_poller()]


@pytest.mark.parametrize('count', SIZES)
async def test_every_host_is_told_once_and_none_tells_many(count):
    region = SimulatedRegion(count)
    asking = asking_hosts(region)
    assert len(asking) == region_pollers.MIN_POLLERS
    [first, *_others] = asking
    await region.made[first].broadcast(discovery_messages.RegionGossip([]))
    assert region.told == {host: 1 for host in region.made if host != first}
    assert max(region.sent.values()) <= count**0.5 + 1


@pytest.mark.parametrize('count', [20, 67])
async def test_host_that_is_lost_keeps_nothing_from_others(count):
    """The first two hosts of some relay groups are lost."""
    region = SimulatedRegion(count)
    teller, *_others = asking_hosts(region)
    others = sorted({*region.made} - {teller})
    for share in region_pollers.relay_groups(others)[:2]:
        region.lost |= {*share[:2]}
    await region.made[teller].broadcast(discovery_messages.RegionGossip([]))
    assert region.told == {host: 1 for host in {*others} - region.lost}


class SilentPinger:
    """Stands in for a pinger that has pinged no host."""

    def set_unreachable_regions(self, _cut_off):
        return

    def is_answering(self, _host):
        return None


def remote_hosts_of(host, region, count, clock):
    """Return the remote hosts of a host, and its region views."""
    known = roster.Roster(1_000, clock)
    for number, name in itertools.product(range(count), ('north', 'south')):
        known.merge_record(
            test_registry.record(f'{name}{number}', region=name)
        )
    viewed = region_views.RegionViews(clock)
    asking = region_pollers.RegionPollers(
        region, host, known, test_engine_loads.NoPeers()
    )
    made = remote_hosts.RemoteHosts(
        host, region, known, SilentPinger(), asking, viewed, clock
    )
    return made, viewed


@pytest.mark.parametrize('told', [True, False], ids=['told', 'not told'])
@pytest.mark.parametrize('count', SIZES)
def test_hosts_elsewhere_are_pinged_by_a_few_for_all(count, told):
    clock = test_registry.FakeClock()
    pinging = 0
    for number in range(count):
        made, viewed = remote_hosts_of(f'north{number}', 'north', count, clock)
        if told:
            status = discovery_messages.RegionStatus(
                'south', messages.Pong(False)
            )
            viewed.record_status(status)
        pinging += bool(made.ping_targets())
    assert pinging == (region_pollers.MIN_POLLERS if told else count)


@pytest.mark.parametrize(
    'statuses, cut_off',
    [([True], False), ([None], True), ([None, True], False), ([], False)],
    ids=['answers', 'silent', 'silent to one', 'nothing told'],
)
def test_region_is_cut_off_once_it_answers_none_of_those_that_ask(
    statuses, cut_off
):
    clock = test_registry.FakeClock()
    made, viewed = remote_hosts_of('north1', 'north', 7, clock)
    for said in statuses:
        said = said and messages.Pong(False)
        viewed.record_status(discovery_messages.RegionStatus('south', said))
    assert made.unreachable_regions() == (['south'] if cut_off else [])
    assert bool(made.reachable('south')) is not cut_off
    clock.now_ms += region_views.VIEW_TTL_MS + 1
    assert made.unreachable_regions() == []


@pytest.mark.parametrize(
    'count, lengths',
    [(0, []), (1, [1]), (2, [2]), (6, [3, 3]), (66, [9] * 7 + [3])],
)
def test_hosts_are_split_into_about_as_many_shares_as_each_has(count, lengths):
    hosts = [f'h{number:02}' for number in range(count)]
    split = region_pollers.relay_groups(hosts)
    assert [len(share) for share in split] == lengths
    assert [host for share in split for host in share] == hosts


@pytest.mark.parametrize('count', SIZES)
def test_endpoint_that_was_taken_back_is_asked_by_two_of_all_hosts(count):
    region = SimulatedRegion(count)
    asked = collections.Counter()
    for number in range(30):
        for host, made in region.made.items():
            asked[number] += made.is_poller_of(f'e{number}')
    assert set(asked.values()) == {region_pollers.MIN_POLLERS}


def test_order_of_unbounded_keys_is_not_cached():
    """Guards against memory that grows with the requests served."""
    pollers = next(iter(SimulatedRegion(7).made.values()))
    expected = [pollers.rendezvous_order(f'r{n}') for n in range(3)]
    for number in range(100):
        order = pollers.compute_order(f'r{number}')
        assert number >= len(expected) or order == expected[number]
    assert len(pollers._order_cache) == len(expected)
