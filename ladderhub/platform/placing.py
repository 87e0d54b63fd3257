"""Places waiting set-ups in slices, between which the loop reads on."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop
from ladderhub.platform.intake import Intake
from ladderhub.platform.task import Task

MS = 1_000_000
SLICE_NS = 5 * MS  # half as long as a round of the loop reads
# What lies unread may be an end, which is owed within 1 s: past this age there is a slice only so often.
UNREAD_MOST_NS = 150 * MS
BEHIND_NS = 60 * MS
WAITING_MOST = 4096  # set-ups that may wait to be placed


class Placing:
    """`place` is called for one set-up at a time; it no longer waits after that.

    `margin_ns`: so long before the end of its time a set-up can't be placed any more."""

    def __init__(self, loop: Loop, margin_ns: int, place: Callable[[Task], None]) -> None:
        self._loop, self._place = loop, place
        self.unread_ns: Callable[[], int] = loop.unread_ns  # for how long what waits to be read may have
        self._intake: Intake[Task] = Intake(margin_ns, WAITING_MOST)
        self._due = False  # a slice is
        self._ended_ns = 0  # the last one

    def waiting(self) -> int:
        """Set-ups that wait, and some that no longer do."""
        return len(self._intake)

    def add(self, task: Task) -> bool:
        """Have it placed in its turn; False where too many wait."""
        if self._intake.full():
            return False
        self._intake.add(task.line, task)
        self._soon()
        return True

    def _soon(self) -> None:
        if not self._due:
            self._due = True
            self._loop.call_soon(self._slice)

    def _slice(self) -> None:
        """Place what fits into a slice, one set-up at least."""
        self._due = False
        now = self._loop.now_ns()
        if now < self._ended_ns + BEHIND_NS and self.unread_ns() > UNREAD_MOST_NS:
            self._soon()
            return
        until_ns = now + SLICE_NS
        while now < until_ns and (task := self._intake.take(now)) is not None:
            self._place(task)
            now = self._loop.now_ns()
        self._ended_ns = now
        if len(self._intake):
            self._soon()
