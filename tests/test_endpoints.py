"""Outcomes reported to callers, and runs, when endpoints fail."""

import asyncio

import pytest

from tests import fleet
from wrenspoke import caller as callers
from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import headers
from wrenspoke.standin import engine

MESSAGES = [{'role': 'user', 'content': 'Which runs are groomed?'}]
TWO_ENGINES = {'regions': ('north',), 'engines': 2, 'plains': 2}
WHOLE = ''.join(engine.answer_words(MESSAGES, engine.DEFAULT_TOKENS))


def chat_body(stream=True, **fields):
    return {'messages': MESSAGES, 'stream': stream, **fields}


@pytest.fixture
async def running(tmp_path):
    """Run one entry host with two endpoints of each service."""
    made = fleet.deployment(**TWO_ENGINES)
    async with fleet.running(tmp_path, made) as started:
        yield started


# Name, fault of both endpoints, method, once-only, outcome, runs.
ONE_FAULT = [
    ('closes after reading', {'close_after_read': True}, 'GET', True,
     'unknown', 1),
    ('closes after reading', {'close_after_read': True}, 'POST', True,
     'unknown', 1),
    ('cuts its answer short', {'truncate': True}, 'GET', True,
     'unknown', 1),
    ('answers another request', {'crossed': True}, 'GET', True,
     'unknown', 1),
    ('is busy', {'status': 503}, 'GET', True, 'failed', 1),
    ('redirects', {'status': 307, 'redirect_to': 'http://127.0.0.1:9/'},
     'GET', True, 'whole', 1),
    ('cuts its answer short', {'truncate': True}, 'GET', False,
     'unknown', 2),
    ('fails', {'status': 500}, 'GET', False, 'failed', 2),
]  # fmt: skip


@pytest.mark.parametrize(
    'what, fault, method, once, outcome, count',
    ONE_FAULT,
    ids=[f'{row[0]}-{row[2]}-{row[3]}' for row in ONE_FAULT],
)
async def test_faulty_services(
    running, what, fault, method, once, outcome, count
):
    caller = running.caller('north-1')
    path = '/release/7' if once else '/map'
    # aiohttp retries a GET by itself only on a reused connection.
    warm = [
        caller.call('GET', 'records', path, {headers.REQUEST: once_id()})
        for _number in range(4)
    ]
    await asyncio.gather(*warm)
    for number in (1, 2):
        await running.faults(f'north-records-{number}', **fault)
    request = once_id() if once else ids.new_random_id()
    sent = {headers.REQUEST: request}
    result = await caller.call(method, 'records', path, sent)
    assert result.outcome == outcome, result
    runs = await running.all_runs('records')
    assert len(runs[request]) == count


def once_id():
    """Return a new once-only id of region north."""
    return callers.once_id('north', clocks.Clock())


async def test_reused_connection_is_not_sent_on_twice(running):
    """aiohttp retries a GET by itself if a reused connection drops."""
    caller = running.caller('north-1')
    for _number in range(6):
        await caller.call('GET', 'records', '/map')
    for number in (1, 2):
        await running.faults(f'north-records-{number}', close_after_read=True)
    request = once_id()
    sent = {headers.REQUEST: request}
    result = await caller.call('GET', 'records', '/release/1', sent)
    assert result.outcome == 'unknown'
    runs = await running.all_runs('records')
    assert len(runs[request]) == 1


async def test_refused_connection_is_reported_not_run(running):
    running.kill('standin-north')
    caller = running.caller('north-1')
    result = await caller.call(
        'POST', 'records', '/release/1', {headers.REQUEST: once_id()}
    )
    assert (result.outcome, result.status) == ('not_run', 503)
    assert result.headers['Retry-After']


@pytest.mark.parametrize('stream', [True, False])
@pytest.mark.parametrize(
    'fault',
    [
        {'status': 500},
        {'status': 503},
        {'crossed': True},
        {'truncate': True, 'break_after_events': 3, 'break_times': 99},
    ],
    ids=['fails', 'busy', 'crossed', 'cut'],
)
async def test_chat_goes_on_at_another_engine(running, fault, stream):
    caller = running.caller('north-1')
    await running.faults('north-chat-1', **fault)
    for number in range(4):
        result = await caller.chat(
            chat_body(stream), {'Wrenspoke-Session': f's{number}'}
        )
        assert result.outcome == 'whole', result
        assert result.text == WHOLE


@pytest.mark.parametrize('status', [429, 503])
async def test_overload_status_of_another_request_is_no_proof(running, status):
    """Guards against the claim that a chat was not run, though it was."""
    caller = running.caller('north-1')
    await running.engine_faults(crossed=True, status=status)
    result = await caller.chat(chat_body(False))
    assert result.outcome == 'unknown', result


@pytest.mark.parametrize('end_early', [False, True])
@pytest.mark.parametrize('break_after', [1, 5, 16])
async def test_broken_stream_is_resumed(running, break_after, end_early):
    caller = running.caller('north-1')
    for number in (1, 2):
        await running.faults(
            f'north-chat-{number}',
            break_after_events=break_after,
            break_times=1,
            end_early=end_early,
        )
    result = await caller.chat(chat_body())
    assert result.outcome == 'whole', result
    assert result.text == WHOLE
    assert result.events == engine.DEFAULT_TOKENS


async def test_deadline_ends_a_request_at_once(running):
    for number in (1, 2):
        await running.faults(f'north-records-{number}', delay_ms=5000)
    caller = running.caller('north-1')
    sent = {headers.DEADLINE_MS: '300', headers.REQUEST: once_id()}
    result = await caller.call('POST', 'records', '/release/1', sent)
    assert (result.outcome, result.status) == ('unknown', 504)
    assert result.first_ms < 3000


async def test_late_answer_is_kept_for_a_resend(running):
    for number in (1, 2):
        await running.faults(f'north-records-{number}', delay_ms=900)
    caller = running.caller('north-1')
    request = once_id()
    sent = {headers.REQUEST: request}
    first = await caller.call(
        'POST', 'records', '/release/1', {**sent, headers.DEADLINE_MS: '300'}
    )
    assert first.outcome == 'unknown'
    second = await caller.call('POST', 'records', '/release/1', sent)
    assert second.outcome == 'whole'
    runs = await running.all_runs('records')
    assert len(runs[request]) == 1


async def test_leaving_caller_cancels_its_stream(running):
    caller = running.caller('north-1')
    body = chat_body(max_tokens=100_000)
    task = asyncio.create_task(caller.chat(body))
    await asyncio.sleep(0.5)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)

    async def cancelled():
        counts = [
            (await running.runs(f'north-chat-{number}'))['cancels']
            for number in (1, 2)
        ]
        return sum(counts) == 1

    await fleet.until(cancelled, 'the engine to be told')


async def test_retries_stay_within_their_budget(tmp_path):
    made = fleet.deployment(
        **TWO_ENGINES, entry={'retry_burst': 2, 'retry_ratio': 0.1}
    )
    async with fleet.running(tmp_path, made) as running:
        for number in (1, 2):
            await running.faults(f'north-records-{number}', status=500)
        caller = running.caller('north-1')
        total = 40
        for _number in range(total):
            result = await caller.call('GET', 'records', '/map')
            assert result.outcome == 'failed'
        runs = await running.all_runs('records')
        sends = sum(len(places) for places in runs.values())
        assert sends <= total + 2 + total * 0.1


async def test_overload_is_shed_at_once_with_retry_after(tmp_path):
    made = fleet.deployment(regions=('north',), entry={'queue_limit': 4})
    made['endpoints'][0]['slots'] = 1
    model = {'token_ms': 30, 'cold_first_ms': 300}
    async with fleet.running(tmp_path, made, model) as running:
        callers_made = [running.caller('north-1') for _number in range(24)]
        results = await asyncio.gather(
            *(one.chat(chat_body()) for one in callers_made)
        )
        outcomes = {result.outcome for result in results}
        assert outcomes == {'whole', 'not_run'}
        for result in results:
            if result.outcome == 'not_run':
                assert int(result.headers['Retry-After']) >= 1
                assert result.reason == 'overload'
            else:
                assert result.text == WHOLE


async def test_late_failure_of_a_once_only_attempt_logs_no_unhandled_error(
    running,
):
    """After the deadline nothing awaits the task of the attempt."""
    for number in (1, 2):
        await running.faults(
            f'north-records-{number}', delay_ms=900, truncate=True
        )
    caller = running.caller('north-1')
    request = once_id()
    sent = {headers.REQUEST: request, headers.DEADLINE_MS: '300'}
    first = await caller.call('POST', 'records', '/release/1', sent)
    assert first.outcome == 'unknown'
    second = await caller.call(
        'POST', 'records', '/release/1', {headers.REQUEST: request}
    )
    assert (second.outcome, second.reason) == ('unknown', 'claim_exists')
    assert 'unhandled_error' not in running.log('north-1')
