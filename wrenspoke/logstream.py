"""Write log lines without blocking on the reader.

Lines that cannot be written immediately are buffered up to a limit. When
the buffer fills, lines of successful requests are dropped first, and the
number of dropped lines is reported in a line of its own.
"""

import collections
import os
import typing

# Enough for a short pause of the reader without dropped lines.
MAX_BUFFERED_BYTES = 256 * 1024
WRITE_BYTES = 16 * 1024


class BoundedStream:
    """A text stream on a file descriptor that never blocks.

    Lines for which ``urgent`` returns true may fill the whole buffer;
    others may fill half of it, so that failures are dropped last.
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
        """Buffer ``text``, or drop it if the buffer is full.

        Returns the length of ``text`` in characters in both cases.
        """
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
        if not data:
            return
        self._buffer.append(data)
        self._size_bytes += len(data)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            data = b''.join(self._buffer)[:WRITE_BYTES]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end; serving must continue.
                self._buffer.clear()
                self._size_bytes = 0
                return
            if not written:
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
