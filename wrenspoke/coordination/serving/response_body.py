"""Read the bodies of endpoints' responses."""

import collections.abc

import aiohttp

from wrenspoke.coordination import errors
from wrenspoke.coordination.serving import take_up
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web


class ResponseBody:
    """Reads a body up to its end, buffered or streamed.

    A body with neither a length nor chunks ends with its connection. Of such
    a body only a reset is detected here: a process that crashes may end its
    connections in order.
    """

    def __init__(self, response: aiohttp.ClientResponse):
        self._response = response
        self.framing = web.body_framing(response)
        self.bytes_read = 0
        # Called with the first chunk of a streamed body.
        self.on_first_chunk: collections.abc.Callable[[], None] | None = None
        # Reads on over another connection if the first one is lost.
        self.exchange: take_up.HopExchange | None = None

    async def read_all(self, limit_bytes: int) -> bytes:
        """Read and return the complete body.

        :raises MaybeSentError: it is truncated or exceeds ``limit_bytes``
        """
        try:
            if self.exchange is not None:
                return await self._collect(limit_bytes)
            body = await web.read_body(self._response, limit_bytes)
            self.bytes_read += len(body)
            return body
        except transport_errors.TransportError as error:
            raise errors.MaybeSentError(str(error)) from error

    async def _collect(self, limit_bytes: int) -> bytes:
        chunks = []
        async for chunk in self.chunks():
            if self.bytes_read > limit_bytes:
                raise errors.MaybeSentError(
                    f'response body exceeds {limit_bytes} bytes'
                )
            chunks.append(chunk)
        return b''.join(chunks)

    def _pieces(self) -> collections.abc.AsyncIterator[bytes]:
        if self.exchange is None:
            return web.read_chunks(self._response)
        self.exchange.bytes_read = lambda: self.bytes_read
        return take_up.read_on(
            self.exchange.resume, web.read_chunks, self._response
        )

    async def read_within(
        self,
        limit_bytes: int,
        hold: collections.abc.Callable[[int], bool],
    ) -> tuple[bytes, bool]:
        """Read the body while there is room; return whether it is complete.

        ``hold`` counts bytes and returns whether more may be kept. The rest
        is left for ``chunks``.

        :raises MaybeSentError: it is truncated or exceeds ``limit_bytes``
        """
        chunks = []
        size_bytes = 0
        try:
            async for chunk in self._pieces():
                chunks.append(chunk)
                size_bytes += len(chunk)
                self.bytes_read += len(chunk)
                has_room = hold(len(chunk))
                if size_bytes > limit_bytes:
                    raise errors.MaybeSentError(
                        f'response body exceeds {limit_bytes} bytes'
                    )
                if not has_room:
                    return b''.join(chunks), False
        except transport_errors.TransportError as error:
            raise errors.MaybeSentError(str(error)) from error
        return b''.join(chunks), True

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        :raises MaybeSentError: it is truncated
        """
        try:
            async for chunk in self._pieces():
                if not self.bytes_read and self.on_first_chunk is not None:
                    self.on_first_chunk()
                self.bytes_read += len(chunk)
                yield chunk
        except transport_errors.TransportError as error:
            raise errors.MaybeSentError(str(error)) from error
