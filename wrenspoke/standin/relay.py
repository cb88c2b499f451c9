"""A loopback TCP relay that simulates a wide-area link.

Adds a delay, and can simulate a partition: connections then stay open, but
nothing is forwarded until the partition heals or the connection ends.
"""

import asyncio
import contextlib

from wrenspoke import runtime

CHUNK_BYTES = 65_536
LOCALHOST = '127.0.0.1'


class Relay:
    """Forwards TCP connections from a local port to a target."""

    def __init__(self, target_ip: str, target_port: int):
        self._target = (target_ip, target_port)
        self._link_up = asyncio.Event()
        self._link_up.set()
        self._server: asyncio.Server | None = None
        self._tasks = runtime.Tasks()
        self._accepting: set[asyncio.Task] = set()
        self._closing = False
        self.delay_ms = 0
        self.passed_bytes = 0

    async def start(self, port: int) -> None:
        """Start listening on a loopback port."""
        self._server = await asyncio.start_server(
            self._accept, LOCALHOST, port
        )

    def cut(self) -> None:
        """Start a partition: stop forwarding."""
        self._link_up.clear()

    def heal(self) -> None:
        """End a partition: resume forwarding."""
        self._link_up.set()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self._closing = True
        self._link_up.set()
        await self._tasks.close()
        if self._accepting:
            await asyncio.wait(self._accepting)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepting = asyncio.current_task()
        self._accepting.add(accepting)
        accepting.add_done_callback(self._accepting.discard)
        await self._link_up.wait()
        if self._closing:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        upstream = self._tasks.start(
            self._forward(reader, target_writer), False
        )
        downstream = self._tasks.start(
            self._forward(target_reader, writer), False
        )
        await asyncio.wait([upstream, downstream])

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / 1000)
                await self._link_up.wait()
                if not chunk:
                    break
                writer.write(chunk)
                self.passed_bytes += len(chunk)
                await writer.drain()
        writer.close()
