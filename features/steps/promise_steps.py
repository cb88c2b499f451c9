"""Steps for partitions, drains, shutdown and configuration changes."""

import asyncio

import behave
from request_steps import run
from request_steps import start

from tests import fleet
from wrenspoke import caller as callers
from wrenspoke import clock as clocks
from wrenspoke.protocol import headers
from wrenspoke.standin import engine

MESSAGES = [{'role': 'user', 'content': 'Which lift is open?'}]
COUNT = 60
WHOLE = ''.join(engine.answer_words(MESSAGES, COUNT))
CHAT = {'messages': MESSAGES, 'stream': True, 'max_tokens': COUNT}
OTHER = {'north': 'south', 'south': 'north'}


@behave.given('two regions with two entry hosts each, behind links')
def step_two_behind_links(context):
    made = fleet.deployment(entries=2)
    run(context, start(context, made, relays=True, token_ms=20))


@behave.given('two regions with an entry host each and a control host')
def step_with_control(context):
    run(context, start(context, fleet.deployment(controls=1)))


@behave.when('"{region}" is cut off from the other region')
def step_cut(context, region):
    async def isolate():
        context.fleet.isolate(f'{region}-1', f'{region}-2')

    run(context, isolate())


@behave.then('a driver in "{region}" gets a whole answer')
def step_driver_served(context, region):
    async def ask():
        return await context.fleet.caller(f'{region}-1').chat(CHAT)

    result = run(context, ask())
    assert (result.outcome, result.text) == ('whole', WHOLE), result


@behave.then(
    'a member of the other region is told at "{region}" that it was not run'
)
def step_member_told(context, region):
    sent = {headers.HOME: OTHER[region], headers.BOUND: 'true'}

    async def ask():
        caller = context.fleet.caller(f'{region}-1')
        return await caller.call('GET', 'records', '/member/1', sent)

    result = run(context, ask())
    assert (result.outcome, result.reason) == (
        'not_run',
        'home_unreachable',
    ), result


@behave.when('the services of "{region}" stop listening')
def step_stop_services(context, region):
    context.fleet.kill(f'standin-{region}')
    context.region = region


@behave.when('a driver sends a "{method}" of "{path}" that may run once')
def step_send_once(context, method, path):
    context.request = callers.once_id(context.region, clocks.Clock())

    async def send():
        caller = context.fleet.caller(f'{context.region}-1')
        sent = {headers.REQUEST: context.request}
        return await caller.call(method, 'records', path, sent)

    context.result = run(context, send())


@behave.then('the driver is told that it was not run')
def step_told_not_run(context):
    assert context.result.outcome == 'not_run', context.result
    assert context.result.headers['Retry-After']


@behave.then('no service has run it')
def step_no_service(context):
    async def ran():
        return await context.fleet.runs(f'{OTHER[context.region]}-records-1')

    assert context.request not in run(context, ran())['runs']


@behave.when('an operator plans and confirms the drain of "{endpoint}"')
def step_drain(context, endpoint):
    intent = {'type': 'drain', 'endpoint': endpoint}

    async def decide():
        operator = context.fleet.operator()
        planned = await operator.plan(1, intent)
        context.plan = planned.body['answer']['plan']
        return await operator.confirm(2, context.plan)

    confirmed = run(context, decide())
    assert confirmed.status == 200, confirmed
    context.index = confirmed.body['answer']['index']


@behave.then('the plan is done')
def step_plan_done(context):
    async def wait():
        operator = context.fleet.operator()

        async def done():
            shown = await operator.show(f'/plans/{context.plan}')
            return shown.body['plan']['state'] == 'done'

        await fleet.until(done, 'the plan')

    run(context, wait())


@behave.then('a chat asked for at "{host}" is whole and served elsewhere')
def step_served_elsewhere(context, host):
    async def ask():
        return await context.fleet.caller(host).chat(CHAT)

    result = run(context, ask())
    assert (result.outcome, result.text) == ('whole', WHOLE), result
    runs = run(context, context.fleet.runs('north-chat-1'))
    assert not runs['runs']


@behave.when(
    'guests have {count:d} streams flowing at "{host}" and it is told to stop'
)
def step_stop_host(context, count, host):
    async def play():
        seen = [[] for _number in range(count)]
        caller = context.fleet.caller(host)
        tasks = [
            asyncio.create_task(caller.chat(CHAT, {}, one.append))
            for one in seen
        ]
        await fleet.until(lambda: all(map(len, seen)), 'streams to flow')
        context.fleet.processes[host].terminate()
        return await asyncio.gather(*tasks)

    context.results = run(context, play())


@behave.then('every stream ends whole')
def step_all_whole(context):
    for result in context.results:
        assert (result.outcome, result.text) == ('whole', WHOLE), result


@behave.then('every entry host holds it, also after each is restarted')
def step_all_hold(context):
    async def check():
        running = context.fleet
        for host in running.settings.with_role('entry'):
            running.kill(host.host)
            running.start_entry(host.host)
            await running.wait_serving(host.host)
            status = await running.status(host.host)
            assert status['index'] >= context.index, status

    run(context, check())
