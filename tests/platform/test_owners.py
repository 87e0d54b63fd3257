"""The door that owners come to, and the ends that they are told."""

from __future__ import annotations

import socket
import json
from typing import Any

import pytest

from ladderhub.interface import Move
from ladderhub.signalling import Kind, Message, encode_line
from ladderhub.signalling.journal import decode_event
from tests.platform.bed import NEVER_RAN_CAUSES
from tests.platform.bed import MS, Owner, S
from tests.platform.bed import accept_all, event, ignore_all, place_task, release


def test_an_end_is_told_on_another_connection_and_kept_until_there_is_one(beds: Any) -> None:
    # Guards against releases dropped with the connection of their set-up: owners close those that carry none.
    bed = beds(accept_all)
    first, second = Owner(bed), Owner(bed)
    one, other = place_task(bed, first), place_task(bed, second)
    first.stream.abort()
    bed.run()
    bed.machines[0].conns[0].send(release(one.id, 16))
    bed.run(lambda: second.received(Kind.RELEASE))
    second.stream.abort()
    bed.run()
    bed.machines[0].conns[0].send(release(other.id, 16))
    bed.run(span_ns=2 * S)
    third = Owner(bed)
    third.send(Message(Kind.PING, "0" * 16, 0))
    bed.run(span_ns=S // 2)
    assert [m.id for m in second.received(Kind.RELEASE) + third.received(Kind.RELEASE)] == [one.id, other.id]


def test_an_end_that_is_not_heard_is_told_again_elsewhere_but_not_for_ever(beds: Any) -> None:
    bed = beds(accept_all)
    deaf, other = Owner(bed, acknowledges=False), Owner(bed)
    asked = place_task(bed, deaf)
    other.send(Message(Kind.PING, "0" * 16, 0))
    bed.machines[0].conns[0].send(release(asked.id, 16))
    bed.run(span_ns=10 * S)
    assert len(deaf.received(Kind.RELEASE)) == len(other.received(Kind.RELEASE)) == 1


def test_every_set_up_read_whole_gets_one_answer_also_before_and_after_garbage(beds: Any) -> None:
    # Guards against a connection closed over unreadable bytes with good set-ups open, or behind, on it.
    bed = beds(ignore_all)
    owner = Owner(bed)
    before, after = [bed.setup() for _ in range(5)], [bed.setup() for _ in range(5)]
    owner.send(*before, b"{nonsense\n", *after)
    bed.run(lambda: len(owner.received(Kind.RELEASE)) >= 5)
    late = bed.setup()
    owner.send(late)
    bed.run(span_ns=S)
    ids = [m.id for m in owner.received(Kind.RELEASE)]
    assert sorted(ids) == sorted({m.id for m in before} | set(ids)) and owner.closed
    assert not owner.received(Kind.ANSWER)
    assert all(m.cause not in NEVER_RAN_CAUSES for m in owner.received(Kind.RELEASE))


def test_what_cannot_be_used_is_told_and_leaves_others_alone(beds: Any) -> None:
    bed = beds(accept_all)
    good = Owner(bed)
    first = bed.setup("bill", left=3000)
    bed.machines[0].script = ignore_all
    good.send(first)
    bed.run(lambda: bed.machines[0].received(Kind.SETUP))
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
        bad.send(message)
        bed.run(lambda bad=bad: bad.received(Kind.RELEASE) or bad.closed)  # what can't be read is only closed
        assert all(each.cause not in NEVER_RAN_CAUSES for each in bad.received(Kind.RELEASE))
        bed.run(span_ns=60 * MS)
        assert bad.closed
    # The id of an open set-up, from somebody else: that one is turned away and the open one is not touched.
    twin = bed.setup()
    twin.id = first.id
    bad = Owner(bed)
    bad.send(twin, Message(Kind.RELEASE, first.id, 16))
    bed.run(lambda: bad.received(Kind.RELEASE))
    bed.machines[0].conns[0].send(Message(Kind.ANSWER, first.id, None, "runs"))
    bed.run(lambda: good.received(Kind.ANSWER))
    assert len(bed.machines[0].received(Kind.SETUP)) == 1 and not good.received(Kind.RELEASE)


def test_two_set_ups_under_one_id_are_both_failed(beds: Any) -> None:
    bed = beds(ignore_all)
    owner, twin = Owner(bed), bed.setup()
    owner.send(twin, twin)
    bed.run(lambda: owner.received(Kind.RELEASE))
    bed.run(span_ns=200 * MS)
    assert (
        owner.closed
        and not owner.received(Kind.ANSWER)
        and owner.received(Kind.RELEASE)[0].cause not in NEVER_RAN_CAUSES
    )
    assert bed.service.tasks.open_count == 0


def test_silent_callers_are_closed_in_time_and_go_first_when_room_is_short(beds: Any) -> None:
    bed = beds(accept_all, sockets=48)
    good = Owner(bed)
    asked = place_task(bed, good)
    silent = [Owner(bed) for _ in range(40)]
    half = Owner(bed)
    half.send(b'{"type":"set')
    bed.run()
    assert sum(not each.closed for each in silent) <= 24 and not good.closed
    bed.run(span_ns=2_900 * MS)
    assert all(each.closed for each in [*silent, half]) and not good.closed
    bed.machines[0].conns[0].send(release(asked.id, 16))
    bed.run(lambda: good.received(Kind.RELEASE))


def test_a_connection_with_a_set_up_that_was_not_read_yet_is_never_closed_for_room(beds: Any) -> None:
    # Guards against the close of a connection whose set-up lay unread behind a burst of new connections: what
    # was written is taken, and a recorded day lost four requests so.
    bed = beds(accept_all, sockets=48)
    good = Owner(bed)
    bed.run()
    asked = bed.setup()
    listener = bed.service.owners._listener
    assert listener is not None
    good.send(asked)  # written, and not read before forty others are accepted
    others = [socket.create_connection(bed.owner_address) for _ in range(40)]
    listener._ready(0)
    bed.run(lambda: good.received(Kind.ANSWER))
    assert not good.closed
    for other in others:
        other.close()


def test_a_crowd_that_only_tests_pushes_no_owner_out(beds: Any) -> None:
    # Guards against ends told to strangers: a crowd that sent one test each had the owners' connections
    # closed, or was told in their place since it came from the same address; ends were not told in time.
    bed = beds(accept_all, sockets=48)
    good = Owner(bed)
    asked = place_task(bed, good)
    for _ in range(40):
        stranger = Owner(bed)
        stranger.send(Message(Kind.PING, "0" * 16, 0))
        bed.run(lambda stranger=stranger: stranger.received(Kind.PONG), span_ns=0)
    assert not good.closed
    other = Owner(bed, source="127.0.0.2")
    place_task(bed, other)
    stranger = Owner(bed)  # from the first owner's address, and heard last
    stranger.send(Message(Kind.PING, "0" * 16, 0))
    good.stream.abort()
    bed.run()
    bed.machines[0].conns[0].send(release(asked.id, 16))
    bed.run(lambda: other.received(Kind.RELEASE))


@pytest.mark.parametrize("piece", [b"x", encode_line(Message(Kind.PROGRESS, "0" * 16))])
def test_a_caller_that_drips_or_says_what_means_nothing_is_closed(beds: Any, piece: bytes) -> None:
    # Guards against a line that is never finished, and against useless messages without end.
    bed = beds(accept_all)
    owner = Owner(bed)
    if piece == b"x":
        owner.send(Message(Kind.PING, "0" * 16, 0))
    for _ in range(30):
        owner.send(piece)
        bed.run(span_ns=100 * MS)
    assert owner.closed


@pytest.mark.parametrize(("cause", "told"), [(16, [16]), (41, [41]), (7, [7]), (31, [])])
def test_the_end_of_what_stood_is_told_once_unless_its_owner_brought_it(
    beds: Any, cause: int, told: list[int]
) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    bed.machines[0].conns[0].send(release(asked.id, cause), release(asked.id, cause))
    bed.run(span_ns=S)
    assert [m.cause for m in owner.received(Kind.RELEASE)] == told and bed.service.tasks.find(
        asked.id
    ) is None


def test_a_move_ends_the_task_at_its_owner_and_at_its_machine(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    bed.service.tasks.execute(bed.clock.now_ns(), Move(0))
    bed.run(lambda: bed.machines[0].received(Kind.RELEASE))
    bed.machines[0].conns[0].send(release(asked.id, 31))
    bed.run()
    assert [m.kind for m in owner.messages[1:]] == [Kind.MOVE] and not bed.module().tasks


def test_tasks_handed_over_are_looked_after(beds: Any) -> None:
    bed = beds(accept_all)
    owner, again = Owner(bed), Owner(bed)
    held, nowhere = bed.handover(bed.machines[0]), bed.setup(at="m9")
    owner.send(Message(Kind.PING, "0" * 16, 0), held, nowhere)
    bed.run(lambda: bed.machines[0].conns and owner.received(Kind.RELEASE))
    assert [m.id for m in owner.received(Kind.RELEASE)] == [nowhere.id]
    again.send(held)  # held already: no second task, and its owner can be reached there now
    bed.run()
    owner.stream.abort()
    bed.run()
    bed.machines[0].conns[0].send(release(held.id, 16), release(held.id, 16))
    bed.run(lambda: again.received(Kind.RELEASE))
    assert not bed.machines[0].received(Kind.SETUP) and not again.received(Kind.ANSWER)


def test_an_owner_ends_a_standing_task_on_any_connection(beds: Any) -> None:
    bed = beds(accept_all)
    owner, other = Owner(bed), Owner(bed)
    asked = place_task(bed, owner)
    other.send(Message(Kind.RELEASE, asked.id, 16))
    bed.run(lambda: bed.machines[0].received(Kind.RELEASE))
    bed.machines[0].conns[0].send(release(asked.id, 31))
    bed.run()
    assert other.received(Kind.RELEASED) and not owner.received(Kind.RELEASE) + other.received(Kind.RELEASE)
    assert bed.service.tasks.find(asked.id) is None


def test_what_is_handed_over_to_a_machine_that_has_gone_is_over_at_once(beds: Any) -> None:
    # Guards against a task held at a machine of which nothing can come any more: its end was told only when
    # the machine had been silent for six seconds, and its owner waits for one.
    bed = beds(accept_all, accept_all)
    owner = Owner(bed)
    place_task(bed, owner)
    ((machine, _),) = bed.machine_messages
    bed.service.links.get(machine.name).dial("line")  # so that the link is not forgotten at once
    bed.service.apply_event(decode_event(json.dumps(event(2, machine.row("gone"))).encode()))
    at = bed.handover(machine)
    owner.send(at)
    bed.run(lambda: [m for m in owner.received(Kind.RELEASE) if m.id == at.id])
    bed.run()
    assert len([m for m in owner.received(Kind.RELEASE) if m.id == at.id]) == 1


def test_a_set_up_with_a_key_that_cannot_be_passed_on_is_refused(beds: Any) -> None:
    # Guards against a set-up that machines take for one that no owner sent: no page names a parameter for it.
    bed = beds(accept_all)
    owner, asked = Owner(bed), bed.setup()
    asked.fields["idem"] = "0a48f32c31cabec0"
    at = bed.handover(bed.machines[0])
    at.fields["idem"] = "0a48f32c31cabec1"
    owner.send(asked, at)
    bed.run(lambda: owner.messages)
    bed.run()
    assert [(m.kind, m.id, m.cause) for m in owner.messages] == [(Kind.RELEASE, asked.id, 42)]
    assert not bed.machines[0].received(Kind.SETUP) and bed.service.tasks.find(at.id) is not None


def test_a_caller_that_reads_nothing_keeps_no_descriptor_once_it_is_closed(beds: Any) -> None:
    # Guards against callers that are closed and never take what was written: each held a descriptor for good.
    bed = beds(accept_all)
    bad = Owner(bed)
    bed.run()
    (conn,) = bed.service.owners._conns
    bad.stream.pause(True)
    while not conn.stream.unsent():
        conn.stream.write(encode_line(Message(Kind.PROGRESS, "0" * 16)) * 1000)
    bad.send(b"noise\n")
    bed.run(span_ns=2 * S)
    assert bed.service.owners.count_connections() == 1
    bed.run(span_ns=S)
    assert bed.service.owners.count_connections() == 0 and conn.stream.closed


def test_an_end_that_comes_before_its_task_is_handed_over_is_told_once(beds: Any) -> None:
    # Guards against a task held for good: its machine told the end on the connection that another handing
    # over had opened, nobody knew the task then, and the machine need not tell it again.
    bed = beds(accept_all)
    owner, machine = Owner(bed), bed.machines[0]
    first, second = bed.handover(machine), bed.handover(machine)
    owner.send(first)
    bed.run(lambda: machine.conns)
    bed.run()
    machine.conns[0].send(release(second.id, 16))
    bed.run()
    owner.send(second)
    bed.run(lambda: owner.received(Kind.RELEASE))
    bed.run(span_ns=S)
    assert [(m.id, m.cause) for m in owner.received(Kind.RELEASE)] == [(second.id, 16)]
    assert list(bed.service.links.get("m0").running) == [first.id]
