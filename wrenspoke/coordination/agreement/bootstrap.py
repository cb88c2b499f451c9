"""Begin a group: on one disk by command, or on all seeds together."""

import typing

import structlog

from wrenspoke import ids
from wrenspoke.state import configuration
from wrenspoke.state import entries
from wrenspoke.state import errors as state_errors
from wrenspoke.state import storage

logger = structlog.get_logger(__name__)


def bootstrap_single(
    kept: storage.Storage, host: ids.HostId, first: entries.Bootstrap
) -> None:
    """Begin a new group on an empty disk, with one voter.

    This is never part of a daemon's start: a host whose disk was lost
    would begin a second group beside its own.

    :raises InvalidChangeError: the disk holds a log already
    """
    if kept.last_index:
        raise state_errors.InvalidChangeError(
            f'{host} holds a log up to {kept.last_index} already'
        )
    kept.meta.term = 1
    kept.save_meta()
    voters = {host: kept.meta.incarnation}
    kept.append(
        [
            entries.LogEntry(1, 1, entries.SetVoters(voters, 'founding')),
            entries.LogEntry(2, 1, first),
        ]
    )


def bootstrap_seeds(
    kept: storage.Storage,
    host: ids.HostId,
    seeds: typing.Iterable[ids.HostId],
) -> None:
    """Begin a new group on the empty disks of all seeds.

    Each seed writes the same entries under names that all can tell
    beforehand, so that nobody has to be first. What says that this is
    the first start of all has to come from the platform: a host whose
    disk was lost must not do this again.
    """
    if host not in seeds or kept.last_index or kept.meta.boot:
        return
    voters = {seed: _bootstrap_incarnation(seed) for seed in sorted(seeds)}
    kept.meta.incarnation = voters[host]
    kept.meta.term = 1
    kept.save_meta()
    first = entries.Bootstrap(configuration.Configuration())
    kept.append(
        [
            entries.LogEntry(1, 1, entries.SetVoters(voters, 'founding')),
            entries.LogEntry(2, 1, first),
        ]
    )
    logger.info('founded', voters=list(voters))


def _bootstrap_incarnation(host: ids.HostId) -> ids.Incarnation:
    return ids.Incarnation(f'founding-{host}')
