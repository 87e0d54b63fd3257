"""How warm kept programs, by depth, and homes were found to be."""

from ladderhub.decide.records import KEPT_MOST, Attempt, Machine, Mean
from ladderhub.interface import Settings

HOME_GUESSES = (0.8, 0.3)  # share of warm starts believed of a service's first homes, and of the next as many


class Warmth:
    """Learned from starts; what one scheduler alone has not placed is warm nowhere."""

    def __init__(self, settings: Settings) -> None:
        self.homes = [Mean(guess * (1 - 1 / settings.schedulers) ** 2) for guess in HOME_GUESSES]
        self.depth = [Mean(1.0 - at / KEPT_MOST) for at in range(KEPT_MOST)]

    def share(self, service: str, machine: Machine, level: int | None) -> float:
        """1 where the service is held or offered; kept and unseen programs by what was found."""
        if service in machine.active_services:
            return 1.0
        unseen = 0.0 if level is None else self.homes[level].value
        depth = machine.depth_of(service)
        return unseen if depth is None else max(unseen, self.depth[depth].value)

    def learn(self, attempt: Attempt, was_warm: bool) -> None:
        if attempt.depth is not None:
            self.depth[attempt.depth].add(was_warm)
        elif attempt.level is not None:
            self.homes[attempt.level].add(was_warm)
