"""Processor time by cause: measured around entry points with the thread's processor clock, not sampled."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import ParamSpec, TypeVar

P = ParamSpec("P")
R = TypeVar("R")
NS_PER_SECOND = 1_000_000_000


class Cause(StrEnum):
    """The kind of work that processor time is spent on."""

    JOBS = "jobs"  # requests of clients, decisions on jobs, offers to nodes, answers
    LISTS = "lists"  # node lists from the directory
    PEERS = "peers"  # membership and leases
    CONFIGURATION = "configuration"  # changes of settings
    LOG_METRICS = "log_metrics"
    OTHER = "other"  # the rest: start, waiting for descriptors, the garbage collector between callbacks


class ProcessorTime:
    """Measures the processor time of one thread by cause.

    Sections nest: the time of an inner section counts for its own cause and not for the outer one.  Entering
    a section of the current cause doesn't read the clock."""

    def __init__(
        self,
        thread_ns: Callable[[], int] = time.thread_time_ns,
        process_ns: Callable[[], int] = time.process_time_ns,
    ) -> None:
        self._thread_ns, self._process_ns = thread_ns, process_ns
        self._spent: dict[Cause, int] = {cause: 0 for cause in Cause}
        self._since_ns = thread_ns()
        self.cause = Cause.OTHER

    def switch(self, cause: Cause) -> Cause:
        """Count time for this cause from now on; return the previous cause, to switch back to."""
        previous = self.cause
        if cause is not previous:
            now = self._thread_ns()
            self._spent[previous] += now - self._since_ns
            self._since_ns, self.cause = now, cause
        return previous

    def run(self, cause: Cause, call: Callable[P, R], /, *args: P.args, **options: P.kwargs) -> R:
        """Call the function within a section of this cause."""
        previous = self.switch(cause)
        try:
            return call(*args, **options)
        finally:
            self.switch(previous)

    def bind(self, cause: Cause, call: Callable[P, R]) -> Callable[P, R]:
        """Return a function that makes the call within a section of this cause."""

        def bound_call(*args: P.args, **options: P.kwargs) -> R:
            return self.run(cause, call, *args, **options)

        return bound_call

    @contextmanager
    def section(self, cause: Cause) -> Iterator[None]:
        """Count the time inside the context for this cause."""
        previous = self.switch(cause)
        try:
            yield
        finally:
            self.switch(previous)

    def seconds(self) -> dict[Cause, float]:
        """Return the seconds spent by cause up to now.

        Their sum is the processor time of the process: time outside of all sections counts as OTHER."""
        now = self._thread_ns()
        self._spent[self.cause] += now - self._since_ns
        self._since_ns = now
        spent = self._spent.copy()
        named = sum(spent.values()) - spent[Cause.OTHER]
        spent[Cause.OTHER] = max(0, self._process_ns() - named)
        return {cause: value / NS_PER_SECOND for cause, value in spent.items()}
