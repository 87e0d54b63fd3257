"""Set-ups that were read and wait to be placed: whose turn comes next.

A placement takes far longer than reading its set-up.  So what is read is kept here and placed in slices,
between which the loop reads on: ends, answers and cancellations do not wait behind a crowd."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from typing import Generic, Protocol, TypeVar


class Waiting(Protocol):
    """A set-up, as the queue sees it."""

    until_ns: int  # when its answer is due at the latest

    def waits(self) -> bool:
        """Whether it is still to be placed."""


AnyWaiting = TypeVar("AnyWaiting", bound=Waiting)


class Intake(Generic[AnyWaiting]):
    """Callers have turns, so that a crowd from one does not hold up the others; in a caller's turn its oldest
    set-up is placed.  One whose time is nearly over goes before all: it still needs its answer.

    `margin_ns`: so long before the end of its time a set-up can't be placed any more.  `most`: set-ups that
    may wait."""

    def __init__(self, margin_ns: int, most: int) -> None:
        self._margin_ns, self._most = margin_ns, most
        self._by_caller: OrderedDict[object, deque[AnyWaiting]] = OrderedDict()
        self._by_end: list[tuple[int, int, AnyWaiting]] = []
        self._count = 0  # of all that ever came: tells those with one end apart
        self._size = 0  # with those that have gone meanwhile

    def __len__(self) -> int:
        """Set-ups that wait, and some that no longer do."""
        return self._size

    def full(self) -> bool:
        """Whether no more may be added: what comes now has to be refused."""
        return self._size >= self._most

    def add(self, caller: object, each: AnyWaiting) -> None:
        """Queue a set-up of this caller."""
        self._by_caller.setdefault(caller, deque()).append(each)
        self._count += 1
        self._size += 1
        heapq.heappush(self._by_end, (each.until_ns, self._count, each))

    def take(self, now_ns: int) -> AnyWaiting | None:
        """The set-up whose turn it is; it must no longer wait when this is called again."""
        while self._by_end and not self._by_end[0][2].waits():
            heapq.heappop(self._by_end)
        if self._by_end and self._by_end[0][0] - self._margin_ns <= now_ns:
            return self._by_end[0][2]
        while self._by_caller:
            caller, queue = next(iter(self._by_caller.items()))
            self._by_caller.move_to_end(caller)
            while queue:
                self._size -= 1
                each = queue.popleft()
                if each.waits():
                    return each
            del self._by_caller[caller]
        self._by_end.clear()
        return None
