"""A remote host is reported lost only after silence since a call began.

A new link takes three round trips before the first answer: 640 ms between
distant regions, after the first ping at 400 ms.
"""

import asyncio
import types

import pytest

from tests import group
from wrenspoke.coordination.membership import host_pinger
from wrenspoke.protocol import errors
from wrenspoke.protocol import messages

SUSPECT_MS = 1_200
CALL_MS = 5_000
# The host has been running for long when the call is forwarded.
BEGUN_MS = 100_000


class Peers:
    """Links to one host that answers late or refuses some calls."""

    def __init__(self, answers_after_ms, refused):
        self._answers_after_ms = answers_after_ms
        self._refused = refused
        self.forgotten = []
        self.links = types.SimpleNamespace(disconnect=self.forgotten.append)

    def handles(self, _kind):
        return lambda handler: handler

    async def call(self, host, _message, timeout_ms):
        if self._refused:
            self._refused -= 1
            raise errors.NoResponseError(host, sent=False)
        answers_ms = BEGUN_MS + self._answers_after_ms
        wait_ms = max(answers_ms - group.LoopClock().mono_ms(), 1)
        await asyncio.sleep(min(wait_ms, timeout_ms) / group.MS_PER_S)
        if wait_ms > timeout_ms:
            raise errors.NoResponseError(host, sent=True)
        return messages.Pong(False)


def build_pinger(answers_after_ms, refused=0):
    limits = types.SimpleNamespace(suspect_after_ms=SUSPECT_MS)
    peers = Peers(answers_after_ms, refused)
    return host_pinger.HostPinger(
        limits, peers, group.LoopClock(), None
    ), peers


@pytest.mark.parametrize(
    'answers_after_ms, refused, lost',
    [(0, 0, False), (0, 1, False), (1_040, 0, False), (10**6, 0, True)],
    ids=['at once', 'refused once', 'once there is a link', 'never'],
)
@pytest.mark.parametrize('known', [False, True], ids=['new', 'long unused'])
def test_host_is_lost_by_its_silence_since_a_call_was_passed_on(
    answers_after_ms, refused, lost, known
):
    """Guards against counting the time since its last use."""
    reached, _peers = build_pinger(answers_after_ms, refused)
    told = []

    async def play():
        await asyncio.sleep(BEGUN_MS / group.MS_PER_S)
        if known:
            remote = reached._remotes['h'] = host_pinger.RemoteState(0)
            remote.answered_ms = BEGUN_MS - 60_000
        with reached.watch_host('h', lambda: told.append('lost')):
            await asyncio.sleep(CALL_MS / group.MS_PER_S)
        await reached.close()

    group.run(play())
    assert bool(told) is lost


def test_link_to_a_host_that_is_not_used_is_closed():
    reached, peers = build_pinger(0)

    async def play():
        with reached.watch_host('h', lambda: None):
            await asyncio.sleep(1)
        used = [*peers.forgotten]
        await asyncio.sleep(2 * host_pinger.PING_IDLE_MS / group.MS_PER_S)
        await reached.close()
        return used

    async def check():
        assert await play() == []
        assert peers.forgotten == ['h']

    group.run(check())
