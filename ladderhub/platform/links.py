"""Connections to machines: set-ups on their way out, and what machines say of them.

A set-up has a connection to itself, so that a spoilt or broken one ends that set-up alone.  A connection on
which all went well is used again: at once while the machine was heard a moment ago, else once a test on it
has passed.  Where there is none, one is dialled.  So a machine that can't be reached is found before anything
left.  While tasks stand at a machine a connection to it is kept, over which it tells of them.

Where new connections are paid for, a second set-up to a machine joins the first on its connection, if the
effects of both allow that they are lost together and asked for again.

Where descriptors run short, a connection that nothing is open on is let go for each that is needed: first
those of no use, then lines to machines with standing tasks, in turn.  Such a machine tells what ended on the
next connection that is opened, so it is visited in time.  Only where all are in use do set-ups share.
"""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop
from ladderhub.loop.stream import Address
from ladderhub.platform.conn import Conn, ConnHandler, Offer, OfferListener, TaskEnd
from ladderhub.platform.early_ends import EarlyEnds
from ladderhub.platform.link import Link
from ladderhub.platform.liveness import PING_INTERVAL_NS
from ladderhub.platform.report import Report

CHECK_PARTS = 10  # the tests of a second are spread over it, so that they hold up nothing


class Links:
    """The links to all machines, by name: an address may pass from a machine that is gone to a new one.

    `max_connections`: how many connections there may be now; `free_descriptors`: how many more there is room
    for at all.  `idle_timeout_ns`: machines close connections that were left idle for so long.
    `share_connections`: connections are paid for, so set-ups that may be repeated share one."""

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
        self._connected: dict[Conn, None] = {}  # connections by the time they came up, oldest first
        self._unchecked: list[Link] = []  # of this second, those still to be tested
        self._current_part = self._links_per_part = 0
        loop.call_later(PING_INTERVAL_NS // CHECK_PARTS, self._check_next)

    def make_room(self) -> bool:
        """Whether a connection may be dialled, after letting one go for it where the bound is reached."""
        return self.connection_count < self.max_connections() or self._close_idle()

    def trim(self) -> None:
        """Others need descriptors: one idle connection less where there are more than there may be."""
        if self.connection_count > self.max_connections():
            self._close_idle()

    def _close_idle(self) -> bool:
        # First what is of no use, as no task stands there or there is another line; of the rest the longest
        # up, so that all have turns of the same length.
        for needed in (False, True):
            for conn in self._connected:
                fit = conn.is_idle() and conn.link.is_needed(conn) is needed
                if fit and conn.stream is not None and not conn.stream.unread():
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

    def get(self, name: str) -> Link | None:
        return self._links.get(name)

    def update_machine(self, name: str, address: Address, serving: bool, gone: bool) -> None:
        """The list says where a machine is and whether it takes tasks."""
        link = self._links.get(name)
        if link is None:
            if gone:
                return
            link = self._links[name] = Link(self, name, address)
        if address != link.address:
            link.set_address(address)
        link.setups_blocked, link.removed = not serving, gone
        if not serving:
            link.cancel_unsent()
        if gone:
            link.fail_running_tasks("gone")

    def remove_unlisted(self, listed: set[str]) -> None:
        """A whole list names these: all others are gone."""
        for name, link in list(self._links.items()):
            if name not in listed:
                self.update_machine(name, link.address, False, True)

    def count_unsent(self) -> int:
        """Connections with bytes that their machine has not taken yet."""
        return sum(conn.stream is not None and conn.stream.unsent() for conn in self._connected)

    def read_pending(self) -> None:
        """Take what machines have said so far."""
        for conn in list(self._connected):
            conn.read_pending()

    def close(self) -> None:
        """Nothing more is said to machines, or heard of them."""
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

    def adopt(self, offer: Offer) -> None:
        """Look after a task that stands; where the list knows no such machine it ended with that machine."""
        link = self._links.get(offer.machine)
        if link is None or link.removed:
            self.report.line("adopted.nowhere", machine=offer.machine)
            self.loop.call_soon(self.listener.on_broken, offer, "not on the list")
        else:
            link.adopt(offer)
            early = self._early_ends.take(self.loop.now_ns(), (offer.machine, offer.id))
            if early is not None:
                # Danger: its end crossed the handing over, and its machine need not tell it twice.
                self.report.count("adopted.over")
                self.loop.call_soon(link.on_task_end, offer.id, early)

    def on_early_end(self, machine: str, id: str, end: TaskEnd) -> None:
        """An end of a task that nobody here looks after; it may be about to be handed over."""
        self._early_ends.add(self.loop.now_ns(), (machine, id), end)

    def give_up(self, offer: Offer) -> None:
        """See `Link.give_up`; nothing is left to do where the machine is forgotten."""
        if offer.machine in self._links:
            self._links[offer.machine].give_up(offer)

    def release(self, offer: Offer, cause: int) -> None:
        """See `Link.release`."""
        if offer.machine in self._links:
            self._links[offer.machine].release(offer, cause)

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
