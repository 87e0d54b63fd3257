"""Connections of machines and owners that end over what they brought, or over what was still to be said.

The crossing is forced: the peer's bytes lie in the scheduler's socket as its connection is found broken."""

from __future__ import annotations

from typing import Any

from ladderhub.platform.conn import CLOSE_LINGER_NS
from ladderhub.signalling import Kind, Message
from tests.platform.bed import (
    MS,
    Bed,
    Machine,
    MachineConn,
    Owner,
    S,
    accept_all,
    ignore_all,
    place_task,
    release,
)

DONE, CANCELLED, NORMAL = 16, 31, 16


def released(owner: Owner, asked: Message) -> bool:
    return asked.id in [each.id for each in owner.received(Kind.RELEASE)]


def in_one_round(bed: Bed, *calls: Any) -> None:
    """Do these after the poll of a round, one after the other."""

    def all_of_them() -> None:
        for call in calls:
            call()

    bed.loop.call_later(0, all_of_them)
    bed.run()


def test_an_end_told_just_before_a_reset_is_told_to_its_owner_though_a_test_fails_first(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    (conn,), link = bed.machines[0].conns, bed.service.links.get("m0")
    bed.clock.advance(S)
    now = bed.clock.now_ns()
    in_one_round(
        bed, lambda: conn.send(release(asked.id, DONE)), conn.reset, lambda: link.check_liveness(now)
    )
    assert released(owner, asked)


def test_an_end_told_just_before_a_reset_is_told_though_the_connection_is_being_left(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    (conn,), (ours,) = bed.machines[0].conns, bed.service.links.get("m0").conns
    in_one_round(bed, lambda: conn.send(release(asked.id, DONE)), conn.reset, ours.start_closing)
    assert released(owner, asked)


def test_an_end_unread_as_a_connection_that_is_left_runs_out_of_time_is_told(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    (conn,), (ours,) = bed.machines[0].conns, bed.service.links.get("m0").conns
    ours.start_closing()
    ours.stream.pause(True)  # the process is behind with reading
    conn.send(release(asked.id, DONE))
    bed.run(span_ns=CLOSE_LINGER_NS + 50 * MS)
    assert ours.stream.closed and released(owner, asked)


def two_connections(bed: Bed, owner: Owner) -> tuple[Message, MachineConn, MachineConn]:
    """A set-up without an answer yet, the connection that it came on, and another one of its machine."""
    asked = bed.setup("bill", left=3000)
    owner.send(asked, bed.setup("bill", left=3000))
    bed.run(lambda: len(bed.machines[0].received(Kind.SETUP)) == 2)
    first, second = bed.machines[0].conns
    if asked.id not in [each.id for each in first.messages]:
        first, second = second, first
    return asked, first, second


def test_an_end_read_before_the_answer_on_another_connection_is_told(beds: Any) -> None:
    # Guards against an end that counts as nobody's, as the order of two connections is that of reading.
    bed = beds(ignore_all)
    owner = Owner(bed)
    asked, first, second = two_connections(bed, owner)
    second.send(release(asked.id, DONE))
    bed.run()
    first.send(Message(Kind.ANSWER, asked.id, None, "runs"))
    bed.run(lambda: owner.received(Kind.ANSWER))
    bed.run()
    assert released(owner, asked)


def test_an_answer_unread_on_a_reset_connection_and_its_end_on_another_are_both_told(beds: Any) -> None:
    bed = beds(ignore_all)
    owner = Owner(bed)
    asked, first, second = two_connections(bed, owner)
    link = bed.service.links.get("m0")
    ours = next(conn for conn in link.conns if asked.id not in conn.open_offers)

    def read_second_first() -> None:
        ours.read_pending()

    in_one_round(
        bed,
        lambda: first.send(Message(Kind.ANSWER, asked.id, None, "runs")),
        first.reset,
        lambda: second.send(release(asked.id, DONE)),
        read_second_first,
    )
    assert [each.kind for each in owner.messages if each.id == asked.id] == [Kind.ANSWER, Kind.RELEASE]


def test_an_end_of_an_attempt_given_up_does_not_end_the_next_one_at_the_same_machine(beds: Any) -> None:
    # Guards against an end remembered for a set-up that it does not belong to.
    bed = beds(ignore_all)
    owner = Owner(bed)
    asked, first, second = two_connections(bed, owner)
    link = bed.service.links.get("m0")
    offer = next(conn.open_offers[asked.id] for conn in link.conns if asked.id in conn.open_offers)
    link.ended_attempts[asked.id] = None  # an earlier attempt at the same task was given up here
    second.send(release(asked.id, CANCELLED))
    bed.run()
    first.send(Message(Kind.ANSWER, asked.id, None, "runs"))
    bed.run(lambda: owner.received(Kind.ANSWER))
    bed.run()
    assert offer.started and not released(owner, asked)


def test_an_end_of_an_attempt_that_broke_does_not_end_the_next_one_at_the_same_machine(beds: Any) -> None:
    bed = beds(ignore_all)
    owner = Owner(bed)
    asked = bed.setup("web", left=3000)
    owner.send(asked, bed.setup("web", left=3000))
    bed.run(lambda: len(bed.machines[0].received(Kind.SETUP)) == 2)
    first = next(conn for conn in bed.machines[0].conns if asked.id in [each.id for each in conn.messages])
    other = next(conn for conn in bed.machines[0].conns if conn is not first)
    first.reset()  # its answer is lost with it, and the task is asked for again
    bed.run(lambda: len([each for each in bed.machines[0].received(Kind.SETUP) if each.id == asked.id]) == 2)
    other.send(release(asked.id, DONE))
    bed.run()
    second = next(conn for conn in bed.machines[0].conns if asked.id in [each.id for each in conn.messages])
    second.send(Message(Kind.ANSWER, asked.id, None, "runs"))
    bed.run(lambda: owner.received(Kind.ANSWER))
    bed.run()
    assert not released(owner, asked)


def test_an_end_behind_a_message_that_can_not_be_used_is_told(beds: Any) -> None:
    # Guards against whole messages dropped since one before them was spoilt.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    bed.machines[0].script = ignore_all
    owner.send(bed.setup("bill", left=3000))
    bed.run(lambda: len(bed.machines[0].received(Kind.SETUP)) == 2)
    spoilt = bed.machines[0].received(Kind.SETUP)[1].id
    conn = next(each for each in bed.machines[0].conns if spoilt in [m.id for m in each.messages])
    conn.send(Message(Kind.ANSWER, spoilt), release(asked.id, DONE))
    bed.run()
    assert released(owner, asked)


def cut_by_its_owner(bed: Bed, owner: Owner, asked: Message) -> None:
    owner.send(Message(Kind.RELEASE, asked.id, NORMAL))
    bed.run(lambda: owner.received(Kind.RELEASED))


def heard_the_cut(machine: Machine, asked: Message) -> bool:
    return asked.id in [each.id for each in machine.received(Kind.RELEASE)]


def test_a_task_that_its_owner_ended_is_cut_though_the_connection_was_reset_under_the_cut(beds: Any) -> None:
    # Guards against tasks left standing at a machine that never heard that they are over.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    (conn,) = bed.machines[0].conns
    conn.reset()
    tasks = bed.service.tasks
    tasks.end_standing(tasks.find(asked.id), NORMAL)  # before the reset is noticed
    bed.run(span_ns=2 * S)
    assert heard_the_cut(bed.machines[0], asked)


def test_a_cut_that_was_confirmed_is_not_said_again(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked, other = place_task(bed, owner), place_task(bed, owner)
    cut_by_its_owner(bed, owner, asked)
    bed.run(lambda: heard_the_cut(bed.machines[0], asked))
    bed.machines[0].conns[-1].send(release(asked.id, CANCELLED))
    bed.run()
    for conn in list(bed.machines[0].conns):
        conn.reset()
    bed.run(span_ns=2 * S)
    assert bed.machines[0].conns and not heard_the_cut(bed.machines[0], other)
    assert [each.id for each in bed.machines[0].received(Kind.RELEASE)] == [asked.id]


def test_an_owner_s_end_read_before_the_handing_over_of_its_task_cuts_it(beds: Any) -> None:
    # Guards against a task left standing, as its end and its handing over came on two connections.
    bed = beds(accept_all)
    first, second = Owner(bed), Owner(bed)
    asked = bed.handover(bed.machines[0])
    second.send(Message(Kind.RELEASE, asked.id, NORMAL))
    bed.run()
    first.send(asked)
    bed.run(span_ns=S)
    assert heard_the_cut(bed.machines[0], asked)


def test_an_owner_s_end_behind_a_set_up_that_is_turned_away_cuts_its_task(beds: Any) -> None:
    # Guards against what is still read of a connection that is about to be closed, and dropped.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    unusable = bed.setup()
    unusable.fields["class"] = "nobody's"
    owner.send(unusable, Message(Kind.RELEASE, asked.id, NORMAL))
    bed.run()
    assert heard_the_cut(bed.machines[0], asked)


def test_a_task_handed_over_behind_a_set_up_that_is_turned_away_is_looked_after(beds: Any) -> None:
    bed = beds(accept_all)
    owner, other = Owner(bed), Owner(bed)
    place_task(bed, other)  # whoever carried a task is told of ends elsewhere
    unusable, asked = bed.setup(), bed.handover(bed.machines[0])
    unusable.fields["class"] = "nobody's"
    owner.send(unusable, asked)
    bed.run(span_ns=100 * MS)
    assert owner.closed and not released(owner, asked)
    bed.machines[0].conns[-1].send(release(asked.id, DONE))
    bed.run(lambda: released(other, asked))
