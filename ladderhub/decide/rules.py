"""The rules of the service: what may be sent at all, and where."""

import zlib
from collections import Counter

from ladderhub.decide.records import ANSWER_MARGIN_NS, Attempt, Machine, Task, place_of
from ladderhub.interface import Effect, Scope, SeatShare, Settings

SEATS_MANY = 16  # from so many seats at a fresh machine on, half are more than a scheduler takes in a window
COLD_WINDOW_SLACK = 1.25  # offers spread on their way: the cold budget's window is taken this much longer


def spans_of(settings: Settings) -> tuple[int, int]:
    """The cold budget's window, and for how long after its start a machine counts as fresh."""
    window_ns = round(settings.cold_window_ns * COLD_WINDOW_SLACK)
    return window_ns, settings.cold_span_ns + window_ns


class Rules:
    """`may_send` is asked for every offer; `picking` strikes out by the same parts of it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.born_ns = -1
        self.ordinals: tuple[int, ...] = (settings.ordinal,)
        self.lease_until_ns: int | None = None  # our own ordinal is for good
        self.quiet_until_ns = 0  # fresh machines get nothing until then
        self.window_ns, self.fresh_ns = spans_of(settings)
        self.spread: dict[str, Counter[Machine]] = {}  # attempts and open tasks, by service and machine

    def may_go(self, now: int, task: Task) -> bool:
        """May the task have a further attempt at all?"""
        free = not task.ended and task.attempt is None and task.spent < self.settings.max_attempts
        return free and now < task.deadline_ns - ANSWER_MARGIN_NS and self.may_repeat(now, task)

    def may_send(self, now: int, task: Task, machine: Machine) -> bool:
        """The rules of the service for one machine, where the task may go at all."""
        klass, full = self.settings.classes[task.klass], self.full_places(task)
        fits = (
            not machine.is_unavailable
            and klass.kind in (-1, machine.kind)
            and self.may_repeat(now, task, machine)
        )
        return fits and place_of(machine, klass.spread) not in full and self.cold_ok(now, machine)

    def may_leave(self, now: int, task: Task, attempt: Attempt) -> bool:
        """The rules again, as an offer leaves that was decided a while ago; it counts as sent now."""
        machine = attempt.machine
        if attempt.sent_ns in machine.sends:
            machine.sends.remove(attempt.sent_ns)
        self.count(task, machine, -1)
        may = now < task.deadline_ns - ANSWER_MARGIN_NS and self.may_send(now, task, machine)
        self.count(task, machine, +1)
        machine.sends.extend([now] * may)
        return may

    def may_repeat(self, now: int, task: Task, machine: Machine | None = None) -> bool:
        """Effects: a task that may have run goes again only as its class allows."""
        klass = task.promise
        if task.maybe_ran is None or klass.effect is Effect.SAFE:
            return True
        if klass.effect is Effect.UNSAFE:
            return False
        first, since = task.maybe_ran
        near = machine is None or place_of(machine, klass.dedupe_scope) == place_of(first, klass.dedupe_scope)
        return near and now < since + klass.dedupe_window_ns - ANSWER_MARGIN_NS

    def may_refuse(self, task: Task) -> bool:
        """Is it true to say that nothing which forbids a repeat ran?"""
        klass, clean = task.promise, task.attempt is None and task.maybe_ran is None
        wide = klass.effect is Effect.KEYED and klass.dedupe_scope is Scope.ALL
        return clean or wide or klass.effect is Effect.SAFE

    def full_places(self, task: Task) -> frozenset[str | int]:
        """Spread: where the service has as many attempts and open tasks as may be."""
        klass, machines = self.settings.classes[task.klass], self.spread.get(task.asked.service)
        if klass.spread is Scope.NONE or machines is None:
            return frozenset()
        places: Counter[str | int] = Counter()
        for machine, count in machines.items():
            places[place_of(machine, klass.spread)] += count
        return frozenset(place for place, count in places.items() if count >= klass.spread_most)

    def count(self, task: Task, machine: Machine, change: int) -> None:
        machines = self.spread.setdefault(task.asked.service, Counter())
        machines[machine] += change
        if not machines[machine]:
            del machines[machine]
        if not machines:
            del self.spread[task.asked.service]

    def share(self, event: SeatShare) -> None:
        self.ordinals, self.lease_until_ns = tuple(event.ordinals), event.until_ns

    def change(self, now: int, settings: Settings) -> None:
        """Take other settings.  Shares of seats never fall as the safe number grows: old and new may mix.

        Danger: offers are remembered by the old window and span, so two windows of them could meet.  Where
        these change, what is fresh by either gets nothing for the longer window.  Harm: tasks wait."""
        spans = spans_of(settings)
        if spans != spans_of(self.settings):
            self.quiet_until_ns = max(self.quiet_until_ns, now + max(self.window_ns, spans[0]))
            self.window_ns, self.fresh_ns = spans[0], max(self.fresh_ns, spans[1])
        self.settings, self.ordinals = settings, tuple([*self.ordinals])  # anew, as are shares that follow

    def cold_ok(self, now: int, machine: Machine) -> bool:
        """Cold budget: a fresh machine bears so many offers a window, dealt out as seats by ordinal, machine
        and ready time, which all reckon alike.

        Danger: a scheduler younger than the machine forgot what it sent.  Where seats are many, half are left
        to a successor; where few, it lets a window pass.  Lent seats have rested, and end by the clock."""
        if not machine.ready_ns or now - machine.ready_ns > self.fresh_ns:
            machine.sends.clear()
            return True
        if self.quiet_until_ns:
            if now < self.quiet_until_ns:
                return False
            self.quiet_until_ns = 0
            self.window_ns, self.fresh_ns = spans_of(self.settings)
        while machine.sends and machine.sends[0] < now - self.window_ns:
            machine.sends.popleft()
        count, safe = self.settings.schedulers, int(self.settings.cold_safe_offers)
        if machine.seats[0] is not self.ordinals:
            first = zlib.crc32(f"{machine.id} {machine.ready_ns}".encode())
            seats = sum(safe // count + ((each + first) % count < safe % count) for each in self.ordinals)
            machine.seats = (self.ordinals, seats)
        seats = machine.seats[1]
        if self.lease_until_ns is not None:
            return now < self.lease_until_ns and len(machine.sends) < seats
        young = machine.ready_ns < self.born_ns and now < self.born_ns + self.window_ns
        spare = seats // 2 if seats >= SEATS_MANY else 0
        return len(machine.sends) < (spare if young else seats - spare)
