"""Many set-ups at once, on a real process and on a test bed with slow decisions."""

from __future__ import annotations

import os
import signal
from typing import Any

import pytest

from ladderhub import interface as api
from ladderhub.decide.records import Machine, Task
from ladderhub.platform.ownerconn import OwnerConn
from ladderhub.signalling import Kind, Message, encode_line
from tests.platform.bed import MS, Bed, Owner, S, accept_all, place_task, release

DECISION_NS = 10 * MS  # duration of one placement on the test bed
EVENT_NS = MS  # of any event of the module
MESSAGE_NS = 5 * MS  # of one message of a machine
OWNER_MESSAGE_NS = MS // 100  # of one small message of an owner
START_AIM_NS = 800 * MS  # "Each start is wanted within 800 ms"
ACCEPT_NS = 5 * MS  # of accepting one caller
ANSWER_GRACE_NS = 500 * MS  # an answer this long after its deadline is lost


def slow_down(bed: Bed, pick_ns: int = DECISION_NS) -> None:
    """Simulate a slow machine: each event and placement advances the test bed's clock."""
    module, picking = bed.module(), bed.module().picker
    handle, pick = module.handle, picking.pick

    def slow_event(now_ns: int, event: api.Event) -> list[api.Action]:
        bed.clock.advance(EVENT_NS)
        return handle(now_ns, event)

    def slow(now: int, task: Task) -> Machine | None:
        bed.clock.advance(pick_ns)
        return pick(now, task)

    module.handle = slow_event  # type: ignore[method-assign]
    picking.pick = slow  # type: ignore[method-assign]


def get_answers(owner: Owner) -> list[Message]:
    return owner.received(Kind.ANSWER) + owner.received(Kind.RELEASE)


def test_an_end_does_not_wait_behind_many_set_ups(beds: Any) -> None:
    bed = beds(*[accept_all] * 8)
    owners = [Owner(bed) for _ in range(4)]
    asked = place_task(bed, owners[0])
    slow_down(bed)
    for owner in owners:
        owner.send(*[bed.setup(left=8000, cores=0.01, memory=0.01) for _ in range(60)])
    machine = next(each for each in bed.machines if each.received(Kind.SETUP))
    machine.conns[0].send(release(asked.id, 16))
    started_ns = bed.clock.now_ns()
    bed.run(lambda: any(each.id == asked.id for each in owners[0].received(Kind.RELEASE)))
    assert bed.clock.now_ns() - started_ns < S  # a task's end is reported within 1 s
    bed.run(lambda: sum(len(get_answers(owner)) for owner in owners) == 4 * 60 + 2)


def test_hundreds_of_callers_that_send_without_end_delay_a_set_up_by_less_than_its_aim(
    beds: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against late answers while many clients send small messages at full speed: so much was read of
    # each of them at a time that a set-up, and then its answer, waited for over a second.
    bed = beds(accept_all, sockets=512)
    owner, flooders = Owner(bed), [Owner(bed) for _ in range(240)]
    bed.run(lambda: bed.service.owners.count_connections() == 241)
    on_message = bed.service.owners.on_message

    def slow_message(conn: OwnerConn, message: Message) -> None:
        bed.clock.advance(OWNER_MESSAGE_NS)
        on_message(conn, message)

    monkeypatch.setattr(bed.service.owners, "on_message", slow_message)
    flood = encode_line(Message(Kind.PROGRESS, "0" * 16)) * 1500
    for flooder in flooders:
        flooder.send(flood)
    started_ns = bed.clock.now_ns()
    owner.send(bed.setup(left=5000))
    bed.run(lambda: owner.received(Kind.ANSWER))
    assert bed.clock.now_ns() - started_ns < START_AIM_NS


def test_a_caller_is_not_closed_as_silent_while_its_set_up_waits_to_be_read(beds: Any) -> None:
    bed = beds(*[accept_all] * 8)
    slow_down(bed)
    burst, late = Owner(bed), Owner(bed)
    burst.send(*[bed.setup(left=8000, cores=0.01, memory=0.01) for _ in range(400)])
    bed.run(lambda: burst.received(Kind.ANSWER))
    late.send(bed.setup(left=8000))
    bed.run(lambda: get_answers(late) or late.closed)
    assert not late.closed and len(get_answers(late)) == 1


def test_a_connection_that_was_established_is_not_timed_out_by_a_late_check(beds: Any) -> None:
    bed = beds(*[accept_all] * 60)
    slow_down(bed)
    owner = Owner(bed)
    owner.send(*[bed.setup(left=8000, cores=0.01, memory=0.01) for _ in range(60)])
    bed.run(lambda: len(get_answers(owner)) == 60)
    assert not [row for row in bed.logged if row["event"] == "machine.unreached"]


def test_waiting_callers_are_accepted_before_queued_set_ups_are_placed(beds: Any) -> None:
    # Guards against answers after the deadline because callers were accepted too late.
    bed = beds(*[accept_all] * 8, sockets=2048)
    slow_down(bed)
    server, left_ms = bed.service.owners, 2000
    accept = server._listener._accept

    def accept_slowly(sock: Any) -> None:
        bed.clock.advance(ACCEPT_NS)
        accept(sock)

    server._listener._accept = accept_slowly
    started_ns, callers = bed.clock.now_ns(), [Owner(bed) for _ in range(250)]
    for caller in callers:
        caller.send(bed.setup(left=left_ms, cores=0.01, memory=0.01))
    bed.run(lambda: server.count_connections() == len(callers))
    assert bed.clock.now_ns() - started_ns <= left_ms * MS
    bed.run(lambda: all(len(get_answers(caller)) == 1 for caller in callers))
    assert bed.clock.now_ns() - started_ns <= left_ms * MS + ANSWER_GRACE_NS


def test_a_real_process_reports_an_end_before_it_has_placed_many_set_ups(process_beds: Any) -> None:
    bed = process_beds(*[accept_all] * 100)
    owners = [bed.owner() for _ in range(4)]
    asked = bed.setup()
    owners[0].send(asked)
    bed.run(lambda: owners[0].received(Kind.ANSWER))
    machine = next(each for each in bed.machines if each.received(Kind.SETUP))
    os.kill(bed.child.pid, signal.SIGSTOP)  # so that everything arrives at once
    for owner in owners:
        owner.send(*[bed.setup() for _ in range(100)])
    machine.conns[0].send(release(asked.id, 16))
    os.kill(bed.child.pid, signal.SIGCONT)
    bed.run(lambda: any(each.id == asked.id for each in owners[0].received(Kind.RELEASE)))
    os.kill(bed.child.pid, signal.SIGSTOP)
    for _ in range(50):
        bed.loop.run_once(MS)
    dialled = sum(len(each.conns) for each in bed.machines)
    os.kill(bed.child.pid, signal.SIGCONT)
    assert dialled <= 100  # a quarter of the set-ups; nearly all if they were placed first


def test_a_real_process_answers_each_of_many_set_ups(process_beds: Any) -> None:
    bed = process_beds(*[accept_all] * 400)
    owners = [bed.owner() for _ in range(16)]
    asked = {owner: [bed.setup() for _ in range(100)] for owner in owners}
    for owner, setups in asked.items():
        owner.send(*setups)
    bed.run(lambda: all(owner.closed or len(get_answers(owner)) >= 100 for owner in owners))
    for owner, setups in asked.items():
        assert sorted(each.id for each in get_answers(owner)) == sorted(each.id for each in setups)
    assert not any(owner.closed for owner in owners)


def test_an_end_is_read_in_time_although_each_message_takes_long(beds: Any) -> None:
    # Guards against placements that keep other messages unread for over a second.
    bed = beds(*[accept_all] * 80)
    owners = [Owner(bed) for _ in range(4)]
    held = [bed.handover(machine) for machine in bed.machines]
    owners[0].send(*held)
    bed.run(lambda: bed.service.links.connection_count == 80)
    slow_down(bed, 25 * MS)
    links = bed.service.links
    for machine in bed.machines:
        link = links.get(machine.name)
        on_message = link.on_message

        def slow(conn: Any, message: Message, on_message: Any = on_message) -> None:
            bed.clock.advance(MESSAGE_NS)
            on_message(conn, message)

        link.on_message = slow
    for owner in owners:
        owner.send(*[bed.setup(left=9000, cores=0.01, memory=0.01) for _ in range(100)])
    bed.run(lambda: bed.service.tasks.open_count > 300)
    for machine, asked in zip(bed.machines, held, strict=True):
        machine.conns[0].send(release(asked.id, 16))
    started_ns = bed.clock.now_ns()
    ids = {each.id for each in held}
    bed.run(lambda: ids <= {each.id for owner in owners for each in owner.received(Kind.RELEASE)})
    assert bed.clock.now_ns() - started_ns < S


def test_set_ups_with_the_same_deadline_are_all_refused_in_time(beds: Any) -> None:
    # Guards against one answer per round when rounds are long: the others failed at the deadline timer.
    bed = beds(*[accept_all] * 4)
    slow_down(bed)
    owners = [Owner(bed) for _ in range(2)]
    for owner in owners:
        owner.send(*[bed.setup(left=1000, cores=0.01, memory=0.01) for _ in range(200)])
    bed.run(lambda: sum(len(get_answers(owner)) for owner in owners) == 400)
    assert not [row for row in bed.logged if row["event"] == "unanswered"]
    assert {each.cause for owner in owners for each in owner.received(Kind.RELEASE)} == {42}
