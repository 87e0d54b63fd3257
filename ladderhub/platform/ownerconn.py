"""One connection of an owner: what was read on it, which of its set-ups are open, and how it is closed."""

from __future__ import annotations

import socket
from collections import deque
from typing import Protocol

from ladderhub.loop import Loop, Stream
from ladderhub.platform.eviction import Trust
from ladderhub.platform.reading import is_handover
from ladderhub.platform.report import Report
from ladderhub.platform.task import Task
from ladderhub.platform.tasks import Tasks
from ladderhub.signalling import Cause, Kind, LineReader, Message, SignalError, encode_line
from ladderhub.signalling.table import MAX_MESSAGE_BYTES

MS = 1_000_000
# A set-up counts as taken once its last byte is written, read or not.  So after what can't be used a
# connection is still read for as long as a set-up may cross its close, and each is told that it failed.
CROSSING_NS = 50 * MS
PORTION = MAX_MESSAGE_BYTES  # bytes of one connection that are read at a time
LOOK_MOST = 64 * PORTION  # and that are read before a task of its owner is sent on


class Door(Protocol):
    """What a connection needs of the door that it came through."""

    loop: Loop
    report: Report
    tasks: Tasks

    def unseen_since_ns(self) -> int: ...

    def hear(self, conn: OwnerConn, message: Message) -> None: ...

    def heard(self, conn: OwnerConn) -> None:
        """It said something, or has shown more than before."""

    def forget(self, conn: OwnerConn) -> None:
        """Nothing more is taken from it."""

    def closing(self, conn: OwnerConn) -> None:
        """What was written to it may not have left yet."""

    def closed(self, conn: OwnerConn) -> None: ...

    def tell_elsewhere(self, lost: OwnerConn) -> None: ...


class OwnerConn:
    """One connection of an owner."""

    def __init__(self, door: Door, sock: socket.socket) -> None:
        self.door = door
        self.since_ns = self.heard_ns = door.loop.now_ns()
        self.trust = Trust.NONE
        self.partial_ns = 0  # since when a line is unfinished
        self._unread_ns = 0  # where bytes lie unread, since when they may
        self.read_ns = self.since_ns  # what was read last had come by then at the earliest
        self.open: dict[str, Task] = {}
        self._inbox: deque[Message | SignalError] = deque()  # read, and not yet acted on
        self.alive = True  # False once it is closed or about to be
        self.reader = LineReader()
        self.stream = Stream(door.loop, sock, self, max_read_bytes=PORTION)
        self.peer = self.stream.peer().rpartition(":")[0]
        if self.stream.has_unread():
            self._unread_ns = door.unseen_since_ns()  # they came while it waited to be accepted

    def on_data(self, stream: Stream, data: bytes) -> None:
        self.heard_ns = self.door.loop.now_ns()
        self.read_ns = self._unread_ns or self.door.loop.earliest_arrival_ns(stream.fileno())
        self._unread_ns = self.read_ns if len(data) >= PORTION else 0
        found, end = self.reader.feed(data)
        self._inbox.extend(found)
        self._act()
        if self.alive:
            self.door.heard(self)
        if not self.alive:
            if end is not None:
                stream.close()
        elif end is not None:
            self.door.report.line("owner.unreadable", peer=self.peer, why=str(end)[:120])
            self.shut("unreadable", CROSSING_NS)
        if not self.reader.pending():
            self.partial_ns = 0
        elif found or not self.partial_ns:
            self.partial_ns = self.heard_ns

    def _act(self) -> None:
        while self._inbox:
            each = self._inbox.popleft()
            if not self.alive:
                self._take_last(each)
            elif isinstance(each, SignalError):
                self.turn_away(each)
            else:
                self.door.hear(self, each)

    def look(self) -> None:
        """Act on all that has come.

        Danger: behind bytes not read yet lies that the owner takes its set-up back, or its end; what is sent
        on after that is for nobody.  So this is done before each attempt, also where reading is paused."""
        self._act()
        self.stream.read_now(LOOK_MOST)

    def turn_away(self, fault: SignalError) -> None:
        """A message that can't be used: its sender is told, and its connection closed."""
        self.door.report.line("owner.turned_away", peer=self.peer, why=str(fault)[:120])
        if fault.id:
            twin = self.open.pop(fault.id, None)
            self._write(Message(Kind.RELEASE, fault.id, Cause.INVALID))
            if twin is not None:
                self.door.tasks.give_up(twin)
        self.shut("turned away", CROSSING_NS)

    def _take_last(self, each: Message | SignalError) -> None:
        """What is read on a connection that is about to be closed: new set-ups fail, but what it says of
        tasks that stand holds, as no connection owns these."""
        if isinstance(each, SignalError):
            self._write(Message(Kind.RELEASE, each.id, Cause.INVALID))
        elif each.kind in (Kind.RELEASE, Kind.RELEASED) or is_handover(each):
            self.door.hear(self, each)
        elif each.kind is Kind.SETUP:
            self._write(Message(Kind.RELEASE, each.id, Cause.INVALID))

    def shut(self, why: str, linger_ns: int = 0) -> None:
        """Close, after lingering so long; each set-up that is open on it fails."""
        if not self.alive:
            return
        for id in list(self.open):
            self._write(Message(Kind.RELEASE, id, Cause.BROKEN))
        self._ended(why)
        self.door.closing(self)
        if linger_ns:
            self.door.loop.call_later(linger_ns, self.stream.close)
        else:
            self.stream.close()

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._ended(repr(fault)[:80])
        self.door.closed(self)

    def _ended(self, why: str) -> None:
        if not self.alive:
            return
        self.alive = False
        self.door.forget(self)
        if self.open:
            self.door.report.line("owner.closed", peer=self.peer, why=why, open=len(self.open))
        left, self.open = self.open, {}
        for task in left.values():
            self.door.tasks.give_up(task)
        self.door.tell_elsewhere(self)

    def put(self, message: Message) -> None:
        if message.kind in (Kind.ANSWER, Kind.RELEASE):
            self.open.pop(message.id, None)
            if message.kind is Kind.ANSWER and self.alive:
                self.trust = Trust.CARRIED
                self.door.heard(self)
        if self.alive:
            self._write(message)

    def _write(self, message: Message) -> None:
        self.stream.write(encode_line(message))

    def silent_since_ns(self, now: int) -> int:
        """Since when it has said nothing whole; now, where nothing is missing."""
        return self.since_ns if self.trust is Trust.NONE else self.partial_ns or now

    def idle(self) -> bool:
        """Nothing is open on it, and nothing has come that was not read yet: a set-up counts as taken once it
        was written, and closing over it would lose it."""
        return not self.open and not self.stream.has_unread()
