"""A fake of the platform's host list, which lags behind."""

import asyncio

from aiohttp import web
import msgspec


class HostListService:
    """Lists leaving addresses with a delay of ``lag_ms``."""

    def __init__(self, lag_ms: int = 500):
        self._lag_ms = lag_ms
        self._leaving: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    def application(self) -> web.Application:
        """Return an aiohttp application that serves the list."""
        application = web.Application()
        application.router.add_get('/hosts', self._hosts)
        return application

    def add_leaving(self, address: str) -> None:
        """List an address as leaving, after the lag."""
        self._apply_after_lag(self._leaving.add, address)

    def remove_leaving(self, address: str) -> None:
        """Remove an address from the list, after the lag."""
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
