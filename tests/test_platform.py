"""The door to the platform over loopback, judged by what crosses the sockets."""

from __future__ import annotations

import json
import math
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ladderhub.interface import Move
from ladderhub.platform.config import load
from ladderhub.signalling import Code, Kind, Message, encode_line
from ladderhub.signalling.journal import decode_event
from tests.platform_bed import MS, Bed, Journal, Machine, MachineConn, Owner, S
from tests.platform_bed import event, never, release, settings, yes

ROOT = Path(__file__).parents[1]
HARMLESS = (34, 42, 102)  # causes that promise that nothing ran


@pytest.fixture
def beds(tmp_path: Path) -> Iterator[Any]:
    made: list[Bed] = []

    def make(*scripts: Any, **options: Any) -> Bed:
        made.append(Bed(tmp_path, *scripts, **options))
        return made[-1]

    yield make
    for bed in made:
        bed.close()


def stand(bed: Bed, owner: Owner, klass: str = "web") -> Message:
    """A task that stands."""
    asked = bed.setup(klass)
    owner.say(asked)
    bed.run(lambda: [m for m in owner.said(Kind.ANSWER) if m.id == asked.id])
    return asked


def test_a_set_up_goes_on_unchanged_and_its_answer_comes_back_unchanged(beds: Any) -> None:
    bed = beds(yes)
    owner = Owner(bed)
    owner.say(Message(Kind.PING, "0" * 16, 0))
    asked = stand(bed, owner)
    assert owner.said(Kind.PONG)[0].cause == 1
    (sent,) = bed.machines[0].got(Kind.SETUP)
    assert (sent.id, sent.description) == (asked.id, asked.description)
    assert (sent.values[Code.CLASS], sent.values[Code.KEY]) == ("web", asked.fields["key"])
    assert 0 < int(sent.values[Code.WAIT]) <= 2000
    assert owner.said(Kind.ANSWER)[0].description == f"runs {asked.id}\r\n"
    bed.machines[0].conns[0].say(release(asked.id, 16))
    bed.run(lambda: owner.said(Kind.RELEASE))
    bed.run()
    assert [(m.id, m.cause) for m in owner.said(Kind.RELEASE)] == [(asked.id, 16)]
    assert bed.service.tasks.find(asked.id) is None


def test_an_end_is_told_on_another_connection_and_kept_until_there_is_one(beds: Any) -> None:
    # Guards against releases dropped with the connection of their set-up: owners close those that carry none.
    bed = beds(yes)
    first, second = Owner(bed), Owner(bed)
    one, other = stand(bed, first), stand(bed, second)
    first.stream.abort()
    bed.run()
    bed.machines[0].conns[0].say(release(one.id, 16))
    bed.run(lambda: second.said(Kind.RELEASE))
    second.stream.abort()
    bed.run()
    bed.machines[0].conns[0].say(release(other.id, 16))
    bed.run(span_ns=2 * S)
    third = Owner(bed)
    third.say(Message(Kind.PING, "0" * 16, 0))
    bed.run(span_ns=S // 2)
    assert [m.id for m in second.said(Kind.RELEASE) + third.said(Kind.RELEASE)] == [one.id, other.id]


def test_an_end_that_is_not_heard_is_told_again_elsewhere_but_not_for_ever(beds: Any) -> None:
    bed = beds(yes)
    deaf, other = Owner(bed, polite=False), Owner(bed)
    asked = stand(bed, deaf)
    other.say(Message(Kind.PING, "0" * 16, 0))
    bed.machines[0].conns[0].say(release(asked.id, 16))
    bed.run(span_ns=10 * S)
    assert len(deaf.said(Kind.RELEASE)) == len(other.said(Kind.RELEASE)) == 1


def test_every_set_up_read_whole_gets_one_answer_also_before_and_after_garbage(beds: Any) -> None:
    # Guards against a connection closed over unreadable bytes with good set-ups open, or behind, on it.
    bed = beds(never)
    owner = Owner(bed)
    before, after = [bed.setup() for _ in range(5)], [bed.setup() for _ in range(5)]
    owner.say(*before, b"{nonsense\n", *after)
    bed.run(lambda: len(owner.said(Kind.RELEASE)) >= 5)
    late = bed.setup()
    owner.say(late)
    bed.run(span_ns=S)
    ids = [m.id for m in owner.said(Kind.RELEASE)]
    assert sorted(ids) == sorted({m.id for m in before} | set(ids)) and owner.closed
    assert not owner.said(Kind.ANSWER)
    assert all(m.cause not in HARMLESS for m in owner.said(Kind.RELEASE))


def test_what_cannot_be_used_is_told_and_leaves_others_alone(beds: Any) -> None:
    bed = beds(yes)
    good = Owner(bed)
    first = bed.setup("bill", left=3000)
    bed.machines[0].script = never
    good.say(first)
    bed.run(lambda: bed.machines[0].got(Kind.SETUP))
    wrong: list[Message] = [
        bed.setup("none"), bed.setup(left="soon"), bed.setup(left=-5), bed.setup(left=10**400),
        bed.setup(left=1e23), bed.setup(cores="nan"), bed.setup(cores="inf"), bed.setup(memory=-1),
        bed.setup(cores=10**9), bed.setup(service=""), bed.setup(left=None),
    ]  # fmt: skip
    wrong[-1].fields.pop("left")
    nobody = bed.setup()
    nobody.fields["tenant"] = "nobody"
    bare = bed.setup()
    bare.description = None
    endless = b"x" * 100_000
    for message in [*wrong, nobody, bare, endless]:
        bad = Owner(bed)
        bad.say(message)
        bed.run(lambda bad=bad: bad.said(Kind.RELEASE) or bad.closed)  # what can't be read is only closed
        assert all(each.cause not in HARMLESS for each in bad.said(Kind.RELEASE))
        bed.run(span_ns=60 * MS)
        assert bad.closed
    # The id of an open set-up, from somebody else: that one is turned away and the open one is not touched.
    twin = bed.setup()
    twin.id = first.id
    bad = Owner(bed)
    bad.say(twin, Message(Kind.RELEASE, first.id, 16))
    bed.run(lambda: bad.said(Kind.RELEASE))
    bed.machines[0].conns[0].say(Message(Kind.ANSWER, first.id, None, "runs"))
    bed.run(lambda: good.said(Kind.ANSWER))
    assert len(bed.machines[0].got(Kind.SETUP)) == 1 and not good.said(Kind.RELEASE)


def test_two_set_ups_under_one_id_are_both_failed(beds: Any) -> None:
    bed = beds(never)
    owner, twin = Owner(bed), bed.setup()
    owner.say(twin, twin)
    bed.run(lambda: owner.said(Kind.RELEASE))
    bed.run(span_ns=200 * MS)
    assert owner.closed and not owner.said(Kind.ANSWER) and owner.said(Kind.RELEASE)[0].cause not in HARMLESS
    assert bed.service.tasks.open == 0


def test_silent_callers_are_closed_in_time_and_go_first_when_room_is_short(beds: Any) -> None:
    bed = beds(yes, sockets=48)
    good = Owner(bed)
    asked = stand(bed, good)
    silent = [Owner(bed) for _ in range(40)]
    half = Owner(bed)
    half.say(b'{"type":"set')
    bed.run()
    assert sum(not each.closed for each in silent) <= 24 and not good.closed
    bed.run(span_ns=2_900 * MS)
    assert all(each.closed for each in [*silent, half]) and not good.closed
    bed.machines[0].conns[0].say(release(asked.id, 16))
    bed.run(lambda: good.said(Kind.RELEASE))


def test_a_connection_with_a_set_up_that_was_not_read_yet_is_never_closed_for_room(beds: Any) -> None:
    # Guards against the close of a connection whose set-up lay unread behind a burst of new connections: what
    # was written is taken, and a recorded day lost four requests so.
    bed = beds(yes, sockets=48)
    good = Owner(bed)
    bed.run()
    asked = bed.setup()
    listener = bed.service.door._listener
    assert listener is not None
    good.say(asked)  # written, and not read before forty others are accepted
    others = [socket.create_connection(bed.door) for _ in range(40)]
    listener._ready(0)
    bed.run(lambda: good.said(Kind.ANSWER))
    assert not good.closed
    for other in others:
        other.close()


def test_a_crowd_that_only_tests_pushes_no_owner_out(beds: Any) -> None:
    # Guards against ends told to strangers: a crowd that sent one test each had the owners' connections
    # closed, or was told in their place since it came from the same address; ends were not told in time.
    bed = beds(yes, sockets=48)
    good = Owner(bed)
    asked = stand(bed, good)
    for _ in range(40):
        stranger = Owner(bed)
        stranger.say(Message(Kind.PING, "0" * 16, 0))
        bed.run(lambda stranger=stranger: stranger.said(Kind.PONG), span_ns=0)
    assert not good.closed
    other = Owner(bed, source="127.0.0.2")
    stand(bed, other)
    stranger = Owner(bed)  # from the first owner's address, and heard last
    stranger.say(Message(Kind.PING, "0" * 16, 0))
    good.stream.abort()
    bed.run()
    bed.machines[0].conns[0].say(release(asked.id, 16))
    bed.run(lambda: other.said(Kind.RELEASE))


@pytest.mark.parametrize("piece", [b"x", encode_line(Message(Kind.PROGRESS, "0" * 16))])
def test_a_caller_that_drips_or_says_what_means_nothing_is_closed(beds: Any, piece: bytes) -> None:
    # Guards against a line that is never finished, and against useless messages without end.
    bed = beds(yes)
    owner = Owner(bed)
    if piece == b"x":
        owner.say(Message(Kind.PING, "0" * 16, 0))
    for _ in range(30):
        owner.say(piece)
        bed.run(span_ns=100 * MS)
    assert owner.closed


def test_an_owner_that_gives_up_hears_nothing_and_the_machine_is_released(beds: Any) -> None:
    # Guards the crossing of a give-up and an answer: what the machine started must not stand on.
    bed = beds(never)
    owner, asked = Owner(bed), bed.setup()
    owner.say(asked)
    bed.run(lambda: bed.machines[0].got(Kind.SETUP))
    owner.say(Message(Kind.RELEASE, asked.id, 16))
    bed.run(lambda: bed.machines[0].got(Kind.RELEASE))
    bed.machines[0].conns[0].say(Message(Kind.ANSWER, asked.id, None, "runs"))
    bed.run(lambda: len(bed.machines[0].got(Kind.RELEASE)) == 2)
    bed.run()
    assert owner.got == [] and bed.service.tasks.find(asked.id) is None
    many = [bed.setup() for _ in range(200)]
    owner.say(*(m for asked in many for m in (asked, Message(Kind.RELEASE, asked.id, 16))))
    bed.run(span_ns=S)
    assert owner.got == [] and not bed.module().tasks
    bed.machines[0].heard.clear()
    gone = bed.setup()
    owner.say(gone)
    bed.run(lambda: bed.machines[0].got(Kind.SETUP))
    owner.stream.abort()  # the same, where the connection ends instead
    bed.run(lambda: [m.id for m in bed.machines[0].got(Kind.RELEASE)].count(gone.id) == 1)


@pytest.mark.parametrize("how", ["reset", "noise", "3 GB", "half", "silence", "47", "41", "16", "99"])
def test_what_may_have_run_is_failed_and_never_refused(beds: Any, how: str) -> None:
    # Guards against a refusal, which promises that nothing ran, for an unsafe task that a machine had read.
    def break_off(conn: MachineConn, message: Message) -> None:
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
            conn.say(release(message.id, int(how)))

    bed = beds(break_off, break_off)
    owner, asked = Owner(bed), bed.setup("bill")
    owner.say(asked)
    bed.run(lambda: bed.heard)
    bed.run(span_ns=2100 * MS)
    assert [m.cause in HARMLESS for m in owner.said(Kind.RELEASE)] == [False]
    assert sum(len(machine.got(Kind.SETUP)) for machine in bed.machines) == 1


@pytest.mark.parametrize("cause", [34, 102])
def test_what_never_ran_goes_on_to_the_next_machine(beds: Any, cause: int) -> None:
    def full(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.SETUP:
            conn.say(release(message.id, cause, "no_cores"))

    bed = beds(full, full, yes)
    bed.machines[1].die()  # a refused connection proves the same
    owner = Owner(bed)
    for _ in range(6):
        stand(bed, owner, "bill")
    assert len(bed.machines[2].got(Kind.SETUP)) == 6 and not owner.said(Kind.RELEASE)


def test_no_two_attempts_are_out_and_the_module_s_refusal_leaves_at_once(beds: Any) -> None:
    out: set[str] = set()

    def full(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.SETUP:
            assert message.id not in out
            out.add(message.id)
            bed.loop.call_soon(say_full, conn, message)

    def say_full(conn: MachineConn, message: Message) -> None:
        out.remove(message.id)
        conn.say(release(message.id, 34, "no_memory"))

    bed = beds(full, full, full)
    owner, asked = Owner(bed), bed.setup()
    owner.say(asked)
    bed.run(lambda: owner.said(Kind.RELEASE))  # the clock stands: three refusals are all that may be tried
    assert owner.said(Kind.RELEASE)[0].cause in HARMLESS
    assert sum(len(machine.got(Kind.SETUP)) for machine in bed.machines) == 3


@pytest.mark.parametrize(("cause", "told"), [(16, [16]), (41, [41]), (7, [7]), (31, [])])
def test_the_end_of_what_stood_is_told_once_unless_its_owner_brought_it(
    beds: Any, cause: int, told: list[int]
) -> None:
    bed = beds(yes)
    owner = Owner(bed)
    asked = stand(bed, owner)
    bed.machines[0].conns[0].say(release(asked.id, cause), release(asked.id, cause))
    bed.run(span_ns=S)
    assert [m.cause for m in owner.said(Kind.RELEASE)] == told and bed.service.tasks.find(asked.id) is None


def test_a_move_ends_the_task_at_its_owner_and_at_its_machine(beds: Any) -> None:
    bed = beds(yes)
    owner = Owner(bed)
    asked = stand(bed, owner)
    bed.service.tasks.carry(bed.clock.now_ns(), Move(0))
    bed.run(lambda: bed.machines[0].got(Kind.RELEASE))
    bed.machines[0].conns[0].say(release(asked.id, 31))
    bed.run()
    assert [m.kind for m in owner.got[1:]] == [Kind.MOVE] and not bed.module().tasks


def test_an_attempt_out_of_time_is_given_up_before_the_next_and_its_late_answer_is_ended(beds: Any) -> None:
    # Guards against two attempts out at once, and against a copy that nobody waits for.
    bed = beds(never, never)
    owner, asked = Owner(bed), bed.setup(left=9000)
    owner.say(asked)
    bed.run(lambda: bed.heard)
    first = bed.heard[0][0]
    for machine in bed.machines:
        machine.script = never if machine is first else yes
    bed.run(span_ns=5 * S)
    assert [(machine is first, m.kind) for machine, m in bed.heard if m.kind is not Kind.PING] == [
        (True, Kind.SETUP), (True, Kind.RELEASE), (False, Kind.SETUP)
    ]  # fmt: skip
    if first.conns:  # the answer crosses the give-up
        first.conns[0].say(Message(Kind.ANSWER, asked.id, None, "late"))
    bed.run(span_ns=S // 4)
    assert [m.description for m in owner.got] == [f"runs {asked.id}\r\n"]


def test_a_spoilt_answer_ends_one_set_up_and_more_than_belongs_to_it_ends_none(beds: Any) -> None:
    def odd(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.SETUP:
            answer = Message(Kind.ANSWER, message.id, None, f"runs {message.id}")
            conn.say(Message(Kind.ANSWER, "f" * 16, None, "whose?"), answer, answer)

    bed = beds(odd)
    owner = Owner(bed)
    asked = [stand(bed, owner) for _ in range(3)]
    bed.run()
    assert [m.id for m in owner.said(Kind.ANSWER)] == [m.id for m in asked]
    assert not bed.machines[0].got(Kind.RELEASE) and not owner.said(Kind.RELEASE)
    bed.machines[0].script = never
    open_one = bed.setup()
    owner.say(open_one)
    bed.run(lambda: len(bed.machines[0].got(Kind.SETUP)) == 4)
    bed.machines[0].conns[-1].stream.write(b"\xff" * 30)
    bed.run(span_ns=100 * MS)
    assert {m.id for m in owner.said(Kind.RELEASE)} <= {open_one.id}  # those that stand go on standing


def test_a_standing_task_outlives_its_connection_but_not_its_machine(beds: Any) -> None:
    bed = beds(yes)
    machine, owner = bed.machines[0], Owner(bed)
    one, two = stand(bed, owner), stand(bed, owner)
    for conn in list(machine.conns):
        conn.stream.abort()
    bed.run(lambda: machine.conns)  # there must be a connection, or the machine could tell nothing
    machine.conns[0].say(release(one.id, 16))
    bed.run(lambda: owner.said(Kind.RELEASE))
    machine.die()
    bed.run(lambda: len(owner.said(Kind.RELEASE)) == 2)
    assert [(m.id, m.cause) for m in owner.said(Kind.RELEASE)] == [(one.id, 16), (two.id, 41)]


def test_tasks_of_a_machine_that_fell_silent_are_over_within_eight_seconds(beds: Any) -> None:
    bed = beds(yes)
    owner = Owner(bed)
    asked = stand(bed, owner)
    bed.run(span_ns=20 * S)
    assert not owner.said(Kind.RELEASE)  # it answers its tests
    bed.machines[0].silent = True
    bed.run(span_ns=5 * S)
    assert not owner.said(Kind.RELEASE)
    bed.run(span_ns=2_900 * MS)
    assert [m.id for m in owner.said(Kind.RELEASE)] == [asked.id]


def test_a_machine_whose_connections_died_in_silence_is_asked_over_a_new_one(beds: Any) -> None:
    # Guards against tasks given up with their connection: a draining machine gets no set-ups that would show
    # that it lives, and a connection dialled anew was not tested.
    bed = beds(yes)
    machine, owner = bed.machines[0], Owner(bed)
    asked = stand(bed, owner)
    machine.dead = list(machine.conns)
    bed.run(span_ns=15 * S)
    assert not owner.said(Kind.RELEASE)
    machine.conns[-1].say(release(asked.id, 16))
    bed.run(lambda: owner.said(Kind.RELEASE))


def test_more_machines_than_descriptors_are_all_reached_and_heard_in_time(beds: Any) -> None:
    # Guards against set-ups given up as unreachable while idle connections to other machines were kept: with
    # 400 machines, most of them new, most offers ended so.  Twelve connections to twenty-four machines here.
    bed = beds(*[yes] * 24, sockets=48)
    most = bed.service.links.most()
    owner, held = Owner(bed), [bed.at(machine) for machine in bed.machines]
    owner.say(*held)
    peak = 0

    def pass_by(span_ns: int) -> None:
        nonlocal peak
        for _ in range(span_ns // (100 * MS)):
            bed.run(span_ns=100 * MS)
            bed.run()
            peak = max(peak, bed.service.links.count)

    pass_by(9 * S)
    assert not owner.said(Kind.RELEASE)
    assert all(machine.got(Kind.PING) for machine in bed.machines)
    for round_ in range(6):
        asked = [bed.setup(service=f"{round_:02}{at:02}" * 4) for at in range(4)]
        owner.say(*asked)
        bed.run(lambda asked=asked: {m.id for m in asked} <= {m.id for m in owner.said(Kind.ANSWER)})
        pass_by(200 * MS)
    assert not owner.said(Kind.RELEASE) and not [row for row in bed.logged if row["event"] == "attempt"]
    # All end at once.  Each machine tells it on a connection that it has, else on the next one opened.
    over = {machine.name: one.id for machine, one in zip(bed.machines, held, strict=True)}
    for machine in bed.machines:
        machine.on_accept = lambda conn: conn.say(release(over[conn.machine.name], 16))
        for conn in machine.conns[:1]:
            conn.say(release(over[machine.name], 16))
    pass_by(7 * S)
    assert {m.id for m in owner.said(Kind.RELEASE)} == set(over.values())
    assert peak <= most == 12


def test_descriptors_that_owners_leave_go_to_machines_until_owners_come(beds: Any) -> None:
    # Guards against lines that are closed and dialled in turn while half of the descriptors lie unused.
    bed = beds(*[yes] * 4, sockets=256)
    links, owner = bed.service.links, Owner(bed)
    owner.say(*(bed.setup(cores=0.1, memory=0.1) for _ in range(140)))
    bed.run(lambda: len(owner.said(Kind.ANSWER)) == 140)
    assert links.count == 140  # all at once, each on a connection of its own; half of the descriptors are 128
    crowd = [Owner(bed) for _ in range(120)]
    bed.run(lambda: bed.service.door.count() == 121)
    assert links.count == links.most() == 256 - 128 - 12
    assert not owner.said(Kind.RELEASE) and not any(each.closed for each in crowd)


@pytest.mark.parametrize("sockets", [48, 256])
def test_each_set_up_of_a_flood_gets_one_final_answer_in_time_also_without_descriptors(
    beds: Any, sockets: int
) -> None:
    # Guards against set-ups that are lost or answered late when machines say nothing and more is asked than
    # there are connections to be had.
    bed = beds(never, never, sockets=sockets, handshake=0.08)
    owner = Owner(bed)
    asked = [bed.setup(klass, cores=0.1, memory=0.1) for klass in ("bill", "web") for _ in range(100)]
    owner.say(*asked)
    bed.run(span_ns=1_900 * MS)
    bed.run(span_ns=100 * MS)
    bed.run(lambda: len(owner.said(Kind.RELEASE)) == len(asked))  # the clock stands at the deadline
    bed.run()
    assert sorted(m.id for m in owner.said(Kind.RELEASE)) == sorted(m.id for m in asked)
    assert not owner.said(Kind.ANSWER) and bed.service.tasks.open == 0


def test_what_a_machine_does_not_take_is_not_sent_once_it_is_leaving(beds: Any) -> None:
    # Guards against set-ups that lie in the buffer of a connection and leave after the drain was heard.
    bed = beds(never, never, handshake=0.08)
    for machine in bed.machines:
        machine.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        machine.on_accept = lambda conn: conn.stream.pause(True)
    owner = Owner(bed)

    def ask() -> None:
        asked = bed.setup(cores=0.1, memory=0.1, left=9000)
        asked.description = "x" * 12_000
        owner.say(asked)

    def offers(written: bool) -> set[str]:
        link = bed.service.links.get(name)
        return {each.id for conn in link.conns for each in conn.open.values() if each.written == written}

    ask()
    bed.run(lambda: bed.service.links.count)
    bed.run()
    for link in (bed.service.links.get(machine.name) for machine in bed.machines):
        for conn in link.conns:
            conn.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            name = link.name
    for _ in range(40):
        ask()
        bed.run()
    leaving = next(machine for machine in bed.machines if machine.name == name)
    assert offers(written=False)
    bed.service.take(decode_event(json.dumps(event(2, leaving.row("draining"))).encode()))
    begun = offers(written=True)
    for conn in leaving.conns:
        conn.stream.pause(False)
    bed.run(span_ns=S)
    assert begun and {message.id for message in leaving.got(Kind.SETUP)} <= begun


def test_a_thousand_machines_and_schedulers_are_taken_at_the_start_and_by_events(beds: Any) -> None:
    # Guards against a bound on either list; the users have hundreds of both.
    bed = beds(yes, schedulers=1024)
    owner, real = Owner(bed), bed.machines[0]

    def rows(first: int) -> list[dict[str, Any]]:
        return [real.row() | {"name": f"m{at}", "group": at // 6} for at in range(first, first + 1024)]

    bed.service.take(decode_event(json.dumps(event(2, *rows(0), full=True)).encode()))
    assert sum(not machine.shut for machine in bed.module().fleet.machines.values()) == 1024
    bed.service.take(decode_event(json.dumps(event(3, *rows(1024), full=True)).encode()))
    assert {stand(bed, owner).id for _ in range(20)} == {m.id for m in real.got(Kind.SETUP)}
    assert all(int(offer.machine[1:]) >= 1024 for link in bed.service.links._links.values()
               for offer in link.standing.values())  # fmt: skip
    assert sum(len(link.standing) for link in bed.service.links._links.values()) == 20


def test_a_machine_that_missed_its_test_is_dialled_at_once(beds: Any) -> None:
    # Guards against waiting twice for a machine that is cut off, for a test on a connection and for a dial:
    # half a second for each offer, on a day when a fifth of the machines fell silent.
    bed = beds(yes)
    machine, owner = bed.machines[0], Owner(bed)
    stand(bed, owner)
    bed.run(span_ns=3 * S)
    machine.dead = list(machine.conns)
    bed.run(span_ns=1_200 * MS)
    asked = bed.setup()
    owner.say(asked)
    bed.run(lambda: [m for m in owner.said(Kind.ANSWER) if m.id == asked.id])  # the clock stands still


def test_where_connections_are_paid_for_repeatable_set_ups_share_one_and_others_do_not(beds: Any) -> None:
    # Guards against a handshake for each of several set-ups under way to one machine: four of ten connections
    # were of that kind, and cost a twentieth of a day's score.
    bed = beds(never, handshake=0.08)
    machine, owner = bed.machines[0], Owner(bed)
    safe, unsafe = [bed.setup() for _ in range(6)], [bed.setup("bill") for _ in range(2)]
    owner.say(*safe[:3], *unsafe, *safe[3:])
    bed.run(lambda: len(machine.got(Kind.SETUP)) == 8)
    assert len(machine.conns) == 3
    shared = max(machine.conns, key=lambda conn: len(conn.heard))
    assert {m.id for m in shared.heard} == {m.id for m in safe}
    # What is spoilt there ends those on it, each once, and none of the others; they are asked for again.
    machine.script = yes
    shared.stream.write(b"\0\1\0")
    bed.run(lambda: {m.id for m in owner.said(Kind.ANSWER)} == {m.id for m in safe})
    assert not owner.said(Kind.RELEASE)


def test_a_quiet_connection_is_tested_and_used_again_and_a_dead_one_replaced(beds: Any) -> None:
    # Guards against a new connection for nearly each set-up: two of three offers dialled, though idle
    # connections to the same machines stood open, and each is paid for.
    bed = beds(yes)
    machine, owner = bed.machines[0], Owner(bed)
    for turn in range(3):
        asked = stand(bed, owner)
        machine.conns[0].say(release(asked.id, 16))
        bed.run(lambda turn=turn: len(owner.said(Kind.RELEASE)) == turn + 1)
        bed.run(span_ns=5 * S)  # nothing stands there: nobody asks whether the machine is there
    assert len(machine.conns) == 1 and len(machine.got(Kind.PING)) >= 2
    # The connection brings nothing more, the machine lives: nothing is written until that is known.
    machine.dead = list(machine.conns)
    asked = bed.setup()
    owner.say(asked)
    bed.run(lambda: len(machine.got(Kind.PING)) >= 3)
    assert not [m for m in machine.got(Kind.SETUP) if m.id == asked.id]
    bed.run(span_ns=260 * MS)
    bed.run(lambda: [m for m in owner.said(Kind.ANSWER) if m.id == asked.id])
    assert len([m for m in machine.got(Kind.SETUP) if m.id == asked.id]) == 1


@pytest.mark.parametrize("figure", ["nan", "inf", "-inf", "much", "1e999"])
def test_a_note_without_a_finite_figure_never_reaches_the_module(beds: Any, figure: str) -> None:
    # Guards against one bad figure that would stay in the module's averages for good.
    bed = beds(yes)
    owner = Owner(bed)
    asked = stand(bed, owner)
    note = Message(Kind.NOTE, asked.id, values={Code.NOTE: "cores", Code.FIGURE: figure})
    bed.machines[0].conns[0].say(note)
    bed.run(lambda: [row for row in bed.logged if row["event"] == "machine.spoilt"])
    assert math.isfinite(bed.module().ledger.class_use[0][0].value)
    assert bed.service.tasks.find(asked.id) is not None


def test_tasks_handed_over_are_looked_after(beds: Any) -> None:
    bed = beds(yes)
    owner, again = Owner(bed), Owner(bed)
    held, nowhere = bed.at(bed.machines[0]), bed.setup(at="m9")
    owner.say(Message(Kind.PING, "0" * 16, 0), held, nowhere)
    bed.run(lambda: bed.machines[0].conns and owner.said(Kind.RELEASE))
    assert [m.id for m in owner.said(Kind.RELEASE)] == [nowhere.id]
    again.say(held)  # held already: no second task, and its owner can be reached there now
    bed.run()
    owner.stream.abort()
    bed.run()
    bed.machines[0].conns[0].say(release(held.id, 16), release(held.id, 16))
    bed.run(lambda: again.said(Kind.RELEASE))
    assert not bed.machines[0].got(Kind.SETUP) and not again.said(Kind.ANSWER)


def test_an_owner_ends_a_standing_task_on_any_connection(beds: Any) -> None:
    bed = beds(yes)
    owner, other = Owner(bed), Owner(bed)
    asked = stand(bed, owner)
    other.say(Message(Kind.RELEASE, asked.id, 16))
    bed.run(lambda: bed.machines[0].got(Kind.RELEASE))
    bed.machines[0].conns[0].say(release(asked.id, 31))
    bed.run()
    assert other.said(Kind.RELEASED) and not owner.said(Kind.RELEASE) + other.said(Kind.RELEASE)
    assert bed.service.tasks.find(asked.id) is None


@pytest.mark.parametrize("meanwhile", ["drain", "given up", "out of time"])
def test_a_set_up_that_waits_for_its_connection_does_not_leave_when_it_may_no_more(
    beds: Any, meanwhile: str
) -> None:
    bed = beds(yes)
    owner, asked = Owner(bed), bed.setup()
    owner.say(asked)
    bed.run(lambda: bed.service.links.count)  # dialled, and not up before the loop turns again
    if meanwhile == "drain":
        bed.service.take(decode_event(json.dumps(event(2, bed.machines[0].row("draining"))).encode()))
    elif meanwhile == "given up":
        bed.service.tasks.give_up(bed.service.tasks.find(asked.id))
    else:
        bed.clock.advance(2 * S)
    bed.run(span_ns=S // 2)
    assert not bed.heard and bed.service.tasks.open == (meanwhile == "drain")


def test_the_journal_is_followed_through_breaks_silence_and_a_new_address(beds: Any) -> None:
    bed = beds(yes)
    new = Machine(bed, "m7", yes)
    follower = bed.service.follower
    bed.run(lambda: bed.journal.tails)
    line = json.dumps(event(2, new.row())).encode() + b"\n"
    bed.journal.write(line + line[:30])
    bed.run(lambda: follower.pos == 2)
    bed.journal.streams[0].abort()
    bed.run(lambda: len(bed.journal.tails) == 2)
    bed.run(span_ns=1_700 * MS)  # silence: the line of each second was missed
    bed.run(lambda: len(bed.journal.tails) == 3)
    assert bed.journal.tails == [b"tail 1\n", b"tail 2\n", b"tail 2\n"]
    moved, old = bed.journal, bed.journal.streams[0]
    bed.journal = Journal(bed)
    bed.file["journal"] = bed.journal.address
    bed.path.write_text(json.dumps(bed.file))
    with pytest.MonkeyPatch.context() as patch:
        for name, value in bed.environment.items():
            patch.setenv(name, value)
        patch.setenv("PROXY_LISTEN", "127.0.0.1:1")
        bed.service.reload()
        bed.run(lambda: bed.journal.tails)
        old.write(json.dumps(event(3, new.row("draining"))).encode() + b"\n")  # still good for a while
        bed.run(lambda: follower.pos == 3)
        bed.journal.write(json.dumps(event(3, new.row("draining"))).encode() + b"\n")
        bed.path.write_text("{half")
        bed.service.reload()
    assert [row for row in bed.logged if row["event"] == "reload.refused"]
    bed.journal.write(json.dumps(event(4, new.row("gone"))).encode() + b"\n")
    bed.run(lambda: follower.pos == 4)
    assert moved.tails[-1] == b"tail 2\n" and bed.journal.tails == [b"tail 2\n"]


def test_no_test_is_passed_before_what_was_told_during_the_start_is_taken(beds: Any) -> None:
    # Guards against set-ups to machines that were announced as leaving while the scheduler was starting: its
    # list is as old as its start is long, and whoever passes a test gets set-ups at once.
    bed = beds(yes, yes, caught_up=False)
    owner = Owner(bed)
    owner.say(Message(Kind.PING, "0" * 16, 0))
    bed.run(lambda: bed.journal.tails)
    bed.run()
    assert not owner.said(Kind.PONG)
    told = json.dumps(event(2, bed.machines[0].row("draining"))).encode() + b"\n"
    bed.journal.write(told[:40])
    bed.run()
    assert not owner.said(Kind.PONG)
    bed.journal.write(told[40:])
    bed.run(lambda: owner.said(Kind.PONG))
    for _ in range(4):
        stand(bed, owner)
    assert {machine.name for machine, _ in bed.heard} == {"m1"}


@pytest.mark.parametrize("journal", ["has nothing to tell", "does not answer"])
def test_a_journal_without_news_keeps_no_scheduler_from_serving(beds: Any, journal: str) -> None:
    bed = beds(yes, caught_up=False)
    if journal == "does not answer":
        bed.journal.listener.close()
    owner = Owner(bed)
    owner.say(Message(Kind.PING, "0" * 16, 0))
    bed.run(span_ns=260 * MS)
    bed.run(lambda: owner.said(Kind.PONG))
    assert owner.said(Kind.PONG)[0].cause == 1


def test_the_journal_is_read_before_set_ups_that_lie_there_with_it(beds: Any) -> None:
    # Guards against a flood of set-ups under which an announced drain lies unread, past the grace.
    bed = beds(yes, yes)
    owners = [Owner(bed) for _ in range(30)]
    bed.run()
    for owner in owners:
        owner.say(bed.setup(cores=0.1, memory=0.1), bed.setup(cores=0.1, memory=0.1))
    bed.journal.write(json.dumps(event(2, bed.machines[0].row("draining"))).encode() + b"\n")
    bed.run(lambda: all(len(owner.said(Kind.ANSWER)) == 2 for owner in owners))
    assert {machine.name for machine, _ in bed.heard} == {"m1"}


def test_the_time_that_a_set_up_lay_unread_is_taken_from_its_time(beds: Any) -> None:
    # Guards against answers that come too late for their owner, who counts from when the set-up was sent.
    bed = beds(yes)
    owner = Owner(bed)
    stand(bed, owner)
    bed.loop.turn(0)
    owner.say(bed.setup(left=2000))
    bed.clock.advance(300 * MS)
    bed.run(lambda: len(bed.machines[0].got(Kind.SETUP)) == 2)
    assert int(bed.machines[0].got(Kind.SETUP)[1].values[Code.WAIT]) <= 1700


@pytest.mark.parametrize(
    "spoilt", [{"left_over": "much"}, {"status": "?"}, {"type": "odd"}, {"address": "x"}]
)
def test_a_row_that_cannot_be_used_is_told_and_the_rest_of_its_event_is_in_force(
    beds: Any, spoilt: dict[str, Any]
) -> None:
    # Guards against one bad row that keeps the whole list from changing, or a scheduler from starting; and
    # against set-ups to the machine that it was about, which may be leaving.
    bed = beds(yes, yes, yes)
    owner, (one, two, _) = Owner(bed), bed.machines
    rows = (one.row("draining") | spoilt, two.row("draining"))
    bed.journal.write(json.dumps(event(2, *rows)).encode() + b'\n{"pos":3,"hosts":7}\n')
    bed.run(lambda: bed.service.follower.pos == 3)
    for _ in range(4):
        stand(bed, owner)
    assert {machine.name for machine, _ in bed.heard} == {"m2"}
    assert [row["machine"] for row in bed.logged if row["event"] == "list.row"] == ["m0", ""]
    assert not [row for row in bed.logged if row["event"] == "journal.closed"]
    bed.file["known"] = {"pos": 1, "entries": [event(1, *rows, full=True)]}
    bed.path.write_text(json.dumps(bed.file))
    (known,) = load(bed.environment).known  # and a scheduler starts on such a list
    assert known.rows is not None and len(known.rows) + len(known.spoilt) == 2


def test_a_journal_that_only_accepts_is_not_dialled_without_a_pause(beds: Any) -> None:
    bed = beds(yes)
    bed.run(lambda: bed.journal.streams)
    dials: list[None] = []
    bed.journal.listener._accept = lambda sock: dials.append(sock.close())
    bed.journal.streams[0].abort()
    bed.run(span_ns=S)
    assert 3 <= len(dials) <= 12


def test_a_new_machine_at_the_address_of_one_that_is_gone_has_a_link_of_its_own(beds: Any) -> None:
    bed = beds(yes)
    machine, owner = bed.machines[0], Owner(bed)
    asked = stand(bed, owner)
    row = machine.row() | {"name": "heir", "since_ms": 0}
    bed.journal.write(json.dumps(event(2, machine.row("gone"), row)).encode() + b"\n")
    bed.run(lambda: owner.said(Kind.RELEASE))
    assert (owner.said(Kind.RELEASE)[0].id, owner.said(Kind.RELEASE)[0].cause) == (asked.id, 41)
    after = stand(bed, owner)
    machine.conns[-1].say(release(asked.id, 16))  # a word of the old one's says nothing of the new one's
    bed.run()
    assert bed.service.tasks.find(after.id) is not None and len(owner.said(Kind.RELEASE)) == 1


def test_long_service_leaves_nothing_behind(beds: Any) -> None:
    # Guards against growth while ids and connections are always new.
    def brief(conn: MachineConn, message: Message) -> None:
        if message.kind is Kind.SETUP:
            conn.say(Message(Kind.ANSWER, message.id, None, "runs"), release(message.id, 16))

    bed = beds(brief)
    for _ in range(60):
        owner = Owner(bed)
        asked = [bed.setup() for _ in range(5)]
        owner.say(*asked)
        bed.run(lambda owner=owner: len(owner.said(Kind.RELEASE)) == 5)
        owner.stream.abort()
    bed.run(span_ns=12 * S)
    tasks, door = bed.service.tasks, bed.service.door
    assert not tasks._by_number and not tasks._by_id and not tasks.open
    assert not door._conns and not door._unheard
    assert bed.service.links.count <= 6 and bed.loop.pending_timers() < 20


def test_what_the_module_holds_of_each_machine_is_what_crossed_the_sockets(beds: Any) -> None:
    # Guards against a view that drifts: an end, a give-up or a crossing that one side counts and the other
    # does not would fill a machine in the module's eyes for good.
    def mixed(conn: MachineConn, message: Message) -> None:
        if message.kind is not Kind.SETUP:
            return
        turn = int(message.id, 16) % 7
        if turn == 0:
            conn.say(release(message.id, 34, "no_cores"))
        elif turn == 1:
            conn.say(release(message.id, 47))
        elif turn == 2:
            conn.stream.abort()
        elif turn != 3:  # 3 is left without an answer
            conn.say(Message(Kind.ANSWER, message.id, None, "runs"))
            if turn == 4:
                conn.say(release(message.id, 16))

    bed = beds(mixed, mixed, mixed)
    owner, asked = Owner(bed), [bed.setup(service=f"{at:016x}") for at in range(42)]
    owner.say(*asked)
    bed.run(span_ns=500 * MS)
    owner.say(*(Message(Kind.RELEASE, m.id, 16) for m in asked if int(m.id, 16) % 7 == 5))
    bed.run(span_ns=6 * S)
    stands: dict[str, set[str]] = {}
    for machine in bed.machines:
        yes_to = {m.id for m in machine.got(Kind.SETUP) if int(m.id, 16) % 7 in (5, 6)}
        stands[machine.name] = yes_to
        ended = {m.id for m in machine.got(Kind.RELEASE)}
        for id in sorted(yes_to & ended):
            (machine.conns[0]).say(release(id, 31))
            stands[machine.name].discard(id)
    bed.run(span_ns=S)
    module = bed.module()
    for machine in bed.machines:
        view, link = module.fleet.machines[machine.name], bed.service.links.get(machine.name)
        assert link is not None and set(link.standing) == stands[machine.name]
        assert round(view.asked.own[0]) == sum(view.held.values()) == len(stands[machine.name])
        assert not view.line
    assert sum(map(len, stands.values())) == 6 and len(module.tasks) == 6 and bed.service.tasks.open == 0


def test_a_fault_of_the_module_leaves_no_set_up_without_an_answer(
    beds: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    from ladderhub.decide import Scheduler

    bed = beds(yes)
    owner, asked = Owner(bed), bed.setup(left=800)
    monkeypatch.setattr(Scheduler, "_place", lambda *_: 1 / 0)
    owner.say(asked)
    bed.run(span_ns=S)
    assert [m.id for m in owner.said(Kind.RELEASE)] == [asked.id]
    assert owner.said(Kind.RELEASE)[0].cause not in HARMLESS
    assert [row for row in bed.logged if row["event"] == "trouble"]
    bed.logged.clear()


def test_after_sigterm_set_ups_are_served_for_as_long_as_they_may_come_and_then_refused(beds: Any) -> None:
    bed = beds(never)
    owner, late = Owner(bed), bed.setup()
    first, second = bed.setup(left=3000), bed.setup(left=3000)
    owner.say(first)
    bed.run(lambda: bed.heard)
    bed.service.stop()
    owner.say(Message(Kind.PING, "0" * 16, 0), second)
    bed.run(lambda: len(bed.machines[0].got(Kind.SETUP)) == 2)
    assert owner.said(Kind.PONG)[0].cause == 0
    bed.run(span_ns=S)
    owner.say(late)
    bed.run(lambda: owner.said(Kind.RELEASE))
    assert [(m.id, m.cause) for m in owner.said(Kind.RELEASE)] == [(late.id, 42)]
    assert not [row for row in bed.logged if row["event"] == "stopped"]
    for id in (first.id, second.id):
        bed.machines[0].conns[0].say(release(id, 34))
    bed.run(span_ns=3 * S)
    assert len(owner.said(Kind.RELEASE)) == 3 and owner.closed
    assert [row for row in bed.logged if row["event"] == "stopped"]


# --- as a process -----------------------------------------------------------------------------------------


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def start(folder: Path, **changes: Any) -> tuple[subprocess.Popen[str], int]:
    port = free_port()
    file = {"journal": f"127.0.0.1:{free_port()}", "settings": settings(), "known": {"pos": 0, "entries": []}}
    (folder / "c.json").write_text(json.dumps(file))
    environment = os.environ | {
        "PROXY_NAME": "n0", "PROXY_LISTEN": f"127.0.0.1:{port}", "PROXY_CONFIG": str(folder / "c.json"),
    } | changes  # fmt: skip
    argv = [sys.executable, "-m", "ladderhub", "platform"]
    child = subprocess.Popen(argv, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True)
    return child, port


def test_a_process_serves_and_ends_on_sigterm_with_all_that_was_taken_answered(tmp_path: Path) -> None:
    child, port = start(tmp_path)
    assert child.stderr is not None
    assert json.loads(child.stderr.readline())["event"] == "ready"
    fields: dict[str, str | int | float] = {"class": "web", "left": "1500", "tenant": "north", "key": "k"}
    fields["extras"] = "cores:1;memory:1;service:s"
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.settimeout(20)
        lines = sock.makefile("rb")
        sock.sendall(encode_line(Message(Kind.PING, "0" * 16, 0)))
        assert json.loads(lines.readline())["type"] == "pong"
        (tmp_path / "c.json").write_text("{half")
        child.send_signal(signal.SIGHUP)  # a file that can't be used changes nothing
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            child.send_signal(number)
        sock.sendall(encode_line(Message(Kind.SETUP, "a" * 16, None, "x", fields)))
        row = json.loads(lines.readline())
        assert (row["type"], row["id"], row["cause"] in HARMLESS) == ("release", "a" * 16, True)
        assert lines.readline() == b""
    assert child.wait(20) == 0
    child.stderr.close()


@pytest.mark.parametrize(
    ("changes", "status", "said"),
    [
        ({"PROXY_CONFIG": ""}, 2, "PROXY_CONFIG: not set; the path"),
        ({"PROXY_CONFIG": "/nowhere.json"}, 2, "/nowhere.json"),
        ({"PROXY_LISTEN": "here"}, 2, "found 'here'; HOST:PORT is meant"),
        ({"PROXY_LISTEN": "192.0.2.1:1"}, 1, "PROXY_LISTEN"),
    ],
)
def test_a_start_that_cannot_be_is_told_in_one_line(
    tmp_path: Path, changes: dict[str, str], status: int, said: str
) -> None:
    child, _ = start(tmp_path, **changes)
    _, text = child.communicate(timeout=20)
    assert child.returncode == status and said in text
    assert len(text.splitlines()) == 1
