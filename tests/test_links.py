"""Links between hosts: calls, one-way messages and absent peers."""

import asyncio
import subprocess
import sys

import pytest

from wrenspoke import clock as clocks
from wrenspoke.transport import errors
from wrenspoke.transport import links
from wrenspoke.transport import web

NAMES = ('a', 'b', 'absent')


@pytest.fixture
async def ends():
    """Run two hosts that reply; a third is configured but not running."""
    keys = {name: links.new_keys() for name in NAMES}
    ports = dict(zip(NAMES, web.free_ports(len(NAMES))))
    peers = [
        links.Peer(name, '127.0.0.1', ports[name], keys[name][0])
        for name in NAMES
    ]

    async def answer(sender, body):
        return f'{sender} said '.encode() + body

    made = {}
    for name in NAMES[:2]:
        identity = links.Identity('test', name, *keys[name])
        made[name] = links.Links(identity, peers, clocks.Clock(), answer)
        await made[name].start('127.0.0.1', ports[name])
    absent = links.Identity('test', 'absent', *keys['absent'])
    made['a'].identity_of_absent = absent
    made['a'].port_of_absent = ports['absent']
    made['a'].peers = peers
    yield made
    for one in made.values():
        await one.close()


async def test_concurrent_calls_get_their_own_replies(ends):
    bodies = [b'%d' % number for number in range(50)]
    answers = await asyncio.gather(
        *(ends['a'].call('b', body, 10_000) for body in bodies)
    )
    assert answers == [b'a said ' + body for body in bodies]


async def test_waiting_call_holds_nothing_else_back(ends):
    """pyzmq queues sends behind a pending one, even with NOBLOCK."""
    waiting = asyncio.create_task(ends['a'].call('absent', b'x', 20_000))
    await asyncio.sleep(0.1)
    await ends['a'].send_oneway('absent', b'y')
    assert not waiting.done()
    assert await ends['a'].call('b', b'z', 10_000) == b'a said z'
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)


@pytest.mark.parametrize(
    'host, error',
    [
        ('absent', errors.TransportError),
        ('nobody', errors.NotSentError),
    ],
)
async def test_call_to_absent_host_raises(ends, host, error):
    with pytest.raises(error):
        await ends['a'].call(host, b'x', 300)


async def test_nothing_is_queued_for_an_absent_host(ends):
    """Messages sent to an absent host must not arrive once it is back."""
    one = ends['a']
    for _number in range(5):
        await one.send_oneway('absent', b'old')
    with pytest.raises(errors.TransportError):
        await one.call('absent', b'old', 300)
    heard = []

    async def hear(_sender, body):
        heard.append(body)
        return b'here'

    back = links.Links(one.identity_of_absent, one.peers, clocks.Clock(), hear)
    await back.start('127.0.0.1', one.port_of_absent)
    assert await one.call('absent', b'new', 10_000) == b'here'
    assert heard == [b'new']
    await back.close()


def test_ports_are_not_given_to_two_processes(monkeypatch):
    """Parallel test runs get different ports."""
    first = web.free_ports(1)[0]
    monkeypatch.setattr(web, 'PORT_RANGE', range(first, first + 20))
    mine = set(web.free_ports(5)) | {first}
    code = (
        'from wrenspoke.transport import web;'
        f'web.PORT_RANGE = range({first}, {first + 20});'
        'print(*web.free_ports(20))'
    )
    ended = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True
    )
    theirs = {int(port) for port in ended.stdout.split()}
    assert theirs and not theirs & mine
