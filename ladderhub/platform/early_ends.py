"""Ends that are told before the task is handed over to this scheduler."""

from __future__ import annotations

from collections.abc import Hashable
from itertools import islice
from typing import Generic, TypeVar

from ladderhub.platform.liveness import RELEASE_DEADLINE_NS

MAX_EARLY_ENDS = 16_384  # ends kept in all; the oldest go first

Key = TypeVar("Key", bound=Hashable)
Ending = TypeVar("Ending")


class EarlyEnds(Generic[Key, Ending]):
    """Ends of tasks that nobody here looks after, while their owners may be told."""

    def __init__(self) -> None:
        self._ends: dict[Key, tuple[int, Ending]] = {}

    def add(self, now_ns: int, key: Key, ending: Ending) -> None:
        """Keep it for as long as an end may still be told."""
        # Two of the oldest may go for each that comes, so that it empties by itself.
        for old, (at_ns, _) in list(islice(self._ends.items(), 2)):
            if now_ns - at_ns > RELEASE_DEADLINE_NS or len(self._ends) >= MAX_EARLY_ENDS:
                del self._ends[old]
        self._ends[key] = (now_ns, ending)

    def take(self, now_ns: int, key: Key) -> Ending | None:
        """The end that was told of this task, if one was."""
        kept = self._ends.pop(key, None)
        if kept is None:
            return None
        at_ns, ending = kept
        return ending if now_ns - at_ns < RELEASE_DEADLINE_NS else None
