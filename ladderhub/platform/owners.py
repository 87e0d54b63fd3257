"""The server that owners connect to: accepts and closes their connections and handles their messages.

Only malformed set-ups are rejected here; all other decisions are the decision module's.
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
from ladderhub.platform.setup_parser import is_handover, parse_setup
from ladderhub.platform.report import Report
from ladderhub.platform.task import SetupRequest, estimate_bytes
from ladderhub.platform.task_owner import TaskOwner
from ladderhub.platform.tasks import Tasks
from ladderhub.signalling import Cause, Kind, Message, SignalError, State
from ladderhub.signalling.table import TEST_FAILED, TEST_PASSED

MS = 1_000_000
S = 1_000 * MS
# Unusable connections must be closed within 3 s of connecting.  One that has sent no complete message for
# this long since then, or leaves a line incomplete for this long, is closed a little earlier than that.
SILENCE_LIMIT_NS = 2_500 * MS
SWEEP_INTERVAL_NS = 100 * MS
# The release of a task that ran must reach its owner within 1 s.  If the owner does not confirm it within
# this time, it is sent again on another connection.
RESEND_AFTER_NS = 200 * MS
# At one sweep, so that an owner that confirms nothing does not keep the process from serving others.
MAX_RESENT_AT_ONCE = 64
MAX_UNCONFIRMED = 1024  # of one connection's releases: more are sent once
NOTICE_BYTES = 2048  # what an unconfirmed release takes


class _OwnerNotice:
    """The release or move of a task, with the connections on which it was sent to the owner."""

    def __init__(self, message: Message, payer: OwnerConn, until_ns: int) -> None:
        """`payer`: the connection whose share of the memory it counts for."""
        self.message, self.payer, self.peer, self.until_ns = message, payer, payer.peer, until_ns
        self.sent_ns = 0
        self.tried_conns: list[OwnerConn] = []

    def rank(self, conn: OwnerConn) -> tuple[Trust, bool, int]:
        """Sort key of a connection on which it may be sent; the greatest is the best."""
        return conn.trust, conn.peer == self.peer, conn.last_heard_ns


class OwnerServer:
    """Listens for owners.  `max_connections`: how many connections it may hold."""

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
        self._closing: dict[OwnerConn, int] = {}  # connections being closed, and since when
        self._listener: Listener | None = None
        self.on_accepted: Callable[[], None] = lambda: None
        # Owners send set-ups as soon as their ping is answered, so the machine list must be current first.
        self.can_answer_pings = False
        self._waiting_pings: list[tuple[OwnerConn, str]] = []  # unanswered pings
        self.stopping = False  # pings are answered as failed, so that owners stay away
        self.refuses_setups = False  # new set-ups are refused without asking the module
        tasks.notify_owner = self.notify_owner
        self._unconfirmed: dict[str, _OwnerNotice] = {}
        self._early_ends: EarlyEnds[str, int] = EarlyEnds()  # causes by task
        report.gauges["owners"] = self.count_connections

    def start(self, address: Address) -> None:
        """Start to listen; OSError if the address can't be bound."""
        self._listener = Listener(self.loop, address, self._accept)
        self.loop.call_later(SWEEP_INTERVAL_NS, self._sweep)

    def get_waited_since_ns(self) -> int:
        """The earliest time since when the caller that is being accepted may have waited."""
        assert self._listener is not None
        return self._listener.waited_since_ns

    def get_unaccepted_ns(self) -> int:
        """How long callers left to the next round may have waited to be accepted; 0 if there are none."""
        return self._listener.unaccepted_ns() if self._listener is not None else 0

    def take_longest_wait_ms(self) -> int:
        """The longest that a caller may have waited to be accepted since the last call, in milliseconds."""
        return self._listener.take_longest_wait_ns() // MS if self._listener is not None else 0

    def get_address(self) -> Address:
        """The address that it listens on."""
        assert self._listener is not None
        return self._listener.address

    def count_connections(self) -> int:
        """The number of connections that hold a descriptor."""
        return len(self._conns) + len(self._closing)

    def count_unconfirmed(self) -> int:
        """The number of releases that no owner has confirmed."""
        return len(self._unconfirmed)

    def start_answering_pings(self) -> None:
        """Answer pings from now on, those that wait first."""
        self.can_answer_pings = True
        waiting, self._waiting_pings = self._waiting_pings, []
        for conn, id in waiting:
            self._send_pong(conn, id)

    def _send_pong(self, conn: OwnerConn, id: str) -> None:
        conn.send(Message(Kind.PONG, id, TEST_FAILED if self.stopping else TEST_PASSED))

    def stop(self) -> None:
        """Answer pings as failed from now on, those that wait first."""
        self.stopping = True
        self.start_answering_pings()

    def stop_accepting(self) -> None:
        """Handle what has arrived so far, also on connections not accepted yet, then accept nothing more."""
        if self._listener is not None:
            self._listener.accept_waiting()
            self._listener.close()
        for conn in list(self._conns):
            conn.read_pending()
        self.refuses_setups = True

    def count_owed(self) -> dict[str, int]:
        """Count unconfirmed releases, connections with unsent data and connections with unread data; releases
        only if there is a connection to send them on."""
        conns = [*self._conns, *self._closing]
        return {
            "ends": len(self._unconfirmed) if self._conns else 0,
            "unsent": sum(conn.stream.has_unsent() for conn in conns),
            "unread": sum(conn.stream.has_unread() for conn in conns),
        }

    def close_idle(self) -> bool:
        """Close the connections without unread data; whether these were all.

        Each one is checked just before its close: a set-up that arrives after a check of all of them would be
        lost."""
        for conn in list(self._conns):
            if conn.is_idle():
                conn.close("stopping")
        return not self._conns

    def close(self) -> None:
        """Close all connections, whatever is open on them."""
        for conn in [*self._conns, *self._closing]:
            conn.close("stopping")
            conn.stream.close()

    def on_activity(self, conn: OwnerConn) -> None:
        """It sent something, or its trust has changed."""
        self._eviction_order.update(conn, conn.trust)

    def remove_conn(self, conn: OwnerConn) -> None:
        """Nothing more is accepted from it."""
        self._conns.pop(conn, None)
        self._eviction_order.remove(conn)

    def on_closing(self, conn: OwnerConn) -> None:
        """It is being closed, but may still have unsent data."""
        if not conn.stream.closed:
            self._closing[conn] = self.loop.now_ns()

    def on_closed(self, conn: OwnerConn) -> None:
        """Its descriptor is closed."""
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
        """Close one connection with nothing open on it, in eviction order.  Connections that had no task go
        first, otherwise many callers that only ping would displace the owners."""
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
                # There may be an unread set-up, if this process is behind.
                conn.read_pending()
                since = conn.get_silent_since_ns(now)
                if conn.alive and since < now - SILENCE_LIMIT_NS:
                    self.report.line("owner.silent", peer=conn.peer, after_ms=(now - since) // MS)
                    conn.close("silent")
        for conn, since in list(self._closing.items()):
            if now - since > SILENCE_LIMIT_NS:  # the peer does not read, and holds a descriptor
                conn.stream.abort(BufferError("the peer does not read"))
        self._resend_notices(now)
        for conn in [each for each in self._conns if each.is_stalled()]:
            conn.read_pending()

    def _resend_notices(self, now: int) -> None:
        """Send unconfirmed releases again, those first that were sent longest ago."""
        resent = 0
        for id, notice in list(self._unconfirmed.items()):
            if now > notice.until_ns:
                self.report.line("owner.unheard", task=id)
                self._drop_notice(id)
            elif now > notice.sent_ns + RESEND_AFTER_NS and resent < MAX_RESENT_AT_ONCE:
                resent += 1
                self._unconfirmed[id] = self._unconfirmed.pop(id)  # last in order from now on
                self._send_notice(notice)

    # --- ends of tasks ------------------------------------------------------------------------------------

    def notify_owner(self, owner: TaskOwner, message: Message) -> None:
        """Send an owner the release or move of its running task, on the connection of the set-up or else on
        another one.  A release is repeated until it is confirmed."""
        assert isinstance(owner, OwnerConn)
        notice = _OwnerNotice(message, owner, self.loop.now_ns() + RELEASE_DEADLINE_NS)
        if message.kind is Kind.RELEASE:
            self._keep_notice(notice)
        self._send_notice(notice, owner)

    def _keep_notice(self, notice: _OwnerNotice) -> None:
        """Have a release repeated until it is confirmed, if its owner leaves not too many unconfirmed."""
        payer = notice.payer
        has_room = self.tasks.memory.may_hold(payer, NOTICE_BYTES)
        if has_room and payer.unconfirmed_count < MAX_UNCONFIRMED:
            self._drop_notice(notice.message.id)
            self._unconfirmed[notice.message.id] = notice
            payer.unconfirmed_count += 1
            self.tasks.memory.add(payer, NOTICE_BYTES)

    def _drop_notice(self, id: str) -> None:
        """Its owner has confirmed this release, or it is too late."""
        notice = self._unconfirmed.pop(id, None)
        if notice is not None:
            notice.payer.unconfirmed_count -= 1
            self.tasks.memory.remove(notice.payer, NOTICE_BYTES)

    def _send_notice(self, notice: _OwnerNotice, target: OwnerConn | None = None) -> None:
        if target is None or not target.alive:
            useful = [conn for conn in self._conns if conn.trust is not Trust.NONE]
            others = [conn for conn in useful if conn not in notice.tried_conns] or useful
            target = max(others, key=notice.rank) if others else None
            self.report.count("over.elsewhere" if target is not None else "over.kept")
        notice.sent_ns = self.loop.now_ns()
        if target is not None:
            notice.tried_conns.append(target)
            target.send(notice.message)

    def resend_lost(self, lost: OwnerConn) -> None:
        """Send unconfirmed releases again whose last connection was this closed one."""
        for notice in list(self._unconfirmed.values()):
            if notice.tried_conns and notice.tried_conns[-1] is lost:
                self._send_notice(notice)

    # --- messages -----------------------------------------------------------------------------------------

    def may_handle(self, conn: OwnerConn, message: Message) -> bool:
        """Whether there is memory for what this message hands over.  If not it waits, and what follows on its
        connection with it: the task runs, and can't be refused as a new one."""
        if message.kind is not Kind.SETUP or self.tasks.memory.may_hold(conn, estimate_bytes(message)):
            return True
        if not is_handover(message):
            return True
        self.report.line("owner.memory", peer=conn.peer, held_mb=self.tasks.get_held_mb())
        return False

    def on_message(self, conn: OwnerConn, message: Message) -> None:
        """Handle a valid message of an owner."""
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
            self._drop_notice(message.id)

    def _on_setup(self, conn: OwnerConn, message: Message) -> None:
        known = self.tasks.find(message.id)
        try:
            request = parse_setup(message, self._names, self._settings)
        except SignalError as fault:
            conn.reject(fault)
            return
        conn.trust = max(conn.trust, Trust.HAD_TASK if request.machine else Trust.VALID_SETUP)
        if known is not None:
            if request.machine and known.leg.state is State.ESTABLISHED:
                known.owner = conn  # already known: its owner can be reached here from now on
            elif message.id in conn.open_tasks:
                # Two open set-ups with the same id: their answers could not be told apart.
                conn.reject(SignalError("the id belongs to an open set-up", message.id))
            else:
                conn.send(Message(Kind.RELEASE, message.id, Cause.PROTOCOL))
        elif request.machine:
            self._adopt(conn, request)
        elif self.refuses_setups or message.fields.get("idem"):
            # `idem`: the machines' encoding has no published parameter for this key, and without it they
            # would not recognize a repeated set-up.  BUSY, as nothing ran and its owner may try again.
            self.report.count("refused.settling" if self.refuses_setups else "refused.idem")
            conn.send(Message(Kind.RELEASE, message.id, Cause.BUSY))
        elif not self.tasks.has_room(conn, request):
            self.report.count("refused.memory")
            self.report.line("owner.memory", peer=conn.peer, held_mb=self.tasks.get_held_mb())
            conn.send(Message(Kind.RELEASE, message.id, Cause.BUSY))
        elif self.tasks.may_have_run(message.id):
            # Its owner left or heard nothing, and the same set-up comes again: it must not be started twice.
            self.report.count("failed.repeated_id")
            conn.send(Message(Kind.RELEASE, message.id, Cause.BROKEN))
        else:
            self.report.count("setups")
            # The owner's time runs from when it sent the set-up, not from when a busy scheduler read it.  So
            # count from the earliest time that it may have arrived, although that may be a little too early.
            task = self.tasks.accept(conn, request, conn.earliest_arrival_ns + request.left_ns)
            # Recorded before it is placed: the connection may close during that, and must find the task.
            conn.open_tasks[message.id] = task
            self.tasks.place(task)

    def _adopt(self, conn: OwnerConn, request: SetupRequest) -> None:
        # The end of an earlier attempt, told once more, would be taken for the end of the task that stands.
        self._drop_notice(request.id)
        if not self.tasks.is_listed(request.machine):
            # It ended with its machine.  The decision module is told nothing: it would keep the name.
            self.report.line("adopted.nowhere", machine=request.machine[:60])
            self.notify_owner(conn, Message(Kind.RELEASE, request.id, Cause.BROKEN))
            return
        task = self.tasks.adopt(conn, request)
        # Its owner may have ended it on another connection that was read earlier.
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
        if task.leg.state is State.ESTABLISHED:
            conn.trust = max(conn.trust, Trust.VALID_MESSAGE)
            self.tasks.end_running(task, cause)
            conn.send(Message(Kind.RELEASED, message.id))
        elif conn.open_tasks.get(message.id) is task:
            del conn.open_tasks[message.id]
            self.tasks.give_up(task)
