"""Clocks.  Times are integer nanoseconds since the Unix epoch and never decrease within one process."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Returns the current time in nanoseconds; later calls never return less."""

    def now_ns(self) -> int: ...


class SteadyClock:
    """Starts at the wall clock's time and advances with the monotonic clock.

    Schedulers compare the start times of nodes with each other, so they need a common epoch.  After that
    the monotonic clock counts, so that setting the wall clock does not move deadlines."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now_ns(self) -> int:
        return time.monotonic_ns() + self._offset


class ManualClock:
    """A clock that tests advance explicitly."""

    def __init__(self, start_ns: int = 0) -> None:
        self.value_ns = start_ns

    def now_ns(self) -> int:
        return self.value_ns

    def advance(self, span_ns: int) -> None:
        if span_ns < 0:
            raise ValueError("advance: the span must not be negative")
        self.value_ns += span_ns
