"""Which control hosts there are: seeds first, then all that speak."""

import collections.abc

import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids

logger = structlog.get_logger(__name__)

# Far longer than any stop or cut that a host comes back from.
CONTACT_TTL_MS = 60_000


class ControlGroup:
    """Know the other control hosts, on any daemon.

    Seeds only start it: they may change, be gone or be cut off. Hosts
    that were heard of are remembered for a while after they fall silent.
    """

    def __init__(
        self,
        host: ids.HostId,
        seeds: collections.abc.Iterable[ids.HostId],
        clock: clocks.Clock,
    ):
        self.host = host
        self._clock = clock
        self._seeds: list[ids.HostId] = []
        self._last_contact_ms: dict[ids.HostId, int] = {}
        self._created_ms = clock.mono_ms()
        self.reseed(seeds)

    def reseed(self, seeds: collections.abc.Iterable[ids.HostId]) -> None:
        """Take over what the settings name now."""
        self._seeds = [seed for seed in seeds if seed != self.host]

    def record_contact(self, host: ids.HostId) -> None:
        """Note that a control host spoke."""
        if host == self.host:
            return
        if host not in self._last_contact_ms:
            logger.info('control_host_found', peer=host)
        self._last_contact_ms[host] = self._clock.mono_ms()

    def add_contacts(
        self, hosts: collections.abc.Iterable[ids.HostId]
    ) -> None:
        """Note control hosts that another has heard lately."""
        for host in hosts:
            if host not in self._last_contact_ms:
                self.record_contact(host)

    def other_hosts(self) -> list[ids.HostId]:
        """Return every other control host that may be there."""
        self._expire_contacts()
        unheard = [
            host for host in self._seeds if host not in self._last_contact_ms
        ]
        return [*self._last_contact_ms, *unheard]

    def silence_ms(self, host: ids.HostId) -> int:
        """Return for how long a host was not heard, in this life at most."""
        heard_ms = self._last_contact_ms.get(host, self._created_ms)
        return self._clock.mono_ms() - heard_ms

    def seen_within(self, within_ms: int) -> list[ids.HostId]:
        """Return the control hosts that spoke within some time."""
        now_ms = self._clock.mono_ms()
        return [
            host
            for host, heard_ms in self._last_contact_ms.items()
            if now_ms - heard_ms <= within_ms
        ]

    def _expire_contacts(self) -> None:
        now_ms = self._clock.mono_ms()
        for host, heard_ms in list(self._last_contact_ms.items()):
            if now_ms - heard_ms > CONTACT_TTL_MS:
                del self._last_contact_ms[host]
                logger.info('control_host_forgotten', peer=host)
