"""What every way to an endpoint asks: does it take one more request now?

An endpoint that names no limit takes what comes. Of one that does, each
request needs leave from the host that lends its limit out, and leaves
within moments of it. Where there is none the endpoint is left alone until
there may be.
"""

import collections
import collections.abc

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_lender
from wrenspoke.coordination.limiting import lenders as region_lenders
from wrenspoke.coordination.limiting import stated as stated_limits
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import limiting
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime

# A way within the region and a busy host.
ASK_TIMEOUT_MS = 150
# A lender that gave no answer is left alone for so long; others lend a part.
SILENT_LEFT_ALONE_MS = 1_000
# Calls go elsewhere while the next lender is found.
UNKNOWN_WAIT_MS = 50
# A leave is good for the time of a new connection, and no longer: what
# arrives later would come beside what is lent then.
GRANT_MS = 500
# Calls of one urgency come one behind the other: first those whose prompt
# the endpoint keeps.
RANKS_AN_URGENCY = 2
HOUSE_INTERVAL_MS = 1_000
FIRST_RANK = 0
LAST_RANK = 1_000


def rank_of(urgency: int, kept: bool) -> int:
    """Return a call's place among those that want leave; 0 goes first."""
    return urgency * RANKS_AN_URGENCY + (not kept)


class EndpointLimits:
    """Admit requests to endpoints, and hear what their answers name."""

    def __init__(
        self,
        host: ids.HostId,
        order: region_lenders.Order,
        exists: stated_limits.Exists,
        tell: endpoint_lender.Tell,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._host = host
        self._peers = peers
        self._clock = clock
        self._exists = exists
        self._lenders = region_lenders.Lenders(
            order, SILENT_LEFT_ALONE_MS, peers, clock
        )
        self._stated = stated_limits.StatedLimits()
        self._lender = endpoint_lender.EndpointLender(
            host, self._lenders, self._stated, tell, peers, clock
        )
        self._alone_until_ms: dict[limiting.EndpointLife, int] = {}
        # How often each endpoint took no more.
        self.refused: collections.Counter[ids.EndpointId] = (
            collections.Counter()
        )
        self._tasks = runtime.Tasks()

    def start(self) -> None:
        """Begin to tell other hosts of limits."""
        self._lender.start()
        self._tasks.start(self._keep_house())

    async def close(self) -> None:
        """End every task."""
        await self._tasks.close()
        await self._lender.close()

    # What is known.

    def rate_per_s(self, life: limiting.EndpointLife) -> float | None:
        """Return the requests a second an endpoint takes, None for any."""
        return self._stated.rate_per_s(life)

    def share_per_s(self, life: limiting.EndpointLife) -> float | None:
        """Return an equal host's part of that, None for any."""
        rate_per_s = self.rate_per_s(life)
        if rate_per_s is None:
            return None
        taken_per_s = max(rate_per_s, endpoint_lender.LEAST_RATE_PER_S)
        return taken_per_s / len(self._lenders.all_of(life.endpoint))

    def in_force(self) -> list[limiting.EndpointLimit]:
        """Return the limits that endpoints go on naming."""
        return self._stated.in_force()

    def left_alone_ms(self, life: limiting.EndpointLife) -> int:
        """Return for how long it is not worth asking for an endpoint."""
        until_ms = self._alone_until_ms.get(life)
        if until_ms is None or self.rate_per_s(life) is None:
            return 0
        return max(until_ms - self._clock.mono_ms(), 0)

    def take_told(self, told: list[limiting.EndpointLimit]) -> None:
        """Take what another host of the region knows."""
        for limit in told:
            self._stated.merge(limit)

    # Requests.

    async def admit(
        self, life: limiting.EndpointLife, rank: int
    ) -> 'Admission':
        """Return leave to send one request to an endpoint.

        :raises EndpointLimitError: it takes no more now
        """
        if self.rate_per_s(life) is None:
            return Admission(self, life)
        left_alone_ms = self.left_alone_ms(life)
        if left_alone_ms:
            raise self._over(life, left_alone_ms)
        asked_ms = self._clock.mono_ms()
        answer = await self._ask(life, rank)
        if answer is None:
            raise self._over(life, UNKNOWN_WAIT_MS)
        self._stated.merge(answer.known)
        if answer.grant is not None:
            return Admission(self, life, answer.grant, asked_ms + GRANT_MS)
        if self.rate_per_s(life) is None:
            return Admission(self, life)
        raise self._over(life, answer.wait_ms)

    async def _ask(
        self, life: limiting.EndpointLife, rank: int
    ) -> limiting.SendAnswered | None:
        """Ask the first host that lends this limit and answers."""
        known = self._stated.limit_of(life)
        for host in self._lenders.answering(life.endpoint, 1):
            if host == self._host:
                return self._lender.take(known, rank)
            answer = await self._lenders.ask(
                host, limiting.AskSend(known, rank), ASK_TIMEOUT_MS
            )
            if isinstance(answer, limiting.SendAnswered):
                return answer
        return None

    def _over(
        self, life: limiting.EndpointLife, wait_ms: int
    ) -> errors.EndpointLimitError:
        """Leave an endpoint alone; return what tells its callers so."""
        self.refused[life.endpoint] += 1
        self._alone_until_ms[life] = self._clock.mono_ms() + wait_ms
        return errors.EndpointLimitError(life.endpoint, wait_ms)

    def may_leave(
        self, life: limiting.EndpointLife, until_ms: int | None
    ) -> bool:
        """Tell, as a request leaves, whether its leave is still good.

        One that was admitted without, before the limit was heard of, has
        none.
        """
        if self.rate_per_s(life) is None:
            return True
        return until_ms is not None and self._clock.mono_ms() <= until_ms

    # Answers.

    def heard(
        self,
        life: limiting.EndpointLife,
        texts: collections.abc.Sequence[str],
        grant: limiting.GrantName | None,
        proved: bool,
    ) -> None:
        """Take what an answer's head names, or that it names nothing.

        ``proved`` says that the head is the endpoint's own, to this
        request; else that it names nothing says nothing.
        """
        try:
            rate_per_s = self._stated.read(life, texts)
        except protocol_errors.MalformedRateError:
            return
        unlimited = self.rate_per_s(life) is None
        if rate_per_s is None and (unlimited or not proved):
            return
        lender = self._lenders.all_of(life.endpoint)[0]
        if grant is not None:
            lender = grant.lender
        if lender == self._host:
            self._lender.hear(self._stated.limit_of(life), rate_per_s, grant)
            return
        if rate_per_s is not None:
            self._stated.lower(life, rate_per_s)
        message = limiting.LimitHeard(
            self._stated.limit_of(life), rate_per_s, grant
        )
        self._tasks.start(self._peers.tell(lender, message), fatal=False)

    async def _keep_house(self) -> None:
        """Forget endpoints that are gone, and lives that have ended."""
        while True:
            await self._clock.sleep_ms(HOUSE_INTERVAL_MS)
            self._stated.keep_only(self._exists)
            self._lender.keep_only(self._exists)
            for life in list(self._alone_until_ms):
                if not self._exists(life):
                    del self._alone_until_ms[life]
                    self.refused.pop(life.endpoint, None)


class Admission:
    """Be the leave of one request to one endpoint."""

    def __init__(
        self,
        limits: EndpointLimits,
        life: limiting.EndpointLife,
        grant: limiting.GrantName | None = None,
        until_ms: int | None = None,
    ):
        self._limits = limits
        self._life = life
        self._grant = grant
        self._until_ms = until_ms

    def may_leave(self) -> bool:
        """Tell, as the request leaves, whether the leave is still good."""
        return self._limits.may_leave(self._life, self._until_ms)

    def heard(
        self, texts: collections.abc.Sequence[str], proved: bool
    ) -> None:
        """Take what the head of the answer names."""
        self._limits.heard(self._life, texts, self._grant, proved)
