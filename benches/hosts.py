"""Print what hosts cost without calls, and what a call costs beyond that.

    python -m benches.hosts [--entries N] [--calls N] [--profile]

Runs three control hosts and some entry hosts of three regions in this process,
with engines that answer at once; the processor time of engines and callers
counts, so that figures are for comparisons.
"""

import argparse
import asyncio
import cProfile
import pathlib
import pstats
import tempfile
import time

import uvloop

from tests import endpoints
from tests import nodes
from wrenspoke import logs
from wrenspoke import logstream
from wrenspoke.state import routes

ENGINES_PER_REGION = 12
EVENTS = 6
WATCHED_S = 8.0
AT_ONCE = 12
ID = 'Wrenspoke-Request-Id'
HEADERS = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
END = b'0\r\n\r\n'
PROMPT = b'{"messages": [{"role": "user", "content": "%s"}], "stream": true}'


class Engine(endpoints.ScriptedEndpoint):
    """Answers with a stream, without pauses."""

    async def _write(self, piece, reader, writer):
        writer.write(piece)
        return True


def answer(sent, _number):
    """Return the pieces of an engine's answer."""
    if sent.startswith(b'GET /load'):
        return [b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n0 0 0 0']
    head = HEADERS.encode() + b'Transfer-Encoding: chunked\r\n'
    head += endpoints.echo_header(sent, ID) + b'\r\n'
    event = b'id: %d\ndata: {"choices": [{"delta": {"content": "x"}}]}\n\n'
    pieces = [event % number for number in range(EVENTS)]
    chunks = [b'%x\r\n%s\r\n' % (len(piece), piece) for piece in pieces]
    return [head, *chunks, END]


async def call(address, number):
    """Send one call and read its stream."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    body = PROMPT % (b'word ' * 200)
    writer.write(
        b'POST /v1/chat HTTP/1.1\r\nHost: h.example\r\n'
        b'Content-Type: application/json\r\n'
        b'%s: q%d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s'
        % (ID.encode(), number, len(body), body)
    )
    answered = await reader.read()
    writer.close()
    assert answered.endswith(END), answered


async def run_calls(system, count):
    """Send calls to all entry hosts in turn."""
    numbers = iter(range(count))

    async def worker():
        for number in numbers:
            entry = system.entries[number % len(system.entries)]
            await call(entry.node.callers_address, number)

    await asyncio.gather(*(worker() for _number in range(AT_ONCE)))


async def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entries', type=int, default=6)
    parser.add_argument('--calls', type=int, default=600)
    parser.add_argument('--profile', action='store_true')
    arguments = parser.parse_args()
    with open('/dev/null', 'w') as sink, tempfile.TemporaryDirectory() as name:
        stream = logstream.BoundedStream(sink.fileno(), logs.is_urgent)
        logs.configure('info', 'bench', stream)
        halls = sorted(nodes.REGIONS)
        system = nodes.Nodes(pathlib.Path(name), 3, nodes.Reports())
        await system.start(0)
        for number in range(arguments.entries):
            await system.start_entry(halls[number % len(halls)])
        await system.put(
            routes.Route(
                'r', 'h.example', '/v1/', routes.RouteKind.STREAM,
                (routes.Target('s'),), timeout_ms=20_000, target_ms=5_000,
                resumable=True,
            )
        )
        for hall in halls:
            for number in range(ENGINES_PER_REGION):
                engine = await Engine(answer).start()
                await system.register(
                    f'{hall}-{number}', engine, data_centre=hall, slots=64
                )
        await run_calls(system, 60)
        await asyncio.sleep(4)
        hosts = len(system.entries) + len(system.controls)
        profile = cProfile.Profile()
        begun = time.process_time()
        await asyncio.sleep(WATCHED_S)
        idle = (time.process_time() - begun) / WATCHED_S
        print(f'without calls: {100 * idle / hosts:.2f}% of a core a host')
        if arguments.profile:
            profile.enable()
        begun, wall = time.process_time(), time.monotonic()
        await run_calls(system, arguments.calls)
        used = time.process_time() - begun
        used -= idle * (time.monotonic() - wall)
        print(f'a call: {1e3 * used / arguments.calls:.2f} ms')
        if arguments.profile:
            profile.disable()
            pstats.Stats(profile).sort_stats('tottime').print_stats(60)
        await system.close()


uvloop.run(main())
