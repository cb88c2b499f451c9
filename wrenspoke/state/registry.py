"""Endpoints that register themselves: soft state with leases.

A registration is renewed again and again and numbered by its endpoint,
so that a late one is told from a new one. An endpoint may start again
under its name: it then tells a later birth, counts from the start, and
nothing holds of it that did before. It is kept apart from the replicated
log: any control host may take it, one without a majority too, and what all
have heard is merged. Ages travel, never times of day; a birth only orders
the lives of one endpoint.
"""

import collections.abc
import dataclasses
import enum

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids

logger = structlog.get_logger(__name__)

# An endpoint renews about every 1.2 s and may come seconds late; after
# four renewals and some delay were missed, others are used before it.
RENEWAL_TIMEOUT_MS = 6_000
# Who renewed at an address within this time still runs there: longer than
# the time between two renewals (1.2 s) and most of their delays, no longer
# than it takes until another may get the address (2 s).
ADDRESS_HOLD_MS = 2_000
# Longer than any word of a life that ended is under way.
ENTRY_TTL_MS = 120_000
# Smaller moves of the end of a warm-up are not worth telling.
MIN_WARMUP_CHANGE_MS = 400


class RegistrationState(enum.Enum):
    """Say whether an endpoint wants new work."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class Registration(msgspec.Struct, frozen=True, array_like=True):
    """State what an endpoint last said of itself.

    ``number`` rises with each renewal of one life. ``warmup_left_ms`` and
    ``ends_in_ms`` count from when it was said, ``age_ms`` ago.
    ``born_ms`` is when the life began, by the endpoint's time of day; 0
    where endpoints never start again under their names. ``leaving`` says
    that the endpoint was heard to leave, by its answers to requests.
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


@dataclasses.dataclass(slots=True)
class EndpointEntry:
    """Hold a registration with when it was said and last changed.

    ``relayed_by`` is the control host that heard it, None for this one.
    """

    registration: Registration
    reported_ms: int
    revision: int
    is_stale: bool = False
    relayed_by: ids.HostId | None = None

    @property
    def warm_ms(self) -> int:
        """Return when the endpoint is warm, in this host's time."""
        return self.reported_ms + self.registration.warmup_left_ms

    @property
    def takes_work(self) -> bool:
        """Tell whether it may be given new work."""
        return (
            self.registration.state is RegistrationState.READY
            and not self.registration.leaving
        )


RestartListener = collections.abc.Callable[[Registration], None]


class Registry:
    """Merge what is heard of endpoints, and number the changes."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self.entries: dict[ids.EndpointId, EndpointEntry] = {}
        self._by_address: dict[str, set[ids.EndpointId]] = {}
        self._restart_listeners: list[RestartListener] = []
        self.revision = 0

    def add_restart_listener(self, listener: 'RestartListener') -> None:
        """Call a listener with what an endpoint said before it began anew."""
        self._restart_listeners.append(listener)

    def merge_registration(
        self, said: Registration, relayed_by: ids.HostId | None = None
    ) -> bool:
        """Take what is newer; return whether it changes routing."""
        reported_ms = self._clock.mono_ms() - said.age_ms
        old = self.entries.get(said.endpoint)
        if old is not None and said.born_ms < old.registration.born_ms:
            return False
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
            # The same again, from who noticed that no newer one comes.
            old.is_stale |= said.age_ms > RENEWAL_TIMEOUT_MS
            return said.leaving and self._set_leaving(old)
        if old.registration.leaving:
            # Reports may still call it ready; it leaves all the same.
            said = msgspec.structs.replace(said, leaving=True)
        changed = old.is_stale or _affects_routing(old, said, reported_ms)
        old.registration = said
        old.reported_ms = reported_ms
        old.relayed_by = relayed_by
        old.is_stale = said.age_ms > RENEWAL_TIMEOUT_MS
        if changed:
            self.revision += 1
            old.revision = self.revision
        return changed

    def _add_instance(
        self,
        said: Registration,
        reported_ms: int,
        relayed_by: ids.HostId | None,
    ) -> None:
        """Hold a life of an endpoint that was not known before."""
        before = self.entries.get(said.endpoint)
        self.revision += 1
        self.entries[said.endpoint] = EndpointEntry(
            said, reported_ms, self.revision, relayed_by=relayed_by
        )
        if before is None:
            return
        logger.info(
            'endpoint_reborn',
            endpoint=said.endpoint,
            born_ms=said.born_ms,
            before_ms=before.registration.born_ms,
        )
        if before.registration.address != said.address:
            self._remove_from_address(before.registration)
        for listener in self._restart_listeners:
            listener(before.registration)

    def mark_leaving(self, endpoint: ids.EndpointId, born_ms: int) -> bool:
        """Note that an endpoint leaves in one of its lives, for good.

        Return whether that changes routing.
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
        """Take a renewal without change; return False if it is not known.

        The end of a warm-up stays where it was.
        """
        old = self.entries.get(endpoint)
        if old is None or old.registration.born_ms < born_ms:
            return False
        if old.registration.born_ms > born_ms:
            # Of a life that has ended: nothing of it is to be told again.
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
        """Return who else renewed lately at a registration's address.

        Only one endpoint runs at an address. A registration that was held
        up on its way may come after its sender crashed and another one
        began there; who renews is the one to believe.
        """
        if said.state is RegistrationState.GONE:
            return None
        for found in self._others_at(said):
            if self._clock.mono_ms() - found.reported_ms < ADDRESS_HOLD_MS:
                return found
        return None

    def displace(self, said: Registration) -> None:
        """Use others before those that ran at the address until now."""
        for found in self._others_at(said):
            if found.is_stale:
                continue
            self.revision += 1
            found.is_stale = True
            found.revision = self.revision

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
        """Return the last registration of an endpoint that leaves.

        ``born_ms`` names the life that ends, None the one that is known.
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
        """Mark those that have not renewed for long; tell if any is new.

        Only who hears the renewals can tell; others are told.
        """
        now_ms = self._clock.mono_ms()
        marked = False
        for found in self.entries.values():
            if (
                found.is_stale
                or now_ms - found.reported_ms <= RENEWAL_TIMEOUT_MS
            ):
                continue
            self.revision += 1
            found.is_stale = marked = True
            found.revision = self.revision
        return marked

    def is_stale(self, endpoint: ids.EndpointId) -> bool:
        """Tell whether an endpoint has not renewed for long."""
        found = self.entries.get(endpoint)
        return found is None or found.is_stale

    def registrations_since(self, revision: int) -> list[Registration]:
        """Return what changed after a revision, with its age."""
        return [
            self.with_age(found)
            for found in self.entries.values()
            if found.revision > revision
        ]

    def with_age(self, found: EndpointEntry) -> Registration:
        """Return a registration with its age of now."""
        age_ms = self._clock.mono_ms() - found.reported_ms
        return msgspec.structs.replace(
            found.registration, age_ms=max(age_ms, 0)
        )

    def evict_expired(self) -> None:
        """Drop what left or fell silent too long ago to matter.

        Age alone says nothing where only changes are heard.
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
    if (was.state, was.address, was.slots, was.service, was.leaving) != (
        said.state,
        said.address,
        said.slots,
        said.service,
        said.leaving,
    ):
        return True
    if was.ends_in_ms != said.ends_in_ms:
        return True
    moved_ms = reported_ms + said.warmup_left_ms - old.warm_ms
    cold = was.warmup_left_ms > 0 or said.warmup_left_ms > 0
    return cold and abs(moved_ms) > MIN_WARMUP_CHANGE_MS
