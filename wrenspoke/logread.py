"""Read log files of many hosts, and put what they tell in order.

Files are read line by line, so that their size does not matter. Clocks of
hosts may disagree: what a host did for another one stands behind the line
by which the other passed the request on, whatever the times say.
"""

import collections.abc
import pathlib
import re
import sys
import typing

import msgspec
import tqdm

STANDARD_INPUT = '-'
# A field as structlog's LogfmtRenderer writes it: quoted where it holds
# blanks, with quotes in it escaped as in JSON.
FIELD = re.compile(r'([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)')
# A collector may have put something before our line.
START = 'timestamp='
FORWARD_EVENT = 'passed_on'
Progress = collections.abc.Callable[[int], None]


class LogLine(msgspec.Struct, frozen=True):
    """Hold one line: when and where, what happened, and all else."""

    timestamp: str
    level: str
    event: str
    host: str
    fields: dict[str, str]

    def mentions(self, subject: str) -> bool:
        """Tell whether the line is about a request, host or endpoint."""
        return subject == self.host or subject in self.fields.values()


def parse(text: str) -> LogLine | None:
    """Return the line that a text holds, None if it is none of ours."""
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
        # Escapes that JSON does not know stay as they are.
        return value[1:-1]


def progress_bar(files: collections.abc.Iterable[str]) -> tqdm.tqdm:
    """Return a bar over the bytes of some files, seen on a terminal only."""
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
    """Yield every line of ours in some files, in their order."""
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
    """Return the lines of some files that tell of a subject, in order.

    ``progress`` is told the bytes of each line that was read.
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
    """Put lines in the order of causes, else of time.

    Lines of one host keep the order of its clock. A host that a request
    was passed to speaks right behind the line that names it.
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
    # What nobody passed on, as where a log is missing, goes by time.
    result += [
        line
        for its_lines in by_host.values()
        for line in its_lines
        if id(line) not in placed
    ]
    return result
