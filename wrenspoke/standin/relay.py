"""A loopback TCP relay that simulates a wide-area link.

Adds a delay, and can simulate a partition: connections then stay open, but
nothing is forwarded until the partition heals or the connection ends. Counts
the round trips that a caller waits for: one for each connection, and one for
each request that follows a connection's begin or an answer.
"""

import asyncio
import contextlib
import dataclasses

from wrenspoke import runtime

CHUNK_BYTES = 65_536
LOCALHOST = '127.0.0.1'


@dataclasses.dataclass
class _Turn:
    """Which side of a connection sent last."""

    is_request: bool = False


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
        self.connections = 0
        self.round_trips = 0

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
        self.connections += 1
        self.round_trips += 1
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
        turn = _Turn()
        upstream = self._tasks.start(
            self._forward(reader, target_writer, turn, True), False
        )
        downstream = self._tasks.start(
            self._forward(target_reader, writer, turn, False), False
        )
        await asyncio.wait([upstream, downstream])

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        turn: _Turn,
        is_request: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                if chunk and turn.is_request is not is_request:
                    turn.is_request = is_request
                    self.round_trips += is_request
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / 1000)
                await self._link_up.wait()
                if not chunk:
                    break
                writer.write(chunk)
                self.passed_bytes += len(chunk)
                await writer.drain()
        writer.close()
