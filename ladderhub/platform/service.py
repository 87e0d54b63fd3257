"""One scheduler process on the platform: assembles its parts, handles signals, starts and stops."""

from __future__ import annotations

import errno
import gc
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from typing import NoReturn

from ladderhub import interface as api
from ladderhub.decide import Scheduler
from ladderhub.loop import Loop
from ladderhub.loop.listener import MAX_ACCEPTS_PER_ROUND
from ladderhub.loop.stream import Address
from ladderhub.platform.config import OWN_DESCRIPTORS, Config, ConfigError, load_config, read_address
from ladderhub.platform.follower import JournalFollower
from ladderhub.platform.links import Links
from ladderhub.platform.memory_budget import MemoryBudget, get_held_limit
from ladderhub.platform.owners import OwnerServer
from ladderhub.platform.report import Report
from ladderhub.platform.task_owner import TaskOwner
from ladderhub.platform.tasks import Tasks
from ladderhub.signalling import JournalEvent
from ladderhub.translate import FieldError

MS = 1_000_000
S = 1_000 * MS
# After SIGTERM new connections arrive for 0.2 to 0.4 s and set-ups on open ones for 0.2 s more; all that
# arrives within 0.7 s must be answered.  SIGKILL comes no sooner than the longest deadline after that, or 3 s
# if the deadline is longer.  Open set-ups are answered a little earlier, so that answers are sent by then.
ACCEPT_AFTER_STOP_NS = 700 * MS
MAX_STOP_NS = 3 * S
STOP_MARGIN_NS = 200 * MS
STOP_CHECK_INTERVAL_NS = 50 * MS
# A predecessor that is still ending may hold the port, and the file may be read while it is being written.
RETRY_INTERVAL_NS = 100 * MS
BIND_TIMEOUT_NS = 20 * S
RELOAD_TIMEOUT_NS = 2 * S
# Owners need a third of the descriptors at most; a limit of half of them leaves room for other callers.
OWNER_CONNECTIONS_DIVISOR = 2


class Service:
    """One scheduler, from `start` to the end of the event loop."""

    def __init__(self, loop: Loop, config: Config, report: Report) -> None:
        self._loop, self._config, self._report = loop, config, report
        memory: MemoryBudget[TaskOwner] = MemoryBudget(get_held_limit(config.memory_bytes))
        self.tasks = Tasks(loop, Scheduler(config.settings, config.seed), report, memory)
        owner_limit = config.sockets // OWNER_CONNECTIONS_DIVISOR
        machine_limit = config.sockets - owner_limit - OWN_DESCRIPTORS
        # Connections to machines get the rest, and also what owners don't use, less the number of callers
        # that one round may accept: for each accepted caller one connection to a machine is closed.
        spare = config.sockets - OWN_DESCRIPTORS - MAX_ACCEPTS_PER_ROUND
        self.links = Links(
            loop, report, self.tasks, config.connect_timeout_ns, config.idle_timeout_ns,
            max_connections=lambda: max(machine_limit, spare - self.owners.count_connections()),
            free_descriptors=lambda: (
                machine_limit + owner_limit - self.owners.count_connections() - self.links.connection_count
            ),
            share_connections=config.has_connection_price,
        )  # fmt: skip
        self.tasks.set_links(self.links)
        self.owners = OwnerServer(loop, report, self.tasks, config.names, config.settings, owner_limit)
        self.follower = JournalFollower(
            loop, report, config.journal, config.pos, config.connect_timeout_ns, self.apply_event
        )
        self.owners.on_accepted = self.links.trim
        self.tasks.placing.get_unread_ns = lambda: max(loop.unread_ns(), self.owners.get_unaccepted_ns())
        self.follower.on_caught_up = self.owners.start_answering_pings
        self.tasks.read_journal = self.follower.read_pending
        self._stop_deadline_ns = self._late_ms = self._next_second_ns = self._unread_ms = 0
        self._cpu_s, self._nothing_owed = 0.0, False
        self.bind_error: OSError | None = None  # why the loop ended, if it was not stopped
        # The pace of the process comes first, since log readers may truncate long lines.
        report.gauges = self._make_pace_gauges() | report.gauges
        report.gauges |= {
            "machines": lambda: self.links.connection_count,
            "descriptors": lambda: self.links.connection_count
            + self.owners.count_connections()
            + OWN_DESCRIPTORS,
            "rss_mb": _read_resident_mb,
            "timers": loop.pending_timers,
        }

    def start(self) -> None:
        """Load the list, listen for owners, follow the journal; OSError if the address can't be bound."""
        for event in self._config.known:
            self.apply_event(event)
        self.follower.start()
        self._bind_deadline_ns = self._loop.now_ns() + BIND_TIMEOUT_NS
        try:
            self.owners.start(self._config.listen)
        except OSError as fault:
            if fault.errno != errno.EADDRINUSE:
                raise
            self._report.line("listen.taken", listen=self._config.listen)
            self._loop.call_later(RETRY_INTERVAL_NS, self._retry_bind)
        else:
            self._report_ready()

    def _retry_bind(self) -> None:
        if self._stop_deadline_ns:
            return
        try:
            self.owners.start(self._config.listen)
        except OSError as fault:
            if self._loop.now_ns() >= self._bind_deadline_ns:
                self.bind_error = fault
                self._loop.stop()
            else:
                self._loop.call_later(RETRY_INTERVAL_NS, self._retry_bind)
        else:
            self._report_ready()

    def _report_ready(self) -> None:
        self._next_second_ns = self._loop.now_ns() + S
        self._loop.call_at(self._next_second_ns, self._on_second)
        self._report.line("ready", name=self._config.name, listen=self._config.listen, pos=self._config.pos)

    # --- the machine list ---------------------------------------------------------------------------------

    def apply_event(self, event: JournalEvent) -> None:
        """Apply one event of the journal service."""
        if event.rows is None:
            return
        entries: list[api.MachineEntry] = []
        addresses: list[Address] = []
        invalid_rows = list(event.invalid_rows)
        for row in event.rows:
            try:
                entry, address = self._config.names.to_machine_entry(row), read_address(row.address, row.name)
            except (FieldError, ConfigError) as fault:
                invalid_rows.append((row.name, str(fault)))
                continue
            entries.append(entry)
            addresses.append(address)
        for name, why in invalid_rows:
            self._report.line("list.row", machine=name[:60], why=why[:120])
            link = self.links.get(name)
            if link is not None:
                # The invalid row may have announced that the machine drains, so nothing new is sent there
                # until a valid row arrives.
                entries.append(api.MachineEntry(name, api.Stage.DRAINING))
                addresses.append(link.address)
        # The module is told first, so that it places the set-ups that the links return on serving machines.
        kind = api.ListKind.FULL if event.full else api.ListKind.CHANGES
        self.tasks.report_machine_list(api.MachineList(kind, event.pos, tuple(entries)))
        if event.full:
            self.links.remove_unlisted({entry.machine for entry in entries})
        for entry, address in zip(entries, addresses, strict=True):
            serving, gone = entry.stage is api.Stage.SERVING, entry.stage is api.Stage.GONE
            self.links.update_machine(entry.machine, address, serving, gone, entry.ready_ns)

    # --- signals ------------------------------------------------------------------------------------------

    def reload(self) -> None:
        """SIGHUP: read the file again.  If it is invalid, the old configuration stays in force."""
        self._reload(self._loop.now_ns() + RELOAD_TIMEOUT_NS, logged=False)

    def _reload(self, until_ns: int, logged: bool) -> None:
        try:
            fresh = load_config(os.environ)
        except ConfigError as fault:
            # It may have been read while it was being written, without another signal afterwards: retry.
            if not logged:
                self._report.line("reload.refused", why=str(fault)[:200])
            if self._loop.now_ns() < until_ns:
                self._loop.call_later(RETRY_INTERVAL_NS, self._reload, until_ns, True)
            return
        # Only the journal's address can change at run time; other changes apply at the next start.
        fixed = ("name", "listen", "sockets", "settings")
        kept = [name for name in fixed if getattr(fresh, name) != getattr(self._config, name)]
        self._report.line("reload", journal=fresh.journal, kept=kept)
        self.follower.set_address(fresh.journal)

    def stop(self) -> None:
        """SIGTERM: serve while set-ups may arrive, answer all, then end.  A second call does nothing."""
        if not self._stop_deadline_ns:
            longest_deadline_ns = max(klass.deadline_ns for klass in self._config.settings.classes)
            until_end_ns = ACCEPT_AFTER_STOP_NS + min(longest_deadline_ns, MAX_STOP_NS) - STOP_MARGIN_NS
            self._stop_deadline_ns = self._loop.now_ns() + until_end_ns
            self.owners.stop()
            self._report.line("stopping", open=self.tasks.open_count)
            self._loop.call_later(ACCEPT_AFTER_STOP_NS, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self.owners.stop_accepting()
        self._check_stopped()

    def _check_stopped(self) -> None:
        """End the process once nothing is owed any more, or when the time is up."""
        now = self._loop.now_ns()
        if now >= self._stop_deadline_ns:
            self.tasks.answer_all()
        # An unread task end could not be reported after the owners' connections are closed.
        self.links.read_pending()
        # The next process would not know the releases that are pending, and their tasks would run on.
        self.links.request_due_dials()
        owed = (
            {"answers": self.tasks.open_count}
            | self.owners.count_owed()
            | {"to_machines": self.links.count_unsent(), "releases": self.links.count_pending_releases()}
        )
        latest_ns = self._stop_deadline_ns + STOP_MARGIN_NS // 2
        if now < latest_ns and (any(owed.values()) or not self._nothing_owed):
            # Check once more after the last answer: a close with unread data of its owner would reset the
            # connection, and the answer could be lost.
            self._nothing_owed = not any(owed.values())
            self._loop.call_later(STOP_CHECK_INTERVAL_NS, self._check_stopped)
            return
        if now < latest_ns and not self.owners.close_idle():
            self._loop.call_later(STOP_CHECK_INTERVAL_NS, self._check_stopped)
            return
        self.owners.close()
        self.links.close()
        self._report.line("stopped", **owed)
        self._loop.stop()

    # --- metrics ------------------------------------------------------------------------------------------

    def _on_second(self) -> None:
        now = self._loop.now_ns()
        self._late_ms = (now - self._next_second_ns) // MS
        self._next_second_ns = max(now, self._next_second_ns) + S
        self._loop.call_at(self._next_second_ns, self._on_second)
        self._report.write_second()

    def _make_pace_gauges(self) -> dict[str, Callable[[], object]]:
        """The gauges that show whether the process keeps up with its load, most in milliseconds."""
        return {
            "late_ms": lambda: self._late_ms,
            "cpu_ms": self._take_cpu_ms,
            "round_ms": self._take_round_ms,
            "unread_ms": lambda: self._unread_ms,
            "accept_ms": self.owners.take_longest_wait_ms,
            "unheard": self.owners.count_unconfirmed,
            "held": lambda: len(self.tasks.module.waiting_tasks),
        }

    def _take_round_ms(self) -> int:
        round_ns, unread_ns = self._loop.take_longest_ns()
        self._unread_ms = unread_ns // MS
        return round_ns // MS

    def _take_cpu_ms(self) -> int:
        spent, self._cpu_s = time.process_time() - self._cpu_s, time.process_time()
        return round(spent * 1000)


def _read_resident_mb() -> float:
    try:
        with open("/proc/self/statm") as file:
            return round(int(file.read().split()[1]) * resource.getpagesize() / 1e6, 1)
    except OSError:
        return 0.0


def main() -> NoReturn:
    """Run one scheduler in the foreground.  Exit status 2: invalid configuration; 1: address unavailable."""
    loop = Loop()
    report = Report(loop.now_ns)
    loop.trouble = report.trouble
    # Installed first: the loop keeps signals that arrive before the service exists, as it does not run yet.
    service: list[Service] = []
    loop.on_signal(signal.SIGTERM, lambda: service[0].stop())
    loop.on_signal(signal.SIGINT, lambda: service[0].stop())
    loop.on_signal(signal.SIGHUP, lambda: service[0].reload())
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGINT, signal.SIGTERM})
    try:
        config = load_config(os.environ)
        service.append(Service(loop, config, report))
        service[0].start()
    except ConfigError as fault:
        print(f"ladderhub: {fault}", file=sys.stderr)
        sys.exit(2)
    except OSError as fault:
        print(f"ladderhub: PROXY_LISTEN: {fault}", file=sys.stderr)
        sys.exit(1)
    gc.collect()
    gc.freeze()
    loop.run()
    loop.ignore_signals()
    if service[0].bind_error is not None:
        print(f"ladderhub: PROXY_LISTEN: {service[0].bind_error}", file=sys.stderr)
        sys.exit(1)
    sys.exit(0)
