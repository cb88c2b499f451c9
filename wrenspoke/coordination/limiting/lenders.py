"""Ask the host of this region that lends a limit out, or the next one."""

import collections.abc
import dataclasses

import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls

logger = structlog.get_logger(__name__)

# The region's hosts, this one too, in the order that all draw for a key.
Order = collections.abc.Callable[[str], list[str]]


@dataclasses.dataclass(slots=True)
class _Silence:
    """Say since when a host gives no answer, and when it last gave none."""

    since_ms: int
    noticed_ms: int


class Lenders:
    """Know who lends for each key, and which of them answer."""

    def __init__(
        self,
        order: Order,
        left_alone_ms: int,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._order = order
        self._left_alone_ms = left_alone_ms
        self._peers = peers
        self._clock = clock
        self._silences: dict[ids.HostId, _Silence] = {}

    def all_of(self, key: str) -> list[ids.HostId]:
        """Return the region's hosts in a key's order."""
        return [ids.HostId(name) for name in self._order(key)]

    def answering(self, key: str, count: int) -> list[ids.HostId]:
        """Return the first of them that are not left alone."""
        found: list[ids.HostId] = []
        for host in self.all_of(key):
            if self._is_left_alone(host):
                continue
            found.append(host)
            if len(found) == count:
                break
        return found

    def _is_left_alone(self, host: ids.HostId) -> bool:
        silence = self._silences.get(host)
        if silence is None:
            return False
        return self._clock.mono_ms() - silence.noticed_ms < self._left_alone_ms

    def silent_ms(self, host: ids.HostId) -> int:
        """Return for how long a host has answered nothing, 0 if it does."""
        silence = self._silences.get(host)
        if silence is None:
            return 0
        return self._clock.mono_ms() - silence.since_ms

    async def ask(
        self, host: ids.HostId, message: peer_calls.Message, timeout_ms: float
    ) -> peer_calls.Message | None:
        """Return a host's answer, None where it gives none."""
        try:
            answer = await self._peers.call(host, message, timeout_ms)
        except protocol_errors.ProtocolError as error:
            self._note_silence(host)
            logger.info('lender_silent', peer=host, reason=str(error))
            return None
        self._silences.pop(host, None)
        return answer

    def _note_silence(self, host: ids.HostId) -> None:
        now_ms = self._clock.mono_ms()
        silence = self._silences.setdefault(host, _Silence(now_ms, now_ms))
        silence.noticed_ms = now_ms
