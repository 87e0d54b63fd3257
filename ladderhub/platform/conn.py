"""A set-up on its way to a machine, the connection that it goes over, and who hears what becomes of it."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from typing import Protocol

from ladderhub.loop import Loop, Stream, Timer
from ladderhub.loop.stream import READ_MOST
from ladderhub.platform.report import Report
from ladderhub.signalling import BinaryReader, Leg, Message, SignalError

CLOSE_LINGER_NS = 1_000_000_000  # for so long a connection that is leaving is still read
MAX_REMEMBERED_TASKS = 256  # tasks whose set-ups a connection remembers


@dataclass(frozen=True)
class TaskEnd:
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
        self.written = self.started = False
        self.early_end: TaskEnd | None = None  # told on another connection, before the answer was read


class OfferListener(Protocol):
    """Who hears of offers; each offer's end is told once."""

    def confirm_send(self, offer: Offer) -> bool:
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


class ConnHandler(Protocol):
    """The machine's side, to which a connection belongs."""

    loop: Loop
    report: Report
    name: str

    def on_message(self, conn: Conn, message: Message) -> None: ...

    def on_activity(self) -> None:
        """Whatever it was, the machine said something."""

    def on_closed(self, conn: Conn, fault: BaseException | None) -> None: ...

    def is_needed(self, conn: Conn) -> bool:
        """Whether it is the only connection to standing tasks."""


class Conn:
    """One connection to a machine."""

    def __init__(self, link: ConnHandler) -> None:
        self.link = link
        self.reader = BinaryReader()
        self.open_offers: dict[str, Offer] = {}  # set-ups without an answer, by task
        self.stream: Stream | None = None
        self.reusable = True  # every set-up on it was ended by a whole message
        self.closing = False
        self.closed_for_room = False  # closed for room: its machine is visited later
        self.ping_timer: Timer | None = None  # runs while a test must pass before set-ups are written
        self.last_used_ns = link.loop.now_ns()  # when anything last went over it
        self._sent_tasks: dict[str, None] = {}  # tasks whose set-ups were written on it, oldest first

    def record_sent(self, offer: Offer) -> None:
        """The set-up of this offer goes over the connection."""
        self._sent_tasks[offer.id] = None
        if len(self._sent_tasks) > MAX_REMEMBERED_TASKS:
            del self._sent_tasks[next(iter(self._sent_tasks))]

    def can_carry(self, offer: Offer) -> bool:
        """Whether no earlier attempt at the same task went over this connection.

        Danger: a machine may tell an end twice.  Attempts at a task share its id, so on one connection the
        second telling would pass for the end of the next attempt, which is still out."""
        return offer.id not in self._sent_tasks

    def on_data(self, stream: Stream, data: bytes) -> None:
        self.link.on_activity()
        self.last_used_ns = self.link.loop.now_ns()
        messages, unreadable = self.reader.feed(data)
        for message in messages:
            self._handle(message)
        if unreadable is not None:
            self._log_invalid(unreadable)
            stream.abort(unreadable)

    def _handle(self, message: Message) -> None:
        """Danger: one that can't be used ends the connection, but behind it may lie whole ones that concern
        other tasks, and their machine may not say them again soon."""
        try:
            self.link.on_message(self, message)
        except SignalError as fault:
            self._log_invalid(fault)
            assert self.stream is not None
            self.stream.fail(fault)

    def _log_invalid(self, fault: SignalError) -> None:
        self.link.report.line("machine.spoilt", machine=self.link.name, why=str(fault))

    def read_pending(self) -> None:
        """Take what has come.

        Danger: a peer is judged by a span that is over, while its word lies here unread, since the process
        stood still or is behind."""
        if self.stream is not None:
            self.stream.read_now(READ_MOST)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.link.on_closed(self, fault)

    def is_live(self) -> bool:
        return self.stream is not None and self.stream.sendable() and not self.closing

    def is_writable(self) -> bool:
        """Whether a set-up may be written on it now.

        Danger: what the peer does not take would lie in the stream's buffer and leave later, when it may be
        forbidden."""
        return (
            self.ping_timer is None
            and self.is_live()
            and self.stream is not None
            and not self.stream.unsent()
        )

    def is_idle(self) -> bool:
        """Nothing is open on it, and nothing has come that was not read yet."""
        return not self.open_offers and self.is_live() and not self.reader.pending()

    def start_closing(self) -> None:
        """Send nothing more; what the machine has on its way is still read, then it closes."""
        if self.stream is not None and not self.closing and not self.stream.closed:
            self.closing = True
            self.stream.finish()
            self.link.loop.call_later(CLOSE_LINGER_NS, self.stream.fail, None)


def is_refused(fault: BaseException | None) -> bool:
    """Whether a connection did not come up since nobody listens there."""
    return isinstance(fault, OSError) and fault.errno == errno.ECONNREFUSED
