"""Hosts of other regions that this host forwards calls to.

Each host has two targets of its own in every other region, selected by
rendezvous hashing, so that connections are reused. The polling hosts of a
region ping theirs continuously and broadcast the results; other hosts ping
only if there is no result for a region. Reachability is thus known before
a call is forwarded, at a cost independent of the number of hosts.
"""

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import host_pinger
from wrenspoke.coordination.membership import region_pollers
from wrenspoke.coordination.membership import region_views
from wrenspoke.coordination.membership import roster
from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

# The loss of one target must leave another that is pinged.
TARGETS_PER_REGION = 2
# The roster expires hosts at this interval.
REFRESH_INTERVAL_MS = 1_000


class RemoteHosts:
    """Ranks the hosts of other regions, and pings the targets in each."""

    def __init__(
        self,
        host: ids.HostId,
        region: ids.RegionId,
        host_roster: roster.Roster,
        pinger: host_pinger.HostPinger,
        pollers: region_pollers.RegionPollers,
        region_statuses: region_views.RegionViews,
        clock: clocks.Clock,
    ):
        self._host = host
        self._region = region
        self._roster = host_roster
        self._pinger = pinger
        self._pollers = pollers
        self._views = region_statuses
        self._clock = clock
        self._tasks = runtime.Tasks()
        # Ranked hosts by region, valid for ``_revision`` of the roster.
        self._rank_cache: dict[
            ids.RegionId, list[discovery_messages.HostRecord]
        ] = {}
        self._revision = -1
        pinger.set_unreachable_regions(self.unreachable_regions)

    def start(self) -> None:
        """Start pinging the targets."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()

    async def _run(self) -> None:
        while True:
            await self._pinger.reachable(self.ping_targets())
            await self._clock.sleep_ms(REFRESH_INTERVAL_MS)

    def ping_targets(self) -> list[ids.HostId]:
        """Return the hosts of other regions that this host pings."""
        is_poller = self._pollers.is_poller()
        return [
            record.host
            for region in self.regions()
            if is_poller or not self._views.has_view(region)
            for record in self.ranked_hosts(region)[:TARGETS_PER_REGION]
        ]

    def regions(self) -> list[ids.RegionId]:
        """Return the other regions that have usable hosts."""
        regions = {record.region for record in self._roster.usable()}
        regions.discard(self._region)
        return sorted(regions)

    def statuses(self) -> list[discovery_messages.RegionStatus]:
        """Return the recent status of other regions, from own pings."""
        statuses = [self._region_status(region) for region in self.regions()]
        return [status for status in statuses if status is not None]

    def _region_status(
        self, region: ids.RegionId
    ) -> discovery_messages.RegionStatus | None:
        targets = self.ranked_hosts(region)[:TARGETS_PER_REGION]
        for record in targets:
            remote = self._pinger.state_of(record.host)
            if remote is None or not self._pinger.is_answering(record.host):
                continue
            age_ms = self._clock.mono_ms() - remote.answered_ms
            return discovery_messages.RegionStatus(
                region, remote.pong, remote.rtt_ms or 0.0, age_ms
            )
        if targets and self._targets_unanswering(region):
            return discovery_messages.RegionStatus(region, None)
        return None

    def unreachable_regions(self) -> list[ids.RegionId]:
        """Return the regions in which no known host answers."""
        return [
            region for region in self.regions() if self._is_unreachable(region)
        ]

    def _is_unreachable(self, region: ids.RegionId) -> bool:
        return self._views.is_unreachable(region) or self._targets_unanswering(
            region
        )

    def _targets_unanswering(self, region: ids.RegionId) -> bool:
        """Return whether all targets in a region failed to answer."""
        return all(
            self._pinger.is_answering(record.host) is False
            for record in self.ranked_hosts(region)[:TARGETS_PER_REGION]
        )

    def ranked_hosts(
        self, region: ids.RegionId
    ) -> list[discovery_messages.HostRecord]:
        """Return a region's hosts in this host's order of preference.

        Cached until the roster changes: every call that may be forwarded
        needs the order, and ranking takes all hosts.
        """
        if self._revision != self._roster.revision:
            self._revision = self._roster.revision
            self._rank_cache.clear()
        found = self._rank_cache.get(region)
        if found is None:
            found = self._rank_cache[region] = self._rank_hosts(region)
        return found

    def _rank_hosts(
        self, region: ids.RegionId
    ) -> list[discovery_messages.HostRecord]:
        records = {
            record.host: record
            for record in self._roster.usable(region)
            if record.host != self._host
        }
        order = routing.rendezvous(self._host, records)
        return [records[ids.HostId(name)] for name in order]

    def forwarding_targets(self) -> list[discovery_messages.HostRecord]:
        """Return the hosts of all regions that calls are forwarded to."""
        return [
            record
            for region in self.regions()
            for record in self.reachable(region)[:TARGETS_PER_REGION]
        ]

    def is_lost(self, host: ids.HostId) -> bool:
        """Return whether a host is known not to answer, or has gone."""
        record = self._roster.record(host)
        if record is None or self._pinger.is_answering(host) is False:
            return True
        return self._views.is_unreachable(record.region)

    def reachable(
        self, region: ids.RegionId
    ) -> list[discovery_messages.HostRecord]:
        """Return the hosts to forward calls to, answering ones first.

        Hosts that did not answer are left out; those that were not pinged
        go last, unless the region is known to be unreachable.
        """
        answering, unasked = [], []
        cut_off = self._views.is_unreachable(region)
        for record in self.ranked_hosts(region):
            answers = self._pinger.is_answering(record.host)
            if answers:
                answering.append(record)
            elif answers is None and not cut_off:
                unasked.append(record)
        return answering + unasked
