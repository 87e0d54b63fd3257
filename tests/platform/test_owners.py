"""The door that owners come to, and the ends that they are told."""

from __future__ import annotations

import socket
import json
from typing import Any

import pytest

from ladderhub.interface import Move
from ladderhub.signalling import Kind, Message, encode_line
from ladderhub.signalling.journal import decode_event
from tests.platform.bed import HARMLESS
from tests.platform.bed import MS, Owner, S
from tests.platform.bed import event, never, release, stand, yes


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


def test_what_is_handed_over_to_a_machine_that_has_gone_is_over_at_once(beds: Any) -> None:
    # Guards against a task held at a machine of which nothing can come any more: its end was told only when
    # the machine had been silent for six seconds, and its owner waits for one.
    bed = beds(yes, yes)
    owner = Owner(bed)
    stand(bed, owner)
    ((machine, _),) = bed.heard
    bed.service.links.get(machine.name).dial("line")  # so that the link is not forgotten at once
    bed.service.take(decode_event(json.dumps(event(2, machine.row("gone"))).encode()))
    at = bed.at(machine)
    owner.say(at)
    bed.run(lambda: [m for m in owner.said(Kind.RELEASE) if m.id == at.id])
    bed.run()
    assert len([m for m in owner.said(Kind.RELEASE) if m.id == at.id]) == 1


def test_a_set_up_with_a_key_that_cannot_be_passed_on_is_refused(beds: Any) -> None:
    # Guards against a set-up that machines take for one that no owner sent: no page names a parameter for it.
    bed = beds(yes)
    owner, asked = Owner(bed), bed.setup()
    asked.fields["idem"] = "0a48f32c31cabec0"
    at = bed.at(bed.machines[0])
    at.fields["idem"] = "0a48f32c31cabec1"
    owner.say(asked, at)
    bed.run(lambda: owner.got)
    bed.run()
    assert [(m.kind, m.id, m.cause) for m in owner.got] == [(Kind.RELEASE, asked.id, 42)]
    assert not bed.machines[0].got(Kind.SETUP) and bed.service.tasks.find(at.id) is not None


def test_a_caller_that_reads_nothing_keeps_no_descriptor_once_it_is_closed(beds: Any) -> None:
    # Guards against callers that are closed and never take what was written: each held a descriptor for good.
    bed = beds(yes)
    bad = Owner(bed)
    bed.run()
    (conn,) = bed.service.door._conns
    bad.stream.pause(True)
    while not conn.stream.unsent():
        conn.stream.write(encode_line(Message(Kind.PROGRESS, "0" * 16)) * 1000)
    bad.say(b"noise\n")
    bed.run(span_ns=2 * S)
    assert bed.service.door.count() == 1
    bed.run(span_ns=S)
    assert bed.service.door.count() == 0 and conn.stream.closed


def test_an_end_that_comes_before_its_task_is_handed_over_is_told_once(beds: Any) -> None:
    # Guards against a task held for good: its machine told the end on the connection that another handing
    # over had opened, nobody knew the task then, and the machine need not tell it again.
    bed = beds(yes)
    owner, machine = Owner(bed), bed.machines[0]
    first, second = bed.at(machine), bed.at(machine)
    owner.say(first)
    bed.run(lambda: machine.conns)
    bed.run()
    machine.conns[0].say(release(second.id, 16))
    bed.run()
    owner.say(second)
    bed.run(lambda: owner.said(Kind.RELEASE))
    bed.run(span_ns=S)
    assert [(m.id, m.cause) for m in owner.said(Kind.RELEASE)] == [(second.id, 16)]
    assert list(bed.service.links.get("m0").running) == [first.id]
