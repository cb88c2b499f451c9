"""Cost of the bytes that a call sends between data centres of a region.

Bytes between data centres are paid for, bytes within one are not. The cost
decides between engines that serve a call alike: it is bounded by a small
share of the call's target, so that an engine that is likely to be late is
never preferred for being near.
"""

from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects

KB_COST_MS = 5.0
MAX_TARGET_SHARE = 0.05
# Bytes of a streamed token, and of the heads of a request and its response.
TOKEN_BYTES = 8
HEAD_BYTES = 1_000
BYTES_PER_KB = 1_000


class DistanceCost:
    """Cost of serving a call in another data centre than this host's."""

    def __init__(self, data_centre: ids.DataCentreId):
        self._data_centre = data_centre

    def cost_ms(
        self,
        data_centre: ids.DataCentreId,
        call: dialects.Call,
        target_ms: float,
    ) -> float:
        """Return the cost of a call to an endpoint in a data centre."""
        if data_centre == self._data_centre:
            return 0.0
        size = HEAD_BYTES + len(call.body) + TOKEN_BYTES * call.tokens_expected
        cost_ms = size / BYTES_PER_KB * KB_COST_MS
        return min(cost_ms, MAX_TARGET_SHARE * target_ms)
