"""The account of held bytes, in drawn series of readers, stops and cuts."""

import asyncio
import random

import pytest

from tests import group
from wrenspoke.coordination.buffering import buffered_reply
from wrenspoke.coordination.buffering import byte_account
from wrenspoke.coordination.buffering import stall_watch
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import passthrough_api
from wrenspoke.transport import web as transport

Side = byte_account.Side
Pressure = byte_account.Pressure
SERIES = 300
STALL_MS = 2_000
CALL_LIMIT_BYTES = 60_000
MAX_PIECE_BYTES = 20_000
SOCKET_BYTES = buffered_reply.WRITE_BUFFER_BYTES


class CallerSocket:
    """Connection to a caller: what was written, and what it has taken."""

    def __init__(self):
        self.unsent = 0
        self.taken = 0
        self.ended = False
        self.closed = False
        self.changed = asyncio.Event()

    def write(self, data):
        if self.closed:
            raise protocol_errors.CallerDisconnectedError('closed')
        self.unsent += len(data)

    def take(self, size):
        size = min(size, self.unsent)
        self.unsent -= size
        self.taken += size
        self.changed.set()

    async def drain(self):
        while self.unsent > SOCKET_BYTES and not self.closed:
            self.changed.clear()
            await self.changed.wait()
        if self.closed:
            raise protocol_errors.CallerDisconnectedError('closed')

    def close(self):
        self.closed = True
        self.changed.set()


@pytest.fixture(autouse=True)
def sockets(monkeypatch):
    """Let replies write to ``CallerSocket`` objects, their requests."""

    async def write(reply, data):
        reply._request.write(data)

    async def end(reply):
        reply._request.write(b'')
        reply._request.ended = True

    async def send_response(reply, _status, _fields, body):
        reply._request.write(body)
        await reply._request.drain()
        reply._request.ended = True

    monkeypatch.setattr(passthrough_api.Reply, 'write', write)
    monkeypatch.setattr(passthrough_api.Reply, 'end', end)
    monkeypatch.setattr(passthrough_api.Reply, 'send_response', send_response)
    monkeypatch.setattr(transport, 'bound_write_buffer', lambda *_found: None)
    monkeypatch.setattr(transport, 'unsent_bytes', lambda sock: sock.unsent)
    monkeypatch.setattr(transport, 'drain', CallerSocket.drain)
    monkeypatch.setattr(transport, 'abort', CallerSocket.close)


class Host:
    """Account of one host, and the replies that share it."""

    def __init__(self, ceiling_bytes):
        clock = group.LoopClock()
        self.account = byte_account.ByteAccount(ceiling_bytes, clock)
        self.stalls = stall_watch.StallWatch(STALL_MS, clock)
        self.stalls.start()
        self.buffers = buffered_reply.CallerBuffers(
            self.account, self.stalls, CALL_LIMIT_BYTES
        )

    def reply(self):
        return self.buffers.make_reply(CallerSocket(), False)

    def check(self):
        sides = [self.account.held(side) for side in Side]
        assert min(sides) >= 0
        assert sum(sides) == self.account.held_bytes

    def check_empty(self):
        assert [self.account.held(side) for side in Side] == [0] * len(Side)
        assert self.account.held_bytes == 0
        assert self.account.calls == 0
        assert self.stalls.watched_count == 0


async def read(sock, drawn, kind):
    """Read as a caller of one kind does, until it closes or is let go."""
    while not sock.closed:
        await asyncio.sleep(drawn.uniform(0.01, 0.4))
        if kind == 'quick':
            sock.take(1_000_000)
        elif kind == 'slow':
            sock.take(drawn.randrange(100, 3_000))
        elif kind == 'cuts' and drawn.random() < 0.1:
            sock.close()
        elif kind == 'stops' and drawn.random() < 0.3:
            return


async def serve(host, reply, drawn):
    """Serve one call as the pass-through does; return the bytes of it."""
    sent = 0
    try:
        if reply.hold_request(0) is not None:
            return None
        for _number in range(drawn.randrange(4)):
            await asyncio.sleep(drawn.random() / 10)
            if reply.hold_request(drawn.randrange(MAX_PIECE_BYTES)):
                return None
        if drawn.random() < 0.3:
            body = b''
            while len(body) < 100_000 and drawn.random() < 0.9:
                body += bytes(drawn.randrange(1, MAX_PIECE_BYTES))
                if not reply.hold_response(MAX_PIECE_BYTES):
                    break
            await reply.send_response(200, [], body)
            sent = len(body)
        else:
            for _number in range(drawn.randrange(30)):
                await asyncio.sleep(drawn.random() / 10)
                reply.hold_events(drawn.randrange(100))
                piece = bytes(drawn.randrange(1, MAX_PIECE_BYTES))
                await reply.write(piece)
                sent += len(piece)
                host.check()
            reply.release_request()
            await reply.end()
        await reply.finish()
    except protocol_errors.CallerDisconnectedError:
        return None
    finally:
        await reply.close()
    return sent


async def play_call(host, drawn, kind):
    reply = host.reply()
    sock = reply._request
    reading = asyncio.ensure_future(read(sock, drawn, kind))
    serving = asyncio.ensure_future(serve(host, reply, drawn))
    if drawn.random() < 0.15:
        # The handler of a connection that ended is cancelled.
        await asyncio.wait([serving], timeout=drawn.random())
        serving.cancel()
    try:
        sent = await serving
    except asyncio.CancelledError:
        sent = None
    if sent is not None and kind in ('quick', 'slow'):
        assert sock.ended and not sock.closed
        assert sock.taken + sock.unsent == sent
        assert sock.unsent <= SOCKET_BYTES
    reading.cancel()
    return sent


@pytest.mark.parametrize('part', range(10))
def test_drawn_series_of_callers_leave_the_account_empty(part):
    for seed in range(part, SERIES, 10):
        group.run(play_series(seed))


async def play_series(seed):
    drawn = random.Random(seed)
    calls = drawn.randrange(2, 12)
    host = Host(drawn.randrange(30_000, 300_000))
    kinds = ['quick', 'slow', 'stops', 'cuts']
    await asyncio.gather(
        *(play_call(host, drawn, drawn.choice(kinds)) for _n in range(calls))
    )
    host.check_empty()
    # Each call adds a piece to a full account, and its connection's bound.
    excess = host.account.highest_bytes - host.account.ceiling_bytes
    assert excess <= calls * (MAX_PIECE_BYTES + SOCKET_BYTES)
    await host.stalls.close()


def run(play, ceiling_bytes=1_000_000):
    """Play with a host in virtual time."""

    async def whole():
        host = Host(ceiling_bytes)
        await play(host)
        host.check_empty()
        await host.stalls.close()

    group.run(whole())


def test_endpoint_is_read_to_its_end_while_the_caller_reads_nothing():
    async def play(host):
        reply = host.reply()
        began_ms = group.LoopClock().mono_ms()
        for _number in range(20):
            await reply.write(bytes(2_000))
        await reply.end()
        assert group.LoopClock().mono_ms() == began_ms
        assert host.account.held(Side.RESPONSE) >= 20 * 2_000 - SOCKET_BYTES
        assert reply._request.unsent <= SOCKET_BYTES + 2_000
        reader = asyncio.ensure_future(
            read(reply._request, random.Random(1), 'quick')
        )
        await reply.finish()
        assert reply._request.ended
        reader.cancel()
        await reply.close()

    run(play)


def test_steady_slow_caller_is_served_to_the_end():
    """At 1 kB/s, for ten times as long as a caller may stand still."""

    async def play(host):
        reply = host.reply()
        sock = reply._request

        async def read_steadily():
            while True:
                await asyncio.sleep(1)
                sock.take(1_000)

        reader = asyncio.ensure_future(read_steadily())
        await reply.write(bytes(40_000))
        await reply.end()
        await reply.finish()
        assert sock.ended
        assert sock.taken >= 40_000 - SOCKET_BYTES
        reader.cancel()
        await reply.close()

    run(play)


def test_stalled_caller_is_let_go_and_its_bytes_are_released():
    async def play(host):
        reply = host.reply()
        await reply.write(bytes(50_000))
        await reply.end()
        assert host.account.held(Side.RESPONSE) == 50_000
        with pytest.raises(protocol_errors.CallerDisconnectedError):
            await reply.finish()
        assert reply._request.closed
        assert host.account.held(Side.RESPONSE) == 0
        assert host.buffers.stalled_count == 1
        await reply.close()

    run(play)


def test_slow_caller_gets_what_is_held_of_a_response_that_broke_off():
    """It takes the stream up after the last event, not after the first."""

    async def play(host):
        reply = host.reply()
        sock = reply._request
        for _number in range(20):
            await reply.write(bytes(2_000))
        reply.abort()
        assert not sock.closed
        reader = asyncio.ensure_future(read(sock, random.Random(1), 'slow'))
        await reply.finish()
        assert sock.closed and not sock.ended
        assert sock.taken + sock.unsent == 40_000
        reader.cancel()
        await reply.close()

    run(play)


def test_call_holds_no_more_than_its_limit():
    async def play(host):
        reply = host.reply()

        async def write():
            for _number in range(40):
                await reply.write(bytes(5_000))

        writing = asyncio.ensure_future(write())
        await asyncio.sleep(1)
        assert not writing.done()
        assert host.account.held(Side.RESPONSE) <= CALL_LIMIT_BYTES + 5_000
        reply._request.take(SOCKET_BYTES)
        await asyncio.sleep(0.1)
        reply._request.close()
        with pytest.raises(protocol_errors.CallerDisconnectedError):
            await writing
        await reply.close()

    run(play)


def test_room_of_another_call_lets_a_waiting_call_go_on():
    async def play(host):
        other = host.reply()
        other.hold_request(90_000)
        reply = host.reply()
        await reply.write(bytes(20_000))
        writing = asyncio.ensure_future(reply.write(bytes(1_000)))
        await asyncio.sleep(0.5)
        assert not writing.done()
        await other.close()
        await asyncio.sleep(0.01)
        assert writing.done()
        await reply.close()

    run(play, ceiling_bytes=100_000)


@pytest.mark.parametrize(
    'held_bytes, pressure, refuses_new, keeps_copies, keeps_reading',
    [
        (69, Pressure.NONE, False, True, True),
        (70, Pressure.REFUSE_NEW, True, True, True),
        (85, Pressure.DROP_COPIES, True, False, True),
        (100, Pressure.FULL, True, False, False),
    ],
    ids=['room', 'new are refused', 'copies are dropped', 'full'],
)
def test_measures_apply_in_their_order(
    held_bytes, pressure, refuses_new, keeps_copies, keeps_reading
):
    async def play(host):
        first = host.reply()
        first.held.add(Side.RESPONSE, held_bytes)
        assert host.account.pressure is pressure
        second = host.reply()
        assert (second.hold_request(0) is not None) is refuses_new
        assert second.keeps_copies is keeps_copies
        assert second.hold_response(0) is keeps_reading
        await first.close()
        assert second.hold_request(0) is None
        await second.close()

    run(play, ceiling_bytes=100)


class FakeClock:
    now_ms = 0

    def mono_ms(self):
        return self.now_ms


@pytest.mark.parametrize(
    'released_bytes, held_bytes, retry_ms',
    [
        (10_000, 80_000, 1_000),
        (100_000, 80_000, byte_account.MIN_RETRY_MS),
        (0, 80_000, byte_account.MAX_RETRY_MS),
        (10, 80_000, byte_account.MAX_RETRY_MS),
        (0, 10_000, byte_account.MIN_RETRY_MS),
    ],
    ids=['at its rate', 'quick', 'nothing ends', 'slow', 'room again'],
)
def test_retry_after_is_when_the_account_has_room(
    released_bytes, held_bytes, retry_ms
):
    clock = FakeClock()
    account = byte_account.ByteAccount(100_000, clock)
    call = account.open()
    call.add(Side.REQUEST, held_bytes + released_bytes)
    call.add(Side.REQUEST, -released_bytes)
    clock.now_ms += 1_000
    assert account.retry_after_ms() == retry_ms
