"""Releases of tasks that a machine has not confirmed yet."""

from __future__ import annotations

from dataclasses import dataclass

from ladderhub.platform.conn import Conn


@dataclass
class _PendingRelease:
    cause: int
    conn: Conn | None = None  # where it was sent last; None while it has to be sent
    ping_number: int = 0  # of the first ping on that connection behind it


class PendingReleases:
    """The releases that one machine still has to confirm.

    A release may be lost with the connection it was sent on, and its task would then run for ever.  So it is
    kept until the machine reports the end of the task, and is sent again on another connection.

    That report may be lost too, and a machine says nothing about a task that it does not know.  So it is
    enough that the machine has read the release: it has when it answers a ping sent behind it."""

    def __init__(self) -> None:
        self._releases: dict[str, _PendingRelease] = {}

    def __len__(self) -> int:
        return len(self._releases)

    def add(self, id: str, cause: int) -> None:
        """Add a release with this cause, still to be sent; one that is pending already stays as it is."""
        self._releases.setdefault(id, _PendingRelease(cause))

    def has_unsent(self) -> bool:
        """Whether a release was not sent yet, or was lost with its connection."""
        return any(release.conn is None for release in self._releases.values())

    def is_awaited_on(self, conn: Conn) -> bool:
        """Whether a release that was sent on this connection is still to be confirmed."""
        return any(release.conn is conn for release in self._releases.values())

    def is_pending(self, id: str) -> bool:
        """Whether the release of this task is still to be confirmed."""
        return id in self._releases

    def confirm(self, id: str) -> bool:
        """Drop the release: the machine reported the end of this task, for whatever reason.  Return whether
        there was one."""
        return self._releases.pop(id, None) is not None

    def take_read(self, conn: Conn) -> list[str]:
        """Drop the releases that the machine has read, by the pings it answered on this connection; return
        their tasks."""
        read = [
            id
            for id, release in self._releases.items()
            if release.conn is conn and release.ping_number <= conn.pongs_received
        ]
        for id in read:
            del self._releases[id]
        return read

    def mark_unsent(self, conn: Conn) -> None:
        """Have releases that were sent on this closed connection sent again: they may be lost."""
        for release in self._releases.values():
            if release.conn is conn:
                release.conn = None

    def take_unsent(self, conn: Conn) -> list[tuple[str, int]]:
        """Return the tasks and causes still to be sent, and mark them as sent on this connection."""
        unsent = [(id, release) for id, release in self._releases.items() if release.conn is None]
        for _, release in unsent:
            release.conn, release.ping_number = conn, conn.pings_sent + 1
        return [(id, release.cause) for id, release in unsent]

    def clear(self) -> None:
        """Drop all releases: the machine runs none of the tasks any more."""
        self._releases.clear()
