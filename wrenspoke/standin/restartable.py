"""Let a stand-in end and be back, as a process that is started again."""

import asyncio

from wrenspoke import runtime
from wrenspoke.standin import engine
from wrenspoke.standin import plain_service
from wrenspoke.transport import web


class RestartableServer:
    """Serve a stand-in at one IP number and port, life after life."""

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
        """Listen; the port must be free."""
        self._server = web.HttpServer(self._standin.application())
        await self._server.start(self._ip, self._port)

    def crash(self, back_after_ms: int) -> None:
        """Break all connections off, and listen again after a while."""
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
        """Stop listening for good."""
        await self._tasks.close()
        if self._server is not None:
            await self._server.close()
