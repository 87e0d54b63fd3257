"""Long seeded streams of odd but legal events; the five rules are asserted on the actions.  No servers are
modelled: outcomes, restarts, drains and lists come at random."""

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
from tests.helpers import CLASS, MS, Bed, S, settings

CLASSES = (
    replace(CLASS, spread=Scope.CELL, spread_most=3),
    replace(CLASS, effect=Effect.KEYED, dedupe_scope=Scope.ZONE, deadline_ns=3 * S),
    replace(CLASS, effect=Effect.UNSAFE, spread=Scope.MACHINE, spread_most=2),
)
NEVER_RAN = (Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NEVER_SENT)


class Stream:
    """What a strict observer knows of one scheduler's tasks."""

    def __init__(self, given: Settings, seed: int) -> None:
        self.given, self.random = given, random.Random(seed)
        self.bed = Bed(given, machines=6, seed=seed)
        self.number = 0
        self.waiting: dict[int, tuple[int, int]] = {}  # tasks owed an answer: class, deadline
        self.service: dict[int, str] = {}
        self.klass: dict[int, int] = {}
        self.promise: dict[int, TaskClass] = {}  # the class as it was when the task was asked for
        self.out: dict[int, tuple[str, int, bool]] = {}  # attempts without outcome: machine, number, placed
        self.sent: dict[int, int] = {}
        self.maybe: dict[int, tuple[str, int]] = {}
        self.sent_at: dict[int, int] = {}
        self.fresh: dict[tuple[str, int], list[int]] = {}
        self.seen = 0
        self.reports: Callable[[], LoadReport | None] = lambda: None

    def entry(self, machine: str) -> tuple[Stage, int, int, int]:
        found = next(entry for entry in self.bed.entries if entry.machine == machine)
        return found.stage, found.zone, found.cell, found.ready_ns

    def check(self) -> None:
        for at, action in self.bed.log[self.seen :]:
            if isinstance(action, Send):
                self.check_send(at, action)
            elif isinstance(action, Refuse | Fail):
                self.check_answer(at, action)
        self.seen = len(self.bed.log)
        for klass, deadline in self.waiting.values():
            assert self.bed.now <= deadline, klass

    def check_send(self, at: int, send: Send) -> None:
        task, machine = send.task, send.machine
        stage, zone, cell, ready = self.entry(machine)
        klass, promise = self.given.classes[self.klass[task]], self.promise[task]
        assert task in self.waiting and task not in self.out and stage is Stage.SERVING
        if task in self.maybe:
            assert promise.effect is not Effect.UNSAFE
            first, since = self.maybe[task]
            if promise.effect is Effect.KEYED:
                assert at < since + promise.dedupe_window_ns and self.entry(first)[1] == zone
        self.sent[task] = self.sent.get(task, 0) + 1
        assert self.sent[task] <= self.given.max_attempts
        self.sent_at[task] = at
        self.out[task] = (machine, self.sent[task] - 1, False)
        same = [self.out[other][0] for other in self.out if self.service[other] == self.service[task]]
        if klass.spread is Scope.MACHINE:
            assert same.count(machine) <= klass.spread_most
        if klass.spread is Scope.CELL:
            assert [self.entry(other)[2] for other in same].count(cell) <= klass.spread_most
        offers = self.fresh.setdefault((machine, ready), [])
        offers.append(at)
        if ready and at - ready <= self.given.cold_span_ns:
            window = [when for when in offers if when > at - self.given.cold_window_ns]
            assert len(window) <= math.ceil(self.given.cold_safe_offers / self.given.schedulers)

    def check_answer(self, at: int, action: Action) -> None:
        assert isinstance(action, Refuse | Fail)
        klass, deadline = self.waiting.pop(action.task)
        assert at < deadline
        unclear = action.task in self.maybe or action.task in self.out
        if isinstance(action, Refuse) and unclear:
            assert self.promise[action.task].effect is Effect.SAFE, klass

    def step(self) -> None:
        roll = self.random.random()
        if roll < 0.4:
            self.ask()
        elif roll < 0.8 and self.out:
            self.answer(self.random.choice(sorted(self.out)))
        elif roll < 0.86:
            entry = self.random.choice(self.bed.entries)
            stage = self.random.choice((Stage.SERVING, Stage.SERVING, Stage.DRAINING, Stage.GONE))
            self.bed.change(entry.machine, stage=stage)
        elif roll < 0.9:
            self.bed.change(self.random.choice(self.bed.entries).machine, ready_ns=self.bed.now)
        elif roll < 0.92:
            self.bed.listed(self.random.choice((ListKind.FULL, ListKind.FAILED)), *self.bed.entries)
        elif roll < 0.94 and self.waiting:
            task = self.random.choice(sorted(self.waiting))
            del self.waiting[task]
            self.bed.feed(TaskWithdrawn(task))
        self.check()
        self.bed.wait(self.random.choice((0, MS, 20 * MS, 300 * MS)))
        self.check()

    def ask(self) -> None:
        self.number += 1
        klass = self.random.randrange(len(self.given.classes))
        service = f"{klass}-{self.random.randrange(4)}"
        budget = self.random.choice((50 * MS, S, 3 * S))
        asked = self.bed.asked(
            self.number, klass=klass, service=service, cores=0.5, budget_ns=budget, tenant=self.number % 2
        )
        self.service[self.number], self.klass[self.number] = service, klass
        self.promise[self.number] = self.given.classes[klass]
        if self.random.random() < 0.05:
            machine = self.random.choice(self.bed.entries).machine
            self.out[self.number] = (machine, 0, True)
            self.bed.feed(TaskOpen(asked, machine))
        else:
            self.waiting[self.number] = (klass, self.bed.now + budget)
            self.bed.feed(asked)

    def answer(self, task: int) -> None:
        machine, attempt, placed = self.out[task]
        if not placed and task in self.waiting and self.random.random() < 0.5:
            self.out[task] = (machine, attempt, True)
            del self.waiting[task]
            self.bed.placed(task, machine, attempt)
            return
        choices = (Outcome.DONE, Outcome.LOST, Outcome.CANCELLED) if placed else tuple(Outcome)
        outcome = self.random.choice(choices)
        over = placed or outcome is Outcome.DONE or task not in self.waiting
        del self.out[task]
        if over:
            self.waiting.pop(task, None)
        elif outcome not in NEVER_RAN:
            self.maybe.setdefault(task, (machine, self.sent_at[task]))
        reason = self.random.choice((Reason.UNKNOWN, Reason.CORES, Reason.LINE_FULL, Reason.NOT_HERE))
        report = self.reports()
        self.bed.feed(AttemptEnded(task, attempt, machine, outcome, reason, over, report=report))


@pytest.mark.parametrize("first_at_running", [True, False])
@pytest.mark.parametrize("schedulers", [1, 3, 300])
@pytest.mark.parametrize("seed", range(4))
def test_the_rules_hold_on_odd_streams(seed: int, schedulers: int, first_at_running: bool) -> None:
    view = seed % 2 == 0
    given = settings(
        *CLASSES,
        schedulers=schedulers,
        ordinal=seed % schedulers,
        tenants=(Tenant(0.8), Tenant(0.2)),
        first_at_running=first_at_running,
        list_shows_room=view,
        may_message=not view,
        cold_safe_offers=9.0,
    )
    stream = Stream(given, seed)
    for _ in range(1_500):
        stream.step()
    stream.bed.wait(10 * S)
    stream.check()
    assert not stream.waiting
    assert sum(isinstance(action, Send) for _, action in stream.bed.log) > 200
