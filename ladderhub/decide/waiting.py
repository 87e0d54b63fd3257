"""Tasks that wait for a machine: whose turn it is at each look at them."""

from collections.abc import Callable

from ladderhub.decide.fleet import Fleet
from ladderhub.decide.records import Task
from ladderhub.decide.rules import Rules
from ladderhub.interface import Settings

# Picks in one look, since no event may hold up the loop: a pick weighs all machines at worst.
WEIGHED_MOST, LOOKS_LEAST = 16_384, 8


class Waiting:
    """The waiting tasks by number, in the order in which they came to wait."""

    def __init__(self, settings: Settings, fleet: Fleet, rules: Rules) -> None:
        self.settings, self._fleet, self._rules = settings, fleet, rules
        self.held: dict[int, Task] = {}
        self._looked: set[int] = set()  # those that have had their turn in this pass

    def looks_most(self) -> int:
        """How many tasks may be picked for in one look at them."""
        return max(LOOKS_LEAST, WEIGHED_MOST // max(1, len(self._fleet.machines)))

    def sweep(self, now: int, place: Callable[[int, Task], None]) -> None:
        """Look again at the tasks that wait: the highest class first, the oldest first within it.  A pass
        over many goes on at the next look, with those that have not had their turn."""
        classes, vain, looks = self.settings.classes, set(), self.looks_most()
        # Where one found no machine though none was closed to it in particular, none that asks as much will.
        nowhere: dict[tuple[int, int], list[tuple[float, float]]] = {}
        waiting = [task for number, task in self.held.items() if number not in self._looked]
        for task in sorted(waiting, key=lambda held: -classes[held.klass].priority):
            cores, memory, found = task.asked.cores, task.asked.memory, nowhere.setdefault(task.what, [])
            like = (task.what, task.asked.service, cores, memory, bool(task.struck))
            if like in vain or any(cores >= least[0] and memory >= least[1] for least in found):
                continue
            if not looks:
                return
            looks -= 1
            self._looked.add(task.asked.task)
            place(now, task)
            if task.asked.task in self.held:
                vain.add(like)
                if not task.struck and task.maybe_ran is None and not self._rules.full_places(task):
                    found.append((cores, memory))
        self._looked.clear()
