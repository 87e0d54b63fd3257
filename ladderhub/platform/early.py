"""Ends that a machine tells before the task is handed over to this scheduler."""

from __future__ import annotations

from itertools import islice

from ladderhub.platform.liveness import OVER_NS

EARLY_MOST = 16_384  # ends kept for all machines together; the oldest go first


class Early:
    """Releases of tasks that nobody here looks after, by machine and task, while their owners may be told."""

    def __init__(self) -> None:
        self._ends: dict[tuple[str, str], tuple[int, int | None, str | None]] = {}

    def add(self, now: int, machine: str, id: str, cause: int | None, note: str | None) -> None:
        # Two of the oldest may go for each that comes, so that it empties by itself.
        for key, (at, _, _) in list(islice(self._ends.items(), 2)):
            if now - at > OVER_NS or len(self._ends) >= EARLY_MOST:
                del self._ends[key]
        self._ends[machine, id] = (now, cause, note)

    def take(self, now: int, machine: str, id: str) -> tuple[int | None, str | None] | None:
        """Cause and note, where its end was told."""
        at, cause, note = self._ends.pop((machine, id), (now - OVER_NS, None, None))
        return (cause, note) if now - at < OVER_NS else None
