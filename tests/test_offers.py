"""Offers of other regions, from the status of their hosts."""

import pytest

from tests import test_registry
from wrenspoke.coordination.membership import host_pinger
from wrenspoke.coordination.membership import region_views
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import remote_regions
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import messages
from wrenspoke.state import configuration
from wrenspoke.state import routes

HOST = test_registry.record('h', region='south')
SERVICE = routes.RoutedService('s', '/', 10, batch=routes.Batch(8, 90_000))
OFFER = messages.ServiceOffer('s', 100.0, 0.02, 40.0, 40.0, 2)
CALL = dialects.Call(
    'q',
    'GET',
    'h',
    '/',
    [],
    0,
    5_000,
    parts=(dialects.PromptPart('a', 4_000), dialects.PromptPart('own', 1_000)),
    tokens_in=5_000,
    tokens_expected=10,
)


class FakePings:
    """Stands in for the pinger and the remote hosts, with one host."""

    def __init__(self, said):
        self.remote_state = host_pinger.RemoteState(0, said, 50.0)
        self.remote_state.answered_ms = 100_000

    def state_of(self, _host):
        return self.remote_state

    def is_answering(self, _host):
        return self.remote_state.pong is not None

    def reachable(self, region):
        return [HOST] if region == 'south' else []


class FakeBroadcaster:
    """Stands in for the broadcasts among this region's hosts."""

    def __init__(self):
        self.published = []
        self.listener = None

    def subscribe(self, listener):
        self.listener = listener

    def publish(self, name, tokens, parts):
        self.published.append((name, tokens, parts))


def remote_regions_with(said, index=1, told=None):
    """Return remote regions with one host's status, its pings and a clock."""
    clock = test_registry.FakeClock()
    held = replica.Replica()
    held.current = configuration.Configuration(
        index=index, routes=routes.RouteTable(1, services={'s': SERVICE})
    )
    found = FakePings(said)
    viewed = region_views.RegionViews(clock)
    made = remote_regions.RemoteRegions(
        found, found, viewed, held, clock, told
    )
    return made, found, clock


def pong(**changes):
    """Return an answer to a ping."""
    fields = {'index': 1, 'offers': [OFFER], **changes}
    return messages.Pong(False, **fields)


@pytest.mark.parametrize(
    'said, offered',
    [
        (pong(), True),
        (pong(serving=False), False),
        (pong(offers=[]), False),
        (pong(offers=None), True),
        (None, True),
        (pong(index=0), True),
    ],
    ids=['offers', 'starts', 'none', 'says none', 'unknown', 'behind a while'],
)
def test_region_offer_follows_the_host_status(said, offered):
    made, _found, _clock = remote_regions_with(said)
    assert (
        made.offer_for_call('south', SERVICE, CALL, HOST) is not None
    ) is offered


def test_host_that_lags_for_long_offers_nothing():
    made, found, clock = remote_regions_with(pong(index=0))
    assert made.offer_for_call('south', SERVICE, CALL, HOST) is not None
    clock.now_ms += remote_regions.CONFIGURATION_LAG_LIMIT_MS + 1
    found.remote_state.answered_ms = clock.now_ms
    assert made.offer_for_call('south', SERVICE, CALL, HOST) is None


def test_offer_includes_rtt_queue_prefill_and_forwarded_calls():
    made, _found, _clock = remote_regions_with(pong())
    first_ms = made.offer_for_call('south', SERVICE, CALL, HOST).first_ms
    assert first_ms == pytest.approx(
        50 + remote_regions.FORWARDING_OVERHEAD_MS + 100 + 100
    )
    made.record_forwarded('south', SERVICE, CALL)
    again = made.offer_for_call('south', SERVICE, CALL, HOST)
    # Its prompt is cached there now, and is queued at one of two engines.
    assert again.first_ms == pytest.approx(first_ms - 100 + 50)


def test_calls_forwarded_by_peer_hosts_are_counted():
    """Guards against herding on one offer by all hosts of a region."""
    told = FakeBroadcaster()
    made, _found, _clock = remote_regions_with(pong(), told=told)
    other, _other_found, _other_clock = remote_regions_with(
        pong(), told=FakeBroadcaster()
    )
    first_ms = made.offer_for_call('south', SERVICE, CALL, HOST).first_ms
    other.record_forwarded('south', SERVICE, CALL)
    [(name, tokens, parts)] = other._broadcaster.published
    shared = [(part.part, part.tokens) for part in parts[:-1]]
    told.listener(discovery_messages.SentCall(1, name, tokens, 0, shared))
    again = made.offer_for_call('south', SERVICE, CALL, HOST)
    # Its shared part is cached there now, and queued at one of two engines.
    assert again.first_ms == pytest.approx(first_ms - 80 + 50)
    # Calls to this region's own engines are ignored.
    told.listener(discovery_messages.SentCall(1, 'i-engine', 10**6, 0))
    assert made.offer_for_call('south', SERVICE, CALL, HOST).first_ms == (
        again.first_ms
    )


def test_busy_refusal_overrides_the_offer_for_a_while():
    made, _found, clock = remote_regions_with(pong())
    before = made.offer_for_call('south', SERVICE, CALL, HOST).first_ms
    made.record_busy('south', 's', 700.0)
    assert (
        made.offer_for_call('south', SERVICE, CALL, HOST).first_ms
        == before + 600
    )
    clock.now_ms += remote_regions.BUSY_WAIT_TTL_MS
    assert made.offer_for_call('south', SERVICE, CALL, HOST).first_ms == before


def test_offers_are_relayed_to_partitioned_regions():
    made, _found, _clock = remote_regions_with(pong())
    told = made.relay_offers(['south', 'nowhere'])
    assert list(told) == ['south']
    assert (
        told['south'][0].wait_ms
        == 100 + 50 + remote_regions.FORWARDING_OVERHEAD_MS
    )


@pytest.mark.parametrize(
    'later_ms, first_ms',
    [
        (0, 40 + 100 + 100),
        (region_views.VIEW_TTL_MS + 1, remote_regions.DEFAULT_FIRST_MS),
    ],
    ids=['fresh', 'old'],
)
def test_region_offer_uses_status_received_by_a_peer_host(later_ms, first_ms):
    made, _found, clock = remote_regions_with(None)
    status = discovery_messages.RegionStatus('south', pong(), 40.0, 200)
    made._views.record_status(status)
    clock.now_ms += later_ms and later_ms - 200
    offered = made.offer_for_call('south', SERVICE, CALL, HOST)
    handling_ms = 0 if later_ms else remote_regions.FORWARDING_OVERHEAD_MS
    assert offered.first_ms == pytest.approx(first_ms + handling_ms)
