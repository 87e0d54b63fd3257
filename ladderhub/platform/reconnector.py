"""Keeps one machine reachable while tasks run there or releases wait for it, and gives it up if it is not."""

from __future__ import annotations

from typing import Protocol

from ladderhub.platform.conn import Conn
from ladderhub.platform.liveness import PING_INTERVAL_NS, Liveness, LivenessAction
from ladderhub.platform.lost_ends import LostEnds
from ladderhub.platform.pool import ConnectionPool
from ladderhub.platform.report import Report
from ladderhub.platform.running_tasks import RunningTasks
from ladderhub.platform.unopened_connection import UnopenedConnection


class ReachableLink(Protocol):
    """The link to a machine, as far as reaching the machine concerns it."""

    name: str
    pool: ConnectionPool
    report: Report
    conns: list[Conn]
    tasks: RunningTasks
    liveness: Liveness

    def get_usable_conns(self) -> list[Conn]:
        """The connections that messages may be sent on, or that are being opened."""

    def find_live_connection(self) -> Conn | None: ...

    def dial(self, why: str) -> Conn: ...


class Reconnector:
    """Pings a machine, dials it again, closes its silent connections, and gives it up."""

    def __init__(self, link: ReachableLink) -> None:
        self._link = link
        self.lost_ends = LostEnds()
        self.unopened = UnopenedConnection()

    def needs_dial(self) -> bool:
        """Whether a new connection is needed ahead of the machine's turn."""
        return self.needs_dial_for_releases() or self._needs_dial_for_ends()

    def needs_dial_for_releases(self) -> bool:
        """Whether releases wait, and no connection is up or being opened on which they may be sent."""
        return not self._link.get_usable_conns() and self._link.tasks.releases.has_unsent()

    def _needs_dial_for_ends(self) -> bool:
        """Whether ends of tasks may be lost, and no connection is being opened on which they are reported."""
        is_dialled = any(self.lost_ends.is_reported_again_on(conn.number) for conn in self._link.conns)
        return bool(self._link.tasks.offers) and self.lost_ends.are_suspected() and not is_dialled

    def ensure_connected(self) -> None:
        """Dial a machine that runs tasks and has no connection, if there is room for one.  Otherwise `check`
        reconnects to such machines in turn."""
        pool = self._link.pool
        has_room = pool.connection_count < pool.max_connections()
        if self._link.tasks.has_wanted() and not self._link.get_usable_conns() and has_room:
            self._link.dial("line")

    def check(self, now: int) -> None:
        """Called each second: do what the time of the machine's silence asks for."""
        link = self._link
        if not link.tasks.has_duties():
            return
        if self._needs_dial_for_ends():
            link.pool.request_dial(link.name)
        if link.liveness.get_silence_ns(now) > 2 * PING_INTERVAL_NS:
            for conn in list(link.conns):
                conn.read_pending()
        is_connected = bool(link.get_usable_conns())
        match link.liveness.choose_action(now, is_connected, bool(link.tasks.offers)):
            case LivenessAction.GIVE_UP:
                link.report.line("machine.silent", machine=link.name, tasks=len(link.tasks.offers))
                link.tasks.give_up("silent")
                self._retry(now)
            case LivenessAction.RETRY:
                self._retry(now)
            case LivenessAction.WAIT:
                return
            case LivenessAction.RECONNECT if is_connected:
                self._abort_silent_connections()
            case LivenessAction.RECONNECT:
                self._reconnect(now)
            case LivenessAction.PING if (live := link.find_live_connection()) is not None:
                link.liveness.record_request(now)
                live.ping()
            case _:
                self.ensure_connected()
                if self.needs_dial_for_releases():
                    link.pool.request_dial(link.name)

    def _retry(self, now: int) -> None:
        """Dial a machine that was given up, for the releases that wait for it."""
        self._abort_silent_connections()
        if all(conn.order is not None for conn in self._link.conns):  # no dial is under way
            self._reconnect(now)

    def _abort_silent_connections(self) -> None:
        for conn in [each for each in self._link.conns if each.is_live() and not each.open_offers]:
            assert conn.stream is not None
            if not self.is_kept(conn):
                conn.stream.abort(TimeoutError("silent"))

    def is_kept(self, conn: Conn) -> bool:
        """Whether this connection is left open although it is of no use at present: the end of a task may be
        reported on it."""
        return self._link.tasks.has_duties() and self.unopened.keep(conn, self._link.conns)

    def _reconnect(self, now: int) -> None:
        """Dial a machine that needs a connection and has none: it reports on the new one what has ended.

        Without this, ends would be reported too late and the machine would count as silent.  So the limit on
        connections may be exceeded if none can be closed, but not into the descriptors that the journal and
        the log need."""
        pool = self._link.pool
        self._link.liveness.record_request(now)
        if pool.make_room() or pool.free_descriptors() > 0:
            self._link.dial("visit")
