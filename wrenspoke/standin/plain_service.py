"""A fake plain HTTP service that counts its requests by id."""

import asyncio
import collections

from aiohttp import web
import msgspec

from wrenspoke.protocol import headers
from wrenspoke.standin import engine
from wrenspoke.standin import faults
from wrenspoke.transport import web as transport_web


class PlainService:
    """Responds to any method and path; ``/runs`` returns the counts."""

    def __init__(self, name: str):
        self.name = name
        self.faults = faults.Faults()
        self.runs: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Return an aiohttp application that serves this service."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        application.router.add_get('/runs', self._runs)
        application.router.add_post('/faults', self._set_faults)
        application.router.add_route('*', '/{path:.*}', self._serve)
        return application

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get(headers.REQUEST, '')
        self.runs[request_id] += 1
        if self.faults.close_after_read:
            transport_web.abort(request)
            return web.Response()
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        echo = request.headers.get(headers.ECHOED_REQUEST_ID, '')
        if self.faults.crossed:
            echo = 'another/request'
        response_headers = {headers.ECHOED_REQUEST_ID: echo}
        if self.faults.redirect_to:
            response_headers['Location'] = self.faults.redirect_to
        answer = msgspec.json.encode(
            {
                'endpoint': self.name,
                'method': request.method,
                'path': request.raw_path,
                'request': request_id,
                'received_bytes': len(body),
            }
        )
        if self.faults.truncate:
            return await engine.send_truncated(request, answer, echo)
        return web.Response(
            body=answer,
            status=self.faults.status or 200,
            headers=response_headers,
            content_type='application/json',
        )

    async def _runs(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode({'runs': self.runs}),
            content_type='application/json',
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(
            await request.read(), type=faults.Faults
        )
        return web.Response()
