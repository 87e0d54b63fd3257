"""The log: one JSON object per line on standard error, limited in rate so that no fault can flood it."""

from __future__ import annotations

import os
import select
import traceback
from collections import Counter
from collections.abc import Callable

import msgspec

S = 1_000_000_000
STANDARD_ERROR = 2
MAX_BUFFERED_BYTES = 256 * 1024  # of lines that wait for a slow reader
MACHINE_COUNT_PREFIX = "at."  # of the counters of attempts at one machine
MAX_LINES_PER_SECOND = 20  # of one event; the others are only counted


class Report:
    """Counts events and writes log lines."""

    def __init__(self, now_ns: Callable[[], int], write: Callable[[bytes], object] | None = None) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, Callable[[], object]] = {}
        self._now_ns = now_ns
        log_writer = LogWriter(STANDARD_ERROR)
        self._write = write or log_writer.write
        self.gauges["log_dropped"] = lambda: log_writer.dropped
        self._current_second = -1
        self._line_counts: Counter[str] = Counter()

    def count(self, what: str, amount: int = 1) -> None:
        """Add to a counter of the current second."""
        self.counts[what] += amount

    def line(self, event: str, **fields: object) -> None:
        """Log an unusual event; beyond MAX_LINES_PER_SECOND it is only counted."""
        now = self._now_ns()
        if now // S != self._current_second:
            self._current_second, self._line_counts = now // S, Counter()
        self._line_counts[event] += 1
        self.counts["log." + event] += 1
        if self._line_counts[event] <= MAX_LINES_PER_SECOND:
            self._write_row({"at": now // 1_000_000, "event": event} | fields)

    def trouble(self, where: str, fault: BaseException) -> None:
        """Log an unexpected exception."""
        last = traceback.extract_tb(fault.__traceback__)[-3:]
        places = [f"{frame.name}:{frame.lineno}" for frame in last]
        self.line("trouble", where=where, fault=f"{type(fault).__name__}: {fault}"[:300], places=places)

    def write_second(self) -> None:
        """Write the lines of one second: the gauges and the counts since the last call, then the counts by
        machine in a line of their own, as they are most of the output in a large fleet."""
        at_ms = self._now_ns() // 1_000_000
        counts, self.counts = self.counts, Counter()
        row: dict[str, object] = {"at": at_ms, "event": "second"}
        row |= {name: call() for name, call in self.gauges.items()}
        by_machine = {name: count for name, count in counts.items() if name.startswith(MACHINE_COUNT_PREFIX)}
        row["counts"] = {name: counts[name] for name in sorted(counts) if name not in by_machine}
        self._write_row(row)
        if by_machine:
            self._write_row({"at": at_ms, "event": "machines", "counts": by_machine})

    def _write_row(self, row: dict[str, object]) -> None:
        self._write(msgspec.json.encode(row, enc_hook=repr) + b"\n")


class LogWriter:
    """Writes lines to a descriptor that is shared with other processes, and therefore stays blocking.

    A slow or closed reader must not delay or end the scheduler: lines are buffered up to a limit, and further
    ones are dropped and counted."""

    def __init__(self, fd: int) -> None:
        self._fd, self._buffer = fd, b""
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self.dropped = 0

    def count_buffered(self) -> int:
        """The number of bytes that were not written yet."""
        return len(self._buffer)

    def write(self, line: bytes) -> None:
        """Write one line, now or when the reader is ready."""
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Write what can be written without blocking: a writable pipe accepts PIPE_BUF bytes."""
        try:
            while self._buffer and self._poll.poll(0):
                self._buffer = self._buffer[os.write(self._fd, self._buffer[: select.PIPE_BUF]) :]
        except BlockingIOError:
            return
        except OSError:
            self.dropped += self._buffer.count(b"\n")
            self._buffer = b""
