"""Back off from endpoints that refuse requests for an advertised time.

A host sends nothing to an endpoint that refused it until the advertised time
has passed. The refusal is gossiped within the region. A single refusal does
not apply to the other hosts, as the endpoint may have capacity for them. Once
two hosts were refused and none was served in between, the others back off
too, and one of them probes at intervals. Hosts resume one after another, each
with one request at first and more as these are served.
"""

import collections
import collections.abc
import dataclasses

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import outbox
from wrenspoke import ids
from wrenspoke.protocol import limiting
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

# A single response must not exclude an endpoint for long; one that needs a
# longer backoff refuses requests again.
MAX_BACKOFF_MS = 60_000
# The other hosts back off once this many hosts were refused.
REFUSAL_QUORUM = 2
# The probe interval doubles with each refused probe, up to this part of the
# advertised backoff.
MAX_PROBE_SHARE = 0.25
INITIAL_PROBE_MS = 100
# Hosts whose backoffs end together resume within this time.
RETURN_SPREAD_MS = 1_000
# The ramp-up of a host that resumes ends after this many responses.
RAMP_RESPONSES = 8
# Requests without a response are ignored by the ramp-up after this time.
RESPONSE_TIMEOUT_MS = 1_000
RAMP_WAIT_MS = 50
# Shorter extensions, as by responses to requests in flight, are not gossiped.
MIN_EXTENSION_MS = 500
EVICT_INTERVAL_MS = 1_000
IDLE_TTL_MS = 10_000

HostOrder = collections.abc.Callable[[str], list[str]]
Exists = collections.abc.Callable[[limiting.EndpointInstance], bool]
Gossip = collections.abc.Callable[
    [list[limiting.EndpointBackoff]], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(slots=True)
class Ramp:
    """Ramp-up of a host that resumes: requests in flight and responses."""

    in_flight: int = 0
    responses: int = 0
    sent_ms: int = 0

    def is_full(self, now_ms: int) -> bool:
        """Return whether the next request has to wait for a response."""
        if now_ms - self.sent_ms >= RESPONSE_TIMEOUT_MS:
            self.in_flight = 0
        return self.in_flight > self.responses

    @property
    def is_complete(self) -> bool:
        """Return whether requests are no longer restricted."""
        return self.responses >= RAMP_RESPONSES

    def record_request(self, now_ms: int) -> None:
        """Count a request that was sent."""
        self.in_flight += 1
        self.sent_ms = now_ms

    def record_response(self) -> None:
        """Count a response that was received."""
        self.in_flight = max(self.in_flight - 1, 0)
        self.responses += 1


@dataclasses.dataclass(slots=True)
class Backoff:
    """Backoff state of one endpoint that refused requests.

    Nothing is sent before ``until_ms``, the end of the backoff advertised to
    this host, and only probes before ``resume_ms``. ``last_refusal_ms`` is
    when the last refusal became known, ``peers_until_ms`` until when other
    hosts back off, and ``ramp`` is None while this host has not backed off.
    ``unserved`` says that this host was refused and not served since.
    """

    life: limiting.EndpointInstance
    until_ms: int = 0
    resume_ms: int = 0
    last_refusal_ms: int = 0
    probe_interval_ms: int = 0
    gossiped_until_ms: int = 0
    unserved: bool = False
    peers_until_ms: dict[ids.HostId, int] = dataclasses.field(
        default_factory=dict
    )
    ramp: Ramp | None = None

    def backing_off_peers(self, now_ms: int) -> set[ids.HostId]:
        """Return the other hosts that back off; evict expired ones."""
        for host, until_ms in list(self.peers_until_ms.items()):
            if until_ms <= now_ms:
                del self.peers_until_ms[host]
        return set(self.peers_until_ms)

    def is_expired(self, now_ms: int) -> bool:
        """Return whether the backoff and its ramp-up are over."""
        if now_ms < max(self.until_ms, self.resume_ms):
            return False
        if self.backing_off_peers(now_ms):
            return False
        if self.ramp is None or self.ramp.is_complete:
            return True
        return now_ms - self.resume_ms > IDLE_TTL_MS


class EndpointBackoffs:
    """Tracks the backoffs that endpoints advertise, and gossips them."""

    def __init__(
        self,
        host: ids.HostId,
        order: HostOrder,
        exists: Exists,
        gossip: Gossip,
        clock: clocks.Clock,
        refusal_quorum: int = REFUSAL_QUORUM,
    ):
        self._refusal_quorum = refusal_quorum
        self._host = host
        self._order = order
        self._exists = exists
        self._outbox = outbox.Outbox(gossip, clock)
        self._clock = clock
        self._backoffs: dict[ids.EndpointId, Backoff] = {}
        self._tasks = runtime.Tasks()
        # How many requests each endpoint refused with an advertised backoff.
        self.refused: collections.Counter[limiting.EndpointInstance] = (
            collections.Counter()
        )

    def start(self) -> None:
        """Start to gossip backoffs to other hosts."""
        self._tasks.start(self._outbox.run())
        self._tasks.start(self._run_eviction())

    async def close(self) -> None:
        """Cancel all running tasks."""
        await self._tasks.close()

    # Current backoffs.

    @property
    def is_idle(self) -> bool:
        """Return whether there are no backoffs."""
        return not self._backoffs

    def own_remaining_ms(self, life: limiting.EndpointInstance) -> int:
        """Return the rest of this host's own backoff, in milliseconds."""
        found = self._find(life)
        if found is None:
            return 0
        return max(found.until_ms - self._clock.mono_ms(), 0)

    def remaining_ms(self, life: limiting.EndpointInstance) -> int:
        """Return the time until the next request, in milliseconds.

        Other hosts' refusals and the ramp-up are included.
        """
        found = self._find(life)
        if found is None:
            return 0
        now_ms = self._clock.mono_ms()
        if now_ms < found.until_ms:
            return found.until_ms - now_ms
        full = found.ramp is not None and found.ramp.is_full(now_ms)
        if now_ms >= found.resume_ms:
            return RAMP_WAIT_MS if full else 0
        if full or not found.backing_off_peers(now_ms):
            return found.resume_ms - now_ms
        probe_ms = self._next_probe_ms(found, now_ms)
        return max(min(found.resume_ms, probe_ms) - now_ms, 0)

    def active(self) -> list[tuple[ids.EndpointId, int]]:
        """Return endpoints with a backoff of this host, and the rest in ms."""
        remaining = [
            (endpoint, self.own_remaining_ms(found.life))
            for endpoint, found in self._backoffs.items()
        ]
        return [item for item in remaining if item[1]]

    def _find(self, life: limiting.EndpointInstance) -> Backoff | None:
        found = self._backoffs.get(life.endpoint)
        return found if found is not None and found.life == life else None

    def _next_probe_ms(self, found: Backoff, now_ms: int) -> int:
        """Return when this host may probe an endpoint.

        The hosts that were not refused take turns in rendezvous order; a host
        without requests leaves its turn to the next.
        """
        backing_off_peers = found.backing_off_peers(now_ms)
        hosts = [
            host
            for host in self._order(found.life.endpoint)
            if host not in backing_off_peers
        ]
        position = hosts.index(self._host)
        return found.last_refusal_ms + (position + 1) * found.probe_interval_ms

    # Requests.

    def acquire(self, life: limiting.EndpointInstance) -> None:
        """Count a request that is about to be sent.

        :raises EndpointBackoffError: this host backs off
        """
        remaining_ms = self.remaining_ms(life)
        if remaining_ms:
            raise errors.EndpointBackoffError(life.endpoint, remaining_ms)
        found = self._find(life)
        if found is not None and found.ramp is not None:
            found.ramp.record_request(self._clock.mono_ms())

    def on_response(
        self, life: limiting.EndpointInstance, backoff_ms: int, sent_ms: int
    ) -> None:
        """Update the backoff from the response to a request.

        ``backoff_ms`` is what the endpoint advertises, 0 without a backoff,
        and ``sent_ms`` is when the request was sent.
        """
        if backoff_ms:
            self._on_refusal(life, backoff_ms)
            return
        found = self._find(life)
        # A request that was sent before the refusal does not revoke it.
        if found is None or sent_ms < found.last_refusal_ms:
            return
        now_ms = self._clock.mono_ms()
        probed = found.unserved or now_ms < found.resume_ms
        self._clear_peer_refusals(found)
        if probed:
            logger.info('endpoint_backoff_cleared', endpoint=life.endpoint)
            self._gossip(found.life, 0)
        if found.ramp is not None:
            found.ramp.record_response()
        if found.is_expired(now_ms):
            del self._backoffs[life.endpoint]

    def _on_refusal(
        self, life: limiting.EndpointInstance, backoff_ms: int
    ) -> None:
        """Start or extend this host's own backoff.

        It is shortened neither by a shorter time in a later response nor by
        a request that was served.
        """
        self.refused[life] += 1
        if not self._exists(life):
            # A late response of an earlier life of the endpoint.
            return
        now_ms = self._clock.mono_ms()
        found = self._find_or_create(life)
        capped_ms = min(backoff_ms, MAX_BACKOFF_MS)
        if not found.unserved or now_ms >= found.until_ms:
            logger.warning(
                'endpoint_backoff_started',
                endpoint=life.endpoint,
                advertised_ms=backoff_ms,
                backoff_ms=capped_ms,
            )
        found.unserved = True
        found.until_ms = max(found.until_ms, now_ms + capped_ms)
        self._schedule_resume(found, found.until_ms, capped_ms)
        if self._should_gossip(found, now_ms):
            found.gossiped_until_ms = found.until_ms
            self._gossip(life, found.until_ms - now_ms)

    def _should_gossip(self, found: Backoff, now_ms: int) -> bool:
        """Return whether a refusal extends what other hosts have received."""
        if len(found.backing_off_peers(now_ms)) < self._refusal_quorum:
            known_ms = found.gossiped_until_ms
        else:
            known_ms = max(
                found.gossiped_until_ms, *found.peers_until_ms.values()
            )
        return found.until_ms - known_ms >= MIN_EXTENSION_MS

    def _schedule_resume(
        self, found: Backoff, until_ms: int, backoff_ms: int
    ) -> None:
        """Set when this host probes and resumes; hosts do so in turn."""
        now_ms = self._clock.mono_ms()
        if not found.probe_interval_ms:
            found.probe_interval_ms = INITIAL_PROBE_MS
        elif now_ms - found.last_refusal_ms >= INITIAL_PROBE_MS:
            longest_ms = max(
                round(MAX_PROBE_SHARE * backoff_ms), INITIAL_PROBE_MS
            )
            doubled_ms = 2 * found.probe_interval_ms
            found.probe_interval_ms = min(doubled_ms, longest_ms)
        found.last_refusal_ms = now_ms
        found.ramp = Ramp()
        order = self._order(found.life.endpoint)
        share = order.index(self._host) / len(order)
        spread_ms = share * min(RETURN_SPREAD_MS, MAX_PROBE_SHARE * backoff_ms)
        resume_ms = until_ms + round(spread_ms)
        found.resume_ms = max(found.resume_ms, resume_ms)

    def _clear_peer_refusals(self, found: Backoff) -> None:
        """Drop other hosts' refusals; this host's own backoff stays."""
        found.unserved = False
        found.probe_interval_ms = 0
        found.peers_until_ms.clear()
        found.resume_ms = max(found.until_ms, self._clock.mono_ms())

    def _find_or_create(self, life: limiting.EndpointInstance) -> Backoff:
        found = self._find(life)
        if found is None:
            found = self._backoffs[life.endpoint] = Backoff(life)
        return found

    # Gossip.

    def merge(self, received: list[limiting.EndpointBackoff]) -> None:
        """Merge backoffs received from other hosts of the region."""
        for notice in received:
            if notice.host != self._host and self._exists(notice.life):
                self._merge(notice)

    def _merge(self, notice: limiting.EndpointBackoff) -> None:
        if not notice.left_ms:
            found = self._find(notice.life)
            if found is not None:
                self._clear_peer_refusals(found)
            return
        now_ms = self._clock.mono_ms()
        found = self._find_or_create(notice.life)
        left_ms = min(notice.left_ms, MAX_BACKOFF_MS)
        found.peers_until_ms[notice.host] = now_ms + left_ms
        refused = len(found.backing_off_peers(now_ms)) + found.unserved
        if refused >= self._refusal_quorum:
            self._schedule_resume(found, now_ms + left_ms, left_ms)
        found.last_refusal_ms = now_ms

    def _gossip(self, life: limiting.EndpointInstance, left_ms: int) -> None:
        self._outbox.add(limiting.EndpointBackoff(life, self._host, left_ms))

    async def _run_eviction(self) -> None:
        while True:
            await self._clock.sleep_ms(EVICT_INTERVAL_MS)
            self.evict()

    def evict(self) -> None:
        """Evict state of endpoints that no longer exist or are used again."""
        now_ms = self._clock.mono_ms()
        for endpoint, found in list(self._backoffs.items()):
            if not self._exists(found.life) or found.is_expired(now_ms):
                del self._backoffs[endpoint]
        for life in list(self.refused):
            if not self._exists(life):
                del self.refused[life]
