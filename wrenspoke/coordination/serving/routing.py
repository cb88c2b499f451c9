"""Load-balancing policies that rank endpoints, registered by name."""

import collections
import collections.abc
import dataclasses
import itertools
import random
import typing

import xxhash

from wrenspoke.coordination.membership import loads
from wrenspoke.coordination.serving import concurrency_limits
from wrenspoke import ids
from wrenspoke.protocol import requests
from wrenspoke.state import configuration

MAX_SESSIONS = 65_536
WARM_CACHE_SAVING = 0.6
EXPECTED_WARM_SHARE = 0.3
PRICE_TO_MS = 40.0
LOCAL_LINK_MS = 1.0


@dataclasses.dataclass(frozen=True)
class RankingContext:
    """State that a policy ranks endpoints by."""

    loads: loads.LoadTable
    limits: concurrency_limits.ConcurrencyLimits
    sessions: 'SessionAffinity'
    service: configuration.Service
    random: random.Random


@dataclasses.dataclass(frozen=True)
class Ranked:
    """An endpoint with its score; the lowest score ranks first."""

    endpoint: configuration.Endpoint
    score: float


Policy = collections.abc.Callable[
    [
        requests.RequestHead,
        typing.Sequence[configuration.Endpoint],
        RankingContext,
    ],
    list[Ranked],
]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> collections.abc.Callable[[Policy], Policy]:
    """Return a decorator that registers a policy under a name."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


class SessionAffinity:
    """LRU map of sessions to the endpoint that served them last.

    That endpoint probably has the prompt prefix of the session cached.
    """

    def __init__(self):
        self._endpoints: collections.OrderedDict[
            ids.SessionId, ids.EndpointId
        ] = collections.OrderedDict()

    def record_use(
        self, session: ids.SessionId | None, endpoint: ids.EndpointId
    ) -> None:
        """Record which endpoint served a session; None is ignored."""
        if session is None:
            return
        self._endpoints[session] = endpoint
        self._endpoints.move_to_end(session)
        if len(self._endpoints) > MAX_SESSIONS:
            self._endpoints.popitem(last=False)

    def last_endpoint(
        self, session: ids.SessionId | None
    ) -> ids.EndpointId | None:
        """Return the endpoint that served a session last, None if unknown."""
        return self._endpoints.get(session)

    def evict_endpoint(self, endpoint: ids.EndpointId) -> None:
        """Remove the sessions of an endpoint that lost its cache."""
        evicted = [
            session
            for session, used in self._endpoints.items()
            if used == endpoint
        ]
        for session in evicted:
            del self._endpoints[session]


def rendezvous(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return names in rendezvous order (highest random weight) of a key."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{key}/{name}'.encode()),
        reverse=True,
    )


@policy('random')
def rank_random(_head, endpoints, view):
    """Rank endpoints at random; a baseline."""
    return [Ranked(endpoint, view.random.random()) for endpoint in endpoints]


_ROUND_ROBIN_COUNTER = itertools.count()


@policy('round_robin')
def rank_round_robin(_head, endpoints, _view):
    """Rank endpoints round robin; a baseline."""
    turn = next(_ROUND_ROBIN_COUNTER)
    count = len(endpoints)
    return [
        Ranked(endpoint, (number - turn) % count)
        for number, endpoint in enumerate(endpoints)
    ]


@policy('least_reported')
def rank_least_reported(_head, endpoints, view):
    """Rank by the load that engines reported, which lags; a baseline."""
    return [
        Ranked(
            endpoint,
            _reported_total(view.loads.latest_report(endpoint.endpoint)),
        )
        for endpoint in endpoints
    ]


def _reported_total(report: loads.TimedReport | None) -> int:
    return 0 if report is None else report.running + report.waiting


@policy('estimate')
def rank_estimate(head, endpoints, view):
    """Rank by estimated time to first token and price.

    The weights of both are those of the service.
    """
    warm = _warm_share(head, endpoints, view.sessions)
    service = view.service
    ranked = []
    for endpoint in endpoints:
        first_ms = estimate_first_ms(
            endpoint, view, warm.get(endpoint.endpoint, 0.0)
        )
        score = service.tail_weight * first_ms
        score += service.cost_weight * endpoint.price_per_mtok * PRICE_TO_MS
        ranked.append(Ranked(endpoint, score))
    return ranked


def estimate_first_ms(
    endpoint: configuration.Endpoint, view: RankingContext, warm_share: float
) -> float:
    """Estimate the time to first token at an endpoint, in ms."""
    speed = view.loads.latency(endpoint.endpoint)
    total = _expected_load(endpoint, view)
    ahead = max(0, total + 1 - endpoint.slots)
    wait_ms = ahead * speed.occupancy_ms / endpoint.slots
    load_factor = 1 + total / endpoint.slots
    work_ms = speed.first_token_ms * load_factor
    work_ms *= 1 - WARM_CACHE_SAVING * warm_share
    return LOCAL_LINK_MS + wait_ms + work_ms


def _expected_load(
    endpoint: configuration.Endpoint, view: RankingContext
) -> int:
    own = view.limits.in_flight(endpoint.endpoint)
    reported = _reported_total(view.loads.latest_report(endpoint.endpoint))
    return max(own, reported)


def _warm_share(
    head: requests.RequestHead,
    endpoints: typing.Sequence[configuration.Endpoint],
    sessions: SessionAffinity,
) -> dict[ids.EndpointId, float]:
    if head.session is None or not endpoints:
        return {}
    last_used = sessions.last_endpoint(head.session)
    if last_used is not None:
        return {last_used: 1.0}
    names = [endpoint.endpoint for endpoint in endpoints]
    return {rendezvous(head.session, names)[0]: EXPECTED_WARM_SHARE}
