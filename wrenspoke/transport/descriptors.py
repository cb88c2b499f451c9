"""Division of a process's descriptors between links and other connections.

Without a free descriptor a process can neither accept nor open connections.
Links to other hosts are few, and everything depends on them, so that other
connections leave a part of the descriptors to them.
"""

import collections.abc
import resource

# Shares of all descriptors. Each accepted request needs a connection of its
# own to an endpoint or host, so that fewer are accepted than opened.
CONNECTIONS_SHARE = 0.8
ACCEPTED_SHARE = 0.35


class DescriptorBudget:
    """Tells how many connections of which kind a process may have."""

    def __init__(self, limit: int | None = None):
        self.limit, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if limit is not None:
            self.limit = min(self.limit, limit)
        self._links: Count = int
        self._accepted: dict[str, Count] = {}
        self._opened: dict[str, Count] = {}

    def add_accepted(self, use: str, count: 'Count') -> None:
        """Count the connections that a server has accepted for a use."""
        self._accepted[use] = count

    def add_opened(self, use: str, count: 'Count') -> None:
        """Count the connections that a client has opened for a use."""
        self._opened[use] = count

    def set_links(self, count: 'Count') -> None:
        """Count the descriptors of links."""
        self._links = count

    def counts(self) -> dict[str, int]:
        """Return the descriptors in use by what they are for."""
        connections = self._accepted | self._opened
        return {
            'links': self._links(),
            **{use: count() for use, count in connections.items()},
        }

    def may_open(self) -> bool:
        """Return whether another connection may be opened."""
        accepted = _sum(self._accepted)
        return accepted + _sum(self._opened) < CONNECTIONS_SHARE * self.limit

    def has_accepted_too_many(self) -> bool:
        """Return whether an accepted connection has to be closed."""
        accepted = _sum(self._accepted)
        connections = accepted + _sum(self._opened)
        return (
            accepted > ACCEPTED_SHARE * self.limit
            or connections > CONNECTIONS_SHARE * self.limit
        )


Count = collections.abc.Callable[[], int]


def _sum(counts: dict[str, Count]) -> int:
    return sum(count() for count in counts.values())
