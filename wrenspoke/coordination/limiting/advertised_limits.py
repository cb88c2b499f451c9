"""Track the request rates that endpoints advertise in responses.

Hosts gossip each change. A new or lower limit is applied at once. A limit is
raised or removed only by the host that owns its bucket, as no other host
knows which response is the newest.
"""

import collections.abc
import math

import structlog

from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import limiting
from wrenspoke.protocol import rates

logger = structlog.get_logger(__name__)

Exists = collections.abc.Callable[[limiting.EndpointInstance], bool]


class AdvertisedLimits:
    """Tracks the newest limit of each endpoint and logs each change."""

    def __init__(self):
        self._limits: dict[ids.EndpointId, limiting.EndpointLimit] = {}
        # Endpoints whose last value was malformed; logged once.
        self._malformed: set[ids.EndpointId] = set()

    def limit_of(
        self, life: limiting.EndpointInstance
    ) -> limiting.EndpointLimit:
        """Return the known limit of one life of an endpoint.

        Its rate is None if the endpoint is not known to advertise one.
        """
        found = self._limits.get(life.endpoint)
        if found is None or found.life != life:
            return limiting.EndpointLimit(life)
        return found

    def rate_per_s(self, life: limiting.EndpointInstance) -> float | None:
        """Return the limit in requests per second, None if unlimited."""
        return self.limit_of(life).rate_per_s

    def active(self) -> list[limiting.EndpointLimit]:
        """Return the limits that endpoints currently advertise."""
        return [
            limit
            for limit in self._limits.values()
            if limit.rate_per_s is not None
        ]

    def parse_header(
        self,
        life: limiting.EndpointInstance,
        values: collections.abc.Sequence[str],
    ) -> float | None:
        """Return the rate that response headers advertise, None without.

        The first malformed value in a row is logged.

        :raises MalformedRateError: a value is malformed
        """
        try:
            rate_per_s = rates.parse_rate(values)
        except protocol_errors.MalformedRateError as error:
            if life.endpoint not in self._malformed:
                self._malformed.add(life.endpoint)
                logger.warning(
                    'endpoint_limit_malformed',
                    endpoint=life.endpoint,
                    field=headers.LIMIT,
                    problem=str(error),
                )
            raise
        self._malformed.discard(life.endpoint)
        return rate_per_s

    def apply_if_lower(
        self, life: limiting.EndpointInstance, rate_per_s: float
    ) -> bool:
        """Apply a rate unless a lower one is known; return if it changed."""
        known = self.limit_of(life)
        if known.rate_per_s is not None and known.rate_per_s <= rate_per_s:
            return False
        return self.apply_rate(life, rate_per_s)

    def apply_rate(
        self, life: limiting.EndpointInstance, rate_per_s: float | None
    ) -> bool:
        """Apply a rate as the newest; return if it changed."""
        known = self.limit_of(life)
        if rate_per_s == known.rate_per_s:
            return False
        return self.merge(
            limiting.EndpointLimit(life, known.version + 1, rate_per_s)
        )

    def merge(self, limit: limiting.EndpointLimit) -> bool:
        """Merge a limit from another host; return if it was newer.

        Of two limits of one version the lower rate wins.
        """
        known = self._limits.get(limit.life.endpoint)
        if known is not None and _precedence(limit) <= _precedence(known):
            return False
        if known is None and not limit.version:
            return False
        self._limits[limit.life.endpoint] = limit
        self._log_change(limit, known)
        return True

    def _log_change(
        self,
        limit: limiting.EndpointLimit,
        known: limiting.EndpointLimit | None,
    ) -> None:
        before_per_s = None if known is None else known.rate_per_s
        if limit.rate_per_s != before_per_s:
            logger.info(
                'endpoint_limit_changed',
                endpoint=limit.life.endpoint,
                rate_per_s=limit.rate_per_s,
                before_per_s=before_per_s,
                version=limit.version,
            )

    def retain_endpoints(self, exists: Exists) -> None:
        """Evict state of endpoints that no longer exist."""
        for endpoint, limit in list(self._limits.items()):
            if not exists(limit.life):
                del self._limits[endpoint]
        self._malformed.intersection_update(self._limits)


def _precedence(limit: limiting.EndpointLimit) -> tuple[int, int, float]:
    """Return the sort key of limits of one endpoint; the highest wins."""
    rate_per_s = limit.rate_per_s
    negated_rate = -math.inf if rate_per_s is None else -rate_per_s
    return (limit.life.born_ms, limit.version, negated_rate)
