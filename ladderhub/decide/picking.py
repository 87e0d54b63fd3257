"""Selection of a machine for a task."""

import random
from collections.abc import Iterable

from ladderhub.decide.accounts import Ledger
from ladderhub.decide.estimates import UNCROWDED_FILL, Estimates
from ladderhub.decide.fleet import Fleet
from ladderhub.decide.records import MS, Machine, Task, get_domain
from ladderhub.decide.rules import Rules
from ladderhub.interface import Settings

TIE_SHARE, TIE_NS = 0.1, 30 * MS  # totals this close count as equal: the estimates are no more precise
Candidate = tuple[float, float, Machine]  # total in ns, fill, machine


class MachinePicker:
    """Picks, among the machines that the rules allow, the one with the lowest estimated time to start."""

    def __init__(
        self, settings: Settings, seed: int, fleet: Fleet, ledger: Ledger, rules: Rules, estimates: Estimates
    ) -> None:
        self.settings, self._random = settings, random.Random(seed)
        self.fleet, self.ledger, self.rules, self.estimates = fleet, ledger, rules, estimates

    def pick(self, now: int, task: Task) -> Machine | None:
        settings, service = self.settings, task.asked.service
        preferred, serving = (
            self.fleet.get_preferred(task),
            self.fleet.get_serving(settings.classes[task.klass].kind),
        )
        warm = (
            each
            for each in serving
            if service in each.active_services or service in each.cached_services or each.id in preferred
        )
        warm_by_id = {each.id: each for each in warm}
        ties: list[Candidate] = []
        limit = self._collect_ties(now, task, warm_by_id.values(), float("inf"), ties)
        # On all other machines a start takes at least a cold start: skip them if a faster one was found.
        if self.estimates.cold_start[task.klass].value <= limit:
            limit = self._collect_ties(
                now, task, (each for each in serving if each.id not in warm_by_id), limit, ties
            )
        ties = [each for each in ties if each[0] <= limit]
        if settings.price_cross_zone > 0:
            ties = [each for each in ties if each[2].zone == settings.zone] or ties
        if not ties:
            return None
        fill = (max if settings.price_machines_in_use > 0 else min)(each[1] for each in ties)
        return self._random.choice([each[2] for each in ties if each[1] == fill])

    def _collect_ties(
        self, now: int, task: Task, machines: Iterable[Machine], limit: float, ties: list[Candidate]
    ) -> float:
        """Add to `ties` each machine that the rules allow and whose total is near the lowest so far; return
        the highest total that still counts as near.  The loop runs for every machine on every pick, so it has
        to be fast."""
        klass, asked, use = self.settings.classes[task.klass], task.asked, self.ledger.class_use[task.klass]
        ledger, rules, estimates = self.ledger, self.rules, self.estimates
        preferred, full, service = self.fleet.get_preferred(task), rules.get_full_domains(task), asked.service
        need = (use[0].value * asked.cores, use[1].value * asked.memory)
        cold, share, fresh_span_ns = (
            estimates.cold_start[task.klass].value,
            estimates.queue_delay_share.value,
            rules.fresh_span_ns,
        )
        for machine in machines:
            if machine.id in task.excluded or (
                machine.backoffs and machine.is_backing_off(now, task.class_and_tenant)
            ):
                continue
            # The same rules as in `may_send`, and the room on the machine.
            if full and get_domain(machine, klass.spread) in full:
                continue
            fresh = machine.ready_ns and now <= machine.ready_ns + fresh_span_ns
            if (fresh and not rules.is_within_cold_budget(now, machine)) or not ledger.has_room(
                task, machine
            ):
                continue
            if task.first_possible_run is not None and not rules.may_repeat(now, task, machine):
                continue
            fill = ledger.compute_fill(now, need, klass.calm_level, machine) if self.settings.kinds else 0.0
            total = share * estimates.estimate_queue_delay(now, machine) if machine.start_queue else 0.0
            if fill > UNCROWDED_FILL:
                total += estimates.estimate_crowding_delay(fill, task)
            needs_estimate = (
                fresh
                or service in machine.active_services
                or service in machine.cached_services
                or machine.id in preferred
            )
            total += (
                estimates.estimate_start(now, task, machine, preferred.get(machine.id))
                if needs_estimate
                else cold
            )
            if total <= limit:
                ties.append((total, fill, machine))
                limit = min(limit, total * (1 + TIE_SHARE) + TIE_NS)
        return limit
