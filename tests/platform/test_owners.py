"""The server that owners connect to, and the ends of tasks that it reports to them."""

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


def test_an_end_is_reported_on_another_connection_and_kept_until_there_is_one(beds: Any) -> None:
    # Guards against releases lost with the connection of their set-up: owners close idle connections.
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


def test_an_unconfirmed_end_is_reported_again_elsewhere_but_not_for_ever(beds: Any) -> None:
    bed = beds(accept_all)
    first, other = Owner(bed, acknowledges=False), Owner(bed)
    asked = place_task(bed, first)
    other.send(Message(Kind.PING, "0" * 16, 0))
    bed.machines[0].conns[0].send(release(asked.id, 16))
    bed.run(span_ns=10 * S)
    assert len(first.received(Kind.RELEASE)) == len(other.received(Kind.RELEASE)) == 1


def test_every_complete_set_up_gets_one_answer_also_before_and_after_garbage(beds: Any) -> None:
    # Guards against unanswered set-ups when a connection is closed because of unreadable data: valid ones may
    # be open on it, or follow the data.
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


def test_an_invalid_message_is_rejected_and_affects_no_other_set_up(beds: Any) -> None:
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
        bed.run(lambda bad=bad: bad.received(Kind.RELEASE) or bad.closed)  # unreadable data only closes it
        assert all(each.cause not in NEVER_RAN_CAUSES for each in bad.received(Kind.RELEASE))
        bed.run(span_ns=60 * MS)
        assert bad.closed
    # Another caller uses the id of an open set-up: it is rejected, and the open set-up is not affected.
    twin = bed.setup()
    twin.id = first.id
    bad = Owner(bed)
    bad.send(twin, Message(Kind.RELEASE, first.id, 16))
    bed.run(lambda: bad.received(Kind.RELEASE))
    bed.machines[0].conns[0].send(Message(Kind.ANSWER, first.id, None, "runs"))
    bed.run(lambda: good.received(Kind.ANSWER))
    assert len(bed.machines[0].received(Kind.SETUP)) == 1 and not good.received(Kind.RELEASE)


def test_two_set_ups_with_the_same_id_are_both_failed(beds: Any) -> None:
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


def test_a_connection_with_an_unread_set_up_is_never_closed_for_room(beds: Any) -> None:
    # Guards against closing a connection with an unread set-up to make room for a burst of new connections: a
    # written set-up counts as received, and a recorded day lost four requests this way.
    bed = beds(accept_all, sockets=48)
    good = Owner(bed)
    bed.run()
    asked = bed.setup()
    listener = bed.service.owners._listener
    assert listener is not None
    good.send(asked)  # written, but unread until forty others are accepted
    others = [socket.create_connection(bed.owner_address) for _ in range(40)]
    listener._ready(0)
    bed.run(lambda: good.received(Kind.ANSWER))
    assert not good.closed
    for other in others:
        other.close()


def test_many_callers_that_only_ping_displace_no_owner(beds: Any) -> None:
    # Guards against ends that reach their owner late: many callers that sent one ping each had the owners'
    # connections closed, or were sent the ends instead because they had the same address.
    bed = beds(accept_all, sockets=48)
    good = Owner(bed)
    asked = place_task(bed, good)
    for _ in range(40):
        caller = Owner(bed)
        caller.send(Message(Kind.PING, "0" * 16, 0))
        bed.run(lambda caller=caller: caller.received(Kind.PONG), span_ns=0)
    assert not good.closed
    other = Owner(bed, source="127.0.0.2")
    place_task(bed, other)
    caller = Owner(bed)  # has the first owner's address, and was heard last
    caller.send(Message(Kind.PING, "0" * 16, 0))
    good.stream.abort()
    bed.run()
    bed.machines[0].conns[0].send(release(asked.id, 16))
    bed.run(lambda: other.received(Kind.RELEASE))


@pytest.mark.parametrize("piece", [b"x", encode_line(Message(Kind.PROGRESS, "0" * 16))])
def test_a_caller_that_sends_single_bytes_or_useless_messages_is_closed(beds: Any, piece: bytes) -> None:
    # Guards against a line that is never completed, and against endless useless messages.
    bed = beds(accept_all)
    owner = Owner(bed)
    if piece == b"x":
        owner.send(Message(Kind.PING, "0" * 16, 0))
    for _ in range(30):
        owner.send(piece)
        bed.run(span_ns=100 * MS)
    assert owner.closed


@pytest.mark.parametrize("is_ended_by_owner", [False, True])
@pytest.mark.parametrize(("cause", "told"), [(16, [16]), (41, [41]), (7, [7]), (31, [41])])
def test_the_end_of_a_task_is_reported_once_unless_its_owner_ended_it(
    beds: Any, cause: int, told: list[int], is_ended_by_owner: bool
) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    if is_ended_by_owner:
        owner.send(release(asked.id, 31))
        bed.run(lambda: owner.received(Kind.RELEASED))
        told = []
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


def test_tasks_handed_over_are_adopted(beds: Any) -> None:
    bed = beds(accept_all)
    owner, again = Owner(bed), Owner(bed)
    held, nowhere = bed.handover(bed.machines[0]), bed.setup(at="m9")
    owner.send(Message(Kind.PING, "0" * 16, 0), held, nowhere)
    bed.run(lambda: bed.machines[0].conns and owner.received(Kind.RELEASE))
    assert [m.id for m in owner.received(Kind.RELEASE)] == [nowhere.id]
    again.send(held)  # already known: no second task, but its owner can be reached there now
    bed.run()
    owner.stream.abort()
    bed.run()
    bed.machines[0].conns[0].send(release(held.id, 16), release(held.id, 16))
    bed.run(lambda: again.received(Kind.RELEASE))
    assert not bed.machines[0].received(Kind.SETUP) and not again.received(Kind.ANSWER)


def test_an_owner_ends_a_running_task_on_any_connection(beds: Any) -> None:
    bed = beds(accept_all)
    owner, other = Owner(bed), Owner(bed)
    asked = place_task(bed, owner)
    other.send(Message(Kind.RELEASE, asked.id, 16))
    bed.run(lambda: bed.machines[0].received(Kind.RELEASE))
    bed.machines[0].conns[0].send(release(asked.id, 31))
    bed.run()
    assert other.received(Kind.RELEASED) and not owner.received(Kind.RELEASE) + other.received(Kind.RELEASE)
    assert bed.service.tasks.find(asked.id) is None


def test_a_task_handed_over_on_a_removed_machine_ends_at_once(beds: Any) -> None:
    # Guards against a late end of a task on a machine that is not listed any more: it was reported only after
    # the machine had been silent for six seconds, but its owner waits for one second.
    bed = beds(accept_all, accept_all)
    owner = Owner(bed)
    place_task(bed, owner)
    ((machine, _),) = bed.machine_messages
    bed.service.links.get(machine.name).dial("line")  # so that the link is not removed at once
    bed.service.apply_event(decode_event(json.dumps(event(2, machine.row("gone"))).encode()))
    at = bed.handover(machine)
    owner.send(at)
    bed.run(lambda: [m for m in owner.received(Kind.RELEASE) if m.id == at.id])
    bed.run()
    assert len([m for m in owner.received(Kind.RELEASE) if m.id == at.id]) == 1


def test_a_set_up_with_a_key_that_cannot_be_forwarded_is_refused(beds: Any) -> None:
    # Guards against a set-up that machines count as one that no owner sent: the protocol has no parameter to
    # forward `idem`.
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
    # Guards against leaked descriptors: closed connections whose peers never read kept theirs for ever.
    bed = beds(accept_all)
    bad = Owner(bed)
    bed.run()
    (conn,) = bed.service.owners._conns
    bad.stream.pause(True)
    while not conn.stream.has_unsent():
        conn.stream.write(encode_line(Message(Kind.PROGRESS, "0" * 16)) * 1000)
    bad.send(b"noise\n")
    bed.run(span_ns=2 * S)
    assert bed.service.owners.count_connections() == 1
    bed.run(span_ns=S)
    assert bed.service.owners.count_connections() == 0 and conn.stream.closed


def test_an_end_that_arrives_before_its_task_is_handed_over_is_reported_once(beds: Any) -> None:
    # Guards against a task that never ends: its machine reported the end on a connection that an earlier
    # handover had opened, when the task was still unknown, and need not report it again.
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
