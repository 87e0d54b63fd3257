"""Offers that leave some time after they were decided: the rules are checked again at that time, and the cold
budget counts the times at which offers leave."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from ladderhub.decide import Scheduler
from ladderhub.interface import Abort, Action, AnswerDue, AttemptEnded, AttemptLeaving, Effect, Fail, ListKind
from ladderhub.interface import MachineEntry, MachineList, Outcome, Refuse, Scope, Send, Stage
from ladderhub.interface import TaskAsked, TimerFired
from tests.helpers import CLASS, MS, SchedulerHarness, S, make_settings

KEYED = replace(CLASS, effect=Effect.KEYED, dedupe_window_ns=600 * MS)
SPREAD = replace(CLASS, spread=Scope.CELL, spread_most=1)


def drain_machines(harness: SchedulerHarness) -> None:
    for entry in harness.entries:
        harness.change_machine(entry.machine, stage=Stage.DRAINING)


def change_nothing(harness: SchedulerHarness) -> None:
    """Change nothing."""


def pass_deadline(harness: SchedulerHarness) -> None:
    harness.now += 5 * S


def merge_cells(harness: SchedulerHarness) -> None:
    """Put both machines into one cell, where the service may have one task only."""
    harness.change_machine("m0", cell=7)
    harness.change_machine("m1", cell=7)


def end_window(harness: SchedulerHarness) -> None:
    harness.now += 580 * MS


@pytest.mark.parametrize(
    ("klass", "between", "may"),
    [
        (CLASS, change_nothing, True), (CLASS, drain_machines, False), (CLASS, pass_deadline, False),
        (SPREAD, change_nothing, True), (SPREAD, merge_cells, False),
        (KEYED, change_nothing, True), (KEYED, end_window, False),
    ],
)  # fmt: skip
def test_the_rules_are_checked_again_when_an_offer_leaves(
    klass: object, between: Callable[[SchedulerHarness], None], may: bool
) -> None:
    # Guards against an offer that was allowed when decided, but not any more when its connection was ready.
    harness = SchedulerHarness(make_settings(klass), machines=2)  # type: ignore[arg-type]
    first = harness.get_send(harness.ask(1)).machine
    attempt, task = 0, 1
    if klass is KEYED:
        harness.get_send(harness.end(1, first, Outcome.LOST))
        attempt = 1
    if klass is SPREAD:
        harness.get_send(harness.ask(2))
        task = 2
    between(harness)
    actions = harness.feed(AttemptLeaving(task, attempt))
    assert actions == ([] if may else [Abort(task, attempt)])
    assert harness.feed(AttemptLeaving(task, attempt + 1)) == []  # there is no such attempt


def test_offers_that_reached_nobody_do_not_use_up_the_attempts_where_they_do_not_count() -> None:
    # Guards against tasks that fail because unreachable machines used up their attempts, with time left.
    for counts in (True, False):
        harness = SchedulerHarness(make_settings(max_attempts=2, unreached_count=counts), machines=6)
        at = harness.get_send(harness.ask(1)).machine
        again = harness.end(1, at, Outcome.UNREACHABLE)
        third = harness.end(1, harness.get_send(again).machine, Outcome.UNREACHABLE, attempt=1)
        assert any(isinstance(each, Refuse) for each in third) is counts
        assert any(isinstance(each, Send) for each in third) is not counts
        if not counts:
            refused = harness.end(1, harness.get_send(third).machine, Outcome.REFUSED, attempt=2)
            last = harness.end(1, harness.get_send(refused).machine, Outcome.REFUSED, attempt=3)
            assert any(isinstance(each, Refuse) for each in last)


@pytest.mark.parametrize(
    ("effect", "lost", "answer"), [(Effect.SAFE, False, Refuse), (Effect.UNSAFE, True, Fail)]
)
def test_an_answer_that_is_due_is_given_at_once_and_is_true(effect: Effect, lost: bool, answer: type) -> None:
    harness = SchedulerHarness(make_settings(replace(CLASS, effect=effect)), machines=0 if not lost else 2)
    harness.ask(1)
    assert [type(each) for each in harness.feed(AnswerDue(1))][:1] == [answer]
    assert not harness.scheduler.waiting_tasks


FLEETS = [(16, 124.0), (16, 7.0), (23, 40.0), (30, 31.0), (230, 60.0)]


class Fleet:
    """Schedulers that all find the same fresh machines at once, each with more tasks than these may take."""

    def __init__(self, schedulers: int, safe: float, seed: int) -> None:
        self.random = random.Random(seed)
        self.settings = make_settings(
            schedulers=schedulers, cold_safe_offers=safe, cold_window_ns=S, cold_span_ns=4 * S,
            max_attempts=50,
        )  # fmt: skip
        self.now = 100 * S
        self.rows = tuple(
            MachineEntry(f"m{at}", Stage.SERVING, kind=0, ready_ns=self.now - 50 * MS) for at in range(3)
        )
        self.alive = [self.start(at, self.now - 10 * S) for at in range(schedulers)]
        self.leaving: list[tuple[int, int, Send, int]] = []  # time, scheduler, offer, attempt
        self.departures: dict[str, list[int]] = {}
        self.count = 0

    def start(self, ordinal: int, started_ns: int) -> Scheduler:
        scheduler = Scheduler(replace(self.settings, ordinal=ordinal), ordinal)
        scheduler.handle(started_ns, MachineList(ListKind.FULL, 0, ()))
        scheduler.handle(self.now, MachineList(ListKind.FULL, 1, self.rows))
        return scheduler

    def carry_out(self, ordinal: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                # A connection is set up first, which is slow at the beginning.
                delay = (900 if self.now < 100 * S + 500 * MS else self.random.choice((0, 5, 200))) * MS
                attempt = self.alive[ordinal].tasks[action.task].sent_count - 1
                self.leaving.append((self.now + delay, ordinal, action, attempt))

    def step(self) -> None:
        self.now += 10 * MS
        for at, scheduler in enumerate(self.alive):
            if self.random.random() < 0.3:
                self.count += 1
                asked = TaskAsked(self.count, str(self.count), 0, f"s{self.count % 7}", 0.01, 0.01, 3 * S)
                self.carry_out(at, scheduler.handle(self.now, asked))
            self.carry_out(at, scheduler.handle(self.now, TimerFired(0)))
        due = [each for each in self.leaving if each[0] <= self.now]
        self.leaving = [each for each in self.leaving if each[0] > self.now]
        for _, at, send, attempt in due:
            scheduler = self.alive[at]
            if send.task not in scheduler.tasks:
                continue
            actions = [each for each in scheduler.handle(self.now, AttemptLeaving(send.task, attempt))]
            ended = Outcome.NEVER_SENT
            if not any(isinstance(each, Abort) for each in actions):
                self.departures.setdefault(send.machine, []).append(self.now)
                ended = Outcome.DONE
            over = AttemptEnded(send.task, attempt, send.machine, ended, concluded=ended is Outcome.DONE)
            self.carry_out(at, scheduler.handle(self.now, over))

    def kill(self, share: float) -> None:
        for at in range(len(self.alive)):
            if self.random.random() < share:
                self.alive[at] = self.start(at, self.now)
                self.leaving = [each for each in self.leaving if each[1] != at]


@pytest.mark.parametrize(("schedulers", "safe"), FLEETS)
def test_a_fleet_keeps_the_cold_budget_at_the_times_offers_leave(schedulers: int, safe: float) -> None:
    # Guards against a budget that decisions respect but departures exceed: slow connections bunch offers.
    fleet = Fleet(schedulers, safe, seed=schedulers)
    for step in range(250):
        fleet.step()
        if step == 120:
            fleet.kill(0.7)
    for times in fleet.departures.values():
        highest = max(sum(1 for each in times if 0 <= each - first < S) for first in times)
        assert highest <= safe
    # Fresh machines are still used: most of what the budget allows, or all that is asked for, leaves.
    early = [sum(1 for each in times if each < 102 * S) for times in fleet.departures.values()]
    assert len(early) == 3 and min(early) >= 0.6 * min(safe, 20 * schedulers), early
