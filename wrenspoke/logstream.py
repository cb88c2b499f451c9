"""Write log lines without ever waiting for who reads them.

What can't be written at once is kept, up to a bound; beyond it the
lines of single requests that went well go first, and what was left out
is counted in a line of its own.
"""

import collections
import os
import typing

# A few hundred lines: a reader that pauses for a moment loses none.
MAX_BUFFERED_BYTES = 256 * 1024
WRITE_BYTES = 16 * 1024


class BoundedStream:
    """Be a text stream on a file descriptor that never blocks.

    ``urgent`` says which lines may use the whole bound; others may use
    half of it, so that failures are the last to be left out.
    """

    def __init__(
        self,
        descriptor: int,
        urgent: typing.Callable[[str], bool],
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ):
        self._descriptor = descriptor
        self._urgent = urgent
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer: collections.deque[bytes] = collections.deque()
        self._size_bytes = 0
        self._unreported_drops = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Keep a text for writing, or leave it out."""
        limit = self._max_buffered_bytes
        if not self._urgent(text):
            limit //= 2
        data = text.encode('utf-8', 'replace')
        if self._size_bytes + len(data) > limit:
            self._unreported_drops += 1
            self.dropped_lines += 1
        else:
            self._enqueue(data)
        return len(text)

    def _enqueue(self, data: bytes) -> None:
        self._buffer.append(data)
        self._size_bytes += len(data)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._buffer:
            data = b''.join(self._buffer)[:WRITE_BYTES]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; requests go on.
                self._buffer.clear()
                self._size_bytes = 0
                return
            self._drop_written(written)
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            line = f'level=warning event=log_lines_left_out count={count}\n'
            self._enqueue(line.encode())
            self.flush()

    def _drop_written(self, written: int) -> None:
        self._size_bytes -= written
        while written:
            first = self._buffer.popleft()
            if len(first) > written:
                self._buffer.appendleft(first[written:])
                return
            written -= len(first)
