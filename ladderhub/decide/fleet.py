"""The machines, as lists tell of them, and what follows from the list alone until it changes."""

from ladderhub.decide.records import Machine, S, Task
from ladderhub.decide.warmth import Warmth
from ladderhub.interface import ListKind, MachineEntry, MachineList, Settings, Stage

FORGET_NS = 600 * S  # a machine gone for so long is forgotten


class Fleet:
    """Machines by name; serving ones by kind and homes by service are kept until the list changes."""

    def __init__(self, settings: Settings, warmth: Warmth) -> None:
        self.settings, self.warmth = settings, warmth
        self.machines: dict[str, Machine] = {}
        self._takers: dict[int, list[Machine]] = {}

    def unlisted(self, name: str) -> Machine:
        """A machine that a task names, perhaps before any list does."""
        return self.machines.setdefault(name, Machine(MachineEntry(name, Stage.GONE), False))

    def serving(self, kind: int) -> list[Machine]:
        """Machines that the list has serving, of one kind or (-1) of all."""
        if kind not in self._takers:
            found = (each for each in self.machines.values() if not each.shut and kind in (-1, each.kind))
            self._takers[kind] = list(found)
        return self._takers[kind]

    def homes_of(self, task: Task) -> dict[str, int]:
        return self.warmth.homes_of(task, self.serving)

    def _forget_list(self) -> None:
        self._takers.clear()
        self.warmth.homes_kept.clear()

    def follow(self, now: int, event: MachineList) -> tuple[bool, list[str]]:
        """Take a list; say whether a machine stands elsewhere than was thought, and which were forgotten."""
        if event.kind is ListKind.FAILED:
            return False, []
        known, moved = len(self.machines), False
        for entry in event.entries:
            machine = self.machines.get(entry.machine)
            if machine is None:
                machine = self.machines[entry.machine] = Machine(entry, True)
            elif entry.ready_ns > machine.ready_ns:
                machine.restart(entry.ready_ns)
            moved |= (machine.zone, machine.cell) != (entry.zone, entry.cell)
            was = (machine.kind, machine.zone, machine.shut)
            machine.kind, machine.zone, machine.cell = entry.kind, entry.zone, entry.cell
            machine.shut = entry.stage is not Stage.SERVING
            machine.gone_ns = now if entry.stage is Stage.GONE else None
            if was != (machine.kind, machine.zone, machine.shut) or len(self.machines) > known:
                self._forget_list()
            if self.settings.list_shows_room and not machine.shut:
                size = self.settings.kinds[machine.kind]
                machine.asked.observe(now, size.cores - entry.free_cores, size.memory - entry.free_memory)
        if event.kind is not ListKind.CHANGES:
            listed = {entry.machine for entry in event.entries}
            for machine in self.machines.values():
                if machine.id not in listed and machine.gone_ns is None:
                    machine.shut, machine.gone_ns = True, now
                    self._forget_list()
        # Machines long gone are forgotten; not at once: tasks there may yet be handed over and must count.
        gone = [each for each in self.machines.values() if each.gone_ns is not None and not each.held]
        forgotten = [each.id for each in gone if now - (each.gone_ns or 0) > FORGET_NS]
        for name in forgotten:
            del self.machines[name]
        return moved, forgotten
