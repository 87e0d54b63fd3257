"""The known machines, and results derived from the machine list alone, cached until it changes."""

import heapq
import zlib

from ladderhub.decide.records import Machine, S, Task
from ladderhub.decide.warmth import INITIAL_PREFERRED_WARMTH
from ladderhub.interface import ListKind, MachineEntry, MachineList, Settings, Stage

GONE_RETENTION_NS = 600 * S  # a machine that is gone for longer is dropped
PREFERRED_MACHINES = 2  # of a service, in each tier; doubled where services are also packed by fill
MAX_CACHED_PREFERENCES = 1024  # services
HASH_PRIME = 4_294_967_291  # products modulo this prime are spread evenly


class Fleet:
    """Machines by name; caches the serving ones by kind and the preferred ones by service."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.machines: dict[str, Machine] = {}
        self._serving: dict[int, list[Machine]] = {}
        self._preferred: dict[tuple[str, int], dict[str, int]] = {}

    def get_or_add(self, name: str) -> Machine:
        """Return the machine that a task names; a list may name it only later."""
        return self.machines.setdefault(name, Machine(MachineEntry(name, Stage.GONE), False))

    def get_serving(self, kind: int) -> list[Machine]:
        """Return the machines that serve according to the list, of one kind or (-1) of all."""
        if kind not in self._serving:
            self._serving[kind] = [
                m for m in self.machines.values() if not m.is_unavailable and kind in (-1, m.kind)
            ]
        return self._serving[kind]

    def get_preferred(self, task: Task) -> dict[str, int]:
        """Return the preferred machines of the task's service with their tier, 0 or 1.  All schedulers derive
        the same order from hashes, whatever the load.

        A scheduler can't see what others warmed: without a common order, many schedulers would start every
        program cold on every machine."""
        if self.settings.schedulers == 1:
            return {}
        kind, by_zone = self.settings.classes[task.klass].kind, self.settings.price_cross_zone > 0
        if (found := self._preferred.get((task.asked.service, kind))) is not None:
            return found
        machines = self.get_serving(kind)
        multiplier = zlib.crc32(task.asked.service.encode()) + 1
        is_packed = self.settings.price_machines_in_use > 0 and self.settings.list_shows_room
        zones = {machine.zone for machine in machines} if by_zone else {0}
        per_zone = -(-PREFERRED_MACHINES * (1 + is_packed) // (len(zones) or 1))
        tiers: dict[str, int] = {}
        for zone in sorted(zones):
            in_zone = [other for other in machines if zone == other.zone or not by_zone]
            order = ((other.id_hash * multiplier % HASH_PRIME, other.id) for other in in_zone)
            for rank, (_, name) in enumerate(
                heapq.nsmallest(per_zone * len(INITIAL_PREFERRED_WARMTH), order)
            ):
                tiers[name] = rank // per_zone
        if len(self._preferred) >= MAX_CACHED_PREFERENCES:
            self._preferred.clear()
        self._preferred[task.asked.service, kind] = tiers
        return tiers

    def clear_caches(self) -> None:
        self._serving.clear()
        self._preferred.clear()

    def apply_list(self, now: int, event: MachineList) -> list[str]:
        """Update the machines from a list; return the names of the machines that were dropped."""
        if event.kind is ListKind.FAILED:
            return []
        count_before = len(self.machines)
        for entry in event.entries:
            machine = self.machines.get(entry.machine)
            if machine is None:
                machine = self.machines[entry.machine] = Machine(entry, True)
            elif entry.ready_ns > machine.ready_ns:
                machine.restart(entry.ready_ns)
            before = (machine.kind, machine.zone, machine.is_unavailable)
            machine.kind, machine.zone, machine.cell = entry.kind, entry.zone, entry.cell
            machine.is_unavailable = entry.stage is not Stage.SERVING
            machine.gone_since_ns = now if entry.stage is Stage.GONE else None
            if (
                before != (machine.kind, machine.zone, machine.is_unavailable)
                or len(self.machines) > count_before
            ):
                self.clear_caches()
            if self.settings.list_shows_room and not machine.is_unavailable:
                size = self.settings.kinds[machine.kind]
                machine.requested.observe(now, size.cores - entry.free_cores, size.memory - entry.free_memory)
        if event.kind is not ListKind.CHANGES:
            listed = {entry.machine for entry in event.entries}
            for machine in self.machines.values():
                if machine.id not in listed and machine.gone_since_ns is None:
                    machine.is_unavailable, machine.gone_since_ns = True, now
                    self.clear_caches()
        # Machines that are gone are kept for a while: tasks on them may still be handed over and must count.
        gone = [
            each
            for each in self.machines.values()
            if each.gone_since_ns is not None and not each.active_services
        ]
        dropped = [each.id for each in gone if now - (each.gone_since_ns or 0) > GONE_RETENTION_NS]
        for name in dropped:
            del self.machines[name]
        return dropped
