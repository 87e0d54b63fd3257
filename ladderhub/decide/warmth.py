"""Where a service's program may be found: kept ones by depth, homes by an order that all reckon alike."""

import heapq
import zlib
from collections.abc import Callable

from ladderhub.decide.records import KEPT_MOST, Attempt, Machine, Mean, Task
from ladderhub.interface import Settings

HOMES = 2  # machines over which all place a service, twice as many where they are also packed by fill
HOME_GUESSES = (0.8, 0.3)  # share of warm starts believed of a service's first homes, and of the next as many
HOMES_KEPT = 1024  # services whose homes are remembered until the list changes
MIX = 4_294_967_291  # a prime: products by it scatter well


class Warmth:
    """Homes of services, and how warm homes and kept programs were found to be."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # What one scheduler alone has not placed is warm nowhere.
        self.homes = [Mean(guess * (1 - 1 / settings.schedulers) ** 2) for guess in HOME_GUESSES]
        self.depth = [Mean(1.0 - at / KEPT_MOST) for at in range(KEPT_MOST)]
        self.homes_kept: dict[tuple[str, int], dict[str, int]] = {}

    def homes_of(self, task: Task, serving: Callable[[int], list[Machine]]) -> dict[str, int]:
        """Homes of the task's service: machines by an order that every scheduler reckons alike.

        Danger: warmth that others made can't be seen, and many start every program everywhere cold.
        Harm: the order knows nothing of load, which is left to the price of crowding."""
        if self.settings.schedulers == 1:
            return {}
        kind, priced = self.settings.classes[task.klass].kind, self.settings.price_cross_zone > 0
        if (found := self.homes_kept.get((task.asked.service, kind))) is not None:
            return found
        machines = serving(kind)
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
        if len(self.homes_kept) >= HOMES_KEPT:
            self.homes_kept.clear()
        self.homes_kept[task.asked.service, kind] = levels
        return levels

    def share(self, service: str, machine: Machine, level: int | None) -> float:
        """1 where the service is held or offered; kept and unseen programs by what was found."""
        if service in machine.held:
            return 1.0
        unseen = 0.0 if level is None else self.homes[level].value
        depth = machine.depth_of(service)
        return unseen if depth is None else max(unseen, self.depth[depth].value)

    def learn(self, attempt: Attempt, was_warm: bool) -> None:
        if attempt.depth is not None:
            self.depth[attempt.depth].add(was_warm)
        elif attempt.level is not None:
            self.homes[attempt.level].add(was_warm)
