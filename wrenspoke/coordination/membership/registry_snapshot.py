"""Snapshot of the endpoint registry, restored when a control host restarts.

Endpoints renew about once a second. With an empty registry, a control host
that starts would leave its region without most endpoints until then, just
when all callers reconnect. Restored entries are valid until each endpoint
has had time to renew.
"""

import asyncio

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import leave_log
from wrenspoke import runtime
from wrenspoke.state import disk
from wrenspoke.state import errors
from wrenspoke.state import records
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

SNAPSHOT_FILE = 'endpoints'
# Minimum time between two writes.
SNAPSHOT_INTERVAL_MS = 1_000
# How long a restored endpoint stays valid without a renewal: two renewals
# of 1.2 s, the second of them delayed.
RESTORED_LEASE_MS = 3_000
RESTORED_AGE_MS = registry.RENEWAL_TIMEOUT_MS - RESTORED_LEASE_MS


class RegistrySnapshot:
    """Writes a registry to a file of its own, and restores it."""

    def __init__(
        self,
        opened: disk.Disk,
        endpoint_registry: registry.Registry,
        leaves: leave_log.LeaveLog,
        clock: clocks.Clock,
    ):
        self._disk = opened
        self._registry = endpoint_registry
        self._leaves = leaves
        self._clock = clock
        self._written_revision = 0
        self._tasks = runtime.Tasks()

    def start(self) -> None:
        """Restore the snapshot, and start writing new ones."""
        self._load()
        self._leaves.restore(RESTORED_AGE_MS)
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Cancel the writing task."""
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
            # The snapshot is optional: endpoints renew.
            logger.warning('registry_snapshot_unreadable', reason=str(error))
            return
        for registration in registrations:
            ready = registration.state is registry.RegistrationState.READY
            if ready and registration.warmup_left_ms > 0:
                # The remaining warm-up is unknown until the endpoint renews.
                continue
            self._registry.merge_registration(
                msgspec.structs.replace(registration, age_ms=RESTORED_AGE_MS)
            )
        logger.info('registry_snapshot_restored', endpoints=len(registrations))

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
                # A stalled disk must not block the event loop.
                await asyncio.to_thread(
                    self._disk.replace, SNAPSHOT_FILE, records.encode(body)
                )
                self._written_revision = revision
                self._leaves.on_snapshot(revision)
            except errors.DiskFullError:
                # Logged by the disk; the next interval retries.
                continue
            except errors.DiskError as error:
                logger.error('registry_snapshot_failed', reason=str(error))
                return
