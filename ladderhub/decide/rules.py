"""The rules of the service: whether a task may be sent at all, and to which machines."""

import zlib
from collections import Counter

from ladderhub.decide.records import ANSWER_MARGIN_NS, Attempt, Machine, Task, get_domain
from ladderhub.interface import Effect, Scope, SeatShare, Settings

MIN_QUOTA_TO_SPLIT = 16  # offers; from this quota on, one scheduler uses less than half of it in a window
COLD_WINDOW_SLACK = 1.25  # factor on the cold budget's window: offers are delayed unevenly in transit


def compute_cold_spans(settings: Settings) -> tuple[int, int]:
    """Return the cold budget's window, and for how long after its start a machine counts as fresh."""
    window_ns = round(settings.cold_window_ns * COLD_WINDOW_SLACK)
    return window_ns, settings.cold_span_ns + window_ns


class Rules:
    """`may_send` is checked for every offer; `picking` applies the same checks one by one."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.started_ns = -1
        self.ordinals: tuple[int, ...] = (settings.ordinal,)
        self.lease_until_ns: int | None = None  # None: the scheduler's own ordinal doesn't expire
        self.fresh_blocked_until_ns = 0  # until then, fresh machines get no offers
        self.cold_window_ns, self.fresh_span_ns = compute_cold_spans(settings)
        self.spread_counts: dict[str, Counter[Machine]] = {}  # attempts and open tasks, by service

    def may_attempt(self, now: int, task: Task) -> bool:
        """Tell whether the task may have a further attempt on any machine."""
        is_idle = not task.ended and task.attempt is None and task.used_attempts < self.settings.max_attempts
        return is_idle and now < task.deadline_ns - ANSWER_MARGIN_NS and self.may_repeat(now, task)

    def may_send(self, now: int, task: Task, machine: Machine) -> bool:
        """Check the rules for one machine, provided that `may_attempt` holds for the task."""
        klass, full = self.settings.classes[task.klass], self.get_full_domains(task)
        fits = (
            not machine.is_unavailable
            and klass.kind in (-1, machine.kind)
            and self.may_repeat(now, task, machine)
        )
        return (
            fits
            and get_domain(machine, klass.spread) not in full
            and self.is_within_cold_budget(now, machine)
        )

    def may_still_send(self, now: int, task: Task, attempt: Attempt) -> bool:
        """Check the rules again for an offer that leaves only now; if they hold, it counts as sent now."""
        machine = attempt.machine
        if attempt.sent_ns in machine.offer_times:
            machine.offer_times.remove(attempt.sent_ns)
        self.adjust_spread(task, machine, -1)
        may = now < task.deadline_ns - ANSWER_MARGIN_NS and self.may_send(now, task, machine)
        self.adjust_spread(task, machine, +1)
        machine.offer_times.extend([now] * may)
        return may

    def may_repeat(self, now: int, task: Task, machine: Machine | None = None) -> bool:
        """Tell whether the class of a task that may have run already allows another attempt."""
        klass = task.accepted_class
        if task.first_possible_run is None or klass.effect is Effect.SAFE:
            return True
        if klass.effect is Effect.UNSAFE:
            return False
        first, since = task.first_possible_run
        in_scope = machine is None or get_domain(machine, klass.dedupe_scope) == get_domain(
            first, klass.dedupe_scope
        )
        return in_scope and now < since + klass.dedupe_window_ns - ANSWER_MARGIN_NS

    def may_refuse(self, task: Task) -> bool:
        """Tell whether "refused" is true: no attempt ran, or the owner may safely ask again."""
        klass, never_ran = task.accepted_class, task.attempt is None and task.first_possible_run is None
        is_keyed_everywhere = klass.effect is Effect.KEYED and klass.dedupe_scope is Scope.ALL
        return never_ran or is_keyed_everywhere or klass.effect is Effect.SAFE

    def get_full_domains(self, task: Task) -> frozenset[str | int]:
        """Return the domains where the service has as many attempts and open tasks as its spread allows."""
        klass, machines = self.settings.classes[task.klass], self.spread_counts.get(task.asked.service)
        if klass.spread is Scope.NONE or machines is None:
            return frozenset()
        domains: Counter[str | int] = Counter()
        for machine, count in machines.items():
            domains[get_domain(machine, klass.spread)] += count
        return frozenset(domain for domain, count in domains.items() if count >= klass.spread_most)

    def adjust_spread(self, task: Task, machine: Machine, change: int) -> None:
        machines = self.spread_counts.setdefault(task.asked.service, Counter())
        machines[machine] += change
        if not machines[machine]:
            del machines[machine]
        if not machines:
            del self.spread_counts[task.asked.service]

    def set_ordinals(self, event: SeatShare) -> None:
        self.ordinals, self.lease_until_ns = tuple(event.ordinals), event.until_ns

    def change_settings(self, now: int, settings: Settings) -> None:
        """Apply new settings.  Quotas never shrink as the number of safe offers grows, so schedulers with old
        and with new settings may run side by side.

        Past offers were recorded under the old window and span, so those of two windows could add up.  When
        either changes, machines that are fresh under the old or the new settings get no offers for the longer
        window; their tasks wait for that time."""
        spans = compute_cold_spans(settings)
        if spans != compute_cold_spans(self.settings):
            self.fresh_blocked_until_ns = max(
                self.fresh_blocked_until_ns, now + max(self.cold_window_ns, spans[0])
            )
            self.cold_window_ns, self.fresh_span_ns = spans[0], max(self.fresh_span_ns, spans[1])
        # The tuple is copied because cached quotas are recomputed when its identity changes.
        self.settings, self.ordinals = settings, tuple([*self.ordinals])

    def is_within_cold_budget(self, now: int, machine: Machine) -> bool:
        """Tell whether the cold budget has room for an offer.  A fresh machine takes a limited number of
        offers per window; all schedulers derive their quotas from ordinal, machine and ready time alike.

        A scheduler that started after the machine doesn't know what its predecessor sent.  Half of a large
        quota is therefore reserved for a restarted scheduler; with a small one, it waits for a window.
        Leased ordinals went unused for a window before they were granted, and end with the lease."""
        if not machine.ready_ns or now - machine.ready_ns > self.fresh_span_ns:
            machine.offer_times.clear()
            return True
        if self.fresh_blocked_until_ns:
            if now < self.fresh_blocked_until_ns:
                return False
            self.fresh_blocked_until_ns = 0
            self.cold_window_ns, self.fresh_span_ns = compute_cold_spans(self.settings)
        while machine.offer_times and machine.offer_times[0] < now - self.cold_window_ns:
            machine.offer_times.popleft()
        count, safe = self.settings.schedulers, int(self.settings.cold_safe_offers)
        if machine.cold_quota[0] is not self.ordinals:
            offset = zlib.crc32(f"{machine.id} {machine.ready_ns}".encode())
            quota = sum(
                safe // count + ((ordinal + offset) % count < safe % count) for ordinal in self.ordinals
            )
            machine.cold_quota = (self.ordinals, quota)
        quota = machine.cold_quota[1]
        if self.lease_until_ns is not None:
            return now < self.lease_until_ns and len(machine.offer_times) < quota
        lacks_history = machine.ready_ns < self.started_ns and now < self.started_ns + self.cold_window_ns
        reserve = quota // 2 if quota >= MIN_QUOTA_TO_SPLIT else 0
        return len(machine.offer_times) < (reserve if lacks_history else quota - reserve)
