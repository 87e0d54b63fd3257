"""One connection of an owner: what was read on it, which of its set-ups are open, and how it is closed."""

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
from ladderhub.signalling.table import MESSAGE_MOST

MS = 1_000_000
# A set-up counts as taken once its last byte is written, read or not.  So after what can't be used a
# connection is still read for as long as a set-up may cross its close, and each is told that it failed.
CLOSE_RACE_NS = 50 * MS
READ_BYTES = MESSAGE_MOST  # bytes of one connection that are read at a time
MAX_PENDING_READ_BYTES = 64 * READ_BYTES  # and that are read before a task of its owner is sent on


class OwnerConnHandler(Protocol):
    """What a connection needs of the door that it came through."""

    loop: Loop
    report: Report
    tasks: Tasks

    def get_waited_since_ns(self) -> int: ...

    def on_message(self, conn: OwnerConn, message: Message) -> None: ...

    def on_activity(self, conn: OwnerConn) -> None:
        """It said something, or has shown more than before."""

    def remove_conn(self, conn: OwnerConn) -> None:
        """Nothing more is taken from it."""

    def on_closing(self, conn: OwnerConn) -> None:
        """What was written to it may not have left yet."""

    def on_closed(self, conn: OwnerConn) -> None: ...

    def resend_lost(self, lost: OwnerConn) -> None: ...


class OwnerConn:
    """One connection of an owner."""

    def __init__(self, server: OwnerConnHandler, sock: socket.socket) -> None:
        self.server = server
        self.opened_ns = self.last_heard_ns = server.loop.now_ns()
        self.trust = Trust.NONE
        self.partial_since_ns = 0  # since when a line is unfinished
        self._unread_since_ns = 0  # where bytes lie unread, since when they may
        self.earliest_arrival_ns = self.opened_ns  # what was read last had come by then at the earliest
        self.open_tasks: dict[str, Task] = {}
        self._inbox: deque[Message | SignalError] = deque()  # read, and not yet acted on
        self.alive = True  # False once it is closed or about to be
        self.reader = LineReader()
        self.stream = Stream(server.loop, sock, self, read_most=READ_BYTES)
        self.peer = self.stream.peer().rpartition(":")[0]
        if self.stream.unread():
            self._unread_since_ns = server.get_waited_since_ns()  # they came while it waited to be accepted

    def on_data(self, stream: Stream, data: bytes) -> None:
        self.last_heard_ns = self.server.loop.now_ns()
        self.earliest_arrival_ns = self._unread_since_ns or self.server.loop.unseen_since_ns(stream.fileno())
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
            each = self._inbox.popleft()
            if not self.alive:
                self._handle_while_closing(each)
            elif isinstance(each, SignalError):
                self.reject(each)
            else:
                self.server.on_message(self, each)

    def read_pending(self) -> None:
        """Act on all that has come.

        Danger: behind bytes not read yet lies that the owner takes its set-up back, or its end; what is sent
        on after that is for nobody.  So this is done before each attempt, also where reading is paused."""
        self._handle_inbox()
        self.stream.read_now(MAX_PENDING_READ_BYTES)

    def reject(self, fault: SignalError) -> None:
        """A message that can't be used: its sender is told, and its connection closed."""
        self.server.report.line("owner.turned_away", peer=self.peer, why=str(fault)[:120])
        if fault.id:
            twin = self.open_tasks.pop(fault.id, None)
            self._write(Message(Kind.RELEASE, fault.id, Cause.INVALID))
            if twin is not None:
                self.server.tasks.give_up(twin)
        self.close("turned away", CLOSE_RACE_NS)

    def _handle_while_closing(self, each: Message | SignalError) -> None:
        """What is read on a connection that is about to be closed: new set-ups fail, but what it says of
        tasks that stand holds, as no connection owns these."""
        if isinstance(each, SignalError):
            self._write(Message(Kind.RELEASE, each.id, Cause.INVALID))
        elif each.kind in (Kind.RELEASE, Kind.RELEASED) or is_handover(each):
            self.server.on_message(self, each)
        elif each.kind is Kind.SETUP:
            self._write(Message(Kind.RELEASE, each.id, Cause.INVALID))

    def close(self, why: str, linger_ns: int = 0) -> None:
        """Close, after lingering so long; each set-up that is open on it fails."""
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
        """Since when it has said nothing whole; now, where nothing is missing."""
        return self.opened_ns if self.trust is Trust.NONE else self.partial_since_ns or now

    def is_idle(self) -> bool:
        """Nothing is open on it, and nothing has come that was not read yet: a set-up counts as taken once it
        was written, and closing over it would lose it."""
        return not self.open_tasks and not self.stream.unread()
