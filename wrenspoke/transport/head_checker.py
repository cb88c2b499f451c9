"""A check of response heads that does not depend on aiohttp's parsers."""

import re

from aiohttp import http_exceptions

BLANK_LINES = re.compile(rb'[\r\n]*')
# Statuses are 100 to 599 (RFC 9110, 15).
STATUS_LINE = re.compile(rb'HTTP/[0-9]\.[0-9] ([1-5][0-9]{2})(?: [^\r]*)?')
# Answers an Upgrade header (RFC 9110, 7.8), which no request has here.
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r]*")
CONTINUATION_LINE = re.compile(rb'[ \t][^\r]*')
# Bytes of a malformed line that its error quotes.
QUOTE_LIMIT_BYTES = 80


class HeadChecker:
    """Checks the lines of a response's head, and of interim ones before it.

    aiohttp's parsers (3.14.5) accept any three digits as a status. The one in
    C also accepts a blank in front of the first field, and takes a line of one
    blank there for the end of the head.
    """

    def __init__(self):
        # Status of the head whose fields are next, None before its first line.
        self._status: int | None = None
        self._has_fields = False
        self._line_start = 0
        self._searched_bytes = 0
        # Whether the head of a final response is complete.
        self.is_complete = False

    def check(self, head: bytearray) -> None:
        """Check the lines that are complete since the last call.

        ``head`` holds all bytes received so far. Those behind the head of the
        final response are ignored.

        :raises BadHttpMessage: a line is malformed
        """
        while not self.is_complete:
            if self._status is None:
                self._skip_blank_lines(head)
            line_end = head.find(b'\n', self._searched_bytes)
            if line_end < 0:
                self._searched_bytes = len(head)
                return
            line = bytes(head[self._line_start : line_end])
            self._line_start = self._searched_bytes = line_end + 1
            self._check_line(line.removesuffix(b'\r'))

    def _skip_blank_lines(self, head: bytearray) -> None:
        """Skip blank lines in front of a response, of which many may come."""
        self._line_start = BLANK_LINES.match(head, self._line_start).end()
        self._searched_bytes = max(self._searched_bytes, self._line_start)

    def _check_line(self, line: bytes) -> None:
        if self._status is None:
            self._check_status_line(line)
        elif line:
            self._check_field_line(line)
        else:
            self.is_complete = self._status >= FIRST_FINAL_STATUS
            self._status = None
            self._has_fields = False

    def _check_status_line(self, line: bytes) -> None:
        found = STATUS_LINE.fullmatch(line)
        if found is None or int(found[1]) == SWITCHING_PROTOCOLS:
            raise http_exceptions.BadStatusLine(
                error=f'invalid status line {line[:QUOTE_LIMIT_BYTES]!r}'
            )
        self._status = int(found[1])

    def _check_field_line(self, line: bytes) -> None:
        if self._has_fields and CONTINUATION_LINE.fullmatch(line):
            return
        if not FIELD_LINE.fullmatch(line):
            raise http_exceptions.BadHttpMessage(
                f'invalid field line {line[:QUOTE_LIMIT_BYTES]!r}'
            )
        self._has_fields = True
