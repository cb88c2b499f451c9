"""A response parser that tolerates malformed bytes behind a response."""

import collections.abc
import typing

import aiohttp
from aiohttp import http_exceptions
from aiohttp import http_parser

from wrenspoke.transport import framing_budget
from wrenspoke.transport import head_checker

# Interim responses that may precede a final one.
INTERIM_LIMIT = 1_000
# Bytes before the end of the final head beyond those that the limits of
# aiohttp's parser admit: line ends, blank lines and interim responses.
HEAD_OVERHEAD_BYTES = 64 * 1024
# aiohttp's parser creates all messages of a piece before it returns.
HEAD_PIECE_BYTES = 8 * 1024

Messages = typing.Sequence[
    tuple[http_parser.RawResponseMessage, aiohttp.StreamReader]
]
Parsed = tuple[Messages, bool, bytes]


class PrefixParser:
    """Parses a response up to its end, and ignores malformed bytes behind it.

    If malformed bytes arrive together with the end of a response, aiohttp's
    parser (3.14.5) fails as a whole, and a response whose head came with them
    is lost.

    The bytes before the end of the final head are bounded by
    ``head_limit_bytes``: aiohttp's parser bounds each line and the number of
    headers, but neither blank lines, interim responses nor spaces.

    ``HeadChecker`` checks the head of the response, and of interim ones.
    """

    def __init__(
        self,
        parser: http_parser.HttpResponseParser,
        new_parser: collections.abc.Callable[
            [], http_parser.HttpResponseParser
        ],
        head_limit_bytes: int,
    ):
        self._parser = parser
        self._new_parser = new_parser
        self._head_limit_bytes = head_limit_bytes
        # What arrived before the head of the final response was complete.
        self._head = bytearray()
        self._head_checker = head_checker.HeadChecker()
        self._interim_count = 0
        self._payload: aiohttp.StreamReader | None = None
        self._framing: framing_budget.FramingBudget | None = None
        self._is_followed_by_garbage = False

    def feed_data(self, data: bytes) -> Parsed:
        """Parse bytes; return messages, whether upgraded, and the rest.

        :raises HttpProcessingError: they are malformed or exceed a limit, and
            no response is complete before them
        """
        messages: list = []
        start = 0
        while self._payload is None and start < len(data):
            end = start + HEAD_PIECE_BYTES
            found, is_upgraded, rest = self._feed_head(data[start:end])
            messages += found
            if is_upgraded:
                return messages, True, rest + data[end:]
            start = end
        if self._payload is None or 0 < len(data) <= start:
            return messages, False, b''
        found, is_upgraded, rest = self._feed_body(data[start:])
        return [*messages, *found], is_upgraded, rest

    def _feed_head(self, data: bytes) -> Parsed:
        self._head += data
        self._head_checker.check(self._head)
        try:
            parsed = self._parser.feed_data(data)
        except Exception:
            self._is_followed_by_garbage = True
            parsed = self._parse_prefix(data)
            payload = _final_payload(parsed[0])
            if payload is None or not _is_complete(payload):
                raise
        self._payload = _final_payload(parsed[0])
        if self._head_checker.is_complete is (self._payload is None):
            raise http_exceptions.BadHttpMessage(
                'the end of the response head is ambiguous'
            )
        if self._payload is None:
            self._interim_count += len(parsed[0])
            self._check_head()
        else:
            self._head.clear()
            self._framing = framing_budget.FramingBudget(self._payload)
        return parsed

    def _check_head(self) -> None:
        """Check what arrived before the end of the final head.

        :raises BadHttpMessage: it exceeds a limit
        """
        if self._interim_count > INTERIM_LIMIT:
            raise http_exceptions.BadHttpMessage(
                f'more than {INTERIM_LIMIT} interim responses'
            )
        if len(self._head) > self._head_limit_bytes:
            raise http_exceptions.BadHttpMessage(
                f'response head exceeds {self._head_limit_bytes} bytes'
            )

    def _parse_prefix(self, last: bytes) -> Parsed:
        """Parse the bytes of the last piece before the first malformed one."""
        self._parser = self._new_parser()
        self._parser.feed_data(bytes(self._head[: -len(last)]))
        messages: list = []
        for start in range(len(last)):
            try:
                found, _, _ = self._parser.feed_data(last[start : start + 1])
            except Exception:
                break
            messages += found
        return messages, False, b''

    def _feed_body(self, data: bytes) -> Parsed:
        try:
            return self._feed_bounded(data)
        except Exception as error:
            self._is_followed_by_garbage = True
            if not _is_complete(self._payload):
                self._fail_body(error)
                raise
            return (), False, b''

    def _feed_bounded(self, data: bytes) -> Parsed:
        """Parse bytes of a body.

        :raises TransferEncodingError: too many of them are framing
        """
        messages, is_upgraded, rest = self._parser.feed_data(data)
        if not self._framing.spend(len(data)) or self._is_paused():
            return messages, is_upgraded, rest
        # After a pause aiohttp's parser (3.14.5) may stop once more at the
        # next chunk, and hold what is behind it.
        held, is_upgraded, rest = self._parser.feed_data(b'')
        if self._framing.spend(0) and not self._is_paused():
            raise http_exceptions.TransferEncodingError(
                f'{self._framing.framing_bytes} bytes of framing without a '
                'body byte'
            )
        return [*messages, *held], is_upgraded, rest

    def _is_paused(self) -> bool:
        """Return whether the parser holds bytes that its reader waits for."""
        return self._parser.protocol._reading_paused

    def _fail_body(self, error: Exception) -> None:
        """Fail the body; aiohttp's parser leaves its reader waiting."""
        if self._payload.exception() is None:
            self._payload.set_exception(
                aiohttp.ClientPayloadError('malformed body'), error
            )

    def feed_eof(self) -> object:
        """End the input; return a true value if another message has begun."""
        # An error that was raised here may keep this parser.
        self._head.clear()
        if self._is_followed_by_garbage:
            return True
        return self._parser.feed_eof()

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._parser, name)


def _final_payload(messages: Messages) -> aiohttp.StreamReader | None:
    """Return the body of the response after interim ones, None before it."""
    for message, payload in messages:
        if message.code >= head_checker.FIRST_FINAL_STATUS:
            return payload
    return None


def _is_complete(payload: aiohttp.StreamReader) -> bool:
    return payload.is_eof() and payload.exception() is None


def head_limit_bytes(
    line_limit_bytes: int, field_limit_bytes: int, field_limit: int
) -> int:
    """Return how long a head within the limits of aiohttp's parser may be.

    It includes what precedes the head.
    """
    return (
        line_limit_bytes
        + field_limit * field_limit_bytes
        + HEAD_OVERHEAD_BYTES
    )
