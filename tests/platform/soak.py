"""Random faults around one real scheduler process, checked by the messages of its owners and machines.

`python -m tests.platform.soak FIRST LAST` runs these seeds and prints the faults found.  A seed determines
the operations and their order, but not their timing in the process, so runs of one seed may differ."""

from __future__ import annotations

import os
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from ladderhub.loop import Listener, Stream
from ladderhub.signalling import Kind, Message
from tests.platform.bed import MS, Machine, MachineConn, Owner, S, release
from tests.platform.process_bed import ProcessBed

MACHINES, OWNERS = 12, 5
STEPS = 260  # random operations, about ten milliseconds apart
MAX_BURST, CROWD = 12, 250
RELEASE_TIMEOUT_NS = S  # a machine must be told within this time that an owner ended its task
CLOSE_RACE_NS = 50 * MS  # by the protocol a set-up and a close may cross for this long
FULL, ERROR, BROKEN, DONE = 34, 47, 41, 16  # causes of releases


@dataclass
class Record:
    """The history of one set-up."""

    id: str
    unsafe: bool
    left_ms: int = 0
    withdrawn: bool = False  # its owner cancelled it, closed or sent it again: needs no answer
    cancelled_ns: int = 0
    accepted: list[str] = field(default_factory=list)  # machines that accepted it
    ended: bool = False  # its machine reported its end


class SoakOwner(Owner):
    """An owner that records when it sent its set-ups and when its connection closed."""

    def __init__(self, bed: ProcessBed) -> None:
        self.bed = bed
        super().__init__(bed)
        bed.owners.append(self)
        self.sent_ns: dict[str, int] = {}
        self.closed_ns = 0

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        super().on_closed(stream, fault)
        self.closed_ns = self.bed.loop.now_ns()

    def send_setups(self, setups: list[Message]) -> None:
        self.send(*setups)
        now = self.bed.loop.now_ns()
        self.sent_ns.update((setup.id, now) for setup in setups)

    def find_crossed(self, withdrawn: Callable[[str], bool]) -> list[str]:
        """Set-ups that crossed the close of their connection, if no older one was open on it."""
        answered = {message.id for message in self.messages}
        unanswered = [id for id in self.sent_ns if id not in answered and not withdrawn(id)]
        open_ = {id: self.sent_ns[id] for id in unanswered}
        if not self.closed or any(at_ns < self.closed_ns - CLOSE_RACE_NS for at_ns in open_.values()):
            return []
        return list(open_)


class SoakRun:
    """One run: random operations, the end of the process, and the check of what happened."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.rng = random.Random(seed)
        self.terminated_ns = 0
        self.trace: list[str] = []
        self.modes = {f"m{at}": "yes" for at in range(MACHINES)}
        self.records: dict[str, Record] = {}
        self.running: dict[str, tuple[Machine, MachineConn]] = {}
        self.bed = self.make_bed(folder)
        self.owners = [SoakOwner(self.bed) for _ in range(OWNERS)]
        self.past_owners: list[SoakOwner] = []
        self.open_setups: dict[SoakOwner, list[str]] = {owner: [] for owner in self.owners}

    def make_bed(self, folder: Path) -> ProcessBed:
        return ProcessBed(folder, *[self._on_message] * MACHINES)

    # --- machines -----------------------------------------------------------------------------------------

    def _on_message(self, conn: MachineConn, message: Message) -> None:
        machine = conn.machine
        if message.kind is Kind.SETUP:
            mode = self.modes[machine.name]
            if mode == "yes":
                self.records[message.id].accepted.append(machine.name)
                self.running[message.id] = (machine, conn)
                conn.send(Message(Kind.ANSWER, message.id, None, f"runs {message.id}"))
            elif mode in ("full", "errs"):
                conn.send(release(message.id, FULL if mode == "full" else ERROR, "no_cores"))
        elif message.kind is Kind.RELEASE and self.running.pop(message.id, None) is not None:
            conn.send(release(message.id, 31))

    def _end_task(self) -> None:
        if not self.running:
            return
        id = self.rng.choice(sorted(self.running))
        machine, conn = self.running.pop(id)
        if conn not in machine.conns:
            if not machine.conns:
                self.running[id] = (machine, conn)  # it will be reported on the next connection
                return
            conn = machine.conns[-1]
        self._send_end(machine, conn, id)

    def _send_end(self, machine: Machine, conn: MachineConn, id: str) -> None:
        conn.send(release(id, DONE))
        self.records[id].ended = True

    def _restart_machine(self, machine: Machine) -> None:
        """The process of a machine dies and restarts a little later, without its tasks."""
        address = machine.address
        machine.die()
        for id, (where, _) in list(self.running.items()):
            if where is machine:
                del self.running[id]
        self._run_rounds(self.rng.randrange(1, 60))
        machine.listener = Listener(self.bed.loop, address, machine._accept)

    # --- owners -------------------------------------------------------------------------------------------

    def _send_setups(self, owner: SoakOwner, count: int) -> None:
        if owner.closed:
            owner = self._reconnect(owner)
        setups = []
        for _ in range(count):
            left_ms = self.rng.choice((300, 1000, 3000))
            setups.append(self._make_setup(self.rng.random() < 0.3, left_ms))
            self.open_setups[owner].append(setups[-1].id)
        owner.send_setups(setups)

    def _make_setup(self, unsafe: bool, left_ms: int) -> Message:
        setup = self.bed.setup(left_ms)
        setup.fields["class"] = "bill" if unsafe else "web"
        self.records[setup.id] = Record(setup.id, unsafe, left_ms)
        return setup

    def _cancel(self, owner: SoakOwner) -> None:
        if self.open_setups[owner] and not owner.closed:
            id = self.rng.choice(self.open_setups[owner])
            self.records[id].withdrawn = True
            self.records[id].cancelled_ns = self.bed.loop.now_ns()
            owner.send(Message(Kind.RELEASE, id, DONE))

    def _disconnect(self, owner: SoakOwner) -> None:
        owner.stream.abort()
        for id in self.open_setups[owner]:
            self.records[id].withdrawn = True
        self._reconnect(owner)

    def _reconnect(self, owner: SoakOwner) -> SoakOwner:
        """Replace a closed connection: the scheduler closes those that are silent for a while."""
        new_owner = SoakOwner(self.bed)
        if owner in self.owners:
            self.past_owners.append(owner)
            self.owners.remove(owner)
            self.owners.append(new_owner)
        else:
            self.past_owners.append(new_owner)
        self.open_setups[new_owner] = []
        return new_owner

    def _resend_crossed(self) -> None:
        """Repeat set-ups that crossed a close once, on new connections and with new ids."""
        ended = [owner for owner in [*self.owners, *self.past_owners] if owner.closed and owner.sent_ns]
        for owner in ended:
            crossed = [self.records[id] for id in owner.find_crossed(lambda id: self.records[id].withdrawn)]
            owner.sent_ns.clear()
            if not crossed:
                continue
            for record in crossed:
                record.withdrawn = True
            try:
                new_owner = self._reconnect(owner)
            except ConnectionRefusedError:
                continue  # no scheduler is listening
            setups = [self._make_setup(record.unsafe, record.left_ms) for record in crossed]
            self.open_setups[new_owner] += [setup.id for setup in setups]
            new_owner.send_setups(setups)

    # --- the run ------------------------------------------------------------------------------------------

    def _run_rounds(self, rounds: int) -> None:
        for _ in range(rounds):
            self.bed.loop.run_once(MS)
            self._resend_crossed()

    def _pause(self) -> None:
        child = self.bed.child
        self.note("pause")
        child.send_signal(signal.SIGSTOP)
        self._run_rounds(self.rng.randrange(1, 150))
        child.send_signal(signal.SIGCONT)
        self.note("goes on")

    def _step(self) -> None:
        owner, machine = self.rng.choice(self.owners), self.rng.choice(self.bed.machines)
        what = self.rng.random()
        if what < 0.45:
            self._send_setups(owner, self.rng.randrange(1, MAX_BURST))
        elif what < 0.65:
            self._end_task()
        elif what < 0.75:
            self.modes[machine.name] = self.rng.choice(("yes", "yes", "yes", "full", "errs", "mute"))
        elif what < 0.82:
            self._cancel(owner)
        elif what < 0.86 and machine.conns:
            self.rng.choice(machine.conns).stream.abort()
        elif what < 0.89:
            self._disconnect(owner)
        elif what < 0.91:
            self._restart_machine(machine)
        elif what < 0.93:
            self._pause()
        elif what < 0.94:
            self._send_setups(owner, CROWD)
        self._run_rounds(self.rng.randrange(1, 12))

    def run(self) -> None:
        """Run all steps, then terminate the process."""
        for _ in range(STEPS):
            self._step()
        for name in self.modes:
            self.modes[name] = "yes"
        self._run_rounds(50)
        self.terminate()

    def terminate(self) -> None:
        """Send SIGTERM, and set-ups for a while longer, until the process has ended."""
        self.terminated_ns = self.bed.loop.now_ns()
        self.note("SIGTERM")
        self.bed.child.send_signal(signal.SIGTERM)
        for _ in range(10):
            self._send_setups(self.rng.choice(self.owners), 3)
            self._run_rounds(20)
        self.bed.run(lambda: self.bed.child.poll() is not None)
        self._run_rounds(50)

    def save(self, folder: Path, found: list[str]) -> None:
        """Write the log of the process, and the messages of each owner and of the machines, to files."""
        folder.mkdir(parents=True)
        (folder / "faults").write_text("\n".join(found) + "\n")
        (folder / "log").write_text(self.bed.read_log())
        received = [
            f"{machine.name} {message.kind.name} {message.id}"
            for machine, message in self.bed.machine_messages
        ]
        (folder / "machines").write_text("\n".join(received) + "\n")
        owners = enumerate([*self.owners, *self.past_owners])
        messages = [f"{at} {m.kind.name} {m.id} {m.cause}" for at, owner in owners for m in owner.messages]
        (folder / "owners").write_text("\n".join(messages) + "\n")
        records = [f"{each}" for each in self.records.values()]
        (folder / "records").write_text("\n".join(records) + "\n")
        (folder / "asked").write_text("".join(self._format_sent_rows()))
        (folder / "trace").write_text("\n".join(self.trace) + "\n")

    def note(self, text: str) -> None:
        """Record an operation with the time in milliseconds, as in the log."""
        self.trace.append(f"{self.bed.loop.now_ns() // MS} {text}")

    def _format_sent_rows(self) -> list[str]:
        """When each set-up was sent and its connection closed, in milliseconds after SIGTERM."""
        rows = []
        for at, owner in enumerate([*self.owners, *self.past_owners]):
            closed_ms = (owner.closed_ns - self.terminated_ns) / MS if owner.closed else None
            for id, sent_ns in owner.sent_ns.items():
                rows.append(f"{at} {id} asked {(sent_ns - self.terminated_ns) / MS} closed {closed_ms}\n")
        return rows

    def _is_left_running(self, record: Record) -> bool:
        """Whether the task still runs although its owner ended it long ago."""
        in_time = 0 < record.cancelled_ns < self.terminated_ns - RELEASE_TIMEOUT_NS
        return in_time and len(record.accepted) == 1 and record.id in self.running

    def get_statuses(self) -> list[int | None]:
        """The exit statuses of the processes."""
        return [self.bed.child.returncode]

    def find_faults(self) -> list[str]:
        """All violations of the rules that were observed."""
        found = [f"ended with status {status}" for status in self.get_statuses() if status != 0]
        answered: Counter[str] = Counter()
        released: Counter[str] = Counter()
        for owner in [*self.owners, *self.past_owners]:
            answered.update(message.id for message in owner.received(Kind.ANSWER))
            released.update(message.id for message in owner.received(Kind.RELEASE))
        for record in self.records.values():
            if answered[record.id] > 1:
                found.append(f"{record.id}: {answered[record.id]} answers")
            if not record.withdrawn and not answered[record.id] and not released[record.id]:
                found.append(f"{record.id}: no answer")
            if record.ended and answered[record.id] and not record.withdrawn and not released[record.id]:
                found.append(f"{record.id}: its end was not reported")
            if answered[record.id] and self._is_left_running(record):
                found.append(f"{record.id}: its owner ended it, and it still runs")
            if record.unsafe and len(record.accepted) > 1:
                found.append(f"{record.id}: ran at {record.accepted}")
        own_faults = ('"trouble"', '"unanswered"')
        found += [
            line for line in self.bed.read_log().splitlines() if any(each in line for each in own_faults)
        ]
        return found


def run_seed(seed: int) -> tuple[list[str], int]:
    """Run one seed; return the faults found and the number of set-ups sent."""
    with tempfile.TemporaryDirectory() as folder:
        soak_run = SoakRun(Path(folder), seed)
        return run_and_judge(soak_run, seed)


def run_and_judge(soak_run: SoakRun, seed: int) -> tuple[list[str], int]:
    """Run it to the end; return the faults found and the number of set-ups sent.  If there are faults and
    SOAK_KEEP is set to a folder, the log and the messages of both sides are saved there."""
    try:
        soak_run.run()
        found = soak_run.find_faults()
        if found and "SOAK_KEEP" in os.environ:
            soak_run.save(
                Path(os.environ["SOAK_KEEP"]) / f"{type(soak_run).__name__}-{seed}-{os.getpid()}", found
            )
        return found, len(soak_run.records)
    finally:
        soak_run.bed.close()


def main(run_seed: Callable[[int], tuple[list[str], int]]) -> None:
    """Run the seeds from the first to the last one given on the command line."""
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        found, count = run_seed(seed)
        print(f"seed {seed}: {count} set-ups, {len(found)} faults {found[:4]}", flush=True)


if __name__ == "__main__":
    main(run_seed)
