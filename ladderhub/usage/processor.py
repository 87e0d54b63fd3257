"""Processor time by cause: measured around entry points with the thread's processor clock, never sampled."""

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
    """What processor time is spent on."""

    JOBS = "jobs"  # requests of clients, decisions on jobs, offers to nodes, answers
    LISTS = "lists"  # what the directory tells
    PEERS = "peers"  # membership and leases
    CONFIGURATION = "configuration"  # changes of settings
    LOG_METRICS = "log_metrics"
    OTHER = "other"  # the rest: start, waiting for descriptors, the garbage collector between callbacks


class ProcessorTime:
    """The account of one thread.

    Sections nest: while an inner one runs, its time is its own cause's and not the outer one's.  Entering a
    section of the present cause costs no reading of the clock."""

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
        """From here on time is this cause's; the one before, to be switched back to."""
        before = self.cause
        if cause is not before:
            now = self._thread_ns()
            self._spent[before] += now - self._since_ns
            self._since_ns, self.cause = now, cause
        return before

    def run(self, cause: Cause, call: Callable[P, R], /, *args: P.args, **options: P.kwargs) -> R:
        """Call within a section of this cause."""
        before = self.switch(cause)
        try:
            return call(*args, **options)
        finally:
            self.switch(before)

    def bind(self, cause: Cause, call: Callable[P, R]) -> Callable[P, R]:
        """The call, always within a section of this cause."""

        def bound_call(*args: P.args, **options: P.kwargs) -> R:
            return self.run(cause, call, *args, **options)

        return bound_call

    @contextmanager
    def section(self, cause: Cause) -> Iterator[None]:
        """What is done inside is of this cause."""
        before = self.switch(cause)
        try:
            yield
        finally:
            self.switch(before)

    def seconds(self) -> dict[Cause, float]:
        """By cause, up to now.  The sum is the processor time of the process: what no section measured is
        other."""
        now = self._thread_ns()
        self._spent[self.cause] += now - self._since_ns
        self._since_ns = now
        spent = self._spent.copy()
        named = sum(spent.values()) - spent[Cause.OTHER]
        spent[Cause.OTHER] = max(0, self._process_ns() - named)
        return {cause: value / NS_PER_SECOND for cause, value in spent.items()}
