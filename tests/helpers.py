"""Test harness for the decision module: settings, a fleet, and the events that tests need."""

from __future__ import annotations

import cProfile
from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar

from ladderhub.decide import Scheduler
from ladderhub.interface import (
    Action,
    AttemptEnded,
    Effect,
    Event,
    ListKind,
    MachineEntry,
    MachineKind,
    MachineList,
    Outcome,
    Reason,
    Send,
    SetTimer,
    Settings,
    Stage,
    TaskAsked,
    TaskClass,
    TaskNote,
    TaskPlaced,
    TimerFired,
    Topic,
)

T = TypeVar("T")
MS = 1_000_000
S = 1_000 * MS
CLASS = TaskClass(Effect.SAFE, aim_ns=S, deadline_ns=5 * S, dedupe_window_ns=2 * S)


def make_settings(*classes: TaskClass, **changes: Any) -> Settings:
    base = Settings(
        classes=classes or (CLASS,),
        kinds=(MachineKind(16.0, 32.0), MachineKind(32.0, 64.0)),
        max_attempts=4,
        admit_cores=2.0,
        admit_memory=1.5,
        first_at_running=True,
        may_abort=True,
        drain_grace_ns=S,
        cold_pace=0.25,
        cold_span_ns=10 * S,
        cold_window_ns=2 * S,
        cold_multiple=2.0,
        cold_safe_offers=8.0,
        settle_ns=3 * S,
    )
    return replace(base, **changes)


def count_calls(work: Callable[[], T]) -> tuple[T, int]:
    """Return the result of the work and how many calls it made: a measure of cost without a clock."""
    profile = cProfile.Profile(builtins=False)
    result = profile.runcall(work)
    return result, sum(entry.callcount for entry in profile.getstats())


class SchedulerHarness:
    """One scheduler on a clock that the test advances; timers that expire on the way are delivered."""

    def __init__(self, settings: Settings, machines: int = 3, seed: int = 1) -> None:
        self.scheduler = Scheduler(settings, seed)
        self.now = 100 * S
        self.timers: list[SetTimer] = []
        self.log: list[tuple[int, Action]] = []
        self.entries = tuple(
            MachineEntry(f"m{at}", Stage.SERVING, kind=0, zone=at % 2, cell=at % 2) for at in range(machines)
        )
        self.send_list(ListKind.RECALLED, *self.entries)

    def feed(self, event: Event) -> list[Action]:
        actions = self.scheduler.handle(self.now, event)
        self.timers += [action for action in actions if isinstance(action, SetTimer)]
        self.log += [(self.now, action) for action in actions]
        return [action for action in actions if not isinstance(action, SetTimer)]

    def wait(self, span_ns: int) -> list[Action]:
        until, seen = self.now + span_ns, []
        while due := [timer for timer in self.timers if timer.at_ns <= until]:
            timer = min(due, key=lambda each: (each.at_ns, each.timer))
            self.timers.remove(timer)
            self.now = max(self.now, timer.at_ns)
            seen += self.feed(TimerFired(timer.timer))
        self.now = until
        return seen

    def send_list(self, kind: ListKind, *entries: MachineEntry) -> None:
        self.feed(MachineList(kind, 1, entries))

    def change_machine(self, machine: str, **changes: Any) -> None:
        self.entries = tuple(
            replace(entry, **changes) if entry.machine == machine else entry for entry in self.entries
        )
        changed = next(entry for entry in self.entries if entry.machine == machine)
        self.send_list(ListKind.CHANGES, changed)

    def make_request(self, task: int, **changes: Any) -> TaskAsked:
        base = TaskAsked(task, f"key-{task}", 0, "svc", 1.0, 1.0, 5 * S)
        return replace(base, **changes)

    def ask(self, task: int, **changes: Any) -> list[Action]:
        return self.feed(self.make_request(task, **changes))

    def place(self, task: int, **changes: Any) -> str:
        """Ask for a task and let it run at once; return the machine."""
        sent = self.get_send(self.ask(task, **changes))
        self.report_placed(task, sent.machine)
        return sent.machine

    def report_placed(self, task: int, machine: str, attempt: int = 0) -> list[Action]:
        actions = self.feed(TaskPlaced(task, attempt, machine))
        if not self.scheduler.settings.first_at_running:
            actions += self.feed(TaskNote(task, attempt, machine, Topic.RUNNING))
        return actions

    def end(
        self,
        task: int,
        machine: str,
        outcome: Outcome = Outcome.DONE,
        attempt: int = 0,
        reason: Reason = Reason.UNKNOWN,
        concluded: bool | None = None,
    ) -> list[Action]:
        over = outcome is Outcome.DONE if concluded is None else concluded
        return self.feed(AttemptEnded(task, attempt, machine, outcome, reason, over))

    @staticmethod
    def get_send(actions: list[Action]) -> Send:
        sends = [action for action in actions if isinstance(action, Send)]
        assert len(sends) == 1, actions
        return sends[0]
