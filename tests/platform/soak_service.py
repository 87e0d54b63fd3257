"""Random runs over the life of a process: series of signals, a successor, journal failures, many callers at
once, and SIGKILL as early as the protocol allows, with owners that send set-ups until then.

`python -m tests.platform.soak_service FIRST LAST` runs these seeds."""

from __future__ import annotations

import json
import random
import signal
import tempfile
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from ladderhub.signalling import Kind, Message
from ladderhub.signalling.table import TEST_ASKED
from tests.platform.bed import MS, Machine, MachineConn, release
from tests.platform.process_bed import ProcessBed
from tests.platform.soak import DONE, MACHINES, SoakOwner, SoakRun, main, run_and_judge
from tests.platform.soak_journal import MAX_EVENT_DELAY_NS, SoakJournal

STEPS = 120
NO_ID = "0" * 16
# Rounds of the test's loop that a message may take: its connection is accepted in one and read in another.
RECEIVE_ROUNDS = 5
MAX_CROWD = 200  # callers that connect at once
DRAIN_GRACE_NS = 500 * MS  # as in the settings
TOLERANCE_NS = 50 * MS  # of each time limit
RECONNECT_NS = 200 * MS  # to the journal service, with one refused attempt
ACCEPT_AFTER_STOP_MS = 700  # after SIGTERM new connections come for 0.2 to 0.4 s, set-ups on open ones go on
# SIGKILL comes no sooner: the longest deadline counts as 3 s at most.
KILL_AFTER_MS = ACCEPT_AFTER_STOP_MS + 3000
RESTART_ROUNDS = 400


class ServiceSoakRun(SoakRun):
    """Operations of its own in addition to the steps of the soak, from a random generator of their own."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.service_rng = random.Random(f"service {seed}")
        self.forbidden_after_ns: dict[str, int] = {}  # by draining machine: no set-up may be sent after this
        self.late_setups: list[str] = []
        # When the last rounds began: a message that a machine receives now was sent after the first of them.
        self.round_starts_ns = deque([0], maxlen=RECEIVE_ROUNDS)
        self.crowd: list[SoakOwner] = []  # the callers that connected last
        self.killed_pids: list[int | None] = []
        self.repeated_ends: dict[Machine, list[str]] = {}  # ends to report again on the next connection
        super().__init__(folder, seed)
        self.has_successor = self.service_rng.random() < 0.5
        self.repeats_ends = self.has_successor or self.service_rng.random() < 0.5
        for machine in self.bed.machines:
            machine.on_accept = self._on_accept

    def make_bed(self, folder: Path) -> ProcessBed:
        self.journal: SoakJournal | None = None

        def journal(bed: ProcessBed) -> str:
            self.journal = SoakJournal(bed.loop)
            return self.journal.addresses[0]

        return ProcessBed(folder, *[self._on_message] * MACHINES, journal=journal)

    # --- machines and the journal service -----------------------------------------------------------------

    def _on_accept(self, conn: MachineConn) -> None:
        for id in self.repeated_ends.pop(conn.machine, []):
            conn.send(release(id, DONE))

    def _send_end(self, machine: Machine, conn: MachineConn, id: str) -> None:
        super()._send_end(machine, conn, id)
        if self.repeats_ends:
            self.repeated_ends.setdefault(machine, []).append(id)

    def _on_message(self, conn: MachineConn, message: Message) -> None:
        until_ns, sent_after_ns = self.forbidden_after_ns.get(conn.machine.name), self.round_starts_ns[0]
        if message.kind is Kind.SETUP and until_ns is not None and sent_after_ns > until_ns:
            late_ms = (sent_after_ns - until_ns) // MS
            self.note(f"{message.id} sent to {conn.machine.name}")
            self.late_setups.append(f"{message.id}: sent to {conn.machine.name} {late_ms} ms past its grace")
        super()._on_message(conn, message)

    def _run_rounds(self, rounds: int) -> None:
        for _ in range(rounds):
            self.round_starts_ns.append(self.bed.loop.now_ns())
            super()._run_rounds(1)

    def _change_stage(self) -> None:
        """Announce that a machine drains, or that it accepts tasks again."""
        assert self.journal is not None
        machine = self.service_rng.choice(self.bed.machines[: len(self.bed.machines) // 2])
        if machine.name in self.forbidden_after_ns:
            del self.forbidden_after_ns[machine.name]
            self.journal.add_event(machine.row("ready"))
            self.note(f"{machine.name} ready")
        else:
            announced_ns = self.journal.add_event(machine.row("draining"))
            self.forbidden_after_ns[machine.name] = announced_ns + DRAIN_GRACE_NS + TOLERANCE_NS
            self.note(f"{machine.name} draining, counts as told at {announced_ns // MS}")

    def _toggle_journal(self) -> None:
        assert self.journal is not None
        if self.journal.broken_since_ns is None:
            self.journal.fail(resets=self.service_rng.random() < 0.5)
            self.note("journal fails")
            self._extend_deadlines()
        else:
            self.note("journal recovers")
            self.journal.recover()

    def _extend_deadlines(self) -> None:
        """Extend deadlines that this outage delays.  An event that the process had not received, because of
        the previous outage or as it was reconnecting, counts as announced 4 s after this outage began."""
        assert self.journal is not None
        now, allowed_ns = self.bed.loop.now_ns(), DRAIN_GRACE_NS + TOLERANCE_NS
        was_up = now - self.journal.up_since_ns >= RECONNECT_NS
        for name, until_ns in self.forbidden_after_ns.items():
            announced_ns = until_ns - allowed_ns
            if announced_ns > now - RECONNECT_NS and not (was_up and announced_ns > now):
                self.forbidden_after_ns[name] = now + MAX_EVENT_DELAY_NS + allowed_ns

    # --- signals ------------------------------------------------------------------------------------------

    def _reload(self) -> None:
        """Send SIGHUP, with the file unchanged, with a new journal address, or half written at first."""
        assert self.journal is not None
        kind = self.service_rng.choice(("same", "moved", "half"))
        path = self.bed.config_path
        write: Callable[[str], int] = path.write_text
        if not self.bed.is_ready():
            kind, write = "same", self._replace_config  # a starting successor reads the file only once
        whole = path.read_text()
        if kind == "moved":
            moved = json.loads(whole) | {"journal": self.service_rng.choice(self.journal.addresses)}
            whole = json.dumps(moved)
        write(whole[: len(whole) // 2] if kind == "half" else whole)
        self.note(f"SIGHUP, file {kind}")
        self.bed.child.send_signal(signal.SIGHUP)
        self._run_rounds(self.service_rng.randrange(1, 60))
        write(whole)

    def _replace_config(self, text: str) -> int:
        """Write the file in one step: `write_text` truncates it first, and a start on an empty file fails."""
        fresh = self.bed.config_path.with_suffix(".new")
        written = fresh.write_text(text)
        fresh.replace(self.bed.config_path)
        return written

    def _send_signals(self) -> None:
        """Send several signals, with pauses of the process between them."""
        for _ in range(self.service_rng.randrange(1, 4)):
            self._reload()
            if self.service_rng.random() < 0.3:
                self._pause()

    # --- owners -------------------------------------------------------------------------------------------

    def _connect_crowd(self) -> None:
        """Connect many callers at once: most send a set-up, some nothing or half a line, some disconnect.

        The previous callers disconnect, as owners hold a third of the descriptors at most."""
        for caller in self.crowd:
            for id in caller.sent_ns:
                self.records[id].withdrawn = True
            caller.stream.abort()
        self.crowd = []
        for _ in range(self.service_rng.randrange(50, MAX_CROWD)):
            caller = SoakOwner(self.bed)
            self.past_owners.append(caller)
            self.crowd.append(caller)
            kind = self.service_rng.random()
            if kind < 0.7:
                caller.send_setups([self._make_setup(False, self.service_rng.choice((1000, 3000)))])
            elif kind < 0.8:
                caller.send(b'{"type":"setup"')
            elif kind < 0.9:
                caller.stream.abort()

    def _hand_over(self) -> None:
        """Hand running tasks over to the process that is serving now."""
        owner = self._reconnect(self.owners[0])
        seen = [*self.owners, *self.past_owners]
        answered = {m.id for each in seen for m in each.received(Kind.ANSWER)}
        released = {m.id for each in seen for m in each.received(Kind.RELEASE)}
        for id in sorted(answered - released):
            record = self.records[id]
            if not record.withdrawn:
                handed = self.bed.setup(record.left_ms)
                extras = f"{handed.fields['extras']};at:{record.accepted[-1]}"
                owner.send(replace(handed, id=id, fields=handed.fields | {"extras": extras}))

    # --- the run ------------------------------------------------------------------------------------------

    def _step(self) -> None:
        super()._step()
        what = self.service_rng.random()
        if what < 0.08:
            self._change_stage()
        elif what < 0.12:
            self._toggle_journal()
        elif what < 0.15:
            self._send_signals()
        elif what < 0.17:
            self._connect_crowd()
        elif what < 0.22:
            conns = [conn for machine in self.bed.machines for conn in machine.conns]
            if conns:
                self.service_rng.choice(conns).reset()

    def run(self) -> None:
        for _ in range(STEPS):
            self._step()
        if self.has_successor:
            self._restart()
            for _ in range(STEPS // 2):
                self._step()
        self._accept_everywhere()
        self.terminate()

    def _accept_everywhere(self) -> None:
        for name in self.modes:
            self.modes[name] = "yes"
        self._run_rounds(50)

    def _restart(self) -> None:
        """A planned restart: the successor waits for the address while its predecessor ends."""
        self._accept_everywhere()
        self._write_known()
        self.bed.start()
        self._terminate_process()
        self.bed.run(self.bed.is_ready)
        self._wait_for_pong()
        self._run_rounds(RESTART_ROUNDS)
        self._hand_over()
        self._run_rounds(RESTART_ROUNDS)

    def _write_known(self) -> None:
        """Write all events so far to the file, as before a start."""
        assert self.journal is not None
        file = json.loads(self.bed.config_path.read_text())
        entries = [file["known"]["entries"][0], *map(json.loads, self.journal.events)]
        file["known"] = {"pos": len(entries), "entries": entries}
        self.bed.config_path.write_text(json.dumps(file))

    def _wait_for_pong(self) -> None:
        """Wait until a ping is answered: owners use a process only after that."""
        owner = self._reconnect(self.owners[0])
        owner.send(Message(Kind.PING, NO_ID, TEST_ASKED))
        self.bed.run(lambda: owner.received(Kind.PONG))

    def terminate(self) -> None:
        self._terminate_process()
        self._run_rounds(50)

    def get_statuses(self) -> list[int | None]:
        return [each.returncode for each in self.bed.children if each.pid not in self.killed_pids]

    def _terminate_process(self) -> None:
        """Send SIGTERM, more signals, and SIGKILL as early as allowed; owners send set-ups until the end."""
        ending = self.bed.child
        started_ns = self.terminated_ns = self.bed.loop.now_ns()
        self.note("SIGTERM")
        ending.send_signal(signal.SIGTERM)
        while (passed_ms := (self.bed.loop.now_ns() - started_ns) // MS) < KILL_AFTER_MS:
            if ending.poll() is not None:
                break
            owner = self.rng.choice(self.owners)
            if not owner.closed:
                self._send_setups(owner, 2)
            what = self.service_rng.random()
            if what < 0.05:
                ending.send_signal(signal.SIGTERM)
            elif what < 0.1:
                self._reload()
            elif what < 0.13:
                self._pause()
            elif what < 0.3 and passed_ms < ACCEPT_AFTER_STOP_MS - 200:
                self._end_task()
            self._run_rounds(self.service_rng.randrange(5, 30))
        if ending.poll() is None:
            ending.kill()
            ending.wait()
            self.killed_pids.append(ending.pid)
        self._run_rounds(100)

    def find_faults(self) -> list[str]:
        return [*super().find_faults(), *self.late_setups]


def run_seed(seed: int) -> tuple[list[str], int]:
    """Run one seed; return the faults found and the number of set-ups sent."""
    with tempfile.TemporaryDirectory() as folder:
        return run_and_judge(ServiceSoakRun(Path(folder), seed), seed)


if __name__ == "__main__":
    main(run_seed)
