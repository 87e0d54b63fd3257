"""Ends of tasks that arrive before the task is handed over to this scheduler, perhaps again."""

from __future__ import annotations

from collections.abc import Hashable
from itertools import islice
from typing import Generic, TypeVar

from ladderhub.platform.liveness import RELEASE_DEADLINE_NS

MAX_EARLY_ENDS = 16_384  # ends kept in all; the oldest are dropped first

Key = TypeVar("Key", bound=Hashable)
Ending = TypeVar("Ending")


class EarlyEnds(Generic[Key, Ending]):
    """Ends of tasks that this scheduler does not hold, or no longer, kept while their owners may still hand
    the tasks over."""

    def __init__(self) -> None:
        self._ends: dict[Key, tuple[int, Ending]] = {}

    def add(self, now_ns: int, key: Key, ending: Ending) -> None:
        """Keep an end for as long as it may still be reported."""
        # Each call drops up to two of the oldest entries, so expired ones are removed without a timer.
        for old, (at_ns, _) in list(islice(self._ends.items(), 2)):
            if now_ns - at_ns > RELEASE_DEADLINE_NS or len(self._ends) >= MAX_EARLY_ENDS:
                del self._ends[old]
        self._ends[key] = (now_ns, ending)

    def take(self, now_ns: int, key: Key) -> Ending | None:
        """Remove and return the end received for this task, if there is one that has not expired."""
        kept = self._ends.pop(key, None)
        if kept is None:
            return None
        at_ns, ending = kept
        return ending if now_ns - at_ns < RELEASE_DEADLINE_NS else None
