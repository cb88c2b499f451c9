"""Tests that are known to fail, listed in ``KNOWN-RED.txt``.

A line names a test (all of its rows, or one), the cause and the issue.
Their failures are passed over and printed; all others count.
"""

import pathlib
import typing

LIST = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
LINES_LIMIT = 3
FIELDS = 3


class KnownRed(typing.NamedTuple):
    """Hold one line of the list."""

    test: str
    cause: str
    issue: str

    def matches(self, node: str) -> bool:
        """Tell whether a test or one of its rows is meant."""
        return node == self.test or node.startswith(f'{self.test}[')


def read(path: pathlib.Path = LIST) -> list[KnownRed]:
    """Return the listed tests.

    :raises ValueError: a line says too little, or there are too many
    """
    found = []
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith('#'):
            continue
        fields = [field.strip() for field in line.split(', ')]
        if len(fields) < FIELDS:
            raise ValueError(f'{path.name}: test, cause, issue: {line!r}')
        cause = ', '.join(fields[1:-1])
        found.append(KnownRed(fields[0], cause, fields[-1]))
    if len(found) > LINES_LIMIT:
        raise ValueError(f'{path.name}: more than {LINES_LIMIT} lines')
    return found
