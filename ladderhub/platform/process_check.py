"""Decides which connections lead to the current process of a machine that has restarted.

A connection leads to one process, and nothing of a process arrives after a later one has started.  So a
connection that is heard after the restart was told leads to the current process, and so does each one that
came up later than that.  The start time in the list is not compared with the clock here: clocks differ, and
may be set.
"""

from __future__ import annotations


class ProcessCheck:
    """Tracks one machine's connections by their order: the first that came up has the lowest number."""

    def __init__(self) -> None:
        self._first_current: int | None = None  # order of the first connection known to lead there
        self._in_progress = False

    def begin(self) -> None:
        """A restart was told, and what arrived before has been handled: nothing is known from now on."""
        self._first_current, self._in_progress = None, True

    def record_heard(self, order: int) -> None:
        """Record that data arrived on this connection, or that it came up."""
        if self._in_progress and (self._first_current is None or order < self._first_current):
            self._first_current = order

    def end(self) -> None:
        """Connections that were not heard until now lead to the previous process."""
        self._in_progress = False

    def is_current(self, order: int | None) -> bool:
        """Whether a connection is known to lead to the current process; `order` is None if it never came
        up."""
        return order is not None and self._first_current is not None and order >= self._first_current
