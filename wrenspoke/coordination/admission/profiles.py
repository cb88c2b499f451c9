"""Speeds of engines, as admission needs them."""

import typing

from wrenspoke.coordination.admission import places
from wrenspoke import ids
from wrenspoke.protocol import capacity
from wrenspoke.state import routes


class ProfileSource(typing.Protocol):
    """Knows how fast engines are."""

    def profile(
        self, endpoint: ids.EndpointId, service: routes.RoutedService
    ) -> capacity.EngineProfile:
        """Return the profile of an engine of a service."""

    def record_stream(
        self,
        service: routes.RoutedService,
        place: places.Place,
        gap_ms: float,
    ) -> None:
        """Learn from the mean gap of a stream that ran at its place."""
