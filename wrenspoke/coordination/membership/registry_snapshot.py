"""Keep what a control host heard of endpoints over its own restart.

Endpoints renew every second or so. A control host that starts with an
empty registry leaves its region without most of its endpoints until then,
in the very second in which every caller comes back. What was known before
is believed until each has had the time to renew.
"""

import asyncio
import pathlib

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke import runtime
from wrenspoke.state import disk
from wrenspoke.state import errors
from wrenspoke.state import records
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

SNAPSHOT_FILE = 'endpoints'
# At most so often is a changed registry written.
SNAPSHOT_INTERVAL_MS = 1_000
# How long an endpoint that does not renew is believed after a start: two
# renewals of 1.2 s, the second of them late.
RESTORED_LEASE_MS = 3_000


class RegistrySnapshot:
    """Write a registry to a file of its own, and read it back."""

    def __init__(
        self,
        folder: pathlib.Path,
        endpoint_registry: registry.Registry,
        clock: clocks.Clock,
    ):
        self._disk = disk.Disk(folder)
        self._registry = endpoint_registry
        self._clock = clock
        self._written_revision = 0
        self._tasks = runtime.Tasks()

    def start(self) -> None:
        """Take over what was kept, and begin to write."""
        self._load()
        self._tasks.start(self._run())

    async def close(self) -> None:
        """End the task."""
        await self._tasks.close()

    def _load(self) -> None:
        try:
            found, _size = records.decode(
                SNAPSHOT_FILE, self._disk.read(SNAPSHOT_FILE) or b''
            )
            if not found:
                return
            registrations = msgspec.msgpack.decode(
                found[0].body, type=list[registry.Registration]
            )
        except (errors.StateError, msgspec.DecodeError) as error:
            # It only helps: endpoints renew.
            logger.warning('registry_not_read', reason=str(error))
            return
        age_ms = registry.RENEWAL_TIMEOUT_MS - RESTORED_LEASE_MS
        for registration in registrations:
            if registration.warmup_left_ms > 0:
                # For how long it is still cold is known once it renews.
                continue
            self._registry.merge_registration(
                msgspec.structs.replace(registration, age_ms=age_ms)
            )
        logger.info('registry_read', endpoints=len(registrations))

    async def _run(self) -> None:
        while True:
            await self._clock.sleep_ms(SNAPSHOT_INTERVAL_MS)
            revision = self._registry.revision
            if revision == self._written_revision:
                continue
            body = msgspec.msgpack.encode(
                self._registry.registrations_since(0)
            )
            try:
                # The disk may stall; answers go on meanwhile.
                await asyncio.to_thread(
                    self._disk.replace, SNAPSHOT_FILE, records.encode(body)
                )
                self._written_revision = revision
            except errors.DiskFullError:
                # The disk told so itself; the next look tries again.
                continue
            except errors.DiskError as error:
                logger.error('registry_not_kept', reason=str(error))
                return
