"""Parse ``KNOWN-RED.txt``, the list of tests that are known to fail.

A line names a test (all of its parameters, or one), the cause and the
issue. Failures of listed tests are reported as expected failures.
"""

import pathlib
import typing

LIST = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
LINES_LIMIT = 3
FIELDS = 3


class KnownRed(typing.NamedTuple):
    """One entry of the list."""

    test: str
    cause: str
    issue: str

    def matches(self, node: str) -> bool:
        """Return whether ``node`` is the test or one of its parameters."""
        return node == self.test or node.startswith(f'{self.test}[')


def read(path: pathlib.Path = LIST) -> list[KnownRed]:
    """Return the entries of the list.

    :raises ValueError: a line lacks a field, or there are too many lines
    """
    found = []
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith('#'):
            continue
        fields = [field.strip() for field in line.split(', ')]
        if len(fields) < FIELDS:
            raise ValueError(
                f'{path.name}: expected "test, cause, issue": {line!r}'
            )
        cause = ', '.join(fields[1:-1])
        found.append(KnownRed(fields[0], cause, fields[-1]))
    if len(found) > LINES_LIMIT:
        raise ValueError(f'{path.name}: more than {LINES_LIMIT} entries')
    return found
