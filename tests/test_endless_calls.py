"""Calls end in time where an endpoint's response has no end.

Other calls of the host, and polls of other endpoints, go on meanwhile.
"""

import asyncio
import contextlib
import resource

import msgspec
import pytest

from tests import endpoints
from tests import loops
from tests import nodes
from tests import test_passing as passing
from wrenspoke.coordination.serving import attempts
from wrenspoke import node as settings
from wrenspoke.state import routes

ID = passing.ID
MIB = 1 << 20
PAUSE_S = 0.02
TIMEOUT_MS = 400
PACES = {'fast': 0.0, 'drip': PAUSE_S}
# What connections and the kernel hold beside what a call reads.
SLACK_BYTES = 8 * MIB
# The bytes of a response that its caller keeps.
KEPT_BYTES = 4096

event_loop_policy = loops.event_loop_policy


def own(*fields):
    """Return a function that makes a response's head up to its body."""

    def make(sent):
        lines = ['HTTP/1.1 200 OK', f'{ID}: {endpoints.header(sent, ID)}']
        return '\r\n'.join([*lines, *fields]).encode() + b'\r\n\r\n'

    return make


SIZED = f'Content-Length: {1 << 40}'
CHUNKED = 'Transfer-Encoding: chunked'
EVENTS = 'Content-Type: text/event-stream'
HEADS = {
    'blank lines': (b'', b'\r\n'),
    'interim responses': (b'', b'HTTP/1.1 103 Early\r\n\r\n'),
    'status line': (b'HTTP/1.1 200 ', b'x'),
    'header': (b'HTTP/1.1 200 OK\r\nX: ', b'x'),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X: x\r\n'),
}
BODIES = {
    'body with a length': (own(SIZED), b'x'),
    'chunks': (own(CHUNKED), b'1\r\nx\r\n'),
    'chunk size': (own(CHUNKED), b'0'),
    'body up to a close': (own(), b'x'),
    'line of an event': (own(EVENTS), b'x'),
    'event': (own(EVENTS), b'data: x\n'),
    'comments': (own(EVENTS), b': x\n'),
}
LIVE = {
    'comments and blank lines': (own(EVENTS), b':\n\n'),
    'events': (own(EVENTS), b'data: x\n\n'),
}
RESPONSES = HEADS | BODIES | LIVE
KINDS = {
    'once': passing.route(passing.ONCE, timeout_ms=TIMEOUT_MS),
    'repeatable': passing.route(
        passing.REPEATABLE, timeout_ms=TIMEOUT_MS, attempts_limit=2
    ),
    'stream': passing.route(passing.STREAM, timeout_ms=TIMEOUT_MS),
    'resumable stream': passing.route(
        passing.STREAM, timeout_ms=TIMEOUT_MS, resumable=True
    ),
}


async def ask(address, sent):
    """Return the first and the last bytes of a response, up to a close."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(sent)
    first = last = b''
    try:
        while chunk := await reader.read(65536):
            first += chunk[: KEPT_BYTES - len(first)]
            last = (last + chunk)[-len(passing.END) :]
    except ConnectionError:
        pass
    finally:
        writer.close()
    return first, last


@contextlib.asynccontextmanager
async def serving(tmp_path, endless, **changes):
    """Run a host with one service and endpoint for each endless response.

    ``endless`` lists a route's kind, a response and a pace for each.
    """
    system = nodes.Nodes(tmp_path)
    system.changes = changes
    system.endless = {}
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(system.close)
        await system.start()
        system.address = system.entries[0].node.callers_address
        services = [f's{number}' for number in range(len(endless))]
        await system.put(
            passing.route(),
            *(
                msgspec.structs.replace(
                    route,
                    name=service,
                    path_prefix=f'/{service}/',
                    targets=(routes.Target(service),),
                )
                for service, (route, _response, _pace) in zip(
                    services, endless
                )
            ),
            others=services,
        )
        for service, (_route, response, pace) in zip(services, endless):
            endpoint = endpoints.EndlessEndpoint(
                *RESPONSES[response], pause_s=PACES[pace]
            )
            stack.push_async_callback(endpoint.close)
            system.endless[service] = await endpoint.start()
            await system.register(f'e{service}', endpoint, service)
        yield system


def start_calls(system):
    """Start a call of each service whose responses have no end."""
    return {
        service: asyncio.ensure_future(
            ask(
                system.address,
                passing.request(
                    f'GET /{service}/x HTTP/1.1', request_id=service
                ),
            )
        )
        for service in system.endless
    }


async def until_nothing_is_left(system):
    """Wait until no call and no connection to an endpoint is open."""
    await nodes.until(
        lambda: not any(one.open_count for one in system.endless.values())
    )
    await nodes.until(lambda: not system.entries[0].passthrough.in_flight)


@pytest.mark.parametrize('pace', PACES)
@pytest.mark.parametrize('kind', KINDS)
async def test_calls_end_at_their_deadline(tmp_path, kind, pace):
    """Guards against calls without end, and requests that ran refused."""
    endless = [(KINDS[kind], response, pace) for response in RESPONSES]
    async with serving(tmp_path, endless) as system:
        calls = start_calls(system)
        async with asyncio.timeout(nodes.WAIT_S):
            await asyncio.gather(*calls.values())
        await until_nothing_is_left(system)
        for response, (service, call) in zip(RESPONSES, calls.items()):
            first, last = call.result()
            endpoint = system.endless[service]
            status = int(first.split()[1])
            assert len(endpoint.requests) == 1, response
            if response in HEADS or kind in ('once', 'repeatable'):
                assert status in (502, 504), response
                limit_bytes = attempts.BUFFERED_BODY_LIMIT_BYTES
                assert endpoint.written_bytes < limit_bytes + SLACK_BYTES
            else:
                assert status in (200, 502, 504), response
                assert status != 200 or last != passing.END, response


@pytest.mark.parametrize('pace', PACES)
async def test_polls_of_other_endpoints_go_on(tmp_path, pace):
    """Guards against an endpoint whose report of its load never ends."""

    def script(sent, _number):
        if sent.startswith(b'GET /load '):
            return [b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n0 0 0 0 0']
        return [passing.answer(sent)]

    async with contextlib.AsyncExitStack() as stack:
        system = await stack.enter_async_context(
            nodes.running(tmp_path, reports=nodes.Reports())
        )
        await system.put(passing.route(), batch=routes.Batch(8, 9_000))
        made = {}
        for number, response in enumerate(RESPONSES):
            endpoint = endpoints.EndlessEndpoint(
                *RESPONSES[response], pause_s=PACES[pace]
            )
            stack.push_async_callback(endpoint.close)
            made[f'e{number}'] = await endpoint.start()
            await system.register(f'e{number}', endpoint)
        healthy = await endpoints.ScriptedEndpoint(script).start()
        stack.push_async_callback(healthy.close)
        await system.register('h', healthy)
        await nodes.until(
            lambda: all(len(one.requests) >= 3 for one in made.values())
        )
        count = len(healthy.requests)
        await nodes.until(lambda: len(healthy.requests) >= count + 3)
        loads = system.entries[0]._engine_loads
        assert loads.load('h') is not None
        for name, endpoint in made.items():
            assert loads.load(name) is None
            await nodes.until(lambda one=endpoint: one.open_count <= 1)


HEALTHY_CALLS = 60
HELD_LIMIT_BYTES = 256 * MIB
# The ones that are read on up to their deadline come first.
MIXED = [
    ('stream', 'line of an event', 'fast'),
    ('stream', 'comments', 'fast'),
    ('stream', 'comments and blank lines', 'fast'),
    ('stream', 'events', 'fast'),
    ('resumable stream', 'event', 'fast'),
    ('stream', 'event', 'drip'),
    ('once', 'header', 'drip'),
    ('once', 'body with a length', 'drip'),
    ('once', 'headers', 'fast'),
    ('once', 'blank lines', 'fast'),
    ('once', 'interim responses', 'fast'),
    ('once', 'chunks', 'fast'),
    ('once', 'body up to a close', 'fast'),
]


def resident_bytes():
    with open('/proc/self/statm') as found:
        return int(found.read().split()[1]) * resource.getpagesize()


@pytest.mark.parametrize('enabled', [False, True], ids=['', 'buffering'])
async def test_healthy_calls_are_answered_beside_endless_ones(
    tmp_path, enabled
):
    """Guards against hosts that endless responses keep busy, or fill."""
    endless = [
        (
            msgspec.structs.replace(KINDS[kind], timeout_ms=60_000),
            response,
            pace,
        )
        for kind, response, pace in MIXED
    ]
    buffering = settings.BufferingSettings(enabled=enabled)
    async with serving(tmp_path, endless, buffering=buffering) as system:
        healthy = await endpoints.ScriptedEndpoint(
            lambda sent, _number: [passing.answer(sent)]
        ).start()
        await system.register('healthy', healthy)
        before_bytes = resident_bytes()
        calls = list(start_calls(system).values())
        await nodes.until(
            lambda: all(one.requests for one in system.endless.values())
        )
        for number in range(HEALTHY_CALLS):
            got = await endpoints.send_raw(
                system.address, passing.request(request_id=f'q{number}')
            )
            assert got.startswith(b'HTTP/1.1 200 '), got
            assert got.endswith(b'whole'), got
        live_count = sum(not call.done() for call in calls)
        held_bytes = resident_bytes() - before_bytes
        print(f'{live_count} endless calls go on, {held_bytes} bytes held')
        assert live_count
        assert held_bytes < HELD_LIMIT_BYTES
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await until_nothing_is_left(system)
        for endpoint in system.endless.values():
            assert len(endpoint.requests) == 1
        await healthy.close()
