"""A server that simulates the crash and restart of a process."""

import asyncio

from wrenspoke import runtime
from wrenspoke.standin import engine
from wrenspoke.standin import plain_service
from wrenspoke.transport import web


class RestartableServer:
    """Serves a fake engine or service at one address across restarts."""

    def __init__(
        self,
        standin: engine.Engine | plain_service.PlainService,
        ip: str,
        port: int,
    ):
        self._standin = standin
        self._ip = ip
        self._port = port
        self._server: web.HttpServer | None = None
        self._tasks = runtime.Tasks()
        if isinstance(standin, engine.Engine):
            standin.on_crash = self.crash

    async def start(self) -> None:
        """Start listening; the port must be free."""
        self._server = web.HttpServer(self._standin.application())
        await self._server.start(self._ip, self._port)

    def crash(self, back_after_ms: int) -> None:
        """Abort all connections, and restart after ``back_after_ms``."""
        if self._server is None:
            return
        ended, self._server = self._server, None
        self._tasks.start(self._restart(ended, back_after_ms))

    async def _restart(
        self, ended: web.HttpServer, back_after_ms: int
    ) -> None:
        await ended.abort()
        await asyncio.sleep(back_after_ms / 1000)
        await self.start()

    async def close(self) -> None:
        """Stop the server and cancel a pending restart."""
        await self._tasks.close()
        if self._server is not None:
            await self._server.close()
