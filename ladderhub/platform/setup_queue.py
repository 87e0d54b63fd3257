"""The queue of set-ups that were read and wait to be placed.

Placing a set-up takes far longer than reading it.  So set-ups are queued here and placed in time slices, and
the event loop reads between the slices: task ends, answers and cancellations do not wait for a burst of
set-ups to be placed."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from typing import Generic, Protocol, TypeVar


class QueuedSetup(Protocol):
    """The interface of a set-up that the queue uses."""

    until_ns: int  # the deadline for its answer

    def is_waiting(self) -> bool:
        """Whether it still has to be placed."""


AnySetup = TypeVar("AnySetup", bound=QueuedSetup)


class SetupQueue(Generic[AnySetup]):
    """Serves callers round-robin, so that many set-ups of one caller do not delay the others; each caller's
    set-ups are taken oldest first.  A set-up close to its deadline comes before all others, as it still needs
    an answer.

    `margin_ns`: a set-up can't be placed any more this long before its deadline.  `max_size`: how many
    set-ups may wait."""

    def __init__(self, margin_ns: int, max_size: int) -> None:
        self._margin_ns, self._max_size = margin_ns, max_size
        self._by_caller: OrderedDict[object, deque[AnySetup]] = OrderedDict()
        self._by_deadline: list[tuple[int, int, AnySetup]] = []
        self._added_count = 0  # of all time; orders set-ups with the same deadline
        self._size = 0  # includes set-ups that no longer wait

    def __len__(self) -> int:
        """The number of set-ups that wait, and of some that no longer do."""
        return self._size

    def is_full(self) -> bool:
        """Whether no more may be added, so that new set-ups must be refused."""
        return self._size >= self._max_size

    def add(self, caller: object, setup: AnySetup) -> None:
        """Add a set-up of this caller."""
        self._by_caller.setdefault(caller, deque()).append(setup)
        self._added_count += 1
        self._size += 1
        heapq.heappush(self._by_deadline, (setup.until_ns, self._added_count, setup))

    def take(self, now_ns: int) -> AnySetup | None:
        """The next set-up to place; it must no longer be waiting when this is called again."""
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
