"""A set-up on its way to a machine, the connection that it goes over, and who hears what becomes of it."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from typing import Protocol

from ladderhub.loop import Loop, Stream, Timer
from ladderhub.loop.stream import READ_MOST
from ladderhub.platform.report import Report
from ladderhub.signalling import BinaryReader, Leg, Message, SignalError

LEAVE_NS = 1_000_000_000  # for so long a connection that is leaving is still read
CARRIED_MOST = 256  # tasks whose set-ups a connection remembers


@dataclass(frozen=True)
class End:
    """How a machine ended a task that stood: the cause and the note of its release."""

    cause: int | None
    note: str | None


class Offer:
    """One set-up to one machine, from the module's `Send` to its end."""

    def __init__(
        self, number: int, attempt: int, machine: str, setup: Message, sent_ns: int, until_ns: int,
        repeatable: bool,
    ) -> None:  # fmt: skip
        """`repeatable`: whatever becomes of it, it may be sent again."""
        self.number, self.attempt, self.machine = number, attempt, machine
        self.setup, self.id = setup, setup.id
        self.sent_ns, self.until_ns, self.repeatable = sent_ns, until_ns, repeatable
        self.leg = Leg()
        self.timer: Timer | None = None
        self.conn: Conn | None = None
        self.written = self.stood = False
        self.early_end: End | None = None  # told on another connection, before the answer was read


class OfferListener(Protocol):
    """Who hears of offers; each offer's end is told once."""

    def may_leave(self, offer: Offer) -> bool:
        """Asked as its bytes would leave, since a dial may lie behind it: is it still wanted, and allowed?
        Where it is not, it has been given up when this returns."""

    def on_answer(self, offer: Offer, description: str) -> None: ...

    def on_release(self, offer: Offer, cause: int | None, note: str | None) -> None:
        """The machine's release, before or after its answer."""

    def on_note(self, offer: Offer, note: str | None, figure: float) -> None: ...

    def on_unreached(self, offer: Offer) -> None:
        """No connection came up: nothing was written."""

    def on_unsent(self, offer: Offer) -> None:
        """It was not written for another reason."""

    def on_broken(self, offer: Offer, why: str) -> None:
        """Its connection ended or was spoilt after it was written, or its machine is lost."""

    def on_overdue(self, offer: Offer) -> None:
        """Its time is over; it was given up at the machine."""


class ConnOwner(Protocol):
    """The machine's side, to which a connection belongs."""

    loop: Loop
    report: Report
    name: str

    def hear(self, conn: Conn, message: Message) -> None: ...

    def heard(self) -> None:
        """Whatever it was, the machine said something."""

    def closed(self, conn: Conn, fault: BaseException | None) -> None: ...

    def needs(self, conn: Conn) -> bool:
        """Whether it is the only connection to standing tasks."""


class Conn:
    """One connection to a machine."""

    def __init__(self, link: ConnOwner) -> None:
        self.link = link
        self.reader = BinaryReader()
        self.open: dict[str, Offer] = {}  # set-ups without an answer, by task
        self.stream: Stream | None = None
        self.clean = True  # every set-up on it was ended by a whole message
        self.leaving = False
        self.let_go = False  # closed for room: its machine is visited later
        self.proof: Timer | None = None  # runs while a test must pass before set-ups are written
        self.used_ns = link.loop.now_ns()  # when anything last went over it
        self._carried: dict[str, None] = {}  # tasks whose set-ups were written on it, oldest first

    def wrote(self, offer: Offer) -> None:
        """The set-up of this offer goes over the connection."""
        self._carried[offer.id] = None
        if len(self._carried) > CARRIED_MOST:
            del self._carried[next(iter(self._carried))]

    def may_carry(self, offer: Offer) -> bool:
        """Whether no earlier attempt at the same task went over this connection.

        Danger: a machine may tell an end twice.  Attempts at a task share its id, so on one connection the
        second telling would pass for the end of the next attempt, which is still out."""
        return offer.id not in self._carried

    def on_data(self, stream: Stream, data: bytes) -> None:
        self.link.heard()
        self.used_ns = self.link.loop.now_ns()
        messages, unreadable = self.reader.feed(data)
        for message in messages:
            self._hear(message)
        if unreadable is not None:
            self._spoilt(unreadable)
            stream.abort(unreadable)

    def _hear(self, message: Message) -> None:
        """Danger: one that can't be used ends the connection, but behind it may lie whole ones that concern
        other tasks, and their machine may not say them again soon."""
        try:
            self.link.hear(self, message)
        except SignalError as fault:
            self._spoilt(fault)
            assert self.stream is not None
            self.stream.fail(fault)

    def _spoilt(self, fault: SignalError) -> None:
        self.link.report.line("machine.spoilt", machine=self.link.name, why=str(fault))

    def look(self) -> None:
        """Take what has come.

        Danger: a peer is judged by a span that is over, while its word lies here unread, since the process
        stood still or is behind."""
        if self.stream is not None:
            self.stream.read_now(READ_MOST)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.link.closed(self, fault)

    def live(self) -> bool:
        return self.stream is not None and self.stream.sendable() and not self.leaving

    def writable(self) -> bool:
        """Whether a set-up may be written on it now.

        Danger: what the peer does not take would lie in the stream's buffer and leave later, when it may be
        forbidden."""
        return self.proof is None and self.live() and self.stream is not None and not self.stream.unsent()

    def idle(self) -> bool:
        """Nothing is open on it, and nothing has come that was not read yet."""
        return not self.open and self.live() and not self.reader.pending()

    def leave(self) -> None:
        """Send nothing more; what the machine has on its way is still read, then it closes."""
        if self.stream is not None and not self.leaving and not self.stream.closed:
            self.leaving = True
            self.stream.finish()
            self.link.loop.call_later(LEAVE_NS, self.stream.fail, None)


def refused(fault: BaseException | None) -> bool:
    """Whether a connection did not come up since nobody listens there."""
    return isinstance(fault, OSError) and fault.errno == errno.ECONNREFUSED
