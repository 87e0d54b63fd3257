"""One scheduler on the platform: its rooms put together, its signals, its start and end."""

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
from ladderhub.platform.config import OWN_DESCRIPTORS, Config, ConfigError, address_of, load
from ladderhub.platform.follower import Follower
from ladderhub.platform.links import Links
from ladderhub.platform.owners import OwnerDoor
from ladderhub.platform.report import Report
from ladderhub.platform.tasks import Tasks
from ladderhub.signalling import JournalEvent
from ladderhub.translate import FieldError

MS = 1_000_000
S = 1_000 * MS
# After SIGTERM connections come for 0.2 to 0.4 s and set-ups on open ones for 0.2 s more; what comes within
# 0.7 s is owed an answer.  SIGKILL comes no sooner than the longest deadline after that, or 3 s where that is
# longer.  What is open a little before that time is answered, so that the answers have left by then.
STILL_COMING_NS = 700 * MS
STOP_MOST_NS = 3 * S
STOP_EARLY_NS = 200 * MS
LOOK_NS = 50 * MS
# The port may be held by a predecessor that is still ending, and a file be read while it is being written.
AGAIN_NS = 100 * MS
BIND_MOST_NS = 20 * S
RELOAD_MOST_NS = 2 * S
OWNERS_SHARE = 2  # owners hold a third of the descriptors at most; half leaves room for strangers


class Service:
    """Everything between `start` and the end of the loop."""

    def __init__(self, loop: Loop, config: Config, report: Report) -> None:
        self._loop, self._config, self._report = loop, config, report
        self.tasks = Tasks(loop, Scheduler(config.settings, config.seed), report)
        owners = config.sockets // OWNERS_SHARE
        machines = config.sockets - owners - OWN_DESCRIPTORS
        # Machines have the rest for sure, and what owners don't use, less a round of new callers; for each
        # of those a connection to a machine is let go.
        spare = config.sockets - OWN_DESCRIPTORS - MAX_ACCEPTS_PER_ROUND
        self.links = Links(
            loop, report, self.tasks, config.connect_ns, config.idle_ns,
            max_connections=lambda: max(machines, spare - self.door.count()),
            free_descriptors=lambda: machines + owners - self.door.count() - self.links.connection_count,
            share_connections=config.dials_cost,
        )  # fmt: skip
        self.tasks.join(self.links)
        self.door = OwnerDoor(loop, report, self.tasks, config.names, config.settings, owners)
        self.follower = Follower(loop, report, config.journal, config.pos, config.connect_ns, self.take)
        self.door.on_accepted = self.links.trim
        self.tasks.placing.unread_ns = lambda: max(loop.unread_ns(), self.door.unaccepted_ns())
        self.follower.on_caught_up = self.door.pass_tests
        self.tasks.look_at_list = self.follower.look
        self._until_ns = self._late_ms = self._second_ns = self._unread_ms = 0
        self._cpu_s, self._quiet = 0.0, False
        self.failed: OSError | None = None  # why the loop was ended, where that was no stop
        # First what tells whether the process keeps up, since readers of the log may cut long lines.
        report.gauges = self._pace_gauges() | report.gauges
        report.gauges |= {
            "machines": lambda: self.links.connection_count,
            "descriptors": lambda: self.links.connection_count + self.door.count() + OWN_DESCRIPTORS,
            "rss_mb": _resident_mb,
            "timers": loop.pending_timers,
        }

    def start(self) -> None:
        """Take the list, open the door, follow the journal; OSError where the address can't be had."""
        for event in self._config.known:
            self.take(event)
        self.follower.start()
        self._bind_until_ns = self._loop.now_ns() + BIND_MOST_NS
        try:
            self.door.start(self._config.listen)
        except OSError as fault:
            if fault.errno != errno.EADDRINUSE:
                raise
            self._report.line("listen.taken", listen=self._config.listen)
            self._loop.call_later(AGAIN_NS, self._bind_again)
        else:
            self._ready()

    def _bind_again(self) -> None:
        if self._until_ns:
            return
        try:
            self.door.start(self._config.listen)
        except OSError as fault:
            if self._loop.now_ns() >= self._bind_until_ns:
                self.failed = fault
                self._loop.stop()
            else:
                self._loop.call_later(AGAIN_NS, self._bind_again)
        else:
            self._ready()

    def _ready(self) -> None:
        self._second_ns = self._loop.now_ns() + S
        self._loop.call_at(self._second_ns, self._second)
        self._report.line("ready", name=self._config.name, listen=self._config.listen, pos=self._config.pos)

    # --- the list -----------------------------------------------------------------------------------------

    def take(self, event: JournalEvent) -> None:
        """One event of the journal service."""
        if event.rows is None:
            return
        entries: list[api.MachineEntry] = []
        addresses: list[Address] = []
        spoilt = list(event.invalid_rows)
        for row in event.rows:
            try:
                entry, address = self._config.names.to_machine_entry(row), address_of(row.address, row.name)
            except (FieldError, ConfigError) as fault:
                spoilt.append((row.name, str(fault)))
                continue
            entries.append(entry)
            addresses.append(address)
        for name, why in spoilt:
            self._report.line("list.row", machine=name[:60], why=why[:120])
            link = self.links.get(name)
            if link is not None:
                # Danger: it may have told that the machine is leaving.  Harm: nothing new goes there until a
                # row comes that can be used.
                entries.append(api.MachineEntry(name, api.Stage.DRAINING))
                addresses.append(link.address)
        # The module hears it first: what the links then give back goes to machines that it knows to serve.
        kind = api.ListKind.FULL if event.full else api.ListKind.CHANGES
        self.tasks.tell_list(api.MachineList(kind, event.pos, tuple(entries)))
        if event.full:
            self.links.remove_unlisted({entry.machine for entry in entries})
        for entry, address in zip(entries, addresses, strict=True):
            serving, gone = entry.stage is api.Stage.SERVING, entry.stage is api.Stage.GONE
            self.links.update_machine(entry.machine, address, serving, gone)

    # --- signals ------------------------------------------------------------------------------------------

    def reload(self) -> None:
        """SIGHUP: read the file again.  Whatever is wrong with it, the old one stays in force."""
        self._reload(self._loop.now_ns() + RELOAD_MOST_NS, told=False)

    def _reload(self, until_ns: int, told: bool) -> None:
        try:
            fresh = load(os.environ)
        except ConfigError as fault:
            # It may have been read while it was being written; who wrote it need not signal again.
            if not told:
                self._report.line("reload.refused", why=str(fault)[:200])
            if self._loop.now_ns() < until_ns:
                self._loop.call_later(AGAIN_NS, self._reload, until_ns, True)
            return
        # Only the journal's address can change in service; whatever else differs waits for the next start.
        fixed = ("name", "listen", "sockets", "settings")
        kept = [name for name in fixed if getattr(fresh, name) != getattr(self._config, name)]
        self._report.line("reload", journal=fresh.journal, kept=kept)
        self.follower.move(fresh.journal)

    def stop(self) -> None:
        """SIGTERM: serve while set-ups may come, answer what is open, end.  A second call changes nothing."""
        if not self._until_ns:
            longest = max(klass.deadline_ns for klass in self._config.settings.classes)
            most = STILL_COMING_NS + min(longest, STOP_MOST_NS) - STOP_EARLY_NS
            self._until_ns = self._loop.now_ns() + most
            self.door.stop()
            self._report.line("stopping", open=self.tasks.open)
            self._loop.call_later(STILL_COMING_NS, self._settle)

    def _settle(self) -> None:
        self.door.settle()
        self._look_settled()

    def _look_settled(self) -> None:
        """End once nothing is owed any more, or when there is no more time."""
        now = self._loop.now_ns()
        if now >= self._until_ns:
            self.tasks.answer_now()
        # An end that lies unread now could not be told once the owners' connections are closed.
        self.links.read_pending()
        owed = {"answers": self.tasks.open} | self.door.owes() | {"to_machines": self.links.count_unsent()}
        latest_ns = self._until_ns + STOP_EARLY_NS // 2
        if now < latest_ns and (any(owed.values()) or not self._quiet):
            # One look more after the last answer: closing over what its owner says to it would reset it.
            self._quiet = not any(owed.values())
            self._loop.call_later(LOOK_NS, self._look_settled)
            return
        if now < latest_ns and not self.door.close_read():
            self._loop.call_later(LOOK_NS, self._look_settled)
            return
        self.door.close()
        self.links.close()
        self._report.line("stopped", **owed)
        self._loop.stop()

    # --- figures ------------------------------------------------------------------------------------------

    def _second(self) -> None:
        now = self._loop.now_ns()
        self._late_ms = (now - self._second_ns) // MS
        self._second_ns = max(now, self._second_ns) + S
        self._loop.call_at(self._second_ns, self._second)
        self._report.second()

    def _pace_gauges(self) -> dict[str, Callable[[], object]]:
        """Milliseconds of this second that show whether the process keeps up with what it is told."""
        return {
            "late_ms": lambda: self._late_ms,
            "cpu_ms": self._cpu_ms,
            "round_ms": self._round_ms,
            "unread_ms": lambda: self._unread_ms,
            "accept_ms": self.door.take_longest_wait_ms,
            "unheard": self.door.unheard,
            "held": lambda: len(self.tasks.module.waiting_tasks),
        }

    def _round_ms(self) -> int:
        round_ns, unread_ns = self._loop.take_longest_ns()
        self._unread_ms = unread_ns // MS
        return round_ns // MS

    def _cpu_ms(self) -> int:
        spent, self._cpu_s = time.process_time() - self._cpu_s, time.process_time()
        return round(spent * 1000)


def _resident_mb() -> float:
    try:
        with open("/proc/self/statm") as file:
            return round(int(file.read().split()[1]) * resource.getpagesize() / 1e6, 1)
    except OSError:
        return 0.0


def main() -> NoReturn:
    """Run one scheduler in the foreground.  Status 2: the configuration can't be used; 1: the address."""
    loop = Loop()
    report = Report(loop.now_ns)
    loop.trouble = report.trouble
    # Handled from the first moment: a signal that comes before there is a service is kept by the loop, which
    # does not turn before.
    service: list[Service] = []
    loop.on_signal(signal.SIGTERM, lambda: service[0].stop())
    loop.on_signal(signal.SIGINT, lambda: service[0].stop())
    loop.on_signal(signal.SIGHUP, lambda: service[0].reload())
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGINT, signal.SIGTERM})
    try:
        config = load(os.environ)
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
    if service[0].failed is not None:
        print(f"ladderhub: PROXY_LISTEN: {service[0].failed}", file=sys.stderr)
        sys.exit(1)
    sys.exit(0)
