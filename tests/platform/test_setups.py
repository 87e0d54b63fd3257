"""Set-ups from owner to machine and back, checked by the messages that cross the sockets."""

from __future__ import annotations

import json
from typing import Any

import pytest

from ladderhub.signalling import Code, Kind, Message
from ladderhub.signalling.journal import decode_event
from tests.platform.bed import NEVER_RAN_CAUSES
from tests.platform.bed import MS, MachineConn, Owner, S
from tests.platform.bed import accept_all, event, ignore_all, place_task, release


def test_a_set_up_and_its_answer_are_forwarded_unchanged(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    owner.send(Message(Kind.PING, "0" * 16, 0))
    asked = place_task(bed, owner)
    assert owner.received(Kind.PONG)[0].cause == 1
    (sent,) = bed.machines[0].received(Kind.SETUP)
    assert (sent.id, sent.description) == (asked.id, asked.description)
    assert (sent.values[Code.CLASS], sent.values[Code.KEY]) == ("web", asked.fields["key"])
    assert 0 < int(sent.values[Code.WAIT]) <= 2000
    assert owner.received(Kind.ANSWER)[0].description == f"runs {asked.id}\r\n"
    bed.machines[0].conns[0].send(release(asked.id, 16))
    bed.run(lambda: owner.received(Kind.RELEASE))
    bed.run()
    assert [(m.id, m.cause) for m in owner.received(Kind.RELEASE)] == [(asked.id, 16)]
    assert bed.service.tasks.find(asked.id) is None


def test_an_owner_that_cancels_gets_no_message_and_the_machine_is_released(beds: Any) -> None:
    # Guards against a task that keeps running: the cancellation crosses the answer of the machine.
    bed = beds(ignore_all)
    owner, asked = Owner(bed), bed.setup()
    owner.send(asked)
    bed.run(lambda: bed.machines[0].received(Kind.SETUP))
    owner.send(Message(Kind.RELEASE, asked.id, 16))
    bed.run(lambda: bed.machines[0].received(Kind.RELEASE))
    bed.machines[0].conns[0].send(Message(Kind.ANSWER, asked.id, None, "runs"))
    bed.run(lambda: len(bed.machines[0].received(Kind.RELEASE)) == 2)
    bed.run()
    assert owner.messages == [] and bed.service.tasks.find(asked.id) is None
    many = [bed.setup() for _ in range(200)]
    owner.send(*(m for asked in many for m in (asked, Message(Kind.RELEASE, asked.id, 16))))
    bed.run(span_ns=S)
    assert owner.messages == [] and not bed.module().tasks
    bed.machines[0].messages.clear()
    gone = bed.setup()
    owner.send(gone)
    bed.run(lambda: bed.machines[0].received(Kind.SETUP))
    owner.stream.abort()  # the same, but the connection ends instead
    bed.run(lambda: [m.id for m in bed.machines[0].received(Kind.RELEASE)].count(gone.id) == 1)


@pytest.mark.parametrize("how", ["reset", "noise", "3 GB", "half", "silence", "47", "41", "16", "99"])
def test_a_set_up_that_may_have_run_is_failed_and_never_refused(beds: Any, how: str) -> None:
    # Guards against refusing an unsafe task that a machine had read: a refusal promises that nothing ran.
    def break_connection(conn: MachineConn, message: Message) -> None:
        if message.kind is not Kind.SETUP:
            return
        if how == "reset":
            conn.stream.abort()
        elif how == "noise":
            head = b"\x00\x15\x09" + bytes.fromhex(message.id)
            conn.stream.write(head + b"\xc3\x00\x09" + b"\xfe" * 9)
        elif how == "3 GB":
            conn.stream.write(b"\xff\xff\x09" + b"x" * 5000)
        elif how == "half":
            conn.stream.write(b"\x00\x40\x09")
            conn.stream.close()
        elif how != "silence":
            conn.send(release(message.id, int(how)))

    bed = beds(break_connection, break_connection)
    owner, asked = Owner(bed), bed.setup("bill")
    owner.send(asked)
    bed.run(lambda: bed.machine_messages)
    bed.run(span_ns=2100 * MS)
    assert [m.cause in NEVER_RAN_CAUSES for m in owner.received(Kind.RELEASE)] == [False]
    assert sum(len(machine.received(Kind.SETUP)) for machine in bed.machines) == 1


@pytest.mark.parametrize("cause", [34, 102])
def test_a_set_up_that_never_ran_is_sent_to_the_next_machine(beds: Any, cause: int) -> None:
    def full(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.SETUP:
            conn.send(release(message.id, cause, "no_cores"))

    bed = beds(full, full, accept_all)
    bed.machines[1].die()  # a refused connection shows the same
    owner = Owner(bed)
    for _ in range(6):
        place_task(bed, owner, "bill")
    assert len(bed.machines[2].received(Kind.SETUP)) == 6 and not owner.received(Kind.RELEASE)


def test_only_one_attempt_is_open_and_the_module_s_refusal_is_sent_at_once(beds: Any) -> None:
    out: set[str] = set()

    def full(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.SETUP:
            assert message.id not in out
            out.add(message.id)
            bed.loop.call_soon(send_full, conn, message)

    def send_full(conn: MachineConn, message: Message) -> None:
        out.remove(message.id)
        conn.send(release(message.id, 34, "no_memory"))

    bed = beds(full, full, full)
    owner, asked = Owner(bed), bed.setup()
    owner.send(asked)
    # the clock does not move: three attempts are the maximum
    bed.run(lambda: owner.received(Kind.RELEASE))
    assert owner.received(Kind.RELEASE)[0].cause in NEVER_RAN_CAUSES
    assert sum(len(machine.received(Kind.SETUP)) for machine in bed.machines) == 3


@pytest.mark.parametrize("handshake", [0.0, 0.01])  # if it has a price, set-ups share connections
def test_an_end_reported_twice_ends_only_one_attempt(beds: Any, handshake: float) -> None:
    # Guards against two open attempts: a machine reported the end of the first attempt twice, the second time
    # when the next attempt was already open on the same connection, which was then taken for ended.
    came: list[MachineConn] = []

    def ends_twice(conn: MachineConn, message: Message) -> None:
        if message.kind is not Kind.SETUP:
            return
        came.append(conn)
        if len(came) == 1:
            conn.send(release(message.id, 16))
        elif len(came) == 2:
            came[0].send(release(message.id, 16))

    bed = beds(ends_twice, handshake=handshake)
    owner, asked = Owner(bed), bed.setup()
    owner.send(asked)
    bed.run(lambda: len(came) == 2)
    bed.run(span_ns=300 * MS)
    assert len(came) == 2 and not owner.received(Kind.RELEASE)
    came[1].send(Message(Kind.ANSWER, asked.id, None, "runs\r\n"))
    bed.run(lambda: owner.received(Kind.ANSWER))


def test_a_timed_out_attempt_is_given_up_before_the_next_and_its_late_answer_is_released(beds: Any) -> None:
    # Guards against two open attempts, and against a task that runs although nobody waits for it.
    bed = beds(ignore_all, ignore_all)
    owner, asked = Owner(bed), bed.setup(left=9000)
    owner.send(asked)
    bed.run(lambda: bed.machine_messages)
    first = bed.machine_messages[0][0]
    for machine in bed.machines:
        machine.script = ignore_all if machine is first else accept_all
    bed.run(span_ns=5 * S)
    assert [(machine is first, m.kind) for machine, m in bed.machine_messages if m.kind is not Kind.PING] == [
        (True, Kind.SETUP), (True, Kind.RELEASE), (False, Kind.SETUP)
    ]  # fmt: skip
    if first.conns:  # the answer crosses the give-up
        first.conns[0].send(Message(Kind.ANSWER, asked.id, None, "late"))
    bed.run(span_ns=S // 4)
    assert [m.description for m in owner.messages] == [f"runs {asked.id}\r\n"]


def test_invalid_data_fails_only_the_open_set_up_and_stray_answers_fail_none(beds: Any) -> None:
    def odd(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.SETUP:
            answer = Message(Kind.ANSWER, message.id, None, f"runs {message.id}")
            conn.send(Message(Kind.ANSWER, "f" * 16, None, "whose?"), answer, answer)

    bed = beds(odd)
    owner = Owner(bed)
    asked = [place_task(bed, owner) for _ in range(3)]
    bed.run()
    assert [m.id for m in owner.received(Kind.ANSWER)] == [m.id for m in asked]
    assert not bed.machines[0].received(Kind.RELEASE) and not owner.received(Kind.RELEASE)
    bed.machines[0].script = ignore_all
    open_one = bed.setup()
    owner.send(open_one)
    bed.run(lambda: len(bed.machines[0].received(Kind.SETUP)) == 4)
    bed.machines[0].conns[-1].stream.write(b"\xff" * 30)
    bed.run(span_ns=100 * MS)
    assert {m.id for m in owner.received(Kind.RELEASE)} <= {open_one.id}  # running tasks go on


@pytest.mark.parametrize("sockets", [48, 256])
def test_each_of_many_set_ups_gets_one_final_answer_in_time_also_without_descriptors(
    beds: Any, sockets: int
) -> None:
    # Guards against set-ups that are lost or answered late when machines don't answer and there are more
    # set-ups than connections.
    bed = beds(ignore_all, ignore_all, sockets=sockets, handshake=0.08)
    owner = Owner(bed)
    asked = [bed.setup(klass, cores=0.1, memory=0.1) for klass in ("bill", "web") for _ in range(100)]
    owner.send(*asked)
    bed.run(span_ns=1_900 * MS)
    bed.run(span_ns=100 * MS)
    bed.run(lambda: len(owner.received(Kind.RELEASE)) == len(asked))  # the clock stays at the deadline
    bed.run()
    assert sorted(m.id for m in owner.received(Kind.RELEASE)) == sorted(m.id for m in asked)
    assert not owner.received(Kind.ANSWER) and bed.service.tasks.open_count == 0


@pytest.mark.parametrize("meanwhile", ["drain", "given up", "out of time"])
def test_a_set_up_that_waits_for_its_connection_is_not_sent_once_it_is_forbidden(
    beds: Any, meanwhile: str
) -> None:
    bed = beds(accept_all)
    owner, asked = Owner(bed), bed.setup()
    owner.send(asked)
    bed.run(lambda: bed.service.links.connection_count)  # not connected before the next round
    if meanwhile == "drain":
        bed.service.apply_event(decode_event(json.dumps(event(2, bed.machines[0].row("draining"))).encode()))
    elif meanwhile == "given up":
        bed.service.tasks.give_up(bed.service.tasks.find(asked.id))
    else:
        bed.clock.advance(2 * S)
    bed.run(span_ns=S // 2)
    assert not bed.machine_messages and bed.service.tasks.open_count == (meanwhile == "drain")


def test_the_time_that_a_set_up_was_unread_is_taken_from_its_time(beds: Any) -> None:
    # Guards against answers that come too late for their owner, who counts from when the set-up was sent.
    bed = beds(accept_all)
    owner = Owner(bed)
    place_task(bed, owner)
    bed.loop.run_once(0)
    owner.send(bed.setup(left=2000))
    bed.clock.advance(300 * MS)
    bed.run(lambda: len(bed.machines[0].received(Kind.SETUP)) == 2)
    assert int(bed.machines[0].received(Kind.SETUP)[1].values[Code.WAIT]) <= 1700


def test_a_long_run_leaves_nothing_behind(beds: Any) -> None:
    # Guards against memory that grows because ids and connections are always new.
    def brief(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.SETUP:
            conn.send(Message(Kind.ANSWER, message.id, None, "runs"), release(message.id, 16))

    bed = beds(brief)
    for _ in range(60):
        owner = Owner(bed)
        asked = [bed.setup() for _ in range(5)]
        owner.send(*asked)
        bed.run(lambda owner=owner: len(owner.received(Kind.RELEASE)) == 5)
        owner.stream.abort()
    bed.run(span_ns=12 * S)
    tasks, server = bed.service.tasks, bed.service.owners
    assert not tasks._by_number and not tasks._by_id and not tasks.open_count
    assert not server._conns and not server._unconfirmed
    assert bed.service.links.connection_count <= 6 and bed.loop.pending_timers() < 20


def test_the_module_s_view_of_each_machine_matches_the_messages_on_the_sockets(beds: Any) -> None:
    # Guards against a view that drifts: if only one side counts an end, a cancellation or crossing messages,
    # a machine counts as full for ever.
    def mixed(conn: MachineConn, message: Message) -> None:
        if message.kind is not Kind.SETUP:
            return
        turn = int(message.id, 16) % 7
        if turn == 0:
            conn.send(release(message.id, 34, "no_cores"))
        elif turn == 1:
            conn.send(release(message.id, 47))
        elif turn == 2:
            conn.stream.abort()
        elif turn != 3:  # 3 is left without an answer
            conn.send(Message(Kind.ANSWER, message.id, None, "runs"))
            if turn == 4:
                conn.send(release(message.id, 16))

    bed = beds(mixed, mixed, mixed)
    owner, asked = Owner(bed), [bed.setup(service=f"{at:016x}") for at in range(42)]
    owner.send(*asked)
    bed.run(span_ns=500 * MS)
    owner.send(*(Message(Kind.RELEASE, m.id, 16) for m in asked if int(m.id, 16) % 7 == 5))
    bed.run(span_ns=6 * S)
    running: dict[str, set[str]] = {}
    for machine in bed.machines:
        accepted = {m.id for m in machine.received(Kind.SETUP) if int(m.id, 16) % 7 in (5, 6)}
        running[machine.name] = accepted
        ended = {m.id for m in machine.received(Kind.RELEASE)}
        for id in sorted(accepted & ended):
            (machine.conns[0]).send(release(id, 31))
            running[machine.name].discard(id)
    bed.run(span_ns=S)
    module = bed.module()
    for machine in bed.machines:
        view, link = module.fleet.machines[machine.name], bed.service.links.get(machine.name)
        assert link is not None and set(link.running) == running[machine.name]
        assert (
            round(view.requested.own[0]) == sum(view.active_services.values()) == len(running[machine.name])
        )
        assert not view.start_queue
    assert (
        sum(map(len, running.values())) == 6 and len(module.tasks) == 6 and bed.service.tasks.open_count == 0
    )


def test_a_fault_of_the_module_leaves_no_set_up_without_an_answer(
    beds: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    from ladderhub.decide import Scheduler

    bed = beds(accept_all)
    owner, asked = Owner(bed), bed.setup(left=800)
    monkeypatch.setattr(Scheduler, "_place", lambda *_: 1 / 0)
    owner.send(asked)
    bed.run(span_ns=S)
    assert [m.id for m in owner.received(Kind.RELEASE)] == [asked.id]
    assert owner.received(Kind.RELEASE)[0].cause not in NEVER_RAN_CAUSES
    assert [row for row in bed.logged if row["event"] == "trouble"]
    bed.logged.clear()
