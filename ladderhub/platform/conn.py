"""A set-up sent to a machine, the connection it is sent on, and the interfaces that receive its events."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from ladderhub.loop import Loop, Stream, Timer
from ladderhub.loop.stream import MAX_READ_BYTES
from ladderhub.platform.report import Report
from ladderhub.platform.task_owner import TaskOwner
from ladderhub.signalling import BinaryReader, Kind, Leg, Message, SignalError, encode_binary
from ladderhub.signalling.table import TEST_ASKED

CLOSE_LINGER_NS = 1_000_000_000  # a closing connection is still read for this long
MAX_REMEMBERED_TASKS = 256  # task ids that a connection remembers
NO_ID = "0" * 16  # of messages that concern no task


@dataclass(frozen=True)
class TaskEnd:
    """How a machine ended a running task: the cause and the note of its release."""

    cause: int | None
    note: str | None


@dataclass(frozen=True)
class Loss:
    """That an attempt was given up while its task may run, whom that was told to, and when."""

    owner: TaskOwner
    told_ns: int


class Offer:
    """One set-up sent to one machine, from the decision module's `Send` action to its end."""

    def __init__(
        self, number: int, attempt: int, machine: str, setup: Message, sent_ns: int, until_ns: int,
        repeatable: bool,
    ) -> None:  # fmt: skip
        """`repeatable`: the set-up may be sent again, whatever became of this attempt."""
        self.number, self.attempt, self.machine = number, attempt, machine
        self.setup, self.id = setup, setup.id
        self.sent_ns, self.until_ns, self.repeatable = sent_ns, until_ns, repeatable
        self.leg = Leg()
        self.timer: Timer | None = None
        self.conn: Conn | None = None
        self.written = self.started = False
        self.early_end: TaskEnd | None = None  # received on another connection before the answer was read
        self.loss: Loss | None = None  # if it was given up although the task may run

    def discard_description(self) -> None:
        """Free the description of its set-up, which is not written any more."""
        self.setup.description = None


class OfferListener(Protocol):
    """Receives the events of offers; the end of each offer is reported exactly once."""

    def confirm_send(self, offer: Offer) -> bool:
        """Called just before the set-up is written, as a dial may have delayed it: whether it is still wanted
        and allowed.  If not, the offer has been given up when this returns, or is to be written later."""

    def on_answer(self, offer: Offer, description: str) -> None: ...

    def on_release(self, offer: Offer, cause: int | None, note: str | None) -> None:
        """The machine sent a release, before or after its answer."""

    def on_note(self, offer: Offer, note: str | None, figure: float) -> None: ...

    def on_unreached(self, offer: Offer) -> None:
        """No connection could be opened, so nothing was written."""

    def on_unsent(self, offer: Offer) -> None:
        """The set-up was not written for another reason."""

    def on_broken(self, offer: Offer, why: str) -> None:
        """After it was written, its connection closed or received invalid data, or its machine was lost."""

    def on_end_after_loss(self, offer: Offer, end: TaskEnd) -> None:
        """The machine has reported the end of a task whose attempt had been given up though it might run."""

    def on_overdue(self, offer: Offer) -> None:
        """Its time ran out, and it was given up at the machine."""


class Need(IntEnum):
    """What an idle connection is needed for.  The least needed is closed first when descriptors run short."""

    NOTHING = 0
    TASK_ENDS = 1  # the only one to a machine that runs tasks or has releases to confirm
    RELEASE = 2  # a release was sent on it, and is not confirmed yet


class ConnHandler(Protocol):
    """The link to a machine, which its connections report to."""

    loop: Loop
    report: Report
    name: str

    def on_message(self, conn: Conn, message: Message) -> None: ...

    def on_activity(self, conn: Conn) -> None:
        """Data of any kind arrived on this connection."""

    def on_closed(self, conn: Conn, fault: BaseException | None) -> None: ...

    def get_need(self, conn: Conn) -> Need:
        """What this connection is needed for."""


class Conn:
    """One connection to a machine."""

    def __init__(self, link: ConnHandler, number: int = 0) -> None:
        """`number`: of its dial, of all to this machine."""
        self.link, self.number = link, number
        self.reader = BinaryReader()
        self.open_offers: dict[str, Offer] = {}  # set-ups without an answer, by task id
        self.stream: Stream | None = None
        self.reusable = True  # no set-up on it was given up, and the machine kept its address
        self.order: int | None = None  # the machine's connections are numbered as they come up
        self.left_unanswered = False  # a set-up on it got no answer in time: what follows may be lost too
        self.closing = False
        self.has_received = False  # data arrived on it
        self.closed_for_room = False  # closed to free a descriptor: not dialled again at once
        self.ping_timer: Timer | None = None  # runs while a ping must be answered before set-ups are written
        self.pings_sent = self.pongs_received = 0
        self.last_used_ns = link.loop.now_ns()  # when it last sent or received anything
        self._sent_tasks: dict[str, None] = {}  # ids of tasks whose set-ups were written on it, oldest first

    def send(self, message: Message) -> None:
        """Send a message; it is lost if the connection is not up."""
        assert self.stream is not None
        self.last_used_ns = self.link.loop.now_ns()
        self.stream.write(encode_binary(message))

    def ping(self) -> None:
        """Send a ping.  The machine handles messages in order, so its answer shows that it has read all that
        was sent before."""
        self.pings_sent += 1
        self.send(Message(Kind.PING, NO_ID, TEST_ASKED))

    def record_sent(self, offer: Offer) -> None:
        """Remember that the set-up of this offer is written on this connection."""
        self._sent_tasks[offer.id] = None
        if len(self._sent_tasks) > MAX_REMEMBERED_TASKS:
            del self._sent_tasks[next(iter(self._sent_tasks))]

    def can_carry(self, offer: Offer) -> bool:
        """Whether no earlier attempt at the same task was written on this connection.

        A machine may report an end twice.  Attempts at a task share its id, so on one connection the second
        report would be taken for the end of the next attempt, which is still open."""
        return offer.id not in self._sent_tasks

    def on_data(self, stream: Stream, data: bytes) -> None:
        self.has_received = True
        self.link.on_activity(self)
        self.last_used_ns = self.link.loop.now_ns()
        messages, unreadable = self.reader.feed(data)
        for message in messages:
            self._handle(message)
        if unreadable is not None:
            self._log_invalid(unreadable)
            stream.abort(unreadable)

    def _handle(self, message: Message) -> None:
        """Pass a message on.  An invalid one ends the connection, but only after what has arrived is read:
        valid messages behind it concern other tasks, and the machine may not repeat them soon."""
        try:
            self.link.on_message(self, message)
        except SignalError as fault:
            self._log_invalid(fault)
            assert self.stream is not None
            self.stream.fail(fault)

    def _log_invalid(self, fault: SignalError) -> None:
        self.link.report.line("machine.spoilt", machine=self.link.name, why=str(fault))

    def read_pending(self) -> None:
        """Read and handle what has arrived.

        Called before a timeout is acted on: the peer's message may lie here unread because this process was
        paused or is behind."""
        if self.stream is not None:
            self.stream.read_now(MAX_READ_BYTES)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.link.on_closed(self, fault)

    def is_live(self) -> bool:
        return self.stream is not None and self.stream.can_send() and not self.closing

    def is_writable(self) -> bool:
        """Whether a set-up may be written on it now.

        Not while earlier bytes are unsent: the set-up would wait in the stream's buffer and be sent later,
        when it may no longer be allowed."""
        return (
            self.ping_timer is None
            and self.is_live()
            and self.stream is not None
            and not self.stream.has_unsent()
        )

    def may_have_lost_data(self) -> bool:
        """Whether data that the machine sent on this closed connection may not have been received."""
        stream = self.stream
        if stream is None or not stream.connected or self.closed_for_room:
            return False
        return self.left_unanswered or not stream.ended_by_peer

    def is_idle(self) -> bool:
        """Whether no set-up is open on it and no part of a message is left in its reader."""
        return not self.open_offers and self.is_live() and not self.reader.pending()

    def start_closing(self) -> None:
        """Send nothing more, read what the machine still sends for a while, then close."""
        if self.stream is not None and not self.closing and not self.stream.closed:
            self.closing = True
            self.stream.finish()
            self.link.loop.call_later(CLOSE_LINGER_NS, self.stream.fail, None)


def is_refused(fault: BaseException | None) -> bool:
    """Whether a connection failed because nothing listens at its address."""
    return isinstance(fault, OSError) and fault.errno == errno.ECONNREFUSED
