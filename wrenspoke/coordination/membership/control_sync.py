"""Replication of registry and roster between control hosts.

Changes are sent in full, once, identified by a revision that counts within
one instance of the sender. Of all other entries only the number of the last
renewal is sent, by the control host that received it, or by a third one if
the receiver can't be reached from there. A control host that restarted, or
that received the renewal of an unknown entry, is sent everything again.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import leave_log
from wrenspoke.coordination.membership import roster
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import locations
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

# Renewals are sent at this interval; changes do not wait for it.
SYNC_INTERVAL_MS = 1_000
# A few inter-region round trips of up to 160 ms; the next exchange makes up
# for a lost one.
EXCHANGE_TIMEOUT_MS = 800
# How long a reply waits for the sync of leaves. Leaves room for a round trip
# within the time-out of an exchange; the next reply tells of a later sync.
SAVE_TIMEOUT_MS = 400
# Batches changes that arrive together, as after a mass restart.
BATCH_DELAY_MS = 40
# The interval plus an inter-region trip. A peer without contact for longer
# is taken for unreachable, and its renewals are relayed by others.
CONTACT_WINDOW_MS = 1_500
# Peers in contact within this time still count as part of their region.
REGION_CONTACT_WINDOW_MS = 3_000

# A registry or roster entry, with its receive time and source.
Entry = typing.TypeVar('Entry', registry.EndpointEntry, roster.HostEntry)


@dataclasses.dataclass
class SyncProgress:
    """Tracks what a control host was sent, and its recent contacts."""

    instance_id: str = ''
    last_sent_ms: int = 0
    endpoints_revision: int = 0
    hosts_revision: int = 0
    recent_contacts: set[ids.HostId] = dataclasses.field(default_factory=set)


class ControlSync:
    """Replicates what this control host receives to all others."""

    def __init__(
        self,
        instance_id: str,
        region: ids.RegionId,
        group: control_group.ControlGroup,
        endpoints: registry.Registry,
        hosts: roster.Roster,
        leaves: leave_log.LeaveLog,
        peers: peer_calls.Peers,
        on_endpoints_changed: collections.abc.Callable[[], None],
        clock: clocks.Clock,
    ):
        self._instance_id = instance_id
        self._region = region
        self._group = group
        self._endpoints = endpoints
        self._hosts = hosts
        self._leaves = leaves
        self._peers = peers
        self._on_endpoints_changed = on_endpoints_changed
        self._clock = clock
        self._sync_requests: dict[ids.HostId, asyncio.Event] = {}
        # Newest revision of the endpoints up to which each other host has
        # synced all leaves.
        self._saved_revisions: dict[ids.HostId, int] = {}
        self._saved = asyncio.Event()
        self._regions: dict[ids.HostId, ids.RegionId] = {}
        self._tasks = runtime.Tasks()
        peers.handles(discovery_messages.Exchange)(self._handle_exchange)

    def start(self) -> None:
        """Start the exchanges."""
        self._tasks.start(self._discovery_loop())

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()

    def request_sync(self) -> None:
        """Send changes to all others without waiting for the interval."""
        for event in self._sync_requests.values():
            event.set()

    async def wait_saved(
        self, revision: int, copies: int, timeout_ms: int
    ) -> bool:
        """Wait until enough disks hold the leaves up to a revision.

        Waits for the hosts in contact only. Return False if that is too few,
        or if they have not synced in time.

        :param copies: the number of control hosts, this one included
        """
        wanted = min(copies, len(self._group.other_hosts()) + 1)
        if self._count_copies(revision) >= wanted:
            return True
        saving = self._tasks.start(self._save_locally())
        try:
            async with clocks.timeout_ms(timeout_ms):
                while self._count_copies(revision) < min(
                    wanted, self._count_reachable(saving)
                ):
                    await self._saved.wait()
        except TimeoutError:
            return False
        return self._count_copies(revision) >= wanted

    async def _save_locally(self) -> bool:
        try:
            return await self._leaves.save()
        finally:
            self._notify_saved()

    def _count_copies(self, revision: int) -> int:
        """Return how many hosts have synced the leaves up to a revision."""
        others = self._saved_revisions.values()
        copies = sum(saved >= revision for saved in others)
        return copies + (self._leaves.saved_revision >= revision)

    def _count_reachable(self, saving: asyncio.Task) -> int:
        """Return how many hosts may sync leaves now, this one included."""
        in_contact = len(self._group.seen_within(CONTACT_WINDOW_MS))
        if not saving.done():
            return in_contact + 1
        has_failed = saving.cancelled() or not saving.result()
        return in_contact + (not has_failed)

    def _notify_saved(self) -> None:
        self._saved.set()
        self._saved = asyncio.Event()

    def control_hosts_in(self, region: ids.RegionId) -> list[ids.HostId]:
        """Return the control hosts of a region that were recently seen."""
        found = [
            host
            for host in self._group.seen_within(REGION_CONTACT_WINDOW_MS)
            if self._regions.get(host) == region
        ]
        if region == self._region:
            found.append(self._group.host)
        return found

    def host_location(self, host: ids.HostId) -> locations.Location | None:
        """Return the location of another control host, None if unknown.

        Names of data centres are not exchanged: each control host counts
        as a data centre of its own.
        """
        region = self._regions.get(host)
        if region is None:
            return None
        return locations.Location(region, ids.DataCentreId(host))

    async def _discovery_loop(self) -> None:
        """Start an exchange task for each control host that is found."""
        while True:
            for host in self._group.other_hosts():
                if host in self._sync_requests:
                    continue
                self._sync_requests[host] = asyncio.Event()
                self._tasks.start(self._sync_with(host))
            await self._clock.sleep_ms(SYNC_INTERVAL_MS)

    async def _sync_with(self, host: ids.HostId) -> None:
        progress = SyncProgress()
        sync_requested = self._sync_requests[host]
        while host in self._group.other_hosts():
            sync_requested.clear()
            asked_ms = self._clock.mono_ms()
            progress = await self._send_exchange(host, progress)
            await self._wait_for_next(sync_requested, asked_ms)
        del self._sync_requests[host]
        self._saved_revisions.pop(host, None)

    async def _send_exchange(
        self, host: ids.HostId, progress: SyncProgress
    ) -> SyncProgress:
        """Send what is new; return the progress of the other host."""
        next_progress = SyncProgress(
            progress.instance_id,
            self._clock.mono_ms(),
            self._endpoints.revision,
            self._hosts.revision,
        )
        message = self._build_exchange(host, progress)
        try:
            answer = await self._peers.call(host, message, EXCHANGE_TIMEOUT_MS)
        except protocol_errors.ProtocolError:
            return progress
        if not isinstance(answer, discovery_messages.ExchangeReply):
            return progress
        self._group.record_contact(host)
        if answer.unknown or progress.instance_id not in ('', answer.life):
            logger.info(
                'full_sync_required', peer=host, unknown=answer.unknown
            )
            self._sync_requests[host].set()
            self._saved_revisions.pop(host, None)
            return SyncProgress(answer.life)
        if not answer.unsaved:
            self._saved_revisions[host] = next_progress.endpoints_revision
            self._notify_saved()
        next_progress.instance_id = answer.life
        next_progress.recent_contacts = {*answer.heard, host}
        return next_progress

    def _build_exchange(
        self, host: ids.HostId, progress: SyncProgress
    ) -> discovery_messages.Exchange:
        # Relayed renewals arrive up to an interval later.
        since_ms = progress.last_sent_ms - SYNC_INTERVAL_MS
        recent_contacts = {*progress.recent_contacts, host}
        endpoints = _renewed_entries(
            self._endpoints.entries.values(),
            since_ms,
            progress.endpoints_revision,
            recent_contacts,
        )
        hosts = _renewed_entries(
            self._hosts.entries(),
            since_ms,
            progress.hosts_revision,
            recent_contacts,
        )
        return discovery_messages.Exchange(
            self._endpoints.registrations_since(progress.endpoints_revision),
            self._hosts.changes_since(progress.hosts_revision),
            [
                discovery_messages.Renewal(
                    found.registration.endpoint,
                    found.registration.number,
                    self._age_ms(found.reported_ms),
                    found.registration.born_ms,
                )
                for found in endpoints
            ],
            [
                discovery_messages.Renewal(
                    found.record.host,
                    found.record.number,
                    self._age_ms(found.reported_ms),
                    roster.instance_checksum(found.record),
                )
                for found in hosts
            ],
            self._region,
        )

    def _age_ms(self, heard_ms: int) -> int:
        return max(self._clock.mono_ms() - heard_ms, 0)

    async def _wait_for_next(
        self, sync_requested: asyncio.Event, asked_ms: int
    ) -> None:
        left_ms = asked_ms + SYNC_INTERVAL_MS - self._clock.mono_ms()
        try:
            async with clocks.timeout_ms(max(left_ms, 1)):
                await sync_requested.wait()
                await self._clock.sleep_ms(BATCH_DELAY_MS)
        except TimeoutError:
            return

    async def _handle_exchange(
        self, sender: ids.HostId, message: discovery_messages.Exchange
    ) -> discovery_messages.ExchangeReply:
        self._group.record_contact(sender)
        self._regions[sender] = message.region
        before = (self._endpoints.revision, self._hosts.revision)
        for said in message.endpoints:
            self._endpoints.merge_registration(said, sender)
        for record in message.hosts.found:
            self._hosts.merge_record(record, sender)
        for host in message.hosts.lost:
            self._hosts.expire_reported(host)
        unknown = False
        for renewal in message.renewed_endpoints:
            unknown |= not self._endpoints.renew(
                ids.EndpointId(renewal.name),
                renewal.number,
                renewal.age_ms,
                sender,
                renewal.life,
            )
        for renewal in message.renewed_hosts:
            unknown |= not self._hosts.renew(renewal, sender)
        if self._endpoints.revision != before[0]:
            self._on_endpoints_changed()
        if (self._endpoints.revision, self._hosts.revision) != before:
            self.request_sync()
        saved = await self._save_leaves()
        return discovery_messages.ExchangeReply(
            self._instance_id,
            self._group.seen_within(CONTACT_WINDOW_MS),
            unknown,
            not saved,
        )

    async def _save_leaves(self) -> bool:
        """Return whether all leaves merged so far are synced."""
        if self._leaves.saved_revision >= self._endpoints.revision:
            return True
        try:
            async with clocks.timeout_ms(SAVE_TIMEOUT_MS):
                return await self._leaves.save()
        except TimeoutError:
            return False


def _renewed_entries(
    entries: collections.abc.Iterable[Entry],
    since_ms: int,
    sent_revision: int,
    recent_contacts: set[ids.HostId],
) -> list[Entry]:
    """Return the entries that were renewed since a time, but not changed.

    Entries from ``recent_contacts`` of the receiver are left out: it gets
    those directly.
    """
    return [
        found
        for found in entries
        if found.reported_ms >= since_ms
        and found.revision <= sent_revision
        and found.relayed_by not in recent_contacts
    ]
