"""What control hosts tell each other of endpoints and entry hosts.

Each is told whole, once, what changed, by a revision that counts within
one life of who tells. Of all else only the number of the last renewal is
told, by the control host that heard it, or by another where that one is
cut off from who is told. A control host that was restarted, or that hears
of a renewal of something that it does not know, is told all again.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import roster
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import locations
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

# Renewals ride on this; changes do not wait for it.
SYNC_INTERVAL_MS = 1_000
# Some far round trips of 160 ms; one that is lost is made up by the next.
EXCHANGE_TIMEOUT_MS = 800
# Many hosts and endpoints that come at once are told together.
BATCH_DELAY_MS = 40
# The interval, and a far region's way. Who was not heard for longer is cut
# off from this host, and others are asked to pass on what it hears.
CONTACT_WINDOW_MS = 1_500
# Some intervals: who stood in this region that long ago still does.
REGION_CONTACT_WINDOW_MS = 3_000

# What is held of an endpoint or a host: when it was heard, and by whom.
Entry = typing.TypeVar('Entry', registry.EndpointEntry, roster.HostEntry)


@dataclasses.dataclass
class SyncProgress:
    """Hold how far another control host was told, and whom it hears."""

    instance_id: str = ''
    last_sent_ms: int = 0
    endpoints_revision: int = 0
    hosts_revision: int = 0
    recent_contacts: set[ids.HostId] = dataclasses.field(default_factory=set)


class ControlSync:
    """Tell every other control host what this one hears."""

    def __init__(
        self,
        instance_id: str,
        region: ids.RegionId,
        group: control_group.ControlGroup,
        endpoints: registry.Registry,
        hosts: roster.Roster,
        peers: peer_calls.Peers,
        on_endpoints_changed: collections.abc.Callable[[], None],
        clock: clocks.Clock,
    ):
        self._instance_id = instance_id
        self._region = region
        self._group = group
        self._endpoints = endpoints
        self._hosts = hosts
        self._peers = peers
        self._on_endpoints_changed = on_endpoints_changed
        self._clock = clock
        self._sync_requests: dict[ids.HostId, asyncio.Event] = {}
        self._regions: dict[ids.HostId, ids.RegionId] = {}
        self._tasks = runtime.Tasks()
        peers.answers(attending.Exchange)(self._handle_exchange)

    def start(self) -> None:
        """Begin to exchange."""
        self._tasks.start(self._discovery_loop())

    async def close(self) -> None:
        """End every task."""
        await self._tasks.close()

    def request_sync(self) -> None:
        """Tell all of a change without waiting for the interval."""
        for event in self._sync_requests.values():
            event.set()

    def control_hosts_in(self, region: ids.RegionId) -> list[ids.HostId]:
        """Return the control hosts of a region that spoke lately."""
        found = [
            host
            for host in self._group.seen_within(REGION_CONTACT_WINDOW_MS)
            if self._regions.get(host) == region
        ]
        if region == self._region:
            found.append(self._group.host)
        return found

    def host_location(self, host: ids.HostId) -> locations.Location | None:
        """Return where another control host stands, None if unknown.

        Each stands alone in its data centre, whose name is not told.
        """
        region = self._regions.get(host)
        if region is None:
            return None
        return locations.Location(region, ids.DataCentreId(host))

    async def _discovery_loop(self) -> None:
        """Exchange with each control host that is found."""
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

    async def _send_exchange(
        self, host: ids.HostId, progress: SyncProgress
    ) -> SyncProgress:
        """Tell what is new; return how far the other has come then."""
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
        if not isinstance(answer, attending.Exchanged):
            return progress
        self._group.record_contact(host)
        if answer.unknown or progress.instance_id not in ('', answer.life):
            logger.info('told_again', peer=host, unknown=answer.unknown)
            self._sync_requests[host].set()
            return SyncProgress(answer.life)
        next_progress.instance_id = answer.life
        next_progress.recent_contacts = {*answer.heard, host}
        return next_progress

    def _build_exchange(
        self, host: ids.HostId, progress: SyncProgress
    ) -> attending.Exchange:
        # What came by way of a third was learned up to an interval later.
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
        return attending.Exchange(
            self._endpoints.registrations_since(progress.endpoints_revision),
            self._hosts.changes_since(progress.hosts_revision),
            [
                attending.Renewal(
                    found.registration.endpoint,
                    found.registration.number,
                    self._age_ms(found.reported_ms),
                    found.registration.born_ms,
                )
                for found in endpoints
            ],
            [
                attending.Renewal(
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
        self, sender: ids.HostId, message: attending.Exchange
    ) -> attending.Exchanged:
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
        return attending.Exchanged(
            self._instance_id,
            self._group.seen_within(CONTACT_WINDOW_MS),
            unknown,
        )


def _renewed_entries(
    entries: collections.abc.Iterable[Entry],
    since_ms: int,
    sent_revision: int,
    recent_contacts: set[ids.HostId],
) -> list[Entry]:
    """Return who renewed since a time and has not changed since.

    Left out is what came from the control hosts ``heard`` by who is told.
    """
    return [
        found
        for found in entries
        if found.reported_ms >= since_ms
        and found.revision <= sent_revision
        and found.relayed_by not in recent_contacts
    ]
