"""Decides whether a machine may have reported the end of a task on a connection that was lost with it.

A machine reports an end on one connection, and once more on the next one that it accepts.  So what was lost
with a connection is heard on one that is dialled after the loss; others that are up don't help.
"""

from __future__ import annotations


class LostEnds:
    """Tracks the dials to one machine by number, and the latest loss of a connection."""

    def __init__(self) -> None:
        self._dial_count = 0
        self._heard_from: int | None = None  # the first dial on which lost ends would be reported again

    def record_dial(self) -> int:
        """Record that a connection is dialled, and return its number."""
        self._dial_count += 1
        return self._dial_count

    def record_loss(self) -> None:
        """Record that a connection was closed, and not by the machine in order: what it sent may be lost."""
        self._heard_from = self._dial_count + 1

    def record_connected(self, number: int) -> None:
        """Record that the connection of this number has come up."""
        if self.is_reported_again_on(number):
            self._heard_from = None

    def is_reported_again_on(self, number: int) -> bool:
        """Whether the connection of this number, once it is up, brings the ends that may be lost now."""
        return self._heard_from is not None and number >= self._heard_from

    def are_suspected(self) -> bool:
        """Whether ends may be lost, and no later connection has come up."""
        return self._heard_from is not None
