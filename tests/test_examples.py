"""The example deployments serve with their full number of processes."""

import asyncio
import json
import pathlib

import pytest

from tests import fleet
from tests import test_control
from wrenspoke import caller as callers
from wrenspoke import clock as clocks
from wrenspoke import keys
from wrenspoke.protocol import headers
from wrenspoke.standin import engine
from wrenspoke.transport import web

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
MESSAGES = [{'role': 'user', 'content': 'Which rack is free?'}]
CHAT = {'messages': MESSAGES, 'stream': True}
WHOLE = ''.join(engine.answer_words(MESSAGES, engine.DEFAULT_TOKENS))
ONCE = {
    'swap-co-operative': ('swap-ledger', '/packs/release/7'),
    'resort-maps': ('mapdesk', '/routes/7'),
}


def on_loopback(name):
    """Return an example's settings with free ports and short intervals."""
    made = json.loads((EXAMPLES / f'{name}.json').read_text())
    ports = iter(web.free_ports(60))
    for host in made['hosts']:
        host['ip'] = '127.0.0.1'
        for field in ('http_port', 'link_port', 'operator_port'):
            if field in host:
                host[field] = next(ports)
    for endpoint in made['endpoints']:
        endpoint['url'] = f'http://127.0.0.1:{next(ports)}'
    operator = {
        'operator': 'ada',
        'token_sha256': keys.token_digest(fleet.TOKEN),
    }
    return {**made, **fleet.FAST, 'operators': [operator]}


@pytest.mark.parametrize('name', sorted(ONCE))
async def test_example_serves_at_every_host(tmp_path, name):
    service, path = ONCE[name]
    async with fleet.running(tmp_path, on_loopback(name)) as running:
        await running.wait_voters(3)
        entries = running.settings.with_role('entry')
        assert len(entries) == 9
        for host in entries:
            caller = running.caller(host.host)
            result = await caller.chat(CHAT)
            assert (result.outcome, result.text) == ('whole', WHOLE), result
            request = callers.once_id(host.region, clocks.Clock())
            sent = {headers.REQUEST: request, headers.HOME: host.region}
            results = await asyncio.gather(
                *(
                    caller.call('POST', service, path, sent)
                    for _time in range(2)
                )
            )
            assert 'whole' in {one.outcome for one in results}
            runs = await running.all_runs(service)
            assert len(runs[request]) == 1
        answer = await test_control.apply_intent(
            running.operator(), 1, test_control.limit_intent('blue', 5)
        )
        await test_control.wait_in_force(
            running,
            answer.body['answer']['index'],
            [host.host for host in entries],
        )
