"""Files in one folder that last once they are synced."""

import collections.abc
import contextlib
import os
import pathlib

from wrenspoke.state import errors

TEMPORARY = '.new'


class Disk:
    """Read and write files of one folder; a failed sync is final."""

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._broken: str | None = None
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._sync_folder(folder.parent)
        except OSError as error:
            raise errors.DiskError(f'{folder}: {error}') from error

    def check(self) -> None:
        """Refuse to go on after a failure.

        What a failed sync left on the disk is not known, so nothing may
        be acknowledged after it.

        :raises DiskError: a write or sync failed before
        """
        if self._broken is not None:
            raise errors.DiskError(self._broken)

    @contextlib.contextmanager
    def _writing(self, name: str) -> collections.abc.Iterator[None]:
        self.check()
        try:
            yield
        except OSError as error:
            self._broken = f'{name}: {error}'
            raise errors.DiskError(self._broken) from error

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if it is not there."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise errors.DiskError(f'{name}: {error}') from error

    def append(self, name: str, data: bytes) -> None:
        """Add to a file and sync it; a new file's name is synced too."""
        path = self._folder / name
        with self._writing(name):
            fresh = not path.exists()
            with open(path, 'ab') as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            if fresh:
                self._sync_folder(self._folder)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Cut a file to a size and sync it."""
        with self._writing(name):
            with open(self._folder / name, 'r+b') as file:
                file.truncate(size_bytes)
                file.flush()
                os.fsync(file.fileno())

    def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place of the old one, or change nothing."""
        path = self._folder / name
        temporary = path.with_name(name + TEMPORARY)
        with self._writing(name):
            with open(temporary, 'wb') as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(path)
            self._sync_folder(self._folder)

    def note(self, name: str, data: bytes) -> None:
        """Write a file that may be lost, without waiting for the disk."""
        with self._writing(name):
            (self._folder / name).write_bytes(data)

    def remove(self, name: str) -> None:
        """Remove a file, if it is there."""
        with self._writing(name):
            (self._folder / name).unlink(missing_ok=True)
            self._sync_folder(self._folder)

    def _sync_folder(self, folder: pathlib.Path) -> None:
        opened = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(opened)
        finally:
            os.close(opened)
