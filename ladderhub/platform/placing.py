"""Places waiting set-ups in slices, between which the loop reads on."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop
from ladderhub.platform.setup_queue import SetupQueue
from ladderhub.platform.task import Task

MS = 1_000_000
SLICE_NS = 5 * MS  # half as long as a round of the loop reads
# What lies unread may be an end, which is owed within 1 s: past this age there is a slice only so often.
MAX_UNREAD_NS = 150 * MS
MIN_SLICE_INTERVAL_NS = 60 * MS
MAX_WAITING_SETUPS = 4096  # set-ups that may wait to be placed


class Placer:
    """`place` is called for one set-up at a time; it no longer waits after that.

    `margin_ns`: so long before the end of its time a set-up can't be placed any more."""

    def __init__(self, loop: Loop, margin_ns: int, place: Callable[[Task], None]) -> None:
        self._loop, self._place = loop, place
        self.get_unread_ns: Callable[[], int] = loop.unread_ns  # for how long what waits to be read may have
        self._queue: SetupQueue[Task] = SetupQueue(margin_ns, MAX_WAITING_SETUPS)
        self._scheduled = False  # a slice is
        self._last_end_ns = 0  # the last one

    def count_waiting(self) -> int:
        """Set-ups that wait, and some that no longer do."""
        return len(self._queue)

    def add(self, task: Task) -> bool:
        """Have it placed in its turn; False where too many wait."""
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
        """Place what fits into a slice, one set-up at least."""
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
