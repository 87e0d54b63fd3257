"""Releases of standing tasks that a machine has not confirmed yet."""

from __future__ import annotations

from dataclasses import dataclass

from ladderhub.platform.conn import Conn


@dataclass
class _PendingRelease:
    cause: int
    conn: Conn | None  # where it was said last; None while it has to be said


class PendingReleases:
    """What one machine was told to end.

    A release may be lost with the connection that it went over, and its task would go on for ever; so it is
    kept until the machine says that the task is over, and said again on another connection."""

    def __init__(self) -> None:
        self._releases: dict[str, _PendingRelease] = {}

    def add(self, id: str, cause: int) -> None:
        """A task is to be ended with this cause; it has to be said."""
        self._releases[id] = _PendingRelease(cause, None)

    def confirm(self, id: str) -> None:
        """The machine says that this task is over, whyever."""
        self._releases.pop(id, None)

    def mark_unsent(self, conn: Conn) -> None:
        """This connection has ended: what was said on it may not have been heard."""
        for cut in self._releases.values():
            if cut.conn is conn:
                cut.conn = None

    def take_unsent(self, conn: Conn) -> list[tuple[str, int]]:
        """Tasks and causes that have to be said, which is now done on this connection."""
        unsaid = [(id, cut) for id, cut in self._releases.items() if cut.conn is None]
        for _, cut in unsaid:
            cut.conn = conn
        return [(id, cut.cause) for id, cut in unsaid]

    def clear(self) -> None:
        """The machine holds nothing any more."""
        self._releases.clear()
