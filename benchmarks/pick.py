"""Cost of the decision module's events by fleet size: `python benchmarks/pick.py [MACHINES ...]`.

Not run in CI.  One scheduler of many handles random events from a seed: tasks that are requested, start warm
or cold, report their usage and end; lists with free room; machines that refuse, leave and are replaced by
cold ones.  Only the processing in the module is timed.
"""

from __future__ import annotations

import heapq
import random
import sys
import time
from collections import Counter, defaultdict
from dataclasses import replace
from itertools import count as counter

from ladderhub import interface as api
from ladderhub.decide import Scheduler

S, MS = 1_000_000_000, 1_000_000
SCHEDULERS = 16
DAY_NS = 12 * S
TASKS_PER_S = 40
SMALL, LARGE = api.MachineKind(36, 72), api.MachineKind(60, 120)


def build_settings() -> api.Settings:
    """Build the settings of the scheduler."""
    plain = api.TaskClass(api.Effect.SAFE, 800 * MS, 6 * S, calm_level=0.8)
    spread = replace(plain, spread=api.Scope.CELL, spread_most=2, priority=1)
    return api.Settings(
        classes=(spread, plain, replace(plain, effect=api.Effect.UNSAFE, kind=1, priority=2)),
        kinds=(SMALL, LARGE), schedulers=SCHEDULERS, max_attempts=3, admit_cores=2.5, admit_memory=1.3,
        first_at_running=True, list_shows_room=True, cold_pace=0.3, cold_span_ns=10 * S, cold_window_ns=2 * S,
        cold_multiple=2.0, cold_safe_offers=40.0, drain_grace_ns=500 * MS,
    )  # fmt: skip


class SimulatedDay:
    """A scheduler with simulated machines and tasks."""

    def __init__(self, machines: int, seed: int, load: float) -> None:
        self.random = random.Random(seed)
        self.scheduler = Scheduler(build_settings(), seed)
        self.load, self.now, self.tasks = load, 1_000 * S, counter()
        self.queue: list[tuple[int, int, api.Event | None]] = []
        self.sequence = counter()
        self.spent: dict[str, float] = defaultdict(float)
        self.event_counts: Counter[str] = Counter()
        self.asked: dict[int, api.TaskAsked] = {}
        self.attempt_counts: Counter[int] = Counter()
        self.rows = [self.build_row(f"m{at:04}", at) for at in range(machines)]

    def build_row(self, name: str, at: int, ready_ns: int = 0) -> api.MachineEntry:
        """Build a machine's list entry with random free room."""
        kind = at % 5 < 2
        size = (SMALL, LARGE)[kind]
        free = max(0.0, self.random.gauss(1 - self.load, 0.1))
        return api.MachineEntry(
            name, api.Stage.SERVING, int(kind), cell=at // 6, ready_ns=ready_ns, free_cores=size.cores * free,
            free_memory=size.memory * free,
        )  # fmt: skip

    def schedule(self, at_ns: int, event: api.Event | None) -> None:
        """Schedule an event; None requests a new task."""
        heapq.heappush(self.queue, (at_ns, next(self.sequence), event))

    def handle_event(self, event: api.Event) -> None:
        """Pass an event to the scheduler, measure it, and carry out its actions."""
        began = time.perf_counter()
        actions = self.scheduler.handle(self.now, event)
        spent = time.perf_counter() - began
        name = type(event).__name__
        if isinstance(event, api.TimerFired):
            name = "Sweep" if event.timer == 0 else "Deadline"
        self.spent[name] += spent
        self.event_counts[name] += 1
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.schedule(action.at_ns, api.TimerFired(action.timer))
            elif isinstance(action, api.Send):
                self.simulate_attempt(action)

    def simulate_attempt(self, sent: api.Send) -> None:
        """Schedule the events of an attempt, which is refused, fails or runs."""
        number, attempt = sent.task, self.attempt_counts[sent.task]
        self.attempt_counts[number] += 1
        asked, draw = self.asked[number], self.random.random()
        ended = (number, attempt, sent.machine)
        soon = self.now + 5 * MS
        if draw < 0.06:
            self.schedule(soon, api.AttemptEnded(*ended, api.Outcome.REFUSED, api.Reason.MEMORY))
            return
        if draw < 0.08:
            self.schedule(soon, api.AttemptEnded(*ended, api.Outcome.UNREACHABLE))
            return
        start = round(self.random.choice((150, 900)) * MS * self.random.uniform(0.8, 1.5))
        self.schedule(self.now + start, api.TaskPlaced(*ended, start))
        self.schedule(
            self.now + start + 10 * MS, api.TaskNote(*ended, api.Topic.CORES_USED, asked.cores * 0.5)
        )
        self.schedule(
            self.now + start + 12 * MS, api.TaskNote(*ended, api.Topic.MEMORY_USED, asked.memory * 0.7)
        )
        over = self.now + start + round(self.random.uniform(3, 20) * S)
        self.schedule(over, api.AttemptEnded(*ended, api.Outcome.DONE, api.Reason.UNKNOWN, True, start))

    def run(self) -> None:
        """Simulate the day."""
        self.handle_event(api.MachineList(api.ListKind.FULL, 1, tuple(self.rows)))
        end, version = self.now + DAY_NS, counter(2)
        at = self.now
        while at < end:
            at += round(self.random.expovariate(TASKS_PER_S) * S)
            self.schedule(at, None)
        for each in range(self.now, end, 600 * MS):
            self.schedule(each, api.MachineList(api.ListKind.CHANGES, 0, ()))
        while self.queue and self.queue[0][0] <= end:
            self.now, _, event = heapq.heappop(self.queue)
            if event is None:
                number, klass = next(self.tasks), self.random.choices((0, 1, 2), (6, 2, 2))[0]
                cores, memory = self.random.choice((0.5, 1, 2)), self.random.choice((0.5, 2, 3))
                self.asked[number] = api.TaskAsked(
                    task=number, key=str(number), klass=klass, service=f"s{self.random.randrange(400)}",
                    cores=cores, memory=memory, budget_ns=6 * S,
                )  # fmt: skip
                self.handle_event(self.asked[number])
            elif isinstance(event, api.MachineList):
                self.update_machines()
                self.handle_event(api.MachineList(api.ListKind.CHANGES, next(version), tuple(self.rows)))
            else:
                self.handle_event(event)

    def update_machines(self) -> None:
        """Draw new free room for all machines and replace two of them by cold ones."""
        for at, row in enumerate(self.rows):
            self.rows[at] = self.build_row(row.machine, at, row.ready_ns)
        for at in self.random.sample(range(len(self.rows)), 2):
            self.rows[at] = self.build_row(f"n{at:04}-{self.now // MS}", at, self.now)


def main(sizes: list[int]) -> None:
    for machines in sizes or [100, 400, 1024]:
        for load in (0.5, 1.2):
            day = SimulatedDay(machines, 7, load)
            day.run()
            total = sum(day.spent.values())
            print(f"{machines} machines, load {load}: {1000 * total * S / DAY_NS:.1f} ms a second of the day")
            for name, spent in sorted(day.spent.items(), key=lambda pair: -pair[1])[:5]:
                print(
                    f"  {name:14} {day.event_counts[name]:6} x {1e6 * spent / day.event_counts[name]:8.1f} us"
                )


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]])
