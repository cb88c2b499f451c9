"""Bootstrap of a control group, on one disk or on all seeds together."""

import typing

import structlog

from wrenspoke import ids
from wrenspoke.state import configuration
from wrenspoke.state import entries
from wrenspoke.state import errors as state_errors
from wrenspoke.state import storage

logger = structlog.get_logger(__name__)


def bootstrap_single(
    store: storage.Storage, host: ids.HostId, first_entry: entries.Bootstrap
) -> None:
    """Bootstrap a new group on an empty disk, with one voter.

    A daemon must never call this at its start: a host that lost its disk
    would bootstrap a second group beside the existing one.

    :raises InvalidChangeError: the disk already holds a log
    """
    if store.last_index:
        raise state_errors.InvalidChangeError(
            f'disk of {host} is not empty: last index {store.last_index}'
        )
    store.meta.term = 1
    store.save_meta()
    voters = {host: store.meta.incarnation}
    store.append(
        [
            entries.LogEntry(1, 1, entries.SetVoters(voters, 'founding')),
            entries.LogEntry(2, 1, first_entry),
        ]
    )


def bootstrap_seeds(
    store: storage.Storage,
    host: ids.HostId,
    seeds: typing.Iterable[ids.HostId],
) -> None:
    """Bootstrap a new group on the empty disks of all seeds.

    Each seed writes the same entries, with incarnations derived from the
    host names, so that no seed has to start first. Does nothing on other
    hosts or on a disk that was used before. The caller must know that this
    is the first start of the group: a host that lost its disk must not
    bootstrap again.
    """
    if host not in seeds or store.last_index or store.meta.boot:
        return
    voters = {seed: _bootstrap_incarnation(seed) for seed in sorted(seeds)}
    store.meta.incarnation = voters[host]
    store.meta.term = 1
    store.save_meta()
    first_entry = entries.Bootstrap(configuration.Configuration())
    store.append(
        [
            entries.LogEntry(1, 1, entries.SetVoters(voters, 'founding')),
            entries.LogEntry(2, 1, first_entry),
        ]
    )
    logger.info('founded', voters=list(voters))


def _bootstrap_incarnation(host: ids.HostId) -> ids.Incarnation:
    return ids.Incarnation(f'founding-{host}')
