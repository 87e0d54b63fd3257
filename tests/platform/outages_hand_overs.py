"""Random outages of machines whose unsafe tasks are handed over again if they turn out to run.

As `outages.py`, with owners as the users' pages describe them: after a loss the owner of a task that must not
be started twice waits, looks whether the task runs, and hands it over then, here or to another scheduler that
the machine tells nothing.  Machines hang as well, and other schedulers have tasks cut.
`python -m tests.platform.outages_hand_overs FIRST LAST [FOLDER]` plays these seeds."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path
from typing import Any

from ladderhub.signalling import Message
from tests.platform.bed import MS, Bed, MachineConn, S, release
from tests.platform.outages import (
    CANCELLED,
    OWNER_WAITS_NS,
    Asked,
    OutageMachine,
    OutageRun,
    main,
)

ELSEWHERE_SHARE = 0.3  # of the hand-overs that go to another scheduler
OTHER_TELLS_AFTER_NS = 8 * S  # the most that the protocol gives for an end
HANG_SHARE = 0.5  # of the outages
OTHER_OUTAGES_SHARE = 0.2  # of the outages, as in `outages.py`
LONG_OUTAGE_RANGE_NS = (4 * S, 18 * S)  # so that most machines are given up


class HangingMachine(OutageMachine):
    """A machine that can hang as well: its connections come up, and nothing is read from them."""

    is_hung = False

    def __init__(self, bed: Any, name: str, rng: random.Random) -> None:
        super().__init__(bed, name, rng)
        self.unopened: list[MachineConn] = []  # accepted by its kernel alone, in this order

    def _on_connected(self, conn: MachineConn) -> None:
        if self.is_hung:
            conn.stream.pause(True)
            self.unopened.append(conn)
        else:
            super()._on_connected(conn)

    def _tell(self, conn: MachineConn, message: Message) -> None:
        if self.is_hung:
            self.unsent.append((conn, message))
        else:
            super()._tell(conn, message)

    def hang(self) -> None:
        self.is_hung = True
        for conn in self.conns:
            conn.stream.pause(True)

    def go_on(self) -> None:
        """Open the connections that wait, and read and send what has waited."""
        self.is_hung = False
        unopened, self.unopened = self.unopened, []
        for conn in unopened:
            self._on_connected(conn)
        for conn in list(self.conns):
            conn.stream.pause(False)
        unsent, self.unsent = self.unsent, []
        for conn, message in unsent:
            if conn in self.conns:
                conn.send(message)

    def cut_task(self, id: str) -> None:
        """Another scheduler has released a task, and it ends; it is told where a connection is open."""
        self.standing.pop(id)
        self.told_ends[id] = CANCELLED
        for conn in self.conns[-1:]:
            self._tell(conn, release(id, CANCELLED))


class HandOverRun(OutageRun):
    """One run with owners that look whether their task runs before they ask again."""

    def __init__(self, folder: Path, seed: int) -> None:
        super().__init__(folder, seed)
        self.other_rng = random.Random(f"hand-overs {seed}")
        self.held_elsewhere: dict[str, OutageMachine] = {}  # tasks that were handed to another scheduler
        self.ended_elsewhere_ns: dict[str, int] = {}
        self.counts: Counter[str] = Counter()

    def make_bed(self, folder: Path) -> Bed:
        return Bed(folder, settle_ns=OWNER_WAITS_NS)

    def make_machine(self, name: str) -> OutageMachine:
        return HangingMachine(self.bed, name, self.rng)

    def is_out(self, machine: OutageMachine) -> bool:
        return machine.is_cut_off or (isinstance(machine, HangingMachine) and machine.is_hung)

    # --- the owner ----------------------------------------------------------------------------------------

    def is_news(self, asked: Asked) -> bool:
        return not asked.is_over  # an end that is told more than once is one end

    def find_held(self) -> list[Asked]:
        return [each for each in super().find_held() if each.id not in self.held_elsewhere]

    def ask_again_later(self, asked: Asked) -> None:
        self.held_elsewhere.pop(asked.id, None)
        self.ended_elsewhere_ns.pop(asked.id, None)
        if asked.unsafe and not asked.ended_by_owner:
            self.bed.loop.call_later(OWNER_WAITS_NS, self.look_for, asked)

    def look_for(self, asked: Asked) -> None:
        """Hand the task over if it runs, otherwise ask for it again."""
        machine = self.find_machine(asked)
        if machine is None:
            self.counts["asked again"] += 1
            self.ask(True, asked.key)
            return
        asked.stands, asked.is_over = True, False
        if self.other_rng.random() < ELSEWHERE_SHARE:
            self.counts["handed elsewhere"] += 1
            self.note(f"hands {asked.id} at {machine.name} to another scheduler")
            self.held_elsewhere[asked.id] = machine
        else:
            self.counts["handed over"] += 1
            self.hand_over(asked, machine)

    def find_machine(self, asked: Asked) -> OutageMachine | None:
        return next((each for each in self.machines if asked.id in each.standing), None)

    def hand_over(self, asked: Asked, machine: OutageMachine) -> None:
        self.note(f"hands over {asked.id} at {machine.name}")
        setup = self.bed.setup("bill" if asked.unsafe else "web", at=machine.name)
        setup.id, setup.fields["key"] = asked.id, asked.key
        self.owner.send(setup)

    def hear(self) -> None:
        super().hear()
        now_ns = self.bed.clock.now_ns()
        for id, machine in list(self.held_elsewhere.items()):
            if id in machine.standing:
                continue
            ended_ns = self.ended_elsewhere_ns.setdefault(id, now_ns)
            if now_ns >= ended_ns + OTHER_TELLS_AFTER_NS:
                self.tell_elsewhere(id)

    def tell_elsewhere(self, id: str) -> None:
        """The other scheduler tells the end of a task that it holds."""
        self.note(f"another scheduler tells that {id} is over")
        self.asked[id].is_over = True
        self.ask_again_later(self.asked[id])

    def hand_over_known(self) -> None:
        """Hand over a task that the scheduler holds already; its end may cross that."""
        held = [(asked, self.find_machine(asked)) for asked in self.find_held()]
        running = [(asked, machine) for asked, machine in held if machine is not None]
        if running:
            self.hand_over(*self.other_rng.choice(running))

    # --- machines and other schedulers --------------------------------------------------------------------

    def cut_one(self) -> None:
        """Another scheduler has one of the tasks cut, by a release that it owed its machine."""
        held = [(asked, self.find_machine(asked)) for asked in self.find_held()]
        running = [(asked, machine) for asked, machine in held if machine is not None]
        if running:
            asked, machine = self.other_rng.choice(running)
            assert isinstance(machine, HangingMachine)
            self.note(f"another scheduler cuts {asked.id} at {machine.name}")
            machine.cut_task(asked.id)

    def restart(self, machine: OutageMachine) -> None:
        super().restart(machine)
        for id in [id for id, where in self.held_elsewhere.items() if where is machine]:
            self.tell_elsewhere(id)

    def begin_outage(self) -> None:
        what = self.other_rng.random()
        machine = self.other_rng.choice(self.machines)
        assert isinstance(machine, HangingMachine)
        if what < OTHER_OUTAGES_SHARE:
            super().begin_outage()
            return
        if self.is_out(machine):
            return
        span_ns = self.other_rng.randrange(*LONG_OUTAGE_RANGE_NS)
        if what < OTHER_OUTAGES_SHARE + HANG_SHARE:
            self.note(f"{machine.name} hangs for {span_ns // MS} ms")
            machine.hang()
            self.bed.loop.call_later(span_ns, self.end_hang, machine)
        else:
            self.note(f"{machine.name} is cut off for {span_ns // MS} ms")
            machine.cut_off()
            self.bed.loop.call_later(span_ns, self.end_outage, machine, False)

    def end_hang(self, machine: HangingMachine) -> None:
        self.note(f"{machine.name} goes on")
        machine.go_on()

    def step(self) -> None:
        what = self.other_rng.random()
        if what < 0.1:
            self.hand_over_known()
        elif what < 0.15:
            self.cut_one()
        super().step()


if __name__ == "__main__":
    main(HandOverRun)
