"""Measure what the account of held bytes costs a host that forwards streams.

    python -m benches.buffering [--streams N] [--rounds N]

One entry host of this process forwards streams of 42 events, alternately with
the account and without it. Callers and the endpoint run in another process, so
that the processor time of this one is that of the host. Prints the time of a
stream and the ratio of the rounds' sums.
"""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile
import time

import uvloop

from tests import endpoints
from tests import nodes
from tests import test_passing
from wrenspoke import logs
from wrenspoke import node as settings
from wrenspoke.state import routes
from wrenspoke.transport import web

EVENTS = 42
EVENT = b'data: {"text": "nine words of an answer for a caller"}\n\n'
PAUSE_S = 0.002
AT_ONCE = 64


class Endpoint:
    """Writes a stream, one event at a time."""

    def __init__(self, address):
        self.address = address

    async def start(self):
        ip, _, port = self.address.rpartition(':')
        await asyncio.start_server(self._serve, ip, int(port))

    async def _serve(self, reader, writer):
        try:
            while True:
                sent = await endpoints.read_request(reader)
                pieces = test_passing.chunked(sent, *([EVENT] * EVENTS))
                for piece in pieces:
                    writer.write(piece)
                    await asyncio.sleep(PAUSE_S)
                writer.write(test_passing.END)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def load(caller_address, endpoint_address, streams):
    """Run callers and the endpoint; part of the other process."""
    await Endpoint(endpoint_address).start()
    print('ready', flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    numbers = iter(range(streams))

    async def call():
        for number in numbers:
            sent = test_passing.request(request_id=f'q{number}')
            got = await endpoints.send_raw(caller_address, sent)
            assert got.endswith(test_passing.END), got

    await asyncio.gather(*(call() for _number in range(AT_ONCE)))


async def play(enabled, streams):
    """Return the processor time of a stream in ms, with the account or not."""
    with tempfile.TemporaryDirectory() as folder:
        system = nodes.Nodes(pathlib.Path(folder))
        system.changes = {
            'buffering': settings.BufferingSettings(enabled=enabled)
        }
        await system.start()
        await system.put(
            test_passing.route(routes.RouteKind.STREAM, timeout_ms=30_000)
        )
        [port] = web.free_ports(1)
        endpoint = Endpoint(f'127.0.0.1:{port}')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'benches.buffering',
            '--load',
            system.entries[0].node.callers_address,
            endpoint.address,
            str(streams),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        await process.stdout.readline()
        await system.register('a', endpoint, slots=10_000)
        began_s = time.process_time()
        process.stdin.write(b'\n')
        assert await process.wait() == 0
        used_s = time.process_time() - began_s
        await system.close()
    return used_s * 1000 / streams


async def main() -> None:
    """Run the benchmark and print its result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, default=1_000)
    parser.add_argument('--rounds', type=int, default=4)
    parser.add_argument('--load', nargs=3)
    found = parser.parse_args()
    if found.load:
        caller_address, endpoint_address, streams = found.load
        await load(caller_address, endpoint_address, int(streams))
        return
    logs.configure('error')
    used_ms = {False: [], True: []}
    for number in range(found.rounds):
        # The first of a pair is the other one each time.
        for enabled in (bool(number % 2), not number % 2):
            used_ms[enabled].append(await play(enabled, found.streams))
    print(
        json.dumps(
            {
                'without_ms': [round(one, 3) for one in used_ms[False]],
                'with_ms': [round(one, 3) for one in used_ms[True]],
                'ratio': round(sum(used_ms[True]) / sum(used_ms[False]), 4),
            },
            indent=2,
        )
    )


if __name__ == '__main__':
    uvloop.run(main())
