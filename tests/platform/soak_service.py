"""Drawn plays around the life of a process: signals in series, a successor, the journal service, crowds of
callers, and SIGKILL at the protocol's earliest, with owners that go on until then.

`python -m tests.platform.soak_service FIRST LAST` plays these seeds."""

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
from tests.platform.soak import DONE, MACHINES, Play, SoakOwner, judged, main
from tests.platform.soak_journal import TOLD_LATE_NS, SoakJournal

STEPS = 120
NO_ID = "0" * 16
LOOKS = 5  # rounds of the test's loop: a connection is accepted in one and read in another
CROWD_MOST = 200  # callers that connect at once
DRAIN_GRACE_NS = 500 * MS  # of the settings
SLACK_NS = 50 * MS  # of each time limit
CONNECTING_NS = 200 * MS  # to the journal service, with a refusal between
STILL_COMING_MS = 700  # after SIGTERM new connections come for 0.2 to 0.4 s, set-ups on open ones go on
KILL_MS = STILL_COMING_MS + 3000  # SIGKILL comes no sooner: the longest deadline counts as 3 s at most
RESTART_ROUNDS = 400


class ServicePlay(Play):
    """What is drawn here comes from a generator of its own, beside the steps of the soak."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.more = random.Random(f"service {seed}")
        self.forbidden_ns: dict[str, int] = {}  # draining machines: nothing is sent to them after that
        self.beyond_grace: list[str] = []
        self.looks_ns = deque([0], maxlen=LOOKS)  # what a machine hears has come since the first of these
        self.callers: list[SoakOwner] = []  # the last crowd
        self.killed: list[int | None] = []
        self.retold: dict[Machine, list[str]] = {}  # ends that are told on the next connection as well
        super().__init__(folder, seed)
        self.successor_due = self.more.random() < 0.5
        self.retells = self.successor_due or self.more.random() < 0.5
        for machine in self.bed.machines:
            machine.on_accept = self._accepted

    def make_bed(self, folder: Path) -> ProcessBed:
        self.journal: SoakJournal | None = None

        def journal(bed: ProcessBed) -> str:
            self.journal = SoakJournal(bed.loop)
            return self.journal.addresses[0]

        return ProcessBed(folder, *[self._hear] * MACHINES, journal=journal)

    # --- machines and the journal service -----------------------------------------------------------------

    def _accepted(self, conn: MachineConn) -> None:
        for id in self.retold.pop(conn.machine, []):
            conn.send(release(id, DONE))

    def _tell_end(self, machine: Machine, conn: MachineConn, id: str) -> None:
        super()._tell_end(machine, conn, id)
        if self.retells:
            self.retold.setdefault(machine, []).append(id)

    def _hear(self, conn: MachineConn, message: Message) -> None:
        until_ns, came_ns = self.forbidden_ns.get(conn.machine.name), self.looks_ns[0]
        if message.kind is Kind.SETUP and until_ns is not None and came_ns > until_ns:
            late_ms = (came_ns - until_ns) // MS
            self.note(f"{message.id} sent to {conn.machine.name}")
            self.beyond_grace.append(f"{message.id}: sent to {conn.machine.name} {late_ms} ms past its grace")
        super()._hear(conn, message)

    def _turn(self, rounds: int) -> None:
        for _ in range(rounds):
            self.looks_ns.append(self.bed.loop.now_ns())
            super()._turn(1)

    def _list(self) -> None:
        """A machine is told to be draining, or to take tasks again."""
        assert self.journal is not None
        machine = self.more.choice(self.bed.machines[: len(self.bed.machines) // 2])
        if machine.name in self.forbidden_ns:
            del self.forbidden_ns[machine.name]
            self.journal.tell(machine.row("ready"))
            self.note(f"{machine.name} ready")
        else:
            told_ns = self.journal.tell(machine.row("draining"))
            self.forbidden_ns[machine.name] = told_ns + DRAIN_GRACE_NS + SLACK_NS
            self.note(f"{machine.name} draining, counts as told at {told_ns // MS}")

    def _break_journal(self) -> None:
        assert self.journal is not None
        if self.journal.broken_since_ns is None:
            self.journal.fail(resets=self.more.random() < 0.5)
            self.note("journal fails")
            self._forgive_untold()
        else:
            self.note("journal recovers")
            self.journal.recover()

    def _forgive_untold(self) -> None:
        """What a break before, or a moment before this one, kept from a process that was connecting anew, is
        told by this break's own rule: no later than 4 s after it began."""
        assert self.journal is not None
        now, allowed_ns = self.bed.loop.now_ns(), DRAIN_GRACE_NS + SLACK_NS
        was_up = now - self.journal.up_since_ns >= CONNECTING_NS
        for name, until_ns in self.forbidden_ns.items():
            told_ns = until_ns - allowed_ns
            if told_ns > now - CONNECTING_NS and not (was_up and told_ns > now):
                self.forbidden_ns[name] = now + TOLD_LATE_NS + allowed_ns

    # --- signals ------------------------------------------------------------------------------------------

    def _reload(self) -> None:
        """SIGHUP, with the file as it was, with the journal service elsewhere, or half written at first."""
        assert self.journal is not None
        kind = self.more.choice(("same", "moved", "half"))
        path = self.bed.config_path
        write: Callable[[str], int] = path.write_text
        if not self.bed.ready():
            kind, write = "same", self._replace_config  # a starting successor reads the file once
        whole = path.read_text()
        if kind == "moved":
            moved = json.loads(whole) | {"journal": self.more.choice(self.journal.addresses)}
            whole = json.dumps(moved)
        write(whole[: len(whole) // 2] if kind == "half" else whole)
        self.note(f"SIGHUP, file {kind}")
        self.bed.child.send_signal(signal.SIGHUP)
        self._turn(self.more.randrange(1, 60))
        write(whole)

    def _replace_config(self, text: str) -> int:
        """Write the file in one step: `write_text` truncates it first, and a start on an empty file fails."""
        fresh = self.bed.config_path.with_suffix(".new")
        written = fresh.write_text(text)
        fresh.replace(self.bed.config_path)
        return written

    def _series(self) -> None:
        """Signals one after the other, with pauses of the process between them."""
        for _ in range(self.more.randrange(1, 4)):
            self._reload()
            if self.more.random() < 0.3:
                self._pause()

    # --- owners -------------------------------------------------------------------------------------------

    def _crowd(self) -> None:
        """Callers connect at once: most ask, some say nothing, half a line, or leave.

        Those of the last crowd go, as owners hold a third of the descriptors at most."""
        for caller in self.callers:
            for id in caller.asked_ns:
                self.records[id].withdrawn = True
            caller.stream.abort()
        self.callers = []
        for _ in range(self.more.randrange(50, CROWD_MOST)):
            caller = SoakOwner(self.bed)
            self.gone.append(caller)
            self.callers.append(caller)
            kind = self.more.random()
            if kind < 0.7:
                caller.ask([self._setup(False, self.more.choice((1000, 3000)))])
            elif kind < 0.8:
                caller.send(b'{"type":"setup"')
            elif kind < 0.9:
                caller.stream.abort()

    def _hand_over(self) -> None:
        """Owners hand what stands to the process that serves now."""
        owner = self._come_again(self.owners[0])
        seen = [*self.owners, *self.gone]
        answered = {m.id for each in seen for m in each.received(Kind.ANSWER)}
        released = {m.id for each in seen for m in each.received(Kind.RELEASE)}
        for id in sorted(answered - released):
            record = self.records[id]
            if not record.withdrawn:
                handed = self.bed.setup(record.left_ms)
                extras = f"{handed.fields['extras']};at:{record.accepted[-1]}"
                owner.send(replace(handed, id=id, fields=handed.fields | {"extras": extras}))

    # --- the play -----------------------------------------------------------------------------------------

    def _step(self) -> None:
        super()._step()
        what = self.more.random()
        if what < 0.08:
            self._list()
        elif what < 0.12:
            self._break_journal()
        elif what < 0.15:
            self._series()
        elif what < 0.17:
            self._crowd()
        elif what < 0.22:
            conns = [conn for machine in self.bed.machines for conn in machine.conns]
            if conns:
                self.more.choice(conns).reset()

    def run(self) -> None:
        for _ in range(STEPS):
            self._step()
        if self.successor_due:
            self._restart()
            for _ in range(STEPS // 2):
                self._step()
        self._settle()
        self.terminate()

    def _settle(self) -> None:
        for name in self.modes:
            self.modes[name] = "yes"
        self._turn(50)

    def _restart(self) -> None:
        """A planned restart: the successor waits for the address beside its predecessor."""
        self._settle()
        self._write_known()
        self.bed.start()
        self._end_process()
        self.bed.run(self.bed.ready)
        self._pass_test()
        self._turn(RESTART_ROUNDS)
        self._hand_over()
        self._turn(RESTART_ROUNDS)

    def _write_known(self) -> None:
        """The file has all events until a start."""
        assert self.journal is not None
        file = json.loads(self.bed.config_path.read_text())
        entries = [file["known"]["entries"][0], *map(json.loads, self.journal.events)]
        file["known"] = {"pos": len(entries), "entries": entries}
        self.bed.config_path.write_text(json.dumps(file))

    def _pass_test(self) -> None:
        """Owners take a process in once it has passed a test."""
        owner = self._come_again(self.owners[0])
        owner.send(Message(Kind.PING, NO_ID, TEST_ASKED))
        self.bed.run(lambda: owner.received(Kind.PONG))

    def terminate(self) -> None:
        self._end_process()
        self._turn(50)

    def statuses(self) -> list[int | None]:
        return [each.returncode for each in self.bed.children if each.pid not in self.killed]

    def _end_process(self) -> None:
        """SIGTERM, other signals behind it, and SIGKILL at its earliest; owners go on until the end."""
        ending = self.bed.child
        begun_ns = self.terminated_ns = self.bed.loop.now_ns()
        self.note("SIGTERM")
        ending.send_signal(signal.SIGTERM)
        while (passed_ms := (self.bed.loop.now_ns() - begun_ns) // MS) < KILL_MS:
            if ending.poll() is not None:
                break
            owner = self.draw.choice(self.owners)
            if not owner.closed:
                self._ask(owner, 2)
            what = self.more.random()
            if what < 0.05:
                ending.send_signal(signal.SIGTERM)
            elif what < 0.1:
                self._reload()
            elif what < 0.13:
                self._pause()
            elif what < 0.3 and passed_ms < STILL_COMING_MS - 200:
                self._end_task()
            self._turn(self.more.randrange(5, 30))
        if ending.poll() is None:
            ending.kill()
            ending.wait()
            self.killed.append(ending.pid)
        self._turn(100)

    def faults(self) -> list[str]:
        return [*super().faults(), *self.beyond_grace]


def play(seed: int) -> tuple[list[str], int]:
    """The faults that were found with this seed, and how many set-ups were asked for."""
    with tempfile.TemporaryDirectory() as folder:
        return judged(ServicePlay(Path(folder), seed), seed)


if __name__ == "__main__":
    main(play)
