"""Places waiting set-ups in time slices, between which the event loop reads."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop
from ladderhub.platform.setup_queue import SetupQueue
from ladderhub.platform.task import Task

MS = 1_000_000
SLICE_NS = 5 * MS  # half of the time for which the loop reads in a round
# Unread data may contain the end of a task, which must be reported within 1 s.  So while there is unread data
# older than this, slices are at least MIN_SLICE_INTERVAL_NS apart.
MAX_UNREAD_NS = 150 * MS
MIN_SLICE_INTERVAL_NS = 60 * MS
MAX_WAITING_SETUPS = 4096


class Placer:
    """Calls `place` for one queued set-up at a time; the set-up no longer waits after that.

    `margin_ns`: a set-up can't be placed any more this long before its deadline."""

    def __init__(self, loop: Loop, margin_ns: int, place: Callable[[Task], None]) -> None:
        self._loop, self._place = loop, place
        self.get_unread_ns: Callable[[], int] = loop.unread_ns  # the age of the oldest unread data
        self._queue: SetupQueue[Task] = SetupQueue(margin_ns, MAX_WAITING_SETUPS)
        self._scheduled = False  # whether a slice is
        self._last_end_ns = 0  # when the last slice ended

    def count_waiting(self) -> int:
        """The number of set-ups that wait, and of some that no longer do."""
        return len(self._queue)

    def add(self, task: Task) -> bool:
        """Queue a task to be placed; False if too many wait."""
        if self._queue.is_full():
            return False
        self._queue.add(task.owner, task)
        self._schedule()
        return True

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run_slice)

    def _run_slice(self) -> None:
        """Place as many set-ups as fit into a time slice, but at least one."""
        self._scheduled = False
        now = self._loop.now_ns()
        if now < self._last_end_ns + MIN_SLICE_INTERVAL_NS and self.get_unread_ns() > MAX_UNREAD_NS:
            self._schedule()
            return
        until_ns = now + SLICE_NS
        while now < until_ns and (task := self._queue.take(now)) is not None:
            self._place(task)
            now = self._loop.now_ns()
        self._last_end_ns = now
        if len(self._queue):
            self._schedule()
