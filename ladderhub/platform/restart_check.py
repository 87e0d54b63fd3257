"""Ends the tasks of a machine's previous process once the list tells that the machine has restarted."""

from __future__ import annotations

from typing import Protocol

from ladderhub.loop import Loop, Timer
from ladderhub.platform.conn import Conn, Offer
from ladderhub.platform.process_check import ProcessCheck
from ladderhub.platform.running_tasks import RunningTasks


class RestartedLink(Protocol):
    """The link to a machine, as far as a restart concerns it."""

    loop: Loop
    conns: list[Conn]
    tasks: RunningTasks

    def require_pong(self, conn: Conn) -> None:
        """Ping on this connection, and close it if it stays silent."""

    def on_restart_checked(self, ended_count: int) -> None:
        """So many tasks of the previous process were reported as broken, and their releases are pending."""


class RestartCheck:
    """Pings all connections to a machine that has restarted, and waits for as long as a dial may take."""

    def __init__(self, link: RestartedLink, timeout_ns: int) -> None:
        self._link, self._timeout_ns = link, timeout_ns
        self._process = ProcessCheck()
        self._timer: Timer | None = None
        self._adopted_before: set[str] = set()  # tasks that were handed over before the restart was told

    def record_heard(self, order: int) -> None:
        """Record that data arrived on the connection with this order, or that it came up."""
        self._process.record_heard(order)

    def start(self) -> None:
        """The list tells a new start of the machine."""
        running = self._link.tasks.offers
        self._adopted_before = {id for id, offer in running.items() if offer.conn is None}
        # Not from here, as this may be called while messages of a connection are handled.
        self._link.loop.call_soon(self._begin)

    def _begin(self) -> None:
        self._read_pending()
        self._process.begin()
        for conn in list(self._link.conns):
            if conn.is_live():
                self._link.require_pong(conn)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._link.loop.call_later(self._timeout_ns, self._end)

    def _end(self) -> None:
        """End the tasks whose connections are not known to lead to the current process."""
        self._read_pending()
        self._process.end()
        count = self._link.tasks.give_up("restarted", lambda offer: not self._is_current(offer))
        self._link.on_restart_checked(count)

    def _read_pending(self) -> None:
        for conn in list(self._link.conns):
            conn.read_pending()

    def _is_current(self, offer: Offer) -> bool:
        if offer.conn is None:  # it was handed over, by somebody who may know of the restart
            return offer.id not in self._adopted_before
        return self._process.is_current(offer.conn.order)
