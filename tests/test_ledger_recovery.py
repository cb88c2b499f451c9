"""A ledger that recovers fetches the registers of others page by page."""

import asyncio

import pytest

from tests import group
from wrenspoke.coordination.serving import ledger
from wrenspoke.protocol import messages
from wrenspoke import settings
from wrenspoke.state import registers

HOSTS = ['a', 'b', 'c']
REGISTER = registers.Register()


class PagingPeers:
    """Hosts that reply at once with the same page, which others follow."""

    def __init__(self, keys):
        self.keys = keys
        self.calls = 0

    def handles(self, _kind):
        return lambda handler: handler

    async def call(self, _host, _message, _timeout_ms):
        self.calls += 1
        await asyncio.sleep(0)
        page = [(0, key, REGISTER) for key in self.keys]
        return messages.RecoverLedgerReply(
            registers.LedgerSnapshot(0, 0, {}, page, more=True)
        )


@pytest.mark.parametrize('keys', [[], ['k'], ['k', 'l']])
def test_pages_without_progress_end_a_recovery(keys):
    """Guards against a recovery that asks for the same page without end."""
    peers = PagingPeers(keys)

    async def run():
        recovering = ledger.Ledger(
            'a', HOSTS, settings.LedgerSettings(), peers, group.LoopClock()
        )
        recovering.start()
        await asyncio.sleep(10 * ledger.RECALL_INTERVAL_MS / 1000)
        await recovering.close()

    group.run(run())
    others = len(HOSTS) - 1
    assert others <= peers.calls <= others * 2 * 11
