"""Follows the journal service: the list as numbered events, through breaks, silence and a new address."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop, Stream
from ladderhub.loop.stream import Address, connect
from ladderhub.platform.report import Report
from ladderhub.signalling import JournalEvent, JournalReader
from ladderhub.signalling.journal import MAX_EVENT_BYTES

MS = 1_000_000
S = 1_000 * MS
AGAIN_NS = 100 * MS
# A line comes each second; one that has not come after a second and a half has been missed.
SILENT_NS = 1_500 * MS
LOOK_NS = 100 * MS
# Before a set-up leaves, what the service told meanwhile is read, if the last look is older than this.
FRESH_NS = 2 * MS
READ_MOST = MAX_EVENT_BYTES
# At a start what was told meanwhile comes at once after the question; where nothing has come after so many
# times what the connection took, there is nothing.
CAUGHT_UP_TIMES = 4


class _Conn:
    def __init__(self, follower: Follower, address: Address) -> None:
        self.follower = follower
        self.reader = JournalReader(follower.pos)
        self.heard_ns = follower.loop.now_ns()
        self.told = False
        self.stream = connect(follower.loop, address, self, follower.connect_ns, self._connected, first=True)

    def _connected(self, stream: Stream) -> None:
        self.reader.pos = self.follower.pos
        stream.write(self.reader.start())
        took_ns = self.follower.loop.now_ns() - self.heard_ns
        self.follower.loop.call_later(CAUGHT_UP_TIMES * took_ns + MS, self.follower.catch_up)

    def on_data(self, stream: Stream, data: bytes) -> None:
        self.heard_ns = self.follower.loop.now_ns()
        events, fault = self.reader.feed(data)
        self.told = self.told or fault is None  # else a line that stays spoilt is asked for without a pause
        for event in events:
            self.follower.take(event)
        if not self.reader.pending():
            self.follower.catch_up()
        if fault is not None:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.follower.closed(self, fault)


class Follower:
    """`take` hears each event once and in order.  `pos` is the number of the last one."""

    def __init__(
        self,
        loop: Loop,
        report: Report,
        address: Address,
        pos: int,
        connect_ns: int,
        on_event: Callable[[JournalEvent], None],
    ) -> None:
        self.loop, self._report, self._address, self.pos = loop, report, address, pos
        self.connect_ns, self._on_event = connect_ns, on_event
        self._conn: _Conn | None = None
        self._old: list[_Conn] = []  # to addresses that were changed; what they still tell counts
        self._looked_ns = 0
        self.caught_up = False  # what was told during the start has been taken
        self.on_caught_up: Callable[[], None] = lambda: None
        report.gauges["journal"] = lambda: self.pos

    def start(self) -> None:
        self._began_ns = self.loop.now_ns()
        # A service that can't be reached keeps no scheduler from serving by the list it has.
        self.loop.call_later(self.connect_ns, self.catch_up)
        self._dial()
        self.loop.call_later(LOOK_NS, self._look)

    def _dial(self) -> None:
        if self._conn is None:
            self._conn = _Conn(self, self._address)

    def move(self, address: Address) -> None:
        """The service has another address; the old connection is read until it ends or falls silent."""
        if address == self._address:
            return
        self._address = address
        if self._conn is not None:
            self._old.append(self._conn)
            self._conn = None
        self._dial()

    def catch_up(self) -> None:
        """The list is as new as can be had: from now on tests are passed."""
        if not self.caught_up:
            self.caught_up = True
            after = (self.loop.now_ns() - self._began_ns) // 1000
            self._report.line("journal.caught_up", pos=self.pos, after_us=after)
            self.on_caught_up()

    def look(self) -> None:
        """Take what has been told and was not read yet.

        Danger: in a long round of the loop an event lies unread, and a set-up leaves for a machine that
        counts as told to be leaving."""
        now = self.loop.now_ns()
        if now - self._looked_ns >= FRESH_NS:
            self._looked_ns = now
            for conn in [*self._old, *([self._conn] if self._conn is not None else [])]:
                conn.stream.read_now(READ_MOST)

    def take(self, event: JournalEvent) -> None:
        if event.pos > self.pos:
            self.pos = event.pos
            self._on_event(event)

    def closed(self, conn: _Conn, fault: BaseException | None) -> None:
        if conn in self._old:
            self._old.remove(conn)
        if conn is self._conn:
            self._conn = None
            self._report.line("journal.closed", why=repr(fault)[:80], pos=self.pos)
            # One that told something is dialled again at once, one that only accepts a little later.
            self.loop.call_later(0 if conn.told else AGAIN_NS, self._dial)

    def _look(self) -> None:
        self.loop.call_later(LOOK_NS, self._look)
        now = self.loop.now_ns()
        for conn in [*self._old, *([self._conn] if self._conn is not None else [])]:
            if now - conn.heard_ns > SILENT_NS:
                conn.stream.read_now(READ_MOST)  # its lines may lie there, and the lateness be ours
                if now - conn.heard_ns > SILENT_NS:
                    conn.stream.abort(TimeoutError("silent"))
