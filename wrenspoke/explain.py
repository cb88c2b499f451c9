"""List the log lines on a request, host or endpoint: ``wrenspoke explain``."""

import datetime

import msgspec

from wrenspoke import logread

MS_PER_S = 1000


def read(files: list[str], subject: str) -> list[logread.LogLine]:
    """Return the lines that mention ``subject``, in causal order.

    Shows a progress bar on a terminal.

    :raises OSError: a file cannot be read
    """
    with logread.progress_bar(files) as bar:
        return logread.find(files, subject, bar.update)


def as_text(lines: list[logread.LogLine]) -> list[str]:
    """Return one line of text per log line.

    Times are in ms since the first line of the same host, because host
    clocks may be skewed.
    """
    began: dict[str, str] = {}
    texts = []
    for line in lines:
        first = began.setdefault(line.host, line.timestamp)
        since_ms = _since_ms(first, line.timestamp)
        fields = ' '.join(
            f'{name}={value}' for name, value in line.fields.items()
        )
        texts.append(f'{since_ms:+8d} ms {line.host} {line.event} {fields}')
    return texts


def as_json(lines: list[logread.LogLine]) -> list[str]:
    """Return one JSON object per log line."""
    return [msgspec.json.encode(line).decode() for line in lines]


def _since_ms(first: str, later: str) -> int:
    try:
        took = _time(later) - _time(first)
    except ValueError:
        return 0
    return round(took.total_seconds() * MS_PER_S)


def _time(text: str) -> datetime.datetime:
    return datetime.datetime.fromisoformat(text)
