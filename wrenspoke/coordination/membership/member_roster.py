"""Show the entry hosts of a deployment's file as a roster of those in use."""

from wrenspoke.coordination.membership import members
from wrenspoke import ids
from wrenspoke import settings


class MemberRoster:
    """Tell which hosts of a region this host would use."""

    def __init__(
        self, deployment: settings.Deployment, host_members: members.Members
    ):
        self._entries = deployment.with_role('entry')
        self._members = host_members

    @property
    def revision(self) -> frozenset[str]:
        """Return what differs once a host comes or goes."""
        return frozenset(
            entry.host
            for entry in self._entries
            if self._members.usable(ids.HostId(entry.host))
        )

    def usable(self, region: ids.RegionId) -> list[settings.HostSettings]:
        """Return the hosts of a region that others should use."""
        return [
            entry
            for entry in self._entries
            if entry.region == region
            and self._members.usable(ids.HostId(entry.host))
        ]
