"""Track which build of the endpoints' software began each resumable stream.

What two builds write doesn't fit together, so a stream may go on only at the
build that began it. Its caller may resume it at any host, also after the
host that began it has failed.

The host that a caller is connected to stores the build: as it sends the
request to an endpoint, or with the first event if a host of another region
chooses the endpoint. It stores it at itself, at two hosts of its region in
rendezvous order of the request, and through one host of another region at two
hosts there. A host that resumes a stream asks its own region first.
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
# Batches the records of streams that begin at the same time.
BATCH_DELAY_MS = 4
NEAR_TIMEOUT_MS = 200
# Several inter-region round trips.
FAR_TIMEOUT_MS = 1_000
# Number of hosts tried for one copy.
MAX_STORE_ATTEMPTS = 3
# Hosts that are asked: the host that began the stream is not among its
# keepers, and each keeper may have been down and have substitutes.
ASKED_PER_REGION = KEEPERS_PER_REGION * MAX_STORE_ATTEMPTS + 1
# How long to wait for a newer record once one is known.
NEWER_RECORD_WAIT_MS = 200
# Time after the end of a stream in which its caller may resume it. Resuming
# renews the record.
RESUME_WINDOW_MS = 10_000
# Records beyond this number replace the oldest.
MAX_RECORDS = 50_000
# Records that wait to be sent.
MAX_QUEUED = 5_000

MS_PER_S = 1000

HostOrder = collections.abc.Callable[[str], list[str]]


class Source(enum.Enum):
    """How the build of a resumed stream became known."""

    LOCAL = 'local'
    REGION = 'region'
    OTHER_REGION = 'other_region'
    ONLY_BUILD = 'only_build'


@dataclasses.dataclass(slots=True)
class _Record:
    """A stored build."""

    build: ids.BuildId | None
    number: int
    expires_ms: int
    # Whether this host sent the stream's request.
    is_own: bool = False


class BuildRecords:
    """The builds stored at this host, bounded in number and time."""

    def __init__(self, clock: clocks.Clock, limit: int = MAX_RECORDS):
        self._clock = clock
        self._limit = limit
        self._records: dict[ids.RequestId, _Record] = {}
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._records)

    def store(self, said: resuming.StreamBuild, is_own: bool = False) -> None:
        """Store a build, unless a newer one is stored."""
        expires_ms = self._clock.mono_ms() + said.ttl_ms
        old = self._records.pop(said.request, None)
        if old is not None:
            expires_ms = max(expires_ms, old.expires_ms)
        if old is not None and old.number > said.number:
            record = _Record(old.build, old.number, expires_ms, old.is_own)
        else:
            record = _Record(said.build, said.number, expires_ms, is_own)
        self._records[said.request] = record
        self._evict()

    def find(self, request: ids.RequestId) -> ids.BuildId | None:
        """Return the build that began a request's stream, None if unknown."""
        record = self.record_of(request)
        return None if record is None else record.build

    def record_of(self, request: ids.RequestId) -> _Record | None:
        """Return the record of a request's stream, None if unknown."""
        record = self._records.get(request)
        if record is None or record.expires_ms <= self._clock.mono_ms():
            return None
        return record

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
        self._clock = clock
        self.records = BuildRecords(clock)
        self._queued: list[resuming.StreamBuild] = []
        self._queue_added = asyncio.Event()
        self._tasks = runtime.Tasks()
        peers.handles(resuming.StoreBuilds)(self._handle_store)
        peers.handles(resuming.FindBuild)(self._handle_find)

    def start(self) -> None:
        """Start the task that sends records to other hosts."""
        self._tasks.start(self._send_queued())

    async def close(self) -> None:
        """Stop all tasks."""
        await self._tasks.close()

    @property
    def is_partitioned(self) -> bool:
        """Return whether no host of some other region can be reached."""
        return bool(self._remotes.unreachable_regions())

    def store(self, said: resuming.StreamBuild) -> None:
        """Store a build here, and queue it for the other hosts."""
        self.records.store(said, is_own=bool(said.number))
        if len(self._queued) >= MAX_QUEUED:
            logger.warning('stream_build_not_sent', request=said.request)
            return
        self._queued.append(said)
        self._queue_added.set()

    async def _send_queued(self) -> None:
        while True:
            await self._queue_added.wait()
            await self._clock.sleep_ms(BATCH_DELAY_MS)
            self._queue_added.clear()
            builds, self._queued = self._queued, []
            self._send_to_region(builds)
            self._send_to_other_regions(builds)

    def _send_to_region(self, builds: list[resuming.StreamBuild]) -> None:
        """Send builds to the hosts of this region that keep them."""
        batches: dict[tuple[str, ...], list[resuming.StreamBuild]] = {}
        for said in builds:
            others = self._other_hosts(said.request)
            for number in range(min(KEEPERS_PER_REGION, len(others))):
                # Each copy has a substitute of its own.
                hosts = tuple(others[number::KEEPERS_PER_REGION])
                batches.setdefault(hosts[:MAX_STORE_ATTEMPTS], []).append(said)
        for hosts, batch in batches.items():
            message = resuming.StoreBuilds(batch)
            self._tasks.start(
                self._send_batch(hosts, message, NEAR_TIMEOUT_MS), fatal=False
            )

    def _send_to_other_regions(
        self, builds: list[resuming.StreamBuild]
    ) -> None:
        """Send each build to one other region."""
        batches: dict[tuple[str, ...], list[resuming.StreamBuild]] = {}
        for said in builds:
            hosts = []
            for region in self._draw_regions(said.request):
                hosts += self._remote_host_ids(region)
            if hosts:
                key = tuple(hosts[:MAX_STORE_ATTEMPTS])
                batches.setdefault(key, []).append(said)
        for hosts, batch in batches.items():
            message = resuming.StoreBuilds(batch, replicate=True)
            self._tasks.start(
                self._send_batch(hosts, message, FAR_TIMEOUT_MS), fatal=False
            )

    def _draw_regions(self, request: ids.RequestId) -> list[ids.RegionId]:
        """Return the other regions in an order drawn from a request's id.

        It is the same for each record of a request. Regions are weighted by
        their hosts, so that those of small regions store no more than others.
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

    async def _send_batch(
        self,
        hosts: collections.abc.Sequence[str],
        message: resuming.StoreBuilds,
        timeout_ms: int,
    ) -> None:
        """Store builds at the first host that acknowledges them."""
        for host in hosts:
            answer = await self._call(ids.HostId(host), message, timeout_ms)
            if isinstance(answer, resuming.StoreBuildsReply):
                return
        logger.warning(
            'stream_builds_not_stored',
            streams=len(message.builds),
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
        self, _sender: ids.HostId, message: resuming.StoreBuilds
    ) -> resuming.StoreBuildsReply:
        for said in message.builds:
            self.records.store(said)
        if message.replicate:
            self._send_to_region(message.builds)
        return resuming.StoreBuildsReply()

    async def _handle_find(
        self, _sender: ids.HostId, message: resuming.FindBuild
    ) -> resuming.FindBuildReply:
        if message.search:
            return await self._find_newest_in_region(message.request)
        return self._own_reply(message.request)

    def _own_reply(self, request: ids.RequestId) -> resuming.FindBuildReply:
        record = self.records.record_of(request)
        if record is None:
            return resuming.FindBuildReply()
        return resuming.FindBuildReply(record.build, record.number)

    async def _find_newest_in_region(
        self, request: ids.RequestId
    ) -> resuming.FindBuildReply:
        own = self.records.record_of(request)
        if own is not None and own.is_own:
            return self._own_reply(request)
        order = self._order(request)[:ASKED_PER_REGION]
        hosts = [ids.HostId(host) for host in order if host != self._host]
        return await self._ask(
            hosts,
            resuming.FindBuild(request),
            NEAR_TIMEOUT_MS,
            self._own_reply(request),
        )

    async def find_in_region(
        self, request: ids.RequestId
    ) -> ids.BuildId | None:
        """Ask the hosts of this region for a build, None if unknown."""
        return (await self._find_newest_in_region(request)).build

    async def find_in_other_regions(
        self, request: ids.RequestId
    ) -> ids.BuildId | None:
        """Ask the other regions for a build, None if unknown."""
        hosts = []
        for region in self._remotes.regions():
            hosts += self._remote_host_ids(region)
        answer = await self._ask(
            hosts,
            resuming.FindBuild(request, search=True),
            FAR_TIMEOUT_MS,
            resuming.FindBuildReply(),
        )
        return answer.build

    async def _ask(
        self,
        hosts: list[ids.HostId],
        message: resuming.FindBuild,
        timeout_ms: int,
        newest: resuming.FindBuildReply,
    ) -> resuming.FindBuildReply:
        """Return the newest record that this or one of several hosts knows.

        A host may have missed the record of a later attempt.
        """
        calls = [
            asyncio.ensure_future(self._call(host, message, timeout_ms))
            for host in hosts
        ]
        try:
            waiting = set(calls)
            while waiting:
                wait_s = None
                if newest.build is not None:
                    wait_s = NEWER_RECORD_WAIT_MS / MS_PER_S
                done, waiting = await asyncio.wait(
                    waiting,
                    timeout=wait_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                for call in done:
                    newest = _newer(newest, call.result())
            return newest
        finally:
            for call in calls:
                call.cancel()


def _newer(
    known: resuming.FindBuildReply, answer: peer_calls.Message | None
) -> resuming.FindBuildReply:
    """Return the newer of a known record and an answer."""
    if not isinstance(answer, resuming.FindBuildReply):
        return known
    if answer.build is None and not answer.number:
        return known
    is_known = known.build is not None or known.number
    if is_known and known.number >= answer.number:
        return known
    return answer


class StreamBuilds:
    """Decides at which build a stream may go on."""

    def __init__(
        self,
        store: BuildStore,
        discovery: discovery_client.DiscoveryClient,
        clock: clocks.Clock,
    ):
        self._store = store
        self._discovery = discovery
        self._clock = clock

    def record(
        self,
        request: ids.RequestId,
        build: ids.BuildId | None,
        number: int,
        route: routes.Route,
    ) -> None:
        """Record the build that a stream's request is sent to.

        ``number`` is that of the attempt: until its first event has been
        forwarded, a stream may still begin at another build.
        """
        self._store.store(
            resuming.StreamBuild(
                request, build, number, route.timeout_ms + RESUME_WINDOW_MS
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
            record = self._store.records.record_of(request)
            if (
                record is not None
                and record.is_own
                and record.build is not None
            ):
                return record.build, Source.LOCAL
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
