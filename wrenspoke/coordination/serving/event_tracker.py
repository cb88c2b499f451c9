"""Follow the events of a stream as its bytes pass.

An event ends with an empty line. A stream that may be taken up elsewhere
is passed on in whole events only, since its endpoint may break off inside
one, and the next begins behind the last whole one.
"""

import re

EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
ID_LINE = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)
# No event of text is larger; a stream without ends is passed on as it is.
EVENT_BUFFER_LIMIT_BYTES = 1024 * 1024


class EventTracker:
    """Know the last whole event of a stream."""

    def __init__(self, whole_only: bool):
        self._whole_only = whole_only
        self._buffer = b''
        self.last_id: str | None = None
        self.event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return those that may be passed on."""
        self._buffer += data
        end = 0
        for found in EVENT_END.finditer(self._buffer):
            self._record_event(self._buffer[end : found.end()])
            end = found.end()
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        if self._whole_only and len(self._buffer) <= EVENT_BUFFER_LIMIT_BYTES:
            return whole
        if self._whole_only:
            return whole + self._flush_buffer()
        # What is passed on piece by piece is still looked at whole.
        self._buffer = self._buffer[-EVENT_BUFFER_LIMIT_BYTES:]
        return data

    def _record_event(self, event: bytes) -> None:
        self.event_count += 1
        found = ID_LINE.search(event)
        if found is not None:
            self.last_id = found.group(1).decode('utf-8', 'replace')

    def _flush_buffer(self) -> bytes:
        rest, self._buffer = self._buffer, b''
        return rest

    def take_remainder(self) -> bytes:
        """Return what is held back behind the last whole event."""
        return self._flush_buffer() if self._whole_only else b''

    def discard_partial(self) -> None:
        """Drop a part of an event; the next stream sends it whole."""
        self._buffer = b''
