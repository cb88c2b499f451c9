"""Read the body of an endpoint's answer."""

import collections.abc

import aiohttp

from wrenspoke.coordination import errors
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web


class ResponseBody:
    """Read a body to its stated end, whole or as it comes."""

    def __init__(self, response: aiohttp.ClientResponse):
        self._response = response
        self.bytes_read = 0

    async def read_all(self, limit_bytes: int) -> bytes:
        """Return the whole body.

        :raises MaybeSentError: it was cut short, too long or unending
        """
        try:
            body = await web.read_whole(self._response, limit_bytes)
            self.bytes_read += len(body)
            return body
        except transport_errors.TransportError as error:
            raise errors.MaybeSentError(str(error)) from error

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it comes.

        :raises MaybeSentError: it was cut short
        """
        try:
            async for chunk in web.read_chunks(self._response):
                self.bytes_read += len(chunk)
                yield chunk
        except transport_errors.TransportError as error:
            raise errors.MaybeSentError(str(error)) from error
