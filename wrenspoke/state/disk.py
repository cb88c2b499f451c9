"""Durable files in one directory.

A write that runs out of disk space is rolled back and may be retried once
there is space. Any other failed write or sync is permanent.
"""

import collections.abc
import contextlib
import errno
import os
import pathlib
import typing

import structlog

from wrenspoke.state import errors

logger = structlog.get_logger(__name__)

TEMPORARY_SUFFIX = '.new'
NO_SPACE_ERRNOS = frozenset([errno.ENOSPC, errno.EDQUOT])


class Disk:
    """Reads and writes files of one directory.

    After a failed write or sync all further writes are rejected.
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._failure: str | None = None
        self._full = False
        try:
            if not folder.is_dir():
                folder.mkdir(parents=True, exist_ok=True)
                self._sync_folder(folder.parent)
        except OSError as error:
            raise errors.DiskError(f'{folder}: {error}') from error

    def check(self) -> None:
        """Raise an error if an earlier write or sync failed.

        After a failed sync the state on disk is undefined, so nothing may
        be acknowledged any more.

        :raises DiskError: a write or sync failed before
        """
        if self._failure is not None:
            raise errors.DiskError(self._failure)

    @contextlib.contextmanager
    def _fail_on_error(self, name: str) -> collections.abc.Iterator[None]:
        self.check()
        try:
            yield
        except OSError as error:
            self._failure = f'{name}: {error}'
            raise errors.DiskError(self._failure) from error
        if self._full:
            self._full = False
            logger.info('disk_has_room', file=name)

    @contextlib.contextmanager
    def _roll_back_if_full(
        self, name: str, undo: collections.abc.Callable[[], None]
    ) -> collections.abc.Iterator[None]:
        """Call ``undo`` if a write runs out of disk space.

        :raises DiskFullError: no space; the files are unchanged
        """
        try:
            yield
        except OSError as error:
            if error.errno not in NO_SPACE_ERRNOS:
                raise
            undo()
            if not self._full:
                self._full = True
                logger.error('disk_full', file=name, reason=str(error))
            raise errors.DiskFullError(f'{name}: {error}') from error

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise errors.DiskError(f'{name}: {error}') from error

    def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it; sync the directory if it is new."""
        path = self._folder / name
        with self._fail_on_error(name):
            is_new = not path.exists()
            size_bytes = 0 if is_new else path.stat().st_size

            def undo() -> None:
                if is_new:
                    path.unlink(missing_ok=True)
                else:
                    os.truncate(path, size_bytes)

            with (
                self._roll_back_if_full(name, undo),
                open(path, 'ab') as file,
            ):
                _write_and_sync(file, data)
            if is_new:
                self._sync_folder(self._folder)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to a size in bytes and sync it."""
        with self._fail_on_error(name):
            with open(self._folder / name, 'r+b') as file:
                file.truncate(size_bytes)
                file.flush()
                os.fsync(file.fileno())

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it."""
        path = self._folder / name
        temporary = path.with_name(name + TEMPORARY_SUFFIX)
        with self._fail_on_error(name):

            def undo() -> None:
                temporary.unlink(missing_ok=True)

            with (
                self._roll_back_if_full(name, undo),
                open(temporary, 'wb') as file,
            ):
                _write_and_sync(file, data)
            temporary.replace(path)
            self._sync_folder(self._folder)

    def write_unsynced(self, name: str, data: bytes) -> None:
        """Write a file without syncing it; failures are only logged."""
        self.check()
        try:
            (self._folder / name).write_bytes(data)
        except OSError as error:
            logger.warning(
                'unsynced_write_failed', file=name, reason=str(error)
            )

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        with self._fail_on_error(name):
            (self._folder / name).unlink(missing_ok=True)
            self._sync_folder(self._folder)

    def _sync_folder(self, folder: pathlib.Path) -> None:
        opened = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(opened)
        finally:
            os.close(opened)


def _write_and_sync(file: typing.BinaryIO, data: bytes) -> None:
    file.write(data)
    file.flush()
    os.fsync(file.fileno())
