"""Decides whether one more set-up may be held in memory, so that no owner takes what the others need.

The rule is that of dynamic thresholds for shared buffers (Choudhury and Hahne, 1998): an owner may hold as
much as is still free.  One that sends without end so gets half of the memory, and those that hold little
are served as long as anything is left.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

MB = 1_000_000
PROCESS_BYTES = 24 * MB  # the interpreter, the program and a list of machines
HELD_SHARE_DIVISOR = 2  # the rest of the memory is for buffers, and for what the interpreter frees late
MIN_HELD_BYTES = 8 * MB
UNLIMITED = 1 << 62

AnyOwner = TypeVar("AnyOwner", bound=Hashable)


def get_held_limit(memory_bytes: int) -> int:
    """How many bytes may be held of a process's limit; 0 stands for no limit."""
    if not memory_bytes:
        return UNLIMITED
    return max(MIN_HELD_BYTES, (memory_bytes - PROCESS_BYTES) // HELD_SHARE_DIVISOR)


class MemoryBudget(Generic[AnyOwner]):
    """The bytes that are held for each owner, as estimated by the caller."""

    def __init__(self, max_bytes: int = UNLIMITED) -> None:
        self._max_bytes = max_bytes
        self._by_owner: dict[AnyOwner, int] = {}
        self.total = 0

    def may_hold(self, owner: AnyOwner, size: int) -> bool:
        """Whether so many more bytes may be held for this owner."""
        free = self._max_bytes - self.total
        return self._by_owner.get(owner, 0) + size <= free

    def add(self, owner: AnyOwner, size: int) -> None:
        """Hold so many bytes for this owner."""
        self._by_owner[owner] = self._by_owner.get(owner, 0) + size
        self.total += size

    def remove(self, owner: AnyOwner, size: int) -> None:
        """Hold so many bytes less for this owner."""
        self._by_owner[owner] -= size
        self.total -= size
        if not self._by_owner[owner]:
            del self._by_owner[owner]
