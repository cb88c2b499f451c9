"""A stand-in for the platform's lagging list of hosts."""

import asyncio

from aiohttp import web
import msgspec


class HostListService:
    """Tell which addresses are leaving, some time after it is so."""

    def __init__(self, lag_ms: int = 500):
        self._lag_ms = lag_ms
        self._leaving: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    def application(self) -> web.Application:
        """Return the application to be served."""
        application = web.Application()
        application.router.add_get('/hosts', self._hosts)
        return application

    def add_leaving(self, address: str) -> None:
        """Say that a host is leaving; the list shows it later."""
        self._apply_after_lag(self._leaving.add, address)

    def remove_leaving(self, address: str) -> None:
        """Say that a host lives, as a wrong list would."""
        self._apply_after_lag(self._leaving.discard, address)

    def _apply_after_lag(self, function, address: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag_ms / 1000, function, address)

    async def _hosts(self, _request: web.Request) -> web.Response:
        listed = [
            {'address': address, 'state': 'leaving'}
            for address in sorted(self._leaving)
        ]
        return web.Response(
            body=msgspec.json.encode({'hosts': listed}),
            content_type='application/json',
        )
