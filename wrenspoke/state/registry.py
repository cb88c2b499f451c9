"""Registry of endpoints that register themselves: soft state with leases.

An endpoint renews its registration periodically and numbers the renewals,
so that delayed ones are detected. If it restarts under the same name it
reports a later ``born_ms`` and counts from the start again; state of the
previous instance no longer applies. Registrations bypass the replicated
log: any control host accepts them, even without a majority, and the hosts
merge them. Messages carry ages instead of wall-clock times; ``born_ms``
only orders the instances of one endpoint.
"""

import collections.abc
import dataclasses
import enum

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids

logger = structlog.get_logger(__name__)

# Endpoints renew about every 1.2 s, at times with seconds of delay. After
# this time, four missed renewals and some delay, other endpoints are
# preferred.
RENEWAL_TIMEOUT_MS = 6_000
# An endpoint that renewed within this time still owns its address. Longer
# than the renewal interval and most delays of a renewal, and no longer than
# the time until the address may be reused (2 s).
ADDRESS_HOLD_MS = 2_000
# Longer than any delayed message about an ended instance can take.
ENTRY_TTL_MS = 120_000
ROUTING_FIELDS = (
    'state',
    'address',
    'slots',
    'service',
    'data_centre',
    'leaving',
    'build',
)
# Builds reported beyond this number replace the oldest.
MAX_BUILDS_PER_SERVICE = 64
# Smaller changes of the end of a warm-up are not gossiped.
MIN_WARMUP_CHANGE_MS = 400


class RegistrationState(enum.Enum):
    """Whether an endpoint accepts new requests, as it reports."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class Registration(msgspec.Struct, frozen=True, array_like=True):
    """Latest report of an endpoint about itself.

    ``number`` increases with each renewal of one instance.
    ``warmup_left_ms`` and ``ends_in_ms`` are relative to the time of the
    report, ``age_ms`` ago. ``born_ms`` is the start time of the instance by
    the endpoint's wall clock; 0 where endpoints never restart under the
    same name. ``leaving`` is set once responses of the endpoint announced
    that it leaves. ``build`` belongs to the instance; endpoints that report
    none form a build of their own.
    """

    endpoint: ids.EndpointId
    service: ids.ServiceId
    address: str
    data_centre: ids.DataCentreId
    slots: int
    state: RegistrationState
    number: int
    warmup_left_ms: int = 0
    ends_in_ms: int | None = None
    age_ms: int = 0
    born_ms: int = 0
    leaving: bool = False
    build: ids.BuildId = ids.BuildId('')


@dataclasses.dataclass(slots=True)
class EndpointEntry:
    """A registration with the time of its report and its last revision.

    ``relayed_by`` is the control host that received it, None for this one.
    ``is_stale`` is set once renewals are overdue.
    """

    registration: Registration
    reported_ms: int
    revision: int
    is_stale: bool = False
    relayed_by: ids.HostId | None = None

    @property
    def warm_ms(self) -> int:
        """Return the end of the warm-up, on this host's monotonic clock."""
        return self.reported_ms + self.registration.warmup_left_ms

    @property
    def takes_work(self) -> bool:
        """Return whether new requests may be sent to the endpoint."""
        return (
            self.registration.state is RegistrationState.READY
            and not self.registration.leaving
        )


RestartListener = collections.abc.Callable[[Registration], None]


class Registry:
    """Merges registrations and assigns a revision to each change."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self.entries: dict[ids.EndpointId, EndpointEntry] = {}
        self._by_address: dict[str, set[ids.EndpointId]] = {}
        self._restart_listeners: list[RestartListener] = []
        # When each build of a service was last reported, ended ones too.
        self._builds_seen_ms: dict[ids.ServiceId, dict[ids.BuildId, int]] = {}
        self.revision = 0

    @property
    def version(self) -> tuple[int, int]:
        """Return a value that differs once endpoints changed or are gone.

        An eviction has no revision, as others evict by themselves.
        """
        return self.revision, len(self.entries)

    def add_restart_listener(self, listener: 'RestartListener') -> None:
        """Call a listener with the previous registration on each restart."""
        self._restart_listeners.append(listener)

    def merge_registration(
        self, said: Registration, relayed_by: ids.HostId | None = None
    ) -> bool:
        """Merge a registration; return whether it affects routing."""
        reported_ms = self._clock.mono_ms() - said.age_ms
        old = self.entries.get(said.endpoint)
        if old is not None and said.born_ms < old.registration.born_ms:
            return False
        self._record_build(said, reported_ms)
        self._by_address.setdefault(said.address, set()).add(said.endpoint)
        if old is None or said.born_ms > old.registration.born_ms:
            self._add_instance(said, reported_ms, relayed_by)
            return True
        if old.registration.state is RegistrationState.GONE:
            return False
        if said.state is RegistrationState.GONE:
            said = msgspec.structs.replace(
                old.registration, state=said.state, number=said.number
            )
        elif said.number <= old.registration.number:
            # A repeat may come from a host that saw the renewals stop.
            stopped = (
                said.number == old.registration.number
                and said.age_ms > RENEWAL_TIMEOUT_MS
            )
            changed = stopped and self._set_stale(old)
            return (said.leaving and self._set_leaving(old)) or changed
        if old.registration.leaving:
            # Later reports may still say ready; leaving is permanent.
            said = msgspec.structs.replace(said, leaving=True)
        stale = said.age_ms > RENEWAL_TIMEOUT_MS
        changed = (
            stale or old.is_stale or _affects_routing(old, said, reported_ms)
        )
        old.registration = said
        old.reported_ms = reported_ms
        old.relayed_by = relayed_by
        old.is_stale = stale
        if changed:
            self.revision += 1
            old.revision = self.revision
        return changed

    def _record_build(self, said: Registration, reported_ms: int) -> None:
        seen_ms = self._builds_seen_ms.setdefault(said.service, {})
        before_ms = seen_ms.pop(said.build, reported_ms)
        seen_ms[said.build] = max(before_ms, reported_ms)
        if len(seen_ms) > MAX_BUILDS_PER_SERVICE:
            del seen_ms[next(iter(seen_ms))]

    def recent_builds(self, service: ids.ServiceId) -> set[ids.BuildId]:
        """Return the builds of a service that were registered recently.

        That is now, or within ``ENTRY_TTL_MS``.
        """
        since_ms = self._clock.mono_ms() - ENTRY_TTL_MS
        builds = {
            build
            for build, seen_ms in self._builds_seen_ms.get(service, {}).items()
            if seen_ms >= since_ms
        }
        # Entry hosts receive changes only, not every renewal.
        for found in self.entries.values():
            if found.registration.service == service:
                builds.add(found.registration.build)
        return builds

    def _add_instance(
        self,
        said: Registration,
        reported_ms: int,
        relayed_by: ids.HostId | None,
    ) -> None:
        """Add an endpoint, or a new instance of a known one."""
        before = self.entries.get(said.endpoint)
        self.revision += 1
        self.entries[said.endpoint] = EndpointEntry(
            said,
            reported_ms,
            self.revision,
            said.age_ms > RENEWAL_TIMEOUT_MS,
            relayed_by,
        )
        if before is None:
            return
        logger.info(
            'endpoint_restarted',
            endpoint=said.endpoint,
            born_ms=said.born_ms,
            before_ms=before.registration.born_ms,
        )
        if before.registration.address != said.address:
            self._remove_from_address(before.registration)
        for listener in self._restart_listeners:
            listener(before.registration)

    def mark_leaving(self, endpoint: ids.EndpointId, born_ms: int) -> bool:
        """Mark one instance of an endpoint as leaving, permanently.

        Return whether that affects routing.
        """
        old = self.entries.get(endpoint)
        if old is None or old.registration.born_ms != born_ms:
            return False
        return self._set_leaving(old)

    def _set_leaving(self, old: EndpointEntry) -> bool:
        if (
            old.registration.leaving
            or old.registration.state is RegistrationState.GONE
        ):
            return False
        old.registration = msgspec.structs.replace(
            old.registration, leaving=True
        )
        self.revision += 1
        old.revision = self.revision
        return True

    def renew(
        self,
        endpoint: ids.EndpointId,
        number: int,
        age_ms: int,
        relayed_by: ids.HostId,
        born_ms: int = 0,
    ) -> bool:
        """Apply a renewal without other changes.

        The end of a warm-up stays as it was. Return False if the instance
        is unknown here.
        """
        old = self.entries.get(endpoint)
        if old is None or old.registration.born_ms < born_ms:
            return False
        if old.registration.born_ms > born_ms:
            # The instance has ended; no full registration is needed.
            return True
        left_ms = old.registration.warmup_left_ms
        if left_ms > 0:
            reported_ms = self._clock.mono_ms() - age_ms
            left_ms = max(old.warm_ms - reported_ms, 0)
        said = msgspec.structs.replace(
            old.registration,
            number=number,
            warmup_left_ms=left_ms,
            age_ms=age_ms,
        )
        self.merge_registration(said, relayed_by)
        return True

    def occupant(self, said: Registration) -> EndpointEntry | None:
        """Return another endpoint that recently renewed at the address.

        Only one endpoint runs at an address. A delayed registration may
        arrive after its sender crashed and another endpoint started there;
        the endpoint that keeps renewing takes precedence.
        """
        if said.state is RegistrationState.GONE:
            return None
        for found in self._others_at(said):
            if self._clock.mono_ms() - found.reported_ms < ADDRESS_HOLD_MS:
                return found
        return None

    def _set_stale(self, found: EndpointEntry) -> bool:
        """Mark an endpoint as stale; return whether it was not before."""
        if found.is_stale:
            return False
        self.revision += 1
        found.is_stale = True
        found.revision = self.revision
        return True

    def displace(self, said: Registration) -> None:
        """Mark the other endpoints at a registration's address as stale."""
        for found in self._others_at(said):
            self._set_stale(found)

    def _others_at(self, said: Registration) -> list[EndpointEntry]:
        others = []
        for endpoint in self._by_address.get(said.address, ()):
            found = self.entries.get(endpoint)
            if found is None or endpoint == said.endpoint:
                continue
            if found.registration.address != said.address:
                continue
            if found.registration.state is not RegistrationState.GONE:
                others.append(found)
        return others

    def final_registration(
        self, endpoint: ids.EndpointId, born_ms: int | None = None
    ) -> Registration:
        """Return the registration that withdraws an endpoint.

        ``born_ms`` selects the instance that ends; None selects the known
        one.
        """
        old = self.entries.get(endpoint)
        if old is not None and born_ms not in (None, old.registration.born_ms):
            old = None
        if old is not None:
            return msgspec.structs.replace(
                old.registration,
                state=RegistrationState.GONE,
                number=old.registration.number + 1,
                age_ms=0,
            )
        return Registration(
            endpoint,
            ids.ServiceId(''),
            '',
            ids.DataCentreId(''),
            1,
            RegistrationState.GONE,
            0,
            born_ms=born_ms or 0,
        )

    def mark_stale(self) -> bool:
        """Mark endpoints with overdue renewals; return whether any is new.

        Only a host that receives the renewals can call this; others
        receive the mark.
        """
        now_ms = self._clock.mono_ms()
        marked = False
        for found in self.entries.values():
            if now_ms - found.reported_ms <= RENEWAL_TIMEOUT_MS:
                continue
            marked |= self._set_stale(found)
        return marked

    def is_stale(self, endpoint: ids.EndpointId) -> bool:
        """Return whether an endpoint is unknown or its renewal is overdue."""
        found = self.entries.get(endpoint)
        return found is None or found.is_stale

    def registrations_since(self, revision: int) -> list[Registration]:
        """Return the registrations that changed after a revision."""
        return [
            self.with_age(found)
            for found in self.entries.values()
            if found.revision > revision
        ]

    def with_age(self, found: EndpointEntry) -> Registration:
        """Return a registration with its current ``age_ms``."""
        age_ms = self._clock.mono_ms() - found.reported_ms
        return msgspec.structs.replace(
            found.registration, age_ms=max(age_ms, 0)
        )

    def evict_expired(self) -> None:
        """Evict endpoints that left or went stale long ago.

        Age alone is no criterion: entry hosts receive changes only.
        """
        now_ms = self._clock.mono_ms()
        for endpoint, found in list(self.entries.items()):
            gone = found.registration.state is RegistrationState.GONE
            if not (gone or found.is_stale):
                continue
            if now_ms - found.reported_ms > ENTRY_TTL_MS:
                del self.entries[endpoint]
                self._remove_from_address(found.registration)

    def _remove_from_address(self, said: Registration) -> None:
        there = self._by_address.get(said.address, set())
        there.discard(said.endpoint)
        if not there:
            self._by_address.pop(said.address, None)


def _affects_routing(
    old: EndpointEntry, said: Registration, reported_ms: int
) -> bool:
    was = old.registration
    for field in ROUTING_FIELDS:
        if getattr(was, field) != getattr(said, field):
            return True
    if was.ends_in_ms != said.ends_in_ms:
        return True
    moved_ms = reported_ms + said.warmup_left_ms - old.warm_ms
    cold = was.warmup_left_ms > 0 or said.warmup_left_ms > 0
    return cold and abs(moved_ms) > MIN_WARMUP_CHANGE_MS
