"""One connection of an owner: its incoming messages, its open set-ups, and how it is closed."""

from __future__ import annotations

import socket
from collections import deque
from typing import Protocol

from ladderhub.loop import Loop, Stream
from ladderhub.platform.eviction import Trust
from ladderhub.platform.setup_parser import is_handover
from ladderhub.platform.report import Report
from ladderhub.platform.task import Task
from ladderhub.platform.tasks import Tasks
from ladderhub.signalling import Cause, Kind, LineReader, Message, SignalError, encode_line
from ladderhub.signalling.table import MAX_MESSAGE_BYTES

MS = 1_000_000
# By the protocol a set-up counts as received once its last byte is written, whether it was read or not, and
# may cross a close for this long.  So after invalid data a connection is read for this long, and every set-up
# that arrives is failed.
CLOSE_RACE_NS = 50 * MS
READ_BYTES = MAX_MESSAGE_BYTES  # read from one connection at a time
MAX_PENDING_READ_BYTES = 16 * READ_BYTES  # read at once before a set-up of its owner is sent


class OwnerConnHandler(Protocol):
    """The server that accepted a connection, which the connection reports to."""

    loop: Loop
    report: Report
    tasks: Tasks

    def get_waited_since_ns(self) -> int: ...

    def may_handle(self, conn: OwnerConn, message: Message) -> bool:
        """Whether there is room for what this message brings; if not, it has to wait."""

    def on_message(self, conn: OwnerConn, message: Message) -> None: ...

    def on_activity(self, conn: OwnerConn) -> None:
        """It sent something, or its trust has changed."""

    def remove_conn(self, conn: OwnerConn) -> None:
        """Nothing more is accepted from it."""

    def on_closing(self, conn: OwnerConn) -> None:
        """It is being closed, but may still have unsent data."""

    def on_closed(self, conn: OwnerConn) -> None: ...

    def resend_lost(self, lost: OwnerConn) -> None: ...


class OwnerConn:
    """One connection of an owner."""

    def __init__(self, server: OwnerConnHandler, sock: socket.socket) -> None:
        self.server = server
        self.opened_ns = self.last_heard_ns = server.loop.now_ns()
        self.trust = Trust.NONE
        self.partial_since_ns = 0  # since when a line is incomplete, or 0
        self._unread_since_ns = 0  # since when unread bytes may have waited, or 0
        self.earliest_arrival_ns = self.opened_ns  # of the data that was read last
        self.open_tasks: dict[str, Task] = {}
        self._inbox: deque[Message | SignalError] = deque()  # read and not handled yet
        self.unconfirmed_count = 0  # of its releases that are repeated until they are confirmed
        self._stalled = False  # the inbox is not empty, as there is no room for its first message
        self.alive = True  # False once it is closed or being closed
        self.reader = LineReader()
        self.stream = Stream(server.loop, sock, self, max_read_bytes=READ_BYTES)
        self.peer = self.stream.peer().rpartition(":")[0]
        if self.stream.has_unread():
            self._unread_since_ns = server.get_waited_since_ns()  # it waited to be accepted

    def on_data(self, stream: Stream, data: bytes) -> None:
        self.last_heard_ns = self.server.loop.now_ns()
        self.earliest_arrival_ns = self._unread_since_ns or self.server.loop.earliest_arrival_ns(
            stream.fileno()
        )
        self._unread_since_ns = self.earliest_arrival_ns if len(data) >= READ_BYTES else 0
        found, end = self.reader.feed(data)
        self._inbox.extend(found)
        self._handle_inbox()
        if self.alive:
            self.server.on_activity(self)
        if not self.alive:
            if end is not None:
                stream.close()
        elif end is not None:
            self.server.report.line("owner.unreadable", peer=self.peer, why=str(end)[:120])
            self.close("unreadable", CLOSE_RACE_NS)
        if not self.reader.pending():
            self.partial_since_ns = 0
        elif found or not self.partial_since_ns:
            self.partial_since_ns = self.last_heard_ns

    def _handle_inbox(self) -> None:
        while self._inbox:
            each = self._inbox[0]
            if self.alive and isinstance(each, Message) and not self.server.may_handle(self, each):
                break
            self._inbox.popleft()
            if not self.alive:
                self._handle_while_closing(each)
            elif isinstance(each, SignalError):
                self.reject(each)
            else:
                self.server.on_message(self, each)
        if self._stalled != bool(self._inbox):
            self._stalled = not self._stalled
            self.stream.pause(self._stalled)

    def is_stalled(self) -> bool:
        """Whether messages wait for room, and nothing is read until there is some."""
        return self._stalled

    def read_pending(self) -> None:
        """Read and handle all that has arrived.

        Called before each attempt, also while reading is paused: the unread data may cancel the set-up or
        end the connection, and then nobody would use the started task.  If there is very much, some of it is
        left."""
        self._handle_inbox()
        if not self._stalled:
            self.stream.read_now(MAX_PENDING_READ_BYTES)

    def has_unread(self) -> bool:
        """Whether the owner has sent more than was handled."""
        return bool(self._inbox) or self.stream.has_unread()

    def has_left(self) -> bool:
        """Whether the owner has closed the connection, also if what it sent before that is still unread."""
        return not self.alive or self.stream.has_peer_finished()

    def reject(self, fault: SignalError) -> None:
        """Reject an invalid message: fail the set-up that it names, and close the connection."""
        self.server.report.line("owner.turned_away", peer=self.peer, why=str(fault)[:120])
        if fault.id:
            open_task = self.open_tasks.pop(fault.id, None)
            self._write(Message(Kind.RELEASE, fault.id, Cause.INVALID))
            if open_task is not None:
                self.server.tasks.give_up(open_task)
        self.close("turned away", CLOSE_RACE_NS)

    def _handle_while_closing(self, each: Message | SignalError) -> None:
        """Handle a message on a connection that is being closed: new set-ups fail, but messages about running
        tasks are handled, as these do not belong to a connection."""
        if isinstance(each, SignalError):
            self._write(Message(Kind.RELEASE, each.id, Cause.INVALID))
        elif each.kind in (Kind.RELEASE, Kind.RELEASED) or is_handover(each):
            self.server.on_message(self, each)
        elif each.kind is Kind.SETUP:
            self._write(Message(Kind.RELEASE, each.id, Cause.INVALID))

    def close(self, why: str, linger_ns: int = 0) -> None:
        """Fail the open set-ups, and close the connection after `linger_ns`."""
        if not self.alive:
            return
        for id in list(self.open_tasks):
            self._write(Message(Kind.RELEASE, id, Cause.BROKEN))
        self._disconnect(why)
        self.server.on_closing(self)
        if linger_ns:
            self.server.loop.call_later(linger_ns, self.stream.close)
        else:
            self.stream.close()

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._disconnect(repr(fault)[:80])
        self.server.on_closed(self)

    def _disconnect(self, why: str) -> None:
        if not self.alive:
            return
        self.alive = False
        self.server.remove_conn(self)
        if self.open_tasks:
            self.server.report.line("owner.closed", peer=self.peer, why=why, open=len(self.open_tasks))
        left, self.open_tasks = self.open_tasks, {}
        for task in left.values():
            self.server.tasks.give_up(task)
        self.server.resend_lost(self)

    def send(self, message: Message) -> None:
        """Send a message unless it is closed; an answer or release ends the open set-up."""
        if message.kind in (Kind.ANSWER, Kind.RELEASE):
            self.open_tasks.pop(message.id, None)
            if message.kind is Kind.ANSWER and self.alive:
                self.trust = Trust.HAD_TASK
                self.server.on_activity(self)
        if self.alive:
            self._write(message)

    def _write(self, message: Message) -> None:
        self.stream.write(encode_line(message))

    def get_silent_since_ns(self, now: int) -> int:
        """Since when a complete message is missing; `now` if none is."""
        return self.opened_ns if self.trust is Trust.NONE else self.partial_since_ns or now

    def is_idle(self) -> bool:
        """Whether nothing is open on it and nothing is unread.  A set-up counts as received once it was
        written, so closing with unread data could lose one."""
        return not self.open_tasks and not self.stream.has_unread()
