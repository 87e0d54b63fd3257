"""Settings that change while the scheduler runs: no state is lost, accepted tasks keep their effect, and the
five rules hold by the settings in force."""

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
from tests.decide.test_property import CLASSES, EventStream
from tests.helpers import CLASS, MS, SchedulerHarness, S, make_settings

NEW = replace(CLASS, spread=Scope.MACHINE, spread_most=2, priority=3)


def make_settings_with_classes(**changes: object) -> Settings:
    return make_settings(*CLASSES, tenants=(Tenant(0.8), Tenant(0.2)), cold_safe_offers=9.0, **changes)


def get_sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


class RepeatedSettingsHarness(SchedulerHarness):
    """Receives its own settings again before every `every`-th event."""

    every = 0
    event_count = 0

    def feed(self, event: Event) -> list[Action]:
        self.event_count += 1
        if self.every and self.event_count % self.every == 0:
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
        stream = EventStream(make_settings_with_classes(**changes), seed=5)
        stream.harness = RepeatedSettingsHarness(stream.settings, machines=6, seed=5)
        stream.harness.every = at
        for _ in range(800):
            stream.step()
        logs.append(stream.harness.log)
    assert logs[0] == logs[1]


class ChangingStream(EventStream):
    """A stream during which everything that may change does so, every few steps."""

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
            for klass in self.settings.classes
        ]
        if len(classes) < 6 and self.random.random() < 0.1:
            classes.append(NEW)
        self.settings = replace(
            self.settings,
            classes=tuple(classes),
            tenants=(Tenant(self.random.random()), Tenant(0.2)),
            max_attempts=self.random.randint(2, 5),
            cold_span_ns=self.random.choice((5 * S, 10 * S, 10 * S)),
            cold_window_ns=self.random.choice((S, 2 * S, 2 * S)),
            cold_safe_offers=self.random.choice((3.0, 9.0, 18.0)),
        )
        self.harness.feed(SettingsChanged(self.settings))
        self.check()


@pytest.mark.parametrize("seed", range(6))
def test_the_rules_hold_while_settings_change_every_few_events(seed: int) -> None:
    stream = ChangingStream(
        make_settings_with_classes(schedulers=3, ordinal=seed % 3, list_shows_room=seed % 2 == 0), seed
    )
    for at in range(2_000):
        stream.step()
        if at % 5 == 0:
            stream.change()
    stream.harness.wait(10 * S)
    stream.check()
    assert not stream.waiting and len(stream.settings.classes) > 3
    assert len(get_sends([action for _, action in stream.harness.log])) > 200


def test_a_task_taken_as_unsafe_stays_unsafe() -> None:
    harness = SchedulerHarness(make_settings(replace(CLASS, effect=Effect.UNSAFE)))
    sent = harness.get_send(harness.ask(1))
    harness.feed(SettingsChanged(make_settings()))
    assert harness.end(1, sent.machine, Outcome.LOST) == [Fail(1)]  # neither sent again nor refused
    # A job that was accepted before the change and is asked for again.
    again = harness.get_send(harness.ask(2, effect=Effect.UNSAFE))
    assert again.timeout_ns is None
    assert harness.end(2, again.machine, Outcome.LOST) == [Fail(2)]
    after = harness.get_send(harness.ask(3))
    assert len(get_sends(harness.end(3, after.machine, Outcome.LOST))) == 1


def test_a_task_taken_as_safe_may_still_go_again() -> None:
    harness = SchedulerHarness(make_settings())
    sent = harness.get_send(harness.ask(1))
    harness.feed(SettingsChanged(make_settings(replace(CLASS, effect=Effect.UNSAFE))))
    again = harness.get_send(harness.end(1, sent.machine, Outcome.TIMED_OUT))
    harness.wait(5 * S)
    assert Refuse(1) in [action for _, action in harness.log] and again.machine != sent.machine


def test_waiting_tasks_accounts_and_averages_outlast_a_change() -> None:
    harness = SchedulerHarness(make_settings(), machines=1)
    harness.place(1, service="a")
    harness.ask(2, cores=40.0)  # more than the machine admits
    before = (
        harness.scheduler.fleet.machines["m0"].requested.own,
        harness.scheduler.estimates.warm_start[0].value,
    )
    harness.feed(SettingsChanged(make_settings(CLASS, NEW, admit_cores=4.0)))
    after = (
        harness.scheduler.fleet.machines["m0"].requested.own,
        harness.scheduler.estimates.warm_start[0].value,
    )
    assert before == after and "a" in harness.scheduler.fleet.machines["m0"].active_services
    assert [each.task for each in get_sends(harness.wait(20 * MS))] == [2]
    assert harness.get_send(harness.ask(3, klass=1)).machine == "m0"


def test_spread_is_counted_by_the_current_scope() -> None:
    harness = SchedulerHarness(make_settings(), machines=4)  # two cells of two machines
    first = {harness.place(task) for task in range(3)}
    assert len(first) == 1  # all on the warm machine
    cells = replace(CLASS, spread=Scope.CELL, spread_most=2)
    harness.feed(SettingsChanged(make_settings(cells)))
    second = [harness.place(task) for task in (3, 4)]
    assert {int(name[1:]) % 2 for name in second}.isdisjoint(int(name[1:]) % 2 for name in first)
    assert not get_sends(harness.ask(5))
    harness.feed(SettingsChanged(make_settings(replace(cells, spread=Scope.MACHINE, spread_most=1))))
    later = [each.machine for each in get_sends(harness.wait(20 * MS))] + [harness.place(6)]
    assert {*later, *first, *second} == {"m0", "m1", "m2", "m3"} and not get_sends(harness.ask(7))


def count_offers(harness: SchedulerHarness, first: int, count: int) -> int:
    return sum(
        len(get_sends(harness.ask(task, service=f"s{task}", cores=0.1, budget_ns=60 * S)))
        for task in range(first, first + count)
    )


@pytest.mark.parametrize(
    "changes", [{"cold_window_ns": 4 * S}, {"cold_span_ns": 20 * S}, {"cold_window_ns": S}]
)
def test_fresh_machines_get_no_offers_for_the_longer_window_where_window_or_span_changes(
    changes: dict[str, int],
) -> None:
    harness = SchedulerHarness(make_settings(), machines=1)
    harness.change_machine("m0", ready_ns=harness.now)
    assert count_offers(harness, 1, 12) == 8
    harness.feed(SettingsChanged(make_settings(**changes)))
    longer = max(2 * S, changes.get("cold_window_ns", 0)) * 5 // 4
    assert not get_sends(harness.wait(longer - MS)) and not count_offers(harness, 20, 4)
    assert len(get_sends(harness.wait(30 * MS))) == 8  # four from before, four from now


def test_a_span_that_shrinks_frees_no_machine_within_the_window() -> None:
    harness = SchedulerHarness(make_settings(), machines=1)
    harness.change_machine("m0", ready_ns=harness.now)
    harness.wait(8 * S)
    harness.feed(SettingsChanged(make_settings(cold_span_ns=S)))
    assert not count_offers(harness, 1, 4)
    assert len(get_sends(harness.wait(2530 * MS))) == 4


def test_the_safe_number_changes_at_once_also_for_leased_ordinals() -> None:
    harness = SchedulerHarness(make_settings(schedulers=4, cold_safe_offers=8.0), machines=1)
    harness.change_machine("m0", ready_ns=harness.now)
    harness.feed(SeatShare((0, 1, 3), harness.now + 20 * S))
    assert count_offers(harness, 1, 10) == 6
    harness.feed(SettingsChanged(make_settings(schedulers=4, cold_safe_offers=12.0)))
    assert len(get_sends(harness.wait(30 * MS))) == 3
    harness.feed(SettingsChanged(make_settings(schedulers=4, cold_safe_offers=4.0)))
    assert not get_sends(harness.wait(2400 * MS))
    assert len(get_sends(harness.wait(200 * MS))) <= 3
