"""Encoder and decoder of server-sent events."""

import collections.abc
import re

import msgspec

from wrenspoke.protocol import errors
from wrenspoke.protocol import numerals

CONTENT_TYPE = 'text/event-stream'
DONE = '[DONE]'
EVENT_LIMIT_BYTES = 1024 * 1024
EVENT_END = re.compile(rb'\r?\n\r?\n')
# Bytes at the end of a partial event that may begin its end.
TAIL_BYTES = 3
# What may follow the last event: empty lines and whole comment lines.
AFTER_EVENTS = re.compile(rb'(?:\n|:[^\n]*\n)*')


class SseEvent(msgspec.Struct, frozen=True):
    """Event of a stream; ``number`` is its id."""

    data: str
    event: str = ''
    number: int | None = None


def encode(event: SseEvent) -> bytes:
    """Return an event in its wire format."""
    lines = []
    if event.event:
        lines.append(f'event: {event.event}')
    if event.number is not None:
        lines.append(f'id: {event.number}')
    lines.extend(f'data: {line}' for line in event.data.split('\n'))
    return ('\n'.join(lines) + '\n\n').encode()


async def decode(
    chunks: collections.abc.AsyncIterable[bytes],
) -> collections.abc.AsyncIterator[SseEvent]:
    """Yield the events of a stream.

    A stream that ends inside an event was broken off, whatever ended it.

    :raises MalformedMessageError: an event is too long, not UTF-8 or
        truncated by the end of the stream
    """
    buffer = b''
    async for chunk in chunks:
        # What is buffered has no end of an event, but may begin one.
        start = max(len(buffer) - TAIL_BYTES, 0)
        buffer += chunk
        end = 0
        for found in EVENT_END.finditer(buffer, start):
            event = _parse(buffer[end : found.start()])
            end = found.end()
            if event is not None:
                yield event
        buffer = buffer[end:]
        if len(buffer) > EVENT_LIMIT_BYTES:
            raise errors.MalformedMessageError(
                f'event exceeds {EVENT_LIMIT_BYTES} bytes'
            )
    if AFTER_EVENTS.fullmatch(_with_line_feeds(buffer)) is None:
        raise errors.MalformedMessageError(
            f'stream ended inside an event, {len(buffer)} bytes after the '
            'last whole one'
        )


def _with_line_feeds(data: bytes) -> bytes:
    """Return lines that end with a line feed each."""
    return data.replace(b'\r\n', b'\n')


def _parse(block: bytes) -> SseEvent | None:
    try:
        text = _with_line_feeds(block).decode()
    except UnicodeDecodeError as error:
        raise errors.MalformedMessageError('event is not UTF-8') from error
    data = []
    name = ''
    number = None
    for line in text.split('\n'):
        field, _, value = line.partition(':')
        value = value.removeprefix(' ')
        if field == 'data':
            data.append(value)
        elif field == 'event':
            name = value
        elif field == 'id':
            number = numerals.parse_whole(value)
    if not data and not name:
        return None
    return SseEvent(data='\n'.join(data), event=name, number=number)
