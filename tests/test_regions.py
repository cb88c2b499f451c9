"""Forwarding between regions: homes, loops, partitions, failed hosts."""

import asyncio

import pytest

from tests import fleet
from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke import keys
from wrenspoke.protocol import headers
from wrenspoke.protocol import hops
from wrenspoke.protocol import requests
from wrenspoke.standin import engine

MESSAGES = [{'role': 'user', 'content': 'Which lift is open?'}]
COUNT = 60
WHOLE = ''.join(engine.answer_words(MESSAGES, COUNT))
CHAT = {'messages': MESSAGES, 'stream': True, 'max_tokens': COUNT}
SLOW = {'token_ms': 30}


def forwarded(running, host, path_of_hosts, **fields):
    """Return the headers of a request that a host forwards."""
    key = keys.read_cluster_key(running.folder / 'keys')
    signer = hops.HopSigner('test', key)
    head = requests.RequestHead(
        request=ids.RequestId(ids.new_random_id()),
        kind=requests.RequestKind.PLAIN,
        method='GET',
        path='/map',
        service=ids.ServiceId('records'),
        deadline_ms=0,
        path_of_hosts=tuple(path_of_hosts),
        **fields,
    )
    hop = signer.sign(head, host, clocks.Clock().wall_ms(), 5000)
    return {headers.HOP: hop, headers.REQUEST: head.request}


async def test_forwarded_request_is_never_forwarded_again(tmp_path):
    """A region without endpoints rejects a forwarded request."""
    made = fleet.deployment()
    made['endpoints'] = [
        item for item in made['endpoints'] if item['region'] == 'north'
    ]
    async with fleet.running(tmp_path, made) as running:
        caller = running.caller('south-1')
        sent = forwarded(running, 'north-1', [])
        result = await caller.call('GET', 'records', '/map', sent)
        assert (result.outcome, result.reason) == ('not_run', 'no_endpoint')
        assert not await running.all_runs('records')
        # Sent by a caller, the same request is served in the other region.
        result = await caller.call('GET', 'records', '/map')
        assert result.outcome == 'whole'


@pytest.mark.parametrize(
    'path, reason',
    [(['north-1'], 'hop_limit'), (['south-1', 'north-1'], 'hop_limit')],
    ids=['too many hops', 'came back'],
)
async def test_loops_are_refused(tmp_path, path, reason):
    async with fleet.running(tmp_path, fleet.deployment()) as running:
        caller = running.caller('south-1')
        sent = forwarded(running, 'north-1', path)
        result = await caller.call('GET', 'records', '/map', sent)
        assert result.outcome == 'not_run', result
        assert result.reason == reason
        assert not await running.all_runs('records')


async def test_partitioned_region_serves_locally_and_fails_fast(
    tmp_path,
):
    made = fleet.deployment(entries=2, controls=3)
    async with fleet.running(tmp_path, made, relays=True) as running:
        await running.wait_voters(3)
        running.isolate('south-1', 'south-2', 'control-2')
        caller = running.caller('south-1')
        for _number in range(3):
            result = await caller.chat(CHAT)
            assert (result.outcome, result.text) == ('whole', WHOLE)
        once = f'south:{clocks.Clock().wall_ms()}:cut'
        result = await caller.call(
            'POST', 'records', '/release/1', {headers.REQUEST: once}
        )
        assert result.outcome == 'whole'
        sent = {headers.HOME: 'north', headers.BOUND: 'true'}
        result = await caller.call('GET', 'records', '/member/1', sent)
        assert result.reason == 'home_unreachable'
        # Rejected without a send and long before its deadline.
        assert result.outcome == 'not_run'
        assert result.first_ms < 4000
        # A host restarted in the partition is configured by its peer.
        running.kill('south-2')
        running.start_entry('south-2')
        await running.wait_serving('south-2')
        result = await running.caller('south-2').chat(CHAT)
        assert result.outcome == 'whole'


@pytest.mark.parametrize('loss', ['kill', 'freeze'])
async def test_stream_survives_the_host_it_was_passed_to(tmp_path, loss):
    made = fleet.deployment(entries=2)
    async with fleet.running(tmp_path, made, SLOW) as running:
        caller = running.caller('north-1')
        sent = {headers.HOME: 'south', headers.BOUND: 'true'}
        lose = {'kill': running.kill, 'freeze': running.freeze}[loss]
        seen = []
        task = asyncio.create_task(caller.chat(CHAT, sent, seen.append))
        await fleet.until(lambda: len(seen) > 3, 'the stream to flow')
        log = running.log('north-1')
        used = 'south-1' if 'peer=south-1' in log else 'south-2'
        lose(used)
        result = await task
        assert result.outcome == 'whole', result
        assert result.text == WHOLE


async def wait_engines(running, host):
    """Wait until a host has chats of its own answered by every engine.

    A request that finds an engine closed does not try it again later.
    """
    await running.wait_standins()
    caller = running.caller(host)

    async def all_answered():
        results = await asyncio.gather(
            *(caller.chat(CHAT) for _engine in running.engines())
        )
        answered = {result.headers.get(headers.ENDPOINT) for result in results}
        return answered == set(running.engines())

    await fleet.until(all_answered, 'every engine to answer')


@pytest.mark.parametrize('loss', ['kill', 'freeze'])
async def test_stream_survives_its_engine(tmp_path, loss):
    made = fleet.deployment(regions=('north',), engines=2, plains=0)
    started_fleet = fleet.Fleet(tmp_path, made, SLOW)
    try:
        for number in (1, 2):
            name = f'north-chat-{number}'
            started_fleet.spawn(
                name, 'wrenspoke.standin.main', '--endpoint', name,
                '--model', '{"token_ms": 30}',
            )  # fmt: skip
        started_fleet.start_entry('north-1')
        await started_fleet.wait_serving()
        await wait_engines(started_fleet, 'north-1')
        caller = started_fleet.caller('north-1')
        seen = []
        task = asyncio.create_task(caller.chat(CHAT, {}, seen.append))
        await fleet.until(lambda: len(seen) > 3, 'the stream to flow')
        log = started_fleet.log('north-1')
        used = 'north-chat-1'
        placed = log.split('event=placed')[-1].splitlines()[0]
        if 'endpoint=north-chat-2' in placed:
            used = 'north-chat-2'
        getattr(started_fleet, loss)(used)
        result = await task
        assert result.outcome == 'whole', result
        assert result.text == WHOLE
    finally:
        await started_fleet.close()


async def test_stream_of_a_killed_entry_host_goes_on_at_another(tmp_path):
    made = fleet.deployment(regions=('north',), entries=2)
    async with fleet.running(tmp_path, made, SLOW) as running:
        caller = running.caller('north-1', 'north-2')
        seen = []
        task = asyncio.create_task(caller.chat(CHAT, {}, seen.append))
        await fleet.until(lambda: len(seen) > 3, 'the stream to flow')
        running.kill('north-1')
        result = await task
        assert result.outcome == 'whole', result
        assert result.text == WHOLE


async def test_unbound_work_leaves_a_region_without_engines(tmp_path):
    """Guards against bound work leaving home, and work staying away."""
    async with fleet.running(tmp_path, fleet.deployment()) as running:
        running.kill('standin-south')
        caller = running.caller('south-1')
        for _number in range(3):
            result = await caller.chat(CHAT)
            assert (result.outcome, result.text) == ('whole', WHOLE)
        sent = {headers.HOME: 'south', headers.BOUND: 'true'}
        result = await caller.chat(CHAT, sent)
        assert result.outcome == 'not_run'
        assert result.reason in ('no_endpoint', 'endpoint_failed')
        running.start_standins('south')

        async def served_at_home():
            request = ids.new_random_id()
            await caller.chat(CHAT, {headers.REQUEST: request})
            explained = await caller.get(f'/explain/{request}')
            return 'forwarded' not in str(explained)

        await fleet.until(served_at_home, 'work to come home')


@pytest.mark.parametrize('known', [True, False])
async def test_caller_resumes_a_stream_by_its_last_event(tmp_path, known):
    """A stream resumes at the engine that has it, else it is reported."""
    made = fleet.deployment(regions=('north',), entries=2, engines=2)
    async with fleet.running(tmp_path, made, SLOW) as running:
        request = ids.new_random_id()
        seen = []
        first = asyncio.create_task(
            running.caller('north-1').chat(
                CHAT, {headers.REQUEST: request}, seen.append
            )
        )
        await fleet.until(lambda: len(seen) > 3, 'the stream to flow')
        running.kill('north-1')
        await asyncio.gather(first, return_exceptions=True)
        sent = {
            headers.REQUEST: request if known else ids.new_random_id(),
            headers.ATTEMPT: '2',
            headers.LAST_EVENT_ID: str(len(seen)),
        }
        result = await running.caller('north-2').chat(CHAT, sent)
        if known:
            assert (result.outcome, result.text) == (
                'whole',
                WHOLE.removeprefix(''.join(seen)),
            )
        else:
            assert (result.outcome, result.reason) == (
                'unknown',
                'stream_broken',
            )
