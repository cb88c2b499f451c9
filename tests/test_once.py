"""Once-only requests run at most once despite failures of hosts."""

import asyncio

import pytest

from tests import fleet
from wrenspoke import caller as callers
from wrenspoke import clock as clocks
from wrenspoke.protocol import headers

HOSTS = ('north-1', 'north-2', 'north-3')
SLOW = {'delay_ms': 1200}


def once_id(region='north', age_ms=0):
    """Return a new once-only id that was issued ``age_ms`` ago."""
    key = callers.once_id(region, clocks.Clock())
    name, issued_ms, unique = key.split(':')
    return f'{name}:{int(issued_ms) - age_ms}:{unique}'


@pytest.fixture
async def running(tmp_path):
    """Run three entry hosts of one region, with relays between them."""
    made = fleet.deployment(regions=('north',), entries=3, plains=2)
    async with fleet.running(tmp_path, made, relays=True) as started:
        yield started


async def send_release(running, host, request, attempt=1):
    """Send one attempt to one host."""
    caller = running.caller(host)
    try:
        async with asyncio.timeout(20):
            return await caller.call(
                'POST',
                'records',
                '/release/7',
                {
                    headers.REQUEST: request,
                    headers.ATTEMPT: str(attempt),
                },
            )
    finally:
        await caller.close()


async def resend(running, host, request, attempt=2):
    """Send a later attempt to one host."""
    return await send_release(running, host, request, attempt)


async def run_count(running, request):
    """Return how many times a request was run."""
    runs = await running.all_runs('records')
    return len(runs.get(request, []))


async def test_resend_through_another_host_gets_the_kept_answer(running):
    request = once_id()
    first = await send_release(running, 'north-1', request)
    assert first.outcome == 'whole'
    for host in HOSTS:
        again = await resend(running, host, request)
        assert (again.outcome, again.body) == ('whole', first.body)
    assert await run_count(running, request) == 1


async def test_racing_sends_run_once(running):
    request = once_id()
    results = await asyncio.gather(
        *(
            resend(running, host, request, attempt)
            for host in HOSTS
            for attempt in (1, 2, 3)
        )
    )
    assert await run_count(running, request) == 1
    for result in results:
        assert result.outcome in ('whole', 'unknown'), result


async def send_then_lose_host(running, host, request, lose):
    """Send to a slow service and fail the host before the response."""
    for number in (1, 2):
        await running.faults(f'north-records-{number}', **SLOW)
    task = asyncio.create_task(send_release(running, host, request))

    async def has_started():
        return await run_count(running, request) == 1

    await fleet.until(has_started, 'the request to reach the service')
    lose(host)
    return task


@pytest.mark.parametrize('loss', ['kill', 'freeze', 'cut'])
async def test_resend_after_losing_the_host(running, loss):
    request = once_id()
    lose = {
        'kill': running.kill,
        'freeze': running.freeze,
        'cut': running.isolate,
    }[loss]
    task = await send_then_lose_host(running, 'north-1', request, lose)
    again = await resend(running, 'north-2', request)
    assert again.outcome == 'unknown'
    if loss == 'freeze':
        running.thaw('north-1')
    running.heal()
    await asyncio.gather(task, return_exceptions=True)
    assert await run_count(running, request) == 1


async def restart(running, host):
    """Restart a host and wait until it has recovered its registers."""
    event = 'event=ledger_recalled'
    before = running.log(host).count(event)
    running.kill(host)
    running.start_entry(host)
    await running.wait_serving(host)
    await fleet.until(
        lambda: running.log(host).count(event) > before, 'recall'
    )


@pytest.mark.parametrize(
    'hosts',
    [['north-1'], ['north-2', 'north-3'], ['north-1', 'north-2', 'north-3']],
    ids=['one', 'two in a row', 'each in turn'],
)
async def test_restarted_hosts_forget_no_claim(running, hosts):
    """A restart without reading a majority back would lose claims."""
    request = once_id()
    first = await send_release(running, 'north-1', request)
    assert first.outcome == 'whole'
    for host in hosts:
        await restart(running, host)
    for host in HOSTS:
        again = await resend(running, host, request)
        assert again.body == first.body
    assert await run_count(running, request) == 1


async def test_majority_restarted_together_does_not_run_it_again(running):
    request = once_id()
    assert (await send_release(running, 'north-1', request)).outcome == 'whole'
    for host in HOSTS[1:]:
        running.kill(host)
    for host in HOSTS[1:]:
        running.start_entry(host)
    await running.wait_serving(*HOSTS)
    # Only the frozen host stores the claim; the others must not vote on it.
    running.freeze('north-1')
    for host in HOSTS[1:]:
        again = await resend(running, host, request)
        assert again.outcome == 'unknown'
    running.thaw('north-1')
    assert await run_count(running, request) == 1
    fresh = once_id()
    assert (await send_release(running, 'north-2', fresh)).outcome == 'whole'


@pytest.mark.parametrize('attempt, outcome', [(1, 'not_run'), (2, 'unknown')])
async def test_minority_side_of_a_cut_runs_nothing(running, attempt, outcome):
    running.isolate('north-1')
    request = once_id()
    result = await resend(running, 'north-1', request, attempt)
    assert (result.outcome, result.reason) == (
        outcome,
        'ledger_unreachable',
    )
    other = once_id()
    assert (await resend(running, 'north-2', other, 1)).outcome == 'whole'
    running.heal()
    assert await run_count(running, request) == 0


async def test_old_and_future_keys_are_not_run(running):
    retention_ms = running.settings.ledger.claim_retention_ms
    old = once_id(age_ms=retention_ms + 5000)
    result = await send_release(running, 'north-1', old)
    assert (result.status, result.outcome) == (410, 'unknown')
    future = once_id(age_ms=-60_000)
    result = await send_release(running, 'north-1', future)
    assert (result.status, result.outcome) == (400, 'not_run')
    assert await run_count(running, old) == 0
    assert await run_count(running, future) == 0


async def test_refused_attempt_may_be_sent_again_under_a_higher_number(
    running,
):
    running.kill('standin-north')
    request = once_id()
    first = await resend(running, 'north-1', request, 1)
    assert first.outcome == 'not_run'
    running.start_standins()

    async def standin_runs():
        try:
            return await running.runs('north-records-1')
        except Exception:
            return None

    await fleet.until(standin_runs, 'stand-ins')
    late = await resend(running, 'north-2', request, 1)
    assert late.outcome == 'not_run'
    second = await resend(running, 'north-2', request, 2)
    assert second.outcome == 'whole', second
    assert await run_count(running, request) == 1
