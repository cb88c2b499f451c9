"""Structured logs: one key=value line per event, on standard error."""

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
LEADING_KEYS = ['timestamp', 'level', 'event', 'host']


def configure(level: str, host: str = '', stream=None) -> None:
    """Write every event at or above ``level`` to ``stream`` as one line."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            _add_host(host),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=LEADING_KEYS, drop_missing=True, bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )


def is_urgent(line: str) -> bool:
    """Return whether a line is dropped only after all others."""
    return 'level=warning' in line or 'level=error' in line


def bounded_stdout() -> logstream.BoundedStream:
    """Return standard output as a stream that never blocks."""
    return logstream.BoundedStream(sys.stdout.fileno(), is_urgent)


def _add_host(host: str):
    def add(_logger, _method, event):
        if host:
            event.setdefault('host', host)
        return {key: _plain(value) for key, value in event.items()}

    return add


def _plain(value):
    if isinstance(value, (str, int, float, bool)) or value is None:
        return value
    return str(getattr(value, 'value', value))
