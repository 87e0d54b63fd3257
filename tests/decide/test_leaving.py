"""Offers that leave some time after they were decided: what forbids a send is asked again at that moment, and
the cold budget of the fleet is held against when offers leave."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from ladderhub.decide import Scheduler
from ladderhub.interface import Abort, Action, AnswerDue, AttemptEnded, AttemptLeaving, Effect, Fail, ListKind
from ladderhub.interface import MachineEntry, MachineList, Outcome, Refuse, Scope, Send, Stage
from ladderhub.interface import TaskAsked, TimerFired
from tests.helpers import CLASS, MS, Bed, S, settings

KEYED = replace(CLASS, effect=Effect.KEYED, dedupe_window_ns=600 * MS)
SPREAD = replace(CLASS, spread=Scope.CELL, spread_most=1)


def drained(bed: Bed) -> None:
    for entry in bed.entries:
        bed.change(entry.machine, stage=Stage.DRAINING)


def nothing(bed: Bed) -> None:
    """Nothing comes between."""


def out_of_time(bed: Bed) -> None:
    bed.now += 5 * S


def moved(bed: Bed) -> None:
    """A machine stands in the other's rack after all: their service may have one task there."""
    bed.change("m0", cell=7)
    bed.change("m1", cell=7)


def late(bed: Bed) -> None:
    bed.now += 580 * MS


@pytest.mark.parametrize(
    ("klass", "between", "may"),
    [
        (CLASS, nothing, True), (CLASS, drained, False), (CLASS, out_of_time, False),
        (SPREAD, nothing, True), (SPREAD, moved, False), (KEYED, nothing, True), (KEYED, late, False),
    ],
)  # fmt: skip
def test_what_forbids_a_send_is_asked_again_as_it_leaves(
    klass: object, between: Callable[[Bed], None], may: bool
) -> None:
    # Guards against a set-up decided in time whose connection came up when it was forbidden.
    bed = Bed(settings(klass), machines=2)  # type: ignore[arg-type]
    first = bed.sent(bed.ask(1)).machine
    attempt, task = 0, 1
    if klass is KEYED:
        bed.sent(bed.end(1, first, Outcome.LOST))
        attempt = 1
    if klass is SPREAD:
        bed.sent(bed.ask(2))
        task = 2
    between(bed)
    said = bed.feed(AttemptLeaving(task, attempt))
    assert said == ([] if may else [Abort(task, attempt)])
    assert bed.feed(AttemptLeaving(task, attempt + 1)) == []  # of no attempt that is out


def test_offers_that_reached_nobody_do_not_use_up_the_attempts_where_they_do_not_count() -> None:
    # Guards against tasks that die of dials which never come up while there is time for others.
    for counts in (True, False):
        bed = Bed(settings(max_attempts=2, unreached_count=counts), machines=6)
        at = bed.sent(bed.ask(1)).machine
        again = bed.end(1, at, Outcome.UNREACHABLE)
        third = bed.end(1, bed.sent(again).machine, Outcome.UNREACHABLE, attempt=1)
        assert any(isinstance(each, Refuse) for each in third) is counts
        assert any(isinstance(each, Send) for each in third) is not counts
        if not counts:
            refused = bed.end(1, bed.sent(third).machine, Outcome.REFUSED, attempt=2)
            last = bed.end(1, bed.sent(refused).machine, Outcome.REFUSED, attempt=3)
            assert any(isinstance(each, Refuse) for each in last)


@pytest.mark.parametrize(
    ("effect", "lost", "said"), [(Effect.SAFE, False, Refuse), (Effect.UNSAFE, True, Fail)]
)
def test_an_answer_that_is_due_is_given_at_once_and_is_true(effect: Effect, lost: bool, said: type) -> None:
    bed = Bed(settings(replace(CLASS, effect=effect)), machines=0 if not lost else 2)
    bed.ask(1)
    assert [type(each) for each in bed.feed(AnswerDue(1))][:1] == [said]
    assert not bed.scheduler.waiting_tasks


FLEETS = [(16, 124.0), (16, 7.0), (23, 40.0), (30, 31.0), (230, 60.0)]


class Fleet:
    """Schedulers that all find the same fresh machines at once, each with more to place than they bear."""

    def __init__(self, schedulers: int, safe: float, seed: int) -> None:
        self.random = random.Random(seed)
        self.given = settings(
            schedulers=schedulers, cold_safe_offers=safe, cold_window_ns=S, cold_span_ns=4 * S,
            max_attempts=50,
        )  # fmt: skip
        self.now = 100 * S
        self.rows = tuple(
            MachineEntry(f"m{at}", Stage.SERVING, kind=0, ready_ns=self.now - 50 * MS) for at in range(3)
        )
        self.alive = [self.start(at, self.now - 10 * S) for at in range(schedulers)]
        self.leaving: list[tuple[int, int, Send, int]] = []  # when, whose, what, attempt
        self.left: dict[str, list[int]] = {}
        self.count = 0

    def start(self, at: int, born_ns: int) -> Scheduler:
        scheduler = Scheduler(replace(self.given, ordinal=at), at)
        scheduler.handle(born_ns, MachineList(ListKind.FULL, 0, ()))
        scheduler.handle(self.now, MachineList(ListKind.FULL, 1, self.rows))
        return scheduler

    def carry(self, at: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                # A dial lies between, and at first the machines are slow to take one.
                delay = (900 if self.now < 100 * S + 500 * MS else self.random.choice((0, 5, 200))) * MS
                attempt = self.alive[at].tasks[action.task].sent - 1
                self.leaving.append((self.now + delay, at, action, attempt))

    def step(self) -> None:
        self.now += 10 * MS
        for at, scheduler in enumerate(self.alive):
            if self.random.random() < 0.3:
                self.count += 1
                asked = TaskAsked(self.count, str(self.count), 0, f"s{self.count % 7}", 0.01, 0.01, 3 * S)
                self.carry(at, scheduler.handle(self.now, asked))
            self.carry(at, scheduler.handle(self.now, TimerFired(0)))
        due = [each for each in self.leaving if each[0] <= self.now]
        self.leaving = [each for each in self.leaving if each[0] > self.now]
        for _, at, send, attempt in due:
            scheduler = self.alive[at]
            if send.task not in scheduler.tasks:
                continue
            said = [each for each in scheduler.handle(self.now, AttemptLeaving(send.task, attempt))]
            ended = Outcome.NEVER_SENT
            if not any(isinstance(each, Abort) for each in said):
                self.left.setdefault(send.machine, []).append(self.now)
                ended = Outcome.DONE
            over = AttemptEnded(send.task, attempt, send.machine, ended, concluded=ended is Outcome.DONE)
            self.carry(at, scheduler.handle(self.now, over))

    def kill(self, share: float) -> None:
        for at in range(len(self.alive)):
            if self.random.random() < share:
                self.alive[at] = self.start(at, self.now)
                self.leaving = [each for each in self.leaving if each[1] != at]


@pytest.mark.parametrize(("schedulers", "safe"), FLEETS)
def test_a_fleet_keeps_the_budget_of_fresh_machines_by_when_offers_leave(
    schedulers: int, safe: float
) -> None:
    # Guards against a budget that holds for decisions and is passed by what leaves: dials bunch offers.
    fleet = Fleet(schedulers, safe, seed=schedulers)
    for step in range(250):
        fleet.step()
        if step == 120:
            fleet.kill(0.7)
    for times in fleet.left.values():
        most = max(sum(1 for each in times if 0 <= each - begun < S) for begun in times)
        assert most <= safe
    # Fresh machines are used all the same: most of what the budget allows, or all that is asked, leaves.
    early = [sum(1 for each in times if each < 102 * S) for times in fleet.left.values()]
    assert len(early) == 3 and min(early) >= 0.6 * min(safe, 20 * schedulers), early
