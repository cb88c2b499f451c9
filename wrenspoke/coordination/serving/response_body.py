"""Read the bodies of endpoints' responses."""

import collections.abc

import aiohttp

from wrenspoke.coordination import errors
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

    async def read_all(self, limit_bytes: int) -> bytes:
        """Read and return the complete body.

        :raises MaybeSentError: it is truncated or exceeds ``limit_bytes``
        """
        try:
            body = await web.read_body(self._response, limit_bytes)
            self.bytes_read += len(body)
            return body
        except transport_errors.TransportError as error:
            raise errors.MaybeSentError(str(error)) from error

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        :raises MaybeSentError: it is truncated
        """
        try:
            async for chunk in web.read_chunks(self._response):
                if not self.bytes_read and self.on_first_chunk is not None:
                    self.on_first_chunk()
                self.bytes_read += len(chunk)
                yield chunk
        except transport_errors.TransportError as error:
            raise errors.MaybeSentError(str(error)) from error
