"""Files that must last: whole or not at all, also over a loss of power."""

from __future__ import annotations

import os
from pathlib import Path


def write_lasting(path: Path, data: bytes) -> None:
    """Replace the file's content in one step, on disk when this returns; OSError where that fails."""
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
