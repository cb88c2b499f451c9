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
BETWEEN_EVENTS = re.compile(rb'(?:\xef\xbb\xbf)?(?:[\r\n]|:[^\r\n]*[\r\n])*')
ID_LINE = re.compile(rb'(?:\A(?:\xef\xbb\xbf)?|[\r\n])id: ?([^\r\n]*)')
# Bytes at the end of a partial event that may begin its last line end.
TAIL_BYTES = 3
# Streams with larger events are forwarded unbuffered.
EVENT_BUFFER_LIMIT_BYTES = 1024 * 1024


class EventTracker:
    """Tracks the last whole event of a stream."""

    def __init__(self, whole_only: bool):
        self._whole_only = whole_only
        # Larger events are forwarded in parts; lowered where room is short.
        self.buffer_limit_bytes = EVENT_BUFFER_LIMIT_BYTES
        self._buffer = b''
        self._forwarded_bytes = 0
        self._forwarded_id: str | None = None
        self.last_id: str | None = None
        self.event_count = 0

    @property
    def partial_bytes(self) -> int:
        """Return the number of bytes received after the last whole event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those that may be forwarded."""
        # What is buffered has no end of an event, but may begin one.
        start = max(len(self._buffer) - TAIL_BYTES, 0)
        self._buffer += data
        end = 0
        for found in EVENT_END.finditer(self._buffer, start):
            self._record_event(self._buffer[end : found.end()])
            end = found.end()
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        if not self._whole_only:
            # Forwarded as received, but parsed in whole events.
            self._buffer = self._buffer[-self.buffer_limit_bytes :]
            return data
        if end:
            complete = complete[self._forwarded_bytes :]
            self._forwarded_bytes = 0
        if (
            len(self._buffer) <= self.buffer_limit_bytes
            and not self._forwarded_bytes
        ):
            return complete
        return complete + self._forward_partial()

    @property
    def is_inside_event(self) -> bool:
        """Return whether the bytes received so far end inside an event."""
        return (
            self.has_forwarded_partial
            or BETWEEN_EVENTS.fullmatch(self._buffer) is None
        )

    @property
    def has_forwarded_partial(self) -> bool:
        """Return whether a part of an event was forwarded.

        Events over ``EVENT_BUFFER_LIMIT_BYTES`` are; until such an event is
        whole, another endpoint would repeat it from its start.
        """
        return self._forwarded_bytes > 0

    def _forward_partial(self) -> bytes:
        """Return the unsent part of an event that is too large to buffer."""
        data = self._buffer[self._forwarded_bytes :]
        if not self._forwarded_bytes:
            self._forwarded_id = _find_id(self._buffer)
        self._buffer = self._buffer[-TAIL_BYTES:]
        self._forwarded_bytes = len(self._buffer)
        return data

    def _record_event(self, event: bytes) -> None:
        self.event_count += 1
        event_id, self._forwarded_id = self._forwarded_id, None
        if event_id is None:
            event_id = _find_id(event)
        if event_id is not None:
            self.last_id = event_id

    def take_remainder(self) -> bytes:
        """Return the buffered bytes after the last whole event."""
        if not self._whole_only:
            return b''
        remainder, self._buffer = self._buffer, b''
        return remainder

    def discard_partial(self) -> None:
        """Discard a partial event, which the resumed stream repeats."""
        self._buffer = b''


def _find_id(event: bytes) -> str | None:
    """Return the id of an event, None without one."""
    found = ID_LINE.search(event)
    return None if found is None else found.group(1).decode('utf-8', 'replace')
