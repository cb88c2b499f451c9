"""Routes: which service answers which host and path, and how.

Operators replace a table of routes as a whole. A table with a higher
version is newer, whatever came in between.
"""

import enum
import hashlib
import typing

import msgspec

from wrenspoke import ids
from wrenspoke.state import errors
from wrenspoke.state import teams as state_teams


BITS_PER_BYTE = 8
# What a link of one megabit a second carries in a millisecond.
BITS_PER_MS_OF_MBPS = 1_000
# Homes of what no region may serve; a name that no region has.
NO_REGION = (ids.RegionId(''),)


class RouteKind(enum.Enum):
    """Say what may be repeated, and in which shape answers come."""

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


class Target(msgspec.Struct, frozen=True, array_like=True):
    """Name a service that takes a share of a route's requests."""

    service: ids.ServiceId
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Describe how requests to a host and path prefix are served.

    ``target_ms`` is the time in which an answer has its full worth (of a
    stream: its first event), ``pause_target_ms`` the longest pause
    between two events that keeps a stream in time. Without ``homes``
    every region may serve it. Priority 0 is the most urgent. An ``open``
    route serves callers without a key, too.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: int
    target_ms: int
    priority: int = 0
    attempts_limit: int = 1
    affinity: bool = False
    resumable: bool = False
    pause_target_ms: int | None = None
    homes: tuple[ids.RegionId, ...] = ()
    open: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.REPEATABLE

    def allows(self, region: ids.RegionId) -> bool:
        """Tell whether endpoints of a region may serve it."""
        return not self.homes or region in self.homes

    def restricted_to(self, homes: tuple[ids.RegionId, ...]) -> 'Route':
        """Return the route as it is for a team that has homes.

        Both bind: what is left is where both may be served.
        """
        if not homes:
            return self
        both = homes
        if self.homes:
            both = tuple(home for home in self.homes if home in homes)
        return msgspec.structs.replace(self, homes=both or NO_REGION)


class Batch(msgspec.Struct, frozen=True):
    """Say what an engine's memory holds and how it works in batches.

    With ``moves`` an engine can take what another keeps of a prompt, at
    ``token_bytes`` a token over a link of ``link_mbps``. An event of a
    stream holds ``event_tokens``.
    """

    slots: int
    cache_tokens: int
    token_bytes: int = 0
    link_mbps: float = 0.0
    moves: bool = False
    event_tokens: int = 1

    def cache_transfer_ms(self, tokens: float) -> float:
        """Return how long the memory of some tokens is on its way."""
        if self.link_mbps <= 0:
            return 0.0
        bits = tokens * self.token_bytes * BITS_PER_BYTE
        return bits / (self.link_mbps * BITS_PER_MS_OF_MBPS)


class RoutedService(msgspec.Struct, frozen=True):
    """Describe a service that routes lead to.

    A cold endpoint bears ``warmup_per_s`` requests a second.
    """

    service: ids.ServiceId
    health_path: str
    connections_limit: int
    warmup_ms: int = 0
    warmup_per_s: float = 0.0
    batch: Batch | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Bound what a caller may send and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RouteTable(msgspec.Struct, frozen=True):
    """Hold all routes at one version.

    ``document`` is what the operator sent, given back as it was; only
    control hosts hold it. ``digest`` tells whether two documents say the
    same. With ``teams`` callers need a key.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[ids.ServiceId, RoutedService] = {}
    limits: CallerLimits = CallerLimits()
    document: bytes = b''
    digest: str = ''
    teams: state_teams.TeamTable | None = None

    def service(self, service: ids.ServiceId) -> RoutedService | None:
        """Return a service, None if the table has none of that name."""
        return self.services.get(service)

    def without_document(self) -> 'RouteTable':
        """Return what hosts need that serve callers.

        The document is as large as all else, and holds keys as they are.
        """
        return msgspec.structs.replace(self, document=b'')


def digest_of(document: typing.Any) -> str:
    """Return a digest that ignores white space and the order of fields."""
    canonical = msgspec.json.encode(document, order='sorted')
    return hashlib.sha256(canonical).hexdigest()


def check(table: RouteTable) -> None:
    """Refuse a table that can't be served.

    :raises InvalidChangeError: naming the field that is wrong
    """
    if table.version < 1:
        raise errors.InvalidChangeError(
            f'version: found {table.version}; must be at least 1'
        )
    places: dict[tuple[str, str], str] = {}
    for route in table.routes:
        _check_route(table, route)
        place = (route.host, route.path_prefix)
        if place in places:
            raise errors.InvalidChangeError(
                f'routes.{route.name}: host and prefix {place} are taken '
                f'by {places[place]}'
            )
        places[place] = route.name
    if table.teams is not None:
        state_teams.check(table.teams)


def _check_route(table: RouteTable, route: Route) -> None:
    where = f'routes.{route.name}'
    prefix = route.path_prefix
    if not (prefix.startswith('/') and prefix.endswith('/')):
        raise errors.InvalidChangeError(
            f'{where}: prefix {prefix!r} must start and end with a slash'
        )
    for target in route.targets:
        if target.service not in table.services:
            raise errors.InvalidChangeError(
                f'{where}: service {target.service!r} is unknown'
            )
        if target.weight < 0:
            raise errors.InvalidChangeError(
                f'{where}: weight {target.weight} is below 0'
            )
    if sum(target.weight for target in route.targets) <= 0:
        raise errors.InvalidChangeError(f'{where}: the weights sum to 0')
    if route.timeout_ms <= 0:
        raise errors.InvalidChangeError(f'{where}: the time-out is 0')
    if route.attempts_limit < 1:
        raise errors.InvalidChangeError(f'{where}: no attempt is allowed')


class RouteIndex:
    """Find the route of a request, by host and longest prefix."""

    def __init__(self, table: RouteTable):
        self.table = table
        self._by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix, None without one."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
