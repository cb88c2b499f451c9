"""Log of the endpoints that leave, synced before a leave is acknowledged.

The snapshot of the registry is written at most once a second, and an endpoint
that has deregistered renews no more. Without the log, hosts that lost power
would restore it as ready.
"""

import asyncio
import collections.abc

import msgspec
import structlog

from wrenspoke import runtime
from wrenspoke.state import disk
from wrenspoke.state import errors
from wrenspoke.state import records
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

LOG_FILE = 'leaves'


class LeaveLog:
    """Appends leaves to a file; those of one write share its sync.

    Without a disk every leave counts as saved.
    """

    def __init__(
        self,
        opened: disk.Disk | None,
        endpoint_registry: registry.Registry,
    ):
        self._disk = opened
        self._registry = endpoint_registry
        self._saved_revision = 0
        self._size_bytes = 0
        # The write that is under way; its result is whether it succeeded.
        self._write_task: asyncio.Task[bool] | None = None
        self._failed = False
        self._tasks = runtime.Tasks()

    @property
    def saved_revision(self) -> int:
        """Return the revision up to which all leaves are synced."""
        if self._disk is None:
            return self._registry.revision
        return self._saved_revision

    async def close(self) -> None:
        """Cancel the write that is under way."""
        await self._tasks.close()

    def restore(self, age_ms: int) -> None:
        """Merge the leaves in the file as if they were ``age_ms`` old."""
        if self._disk is None:
            return
        try:
            data = self._disk.read(LOG_FILE) or b''
            found, self._size_bytes = records.decode(LOG_FILE, data)
            if self._size_bytes < len(data):
                self._disk.truncate(LOG_FILE, self._size_bytes)
            for record in found:
                self._merge(record, age_ms)
        except (errors.StateError, msgspec.DecodeError) as error:
            logger.warning('leave_log_unreadable', reason=str(error))

    def _merge(self, record: records.Record, age_ms: int) -> None:
        leaves = msgspec.msgpack.decode(
            record.body, type=list[registry.Registration]
        )
        for leave in leaves:
            self._registry.merge_registration(
                msgspec.structs.replace(leave, age_ms=age_ms)
            )

    async def save(self) -> bool:
        """Wait until the leaves that are known now are synced.

        Return False if they can't be written.
        """
        wanted_revision = self._registry.revision
        while self.saved_revision < wanted_revision:
            if self._write_task is None:
                if not self._unsaved_leaves():
                    self._saved_revision = self._registry.revision
                    return True
                self._write_task = self._tasks.start(self._append())
            if not await asyncio.shield(self._write_task):
                return False
        return True

    def on_snapshot(self, revision: int) -> None:
        """Empty the file if a synced snapshot covers all that is in it."""
        if self._write_task is not None or not self._size_bytes:
            return
        if revision >= self._saved_revision:
            self._write_task = self._tasks.start(self._empty())

    def _unsaved_leaves(self) -> list[registry.Registration]:
        return [
            found
            for found in self._registry.registrations_since(
                self._saved_revision
            )
            if found.state is not registry.RegistrationState.READY
        ]

    async def _append(self) -> bool:
        revision = self._registry.revision
        body = msgspec.msgpack.encode(self._unsaved_leaves())
        record = records.encode(body)
        if not await self._run_write(self._disk.append, LOG_FILE, record):
            return False
        self._size_bytes += len(record)
        self._saved_revision = revision
        return True

    async def _empty(self) -> bool:
        if not await self._run_write(self._disk.truncate, LOG_FILE, 0):
            return False
        self._size_bytes = 0
        return True

    async def _run_write(
        self, write: collections.abc.Callable, *arguments: str | bytes | int
    ) -> bool:
        """Run a write in a thread, as a disk may stall."""
        try:
            await asyncio.to_thread(write, *arguments)
        except errors.DiskFullError:
            # Logged by the disk; the next leave retries.
            return False
        except errors.DiskError as error:
            if not self._failed:
                self._failed = True
                logger.error('leave_log_failed', reason=str(error))
            return False
        finally:
            self._write_task = None
        return True
