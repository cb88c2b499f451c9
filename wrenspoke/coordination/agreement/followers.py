"""What a leader knows of another control host."""

import asyncio

from wrenspoke import ids
from wrenspoke.protocol import messages
from wrenspoke.state import locations


class Follower:
    """Hold how far a control host is, and when it last said so.

    ``location`` is where it said that it stands.
    ``acked_ms`` is when the message was sent that it answered last, None
    before the first one; ``moment`` the one that it told with its answer.
    """

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.incarnation: ids.Incarnation | None = None
        self.location: locations.Location | None = None
        self.acked_ms: int | None = None
        self.moment: messages.Moment | None = None
        self.has_new_entries = asyncio.Event()
