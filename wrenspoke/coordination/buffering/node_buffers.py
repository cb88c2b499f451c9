"""Builds the parts that bound what a host holds, from its memory."""

from wrenspoke import clock as clocks
from wrenspoke.coordination.buffering import buffered_reply
from wrenspoke.coordination.buffering import byte_account
from wrenspoke.coordination.buffering import endpoint_holdings
from wrenspoke.coordination.buffering import stall_watch

# Memory of a daemon before it serves a call.
RESIDENT_BYTES = 64 * 1024 * 1024
# Part of the remaining memory that held bytes may take: copies made while
# bodies are read and joined, and objects around them, take the rest.
HELD_SHARE = 0.35
LEAST_CEILING_BYTES = 8 * 1024 * 1024
# Bounds what the kernel holds for a caller that does not read.
SOCKET_BUFFER_BYTES = 64 * 1024
# Twice as much is read from an endpoint before a call takes it.
READ_BUFFER_BYTES = 16 * 1024
# Used where neither a ceiling nor the memory is known.
DEFAULT_CEILING_BYTES = 64 * 1024 * 1024


def ceiling_of(memory_bytes: int | None) -> int:
    """Return the ceiling of held bytes of a host with this much memory."""
    if memory_bytes is None:
        return DEFAULT_CEILING_BYTES
    share_bytes = HELD_SHARE * (memory_bytes - RESIDENT_BYTES)
    return max(round(share_bytes), LEAST_CEILING_BYTES)


class NodeBuffers:
    """The account of one host, and what uses it."""

    def __init__(
        self,
        ceiling_bytes: int,
        call_limit_bytes: int,
        caller_stall_ms: int,
        clock: clocks.Clock,
    ):
        self.account = byte_account.ByteAccount(ceiling_bytes, clock)
        self.stalls = stall_watch.StallWatch(caller_stall_ms, clock)
        self.callers = buffered_reply.CallerBuffers(
            self.account, self.stalls, call_limit_bytes
        )
        self.holdings = endpoint_holdings.EndpointHoldings(clock)

    def start(self) -> None:
        """Start to watch slow callers."""
        self.stalls.start()

    async def close(self) -> None:
        """Cancel all tasks."""
        await self.stalls.close()
