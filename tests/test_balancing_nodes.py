"""Entry hosts of a region, with balancing, in real processes' parts."""

import pytest

from tests import endpoints
from tests import nodes
from tests import test_far
from tests import test_passing
from wrenspoke import node
from wrenspoke.state import routes

BATCH = routes.Batch(8, 90_000)


async def started(system):
    """Start two hosts with balancing, and one engine."""
    system.changes = {'balancing': node.BalancingSettings(enabled=True)}
    for _number in range(2):
        await system.start_entry()
    await system.put(
        test_passing.route(routes.RouteKind.REPEATABLE), batch=BATCH
    )
    engine = test_far.ReportingEngine(b'0 1 9 90000')
    await system.register('e1', await engine.endpoint.start())
    return engine


async def send(system, host, number):
    """Send a call with a prompt of its own."""
    asked = test_far.request(
        headers=[
            'Wrenspoke-Tokens: 3100,10',
            f'Wrenspoke-Prompt-Parts: a{number}:3000,own{number}:100',
        ]
    )
    address = system.entries[host].node.callers_address
    await endpoints.send_raw(address, asked)


async def test_host_knows_an_engine_that_it_never_used(tmp_path):
    async with nodes.running(
        tmp_path, entries=0, reports=nodes.Reports()
    ) as system:
        await started(system)
        for number in range(25):
            await send(system, 0, number)
        first, second = (entry._profiles for entry in system.entries)
        await nodes.until(lambda: second.profile('e1').samples >= 1)
        await nodes.until(
            lambda: second.profile('e1').samples == first.profile('e1').samples
        )


async def test_offer_tells_the_room_of_the_engines(tmp_path):
    async with nodes.running(
        tmp_path, entries=0, reports=nodes.Reports()
    ) as system:
        await started(system)
        selector = system.entries[0]._selector
        loads = system.entries[0]._engine_loads
        await nodes.until(lambda: loads.load('e1'))
        [offer] = selector.build_offers()
        assert offer.room.places == BATCH.slots - 1
        assert offer.room.cache_tokens == 90_000 - 9
        assert offer.room.tokens_per_ms > 0


@pytest.mark.parametrize('enabled', [False, True])
async def test_offers_are_as_before_unless_enabled(tmp_path, enabled):
    async with nodes.running(
        tmp_path, entries=0, reports=nodes.Reports()
    ) as system:
        if enabled:
            await started(system)
        else:
            await system.start_entry()
            await system.put(
                test_passing.route(routes.RouteKind.REPEATABLE), batch=BATCH
            )
            engine = test_far.ReportingEngine(b'0 1 9 90000')
            await system.register('e1', await engine.endpoint.start())
        entry = system.entries[0]
        await nodes.until(lambda: entry._engine_loads.load('e1'))
        [offer] = entry._selector.build_offers()
        assert (offer.room is not None) is enabled
