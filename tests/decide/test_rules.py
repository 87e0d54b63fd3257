"""The five rules, each with the cases that would break it if its guard were gone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ladderhub.interface import (
    Abort,
    Action,
    Effect,
    Fail,
    ListKind,
    MachineEntry,
    Outcome,
    Reason,
    Refuse,
    Scope,
    SeatShare,
    Send,
    Settings,
    Stage,
    TaskOpen,
    TaskWithdrawn,
)
from tests.helpers import CLASS, MS, Bed, S, settings

KEYED = replace(CLASS, effect=Effect.KEYED)
UNSAFE = replace(CLASS, effect=Effect.UNSAFE)


def finals(actions: list[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, Refuse | Fail)]


# --- one final answer, in time ----------------------------------------------------------------------------


@pytest.mark.parametrize("klass", [CLASS, KEYED, UNSAFE])
def test_a_silent_machine_still_gets_one_answer_before_the_deadline(klass: object) -> None:
    bed = Bed(settings(klass, max_attempts=1), machines=1)  # type: ignore[arg-type]
    bed.ask(1)
    answers = finals(bed.wait(5 * S))
    assert len(answers) == 1
    told = next(at for at, action in bed.log if action == answers[0])
    assert told < 105 * S
    assert finals(bed.end(1, "m0", Outcome.TIMED_OUT, concluded=True)) == []
    assert finals(bed.wait(10 * S)) == []


def test_a_task_with_no_machine_is_refused_in_time() -> None:
    bed = Bed(settings(), machines=0)
    assert bed.ask(1) == []
    assert bed.wait(5 * S) == [Refuse(1)]


def test_a_class_whose_kind_is_missing_is_refused_in_time() -> None:
    bed = Bed(settings(replace(CLASS, kind=1)))
    assert bed.ask(1) == []
    assert bed.wait(5 * S) == [Refuse(1)]


def test_a_placed_task_gets_no_further_answer() -> None:
    bed = Bed(settings())
    machine = bed.place(1)
    assert bed.wait(10 * S) == []
    assert bed.end(1, machine) == []


def test_nothing_goes_out_for_a_withdrawn_task() -> None:
    bed = Bed(settings())
    sent = bed.sent(bed.ask(1))
    bed.feed(TaskWithdrawn(1))
    assert bed.end(1, sent.machine, Outcome.REFUSED, concluded=False) == []
    assert bed.wait(10 * S) == []
    bed.feed(TaskWithdrawn(1))


def test_a_held_task_that_is_withdrawn_is_not_sent_when_room_comes() -> None:
    bed = Bed(settings(), machines=0)
    bed.ask(1)
    bed.feed(TaskWithdrawn(1))
    bed.listed(ListKind.FULL, MachineEntry("m9", Stage.SERVING))
    assert bed.wait(10 * S) == []


def test_events_for_dropped_or_unknown_tasks_are_ignored() -> None:
    bed = Bed(settings())
    machine = bed.place(1)
    bed.end(1, machine)
    assert bed.end(1, machine) == []
    assert bed.placed(1, machine) == []
    assert bed.end(77, "m0") == []
    bed.feed(TaskWithdrawn(77))
    assert bed.sent(bed.ask(1)).task == 1  # an id seen again after its end is a new task


# --- no effect twice --------------------------------------------------------------------------------------


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMED_OUT, Outcome.LOST, Outcome.CANCELLED])
def test_an_unsafe_task_that_may_have_run_is_failed_not_repeated(outcome: Outcome) -> None:
    bed = Bed(settings(UNSAFE))
    sent = bed.sent(bed.ask(1))
    assert bed.end(1, sent.machine, outcome) == [Fail(1)]


@pytest.mark.parametrize("outcome", [Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NEVER_SENT])
def test_an_unsafe_task_that_never_ran_is_tried_again(outcome: Outcome) -> None:
    bed = Bed(settings(UNSAFE))
    sent = bed.sent(bed.ask(1))
    assert bed.sent(bed.end(1, sent.machine, outcome)).machine


def test_an_unsafe_task_is_given_all_the_time_there_is() -> None:
    bed = Bed(settings(UNSAFE))
    assert bed.sent(bed.ask(1)).timeout_ns is None


def test_one_attempt_out_at_a_time() -> None:
    bed = Bed(settings())
    bed.ask(1)
    assert not [action for action in bed.wait(4 * S) if isinstance(action, Send)]


def test_a_keyed_task_is_repeated_inside_its_group_and_window_only() -> None:
    bed = Bed(settings(replace(KEYED, dedupe_scope=Scope.CELL)), machines=4)
    sent = bed.sent(bed.ask(1))
    cell = {entry.machine: entry.cell for entry in bed.entries}
    bed.wait(S)
    again = bed.sent(bed.end(1, sent.machine, Outcome.ERROR))
    assert cell[again.machine] == cell[sent.machine]
    bed.wait(1_100 * MS)  # the window counts from the first attempt that may have run
    assert bed.end(1, again.machine, Outcome.ERROR, attempt=1) == [Fail(1)]


def test_a_keyed_task_that_may_have_run_is_refused_only_where_all_machines_share_keys() -> None:
    for scope, answer in ((Scope.ALL, Refuse(1)), (Scope.ZONE, Fail(1))):
        bed = Bed(settings(replace(KEYED, dedupe_scope=scope), max_attempts=1))
        sent = bed.sent(bed.ask(1))
        assert bed.end(1, sent.machine, Outcome.ERROR) == [answer]


def test_a_keyed_attempt_that_is_still_out_at_the_deadline_is_aborted_and_answered() -> None:
    bed = Bed(settings(replace(KEYED, dedupe_scope=Scope.ZONE), max_attempts=1))
    bed.ask(1)
    assert bed.wait(5 * S) == [Fail(1), Abort(1, 0)]


# --- drains -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("stage", [Stage.DRAINING, Stage.GONE])
def test_nothing_goes_to_a_machine_that_drains_or_is_gone(stage: Stage) -> None:
    bed = Bed(settings(), machines=1)
    bed.change("m0", stage=stage)
    assert bed.ask(1) == []
    bed.change("m0", stage=Stage.SERVING)
    assert bed.sent(bed.wait(S)).machine == "m0"


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.RECALLED])
def test_a_machine_absent_from_a_full_list_is_gone(kind: ListKind) -> None:
    for left in (0, 1):
        bed = Bed(settings(), machines=2)
        bed.listed(kind, bed.entries[left])
        assert {bed.place(task, service=f"s{task}") for task in range(6)} == {f"m{left}"}


def test_a_failed_list_call_changes_nothing() -> None:
    bed = Bed(settings(), machines=1)
    bed.listed(ListKind.FAILED)
    assert bed.sent(bed.ask(1)).machine == "m0"


def test_a_held_task_is_not_sent_to_a_machine_that_began_to_drain_meanwhile() -> None:
    bed = Bed(settings(), machines=1)
    sent = bed.sent(bed.ask(1))
    bed.change("m0", stage=Stage.DRAINING)
    assert bed.end(1, sent.machine, Outcome.REFUSED, reason=Reason.CORES) == []
    assert bed.wait(5 * S) == [Refuse(1)]


# --- cold machines ----------------------------------------------------------------------------------------


def fresh_offers(given: Settings, ready_ns: int, asks: int = 20) -> int:
    bed = Bed(given, machines=1)
    bed.change("m0", ready_ns=ready_ns)
    return sum(len(bed.ask(task, cores=0.1, memory=0.1)) for task in range(asks))


@pytest.mark.parametrize(
    ("schedulers", "safe"), [(1, 8.0), (3, 8.0), (40, 8.9), (300, 124.0), (5, 0.0), (5, 0.7)]
)
def test_all_schedulers_together_keep_to_the_safe_offers(schedulers: int, safe: float) -> None:
    for ready in (100 * S, 100 * S + 1):
        counts = [
            fresh_offers(settings(schedulers=schedulers, ordinal=at, cold_safe_offers=safe), ready)
            for at in range(schedulers)
        ]
        assert sum(counts) == int(safe)
        assert max(counts) - min(counts) <= 1


def test_seats_at_fresh_machines_go_round() -> None:
    """Always the same few schedulers would leave the others' owners without any fresh machine."""
    seats = {
        tuple(
            fresh_offers(settings(schedulers=9, ordinal=at, cold_safe_offers=2.0), 100 * S + ready, asks=2)
            for at in range(9)
        )
        for ready in range(20)
    }
    assert len(seats) > 4


def test_a_restarted_scheduler_allows_for_the_offers_it_forgot() -> None:
    bed = Bed(settings(), machines=1)
    bed.change("m0", ready_ns=bed.now - S)
    assert bed.ask(1) == []
    assert [action.task for action in bed.wait(3 * S) if isinstance(action, Send)] == [1]


@pytest.mark.parametrize("safe", [8.0, 15.0, 16.0, 111.0])
def test_a_scheduler_and_its_successor_together_keep_to_the_safe_offers(safe: float) -> None:
    # Guards both sides: a successor that waits a whole window stays off fresh machines just when its owners'
    # backlog comes (reload days on sockets), and one that does not wait may double what they bear.
    given = settings(cold_safe_offers=safe)
    before = fresh_offers(given, 100 * S + 1, asks=200)
    bed = Bed(given, machines=1)
    bed.change("m0", ready_ns=bed.now - S)
    after = sum(len(bed.ask(task, cores=0.1, memory=0.1)) for task in range(200))
    assert before > 0 and before + after == (int(safe) if safe >= 16 else before)
    assert (after > 0) == (safe >= 16)


def test_the_budget_covers_offers_that_have_ended() -> None:
    bed = Bed(settings(), machines=1)
    bed.change("m0", ready_ns=bed.now)
    for task in range(8):
        bed.end(task, bed.sent(bed.ask(task)).machine, Outcome.CANCELLED, concluded=True)
    assert bed.ask(99) == []


def test_the_budget_comes_back_after_its_window_and_ends_with_the_cold_span() -> None:
    bed = Bed(settings(), machines=1)
    bed.change("m0", ready_ns=bed.now)
    for task in range(8):
        bed.place(task, cores=0.1, memory=0.1)
    assert bed.ask(50, cores=0.1, memory=0.1) == []
    assert bed.sent(bed.wait(3 * S)).task == 50
    bed.wait(12 * S)
    assert sum(len(bed.ask(task, cores=0.1, memory=0.1)) for task in range(60, 80)) == 20


# --- spread -----------------------------------------------------------------------------------------------

SPREAD = replace(CLASS, spread=Scope.MACHINE, spread_most=2)


@pytest.mark.parametrize(("scope", "places"), [(Scope.MACHINE, 3), (Scope.CELL, 2), (Scope.ZONE, 2)])
def test_a_service_has_at_most_so_many_in_one_place(scope: Scope, places: int) -> None:
    bed = Bed(settings(replace(SPREAD, spread=scope)))
    assert sum(len(bed.ask(task)) for task in range(10)) == 2 * places


def test_open_tasks_count_until_their_outcome() -> None:
    bed = Bed(settings(SPREAD), machines=1)
    for task in (1, 2):
        bed.feed(TaskOpen(bed.asked(task), "m0"))
    assert bed.ask(3) == []
    bed.end(1, "m0")
    assert bed.sent(bed.wait(S)).task == 3


def test_open_tasks_on_a_machine_that_no_list_named_yet_count_where_it_stands() -> None:
    bed = Bed(settings(replace(SPREAD, spread=Scope.CELL)), machines=0)
    for task in (1, 2):
        bed.feed(TaskOpen(bed.asked(task), "far"))
    bed.listed(ListKind.FULL, *(MachineEntry(name, Stage.SERVING, cell=7) for name in ("far", "near")))
    assert bed.ask(3) == []


def test_tasks_lost_in_a_restart_count_until_their_outcome() -> None:
    bed = Bed(settings(SPREAD), machines=1)
    for task in (1, 2):
        bed.place(task)
    bed.change("m0", ready_ns=bed.now)
    assert bed.ask(3) == []
    bed.end(1, "m0", Outcome.LOST, concluded=True)
    assert bed.sent(bed.wait(2 * S)).task == 3


def test_an_attempt_after_the_final_answer_counts_until_its_outcome() -> None:
    bed = Bed(settings(replace(SPREAD, effect=Effect.UNSAFE)), machines=1)
    bed.ask(1)
    bed.ask(2)
    assert finals(bed.wait(5 * S)) == [Fail(1), Fail(2)]
    assert bed.ask(3) == []
    bed.end(1, "m0", Outcome.TIMED_OUT, concluded=True)
    assert bed.sent(bed.wait(S)).task == 3


# --- limits -----------------------------------------------------------------------------------------------


def test_no_more_attempts_than_allowed() -> None:
    bed = Bed(settings(max_attempts=2), machines=4)
    first = bed.sent(bed.ask(1))
    second = bed.sent(bed.end(1, first.machine, Outcome.UNREACHABLE))
    assert second.machine != first.machine
    assert bed.end(1, second.machine, Outcome.UNREACHABLE, attempt=1) == [Refuse(1)]


def test_lent_seats_at_fresh_machines_bound_offers_and_end_by_the_clock() -> None:
    # Guards against a scheduler that stood still and goes on by seats that others have by now.
    bed = Bed(settings(schedulers=4, ordinal=0, cold_safe_offers=8.0), machines=1)
    fresh = bed.now - S
    bed.change("m0", ready_ns=fresh)
    bed.feed(SeatShare((), -1))
    assert not [each for each in bed.ask(1) if isinstance(each, Send)]
    bed.feed(SeatShare((0, 1, 3), bed.now + 2 * S))
    sent = [each for task in range(2, 20) for each in bed.ask(task, service=f"s{task}")] + bed.wait(30 * MS)
    assert sum(isinstance(each, Send) for each in sent) == 6
    bed.feed(SeatShare((2,), bed.now + 3 * S))
    assert not [each for each in bed.wait(200 * MS) if isinstance(each, Send)]  # the window is full
    bed.wait(2600 * MS)
    bed.feed(SeatShare((2,), bed.now - 1))  # ran out while it stood still
    assert not [each for each in bed.ask(30, service="late") if isinstance(each, Send)]


def test_a_machine_without_leases_is_used_once_it_is_no_longer_fresh() -> None:
    """While no majority of voters answers, a fresh machine is held back for its cold span and a window."""
    rules = settings(cold_span_ns=6 * S, cold_window_ns=2 * S, cold_safe_offers=8.0)
    for age_ns, is_used in ((8 * S, False), (9 * S, True)):
        bed = Bed(rules, machines=1)
        bed.change("m0", ready_ns=bed.now - age_ns)
        bed.feed(SeatShare((), -1))
        assert bool([each for each in bed.ask(1) if isinstance(each, Send)]) == is_used
