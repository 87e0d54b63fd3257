"""Machines that restart: what ran in the previous process is over, what runs in the new one goes on.

The list tells a restart by a new start time.  It may come after the new process was reached."""

from __future__ import annotations

import json
from typing import Any

import pytest

from ladderhub.signalling import Kind, Message
from ladderhub.signalling.journal import decode_event
from tests.platform.bed import MS, START_NS, Bed, Owner, S, accept_all, event, ignore_all, place_task

BROKEN = 41
RESTARTED_MS = START_NS // MS + 4_000
HOUR_MS = 3_600_000
TOLD_WITHIN_NS = 1 * S  # from the event that tells the restart to the release towards the owner


def tell_start(bed: Bed, since_ms: int, pos: int = 2, **fields: Any) -> None:
    """The list tells a start of the first machine."""
    row = bed.machines[0].row(since_ms=since_ms) | fields
    bed.service.apply_event(decode_event(json.dumps(event(pos, row)).encode()))


def get_over(owner: Owner) -> set[str]:
    """The tasks that the owner was told are over."""
    return {message.id for message in owner.received(Kind.RELEASE)}


def be_cut_off(bed: Bed, span_ns: int) -> None:
    """The first machine is silent for so long, then resets its connections and answers on new ones."""
    machine = bed.machines[0]
    machine.silent = True
    bed.run(span_ns=span_ns)
    machine.silent = False
    for conn in list(machine.conns):
        conn.reset()
    bed.run(span_ns=1_500 * MS)
    assert machine.conns


def test_tasks_of_a_machine_that_returns_cold_are_over_once_the_list_tells_its_start(beds: Any) -> None:
    # Guards against tasks that stand for ever, as a machine that answered again counted as the same process.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = {place_task(bed, owner).id for _ in range(3)}
    be_cut_off(bed, 3_500 * MS)
    assert not get_over(owner)
    tell_start(bed, RESTARTED_MS)
    bed.run(span_ns=TOLD_WITHIN_NS)
    assert get_over(owner) == asked
    assert {message.cause for message in owner.received(Kind.RELEASE)} == {BROKEN}
    assert not bed.service.links.get("m0").running


@pytest.mark.parametrize("clock_error_ms", [-HOUR_MS, 0, HOUR_MS])
def test_tasks_of_a_process_that_restarts_before_it_is_dialled_again_are_over(
    beds: Any, clock_error_ms: int
) -> None:
    # Guards against a restart so quick that no dial is refused, also where the clocks differ.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    for conn in list(bed.machines[0].conns):
        conn.reset()
    bed.run(lambda: bed.machines[0].conns)
    tell_start(bed, RESTARTED_MS + clock_error_ms)
    bed.run(span_ns=TOLD_WITHIN_NS)
    assert get_over(owner) == {asked.id}


def test_tasks_on_connections_that_stay_open_without_a_word_are_over_too(beds: Any) -> None:
    # A machine that vanished does not reset its connections.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner)
    machine.dead_conns = list(machine.conns)
    tell_start(bed, RESTARTED_MS)
    bed.run(span_ns=TOLD_WITHIN_NS)
    assert get_over(owner) == {asked.id}
    assert not [conn for conn in machine.conns if conn in machine.dead_conns]


@pytest.mark.parametrize("clock_error_ms", [-HOUR_MS, 0, HOUR_MS])
def test_tasks_set_up_in_the_new_process_before_the_list_tells_it_go_on(
    beds: Any, clock_error_ms: int
) -> None:
    # Guards against ends told of tasks that run: the list tells a restart some seconds late.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    before = place_task(bed, owner)
    be_cut_off(bed, 3_500 * MS)
    after = [place_task(bed, owner) for _ in range(3)]
    tell_start(bed, RESTARTED_MS + clock_error_ms)
    bed.run(span_ns=10 * S)
    assert get_over(owner) == {before.id}
    assert set(bed.service.links.get("m0").running) == {each.id for each in after}
    assert not {each.id for each in after} & {each.id for each in machine.received(Kind.RELEASE)}


def test_a_task_of_the_new_process_goes_on_though_its_connection_was_closed_since(beds: Any) -> None:
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    place_task(bed, owner)
    be_cut_off(bed, 3_500 * MS)
    asked = [bed.setup() for _ in range(2)]
    owner.send(*asked)
    bed.run(lambda: len(owner.received(Kind.ANSWER)) == 3)
    first, second = machine.conns
    assert {each.id for each in second.messages} & {each.id for each in asked}
    second.stream.abort()
    bed.run()
    tell_start(bed, RESTARTED_MS)
    bed.run(span_ns=TOLD_WITHIN_NS)
    assert len(get_over(owner)) == 1 and not get_over(owner) & {each.id for each in asked}


def test_what_is_told_as_over_though_it_may_run_is_released_at_its_machine(beds: Any) -> None:
    # Guards against tasks without an owner: of a closed connection it can't be told which process it led to.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    asked = place_task(bed, owner)
    machine.conns[0].stream.abort()
    bed.run(lambda: machine.conns)
    tell_start(bed, RESTARTED_MS)
    bed.run(span_ns=TOLD_WITHIN_NS)
    assert get_over(owner) == {asked.id}
    bed.run(lambda: [each for each in machine.received(Kind.RELEASE) if each.id == asked.id])
    bed.run(span_ns=5 * S)
    # Nobody knows the task there, so no release of it comes; that the release was read is enough.
    assert len([each for each in machine.received(Kind.RELEASE) if each.id == asked.id]) == 1


def test_a_task_that_was_handed_over_before_the_restart_is_over(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    handed = bed.handover(bed.machines[0])
    owner.send(handed)
    bed.run(lambda: bed.machines[0].conns)
    be_cut_off(bed, 3_500 * MS)
    tell_start(bed, RESTARTED_MS)
    bed.run(span_ns=TOLD_WITHIN_NS)
    assert get_over(owner) == {handed.id}


def test_a_task_that_is_handed_over_just_after_the_restart_was_told_goes_on(beds: Any) -> None:
    # Guards against ends told of tasks that run: a scheduler that starts is told of restarts long past, and
    # then gets what runs there.  A task that is handed over has no connection to judge it by.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    before = bed.handover(machine)
    owner.send(before)
    bed.run(lambda: machine.conns)
    tell_start(bed, RESTARTED_MS)
    after = bed.handover(machine)
    owner.send(after)
    bed.run(span_ns=TOLD_WITHIN_NS)
    assert get_over(owner) == {before.id}
    assert set(bed.service.links.get("m0").running) == {after.id}
    assert after.id not in {each.id for each in machine.received(Kind.RELEASE)}


def test_a_set_up_that_the_previous_process_left_open_is_answered_at_once(beds: Any) -> None:
    bed = beds(ignore_all, ignore_all)
    owner = Owner(bed)
    asked = bed.setup("bill", left=3000)
    owner.send(asked)
    bed.run(lambda: bed.machine_messages)
    machine = bed.machine_messages[0][0]
    machine.dead_conns = list(machine.conns)
    row = machine.row(since_ms=RESTARTED_MS)
    bed.service.apply_event(decode_event(json.dumps(event(2, row)).encode()))
    bed.run(span_ns=TOLD_WITHIN_NS)
    assert [(each.id, each.cause) for each in owner.received(Kind.RELEASE)] == [(asked.id, BROKEN)]


def test_an_answer_and_an_end_that_lie_unread_as_the_restart_is_told_are_told_in_turn(beds: Any) -> None:
    bed = beds(ignore_all)
    machine, owner = bed.machines[0], Owner(bed)
    ended, left = bed.setup("bill", left=3000), bed.setup("bill", left=3000)
    owner.send(ended, left)
    bed.run(lambda: len(machine.received(Kind.SETUP)) == 2)
    for conn in machine.conns:
        (setup,) = conn.messages
        conn.send(Message(Kind.ANSWER, setup.id, None, "runs"))
        if setup.id == ended.id:
            conn.send(Message(Kind.RELEASE, setup.id, 16))
    machine.dead_conns = list(machine.conns)
    tell_start(bed, RESTARTED_MS)
    bed.run(span_ns=TOLD_WITHIN_NS)
    assert {each.id for each in owner.received(Kind.ANSWER)} == {ended.id, left.id}
    assert {each.id: each.cause for each in owner.received(Kind.RELEASE)} == {ended.id: 16, left.id: BROKEN}


@pytest.mark.parametrize("since_ms", [0, RESTARTED_MS])
def test_an_entry_that_tells_no_new_start_ends_nothing(beds: Any, since_ms: int) -> None:
    # The same start may be told again, or as one of a distant past.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    tell_start(bed, RESTARTED_MS)
    asked = place_task(bed, owner)
    machine.conns[0].reset()
    bed.run(lambda: machine.conns)
    tell_start(bed, since_ms, pos=3, weight=2)
    bed.run(span_ns=3 * S)
    assert not get_over(owner) and asked.id in bed.service.links.get("m0").running


def test_tasks_are_over_at_each_of_two_restarts_in_a_row(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    first = place_task(bed, owner)
    be_cut_off(bed, 3_000 * MS)
    second = place_task(bed, owner)
    be_cut_off(bed, 3_000 * MS)
    third = place_task(bed, owner)
    tell_start(bed, RESTARTED_MS)
    tell_start(bed, RESTARTED_MS + 4_500, pos=3)
    bed.run(span_ns=TOLD_WITHIN_NS)
    assert get_over(owner) == {first.id, second.id}
    assert set(bed.service.links.get("m0").running) == {third.id}


@pytest.mark.parametrize("outage_ms", [200, 1_000, 2_500, 4_500])
@pytest.mark.parametrize("list_delay_ms", [-100, 0, 1_000, 3_000])
def test_restarts_at_other_moments_and_twice_in_a_row_end_what_ran_before_each(
    beds: Any, outage_ms: int, list_delay_ms: int
) -> None:
    # The list tells the start before the machine is back, as it returns, or later.
    bed = beds(accept_all)
    machine, owner = bed.machines[0], Owner(bed)
    over: set[str] = set()
    for restart in range(2):
        over.add(place_task(bed, owner).id)
        machine.silent = True
        bed.run(span_ns=(outage_ms + min(0, list_delay_ms)) * MS)
        if list_delay_ms < 0:
            tell_start(bed, RESTARTED_MS + restart, pos=2 + restart)
            bed.run(span_ns=-list_delay_ms * MS)
        machine.silent = False
        for conn in list(machine.conns):
            conn.reset()
        bed.run(span_ns=max(0, list_delay_ms) * MS)
        meanwhile = place_task(bed, owner)
        if list_delay_ms >= 0:
            tell_start(bed, RESTARTED_MS + restart, pos=2 + restart)
        bed.run(span_ns=TOLD_WITHIN_NS)
        assert get_over(owner) == over
        assert meanwhile.id in bed.service.links.get("m0").running
        over.add(meanwhile.id)  # it runs in this process, and so ends with it
