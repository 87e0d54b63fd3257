"""Follows the journal service: the list as numbered events, through breaks, silence and a new address."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop, Stream
from ladderhub.loop.stream import Address, connect
from ladderhub.platform.report import Report
from ladderhub.signalling import JournalEvent, JournalReader
from ladderhub.signalling.journal import EVENT_MOST

MS = 1_000_000
S = 1_000 * MS
REDIAL_AFTER_NS = 100 * MS
# A line comes each second; one that has not come after a second and a half has been missed.
SILENCE_LIMIT_NS = 1_500 * MS
CHECK_INTERVAL_NS = 100 * MS
# Before a set-up leaves, what the service told meanwhile is read, if the last look is older than this.
MIN_READ_INTERVAL_NS = 2 * MS
MAX_READ_BYTES = EVENT_MOST
# At a start what was told meanwhile comes at once after the question; where nothing has come after so many
# times what the connection took, there is nothing.
CATCH_UP_WAIT_FACTOR = 4


class _Conn:
    def __init__(self, follower: JournalFollower, address: Address) -> None:
        self.follower = follower
        self.reader = JournalReader(follower.pos)
        self.last_heard_ns = follower.loop.now_ns()
        self.has_received = False
        self.stream = connect(
            follower.loop, address, self, follower.connect_timeout_ns, self._on_connected, first=True
        )

    def _on_connected(self, stream: Stream) -> None:
        self.reader.pos = self.follower.pos
        stream.write(self.reader.start())
        took_ns = self.follower.loop.now_ns() - self.last_heard_ns
        self.follower.loop.call_later(CATCH_UP_WAIT_FACTOR * took_ns + MS, self.follower.mark_caught_up)

    def on_data(self, stream: Stream, data: bytes) -> None:
        self.last_heard_ns = self.follower.loop.now_ns()
        events, fault = self.reader.feed(data)
        self.has_received = (
            self.has_received or fault is None
        )  # else a line that stays spoilt is asked for without a pause
        for event in events:
            self.follower.handle_event(event)
        if not self.reader.pending():
            self.follower.mark_caught_up()
        if fault is not None:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.follower.on_closed(self, fault)


class JournalFollower:
    """`take` hears each event once and in order.  `pos` is the number of the last one."""

    def __init__(
        self,
        loop: Loop,
        report: Report,
        address: Address,
        pos: int,
        connect_timeout_ns: int,
        on_event: Callable[[JournalEvent], None],
    ) -> None:
        self.loop, self._report, self._address, self.pos = loop, report, address, pos
        self.connect_timeout_ns, self._on_event = connect_timeout_ns, on_event
        self._conn: _Conn | None = None
        self._old_conns: list[_Conn] = []  # to addresses that were changed; what they still tell counts
        self._last_read_ns = 0
        self.caught_up = False  # what was told during the start has been taken
        self.on_caught_up: Callable[[], None] = lambda: None
        report.gauges["journal"] = lambda: self.pos

    def start(self) -> None:
        self._started_ns = self.loop.now_ns()
        # A service that can't be reached keeps no scheduler from serving by the list it has.
        self.loop.call_later(self.connect_timeout_ns, self.mark_caught_up)
        self._dial()
        self.loop.call_later(CHECK_INTERVAL_NS, self._check_silence)

    def _dial(self) -> None:
        if self._conn is None:
            self._conn = _Conn(self, self._address)

    def set_address(self, address: Address) -> None:
        """The service has another address; the old connection is read until it ends or falls silent."""
        if address == self._address:
            return
        self._address = address
        if self._conn is not None:
            self._old_conns.append(self._conn)
            self._conn = None
        self._dial()

    def mark_caught_up(self) -> None:
        """The list is as new as can be had: from now on tests are passed."""
        if not self.caught_up:
            self.caught_up = True
            after = (self.loop.now_ns() - self._started_ns) // 1000
            self._report.line("journal.caught_up", pos=self.pos, after_us=after)
            self.on_caught_up()

    def read_pending(self) -> None:
        """Take what has been told and was not read yet.

        Danger: in a long round of the loop an event lies unread, and a set-up leaves for a machine that
        counts as told to be leaving."""
        now = self.loop.now_ns()
        if now - self._last_read_ns >= MIN_READ_INTERVAL_NS:
            self._last_read_ns = now
            for conn in [*self._old_conns, *([self._conn] if self._conn is not None else [])]:
                conn.stream.read_now(MAX_READ_BYTES)

    def handle_event(self, event: JournalEvent) -> None:
        if event.pos > self.pos:
            self.pos = event.pos
            self._on_event(event)

    def on_closed(self, conn: _Conn, fault: BaseException | None) -> None:
        if conn in self._old_conns:
            self._old_conns.remove(conn)
        if conn is self._conn:
            self._conn = None
            self._report.line("journal.closed", why=repr(fault)[:80], pos=self.pos)
            # One that told something is dialled again at once, one that only accepts a little later.
            self.loop.call_later(0 if conn.has_received else REDIAL_AFTER_NS, self._dial)

    def _check_silence(self) -> None:
        self.loop.call_later(CHECK_INTERVAL_NS, self._check_silence)
        now = self.loop.now_ns()
        for conn in [*self._old_conns, *([self._conn] if self._conn is not None else [])]:
            if now - conn.last_heard_ns > SILENCE_LIMIT_NS:
                conn.stream.read_now(MAX_READ_BYTES)  # its lines may lie there, and the lateness be ours
                if now - conn.last_heard_ns > SILENCE_LIMIT_NS:
                    conn.stream.abort(TimeoutError("silent"))
