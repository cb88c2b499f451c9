"""Print the processor time of messages between two hosts of one process.

    python -m benches.links
"""

import asyncio
import time

import uvloop

from wrenspoke import clock as clocks
from wrenspoke.transport import links
from wrenspoke.transport import web

CALLS = 10_000
AT_ONCE = (1, 8, 32)
BODY = b'x' * 200


async def measure(one, there, at_once):
    """Return microseconds of processor time for a call, both ends."""
    left = iter(range(CALLS))

    async def worker():
        for _number in left:
            await one.call(there, BODY, 10_000)

    await one.call(there, BODY, 10_000)
    begun = time.process_time()
    await asyncio.gather(*(worker() for _number in range(at_once)))
    return (time.process_time() - begun) * 1e6 / CALLS


async def measure_oneway(one, there, received):
    """Return microseconds of processor time for a message, both ends."""
    begun = time.process_time()
    for number in range(CALLS):
        await one.send_oneway(there, BODY)
        if number % 8 == 7:
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.2)
    return (time.process_time() - begun) * 1e6 / received()


async def measure_absent(one, absent):
    """Return milliseconds of processor time to wait a second for a host."""
    begun = time.process_time()
    try:
        await one.call(absent, BODY, 1_000)
    except Exception:
        return (time.process_time() - begun) * 1e3


async def main():
    ports = web.free_ports(3)
    hosts = [f'127.0.0.1:{port}' for port in ports]
    count = 0

    async def answer(_sender, body):
        nonlocal count
        count += 1
        return body

    ends = []
    for host, port in zip(hosts[:2], ports):
        identity = links.Identity('bench', host)
        end = links.Links(identity, [], clocks.Clock(), answer)
        await end.start('127.0.0.1', port)
        ends.append(end)
    for at_once in AT_ONCE:
        cost = await measure(ends[0], hosts[1], at_once)
        print(f'call and answer, {at_once} at once: {cost:.0f} us')
    count = 0
    cost = await measure_oneway(ends[0], hosts[1], lambda: count)
    print(f'one-way message: {cost:.0f} us, {count} of {CALLS} received')
    cost = await measure_absent(ends[0], hosts[2])
    print(f'a call to an absent host: {cost:.1f} ms a second')
    for end in ends:
        await end.close()


uvloop.run(main())
