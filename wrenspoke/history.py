"""Request histories of concurrent runs, as JSON Lines, and their checks.

A line records one caller's request and its response. Compared with the
requests that the endpoints ran, it shows whether a guarantee was violated.
"""

import collections.abc
import dataclasses
import pathlib

import msgspec


class RequestRecord(msgspec.Struct):
    """One request of a history, as its caller saw it.

    ``outcome`` is ``lost`` if the caller received no outcome. ``whole`` is
    whether the response equals the one that the caller expected.
    """

    request: str
    kind: str
    entry: str
    home: str
    bound: bool
    once: bool
    sent_ms: int
    ended_ms: int
    outcome: str
    reason: str = ''
    whole: bool = False
    first_ms: float | None = None
    hosts: list[str] = []


@dataclasses.dataclass
class Executions:
    """The endpoints that ran each request, one entry per execution.

    ``endpoints`` is keyed by request id, ``regions`` by endpoint.
    """

    endpoints: dict[str, list[str]]
    regions: dict[str, str]

    def regions_of(self, request: str) -> set[str]:
        """Return the regions that ran a request; empty if none did."""
        return {
            self.regions[endpoint]
            for endpoint in self.endpoints.get(request, [])
        }


Check = collections.abc.Callable[[RequestRecord, Executions], bool]
CHECKS: dict[str, Check] = {}


def register_check(name: str) -> collections.abc.Callable[[Check], Check]:
    """Return a decorator that registers a violation check by name."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


@register_check('doubled')
def is_doubled(asked: RequestRecord, ran: Executions) -> bool:
    """Return whether a once-only request ran more than once."""
    return asked.once and len(ran.endpoints.get(asked.request, [])) > 1


@register_check('outside_home')
def is_outside_home(asked: RequestRecord, ran: Executions) -> bool:
    """Return whether a bound request ran outside its home region."""
    return asked.bound and bool(ran.regions_of(asked.request) - {asked.home})


@register_check('not_run_but_ran')
def is_not_run_but_ran(asked: RequestRecord, ran: Executions) -> bool:
    """Return whether a request reported as not run did run."""
    return asked.outcome == 'not_run' and asked.request in ran.endpoints


@register_check('cut_short_as_whole')
def is_cut_short(asked: RequestRecord, _ran: Executions) -> bool:
    """Return whether a response reported as complete was not."""
    return asked.outcome == 'whole' and not asked.whole


def violations(
    history: collections.abc.Iterable[RequestRecord], ran: Executions
) -> dict[str, list[str]]:
    """Return the ids of the requests that failed each check."""
    found: dict[str, list[str]] = {name: [] for name in CHECKS}
    for asked in history:
        for name, broken in CHECKS.items():
            if broken(asked, ran):
                found[name].append(asked.request)
    return found


def find_index_regressions(
    seen: collections.abc.Iterable[tuple[str, int]],
) -> list[tuple[str, int, int]]:
    """Return (host, highest index, index) for each index that decreased.

    ``seen`` holds (host, index) pairs in order of observation.
    """
    highest: dict[str, int] = {}
    found = []
    for host, index in seen:
        if index < highest.get(host, 0):
            found.append((host, highest[host], index))
        highest[host] = max(highest.get(host, 0), index)
    return found


def write(
    path: pathlib.Path, history: collections.abc.Iterable[RequestRecord]
) -> None:
    """Write a history as JSON Lines, one request per line."""
    lines = [msgspec.json.encode(asked) for asked in history]
    path.write_bytes(b'\n'.join(lines) + b'\n')


def read(path: pathlib.Path) -> list[RequestRecord]:
    """Read a history written by ``write``."""
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=RequestRecord) for line in lines]
