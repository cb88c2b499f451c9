"""Planned stops end no requests, and leaving endpoints get no new ones."""

import asyncio

import pytest

from tests import fleet
from wrenspoke import ids
from wrenspoke.protocol import headers
from wrenspoke.standin import engine
from wrenspoke.standin import host_list
from wrenspoke.transport import web

# More than an engine's slots.
CROWD = 24
MESSAGES = [{'role': 'user', 'content': 'Is the swap rack empty?'}]
COUNT = 80
WHOLE = ''.join(engine.answer_words(MESSAGES, COUNT))
CHAT = {'messages': MESSAGES, 'stream': True, 'max_tokens': COUNT}
SLOW = {'token_ms': 30}


async def begun(running, count, **chat):
    """Start chats at the first host, and wait for all first events."""
    seen = [[] for _number in range(count)]
    caller = running.caller('north-1')
    tasks = [
        asyncio.create_task(caller.chat({**CHAT, **chat}, {}, one.append))
        for one in seen
    ]
    await fleet.until(lambda: all(map(len, seen)), 'streams to flow')
    return tasks


@pytest.mark.parametrize('count', [1, 6])
async def test_planned_stop_of_a_host_cuts_nothing_off(tmp_path, count):
    made = fleet.deployment(regions=('north',), entries=2)
    async with fleet.running(tmp_path, made, SLOW) as running:
        tasks = await begun(running, count)
        running.processes['north-1'].terminate()

        async def left_out():
            caller = running.caller('north-2')
            found = await caller.get('/directory')
            return [host['host'] for host in found['hosts']] == ['north-2']

        await fleet.until(left_out, 'the directory to leave it out')
        for result in await asyncio.gather(*tasks):
            assert (result.outcome, result.text) == ('whole', WHOLE)
        process = running.processes.pop('north-1')
        assert await asyncio.to_thread(process.wait, fleet.WAIT_S) == 0


async def test_drain_cuts_nothing_off_and_waits_for_it(tmp_path):
    made = fleet.deployment(regions=('north',), engines=2, controls=1)
    async with fleet.running(tmp_path, made, SLOW) as running:
        operator = running.operator()
        tasks = await begun(running, 4)
        planned = await operator.plan(
            1, {'type': 'drain', 'endpoint': 'north-chat-1'}
        )
        plan = planned.body['answer']['plan']
        await operator.confirm(2, plan)

        async def state():
            shown = await operator.show(f'/plans/{plan}')
            return shown.body['plan']['state']

        assert await state() == 'running'
        for result in await asyncio.gather(*tasks):
            assert (result.outcome, result.text) == ('whole', WHOLE)

        async def done():
            return await state() == 'done'

        await fleet.until(done, 'the drain')
        before = (await running.runs('north-chat-1'))['runs']
        for result in await asyncio.gather(*await begun(running, 4)):
            assert result.outcome == 'whole'
        assert (await running.runs('north-chat-1'))['runs'] == before


async def test_host_that_was_frozen_sends_nothing_to_a_drained_endpoint(
    tmp_path,
):
    """Guards against serving queued requests by an old configuration."""
    made = fleet.deployment(
        regions=('north',), entries=2, engines=2, controls=1
    )
    async with fleet.running(tmp_path, made) as running:
        operator = running.operator()
        running.freeze('north-1')
        planned = await operator.plan(
            1, {'type': 'drain', 'endpoint': 'north-chat-1'}
        )
        plan = planned.body['answer']['plan']
        await operator.confirm(2, plan)

        async def done():
            shown = await operator.show(f'/plans/{plan}')
            return shown.body['plan']['state'] == 'done'

        await fleet.until(done, 'the drain')
        before = (await running.runs('north-chat-1'))['runs']
        callers_made = [running.caller('north-1') for _one in range(8)]
        tasks = [asyncio.create_task(one.chat(CHAT)) for one in callers_made]
        await asyncio.sleep(0.5)
        running.thaw('north-1')
        results = await asyncio.gather(*tasks)
        assert {one.outcome for one in results} <= {'whole', 'not_run'}
        assert (await running.runs('north-chat-1'))['runs'] == before

        async def serves_again():
            return (await running.caller('north-1').chat(CHAT)).text == WHOLE

        await fleet.until(serves_again, 'north-1 to serve again')


@pytest.mark.parametrize('hosts', [1, 3])
async def test_platform_list_only_ever_adds_leaving(tmp_path, hosts):
    listed = host_list.HostListService(lag_ms=100)
    server = web.HttpServer(listed.application())
    port = web.free_ports(1)[0]
    await server.start('127.0.0.1', port)
    made = fleet.deployment(
        regions=('north',),
        entries=hosts,
        engines=2,
        entry={'platform_url': f'http://127.0.0.1:{port}/hosts'},
    )
    try:
        async with fleet.running(tmp_path, made) as running:
            url = running.endpoint_url('north-chat-1')
            address = url.removeprefix('http://')
            listed.add_leaving(address)

            async def all_know():
                for number in range(1, hosts + 1):
                    if not await _avoids(running, f'north-{number}'):
                        return False
                return True

            await fleet.until(all_know, 'every host to avoid it')
            listed.remove_leaving(address)
            await asyncio.sleep(2.5)
            for number in range(1, hosts + 1):
                assert await _avoids(running, f'north-{number}')
    finally:
        await server.close()


async def _avoids(running, host):
    """Return whether no chat of a burst goes to the leaving engine.

    The chats are sent at once, so that one engine can't take them all;
    sequential ones would all go to the faster engine.
    """
    before = (await running.runs('north-chat-1'))['tokens']
    caller = running.caller(host)
    chats = []
    for _number in range(CROWD):
        # A new session each time, as known ones stay on their engine.
        sent = {headers.SESSION: ids.new_random_id()}
        body = {'messages': MESSAGES, 'stream': True}
        chats.append(caller.chat(body, sent))
    await asyncio.gather(*chats)
    return (await running.runs('north-chat-1'))['tokens'] == before


async def test_stream_of_a_host_that_was_frozen_is_not_told_as_not_run(
    tmp_path,
):
    """The stream had started before the host was frozen."""
    made = fleet.deployment(
        regions=('north',), entries=2, engines=2, controls=1
    )
    async with fleet.running(tmp_path, made, SLOW) as running:
        tasks = await begun(running, 4)
        running.freeze('north-1')
        await asyncio.sleep(2.5)
        running.thaw('north-1')
        for result in await asyncio.gather(*tasks):
            assert (result.outcome, result.text) == ('whole', WHOLE), result
