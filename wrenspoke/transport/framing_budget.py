"""A bound on the framing of a response body."""

import aiohttp

# Bytes of framing that may arrive without a byte of the body: a chunk's size
# and extensions, or trailers.
FRAMING_LIMIT_BYTES = 64 * 1024
# Bytes of framing that each byte of a body allows in addition, as bodies of
# many small chunks have more framing than content.
FRAMING_BYTES_PER_BODY_BYTE = 64


class FramingBudget:
    """Bounds the bytes that arrive for a body without being part of it.

    ``framing_bytes`` is how many of them the body does not outweigh.

    aiohttp's parser (3.14.5) neither bounds the line of a chunk's size nor
    tells how much of it was read.
    """

    def __init__(self, payload: aiohttp.StreamReader):
        self._payload = payload
        self._body_bytes = payload.total_bytes
        self.framing_bytes = 0

    def spend(self, received_bytes: int) -> bool:
        """Count received bytes, those of the body included.

        Return whether too many are not of the body; a parser may still hold
        some of it.
        """
        body_bytes = self._payload.total_bytes - self._body_bytes
        self._body_bytes += body_bytes
        self.framing_bytes += received_bytes
        self.framing_bytes -= body_bytes * (1 + FRAMING_BYTES_PER_BODY_BYTE)
        self.framing_bytes = max(0, self.framing_bytes)
        if self._payload.is_eof():
            return False
        return self.framing_bytes > FRAMING_LIMIT_BYTES
