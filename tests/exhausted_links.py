"""A process with links that runs out of descriptors; commands on its input.

``python -m tests.exhausted_links HOST PEER``. Each command answers with one
line: ``take`` opens files until no descriptor is free, ``free`` closes them,
``watch`` waits until the listener has paused several times or the threads of
libraries have used a second of processor time, ``call`` calls the peer.
"""

import asyncio
import os
import resource
import sys

from wrenspoke import clock as clocks
from wrenspoke import logs
from wrenspoke import process_load
from wrenspoke import runtime
from wrenspoke.transport import links

DESCRIPTORS = 100
PAUSES = 10
PAUSE_MS = 20
SPIN_MS = 1_000
CALL_TIMEOUT_MS = 500
CHECK_S = 0.01


class Process:
    """Holds the links and the files that take their descriptors."""

    def __init__(self, host, peer):
        self.peer = peer
        self.links = links.Links(
            links.Identity('test', host), [], clocks.Clock(), self.answer
        )
        self.taken = []

    async def answer(self, _sender, body):
        return body

    async def take(self):
        while True:
            try:
                self.taken.append(os.open(os.devnull, os.O_RDONLY))
            except OSError as error:
                return error.strerror

    async def free(self):
        while self.taken:
            os.close(self.taken.pop())
        return 'freed'

    async def watch(self):
        before_ms = self.libraries_ms()
        while self.libraries_ms() - before_ms < SPIN_MS:
            if getattr(self.links, 'listener_pauses', 0) >= PAUSES:
                return 'waits'
            await asyncio.sleep(CHECK_S)
        return 'does not wait'

    def libraries_ms(self):
        used = process_load.read_processor_use()
        return used.time_ms[process_load.ThreadGroup.LIBRARIES]

    async def call(self):
        try:
            answer = await self.links.call(self.peer, b'x', CALL_TIMEOUT_MS)
        except Exception as error:
            return type(error).__name__
        return answer.decode()


async def main(host, peer):
    """Serve commands until the input ends."""
    process = Process(host, peer)
    ip, _, port = host.rpartition(':')
    await process.links.start(ip, int(port))
    print('started', flush=True)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        print(await getattr(process, line.decode().strip())(), flush=True)
    await process.links.close()


if __name__ == '__main__':
    logs.configure('info', stream=sys.stderr)
    links.LISTENER_PAUSE_MS = PAUSE_MS
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    runtime.run(main(*sys.argv[1:]))
