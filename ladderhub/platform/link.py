"""The link to one machine: the set-ups sent to it, the tasks that run there, and its connections."""

from __future__ import annotations

import math
from collections.abc import Mapping

from ladderhub.loop.stream import Address, connect
from ladderhub.platform import connection_choice
from ladderhub.platform.conn import Conn, Need, Offer, TaskEnd, is_refused
from ladderhub.platform.liveness import PING_INTERVAL_NS, RELEASE_DEADLINE_NS, Liveness
from ladderhub.platform.pool import ConnectionPool
from ladderhub.platform.reconnector import Reconnector
from ladderhub.platform.restart_check import RestartCheck
from ladderhub.platform.running_tasks import RunningTasks
from ladderhub.signalling import Cause, Code, Kind, Message, SignalError, State, Step
from ladderhub.signalling.table import TEST_PASSED

MAX_ENDED_ATTEMPTS = 256  # ids remembered for each machine, for messages that arrive late


class Link:
    """The connections to one machine, and all open set-ups and running tasks there."""

    def __init__(self, pool: ConnectionPool, name: str, address: Address, start_ns: int = 0) -> None:
        """`start_ns`: when the machine's process started, by the list; 0 if that is unknown or long ago."""
        self.pool, self.name, self.address, self.start_ns = pool, name, address, start_ns
        self.loop, self.report = pool.loop, pool.report
        self.conns: list[Conn] = []
        self.tasks = RunningTasks(pool.listener)
        self.ended_attempts: dict[str, None] = {}
        self._restart_check = RestartCheck(self, pool.connect_timeout_ns)
        self._connected_count = 0
        self.liveness = Liveness(pool.loop.now_ns())
        self.reconnector = Reconnector(self)
        self.setups_blocked = False  # no new set-up is written
        self._removed_ns: int | None = None  # when it left the list; dropped once nothing is open

    @property
    def running(self) -> Mapping[str, Offer]:
        """The tasks that run there, as far as is known, by id."""
        return self.tasks.offers

    def get_usable_conns(self) -> list[Conn]:
        """The connections that messages may be sent on, or that are being opened."""
        kept = self.reconnector.unopened.kept
        return self.conns if kept is None else [conn for conn in self.conns if conn is not kept]

    def on_activity(self, conn: Conn) -> None:
        """Data arrived from the machine, so it is alive."""
        self.liveness.record_heard(self.loop.now_ns())
        if conn.order is not None:
            self._restart_check.record_heard(conn.order)
        unheard = self.reconnector.unopened.record_heard(conn)
        if unheard is not None:
            self.require_pong(unheard)

    def set_address(self, address: Address) -> None:
        """Use a new address: connections to the old one get no new set-ups."""
        self.address = address
        for conn in self.conns:
            conn.reusable = False

    # --- set-ups ------------------------------------------------------------------------------------------

    def send(self, offer: Offer) -> None:
        loop = self.loop
        offer.timer = loop.call_at(offer.until_ns, self._on_timeout, offer)
        now = loop.now_ns()
        conn = connection_choice.find_idle(self.get_usable_conns(), offer, now, self.pool.idle_timeout_ns)
        quiet = self.liveness.get_silence_ns(now) > PING_INTERVAL_NS
        if quiet and (self.running or self.liveness.unresponsive):
            conn = None  # it did not answer a ping or a dial: only a new connection shows whether it is alive
        if conn is not None and quiet:
            # A ping costs the machine less than a new connection, and shows as well that the machine is alive
            # before the set-up is written.
            self.require_pong(conn)
        if conn is None and self.pool.share_connections and offer.repeatable:
            conn = connection_choice.find_shareable(self.get_usable_conns(), offer, recently_heard=not quiet)
        if conn is None and self.pool.make_room():
            conn = self.dial("setup")
        if conn is None:
            conn = connection_choice.find_least_loaded(self.get_usable_conns(), offer)
        if conn is None:
            self.report.line("machine.no_descriptor", machine=self.name)
            loop.call_soon(self._report_unreached, offer)
            return
        offer.conn = conn
        conn.open_offers[offer.id] = offer
        self._write_waiting(conn, offer)

    def require_pong(self, conn: Conn) -> None:
        """Ping on this connection: set-ups wait until it is heard, and it is closed if it stays silent."""
        if conn.ping_timer is None:
            conn.ping_timer = self.loop.call_later(self.pool.connect_timeout_ns, self._on_ping_timeout, conn)
        conn.ping()

    def _on_ping_timeout(self, conn: Conn) -> None:
        """The ping was not answered within the time that a dial may take."""
        conn.read_pending()
        if conn.ping_timer is None:
            return
        conn.ping_timer, self.liveness.unresponsive = None, True
        if conn.stream is not None:
            conn.stream.abort(TimeoutError("silent"))

    def dial(self, why: str) -> Conn:
        self.report.count(f"dial.{why}")
        self.liveness.record_request(self.loop.now_ns())
        conn = Conn(self, self.reconnector.lost_ends.record_dial())
        self.conns.append(conn)
        self.pool.connection_count += 1
        conn.stream = connect(
            self.loop, self.address, conn, self.pool.connect_timeout_ns, lambda _: self._on_connected(conn)
        )
        conn.stream.on_drained = lambda: self._write_waiting(conn)
        return conn

    def _on_connected(self, conn: Conn) -> None:
        conn.order = self._connected_count
        self._connected_count += 1
        self._restart_check.record_heard(conn.order)
        self.reconnector.lost_ends.record_connected(conn.number)
        self.pool.add_connected(conn)
        self._send_releases(conn)
        if not self.tasks.releases.is_awaited_on(conn):
            self.pool.end_dial(conn)
        if self.running:
            # A machine that was dialled again may have nothing to send, and would count as silent.
            conn.ping()
        self._write_waiting(conn)

    def write_waiting(self, offer: Offer) -> None:
        """Write this set-up if it may be written now."""
        if offer.conn is not None and not offer.written:
            self._write_waiting(offer.conn, offer)

    def _write_waiting(self, conn: Conn, only: Offer | None = None) -> None:
        """Write the set-ups that may be written now; with `only`, just that one."""
        for offer in [only] if only is not None else list(conn.open_offers.values()):
            if not conn.is_writable():
                return
            # Confirming reads what has arrived, which may end this set-up or others, or write them.
            waiting = conn.open_offers.get(offer.id) is offer and not offer.written
            if self.tasks.releases.is_pending(offer.id):
                continue  # of an earlier attempt, which has the same id: the machine reads that release first
            if waiting and self.pool.listener.confirm_send(offer) and conn.is_writable():
                self._write(conn, offer)

    def _write(self, conn: Conn, offer: Offer) -> None:
        if conn.open_offers.get(offer.id) is not offer or offer.written:
            return
        left_ms = (offer.until_ns - self.loop.now_ns()) // 1_000_000
        if self.setups_blocked or left_ms <= 0:
            self._stop_waiting(offer)
            self.pool.listener.on_unsent(offer)
            return
        offer.setup.values[Code.WAIT] = str(left_ms)
        offer.leg.step(Step.SETUP)
        offer.written = True
        conn.record_sent(offer)
        conn.send(offer.setup)

    def _stop_waiting(self, offer: Offer) -> None:
        """The set-up expects no answer any more; its connection may be used for others or closed."""
        if offer.timer is not None:
            offer.timer.cancel()
        conn = offer.conn
        if conn is not None and conn.open_offers.get(offer.id) is offer:
            del conn.open_offers[offer.id]

    def _report_unreached(self, offer: Offer) -> None:
        if offer.leg.state is State.IDLE and offer.timer is not None and offer.timer.call is not None:
            self._stop_waiting(offer)
            self.pool.listener.on_unreached(offer)

    def _on_timeout(self, offer: Offer) -> None:
        conn = offer.conn
        if conn is not None:
            conn.read_pending()
            if conn.open_offers.get(offer.id) is not offer:
                return
        written = offer.written
        if written and conn is not None:
            conn.left_unanswered = True
        self.give_up(offer)
        (self.pool.listener.on_overdue if written else self.pool.listener.on_unsent)(offer)

    def give_up(self, offer: Offer) -> None:
        """Cancel a set-up without an answer; what the machine still sends for it is dealt with here."""
        self._stop_waiting(offer)
        if not offer.written:
            return
        if offer.started:  # its answer was read before it could be cancelled
            self.release(offer, Cause.NORMAL)
            return
        offer.leg.step(Step.RELEASE)
        self._remember_ended(offer)
        if offer.conn is None:
            return
        offer.conn.reusable = False
        if not offer.conn.is_live():
            return
        if offer.repeatable:
            offer.conn.send(Message(Kind.RELEASE, offer.id, Cause.NORMAL))
        else:
            # The machine may read it after the task, which may run, was handed over.
            self.tasks.releases.add_lost(offer, at_once=True)
            self._send_releases(offer.conn)

    def _remember_ended(self, offer: Offer) -> None:
        """Remember its id: late messages about this attempt must not be taken for a later attempt's."""
        self.ended_attempts[offer.id] = None
        if len(self.ended_attempts) > MAX_ENDED_ATTEMPTS:
            del self.ended_attempts[next(iter(self.ended_attempts))]

    def cancel_unsent(self) -> None:
        """Cancel the set-ups that were not written yet."""
        for conn in self.conns:
            for offer in [each for each in conn.open_offers.values() if not each.written]:
                self._stop_waiting(offer)
                self.pool.listener.on_unsent(offer)

    # --- running tasks ------------------------------------------------------------------------------------

    def adopt(self, offer: Offer) -> None:
        """Take over a task that already runs here, handed over by its owner.

        The machine may have been given up meanwhile.  The release that this left pending belongs to the
        earlier attempt: it is withdrawn, or the end that it causes is reported."""
        if self.tasks.releases.withdraw(offer.id):
            self.report.line("release.withdrawn", machine=self.name, task=offer.id)
        elif self.tasks.releases.is_pending(offer.id):
            self.report.line("release.too_late", machine=self.name, task=offer.id)
        offer.leg.step(Step.ADOPT)
        offer.started = offer.written = True
        if not self.running:
            self.liveness.last_heard_ns = self.loop.now_ns()
        self.tasks.add(offer)
        self.loop.call_soon(self.reconnector.ensure_connected)

    def release(self, offer: Offer, cause: int) -> None:
        """End a running task; the machine confirms with a release of its own, or by answering a ping."""
        conn = offer.conn if offer.conn is not None and offer.conn.is_live() else self.find_live_connection()
        self.tasks.releases.add(offer.id, cause)
        if conn is None:
            self.pool.request_dial(self.name)
        else:
            self._send_releases(conn)

    def _send_releases(self, conn: Conn) -> None:
        releases = self.tasks.releases
        unsent = releases.take_unsent(conn)
        for id, cause in unsent:
            conn.send(Message(Kind.RELEASE, id, cause))
        if releases.begin_probe(conn) or unsent:
            # Its answer shows that they were read, also if the machine knows nothing of the tasks.
            conn.ping()

    def get_need(self, conn: Conn) -> Need:
        if self.tasks.releases.is_awaited_on(conn):
            return Need.RELEASE
        is_wanted = conn is self.reconnector.unopened.kept or self.conns == [conn]
        return Need.TASK_ENDS if self.tasks.has_duties() and is_wanted else Need.NOTHING

    def find_live_connection(self) -> Conn | None:
        return next((conn for conn in reversed(self.get_usable_conns()) if conn.is_live()), None)

    def check_liveness(self, now: int) -> None:
        """Called each second: check that the machine is alive while it runs tasks of ours, and reach it while
        releases wait for it."""
        for conn in self.conns:
            if not conn.open_offers and not conn.reusable and not self.reconnector.is_kept(conn):
                conn.start_closing()
        self._drop_releases_in_vain(now)
        self.reconnector.check(now)

    def fail_running_tasks(self, why: str) -> None:
        """Report all running tasks as broken: the machine does not run them any more."""
        self.tasks.fail_all(why)
        if self.is_removed():
            self._clean_up()

    def is_removed(self) -> bool:
        """Whether the machine has left the list."""
        return self._removed_ns is not None

    def on_listed(self) -> None:
        """The machine is on the list, perhaps again after it had left it."""
        self._removed_ns = None

    def on_removed(self) -> None:
        """The machine has left the list.  Its tasks are over for their owners, who may have them started
        again.

        A new machine may have had its address for a while, and run what was sent there meanwhile.  So they
        are released at that address, if a process can be reached there."""
        if self._removed_ns is None:
            self._removed_ns = self.loop.now_ns()
        self.tasks.give_up("gone")
        if (live := self.find_live_connection()) is not None:
            self._send_releases(live)
        elif self.reconnector.needs_dial_for_releases():
            self.pool.request_dial(self.name)
        self._clean_up()

    def _drop_releases_in_vain(self, now: int) -> None:
        """Nothing more is owed to a machine that left the list so long ago."""
        if self._removed_ns is not None and now - self._removed_ns > RELEASE_DEADLINE_NS:
            self.tasks.releases.clear()
            self._clean_up()

    # --- restarts of the machine ----------------------------------------------------------------------------

    def on_restart(self, start_ns: int) -> None:
        """The list tells a new start of the machine: what ran in its previous process is over."""
        self.start_ns = start_ns
        self._restart_check.start()

    def on_restart_checked(self, ended_count: int) -> None:
        """The tasks of the previous process were reported as broken; they are released if they run."""
        if ended_count:
            self.report.line("machine.restarted", machine=self.name, tasks=ended_count)
        if (live := self.find_live_connection()) is not None:
            self._send_releases(live)

    # --- incoming messages --------------------------------------------------------------------------------

    def on_message(self, conn: Conn, message: Message) -> None:
        if conn.ping_timer is not None:
            conn.ping_timer.cancel()
            conn.ping_timer = None
            self._write_waiting(conn)
        offer = conn.open_offers.get(message.id)
        open_offer = offer if offer is not None and offer.written else None
        match message.kind:
            case Kind.ANSWER:
                self._on_answer(conn, message, open_offer)
            case Kind.RELEASE:
                self._on_release(message, open_offer)
            case Kind.NOTE:
                self._on_note(message, self.running.get(message.id) or offer)
            case Kind.PONG:
                self._on_pong(conn)
            case Kind.PING:
                conn.send(Message(Kind.PONG, message.id, TEST_PASSED))

    def _on_pong(self, conn: Conn) -> None:
        conn.pongs_received += 1
        releases = self.tasks.releases
        read = releases.take_read(conn)
        for id in read:
            self._end_task(id, TaskEnd(Cause.CANCELLED, None))
        releases.record_pong(conn)
        if releases.has_unsent() and conn.is_live():
            self._send_releases(conn)
        if read:
            if not releases.is_awaited_on(conn):
                self.pool.end_dial(conn)
            self._write_held_back()
            if self.is_removed():
                self._clean_up()

    def _write_held_back(self) -> None:
        """Write the set-ups that waited for the release of an earlier attempt."""
        for conn in list(self.conns):
            self._write_waiting(conn)

    def _on_answer(self, conn: Conn, message: Message, offer: Offer | None) -> None:
        if offer is None:
            self._on_stray_answer(conn, message)
            return
        if message.description is None:
            raise SignalError("an answer without a description")
        self._stop_waiting(offer)
        offer.leg.step(Step.ANSWER)
        offer.started = True
        self.tasks.add(offer)
        if self.is_removed():
            self.on_removed()  # it runs in a process that nobody would follow
            return
        self.pool.listener.on_answer(offer, message.description)
        if offer.early_end is not None:
            self.tasks.end(offer.id, offer.early_end)

    def _on_release(self, message: Message, offer: Offer | None) -> None:
        """The machine refused or broke off an open set-up, or a task has ended there."""
        end = TaskEnd(message.cause, message.values.get(Code.NOTE))
        if offer is not None:
            self._stop_waiting(offer)
            offer.leg.step(Step.RELEASE)
            self.pool.listener.on_release(offer, end.cause, end.note)
        elif message.id in self.running:
            self._end_task(message.id, end)
        elif (pending := self.tasks.releases.confirm(message.id)) is not None:
            if pending.lost is not None:
                self.pool.listener.on_end_after_loss(pending.lost, end)
            self._end_task(message.id, end)
            self._write_held_back()
            if self.is_removed():
                self._clean_up()
        elif message.id in self.ended_attempts:
            self._end_task(message.id, end)
        else:
            self._on_early_end(message.id, end)

    def _end_task(self, id: str, end: TaskEnd) -> None:
        """A task does not run here any more, if it did; nothing is reported if that is known already.

        Its owner may have found it running before that, and its hand-over may be on its way."""
        self.tasks.end(id, end)
        self.pool.on_early_end(self.name, id, end)

    def _on_note(self, message: Message, offer: Offer | None) -> None:
        if offer is None:
            return
        try:
            figure = float(message.values.get(Code.FIGURE, "0"))
        except ValueError:
            figure = math.nan
        if not math.isfinite(figure):
            raise SignalError("a note's figure is not a number")
        self.pool.listener.on_note(offer, message.values.get(Code.NOTE), figure)

    def _on_early_end(self, id: str, end: TaskEnd) -> None:
        """The end of a task that does not run yet, as far as is known: its answer is still unread on another
        connection, or it is about to be handed over."""
        for conn in self.conns:
            offer = conn.open_offers.get(id)
            if offer is not None and offer.written:
                offer.early_end = end
                self.report.count("machine.early_end")
                return
        self.pool.on_early_end(self.name, id, end)

    def _on_stray_answer(self, conn: Conn, message: Message) -> None:
        """An answer that no open set-up waits for: a given-up task is released, other answers are ignored."""
        if message.id in self.ended_attempts and message.id not in self.running:
            conn.send(Message(Kind.RELEASE, message.id, Cause.NORMAL))
        self.report.count("machine.stray_answer")

    def on_closed(self, conn: Conn, fault: BaseException | None) -> None:
        self.conns.remove(conn)
        self.reconnector.unopened.record_closed(conn)
        self.pool.remove_closed(conn)
        if conn.ping_timer is not None:
            conn.ping_timer.cancel()
        stream = conn.stream
        up = stream is not None and stream.connected
        was_unresponsive = self.liveness.unresponsive
        if not up or not (conn.has_received or conn.closed_for_room):
            self.liveness.unresponsive = True
        if conn.may_have_lost_data():
            self.reconnector.lost_ends.record_loss()
        if not up:
            self.report.line("machine.unreached", machine=self.name, why=repr(fault)[:80])
        elif conn.open_offers:
            self.report.line(
                "machine.closed", machine=self.name, why=repr(fault)[:80], open=len(conn.open_offers)
            )
        unsent = [offer for offer in conn.open_offers.values() if not offer.written]
        if up and unsent and not self.setups_blocked and self.pool.make_room():
            # They waited for a ping on a connection that was dead.  Whether the machine is, too, only a new
            # connection shows.
            fresh = self.dial("setup")
            for offer in unsent:
                offer.conn = fresh
                fresh.open_offers[offer.id] = conn.open_offers.pop(offer.id)
        for offer in list(conn.open_offers.values()):
            self._stop_waiting(offer)
            if not offer.written:
                self.pool.listener.on_unreached(offer)
            else:
                offer.leg.step(Step.RELEASE)
                self._remember_ended(offer)
                if isinstance(fault, TimeoutError) and not self.is_removed():
                    # The connection was closed from here as silent: the task may run, its answer unheard.
                    self.tasks.releases.add_lost(offer)
                self.pool.listener.on_broken(offer, repr(fault)[:80])
        if not up and is_refused(fault) and self.tasks.has_duties() and not self.conns:
            # Nothing listens there: the machine's process is dead, and its tasks with it.
            self.fail_running_tasks("refused")
        self.tasks.releases.mark_unsent(conn)
        if (live := self.find_live_connection()) is not None:
            self._send_releases(live)
        if up and not conn.closed_for_room:
            self.reconnector.ensure_connected()
        has_answered = not (was_unresponsive and self.liveness.unresponsive)
        if has_answered and self.reconnector.needs_dial_for_releases():
            # One dial may come to nothing; a machine that misses two in a row is dialled by `check_liveness`.
            self.pool.request_dial(self.name)
        if self.is_removed():
            if not up and was_unresponsive:
                self.tasks.releases.clear()  # no process can be reached there
            self._clean_up()

    def _clean_up(self) -> None:
        """The machine has left the list: close unused connections, and drop the link once nothing is left."""
        for conn in self.conns:
            if not conn.open_offers and not self.tasks.releases.is_awaited_on(conn):
                conn.start_closing()
        if not self.conns and not self.tasks.has_duties():
            self.pool.remove_link(self)
