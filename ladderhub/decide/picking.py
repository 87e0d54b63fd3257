"""The pick of a machine for a task."""

import random
from collections.abc import Iterable

from ladderhub.decide.accounts import Ledger
from ladderhub.decide.estimates import EASY, Estimates
from ladderhub.decide.fleet import Fleet
from ladderhub.decide.records import MS, Machine, Task, place_of
from ladderhub.decide.rules import Rules
from ladderhub.interface import Settings

NEAR_SHARE, NEAR_NS = 0.1, 30 * MS  # sums this close are equal: estimates are no better than this
Weighed = tuple[float, float, Machine]  # sum, fill


class Picking:
    """The design's rule: of the machines not struck out, the lowest estimated time to start."""

    def __init__(
        self, settings: Settings, seed: int, fleet: Fleet, ledger: Ledger, rules: Rules, estimates: Estimates
    ) -> None:
        self.settings, self._random = settings, random.Random(seed)
        self.fleet, self.ledger, self.rules, self.estimates = fleet, ledger, rules, estimates

    def pick(self, now: int, task: Task) -> Machine | None:
        settings, service = self.settings, task.asked.service
        homes, serving = self.fleet.homes_of(task), self.fleet.serving(settings.classes[task.klass].kind)
        warm = (
            each
            for each in serving
            if service in each.active_services or service in each.kept or each.id in homes
        )
        known = {each.id: each for each in warm}
        near: list[Weighed] = []
        band = self._weigh(now, task, known.values(), float("inf"), near)
        # Elsewhere a start takes a cold one's time at least: no need to look where a better one is known.
        if self.estimates.cold[task.klass].value <= band:
            band = self._weigh(now, task, (each for each in serving if each.id not in known), band, near)
        near = [each for each in near if each[0] <= band]
        if settings.price_cross_zone > 0:
            near = [each for each in near if each[2].zone == settings.zone] or near
        if not near:
            return None
        fill = (max if settings.price_machines_in_use > 0 else min)(each[1] for each in near)
        return self._random.choice([each[2] for each in near if each[1] == fill])

    def _weigh(
        self, now: int, task: Task, machines: Iterable[Machine], band: float, near: list[Weighed]
    ) -> float:
        """Add sum, fill and machine to `near` where the rules allow it and the sum is within the band above
        the lowest so far; give the band.  Done for each machine at each look, so each line is dear."""
        klass, asked, use = self.settings.classes[task.klass], task.asked, self.ledger.class_use[task.klass]
        ledger, rules, estimates = self.ledger, self.rules, self.estimates
        homes, full, service = self.fleet.homes_of(task), rules.full_places(task), asked.service
        need = (use[0].value * asked.cores, use[1].value * asked.memory)
        cold, share, fresh_ns = estimates.cold[task.klass].value, estimates.line_share.value, rules.fresh_ns
        for machine in machines:
            if machine.id in task.struck or (machine.rests and machine.rests_from(now, task.what)):
                continue
            # The rules as `may_send` has them, and room.
            if full and place_of(machine, klass.spread) in full:
                continue
            fresh = machine.ready_ns and now <= machine.ready_ns + fresh_ns
            if (fresh and not rules.cold_ok(now, machine)) or not ledger.fits(task, machine):
                continue
            if task.maybe_ran is not None and not rules.may_repeat(now, task, machine):
                continue
            fill = ledger.fill(now, need, klass.calm_level, machine) if self.settings.kinds else 0.0
            total = share * estimates.line(now, machine) if machine.start_queue else 0.0
            if fill > EASY:
                total += estimates.crowding(fill, task)
            own = (
                fresh or service in machine.active_services or service in machine.kept or machine.id in homes
            )
            total += estimates.own_figure(now, task, machine, homes.get(machine.id)) if own else cold
            if total <= band:
                near.append((total, fill, machine))
                band = min(band, total * (1 + NEAR_SHARE) + NEAR_NS)
        return band
