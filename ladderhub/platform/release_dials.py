"""Decides which machines without a connection are dialled for releases, and how many at a time."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

MAX_SHARE_DIVISOR = 2  # half of the connections to machines at most, so that set-ups get the rest

AnyConn = TypeVar("AnyConn", bound=Hashable)


class ReleaseDials(Generic[AnyConn]):
    """Machines that wait to be dialled, the first first, and the dials whose releases are not confirmed yet.

    With more machines than descriptors most machines have no connection.  A task that its owner has ended
    must end at its machine before the owner asks for it again, so its release can't wait for its machine's
    turn to be dialled."""

    def __init__(self) -> None:
        self._waiting: dict[str, None] = {}
        self._under_way: set[AnyConn] = set()

    def add(self, machine: str) -> None:
        """Have this machine dialled; one that waits already keeps its place."""
        self._waiting[machine] = None

    def may_begin(self, max_connections: int) -> bool:
        """Whether the next machine may be dialled, of so many connections in all."""
        limit = max(1, max_connections // MAX_SHARE_DIVISOR)
        return bool(self._waiting) and len(self._under_way) < limit

    def get_next(self) -> str:
        """The machine to dial next."""
        return next(iter(self._waiting))

    def drop_next(self) -> None:
        """The next machine need not be dialled any more."""
        del self._waiting[self.get_next()]

    def begin_next(self, conn: AnyConn) -> None:
        """The next machine is dialled on this connection."""
        self.drop_next()
        self._under_way.add(conn)

    def end(self, conn: AnyConn) -> bool:
        """The releases on it are confirmed, it is closed, or it took too long.  Return whether it was under
        way."""
        if conn not in self._under_way:
            return False
        self._under_way.remove(conn)
        return True
