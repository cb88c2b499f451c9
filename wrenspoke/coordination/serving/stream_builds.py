"""Track which build of the endpoints' software began each resumable stream.

What two builds write doesn't fit together, so a stream may go on only at the
build that began it. Its caller may resume it at any host, also after the
host that began it has failed.

The host that a caller is connected to stores the build of a stream before it
forwards the first event, and not earlier: a record can be lost with its hosts,
and then the stream is not resumed, but it can't be of another attempt. It is
stored at that host, at two hosts of its region in rendezvous order of the
request, and through one host of another region at two hosts there. A host that
resumes a stream asks its own region first.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import random

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import discovery_client
from wrenspoke.coordination.membership import remote_hosts
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls
from wrenspoke.protocol import resuming
from wrenspoke import runtime
from wrenspoke.state import routes

logger = structlog.get_logger(__name__)

# Other hosts of a region that store a stream's build.
KEEPERS_PER_REGION = 2
NEAR_TIMEOUT_MS = 200
# Several inter-region round trips.
FAR_TIMEOUT_MS = 1_000
# Number of hosts tried for one copy.
MAX_STORE_ATTEMPTS = 3
# Hosts that are asked: the host that began the stream is not among its
# keepers, and each keeper may have been down and have substitutes.
ASKED_PER_REGION = KEEPERS_PER_REGION * MAX_STORE_ATTEMPTS + 1
# Time after the end of a stream in which its caller may resume it. Resuming
# renews the record.
RESUME_WINDOW_MS = 10_000
# Records beyond this number replace the oldest.
MAX_RECORDS = 50_000

HostOrder = collections.abc.Callable[[str], list[str]]


class Source(enum.Enum):
    """How the build of a resumed stream became known."""

    LOCAL = 'local'
    REGION = 'region'
    OTHER_REGION = 'other_region'
    ONLY_BUILD = 'only_build'


@dataclasses.dataclass(slots=True)
class _Record:
    """A stored build, None if two builds were stored for one request."""

    build: ids.BuildId | None
    expires_ms: int


class BuildRecords:
    """The builds stored at this host, bounded in number and time."""

    def __init__(self, clock: clocks.Clock, limit: int = MAX_RECORDS):
        self._clock = clock
        self._limit = limit
        self._records: dict[ids.RequestId, _Record] = {}
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._records)

    def store(self, said: resuming.StreamBuild) -> None:
        """Store a build.

        Two callers may use one request id; neither build is known then.
        """
        expires_ms = self._clock.mono_ms() + said.ttl_ms
        build = said.build
        old = self._records.pop(said.request, None)
        if old is not None:
            expires_ms = max(expires_ms, old.expires_ms)
            if old.build != said.build:
                logger.warning('stream_build_ambiguous', request=said.request)
                build = None
        self._records[said.request] = _Record(build, expires_ms)
        self._evict()

    def find(self, request: ids.RequestId) -> ids.BuildId | None:
        """Return the build that began a request's stream, None if unknown."""
        record = self._records.get(request)
        if record is None or record.expires_ms <= self._clock.mono_ms():
            return None
        return record.build

    def _evict(self) -> None:
        """Drop expired records from the oldest on, and those over the limit.

        A record that outlives younger ones stays in front of them until it
        expires, so the limit also bounds how long those are kept.
        """
        now_ms = self._clock.mono_ms()
        while self._records:
            oldest = next(iter(self._records))
            if len(self._records) > self._limit:
                if not self.dropped_count:
                    logger.warning('stream_builds_full', limit=self._limit)
                self.dropped_count += 1
            elif self._records[oldest].expires_ms > now_ms:
                return
            del self._records[oldest]


class BuildStore:
    """Stores the builds of streams at several hosts, and finds them."""

    def __init__(
        self,
        host: ids.HostId,
        order: HostOrder,
        remotes: remote_hosts.RemoteHosts,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._host = host
        self._order = order
        self._remotes = remotes
        self._peers = peers
        self.records = BuildRecords(clock)
        self._tasks = runtime.Tasks()
        peers.handles(resuming.StoreBuild)(self._handle_store)
        peers.handles(resuming.FindBuild)(self._handle_find)

    async def close(self) -> None:
        """Stop all tasks."""
        await self._tasks.close()

    @property
    def is_partitioned(self) -> bool:
        """Return whether no host of some other region can be reached."""
        return bool(self._remotes.unreachable_regions())

    def store(self, said: resuming.StreamBuild) -> None:
        """Store a build here, and send it to the other hosts."""
        self.records.store(said)
        self._send_to_region(said)
        self._send_to_other_region(said)

    def _send_to_region(self, said: resuming.StreamBuild) -> None:
        """Send a build to the hosts of this region that keep it."""
        others = self._other_hosts(said.request)
        for number in range(min(KEEPERS_PER_REGION, len(others))):
            # Each copy has substitutes of its own.
            hosts = others[number::KEEPERS_PER_REGION][:MAX_STORE_ATTEMPTS]
            self._start_sending(
                hosts, resuming.StoreBuild(said), NEAR_TIMEOUT_MS
            )

    def _send_to_other_region(self, said: resuming.StreamBuild) -> None:
        """Send a build to one other region."""
        hosts = self._remote_hosts_for(said.request)
        if hosts:
            self._start_sending(
                hosts,
                resuming.StoreBuild(said, replicate=True),
                FAR_TIMEOUT_MS,
            )

    def _start_sending(
        self,
        hosts: collections.abc.Sequence[str],
        message: resuming.StoreBuild,
        timeout_ms: int,
    ) -> None:
        self._tasks.start(self._send(hosts, message, timeout_ms), fatal=False)

    def _remote_hosts_for(self, request: ids.RequestId) -> list[ids.HostId]:
        """Return hosts of other regions to store a build through, in order."""
        hosts: list[ids.HostId] = []
        for region in self._draw_regions(request):
            hosts += self._remote_host_ids(region)
            if len(hosts) >= MAX_STORE_ATTEMPTS:
                break
        return hosts[:MAX_STORE_ATTEMPTS]

    def _draw_regions(self, request: ids.RequestId) -> list[ids.RegionId]:
        """Return the other regions in an order drawn from a request's id.

        Regions are weighted by their hosts, so that those of small regions
        store no more than others.
        """
        drawn = random.Random(request)
        weighted = {}
        for region in self._remotes.regions():
            count = max(len(self._remotes.ranked_hosts(region)), 1)
            weighted[region] = drawn.random() ** (1 / count)
        return sorted(weighted, key=weighted.__getitem__, reverse=True)

    def _remote_host_ids(self, region: ids.RegionId) -> list[ids.HostId]:
        """Return the hosts of another region to store builds through."""
        found = self._remotes.reachable(region)
        return [
            record.host for record in found[: remote_hosts.TARGETS_PER_REGION]
        ]

    def _other_hosts(self, request: ids.RequestId) -> list[str]:
        """Return the region's other hosts in rendezvous order."""
        return [host for host in self._order(request) if host != self._host]

    async def _send(
        self,
        hosts: collections.abc.Sequence[str],
        message: resuming.StoreBuild,
        timeout_ms: int,
    ) -> None:
        """Store a build at the first host that acknowledges it."""
        for host in hosts:
            answer = await self._call(ids.HostId(host), message, timeout_ms)
            if isinstance(answer, resuming.StoreBuildReply):
                return
        logger.warning(
            'stream_build_not_stored',
            request=message.record.request,
            peers=list(hosts),
        )

    async def _call(
        self, host: ids.HostId, message: peer_calls.Message, timeout_ms: int
    ) -> peer_calls.Message | None:
        try:
            return await self._peers.call(host, message, timeout_ms)
        except protocol_errors.ProtocolError as error:
            logger.info('stream_keeper_failed', peer=host, reason=str(error))
            return None

    async def _handle_store(
        self, _sender: ids.HostId, message: resuming.StoreBuild
    ) -> resuming.StoreBuildReply:
        self.records.store(message.record)
        if message.replicate:
            self._send_to_region(message.record)
        return resuming.StoreBuildReply()

    async def _handle_find(
        self, _sender: ids.HostId, message: resuming.FindBuild
    ) -> resuming.FindBuildReply:
        build = self.records.find(message.request)
        if build is None and message.search:
            build = await self.find_in_region(message.request)
        return resuming.FindBuildReply(build)

    async def find_in_region(
        self, request: ids.RequestId
    ) -> ids.BuildId | None:
        """Ask the hosts of this region for a build, None if unknown."""
        order = self._order(request)[:ASKED_PER_REGION]
        hosts = [ids.HostId(host) for host in order if host != self._host]
        return await self._ask(
            hosts, resuming.FindBuild(request), NEAR_TIMEOUT_MS
        )

    async def find_in_other_regions(
        self, request: ids.RequestId
    ) -> ids.BuildId | None:
        """Ask the other regions for a build, None if unknown."""
        hosts = []
        for region in self._remotes.regions():
            hosts += self._remote_host_ids(region)
        return await self._ask(
            hosts, resuming.FindBuild(request, search=True), FAR_TIMEOUT_MS
        )

    async def _ask(
        self,
        hosts: list[ids.HostId],
        message: resuming.FindBuild,
        timeout_ms: int,
    ) -> ids.BuildId | None:
        """Return the first build that one of several hosts knows."""
        calls = [
            asyncio.ensure_future(self._call(host, message, timeout_ms))
            for host in hosts
        ]
        try:
            for call in asyncio.as_completed(calls):
                answer = await call
                if not isinstance(answer, resuming.FindBuildReply):
                    continue
                if answer.build is not None:
                    return answer.build
            return None
        finally:
            for call in calls:
                call.cancel()


class StreamBuilds:
    """Decides at which build a stream may go on."""

    def __init__(
        self,
        store: BuildStore,
        discovery: discovery_client.DiscoveryClient,
    ):
        self._store = store
        self._discovery = discovery

    def record(
        self,
        request: ids.RequestId,
        build: ids.BuildId,
        route: routes.Route,
    ) -> None:
        """Record the build that a stream's first event comes from."""
        self._store.store(
            resuming.StreamBuild(
                request, build, route.timeout_ms + RESUME_WINDOW_MS
            )
        )

    async def find(
        self,
        request: ids.RequestId | None,
        service: ids.ServiceId,
    ) -> ids.BuildId | None:
        """Return the build that began a stream, None if it can't be known.

        ``request`` is the one that began it, None if its caller names none.
        """
        build, source = await self._find(request, service)
        if source is None:
            logger.warning(
                'stream_build_unknown', resumes=request, service=service
            )
            return None
        logger.info(
            'stream_build_found',
            resumes=request,
            build=build,
            source=source.value,
        )
        return build

    async def _find(
        self,
        request: ids.RequestId | None,
        service: ids.ServiceId,
    ) -> tuple[ids.BuildId | None, Source | None]:
        if request is not None:
            build = self._store.records.find(request)
            if build is not None:
                return build, Source.LOCAL
            build = await self._store.find_in_region(request)
            if build is not None:
                return build, Source.REGION
        build = self._only_build(service)
        if build is not None:
            return build, Source.ONLY_BUILD
        if request is not None:
            build = await self._store.find_in_other_regions(request)
            if build is not None:
                return build, Source.OTHER_REGION
        return None, None

    def _only_build(self, service: ids.ServiceId) -> ids.BuildId | None:
        """Return the only build that can have begun a stream, if any.

        A caller resumes a stream soon after it broke, when its build served.
        That takes a current registry of all regions: across a partition
        other builds may serve that are unknown here.
        """
        if not self._discovery.is_current or self._store.is_partitioned:
            return None
        builds = self._discovery.registry.recent_builds(service)
        if len(builds) != 1:
            return None
        return next(iter(builds))

    def is_gone(self, service: ids.ServiceId, build: ids.BuildId) -> bool:
        """Return whether no endpoint of a build takes requests any more.

        Hosts that start may not have heard of all endpoints yet.
        """
        if not self._discovery.is_current:
            return False
        return not any(
            found.takes_work
            and found.registration.service == service
            and found.registration.build == build
            for found in self._discovery.registry.entries.values()
        )
