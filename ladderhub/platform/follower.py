"""Follows the numbered events of the journal service, reconnecting after failures, silence or a move.

A service that is slow must be heard in the end, and one that is dead must be found soon.  So where one is
silent another connection is dialled beside the first, and the first line decides (`patience.py`).
"""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop, Stream
from ladderhub.loop.stream import Address, connect
from ladderhub.platform.patience import MAX_CANDIDATES, PATIENCE_NS, SILENCE_LIMIT_NS, ConnectionTimes
from ladderhub.platform.report import Report
from ladderhub.signalling import JournalEvent, JournalReader
from ladderhub.signalling.journal import MAX_EVENT_BYTES

MS = 1_000_000
S = 1_000 * MS
REDIAL_AFTER_NS = 100 * MS
CHECK_INTERVAL_NS = 100 * MS
# To all addresses together, those of earlier configurations too: `OWN_DESCRIPTORS` has room for so many.
MAX_CONNECTIONS = MAX_CANDIDATES + 1
# Pending events are read before each set-up is sent, but no more often than this.
MIN_READ_INTERVAL_NS = 2 * MS
MAX_READ_BYTES = MAX_EVENT_BYTES
# After connecting, the service sends missed events at once.  If nothing arrived after this many times the
# duration of connecting, there are none.
CATCH_UP_WAIT_FACTOR = 4


class _Conn:
    """One connection to the journal service."""

    def __init__(self, follower: JournalFollower, address: Address) -> None:
        self.follower = follower
        self.reader = JournalReader(follower.pos)
        self.times = ConnectionTimes(follower.loop.now_ns())
        self.has_received = False
        self.stream = connect(follower.loop, address, self, PATIENCE_NS, self._on_connected, first=True)

    def _on_connected(self, stream: Stream) -> None:
        self.reader.pos = self.follower.pos
        stream.write(self.reader.start())
        now = self.times.connected_ns = self.follower.loop.now_ns()
        took_ns = now - self.times.dialled_ns
        self.follower.loop.call_later(CATCH_UP_WAIT_FACTOR * took_ns + MS, self.follower.mark_caught_up)

    def on_data(self, stream: Stream, data: bytes) -> None:
        self.times.heard_ns = self.follower.loop.now_ns()
        events, fault = self.reader.feed(data)
        if fault is None and b"\n" in data:
            self.follower.use(self)
        # Not set by invalid data alone: it would be requested again and again without a pause.
        self.has_received = self.has_received or fault is None
        for event in events:
            self.follower.handle_event(event)
        if not self.reader.pending():
            self.follower.mark_caught_up()
        if fault is not None:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.follower.on_closed(self, fault)


class JournalFollower:
    """Calls `on_event` once for each event, in order.  `pos` is the number of the last one."""

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
        self._conns: list[_Conn] = []  # oldest first; several while none speaks
        self._old_conns: list[_Conn] = []  # to previous addresses; their events still count
        self._last_read_ns = 0
        self.caught_up = False  # the events sent during the start were handled
        self.on_caught_up: Callable[[], None] = lambda: None
        report.gauges["journal"] = lambda: self.pos

    def start(self) -> None:
        """Connect to the service."""
        self._started_ns = self.loop.now_ns()
        # If the service can't be reached, the scheduler still serves, with the list that it has.
        self.loop.call_later(self.connect_timeout_ns, self.mark_caught_up)
        self._dial()
        self.loop.call_later(CHECK_INTERVAL_NS, self._check_silence)

    def _redial(self) -> None:
        """Dial unless another connection was dialled meanwhile."""
        if not self._conns:
            self._dial()

    def _dial(self) -> None:
        while len(self._old_conns) + len(self._conns) >= MAX_CONNECTIONS and self._old_conns:
            self._old_conns[0].stream.abort()
        self._conns.append(_Conn(self, self._address))

    def use(self, conn: _Conn) -> None:
        """The service speaks on this connection: the others to the same address are not needed any more."""
        if conn in self._conns:
            others = [each for each in self._conns if each is not conn]
            self._conns = [conn]
            for each in others:
                each.stream.abort()

    def set_address(self, address: Address) -> None:
        """Follow the service at another address; the old connections are read until they close or are
        silent."""
        if address == self._address:
            return
        self._address = address
        self._old_conns += self._conns
        self._conns = []
        self._dial()

    def mark_caught_up(self) -> None:
        """The list is as current as possible: pings may be answered from now on."""
        if not self.caught_up:
            self.caught_up = True
            after = (self.loop.now_ns() - self._started_ns) // 1000
            self._report.line("journal.caught_up", pos=self.pos, after_us=after)
            self.on_caught_up()

    def read_pending(self) -> None:
        """Read and handle pending events.

        In a long round of the loop an event may lie unread, and a set-up would be sent to a machine that was
        already announced as draining."""
        now = self.loop.now_ns()
        if now - self._last_read_ns >= MIN_READ_INTERVAL_NS:
            self._last_read_ns = now
            for conn in [*self._old_conns, *self._conns]:
                conn.stream.read_now(MAX_READ_BYTES)

    def handle_event(self, event: JournalEvent) -> None:
        """Pass an event on, unless it was already received."""
        if event.pos > self.pos:
            self.pos = event.pos
            self._on_event(event)

    def on_closed(self, conn: _Conn, fault: BaseException | None) -> None:
        """Reconnect if this was the only connection to the current address."""
        if conn in self._old_conns:
            self._old_conns.remove(conn)
        if conn in self._conns:
            self._conns.remove(conn)
            self._report.line("journal.closed", why=repr(fault)[:80], pos=self.pos)
            if not self._conns:
                # Reconnect at once if it sent something valid, otherwise a little later.
                self.loop.call_later(0 if conn.has_received else REDIAL_AFTER_NS, self._redial)

    def _check_silence(self) -> None:
        self.loop.call_later(CHECK_INTERVAL_NS, self._check_silence)
        now = self.loop.now_ns()
        for conn in list(self._old_conns):
            if self._read_silence_ns(conn, now) > SILENCE_LIMIT_NS:
                conn.stream.abort(TimeoutError("silent"))
        for conn in list(self._conns):
            if self._read_silence_ns(conn, now) > SILENCE_LIMIT_NS and conn.times.is_hopeless(now):
                conn.stream.abort(TimeoutError("silent"))
        if self._conns and self._conns[-1].times.is_overdue(now, self.connect_timeout_ns):
            self._dial_another()

    def _read_silence_ns(self, conn: _Conn, now: int) -> int:
        """How long it has been silent.  Its lines may be unread, if this process is behind, and are read."""
        if conn.times.get_silence_ns(now) > SILENCE_LIMIT_NS:
            conn.stream.read_now(MAX_READ_BYTES)
        return conn.times.get_silence_ns(now)

    def _dial_another(self) -> None:
        """Dial once more beside the connections that say nothing, or in place of the newest of them."""
        newest = self._conns[-1]
        self._report.line("journal.silent", connections=len(self._conns), pos=self.pos)
        if len(self._conns) >= MAX_CANDIDATES:
            self._conns.remove(newest)
            newest.stream.abort()
        self._dial()
