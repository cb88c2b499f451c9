"""Structured logs: one key=value line per event, on standard error."""

import collections.abc
import datetime
import logging
import sys

import structlog

from wrenspoke import logstream

LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}
LEADING_KEYS = frozenset(['timestamp', 'level', 'event', 'host'])
# The key under which structlog puts a formatted traceback.
TRACEBACK_KEY = 'exception'
MIN_PRINTABLE = '!'
# What a value and a traceback may take of a line, before quotes and
# backslashes are escaped.
VALUE_LIMIT_CHARACTERS = 2_000
TRACEBACK_LIMIT_CHARACTERS = 16_000


class LineRenderer:
    """Renders an event as one logfmt line, in a single pass.

    A chain of structlog's processors costs three times as much; each call
    writes several lines.
    """

    def __init__(self, host: str):
        self._host = host or None
        self._valid_keys: set[str] = set()

    def __call__(
        self, _logger: object, method: str, event: dict[str, object]
    ) -> str:
        """Return the line of an event.

        :raises ValueError: a key has a space or a control character
        """
        now = datetime.datetime.now(tz=datetime.timezone.utc)
        parts = [
            f'timestamp={now.isoformat().replace("+00:00", "Z")}',
            f'level={_LEVEL_NAMES.get(method, method)}',
            f'event={_render_value(event["event"])}',
        ]
        host = event.get('host', self._host)
        if host is not None:
            parts.append(f'host={_render_value(host)}')
        has_traceback = 'exc_info' in event
        if has_traceback:
            event = structlog.processors.format_exc_info(None, method, event)
        for key, value in event.items():
            if key in LEADING_KEYS:
                continue
            if key not in self._valid_keys:
                self._validate_key(key)
            if has_traceback and key == TRACEBACK_KEY:
                parts.append(f'{key}={_render_traceback(value)}')
                continue
            parts.append(f'{key}={_render_value(value)}')
        return ' '.join(parts)

    def _validate_key(self, key: str) -> None:
        if any(sign < MIN_PRINTABLE for sign in key):
            raise ValueError(f'invalid key of a log line: {key!r}')
        self._valid_keys.add(key)


# Methods of a logger that are not named like their level.
_LEVEL_NAMES = {'warn': 'warning', 'exception': 'error'}


def _render_value(value: object) -> str:
    """Return a value as text, quoted if it has spaces, ``=`` or quotes.

    Of a long text, the start is kept.
    """
    if not isinstance(value, str):
        if value is None:
            return ''
        if isinstance(value, bool):
            return 'true' if value else 'false'
        if isinstance(value, (int, float)):
            return str(value)
        value = getattr(value, 'value', value)
    text = str(value)
    if len(text) <= VALUE_LIMIT_CHARACTERS and text.isprintable():
        return _quote(text)
    kept = _fitting_count(text, VALUE_LIMIT_CHARACTERS)
    if kept == len(text):
        return _escape(_quote(text))
    return _escape(_quote(f'{text[:kept]}... (cut, {len(text)} characters)'))


def _render_traceback(text: str) -> str:
    """Return a traceback as a quoted value; of a long one, the end is kept."""
    kept = _fitting_count(reversed(text), TRACEBACK_LIMIT_CHARACTERS)
    if kept == len(text):
        return _escape(_quote(text))
    end = text[len(text) - kept :]
    return _escape(_quote(f'(cut, {len(text)} characters) ...{end}'))


def _quote(text: str) -> str:
    if ' ' in text or '=' in text or '"' in text:
        text = text.replace('\\', '\\\\').replace('"', '\\"')
        return f'"{text}"'
    return text


def _escape(text: str) -> str:
    """Return text without characters that break or hide parts of a line."""
    return ''.join(map(_escape_character, text))


def _fitting_count(text: collections.abc.Iterable[str], limit: int) -> int:
    """Return how many characters fit a limit once they are escaped."""
    size = 0
    count = 0
    for character in text:
        size += len(_escape_character(character))
        if size > limit:
            break
        count += 1
    return count


def _escape_character(character: str) -> str:
    if character.isprintable():
        return character
    return character.encode('unicode_escape').decode()


def configure(level: str, host: str = '', stream=None) -> None:
    """Write every event at or above ``level`` to ``stream`` as one line."""
    structlog.configure(
        processors=[LineRenderer(host)],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )


def is_urgent(line: str) -> bool:
    """Return whether a line is dropped only after all others."""
    return 'level=warning' in line or 'level=error' in line


def bounded_stdout() -> logstream.BoundedStream:
    """Return standard output as a stream that never blocks."""
    return logstream.BoundedStream(sys.stdout.fileno(), is_urgent)
