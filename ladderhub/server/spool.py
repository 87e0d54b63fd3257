"""Files of the spool folder: replaced atomically, also over a loss of power; and the lock of the folder."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from ladderhub.errors import LadderhubError
from ladderhub.pbs import names


class SpoolError(LadderhubError):
    """A file of the spool folder can't be read as an earlier life wrote it."""

    status, code = 1, names.SYSTEM
    remedy = "put the file back from a copy, or move the spool folder away and start without what it held"


class SpoolLocked(SpoolError):
    """Another process has locked the folder; the message names it."""

    remedy = "end that process, or give this scheduler a spool folder of its own"


class SpoolLock:
    """Lock of a spool folder: two daemons on one would assign job numbers twice and run services twice.

    The kernel releases it when the process ends for any reason."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / "lock"
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.read(self._file, 32).decode("ascii", "replace").strip() or "unknown"
            self.close()
            raise SpoolLocked(f"{folder} is held by the running process {holder}") from None
        os.ftruncate(self._file, 0)
        os.pwrite(self._file, f"{os.getpid()}\n".encode(), 0)

    def close(self) -> None:
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def write_durably(path: Path, data: bytes) -> None:
    """Replace the file atomically; its content is on disk on return.  OSError if that fails."""
    fresh = path.with_suffix(".new")
    with open(fresh, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
