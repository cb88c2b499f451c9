"""Slow callers and endpoints on the whole way of passed-through requests."""

import asyncio
import socket

import pytest

from tests import endpoints
from tests import nodes
from tests import test_far
from tests import test_passing
from wrenspoke.coordination.buffering import buffered_reply
from wrenspoke.coordination.buffering import byte_account
from wrenspoke.coordination.buffering import node_buffers
from wrenspoke import node as settings
from wrenspoke.state import routes
from wrenspoke.transport import web

Side = byte_account.Side
STALL = endpoints.ScriptedEndpoint.STALL
STREAM = routes.RouteKind.STREAM
REPEATABLE = routes.RouteKind.REPEATABLE
EVENT = b'data: ' + b'x' * 1_000 + b'\n\n'
# More than the sockets of both sides take.
EVENTS = 2_000
# One read of a socket whose buffer is bounded, which the kernel doubles, and
# what a connection holds.
PIECE_BYTES = (
    2 * node_buffers.SOCKET_BUFFER_BYTES + buffered_reply.WRITE_BUFFER_BYTES
)
ROUTE = {'timeout_ms': 60_000, 'target_ms': 500}


class SlowCaller:
    """Caller that reads when it is told to."""

    def __init__(self, address):
        self._address = address

    async def send(self, request):
        ip, _, port = self._address.rpartition(':')
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (ip, int(port)))
        await loop.sock_sendall(sock, request)
        self.sock = sock
        return self

    async def read(self, size=65_536):
        return await asyncio.get_running_loop().sock_recv(self.sock, size)

    async def read_all(self):
        found = b''
        while chunk := await self.read():
            found += chunk
        return found


@pytest.fixture
async def system(tmp_path):
    """Run one control and one entry host, with scripted endpoints."""
    made = []
    running = nodes.Nodes(tmp_path)

    async def add(name, script, **changes):
        endpoint = await endpoints.ScriptedEndpoint(script).start()
        made.append(endpoint)
        await running.register(name, endpoint, **changes)
        return endpoint

    async def begin(kind=STREAM, far=(), **buffering):
        running.changes = {
            'buffering': settings.BufferingSettings(enabled=True, **buffering)
        }
        await running.start()
        for data_centre in far:
            await running.start_entry(data_centre)
        await running.put(test_passing.route(kind, **ROUTE))
        running.buffers = running.entries[0]._buffers
        running.account = running.buffers.account
        address = running.entries[0].node.callers_address
        running.caller = lambda: SlowCaller(address)
        running.ask = lambda sent: endpoints.send_raw(address, sent)

    running.add = add
    running.begin = begin
    yield running
    await running.close()
    for endpoint in made:
        await endpoint.close()


def stream(sent, _number, count=EVENTS):
    return [
        b''.join(test_passing.chunked(sent, *([EVENT] * count))),
        test_passing.END,
    ]


def unchunked(found):
    """Return the body of a response in chunks, and whether it is whole."""
    rest = found.partition(b'\r\n\r\n')[2]
    body = []
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        if int(size, 16) == 0:
            return b''.join(body), True
        body.append(rest[: int(size, 16)])
        rest = rest[int(size, 16) + 2 :]
    return b''.join(body), False


def is_empty(account):
    return account.held_bytes == 0 and account.calls == 0


async def test_endpoint_is_free_while_its_caller_reads_nothing(system):
    await system.begin(call_limit_bytes=4_000_000)
    ended = asyncio.Event()

    def answer(sent, number):
        yield from stream(sent, number)
        ended.set()

    await system.add('a', answer)
    caller = await system.caller().send(test_passing.request())
    async with asyncio.timeout(nodes.WAIT_S):
        await ended.wait()
    selector = system.entries[0]._selector
    await nodes.until(lambda: not selector.in_flight)
    held = system.account.held(Side.RESPONSE)
    assert held > EVENTS * len(EVENT) // 2
    assert system.buffers.stalls.watched_count == 1
    found = await caller.read_all()
    assert unchunked(found) == (EVENT * EVENTS, True)
    await nodes.until(lambda: is_empty(system.account))


async def test_large_response_to_a_slow_caller_frees_its_endpoint(system):
    await system.begin(REPEATABLE)
    body = b'y' * 4_000_000
    await system.add('a', lambda sent, _n: [test_passing.answer(sent, body)])
    caller = await system.caller().send(test_passing.request())
    selector = system.entries[0]._selector
    await nodes.until(lambda: system.buffers.stalls.watched_count)
    await nodes.until(lambda: not selector.in_flight)
    assert system.account.held(Side.RESPONSE) == len(body)
    found = await caller.read_all()
    assert found.endswith(body)
    await nodes.until(lambda: is_empty(system.account))


async def test_caller_that_reads_nothing_is_let_go(system):
    await system.begin(caller_stall_ms=300, call_limit_bytes=4_000_000)
    await system.add('a', stream)
    caller = await system.caller().send(test_passing.request())
    await nodes.until(lambda: system.buffers.callers.stalled_count)
    await nodes.until(lambda: is_empty(system.account))
    # Visibly cut, so that the caller may take the stream up.
    assert not (await caller.read_all()).endswith(test_passing.END)


async def test_stalled_caller_holds_back_its_endpoint_at_its_limit(system):
    await system.begin(call_limit_bytes=100_000, caller_stall_ms=300)
    endpoint = await system.add('a', stream)
    caller = await system.caller().send(test_passing.request())
    await nodes.until(lambda: system.buffers.callers.stalled_count)
    caller.sock.close()
    # The endpoint's connection ends, and the account held one piece more.
    await nodes.until(endpoint.peer_closed.is_set)
    await nodes.until(lambda: is_empty(system.account))
    assert system.account.highest_bytes < 100_000 + PIECE_BYTES


async def test_new_requests_are_refused_unread_while_there_is_no_room(system):
    await system.begin(REPEATABLE, ceiling_bytes=100_000)
    endpoint = await system.add(
        'a', lambda sent, _n: [test_passing.answer(sent)]
    )
    kept = system.account.open()
    kept.add(Side.RESPONSE, 90_000)
    body = b'z' * 60_000
    sent = test_passing.request(
        'POST /a/x HTTP/1.1', [f'Content-Length: {len(body)}'], body
    )
    got = await system.ask(sent)
    assert got.startswith(b'HTTP/1.1 503')
    assert endpoints.header(got, 'Wrenspoke-Refused') == 'overloaded'
    assert float(endpoints.header(got, 'Retry-After')) > 0
    assert endpoint.requests == []
    assert system.account.held_bytes == 90_000
    kept.close()
    assert (await system.ask(sent)).startswith(b'HTTP/1.1 200')
    await nodes.until(lambda: is_empty(system.account))


async def test_request_that_outgrows_the_room_is_refused(system):
    """Not run, and what was read of it is released."""
    await system.begin(REPEATABLE, ceiling_bytes=100_000)
    endpoint = await system.add(
        'a', lambda sent, _n: [test_passing.answer(sent)]
    )
    body = b'z' * 1_000_000
    got = await system.ask(
        test_passing.request(
            'POST /a/x HTTP/1.1', [f'Content-Length: {len(body)}'], body
        )
    )
    assert got.startswith(b'HTTP/1.1 503')
    assert endpoint.requests == []
    await nodes.until(lambda: is_empty(system.account))
    assert system.account.highest_bytes < 100_000 + PIECE_BYTES


async def test_response_that_does_not_fit_is_forwarded_as_it_comes(system):
    await system.begin(REPEATABLE, ceiling_bytes=200_000)
    body = b'y' * 3_000_000
    await system.add('a', lambda sent, _n: [test_passing.answer(sent, body)])
    got = await system.ask(test_passing.request())
    assert got.startswith(b'HTTP/1.1 200')
    assert unchunked(got) == (body, True)
    await nodes.until(lambda: is_empty(system.account))
    assert system.account.highest_bytes < 200_000 + PIECE_BYTES


async def test_truncated_response_that_did_not_fit_is_visibly_cut(system):
    """It is not asked for again, as its beginning was passed on."""
    await system.begin(REPEATABLE, ceiling_bytes=200_000)

    def answer(sent, _number):
        whole = test_passing.answer(sent, b'y' * 3_000_000)
        return [whole[:2_000_000], endpoints.ScriptedEndpoint.RESET]

    endpoint = await system.add('a', answer)
    got = await system.ask(test_passing.request())
    assert not got.endswith(test_passing.END)
    assert got.startswith(b'HTTP/1.1 200')
    assert len(endpoint.requests) == 1
    await nodes.until(lambda: is_empty(system.account))


async def test_callers_that_left_leave_nothing_behind(system):
    await system.begin()
    await system.add('a', lambda sent, n: [*stream(sent, n, 50)[:1], STALL])
    callers = [
        await system.caller().send(
            test_passing.request(request_id=f'q{number}')
        )
        for number in range(8)
    ]
    await nodes.until(lambda: system.account.calls == 8)
    for caller in callers:
        await caller.read(100)
        caller.sock.close()
    await nodes.until(lambda: is_empty(system.account))


@pytest.mark.parametrize('reads', [False, True], ids=['stops', 'reads'])
async def test_hop_does_not_hide_that_the_caller_stands_still(system, reads):
    """The caller's host lets it go; the far host holds nothing for it."""
    await system.begin(
        far=['south-hall'], caller_stall_ms=1_000, call_limit_bytes=4_000_000
    )
    await system.add('a', stream, data_centre='south-hall')
    near, far = system.entries
    await test_far.wait_for_pongs(system)
    caller = await system.caller().send(test_passing.request())
    await nodes.until(lambda: near._buffers.stalls.watched_count)
    await nodes.until(lambda: is_empty(far._buffers.account))
    if reads:
        assert unchunked(await caller.read_all()) == (EVENT * EVENTS, True)
    else:
        await nodes.until(lambda: near._buffers.callers.stalled_count)
        caller.sock.close()
    await nodes.until(lambda: is_empty(near._buffers.account))
    assert near._buffers.callers.stalled_count == (not reads)
    assert far._buffers.callers.stalled_count == 0


async def test_kernel_does_not_cut_a_caller_before_it_is_let_go(system):
    """Linux ends connections whose peers had no room for the user timeout."""
    await system.begin(caller_stall_ms=7_000)
    [sock] = system.entries[0]._caller_server.sockets
    option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert sock.getsockopt(*option) > 7_000


class RecordingWriter:
    """Writer that records the pieces, and the pauses between them."""

    def __init__(self, fail_after=None):
        self.pieces = []
        self.drains = 0
        self.fail_after = fail_after

    async def write(self, piece):
        if len(self.pieces) == self.fail_after:
            raise ConnectionResetError
        self.pieces.append(bytes(piece))

    async def drain(self):
        self.drains += 1


async def test_large_request_is_written_in_pieces_without_copies():
    body = bytes(range(256)) * 1_000
    payload = web._ConditionalPayload(body, lambda: True)
    writer = RecordingWriter()
    await payload.write_with_length(writer, len(body))
    assert b''.join(writer.pieces) == body
    assert max(map(len, writer.pieces)) == web.BODY_PIECE_BYTES
    assert writer.drains == len(writer.pieces) - 1
    assert payload.written_bytes == len(body)


async def test_failed_send_tells_how_much_was_written():
    body = bytes(200_000)
    payload = web._ConditionalPayload(body, lambda: True)
    with pytest.raises(ConnectionResetError):
        await payload.write_with_length(RecordingWriter(1), len(body))
    told = web._describe_failure(ConnectionResetError(), payload)
    assert told.endswith(f'after {web.BODY_PIECE_BYTES} of 200000 body bytes')
