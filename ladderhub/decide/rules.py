"""The rules of the service: what may be sent at all, and where."""

import zlib
from collections.abc import Iterable

from ladderhub.decide.records import ANSWER_MARGIN_NS, Attempt, Machine, Task, place_of
from ladderhub.interface import Effect, Scope, SeatShare, Settings

SEATS_MANY = 16  # from so many seats at a fresh machine on, half are more than a scheduler takes in a window
COLD_WINDOW_SLACK = 1.25  # offers spread on their way: the cold budget's window is taken this much longer


class Rules:
    """`may_send` is asked for every offer; `picking` strikes out by the same parts of it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.born_ns = -1
        self.ordinals: tuple[int, ...] = (settings.ordinal,)
        self.lent_until_ns: int | None = None  # our own ordinal is for good
        self._cold_window = round(settings.cold_window_ns * COLD_WINDOW_SLACK)
        self.fresh_ns = settings.cold_span_ns + self._cold_window  # for so long a machine counts as fresh
        self.spread: dict[str, dict[str | int, int]] = {}  # attempts and open tasks, by service and place

    def may_go(self, now: int, task: Task) -> bool:
        """May the task have a further attempt at all?"""
        free = not task.ended and task.attempt is None and task.spent < self.settings.max_attempts
        return free and now < task.deadline_ns - ANSWER_MARGIN_NS and self.may_repeat(now, task)

    def may_send(self, now: int, task: Task, machine: Machine) -> bool:
        """The rules of the service for one machine, where the task may go at all."""
        klass, full = self.settings.classes[task.klass], self.full_places(task)
        fits = not machine.shut and klass.kind in (-1, machine.kind) and self.may_repeat(now, task, machine)
        return fits and place_of(machine, klass.spread) not in full and self.cold_ok(now, machine)

    def may_leave(self, now: int, task: Task, attempt: Attempt) -> bool:
        """The rules again, as an offer leaves that was decided a while ago; it counts as sent now."""
        klass, machine = self.settings.classes[task.klass], attempt.machine
        if attempt.sent_ns in machine.sends:
            machine.sends.remove(attempt.sent_ns)
        crowded = self.spread[task.asked.service][attempt.place] > klass.spread_most
        may = not machine.shut and now < task.deadline_ns - ANSWER_MARGIN_NS and self.cold_ok(now, machine)
        may = may and self.may_repeat(now, task, machine) and not (crowded and klass.spread is not Scope.NONE)
        machine.sends.extend([now] * may)
        return may

    def may_repeat(self, now: int, task: Task, machine: Machine | None = None) -> bool:
        """Effects: a task that may have run goes again only as its class allows."""
        klass = self.settings.classes[task.klass]
        if task.maybe_ran is None or klass.effect is Effect.SAFE:
            return True
        if klass.effect is Effect.UNSAFE:
            return False
        first, since = task.maybe_ran
        near = machine is None or place_of(machine, klass.dedupe_scope) == place_of(first, klass.dedupe_scope)
        return near and now < since + klass.dedupe_window_ns - ANSWER_MARGIN_NS

    def may_refuse(self, task: Task) -> bool:
        """Is it true to say that nothing which forbids a repeat ran?"""
        klass, clean = self.settings.classes[task.klass], task.attempt is None and task.maybe_ran is None
        wide = klass.effect is Effect.KEYED and klass.dedupe_scope is Scope.ALL
        return clean or wide or klass.effect is Effect.SAFE

    def full_places(self, task: Task) -> frozenset[str | int]:
        """Spread: where the service has as many attempts and open tasks as may be."""
        klass, places = self.settings.classes[task.klass], self.spread.get(task.asked.service, {})
        if klass.spread is Scope.NONE:
            return frozenset()
        return frozenset(place for place, count in places.items() if count >= klass.spread_most)

    def count(self, task: Task, attempt: Attempt) -> None:
        attempt.place = place = place_of(attempt.machine, self.settings.classes[task.klass].spread)
        places = self.spread.setdefault(task.asked.service, {})
        places[place] = places.get(place, 0) + 1

    def discount(self, task: Task, attempt: Attempt) -> None:
        places = self.spread[task.asked.service]
        places[attempt.place] -= 1
        if not places[attempt.place]:
            del places[attempt.place]
            if not places:
                del self.spread[task.asked.service]

    def recount(self, tasks: Iterable[Task]) -> None:
        """A machine stands elsewhere than was thought: open tasks may name it before any list does."""
        self.spread.clear()
        for task in tasks:
            if task.attempt is not None:
                self.count(task, task.attempt)

    def share(self, event: SeatShare) -> None:
        self.ordinals, self.lent_until_ns = tuple(event.ordinals), event.until_ns

    def cold_ok(self, now: int, machine: Machine) -> bool:
        """Cold budget: a fresh machine always bears so many offers a window; these are dealt out as seats, by
        ordinal, machine and ready time: all reckon alike and together never pass the number.

        Danger: a scheduler younger than the machine forgot what it sent.  Where seats are many, half are left
        to a successor, which takes no others until a window has passed; where few, it lets the window pass.
        Lent seats have rested, and end by the clock.  Harm: in a fresh fleet tasks wait."""
        if not machine.ready_ns or now - machine.ready_ns > self.fresh_ns:
            machine.sends.clear()
            return True
        while machine.sends and machine.sends[0] < now - self._cold_window:
            machine.sends.popleft()
        count, safe = self.settings.schedulers, int(self.settings.cold_safe_offers)
        if machine.seats[0] is not self.ordinals:
            first = zlib.crc32(f"{machine.id} {machine.ready_ns}".encode())
            seats = sum(safe // count + ((each + first) % count < safe % count) for each in self.ordinals)
            machine.seats = (self.ordinals, seats)
        seats = machine.seats[1]
        if self.lent_until_ns is not None:
            return now < self.lent_until_ns and len(machine.sends) < seats
        young = machine.ready_ns < self.born_ns and now < self.born_ns + self._cold_window
        spare = seats // 2 if seats >= SEATS_MANY else 0
        return len(machine.sends) < (spare if young else seats - spare)
