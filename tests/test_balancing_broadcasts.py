"""Broadcasts within a region cross to each other data centre once."""

import collections

import pytest

from tests import test_registry
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import roster
from wrenspoke.protocol import discovery_messages


class Region:
    """Hosts of several data centres, whose messages are counted."""

    def __init__(self, count, data_centres, near=True):
        self.data_centres = {
            f'h{n:03}': f'd{n % data_centres}' for n in range(count)
        }
        self.lost = set()
        self.told = collections.Counter()
        self.sent = collections.Counter()
        self.crossed = 0
        known = roster.Roster(10**9, test_registry.FakeClock())
        for host, data_centre in self.data_centres.items():
            known.merge_record(
                test_registry.record(host, data_centre=data_centre)
            )
        self.made = {
            host: region_pollers.RegionPollers(
                'north',
                host,
                known,
                FakeLink(host, self),
                data_centre if near else None,
            )
            for host, data_centre in self.data_centres.items()
        }


class FakeLink:
    """The links of one host."""

    def __init__(self, host, region):
        self._host = host
        self._region = region

    def handles(self, _kind):
        return lambda handler: handler

    async def send_oneway(self, host, message):
        region = self._region
        if host in region.lost:
            return 0
        region.sent[self._host] += 1
        region.told[host] += 1
        here, there = (region.data_centres[one] for one in (self._host, host))
        region.crossed += here != there
        if message.pass_on:
            await region.made[host].relay(message)
        return 1


@pytest.mark.parametrize(
    'hosts, data_centres, crossed',
    [(7, 2, 1), (23, 2, 1), (30, 3, 2), (40, 4, 3), (60, 2, 2)],
)
async def test_broadcast_enters_each_data_centre_once(
    hosts, data_centres, crossed
):
    region = Region(hosts, data_centres)
    await region.made['h000'].broadcast(discovery_messages.RegionGossip())
    assert region.told == {host: 1 for host in region.made if host != 'h000'}
    assert region.crossed == crossed
    before = Region(hosts, data_centres, near=False)
    await before.made['h000'].broadcast(discovery_messages.RegionGossip())
    assert before.told == region.told
    assert before.crossed >= region.crossed


async def test_hosts_of_the_other_data_centre_take_turns():
    region = Region(24, 2)
    for _message in range(240):
        await region.made['h000'].broadcast(discovery_messages.RegionGossip())
    relayed = [region.sent[f'h{n:03}'] for n in range(1, 24, 2)]
    assert max(relayed) <= 2.5 * sum(relayed) / len(relayed)


async def test_lost_host_keeps_nothing_from_the_other_data_centre():
    region = Region(23, 2)
    region.lost = {'h001', 'h003', 'h005'}
    for _message in range(20):
        await region.made['h000'].broadcast(discovery_messages.RegionGossip())
    assert region.told == {
        host: 20 for host in region.made if host not in {'h000', *region.lost}
    }


def test_collector_follows_the_engines_and_hosts():
    """What is cached gives the same as a pollers object that never cached."""
    region = Region(24, 2)
    made = region.made['h000']
    names = [f'e{n}' for n in range(50)]
    for engines in (16, 48, 160, 48):
        made.engine_count = engines
        found = [made.collector(name) for name in names]
        fresh = Region(24, 2).made['h000']
        fresh.engine_count = engines
        assert found == [fresh.collector(name) for name in names]
        assert len(set(found)) == made.collectors_count
