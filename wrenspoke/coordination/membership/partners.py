"""The few hosts of other regions that this host passes calls to.

Each host has its own two in every other region, drawn by rendezvous
hashing, and pings them all the time: which of them can be reached is
known before a call is passed on, and connections to them are used again.
"""

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import reach
from wrenspoke.coordination.membership import roster
from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

# Two, so that one that stops leaves one that is known.
PARTNERS_COUNT = 2
# As often as the roster can change.
LOOK_INTERVAL_MS = 1_000


class Partners:
    """Keep the partners of this host, and rank hosts of a region."""

    def __init__(
        self,
        host: ids.HostId,
        region: ids.RegionId,
        known: roster.Roster,
        reached: reach.Reach,
        clock: clocks.Clock,
    ):
        self._host = host
        self._region = region
        self._roster = known
        self._reach = reached
        self._clock = clock
        self._tasks = runtime.Tasks()
        # The order of each region's hosts, as of a revision of the roster.
        self._ranked: dict[ids.RegionId, list[attending.HostRecord]] = {}
        self._revision = -1
        reached.tell_cut_off(self.cut_off)

    def start(self) -> None:
        """Begin to ping the partners."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """End every task."""
        await self._tasks.close()

    async def _run(self) -> None:
        while True:
            regions = {record.region for record in self._roster.usable()}
            regions.discard(self._region)
            chosen = [
                record.host
                for region in sorted(regions)
                for record in self.ranked(region)[:PARTNERS_COUNT]
            ]
            await self._reach.reachable(chosen)
            await self._clock.sleep_ms(LOOK_INTERVAL_MS)

    def cut_off(self) -> list[ids.RegionId]:
        """Return the regions none of whose hosts here known answer."""
        regions = {record.region for record in self._roster.usable()}
        regions.discard(self._region)
        return [
            region for region in sorted(regions) if self._is_cut_off(region)
        ]

    def _is_cut_off(self, region: ids.RegionId) -> bool:
        return all(
            self._reach.answers(record.host) is False
            for record in self.ranked(region)
        )

    def ranked(self, region: ids.RegionId) -> list[attending.HostRecord]:
        """Return a region's hosts in the order of this host's choice.

        The order is kept until a host comes or goes: every call that may
        go elsewhere asks for it, and drawing it takes all of them.
        """
        if self._revision != self._roster.revision:
            self._revision = self._roster.revision
            self._ranked.clear()
        found = self._ranked.get(region)
        if found is None:
            found = self._ranked[region] = self._rank(region)
        return found

    def _rank(self, region: ids.RegionId) -> list[attending.HostRecord]:
        records = {
            record.host: record
            for record in self._roster.usable(region)
            if record.host != self._host
        }
        order = routing.rendezvous(self._host, records)
        return [records[ids.HostId(name)] for name in order]

    def reachable(self, region: ids.RegionId) -> list[attending.HostRecord]:
        """Return hosts to pass calls to: those that answer go first.

        Hosts that gave no answer are left out; those that were not asked
        go last.
        """
        answering, unasked = [], []
        for record in self.ranked(region):
            answers = self._reach.answers(record.host)
            if answers is None:
                unasked.append(record)
            elif answers:
                answering.append(record)
        return answering + unasked
