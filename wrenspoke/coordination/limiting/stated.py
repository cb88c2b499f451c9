"""Know how many requests a second endpoints take, by their own word."""

import collections.abc

import structlog

from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import rates

logger = structlog.get_logger(__name__)


class StatedLimits:
    """Hold what endpoints' answers name, and log each change."""

    def __init__(self):
        self._rates: dict[ids.EndpointId, float] = {}
        # Whose last word could not be read: one line tells of all that follow.
        self._unreadable: set[ids.EndpointId] = set()

    def heard(
        self, endpoint: ids.EndpointId, texts: collections.abc.Sequence[str]
    ) -> None:
        """Note what an answer's head names."""
        try:
            rate_per_s = rates.read(texts)
        except protocol_errors.MalformedRateError as error:
            self._log_unreadable(endpoint, error)
            return
        self._unreadable.discard(endpoint)
        before_per_s = self._rates.pop(endpoint, None)
        if rate_per_s is not None:
            self._rates[endpoint] = rate_per_s
        if rate_per_s != before_per_s:
            logger.info(
                'endpoint_limit_named',
                endpoint=endpoint,
                rate_per_s=rate_per_s,
                before_per_s=before_per_s,
            )

    def _log_unreadable(
        self,
        endpoint: ids.EndpointId,
        error: protocol_errors.MalformedRateError,
    ) -> None:
        if endpoint in self._unreadable:
            return
        self._unreadable.add(endpoint)
        logger.warning(
            'endpoint_limit_unreadable',
            endpoint=endpoint,
            field=headers.LIMIT,
            problem=str(error),
        )
