"""Readers of responses, each set up for one request to a URL."""

import types

from tests import fleet
from tests import test_truncated as truncated
from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import execution
from wrenspoke.coordination.membership import host_list_poller
from wrenspoke.coordination.membership import load_poller
from wrenspoke.coordination.serving import take_up
from wrenspoke.coordination.serving import warmup_probe
from wrenspoke import load
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import requests
from wrenspoke.state import registry
from wrenspoke.state import routes
from wrenspoke.transport import web

CONNECT_TIMEOUT_MS = 1_000


class OpenGate:
    """Permits every send."""

    async def acquire(self, _life, _rank):
        return types.SimpleNamespace(
            is_valid=lambda: True, on_response=lambda _found: None
        )


async def collect_runs(url):
    """Return the executions that the load tool reads."""
    endpoint = types.SimpleNamespace(endpoint='e', url=url)
    deployment = types.SimpleNamespace(endpoints=[endpoint])
    return await load.collect_runs(deployment)


async def fetch_hosts(url):
    """Return the hosts of the platform's list."""
    client = web.HttpClient(CONNECT_TIMEOUT_MS)
    poller = host_list_poller.HostListPoller(
        url, 'h', client, None, None, clocks.Clock()
    )
    hosts = await poller._fetch_hosts()
    await client.close()
    return hosts


async def poll_load(url, timeout_ms):
    """Return the load reports that one poll adds."""
    reports = []
    limits = types.SimpleNamespace(load_poll_interval_ms=timeout_ms)
    table = types.SimpleNamespace(add_report=reports.append)
    async with truncated.dispatching(url) as dispatcher:
        poller = load_poller.LoadPoller(
            limits,
            'north',
            'hall',
            dispatcher,
            None,
            None,
            table,
            None,
            clocks.Clock(),
        )
        await poller._poll_load('e')
    return reports


async def read_engine_state(url, timeout_ms):
    """Return an engine's state.

    :raises OrderFailedError: the response is none, or has none
    """
    control = types.SimpleNamespace(order_timeout_ms=timeout_ms)
    deployment = types.SimpleNamespace(control=control, with_role=lambda _: ())
    async with truncated.dispatching(url) as dispatcher:
        executor = execution.Executor(
            'h', deployment, None, dispatcher, clocks.Clock()
        )
        return await executor._read_engine_state('e')


async def probe_endpoint(url):
    """Return the warm-up status of an endpoint, None without one."""
    table = types.SimpleNamespace(
        service=lambda _name: routes.RoutedService('s', '/health', 10)
    )
    client = web.HttpClient(CONNECT_TIMEOUT_MS)
    probe = warmup_probe.WarmupProbe(
        types.SimpleNamespace(add_listener=lambda _listener: None),
        types.SimpleNamespace(current=types.SimpleNamespace(routes=table)),
        dialects.Dialect(),
        client,
        OpenGate(),
        clocks.Clock(),
    )
    registered = registry.Registration(
        'e',
        's',
        url.removeprefix('http://'),
        'hall',
        4,
        registry.RegistrationState.READY,
        1,
    )
    status = await probe._probe_endpoint(registered)
    await client.close()
    return status


async def forward_call(url, deadline_ms, reply):
    """Forward a call to the one host of a region.

    :raises RequestEndedError: it gave no response to the call
    """
    made = fleet.deployment(regions=('south',), entries=1)
    made['hosts'][0]['http_port'] = int(url.rpartition(':')[2])
    client = web.HttpClient(CONNECT_TIMEOUT_MS)
    clock = clocks.Clock()
    forwarder = truncated.new_forwarder(
        made, truncated.OneRegion(['south-1']), client, clock
    )
    head = requests.RequestHead(
        'r1',
        requests.RequestKind.PLAIN,
        'GET',
        '/map',
        'records',
        clock.mono_ms() + deadline_ms,
    )
    try:
        await forwarder.forward(head, b'', 'south', reply)
    finally:
        await client.close()


def new_exchange(client):
    """Return the exchange of a call whose answer is kept by ``h1``."""
    return take_up.HopExchange(
        client, None, 'h1', 't1', list, bool, clocks.Clock()
    )


def new_take_up_forwarder(client, url):
    """Return what passes requests for kept answers on to a host."""
    address = url.removeprefix('http://')
    return take_up.TakeUpForwarder(client, lambda _host: address)


def host_record(url):
    """Return what is known of a host that may have a kept answer."""
    return types.SimpleNamespace(
        host='h2', passing_address=url.removeprefix('http://')
    )
