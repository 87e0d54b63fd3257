"""Clocks.  Times are whole nanoseconds since the Unix epoch, and never go back within one process."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Gives the present moment in nanoseconds; later calls never give less."""

    def now_ns(self) -> int: ...


class SteadyClock:
    """The wall clock as it stood when made, carried on by the monotonic clock.

    Schedulers compare the start times of nodes with each other, so the zero point must be shared; the wall
    clock being set must not move a deadline, so the progress is monotonic."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now_ns(self) -> int:
        return time.monotonic_ns() + self._offset


class ManualClock:
    """A clock that tests step by hand."""

    def __init__(self, start_ns: int = 0) -> None:
        self.value_ns = start_ns

    def now_ns(self) -> int:
        return self.value_ns

    def advance(self, span_ns: int) -> None:
        if span_ns < 0:
            raise ValueError("advance: a clock never goes back")
        self.value_ns += span_ns
