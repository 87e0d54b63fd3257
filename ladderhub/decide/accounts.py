"""Requested and used resources: requests decide whether a machine refuses a task, use decides how well it
serves."""

import struct
from collections import defaultdict
from collections.abc import Iterable

from ladderhub.decide.records import LONG_MEAN_SAMPLES, MS, NOTE_VALID_NS, Attempt, Machine, Mean, Task
from ladderhub.interface import LoadReport, PeerMessage, Settings, TaskNote, Tell, Topic

INITIAL_CORE_USE, INITIAL_MEMORY_USE = 0.6, 0.8  # used per requested, before any note arrived
MEMORY_PRESSURE_LEVEL = 0.9  # share of the memory: machines slow down, then evict, as its use nears the whole
POOR_SERVICE_FILL = 0.3  # added to the fill where tasks got no service, in proportion where they got some
PEER_UPDATE_INTERVAL_NS = 200 * MS  # peers learn of changes sooner than from any list
MAX_PEER_UPDATE_COST = 0.006  # share of the result, at two records a task; messages are charged per receiver
# A machine's hash, and the cores and memory requested there in eighths.
PEER_RECORD, PEER_RECORD_PARTS = struct.Struct(">IHH"), 8


def make_use_means() -> tuple[Mean, Mean]:
    return Mean(INITIAL_CORE_USE, LONG_MEAN_SAMPLES), Mean(INITIAL_MEMORY_USE, LONG_MEAN_SAMPLES)


class Ledger:
    """Charges attempts to the accounts of machines, and learns how much of a request is used."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.class_use: defaultdict[int, tuple[Mean, Mean]] = defaultdict(make_use_means)
        self.use_share = make_use_means()  # the same over all classes, for the tasks of other schedulers

    def charge(self, now: int, task: Task, attempt: Attempt, running: bool) -> None:
        machine, asked, use = attempt.machine, task.asked, self.class_use[task.klass]
        machine.add_service(asked.service)
        attempt.use = [use[0].value * asked.cores, use[1].value * asked.memory]
        machine.requested.add(now, asked.cores, asked.memory, running)
        machine.used.add(now, attempt.use[0], attempt.use[1], running)

    def release(self, now: int, task: Task, attempt: Attempt) -> None:
        machine, asked = attempt.machine, task.asked
        machine.requested.add(now, -asked.cores, -asked.memory)
        machine.used.add(now, -attempt.use[0], -attempt.use[1])
        machine.remove_service(asked.service, attempt.started_ns is not None)

    def has_room(self, task: Task, machine: Machine) -> bool:
        """Compare requests with the capacity, as machines do when they accept or refuse."""
        if not self.settings.kinds:
            return True
        settings, size = self.settings, self.settings.kinds[machine.kind]
        cores, memory = (
            machine.requested.total[0] + task.asked.cores,
            machine.requested.total[1] + task.asked.memory,
        )
        return cores <= size.cores * settings.admit_cores and memory <= size.memory * settings.admit_memory

    def compute_fill(self, now: int, need: tuple[float, float], calm: float, machine: Machine) -> float:
        """Return the use of cores or memory, whichever is scarcer, with the need of a task included, over the
        amount up to which the machine serves in full."""
        size, own, others = (
            self.settings.kinds[machine.kind],
            machine.used.own,
            machine.requested.held_by_others,
        )
        if now - machine.used.observed_ns < NOTE_VALID_NS and machine.used.observed_ns >= 0:
            cores, memory = machine.used.total
        else:  # no recent reading: the use by others is estimated from their requests
            cores = own[0] + others[0] * self.use_share[0].value
            memory = own[1] + others[1] * self.use_share[1].value
        (poor_ns, poor), (short_ns, short) = machine.pressure_notes
        if now - short_ns < NOTE_VALID_NS:
            memory = max(memory, short * size.memory)
        fill = max(
            (cores + need[0]) / size.cores / calm, (memory + need[1]) / size.memory / MEMORY_PRESSURE_LEVEL
        )
        return fill + poor * POOR_SERVICE_FILL if now - poor_ns < NOTE_VALID_NS else fill

    def learn_use(self, now: int, task: Task, attempt: Attempt, note: TaskNote) -> None:
        asked, index = task.asked, 0 if note.topic is Topic.CORES_USED else 1
        ratio = note.level / max(asked.cores if index == 0 else asked.memory, 1e-9)
        self.class_use[asked.klass][index].add(ratio)
        if not self.settings.reports_count_use:
            self.use_share[index].add(ratio)
        change, attempt.use[index] = note.level - attempt.use[index], note.level
        if attempt.is_current():
            attempt.machine.used.add(now, change * (index == 0), change * (index == 1))

    def read_report(self, now: int, machine: Machine, report: LoadReport) -> None:
        if report.cores_free is None or report.memory_free is None or not self.settings.kinds:
            return
        size = self.settings.kinds[machine.kind]
        cores, memory = size.cores - report.cores_free, size.memory - report.memory_free
        counts_use = self.settings.reports_count_use
        (machine.used if counts_use else machine.requested).observe(now, cores, memory)
        for index, used in enumerate((cores, memory)):
            if counts_use and machine.requested.total[index] > 0:
                self.use_share[index].add(min(2.0, used / machine.requested.total[index]))


class PeerUpdates:
    """Exchange of account changes between schedulers, where messages are allowed and cheap enough."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        records_cost = 2 * PEER_RECORD.size / 256 * settings.price_message * (settings.schedulers - 1)
        self.is_enabled = (
            settings.may_message and settings.schedulers > 1 and records_cost <= MAX_PEER_UPDATE_COST
        )
        self.changed_machines: dict[str, Machine] = {}  # machines whose account changed since the last update

    def make_updates(self) -> list[Tell]:
        """Tell all peers the own share of changed accounts; what exceeds one message waits for the next."""
        records: list[bytes] = []
        for machine in list(self.changed_machines.values())[
            : self.settings.message_bytes // PEER_RECORD.size
        ]:
            del self.changed_machines[machine.id]
            amounts = (min(0xFFFF, max(0, round(own * PEER_RECORD_PARTS))) for own in machine.requested.own)
            records.append(PEER_RECORD.pack(machine.id_hash, *amounts))
        return [Tell(b"".join(records))] if records else []

    def apply_update(self, event: PeerMessage, machines: Iterable[Machine]) -> None:
        if len(event.data) % PEER_RECORD.size or not 0 <= event.peer < self.settings.schedulers:
            return
        reported = {
            id_hash: (c / PEER_RECORD_PARTS, m / PEER_RECORD_PARTS)
            for id_hash, c, m in PEER_RECORD.iter_unpack(event.data)
        }
        for machine in machines:
            if machine.id_hash in reported:
                machine.requested.peers[event.peer] = reported[machine.id_hash]
                machine.requested.recompute()
