"""Hosts that run out of descriptors wait for them, and go on afterwards."""

import asyncio
import contextlib
import pathlib
import sys

from wrenspoke import clock as clocks
from wrenspoke.transport import errors
from wrenspoke.transport import links
from wrenspoke.transport import web

FOLDER = pathlib.Path(__file__).parent.parent
PEERS = 12
CALL_TIMEOUT_MS = 30_000
WAIT_S = 60


class ExhaustedLinks:
    """The process of ``tests.exhausted_links``."""

    def __init__(self, process):
        self.process = process

    async def reply(self):
        async with asyncio.timeout(WAIT_S):
            line = await self.process.stdout.readline()
        return line.decode().strip()

    async def ask(self, command):
        self.process.stdin.write(f'{command}\n'.encode())
        return await self.reply()


@contextlib.asynccontextmanager
async def exhausted_links(host, peer):
    """Run the process; it ends with its input."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.exhausted_links',
        host,
        peer,
        cwd=FOLDER,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    exhausted = ExhaustedLinks(process)
    try:
        assert await exhausted.reply() == 'started'
        yield exhausted
    finally:
        process.stdin.close()
        async with asyncio.timeout(WAIT_S):
            await process.wait()


@contextlib.asynccontextmanager
async def peers(names):
    """Run hosts that echo calls."""

    async def answer(_sender, body):
        return body

    hosts = []
    for name in names:
        identity = links.Identity('test', name)
        host = links.Links(identity, [], clocks.Clock(), answer)
        await host.start('127.0.0.1', int(name.rpartition(':')[2]))
        hosts.append(host)
    try:
        yield hosts
    finally:
        for host in hosts:
            await host.close()


def names(count):
    return [f'127.0.0.1:{port}' for port in web.free_ports(count)]


async def test_listener_without_descriptors_waits():
    """Guards against an I/O thread that never waits.

    libzmq is told again and again of a connection that it can't accept.
    """
    host, *others = names(1 + PEERS)
    async with (
        peers(others) as hosts,
        exhausted_links(host, others[0]) as exhausted,
    ):
        assert await exhausted.ask('take') == 'Too many open files'
        calls = [
            asyncio.create_task(one.call(host, b'x', CALL_TIMEOUT_MS))
            for one in hosts
        ]
        watched = await exhausted.ask('watch')
        await exhausted.ask('free')
        answers = await asyncio.gather(*calls, return_exceptions=True)
        assert watched == 'waits'
        assert answers == [b'x'] * PEERS
        assert await exhausted.ask('call') == 'x'


async def test_call_without_descriptors_is_not_sent():
    """Guards against a shortage that ends the tasks that call hosts."""
    host, other = names(2)
    async with peers([other]), exhausted_links(host, other) as exhausted:
        await exhausted.ask('take')
        for _number in range(3):
            found = await exhausted.ask('call')
            assert found == errors.NotSentError.__name__
        await exhausted.ask('free')
        assert await exhausted.ask('call') == 'x'
