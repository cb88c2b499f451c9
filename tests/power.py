"""Simulated loss of power: keeps what was synced of each data folder.

A file lasts with the content of its last sync, and a name lasts once its
folder was synced after it was made, renamed or removed.
"""

import os
import pathlib
import stat
import threading

from wrenspoke.state import disk
from wrenspoke.state import storage


class SyncedFiles:
    """Records what each sync makes durable, in place of ``os.fsync``."""

    def __init__(self, monkeypatch):
        self._sync = os.fsync
        self._lock = threading.Lock()
        self._contents = {}
        self._folders = {}
        monkeypatch.setattr(disk.os, 'fsync', self._record)

    def _record(self, number):
        self._sync(number)
        link = f'/proc/self/fd/{number}'
        found = os.fstat(number)
        with self._lock:
            if not stat.S_ISDIR(found.st_mode):
                self._contents[found.st_ino] = pathlib.Path(link).read_bytes()
                return
            self._folders[os.readlink(link)] = {
                entry.name: entry.inode() for entry in os.scandir(link)
            }

    def folder(self, path):
        """Return the files of a folder that a loss of power leaves now."""
        with self._lock:
            names = self._folders.get(str(path), {})
            return {
                name: self._contents[inode]
                for name, inode in names.items()
                if inode in self._contents and name != storage.COMMITTED
            }


def restore(path, files):
    """Replace the files of a folder, as after a loss of power."""
    for old in path.iterdir():
        old.unlink()
    for name, content in files.items():
        (path / name).write_bytes(content)
