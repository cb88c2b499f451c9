"""Route tables: which service handles which host and path, and how.

Operators replace the whole table; the highest version wins.
"""

import enum
import hashlib
import typing

import msgspec

from wrenspoke import ids
from wrenspoke.state import errors
from wrenspoke.state import teams as state_teams


BITS_PER_BYTE = 8
# Bits that a link of one megabit per second carries in a millisecond.
BITS_PER_MS_OF_MBPS = 1_000
# Homes of a route that no region may serve: a name that no region has.
NO_REGION = (ids.RegionId(''),)


class RouteKind(enum.Enum):
    """Retry semantics and response format of a route."""

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


class Target(msgspec.Struct, frozen=True, array_like=True):
    """A service that receives a weighted share of a route's requests."""

    service: ids.ServiceId
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Defines how requests to a host and path prefix are served.

    ``target_ms`` is the latency objective (of a stream: for its first
    event), ``pause_target_ms`` the objective for the gap between two
    events. Without ``homes`` every region may serve the route. Priority 0
    is the most urgent. An ``open`` route needs no API key.
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
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.REPEATABLE

    def allows(self, region: ids.RegionId) -> bool:
        """Return whether endpoints of a region may serve the route."""
        return not self.homes or region in self.homes

    def restricted_to(self, homes: tuple[ids.RegionId, ...]) -> 'Route':
        """Return the route restricted to the home regions of a team.

        The result allows the regions that both the route and the team
        allow, which may be none.
        """
        if not homes:
            return self
        both = homes
        if self.homes:
            both = tuple(home for home in self.homes if home in homes)
        return msgspec.structs.replace(self, homes=both or NO_REGION)


class Batch(msgspec.Struct, frozen=True):
    """Cache capacity and batching parameters of an engine.

    With ``moves`` an engine can fetch the cached prefix of a prompt from
    another one, ``token_bytes`` per token over a link of ``link_mbps``. A
    stream event holds ``event_tokens``.
    """

    slots: int
    cache_tokens: int
    token_bytes: int = 0
    link_mbps: float = 0.0
    moves: bool = False
    event_tokens: int = 1

    def cache_transfer_ms(self, tokens: float) -> float:
        """Return the time to transfer the cache of ``tokens`` tokens."""
        if self.link_mbps <= 0:
            return 0.0
        bits = tokens * self.token_bytes * BITS_PER_BYTE
        return bits / (self.link_mbps * BITS_PER_MS_OF_MBPS)


class RoutedService(msgspec.Struct, frozen=True):
    """Defines a service that routes can target.

    An endpoint in warm-up accepts ``warmup_per_s`` requests per second.
    """

    service: ids.ServiceId
    health_path: str
    connections_limit: int
    warmup_ms: int = 0
    warmup_per_s: float = 0.0
    batch: Batch | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts for requests of callers."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RouteTable(msgspec.Struct, frozen=True):
    """All routes at one version.

    ``document`` is the operator's document, returned unchanged; only
    control hosts hold it. Documents with equal content have the same
    ``digest``. If ``teams`` is set, callers need an API key.
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
        """Return the table as sent to entry hosts.

        The document doubles the size and contains API keys in plain text.
        """
        return msgspec.structs.replace(self, document=b'')


def digest_of(document: typing.Any) -> str:
    """Return a digest that ignores whitespace and the order of fields."""
    canonical = msgspec.json.encode(document, order='sorted')
    return hashlib.sha256(canonical).hexdigest()


def check(table: RouteTable) -> None:
    """Validate a route table.

    :raises InvalidChangeError: a field is invalid; the message names it
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
                f'routes.{route.name}: host and prefix {place} are already '
                f'taken by {places[place]}'
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
        raise errors.InvalidChangeError(
            f'{where}: the target weights sum to 0'
        )
    if route.timeout_ms <= 0:
        raise errors.InvalidChangeError(
            f'{where}: time-out {route.timeout_ms} ms is not above 0'
        )
    if route.attempts_limit < 1:
        raise errors.InvalidChangeError(
            f'{where}: attempts_limit {route.attempts_limit} is below 1'
        )


class RouteIndex:
    """Looks up routes by host and longest matching path prefix."""

    def __init__(self, table: RouteTable):
        self.table = table
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            routes = self._by_host.setdefault(route.host.lower(), {})
            routes.setdefault(route.path_prefix, route)
        # The lengths of a host's prefixes, longest first; there are few, also
        # where there are hundreds of routes.
        self._lengths = {
            host: sorted({len(prefix) for prefix in routes}, reverse=True)
            for host, routes in self._by_host.items()
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        host = host.lower()
        routes = self._by_host.get(host)
        if routes is None:
            return None
        for length in self._lengths[host]:
            route = routes.get(path[:length])
            if route is not None:
                return route
        return None
