"""A response parser that tolerates malformed bytes behind a response."""

import bisect
import collections.abc
import typing

import aiohttp
from aiohttp import http_parser

FIRST_FINAL_STATUS = 200

Messages = typing.Sequence[
    tuple[http_parser.RawResponseMessage, aiohttp.StreamReader]
]
Parsed = tuple[Messages, bool, bytes]


class PrefixParser:
    """Parses a response up to its end, and ignores malformed bytes behind it.

    If malformed bytes arrive together with the end of a response, aiohttp's
    parser (3.14.5) fails as a whole, and a response whose head came with them
    is lost.
    """

    def __init__(
        self,
        parser: http_parser.HttpResponseParser,
        new_parser: collections.abc.Callable[
            [], http_parser.HttpResponseParser
        ],
    ):
        self._parser = parser
        self._new_parser = new_parser
        # What arrived before the head of the final response was complete.
        self._unparsed = b''
        self._payload: aiohttp.StreamReader | None = None
        self._is_followed_by_garbage = False

    def feed_data(self, data: bytes) -> Parsed:
        """Parse bytes; return messages, whether upgraded, and the rest.

        :raises HttpProcessingError: they are malformed, and no response is
            complete before them
        """
        received = self._unparsed + data
        try:
            parsed = self._parser.feed_data(data)
        except Exception:
            self._is_followed_by_garbage = True
            if self._payload is not None:
                if not _is_complete(self._payload):
                    raise
                return (), False, b''
            parsed = self._parse_prefix(received)
            payload = _final_payload(parsed[0])
            if payload is None or not _is_complete(payload):
                raise
        if self._payload is None:
            self._payload = _final_payload(parsed[0])
            self._unparsed = b'' if self._payload is not None else received
        return parsed

    def _parse_prefix(self, data: bytes) -> Parsed:
        """Parse the bytes before the first malformed one."""
        malformed = bisect.bisect_left(
            range(len(data) + 1),
            True,
            key=lambda length: self._fails(data[:length]),
        )
        self._parser = self._new_parser()
        return self._parser.feed_data(data[: malformed - 1])

    def _fails(self, data: bytes) -> bool:
        try:
            self._new_parser().feed_data(data)
        except Exception:
            return True
        return False

    def feed_eof(self) -> object:
        """End the input; return a true value if another message has begun."""
        if self._is_followed_by_garbage:
            return True
        return self._parser.feed_eof()

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._parser, name)


def _final_payload(messages: Messages) -> aiohttp.StreamReader | None:
    """Return the body of the response after interim ones, None before it."""
    for message, payload in messages:
        if message.code >= FIRST_FINAL_STATUS:
            return payload
    return None


def _is_complete(payload: aiohttp.StreamReader) -> bool:
    return payload.is_eof() and payload.exception() is None
