"""``wrenspoke demo``: a deployment in one process, with stand-in endpoints.

Starts two regions with one entry host each, one control host and four
stand-in endpoints. Sends a bound chat to the other region, which forwards
it to its home, sends a once-only request twice, and drains an engine by
planning and confirming.
"""

import asyncio
import json
import pathlib
import sys
import tempfile

from wrenspoke import caller as callers
from wrenspoke import controld
from wrenspoke import entryd
from wrenspoke import ids
from wrenspoke import keys
from wrenspoke import operator as operators
from wrenspoke.protocol import headers
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.standin import engine
from wrenspoke.standin import main as standins
from wrenspoke.transport import web

REGIONS = ('north', 'south')
MODEL = 'small-1'
CONTROL = 'control-1'
TOKEN = 'the-demo-token'
PLACEHOLDER_KEY = '0' * 40
READY_ROUNDS = 300
READY_INTERVAL_S = 0.1


def deployment_json() -> dict:
    """Return the demo's settings, with free ports on the loopback address."""
    ports = iter(web.free_ports(15))
    hosts, endpoints = [], []
    hosts.append(
        {
            'host': CONTROL,
            'region': REGIONS[0],
            'data_centre': f'{REGIONS[0]}-hall',
            'ip': '127.0.0.1',
            'http_port': next(ports),
            'link_port': next(ports),
            'operator_port': next(ports),
            'public_key': PLACEHOLDER_KEY,
            'roles': ['control'],
            'data_folder': 'data',
        }
    )
    for region in REGIONS:
        hosts.append(
            {
                'host': f'{region}-1',
                'region': region,
                'data_centre': f'{region}-hall',
                'ip': '127.0.0.1',
                'http_port': next(ports),
                'link_port': next(ports),
                'public_key': PLACEHOLDER_KEY,
                'roles': ['entry', 'ledger'],
            }
        )
        for service, models in (('chat', [MODEL]), ('records', [])):
            endpoints.append(
                {
                    'endpoint': f'{region}-{service}-1',
                    'service': service,
                    'region': region,
                    'data_centre': f'{region}-hall',
                    'url': f'http://127.0.0.1:{next(ports)}',
                    'models': models,
                    'fenced': service == 'chat',
                }
            )
    return {
        'cluster': 'demo',
        'links': [{'regions': list(REGIONS), 'one_way_ms': 80}],
        'hosts': hosts,
        'entry': {'leave_delay_ms': 100},
        'ledger': {'clock_skew_ms': 200},
        'services': [
            {'service': 'chat', 'kind': 'engine'},
            {'service': 'records', 'kind': 'plain'},
        ],
        'endpoints': endpoints,
        'operators': [
            {'operator': 'you', 'token_sha256': keys.token_digest(TOKEN)}
        ],
        'control': {
            'beat_interval_ms': 100,
            'election_timeout_ms': 400,
            'drain_poll_interval_ms': 100,
        },
        'rules': [
            {
                'rule': 'release-once',
                'service': 'records',
                'path_prefix': '/release',
                'bound': True,
                'once': True,
            }
        ],
    }


def print_line(text: str) -> None:
    """Print one line and flush standard output."""
    print(text, flush=True)


async def run() -> None:
    """Start the deployment, run the scenario and stop the deployment."""
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name) / 'deployment.json'
        path.write_text(json.dumps(deployment_json()))
        keys.generate_keys(path)
        deployment = settings.read(path)
        folder = path.parent / deployment.keys_folder
        model = engine.EngineProfile(token_ms=30)
        servers = await standins.start(deployment, [], model)
        controld.bootstrap_group(path, CONTROL)
        control = controld.ControlDaemon(deployment, CONTROL, path.parent)
        await control.start()
        daemons = [
            entryd.EntryDaemon(deployment, host.host, folder)
            for host in deployment.with_role('entry')
        ]
        for daemon in daemons:
            await daemon.start()
        try:
            await run_scenario(deployment)
        finally:
            for daemon in daemons:
                await daemon.drain()
                await daemon.close()
            await control.close()
            for server in servers.values():
                await server.close()


async def run_scenario(deployment: settings.Deployment) -> None:
    """Send the demo's requests and print the responses."""
    entry = deployment.with_role('entry')[0]
    caller = callers.Caller([f'http://{entry.ip}:{entry.http_port}'])
    try:
        await wait_until_serving(caller)
        print_line('# A chat bound to south, asked for at north:')
        await show_chat(caller)
        print_line('# A release that may run once, sent twice with one id:')
        await show_once(caller, deployment)
        print_line('# A drain of the engine in north, by plan and confirm:')
        await show_drain(deployment)
        print_line('# The same chat, unbound, asked for at north:')
        await show_chat(caller, bound=False)
    finally:
        await caller.close()


async def wait_until_serving(caller: callers.Caller) -> None:
    """Wait until the entry host is serving.

    :raises CallerError: it is not serving after all polls
    """
    for _round in range(READY_ROUNDS):
        status = await caller.get('/status')
        if status['serving']:
            return
        await asyncio.sleep(READY_INTERVAL_S)
    raise callers.CallerError('entry host did not become ready to serve')


async def show_chat(caller: callers.Caller, bound: bool = True) -> None:
    """Stream one chat completion and print how it was decided."""
    body = {
        'model': MODEL,
        'stream': True,
        'messages': [{'role': 'user', 'content': 'Is bay 4 free?'}],
    }
    request = ids.new_random_id()
    sent = {headers.REQUEST: request}
    if bound:
        sent |= {headers.HOME: 'south', headers.BOUND: 'true'}
    result = await caller.chat(body, sent, _print_text)
    print_line(
        f'\n# ended: {result.outcome}, {result.events} events, first after '
        f'{result.first_ms} ms'
    )
    explained = await caller.get(f'/explain/{request}')
    for decision in explained['decisions']:
        print_line(f'#   {decision}')


def _print_text(text: str) -> None:
    print(text, end='', flush=True)


async def show_once(
    caller: callers.Caller, deployment: settings.Deployment
) -> None:
    """Send one once-only request twice, to show that it runs once."""
    # Ledger hosts vote only on keys issued after their start plus the
    # allowed clock skew.
    await asyncio.sleep(3 * deployment.ledger.clock_skew_ms / 1000)
    key = f'south:{_wall_ms()}:demo'
    for _time in range(2):
        result = await caller.call(
            'POST',
            'records',
            '/release/pack-7',
            {headers.HOME: 'south', headers.REQUEST: key},
        )
        print_line(
            f'# {result.status} {result.outcome} {result.body.decode()}'
        )


async def show_drain(deployment: settings.Deployment) -> None:
    """Plan a drain, confirm it and wait until it completes."""
    control = deployment.host(CONTROL)
    url = f'http://{control.ip}:{control.operator_port}'
    operator = operators.OperatorClient([url], TOKEN)
    try:
        planned = await operator.plan(
            1, {'type': 'drain', 'endpoint': 'north-chat-1'}
        )
        plan = planned.body['plan']
        print_line(
            f'# plan {plan["plan"]}: {plan["summary"]}; {plan["costs"]}'
        )
        await operator.confirm(2, plan['plan'])
        for _round in range(READY_ROUNDS):
            shown = await operator.show(f'/plans/{plan["plan"]}')
            if shown.body['plan']['state'] == 'done':
                break
            await asyncio.sleep(READY_INTERVAL_S)
        print_line(
            f'# {shown.body["plan"]["state"]}: {shown.body["plan"]["ends"]}'
        )
    finally:
        await operator.close()


def _wall_ms() -> int:
    return callers.clocks.Clock().wall_ms()


def main() -> None:
    """Run the demo on the event loop that the daemons use."""
    runtime.run(run())
    sys.stdout.flush()
