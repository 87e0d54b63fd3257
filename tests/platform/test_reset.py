"""Connections of machines and owners that break while received messages are unread or messages are unsent.

The race is forced: the peer's bytes are in the scheduler's socket, unread, when the connection breaks."""

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


def is_released(owner: Owner, asked: Message) -> bool:
    return asked.id in [each.id for each in owner.received(Kind.RELEASE)]


def run_in_one_round(bed: Bed, *calls: Any) -> None:
    """Make these calls one after the other within one round of the event loop, after its poll."""

    def run_calls() -> None:
        for call in calls:
            call()

    bed.loop.call_later(0, run_calls)
    bed.run()


def test_an_end_sent_just_before_a_reset_is_reported_though_a_ping_fails_first(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    (conn,), link = bed.machines[0].conns, bed.service.links.get("m0")
    bed.clock.advance(S)
    now = bed.clock.now_ns()
    run_in_one_round(
        bed, lambda: conn.send(release(asked.id, DONE)), conn.reset, lambda: link.check_liveness(now)
    )
    assert is_released(owner, asked)


def test_an_end_sent_just_before_a_reset_is_reported_though_the_connection_is_closing(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    (conn,), (ours,) = bed.machines[0].conns, bed.service.links.get("m0").conns
    run_in_one_round(bed, lambda: conn.send(release(asked.id, DONE)), conn.reset, ours.start_closing)
    assert is_released(owner, asked)


def test_an_end_still_unread_when_a_closing_connection_times_out_is_reported(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    (conn,), (ours,) = bed.machines[0].conns, bed.service.links.get("m0").conns
    ours.start_closing()
    ours.stream.pause(True)  # the process is late with reading
    conn.send(release(asked.id, DONE))
    bed.run(span_ns=CLOSE_LINGER_NS + 50 * MS)
    assert ours.stream.closed and is_released(owner, asked)


def open_two_connections(bed: Bed, owner: Owner) -> tuple[Message, MachineConn, MachineConn]:
    """An unanswered set-up, the connection that it was sent on, and another connection of its machine."""
    asked = bed.setup("bill", left=3000)
    owner.send(asked, bed.setup("bill", left=3000))
    bed.run(lambda: len(bed.machines[0].received(Kind.SETUP)) == 2)
    first, second = bed.machines[0].conns
    if asked.id not in [each.id for each in first.messages]:
        first, second = second, first
    return asked, first, second


def test_an_end_read_before_the_answer_on_another_connection_is_reported(beds: Any) -> None:
    # Guards against an end that is dropped as unknown, as two connections may be read in either order.
    bed = beds(ignore_all)
    owner = Owner(bed)
    asked, first, second = open_two_connections(bed, owner)
    second.send(release(asked.id, DONE))
    bed.run()
    first.send(Message(Kind.ANSWER, asked.id, None, "runs"))
    bed.run(lambda: owner.received(Kind.ANSWER))
    bed.run()
    assert is_released(owner, asked)


def test_an_answer_unread_on_a_reset_connection_and_its_end_on_another_are_both_reported(beds: Any) -> None:
    bed = beds(ignore_all)
    owner = Owner(bed)
    asked, first, second = open_two_connections(bed, owner)
    link = bed.service.links.get("m0")
    ours = next(conn for conn in link.conns if asked.id not in conn.open_offers)

    def read_second_first() -> None:
        ours.read_pending()

    run_in_one_round(
        bed,
        lambda: first.send(Message(Kind.ANSWER, asked.id, None, "runs")),
        first.reset,
        lambda: second.send(release(asked.id, DONE)),
        read_second_first,
    )
    assert [each.kind for each in owner.messages if each.id == asked.id] == [Kind.ANSWER, Kind.RELEASE]


def test_an_end_of_an_attempt_given_up_does_not_end_the_next_one_at_the_same_machine(beds: Any) -> None:
    # Guards against an end that is kept for a set-up that it does not belong to.
    bed = beds(ignore_all)
    owner = Owner(bed)
    asked, first, second = open_two_connections(bed, owner)
    link = bed.service.links.get("m0")
    offer = next(conn.open_offers[asked.id] for conn in link.conns if asked.id in conn.open_offers)
    link.ended_attempts[asked.id] = None  # an earlier attempt at the same task was given up here
    second.send(release(asked.id, CANCELLED))
    bed.run()
    first.send(Message(Kind.ANSWER, asked.id, None, "runs"))
    bed.run(lambda: owner.received(Kind.ANSWER))
    bed.run()
    assert offer.started and not is_released(owner, asked)


def test_an_end_of_an_attempt_that_broke_does_not_end_the_next_one_at_the_same_machine(beds: Any) -> None:
    bed = beds(ignore_all)
    owner = Owner(bed)
    asked = bed.setup("web", left=3000)
    owner.send(asked, bed.setup("web", left=3000))
    bed.run(lambda: len(bed.machines[0].received(Kind.SETUP)) == 2)
    first = next(conn for conn in bed.machines[0].conns if asked.id in [each.id for each in conn.messages])
    other = next(conn for conn in bed.machines[0].conns if conn is not first)
    first.reset()  # its answer is lost with it, and the set-up is sent again
    bed.run(lambda: len([each for each in bed.machines[0].received(Kind.SETUP) if each.id == asked.id]) == 2)
    other.send(release(asked.id, DONE))
    bed.run()
    second = next(conn for conn in bed.machines[0].conns if asked.id in [each.id for each in conn.messages])
    second.send(Message(Kind.ANSWER, asked.id, None, "runs"))
    bed.run(lambda: owner.received(Kind.ANSWER))
    bed.run()
    assert not is_released(owner, asked)


def test_an_end_behind_an_invalid_message_is_reported(beds: Any) -> None:
    # Guards against valid messages dropped because one before them was invalid.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    bed.machines[0].script = ignore_all
    owner.send(bed.setup("bill", left=3000))
    bed.run(lambda: len(bed.machines[0].received(Kind.SETUP)) == 2)
    invalid_id = bed.machines[0].received(Kind.SETUP)[1].id
    conn = next(each for each in bed.machines[0].conns if invalid_id in [m.id for m in each.messages])
    conn.send(Message(Kind.ANSWER, invalid_id), release(asked.id, DONE))
    bed.run()
    assert is_released(owner, asked)


def end_by_owner(bed: Bed, owner: Owner, asked: Message) -> None:
    owner.send(Message(Kind.RELEASE, asked.id, NORMAL))
    bed.run(lambda: owner.received(Kind.RELEASED))


def has_received_release(machine: Machine, asked: Message) -> bool:
    return asked.id in [each.id for each in machine.received(Kind.RELEASE)]


def test_a_task_that_its_owner_ended_is_released_though_the_connection_was_reset(beds: Any) -> None:
    # Guards against tasks that run on because their machine never got the release.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    (conn,) = bed.machines[0].conns
    conn.reset()
    tasks = bed.service.tasks
    tasks.end_running(tasks.find(asked.id), NORMAL)  # before the reset is noticed
    bed.run(span_ns=2 * S)
    assert has_received_release(bed.machines[0], asked)


def test_a_confirmed_release_is_not_sent_again(beds: Any) -> None:
    bed = beds(accept_all)
    owner = Owner(bed)
    asked, other = place_task(bed, owner), place_task(bed, owner)
    end_by_owner(bed, owner, asked)
    bed.run(lambda: has_received_release(bed.machines[0], asked))
    bed.machines[0].conns[-1].send(release(asked.id, CANCELLED))
    bed.run()
    for conn in list(bed.machines[0].conns):
        conn.reset()
    bed.run(span_ns=2 * S)
    assert bed.machines[0].conns and not has_received_release(bed.machines[0], other)
    assert [each.id for each in bed.machines[0].received(Kind.RELEASE)] == [asked.id]


def test_an_owner_s_release_read_before_the_handover_of_its_task_ends_it(beds: Any) -> None:
    # Guards against a task that runs on, as its release and its handover came on two connections.
    bed = beds(accept_all)
    first, second = Owner(bed), Owner(bed)
    asked = bed.handover(bed.machines[0])
    second.send(Message(Kind.RELEASE, asked.id, NORMAL))
    bed.run()
    first.send(asked)
    bed.run(span_ns=S)
    assert has_received_release(bed.machines[0], asked)


def test_an_owner_s_release_behind_an_invalid_set_up_ends_its_task(beds: Any) -> None:
    # Guards against messages that are read from a closing connection and dropped.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner)
    unusable = bed.setup()
    unusable.fields["class"] = "nobody's"
    owner.send(unusable, Message(Kind.RELEASE, asked.id, NORMAL))
    bed.run()
    assert has_received_release(bed.machines[0], asked)


def test_a_task_handed_over_behind_an_invalid_set_up_is_adopted(beds: Any) -> None:
    bed = beds(accept_all)
    owner, other = Owner(bed), Owner(bed)
    place_task(bed, other)  # an owner that had a task also gets ends of tasks of other connections
    unusable, asked = bed.setup(), bed.handover(bed.machines[0])
    unusable.fields["class"] = "nobody's"
    owner.send(unusable, asked)
    bed.run(span_ns=100 * MS)
    assert owner.closed and not is_released(owner, asked)
    bed.machines[0].conns[-1].send(release(asked.id, DONE))
    bed.run(lambda: is_released(other, asked))
