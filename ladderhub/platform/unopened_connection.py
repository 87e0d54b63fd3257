"""Decides which connection to a silent machine is left open for the ends of tasks that it may report.

The kernel of a machine that hangs accepts connections, and the machine opens them in this order when it goes
on.  Ends of tasks that it could not report before are reported on the first one alone.
"""

from __future__ import annotations

from collections.abc import Iterable

from ladderhub.platform.conn import Conn


class UnopenedConnection:
    """The connection to one machine that is kept open while the machine is silent; it is used for nothing
    until data arrives on it."""

    def __init__(self) -> None:
        self.kept: Conn | None = None
        self._latest_heard_order = -1  # the highest order of a connection on which data arrived

    def keep(self, conn: Conn, conns: Iterable[Conn]) -> bool:
        """Keep this connection open if it is the first one, of all to the machine, that came up since the
        machine was heard last; return whether it is kept."""
        if self.kept is None and conn is self._find_first(conns):
            self.kept = conn
        return conn is self.kept

    def _find_first(self, conns: Iterable[Conn]) -> Conn | None:
        unheard = {
            conn.order: conn
            for conn in conns
            if conn.order is not None and conn.order > self._latest_heard_order and conn.is_live()
        }
        return unheard[min(unheard)] if unheard else None

    def record_heard(self, conn: Conn) -> Conn | None:
        """Record that data arrived on this connection.  Return the one that was kept if it is another: it is
        of no use unless it is heard as well."""
        if conn.order is not None and conn.order > self._latest_heard_order:
            self._latest_heard_order = conn.order
        kept, self.kept = self.kept, None
        return kept if kept is not conn else None

    def record_closed(self, conn: Conn) -> None:
        """Record that this connection is closed."""
        if self.kept is conn:
            self.kept = None
