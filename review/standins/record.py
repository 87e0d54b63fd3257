"""The record of a run: what was sent, answered and run, with the time of each."""

from __future__ import annotations

import time
from pathlib import Path


def now() -> float:
    """The system's Unix clock, in seconds."""
    return time.time()


class Record:
    """Writes one line for each thing that happened; times are seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self.started = now()
        self._file = path.open("w")

    def line(self, who: str, text: str) -> None:
        self._file.write(f"{now() - self.started:8.3f}  {who:<10} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()
