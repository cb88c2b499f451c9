"""A suspended host must survive a link reset when it resumes.

libzmq (4.3.5) aborts with ``Assertion failed: !_io_error`` when a link is
reset while reading is paused at the high-water mark and a heartbeat is due.
"""

import asyncio
import contextlib
import signal
import socket
import subprocess
import sys

from tests import endpoints
from tests import nodes
from wrenspoke import clock as clocks
from wrenspoke.transport import links
from wrenspoke.transport import web

ROUNDS = 3
HEARTBEAT_MS = 100
# Short, so that heartbeats are among the buffered messages.
SENT_HEARTBEAT_MS = 5
# Long, so that only the relay closes the sender's links.
SENDER_TIMEOUT_MS = 60_000
# Far more than libzmq reads at once.
MESSAGES = 400
BUSY_S = 0.01
RECEIVER = f"""
import asyncio
import sys
import time

from wrenspoke import clock
from wrenspoke.transport import links


async def answer(_sender, body):
    if body != b'?':
        # It is behind with all that it has to do.
        time.sleep({BUSY_S})
    return b'here'


async def main():
    identity = links.Identity('test', sys.argv[1])
    options = links.HeartbeatOptions({HEARTBEAT_MS}, {10 * HEARTBEAT_MS})
    made = links.Links(identity, [], clock.Clock(), answer, options)
    ip, _, port = sys.argv[1].rpartition(':')
    await made.start(ip, int(port))
    print('ready', flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
"""


class ResettingRelay:
    """Forwards bytes to a receiver; ``reset`` resets its connections."""

    def __init__(self, port):
        self._port = port
        self._writers = set()
        self.passed_bytes = 0

    async def start(self, port):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )

    async def _serve(self, reader, writer):
        there = await asyncio.open_connection('127.0.0.1', self._port)
        self._writers.add(there[1])
        await asyncio.gather(
            self._pass_on(reader, there[1]), self._pass_on(there[0], writer)
        )

    async def _pass_on(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
                self.passed_bytes += len(data)
        writer.close()

    def reset(self):
        for writer in self._writers:
            if writer.transport.is_closing():
                continue
            opened = writer.get_extra_info('socket')
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, endpoints.LINGER_0
            )
            writer.transport.abort()
        self._writers.clear()

    async def close(self):
        self.reset()
        self._server.close()


async def flood(sender, receiver, relay):
    """Send a suspended receiver more than libzmq reads at once."""
    sent = 0
    begun_bytes = relay.passed_bytes
    for _number in range(MESSAGES):
        sent += await sender.send_oneway(receiver, b'x' * 50)
        await asyncio.sleep(0.001)
    await nodes.until(lambda: relay.passed_bytes - begun_bytes >= sent)


async def test_resumed_host_survives_link_reset():
    port, relay_port, sender_port = web.free_ports(3)
    relay = ResettingRelay(port)
    await relay.start(relay_port)
    receiver = subprocess.Popen(
        [sys.executable, '-c', RECEIVER, f'127.0.0.1:{port}'],
        stdout=subprocess.PIPE,
    )
    identity = links.Identity('test', f'127.0.0.1:{sender_port}')

    async def ignore(_sender, _body):
        return None

    sender = links.Links(
        identity,
        [],
        clocks.Clock(),
        ignore,
        links.HeartbeatOptions(SENT_HEARTBEAT_MS, SENDER_TIMEOUT_MS),
    )
    name = f'127.0.0.1:{relay_port}'
    try:
        assert receiver.stdout.readline() == b'ready\n'
        for _round in range(ROUNDS):
            assert await sender.call(name, b'?', 20_000) == b'here'
            receiver.send_signal(signal.SIGSTOP)
            await flood(sender, name, relay)
            relay.reset()
            # Wait until the receiver's heartbeats are due.
            await asyncio.sleep(5 * HEARTBEAT_MS / 1000)
            receiver.send_signal(signal.SIGCONT)
            # Wait for heartbeats while the receiver still has a backlog.
            await asyncio.sleep(5 * HEARTBEAT_MS / 1000)
            assert receiver.poll() is None
    finally:
        receiver.kill()
        receiver.wait()
        await sender.close()
        await relay.close()
