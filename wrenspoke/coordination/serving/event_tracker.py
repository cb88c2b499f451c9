"""Track the server-sent events of a stream as its bytes are forwarded.

An event ends with an empty line; a stream that ends inside an event was
broken off, however its body was framed. A resumable stream is forwarded in
whole events only: its endpoint may break off inside one, and the endpoint
that resumes it starts after the last whole event.
"""

import re

# Line ends may be mixed. The carriage return of a last CRLF does not end an
# event by itself, as its line feed may still come.
EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r|\n\r\n')
# What may stand between two events: empty lines and whole comment lines.
BETWEEN_EVENTS = re.compile(rb'(?:[\r\n]|:[^\r\n]*[\r\n])*')
ID_LINE = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)
# Streams with larger events are forwarded unbuffered.
EVENT_BUFFER_LIMIT_BYTES = 1024 * 1024


class EventTracker:
    """Tracks the last whole event of a stream."""

    def __init__(self, whole_only: bool):
        self._whole_only = whole_only
        self._buffer = b''
        self.last_id: str | None = None
        self.event_count = 0

    @property
    def partial_bytes(self) -> int:
        """Return the number of bytes received after the last whole event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those that may be forwarded."""
        self._buffer += data
        end = 0
        for found in EVENT_END.finditer(self._buffer):
            self._record_event(self._buffer[end : found.end()])
            end = found.end()
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        if self._whole_only and len(self._buffer) <= EVENT_BUFFER_LIMIT_BYTES:
            return complete
        if self._whole_only:
            return complete + self._flush_buffer()
        # Forwarded as received, but parsed in whole events.
        self._buffer = self._buffer[-EVENT_BUFFER_LIMIT_BYTES:]
        return data

    @property
    def is_inside_event(self) -> bool:
        """Return whether the bytes received so far end inside an event."""
        return BETWEEN_EVENTS.fullmatch(self._buffer) is None

    def _record_event(self, event: bytes) -> None:
        self.event_count += 1
        found = ID_LINE.search(event)
        if found is not None:
            self.last_id = found.group(1).decode('utf-8', 'replace')

    def _flush_buffer(self) -> bytes:
        remainder, self._buffer = self._buffer, b''
        return remainder

    def take_remainder(self) -> bytes:
        """Return the buffered bytes after the last whole event."""
        return self._flush_buffer() if self._whole_only else b''

    def discard_partial(self) -> None:
        """Discard a partial event, which the resumed stream repeats."""
        self._buffer = b''
