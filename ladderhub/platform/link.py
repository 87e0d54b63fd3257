"""All that goes to one machine and comes from it: set-ups on their way out, and what stands there."""

from __future__ import annotations

import math

from ladderhub.loop.stream import Address, connect
from ladderhub.platform import carrying
from ladderhub.platform.conn import Conn, End, Offer, refused
from ladderhub.platform.cuts import Cuts
from ladderhub.platform.liveness import TEST_NS, Due, Liveness
from ladderhub.platform.pool import Pool
from ladderhub.signalling import Cause, Code, Kind, Message, SignalError, State, Step, encode_binary
from ladderhub.signalling.table import TEST_ASKED

LATE_MOST = 256  # set-ups given up that are remembered for each machine, for an answer that crosses
NO_ID = "0" * 16


class Link:
    """All that goes to one machine."""

    def __init__(self, links: Pool, name: str, address: Address) -> None:
        self.links, self.name, self.address = links, name, address
        self.loop, self.report = links.loop, links.report
        self.conns: list[Conn] = []
        self.standing: dict[str, Offer] = {}
        self.late: dict[str, None] = {}
        self.cuts = Cuts()
        self.life = Liveness(links.loop.now_ns())
        self.shut = False  # nothing new is written
        self.gone = False  # not on the list: forgotten once nothing is open

    def heard(self) -> None:
        """The machine said something: it is there."""
        self.life.heard(self.loop.now_ns())

    def move(self, address: Address) -> None:
        """It is elsewhere now: nothing new goes over connections to where it was."""
        self.address = address
        for conn in self.conns:
            conn.clean = False

    # --- set-ups ------------------------------------------------------------------------------------------

    def send(self, offer: Offer) -> None:
        loop = self.loop
        offer.timer = loop.call_at(offer.until_ns, self._overdue, offer)
        now = loop.now_ns()
        conn = carrying.unused(self.conns, offer, now, self.links.idle_ns)
        quiet = self.life.quiet_ns(now) > TEST_NS
        if quiet and (self.standing or self.life.missed):
            conn = None  # it has not answered a test or a dial: only a new connection tells whether it lives
        if conn is not None and quiet:
            # A test costs the machine less than a new connection, and shows as much before anything has left.
            conn.proof = loop.call_later(self.links.connect_ns, self._unproven, conn)
            self._put(conn, Message(Kind.PING, NO_ID, TEST_ASKED))
        if conn is None and self.links.share and offer.repeatable:
            conn = carrying.shared(self.conns, offer, heard=not quiet)
        if conn is None and self.links.make_room():
            conn = self.dial("setup")
        if conn is None:
            conn = carrying.crowded(self.conns, offer)
        if conn is None:
            self.report.line("machine.no_descriptor", machine=self.name)
            loop.call_soon(self._unreached, offer)
            return
        offer.conn = conn
        conn.open[offer.id] = offer
        self._write_waiting(conn, offer)

    def _unproven(self, conn: Conn) -> None:
        """No test passed in the time that a new connection would have had to come up."""
        conn.look()
        if conn.proof is None:
            return
        conn.proof, self.life.missed = None, True
        if conn.stream is not None:
            conn.stream.abort(TimeoutError("silent"))

    def dial(self, why: str) -> Conn:
        self.report.count(f"dial.{why}")
        self.life.asked(self.loop.now_ns())
        conn = Conn(self)
        self.conns.append(conn)
        self.links.count += 1
        conn.stream = connect(
            self.loop, self.address, conn, self.links.connect_ns, lambda _: self._connected(conn)
        )
        conn.stream.on_drained = lambda: self._write_waiting(conn)
        return conn

    def _connected(self, conn: Conn) -> None:
        self.links.came_up(conn)
        self._say_cuts(conn)
        if self.standing:
            # A machine that was dialled again may have nothing to say, and would count as silent.
            self._put(conn, Message(Kind.PING, NO_ID, TEST_ASKED))
        self._write_waiting(conn)

    def _write_waiting(self, conn: Conn, only: Offer | None = None) -> None:
        """Write what may leave now; with `only`, no other set-up than this."""
        for offer in [only] if only is not None else list(conn.open.values()):
            if not conn.writable():
                return
            # What is heard when it is asked for may end it, or others, or write them.
            waits = conn.open.get(offer.id) is offer and not offer.written
            if waits and self.links.listener.may_leave(offer) and conn.writable():
                self._write(conn, offer)

    def _write(self, conn: Conn, offer: Offer) -> None:
        if conn.open.get(offer.id) is not offer or offer.written:
            return
        left_ms = (offer.until_ns - self.loop.now_ns()) // 1_000_000
        if self.shut or left_ms <= 0:
            self._end(offer)
            self.links.listener.on_unsent(offer)
            return
        offer.setup.values[Code.WAIT] = str(left_ms)
        offer.leg.step(Step.SETUP)
        offer.written = True
        conn.wrote(offer)
        self._put(conn, offer.setup)

    def _put(self, conn: Conn, message: Message) -> None:
        assert conn.stream is not None
        conn.used_ns = self.loop.now_ns()
        conn.stream.write(encode_binary(message))

    def _end(self, offer: Offer) -> None:
        """The set-up has no answer to come; its connection may be used for others or closed."""
        if offer.timer is not None:
            offer.timer.cancel()
        conn = offer.conn
        if conn is not None and conn.open.get(offer.id) is offer:
            del conn.open[offer.id]

    def _unreached(self, offer: Offer) -> None:
        if offer.leg.state is State.IDLE and offer.timer is not None and offer.timer.call is not None:
            self._end(offer)
            self.links.listener.on_unreached(offer)

    def _overdue(self, offer: Offer) -> None:
        conn = offer.conn
        if conn is not None:
            conn.look()
            if conn.open.get(offer.id) is not offer:
                return
        written = offer.written
        self.give_up(offer)
        (self.links.listener.on_overdue if written else self.links.listener.on_unsent)(offer)

    def give_up(self, offer: Offer) -> None:
        """Nothing more is wanted of a set-up without an answer; what still comes of it is put right here."""
        self._end(offer)
        if not offer.written:
            return
        if offer.stood:  # its answer crossed the giving up
            self.release(offer, Cause.NORMAL)
            return
        offer.leg.step(Step.RELEASE)
        self._remember_late(offer)
        if offer.conn is not None:
            offer.conn.clean = False
            if offer.conn.live():
                self._put(offer.conn, Message(Kind.RELEASE, offer.id, Cause.NORMAL))

    def _remember_late(self, offer: Offer) -> None:
        """What the machine still says of this attempt must not be taken for a word on a later one."""
        self.late[offer.id] = None
        if len(self.late) > LATE_MOST:
            del self.late[next(iter(self.late))]

    def unsend(self) -> None:
        """Set-ups that wait for a connection do not leave any more."""
        for conn in self.conns:
            for offer in [each for each in conn.open.values() if not each.written]:
                self._end(offer)
                self.links.listener.on_unsent(offer)

    # --- standing tasks -----------------------------------------------------------------------------------

    def hold(self, offer: Offer) -> None:
        """A task that stands here already, handed over by its owner."""
        offer.leg.step(Step.HANDED)
        offer.stood = offer.written = True
        if not self.standing:
            self.life.heard_ns = self.loop.now_ns()
        self.standing[offer.id] = offer
        self.loop.call_soon(self.keep_line)

    def release(self, offer: Offer, cause: int) -> None:
        """Cut a task that stands; its release by the machine still comes."""
        conn = offer.conn if offer.conn is not None and offer.conn.live() else self.line()
        self.cuts.add(offer.id, cause)
        if conn is None:
            self.keep_line()
        else:
            self._say_cuts(conn)

    def _say_cuts(self, conn: Conn) -> None:
        for id, cause in self.cuts.take_unsaid(conn):
            self._put(conn, Message(Kind.RELEASE, id, cause))

    def needs(self, conn: Conn) -> bool:
        return bool(self.standing) and self.conns == [conn]

    def line(self) -> Conn | None:
        return next((conn for conn in reversed(self.conns) if conn.live()), None)

    def keep_line(self) -> None:
        """Where tasks stand a connection is kept or dialled while there is room for it; beyond that machines
        are visited in turn, by `test`."""
        if self.standing and not self.conns and self.links.count < self.links.most():
            self.dial("line")

    def test(self, now: int) -> None:
        """Each second: is the machine still there, while something of ours is?"""
        for conn in self.conns:
            if not conn.open and not conn.clean:
                conn.leave()
        if not self.standing:
            return
        if self.life.quiet_ns(now) > 2 * TEST_NS:
            for conn in list(self.conns):
                conn.look()
        match self.life.due(now, bool(self.conns)):
            case Due.GIVE_UP:
                self.report.line("machine.silent", machine=self.name, tasks=len(self.standing))
                self.lose("silent")
            case Due.RECONNECT if self.conns:
                for conn in [each for each in self.conns if each.live() and not each.open]:
                    assert conn.stream is not None
                    conn.stream.abort(TimeoutError("silent"))
            case Due.RECONNECT:
                self._visit(now)
            case Due.TEST if (line := self.line()) is not None:
                self.life.asked(now)
                self._put(line, Message(Kind.PING, NO_ID, TEST_ASKED))
            case _:
                self.keep_line()

    def _visit(self, now: int) -> None:
        """Dial a machine with tasks and no connection: it tells on the next one what has ended.

        Danger: without a visit its ends are told too late, and it would pass for silent.  So the bound is
        passed where no other can be let go, but not into what journal and log need."""
        self.life.asked(now)
        if self.links.make_room() or self.links.spare() > 0:
            self.dial("visit")

    def lose(self, why: str) -> None:
        """The machine can't hold our tasks any more."""
        lost, self.standing = list(self.standing.values()), {}
        self.cuts.clear()
        for offer in lost:
            offer.leg.step(Step.RELEASE)
            self.links.listener.on_broken(offer, why)
        if self.gone:
            self._fold()

    # --- what comes in ------------------------------------------------------------------------------------

    def hear(self, conn: Conn, message: Message) -> None:
        listener = self.links.listener
        if conn.proof is not None:
            conn.proof.cancel()
            conn.proof = None
            self._write_waiting(conn)
        offer = conn.open.get(message.id)
        if message.kind is Kind.ANSWER:
            if offer is None or not offer.written:
                self._hear_stray(conn, message)
            elif message.description is None:
                raise SignalError("an answer without a description")
            else:
                self._end(offer)
                offer.leg.step(Step.ANSWER)
                offer.stood = True
                self.standing[offer.id] = offer
                listener.on_answer(offer, message.description)
                if offer.early_end is not None:
                    self.hear_end(offer.id, offer.early_end)
        elif message.kind is Kind.RELEASE:
            end = End(message.cause, message.values.get(Code.NOTE))
            if offer is not None and offer.written:
                self._end(offer)
                offer.leg.step(Step.RELEASE)
                listener.on_release(offer, end.cause, end.note)
            elif message.id in self.standing:
                self.hear_end(message.id, end)
            elif message.id not in self.late:
                self._hear_early(message.id, end)
        elif message.kind is Kind.NOTE:
            offer = self.standing.get(message.id) or offer
            if offer is not None:
                try:
                    figure = float(message.values.get(Code.FIGURE, "0"))
                except ValueError:
                    figure = math.nan
                if not math.isfinite(figure):
                    raise SignalError("a note's figure is not a number")
                listener.on_note(offer, message.values.get(Code.NOTE), figure)
        elif message.kind is Kind.PING:
            self._put(conn, Message(Kind.PONG, message.id, 1))

    def hear_end(self, id: str, end: End) -> None:
        """A task that stood here has ended."""
        self.cuts.confirmed(id)
        offer = self.standing.pop(id, None)
        if offer is not None:
            offer.leg.step(Step.RELEASE)
            self.links.listener.on_release(offer, end.cause, end.note)

    def _hear_early(self, id: str, end: End) -> None:
        """An end of a task that does not stand yet: its answer lies unread on another connection, or it is
        about to be handed over."""
        for conn in self.conns:
            offer = conn.open.get(id)
            if offer is not None and offer.written:
                offer.early_end = end
                self.report.count("machine.early_end")
                return
        self.links.on_early(self.name, id, end)

    def _hear_stray(self, conn: Conn, message: Message) -> None:
        """An answer that no open set-up waits for: one given up must not stand; others are not ours."""
        if message.id in self.late and message.id not in self.standing:
            self._put(conn, Message(Kind.RELEASE, message.id, Cause.NORMAL))
        self.report.count("machine.stray_answer")

    def closed(self, conn: Conn, fault: BaseException | None) -> None:
        self.conns.remove(conn)
        self.links.ended(conn)
        if conn.proof is not None:
            conn.proof.cancel()
        stream = conn.stream
        up = stream is not None and stream.connected
        if not up:
            self.life.missed = True
            self.report.line("machine.unreached", machine=self.name, why=repr(fault)[:80])
        elif conn.open:
            self.report.line("machine.closed", machine=self.name, why=repr(fault)[:80], open=len(conn.open))
        unsent = [offer for offer in conn.open.values() if not offer.written]
        if up and unsent and not self.shut and self.links.make_room():
            # It waited for a test on a connection that was dead; only a new one tells whether the machine is.
            fresh = self.dial("setup")
            for offer in unsent:
                offer.conn = fresh
                fresh.open[offer.id] = conn.open.pop(offer.id)
        for offer in list(conn.open.values()):
            self._end(offer)
            if not offer.written:
                self.links.listener.on_unreached(offer)
            else:
                offer.leg.step(Step.RELEASE)
                self._remember_late(offer)
                self.links.listener.on_broken(offer, repr(fault)[:80])
        if not up and refused(fault) and self.standing and not self.conns:
            # Nobody listens there: the process is dead, and its tasks with it.
            self.lose("refused")
        self.cuts.lost(conn)
        if (line := self.line()) is not None:
            self._say_cuts(line)
        if up and not conn.let_go:
            self.keep_line()
        if self.gone:
            self._fold()

    def _fold(self) -> None:
        """The machine has left the list: close what nothing needs, and forget it in the end."""
        for conn in self.conns:
            if not conn.open:
                conn.leave()
        if not self.conns and not self.standing:
            self.links.forget(self)
