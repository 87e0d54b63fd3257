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
from ladderhub.platform.setup_parser import parse_setup
from ladderhub.platform.report import Report
from ladderhub.platform.task import SetupRequest, TaskOwner
from ladderhub.platform.tasks import Tasks
from ladderhub.signalling import Cause, Kind, Message, SignalError, State
from ladderhub.signalling.table import TEST_FAILED, TEST_PASSED

MS = 1_000_000
S = 1_000 * MS
# A caller that can't be used is owed a close within 3 s of connecting: one that has said nothing whole by
# then, or leaves a line unfinished for so long, is closed a little earlier.
SILENCE_LIMIT_NS = 2_500 * MS
SWEEP_INTERVAL_NS = 100 * MS
# A release of what stood is owed within 1 s.  Its owner says that it heard it, else it is told elsewhere.
RESEND_AFTER_NS = 200 * MS


class _UnconfirmedNotice:
    """A release that its owner has not said to have heard."""

    def __init__(self, message: Message, peer: str, until_ns: int) -> None:
        self.message, self.peer, self.until_ns = message, peer, until_ns
        self.sent_ns = 0
        self.tried_conns: list[OwnerConn] = []

    def rank(self, conn: OwnerConn) -> tuple[Trust, bool, int]:
        """How well this connection suits for telling it, the greatest best."""
        return conn.trust, conn.peer == self.peer, conn.last_heard_ns


class OwnerServer:
    """Listens for owners.  `most`: connections it may hold."""

    def __init__(
        self,
        loop: Loop,
        report: Report,
        tasks: Tasks,
        names: NameIndex,
        settings: api.Settings,
        max_connections: int,
    ) -> None:
        self.loop, self.report, self.tasks = loop, report, tasks
        self._names, self._settings, self._max_connections = names, settings, max_connections
        self._conns: dict[OwnerConn, None] = {}
        self._eviction_order: EvictionOrder[OwnerConn] = EvictionOrder()
        self._closing: dict[OwnerConn, int] = {}  # those that are about to be closed, and since when
        self._listener: Listener | None = None
        self.on_accepted: Callable[[], None] = lambda: None
        # A list may be older than the start, and whoever passes a test gets set-ups at once.
        self.can_answer_pings = False
        self._waiting_pings: list[tuple[OwnerConn, str]] = []  # tests until then
        self.stopping = False  # new callers are asked to stay away
        self.refuses_setups = False  # and no set-up comes any more that would be owed an answer of the module
        tasks.notify_owner = self.notify_owner
        self._unconfirmed: dict[str, _UnconfirmedNotice] = {}
        self._early_ends: EarlyEnds[str, int] = EarlyEnds()  # causes by task
        report.gauges["owners"] = self.count_connections

    def start(self, address: Address) -> None:
        """Open the door; OSError where the address can't be had."""
        self._listener = Listener(self.loop, address, self._accept)
        self.loop.call_later(SWEEP_INTERVAL_NS, self._sweep)

    def get_waited_since_ns(self) -> int:
        """Since when the caller that is being accepted may have waited."""
        assert self._listener is not None
        return self._listener.waited_since_ns

    def get_unaccepted_ns(self) -> int:
        """For how long callers whom this round leaves to the next may have waited; 0 where there are none."""
        return self._listener.unaccepted_ns() if self._listener is not None else 0

    def take_longest_wait_ms(self) -> int:
        """The longest that a caller may have waited to be accepted since the last call, in milliseconds."""
        return self._listener.take_longest_wait_ns() // MS if self._listener is not None else 0

    def get_address(self) -> Address:
        """Where the door is open."""
        assert self._listener is not None
        return self._listener.address

    def count_connections(self) -> int:
        """Connections that hold a descriptor."""
        return len(self._conns) + len(self._closing)

    def count_unconfirmed(self) -> int:
        """Ends that were told and that no owner said to have heard."""
        return len(self._unconfirmed)

    def start_answering_pings(self) -> None:
        """From now on tests are answered, those that wait first."""
        self.can_answer_pings = True
        waiting, self._waiting_pings = self._waiting_pings, []
        for conn, id in waiting:
            self._send_pong(conn, id)

    def _send_pong(self, conn: OwnerConn, id: str) -> None:
        conn.send(Message(Kind.PONG, id, TEST_FAILED if self.stopping else TEST_PASSED))

    def stop(self) -> None:
        """From now on tests are failed, those that wait first."""
        self.stopping = True
        self.start_answering_pings()

    def stop_accepting(self) -> None:
        """Take what has come so far, on connections not accepted yet too, and nothing more."""
        if self._listener is not None:
            self._listener.accept_waiting()
            self._listener.close()
        for conn in list(self._conns):
            conn.read_pending()
        self.refuses_setups = True

    def count_owed(self) -> dict[str, int]:
        """What owners have not got yet, or we have not read of theirs, in numbers; ends only where there is
        anybody to tell them to."""
        conns = [*self._conns, *self._closing]
        return {
            "ends": len(self._unconfirmed) if self._conns else 0,
            "unsent": sum(conn.stream.unsent() for conn in conns),
            "unread": sum(conn.stream.unread() for conn in conns),
        }

    def close_idle(self) -> bool:
        """Close the connections on which nothing lies unread; whether these were all.

        Danger: a set-up may come between a look at all of them and the close, and would be lost with it."""
        for conn in list(self._conns):
            if conn.is_idle():
                conn.close("stopping")
        return not self._conns

    def close(self) -> None:
        """Close all of them, over whatever is open."""
        for conn in [*self._conns, *self._closing]:
            conn.close("stopping")
            conn.stream.close()

    def on_activity(self, conn: OwnerConn) -> None:
        self._eviction_order.update(conn, conn.trust)

    def remove_conn(self, conn: OwnerConn) -> None:
        self._conns.pop(conn, None)
        self._eviction_order.remove(conn)

    def on_closing(self, conn: OwnerConn) -> None:
        """Nothing more is taken from it, but what was written may not have left yet."""
        if not conn.stream.closed:
            self._closing[conn] = self.loop.now_ns()

    def on_closed(self, conn: OwnerConn) -> None:
        self._closing.pop(conn, None)

    # --- connections --------------------------------------------------------------------------------------

    def _accept(self, sock: socket.socket) -> None:
        if self.count_connections() >= self._max_connections and not self._make_room():
            self.report.line("owner.no_room", connections=self.count_connections())
            sock.close()
            return
        conn = OwnerConn(self, sock)
        self._conns[conn] = None
        self._eviction_order.update(conn, conn.trust)
        self.on_accepted()

    def _make_room(self) -> bool:
        """Close one connection with nothing open on it: first those that never said anything, then those that
        never carried a task (a crowd that only tests would else push the owners out), the longest unheard."""
        for conn in self._eviction_order:
            if conn.is_idle():
                self.report.count("owner.evicted")
                conn.close("no room")
                return True
        return False

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_NS, self._sweep)
        now = self.loop.now_ns()
        for conn in list(self._conns):
            if conn.get_silent_since_ns(now) < now - SILENCE_LIMIT_NS:
                # What lies unread may be a set-up, and the silence ours.
                conn.read_pending()
                since = conn.get_silent_since_ns(now)
                if conn.alive and since < now - SILENCE_LIMIT_NS:
                    self.report.line("owner.silent", peer=conn.peer, after_ms=(now - since) // MS)
                    conn.close("silent")
        for conn, since in list(self._closing.items()):
            if now - since > SILENCE_LIMIT_NS:  # it does not read what it was sent, and holds a descriptor
                conn.stream.abort(BufferError("the peer does not read"))
        for id, notice in list(self._unconfirmed.items()):
            if now > notice.until_ns:
                self.report.line("owner.unheard", task=id)
                del self._unconfirmed[id]
            elif now > notice.sent_ns + RESEND_AFTER_NS:
                self._send_notice(notice)

    # --- what stood and is over ---------------------------------------------------------------------------

    def notify_owner(self, owner: TaskOwner, message: Message) -> None:
        """Tell an owner of a task that stood, on the connection of its set-up or else on another one, until
        it is heard."""
        assert isinstance(owner, OwnerConn)
        notice = _UnconfirmedNotice(message, owner.peer, self.loop.now_ns() + RELEASE_DEADLINE_NS)
        if message.kind is Kind.RELEASE:
            self._unconfirmed[message.id] = notice
        self._send_notice(notice, owner)

    def _send_notice(self, notice: _UnconfirmedNotice, owner: OwnerConn | None = None) -> None:
        if owner is None or not owner.alive:
            useful = [conn for conn in self._conns if conn.trust is not Trust.NONE]
            others = [conn for conn in useful if conn not in notice.tried_conns] or useful
            owner = max(others, key=notice.rank) if others else None
            self.report.count("over.elsewhere" if owner is not None else "over.kept")
        notice.sent_ns = self.loop.now_ns()
        if owner is not None:
            notice.tried_conns.append(owner)
            owner.send(notice.message)

    def resend_lost(self, lost: OwnerConn) -> None:
        """What was told on a connection that has ended, and not heard."""
        for notice in list(self._unconfirmed.values()):
            if notice.tried_conns and notice.tried_conns[-1] is lost:
                self._send_notice(notice)

    # --- messages -----------------------------------------------------------------------------------------

    def on_message(self, conn: OwnerConn, message: Message) -> None:
        self.report.count(f"heard.{message.kind.name.lower()}")
        if message.kind is Kind.PING:
            conn.trust = max(conn.trust, Trust.VALID_MESSAGE)
            if self.can_answer_pings or self.stopping:
                self._send_pong(conn, message.id)
            else:
                self._waiting_pings.append((conn, message.id))
        elif message.kind is Kind.SETUP:
            self._on_setup(conn, message)
        elif message.kind is Kind.RELEASE:
            self._on_release(conn, message)
        elif message.kind is Kind.RELEASED:
            self._unconfirmed.pop(message.id, None)

    def _on_setup(self, conn: OwnerConn, message: Message) -> None:
        known = self.tasks.find(message.id)
        try:
            request = parse_setup(message, self._names, self._settings)
        except SignalError as fault:
            conn.reject(fault)
            return
        conn.trust = max(conn.trust, Trust.HAD_TASK if request.machine else Trust.VALID_SETUP)
        if known is not None:
            if request.machine and known.leg.state is State.STANDS:
                known.owner = conn  # held already; its owner may be reached here
            elif message.id in conn.open_tasks:
                # Two set-ups under one id: no answer could be told to belong to the one or the other.
                conn.reject(SignalError("the id is that of an open set-up", message.id))
            else:
                conn.send(Message(Kind.RELEASE, message.id, Cause.PROTOCOL))
        elif request.machine:
            self._adopt(conn, request)
        elif self.refuses_setups or message.fields.get("idem"):
            # The second: no parameter of the machines' encoding is published for this key, and without it
            # they would not know a repeat.  Nothing ran, so its owner may come again.
            self.report.count("refused.settling" if self.refuses_setups else "refused.idem")
            conn.send(Message(Kind.RELEASE, message.id, Cause.BUSY))
        else:
            self.report.count("setups")
            # Danger: the owner counts from when it sent, not from when a busy scheduler read it.  Harm: of a
            # set-up that came late in the time between two looks a little is taken too much.
            task = self.tasks.accept(conn, request, conn.earliest_arrival_ns + request.left_ns)
            # Danger: the owner may go while its task is being placed, and its close must find the task.
            conn.open_tasks[message.id] = task
            self.tasks.place(task)

    def _adopt(self, conn: OwnerConn, request: SetupRequest) -> None:
        task = self.tasks.adopt(conn, request)
        # Danger: its end may have come on another connection, and been read before.
        cause = self._early_ends.take(self.loop.now_ns(), request.id)
        if cause is not None:
            self.report.count("adopted.ended")
            self.tasks.end_running(task, cause)

    def _on_release(self, conn: OwnerConn, message: Message) -> None:
        cause = message.cause if message.cause is not None else Cause.NORMAL
        task = self.tasks.find(message.id)
        if task is None:
            self._early_ends.add(self.loop.now_ns(), message.id, cause)
            return
        if task.leg.state is State.STANDS:
            conn.trust = max(conn.trust, Trust.VALID_MESSAGE)
            self.tasks.end_running(task, cause)
            conn.send(Message(Kind.RELEASED, message.id))
        elif conn.open_tasks.get(message.id) is task:
            del conn.open_tasks[message.id]
            self.tasks.give_up(task)
