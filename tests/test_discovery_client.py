"""An entry host serves only a confirmed or newest known configuration."""

import asyncio

import pytest

from tests import nodes
from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import replica
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import messages
from wrenspoke.state import configuration

CONTROL = '127.0.0.2:1'
RECORD = discovery_messages.HostRecord(
    '127.0.0.1:1', 'north', 'north-hall', '', '', 'start', 0, False
)


class ScriptedPeers:
    """Answers every call of a discovery client with a scripted result."""

    def __init__(self):
        self.confirmed = False
        self.index = 1
        self.calls = 0

    async def call(self, _host, _message, _timeout_ms):
        self.calls += 1
        delta = messages.ConfigurationDelta(
            index=self.index,
            confirmed=self.confirmed,
            whole=configuration.Configuration(index=self.index),
        )
        return discovery_messages.AttendReply(
            self.confirmed,
            True,
            'life',
            1,
            1,
            [],
            None,
            [],
            [],
            discovery_messages.pack_delta(delta),
        )


@pytest.fixture
async def discovery():
    """Return a discovery client that sends no calls of its own."""
    clock = clocks.Clock()
    made = discovery_client.DiscoveryClient(
        RECORD,
        control_group.ControlGroup(RECORD.host, [CONTROL], clock),
        replica.Replica(),
        ScriptedPeers(),
        clock,
    )
    yield made
    await made.close()


async def deliver_answer(discovery):
    """Let a control host answer one call."""
    [session, _other] = discovery._sessions
    session.host = CONTROL
    await discovery._send_attend(session, CONTROL, 0)


@pytest.mark.parametrize(
    'confirmed, index, at_once, later',
    [(True, 1, True, True), (False, 1, False, True), (True, 0, False, False)],
    ids=['leader', 'no leader', 'nothing known'],
)
async def test_first_answer_decides_when_to_serve(
    discovery, confirmed, index, at_once, later
):
    """Without a leader the wait ends after one answer."""
    discovery._peers.confirmed = confirmed
    discovery._peers.index = index
    await deliver_answer(discovery)
    assert discovery._replica.serving is at_once
    if later:
        await nodes.until(lambda: discovery._replica.serving)
    assert discovery._peers.calls == 1


async def test_host_that_was_stopped_serves_after_a_new_answer_only(discovery):
    await deliver_answer(discovery)
    waiting = discovery._unconfirmed_start
    discovery._suspend_serving()
    await asyncio.wait([waiting])
    assert waiting.cancelled() and not discovery._replica.serving
    await deliver_answer(discovery)
    await nodes.until(lambda: discovery._replica.serving)


@pytest.mark.parametrize(
    'age_ms, held_ms, index, confirmed',
    [(300, 0, 1, True), (300, 500, 1, True), (None, 0, 1, False)],
    ids=['at once', 'held back', 'no word'],
)
async def test_lease_counts_from_what_an_answer_proves(
    discovery, monkeypatch, age_ms, held_ms, index, confirmed
):
    """The lease starts when the request was sent, plus the time held."""
    seen = []
    monkeypatch.setattr(discovery.lease, 'confirm', seen.append)
    clock = FrozenClock()
    monkeypatch.setattr(discovery, '_clock', clock)
    call = discovery._peers.call

    async def call_late(*arguments):
        found = await call(*arguments)
        clock.now_ms += 900
        found.index = index
        found.confirmed_age_ms = age_ms
        found.held_ms = held_ms
        return found

    monkeypatch.setattr(discovery._peers, 'call', call_late)
    asked_ms = clock.now_ms
    await deliver_answer(discovery)
    assert seen == ([asked_ms + held_ms - age_ms] if confirmed else [])


async def test_answer_that_was_not_taken_whole_renews_no_lease(
    discovery, monkeypatch
):
    """Guards against a lease on a configuration that is not held."""
    seen = []
    monkeypatch.setattr(discovery.lease, 'confirm', seen.append)
    call = discovery._peers.call

    async def call_ahead(*arguments):
        found = await call(*arguments)
        found.index = 2
        found.confirmed_age_ms = 0
        return found

    monkeypatch.setattr(discovery._peers, 'call', call_ahead)
    await deliver_answer(discovery)
    assert seen == []


class FrozenClock(clocks.Clock):
    """Advances only when a test sets it."""

    now_ms = 50_000

    def mono_ms(self):
        return self.now_ms
