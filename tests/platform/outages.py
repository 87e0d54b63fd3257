"""Random outages of machines around one scheduler, on a clock that the run advances.

Machines are cut off and rejoin, or vanish and return cold; the list tells a new start late.  They behave as
the protocol says, whatever the scheduler believes.  `python -m tests.platform.outages FIRST LAST` plays these
seeds and prints the faults found.  A seed determines the operations, and nearly always the whole run."""

from __future__ import annotations

import json
import random
import socket
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ladderhub.loop import Listener
from ladderhub.signalling import Code, Kind, Message
from ladderhub.signalling.journal import decode_event
from tests.platform.bed import MS, Bed, Machine, MachineConn, Owner, S, event, release

MACHINES = 4
STEPS = 120
STEP_RANGE_NS = (50 * MS, 400 * MS)
START_RANGE_NS = (20 * MS, 300 * MS)  # from a set-up to the task that runs
OUTAGE_RANGE_NS = (500 * MS, 12 * S)
LIST_DELAY_RANGE_NS = (0, 3 * S)  # of the event that tells a restart
OWNER_WAITS_NS = 3 * S  # before an unsafe task is asked for again
SETTLE_NS = 12 * S  # after the last fault: more than any limit of the protocol
DONE, CANCELLED, NORMAL = 16, 31, 16


@dataclass
class Standing:
    """A task that runs on a machine."""

    key: str
    conn: MachineConn


class OutageMachine(Machine):
    """A machine that runs tasks, can be cut off, and can restart."""

    def __init__(self, bed: Any, name: str, rng: random.Random) -> None:
        super().__init__(bed, name, self._handle)
        self.rng = rng
        self.standing: dict[str, Standing] = {}
        self.open_setups: dict[str, MachineConn] = {}
        self.is_cut_off = False
        self.since_ms = 0
        self.unsent: list[tuple[MachineConn, Message]] = []  # held back while it is cut off
        self.told_ends: dict[str, int] = {}  # told once more on the next connection
        self.plugs: list[socket.socket] = []
        self.on_accept = self._on_connected

    def _handle(self, conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.SETUP:
            self.open_setups[message.id] = conn
            key = message.values[Code.KEY]
            delay_ns = self.rng.randrange(*START_RANGE_NS)
            self.bed.loop.call_later(delay_ns, self._start, conn, message.id, key, self.since_ms)
        elif message.kind is Kind.RELEASE:
            if message.id in self.standing:
                del self.standing[message.id]
                self.told_ends[message.id] = CANCELLED
                self._tell(conn, release(message.id, CANCELLED))
            self.open_setups.pop(message.id, None)

    def _start(self, conn: MachineConn, id: str, key: str, since_ms: int) -> None:
        """An open set-up becomes a task that runs, unless it was given up or the machine restarted."""
        if since_ms != self.since_ms or self.open_setups.pop(id, None) is not conn:
            return
        if conn not in self.conns:
            return
        self.standing[id] = Standing(key, conn)
        self._tell(conn, Message(Kind.ANSWER, id, None, f"runs {id}"))

    def _tell(self, conn: MachineConn, message: Message) -> None:
        if self.is_cut_off:
            self.unsent.append((conn, message))
        else:
            conn.send(message)

    def _on_connected(self, conn: MachineConn) -> None:
        ends, self.told_ends = self.told_ends, {}
        for id, cause in ends.items():
            self._tell(conn, release(id, cause))

    def finish(self, id: str) -> None:
        """A task comes to its end."""
        conn = self.standing.pop(id).conn
        self.told_ends[id] = DONE
        open_conns = [conn] if conn in self.conns else self.conns[-1:]
        for each in open_conns:
            self._tell(each, release(id, DONE))

    # --- outages ------------------------------------------------------------------------------------------

    def cut_off(self) -> None:
        """Open connections say nothing, and new ones never come up; what runs goes on."""
        self.is_cut_off = True
        for conn in self.conns:
            conn.stream.pause(True)
        self.bed.loop.watch(self.listener.sock.fileno(), 0, lambda _: None)
        self.listener.sock.listen(0)
        for _ in range(3):  # a full queue drops all further connections
            plug = socket.socket()
            plug.setblocking(False)
            plug.connect_ex(self.address)
            self.plugs.append(plug)

    def rejoin(self) -> None:
        """The network is whole again."""
        self._reopen()
        unsent, self.unsent = self.unsent, []
        for conn, message in unsent:
            if conn in self.conns:
                conn.send(message)

    def return_cold(self, now_ns: int) -> None:
        """A new process takes the address, without the tasks; connections of the old one are reset."""
        self.since_ms = now_ns // MS
        self.standing.clear()
        self.open_setups.clear()
        self.told_ends.clear()
        self.unsent.clear()
        for conn in list(self.conns):
            conn.reset()
        if self.is_cut_off:
            self._reopen()

    def _reopen(self) -> None:
        self.is_cut_off = False
        for plug in self.plugs:
            plug.close()
        self.plugs.clear()
        self.listener.close()
        self.listener = Listener(self.bed.loop, self.address, self._accept)
        for conn in list(self.conns):
            conn.stream.pause(False)


@dataclass
class Asked:
    """A set-up of an owner, and what became of it."""

    id: str
    key: str
    unsafe: bool
    stands: bool = False
    ended_by_owner: bool = False
    is_over: bool = False


class OutageRun:
    """One run: random operations and outages, their end, and the check of what stands where."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.rng = random.Random(f"outages {seed}")
        self.bed = self.make_bed(folder)
        self.machines = [self.make_machine(f"m{at}") for at in range(MACHINES)]
        self.position = 1
        self.tell_list(*self.machines)
        self.owner = Owner(self.bed)
        self.asked: dict[str, Asked] = {}
        self.heard = 0  # messages of the owner that were looked at
        self.trace: list[str] = []

    def make_bed(self, folder: Path) -> Bed:
        return Bed(folder)

    def make_machine(self, name: str) -> OutageMachine:
        return OutageMachine(self.bed, name, self.rng)

    def is_out(self, machine: OutageMachine) -> bool:
        """Whether an outage of this machine goes on."""
        return machine.is_cut_off

    def note(self, text: str) -> None:
        self.trace.append(f"{self.bed.clock.now_ns() / S % 1000:.3f} {text}")

    def tell_list(self, *machines: OutageMachine) -> None:
        """The list tells the machines as they are now."""
        self.position += 1
        rows = [machine.row(since_ms=machine.since_ms) for machine in machines]
        self.bed.service.apply_event(decode_event(json.dumps(event(self.position, *rows)).encode()))

    # --- the owner ----------------------------------------------------------------------------------------

    def ask(self, unsafe: bool, key: str = "") -> None:
        setup = self.bed.setup("bill" if unsafe else "web", left=2500)
        key = key or str(setup.fields["key"])
        setup.fields["key"] = key
        self.asked[setup.id] = Asked(setup.id, key, unsafe)
        self.owner.send(setup)
        self.note(f"asks {setup.id} {'unsafe' if unsafe else ''} {key}")

    def hear(self) -> None:
        """Take in what the owner was sent; it asks again for unsafe tasks that ended."""
        new, self.heard = self.owner.messages[self.heard :], len(self.owner.messages)
        for message in new:
            asked = self.asked.get(message.id)
            if asked is None or message.kind not in (Kind.ANSWER, Kind.RELEASE, Kind.MOVE):
                continue
            if not self.is_news(asked):
                continue
            self.note(f"hears {message.kind.name} {message.id} {message.cause}")
            if message.kind is Kind.ANSWER:
                asked.stands = True
            else:
                asked.is_over = True
                self.ask_again_later(asked)

    def is_news(self, asked: Asked) -> bool:
        """Whether the owner has to act on what it hears of this task."""
        return True

    def ask_again_later(self, asked: Asked) -> None:
        if asked.unsafe:
            self.bed.loop.call_later(OWNER_WAITS_NS, self.ask, True, asked.key)

    def find_held(self) -> list[Asked]:
        """The tasks that the owner holds through this scheduler."""
        held = [each for each in self.asked.values() if each.stands and not each.is_over]
        return [each for each in held if not each.ended_by_owner]

    def end_one(self) -> None:
        held = self.find_held()
        if held:
            asked = self.rng.choice(held)
            asked.ended_by_owner = True
            self.owner.send(release(asked.id, CANCELLED))
            self.note(f"ends {asked.id}")

    # --- the run ------------------------------------------------------------------------------------------

    def run_for(self, span_ns: int) -> None:
        self.bed.run(span_ns=span_ns)
        self.hear()

    def finish_one(self) -> None:
        running = [(machine, id) for machine in self.machines for id in machine.standing]
        if running:
            machine, id = self.rng.choice(running)
            self.note(f"{machine.name} finishes {id}")
            machine.finish(id)

    def begin_outage(self) -> None:
        machine = self.rng.choice(self.machines)
        if self.is_out(machine):
            return
        is_cold, span_ns = self.rng.random() < 0.5, self.rng.randrange(*OUTAGE_RANGE_NS)
        self.note(f"{machine.name} {'vanishes' if is_cold else 'is cut off'} for {span_ns // MS} ms")
        machine.cut_off()
        self.bed.loop.call_later(span_ns, self.end_outage, machine, is_cold)

    def end_outage(self, machine: OutageMachine, is_cold: bool) -> None:
        self.note(f"{machine.name} is back{' cold' if is_cold else ''}")
        if is_cold:
            self.restart(machine)
        else:
            machine.rejoin()

    def restart(self, machine: OutageMachine) -> None:
        machine.return_cold(self.bed.clock.now_ns())
        self.bed.loop.call_later(self.rng.randrange(*LIST_DELAY_RANGE_NS), self.tell_list, machine)

    def step(self) -> None:
        what = self.rng.random()
        if what < 0.45:
            self.ask(self.rng.random() < 0.5)
        elif what < 0.60:
            self.end_one()
        elif what < 0.75:
            self.finish_one()
        elif what < 0.85:
            self.begin_outage()
        elif what < 0.88:
            machine = self.rng.choice(self.machines)
            if not self.is_out(machine):
                self.note(f"{machine.name} restarts")
                self.restart(machine)
        elif what < 0.94:
            conns = [conn for machine in self.machines if not self.is_out(machine) for conn in machine.conns]
            if conns:
                conn = self.rng.choice(conns)
                self.note(f"a connection to {conn.machine.name} is reset")
                conn.reset()
        self.run_for(self.rng.randrange(*STEP_RANGE_NS))

    def run(self) -> None:
        for _ in range(STEPS):
            self.step()
        while any(self.is_out(machine) for machine in self.machines):
            self.run_for(S)
        for _ in range(SETTLE_NS // S):
            self.run_for(S)

    def find_faults(self) -> list[str]:
        """What stands without an owner, what an owner holds that does not stand, and what stands twice."""
        found = []
        standing = {id: (machine, each) for machine in self.machines for id, each in machine.standing.items()}
        for id, (machine, _) in standing.items():
            asked = self.asked[id]
            if not asked.stands:
                found.append(f"{id}: runs on {machine.name}, its owner was never answered so")
            elif asked.is_over:
                found.append(f"{id}: runs on {machine.name}, its owner was told that it is over")
            elif asked.ended_by_owner:
                found.append(f"{id}: runs on {machine.name}, its owner has ended it")
        for asked in self.asked.values():
            holds = asked.stands and not asked.is_over and not asked.ended_by_owner
            if holds and asked.id not in standing:
                found.append(f"{asked.id}: does not run, its owner was not told")
        keys = Counter(each.key for _, each in standing.values())
        found += [f"{key}: stands {count} times" for key, count in keys.items() if count > 1]
        for machine in self.machines:
            link = self.bed.service.links.get(machine.name)
            if link is not None and len(link.tasks.releases):
                found.append(f"{machine.name}: releases are still pending")
        return found


def run_seed(
    seed: int, folder: Path | None = None, make_run: Callable[[Path, int], OutageRun] = OutageRun
) -> tuple[list[str], int]:
    """Run one seed; return the faults found and the number of set-ups.  The trace goes to `folder`."""
    with tempfile.TemporaryDirectory() as scratch:
        outage_run = make_run(Path(scratch), seed)
        try:
            outage_run.run()
            found = outage_run.find_faults()
            if found and folder is not None:
                (folder / f"outages-{seed}").write_text("\n".join([*outage_run.trace, *found]) + "\n")
            return found, len(outage_run.asked)
        finally:
            outage_run.bed.close()


def main(make_run: Callable[[Path, int], OutageRun] = OutageRun) -> None:
    """Run the seeds from the first to the last one given; traces of those with faults go to the third."""
    folder = Path(sys.argv[3]) if len(sys.argv) > 3 else None
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        found, count = run_seed(seed, folder, make_run)
        print(f"seed {seed}: {count} set-ups, {len(found)} faults {found[:4]}", flush=True)


if __name__ == "__main__":
    main()
