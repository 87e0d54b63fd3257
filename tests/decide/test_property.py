"""Long seeded streams of random valid events; the actions are checked against the five rules.  Machines are
not modelled: outcomes, restarts, drains and lists are random."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from ladderhub.interface import (
    Action,
    AttemptEnded,
    Effect,
    Fail,
    ListKind,
    LoadReport,
    Outcome,
    Reason,
    Refuse,
    Scope,
    Send,
    Settings,
    Stage,
    TaskClass,
    TaskOpen,
    TaskWithdrawn,
    Tenant,
)
from tests.helpers import CLASS, MS, SchedulerHarness, S, make_settings

CLASSES = (
    replace(CLASS, spread=Scope.CELL, spread_most=3),
    replace(CLASS, effect=Effect.KEYED, dedupe_scope=Scope.ZONE, deadline_ns=3 * S),
    replace(CLASS, effect=Effect.UNSAFE, spread=Scope.MACHINE, spread_most=2),
)
NEVER_RAN = (Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NEVER_SENT)


class EventStream:
    """Random events for one scheduler, and the state of its tasks as an observer knows it."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.harness = SchedulerHarness(settings, machines=6, seed=seed)
        self.last_task = 0
        self.waiting: dict[int, tuple[int, int]] = {}  # tasks without an answer: class, deadline
        self.service: dict[int, str] = {}
        self.klass: dict[int, int] = {}
        self.accepted_class: dict[int, TaskClass] = {}  # the class as it was when the task was asked for
        self.open_attempts: dict[int, tuple[str, int, bool]] = {}  # by task: machine, number, placed
        self.sent_count: dict[int, int] = {}
        self.first_possible_run: dict[int, tuple[str, int]] = {}
        self.sent_at: dict[int, int] = {}
        self.offers_by_start: dict[tuple[str, int], list[int]] = {}
        self.checked_count = 0
        self.make_report: Callable[[], LoadReport | None] = lambda: None

    def get_entry(self, machine: str) -> tuple[Stage, int, int, int]:
        found = next(entry for entry in self.harness.entries if entry.machine == machine)
        return found.stage, found.zone, found.cell, found.ready_ns

    def check(self) -> None:
        for at, action in self.harness.log[self.checked_count :]:
            if isinstance(action, Send):
                self.check_send(at, action)
            elif isinstance(action, Refuse | Fail):
                self.check_answer(at, action)
        self.checked_count = len(self.harness.log)
        for klass, deadline in self.waiting.values():
            assert self.harness.now <= deadline, klass

    def check_send(self, at: int, send: Send) -> None:
        task, machine = send.task, send.machine
        stage, zone, cell, ready_ns = self.get_entry(machine)
        klass, accepted_class = self.settings.classes[self.klass[task]], self.accepted_class[task]
        assert task in self.waiting and task not in self.open_attempts and stage is Stage.SERVING
        if task in self.first_possible_run:
            assert accepted_class.effect is not Effect.UNSAFE
            first, since = self.first_possible_run[task]
            if accepted_class.effect is Effect.KEYED:
                assert at < since + accepted_class.dedupe_window_ns and self.get_entry(first)[1] == zone
        self.sent_count[task] = self.sent_count.get(task, 0) + 1
        assert self.sent_count[task] <= self.settings.max_attempts
        self.sent_at[task] = at
        self.open_attempts[task] = (machine, self.sent_count[task] - 1, False)
        same = [
            self.open_attempts[other][0]
            for other in self.open_attempts
            if self.service[other] == self.service[task]
        ]
        if klass.spread is Scope.MACHINE:
            assert same.count(machine) <= klass.spread_most
        if klass.spread is Scope.CELL:
            assert [self.get_entry(other)[2] for other in same].count(cell) <= klass.spread_most
        offers = self.offers_by_start.setdefault((machine, ready_ns), [])
        offers.append(at)
        if ready_ns and at - ready_ns <= self.settings.cold_span_ns:
            window = [when for when in offers if when > at - self.settings.cold_window_ns]
            assert len(window) <= math.ceil(self.settings.cold_safe_offers / self.settings.schedulers)

    def check_answer(self, at: int, action: Action) -> None:
        assert isinstance(action, Refuse | Fail)
        klass, deadline = self.waiting.pop(action.task)
        assert at < deadline
        may_have_run = action.task in self.first_possible_run or action.task in self.open_attempts
        if isinstance(action, Refuse) and may_have_run:
            assert self.accepted_class[action.task].effect is Effect.SAFE, klass

    def step(self) -> None:
        roll = self.random.random()
        if roll < 0.4:
            self.ask()
        elif roll < 0.8 and self.open_attempts:
            self.answer(self.random.choice(sorted(self.open_attempts)))
        elif roll < 0.86:
            entry = self.random.choice(self.harness.entries)
            stage = self.random.choice((Stage.SERVING, Stage.SERVING, Stage.DRAINING, Stage.GONE))
            self.harness.change_machine(entry.machine, stage=stage)
        elif roll < 0.9:
            self.harness.change_machine(
                self.random.choice(self.harness.entries).machine, ready_ns=self.harness.now
            )
        elif roll < 0.92:
            self.harness.send_list(
                self.random.choice((ListKind.FULL, ListKind.FAILED)), *self.harness.entries
            )
        elif roll < 0.94 and self.waiting:
            task = self.random.choice(sorted(self.waiting))
            del self.waiting[task]
            self.harness.feed(TaskWithdrawn(task))
        self.check()
        self.harness.wait(self.random.choice((0, MS, 20 * MS, 300 * MS)))
        self.check()

    def ask(self) -> None:
        self.last_task += 1
        klass = self.random.randrange(len(self.settings.classes))
        service = f"{klass}-{self.random.randrange(4)}"
        budget = self.random.choice((50 * MS, S, 3 * S))
        asked = self.harness.make_request(
            self.last_task,
            klass=klass,
            service=service,
            cores=0.5,
            budget_ns=budget,
            tenant=self.last_task % 2,
        )
        self.service[self.last_task], self.klass[self.last_task] = service, klass
        self.accepted_class[self.last_task] = self.settings.classes[klass]
        if self.random.random() < 0.05:
            machine = self.random.choice(self.harness.entries).machine
            self.open_attempts[self.last_task] = (machine, 0, True)
            self.harness.feed(TaskOpen(asked, machine))
        else:
            self.waiting[self.last_task] = (klass, self.harness.now + budget)
            self.harness.feed(asked)

    def answer(self, task: int) -> None:
        machine, attempt, placed = self.open_attempts[task]
        if not placed and task in self.waiting and self.random.random() < 0.5:
            self.open_attempts[task] = (machine, attempt, True)
            del self.waiting[task]
            self.harness.report_placed(task, machine, attempt)
            return
        choices = (Outcome.DONE, Outcome.LOST, Outcome.CANCELLED) if placed else tuple(Outcome)
        outcome = self.random.choice(choices)
        is_over = placed or outcome is Outcome.DONE or task not in self.waiting
        del self.open_attempts[task]
        if is_over:
            self.waiting.pop(task, None)
        elif outcome not in NEVER_RAN:
            self.first_possible_run.setdefault(task, (machine, self.sent_at[task]))
        reason = self.random.choice((Reason.UNKNOWN, Reason.CORES, Reason.LINE_FULL, Reason.NOT_HERE))
        report = self.make_report()
        self.harness.feed(AttemptEnded(task, attempt, machine, outcome, reason, is_over, report=report))


@pytest.mark.parametrize("first_at_running", [True, False])
@pytest.mark.parametrize("schedulers", [1, 3, 300])
@pytest.mark.parametrize("seed", range(4))
def test_the_rules_hold_on_random_streams(seed: int, schedulers: int, first_at_running: bool) -> None:
    shows_room = seed % 2 == 0
    settings = make_settings(
        *CLASSES,
        schedulers=schedulers,
        ordinal=seed % schedulers,
        tenants=(Tenant(0.8), Tenant(0.2)),
        first_at_running=first_at_running,
        list_shows_room=shows_room,
        may_message=not shows_room,
        cold_safe_offers=9.0,
    )
    stream = EventStream(settings, seed)
    for _ in range(1_500):
        stream.step()
    stream.harness.wait(10 * S)
    stream.check()
    assert not stream.waiting
    assert sum(isinstance(action, Send) for _, action in stream.harness.log) > 200
