"""Read the log files of several hosts and merge their lines in causal order.

Files are read line by line, so memory use does not grow with their size.
Host clocks may be skewed: the lines of a host that received a forwarded
request follow the line that forwarded it, whatever their timestamps.
"""

import collections.abc
import pathlib
import re
import sys
import typing

import msgspec
import tqdm

STANDARD_INPUT = '-'
# A field as written by structlog's LogfmtRenderer: values with spaces are
# quoted, and quotes inside them are escaped as in JSON.
FIELD = re.compile(r'([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Log collectors may prepend a prefix to each line.
START = 'timestamp='
FORWARD_EVENT = 'passed_on'
Progress = collections.abc.Callable[[int], None]


class LogLine(msgspec.Struct, frozen=True):
    """A parsed log line.

    ``fields`` holds everything except the timestamp, level, event and host.
    """

    timestamp: str
    level: str
    event: str
    host: str
    fields: dict[str, str]

    def mentions(self, subject: str) -> bool:
        """Return whether a field or the host equals ``subject``."""
        return subject == self.host or subject in self.fields.values()


def parse(text: str) -> LogLine | None:
    """Return the parsed line, or None if ``text`` is not a log line."""
    start = text.find(START)
    if start < 0:
        return None
    found = {
        name: _unquoted(value) for name, value in FIELD.findall(text[start:])
    }
    if 'event' not in found:
        return None
    return LogLine(
        found.pop('timestamp'),
        found.pop('level', ''),
        found.pop('event'),
        found.pop('host', ''),
        found,
    )


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return msgspec.json.decode(value, type=str)
    except msgspec.DecodeError:
        # The value has escapes that are not valid JSON; keep them.
        return value[1:-1]


def progress_bar(files: collections.abc.Iterable[str]) -> tqdm.tqdm:
    """Return a progress bar over the bytes of the files.

    It is disabled when standard error is not a terminal.
    """
    sizes = [
        pathlib.Path(path).stat().st_size
        for path in files
        if path != STANDARD_INPUT
    ]
    return tqdm.tqdm(
        total=sum(sizes) or None,
        unit='B',
        unit_scale=True,
        leave=False,
        disable=None,
    )


def lines(
    files: collections.abc.Iterable[str],
    progress: Progress = lambda _bytes: None,
) -> collections.abc.Iterator[LogLine]:
    """Yield the log lines of the files in file order, skipping other text.

    ``progress`` is called with the size in bytes of each line read.
    """
    for path in files:
        with _opened(path) as opened:
            for raw in opened:
                progress(len(raw))
                line = parse(raw.decode('utf-8', 'replace'))
                if line is not None:
                    yield line


def find(
    files: collections.abc.Iterable[str],
    subject: str,
    progress: Progress = lambda _bytes: None,
) -> list[LogLine]:
    """Return the lines that mention ``subject``, in causal order.

    ``progress`` is called with the size in bytes of each line read.
    """
    found = []
    wanted = subject.encode()
    for path in files:
        with _opened(path) as opened:
            for raw in opened:
                progress(len(raw))
                if wanted not in raw:
                    continue
                line = parse(raw.decode('utf-8', 'replace'))
                if line is not None and line.mentions(subject):
                    found.append(line)
    return sort_causally(found)


def _opened(path: str) -> typing.BinaryIO:
    if path == STANDARD_INPUT:
        return sys.stdin.buffer
    return open(path, 'rb')


def sort_causally(lines: list[LogLine]) -> list[LogLine]:
    """Sort lines in causal order, and by timestamp otherwise.

    Lines of one host are ordered by its clock. The lines of a host that a
    request was forwarded to follow the line that forwarded it.
    """
    by_host: dict[str, list[LogLine]] = {}
    for line in sorted(lines, key=lambda line: line.timestamp):
        by_host.setdefault(line.host, []).append(line)
    called = {
        line.fields['peer']
        for line in lines
        if line.event == FORWARD_EVENT and 'peer' in line.fields
    }
    first = [
        line
        for host, its_lines in by_host.items()
        if host not in called
        for line in its_lines
    ]
    result: list[LogLine] = []
    for line in sorted(first, key=lambda line: line.timestamp):
        result.append(line)
        if line.event == FORWARD_EVENT:
            result += by_host.pop(line.fields.get('peer', ''), [])
    placed = set(map(id, result))
    # Without a forwarding line, as when a log is missing, the timestamp
    # decides.
    result += [
        line
        for its_lines in by_host.values()
        for line in its_lines
        if id(line) not in placed
    ]
    return result
