"""Connections to machines: the set-ups sent on them, and what machines report.

A set-up has a connection to itself, so that invalid data or a reset ends that set-up alone.  A connection
without such a fault is reused: at once if the machine was heard from recently, else after a ping on it is
answered.  If there is none, one is dialled.  So an unreachable machine is noticed before anything is sent.
While tasks run on a machine, or releases wait to be confirmed, a connection to it is kept, on which it
reports the ends of tasks.

If new connections have a price, a second set-up to a machine shares the connection of the first, provided
that both may be lost together and sent again.

If descriptors run short, an idle connection is closed for each one that is needed: first those that no task
needs, then those to machines that run tasks, in turn.  Such a machine reports what ended on the next
connection that is opened, so it is reconnected in time.  Only if all connections are in use do set-ups share.
"""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop
from ladderhub.loop.stream import Address
from ladderhub.platform.conn import Conn, ConnHandler, Need, Offer, OfferListener, TaskEnd
from ladderhub.platform.early_ends import EarlyEnds
from ladderhub.platform.link import Link
from ladderhub.platform.liveness import PING_INTERVAL_NS
from ladderhub.platform.dial_queue import DialQueue
from ladderhub.platform.report import Report

DIAL_LIMIT_NS = PING_INTERVAL_NS // 2  # a dial ahead of its turn holds up others for this long at most
CHECK_PARTS = 10  # the checks of one second are spread over it, so that they delay nothing else


class Links:
    """The links to all machines, by name, as a new machine may have the address of one that is gone.

    `max_connections`: how many connections there may be now; `free_descriptors`: how many more could be
    opened at all.  `idle_timeout_ns`: machines close connections that were idle for this long.
    `share_connections`: new connections have a price, so repeatable set-ups share one."""

    def __init__(
        self, loop: Loop, report: Report, listener: OfferListener, connect_timeout_ns: int,
        idle_timeout_ns: int, max_connections: Callable[[], int], free_descriptors: Callable[[], int],
        share_connections: bool = False,
    ) -> None:  # fmt: skip
        self.loop, self.report, self.listener = loop, report, listener
        self.connect_timeout_ns, self.idle_timeout_ns, self.share_connections = (
            connect_timeout_ns,
            idle_timeout_ns,
            share_connections,
        )
        self.max_connections, self.free_descriptors = max_connections, free_descriptors
        self.connection_count = 0
        self._links: dict[str, Link] = {}
        self._early_ends: EarlyEnds[tuple[str, str], TaskEnd] = EarlyEnds()
        self._connected: dict[Conn, None] = {}  # in the order in which they came up
        self._unchecked: list[Link] = []  # those still to be checked in this second
        self._current_part = self._links_per_part = 0
        self._dial_queue: DialQueue[Conn] = DialQueue()
        loop.call_later(PING_INTERVAL_NS // CHECK_PARTS, self._check_next)

    def make_room(self, most_needed: Need = Need.RELEASE) -> bool:
        """Whether a connection may be dialled; at the limit an idle one is closed for it, if there is one
        that is not needed more than `most_needed`."""
        return self.connection_count < self.max_connections() or self._close_idle(most_needed)

    def trim(self) -> None:
        """Close one idle connection if there are more than allowed: owners need descriptors."""
        if self.connection_count > self.max_connections():
            self._close_idle()

    def _close_idle(self, most_needed: Need = Need.RELEASE) -> bool:
        # The least needed one; of several the one that has been up longest, so that all machines are
        # connected for the same time.
        for need in range(most_needed + 1):
            for conn in self._connected:
                matches = conn.is_idle() and conn.link.get_need(conn) == need
                if not matches or conn.stream is None:
                    continue
                if conn.stream.is_at_eof():
                    conn.read_pending()  # its machine has closed or reset it, which may mean a lost end
                    return self.make_room(most_needed)
                if not conn.stream.has_unread():
                    conn.closed_for_room = True
                    self.report.count("machine.let_go")
                    conn.stream.abort(None)
                    return True
        return False

    def add_connected(self, conn: Conn) -> None:
        self._connected[conn] = None

    def remove_closed(self, conn: Conn) -> None:
        self.connection_count -= 1
        self._connected.pop(conn, None)
        self.end_dial(conn)

    def get(self, name: str) -> Link | None:
        return self._links.get(name)

    def update_machine(
        self, name: str, address: Address, serving: bool, gone: bool, start_ns: int = 0
    ) -> None:
        """Apply the machine's address, stage and start time from the list; `start_ns` is 0 if it is unknown
        or long ago."""
        link = self._links.get(name)
        if link is None:
            if gone:
                return
            link = self._links[name] = Link(self, name, address, start_ns)
        if address != link.address:
            link.set_address(address)
        link.setups_blocked = not serving
        if not serving:
            link.cancel_unsent()
        if gone:
            link.on_removed()
            return
        link.on_listed()
        if start_ns not in (0, link.start_ns):
            link.on_restart(start_ns)

    def remove_unlisted(self, listed: set[str]) -> None:
        """Remove all machines that a full list does not name."""
        for name, link in list(self._links.items()):
            if name not in listed:
                self.update_machine(name, link.address, False, True)

    # --- machines that are dialled ahead of their turn ----------------------------------------------------

    def request_dial(self, machine: str) -> None:
        self._dial_queue.add(machine)
        self.loop.call_soon(self._dial_requested)

    def end_dial(self, conn: Conn) -> None:
        if self._dial_queue.end(conn):
            self.loop.call_soon(self._dial_requested)

    def _dial_requested(self) -> None:
        while self._dial_queue.may_begin(self.max_connections()):
            link = self._links.get(self._dial_queue.get_next())
            if link is None or not link.reconnector.needs_dial():
                self._dial_queue.drop_next()
            elif self.make_room(Need.TASK_ENDS):
                conn = link.dial("ahead")
                self._dial_queue.begin_next(conn)
                # A machine that hangs may accept the connection and confirm no release.
                self.loop.call_later(DIAL_LIMIT_NS, self.end_dial, conn)
            else:
                return

    def request_due_dials(self) -> None:
        """Dial each machine that needs it, as soon as there is room."""
        for name, link in self._links.items():
            if link.reconnector.needs_dial():
                self.request_dial(name)

    def count_pending_releases(self) -> int:
        """The number of releases that machines have not confirmed."""
        return sum(len(link.tasks.releases) for link in self._links.values())

    def count_unsent(self) -> int:
        """The number of connections with bytes that are not sent yet."""
        return sum(conn.stream is not None and conn.stream.has_unsent() for conn in self._connected)

    def read_pending(self) -> None:
        """Read and handle what machines have sent so far."""
        for conn in list(self._connected):
            conn.read_pending()

    def close(self) -> None:
        """Close all connections: nothing more is sent to machines or read from them."""
        for conn in list(self._connected):
            if conn.stream is not None:
                conn.closed_for_room = True
                conn.stream.abort(None)

    def remove_link(self, link: ConnHandler) -> None:
        if self._links.get(link.name) is link:
            del self._links[link.name]

    def send(self, offer: Offer) -> None:
        link = self._links.get(offer.machine)
        if link is None:
            self.loop.call_soon(self.listener.on_unreached, offer)
        else:
            link.send(offer)

    def write(self, offer: Offer) -> None:
        """Write an offer that was not confirmed before, if its connection is up."""
        link = self._links.get(offer.machine)
        if link is not None:
            link.write_waiting(offer)

    def adopt(self, offer: Offer) -> None:
        """Take over a task that runs on a listed machine."""
        link = self._links[offer.machine]
        link.adopt(offer)
        end = self._early_ends.take(self.loop.now_ns(), (offer.machine, offer.id))
        if end is not None:
            # Its end arrived before it was handed over, and the machine need not report it again.
            self.report.count("adopted.over")
            self.loop.call_soon(link.tasks.end, offer.id, end)

    def on_early_end(self, machine: str, id: str, end: TaskEnd) -> None:
        """Keep the end of a task that is unknown here, as the task may be about to be handed over."""
        self._early_ends.add(self.loop.now_ns(), (machine, id), end)

    def give_up(self, offer: Offer) -> None:
        """See `Link.give_up`; nothing is left to do if the link was dropped."""
        if offer.machine in self._links:
            self._links[offer.machine].give_up(offer)

    def release(self, offer: Offer, cause: int) -> None:
        """See `Link.release`."""
        if offer.machine in self._links:
            self._links[offer.machine].release(offer, cause)

    def is_listed(self, name: str) -> bool:
        """Whether the list names this machine."""
        link = self._links.get(name)
        return link is not None and not link.is_removed()

    def _check_next(self) -> None:
        self.loop.call_later(PING_INTERVAL_NS // CHECK_PARTS, self._check_next)
        now = self.loop.now_ns()
        if not self._current_part:
            self._unchecked = list(self._links.values())
            self._links_per_part = -(-len(self._unchecked) // CHECK_PARTS)
        self._current_part = (self._current_part + 1) % CHECK_PARTS
        due, self._unchecked = (
            self._unchecked[: self._links_per_part],
            self._unchecked[self._links_per_part :],
        )
        for link in due:
            if self._links.get(link.name) is link:
                link.check_liveness(now)
        self._dial_requested()
