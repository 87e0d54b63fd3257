"""Set-ups that were read and wait to be placed: whose turn comes next.

A placement takes far longer than reading its set-up.  So what is read is kept here and placed in slices,
between which the loop reads on: ends, answers and cancellations do not wait behind a crowd."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from typing import Generic, Protocol, TypeVar


class QueuedSetup(Protocol):
    """A set-up, as the queue sees it."""

    until_ns: int  # when its answer is due at the latest

    def is_waiting(self) -> bool:
        """Whether it is still to be placed."""


AnySetup = TypeVar("AnySetup", bound=QueuedSetup)


class SetupQueue(Generic[AnySetup]):
    """Callers have turns, so that a crowd from one does not hold up the others; in a caller's turn its oldest
    set-up is placed.  One whose time is nearly over goes before all: it still needs its answer.

    `margin_ns`: so long before the end of its time a set-up can't be placed any more.  `most`: set-ups that
    may wait."""

    def __init__(self, margin_ns: int, max_size: int) -> None:
        self._margin_ns, self._max_size = margin_ns, max_size
        self._by_caller: OrderedDict[object, deque[AnySetup]] = OrderedDict()
        self._by_deadline: list[tuple[int, int, AnySetup]] = []
        self._added_count = 0  # of all that ever came: tells those with one end apart
        self._size = 0  # with those that have gone meanwhile

    def __len__(self) -> int:
        """Set-ups that wait, and some that no longer do."""
        return self._size

    def is_full(self) -> bool:
        """Whether no more may be added: what comes now has to be refused."""
        return self._size >= self._max_size

    def add(self, caller: object, setup: AnySetup) -> None:
        """Queue a set-up of this caller."""
        self._by_caller.setdefault(caller, deque()).append(setup)
        self._added_count += 1
        self._size += 1
        heapq.heappush(self._by_deadline, (setup.until_ns, self._added_count, setup))

    def take(self, now_ns: int) -> AnySetup | None:
        """The set-up whose turn it is; it must no longer wait when this is called again."""
        while self._by_deadline and not self._by_deadline[0][2].is_waiting():
            heapq.heappop(self._by_deadline)
        if self._by_deadline and self._by_deadline[0][0] - self._margin_ns <= now_ns:
            return self._by_deadline[0][2]
        while self._by_caller:
            caller, queue = next(iter(self._by_caller.items()))
            self._by_caller.move_to_end(caller)
            while queue:
                self._size -= 1
                setup = queue.popleft()
                if setup.is_waiting():
                    return setup
            del self._by_caller[caller]
        self._by_deadline.clear()
        return None
