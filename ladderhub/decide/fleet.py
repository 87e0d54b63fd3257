"""The machines, as lists tell of them, and what follows from the list alone until it changes."""

import heapq
import zlib

from ladderhub.decide.records import Machine, S, Task
from ladderhub.decide.warmth import HOME_GUESSES
from ladderhub.interface import ListKind, MachineEntry, MachineList, Settings, Stage

FORGET_NS = 600 * S  # a machine gone for so long is forgotten
HOMES = 2  # machines over which all place a service, twice as many where they are also packed by fill
HOMES_KEPT = 1024  # services whose homes are remembered until the list changes
MIX = 4_294_967_291  # a prime: products by it scatter well


class Fleet:
    """Machines by name; serving ones by kind and homes by service are kept until the list changes."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.machines: dict[str, Machine] = {}
        self._takers: dict[int, list[Machine]] = {}
        self._homes: dict[tuple[str, int], dict[str, int]] = {}

    def unlisted(self, name: str) -> Machine:
        """A machine that a task names, perhaps before any list does."""
        return self.machines.setdefault(name, Machine(MachineEntry(name, Stage.GONE), False))

    def serving(self, kind: int) -> list[Machine]:
        """Machines that the list has serving, of one kind or (-1) of all."""
        if kind not in self._takers:
            self._takers[kind] = [
                m for m in self.machines.values() if not m.is_unavailable and kind in (-1, m.kind)
            ]
        return self._takers[kind]

    def homes_of(self, task: Task) -> dict[str, int]:
        """Homes of the task's service: machines by an order that every scheduler reckons alike, load apart.

        Danger: warmth that others made can't be seen, and many start every program everywhere cold."""
        if self.settings.schedulers == 1:
            return {}
        kind, priced = self.settings.classes[task.klass].kind, self.settings.price_cross_zone > 0
        if (found := self._homes.get((task.asked.service, kind))) is not None:
            return found
        machines = self.serving(kind)
        number = zlib.crc32(task.asked.service.encode()) + 1
        packed = self.settings.price_machines_in_use > 0 and self.settings.list_shows_room
        zones = {machine.zone for machine in machines} if priced else {0}
        each = -(-HOMES * (1 + packed) // (len(zones) or 1))
        levels: dict[str, int] = {}
        for zone in sorted(zones):
            there = [other for other in machines if zone == other.zone or not priced]
            order = ((other.number * number % MIX, other.id) for other in there)
            for at, (_, name) in enumerate(heapq.nsmallest(each * len(HOME_GUESSES), order)):
                levels[name] = at // each
        if len(self._homes) >= HOMES_KEPT:
            self._homes.clear()
        self._homes[task.asked.service, kind] = levels
        return levels

    def forget_derived(self) -> None:
        self._takers.clear()
        self._homes.clear()

    def follow(self, now: int, event: MachineList) -> list[str]:
        """Take a list; say which machines were forgotten."""
        if event.kind is ListKind.FAILED:
            return []
        known = len(self.machines)
        for entry in event.entries:
            machine = self.machines.get(entry.machine)
            if machine is None:
                machine = self.machines[entry.machine] = Machine(entry, True)
            elif entry.ready_ns > machine.ready_ns:
                machine.restart(entry.ready_ns)
            was = (machine.kind, machine.zone, machine.is_unavailable)
            machine.kind, machine.zone, machine.cell = entry.kind, entry.zone, entry.cell
            machine.is_unavailable = entry.stage is not Stage.SERVING
            machine.gone_ns = now if entry.stage is Stage.GONE else None
            if was != (machine.kind, machine.zone, machine.is_unavailable) or len(self.machines) > known:
                self.forget_derived()
            if self.settings.list_shows_room and not machine.is_unavailable:
                size = self.settings.kinds[machine.kind]
                machine.requested.observe(now, size.cores - entry.free_cores, size.memory - entry.free_memory)
        if event.kind is not ListKind.CHANGES:
            listed = {entry.machine for entry in event.entries}
            for machine in self.machines.values():
                if machine.id not in listed and machine.gone_ns is None:
                    machine.is_unavailable, machine.gone_ns = True, now
                    self.forget_derived()
        # Machines long gone are forgotten; not at once: tasks there may yet be handed over and must count.
        gone = [
            each for each in self.machines.values() if each.gone_ns is not None and not each.active_services
        ]
        forgotten = [each.id for each in gone if now - (each.gone_ns or 0) > FORGET_NS]
        for name in forgotten:
            del self.machines[name]
        return forgotten
