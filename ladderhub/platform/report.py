"""The log: one JSON object a line on standard error, bounded in number so that no trouble can flood it."""

from __future__ import annotations

import sys
import traceback
from collections import Counter
from collections.abc import Callable

import msgspec

S = 1_000_000_000
BY_MACHINE = "at."  # counts of attempts at one machine begin so
LINES_MOST = 20  # of one event a second; more are counted in the next second's line


class Report:
    """Counts, and the lines that are written of them."""

    def __init__(self, now_ns: Callable[[], int], write: Callable[[bytes], object] | None = None) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, Callable[[], object]] = {}
        self._now_ns = now_ns
        self._write = write or _to_stderr
        self._second = -1
        self._lines: Counter[str] = Counter()

    def count(self, what: str, amount: int = 1) -> None:
        self.counts[what] += amount

    def line(self, event: str, **fields: object) -> None:
        """An unusual event; past the bound of a second it is only counted."""
        now = self._now_ns()
        if now // S != self._second:
            self._second, self._lines = now // S, Counter()
        self._lines[event] += 1
        self.counts["log." + event] += 1
        if self._lines[event] <= LINES_MOST:
            self._put({"at": now // 1_000_000, "event": event} | fields)

    def trouble(self, where: str, fault: BaseException) -> None:
        """An exception that nobody expected."""
        last = traceback.extract_tb(fault.__traceback__)[-3:]
        places = [f"{frame.name}:{frame.lineno}" for frame in last]
        self.line("trouble", where=where, fault=f"{type(fault).__name__}: {fault}"[:300], places=places)

    def second(self) -> None:
        """The lines of each second: the gauges and what was counted since the last one; then the attempts by
        machine, a line of their own, since in a large fleet they are most of it."""
        at_ms = self._now_ns() // 1_000_000
        counts, self.counts = self.counts, Counter()
        row: dict[str, object] = {"at": at_ms, "event": "second"}
        row |= {name: call() for name, call in self.gauges.items()}
        by_machine = {name: count for name, count in counts.items() if name.startswith(BY_MACHINE)}
        row["counts"] = {name: counts[name] for name in sorted(counts) if name not in by_machine}
        self._put(row)
        if by_machine:
            self._put({"at": at_ms, "event": "machines", "counts": by_machine})

    def _put(self, row: dict[str, object]) -> None:
        self._write(msgspec.json.encode(row, enc_hook=repr) + b"\n")


def _to_stderr(data: bytes) -> None:
    # A reader of the log that is slow or gone must not hold up or end the scheduler.
    try:
        sys.stderr.buffer.write(data)
        sys.stderr.buffer.flush()
    except OSError:
        return
