"""Releases of running tasks that a machine has not confirmed yet."""

from __future__ import annotations

from dataclasses import dataclass

from ladderhub.platform.conn import Conn


@dataclass
class _PendingRelease:
    cause: int
    conn: Conn | None  # where it was sent last; None while it has to be sent


class PendingReleases:
    """The releases that one machine still has to confirm.

    A release may be lost with the connection it was sent on, and its task would then run for ever.  So it is
    kept until the machine reports the end of the task, and is sent again on another connection."""

    def __init__(self) -> None:
        self._releases: dict[str, _PendingRelease] = {}

    def add(self, id: str, cause: int) -> None:
        """Add a release with this cause, still to be sent."""
        self._releases[id] = _PendingRelease(cause, None)

    def confirm(self, id: str) -> None:
        """Drop the release: the machine reported the end of this task, for whatever reason."""
        self._releases.pop(id, None)

    def mark_unsent(self, conn: Conn) -> None:
        """Have releases that were sent on this closed connection sent again: they may be lost."""
        for release in self._releases.values():
            if release.conn is conn:
                release.conn = None

    def take_unsent(self, conn: Conn) -> list[tuple[str, int]]:
        """Return the tasks and causes still to be sent, and mark them as sent on this connection."""
        unsent = [(id, release) for id, release in self._releases.items() if release.conn is None]
        for _, release in unsent:
            release.conn = conn
        return [(id, release.cause) for id, release in unsent]

    def clear(self) -> None:
        """Drop all releases: the machine runs none of the tasks any more."""
        self._releases.clear()
