"""Tasks that wait for a machine, and the order in which they are tried again."""

from collections.abc import Callable

from ladderhub.decide.fleet import Fleet
from ladderhub.decide.records import Task
from ladderhub.decide.rules import Rules
from ladderhub.interface import Settings

# Bounds on the picks of one sweep, so that no event blocks the loop: a pick examines all machines at worst.
MAX_MACHINES_PER_SWEEP, MIN_PICKS_PER_SWEEP = 16_384, 8


class WaitQueue:
    """The waiting tasks by number, in the order in which they began to wait."""

    def __init__(self, settings: Settings, fleet: Fleet, rules: Rules) -> None:
        self.settings, self._fleet, self._rules = settings, fleet, rules
        self.tasks: dict[int, Task] = {}
        self._tried: set[int] = set()  # tasks already tried in the current pass

    def get_max_picks(self) -> int:
        """Return how many picks one sweep may make."""
        return max(MIN_PICKS_PER_SWEEP, MAX_MACHINES_PER_SWEEP // max(1, len(self._fleet.machines)))

    def sweep(self, now: int, place: Callable[[int, Task], None]) -> None:
        """Try waiting tasks again: the highest class first, the oldest first within it.  A pass over many
        tasks takes several sweeps; each continues with those that were not tried yet."""
        classes, failed, picks = self.settings.classes, set(), self.get_max_picks()
        # If a task found no machine though none was closed to it alone, no task that requests as much will.
        unplaceable: dict[tuple[int, int], list[tuple[float, float]]] = {}
        waiting = [task for number, task in self.tasks.items() if number not in self._tried]
        for task in sorted(waiting, key=lambda waiter: -classes[waiter.klass].priority):
            cores, memory, sizes = (
                task.asked.cores,
                task.asked.memory,
                unplaceable.setdefault(task.class_and_tenant, []),
            )
            request = (task.class_and_tenant, task.asked.service, cores, memory, bool(task.excluded))
            if request in failed or any(cores >= size[0] and memory >= size[1] for size in sizes):
                continue
            if not picks:
                return
            picks -= 1
            self._tried.add(task.asked.task)
            place(now, task)
            if task.asked.task in self.tasks:
                failed.add(request)
                if (
                    not task.excluded
                    and task.first_possible_run is None
                    and not self._rules.get_full_domains(task)
                ):
                    sizes.append((cores, memory))
        self._tried.clear()
