"""Replication progress of another control host, as seen by the leader."""

import asyncio

from wrenspoke import ids
from wrenspoke.protocol import messages
from wrenspoke.state import locations


class Follower:
    """Tracks the replication progress of one control host.

    ``location`` is the location in its last answer. ``acked_ms`` is the time
    at which the last answered message was sent, None before the first answer.
    ``moment`` is the follower's clock reading in that answer.
    """

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.incarnation: ids.Incarnation | None = None
        self.location: locations.Location | None = None
        self.acked_ms: int | None = None
        self.moment: messages.LocalTimestamp | None = None
        self.has_new_entries = asyncio.Event()
