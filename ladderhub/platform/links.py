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
from ladderhub.platform.conn import Conn, ConnOwner, End, Offer, OfferListener
from ladderhub.platform.early import Early
from ladderhub.platform.link import Link
from ladderhub.platform.liveness import TEST_NS
from ladderhub.platform.report import Report

TEST_PARTS = 10  # the tests of a second are spread over it, so that they hold up nothing


class Links:
    """The links to all machines, by name: an address may pass from a machine that is gone to a new one.
    `most`: how many connections there may be now; `spare`: how many more there is room for at all.
    `idle_ns`: machines close connections that were left idle for so long.  `share`: connections are paid for,
    so set-ups that may be repeated share one."""

    def __init__(
        self, loop: Loop, report: Report, listener: OfferListener, connect_ns: int, idle_ns: int,
        most: Callable[[], int], spare: Callable[[], int], share: bool = False,
    ) -> None:  # fmt: skip
        self.loop, self.report, self.listener = loop, report, listener
        self.connect_ns, self.idle_ns, self.share = connect_ns, idle_ns, share
        self.most, self.spare = most, spare
        self.count = 0
        self._links: dict[str, Link] = {}
        self._early: Early[tuple[str, str], End] = Early()
        self._up: dict[Conn, None] = {}  # connections by the time they came up, oldest first
        self._testing: list[Link] = []  # of this second, those still to be tested
        self._part = self._portion = 0
        loop.call_later(TEST_NS // TEST_PARTS, self._test)

    def make_room(self) -> bool:
        """Whether a connection may be dialled, after letting one go for it where the bound is reached."""
        return self.count < self.most() or self._let_go()

    def trim(self) -> None:
        """Others need descriptors: one idle connection less where there are more than there may be."""
        if self.count > self.most():
            self._let_go()

    def _let_go(self) -> bool:
        # First what is of no use, as no task stands there or there is another line; of the rest the longest
        # up, so that all have turns of the same length.
        for needed in (False, True):
            for conn in self._up:
                fit = conn.idle() and conn.link.needs(conn) is needed
                if fit and conn.stream is not None and not conn.stream.unread():
                    conn.let_go = True
                    self.report.count("machine.let_go")
                    conn.stream.abort(None)
                    return True
        return False

    def came_up(self, conn: Conn) -> None:
        self._up[conn] = None

    def ended(self, conn: Conn) -> None:
        self.count -= 1
        self._up.pop(conn, None)

    def get(self, name: str) -> Link | None:
        return self._links.get(name)

    def place(self, name: str, address: Address, serving: bool, gone: bool) -> None:
        """The list says where a machine is and whether it takes tasks."""
        link = self._links.get(name)
        if link is None:
            if gone:
                return
            link = self._links[name] = Link(self, name, address)
        if address != link.address:
            link.move(address)
        link.shut, link.gone = not serving, gone
        if not serving:
            link.unsend()
        if gone:
            link.lose("gone")

    def drop_others(self, listed: set[str]) -> None:
        """A whole list names these: all others are gone."""
        for name, link in list(self._links.items()):
            if name not in listed:
                self.place(name, link.address, False, True)

    def unsent(self) -> int:
        """Connections with bytes that their machine has not taken yet."""
        return sum(conn.stream is not None and conn.stream.unsent() for conn in self._up)

    def look(self) -> None:
        """Take what machines have said so far."""
        for conn in list(self._up):
            conn.look()

    def close(self) -> None:
        """Nothing more is said to machines, or heard of them."""
        for conn in list(self._up):
            if conn.stream is not None:
                conn.let_go = True
                conn.stream.abort(None)

    def forget(self, link: ConnOwner) -> None:
        if self._links.get(link.name) is link:
            del self._links[link.name]

    def send(self, offer: Offer) -> None:
        link = self._links.get(offer.machine)
        if link is None:
            self.loop.call_soon(self.listener.on_unreached, offer)
        else:
            link.send(offer)

    def hold(self, offer: Offer) -> None:
        """Look after a task that stands; where the list knows no such machine it ended with that machine."""
        link = self._links.get(offer.machine)
        if link is None or link.gone:
            self.report.line("adopted.nowhere", machine=offer.machine)
            self.loop.call_soon(self.listener.on_broken, offer, "not on the list")
        else:
            link.hold(offer)
            early = self._early.take(self.loop.now_ns(), (offer.machine, offer.id))
            if early is not None:
                # Danger: its end crossed the handing over, and its machine need not tell it twice.
                self.report.count("adopted.over")
                self.loop.call_soon(link.hear_end, offer.id, early)

    def on_early(self, machine: str, id: str, end: End) -> None:
        """An end of a task that nobody here looks after; it may be about to be handed over."""
        self._early.add(self.loop.now_ns(), (machine, id), end)

    def give_up(self, offer: Offer) -> None:
        """See `Link.give_up`; nothing is left to do where the machine is forgotten."""
        if offer.machine in self._links:
            self._links[offer.machine].give_up(offer)

    def release(self, offer: Offer, cause: int) -> None:
        """See `Link.release`."""
        if offer.machine in self._links:
            self._links[offer.machine].release(offer, cause)

    def _test(self) -> None:
        self.loop.call_later(TEST_NS // TEST_PARTS, self._test)
        now = self.loop.now_ns()
        if not self._part:
            self._testing = list(self._links.values())
            self._portion = -(-len(self._testing) // TEST_PARTS)
        self._part = (self._part + 1) % TEST_PARTS
        due, self._testing = self._testing[: self._portion], self._testing[self._portion :]
        for link in due:
            if self._links.get(link.name) is link:
                link.test(now)
