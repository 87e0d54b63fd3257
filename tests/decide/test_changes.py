"""Settings that change while the scheduler runs: nothing is forgotten, what was promised stays, and the five
rules hold by the settings of the moment."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ladderhub.interface import (
    Action,
    Effect,
    Event,
    Fail,
    Outcome,
    Refuse,
    Scope,
    SeatShare,
    Send,
    Settings,
    SettingsChanged,
    Tenant,
)
from tests.decide.test_property import CLASSES, Stream
from tests.helpers import CLASS, MS, Bed, S, settings

NEW = replace(CLASS, spread=Scope.MACHINE, spread_most=2, priority=3)


def given(**changes: object) -> Settings:
    return settings(*CLASSES, tenants=(Tenant(0.8), Tenant(0.2)), cold_safe_offers=9.0, **changes)


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


class Told(Bed):
    """Is told its own settings again before every `every`-th event."""

    every = 0
    seen = 0

    def feed(self, event: Event) -> list[Action]:
        self.seen += 1
        if self.every and self.seen % self.every == 0:
            assert self.scheduler.handle(self.now, SettingsChanged(self.scheduler.settings)) == []
        return super().feed(event)


@pytest.mark.parametrize("changes", [
    {"list_shows_room": True},
    {"schedulers": 3, "ordinal": 1, "may_message": True},
    {"schedulers": 300, "ordinal": 7, "price_cross_zone": 0.1, "price_machines_in_use": 0.05},
])  # fmt: skip
@pytest.mark.parametrize("every", [1, 7])
def test_a_change_that_changes_nothing_changes_no_action(changes: dict[str, object], every: int) -> None:
    logs = []
    for at in (0, every):
        stream = Stream(given(**changes), seed=5)
        stream.bed = Told(stream.given, machines=6, seed=5)
        stream.bed.every = at
        for _ in range(800):
            stream.step()
        logs.append(stream.bed.log)
    assert logs[0] == logs[1]


class Changing(Stream):
    """A day on which all that may change does, every few steps."""

    def change(self) -> None:
        classes = [
            replace(
                klass,
                effect=self.random.choice(tuple(Effect)),
                dedupe_scope=Scope.ZONE,
                spread=self.random.choice((Scope.NONE, Scope.MACHINE, Scope.CELL)),
                spread_most=self.random.randint(1, 4),
                priority=self.random.randint(0, 2),
            )
            for klass in self.given.classes
        ]
        if len(classes) < 6 and self.random.random() < 0.1:
            classes.append(NEW)
        self.given = replace(
            self.given,
            classes=tuple(classes),
            tenants=(Tenant(self.random.random()), Tenant(0.2)),
            max_attempts=self.random.randint(2, 5),
            cold_span_ns=self.random.choice((5 * S, 10 * S, 10 * S)),
            cold_window_ns=self.random.choice((S, 2 * S, 2 * S)),
            cold_safe_offers=self.random.choice((3.0, 9.0, 18.0)),
        )
        self.bed.feed(SettingsChanged(self.given))
        self.check()


@pytest.mark.parametrize("seed", range(6))
def test_the_rules_hold_while_settings_change_every_few_events(seed: int) -> None:
    stream = Changing(given(schedulers=3, ordinal=seed % 3, list_shows_room=seed % 2 == 0), seed)
    for at in range(2_000):
        stream.step()
        if at % 5 == 0:
            stream.change()
    stream.bed.wait(10 * S)
    stream.check()
    assert not stream.waiting and len(stream.given.classes) > 3
    assert len(sends([action for _, action in stream.bed.log])) > 200


def test_a_task_taken_as_unsafe_stays_unsafe() -> None:
    bed = Bed(settings(replace(CLASS, effect=Effect.UNSAFE)))
    sent = bed.sent(bed.ask(1))
    bed.feed(SettingsChanged(settings()))
    assert bed.end(1, sent.machine, Outcome.LOST) == [Fail(1)]  # neither sent again nor called refused
    again = bed.sent(bed.ask(2, effect=Effect.UNSAFE))  # a job of before that is asked for anew
    assert again.timeout_ns is None
    assert bed.end(2, again.machine, Outcome.LOST) == [Fail(2)]
    after = bed.sent(bed.ask(3))
    assert len(sends(bed.end(3, after.machine, Outcome.LOST))) == 1


def test_a_task_taken_as_safe_may_still_go_again() -> None:
    bed = Bed(settings())
    sent = bed.sent(bed.ask(1))
    bed.feed(SettingsChanged(settings(replace(CLASS, effect=Effect.UNSAFE))))
    again = bed.sent(bed.end(1, sent.machine, Outcome.TIMED_OUT))
    bed.wait(5 * S)
    assert Refuse(1) in [action for _, action in bed.log] and again.machine != sent.machine


def test_waiting_tasks_accounts_and_averages_outlast_a_change() -> None:
    bed = Bed(settings(), machines=1)
    bed.place(1, service="a")
    bed.ask(2, cores=40.0)  # more than the machine admits
    before = bed.scheduler.fleet.machines["m0"].requested.own, bed.scheduler.estimates.warm[0].value
    bed.feed(SettingsChanged(settings(CLASS, NEW, admit_cores=4.0)))
    after = bed.scheduler.fleet.machines["m0"].requested.own, bed.scheduler.estimates.warm[0].value
    assert before == after and "a" in bed.scheduler.fleet.machines["m0"].active_services
    assert [each.task for each in sends(bed.wait(20 * MS))] == [2]
    assert bed.sent(bed.ask(3, klass=1)).machine == "m0"


def test_spread_is_counted_by_the_scope_of_now() -> None:
    bed = Bed(settings(), machines=4)  # two cells of two machines
    first = {bed.place(task) for task in range(3)}
    assert len(first) == 1  # all where it is warm
    cells = replace(CLASS, spread=Scope.CELL, spread_most=2)
    bed.feed(SettingsChanged(settings(cells)))
    second = [bed.place(task) for task in (3, 4)]
    assert {int(name[1:]) % 2 for name in second}.isdisjoint(int(name[1:]) % 2 for name in first)
    assert not sends(bed.ask(5))
    bed.feed(SettingsChanged(settings(replace(cells, spread=Scope.MACHINE, spread_most=1))))
    later = [each.machine for each in sends(bed.wait(20 * MS))] + [bed.place(6)]
    assert {*later, *first, *second} == {"m0", "m1", "m2", "m3"} and not sends(bed.ask(7))


def offers(bed: Bed, first: int, count: int) -> int:
    return sum(
        len(sends(bed.ask(task, service=f"s{task}", cores=0.1, budget_ns=60 * S)))
        for task in range(first, first + count)
    )


@pytest.mark.parametrize(
    "changes", [{"cold_window_ns": 4 * S}, {"cold_span_ns": 20 * S}, {"cold_window_ns": S}]
)
def test_fresh_machines_rest_for_the_longer_window_where_window_or_span_changes(
    changes: dict[str, int],
) -> None:
    bed = Bed(settings(), machines=1)
    bed.change("m0", ready_ns=bed.now)
    assert offers(bed, 1, 12) == 8
    bed.feed(SettingsChanged(settings(**changes)))
    longer = max(2 * S, changes.get("cold_window_ns", 0)) * 5 // 4
    assert not sends(bed.wait(longer - MS)) and not offers(bed, 20, 4)
    assert len(sends(bed.wait(30 * MS))) == 8  # four of before, four of now


def test_a_span_that_shrinks_frees_no_machine_within_the_window() -> None:
    bed = Bed(settings(), machines=1)
    bed.change("m0", ready_ns=bed.now)
    bed.wait(8 * S)
    bed.feed(SettingsChanged(settings(cold_span_ns=S)))
    assert not offers(bed, 1, 4)
    assert len(sends(bed.wait(2530 * MS))) == 4


def test_the_safe_number_changes_at_once_also_for_lent_seats() -> None:
    bed = Bed(settings(schedulers=4, cold_safe_offers=8.0), machines=1)
    bed.change("m0", ready_ns=bed.now)
    bed.feed(SeatShare((0, 1, 3), bed.now + 20 * S))
    assert offers(bed, 1, 10) == 6
    bed.feed(SettingsChanged(settings(schedulers=4, cold_safe_offers=12.0)))
    assert len(sends(bed.wait(30 * MS))) == 3
    bed.feed(SettingsChanged(settings(schedulers=4, cold_safe_offers=4.0)))
    assert not sends(bed.wait(2400 * MS))
    assert len(sends(bed.wait(200 * MS))) <= 3
