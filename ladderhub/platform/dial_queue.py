"""Decides which machines are dialled ahead of their turn, and how many at a time."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

MAX_SHARE_DIVISOR = 2  # half of the connections to machines at most, so that set-ups get the rest

AnyConn = TypeVar("AnyConn", bound=Hashable)


class DialQueue(Generic[AnyConn]):
    """Machines that wait to be dialled, the first first, and the dials that are under way.

    With more machines than descriptors most machines have no connection, and are dialled in turn.  That is
    too late for the release of a task, as its owner may have ended it and ask for it again soon, and for an
    end that may be lost."""

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
        """The connection has served its purpose, is closed, or took too long.  Return whether it was under
        way."""
        if conn not in self._under_way:
            return False
        self._under_way.remove(conn)
        return True
