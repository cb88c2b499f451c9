"""Present the entry hosts of a deployment file as a roster."""

from wrenspoke.coordination.membership import members
from wrenspoke import ids
from wrenspoke import settings


class MemberRoster:
    """Lists the hosts of a region that are usable from this host."""

    def __init__(
        self, deployment: settings.Deployment, host_members: members.Members
    ):
        self._entries = deployment.with_role('entry')
        self._members = host_members

    @property
    def revision(self) -> frozenset[str]:
        """Return a value that changes with the set of usable hosts."""
        return frozenset(
            entry.host
            for entry in self._entries
            if self._members.usable(ids.HostId(entry.host))
        )

    def usable(self, region: ids.RegionId) -> list[settings.HostSettings]:
        """Return the usable hosts of a region."""
        return [
            entry
            for entry in self._entries
            if entry.region == region
            and self._members.usable(ids.HostId(entry.host))
        ]
