"""The door that owners come to: connections, what may be read on them, and which must be closed.

Of set-ups only what can't be one is turned away here; everything else is the module's to decide.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from ladderhub import interface as api
from ladderhub.loop import Listener, Loop
from ladderhub.loop.stream import Address
from ladderhub.platform.early_ends import EarlyEnds
from ladderhub.platform.eviction import EvictionOrder, Trust
from ladderhub.platform.liveness import RELEASE_DEADLINE_NS
from ladderhub.platform.mapping import NameIndex
from ladderhub.platform.ownerconn import OwnerConn
from ladderhub.platform.reading import read_setup
from ladderhub.platform.report import Report
from ladderhub.platform.task import Asked, OwnerLine
from ladderhub.platform.tasks import Tasks
from ladderhub.signalling import Cause, Kind, Message, SignalError, State
from ladderhub.signalling.table import TEST_FAILED, TEST_PASSED

MS = 1_000_000
S = 1_000 * MS
# A caller that can't be used is owed a close within 3 s of connecting: one that has said nothing whole by
# then, or leaves a line unfinished for so long, is closed a little earlier.
SILENT_NS = 2_500 * MS
SWEEP_NS = 100 * MS
# A release of what stood is owed within 1 s.  Its owner says that it heard it, else it is told elsewhere.
AGAIN_NS = 200 * MS


class _Unheard:
    """A release that its owner has not said to have heard."""

    def __init__(self, message: Message, peer: str, until_ns: int) -> None:
        self.message, self.peer, self.until_ns = message, peer, until_ns
        self.told_ns = 0
        self.tried: list[OwnerConn] = []

    def preference(self, conn: OwnerConn) -> tuple[Trust, bool, int]:
        """How well this connection suits for telling it, the greatest best."""
        return conn.trust, conn.peer == self.peer, conn.heard_ns


class OwnerDoor:
    """Listens for owners.  `most`: connections it may hold."""

    def __init__(
        self, loop: Loop, report: Report, tasks: Tasks, names: NameIndex, settings: api.Settings, most: int
    ) -> None:
        self.loop, self.report, self.tasks = loop, report, tasks
        self._names, self._settings, self._most = names, settings, most
        self._conns: dict[OwnerConn, None] = {}
        self._order: EvictionOrder[OwnerConn] = EvictionOrder()
        self._closing: dict[OwnerConn, int] = {}  # those that are about to be closed, and since when
        self._listener: Listener | None = None
        self.on_accepted: Callable[[], None] = lambda: None
        # A list may be older than the start, and whoever passes a test gets set-ups at once.
        self.may_pass = False
        self._waiting: list[tuple[OwnerConn, str]] = []  # tests until then
        self.stopping = False  # new callers are asked to stay away
        self.settling = False  # and no set-up comes any more that would be owed an answer of the module
        tasks.tell_over = self.tell_over
        self._unheard: dict[str, _Unheard] = {}
        self._early: EarlyEnds[str, int] = EarlyEnds()  # causes by task
        report.gauges["owners"] = self.count

    def start(self, address: Address) -> None:
        """Open the door; OSError where the address can't be had."""
        self._listener = Listener(self.loop, address, self._accept)
        self.loop.call_later(SWEEP_NS, self._sweep)

    def unseen_since_ns(self) -> int:
        """Since when the caller that is being accepted may have waited."""
        assert self._listener is not None
        return self._listener.waited_since_ns

    def unaccepted_ns(self) -> int:
        """For how long callers whom this round leaves to the next may have waited; 0 where there are none."""
        return self._listener.unaccepted_ns() if self._listener is not None else 0

    def take_longest_wait_ms(self) -> int:
        """The longest that a caller may have waited to be accepted since the last call, in milliseconds."""
        return self._listener.take_longest_wait_ns() // MS if self._listener is not None else 0

    def address(self) -> Address:
        """Where the door is open."""
        assert self._listener is not None
        return self._listener.address

    def count(self) -> int:
        """Connections that hold a descriptor."""
        return len(self._conns) + len(self._closing)

    def unheard(self) -> int:
        """Ends that were told and that no owner said to have heard."""
        return len(self._unheard)

    def pass_tests(self) -> None:
        """From now on tests are answered, those that wait first."""
        self.may_pass = True
        waiting, self._waiting = self._waiting, []
        for conn, id in waiting:
            self._pong(conn, id)

    def _pong(self, conn: OwnerConn, id: str) -> None:
        conn.put(Message(Kind.PONG, id, TEST_FAILED if self.stopping else TEST_PASSED))

    def stop(self) -> None:
        """From now on tests are failed, those that wait first."""
        self.stopping = True
        self.pass_tests()

    def settle(self) -> None:
        """Take what has come so far, on connections not accepted yet too, and nothing more."""
        if self._listener is not None:
            self._listener.accept_waiting()
            self._listener.close()
        for conn in list(self._conns):
            conn.look()
        self.settling = True

    def owes(self) -> dict[str, int]:
        """What owners have not got yet, or we have not read of theirs, in numbers; ends only where there is
        anybody to tell them to."""
        conns = [*self._conns, *self._closing]
        return {
            "ends": len(self._unheard) if self._conns else 0,
            "unsent": sum(conn.stream.has_unsent() for conn in conns),
            "unread": sum(conn.stream.has_unread() for conn in conns),
        }

    def close_read(self) -> bool:
        """Close the connections on which nothing lies unread; whether these were all.

        Danger: a set-up may come between a look at all of them and the close, and would be lost with it."""
        for conn in list(self._conns):
            if conn.idle():
                conn.shut("stopping")
        return not self._conns

    def close(self) -> None:
        """Close all of them, over whatever is open."""
        for conn in [*self._conns, *self._closing]:
            conn.shut("stopping")
            conn.stream.close()

    def heard(self, conn: OwnerConn) -> None:
        self._order.heard(conn, conn.trust)

    def forget(self, conn: OwnerConn) -> None:
        self._conns.pop(conn, None)
        self._order.forget(conn)

    def closing(self, conn: OwnerConn) -> None:
        """Nothing more is taken from it, but what was written may not have left yet."""
        if not conn.stream.closed:
            self._closing[conn] = self.loop.now_ns()

    def closed(self, conn: OwnerConn) -> None:
        self._closing.pop(conn, None)

    # --- connections --------------------------------------------------------------------------------------

    def _accept(self, sock: socket.socket) -> None:
        if self.count() >= self._most and not self._make_room():
            self.report.line("owner.no_room", connections=self.count())
            sock.close()
            return
        conn = OwnerConn(self, sock)
        self._conns[conn] = None
        self._order.heard(conn, conn.trust)
        self.on_accepted()

    def _make_room(self) -> bool:
        """Close one connection with nothing open on it: first those that never said anything, then those that
        never carried a task (a crowd that only tests would else push the owners out), the longest unheard."""
        for conn in self._order:
            if conn.idle():
                self.report.count("owner.evicted")
                conn.shut("no room")
                return True
        return False

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_NS, self._sweep)
        now = self.loop.now_ns()
        for conn in list(self._conns):
            if conn.silent_since_ns(now) < now - SILENT_NS:
                # What lies unread may be a set-up, and the silence ours.
                conn.look()
                since = conn.silent_since_ns(now)
                if conn.alive and since < now - SILENT_NS:
                    self.report.line("owner.silent", peer=conn.peer, after_ms=(now - since) // MS)
                    conn.shut("silent")
        for conn, since in list(self._closing.items()):
            if now - since > SILENT_NS:  # it does not read what it was sent, and holds a descriptor
                conn.stream.abort(BufferError("the peer does not read"))
        for id, each in list(self._unheard.items()):
            if now > each.until_ns:
                self.report.line("owner.unheard", task=id)
                del self._unheard[id]
            elif now > each.told_ns + AGAIN_NS:
                self._tell(each)

    # --- what stood and is over ---------------------------------------------------------------------------

    def tell_over(self, line: OwnerLine, message: Message) -> None:
        """Tell an owner of a task that stood, on the connection of its set-up or else on another one, until
        it is heard."""
        assert isinstance(line, OwnerConn)
        each = _Unheard(message, line.peer, self.loop.now_ns() + RELEASE_DEADLINE_NS)
        if message.kind is Kind.RELEASE:
            self._unheard[message.id] = each
        self._tell(each, line)

    def _tell(self, each: _Unheard, line: OwnerConn | None = None) -> None:
        if line is None or not line.alive:
            useful = [conn for conn in self._conns if conn.trust is not Trust.NONE]
            others = [conn for conn in useful if conn not in each.tried] or useful
            line = max(others, key=each.preference) if others else None
            self.report.count("over.elsewhere" if line is not None else "over.kept")
        each.told_ns = self.loop.now_ns()
        if line is not None:
            each.tried.append(line)
            line.put(each.message)

    def tell_elsewhere(self, lost: OwnerConn) -> None:
        """What was told on a connection that has ended, and not heard."""
        for each in list(self._unheard.values()):
            if each.tried and each.tried[-1] is lost:
                self._tell(each)

    # --- messages -----------------------------------------------------------------------------------------

    def hear(self, conn: OwnerConn, message: Message) -> None:
        self.report.count(f"heard.{message.kind.name.lower()}")
        if message.kind is Kind.PING:
            conn.trust = max(conn.trust, Trust.TESTED)
            if self.may_pass or self.stopping:
                self._pong(conn, message.id)
            else:
                self._waiting.append((conn, message.id))
        elif message.kind is Kind.SETUP:
            self._setup(conn, message)
        elif message.kind is Kind.RELEASE:
            self._release(conn, message)
        elif message.kind is Kind.RELEASED:
            self._unheard.pop(message.id, None)

    def _setup(self, conn: OwnerConn, message: Message) -> None:
        known = self.tasks.find(message.id)
        try:
            asked = read_setup(message, self._names, self._settings)
        except SignalError as fault:
            conn.turn_away(fault)
            return
        conn.trust = max(conn.trust, Trust.CARRIED if asked.machine else Trust.ASKED)
        if known is not None:
            if asked.machine and known.leg.state is State.ESTABLISHED:
                known.line = conn  # held already; its owner may be reached here
            elif message.id in conn.open:
                # Two set-ups under one id: no answer could be told to belong to the one or the other.
                conn.turn_away(SignalError("the id is that of an open set-up", message.id))
            else:
                conn.put(Message(Kind.RELEASE, message.id, Cause.PROTOCOL))
        elif asked.machine:
            self._adopt(conn, asked)
        elif self.settling or message.fields.get("idem"):
            # The second: no parameter of the machines' encoding is published for this key, and without it
            # they would not know a repeat.  Nothing ran, so its owner may come again.
            self.report.count("refused.settling" if self.settling else "refused.idem")
            conn.put(Message(Kind.RELEASE, message.id, Cause.BUSY))
        else:
            self.report.count("setups")
            # Danger: the owner counts from when it sent, not from when a busy scheduler read it.  Harm: of a
            # set-up that came late in the time between two looks a little is taken too much.
            task = self.tasks.take(conn, asked, conn.read_ns + asked.left_ns)
            # Danger: the owner may go while its task is being placed, and its close must find the task.
            conn.open[message.id] = task
            self.tasks.place(task)

    def _adopt(self, conn: OwnerConn, asked: Asked) -> None:
        task = self.tasks.adopt(conn, asked)
        # Danger: its end may have come on another connection, and been read before.
        cause = self._early.take(self.loop.now_ns(), asked.id)
        if cause is not None:
            self.report.count("adopted.ended")
            self.tasks.end_standing(task, cause)

    def _release(self, conn: OwnerConn, message: Message) -> None:
        cause = message.cause if message.cause is not None else Cause.NORMAL
        task = self.tasks.find(message.id)
        if task is None:
            self._early.add(self.loop.now_ns(), message.id, cause)
            return
        if task.leg.state is State.ESTABLISHED:
            conn.trust = max(conn.trust, Trust.TESTED)
            self.tasks.end_standing(task, cause)
            conn.put(Message(Kind.RELEASED, message.id))
        elif conn.open.get(message.id) is task:
            del conn.open[message.id]
            self.tasks.give_up(task)
