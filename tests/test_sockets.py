"""Sockets on the event loop: nothing stays unread, nothing waits forever."""

import asyncio
import functools
import socket
import time

import pytest
import zmq

from tests import group
from tests import nodes
from wrenspoke import clock as clocks
from wrenspoke.transport import errors
from wrenspoke.transport import links
from wrenspoke.transport import sockets
from wrenspoke.transport import web

TIMEOUT_MS = 20_000


class Fleet:
    """Hosts without keys that answer with their name and the body."""

    def __init__(self, count):
        self.names = [f'127.0.0.1:{port}' for port in web.free_ports(count)]
        self.hosts = {}
        self.oneway = []

    async def start(self, name):
        async def answer(_sender, body):
            if body.startswith(b'oneway'):
                self.oneway.append(body)
                return None
            return name.encode() + body

        identity = links.Identity('test', name)
        host = links.Links(identity, [], clocks.Clock(), answer)
        await host.start('127.0.0.1', int(name.rpartition(':')[2]))
        self.hosts[name] = host
        return host

    async def close(self):
        for host in self.hosts.values():
            await host.close()


@pytest.fixture
async def fleet():
    made = Fleet(3)
    yield made
    await made.close()


async def ask(one, there, body):
    assert await one.call(there, body, TIMEOUT_MS) == there.encode() + body


@pytest.mark.parametrize('at_once', [1, 2, 20])
async def test_no_message_stays_unread(fleet, at_once):
    """Sends and received messages of one socket cross each other.

    The descriptor of a socket tells of a change once; a send may take that
    notice away.
    """
    for name in fleet.names:
        await fleet.start(name)

    async def talk(one, there):
        for number in range(200):
            await ask(one, there, b'%d' % number)

    await asyncio.gather(
        *(
            talk(one, there)
            for name, one in fleet.hosts.items()
            for there in fleet.names
            if there != name
            for _number in range(at_once)
        )
    )


async def test_more_than_a_batch_is_received(fleet):
    first, second = fleet.names[:2]
    one = await fleet.start(first)
    await fleet.start(second)
    await ask(one, second, b'?')
    bodies = [b'oneway%d' % number for number in range(400)]
    for body in bodies:
        while not await one.send_oneway(second, body):
            # The queue is full.
            await asyncio.sleep(0.001)
    await ask(one, second, b'?')
    await nodes.until(lambda: len(fleet.oneway) == len(bodies))
    assert fleet.oneway == bodies


async def test_call_waits_for_a_host_that_starts(fleet):
    first, second = fleet.names[:2]
    one = await fleet.start(first)
    calls = [
        asyncio.create_task(ask(one, second, b'%d' % number))
        for number in range(5)
    ]
    await asyncio.sleep(0.05)
    assert not any(call.done() for call in calls)
    await fleet.start(second)
    await asyncio.gather(*calls)


async def test_call_that_waits_ends_with_its_link(fleet):
    first, second = fleet.names[:2]
    one = await fleet.start(first)
    call = asyncio.create_task(one.call(second, b'x', TIMEOUT_MS))
    await asyncio.sleep(0.05)
    one.disconnect(second)
    with pytest.raises(errors.NotSentError):
        await call


async def test_cancelled_call_leaves_nothing_waiting(fleet):
    first, second = fleet.names[:2]
    one = await fleet.start(first)
    call = asyncio.create_task(one.call(second, b'x', TIMEOUT_MS))
    await asyncio.sleep(0.05)
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    await fleet.start(second)
    await ask(one, second, b'y')


async def test_failure_of_a_reader_ends_the_daemon(fleet, monkeypatch):
    """A host that can't read messages any more must not go on without."""
    first, second = fleet.names[:2]
    one = await fleet.start(first)
    there = await fleet.start(second)
    contexts = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _loop, context: contexts.append(context)
    )
    monkeypatch.setattr(there, '_decode_envelope', None)
    with pytest.raises(errors.MaybeSentError):
        await one.call(second, b'x', 300)
    assert [context['fatal'] for context in contexts] == [True]


async def test_send_leaves_no_answer_unread():
    """A send takes away the notice of an answer that came just before it."""
    context = zmq.Context()
    peer = context.socket(zmq.ROUTER)
    port = peer.bind_to_random_port('tcp://127.0.0.1')
    sock = context.socket(zmq.DEALER)
    sock.connect(f'tcp://127.0.0.1:{port}')
    received = []
    arrived = asyncio.Event()

    def on_message(message):
        received.append(message)
        arrived.set()

    dealer = sockets.LoopSocket(
        sock,
        functools.partial(sock.recv, zmq.NOBLOCK),
        on_message,
    )
    try:
        dealer.send(b'asked')
        await asyncio.sleep(0.05)
        # Nothing of the loop runs until the answer has come to the socket.
        route, _asked = peer.recv_multipart()
        peer.send_multipart([route, b'answer'])
        time.sleep(0.05)
        dealer.send(b'another')
        async with asyncio.timeout(10):
            await arrived.wait()
        assert received == [b'answer']
    finally:
        dealer.close()
        peer.close(linger=0)
        context.term()


def test_send_to_a_socket_that_stays_full_waits():
    """Guards against a send that is tried again without a wait."""

    class FullSocket:
        """Says that it is writable, and takes no message."""

        closed = False

        def __init__(self):
            self.ends = socket.socketpair()
            self.sends = 0

        def get(self, option):
            if option == zmq.FD:
                return self.ends[0].fileno()
            return sockets.POLLOUT

        def send(self, _message, _flags):
            self.sends += 1
            raise zmq.Again

    async def run():
        full = FullSocket()
        dealer = sockets.LoopSocket(full, None, None)
        loop = asyncio.get_running_loop()
        answer = loop.create_future()
        loop.call_later(TIMEOUT_MS / 1000, links._expire, answer)
        with pytest.raises(TimeoutError):
            await links._send_when_connected(dealer, b'x', answer)
        assert 1 < full.sends <= 2 * TIMEOUT_MS

    group.run(run())
