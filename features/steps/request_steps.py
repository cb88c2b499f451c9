"""Steps for callers' requests."""

import behave

from tests import fleet
from wrenspoke import caller as callers
from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import headers
from wrenspoke.standin import engine

MESSAGES = [{'role': 'user', 'content': 'Which bay is free?'}]


def run(context, coroutine):
    """Run a coroutine on the scenario's event loop."""
    return context.loop.run_until_complete(coroutine)


async def start(context, made, relays=False, token_ms=1):
    """Start a deployment and wait until it serves requests."""
    context.running = fleet.running(
        context.path, made, {'token_ms': token_ms}, relays=relays
    )
    context.fleet = await context.running.__aenter__()


@behave.given('two regions with an entry host each')
def step_two_regions(context):
    run(context, start(context, fleet.deployment()))


@behave.when(
    'a member of "{home}" asks "{entry}" for a chat that must stay home'
)
def step_ask(context, home, entry):
    context.request = ids.new_random_id()
    sent = {
        headers.REQUEST: context.request,
        headers.HOME: home,
        headers.BOUND: 'true',
    }
    body = {'messages': MESSAGES, 'stream': True}

    async def ask():
        return await context.fleet.caller(entry).chat(body, sent)

    context.result = run(context, ask())


@behave.then('the whole answer comes from an engine in "{home}"')
def step_whole(context, home):
    words = engine.answer_words(MESSAGES, engine.DEFAULT_TOKENS)
    assert context.result.outcome == 'whole', context.result
    assert context.result.text == ''.join(words)
    found = run(context, context.fleet.all_runs('chat'))
    assert found[context.request] == [f'{home}-chat-1']


@behave.then('no engine elsewhere has run it')
def step_nowhere_else(context):
    found = run(context, context.fleet.all_runs('chat'))
    assert len(found[context.request]) == 1


@behave.when('a driver sends a "{method}" of "{path}" twice with one id')
def step_twice(context, method, path):
    context.request = callers.once_id('north', clocks.Clock())
    sent = {headers.REQUEST: context.request}

    async def send():
        caller = context.fleet.caller('north-1')
        return await caller.call(method, 'records', path, sent)

    context.results = [run(context, send()) for _time in range(2)]


@behave.then('both answers are the same')
def step_same(context):
    first, second = context.results
    assert first.outcome == second.outcome == 'whole', context.results
    assert first.body == second.body


@behave.then('the service has run it once')
def step_once(context):
    found = run(context, context.fleet.all_runs('records'))
    assert found[context.request] == ['north-records-1']
