"""Tests for the counters of traffic between hosts, and their report."""

import msgspec
import pytest

from tests import nodes
from tests import test_explain
from tests import test_registry
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import messages
from wrenspoke.protocol import traffic
from wrenspoke import report
from wrenspoke.state import locations

OWN = locations.Location('north', 'hall')
PING = msgspec.msgpack.encode(messages.Ping())
TOLD = msgspec.msgpack.encode(discovery_messages.RegionGossip([]))
DISTANCE = traffic.Distance


@pytest.mark.parametrize(
    'body, place, kind, distance',
    [
        (PING, OWN, 'ping', DISTANCE.DATA_CENTRE),
        (PING, ('north', 'annex'), 'ping', DISTANCE.REGION),
        (PING, ('south', 'hall'), 'ping', DISTANCE.BETWEEN_REGIONS),
        (TOLD, None, 'tell_region', DISTANCE.UNKNOWN),
        (b'\xff', OWN, traffic.UNREADABLE, DISTANCE.DATA_CENTRE),
    ],
)
def test_message_is_counted_by_kind_and_distance(body, place, kind, distance):
    if isinstance(place, tuple):
        place = locations.Location(*place)
    counted = traffic.TrafficCounter(OWN, test_registry.FakeClock())
    counted.set_location_lookup(lambda _host: place)
    for _message in range(2):
        counted.count_message('h', body, 100)
    assert counted.sent == {(kind, distance): traffic.SentTotals(2, 200)}


async def test_running_hosts_count_what_they_send(tmp_path):
    async with nodes.running(tmp_path) as running:
        entry, control = running.entries[0], running.controls[0]
        kinds = {
            'attend': entry._traffic,
            'attended': control._traffic,
        }
        for kind, counted in kinds.items():
            await nodes.until(
                lambda kind=kind, counted=counted: any(
                    found.messages and found.bytes
                    for (name, _distance), found in counted.sent.items()
                    if name == kind
                )
            )


def test_report_tells_what_a_host_of_each_role_sends(tmp_path):
    """Guards against counting older lines of one host instance twice."""
    path = tmp_path / 'log'

    def sent(host, kind, size, lived_ms=10_000, life='first'):
        return test_explain.line(
            9,
            host,
            'traffic',
            role='entry',
            life=life,
            kind=kind,
            distance='region',
            messages=20,
            bytes=size,
            lived_ms=lived_ms,
        )

    path.write_text(
        sent('a:1', 'attend', 400, lived_ms=5_000)
        + sent('a:1', 'attend', 1_000)
        + sent('b:1', 'attend', 3_000)
        + sent('a:1', 'ping', 800)
        + sent('c:1', 'ping', 'none')
        + sent('c:1', 'ping', 5, lived_ms=0)
    )
    found = report.read([str(path)])
    rows = [
        (row.kind, row.bytes_per_s, row.messages_per_s, row.hosts)
        for row in found.traffic
    ]
    assert rows == [('attend', 200.0, 2.0, 2), ('ping', 40.0, 1.0, 1)]
    text = '\n'.join(report.as_text(found))
    assert 'attend' in text and 'by hosts' in text
