"""Room and use: what is asked decides whether a machine refuses, what is used how well it serves."""

import struct
from collections import defaultdict
from collections.abc import Iterable

from ladderhub.decide.records import MEMORY_LONG, MS, NOTE_FRESH_NS, Attempt, Machine, Mean, Task
from ladderhub.interface import LoadReport, PeerMessage, Settings, TaskNote, Tell, Topic

FIRST_CORES, FIRST_MEMORY = 0.6, 0.8  # use against asked before any note came
MEMORY_CALM = 0.9  # machines slow down, then evict, as memory use nears the whole
POOR_FILL = 0.3  # fill added where tasks got no service at all, in proportion above that
TELL_NS = 200 * MS  # how often peers are told what changed: fresher than any list
TELL_MOST = 0.006  # share of the result that telling may cost, at two lines a task: each receiver is paid for
TOLD, TOLD_PARTS = struct.Struct(">IHH"), 8  # a machine's number, cores and memory asked there, in eighths


def use_means() -> tuple[Mean, Mean]:
    return Mean(FIRST_CORES, MEMORY_LONG), Mean(FIRST_MEMORY, MEMORY_LONG)


class Ledger:
    """Charges attempts to machines' accounts, and learns what is used of what was asked."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.class_use: defaultdict[int, tuple[Mean, Mean]] = defaultdict(use_means)
        self.use_share = use_means()  # the same over all tasks, for what others hold

    def charge(self, now: int, task: Task, attempt: Attempt, running: bool) -> None:
        machine, asked, use = attempt.machine, task.asked, self.class_use[task.klass]
        machine.hold(asked.service)
        attempt.use = [use[0].value * asked.cores, use[1].value * asked.memory]
        machine.requested.add(now, asked.cores, asked.memory, running)
        machine.used.add(now, attempt.use[0], attempt.use[1], running)

    def release(self, now: int, task: Task, attempt: Attempt) -> None:
        machine, asked = attempt.machine, task.asked
        machine.requested.add(now, -asked.cores, -asked.memory)
        machine.used.add(now, -attempt.use[0], -attempt.use[1])
        machine.let_go(asked.service, attempt.started is not None)

    def fits(self, task: Task, machine: Machine) -> bool:
        """Room by what is asked, which is what machines refuse by."""
        if not self.settings.kinds:
            return True
        settings, size = self.settings, self.settings.kinds[machine.kind]
        cores, memory = (
            machine.requested.total[0] + task.asked.cores,
            machine.requested.total[1] + task.asked.memory,
        )
        return cores <= size.cores * settings.admit_cores and memory <= size.memory * settings.admit_memory

    def fill(self, now: int, need: tuple[float, float], calm: float, machine: Machine) -> float:
        """Use of the tighter of cores and memory, a task's need included, over what serves in full."""
        size, own, beside = self.settings.kinds[machine.kind], machine.used.own, machine.requested.beside
        if now - machine.used.seen_ns < NOTE_FRESH_NS and machine.used.seen_ns >= 0:
            cores, memory = machine.used.total
        else:  # no fresh reading: what others have there by the usual use of what was asked
            cores = own[0] + beside[0] * self.use_share[0].value
            memory = own[1] + beside[1] * self.use_share[1].value
        (poor_ns, poor), (short_ns, short) = machine.notes
        if now - short_ns < NOTE_FRESH_NS:
            memory = max(memory, short * size.memory)
        fill = max((cores + need[0]) / size.cores / calm, (memory + need[1]) / size.memory / MEMORY_CALM)
        return fill + poor * POOR_FILL if now - poor_ns < NOTE_FRESH_NS else fill

    def learn_use(self, now: int, task: Task, attempt: Attempt, note: TaskNote) -> None:
        asked, at = task.asked, 0 if note.topic is Topic.CORES_USED else 1
        ratio = note.level / max(asked.cores if at == 0 else asked.memory, 1e-9)
        self.class_use[asked.klass][at].add(ratio)
        if not self.settings.reports_count_use:
            self.use_share[at].add(ratio)
        change, attempt.use[at] = note.level - attempt.use[at], note.level
        if attempt.is_current():
            attempt.machine.used.add(now, change * (at == 0), change * (at == 1))

    def read_report(self, now: int, machine: Machine, report: LoadReport) -> None:
        if report.cores_free is None or report.memory_free is None or not self.settings.kinds:
            return
        size = self.settings.kinds[machine.kind]
        cores, memory = size.cores - report.cores_free, size.memory - report.memory_free
        of_use = self.settings.reports_count_use
        (machine.used if of_use else machine.requested).observe(now, cores, memory)
        for at, used in enumerate((cores, memory)):
            if of_use and machine.requested.total[at] > 0:
                self.use_share[at].add(min(2.0, used / machine.requested.total[at]))


class Telling:
    """What few schedulers tell each other of their accounts, where messages are allowed and cheap."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        lines_cost = 2 * TOLD.size / 256 * settings.price_message * (settings.schedulers - 1)
        self.allowed = settings.may_message and settings.schedulers > 1 and lines_cost <= TELL_MOST
        self.changed: dict[str, Machine] = {}  # machines whose account the peers have not been told

    def tell(self) -> list[Tell]:
        """Tell all peers the own account of machines where it changed; the rest waits its turn."""
        parts: list[bytes] = []
        for machine in list(self.changed.values())[: self.settings.message_bytes // TOLD.size]:
            del self.changed[machine.id]
            figures = (min(0xFFFF, max(0, round(held * TOLD_PARTS))) for held in machine.requested.own)
            parts.append(TOLD.pack(machine.number, *figures))
        return [Tell(b"".join(parts))] if parts else []

    def hear(self, event: PeerMessage, machines: Iterable[Machine]) -> None:
        if len(event.data) % TOLD.size or not 0 <= event.peer < self.settings.schedulers:
            return
        told = {number: (c / TOLD_PARTS, m / TOLD_PARTS) for number, c, m in TOLD.iter_unpack(event.data)}
        for machine in machines:
            if machine.number in told:
                machine.requested.peers[event.peer] = told[machine.number]
                machine.requested.reckon()
